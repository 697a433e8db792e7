//! The reducer at a site where the fleet routes calls.

use std::sync::Arc;
use std::time::Duration;

use hopwalk::core::*;
use hopwalk::fleet::experiment::counts::Kind;
use hopwalk::fleet::routes::Fence;
use hopwalk::fleet::routing::{Call, CallLimits, RouteLimits};
use hopwalk::interface::RouteState;
use hopwalk::settings::Site;
use rstest::rstest;

const FENCE: Fence = Fence { turn: 3, version: 2 };

fn ms(n: u64) -> Duration {
    Duration::from_millis(1_000_000 + n)
}

fn handle(n: u64) -> Handle {
    format!("{n:016x}").parse().unwrap()
}

/// Time between the stop signal and the kill.
const STOP_AFTER: Duration = Duration::from_millis(3200);

struct Bench {
    core: Core,
    effects: Vec<Effect>,
    next: u64,
}

impl Bench {
    fn new(routes: bool) -> Self {
        let site = Site::parse(include_str!("../src/lab/site.json")).unwrap();
        let core = Core::new(site, 1, STOP_AFTER, ms(0)).unwrap();
        let mut bench = Self { core, effects: Vec::new(), next: 1 };
        if routes {
            bench.set_route_states(0, RouteState::Open);
        }
        bench.notice(0, Notice::Greeting { cold: false, uptime: Duration::from_secs(60) });
        bench
    }

    fn step(&mut self, at: u64, input: Input) -> Vec<Effect> {
        let effects = self.core.step(ms(at), [input]);
        self.effects.extend(effects.clone());
        effects
    }

    fn notice(&mut self, at: u64, notice: Notice) -> Vec<Effect> {
        self.step(at, Input::Agent { link: LinkId(1), notice })
    }

    fn advance_to(&mut self, until: u64) {
        while let Some(at) = self.core.next_timer().filter(|at| *at <= ms(until)) {
            let effects = self.core.step(at, []);
            self.effects.extend(effects);
        }
    }

    fn set_route_states(&mut self, at: u64, state: RouteState) -> Vec<Effect> {
        let classes = ["queue-status", "queue-prefs", "lobby-confirm"];
        self.step(at, Input::RouteStates(classes.map(|class| (class.to_string(), state)).to_vec()))
    }

    fn send(&mut self, at: u64, class: &str, change: impl Fn(&mut Request)) -> Handle {
        let n = self.next;
        self.next += 1;
        let mut request = Request {
            conn: n,
            handle: handle(n),
            class: class.to_string(),
            start: ms(at),
            timeout: Some(Duration::from_millis(3_000)),
            caller: 1,
            tenant: None,
            cost: None,
            size_kb: 40.0,
            rank: 0.5,
            key: None,
            object: None,
            body: Arc::from(*b"body"),
        };
        change(&mut request);
        self.step(at, Input::Request(Box::new(request)));
        handle(n)
    }

    fn request_call(&mut self, at: u64, handle: Handle) -> Vec<Effect> {
        self.notice(at, Notice::CallNeeded { handle, cursor: 1, body: Arc::from(*b"ask") })
    }

    fn call_ended(&mut self, at: u64, handle: Handle, end: End, fence: Option<Fence>) -> Vec<Effect> {
        let (attempt, reply) = (self.calls().len() as u32, None);
        self.step(at, Input::CallEnded { handle, attempt, end, reply, fence })
    }

    /// The routing data of all calls so far.
    fn calls(&self) -> Vec<Option<Call>> {
        let calls = self.effects.iter().filter_map(|e| match e {
            Effect::Call { route, .. } => Some(route.as_deref().cloned()),
            _ => None,
        });
        calls.collect()
    }

    fn counted_kinds(&self) -> Vec<Kind> {
        let counts = self.effects.iter().filter_map(|e| match e {
            Effect::CountAnswer { kind, .. } => Some(*kind),
            _ => None,
        });
        counts.collect()
    }

    fn answers(&self, conn: u64) -> Vec<&Verdict> {
        let answers = self.effects.iter().filter_map(|e| match e {
            Effect::Answer { conn: c, answer } if *c == conn => Some(&answer.verdict),
            _ => None,
        });
        answers.collect()
    }

    fn counter(&self, name: &str) -> u64 {
        self.core.counters().list().into_iter().find(|(n, _)| n == name).map_or(0, |(_, n)| n)
    }
}

#[test]
fn without_routes_a_call_has_no_routing_data_and_nothing_is_counted_for_experiments() {
    let mut bench = Bench::new(false);
    let first = bench.send(10, "queue-status", |r| r.object = Some("o".into()));
    bench.request_call(20, first);
    bench.call_ended(30, first, End::NotNow, None);
    bench.advance_to(4_000);
    assert!(!bench.calls().is_empty() && bench.calls().iter().all(Option::is_none));
    assert!(bench.counted_kinds().is_empty());
}

#[rstest]
#[case::object(Some("match 7"), Some("k"), b"match 7")]
#[case::key(None, Some("k"), b"k")]
#[case::empty_object(Some(""), Some("k"), b"k")]
#[case::neither(None, None, b"0000000000000001")]
fn the_subject_is_the_object_or_else_the_key_or_else_the_handle(
    #[case] object: Option<&str>,
    #[case] key: Option<&str>,
    #[case] subject: &[u8],
) {
    let mut bench = Bench::new(true);
    let first = bench.send(10, "queue-prefs", |r| {
        (r.object, r.key, r.tenant) = (object.map(Into::into), key.map(Into::into), Some("t".into()));
    });
    bench.request_call(20, first);
    let call = Call {
        class: "queue-prefs".into(),
        tenant: Some("t".into()),
        subject: subject.to_vec(),
        ..Call::default()
    };
    assert_eq!(bench.calls(), [Some(call)]);
}

#[test]
fn a_repeated_call_names_the_fence_under_which_the_first_attempt_was_sent() {
    let mut bench = Bench::new(true);
    let first = bench.send(10, "queue-status", |_| ());
    bench.request_call(20, first);
    bench.call_ended(30, first, End::Failed, Some(FENCE));
    bench.advance_to(400);
    let tried: Vec<_> = bench.calls().into_iter().map(|call| call.unwrap().last_fence).collect();
    assert_eq!(tried, [None, Some(FENCE)]);
    // An attempt that was never sent does not change the fence.
    bench.call_ended(410, first, End::Barred, None);
    bench.advance_to(900);
    assert_eq!(bench.calls().last().unwrap().as_ref().unwrap().last_fence, Some(FENCE));
}

#[test]
fn a_fence_that_is_reported_late_still_binds_the_request() {
    // Guards against a call that the reducer's own timer cancels, and whose fence is reported only after that.
    let mut bench = Bench::new(true);
    let first = bench.send(10, "queue-status", |_| ());
    bench.request_call(20, first);
    let attempt = 1;
    bench.call_ended(30, first, End::Failed, None);
    bench.step(
        40,
        Input::CallEnded { handle: first, attempt, end: End::Overdue, reply: None, fence: Some(FENCE) },
    );
    bench.advance_to(400);
    assert_eq!(bench.calls().last().unwrap().as_ref().unwrap().last_fence, Some(FENCE));
}

#[rstest]
#[case::read("queue-status", None)]
#[case::keyed("lobby-confirm", Some("k"))]
fn a_call_of_an_older_version_of_the_routes_fails_its_request(
    #[case] class: &str,
    #[case] key: Option<&str>,
) {
    let mut bench = Bench::new(true);
    let first = bench.send(10, class, |r| r.key = key.map(Into::into));
    bench.request_call(20, first);
    bench.call_ended(30, first, End::Stale, Some(FENCE));
    assert_eq!(bench.answers(1), [&Verdict::Failed]);
    bench.advance_to(4_000);
    assert_eq!((bench.calls().len(), bench.counter("call_stale")), (1, 1));
    assert_eq!((bench.answers(1).len(), bench.counted_kinds()), (1, vec![Kind::Failed]));
}

#[test]
fn a_call_that_was_not_made_for_want_of_a_lease_is_counted_and_made_again() {
    let mut bench = Bench::new(true);
    let first = bench.send(10, "lobby-confirm", |r| r.key = Some("k".into()));
    bench.request_call(20, first);
    bench.call_ended(30, first, End::Barred, None);
    assert!(bench.answers(1).is_empty());
    bench.advance_to(400);
    assert_eq!((bench.calls().len(), bench.counter("call_barred")), (2, 1), "it never ran");
}

#[test]
fn without_a_lease_requests_are_refused_at_once_and_runs_that_need_a_call_fail() {
    let mut bench = Bench::new(true);
    let running = bench.send(10, "queue-status", |_| ());
    bench.call_ended(15, running, End::Barred, None);
    bench.set_route_states(20, RouteState::Closed);
    bench.send(30, "queue-status", |_| ());
    let is_refused_with_advice = |v: &&Verdict| matches!(v, Verdict::Refused { retry_after, no_retry: false } if !retry_after.is_zero());
    assert!(
        bench.answers(2).iter().all(is_refused_with_advice) && bench.answers(2).len() == 1,
        "{:?}",
        bench.answers(2)
    );
    assert!(bench.answers(1).is_empty(), "it is running and may not need a call");
    bench.request_call(40, running);
    assert_eq!((bench.answers(1), bench.calls().len()), (vec![&Verdict::Failed], 0));
    bench.set_route_states(50, RouteState::Open);
    bench.send(60, "queue-status", |_| ());
    assert!(bench.answers(3).is_empty());
}

#[test]
fn without_a_lease_a_call_is_skipped_if_its_class_allows_it() {
    let mut bench = Bench::new(true);
    bench.set_route_states(20, RouteState::Skip);
    let read = bench.send(30, "queue-status", |_| ());
    let effects = bench.request_call(40, read);
    let skip = Command::Forgo { handle: read, cursor: 1 };
    let is_skip = |e: &Effect| matches!(e, Effect::Agent { command, .. } if *command == skip);
    assert!(effects.iter().any(is_skip), "{effects:?}");
    // A class without worth for answers without the call is not answered without it, whatever the table allows.
    bench.send(50, "lobby-confirm", |r| r.key = Some("k".into()));
    assert!(matches!(bench.answers(2)[..], [Verdict::Refused { .. }]));
}

#[test]
fn route_states_still_hold_after_the_agents_first_greeting_and_after_a_reload() {
    let mut bench = Bench::new(true);
    bench.set_route_states(5, RouteState::Closed);
    let other =
        include_str!("../src/lab/site.json").replace(r#""promise_us": 1800000"#, r#""promise_us": 1700000"#);
    bench.step(10, Input::Reload { site: Box::new(Site::parse(&other).unwrap()), stop_after: STOP_AFTER });
    bench.send(20, "queue-status", |_| ());
    assert!(matches!(bench.answers(1)[..], [Verdict::Refused { .. }]));
    let site = Site::parse(include_str!("../src/lab/site.json")).unwrap();
    let core = Core::new(site, 1, STOP_AFTER, ms(0)).unwrap();
    let mut early = Bench { core, effects: Vec::new(), next: 1 };
    early.set_route_states(0, RouteState::Closed);
    early.notice(0, Notice::Greeting { cold: false, uptime: Duration::from_secs(60) });
    early.send(20, "queue-status", |_| ());
    assert!(matches!(early.answers(1)[..], [Verdict::Refused { .. }]));
}

#[test]
fn each_answer_is_counted_once_by_its_kind() {
    let mut bench = Bench::new(true);
    let complete = |bench: &mut Bench, at, handle| {
        let (duration, result) = (Some(Duration::from_millis(20)), Some(Arc::from(*b"x")));
        bench.notice(at, Notice::Outcome { handle, end: End::Complete, duration, result });
    };
    let in_time = bench.send(10, "queue-status", |_| ());
    complete(&mut bench, 50, in_time);
    let late = bench.send(60, "queue-status", |_| ());
    complete(&mut bench, 2_000, late);
    bench.send(2_010, "queue-status", |_| ());
    bench.advance_to(5_100);
    bench.set_route_states(5_200, RouteState::Closed);
    bench.send(5_210, "queue-status", |_| ());
    assert_eq!(bench.counted_kinds(), [Kind::Served, Kind::Late, Kind::Failed, Kind::Refused]);
}

const ONCE: CallLimits = CallLimits { max_tries: 1, may_skip: false };
const TWICE: CallLimits = CallLimits { max_tries: 2, may_skip: true };

fn limits(class: &str, tenant: Option<&str>, limits: CallLimits) -> RouteLimits {
    RouteLimits { class: class.into(), tenant: tenant.map(Into::into), limits }
}

#[rstest]
#[case::route_of_the_class(None, 2)]
#[case::another_tenant(Some("u"), 2)]
#[case::route_of_the_tenant(Some("t"), 1)]
fn a_call_is_tried_as_often_as_its_own_route_allows(#[case] tenant: Option<&str>, #[case] calls: usize) {
    let mut bench = Bench::new(true);
    let routes = vec![limits("queue-status", None, TWICE), limits("queue-status", Some("t"), ONCE)];
    bench.step(5, Input::CallLimits(routes));
    let first = bench.send(10, "queue-status", |r| r.tenant = tenant.map(Into::into));
    bench.request_call(20, first);
    for at in [30, 400, 800] {
        bench.call_ended(at, first, End::Failed, Some(FENCE));
        bench.advance_to(at + 300);
    }
    assert_eq!(bench.calls().len(), calls);
    let failed = !bench.answers(1).is_empty();
    assert_eq!(failed, tenant == Some("t"), "its own route allows no answer without the call");
}

#[test]
fn a_request_keeps_the_limits_of_the_version_under_which_its_call_was_sent() {
    let mut bench = Bench::new(true);
    bench.step(5, Input::CallLimits(vec![limits("queue-status", None, TWICE)]));
    let (first, later) = (bench.send(10, "queue-status", |_| ()), bench.send(11, "queue-status", |_| ()));
    bench.request_call(20, first);
    // When the next version arrives, the call of the first request is in progress, so that the old limits still hold
    // for it. The second request has not made a call yet.
    bench.step(25, Input::CallLimits(vec![limits("queue-status", None, ONCE)]));
    bench.step(
        30,
        Input::CallEnded { handle: first, attempt: 1, end: End::Failed, reply: None, fence: Some(FENCE) },
    );
    bench.advance_to(400);
    assert_eq!(bench.calls().len(), 2, "the old version allows two tries");
    bench.request_call(410, later);
    assert_eq!(bench.calls().last().unwrap().as_ref().unwrap().limits, Some(ONCE));
    bench.step(
        420,
        Input::CallEnded { handle: later, attempt: 3, end: End::Failed, reply: None, fence: Some(FENCE) },
    );
    assert_eq!(bench.answers(2), [&Verdict::Failed]);
}

#[test]
fn a_call_that_is_sent_under_another_version_is_bound_by_its_limits() {
    let mut bench = Bench::new(true);
    bench.step(5, Input::CallLimits(vec![limits("queue-status", None, TWICE)]));
    let first = bench.send(10, "queue-status", |_| ());
    bench.request_call(20, first);
    // A change that is reported for another attempt has no effect.
    bench.step(21, Input::CallRouteChanged { handle: first, attempt: 9, limits: Some(TWICE) });
    bench.step(22, Input::CallRouteChanged { handle: first, attempt: 1, limits: Some(ONCE) });
    bench.call_ended(30, first, End::Failed, Some(FENCE));
    assert_eq!((bench.answers(1), bench.calls().len()), (vec![&Verdict::Failed], 1));
}

#[test]
fn the_limits_of_new_routes_hold_for_a_waiting_call() {
    let mut bench = Bench::new(true);
    bench.step(5, Input::CallLimits(vec![limits("queue-status", None, TWICE)]));
    let first = bench.send(10, "queue-status", |_| ());
    bench.request_call(20, first);
    bench.call_ended(30, first, End::NotNow, None);
    bench.step(40, Input::CallLimits(vec![limits("queue-status", None, ONCE)]));
    assert_eq!((bench.answers(1), bench.calls().len()), (vec![&Verdict::Failed], 1));
}
