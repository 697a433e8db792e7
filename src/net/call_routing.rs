//! Connects the fleet's routes to the serving path: [`Router`] is the interface to them, which the vault link asks for
//! the route of each call, and `start` keeps the reducer informed of the route state and the call limits of each class.

use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{spawn, Hub};
use crate::core::Input;
use crate::fleet::experiment::counts::Kind;
use crate::fleet::routes::Fence;
use crate::fleet::routing::{self, Call, Order, OrderError, RouteDecision, RouteLimits, Routing};
use crate::interface::RouteState;

/// Interval at which the route states and call limits are checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A successor waits this long for its lease. Then it takes over without one, as the predecessor may have none either.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// The interface to the fleet's routes; the program's implementation is [`Routing`]. No method waits for a peer.
pub trait Router: Send + Sync {
    /// Routes a call at this moment.
    fn route(&self, call: &Call) -> RouteDecision;
    /// The route state of each named class, in the given order.
    fn route_states(&self, classes: &[String]) -> Vec<routing::RouteState>;
    /// The call limits of the routes in force, and their fence. `None` if that fence is `known`, or if there is no
    /// table.
    fn call_limits(&self, known: Option<Fence>) -> Option<(Fence, Vec<RouteLimits>)>;
    /// Whether the active version is known, its table is present, and the lease holds.
    fn ready(&self) -> bool;
    /// Counts how a request of an experiment was answered.
    fn count(&self, call: &Call, kind: Kind);
    /// Counts a call that a service refused because its turn is out of date.
    fn count_stale(&self);
    /// The counters of the routes, in the text format of Prometheus.
    fn metrics(&self) -> String;
    /// Passes on an operator's order, from the client `by`. The answer is a document in JSON.
    fn order(&self, order: Order, by: &str) -> Receiver<Result<String, OrderError>>;
}

impl Router for Routing {
    fn route(&self, call: &Call) -> RouteDecision {
        self.route(call)
    }

    fn route_states(&self, classes: &[String]) -> Vec<routing::RouteState> {
        self.route_states(classes)
    }

    fn call_limits(&self, known: Option<Fence>) -> Option<(Fence, Vec<RouteLimits>)> {
        self.call_limits(known)
    }

    fn ready(&self) -> bool {
        self.ready()
    }

    fn count(&self, call: &Call, kind: Kind) {
        self.count(call, kind);
    }

    fn count_stale(&self) {
        self.count_stale();
    }

    fn metrics(&self) -> String {
        self.metrics()
    }

    fn order(&self, order: Order, by: &str) -> Receiver<Result<String, OrderError>> {
        self.order(order, by)
    }
}

/// The route states of these classes, with the names of the classes.
pub(super) fn route_states(router: &dyn Router, classes: &[String]) -> Vec<(String, RouteState)> {
    let convert = |state| match state {
        routing::RouteState::Open => RouteState::Open,
        routing::RouteState::Skip => RouteState::Skip,
        routing::RouteState::Closed => RouteState::Closed,
    };
    let states = router.route_states(classes).into_iter().map(convert);
    classes.iter().cloned().zip(states).collect()
}

/// Reports the route states and the call limits to the reducer: once immediately, so that it has them before any
/// request is read, and then on every change.
pub(super) fn start(hub: &Arc<Hub>) {
    let Some(router) = hub.routing.clone() else { return };
    let hub = hub.clone();
    let report_states = move |hub: &Hub, states: &Vec<(String, RouteState)>| {
        hub.push(Input::RouteStates(states.clone()));
        // This must follow the push, so that a request that is read after a successful readiness check is queued behind
        // these states.
        hub.calls_blocked
            .store(states.iter().any(|(_, state)| *state != RouteState::Open), Ordering::Release);
    };
    let report_limits = |hub: &Hub, router: &dyn Router, known: &mut Option<Fence>| {
        if let Some((fence, limits)) = router.call_limits(*known) {
            *known = Some(fence);
            hub.push(Input::CallLimits(limits));
        }
    };
    let (mut reported, mut known) = (route_states(&*router, &hub.classes()), None);
    report_states(&hub, &reported);
    report_limits(&hub, &*router, &mut known);
    spawn(move || loop {
        crate::net::spawn::sleep(CHECK_INTERVAL);
        // The limits are reported before the states, so that the reducer has them once this matcher is ready.
        report_limits(&hub, &*router, &mut known);
        let now = route_states(&*router, &hub.classes());
        if now != reported {
            reported = now;
            report_states(&hub, &reported);
        }
    });
}

/// Whether calls may be made and the reducer has been informed of it. Always true if the fleet does not route calls.
pub(super) fn ready(hub: &Hub) -> bool {
    hub.routing.as_ref().is_none_or(|router| router.ready() && !hub.calls_blocked.load(Ordering::Acquire))
}

/// Calls `action` as soon as calls may be made here, or after [`READY_TIMEOUT`]; immediately if the fleet does not
/// route calls.
pub(super) fn when_ready(hub: &Arc<Hub>, action: impl FnOnce() + Send + 'static) {
    if hub.routing.is_none() {
        return action();
    }
    let (hub, since) = (hub.clone(), Instant::now());
    spawn(move || {
        while !ready(&hub) && since.elapsed() < READY_TIMEOUT {
            crate::net::spawn::sleep(CHECK_INTERVAL);
        }
        action();
    });
}

/// A router with scripted answers, for tests.
#[cfg(test)]
pub(super) mod fake {
    use std::collections::VecDeque;
    use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
    use std::sync::mpsc::{channel, Sender};
    use std::sync::{Mutex, MutexGuard};

    use super::*;
    use crate::settings::Links;

    type OrderResult = Result<String, OrderError>;

    pub struct FakeRouter {
        /// The results of routing a call, one after the other; the last one is repeated.
        results: Mutex<VecDeque<RouteDecision>>,
        routed_calls: Mutex<Vec<Call>>,
        orders: Mutex<Vec<(Order, String)>>,
        order_result: Mutex<OrderResult>,
        /// If set, orders are not answered, and their answer channels are kept here.
        unanswered: Mutex<Option<Vec<Sender<OrderResult>>>>,
        ready: AtomicBool,
        pub stale_count: AtomicUsize,
    }

    impl FakeRouter {
        pub fn with_answers(results: impl IntoIterator<Item = RouteDecision>) -> Self {
            Self {
                results: Mutex::new(results.into_iter().collect()),
                routed_calls: Mutex::default(),
                orders: Mutex::default(),
                order_result: Mutex::new(Ok("{}".into())),
                unanswered: Mutex::default(),
                ready: AtomicBool::new(true),
                stale_count: AtomicUsize::new(0),
            }
        }

        pub fn routed_calls(&self) -> Vec<Call> {
            self.routed_calls.lock().unwrap().clone()
        }

        pub fn orders(&self) -> MutexGuard<'_, Vec<(Order, String)>> {
            self.orders.lock().unwrap()
        }

        pub fn set_answer(&self, result: OrderResult) {
            *self.order_result.lock().unwrap() = result;
        }

        pub fn leave_unanswered(&self) {
            *self.unanswered.lock().unwrap() = Some(Vec::new());
        }

        pub fn drop_unanswered(&self) {
            *self.unanswered.lock().unwrap() = None;
        }

        pub fn set_ready(&self, ready: bool) {
            self.ready.store(ready, Ordering::Relaxed);
        }
    }

    impl Router for FakeRouter {
        fn route(&self, call: &Call) -> RouteDecision {
            self.routed_calls.lock().unwrap().push(call.clone());
            let mut results = self.results.lock().unwrap();
            if results.len() > 1 {
                return results.pop_front().unwrap();
            }
            results[0]
        }

        fn route_states(&self, classes: &[String]) -> Vec<routing::RouteState> {
            vec![routing::RouteState::Open; classes.len()]
        }

        fn call_limits(&self, _known: Option<Fence>) -> Option<(Fence, Vec<RouteLimits>)> {
            None
        }

        fn ready(&self) -> bool {
            self.ready.load(Ordering::Relaxed)
        }

        fn count(&self, _call: &Call, _kind: Kind) {}

        fn count_stale(&self) {
            self.stale_count.fetch_add(1, Ordering::Relaxed);
        }

        fn metrics(&self) -> String {
            String::new()
        }

        fn order(&self, order: Order, by: &str) -> Receiver<OrderResult> {
            let (sender, receiver) = channel();
            match &mut *self.unanswered.lock().unwrap() {
                Some(unanswered) => unanswered.push(sender),
                None => sender.send(self.order_result.lock().unwrap().clone()).unwrap(),
            }
            self.orders().push((order, by.into()));
            receiver
        }
    }

    /// A hub with this router and this vault address, and the reducer's inbox.
    pub fn test_hub(
        router: Option<Arc<FakeRouter>>,
        vault: Option<std::net::SocketAddr>,
    ) -> (Arc<Hub>, Receiver<Input>) {
        // Coroutines are sound only on a single worker, in tests too.
        crate::net::spawn::start_runtime();
        let (sender, inbox) = channel();
        let links = Links { agent: None, vault, control: None };
        let routing = router.map(|router| router as Arc<dyn Router>);
        (Arc::new(Hub::new(sender, 256, links, Vec::new(), None, routing)), inbox)
    }
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc::channel;

    use super::fake::{test_hub, FakeRouter};
    use super::*;

    #[test]
    fn a_successor_waits_for_its_lease() {
        // Guards against an upgrade during which requests are refused until the new process has its first lease.
        let router = Arc::new(FakeRouter::with_answers([RouteDecision::Barred]));
        router.set_ready(false);
        let (hub, _inbox) = test_hub(Some(router.clone()), None);
        let (sender, called) = channel();
        when_ready(&hub, move || sender.send(Instant::now()).unwrap());
        assert!(called.recv_timeout(CHECK_INTERVAL * 3).is_err());
        let since = Instant::now();
        router.set_ready(true);
        assert!(called.recv_timeout(READY_TIMEOUT).unwrap() >= since);
    }

    #[test]
    fn the_reducer_receives_the_route_states_before_anything_else() {
        let (hub, inbox) = test_hub(Some(Arc::new(FakeRouter::with_answers([RouteDecision::Barred]))), None);
        *hub.classes.lock().unwrap() = vec!["a".into(), "b".into()];
        start(&hub);
        let expected = [("a".to_string(), RouteState::Open), ("b".to_string(), RouteState::Open)];
        assert!(matches!(inbox.try_recv(), Ok(Input::RouteStates(states)) if states == expected));
    }
}
