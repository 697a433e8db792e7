//! The ordinary path: the order of held requests, which of them start under the limit, which are refused early, and
//! how much callers are asked to send.

use std::cmp::Ordering;
use std::time::Duration;

use super::calls::AT_CALL_PER_CORE;
use super::connections::TRIM_WEIGHT;
use super::{secs, DecisionEngine, Phase, Request, QUOTA_BURST, STOP_MARGIN, TICK};
use crate::interface::*;

/// Slots that background requests may hold while the server is under pressure; five as in the paper. Fewer leave
/// more room for foreground.
const BACKGROUND_POOL: usize = 5;
/// Size of the pool per core where that is less, so that it binds on a small server too. It has at least one slot.
const POOL_PER_CORE: f64 = 0.84;
/// Use of the cores from which the server is under pressure. A lower value makes the pool bind earlier.
const CORES_FULL_SHARE: f64 = 0.9;
/// Expected run lengths that must be left for a run to start, on idle and on full cores: for foreground, for
/// background, and for requests with a hint, whose length varies less. Lower values end more runs late; higher ones
/// refuse more requests that would have been in time.
const START_LENGTHS: [(f64, f64); 3] = [(0.6, 1.2), (1.0, 2.0), (0.9, 1.2)];
/// Part of the shortest target latency that the expected wait should not exceed. Above it, callers are asked to
/// send less.
const TARGET_WAIT_SHARE: f64 = 0.7;
/// Part of that wait for which tokens are issued. A higher value fills the queue, a lower one leaves cores idle.
const TOKEN_QUEUE_SHARE: f64 = 0.35;
/// Part of the work ahead of a request that counts for an early refusal. A higher value refuses requests that might
/// have started in time.
const AHEAD_SHARE: f64 = 0.7;
/// A smaller relative change of the signal is not sent. A lower value informs callers more exactly and costs CPU.
const SIGNAL_STEP: f64 = 0.02;
/// Part of the memory that starts may fill; the rest is left for requests that arrive before the next decision.
const MEMORY_START_SHARE: f64 = 0.85;

impl DecisionEngine {
    /// The worth of a request, and whether it is a background request. Those of the lowest class are.
    ///
    /// Traffic over a tenant's share is background too. Where all classes are worth the same, only that traffic is.
    pub(super) fn priority(&self, r: &Request) -> (f64, bool) {
        let worth = self.settings.classes[r.class].worth;
        // A tenant that is not in the settings has no share.
        let saved = self.quota.get(r.tenant).map_or(0.0, |q| q[r.class]);
        let over = saved < 1.0 && !self.quota.is_empty() && self.settings.over_share_worth < 1.0;
        if over {
            return (worth * self.settings.over_share_worth, true);
        }
        let mut worths = self.settings.active_classes().map(|(_, c)| c.worth);
        let first = worths.next();
        let tie = worths.all(|w| Some(w) == first);
        (worth, r.lowest && (self.quota.is_empty() || !tie))
    }

    /// The order of the held requests: foreground by worth, with equal worth by the latest time to start; then
    /// background, oldest first.
    pub(super) fn queue(&self) -> Vec<RequestId> {
        let position = |id: &RequestId| {
            let r = self.requests.get(id)?;
            let (worth, background) = self.priority(r);
            Some((background, -worth, if background { r.arrived } else { self.latest_start(r) }, *id))
        };
        let mut queue: Vec<_> = self.held.iter().filter_map(position).collect();
        queue.sort_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal));
        queue.into_iter().map(|(.., id)| id).collect()
    }

    /// Starts held requests in the order of the queue, all under the running limit, and background requests within
    /// their pool while the server is under pressure.
    pub(super) fn start_queued(&mut self, queue: &[RequestId], actions: &mut Vec<Action>) {
        let ceiling = self.load_ceiling();
        let pool = BACKGROUND_POOL.min((f64::from(self.settings.cores) * POOL_PER_CORE) as usize).max(1);
        let full = |engine: &Self| {
            engine.running as f64 + 1.0 > engine.limit.slots
                || (engine.running + engine.at_calls) as f64 + 1.0 > ceiling
        };
        // The server is under pressure when the cores are nearly full, or a held foreground request cannot start.
        let mut pressed = self.gauges.core_use.is_some_and(|u| u >= CORES_FULL_SHARE);
        for &id in queue {
            let Some(r) = self.requests.get(&id).filter(|r| r.phase == Phase::Held) else { continue };
            // Determined anew: an earlier start in this loop may have used up the share of the request's tenant.
            let background = self.priority(r).1;
            if full(self) {
                break;
            } else if self.may_start(id, r) && (!background || !pressed || self.background < pool) {
                self.start(id, background, actions);
            } else {
                pressed |= !background;
            }
        }
    }

    fn may_start(&self, id: RequestId, r: &Request) -> bool {
        let class = &self.settings.classes[r.class];
        let in_time = self.now <= self.latest_start(r) || (self.running == 0 && self.now < r.due);
        let call_room =
            !class.makes_calls || (self.at_calls as f64) < f64::from(self.settings.cores) * AT_CALL_PER_CORE;
        let fits =
            (self.memory + r.run_extra) as f64 <= self.settings.memory_kb * 1000.0 * MEMORY_START_SHARE;
        let once = class.repeat != Repeat::Deduplicated || self.starts_for_key(id);
        let barred = r.late_for_drain || self.hung || self.route_state(r.class) == RouteState::Closed;
        in_time && call_room && fits && once && !barred
    }

    pub(super) fn start(&mut self, id: RequestId, background: bool, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.background = background;
        if self.running == 0 {
            self.last_progress = self.now;
        }
        if let Some(q) = self.quota.get_mut(r.tenant).map(|q| &mut q[r.class]).filter(|q| **q >= 1.0) {
            *q -= 1.0;
        }
        self.connections.refused *= 1.0 - TRIM_WEIGHT;
        self.held.remove(&id);
        self.set_phase(id, Phase::Running);
        actions.push(Action::Start(id));
        self.key_started(id, actions);
    }

    /// Refuses held requests that can no longer be answered by their target, by themselves or behind the queue
    /// ahead of them. They are refused at once, so that they have time left elsewhere. This bounds the wait of
    /// background requests too.
    pub(super) fn shed(&mut self, queue: &[RequestId], actions: &mut Vec<Action>) {
        // The queue ahead counts only where marks show that refused requests come back, and not in a storm that
        // arrives on new connections.
        let early = self.settings.marks_retries && (self.connections.reused || !self.connections.storm);
        let slots = if early { self.limit.slots } else { f64::INFINITY };
        let mut ahead_s = self.running as f64 * self.mean_length();
        for &id in queue {
            let Some(r) = self.requests.get(&id).filter(|r| r.phase == Phase::Held) else { continue };
            let start = self.now + secs(AHEAD_SHARE * ahead_s / slots);
            let hopeless = start > self.latest_start(r) || r.late_for_drain || self.key_ran(id);
            if hopeless || self.hung || self.route_state(r.class) == RouteState::Closed {
                self.refuse(id, actions);
            } else {
                ahead_s += self.expected_length(r);
            }
        }
    }

    /// Computes the load signal for callers from the wait that a new request would see, and sends it if it changed.
    pub(super) fn update_signal(&mut self, actions: &mut Vec<Action>) {
        let closed = self.drain.is_some() || self.hung;
        let open = if closed { 0.0 } else { 1.0 - self.level };
        let value = match self.settings.signal {
            Signal::Off => return,
            Signal::MinRank => 1.0 - open,
            Signal::Tokens if !closed => {
                let queue = TOKEN_QUEUE_SHARE * self.limit.slots * self.target_wait() / self.mean_length();
                // Only callers that were seen within the lifetime of a signal count.
                let since = self.now.saturating_sub(self.settings.signal_lifetime);
                let active = self.connections.last_seen.values().filter(|at| **at >= since).count();
                (self.limit.slots + self.at_calls as f64 + queue) / active.max(1) as f64
            }
            Signal::Tokens | Signal::Bias => open,
        };
        let sent = self.sent_signal.unwrap_or(f64::INFINITY);
        if (value - sent).abs() > SIGNAL_STEP * value.max(0.5) || (value != sent && value == 0.0) {
            self.sent_signal = Some(value);
            actions.push(Action::Signal(value));
        }
    }

    pub(super) fn expected_length(&self, r: &Request) -> f64 {
        self.run_lengths[r.class].expected_s(r.hint)
    }

    pub(super) fn mean_length(&self) -> f64 {
        let sum: f64 = self.settings.active_classes().map(|(at, _)| self.run_lengths[at].mean_s).sum();
        (sum / self.settings.active_classes().count() as f64).max(f64::EPSILON)
    }

    pub(super) fn target_wait(&self) -> f64 {
        let shortest =
            self.settings.active_classes().map(|(_, c)| c.target_latency).min().unwrap_or_default();
        shortest.max(TICK).as_secs_f64() * TARGET_WAIT_SHARE
    }

    pub(super) fn latest_start(&self, r: &Request) -> Duration {
        let end =
            self.drain.map_or(r.target_at, |(_, stop)| r.target_at.min(stop.saturating_sub(STOP_MARGIN)));
        let load = (self.running as f64 / self.limit.slots).min(1.0);
        let (idle, full) = START_LENGTHS[r.hint.map_or(usize::from(r.lowest), |_| 2)];
        end.saturating_sub(secs(self.expected_length(r) * (idle + (full - idle) * load)))
    }

    pub(super) fn refill_quota(&mut self) {
        let step = self.now.saturating_sub(self.quota_refilled_at).as_secs_f64();
        self.quota_refilled_at = self.now;
        for (saved, tenant) in self.quota.iter_mut().zip(&self.settings.tenants) {
            let rate = tenant.quota_per_s / f64::from(self.settings.servers.max(1));
            for (q, share) in saved.iter_mut().zip(&self.traffic_shares) {
                *q = (*q + rate * share * step).min(QUOTA_BURST);
            }
        }
    }
}
