//! Tests of the reducer with simulated inputs and a simulated clock.

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
use hopwalk::settings::{MemoryBudget, Site};
use rstest::rstest;

#[test]
fn a_request_is_run_and_its_result_is_returned_unchanged() {
    let mut bench = Bench::new();
    let handle = bench.send(10, "queue-status", None);
    let launch = Command::Launch {
        handle,
        class: "queue-status".into(),
        arg: Arc::from(*b"body"),
        timeout: Duration::from_millis(1500),
    };
    assert!(sends(&bench.effects, &launch), "{:?}", bench.effects);
    bench.complete(50, handle, b"\0made");
    assert_eq!(bench.answers(1), [&served(b"\0made")]);
}

#[test]
fn a_known_key_with_another_body_or_class_is_rejected_and_never_served() {
    // Guards against a client that sends the key of another client's request and gets its result.
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
fn a_repeat_of_a_running_key_waits_for_its_result_and_a_later_one_gets_the_stored_result() {
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

/// Guards against failing the first try of a key, which repeats no other try and so cannot join its run, because its
/// repeat is run.
#[rstest]
#[case::in_one_step(0, 0)]
#[case::in_one_step_behind_full_cores(12, 0)]
#[case::in_neighbouring_steps_behind_full_cores(12, 1)]
#[case::in_steps_far_apart_behind_full_cores(12, 40)]
fn tries_of_one_key_that_are_held_together_run_once_and_both_get_the_result(
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
    let launched = |bench: &Bench, conn| launches_of(&bench.effects, handle(conn));
    assert_eq!(launched(&bench, first), usize::from(before == 0), "{:?}", bench.effects);
    running.into_iter().for_each(|handle| bench.complete(60, handle, b"other"));
    assert_eq!((launched(&bench, first), launched(&bench, second)), (1, 0), "{:?}", bench.effects);
    bench.complete(90, handle(first), b"once");
    for conn in [first, second] {
        assert_eq!(bench.answers(conn), [&served(b"once")]);
    }
    let counters = bench.core.counters();
    assert_eq!((counters.failed, counters.second_runs_barred, counters.joined), (0, 0, 1));
}

#[test]
fn a_key_may_run_again_only_after_its_window() {
    let mut bench = Bench::new();
    let first = bench.send(0, "lobby-confirm", Some("k"));
    bench.complete(40, first, b"one");
    bench.advance_to(16_500);
    bench.send(16_500, "lobby-confirm", Some("k"));
    assert_eq!(bench.launches(), 2);
}

#[test]
fn a_run_that_is_proven_not_to_have_begun_frees_its_key() {
    let mut bench = Bench::new();
    let handle = bench.send(10, "lobby-confirm", Some("k"));
    bench.notice(15, Notice::Outcome { handle, end: End::Refused, duration: None, result: None });
    assert!(matches!(bench.answers(1)[..], [Verdict::Refused { .. }]));
    bench.send(20, "lobby-confirm", Some("k"));
    assert_eq!(bench.launches(), 2);
}

#[test]
fn a_key_is_free_once_its_run_is_proven_not_to_have_begun_although_a_repeat_ended_before() {
    // Guards against a key that stays with a repeat which is over: a later try was failed as if the key had run.
    let mut bench = Bench::new();
    let run = bench.request(0, "lobby-confirm", Some("key"));
    let Input::Request(repeat) = bench.request(0, "lobby-confirm", Some("key")) else { unreachable!() };
    let timeout = Some(Duration::from_millis(300));
    bench.step(0, [run, Input::Request(Box::new(Request { timeout, ..*repeat }))]);
    assert_eq!(bench.launches(), 1);
    let run = handle(1);
    bench.advance_to(500);
    assert_eq!(bench.answers(2), [&Verdict::Failed]);
    bench.notice(510, Notice::Outcome { handle: run, end: End::Unknown, duration: None, result: None });
    let next = bench.send(520, "lobby-confirm", Some("key"));
    bench.complete(560, next, b"made");
    assert_eq!(bench.answers(3), [&served(b"made")]);
}

#[test]
fn a_run_that_the_agent_never_ends_is_answered_once_when_due() {
    let mut bench = Bench::new();
    let handle = bench.send(0, "queue-status", None);
    bench.advance_to(1_600);
    assert_eq!(bench.answers(1), [&Verdict::Failed]);
    bench.complete(1_700, handle, b"late");
    assert_eq!(bench.answers(1).len(), 1);
}

#[test]
fn a_request_read_after_its_due_time_is_answered_by_the_decision_module() {
    // Guards against the reducer's own deadline failing a request that the decision module would refuse with advice.
    let mut bench = Bench::new();
    let request = bench.request(0, "queue-status", None);
    bench.step(2_000, [request]);
    assert!(matches!(bench.answers(1)[..], [Verdict::Refused { .. }]), "{:?}", bench.effects);
}

#[test]
fn the_reply_to_a_call_is_delivered_and_a_call_without_reply_is_cancelled() {
    let mut bench = Bench::new();
    let last_attempt = |effects: &[Effect]| {
        let call = |e: &_| if let Effect::Call { attempt, .. } = e { Some(*attempt) } else { None };
        effects.iter().rev().find_map(call).expect("a call")
    };
    let need = |handle, cursor| Notice::CallNeeded { handle, cursor, body: Arc::from(*b"ask") };
    let first = bench.send(10, "lobby-confirm", Some("k"));
    bench.notice(20, need(first, 1));
    let attempt = last_attempt(&bench.effects);
    let reply = reply_to(first, 1, attempt, b"reply");
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
    assert!(sends(&bench.effects, &Command::Deliver { handle: first, cursor: 1, due: ms(1_510), reply }));

    let second = bench.send(30, "queue-prefs", None);
    bench.notice(40, need(second, 7));
    let attempt = last_attempt(&bench.effects);
    bench.advance_to(1_560);
    assert!(bench.effects.contains(&Effect::CancelCall { handle: second, attempt }));
    assert_eq!(bench.answers(2), [&Verdict::Failed]);

    let third = bench.send(2_000, "queue-prefs", None);
    bench.notice(2_010, need(third, 9));
    for n in 0..3 {
        let attempt = last_attempt(&bench.effects);
        bench.step(
            2_020 + n * 300,
            [Input::CallEnded { handle: third, attempt, end: End::Failed, reply: None, fence: None }],
        );
        bench.advance_to(2_300 + n * 300);
    }
    assert!(sends(&bench.effects, &Command::Forgo { handle: third, cursor: 9 }), "{:?}", bench.effects);
}

#[test]
fn a_drain_runs_nothing_that_arrives_after_the_grace_period_and_ends_when_all_is_answered() {
    let mut bench = Bench::new();
    let early = bench.send(10, "queue-status", None);
    bench.drain(100);
    bench.send(1_500, "queue-status", None);
    assert_eq!(bench.launches(), 2, "requests run within the grace period");
    bench.advance_to(2_101);
    assert!(bench.effects.contains(&Effect::StopListening) && !bench.effects.contains(&Effect::Exit));
    bench.send(2_150, "queue-status", None);
    assert!(matches!(bench.answers(3)[..], [Verdict::Refused { .. }]));
    bench.complete(2_200, early, b"x");
    bench.complete(2_210, handle(2), b"y");
    assert_eq!(bench.launches(), 2);
    assert!(bench.effects.contains(&Effect::Exit));
}

#[test]
fn a_burst_in_one_step_is_answered_and_does_not_overload_the_cores() {
    let mut bench = Bench::new();
    let burst: Vec<_> = (0..300).map(|_| bench.request(10, "queue-status", None)).collect();
    bench.step(10, burst);
    bench.advance_to(2_000);
    let answered = (1..=300).filter(|conn| bench.answers(*conn).len() == 1).count();
    assert_eq!(answered, 300);
    assert!(bench.launches() < 60, "{} launched at once would overload the cores", bench.launches());
}

#[test]
fn answered_requests_leave_no_timers_behind() {
    // Guards against memory that grows with the timeouts that clients state.
    let mut bench = Bench::new();
    for n in 0..500 {
        let Input::Request(mut request) = bench.request(n, "queue-status", None) else { unreachable!() };
        (request.start, request.timeout) = (Duration::ZERO, Some(ms(3_600_000)));
        bench.step(n, [Input::Request(request)]);
    }
    for n in 1..=500 {
        bench.complete(600, handle(n), b"x");
    }
    bench.advance_to(4_000);
    let effects = bench.step(4_000, [Input::Query { ticket: 1, query: Query::Status }]);
    let [Effect::QueryResult { lines, .. }] = &effects[..] else { panic!("{effects:?}") };
    let timers = lines.iter().find(|(name, _)| name == "timers").unwrap().1.parse::<usize>().unwrap();
    assert!((1..10).contains(&timers), "{lines:?}");
}

#[rstest]
#[case("no-such-class", None, Verdict::NoSuchClass)]
#[case("lobby-confirm", None, Verdict::Invalid("a request of this class needs a key"))]
fn an_invalid_request_is_answered_with_the_reason(
    #[case] class: &str,
    #[case] key: Option<&str>,
    #[case] expected: Verdict,
) {
    let mut bench = Bench::new();
    bench.send(10, class, key);
    assert_eq!(bench.answers(1), [&expected]);
    assert_eq!((bench.launches(), bench.core.counters().rejected), (0, 1));
}

#[test]
fn a_handle_in_use_is_not_accepted_again() {
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
fn only_ends_that_prove_it_count_as_never_run(#[case] end: End, #[case] never: bool) {
    assert_eq!(end.outcome().never_ran(), never);
    assert_ne!(end.outcome(), Outcome::Done);
}

/// Whatever agent, vault and link do, in any order: each request gets one answer in time, each key has one run, and no
/// request is refused after it was run.
#[test]
fn the_rules_hold_in_any_order_of_events() {
    const ENDS: [End; 6] =
        [End::Complete, End::Failed, End::Cancelled, End::Broken, End::Complete, End::Complete];
    for seed in 1..=150 {
        let (mut bench, mut rng) = (Bench::new(), TestRng(0x9e37_79b9_7f4a_7c15 ^ seed));
        let mut open: Vec<Handle> = Vec::new();
        let (mut calls, mut keys, mut due) = (Vec::new(), std::collections::HashMap::new(), Vec::new());
        let (mut at, mut searched, mut cursor) = (0, 0, 0);
        for _ in 0..400 {
            at += rng.roll(25);
            bench.advance_to(at);
            match rng.roll(12) {
                0..=3 => {
                    let key = format!("k{}", rng.roll(40));
                    bench.send(at, "lobby-confirm", Some(&key));
                    keys.insert(handle(bench.conns), (key, at));
                }
                4 | 5 => drop(bench.send(at, "queue-status", None)),
                6..=8 if !open.is_empty() => {
                    let handle = open.swap_remove(rng.roll(open.len() as u64) as usize);
                    let end = ENDS[rng.roll(6) as usize];
                    let result = (end == End::Complete).then(|| Arc::from(*b"r"));
                    bench.notice(at, Notice::Outcome { handle, end, duration: None, result });
                }
                9 if !open.is_empty() => {
                    cursor += 1;
                    let handle = open[rng.roll(open.len() as u64) as usize];
                    bench.notice(at, Notice::CallNeeded { handle, cursor, body: Arc::from(*b"c") });
                }
                10 if !calls.is_empty() => {
                    let (handle, attempt) = calls.swap_remove(rng.roll(calls.len() as u64) as usize);
                    let end = [End::Complete, End::NotNow, End::Overdue, End::Broken][rng.roll(4) as usize];
                    let reply = (end == End::Complete).then(|| reply_to(handle, cursor, attempt, b"y"));
                    bench.step(at, [Input::CallEnded { handle, attempt, end, reply, fence: None }]);
                }
                11 if rng.roll(6) == 0 => {
                    bench.break_link(at);
                    bench.open_link(at);
                    bench.sync(at);
                }
                _ => {}
            }
            due.resize(bench.conns as usize, at);
            for effect in &bench.effects[searched..] {
                match effect {
                    Effect::Agent { command: Command::Launch { handle, .. }, .. } => open.push(*handle),
                    Effect::Call { handle, attempt, .. } => calls.push((*handle, *attempt)),
                    _ => {}
                }
            }
            searched = bench.effects.len();
        }
        bench.drain(at);
        bench.advance_to(at + 3_200);
        assert!(bench.effects.contains(&Effect::Exit), "seed {seed}: it does not exit");
        let mut runs = std::collections::HashMap::new();
        let mut launched = std::collections::HashSet::new();
        for effect in &bench.effects {
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
fn a_dropped_class_is_served_for_late_clients_and_its_index_is_reused() {
    // Guards against classes that are confused after a reordering in the file, and against a table of classes that
    // grows without limit.
    let named = |name: &str| Box::new(Site::parse(&SITE.replace("queue-prefs", name)).unwrap());
    let mut bench = Bench::new();
    bench.reload(1, named("one"));
    for (at, class, known) in [(5, "one", true), (6, "queue-prefs", true), (6600, "queue-prefs", false)] {
        bench.advance_to(at);
        let sent = bench.send(at, class, None);
        let launched = bench.launches();
        bench.complete(at + 1, sent, b"r");
        let last = bench.conns;
        let expected = if known { served(b"r") } else { Verdict::NoSuchClass };
        assert_eq!(bench.answers(last), [&expected], "{class} at {at}, {launched} launched");
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

/// A site with one core and two tenants, of which the first has no quota.
fn site_with_tenants() -> Site {
    let tenants = r#"{"over_share_worth": 0.05, "tenants": [
        {"name": "poor", "quota_per_s": 0}, {"name": "rich", "quota_per_s": 1000}],"#;
    let json = SITE.replacen('{', tenants, 1).replace(r#""cores": 6"#, r#""cores": 1"#);
    Site::parse(&json).unwrap()
}

#[rstest]
#[case::by_name(Some("rich"), false)]
#[case::unknown(Some("nobody"), true)]
#[case::absent(None, true)]
fn a_tenant_is_identified_by_its_name_and_an_unknown_one_has_no_quota(
    #[case] tenant: Option<&str>,
    #[case] unknown: bool,
) {
    // Guards against a frontend that read no tenants, so that all traffic counted as the first tenant's.
    let mut bench = Bench::new();
    bench.reload(5, Box::new(site_with_tenants()));
    let send_as = |bench: &mut Bench, name: Option<&str>, at| {
        let Input::Request(mut request) = bench.request(at, "queue-prefs", None) else { unreachable!() };
        request.tenant = name.map(Arc::from);
        bench.step(at, [Input::Request(request)]);
        handle(bench.conns)
    };
    // A tenant may have accumulated quota for some requests: these use it up.
    let running: Vec<_> = (0..6).map(|_| send_as(&mut bench, Some("poor"), 10)).collect();
    let (poor, other) = (send_as(&mut bench, Some("poor"), 20), send_as(&mut bench, tenant, 21));
    for handle in running {
        bench.complete(40, handle, b"r");
    }
    let launch_position = |run| {
        let launch = |e: &_| matches!(e, Effect::Agent { command: Command::Launch { handle, .. }, .. } if *handle == run);
        bench.effects.iter().position(launch)
    };
    assert!(launch_position(poor).is_some() && launch_position(other).is_some());
    assert_eq!(launch_position(other) < launch_position(poor), !unknown, "a tenant with quota goes first");
    assert_eq!(bench.core.counters().unknown_tenants, u64::from(unknown));
}

#[test]
fn a_stated_cost_reaches_the_decision_module() {
    // Guards against a frontend that read no costs. Of two requests with the same worth, the longer one must start
    // first.
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
    let launch_position = |run| {
        let launch = |e: &_| matches!(e, Effect::Agent { command: Command::Launch { handle, .. }, .. } if *handle == run);
        bench.effects.iter().position(launch).unwrap()
    };
    assert!(launch_position(long) < launch_position(short));
}

#[test]
fn the_reported_readiness_follows_health_and_standby() {
    // Guards against lease reports of Ready whatever the health: at some sites the gateways' list follows them.
    let mut bench = Bench::new();
    let reports = |effects: &[Effect]| -> Vec<bool> {
        effects
            .iter()
            .filter_map(|e| if let Effect::ReportReadiness(on) = e { Some(*on) } else { None })
            .collect()
    };
    for (at, on) in [(1, false), (2, true)] {
        let effects = bench.step(at, [Input::Standby { standby: !on, ticket: 1 }]);
        assert_eq!(reports(&effects), [on]);
    }
    bench.send(3, "queue-status", None);
    let hung_from = bench.effects.len();
    bench.advance_to(4_000);
    assert_eq!(reports(&bench.effects[hung_from..]), [false], "clients are kept away while work hangs");
    let drained = bench.drain(4_001);
    assert_eq!(reports(&drained), [] as [bool; 0]);
}

#[rstest]
#[case::well_within(1_850, true)]
#[case::outside_if_the_signal_was_read_late(1_950, false)]
fn the_grace_period_allows_for_a_signal_that_is_read_late(#[case] after: u64, #[case] runs: bool) {
    // Guards against runs of requests that arrived more than two seconds after the signal was sent because its reader
    // was delayed.
    let mut bench = Bench::new();
    bench.drain(100);
    bench.advance_to(100 + after);
    let sent = bench.send(100 + after, "queue-status", None);
    bench.advance_to(100 + after + 20);
    assert_eq!(launches_of(&bench.effects, sent) == 1, runs);
}

#[test]
fn refusals_of_the_agent_write_a_bounded_log() {
    // Guards against clients that fill the log with requests whose ids the agent does not know.
    let mut bench = Bench::new();
    for n in 0..500 {
        let handle = bench.send(n, "queue-status", None);
        bench.notice(n, Notice::Refusal { command: "launch".into(), handle });
    }
    assert_eq!(bench.launches(), 500);
    bench.advance_to(1_001);
    let is_line = |e: &&Effect| matches!(e, Effect::Log(text) if text.contains("the agent refused"));
    assert_eq!(bench.effects.iter().filter(is_line).count(), 21);
    let rest = Effect::Log("the agent refused 480 further commands, which are not logged".to_string());
    assert!(bench.effects.contains(&rest));
}

#[test]
fn ids_that_the_agent_refused_do_not_crowd_out_those_of_runs() {
    // Guards against a second run of an id while clients flood the server with ids that the agent does not know.
    let mut bench = Bench::new();
    let ran = bench.send(0, "queue-status", None);
    bench.complete(1, ran, b"made");
    for n in 0..20_000 {
        let handle = bench.send(2 + n / 10, "queue-status", None);
        bench.notice(2 + n / 10, Notice::Refusal { command: "launch".into(), handle });
        bench.effects.clear();
    }
    let Input::Request(again) = bench.request(2_100, "queue-status", None) else { unreachable!() };
    bench.step(2_100, [Input::Request(Box::new(Request { handle: ran, ..*again }))]);
    assert_eq!(bench.launches(), 0);
    assert_eq!(bench.answers(bench.conns), [&Verdict::Failed]);
}

#[test]
fn the_memory_limit_bounds_keys_and_results() {
    // Guards against keys and results that fill the memory: they were bounded whatever the limit.
    let mut bench = Bench::new();
    bench.core.set_memory_budget(MemoryBudget { keys: 20, result_bytes: 10_000, ..MemoryBudget::default() });
    let mut answers = Vec::new();
    for n in 0..30 {
        let handle = bench.send(n, "lobby-confirm", Some(&format!("key {n}")));
        bench.complete(n, handle, &[b'r'; 1_000]);
        answers.push(bench.answers(bench.conns)[0].clone());
    }
    assert!(answers[..20].iter().all(|answer| *answer == served(&[b'r'; 1_000])));
    assert!(answers[20..].iter().all(|answer| matches!(answer, Verdict::Refused { .. })));
    // The oldest results are gone, but their keys do not run again.
    bench.send(40, "lobby-confirm", Some("key 0"));
    assert_eq!(bench.answers(bench.conns), [&Verdict::Failed]);
    bench.send(40, "lobby-confirm", Some("key 19"));
    assert_eq!(bench.answers(bench.conns), [&served(&[b'r'; 1_000])]);
}
