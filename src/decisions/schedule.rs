//! The ordinary path: the order of what is held, what starts under the limit, what is turned away early, and how much callers
//! are asked to send.

use std::cmp::Ordering;
use std::time::Duration;

use super::calls::AT_CALL_PER_CORE;
use super::connections::TRIM_WEIGHT;
use super::{secs, DecisionEngine, Phase, Request, QUOTA_BURST, STOP_MARGIN, TICK};
use crate::interface::*;

/// Slots that background may hold while pressed (the paper's five). Fewer keeps more room for foreground.
const BACKGROUND_POOL: usize = 5;
/// The pool for each core, so that it binds on a small server too: one slot at the least.
const POOL_PER_CORE: f64 = 0.84;
/// Core gauge from which the server counts as pressed. Lower binds the pool earlier.
const CORES_FULL_SHARE: f64 = 0.9;
/// Expected lengths left for a run on idle and on full cores: foreground, background, and any whose length a
/// hint tells, so that it varies less. Less ends more late, more turns away what would have been in time.
const START_LENGTHS: [(f64, f64); 3] = [(0.6, 1.2), (1.0, 2.0), (0.9, 1.2)];
/// Part of the wanted time by which the expected wait should stay; above it callers are asked to send less.
const WAIT_GOAL_SHARE: f64 = 0.7;
/// Part of that wait for which tokens are given out. More fills the hold, less leaves cores idle.
const TOKEN_QUEUE_SHARE: f64 = 0.35;
/// Part of the work ahead that counts for an early refusal. More turns away what might have been lucky.
const AHEAD_SHARE: f64 = 0.7;
/// A change of the signal by less is not sent. Less tells callers more and costs CPU.
const SIGNAL_STEP: f64 = 0.02;
/// Part that starts may fill; the rest is room for what arrives between two looks.
const MEMORY_START_SHARE: f64 = 0.85;

impl DecisionEngine {
    /// Rank: worth of a request, and whether it is background.
    /// Background is the lowest class. Exception: traffic over a tenant's share is background, and where
    /// all classes are worth the same it takes the place of the lowest class.
    pub(super) fn rank(&self, r: &Request) -> (f64, bool) {
        let worth = self.s.classes[r.class].worth;
        // A tenant that the settings do not name has no share.
        let saved = self.quota.get(r.tenant).map_or(0.0, |q| q[r.class]);
        let over = saved < 1.0 && !self.quota.is_empty() && self.s.over_share_worth < 1.0;
        if over {
            return (worth * self.s.over_share_worth, true);
        }
        let mut worths = self.s.active_classes().map(|(_, c)| c.worth);
        let first = worths.next();
        let tie = worths.all(|w| Some(w) == first);
        (worth, r.low && (self.quota.is_empty() || !tie))
    }

    /// The order of the hold: foreground by worth, of one worth the one that must start soonest; then
    /// background, oldest first.
    pub(super) fn queue(&self) -> Vec<RequestId> {
        let turn = |id: &RequestId| {
            let r = self.requests.get(id)?;
            let (worth, background) = self.rank(r);
            Some((background, -worth, if background { r.arrived } else { self.latest_start(r) }, *id))
        };
        let mut queue: Vec<_> = self.held.iter().filter_map(turn).collect();
        queue.sort_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal));
        queue.into_iter().map(|(.., id)| id).collect()
    }

    /// Start: in the order of the hold, background in its pool while pressed; all under the running limit.
    pub(super) fn start(&mut self, queue: &[RequestId], actions: &mut Vec<Action>) {
        let ceiling = self.crowd_ceiling();
        let pool = BACKGROUND_POOL.min((f64::from(self.s.cores) * POOL_PER_CORE) as usize).max(1);
        let full = |b: &Self| {
            b.running as f64 + 1.0 > b.limit.slots || (b.running + b.at_calls) as f64 + 1.0 > ceiling
        };
        // Pressed: the cores are nearly full, or foreground is held that cannot start.
        let mut pressed = self.gauges.core_use.is_some_and(|u| u >= CORES_FULL_SHARE);
        for &id in queue {
            let Some(r) = self.requests.get(&id).filter(|r| r.phase == Phase::Held) else { continue };
            // Asked again: a start before it may have used up what was left of its tenant's share.
            let background = self.rank(r).1;
            if full(self) {
                break;
            } else if self.may_start(id, r) && (!background || !pressed || self.background < pool) {
                self.run(id, background, actions);
            } else {
                pressed |= !background;
            }
        }
    }

    fn may_start(&self, id: RequestId, r: &Request) -> bool {
        let class = &self.s.classes[r.class];
        let in_time = self.now <= self.latest_start(r) || (self.running == 0 && self.now < r.due);
        let call_room =
            !class.makes_calls || (self.at_calls as f64) < f64::from(self.s.cores) * AT_CALL_PER_CORE;
        let fits = (self.memory + r.run_extra) as f64 <= self.s.memory_kb * 1000.0 * MEMORY_START_SHARE;
        let once = class.repeat != Repeat::Deduplicated || self.stands_for_key(id);
        let shut = r.late_for_drain || self.hung || self.way(r.class) == RouteState::Closed;
        in_time && call_room && fits && once && !shut
    }

    pub(super) fn run(&mut self, id: RequestId, background: bool, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.background = background;
        if self.running == 0 {
            self.progress_at = self.now;
        }
        if let Some(q) = self.quota.get_mut(r.tenant).map(|q| &mut q[r.class]).filter(|q| **q >= 1.0) {
            *q -= 1.0;
        }
        self.connections.refused *= 1.0 - TRIM_WEIGHT;
        self.held.remove(&id);
        self.set_phase(id, Phase::Running);
        actions.push(Action::Start(id));
        self.effect_started(id, actions);
    }

    /// Shed: what can no longer be answered in the wanted time, by itself or behind what is before it in the
    /// hold; at once, so that it has time left elsewhere. That bounds the wait of background too.
    pub(super) fn shed(&mut self, queue: &[RequestId], actions: &mut Vec<Action>) {
        // Early only where marks show that refused work comes back, and not on new connections in a storm.
        let early = self.s.marks_retries && (self.connections.reused || !self.connections.storm);
        let slots = if early { self.limit.slots } else { f64::INFINITY };
        let mut ahead_s = self.running as f64 * self.mean_length();
        for &id in queue {
            let Some(r) = self.requests.get(&id).filter(|r| r.phase == Phase::Held) else { continue };
            let start = self.now + secs(AHEAD_SHARE * ahead_s / slots);
            let hopeless = start > self.latest_start(r) || r.late_for_drain || self.effect_ran(id);
            if hopeless || self.hung || self.way(r.class) == RouteState::Closed {
                self.turn_away(id, actions);
            } else {
                ahead_s += self.length(r);
            }
        }
    }

    /// What callers are asked to send less of, from the wait that a new request would see.
    pub(super) fn signal(&mut self, actions: &mut Vec<Action>) {
        let closed = self.retire.is_some() || self.hung;
        let open = if closed { 0.0 } else { 1.0 - self.level };
        let value = match self.s.signal {
            Signal::Off => return,
            Signal::MinRank => 1.0 - open,
            Signal::Tokens if !closed => {
                let queue = TOKEN_QUEUE_SHARE * self.limit.slots * self.wait_goal() / self.mean_length();
                // Only callers heard of within the time that they keep the value in mind count.
                let since = self.now.saturating_sub(self.s.signal_lifetime);
                let active = self.connections.seen.values().filter(|at| **at >= since).count();
                (self.limit.slots + self.at_calls as f64 + queue) / active.max(1) as f64
            }
            Signal::Tokens | Signal::Bias => open,
        };
        let told = self.signalled.unwrap_or(f64::INFINITY);
        if (value - told).abs() > SIGNAL_STEP * value.max(0.5) || (value != told && value == 0.0) {
            self.signalled = Some(value);
            actions.push(Action::Signal(value));
        }
    }

    pub(super) fn length(&self, r: &Request) -> f64 {
        self.lengths[r.class].expect(r.hint)
    }

    pub(super) fn mean_length(&self) -> f64 {
        let sum: f64 = self.s.active_classes().map(|(at, _)| self.lengths[at].mean_s).sum();
        (sum / self.s.active_classes().count() as f64).max(f64::EPSILON)
    }

    pub(super) fn wait_goal(&self) -> f64 {
        let least = self.s.active_classes().map(|(_, c)| c.target_latency).min().unwrap_or_default();
        least.max(TICK).as_secs_f64() * WAIT_GOAL_SHARE
    }

    pub(super) fn latest_start(&self, r: &Request) -> Duration {
        let end = self.retire.map_or(r.wanted, |(_, stop)| r.wanted.min(stop.saturating_sub(STOP_MARGIN)));
        let load = (self.running as f64 / self.limit.slots).min(1.0);
        let (idle, full) = START_LENGTHS[r.hint.map_or(usize::from(r.low), |_| 2)];
        end.saturating_sub(secs(self.length(r) * (idle + (full - idle) * load)))
    }

    pub(super) fn refill_quota(&mut self) {
        let step = self.now.saturating_sub(self.quota_at).as_secs_f64();
        self.quota_at = self.now;
        for (saved, tenant) in self.quota.iter_mut().zip(&self.s.tenants) {
            let rate = tenant.quota_per_s / f64::from(self.s.servers.max(1));
            for (q, part) in saved.iter_mut().zip(&self.mix) {
                *q = (*q + rate * part * step).min(QUOTA_BURST);
            }
        }
    }
}
