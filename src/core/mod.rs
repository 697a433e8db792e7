//! The reducer: it owns the state of all requests and knows no wire format, no socket and no clock.
//!
//! [`Core::step`] takes [`Input`]s and returns [`Effect`]s, which the network layer carries out. The reducer alone
//! drives the decision module: inputs become the module's events, and the module's actions become effects. Times are
//! [`Duration`]s since the Unix epoch on a monotonic clock; the caller of `step` passes the current time.
//!
//! `arrivals`, `answers` and `answer_deadlines` handle requests and their answers; `runs`, `delivery`, `calls` and
//! `call_routes` the runs at the agent and their calls; [`keys`] the idempotency keys; `succession` the handover
//! between two processes, and `standby` orders to both of them; `shutdown` the drain; and `reload` new settings.

mod answer_deadlines;
mod answers;
mod arrivals;
mod call_history;
mod call_routes;
mod calls;
mod counters;
mod delivery;
mod end;
mod error;
pub mod keys;
mod log_limit;
mod past_runs;
mod reload;
mod reply;
mod runs;
mod shutdown;
mod standby;
mod succession;
mod types;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use crate::decisions::DecisionEngine;
use crate::interface::{Action, Event, Gauges, RequestId};
use crate::settings::{MemoryBudget, Site};

use answer_deadlines::AnswerDeadlines;
use calls::CallState;
pub use counters::Counters;
use delivery::{AgentLink, PendingCommand, SentCommands};
pub use end::End;
pub use error::CoreError;
use keys::Keys;
use log_limit::LogLimit;
use past_runs::PastRuns;
pub use reply::{AskId, CallReply, ReplyDigest, ReplyOrigin};
use standby::UnsentStandbyOrder;
pub use types::*;

/// How long requested gauges are awaited. The decision module's timers must not stop if the agent sends none.
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(20);
/// Gauges older than this are not passed to the decision module.
const SAMPLE_MAX_AGE: Duration = Duration::from_millis(500);
/// Interval between two searches for keys that can be forgotten.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A timer of the reducer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(u64),
    SampleOverdue(u64),
    CallOverdue(RequestId, u32),
    RunLost(RequestId),
    ReplyInDoubt(RequestId, u64),
    Sweep,
    DrainGrace,
}

/// The phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It is not launched yet.
    Held,
    Running,
    Paused,
    /// Its run waits for a call to the dependency.
    AtCall,
    /// It waits for the result of another try of its key.
    Joined,
}

/// A request that has no answer yet, or whose run has not ended.
#[derive(Clone, Debug)]
struct ActiveRequest {
    /// The connection that gets the answer; `None` after the answer was sent.
    conn: Option<ConnId>,
    handle: Handle,
    class: usize,
    key: Option<Key>,
    due: Duration,
    body: Bytes,
    phase: Phase,
    repeats: Option<RequestId>,
    /// Requests that wait for the result of this one.
    waiters: Vec<RequestId>,
    began: Duration,
    call: CallState,
    /// What the route of its calls depends on, where the fleet routes calls.
    route: Option<Box<call_routes::RouteKey>>,
    /// The last command about this run, until the agent is known to have read it.
    pending: Option<PendingCommand>,
    /// Which commands about this run were sent so far.
    sent: SentCommands,
    /// It will never be known whether its launch was read; the decision module was notified that the run has ended.
    is_orphan: bool,
}

/// The reducer.
#[derive(Clone, Debug)]
pub struct Core {
    engine: DecisionEngine,
    site: Site,
    seed: u64,
    stop_after: Duration,
    next_id: RequestId,
    requests: HashMap<RequestId, ActiveRequest>,
    handles: HashMap<Handle, RequestId>,
    keys: Keys,
    timers: BinaryHeap<Reverse<(Duration, Timer)>>,
    /// Events for the decision module that are not processed yet.
    events: VecDeque<Event>,
    /// The ticket of the last request for gauges, and the tokens of the module's timers that wait for them.
    sample_ticket: u64,
    waiting_timers: Vec<u64>,
    gauges: (Duration, Gauges),
    has_agent_greeted: bool,
    agent_link: AgentLink,
    /// The number of the last attempt at a call, counted over all requests: a request that arrives again under the same
    /// handle gets other numbers.
    last_attempt: u32,
    past_runs: PastRuns,
    /// Each call to the dependency has a connection of its own, so its reply cannot be confused with that to another
    /// call.
    has_dedicated_call_connections: bool,
    /// Classes that the site no longer has, and until when requests of them are accepted.
    served_until: BTreeMap<usize, Duration>,
    peer: succession::PeerState,
    /// Route states and call limits of the classes, where the fleet routes calls.
    routes: Option<call_routes::ClassRoutes>,
    healthy: bool,
    /// Operators want clients to stay away.
    standby: bool,
    /// Standby orders of which peer processes could not be told.
    unsent_standby_orders: Vec<UnsentStandbyOrder>,
    /// Whether lease reports to the control plane say that this matcher is ready.
    reported_ready: bool,
    signal: Option<f64>,
    /// The answers that are owed, and their deadlines.
    deadlines: AnswerDeadlines,
    drain: Option<shutdown::Drain>,
    grace_over: bool,
    exit_requested: bool,
    counters: Counters,
    /// Log lines about commands that the agent refused, since the last sweep.
    refusal_lines: LogLimit,
    effects: Vec<Effect>,
}

impl Core {
    /// Creates a reducer for this configuration, without any requests.
    ///
    /// # Errors
    /// [`CoreError`] if the decision module cannot use the settings.
    pub fn new(site: Site, seed: u64, stop_after: Duration, now: Duration) -> Result<Self, CoreError> {
        let mut settings = shutdown::with_grace_from_reading(site.settings.clone());
        settings.repeats_unanswered_calls = false;
        let engine = DecisionEngine::new(settings, seed, now)?;
        let mut core = Self {
            engine,
            site,
            seed,
            stop_after,
            next_id: 1,
            requests: HashMap::new(),
            handles: HashMap::new(),
            keys: Keys::default(),
            timers: BinaryHeap::new(),
            events: VecDeque::new(),
            sample_ticket: 0,
            waiting_timers: Vec::new(),
            gauges: (Duration::ZERO, Gauges::default()),
            has_agent_greeted: false,
            agent_link: AgentLink::default(),
            last_attempt: 0,
            past_runs: PastRuns::default(),
            has_dedicated_call_connections: false,
            served_until: BTreeMap::new(),
            peer: succession::PeerState::default(),
            routes: None,
            healthy: true,
            standby: false,
            unsent_standby_orders: Vec::new(),
            reported_ready: true,
            signal: None,
            deadlines: AnswerDeadlines::default(),
            drain: None,
            grace_over: false,
            exit_requested: false,
            counters: Counters::default(),
            refusal_lines: LogLimit::default(),
            effects: Vec::new(),
        };
        core.arm(now + SWEEP_INTERVAL, Timer::Sweep);
        Ok(core)
    }

    /// Limits the tables that clients can fill.
    pub fn set_memory_budget(&mut self, budget: MemoryBudget) {
        self.keys.set_budget(budget);
    }

    /// When [`Core::step`] must be called again even if there is no input.
    pub fn next_timer(&self) -> Option<Duration> {
        [self.next_armed(), self.deadlines.next()].into_iter().flatten().min()
    }

    /// The earliest timer, except for the deadlines of answers.
    fn next_armed(&self) -> Option<Duration> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// The counters so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Handles all inputs and expired timers, lets the decision module decide once, and returns the effects in order.
    pub fn step(&mut self, now: Duration, inputs: impl IntoIterator<Item = Input>) -> Vec<Effect> {
        let mut actions = Vec::new();
        for input in inputs {
            self.handle_input(now, input, &mut actions);
            self.process_events(now, &mut actions);
        }
        while self.next_armed().is_some_and(|at| at <= now) {
            let Some(Reverse((_, timer))) = self.timers.pop() else { break };
            self.handle_timer(now, timer, &mut actions);
            self.process_events(now, &mut actions);
        }
        self.answer_overdue_requests(now);
        self.process_events(now, &mut actions);
        self.engine.decide(now, &mut actions);
        self.process_events(now, &mut actions);
        self.exit_when_done();
        self.request_acknowledgement();
        let ready = self.accepts_clients() && (self.drain.is_none() || self.peer.has_taken_over());
        if std::mem::replace(&mut self.reported_ready, ready) != ready {
            self.effects.push(Effect::ReportReadiness(ready));
        }
        let effects = std::mem::take(&mut self.effects);
        self.counters.commands += effects.iter().filter(|e| matches!(e, Effect::Agent { .. })).count() as u64;
        effects
    }

    /// Whether clients should send requests to this matcher. After a handover the successor serves at the same
    /// address, so this process must not send its clients away.
    fn accepts_clients(&self) -> bool {
        (self.healthy || self.peer.has_taken_over()) && !self.standby
    }

    fn arm(&mut self, at: Duration, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    /// Performs actions and passes the events that they cause to the decision module, until none is left.
    fn process_events(&mut self, now: Duration, actions: &mut Vec<Action>) {
        loop {
            for action in std::mem::take(actions) {
                self.perform(now, action);
            }
            let Some(event) = self.events.pop_front() else { return };
            self.engine.on_event(now, event, actions);
        }
    }

    // ---- Inputs -------------------------------------------------------------------------------------

    fn handle_input(&mut self, now: Duration, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Request(request) => self.handle_request(now, *request),
            // Shallow and deep checks get the same answer: the decision module observes whether requests are completed.
            Input::HealthCheck { conn, .. } => {
                self.counters.checks += 1;
                let good = self.accepts_clients();
                let verdict = if good { Verdict::Healthy } else { Verdict::Unhealthy };
                self.answer(conn, verdict);
            }
            Input::Rejected => self.counters.rejected += 1,
            Input::AnswerWriteFailed(end) => self.counters.unsent(end),
            Input::ClientGone { conn } => self.client_gone(now, conn),
            Input::ViolationDetected => self.counters.violations += 1,
            Input::StrayReply => self.counters.stray_replies += 1,
            Input::Agent { link, notice } => self.handle_notice(now, link, notice),
            Input::CallEnded { handle, attempt, end, reply, fence } => {
                self.note_sent_fence(handle, fence);
                self.call_ended(now, handle, attempt, end, reply);
            }
            Input::RouteStates(states) => self.set_route_states(states),
            Input::CallLimits(limits) => self.set_call_limits(limits),
            Input::CallRouteChanged { handle, attempt, limits } => {
                self.change_call_limits(handle, attempt, limits)
            }
            Input::Drain { signalled_at, sent_at } => {
                self.hand_over_before_drain(now);
                self.drain(now, signalled_at, sent_at);
            }
            Input::Succession(message) => self.handle_succession(now, message),
            Input::Standby { standby, ticket } => self.order_standby(standby, None, Some(ticket)),
            Input::StandbyNotSent { peer, ticket } => self.standby_not_sent(peer, ticket),
            Input::Reload { site, stop_after } => {
                self.reload(now, *site);
                self.update_stop_time(now, stop_after);
            }
            Input::Query { ticket, query } => {
                let lines = match query {
                    Query::Status => self.status(),
                    Query::Counters => {
                        let list = self.counters.list().into_iter();
                        list.map(|(name, n)| (name, n.to_string())).collect()
                    }
                };
                self.effects.push(Effect::QueryResult { ticket, lines });
            }
            Input::LogCounters => self.effects.push(Effect::Log(format!("counters: {}", self.counters))),
        }
        if !self.events.is_empty() {
            self.process_events(now, actions);
        }
    }

    fn new_id(&mut self) -> RequestId {
        let id = self.next_id;
        self.next_id = id.wrapping_add(1).max(1);
        id
    }

    fn status(&self) -> Vec<(String, String)> {
        let in_phase =
            |phase| self.requests.values().filter(|request| request.phase == phase).count().to_string();
        let yes_no = |yes| if yes { "yes" } else { "no" }.to_string();
        let lines = [
            ("healthy", yes_no(self.healthy)),
            ("kept_away", yes_no(self.standby)),
            ("leaving", yes_no(self.drain.is_some())),
            ("linked", yes_no(self.agent_link.connection.is_up())),
            ("unanswered", self.deadlines.len().to_string()),
            ("held", in_phase(Phase::Held)),
            ("running", in_phase(Phase::Running)),
            ("at_call", in_phase(Phase::AtCall)),
            ("joined", in_phase(Phase::Joined)),
            ("passed_on", self.deadlines.forwarded().len().to_string()),
            ("awaited", self.peer.awaited().to_string()),
            ("keys", self.keys.len().to_string()),
            ("key_tries", self.engine.key_try_count().to_string()),
            ("classes", self.site.class_names.len().to_string()),
            ("timers", self.timers.len().to_string()),
            ("signal", self.signal.map_or("none".to_string(), |s| format!("{s:.4}"))),
        ];
        lines.into_iter().map(|(name, value)| (name.to_string(), value)).collect()
    }

    // ---- Timers -------------------------------------------------------------------------------------

    fn handle_timer(&mut self, now: Duration, timer: Timer, actions: &mut Vec<Action>) {
        match timer {
            Timer::Module(token) => {
                self.waiting_timers.push(token);
                self.sample_ticket += 1;
                if self.agent_link.connection.is_up() {
                    self.send_command(Command::Sample { ticket: self.sample_ticket });
                    self.arm(now + SAMPLE_TIMEOUT, Timer::SampleOverdue(self.sample_ticket));
                } else {
                    self.deliver_timers_without_sample(now);
                }
            }
            Timer::SampleOverdue(ticket) => {
                if ticket == self.sample_ticket && !self.waiting_timers.is_empty() {
                    self.counters.late_samples += 1;
                    self.deliver_timers_without_sample(now);
                }
            }
            Timer::CallOverdue(id, attempt) => {
                let is_in_progress = |request: &&ActiveRequest| request.call.is_in_progress(attempt);
                if let Some(handle) =
                    self.requests.get(&id).filter(is_in_progress).map(|request| request.handle)
                {
                    self.effects.push(Effect::CancelCall { handle, attempt });
                    self.call_ended(now, handle, attempt, End::Overdue, None);
                }
            }
            Timer::RunLost(id) => {
                if self.requests.get(&id).is_some_and(|request| request.conn.is_none()) {
                    self.run_ended(now, id, End::Broken, None, None);
                }
            }
            Timer::ReplyInDoubt(id, cursor) => self.reply_in_doubt(now, id, cursor),
            Timer::Sweep => {
                let lateness = self.longest_wait();
                self.keys.sweep(now, lateness);
                self.hand_over_if_awaited(now);
                self.log_omitted_refusals();
                // A request with a long timeout that is answered early leaves its timers behind.
                let requests = &self.requests;
                self.timers.retain(|Reverse((_, timer))| match timer {
                    Timer::RunLost(id) | Timer::CallOverdue(id, _) | Timer::ReplyInDoubt(id, _) => {
                        requests.contains_key(id)
                    }
                    _ => true,
                });
                self.arm(now + SWEEP_INTERVAL, Timer::Sweep);
            }
            Timer::DrainGrace => self.end_grace(),
        }
        self.process_events(now, actions);
    }

    /// Passes expired timers to the decision module although no new gauges arrived; outdated gauges are dropped.
    fn deliver_timers_without_sample(&mut self, now: Duration) {
        if now.saturating_sub(self.gauges.0) > SAMPLE_MAX_AGE {
            self.gauges.1 = Gauges::default();
        }
        self.deliver_timers();
    }

    /// Passes expired timers to the decision module, with the latest gauges.
    fn deliver_timers(&mut self) {
        let gauges = self.gauges.1;
        let tokens = self.waiting_timers.drain(..);
        self.events.extend(tokens.map(|token| Event::Timer { token, gauges }));
    }

    // ---- Actions ------------------------------------------------------------------------------------

    fn perform(&mut self, now: Duration, action: Action) {
        match action {
            Action::Start(id) => self.start_run(now, id),
            Action::Refuse { id, retry_after, no_retry } => self.refuse(now, id, retry_after, no_retry),
            Action::Fail(id) => self.fail(now, id),
            Action::Preempt(id) => self.preempt(id),
            Action::Call { id, timeout } => self.make_call(now, id, timeout),
            Action::SkipCall(id) => {
                self.skip_call(id);
            }
            Action::Join(id) => self.join(now, id),
            Action::RememberKey { id, lifetime } => {
                if let Some(key) = self.requests.get(&id).and_then(|request| request.key.as_ref()) {
                    self.keys.set_holder(key, id, now + lifetime);
                }
            }
            Action::ForgetKey(id) => {
                if let Some(key) = self.requests.get(&id).and_then(|request| request.key.as_ref()) {
                    self.keys.clear_holder(key, id);
                }
            }
            Action::Health { healthy } => self.healthy = healthy,
            Action::Signal(value) => self.signal = Some(value),
            Action::TrimIdle(after) => self.effects.push(Effect::TrimIdle(after)),
            Action::SetTimer { token, after } => self.arm(now + after, Timer::Module(token)),
            Action::Log(text) => self.effects.push(Effect::Log(text)),
        }
    }
}
