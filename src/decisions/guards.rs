//! Guards: what is answered whatever the order says (memory, deadlines, the stop, a hang), and the bookkeeping of a request's
//! end.

use std::time::Duration;

use super::connections::TRIM_WEIGHT;
use super::{secs, DecisionEngine, Phase, Request, LEARN_WEIGHT, STOP_MARGIN, TICK};
use crate::interface::*;

/// Part of the crowd that is survived which the limit may reach.
const CROWD_MARGIN: f64 = 0.8;
/// Part of the memory that held work and keys may fill.
const MEMORY_HELD_SHARE: f64 = 0.95;
/// Without progress on busy cores for this long, and for so many run lengths, the work hangs.
const HANG_AFTER: Duration = Duration::from_millis(1200);
const HANG_RUNS: f64 = 4.0;
/// The health answer keeps for at least this long. Less lets a fleet swing.
const HEALTH_DWELL: Duration = Duration::from_secs(3);
/// Part of marked retries in what is read from which refusals ask not to try elsewhere. More walks further.
const FLEET_BUSY_SHARE: f64 = 0.12;
/// Log lines of one kind are at least this far apart.
const LOG_EVERY: Duration = Duration::from_secs(5);

impl DecisionEngine {
    /// Memory: what arrived may not fill it, at any batch; the last in the order of the hold leaves first.
    pub(super) fn shed_memory(&mut self, queue: &[RequestId], actions: &mut Vec<Action>) {
        for &id in queue.iter().rev() {
            if self.memory as f64 <= self.s.memory_kb * 1000.0 * MEMORY_HELD_SHARE {
                break;
            } else if self.held.contains(&id) {
                self.log("memory nearly full: turning away", actions);
                let answer = if self.effect_ran(id) { Self::fail } else { Self::turn_away };
                answer(self, id, actions);
            }
        }
    }

    /// Answers what is due before the next tick, whatever it does; and everything before the process stops.
    pub(super) fn answer_due(&mut self, actions: &mut Vec<Action>) {
        let due = |r: &Request| !r.answered && (self.stopping() || r.due <= self.tick_due);
        let ids: Vec<_> = self.requests.iter().filter(|(_, r)| due(r)).map(|(id, _)| *id).collect();
        for id in ids {
            let answer = if self.held.contains(&id) { Self::turn_away } else { Self::fail };
            answer(self, id, actions);
        }
    }

    pub(super) fn stopping(&self) -> bool {
        self.retire.is_some_and(|(_, stop)| self.now + STOP_MARGIN >= stop)
    }

    /// Turns a held request away, at once; one whose effect ran is joined or failed instead, never refused.
    pub(super) fn turn_away(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if self.effect_ran(id) {
            let joins = r.repeats && self.tick_due < r.due && !self.stopping();
            return if joins { self.join(id, actions) } else { self.fail(id, actions) };
        }
        let age_s = self.now.saturating_sub(r.arrived).as_secs_f64();
        let refused_s = &mut self.lengths[r.class].refused_s;
        *refused_s += LEARN_WEIGHT * (age_s - *refused_s);
        let away = self.hung || self.retire.is_some() || self.way(r.class) == RouteState::Closed;
        // A caller that stays away takes its foreground along: it is asked to only until a slot comes free.
        let most = if self.s.sends_retry_after { self.s.max_retry_after } else { Duration::ZERO };
        let retry_after = if away { most } else { secs(self.mean_length() / self.limit.slots).min(most) };
        self.settle(id, actions);
        self.connections.refused += TRIM_WEIGHT * (1.0 - self.connections.refused);
        // It walks on through a fleet as busy, read at every stop: marked retries tell, or it is taken to be.
        let busy = !self.s.marks_retries || self.connections.retried > FLEET_BUSY_SHARE;
        actions.push(Action::Refuse { id, retry_after, no_retry: !away && busy });
    }

    pub(super) fn fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        actions.push(Action::Fail(id));
        self.calls.end(id, self.now, self.s.call_linger);
        self.settle(id, actions);
    }

    /// The request is answered or unwanted: what is held or joined ends here, what runs ends later by itself.
    pub(super) fn settle(&mut self, id: RequestId, actions: &mut Vec<Action>) {
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

    /// Moves a request between phases and keeps the counts and the memory in step.
    pub(super) fn set_phase(&mut self, id: RequestId, phase: Phase) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let old = std::mem::replace(&mut r.phase, phase);
        for (phase, by) in [(old, -1), (phase, 1)] {
            let add = |count: &mut usize| *count = count.saturating_add_signed(by);
            match phase {
                Phase::Held | Phase::Joined => continue,
                Phase::Running => add(&mut self.running),
                Phase::AtCall | Phase::Calling => add(&mut self.at_calls),
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
        self.calls.end(id, self.now, self.s.call_linger);
        self.held.remove(&id);
        self.memory = self.memory.saturating_sub(self.requests.remove(&id).map_or(0, |r| r.size));
    }

    /// The crowd on the cores that is survived: less while cold, at the slowest warming that is promised.
    pub(super) fn crowd_ceiling(&self) -> f64 {
        let age = self.now.saturating_sub(self.started_at).as_secs_f64();
        let (from, cold_s) = (self.s.cold_speed, self.s.warm_up_time.max(TICK).as_secs_f64());
        let warm = if self.s.cold { (from + (1.0 - from) * age / cold_s).clamp(0.0, 1.0) } else { 1.0 };
        f64::from(self.s.cores) * (1.0 + (self.s.max_load_per_core - 1.0).max(0.0) * warm) * CROWD_MARGIN
    }

    /// Hang: events go on while the work stands still. Callers are sent elsewhere until work moves again.
    pub(super) fn watch_hang(&mut self, actions: &mut Vec<Action>) {
        let patience = HANG_AFTER.max(secs(self.mean_length() * HANG_RUNS));
        let hung = self.running > 0 && self.now > self.progress_at + patience;
        if hung != self.hung {
            self.hung = hung;
            let text = if hung { "work hangs: sending callers elsewhere" } else { "work moves again" };
            self.log(text, actions);
        }
        let bad = self.hung || self.retire.is_some();
        if bad != self.unhealthy && (self.now > self.health_at + HEALTH_DWELL || self.retire.is_some()) {
            (self.unhealthy, self.health_at) = (bad, self.now);
            actions.push(Action::Health { healthy: !bad });
        }
    }

    pub(super) fn log(&mut self, text: &'static str, actions: &mut Vec<Action>) {
        if self.logged.get(text).is_none_or(|at| self.now >= *at + LOG_EVERY) {
            self.logged.insert(text, self.now);
            let (run, held, calls, limit) = (self.running, self.held.len(), self.at_calls, self.limit.slots);
            let text = format!("{text} (running {run}, held {held}, at calls {calls}, limit {limit:.0})");
            actions.push(Action::Log(text));
        }
    }
}
