//! Calls to the dependency below: how many are out at once, how often each is tried, and when one is given up or left out.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{secs, DecisionEngine, Phase, Request, LEARN_WEIGHT, TICK};
use crate::interface::*;

/// Part of its share of the calls that a dependency survives which a server uses. More leaves no room for
/// what the others' books, or the wire, are late by.
const CALL_SHARE_PART: f64 = 0.9;
/// Wait before a call that never ran is made again, longer after each try.
const CALL_BACKOFF: Duration = Duration::from_millis(100);
/// Tries of one call where no route says how many, and the most that one may ask for.
const CALL_TRIES: (u8, u8) = (3, 10);
/// A call that can be made again is given up after so many mean delays. Less floods a slow dependency.
const CALL_PATIENCE: f64 = 6.0;
/// A call that can be left out is, with less than so many mean delays left. More gives up worth earlier.
const CALL_HURRY: f64 = 2.0;
/// Weights of a call in the delay of good times, where it took less and where it took more.
const GOOD_WEIGHTS: (f64, f64) = (0.05, 0.005);
/// A call of so many of them shows a crowded dependency; the pause after it is this long at most. Where more
/// than one may be out, a mean of so many shows it: less takes chance for a crowd.
const CROWD_DELAY: f64 = 6.0;
const CROWD_PAUSE: Duration = Duration::from_secs(1);
/// Part of its share that a server always uses: a dependency falls at five times its slots, and each call
/// past these only slows the others. Less leaves slots empty, more crowds a slow dependency.
const CALL_SHARE_LEAST: f64 = 0.2;
/// Of the calls that may be out, as many are held back after each call in a crowd, and let out after others.
const HOLD_BACK: f64 = 0.05;
/// Requests at a call, for each core: more hides slow calls, fewer saves memory and returning crowds.
pub(super) const AT_CALL_PER_CORE: f64 = 3.0;

/// The calls in hand, and what is learned about their delay.
#[derive(Debug, Default)]
pub(super) struct Calls {
    pub(super) mean_s: f64,
    /// The delay in good times: follows a fall soon, a rise slowly. And the end of a pause after a long call.
    good_s: f64,
    next_at: Duration,
    /// Calls less than its share that a server has out, as the dependency is crowded.
    held_back: f64,
    /// Calls out: since when, and until when they may stay with the dependency.
    pub(super) open: BTreeMap<RequestId, (Duration, Duration)>,
    /// Calls over within the time that the dependency is judged by: until when they stay, and for how long.
    past: VecDeque<(Duration, f64)>,
    /// Until when those that were given up stay, in order.
    lingering: VecDeque<Duration>,
    /// Seconds in hand of both, the open ones up to their end.
    booked_s: f64,
}

impl Calls {
    /// A call that is over: the delay, and from it how many may be out between the bounds.
    pub(super) fn learn(&mut self, took: Duration, now: Duration, (least, most): (f64, f64)) {
        let took = took.as_secs_f64();
        if self.mean_s == 0.0 {
            (self.mean_s, self.good_s) = (took, took);
        }
        self.mean_s += LEARN_WEIGHT * (took - self.mean_s);
        // Behind a crowd of its own a rise is no news: all would take the slowest times for good ones.
        let rise = if least >= most || self.open.len() as f64 + 1.0 <= least { GOOD_WEIGHTS.1 } else { 0.0 };
        self.good_s += if took < self.good_s { GOOD_WEIGHTS.0 } else { rise } * (took - self.good_s);
        let crowded = self.mean_s > CROWD_DELAY * self.good_s;
        let step = if crowded { HOLD_BACK * (most - self.held_back) } else { -HOLD_BACK };
        self.held_back = (self.held_back + step).clamp(0.0, (most - least).max(0.0));
        // A crowded dependency does less in all: each server leaves it room after a long call.
        if most < 1.0 && took > CROWD_DELAY * self.good_s {
            self.next_at = now + secs(took / most.max(f64::EPSILON)).min(CROWD_PAUSE);
        }
    }

    /// The call is over; one that was given up stays for the time that it lingers.
    pub(super) fn end(&mut self, id: RequestId, now: Duration, linger: Duration) {
        let Some((from, until)) = self.open.remove(&id) else { return };
        let took = (now + linger).saturating_sub(from).as_secs_f64();
        self.booked_s += took - until.saturating_sub(from).as_secs_f64();
        self.past.push_back((now + linger, took));
        if !linger.is_zero() {
            self.lingering.push_back(now + linger);
        }
    }

    /// How long one more call may stay below. A share of one or more is kept by count; a smaller
    /// one in the mean: all calls of a span, with what an open one may still take, stay within it.
    fn room_s(&mut self, now: Duration, most: f64, span: Duration) -> f64 {
        while let Some((_, took)) = self.past.front().copied().filter(|(end, _)| *end + span < now) {
            self.past.pop_front();
            self.booked_s -= took;
        }
        while self.lingering.front().is_some_and(|end| *end <= now) {
            self.lingering.pop_front();
        }
        let counted = (self.open.len() + self.lingering.len()) as f64 + 1.0 <= most;
        match most >= 1.0 {
            true if counted => f64::INFINITY,
            false if now >= self.next_at && self.open.is_empty() => most * span.as_secs_f64() - self.booked_s,
            _ => 0.0,
        }
    }
}

impl DecisionEngine {
    /// How the calls of a class stand.
    pub(super) fn way(&self, class: usize) -> RouteState {
        self.s.classes[class].route_state(self.ways.get(class).copied().unwrap_or_default())
    }

    /// How often a call of a request may be tried, and whether it may be answered without.
    fn allows(&self, r: &Request) -> (u8, bool) {
        let skips = self.s.classes[r.class].skip_worth > 0.0;
        r.limits.map_or((CALL_TRIES.0, skips), |a| (a.max_tries.clamp(1, CALL_TRIES.1), skips && a.may_skip))
    }

    pub(super) fn call_ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        took: Duration,
        actions: &mut Vec<Action>,
    ) {
        let calling = self.requests.get(&id).filter(|r| r.phase == Phase::Calling);
        let Some((tries, skips)) = calling.map(|r| self.allows(r)) else { return };
        let lingers = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset);
        self.calls.end(id, self.now, if lingers { self.s.call_linger } else { Duration::ZERO });
        if matches!(outcome, Outcome::Done | Outcome::TimedOut) {
            self.calls.learn(took, self.now, self.call_bounds());
        }
        if outcome == Outcome::Done {
            return self.set_phase(id, Phase::Running);
        }
        self.set_phase(id, Phase::AtCall);
        let Some(r) = self.requests.get_mut(&id) else { return };
        // Without the right to make it, it was not tried.
        r.call_tries += u8::from(outcome != Outcome::Barred);
        let ready_at = self.now + CALL_BACKOFF * u32::from(r.call_tries.max(1));
        let (stale, more) = (outcome == Outcome::Stale, r.call_tries < tries);
        // A call is repeated only where that is harmless: the earlier one never ran, or it may run again.
        let harmless = more && self.s.classes[r.class].repeat == Repeat::Idempotent && !stale;
        let unrun = outcome.never_ran() && (more || r.limits.is_none());
        if (unrun || harmless) && ready_at < r.wanted {
            self.waiting_calls.insert((ready_at, id));
        } else {
            self.go_without(id, skips && !stale, actions);
        }
    }

    /// Goes on without a call, or fails where that may not be.
    fn go_without(&mut self, id: RequestId, skips: bool, actions: &mut Vec<Action>) {
        if skips {
            self.set_phase(id, Phase::Running);
            return actions.push(Action::SkipCall(id));
        }
        self.fail(id, actions);
    }

    /// Calls: a bound of their own, so that a crowded dependency is not crowded further.
    pub(super) fn make_calls(&mut self, actions: &mut Vec<Action>) {
        // What cannot be left out goes first; while it lacks room, what can be left out is.
        let open = |id: &u32| self.requests.get(id).filter(|r| r.phase == Phase::AtCall && !r.answered);
        self.waiting_calls.retain(|(_, id)| open(id).is_some());
        let skips = |id: &u32| open(id).is_some_and(|r| self.allows(r).1);
        let mut waiting: Vec<_> = self.waiting_calls.iter().map(|(at, id)| (skips(id), *at, *id)).collect();
        waiting.sort_unstable();
        let mut crowded = false;
        for (skips, at, id) in waiting {
            let Some(r) = self.requests.get(&id) else { continue };
            let (way, class) = (self.way(r.class), &self.s.classes[r.class]);
            let until = if class.late_value > 0.0 { r.due } else { r.wanted.max(self.now + TICK).min(r.due) };
            let left = until.saturating_sub(self.now);
            // Another version may allow fewer tries than there were.
            let spent = r.limits.is_some() && r.call_tries >= self.allows(r).0;
            // A silent call is made again where that is harmless; the last try gets all the time left.
            let again = class.repeat == Repeat::Idempotent && r.call_tries + 1 < self.allows(r).0;
            let patience = Some(secs(self.calls.mean_s * CALL_PATIENCE)).filter(|p| again && !p.is_zero());
            let timeout = left.min(patience.unwrap_or(left)).max(TICK);
            // The share is kept whatever the delay: the call is given up before it has used up what is left.
            let (least, most) = self.call_bounds();
            let most = (most - self.calls.held_back).max(least);
            let (span, linger_s) = (self.s.call_share_window, self.s.call_linger.as_secs_f64());
            let room_s = self.calls.room_s(self.now, most, span) - linger_s;
            let usual_s = self.calls.mean_s * if skips { CALL_HURRY } else { CALL_PATIENCE };
            let needed_s = usual_s.min((most * span.as_secs_f64() - linger_s) / 2.0).max(f64::EPSILON);
            let fits = timeout.as_secs_f64().min(needed_s) <= room_s;
            let hurry = secs(self.calls.mean_s * CALL_HURRY);
            crowded |= !fits && (!skips || self.now >= at + hurry);
            let leaves_out = skips && (crowded || left < hurry || way == RouteState::Skip);
            if way == RouteState::Closed || leaves_out || spent {
                self.waiting_calls.remove(&(at, id));
                // It runs, so it is not turned away.
                self.go_without(id, skips && way != RouteState::Closed, actions);
            } else if self.now >= at && fits {
                self.waiting_calls.remove(&(at, id));
                self.set_phase(id, Phase::Calling);
                let timeout = timeout.min(secs(room_s));
                self.calls.open.insert(id, (self.now, self.now + timeout + self.s.call_linger));
                self.calls.booked_s += timeout.as_secs_f64() + linger_s;
                actions.push(Action::Call { id, timeout });
            }
        }
    }

    /// The calls that may be out however slow they are, and the most that may.
    fn call_bounds(&self) -> (f64, f64) {
        let (most, part) = match self.s.dependency {
            Dependency::Shared => (self.s.call_share * CALL_SHARE_PART, CALL_SHARE_LEAST),
            _ => (f64::from(self.s.cores) * AT_CALL_PER_CORE, 1.0),
        };
        ((most * part).max(1.0).min(most), most)
    }
}
