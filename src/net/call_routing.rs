//! The fleet's routes, as far as sockets and the reducer need them: where a call goes, and how those of each class stand.

use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{spawn, Hub};
use crate::core::Input;
use crate::fleet::experiment::counts::Kind;
use crate::fleet::routes::Fence;
use crate::fleet::routing::{self, Allows, Call, Order, OrderError, Routed, Routing};
use crate::interface::RouteState;

/// The ways of the classes are looked at this often.
const LOOK: Duration = Duration::from_millis(20);

/// A process that takes over waits this long for its lease: then it begins without, as the one before may have none too.
const READY_PATIENCE: Duration = Duration::from_secs(5);

/// Whoever knows the routes; in the program [`Routing`]. None of it waits for a peer.
pub trait Router: Send + Sync {
    /// What becomes of a call now.
    fn route(&self, call: &Call) -> Routed;
    /// How the calls of each named class stand, in the order given.
    fn ways(&self, classes: &[String]) -> Vec<routing::Way>;
    /// What the routes in force allow, and under which fence; nothing if that is `known`, or without a table.
    fn allowed(&self, known: Option<Fence>) -> Option<(Fence, Vec<Allows>)>;
    /// The active version is known, its table is there, and the lease holds.
    fn ready(&self) -> bool;
    /// Counts how a request of an experiment was answered.
    fn count(&self, call: &Call, kind: Kind);
    /// A service refused a call of an older turn.
    fn stale(&self);
    /// What was counted, in the text format of Prometheus.
    fn metrics(&self) -> String;
    /// Has an order carried out; the answer is a document in JSON.
    fn order(&self, order: Order, by: &str) -> Receiver<Result<String, OrderError>>;
}

impl Router for Routing {
    fn route(&self, call: &Call) -> Routed {
        self.route(call)
    }

    fn ways(&self, classes: &[String]) -> Vec<routing::Way> {
        self.ways(classes)
    }

    fn allowed(&self, known: Option<Fence>) -> Option<(Fence, Vec<Allows>)> {
        self.allowed(known)
    }

    fn ready(&self) -> bool {
        self.ready()
    }

    fn count(&self, call: &Call, kind: Kind) {
        self.count(call, kind);
    }

    fn stale(&self) {
        self.stale();
    }

    fn metrics(&self) -> String {
        self.metrics()
    }

    fn order(&self, order: Order, by: &str) -> Receiver<Result<String, OrderError>> {
        self.order(order, by)
    }
}

/// The ways of these classes, by their names.
pub(super) fn ways(router: &dyn Router, classes: &[String]) -> Vec<(String, RouteState)> {
    let way = |way| match way {
        routing::Way::Open => RouteState::Open,
        routing::Way::LeaveOut => RouteState::Skip,
        routing::Way::Shut => RouteState::Closed,
    };
    let ways = router.ways(classes).into_iter().map(way);
    classes.iter().cloned().zip(ways).collect()
}

/// Tells the reducer how the calls stand: once now, so that it knows before anything is read, and on each change.
pub(super) fn start(hub: &Arc<Hub>) {
    let Some(router) = hub.routing.clone() else { return };
    let hub = hub.clone();
    let tell = move |hub: &Hub, told: &Vec<(String, RouteState)>| {
        hub.push(Input::RouteStates(told.clone()));
        // What is read after a check that found this matcher ready comes behind it in the inbox.
        hub.calls_blocked.store(told.iter().any(|(_, way)| *way != RouteState::Open), Ordering::Release);
    };
    let allow = |hub: &Hub, router: &dyn Router, known: &mut Option<Fence>| {
        if let Some((fence, routes)) = router.allowed(*known) {
            *known = Some(fence);
            hub.push(Input::CallLimits(routes));
        }
    };
    let (mut told, mut known) = (ways(&*router, &hub.classes()), None);
    tell(&hub, &told);
    allow(&hub, &*router, &mut known);
    spawn(move || loop {
        crate::net::spawn::sleep(LOOK);
        // Before the ways: who is ready has told what the table allows.
        allow(&hub, &*router, &mut known);
        let now = ways(&*router, &hub.classes());
        if now != told {
            told = now;
            tell(&hub, &told);
        }
    });
}

/// Calls may be made, and the reducer knows it; always where routes are off.
pub(super) fn ready(hub: &Hub) -> bool {
    hub.routing.as_ref().is_none_or(|router| router.ready() && !hub.calls_blocked.load(Ordering::Acquire))
}

/// Does something once calls may be made here, or after a bounded time; at once where routes are off.
pub(super) fn when_ready(hub: &Arc<Hub>, then: impl FnOnce() + Send + 'static) {
    if hub.routing.is_none() {
        return then();
    }
    let (hub, since) = (hub.clone(), Instant::now());
    spawn(move || {
        while !ready(&hub) && since.elapsed() < READY_PATIENCE {
            crate::net::spawn::sleep(LOOK);
        }
        then();
    });
}

/// A router whose answers are told beforehand, for tests.
#[cfg(test)]
pub(super) mod fake {
    use std::collections::VecDeque;
    use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
    use std::sync::mpsc::{channel, Sender};
    use std::sync::{Mutex, MutexGuard};

    use super::*;
    use crate::settings::Links;

    type Done = Result<String, OrderError>;

    pub struct FakeRouter {
        /// What the looks at a call find, one after the other; the last one stays.
        routed: Mutex<VecDeque<Routed>>,
        routed_calls: Mutex<Vec<Call>>,
        orders: Mutex<Vec<(Order, String)>>,
        done: Mutex<Done>,
        /// Where orders wait that are never answered.
        silent: Mutex<Option<Vec<Sender<Done>>>>,
        ready: AtomicBool,
        pub stale: AtomicUsize,
    }

    impl FakeRouter {
        pub fn with_answers(routed: impl IntoIterator<Item = Routed>) -> Self {
            Self {
                routed: Mutex::new(routed.into_iter().collect()),
                routed_calls: Mutex::default(),
                orders: Mutex::default(),
                done: Mutex::new(Ok("{}".into())),
                silent: Mutex::default(),
                ready: AtomicBool::new(true),
                stale: AtomicUsize::new(0),
            }
        }

        pub fn routed_calls(&self) -> Vec<Call> {
            self.routed_calls.lock().unwrap().clone()
        }

        pub fn orders(&self) -> MutexGuard<'_, Vec<(Order, String)>> {
            self.orders.lock().unwrap()
        }

        pub fn set_answer(&self, done: Done) {
            *self.done.lock().unwrap() = done;
        }

        pub fn leave_unanswered(&self) {
            *self.silent.lock().unwrap() = Some(Vec::new());
        }

        pub fn drop_unanswered(&self) {
            *self.silent.lock().unwrap() = None;
        }

        pub fn set_ready(&self, ready: bool) {
            self.ready.store(ready, Ordering::Relaxed);
        }
    }

    impl Router for FakeRouter {
        fn route(&self, call: &Call) -> Routed {
            self.routed_calls.lock().unwrap().push(call.clone());
            let mut routed = self.routed.lock().unwrap();
            if routed.len() > 1 {
                return routed.pop_front().unwrap();
            }
            routed[0]
        }

        fn ways(&self, classes: &[String]) -> Vec<routing::Way> {
            vec![routing::Way::Open; classes.len()]
        }

        fn allowed(&self, _known: Option<Fence>) -> Option<(Fence, Vec<Allows>)> {
            None
        }

        fn ready(&self) -> bool {
            self.ready.load(Ordering::Relaxed)
        }

        fn count(&self, _call: &Call, _kind: Kind) {}

        fn stale(&self) {
            self.stale.fetch_add(1, Ordering::Relaxed);
        }

        fn metrics(&self) -> String {
            String::new()
        }

        fn order(&self, order: Order, by: &str) -> Receiver<Done> {
            let (sender, receiver) = channel();
            match &mut *self.silent.lock().unwrap() {
                Some(waiting) => waiting.push(sender),
                None => sender.send(self.done.lock().unwrap().clone()).unwrap(),
            }
            self.orders().push((order, by.into()));
            receiver
        }
    }

    /// A hub with this router and the configuration's vault, and what comes to the reducer.
    pub fn test_hub(
        double: Option<Arc<FakeRouter>>,
        vault: Option<std::net::SocketAddr>,
    ) -> (Arc<Hub>, Receiver<Input>) {
        // Coroutines are sound on one worker only, in tests too.
        crate::net::spawn::start_runtime();
        let (sender, inbox) = channel();
        let links = Links { agent: None, vault, control: None };
        let routing = double.map(|double| double as Arc<dyn Router>);
        (Arc::new(Hub::new(sender, 256, links, Vec::new(), None, routing)), inbox)
    }
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc::channel;

    use super::fake::{test_hub, FakeRouter};
    use super::*;

    #[test]
    fn a_process_that_takes_over_waits_for_its_lease() {
        // Guards against an upgrade that turns requests away until the new process has its first lease.
        let double = Arc::new(FakeRouter::with_answers([Routed::Barred]));
        double.set_ready(false);
        let (hub, _inbox) = test_hub(Some(double.clone()), None);
        let (sender, begun) = channel();
        when_ready(&hub, move || sender.send(Instant::now()).unwrap());
        assert!(begun.recv_timeout(LOOK * 3).is_err());
        let since = Instant::now();
        double.set_ready(true);
        assert!(begun.recv_timeout(READY_PATIENCE).unwrap() >= since);
    }

    #[test]
    fn the_reducer_hears_of_the_ways_before_anything_else() {
        let (hub, inbox) = test_hub(Some(Arc::new(FakeRouter::with_answers([Routed::Barred]))), None);
        *hub.classes.lock().unwrap() = vec!["a".into(), "b".into()];
        start(&hub);
        let told = [("a".to_string(), RouteState::Open), ("b".to_string(), RouteState::Open)];
        assert!(matches!(inbox.try_recv(), Ok(Input::RouteStates(ways)) if ways == told));
    }
}
