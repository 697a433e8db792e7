//! The serving path's interface to the fleet's routes. [`Routing`] is a handle that never waits for a peer: the
//! driver's thread steps the member behind it, and a method holds the lock only while it reads the member's state.
//! Each call is routed by the clock at that moment, so a switch of routes happens on time even if the driver's thread
//! is late.

use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::mpsc;

use super::clock::Clock;
use super::experiment::assign::arm;
use super::experiment::counter::Counter;
use super::experiment::counts::Kind;
use super::metrics::Metrics;
use super::routes::member::{CallDecision, CallRequest, Member};
use super::routes::table::{self, Table};
use super::routes::{Fence, Version};

/// Orders that may be queued for the driver's thread.
const MAX_QUEUED_ORDERS: usize = 16;
/// A call that has to wait is routed again after this time at the earliest.
const MIN_WAIT: Duration = Duration::from_micros(100);

/// The data of a call to the dependency that its route depends on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// The name of the request's class.
    pub class: String,
    /// The name of its tenant, where it has one.
    pub tenant: Option<String>,
    /// What the request is about. The experiment arm is drawn from it.
    pub subject: Vec<u8>,
    /// The fence under which an earlier call of the request was sent.
    pub last_fence: Option<Fence>,
    /// The call limits that the caller applies; `None` if it knows no routes table.
    pub limits: Option<CallLimits>,
}

/// What a route allows of the calls of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Upper bound of the tries of each call, from 1 to [`table::MAX_TRIES`].
    pub max_tries: u8,
    /// The request may be answered without the call.
    pub may_skip: bool,
}

impl CallLimits {
    fn of_route(route: &table::Route) -> Self {
        // A checked table has no higher number. The bound prevents the conversion from truncating one.
        Self { max_tries: route.tries.min(table::MAX_TRIES) as u8, may_skip: route.without }
    }
}

/// The call limits of a route: that of a class, or that of one tenant within the class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteLimits {
    /// The name of the class.
    pub class: String,
    /// The name of the tenant; `None` for all tenants without a route of their own.
    pub tenant: Option<String>,
    /// The call limits.
    pub limits: CallLimits,
}

/// How a call is to be routed at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// The call is made now.
    Allowed {
        /// The fence that the call carries. Turn 0 stands for the vault of the configuration, before any activation.
        fence: Fence,
        /// Where the call is sent; `None` for the vault of the configuration.
        address: Option<SocketAddr>,
        /// Upper bound of the time that the call may take, whatever the decision module allows; `None` for no bound.
        timeout: Option<Duration>,
        /// The call limits of the route; `None` for the decision module's own limits.
        limits: Option<CallLimits>,
    },
    /// The moment of a switch is within the uncertainty of the clock: the call is to be routed again at this time.
    Wait(Instant),
    /// A call of the request was sent under an older version of the routes: this call ends as failed.
    Ended(Fence),
    /// No call may be made: this matcher holds no lease, or the table in force has no route for the call.
    Barred,
}

/// Whether calls of a class may be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteState {
    /// Calls are made.
    Open,
    /// There is no lease, and the table allows answers without the call: requests continue without their calls.
    Skip,
    /// There is no lease, and the table allows no answer without the call: requests are refused immediately.
    Closed,
}

/// An operator's order to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Order {
    Propose { table: String },
    Activate { version: Version },
    Abort,
    Rollback,
    Show,
    History,
    Start { document: String },
    Stop,
    ShowExperiment,
    Admit { name: String },
}

/// Why an order was not executed.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic)]
#[allow(missing_docs)]
pub enum OrderError {
    #[error("this matcher has no routes")]
    #[diagnostic(help("set `fleet.routes` in the appliance's file and restart it, or ask another matcher"))]
    NoRoutes,
    #[error("no answer from a leader in {} ms", timeout.as_millis())]
    #[diagnostic(help(
        "`hopwalk fleet status` shows the voters that can be reached: a majority of them is needed"
    ))]
    NoLeader { timeout: Duration },
    #[error("the leader runs a version that does not know this order")]
    #[diagnostic(help("nothing was done: bring all voters to one version of hopwalk, then order again"))]
    UnknownOrder,
    #[error("no document, line {line}, column {column}")]
    #[diagnostic(help("docs/experiments.md shows what starts an experiment"))]
    InvalidDocument { line: usize, column: usize },
    #[error(transparent)]
    #[diagnostic(transparent)]
    Admit(#[from] super::wire::message::AdmitError),
    #[error("{MAX_QUEUED_ORDERS} orders wait already")]
    #[diagnostic(help("wait for their answers, and order again"))]
    QueueFull,
    #[error("the fleet's thread has ended")]
    #[diagnostic(help("look at this matcher's log, and restart it"))]
    ThreadEnded,
    #[error(transparent)]
    #[diagnostic(transparent)]
    Refused(#[from] super::state_machine::Rejection),
}

/// An order in the queue to the driver.
pub(super) struct QueuedOrder {
    pub order: Order,
    pub by: String,
    pub answer: Sender<Result<String, OrderError>>,
}

/// The state that the driver and the serving path share.
pub(super) struct RoutingState {
    /// The state machine of this member.
    pub member: Member,
    /// Counts the requests of the running experiment, of which a leader's reply informed this process.
    pub counter: Option<Counter>,
    /// The source of `counter`: the term of that leader, and the number of the ask that it replied to.
    pub counter_source: (u64, u64),
    /// Calls routed so far; spreads them over the addresses of a pool.
    routed_calls: u64,
}

struct Shared {
    clock: Clock,
    state: Mutex<RoutingState>,
    orders: mpsc::Sender<QueuedOrder>,
    metrics: Metrics,
}

/// The serving path's handle to the fleet's routes.
#[derive(Clone)]
pub struct Routing(Arc<Shared>);

impl std::fmt::Debug for Routing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Routing").finish_non_exhaustive()
    }
}

/// Selects the address of a pool for the `n`th call by weight, along the multiples of the golden ratio. These are
/// evenly distributed, beginning at any of them (Weyl, 1916). Each process counts its own calls and shares nothing.
fn select_address(pool: &[table::Address], n: u64) -> Option<SocketAddr> {
    let total_weight: u64 = pool.iter().map(|a| u64::from(a.weight)).sum();
    let point = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut left = (u128::from(point) * u128::from(total_weight)) >> 64;
    for a in pool {
        match left.checked_sub(u128::from(a.weight)) {
            Some(rest) => left = rest,
            None => return Some(a.address),
        }
    }
    None
}

impl RoutingState {
    /// Routes a call under this fence.
    fn route_under(&mut self, fence: Fence, call: &Call, clock: &Clock) -> RouteDecision {
        if fence.turn == 0 {
            return RouteDecision::Allowed { fence, address: None, timeout: None, limits: None };
        }
        self.routed_calls = self.routed_calls.wrapping_add(1);
        let Self { member, counter, routed_calls, .. } = self;
        let found = member.table_under(fence).and_then(|table| {
            let route = table.route(&call.class, call.tenant.as_deref())?;
            let counter = counter.as_mut().filter(|_| !route.arms.is_empty());
            let arm = counter.and_then(|counter| {
                let experiment = counter.experiment();
                let name = &experiment.arms.get(arm(experiment, &call.subject))?.name;
                let arm = route.arms.iter().find(|a| a.name == *name)?;
                // If the counter has no room for the subject, it is not counted, whichever its arm.
                let _ = counter.count_assigned(&call.subject, clock.unix());
                Some(arm)
            });
            let pool = table.pools.get(arm.map_or(&route.pool, |a| &a.pool))?;
            let timeout = Duration::from_millis(route.timeout_ms.into());
            Some((select_address(pool, *routed_calls)?, timeout, CallLimits::of_route(route)))
        });
        match found {
            Some((address, timeout, limits)) => {
                let (address, timeout, limits) = (Some(address), Some(timeout), Some(limits));
                RouteDecision::Allowed { fence, address, timeout, limits }
            }
            // The class was added to the settings after the table had been checked.
            None => RouteDecision::Barred,
        }
    }

    /// The route state of a class while there is no lease: calls are skipped only if all routes of the class allow
    /// that.
    fn state_without_lease(table: Option<&Table>, class: &str) -> RouteState {
        let mut routes = table.iter().flat_map(|t| &t.routes).filter(|r| r.class == class).peekable();
        let has_routes = routes.peek().is_some();
        if has_routes && routes.all(|r| r.without) {
            RouteState::Skip
        } else {
            RouteState::Closed
        }
    }
}

impl Routing {
    /// Creates the handle to a member for the driver that steps it, and the queue from which the driver takes orders.
    pub(super) fn new(member: Member, clock: Clock, metrics: Metrics) -> (Self, mpsc::Receiver<QueuedOrder>) {
        let (orders, queue) = mpsc::channel(MAX_QUEUED_ORDERS);
        let state = RoutingState { member, counter: None, counter_source: (0, 0), routed_calls: 0 };
        (Self(Arc::new(Shared { clock, state: Mutex::new(state), orders, metrics })), queue)
    }

    pub(super) fn state(&self) -> MutexGuard<'_, RoutingState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Routes a call at this moment.
    pub fn route(&self, call: &Call) -> RouteDecision {
        let mut state = self.state();
        let now = self.0.clock.now();
        let decision = match state
            .member
            .route(now, CallRequest { read: now, last_fence: call.last_fence, ran: None })
        {
            CallDecision::Allowed(fence) => state.route_under(fence, call, &self.0.clock),
            CallDecision::Wait(at) => {
                RouteDecision::Wait(Instant::now() + self.0.clock.until(at).max(MIN_WAIT))
            }
            CallDecision::Ended(fence) => RouteDecision::Ended(fence),
            CallDecision::FromKey(_) | CallDecision::Barred => RouteDecision::Barred,
        };
        if decision == RouteDecision::Barred {
            self.0.metrics.barred_calls.inc();
        }
        decision
    }

    /// The route state of each named class at this moment, in the given order.
    pub fn route_states(&self, classes: &[String]) -> Vec<RouteState> {
        let state = self.state();
        if state.member.ready(self.0.clock.now()) {
            return vec![RouteState::Open; classes.len()];
        }
        classes.iter().map(|class| RoutingState::state_without_lease(state.member.table(), class)).collect()
    }

    /// The call limits of the routes in force, and their fence. `None` if that fence is `known`, or if there is no
    /// table.
    pub fn call_limits(&self, known: Option<Fence>) -> Option<(Fence, Vec<RouteLimits>)> {
        let state = self.state();
        let fence = state.member.in_force(self.0.clock.now()).filter(|fence| known != Some(*fence))?;
        let routes = state.member.table_under(fence)?.routes.iter().map(|route| RouteLimits {
            class: route.class.clone(),
            tenant: route.tenant.clone(),
            limits: CallLimits::of_route(route),
        });
        Some((fence, routes.collect()))
    }

    /// Whether the active version is known, its table is present, and the lease holds.
    pub fn ready(&self) -> bool {
        self.state().member.ready(self.0.clock.now())
    }

    /// Counts how a request was answered, if its class takes part in the running experiment.
    pub fn count(&self, call: &Call, kind: Kind) {
        let mut state = self.state();
        let RoutingState { member, counter, .. } = &mut *state;
        let route = member.table().and_then(|t| t.route(&call.class, call.tenant.as_deref()));
        if let (Some(route), Some(counter)) = (route, counter) {
            if !route.arms.is_empty() {
                // If the counter has no room for the result, it is not counted, whichever its arm.
                let _ = counter.count_outcome(&call.subject, kind, self.0.clock.unix());
            }
        }
    }

    /// Counts a call that a service refused because its turn is out of date.
    pub fn count_stale(&self) {
        self.0.metrics.stale_calls.inc();
    }

    /// Queues an order of the operator `by`. The answer is a JSON document for that operator.
    pub fn order(&self, order: Order, by: &str) -> Receiver<Result<String, OrderError>> {
        let (answer, receiver) = channel();
        let queued = QueuedOrder { order, by: by.into(), answer: answer.clone() };
        let error = match self.0.orders.try_send(queued) {
            Ok(()) => return receiver,
            Err(mpsc::error::TrySendError::Full(_)) => OrderError::QueueFull,
            Err(mpsc::error::TrySendError::Closed(_)) => OrderError::ThreadEnded,
        };
        let _ = answer.send(Err(error));
        receiver
    }

    /// All metrics of the routes, in the text format of Prometheus.
    pub fn metrics(&self) -> String {
        self.0.metrics.render()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::experiment::counts::Cell;
    use crate::fleet::experiment::{self, Experiment};
    use crate::fleet::routes::member::{Effect, Input};
    use crate::fleet::routes::table::KnownNames;
    use crate::fleet::routes::{Activation, LeaseReply, MemberIncarnation, Timing};

    const TABLE: &str = r#"{"pools":{"a":[{"address":"127.0.0.1:1","weight":3},{"address":"127.0.0.1:2","weight":1}],
        "b":[{"address":"127.0.0.1:3","weight":1}]},
        "routes":[{"class":"seat","pool":"a","timeout_ms":100,"tries":2,"arms":[
            {"name":"old","pool":"a","share":500},{"name":"new","pool":"b","share":500}]},
          {"class":"look","pool":"a","timeout_ms":50,"tries":1,"without":true},
          {"class":"look","tenant":"t","pool":"b","timeout_ms":50,"tries":1,"without":true}]}"#;

    fn routing() -> Routing {
        let known =
            KnownNames { classes: ["seat".into(), "look".into()].into(), tenants: ["t".into()].into() };
        let life = MemberIncarnation { name: "m1".into(), incarnation: 1 };
        let member = Member::new(life, known, Timing::default());
        Routing::new(member, Clock::start(None), Metrics::new()).0
    }

    /// Grants a lease and, if given, activates the table.
    fn grant(routing: &Routing, lease: Duration, active: Option<Activation>) {
        let mut state = routing.state();
        let now = routing.0.clock.now();
        let effects = state.member.step(now, Input::Nudge);
        let number = effects.iter().find_map(|e| match e {
            Effect::Ask(ask) => Some(ask.number),
            _ => None,
        });
        let number = number.unwrap();
        let reply = LeaseReply { number, term: 1, time: now, lease, active, pending: None };
        state.member.step(routing.0.clock.now(), Input::Reply(reply));
        if let Some(a) = active {
            state.member.step(routing.0.clock.now(), Input::Fetched(a.hash, TABLE.into()));
        }
    }

    fn call(class: &str, tenant: Option<&str>, subject: &[u8]) -> Call {
        Call {
            class: class.into(),
            tenant: tenant.map(str::to_string),
            subject: subject.into(),
            ..Call::default()
        }
    }

    /// The port to which a call is sent.
    fn port(decision: RouteDecision) -> Option<u16> {
        match decision {
            RouteDecision::Allowed { address, .. } => address.map(|a| a.port()),
            _ => None,
        }
    }

    #[test]
    fn calls_follow_the_lease_the_table_and_the_weights() {
        let (routing, classes) = (routing(), ["seat".to_string(), "look".to_string()]);
        assert_eq!(
            (routing.ready(), routing.route(&call("seat", None, b""))),
            (false, RouteDecision::Barred)
        );
        assert_eq!(routing.route_states(&classes), [RouteState::Closed, RouteState::Closed]);
        grant(&routing, Duration::from_secs(60), None);
        let configured =
            RouteDecision::Allowed { fence: Fence::default(), address: None, timeout: None, limits: None };
        assert_eq!((routing.ready(), routing.route(&call("seat", None, b""))), (true, configured));

        let fence = Fence { turn: 1, version: 1 };
        let active = Activation { fence, hash: Table::parse(TABLE).unwrap().hash() };
        grant(&routing, Duration::from_secs(60), Some(active));
        assert_eq!(routing.route_states(&classes), [RouteState::Open, RouteState::Open]);
        let ports: Vec<_> = (0..4000).filter_map(|_| port(routing.route(&call("seat", None, b"")))).collect();
        let to_first = ports.iter().filter(|port| **port == 1).count();
        assert!((2990..=3010).contains(&to_first) && ports.len() == 4000, "{to_first}");
        assert_eq!(port(routing.route(&call("look", Some("t"), b""))), Some(3));
        assert_eq!(port(routing.route(&call("look", Some("u"), b""))).unwrap() / 3, 0);
        let last_fence = Some(Fence::default());
        assert_eq!(
            routing.route(&Call { last_fence, ..call("seat", None, b"") }),
            RouteDecision::Ended(Fence::default())
        );
        assert_eq!(routing.route(&call("new-class", None, b"")), RouteDecision::Barred);
    }

    #[test]
    fn without_a_lease_calls_are_skipped_only_where_the_table_allows_it() {
        let routing = routing();
        let active =
            Activation { fence: Fence { turn: 1, version: 1 }, hash: Table::parse(TABLE).unwrap().hash() };
        grant(&routing, Duration::ZERO, Some(active));
        assert!(!routing.ready());
        assert_eq!(
            routing.route_states(&["seat".into(), "look".into()]),
            [RouteState::Closed, RouteState::Skip]
        );
        assert!(routing.metrics().contains("barred_calls_total 0"));
    }

    #[test]
    fn a_subject_is_routed_to_its_arm_and_counted_for_it() {
        let routing = routing();
        let active =
            Activation { fence: Fence { turn: 1, version: 1 }, hash: Table::parse(TABLE).unwrap().hash() };
        grant(&routing, Duration::from_secs(60), Some(active));
        let arm = |name: &str| experiment::Arm { name: name.into(), share: 0.5 };
        let experiment = Experiment {
            name: "e".into(),
            salt: [1, 2],
            arms: vec![arm("old"), arm("new")],
            alpha: 0.05,
            harm_alpha: 0.05,
            split_alpha: 0.01,
            harm_margin: 0.1,
            start_ms: routing.0.clock.unix().as_millis() as u64 - 10,
            block_ms: 3_600_000,
            longest_ms: 36_000_000,
            grace_ms: 0,
            least_blocks: 10,
        };
        let (life, members) = (("m1".to_string(), 1), ["m1".to_string()].into());
        routing.state().counter =
            Some(Counter::new(experiment, life.clone(), &members, routing.0.clock.unix()));
        let mut on_new_arm = 0;
        for n in 0..1000u32 {
            let call = call("seat", None, &n.to_le_bytes());
            let is_new_arm = port(routing.route(&call)) == Some(3);
            assert_eq!(
                port(routing.route(&call)) == Some(3),
                is_new_arm,
                "the same subject always has the same arm"
            );
            on_new_arm += u64::from(is_new_arm);
            routing.count(&call, Kind::Served);
        }
        routing.count(&call("look", None, b"x"), Kind::Served);
        let report = routing.state().counter.as_mut().unwrap().report(routing.0.clock.unix()).unwrap();
        let count = |kind, arm| report.counts.get(&life, Cell { block: 0, arm, kind });
        for kind in [Kind::Served, Kind::Assigned] {
            assert_eq!(
                (count(kind, 0), count(kind, 1)),
                (1000 - on_new_arm, on_new_arm),
                "each subject is counted once"
            );
        }
        assert!((400..600).contains(&on_new_arm));
    }

    #[test]
    fn orders_beyond_the_queue_bound_are_rejected_immediately() {
        let known = KnownNames::default();
        let member =
            Member::new(MemberIncarnation { name: "m1".into(), incarnation: 1 }, known, Timing::default());
        let (routing, queue) = Routing::new(member, Clock::start(None), Metrics::new());
        let waiting: Vec<_> = (0..MAX_QUEUED_ORDERS).map(|_| routing.order(Order::Show, "anna")).collect();
        assert!(waiting.iter().all(|w| w.try_recv().is_err()));
        assert_eq!(routing.order(Order::Show, "anna").recv().unwrap(), Err(OrderError::QueueFull));
        drop(queue);
        assert_eq!(routing.order(Order::Show, "anna").recv().unwrap(), Err(OrderError::ThreadEnded));
    }
}
