//! The decision module: decides which requests start, wait, are refused or fail, and when calls are made.
//!
//! It has no I/O and no clock of its own. The host passes each [`Event`] to [`DecisionEngine::on_event`], calls
//! [`DecisionEngine::decide`] after a batch of events, and carries out the [`Action`]s that both return; these
//! types are in [`crate::interface`]. The same events always lead to the same actions.
//!
//! The design follows Eggert and Heidemann (1999): low-worth background requests are confined to a small pool of
//! running slots while the server is under pressure, foreground requests start first, and all requests run under a
//! limit that is learned by hill climbing on the throughput.
//!
//! This file holds the state and the handling of events. [`schedule`] covers the ordinary path: the order of held
//! requests, starts, early refusals and the load signal. [`limit`] adapts the running limit, and [`run_length`]
//! estimates how long runs take. [`calls`] limits calls to the dependency, and [`keys`] runs each deduplicated
//! request once. [`guards`] handles full memory, deadlines, the drain and hangs. [`connections`] decides when idle
//! connections are closed.

mod calls;
mod connections;
mod guards;
mod keys;
mod limit;
mod run_length;
mod schedule;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::interface::*;
use calls::Calls;
use connections::{Connections, CONNECT_COST_S, MIN_CONNECT_USE};
use keys::KeyGroups;
use limit::Limit;
use run_length::RunLength;

/// The limit may climb while more cores than this are idle. A lower value climbs on the gaps between two runs.
const IDLE_CORES: f64 = 0.5;
/// Time between two timer events, at which the gauges are read. A shorter one reacts sooner and costs CPU.
const TICK: Duration = Duration::from_millis(50);
/// Weight of a new run in the learned run length, and of a new call in the learned delay of calls.
const LEARN_WEIGHT: f64 = 0.1;
/// Rise of the level at a tick per unit of excess wait of the foreground, and its fall at a tick without excess. The
/// level keeps foreground away too, since callers send less of everything.
const LEVEL_STEP: (f64, f64) = (0.03, 0.01);
/// Upper bound of the level, so that some requests always arrive to learn from.
const MAX_LEVEL: f64 = 0.95;
/// Requests of its quota that a tenant may save up. One server sees a noisy sample of a tenant's traffic; a higher
/// value tolerates more of that noise.
const QUOTA_BURST: f64 = 8.0;
/// Weight of a first try in the classes' shares of the traffic. A higher value adapts sooner and is noisier.
const TRAFFIC_WEIGHT: f64 = 0.01;
/// Every request is answered at least this long before the process is stopped.
const STOP_MARGIN: Duration = Duration::from_millis(200);
/// A try whose span, the share of the client's timeout that is left at its arrival, is shorter than usual by this
/// much is a retry. A lower value mistakes jitter for age.
const SPAN_TOLERANCE: f64 = 0.02;
/// Votes that the usual span can gather (a majority vote), so that a storm of retries does not replace it. A higher
/// value is slower to follow a real change.
const SPAN_VOTES: u32 = 100;
/// Estimates of the first try that were proved too early, per confirmed one, up to which the estimate from a longer
/// span than usual is used for foreground requests too. Where callers cut off the first attempt, half of the
/// estimates are too early.
const MAX_WRONG_ESTIMATES: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits to be started.
    Held,
    /// It runs and needs no call now.
    Running,
    /// It runs and needs a call that is not made yet.
    AwaitingCall,
    /// It runs, and its call is in progress.
    Calling,
    /// It waits for the result of another try with the same key or of the same read.
    Joined,
}

#[derive(Clone, Debug)]
struct Request {
    class: usize,
    tenant: usize,
    phase: Phase,
    arrived: Duration,
    /// An answer by this time earns the full worth.
    target_at: Duration,
    /// The client stops waiting at this time.
    due: Duration,
    hint: Option<Duration>,
    /// Memory while held, in thousandths of a kilobyte, and what a run takes on top.
    size: u64,
    run_extra: u64,
    /// It belongs to the lowest of the classes by its rank.
    lowest: bool,
    /// It was started as a background request.
    background: bool,
    is_repeat: bool,
    answered: bool,
    /// It arrived after the grace of a drain and must not run.
    late_for_drain: bool,
    call_tries: u8,
    /// What the fleet's routes allow of its calls, where the fleet routes them.
    limits: Option<CallLimits>,
}

/// The decision module of one server.
#[derive(Clone, Debug, Default)]
pub struct DecisionEngine {
    settings: Settings,
    started_at: Duration,
    now: Duration,
    gauges: Gauges,
    requests: BTreeMap<RequestId, Request>,
    held: BTreeSet<RequestId>,
    /// Calls that are not made yet, by the time from which they may be made.
    waiting_calls: BTreeSet<(Duration, RequestId)>,
    /// Requests that run and need no call now, those that wait for a call or make one, and the background ones of
    /// both.
    running: usize,
    at_calls: usize,
    background: usize,
    /// Memory that requests and keys take, in thousandths of a kilobyte.
    memory: u64,
    limit: Limit,
    run_lengths: Vec<RunLength>,
    route_states: Vec<RouteState>,
    calls: Calls,
    connections: Connections,
    key_groups: KeyGroups,
    /// The quota that each tenant has left for each class, when it was last refilled, and each class's share of the
    /// first tries. A tenant's quota is divided among the classes by these shares.
    quota: Vec<Vec<f64>>,
    quota_refilled_at: Duration,
    traffic_shares: Vec<f64>,
    /// For each caller and class: the usual span of a try, and its votes. The span is the share of the client's
    /// timeout that is left when a try arrives.
    usual_spans: BTreeMap<(u32, usize), (f64, u32)>,
    /// Repeats of a key whose first arrival is known: how many of their estimated first tries were confirmed by it,
    /// and how many were too early.
    estimates: (f64, f64),
    /// How much callers are asked to send less, from 0 to 1.
    level: f64,
    sent_signal: Option<f64>,
    last_progress: Duration,
    hung: bool,
    unhealthy: bool,
    health_changed_at: Duration,
    /// When the stop signal was received, and when the process is killed.
    drain: Option<(Duration, Duration)>,
    tick_pending: bool,
    begun: bool,
    next_tick: Duration,
    logged_at: BTreeMap<&'static str, Duration>,
}

impl DecisionEngine {
    /// Creates an instance for these settings. The seed is not used: no decision is random so far.
    pub fn new(settings: Settings, _seed: u64, now: Duration) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            run_lengths: settings.classes.iter().map(RunLength::guess).collect(),
            quota: vec![vec![QUOTA_BURST / 2.0; settings.classes.len()]; settings.tenants.len()],
            traffic_shares: vec![1.0 / settings.classes.len() as f64; settings.classes.len()],
            limit: Limit::new(settings.cores, now),
            started_at: now,
            now,
            quota_refilled_at: now,
            last_progress: now,
            health_changed_at: now,
            next_tick: now,
            settings,
            ..Self::default()
        })
    }

    /// Replaces the settings of a running instance. A class keeps its index and what was learned about it. The
    /// indices in `fresh` are new classes, some of which may reuse the index of a removed class.
    pub fn reconfigure(&mut self, settings: Settings, fresh: &[usize]) {
        self.run_lengths.truncate(settings.classes.len());
        self.run_lengths.extend(settings.classes.iter().skip(self.run_lengths.len()).map(RunLength::guess));
        fresh.iter().for_each(|at| self.run_lengths[*at] = RunLength::guess(&settings.classes[*at]));
        self.usual_spans.retain(|(_, class), _| !fresh.contains(class));
        self.quota.resize(settings.tenants.len(), Vec::new());
        self.quota.iter_mut().for_each(|q| q.resize(settings.classes.len(), QUOTA_BURST / 2.0));
        self.traffic_shares.resize(settings.classes.len(), 0.0);
        self.settings = Settings { cold: self.settings.cold, ..settings };
    }

    /// Records an event. Only what cannot wait for [`DecisionEngine::decide`] is decided here.
    pub fn on_event(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Arrived(arrival) => self.on_arrival(&arrival, actions),
            Event::Withdrawn { id } => self.resolve(id, actions),
            Event::Finished { id, outcome, took } => self.on_finished(id, outcome, took, actions),
            Event::CallNeeded { id } => {
                self.last_progress = now;
                // A route limits the tries of each call, not those of all calls of a run together.
                let next_call = |r: &&mut Request| r.limits.is_some() && r.phase == Phase::Running;
                self.requests.get_mut(&id).filter(next_call).into_iter().for_each(|r| r.call_tries = 0);
                self.set_phase(id, Phase::AwaitingCall);
                self.waiting_calls.insert((now, id));
            }
            Event::CallEnded { id, outcome, took, may_repeat } => {
                self.on_call_ended(id, outcome, took, may_repeat, actions);
            }
            Event::RouteStates(states) => self.route_states = states,
            Event::CallLimits { id, limits } => {
                self.requests.get_mut(&id).into_iter().for_each(|r| r.limits = Some(limits));
            }
            Event::Drain { age, stop_at } => {
                self.drain = Some((now.saturating_sub(age), stop_at));
                self.log("draining: requests that arrive after the grace do not run", actions);
            }
            Event::Timer { gauges, .. } => {
                self.gauges = gauges;
                self.tick(actions);
            }
        }
    }

    /// Decides after a batch of events.
    pub fn decide(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.now = now;
        if !std::mem::replace(&mut self.begun, true) {
            actions.push(Action::Health { healthy: true });
            self.tick(actions);
        }
        if std::mem::take(&mut self.tick_pending) {
            self.expire_keys();
            self.answer_due(actions);
        }
        self.make_calls(actions);
        self.refill_quota();
        let queue = self.queue();
        self.shed_keys(&queue, actions);
        self.start_queued(&queue, actions);
        self.shed_memory(&queue, actions);
        self.shed(&queue, actions);
        self.forget_ended_tries();
        self.update_signal(actions);
    }

    fn on_arrival(&mut self, a: &Arrival, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(a.class).cloned() else {
            return actions.push(Action::Refuse { id: a.id, retry_after: Duration::ZERO, no_retry: false });
        };
        let arrived = self.now.saturating_sub(a.age);
        let due = a.due.unwrap_or(arrived + class.client_timeout).max(self.now);
        let stretch = a.hint.unwrap_or_default().as_secs_f64() * class.target_stretch.max(0.0);
        let lowest = a.rank * (self.settings.active_classes().count() as f64) < 1.0;
        let first_try = self.estimate_first_try(a, lowest, [arrived, due], class.client_timeout);
        if first_try == arrived {
            for (class, share) in self.traffic_shares.iter_mut().enumerate() {
                *share += TRAFFIC_WEIGHT * (f64::from(u8::from(class == a.class)) - *share);
            }
        }
        let size = (a.size_kb.clamp(0.0, 1e12) * 1000.0).ceil();
        let request = Request {
            class: a.class,
            tenant: a.tenant,
            phase: Phase::Held,
            arrived,
            target_at: (first_try + (class.target_latency + secs(stretch)).min(class.client_timeout))
                .min(due),
            due,
            hint: a.hint,
            size: size as u64,
            run_extra: (size * (self.settings.run_factor - 1.0).max(0.0)).ceil() as u64,
            lowest,
            background: false,
            is_repeat: a.repeats.is_some(),
            answered: false,
            late_for_drain: self.drain.is_some_and(|(at, _)| arrived > at + self.settings.drain_grace),
            call_tries: 0,
            limits: None,
        };
        // Where a new connection has a price, keeping a connection open is worth more while cores are idle.
        let used = self.gauges.core_use.filter(|_| self.settings.connect_price > 0.0).unwrap_or(1.0);
        let cost_s = CONNECT_COST_S / used.clamp(MIN_CONNECT_USE, 1.0);
        self.connections.on_arrival(a.caller, a.marked_retry, cost_s, arrived);
        self.memory += request.size;
        self.requests.insert(a.id, request);
        self.held.insert(a.id);
        // A request that is due before the next tick is answered in this batch.
        self.tick_pending |= due <= self.next_tick;
        let reusable = class.repeat == Repeat::Idempotent && !self.settings.fresh_for.is_zero();
        if class.repeat == Repeat::Deduplicated {
            self.add_keyed_try(a, arrived, class.window, actions);
        }
        if self.stopping() {
            // The process may be stopped before the next tick.
            self.refuse(a.id, actions);
        } else if reusable && a.repeats.is_some() {
            self.join(a.id, actions);
        }
    }

    /// Estimates when the client first tried. Each caller gives its tries a usual span. A try with a shorter span
    /// is an unmarked retry whose span is cut short by the end of the client's timeout, which tells when that
    /// timeout began.
    fn estimate_first_try(
        &mut self,
        a: &Arrival,
        lowest: bool,
        at: [Duration; 2],
        timeout: Duration,
    ) -> Duration {
        let [arrived, due] = at;
        if !self.settings.entry || a.due.is_none() {
            // Without a deadline, a marked retry is assumed to have been refused elsewhere as late as tries are
            // refused here.
            let spent = secs(self.run_lengths[a.class].refused_age_s * f64::from(u8::from(a.marked_retry)));
            return arrived.saturating_sub(spent);
        }
        let span = due.saturating_sub(arrived).as_secs_f64() / timeout.max(TICK).as_secs_f64();
        let (usual, votes) = self.usual_spans.entry((a.caller, a.class)).or_insert((span, 0));
        // A last try may also get all that is left of the timeout: a span longer than usual, but less than the whole.
        let differs = (span - *usual).abs() >= SPAN_TOLERANCE;
        let shorter = span <= *usual;
        let retry = differs && span < 1.0 - SPAN_TOLERANCE / 2.0;
        match votes {
            _ if !differs => *votes = (*votes + 1).min(SPAN_VOTES),
            0 => *usual = span,
            _ => *votes -= 1,
        }
        // A span longer than usual may also be the rest of a first attempt that the caller cut off. Repeats of a
        // key show whether that happens here; while it may, the estimate is used for background requests only.
        let estimate = due.saturating_sub(timeout);
        if let Some(first) =
            a.repeats.and_then(|id| self.key_groups.get(id)?.first_arrival).filter(|_| differs)
        {
            let right = estimate + secs(timeout.as_secs_f64() * SPAN_TOLERANCE) >= first;
            *(if right { &mut self.estimates.0 } else { &mut self.estimates.1 }) += 1.0;
        }
        let reliable = self.estimates.1 <= MAX_WRONG_ESTIMATES * self.estimates.0;
        Some(estimate).filter(|_| retry && (shorter || reliable || lowest)).unwrap_or(arrived)
    }

    fn on_finished(&mut self, id: RequestId, outcome: Outcome, took: Duration, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.phase != Phase::Joined {
            self.last_progress = self.now;
        }
        if outcome == Outcome::Done && r.phase == Phase::Running {
            self.limit.completed += 1;
            self.run_lengths[r.class].learn(took, r.hint);
        } else if outcome.never_ran() && r.phase == Phase::Running {
            // Nothing began: another try with its key may run, and without one the key is of no use.
            let group = self.key_groups.group_of.get(&id).and_then(|g| self.key_groups.groups.get_mut(g));
            group.into_iter().for_each(|g| g.started = None);
            self.release_key(id, actions);
        }
        self.remove(id);
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        self.tick_pending = true;
        // A late tick means that the whole process was suspended; the missed time does not count as time without
        // progress.
        let stalled = self.now.saturating_sub(self.next_tick);
        self.last_progress = (self.last_progress + stalled).min(self.now);
        self.next_tick = self.now + TICK;
        actions.push(Action::SetTimer { token: 0, after: TICK });
        let cores = f64::from(self.settings.cores);
        let (held, full) = (!self.held.is_empty(), (self.running as f64) + 1.0 > self.limit.slots);
        let idle = self.gauges.core_use.is_some_and(|u| (1.0 - u) * cores > IDLE_CORES);
        self.limit.update(self.now, held && full, held, idle);
        self.limit.slots = self.limit.slots.min(self.load_ceiling()).max(cores);
        if let Some(after) = self.connections.trim(self.settings.idle_timeout, idle) {
            actions.push(Action::TrimIdle(after));
            let storm = "most requests are refused: idle connections stay open";
            self.log(if self.connections.storm { storm } else { "closing idle connections" }, actions);
        }
        let foreground =
            self.held.iter().filter_map(|id| self.requests.get(id)).filter(|r| !self.priority(r).1);
        let wait = foreground.map(|r| self.expected_length(r)).sum::<f64>() / self.limit.slots;
        let excess = wait / self.target_wait() - 1.0;
        let step = if excess > 0.0 { LEVEL_STEP.0 * excess.min(2.0) } else { -LEVEL_STEP.1 };
        self.level = (self.level + step).clamp(0.0, MAX_LEVEL);
        self.check_hang(actions);
        if self.settings.preemption != Preemption::Off {
            // Stops runs whose request is already answered. Repeated at each tick, as a hung run may miss the first
            // one.
            let unneeded = self.requests.iter().filter(|(_, r)| r.answered && r.phase == Phase::Running);
            actions.extend(unneeded.map(|(id, _)| Action::Preempt(*id)));
        }
    }
}

fn secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.clamp(0.0, 1e9)).unwrap_or_default()
}
