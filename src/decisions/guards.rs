//! Answers that are due whatever the order of the queue (full memory, deadlines, the stop of the process, a hang),
//! and the bookkeeping of phases and of a request's end.

use std::time::Duration;

use super::connections::TRIM_WEIGHT;
use super::{secs, DecisionEngine, Phase, Request, LEARN_WEIGHT, STOP_MARGIN, TICK};
use crate::interface::*;

/// Part of the load that a server survives which the running limit may reach.
const LOAD_MARGIN: f64 = 0.8;
/// Part of the memory that held requests and keys may fill.
const MAX_MEMORY_SHARE: f64 = 0.95;
/// The work hangs when it makes no progress for this long, and for this many mean run lengths.
const HANG_AFTER: Duration = Duration::from_millis(1200);
const HANG_RUNS: f64 = 4.0;
/// The answer to health checks does not change again within this time. A shorter one lets the load of a fleet
/// oscillate.
const HEALTH_DWELL: Duration = Duration::from_secs(3);
/// Share of marked retries among the arrivals from which refusals ask callers not to try elsewhere. A higher value
/// lets retries wander through more of the fleet.
const FLEET_BUSY_SHARE: f64 = 0.12;
/// Log lines of one kind are at least this far apart.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

impl DecisionEngine {
    /// Keeps arrivals from filling the memory, after each batch: the last requests in the order of the queue are
    /// refused.
    pub(super) fn shed_memory(&mut self, queue: &[RequestId], actions: &mut Vec<Action>) {
        for &id in queue.iter().rev() {
            if self.memory as f64 <= self.settings.memory_kb * 1000.0 * MAX_MEMORY_SHARE {
                break;
            } else if self.held.contains(&id) {
                self.log("memory nearly full: refusing held requests", actions);
                let answer = if self.key_ran(id) { Self::fail } else { Self::refuse };
                answer(self, id, actions);
            }
        }
    }

    /// Answers every request that is due before the next tick, in any phase, and all requests before the process
    /// stops.
    pub(super) fn answer_due(&mut self, actions: &mut Vec<Action>) {
        let due = |r: &Request| !r.answered && (self.stopping() || r.due <= self.next_tick);
        let ids: Vec<_> = self.requests.iter().filter(|(_, r)| due(r)).map(|(id, _)| *id).collect();
        for id in ids {
            let answer = if self.held.contains(&id) { Self::refuse } else { Self::fail };
            answer(self, id, actions);
        }
    }

    pub(super) fn stopping(&self) -> bool {
        self.drain.is_some_and(|(_, stop)| self.now + STOP_MARGIN >= stop)
    }

    /// Refuses a held request at once. One whose key ran is joined or failed instead, as a refusal promises that
    /// nothing ran.
    pub(super) fn refuse(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if self.key_ran(id) {
            let joins = r.is_repeat && self.next_tick < r.due && !self.stopping();
            return if joins { self.join(id, actions) } else { self.fail(id, actions) };
        }
        let age_s = self.now.saturating_sub(r.arrived).as_secs_f64();
        let refused_age_s = &mut self.run_lengths[r.class].refused_age_s;
        *refused_age_s += LEARN_WEIGHT * (age_s - *refused_age_s);
        let unavailable =
            self.hung || self.drain.is_some() || self.route_state(r.class) == RouteState::Closed;
        // A caller that stays away keeps its foreground requests away too, so it is asked to only until a slot is
        // free.
        let max =
            if self.settings.sends_retry_after { self.settings.max_retry_after } else { Duration::ZERO };
        let retry_after =
            if unavailable { max } else { secs(self.mean_length() / self.limit.slots).min(max) };
        self.resolve(id, actions);
        self.connections.refused += TRIM_WEIGHT * (1.0 - self.connections.refused);
        // The caller would try server after server of a fleet that is as busy as this one. Marked retries show
        // whether it is; without marks it is assumed to be.
        let busy = !self.settings.marks_retries || self.connections.retried > FLEET_BUSY_SHARE;
        actions.push(Action::Refuse { id, retry_after, no_retry: !unavailable && busy });
    }

    pub(super) fn fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        actions.push(Action::Fail(id));
        self.calls.end(id, self.now, self.settings.call_linger);
        self.resolve(id, actions);
    }

    /// Records that a request is answered or its client is gone. A held or joined request ends here; one that runs
    /// ends when its run does.
    pub(super) fn resolve(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.answered = true;
        if matches!(r.phase, Phase::Held | Phase::Joined) {
            self.release_key(id, actions);
            self.remove(id);
        }
    }

    pub(super) fn join(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.held.remove(&id);
        self.set_phase(id, Phase::Joined);
        actions.push(Action::Join(id));
    }

    /// Moves a request to another phase and updates the counts and the memory.
    pub(super) fn set_phase(&mut self, id: RequestId, phase: Phase) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let old = std::mem::replace(&mut r.phase, phase);
        for (phase, by) in [(old, -1), (phase, 1)] {
            let add = |count: &mut usize| *count = count.saturating_add_signed(by);
            match phase {
                Phase::Held | Phase::Joined => continue,
                Phase::Running => add(&mut self.running),
                Phase::AwaitingCall | Phase::Calling => add(&mut self.at_calls),
            }
            if r.background {
                add(&mut self.background);
            }
            let memory = self.memory.saturating_sub(r.run_extra);
            self.memory = if by > 0 { self.memory + r.run_extra } else { memory };
        }
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        self.set_phase(id, Phase::Held);
        self.calls.end(id, self.now, self.settings.call_linger);
        self.held.remove(&id);
        self.key_groups.try_ended(id);
        self.memory = self.memory.saturating_sub(self.requests.remove(&id).map_or(0, |r| r.size));
    }

    /// The load on the cores that this server survives. A cold server survives less; it is assumed to warm up as
    /// slowly as the settings allow.
    pub(super) fn load_ceiling(&self) -> f64 {
        let age = self.now.saturating_sub(self.started_at).as_secs_f64();
        let (from, cold_s) = (self.settings.cold_speed, self.settings.warm_up_time.max(TICK).as_secs_f64());
        let warm =
            if self.settings.cold { (from + (1.0 - from) * age / cold_s).clamp(0.0, 1.0) } else { 1.0 };
        f64::from(self.settings.cores)
            * (1.0 + (self.settings.max_load_per_core - 1.0).max(0.0) * warm)
            * LOAD_MARGIN
    }

    /// Detects a hang: events still arrive, but the work makes no progress. Health checks fail until it makes progress
    /// again, so that callers use other servers.
    pub(super) fn check_hang(&mut self, actions: &mut Vec<Action>) {
        let timeout = HANG_AFTER.max(secs(self.mean_length() * HANG_RUNS));
        let hung = self.running > 0 && self.now > self.last_progress + timeout;
        if hung != self.hung {
            self.hung = hung;
            let text = if hung { "work hangs: health checks fail" } else { "work makes progress again" };
            self.log(text, actions);
        }
        let bad = self.hung || self.drain.is_some();
        if bad != self.unhealthy && (self.now > self.health_changed_at + HEALTH_DWELL || self.drain.is_some())
        {
            (self.unhealthy, self.health_changed_at) = (bad, self.now);
            actions.push(Action::Health { healthy: !bad });
        }
    }

    /// Logs a line with the counts of the moment, unless the same text was logged a short time ago.
    pub(super) fn log(&mut self, text: &'static str, actions: &mut Vec<Action>) {
        if self.logged_at.get(text).is_none_or(|at| self.now >= *at + LOG_INTERVAL) {
            self.logged_at.insert(text, self.now);
            let (run, held, calls, limit) = (self.running, self.held.len(), self.at_calls, self.limit.slots);
            let text = format!("{text} (running {run}, held {held}, at calls {calls}, limit {limit:.0})");
            actions.push(Action::Log(text));
        }
    }
}
