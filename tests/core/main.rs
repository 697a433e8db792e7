//! The reducer, fed with inputs and a clock of the test's own.

mod bench;
mod calls;
#[path = "../common/mod.rs"]
mod common;
mod lost_link;
mod stop;
mod succession;

use std::sync::Arc;
use std::time::Duration;

use bench::*;
use common::TestRng;
use hopwalk::core::*;
use hopwalk::interface::Outcome;
use hopwalk::settings::Site;
use rstest::rstest;

#[test]
fn a_request_is_run_and_its_result_goes_back_unchanged() {
    let mut bench = Bench::new();
    let handle = bench.send(10, "queue-status", None);
    let launch = Command::Launch {
        handle,
        class: "queue-status".into(),
        arg: Arc::from(*b"body"),
        timeout: Duration::from_millis(1500),
    };
    assert!(says(&bench.done, &launch), "{:?}", bench.done);
    bench.complete(50, handle, b"\0made");
    assert_eq!(bench.answers(1), [&served(b"\0made")]);
}

#[test]
fn a_key_with_another_body_or_class_is_turned_back_and_never_served() {
    // Guards against a client that names the key of another's request and is handed its result.
    let mut bench = Bench::new();
    let first = bench.send(10, "lobby-confirm", Some("k"));
    let send_other = |bench: &mut Bench, at| {
        let Input::Request(mut other) = bench.request(at, "lobby-confirm", Some("k")) else { unreachable!() };
        other.body = Arc::from(*b"other");
        bench.step(at, [Input::Request(other)]);
    };
    send_other(&mut bench, 20);
    bench.complete(60, first, b"once");
    send_other(&mut bench, 70);
    bench.send(80, "lobby-confirm", Some("k"));
    for conn in [2, 3] {
        assert!(matches!(bench.answers(conn)[..], [Verdict::Invalid(_)]), "{:?}", bench.answers(conn));
    }
    assert_eq!(bench.answers(4), [&served(b"once")]);
    assert_eq!((bench.launches(), bench.core.counters().key_conflicts), (1, 2));
}

#[test]
fn a_repeat_of_a_running_key_waits_for_its_result_and_a_later_one_gets_the_kept_result() {
    let mut bench = Bench::new();
    let first = bench.send(10, "lobby-confirm", Some("k"));
    bench.send(20, "lobby-confirm", Some("k"));
    bench.complete(60, first, b"once");
    bench.send(9_000, "lobby-confirm", Some("k"));
    for conn in 1..=3 {
        assert_eq!(bench.answers(conn), [&served(b"once")]);
    }
    assert_eq!(bench.launches(), 1);
}

/// Guards against failing the first try of a key, which no wire lets be joined, because its repeat is run.
#[rstest]
#[case::in_one_step(0, 0)]
#[case::in_one_step_behind_full_cores(12, 0)]
#[case::in_neighbouring_steps_behind_full_cores(12, 1)]
#[case::in_steps_far_apart_behind_full_cores(12, 40)]
fn tries_of_one_key_that_wait_together_run_once_and_both_get_the_result(
    #[case] before: u64,
    #[case] apart: u64,
) {
    let mut bench = Bench::new();
    let running: Vec<_> = (0..before).map(|_| bench.send(5, "queue-status", None)).collect();
    let (first, second) = (before + 1, before + 2);
    let tries = [
        bench.request(10, "lobby-confirm", Some("k")),
        bench.request(10 + apart, "lobby-confirm", Some("k")),
    ];
    if apart == 0 {
        bench.step(10, tries);
    } else {
        tries.into_iter().zip([10, 10 + apart]).for_each(|(input, at)| _ = bench.step(at, [input]));
    }
    let launched = |bench: &Bench, conn| launches_of(&bench.done, handle(conn));
    assert_eq!(launched(&bench, first), usize::from(before == 0), "{:?}", bench.done);
    running.into_iter().for_each(|handle| bench.complete(60, handle, b"other"));
    assert_eq!((launched(&bench, first), launched(&bench, second)), (1, 0), "{:?}", bench.done);
    bench.complete(90, handle(first), b"once");
    for conn in [first, second] {
        assert_eq!(bench.answers(conn), [&served(b"once")]);
    }
    let counters = bench.core.counters();
    assert_eq!((counters.failed, counters.second_runs_barred, counters.joined), (0, 0, 1));
}

#[test]
fn a_key_may_run_again_after_its_window_and_not_before() {
    let mut bench = Bench::new();
    let first = bench.send(0, "lobby-confirm", Some("k"));
    bench.complete(40, first, b"one");
    bench.pass(16_500);
    bench.send(16_500, "lobby-confirm", Some("k"));
    assert_eq!(bench.launches(), 2);
}

#[test]
fn a_run_that_was_proven_not_to_begin_leaves_its_key_free() {
    let mut bench = Bench::new();
    let handle = bench.send(10, "lobby-confirm", Some("k"));
    bench.notice(15, Notice::Outcome { handle, end: End::Refused, lasted: None, result: None });
    assert!(matches!(bench.answers(1)[..], [Verdict::Refused { .. }]));
    bench.send(20, "lobby-confirm", Some("k"));
    assert_eq!(bench.launches(), 2);
}

#[test]
fn what_the_agent_never_ends_is_answered_when_due_and_only_once() {
    let mut bench = Bench::new();
    let handle = bench.send(0, "queue-status", None);
    bench.pass(1_600);
    assert_eq!(bench.answers(1), [&Verdict::Failed]);
    bench.complete(1_700, handle, b"late");
    assert_eq!(bench.answers(1).len(), 1);
}

#[test]
fn a_request_read_after_its_due_time_is_left_to_the_module() {
    // Guards against the core's own timer failing what the module would have refused with advice.
    let mut bench = Bench::new();
    let request = bench.request(0, "queue-status", None);
    bench.step(2_000, [request]);
    assert!(matches!(bench.answers(1)[..], [Verdict::Refused { .. }]), "{:?}", bench.done);
}

#[test]
fn a_call_gets_its_reply_delivered_and_a_silent_one_is_given_up() {
    let mut bench = Bench::new();
    let asks = |done: &[Effect]| {
        let call = |e: &_| if let Effect::Call { attempt, .. } = e { Some(*attempt) } else { None };
        done.iter().rev().find_map(call).expect("a call")
    };
    let need = |handle, cursor| Notice::CallNeeded { handle, cursor, body: Arc::from(*b"ask") };
    let first = bench.send(10, "lobby-confirm", Some("k"));
    bench.notice(20, need(first, 1));
    let attempt = asks(&bench.done);
    let reply: Bytes = Arc::from(*b"reply");
    bench.step(
        25,
        [Input::CallEnded {
            handle: first,
            attempt,
            end: End::Complete,
            reply: Some(reply.clone()),
            fence: None,
        }],
    );
    assert!(says(&bench.done, &Command::Deliver { handle: first, cursor: 1, arg: reply }));

    let second = bench.send(30, "queue-prefs", None);
    bench.notice(40, need(second, 7));
    let attempt = asks(&bench.done);
    bench.pass(1_560);
    assert!(bench.done.contains(&Effect::CancelCall { handle: second, attempt }));
    assert_eq!(bench.answers(2), [&Verdict::Failed]);

    let third = bench.send(2_000, "queue-prefs", None);
    bench.notice(2_010, need(third, 9));
    for n in 0..3 {
        let attempt = asks(&bench.done);
        bench.step(
            2_020 + n * 300,
            [Input::CallEnded { handle: third, attempt, end: End::Failed, reply: None, fence: None }],
        );
        bench.pass(2_300 + n * 300);
    }
    assert!(says(&bench.done, &Command::Forgo { handle: third, cursor: 9 }), "{:?}", bench.done);
}

#[test]
fn a_drain_runs_nothing_that_came_after_the_grace_and_ends_when_all_is_answered() {
    let mut bench = Bench::new();
    let early = bench.send(10, "queue-status", None);
    bench.drain(100);
    bench.send(1_500, "queue-status", None);
    assert_eq!(bench.launches(), 2, "within the grace requests run");
    bench.pass(2_101);
    assert!(bench.done.contains(&Effect::StopListening) && !bench.done.contains(&Effect::Exit));
    bench.send(2_150, "queue-status", None);
    assert!(matches!(bench.answers(3)[..], [Verdict::Refused { .. }]));
    bench.complete(2_200, early, b"x");
    bench.complete(2_210, handle(2), b"y");
    assert_eq!(bench.launches(), 2);
    assert!(bench.done.contains(&Effect::Exit));
}

#[test]
fn a_burst_costs_one_decision_and_all_of_it_is_answered() {
    let mut bench = Bench::new();
    let burst: Vec<_> = (0..300).map(|_| bench.request(10, "queue-status", None)).collect();
    bench.step(10, burst);
    bench.pass(2_000);
    let answered = (1..=300).filter(|conn| bench.answers(*conn).len() == 1).count();
    assert_eq!(answered, 300);
    assert!(bench.launches() < 60, "{} launched at once would crowd the cores", bench.launches());
}

#[test]
fn answered_requests_leave_no_timers_behind() {
    // Guards against memory that grows with the wait that callers state.
    let mut bench = Bench::new();
    for n in 0..500 {
        let Input::Request(mut request) = bench.request(n, "queue-status", None) else { unreachable!() };
        (request.start, request.timeout) = (Duration::ZERO, Some(ms(3_600_000)));
        bench.step(n, [Input::Request(request)]);
    }
    for n in 1..=500 {
        bench.complete(600, handle(n), b"x");
    }
    bench.pass(4_000);
    let told = bench.step(4_000, [Input::Query { ticket: 1, query: Query::Status }]);
    let [Effect::QueryResult { lines, .. }] = &told[..] else { panic!("{told:?}") };
    let timers = lines.iter().find(|(name, _)| name == "timers").unwrap().1.parse::<usize>().unwrap();
    assert!((1..10).contains(&timers), "{lines:?}");
}

#[rstest]
#[case("no-such-class", None, Verdict::NoSuchClass)]
#[case("lobby-confirm", None, Verdict::Invalid("a request of this class needs a key"))]
fn what_cannot_be_taken_is_said_so(#[case] class: &str, #[case] key: Option<&str>, #[case] says: Verdict) {
    let mut bench = Bench::new();
    bench.send(10, class, key);
    assert_eq!(bench.answers(1), [&says]);
    assert_eq!((bench.launches(), bench.core.counters().rejected), (0, 1));
}

#[test]
fn a_handle_in_use_is_not_taken_twice() {
    let mut bench = Bench::new();
    bench.send(10, "queue-status", None);
    let Input::Request(mut twin) = bench.request(11, "queue-status", None) else { unreachable!() };
    twin.handle = handle(1);
    bench.step(11, [Input::Request(twin)]);
    assert!(matches!(bench.answers(2)[..], [Verdict::Invalid(_)]));
}

#[rstest]
#[case(End::NotNow, true)]
#[case(End::Refused, true)]
#[case(End::Pointless, true)]
#[case(End::Unknown, true)]
#[case(End::Broken, false)]
#[case(End::Overdue, false)]
#[case(End::Failed, false)]
#[case(End::Malformed, false)]
#[case(End::Stalled, false)]
#[case(End::Cancelled, false)]
fn only_proof_counts_as_never_ran(#[case] end: End, #[case] never: bool) {
    assert_eq!(end.outcome().never_ran(), never);
    assert_ne!(end.outcome(), Outcome::Done);
}

/// Whatever agent, vault and link do, and in whatever order: one answer each and in time, one run for a key,
/// and nothing turned away once it was run.
#[test]
fn the_rules_hold_in_any_order_of_events() {
    const ENDS: [End; 6] =
        [End::Complete, End::Failed, End::Cancelled, End::Broken, End::Complete, End::Complete];
    for seed in 1..=150 {
        let (mut bench, mut dice) = (Bench::new(), TestRng(0x9e37_79b9_7f4a_7c15 ^ seed));
        let mut open: Vec<Handle> = Vec::new();
        let (mut calls, mut keys, mut due) = (Vec::new(), std::collections::HashMap::new(), Vec::new());
        let (mut at, mut seen, mut cursor) = (0, 0, 0);
        for _ in 0..400 {
            at += dice.roll(25);
            bench.pass(at);
            match dice.roll(12) {
                0..=3 => {
                    let key = format!("k{}", dice.roll(40));
                    bench.send(at, "lobby-confirm", Some(&key));
                    keys.insert(handle(bench.conns), (key, at));
                }
                4 | 5 => drop(bench.send(at, "queue-status", None)),
                6..=8 if !open.is_empty() => {
                    let handle = open.swap_remove(dice.roll(open.len() as u64) as usize);
                    let end = ENDS[dice.roll(6) as usize];
                    let result = (end == End::Complete).then(|| Arc::from(*b"r"));
                    bench.notice(at, Notice::Outcome { handle, end, lasted: None, result });
                }
                9 if !open.is_empty() => {
                    cursor += 1;
                    let handle = open[dice.roll(open.len() as u64) as usize];
                    bench.notice(at, Notice::CallNeeded { handle, cursor, body: Arc::from(*b"c") });
                }
                10 if !calls.is_empty() => {
                    let (handle, attempt) = calls.swap_remove(dice.roll(calls.len() as u64) as usize);
                    let end = [End::Complete, End::NotNow, End::Overdue, End::Broken][dice.roll(4) as usize];
                    let reply = (end == End::Complete).then(|| Arc::from(*b"y"));
                    bench.step(at, [Input::CallEnded { handle, attempt, end, reply, fence: None }]);
                }
                11 if dice.roll(6) == 0 => {
                    bench.lose_link(at);
                    bench.greet(at);
                    bench.synced(at);
                }
                _ => {}
            }
            due.resize(bench.conns as usize, at);
            for effect in &bench.done[seen..] {
                match effect {
                    Effect::Agent { command: Command::Launch { handle, .. }, .. } => open.push(*handle),
                    Effect::Call { handle, attempt, .. } => calls.push((*handle, *attempt)),
                    _ => {}
                }
            }
            seen = bench.done.len();
        }
        bench.drain(at);
        bench.pass(at + 3_200);
        assert!(bench.done.contains(&Effect::Exit), "seed {seed}: it does not leave");
        let mut runs = std::collections::HashMap::new();
        let mut launched = std::collections::HashSet::new();
        for effect in &bench.done {
            if let Effect::Agent { command: Command::Launch { handle, .. }, .. } = effect {
                launched.insert(*handle);
                if let Some((key, start)) = keys.get(handle) {
                    let before = runs.insert(key, *start);
                    assert!(before.is_none_or(|b| *start > b + 13_356), "seed {seed}: {key} runs twice");
                }
            }
        }
        for conn in 1..=bench.conns {
            let answers = bench.answers(conn);
            assert_eq!(answers.len(), 1, "seed {seed}: {conn} has {answers:?}");
            let refused = matches!(answers[0], Verdict::Refused { .. });
            assert!(!(refused && launched.contains(&handle(conn))), "seed {seed}: {conn} ran and is refused");
        }
    }
}

#[test]
fn a_dropped_class_is_served_for_late_callers_and_its_place_serves_again() {
    // Guards against classes mixed up by a new order of the file, and a table of classes that grows for ever.
    let named = |name: &str| Box::new(Site::parse(&SITE.replace("queue-prefs", name)).unwrap());
    let mut bench = Bench::new();
    bench.reload(1, named("one"));
    for (at, class, known) in [(5, "one", true), (6, "queue-prefs", true), (6600, "queue-prefs", false)] {
        bench.pass(at);
        let sent = bench.send(at, class, None);
        let begun = bench.launches();
        bench.complete(at + 1, sent, b"r");
        let last = bench.conns;
        let expected = if known { served(b"r") } else { Verdict::NoSuchClass };
        assert_eq!(bench.answers(last), [&expected], "{class} at {at}, {begun} begun");
    }
    for n in 0..40 {
        bench.reload(6700 + n * 7000, named(&format!("new-{n}")));
    }
    let sent = bench.send(290_000, "new-39", None);
    bench.complete(290_001, sent, b"r");
    assert_eq!(bench.answers(bench.conns), [&served(b"r")]);
    let Some(Effect::QueryResult { lines, .. }) =
        bench.step(290_002, [Input::Query { ticket: 1, query: Query::Status }]).pop()
    else {
        panic!("no answer")
    };
    assert!(lines.contains(&("classes".to_string(), "4".to_string())), "{lines:?}");
}

/// A site of two tenants, of which the first has no share, and with one core.
fn shared_out() -> Site {
    let tenants = r#"{"over_share_worth": 0.05, "tenants": [
        {"name": "poor", "quota_per_s": 0}, {"name": "rich", "quota_per_s": 1000}],"#;
    let json = SITE.replacen('{', tenants, 1).replace(r#""cores": 6"#, r#""cores": 1"#);
    Site::parse(&json).unwrap()
}

#[rstest]
#[case::by_name(Some("rich"), false)]
#[case::unknown(Some("nobody"), true)]
#[case::absent(None, true)]
fn a_tenant_is_known_by_its_name_and_a_stranger_has_no_share(
    #[case] tenant: Option<&str>,
    #[case] strange: bool,
) {
    // Guards against the front that read no tenants: all traffic counted as the first one's.
    let mut bench = Bench::new();
    bench.reload(5, Box::new(shared_out()));
    let of = |bench: &mut Bench, name: Option<&str>, at| {
        let Input::Request(mut request) = bench.request(at, "queue-prefs", None) else { unreachable!() };
        request.tenant = name.map(Arc::from);
        bench.step(at, [Input::Request(request)]);
        handle(bench.conns)
    };
    // A tenant may have saved up some requests: these use them up.
    let running: Vec<_> = (0..6).map(|_| of(&mut bench, Some("poor"), 10)).collect();
    let (poor, other) = (of(&mut bench, Some("poor"), 20), of(&mut bench, tenant, 21));
    for handle in running {
        bench.complete(40, handle, b"r");
    }
    let began = |of| {
        let launch = |e: &_| matches!(e, Effect::Agent { command: Command::Launch { handle, .. }, .. } if *handle == of);
        bench.done.iter().position(launch)
    };
    assert!(began(poor).is_some() && began(other).is_some());
    assert_eq!(began(other) < began(poor), !strange, "who has a share goes first");
    assert_eq!(bench.core.counters().unknown_tenants, u64::from(strange));
}

#[test]
fn a_cost_that_is_told_reaches_the_module() {
    // Guards against the front that read no costs. Of one worth, what takes longer must start sooner.
    let mut bench = Bench::new();
    let send = |bench: &mut Bench, at, cost| {
        let Input::Request(mut request) = bench.request(at, "queue-status", None) else { unreachable!() };
        (request.cost, request.rank) = (Some(Duration::from_millis(cost)), 0.9);
        bench.step(at, [Input::Request(request)]);
        handle(bench.conns)
    };
    let running: Vec<_> = (0..6).map(|_| send(&mut bench, 10, 100)).collect();
    let (short, long) = (send(&mut bench, 20, 50), send(&mut bench, 21, 200));
    for handle in running {
        bench.complete(40, handle, b"r");
    }
    let began = |of| {
        let launch = |e: &_| matches!(e, Effect::Agent { command: Command::Launch { handle, .. }, .. } if *handle == of);
        bench.done.iter().position(launch).unwrap()
    };
    assert!(began(long) < began(short));
}

#[test]
fn the_list_follows_whether_callers_are_wanted() {
    // Guards against reports that said Ready whatever the health: the list follows them at some sites.
    let mut bench = Bench::new();
    let lists = |effects: &[Effect]| -> Vec<bool> {
        effects
            .iter()
            .filter_map(|e| if let Effect::ReportReadiness(on) = e { Some(*on) } else { None })
            .collect()
    };
    for (at, on) in [(1, false), (2, true)] {
        let told = bench.step(at, [Input::Standby(!on)]);
        assert_eq!(lists(&told), [on]);
    }
    bench.send(3, "queue-status", None);
    let hung = bench.done.len();
    bench.pass(4_000);
    assert_eq!(lists(&bench.done[hung..]), [false], "work that hangs keeps callers away");
    let drained = bench.drain(4_001);
    assert_eq!(lists(&drained), [] as [bool; 0]);
}

#[rstest]
#[case::well_within(1_850, true)]
#[case::where_a_late_signal_would_have_it_outside(1_950, false)]
fn a_drain_leaves_room_for_a_signal_that_is_read_late(#[case] after: u64, #[case] runs: bool) {
    // Guards against runs of what came over two seconds after the notice was sent, as its reader was held up.
    let mut bench = Bench::new();
    bench.drain(100);
    bench.pass(100 + after);
    let sent = bench.send(100 + after, "queue-status", None);
    bench.pass(100 + after + 20);
    assert_eq!(launches_of(&bench.done, sent) == 1, runs);
}
