//! The end of the process: nothing new after the grace, and all that was read is answered before the kill.

use std::time::Duration;

use super::types::*;
use super::{Core, Timer};
use crate::interface::{Event, Settings};
use crate::settings::Site;

/// Time that closing the connections may take, between the end of the grace and the kill.
const CLOSE_TIME: Duration = Duration::from_millis(800);
/// A signal may be read so late, on a machine that is short of processor time, or a tenth of the time that counts from it
/// where that is less.
const SIGNAL_DELAY: Duration = Duration::from_millis(100);
/// The last answers are given so long before the process is taken to be stopped, or a quarter of the time to the stop
/// where that is less: they have to be written.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// The kill comes at the earliest this long after the deployment's longest deadline has gone by since the notice, ...
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// ... which counts as no more than this.
const MAX_DEADLINE: Duration = Duration::from_secs(3);

/// What counts from the sending of a signal is taken to be so much shorter where it is counted from the reading.
fn from_reading(span: Duration) -> Duration {
    span.saturating_sub(SIGNAL_DELAY.min(span / 10))
}

/// The settings as they hold for the module, which counts the grace itself.
pub(super) fn with_grace_from_reading(settings: Settings) -> Settings {
    Settings { drain_grace: from_reading(settings.drain_grace), ..settings }
}

/// The time from a notice to the earliest kill: as the configuration tells it, or as the site's deadlines allow it.
fn earliest_kill(stop_after: Duration, site: &Site) -> Duration {
    let deadlines = site.settings.kept_classes().map(|(_, class)| class.give_up);
    let longest = deadlines.max().map_or(MAX_DEADLINE, |longest| longest.min(MAX_DEADLINE));
    stop_after.min(longest + KILL_AFTER_DEADLINE)
}

/// A notice to leave that was taken.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    /// When it came.
    noticed: Duration,
    /// When the process is taken to be stopped.
    stop: Duration,
}

impl Core {
    /// Begins to leave; a further notice changes nothing.
    pub(super) fn drain(&mut self, now: Duration, noticed: Duration) {
        if self.drain.is_some() {
            return;
        }
        let noticed = noticed.min(now);
        let kill_after = earliest_kill(self.stop_after, &self.site);
        let until_close = kill_after.saturating_sub(CLOSE_TIME);
        if self.peer.has_taken_over {
            // No notice to leave the fleet: another process serves on. What is here ends, the rest is passed on.
            self.grace_over = true;
            self.arm(noticed + until_close, Timer::DrainGrace);
            self.effects.push(Effect::YieldToSuccessor);
        } else {
            let grace = from_reading(self.site.settings.drain_grace);
            self.arm(noticed + grace.min(until_close), Timer::DrainGrace);
            self.effects.push(Effect::Draining);
        }
        self.effects.push(Effect::Log(format!(
            "leaving: {} answers owed, the kill comes {} ms after the notice at the earliest, {} ms by the configuration",
            self.deadlines.len(),
            kill_after.as_millis(),
            self.stop_after.as_millis(),
        )));
        let stop = noticed + from_reading(kill_after);
        self.stop_at(now, Drain { noticed, stop });
    }

    /// Other settings may let the kill come earlier. While leaving, nothing moves it later.
    pub(super) fn move_stop(&mut self, now: Duration, stop_after: Duration) {
        self.stop_after = stop_after;
        let Some(drain) = self.drain else { return };
        let stop = drain.noticed + from_reading(earliest_kill(stop_after, &self.site));
        if stop < drain.stop {
            self.stop_at(now, Drain { stop, ..drain });
        }
    }

    /// Has all answers given before the stop.
    fn stop_at(&mut self, now: Duration, drain: Drain) {
        let Drain { noticed, stop } = drain;
        self.drain = Some(drain);
        let margin = ANSWER_MARGIN.min(stop.saturating_sub(noticed) / 4);
        self.deadlines.limit_to(stop.saturating_sub(margin));
        self.events.push_back(Event::Retire { age: now.saturating_sub(noticed), stop_at: stop });
    }

    /// Takes no new connections from now on.
    pub(super) fn end_grace(&mut self) {
        self.grace_over = true;
        self.effects.push(Effect::StopListening);
        if !self.deadlines.is_empty() {
            let owed = self.deadlines.len();
            let orphans =
                self.requests.values().filter(|request| request.is_orphan && request.conn.is_some()).count();
            self.effects.push(Effect::Log(format!(
                "the grace is over: {owed} answers owed, {orphans} of them by runs whose launch is in doubt, {} by another process",
                self.deadlines.forwarded().len()
            )));
        }
    }

    /// Leaves once the grace is over and all that was read is answered.
    pub(super) fn exit_when_done(&mut self) {
        if self.grace_over && self.deadlines.is_empty() && !std::mem::replace(&mut self.has_exited, true) {
            self.effects.push(Effect::Exit);
        }
    }
}
