//! The reducer where the fleet routes calls.

use std::sync::Arc;
use std::time::Duration;

use hopwalk::core::*;
use hopwalk::fleet::experiment::counts::Kind;
use hopwalk::fleet::routes::Fence;
use hopwalk::fleet::routing::{Allowed, Allows, Call};
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

/// From the notice to the kill.
const STOP_AFTER: Duration = Duration::from_millis(3200);

struct Bench {
    core: Core,
    done: Vec<Effect>,
    next: u64,
}

impl Bench {
    fn new(routes: bool) -> Self {
        let site = Site::parse(include_str!("../src/lab/site.json")).unwrap();
        let core = Core::new(site, 1, STOP_AFTER, ms(0)).unwrap();
        let mut bench = Self { core, done: Vec::new(), next: 1 };
        if routes {
            bench.ways(0, RouteState::Open);
        }
        bench.notice(0, Notice::Greeting { cold: false, uptime: Duration::from_secs(60) });
        bench
    }

    fn step(&mut self, at: u64, input: Input) -> Vec<Effect> {
        let effects = self.core.step(ms(at), [input]);
        self.done.extend(effects.clone());
        effects
    }

    fn notice(&mut self, at: u64, notice: Notice) -> Vec<Effect> {
        self.step(at, Input::Agent { link: LinkId(1), notice })
    }

    fn pass(&mut self, until: u64) {
        while let Some(at) = self.core.next_timer().filter(|at| *at <= ms(until)) {
            let effects = self.core.step(at, []);
            self.done.extend(effects);
        }
    }

    fn ways(&mut self, at: u64, way: RouteState) -> Vec<Effect> {
        let classes = ["queue-status", "queue-prefs", "lobby-confirm"];
        self.step(at, Input::RouteStates(classes.map(|class| (class.to_string(), way)).to_vec()))
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

    fn needs_call(&mut self, at: u64, handle: Handle) -> Vec<Effect> {
        self.notice(at, Notice::CallNeeded { handle, cursor: 1, body: Arc::from(*b"ask") })
    }

    fn call_ended(&mut self, at: u64, handle: Handle, end: End, fence: Option<Fence>) -> Vec<Effect> {
        let (attempt, reply) = (self.calls().len() as u32, None);
        self.step(at, Input::CallEnded { handle, attempt, end, reply, fence })
    }

    /// What the calls so far were to be routed by.
    fn calls(&self) -> Vec<Option<Call>> {
        let calls = self.done.iter().filter_map(|e| match e {
            Effect::Call { route, .. } => Some(route.as_deref().cloned()),
            _ => None,
        });
        calls.collect()
    }

    fn counted(&self) -> Vec<Kind> {
        let counts = self.done.iter().filter_map(|e| match e {
            Effect::CountAnswer { kind, .. } => Some(*kind),
            _ => None,
        });
        counts.collect()
    }

    fn answers(&self, conn: u64) -> Vec<&Verdict> {
        let answers = self.done.iter().filter_map(|e| match e {
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
fn without_routes_a_call_carries_none_and_nothing_is_counted_for_experiments() {
    let mut bench = Bench::new(false);
    let first = bench.send(10, "queue-status", |r| r.object = Some("o".into()));
    bench.needs_call(20, first);
    bench.call_ended(30, first, End::NotNow, None);
    bench.pass(4_000);
    assert!(!bench.calls().is_empty() && bench.calls().iter().all(Option::is_none));
    assert!(bench.counted().is_empty());
}

#[rstest]
#[case::object(Some("match 7"), Some("k"), b"match 7")]
#[case::key(None, Some("k"), b"k")]
#[case::empty_object(Some(""), Some("k"), b"k")]
#[case::neither(None, None, b"0000000000000001")]
fn a_subject_is_the_object_else_the_key_else_the_request(
    #[case] object: Option<&str>,
    #[case] key: Option<&str>,
    #[case] subject: &[u8],
) {
    let mut bench = Bench::new(true);
    let first = bench.send(10, "queue-prefs", |r| {
        (r.object, r.key, r.tenant) = (object.map(Into::into), key.map(Into::into), Some("t".into()));
    });
    bench.needs_call(20, first);
    let call = Call {
        class: "queue-prefs".into(),
        tenant: Some("t".into()),
        subject: subject.to_vec(),
        ..Call::default()
    };
    assert_eq!(bench.calls(), [Some(call)]);
}

#[test]
fn a_call_that_is_made_again_tells_what_the_one_before_went_out_under() {
    let mut bench = Bench::new(true);
    let first = bench.send(10, "queue-status", |_| ());
    bench.needs_call(20, first);
    bench.call_ended(30, first, End::Failed, Some(FENCE));
    bench.pass(400);
    let tried: Vec<_> = bench.calls().into_iter().map(|call| call.unwrap().tried).collect();
    assert_eq!(tried, [None, Some(FENCE)]);
    // One that never went out takes nothing back.
    bench.call_ended(410, first, End::Barred, None);
    bench.pass(900);
    assert_eq!(bench.calls().last().unwrap().as_ref().unwrap().tried, Some(FENCE));
}

#[test]
fn a_call_that_is_told_late_still_binds_the_request() {
    // Guards against a call given up by the reducer's own timer, whose fence comes only then.
    let mut bench = Bench::new(true);
    let first = bench.send(10, "queue-status", |_| ());
    bench.needs_call(20, first);
    let attempt = 1;
    bench.call_ended(30, first, End::Failed, None);
    bench.step(
        40,
        Input::CallEnded { handle: first, attempt, end: End::Overdue, reply: None, fence: Some(FENCE) },
    );
    bench.pass(400);
    assert_eq!(bench.calls().last().unwrap().as_ref().unwrap().tried, Some(FENCE));
}

#[rstest]
#[case::read("queue-status", None)]
#[case::keyed("lobby-confirm", Some("k"))]
fn a_call_of_an_older_version_ends_its_request_as_failed(#[case] class: &str, #[case] key: Option<&str>) {
    let mut bench = Bench::new(true);
    let first = bench.send(10, class, |r| r.key = key.map(Into::into));
    bench.needs_call(20, first);
    bench.call_ended(30, first, End::Stale, Some(FENCE));
    assert_eq!(bench.answers(1), [&Verdict::Failed]);
    bench.pass(4_000);
    assert_eq!((bench.calls().len(), bench.counter("call_stale")), (1, 1));
    assert_eq!((bench.answers(1).len(), bench.counted()), (1, vec![Kind::Failed]));
}

#[test]
fn a_call_without_the_right_to_make_it_is_made_again_and_counted() {
    let mut bench = Bench::new(true);
    let first = bench.send(10, "lobby-confirm", |r| r.key = Some("k".into()));
    bench.needs_call(20, first);
    bench.call_ended(30, first, End::Barred, None);
    assert!(bench.answers(1).is_empty());
    bench.pass(400);
    assert_eq!((bench.calls().len(), bench.counter("call_barred")), (2, 1), "it never ran");
}

#[test]
fn without_a_lease_requests_are_turned_away_at_once_and_runs_at_a_call_fail() {
    let mut bench = Bench::new(true);
    let running = bench.send(10, "queue-status", |_| ());
    bench.call_ended(15, running, End::Barred, None);
    bench.ways(20, RouteState::Closed);
    bench.send(30, "queue-status", |_| ());
    let advice = |v: &&Verdict| matches!(v, Verdict::Refused { retry_after, no_retry: false } if !retry_after.is_zero());
    assert!(bench.answers(2).iter().all(advice) && bench.answers(2).len() == 1, "{:?}", bench.answers(2));
    assert!(bench.answers(1).is_empty(), "it runs, and may need no call");
    bench.needs_call(40, running);
    assert_eq!((bench.answers(1), bench.calls().len()), (vec![&Verdict::Failed], 0));
    bench.ways(50, RouteState::Open);
    bench.send(60, "queue-status", |_| ());
    assert!(bench.answers(3).is_empty());
}

#[test]
fn where_it_may_be_a_call_is_left_out_without_a_lease() {
    let mut bench = Bench::new(true);
    bench.ways(20, RouteState::Skip);
    let read = bench.send(30, "queue-status", |_| ());
    let told = bench.needs_call(40, read);
    let skip = Command::Forgo { handle: read, cursor: 1 };
    let says = |e: &Effect| matches!(e, Effect::Agent { command, .. } if *command == skip);
    assert!(told.iter().any(says), "{told:?}");
    // A class that is worth nothing without its call is not answered without it, whatever the table says.
    bench.send(50, "lobby-confirm", |r| r.key = Some("k".into()));
    assert!(matches!(bench.answers(2)[..], [Verdict::Refused { .. }]));
}

#[test]
fn the_ways_hold_for_the_life_that_the_agents_greeting_begins_and_for_other_settings() {
    let mut bench = Bench::new(true);
    bench.ways(5, RouteState::Closed);
    let other =
        include_str!("../src/lab/site.json").replace(r#""promise_us": 1800000"#, r#""promise_us": 1700000"#);
    bench.step(10, Input::Reload { site: Box::new(Site::parse(&other).unwrap()), stop_after: STOP_AFTER });
    bench.send(20, "queue-status", |_| ());
    assert!(matches!(bench.answers(1)[..], [Verdict::Refused { .. }]));
    let site = Site::parse(include_str!("../src/lab/site.json")).unwrap();
    let core = Core::new(site, 1, STOP_AFTER, ms(0)).unwrap();
    let mut early = Bench { core, done: Vec::new(), next: 1 };
    early.ways(0, RouteState::Closed);
    early.notice(0, Notice::Greeting { cold: false, uptime: Duration::from_secs(60) });
    early.send(20, "queue-status", |_| ());
    assert!(matches!(early.answers(1)[..], [Verdict::Refused { .. }]));
}

#[test]
fn each_answer_is_counted_once_by_how_it_went() {
    let mut bench = Bench::new(true);
    let complete = |bench: &mut Bench, at, handle| {
        let (lasted, result) = (Some(Duration::from_millis(20)), Some(Arc::from(*b"x")));
        bench.notice(at, Notice::Outcome { handle, end: End::Complete, lasted, result });
    };
    let in_time = bench.send(10, "queue-status", |_| ());
    complete(&mut bench, 50, in_time);
    let late = bench.send(60, "queue-status", |_| ());
    complete(&mut bench, 2_000, late);
    bench.send(2_010, "queue-status", |_| ());
    bench.pass(5_100);
    bench.ways(5_200, RouteState::Closed);
    bench.send(5_210, "queue-status", |_| ());
    assert_eq!(bench.counted(), [Kind::Served, Kind::Late, Kind::Failed, Kind::TurnedAway]);
}

const ONCE: Allowed = Allowed { tries: 1, without: false };
const TWICE: Allowed = Allowed { tries: 2, without: true };

fn allows(class: &str, tenant: Option<&str>, allowed: Allowed) -> Allows {
    Allows { class: class.into(), tenant: tenant.map(Into::into), allowed }
}

#[rstest]
#[case::the_class(None, 2)]
#[case::another_tenant(Some("u"), 2)]
#[case::a_tenant_of_its_own(Some("t"), 1)]
fn a_call_is_tried_as_its_own_route_allows(#[case] tenant: Option<&str>, #[case] calls: usize) {
    let mut bench = Bench::new(true);
    let routes = vec![allows("queue-status", None, TWICE), allows("queue-status", Some("t"), ONCE)];
    bench.step(5, Input::CallLimits(routes));
    let first = bench.send(10, "queue-status", |r| r.tenant = tenant.map(Into::into));
    bench.needs_call(20, first);
    for at in [30, 400, 800] {
        bench.call_ended(at, first, End::Failed, Some(FENCE));
        bench.pass(at + 300);
    }
    assert_eq!(bench.calls().len(), calls);
    let failed = !bench.answers(1).is_empty();
    assert_eq!(failed, tenant == Some("t"), "its own route allows no answer without the call");
}

#[test]
fn a_request_keeps_what_the_version_allows_that_a_call_of_it_went_out_under() {
    let mut bench = Bench::new(true);
    bench.step(5, Input::CallLimits(vec![allows("queue-status", None, TWICE)]));
    let (first, later) = (bench.send(10, "queue-status", |_| ()), bench.send(11, "queue-status", |_| ()));
    bench.needs_call(20, first);
    // Its call is out when another version comes, and so its request is of the old one; the other one has
    // none yet.
    bench.step(25, Input::CallLimits(vec![allows("queue-status", None, ONCE)]));
    bench.step(
        30,
        Input::CallEnded { handle: first, attempt: 1, end: End::Failed, reply: None, fence: Some(FENCE) },
    );
    bench.pass(400);
    assert_eq!(bench.calls().len(), 2, "two tries by the old version");
    bench.needs_call(410, later);
    assert_eq!(bench.calls().last().unwrap().as_ref().unwrap().allowed, Some(ONCE));
    bench.step(
        420,
        Input::CallEnded { handle: later, attempt: 3, end: End::Failed, reply: None, fence: Some(FENCE) },
    );
    assert_eq!(bench.answers(2), [&Verdict::Failed]);
}

#[test]
fn a_call_that_goes_out_by_another_version_is_bound_by_that_one() {
    let mut bench = Bench::new(true);
    bench.step(5, Input::CallLimits(vec![allows("queue-status", None, TWICE)]));
    let first = bench.send(10, "queue-status", |_| ());
    bench.needs_call(20, first);
    // Of another attempt, it says nothing.
    bench.step(21, Input::CallRouteChanged { handle: first, attempt: 9, limits: Some(TWICE) });
    bench.step(22, Input::CallRouteChanged { handle: first, attempt: 1, limits: Some(ONCE) });
    bench.call_ended(30, first, End::Failed, Some(FENCE));
    assert_eq!((bench.answers(1), bench.calls().len()), (vec![&Verdict::Failed], 1));
}

#[test]
fn a_call_that_waits_goes_by_the_routes_that_are_in_force() {
    let mut bench = Bench::new(true);
    bench.step(5, Input::CallLimits(vec![allows("queue-status", None, TWICE)]));
    let first = bench.send(10, "queue-status", |_| ());
    bench.needs_call(20, first);
    bench.call_ended(30, first, End::NotNow, None);
    bench.step(40, Input::CallLimits(vec![allows("queue-status", None, ONCE)]));
    assert_eq!((bench.answers(1), bench.calls().len()), (vec![&Verdict::Failed], 1));
}
