//! What the serving path asks of the fleet's routes: a handle that never waits for a peer. The driver's thread steps the
//! member behind it; here a lock is held for one look. What becomes of a call is decided by the clock at the look, so a
//! switch comes at its moment however late the driver's thread is.

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
use super::routes::member::{Member, Request, Route};
use super::routes::table::{self, Table};
use super::routes::{Fence, Version};

/// Orders that may wait for the driver's thread.
const MOST_ORDERS: usize = 16;
/// A call that waits looks again this soon at the earliest.
const LOOK: Duration = Duration::from_micros(100);

/// A call below, as far as its route goes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// The name of the request's class.
    pub class: String,
    /// The name of its tenant, where it has one.
    pub tenant: Option<String>,
    /// What the request is about: draws its arm.
    pub subject: Vec<u8>,
    /// What an earlier call of the request went out under.
    pub tried: Option<Fence>,
    /// What whoever makes it goes by; nothing where no table is known there.
    pub allowed: Option<Allowed>,
}

/// What a route allows of the calls of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowed {
    /// How often each is tried at most, from 1 to [`table::MOST_TRIES`].
    pub tries: u8,
    /// The request may be answered without.
    pub without: bool,
}

impl Allowed {
    fn by(route: &table::Route) -> Self {
        // The table was checked: the bound keeps a number that never was in one from turning into another.
        Self { tries: route.tries.min(table::MOST_TRIES) as u8, without: route.without }
    }
}

/// What the route of a class, and where set of one tenant of it, allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allows {
    /// Of which class.
    pub class: String,
    /// Of which tenant; every one that has no route of its own if there is none.
    pub tenant: Option<String>,
    /// What.
    pub allowed: Allowed,
}

/// What becomes of a call at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routed {
    /// Made now.
    Go {
        /// Carried by the call; turn 0 is the configuration's own vault, before any activation.
        fence: Fence,
        /// Where it goes; none for the configuration's own vault.
        address: Option<SocketAddr>,
        /// It may take no longer, whatever the module allows; none for no bound.
        timeout: Option<Duration>,
        /// What its route allows; none for the module's own bounds.
        allowed: Option<Allowed>,
    },
    /// Inside the uncertainty of a switch: ask again then.
    Wait(Instant),
    /// A call of it went out under an older version: it ends as failed.
    Ended(Fence),
    /// No lease: nothing is called.
    Barred,
}

/// How the calls of one class stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// They are made.
    Open,
    /// They are answered without, as long as there is no lease.
    LeaveOut,
    /// There is no lease, and the table allows no answer without the call: requests are turned away at once.
    Shut,
}

/// What an operator wants of the fleet.
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

/// Why an order was not carried out.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic)]
#[allow(missing_docs)]
pub enum OrderError {
    #[error("this matcher has no routes")]
    #[diagnostic(help("set `fleet.routes` in the appliance's file and restart it, or ask another matcher"))]
    Off,
    #[error("no answer from a leader in {} ms", patience.as_millis())]
    #[diagnostic(help(
        "`hopwalk fleet status` shows the voters that are heard: a majority of them is needed"
    ))]
    NoLeader { patience: Duration },
    #[error("the leader runs a version that does not know this order")]
    #[diagnostic(help("nothing was done: bring all voters to one version of hopwalk, then order again"))]
    Unknown,
    #[error("no document, line {line}, column {column}")]
    #[diagnostic(help("docs/experiments.md shows what starts an experiment"))]
    Document { line: usize, column: usize },
    #[error(transparent)]
    #[diagnostic(transparent)]
    Admit(#[from] super::wire::message::AdmitError),
    #[error("{MOST_ORDERS} orders wait already")]
    #[diagnostic(help("wait for their answers, and order again"))]
    Full,
    #[error("the fleet's thread has ended")]
    #[diagnostic(help("look at this matcher's log, and restart it"))]
    Gone,
    #[error(transparent)]
    #[diagnostic(transparent)]
    Refused(#[from] super::decided::Refused),
}

/// An order on its way to the driver.
pub(super) struct Asked {
    pub order: Order,
    pub by: String,
    pub answer: Sender<Result<String, OrderError>>,
}

/// What the driver and the serving path share.
pub(super) struct Held {
    /// The member's part of the routes.
    pub member: Member,
    /// What this life counts of the experiment that runs, as a leader told last.
    pub counter: Option<Counter>,
    /// The term of that leader, and the number of the ask that it answered.
    pub told: (u64, u64),
    spread: u64,
}

struct Shared {
    clock: Clock,
    held: Mutex<Held>,
    orders: mpsc::Sender<Asked>,
    metrics: Metrics,
}

/// The serving path's hold on the fleet's routes.
#[derive(Clone)]
pub struct Routing(Arc<Shared>);

impl std::fmt::Debug for Routing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Routing").finish_non_exhaustive()
    }
}

/// Which address of a pool the `n`th call goes to: by weight, along the multiples of the golden ratio, which are spread
/// evenly from any of them on (Weyl, 1916). Each process counts its own calls; nothing is shared.
fn address(pool: &[table::Address], n: u64) -> Option<SocketAddr> {
    let all: u64 = pool.iter().map(|a| u64::from(a.weight)).sum();
    let at = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut left = (u128::from(at) * u128::from(all)) >> 64;
    for a in pool {
        match left.checked_sub(u128::from(a.weight)) {
            Some(rest) => left = rest,
            None => return Some(a.address),
        }
    }
    None
}

impl Held {
    fn go(&mut self, fence: Fence, call: &Call, clock: &Clock) -> Routed {
        if fence.turn == 0 {
            return Routed::Go { fence, address: None, timeout: None, allowed: None };
        }
        self.spread = self.spread.wrapping_add(1);
        let Self { member, counter, spread, .. } = self;
        let found = member.table_under(fence).and_then(|table| {
            let route = table.route(&call.class, call.tenant.as_deref())?;
            let counter = counter.as_mut().filter(|_| !route.arms.is_empty());
            let arm = counter.and_then(|counter| {
                let experiment = counter.experiment();
                let name = &experiment.arms.get(arm(experiment, &call.subject))?.name;
                let arm = route.arms.iter().find(|a| a.name == *name)?;
                // What has no room is not counted, for no arm.
                let _ = counter.count_assigned(&call.subject, clock.unix());
                Some(arm)
            });
            let pool = table.pools.get(arm.map_or(&route.pool, |a| &a.pool))?;
            let timeout = Duration::from_millis(route.timeout_ms.into());
            Some((address(pool, *spread)?, timeout, Allowed::by(route)))
        });
        match found {
            Some((address, timeout, allowed)) => {
                let (address, timeout, allowed) = (Some(address), Some(timeout), Some(allowed));
                Routed::Go { fence, address, timeout, allowed }
            }
            // A class that came into the settings after the table was checked.
            None => Routed::Barred,
        }
    }

    /// How calls stand without a lease: left out only where each route of the class allows that.
    fn without(table: Option<&Table>, class: &str) -> Way {
        let mut routes = table.iter().flat_map(|t| &t.routes).filter(|r| r.class == class).peekable();
        let some = routes.peek().is_some();
        if some && routes.all(|r| r.without) {
            Way::LeaveOut
        } else {
            Way::Shut
        }
    }
}

impl Routing {
    /// Of a member, for the driver that steps it; orders come out at the other end.
    pub(super) fn new(member: Member, clock: Clock, metrics: Metrics) -> (Self, mpsc::Receiver<Asked>) {
        let (orders, asked) = mpsc::channel(MOST_ORDERS);
        let held = Held { member, counter: None, told: (0, 0), spread: 0 };
        (Self(Arc::new(Shared { clock, held: Mutex::new(held), orders, metrics })), asked)
    }

    pub(super) fn held(&self) -> MutexGuard<'_, Held> {
        self.0.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What becomes of a call now.
    pub fn route(&self, call: &Call) -> Routed {
        let mut held = self.held();
        let now = self.0.clock.now();
        let routed = match held.member.route(now, Request { read: now, tried: call.tried, ran: None }) {
            Route::Go(fence) => held.go(fence, call, &self.0.clock),
            Route::Wait(at) => Routed::Wait(Instant::now() + self.0.clock.until(at).max(LOOK)),
            Route::Ended(fence) => Routed::Ended(fence),
            Route::FromKey(_) | Route::Barred => Routed::Barred,
        };
        if routed == Routed::Barred {
            self.0.metrics.barred.inc();
        }
        routed
    }

    /// How the calls of each named class stand now, in the order given.
    pub fn ways(&self, classes: &[String]) -> Vec<Way> {
        let held = self.held();
        if held.member.ready(self.0.clock.now()) {
            return vec![Way::Open; classes.len()];
        }
        classes.iter().map(|class| Held::without(held.member.table(), class)).collect()
    }

    /// What the routes in force allow, and under which fence; nothing if that is `known`, or without a table.
    pub fn allowed(&self, known: Option<Fence>) -> Option<(Fence, Vec<Allows>)> {
        let held = self.held();
        let fence = held.member.in_force(self.0.clock.now()).filter(|fence| known != Some(*fence))?;
        let routes = held.member.table_under(fence)?.routes.iter().map(|route| Allows {
            class: route.class.clone(),
            tenant: route.tenant.clone(),
            allowed: Allowed::by(route),
        });
        Some((fence, routes.collect()))
    }

    /// The active version is known here, its table is there, and the lease holds.
    pub fn ready(&self) -> bool {
        self.held().member.ready(self.0.clock.now())
    }

    /// Counts how a request of a running experiment ended; nothing where its class is in none.
    pub fn count(&self, call: &Call, kind: Kind) {
        let mut held = self.held();
        let Held { member, counter, .. } = &mut *held;
        let route = member.table().and_then(|t| t.route(&call.class, call.tenant.as_deref()));
        if let (Some(route), Some(counter)) = (route, counter) {
            if !route.arms.is_empty() {
                // What has no room is not counted, for no arm.
                let _ = counter.count_outcome(&call.subject, kind, self.0.clock.unix());
            }
        }
    }

    /// A service refused a call of an older turn.
    pub fn stale(&self) {
        self.0.metrics.stale.inc();
    }

    /// Has an order carried out; the answer is a JSON document for the operator.
    pub fn order(&self, order: Order, by: &str) -> Receiver<Result<String, OrderError>> {
        let (answer, receiver) = channel();
        let asked = Asked { order, by: by.into(), answer: answer.clone() };
        let error = match self.0.orders.try_send(asked) {
            Ok(()) => return receiver,
            Err(mpsc::error::TrySendError::Full(_)) => OrderError::Full,
            Err(mpsc::error::TrySendError::Closed(_)) => OrderError::Gone,
        };
        let _ = answer.send(Err(error));
        receiver
    }

    /// What was counted, as text for Prometheus.
    pub fn metrics(&self) -> String {
        self.0.metrics.text()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::experiment::counts::Cell;
    use crate::fleet::experiment::{self, Experiment};
    use crate::fleet::routes::member::{Effect, Input};
    use crate::fleet::routes::table::Known;
    use crate::fleet::routes::{Activation, Life, Pace, Reply};

    const TABLE: &str = r#"{"pools":{"a":[{"address":"127.0.0.1:1","weight":3},{"address":"127.0.0.1:2","weight":1}],
        "b":[{"address":"127.0.0.1:3","weight":1}]},
        "routes":[{"class":"seat","pool":"a","timeout_ms":100,"tries":2,"arms":[
            {"name":"old","pool":"a","share":500},{"name":"new","pool":"b","share":500}]},
          {"class":"look","pool":"a","timeout_ms":50,"tries":1,"without":true},
          {"class":"look","tenant":"t","pool":"b","timeout_ms":50,"tries":1,"without":true}]}"#;

    fn routing() -> Routing {
        let known = Known { classes: ["seat".into(), "look".into()].into(), tenants: ["t".into()].into() };
        let life = Life { name: "m1".into(), incarnation: 1 };
        let member = Member::new(life, known, Pace::default());
        Routing::new(member, Clock::start(None), Metrics::new()).0
    }

    /// Grants a lease, for the activation of the table where there is one.
    fn grant(routing: &Routing, lease: Duration, active: Option<Activation>) {
        let mut held = routing.held();
        let now = routing.0.clock.now();
        let effects = held.member.step(now, Input::Nudge);
        let number = effects.iter().find_map(|e| match e {
            Effect::Ask(ask) => Some(ask.number),
            _ => None,
        });
        let number = number.unwrap();
        let reply = Reply { number, term: 1, time: now, lease, active, pending: None };
        held.member.step(routing.0.clock.now(), Input::Reply(reply));
        if let Some(a) = active {
            held.member.step(routing.0.clock.now(), Input::Fetched(a.hash, TABLE.into()));
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

    fn to(routed: Routed) -> Option<u16> {
        match routed {
            Routed::Go { address, .. } => address.map(|a| a.port()),
            _ => None,
        }
    }

    #[test]
    fn calls_follow_the_lease_the_table_and_the_weights() {
        let (routing, classes) = (routing(), ["seat".to_string(), "look".to_string()]);
        assert_eq!((routing.ready(), routing.route(&call("seat", None, b""))), (false, Routed::Barred));
        assert_eq!(routing.ways(&classes), [Way::Shut, Way::Shut]);
        grant(&routing, Duration::from_secs(60), None);
        let own = Routed::Go { fence: Fence::default(), address: None, timeout: None, allowed: None };
        assert_eq!((routing.ready(), routing.route(&call("seat", None, b""))), (true, own));

        let fence = Fence { turn: 1, version: 1 };
        let active = Activation { fence, hash: Table::parse(TABLE).unwrap().hash() };
        grant(&routing, Duration::from_secs(60), Some(active));
        assert_eq!(routing.ways(&classes), [Way::Open, Way::Open]);
        let ports: Vec<_> = (0..4000).filter_map(|_| to(routing.route(&call("seat", None, b"")))).collect();
        let first = ports.iter().filter(|port| **port == 1).count();
        assert!((2990..=3010).contains(&first) && ports.len() == 4000, "{first}");
        assert_eq!(to(routing.route(&call("look", Some("t"), b""))), Some(3));
        assert_eq!(to(routing.route(&call("look", Some("u"), b""))).unwrap() / 3, 0);
        let tried = Some(Fence::default());
        assert_eq!(
            routing.route(&Call { tried, ..call("seat", None, b"") }),
            Routed::Ended(Fence::default())
        );
        assert_eq!(routing.route(&call("new-class", None, b"")), Routed::Barred);
    }

    #[test]
    fn without_a_lease_only_what_the_table_allows_is_left_out() {
        let routing = routing();
        let active =
            Activation { fence: Fence { turn: 1, version: 1 }, hash: Table::parse(TABLE).unwrap().hash() };
        grant(&routing, Duration::ZERO, Some(active));
        assert!(!routing.ready());
        assert_eq!(routing.ways(&["seat".into(), "look".into()]), [Way::Shut, Way::LeaveOut]);
        assert!(routing.metrics().contains("barred_calls_total 0"));
    }

    #[test]
    fn a_subject_goes_to_its_arm_and_is_counted_there() {
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
        routing.held().counter =
            Some(Counter::new(experiment, life.clone(), &members, routing.0.clock.unix()));
        let mut new = 0;
        for n in 0..1000u32 {
            let call = call("seat", None, &n.to_le_bytes());
            let b = to(routing.route(&call)) == Some(3);
            assert_eq!(to(routing.route(&call)) == Some(3), b, "the same subject, the same arm");
            new += u64::from(b);
            routing.count(&call, Kind::Served);
        }
        routing.count(&call("look", None, b"x"), Kind::Served);
        let report = routing.held().counter.as_mut().unwrap().report(routing.0.clock.unix()).unwrap();
        let of = |kind, arm| report.counts.get(&life, Cell { block: 0, arm, kind });
        for kind in [Kind::Served, Kind::Assigned] {
            assert_eq!((of(kind, 0), of(kind, 1)), (1000 - new, new), "each subject once");
        }
        assert!((400..600).contains(&new));
    }

    #[test]
    fn orders_beyond_the_bound_are_turned_away_at_once() {
        let known = Known::default();
        let member = Member::new(Life { name: "m1".into(), incarnation: 1 }, known, Pace::default());
        let (routing, asked) = Routing::new(member, Clock::start(None), Metrics::new());
        let waiting: Vec<_> = (0..MOST_ORDERS).map(|_| routing.order(Order::Show, "anna")).collect();
        assert!(waiting.iter().all(|w| w.try_recv().is_err()));
        assert_eq!(routing.order(Order::Show, "anna").recv().unwrap(), Err(OrderError::Full));
        drop(asked);
        assert_eq!(routing.order(Order::Show, "anna").recv().unwrap(), Err(OrderError::Gone));
    }
}
