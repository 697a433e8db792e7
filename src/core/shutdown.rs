//! The drain: no new connections after the grace period, and every request that was read is answered before the kill.

use std::time::Duration;

use super::types::*;
use super::{Core, Timer};
use crate::interface::{Event, Settings};
use crate::settings::Site;

/// Time reserved for closing the connections, between the end of the grace period and the kill.
const CLOSE_TIME: Duration = Duration::from_millis(800);
/// On a machine that is short of processor time, a signal may be read this long after it was sent. A tenth of the
/// time span that counts from the signal is assumed instead if that is less.
const SIGNAL_DELAY: Duration = Duration::from_millis(100);
/// The last answers are sent this long before the process is assumed to be stopped, as they still have to be written. A
/// quarter of the time to the stop is used instead if that is less.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// The process is killed at the earliest this long after the site's longest client timeout has passed since the signal.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// A client timeout counts as no more than this for the time of the kill.
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Shortens a time span that counts from the sending of a signal, so that it can be counted from the reading of the
/// signal.
fn count_from_reading(span: Duration) -> Duration {
    span.saturating_sub(SIGNAL_DELAY.min(span / 10))
}

/// The settings for the decision module, which itself counts the grace period from the reading of the signal.
pub(super) fn with_grace_from_reading(settings: Settings) -> Settings {
    Settings { drain_grace: count_from_reading(settings.drain_grace), ..settings }
}

/// The time from the signal to the earliest kill: the configured time or, if less, the time that the site's client
/// timeouts imply.
fn earliest_kill(stop_after: Duration, site: &Site) -> Duration {
    let timeouts = site.settings.active_classes().map(|(_, class)| class.client_timeout);
    let longest = timeouts.max().map_or(MAX_CLIENT_TIMEOUT, |longest| longest.min(MAX_CLIENT_TIMEOUT));
    stop_after.min(longest + KILL_MARGIN)
}

/// A drain in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    /// When the signal was received, and when it may have been sent at the earliest. The kill counts from the latter.
    signalled_at: Duration,
    sent_at: Duration,
    /// When the process is assumed to be stopped.
    stop: Duration,
}

impl Core {
    /// Begins the drain; further signals have no effect.
    pub(super) fn drain(&mut self, now: Duration, signalled_at: Duration, sent_at: Duration) {
        if self.drain.is_some() {
            return;
        }
        let signalled_at = signalled_at.min(now);
        let sent_at = sent_at.min(signalled_at);
        let kill_after = earliest_kill(self.stop_after, &self.site);
        let close_at = sent_at + kill_after.saturating_sub(CLOSE_TIME);
        if self.peer.has_taken_over() {
            // The matcher does not leave its fleet, as the successor continues to serve. Requests that are active here
            // are completed, and new ones are forwarded.
            self.grace_over = true;
            self.arm(close_at, Timer::DrainGrace);
            self.effects.push(Effect::YieldToSuccessor);
        } else {
            let grace = count_from_reading(self.site.settings.drain_grace);
            self.arm(close_at.min(signalled_at + grace), Timer::DrainGrace);
            self.effects.push(Effect::Draining);
        }
        self.effects.push(Effect::Log(format!(
            "leaving: {} answers owed; the signal was read {} ms after it may have been sent; the kill comes at the earliest {} ms after the sending, {} ms according to the configuration",
            self.deadlines.len(),
            (signalled_at - sent_at).as_millis(),
            kill_after.as_millis(),
            self.stop_after.as_millis(),
        )));
        let stop = sent_at + count_from_reading(kill_after);
        self.answer_before(now, Drain { signalled_at, sent_at, stop });
    }

    /// Applies a new configured time between signal and kill. During a drain the assumed stop only moves to an
    /// earlier time.
    pub(super) fn update_stop_time(&mut self, now: Duration, stop_after: Duration) {
        self.stop_after = stop_after;
        let Some(drain) = self.drain else { return };
        let stop = drain.sent_at + count_from_reading(earliest_kill(stop_after, &self.site));
        if stop < drain.stop {
            self.answer_before(now, Drain { stop, ..drain });
        }
    }

    /// Makes sure that all answers are sent before the stop.
    fn answer_before(&mut self, now: Duration, drain: Drain) {
        let Drain { signalled_at, sent_at, stop } = drain;
        self.drain = Some(drain);
        let margin = ANSWER_MARGIN.min(stop.saturating_sub(sent_at) / 4);
        self.deadlines.limit_to(stop.saturating_sub(margin));
        self.events.push_back(Event::Drain { age: now.saturating_sub(signalled_at), stop_at: stop });
    }

    /// Ends the grace period: no new connections are accepted from now on.
    pub(super) fn end_grace(&mut self) {
        self.grace_over = true;
        self.effects.push(Effect::StopListening);
        if !self.deadlines.is_empty() {
            let owed = self.deadlines.len();
            let orphans =
                self.requests.values().filter(|request| request.is_orphan && request.conn.is_some()).count();
            self.effects.push(Effect::Log(format!(
                "the grace period is over: {owed} answers owed, {orphans} of them by runs whose launch is in doubt, {} by the successor",
                self.deadlines.forwarded().len()
            )));
        }
    }

    /// Lets the process exit once the grace period is over and every request that was read is answered.
    pub(super) fn exit_when_done(&mut self) {
        if self.grace_over && self.deadlines.is_empty() && !std::mem::replace(&mut self.exit_requested, true)
        {
            self.effects.push(Effect::Exit);
        }
    }
}
