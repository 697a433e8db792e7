//! Calls to the dependency: how many may be in progress at once, how often each is tried, and when one is abandoned
//! or skipped.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{secs, DecisionEngine, Phase, Request, LEARN_WEIGHT, TICK};
use crate::interface::*;

/// Part of its share of the calls that the dependency survives which a server uses. A higher value leaves no room for
/// delays on the network or in the accounts of other servers.
const USED_CALL_SHARE: f64 = 0.9;
/// Wait before a call that never ran is made again, multiplied by the number of its tries.
const CALL_BACKOFF: Duration = Duration::from_millis(100);
/// Tries of one call where no route sets them, and the upper bound of what a route may set.
const CALL_TRIES: (u8, u8) = (3, 10);
/// A call that can be made again is abandoned after this many mean delays. A lower value floods a slow dependency.
const CALL_TIMEOUT_DELAYS: f64 = 6.0;
/// A call that can be skipped is skipped when less than this many mean delays are left. A higher value gives up worth
/// too early.
const SKIP_DELAYS: f64 = 2.0;
/// Weights of a call in the base delay, for a call that took less than it and for one that took more.
const BASE_DELAY_WEIGHTS: (f64, f64) = (0.05, 0.005);
/// A call that takes this many base delays shows an overloaded dependency, and no call is made for at most the
/// pause after it. Where several calls may be in progress, only a mean of so many base delays shows an overload: a
/// lower value takes chance for overload.
const OVERLOAD_DELAYS: f64 = 6.0;
const OVERLOAD_PAUSE: Duration = Duration::from_secs(1);
/// Part of its share that a server always uses. A dependency collapses at five times the calls that it works on at
/// once, and each call beyond those only slows the others down. A lower value leaves its capacity unused, a higher
/// one overloads a slow dependency.
const MIN_CALL_SHARE: f64 = 0.2;
/// After each call in an overload, this part of the calls that may be in progress is held back. After each other
/// call, this fraction of one call is released.
const HOLD_BACK_STEP: f64 = 0.05;
/// Requests that may wait for a call or make one, per core. A higher value tolerates slower calls; a lower one
/// saves memory and limits how many requests resume at once.
pub(super) const AT_CALL_PER_CORE: f64 = 3.0;

/// The calls in progress, and what is learned about their delay.
#[derive(Clone, Debug, Default)]
pub(super) struct Calls {
    pub(super) mean_s: f64,
    /// The base delay, that of the dependency without overload: it follows a fall soon and a rise slowly.
    base_s: f64,
    /// No call is made before this time, after one that showed an overload.
    paused_until: Duration,
    /// How many calls fewer than its share a server makes at once, as the dependency is overloaded.
    held_back: f64,
    /// Calls in progress: when each began, and until when it may occupy the dependency.
    pub(super) in_progress: BTreeMap<RequestId, (Duration, Duration)>,
    /// Calls that ended within the averaging window: until when each occupied the dependency, and for how long.
    ended: VecDeque<(Duration, f64)>,
    /// Until when abandoned calls still occupy the dependency, in order.
    lingering: VecDeque<Duration>,
    /// Seconds for which the calls in progress (up to their latest end) and those in `ended` occupy the dependency.
    booked_s: f64,
}

impl Calls {
    /// Learns the delay of a call that ended, and from it how many calls may be in progress, between the bounds.
    pub(super) fn learn(&mut self, took: Duration, now: Duration, (min, max): (f64, f64)) {
        let took = took.as_secs_f64();
        if self.mean_s == 0.0 {
            (self.mean_s, self.base_s) = (took, took);
        }
        self.mean_s += LEARN_WEIGHT * (took - self.mean_s);
        // The base delay does not rise while this server itself makes many calls: if it did, all servers together
        // would take the delays of the overload that they cause for normal ones.
        let rise =
            if min >= max || self.in_progress.len() as f64 + 1.0 <= min { BASE_DELAY_WEIGHTS.1 } else { 0.0 };
        self.base_s += if took < self.base_s { BASE_DELAY_WEIGHTS.0 } else { rise } * (took - self.base_s);
        let overloaded = self.mean_s > OVERLOAD_DELAYS * self.base_s;
        let step = if overloaded { HOLD_BACK_STEP * (max - self.held_back) } else { -HOLD_BACK_STEP };
        self.held_back = (self.held_back + step).clamp(0.0, (max - min).max(0.0));
        // An overloaded dependency completes less in total, so each server pauses after a long call.
        if max < 1.0 && took > OVERLOAD_DELAYS * self.base_s {
            self.paused_until = now + secs(took / max.max(f64::EPSILON)).min(OVERLOAD_PAUSE);
        }
    }

    /// Ends a call. An abandoned one occupies the dependency for the time that it lingers.
    pub(super) fn end(&mut self, id: RequestId, now: Duration, linger: Duration) {
        let Some((from, until)) = self.in_progress.remove(&id) else { return };
        let took = (now + linger).saturating_sub(from).as_secs_f64();
        self.booked_s += took - until.saturating_sub(from).as_secs_f64();
        self.ended.push_back((now + linger, took));
        if !linger.is_zero() {
            self.lingering.push_back(now + linger);
        }
    }

    /// How long one more call may occupy the dependency. A share of one call or more bounds the number of calls. A
    /// smaller share bounds their mean: the calls of a window, with the time that one in progress may still take,
    /// stay within it.
    fn room_s(&mut self, now: Duration, max: f64, window: Duration) -> f64 {
        while let Some((_, took)) = self.ended.front().copied().filter(|(end, _)| *end + window < now) {
            self.ended.pop_front();
            self.booked_s -= took;
        }
        while self.lingering.front().is_some_and(|end| *end <= now) {
            self.lingering.pop_front();
        }
        let counted = (self.in_progress.len() + self.lingering.len()) as f64 + 1.0 <= max;
        match max >= 1.0 {
            true if counted => f64::INFINITY,
            false if now >= self.paused_until && self.in_progress.is_empty() => {
                max * window.as_secs_f64() - self.booked_s
            }
            _ => 0.0,
        }
    }
}

impl DecisionEngine {
    /// The route state of a class.
    pub(super) fn route_state(&self, class: usize) -> RouteState {
        self.settings.classes[class].route_state(self.route_states.get(class).copied().unwrap_or_default())
    }

    /// How often a call of a request may be tried, and whether the request may be answered without it.
    fn call_limits(&self, r: &Request) -> (u8, bool) {
        let may_skip = self.settings.classes[r.class].skip_worth > 0.0;
        r.limits.map_or((CALL_TRIES.0, may_skip), |limits| {
            (limits.max_tries.clamp(1, CALL_TRIES.1), may_skip && limits.may_skip)
        })
    }

    pub(super) fn on_call_ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        took: Duration,
        may_repeat: bool,
        actions: &mut Vec<Action>,
    ) {
        let calling = self.requests.get(&id).filter(|r| r.phase == Phase::Calling);
        let Some((max_tries, may_skip)) = calling.map(|r| self.call_limits(r)) else { return };
        let lingers = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset);
        self.calls.end(id, self.now, if lingers { self.settings.call_linger } else { Duration::ZERO });
        if matches!(outcome, Outcome::Done | Outcome::TimedOut) {
            self.calls.learn(took, self.now, self.call_bounds());
        }
        if outcome == Outcome::Done {
            return self.set_phase(id, Phase::Running);
        }
        self.set_phase(id, Phase::AwaitingCall);
        let Some(r) = self.requests.get_mut(&id) else { return };
        // A call that was not made because this server holds no lease does not count as a try.
        r.call_tries += u8::from(outcome != Outcome::Barred);
        let ready_at = self.now + CALL_BACKOFF * u32::from(r.call_tries.max(1));
        let (stale, tries_left) = (outcome == Outcome::Stale, r.call_tries < max_tries);
        // A call is repeated only where that does no harm: the earlier one never ran, or calls of its class may run
        // again.
        let harmless = tries_left && self.settings.classes[r.class].repeat == Repeat::Idempotent && !stale;
        let never_ran = outcome.never_ran() && (tries_left || r.limits.is_none());
        if may_repeat && (never_ran || harmless) && ready_at < r.target_at {
            self.waiting_calls.insert((ready_at, id));
        } else {
            self.skip_or_fail(id, may_skip && !stale, actions);
        }
    }

    /// Lets a request continue without its call if its class allows that, and fails it otherwise.
    fn skip_or_fail(&mut self, id: RequestId, may_skip: bool, actions: &mut Vec<Action>) {
        if may_skip {
            self.set_phase(id, Phase::Running);
            return actions.push(Action::SkipCall(id));
        }
        self.fail(id, actions);
    }

    /// Makes waiting calls within a limit of their own, so that an overloaded dependency is not overloaded further.
    pub(super) fn make_calls(&mut self, actions: &mut Vec<Action>) {
        // Calls that cannot be skipped are made first. While there is no room for one of them, all others are skipped.
        let waits =
            |id: &u32| self.requests.get(id).filter(|r| r.phase == Phase::AwaitingCall && !r.answered);
        self.waiting_calls.retain(|(_, id)| waits(id).is_some());
        let may_skip = |id: &u32| waits(id).is_some_and(|r| self.call_limits(r).1);
        let mut waiting: Vec<_> =
            self.waiting_calls.iter().map(|(at, id)| (may_skip(id), *at, *id)).collect();
        waiting.sort_unstable();
        let mut no_room = false;
        for (may_skip, at, id) in waiting {
            let Some(r) = self.requests.get(&id) else { continue };
            let (route_state, class) = (self.route_state(r.class), &self.settings.classes[r.class]);
            let until =
                if class.late_value > 0.0 { r.due } else { r.target_at.max(self.now + TICK).min(r.due) };
            let left = until.saturating_sub(self.now);
            // A new version of the routes may allow fewer tries than were already made.
            let spent = r.limits.is_some() && r.call_tries >= self.call_limits(r).0;
            // A call without a reply is made again where that does no harm; the last try gets all the time left.
            let again = self.settings.repeats_unanswered_calls
                && class.repeat == Repeat::Idempotent
                && r.call_tries + 1 < self.call_limits(r).0;
            let try_timeout =
                Some(secs(self.calls.mean_s * CALL_TIMEOUT_DELAYS)).filter(|p| again && !p.is_zero());
            let timeout = left.min(try_timeout.unwrap_or(left)).max(TICK);
            // Whatever the delay of the dependency, the call is abandoned before it has used up the rest of the share.
            let (min, max) = self.call_bounds();
            let max = (max - self.calls.held_back).max(min);
            let (window, linger_s) =
                (self.settings.call_share_window, self.settings.call_linger.as_secs_f64());
            let room_s = self.calls.room_s(self.now, max, window) - linger_s;
            let usual_s = self.calls.mean_s * if may_skip { SKIP_DELAYS } else { CALL_TIMEOUT_DELAYS };
            let needed_s = usual_s.min((max * window.as_secs_f64() - linger_s) / 2.0).max(f64::EPSILON);
            let fits = timeout.as_secs_f64().min(needed_s) <= room_s;
            let skip_margin = secs(self.calls.mean_s * SKIP_DELAYS);
            no_room |= !fits && (!may_skip || self.now >= at + skip_margin);
            let skip = may_skip && (no_room || left < skip_margin || route_state == RouteState::Skip);
            if route_state == RouteState::Closed || skip || spent {
                self.waiting_calls.remove(&(at, id));
                // The request runs, so it cannot be refused any more.
                self.skip_or_fail(id, may_skip && route_state != RouteState::Closed, actions);
            } else if self.now >= at && fits {
                self.waiting_calls.remove(&(at, id));
                self.set_phase(id, Phase::Calling);
                let timeout = timeout.min(secs(room_s));
                self.calls.in_progress.insert(id, (self.now, self.now + timeout + self.settings.call_linger));
                self.calls.booked_s += timeout.as_secs_f64() + linger_s;
                actions.push(Action::Call { id, timeout });
            }
        }
    }

    /// How many calls may be in progress however slow they are, and how many at most.
    fn call_bounds(&self) -> (f64, f64) {
        let (max, part) = match self.settings.dependency {
            Dependency::Shared => (self.settings.call_share * USED_CALL_SHARE, MIN_CALL_SHARE),
            _ => (f64::from(self.settings.cores) * AT_CALL_PER_CORE, 1.0),
        };
        ((max * part).max(1.0).min(max), max)
    }
}
