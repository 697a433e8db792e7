//! Calls to the dependency whose replies arrive late or twice. A reply names its request but neither its call nor the
//! ask (attempt) that it was made for.

use super::*;

/// A run whose first call is in progress.
fn at_first_call(class: &str, key: Option<&str>) -> (Bench, Handle) {
    let mut bench = Bench::new();
    let run = bench.send(10, class, key);
    request_call(&mut bench, 20, run, 7);
    (bench, run)
}

fn request_call(bench: &mut Bench, at: u64, handle: Handle, cursor: u64) -> Vec<Effect> {
    bench.notice(at, Notice::CallNeeded { handle, cursor, body: Arc::from(*b"ask") })
}

/// The last attempt, and the digests of the earlier replies whose copies it ignores.
fn last_call(bench: &Bench) -> (u32, Vec<ReplyDigest>) {
    let call = |effect: &Effect| match effect {
        Effect::Call { attempt, earlier_replies, .. } => Some((*attempt, earlier_replies.to_vec())),
        _ => None,
    };
    bench.effects.iter().rev().find_map(call).expect("a call")
}

fn end_call(bench: &mut Bench, at: u64, handle: Handle, end: End, reply: Option<&[u8]>) -> Vec<Effect> {
    let (attempt, _) = last_call(bench);
    let reply = reply.map(|reply| reply_to(handle, 0, attempt, reply));
    bench.step(at, [Input::CallEnded { handle, attempt, end, reply, fence: None }])
}

fn calls(bench: &Bench) -> usize {
    bench.effects.iter().filter(|e| matches!(e, Effect::Call { .. })).count()
}

fn deliveries(bench: &Bench) -> usize {
    let is_delivery = |e: &&Effect| matches!(e, Effect::Agent { command: Command::Deliver { .. }, .. });
    bench.effects.iter().filter(is_delivery).count()
}

fn counter(bench: &Bench, name: &str) -> u64 {
    bench.core.counters().list().into_iter().find(|(known, _)| known == name).map_or(0, |(_, n)| n)
}

#[test]
fn a_further_call_ignores_copies_of_earlier_replies() {
    let (mut bench, run) = at_first_call("queue-status", None);
    assert!(last_call(&bench).1.is_empty());
    end_call(&mut bench, 30, run, End::Complete, Some(b"one"));
    request_call(&mut bench, 40, run, 9);
    assert_eq!(last_call(&bench).1, [ReplyDigest::of(b"one")]);
    end_call(&mut bench, 50, run, End::Complete, Some(b"two"));
    request_call(&mut bench, 60, run, 11);
    assert_eq!(last_call(&bench).1, [ReplyDigest::of(b"one"), ReplyDigest::of(b"two")]);
    assert_eq!((calls(&bench), counter(&bench, "calls_ambiguous")), (3, 0));
}

#[rstest]
#[case::broken(End::Broken)]
#[case::overdue(End::Overdue)]
#[case::malformed(End::Malformed)]
fn no_further_ask_is_made_while_an_unknown_reply_to_an_earlier_ask_may_arrive(#[case] end: End) {
    // Guards against the late reply to an abandoned ask being taken for the reply to the next ask, whether that is one
    // of the same call or of the run's next call.
    let (mut bench, run) = at_first_call("queue-status", None);
    end_call(&mut bench, 30, run, end, None);
    bench.advance_to(400);
    assert!(sends(&bench.effects, &Command::Forgo { handle: run, cursor: 7 }), "{:?}", bench.effects);
    let late = Some(reply_to(run, 7, 1, b"late"));
    bench.step(
        410,
        [Input::CallEnded { handle: run, attempt: 1, end: End::Complete, reply: late, fence: None }],
    );
    let sent = request_call(&mut bench, 420, run, 9);
    assert!(sends(&sent, &Command::Forgo { handle: run, cursor: 9 }), "{sent:?}");
    assert_eq!((calls(&bench), counter(&bench, "calls_ambiguous")), (1, 1));
    bench.complete(430, run, b"made");
    assert_eq!(bench.answers(1), [&served(b"made")]);
    assert_eq!((deliveries(&bench), counter(&bench, "violations")), (0, 0));
}

#[test]
fn a_call_is_asked_again_where_the_first_ask_is_known_to_get_no_reply() {
    // The dependency reported the end of the first ask, or it was never written.
    for end in [End::NotNow, End::Failed, End::Refused] {
        let (mut bench, run) = at_first_call("queue-status", None);
        end_call(&mut bench, 30, run, end, None);
        bench.advance_to(400);
        assert_eq!(calls(&bench), 2, "{end:?}");
        end_call(&mut bench, 410, run, End::Complete, Some(b"one"));
        assert_eq!(deliveries(&bench), 1, "{end:?}");
    }
}

#[rstest]
#[case::refused_again(End::NotNow)]
#[case::failed_again(End::Failed)]
fn no_third_ask_is_made_after_a_status_line_that_may_be_a_copy(#[case] end: End) {
    // Guards against the reply to the second ask being taken for the reply to a third: the second one was ended by a
    // copy of the first one's status.
    let (mut bench, run) = at_first_call("queue-status", None);
    end_call(&mut bench, 30, run, end, None);
    bench.advance_to(400);
    assert_eq!(calls(&bench), 2);
    end_call(&mut bench, 410, run, end, None);
    bench.advance_to(1_200);
    assert_eq!(calls(&bench), 2);
    assert!(sends(&bench.effects, &Command::Forgo { handle: run, cursor: 7 }), "{:?}", bench.effects);
}

#[test]
fn a_first_ask_gets_all_the_time_left_however_fast_earlier_calls_were() {
    // Guards against an early timeout that gives up a reply although no further ask can be made.
    let mut bench = Bench::new();
    for n in 0..10_u64 {
        let run = bench.send(100 * n, "queue-status", None);
        request_call(&mut bench, 100 * n + 1, run, n + 1);
        end_call(&mut bench, 100 * n + 6, run, End::Complete, Some(&n.to_be_bytes()));
        bench.complete(100 * n + 10, run, b"made");
    }
    let run = bench.send(2_000, "queue-status", None);
    request_call(&mut bench, 2_001, run, 99);
    bench.advance_to(3_300);
    assert_eq!((calls(&bench), counter(&bench, "call_overdue")), (11, 0));
    end_call(&mut bench, 3_310, run, End::Complete, Some(b"slow"));
    assert_eq!(deliveries(&bench), 11);
}

#[test]
fn a_request_that_needs_its_call_fails_if_the_reply_would_be_ambiguous() {
    let (mut bench, run) = at_first_call("lobby-confirm", Some("k"));
    end_call(&mut bench, 30, run, End::NotNow, None);
    bench.advance_to(400);
    end_call(&mut bench, 410, run, End::Complete, Some(b"one"));
    request_call(&mut bench, 420, run, 9);
    end_call(&mut bench, 430, run, End::NotNow, None);
    assert_eq!(bench.answers(1), [&Verdict::Failed], "the second status line may be a copy of the first");
    assert_eq!(calls(&bench), 3);
    bench.notice(440, Notice::Outcome { handle: run, end: End::Cancelled, duration: None, result: None });
    let next = bench.send(450, "queue-status", None);
    assert_eq!(launches_of(&bench.effects, next), 1);
}

#[test]
fn a_call_that_must_run_once_is_not_repeated_after_a_repeated_status_line() {
    // Guards against a second effect in the dependency: a status line proves that one attempt never ran, but a copy
    // of it proves nothing about the next attempt.
    let (mut bench, run) = at_first_call("lobby-confirm", Some("k"));
    end_call(&mut bench, 30, run, End::NotNow, None);
    bench.advance_to(400);
    assert_eq!(calls(&bench), 2);
    end_call(&mut bench, 410, run, End::NotNow, None);
    bench.advance_to(1_500);
    assert_eq!((calls(&bench), bench.answers(1)), (2, vec![&Verdict::Failed]));
}

#[test]
fn all_calls_are_made_if_each_has_a_connection_of_its_own() {
    let (mut bench, run) = at_first_call("queue-status", None);
    bench.core.use_dedicated_call_connections();
    end_call(&mut bench, 30, run, End::Broken, None);
    bench.advance_to(400);
    end_call(&mut bench, 410, run, End::Complete, Some(b"one"));
    request_call(&mut bench, 420, run, 9);
    assert_eq!((calls(&bench), counter(&bench, "calls_ambiguous")), (3, 0));
}

#[test]
fn each_call_of_a_run_with_many_calls_is_made() {
    let (mut bench, run) = at_first_call("lobby-confirm", Some("k"));
    for n in 0..100_u64 {
        end_call(&mut bench, 30 + 2 * n, run, End::Complete, Some(&n.to_be_bytes()));
        request_call(&mut bench, 31 + 2 * n, run, 9 + n);
    }
    assert_eq!((calls(&bench), bench.answers(1)), (101, vec![]), "{}", bench.core.counters());
}

/// Sends a request again under the handle of the first one, which is over.
fn send_again(bench: &mut Bench, at: u64, run: Handle) {
    let Input::Request(mut request) = bench.request(at, "queue-status", None) else { unreachable!() };
    request.handle = run;
    bench.step(at, [Input::Request(request)]);
}

#[test]
fn an_id_that_is_sent_again_is_not_run_again_and_makes_no_ask() {
    // Guards against notices and replies of the first run that are taken for the second one's: both have one id.
    let (mut bench, run) = at_first_call("queue-status", None);
    end_call(&mut bench, 30, run, End::Complete, Some(b"one"));
    bench.complete(410, run, b"made");
    send_again(&mut bench, 420, run);
    request_call(&mut bench, 430, run, 20);
    assert_eq!((bench.answers(1), bench.answers(2)), (vec![&served(b"made")], vec![&Verdict::Failed]));
    let counts = (launches_of(&bench.effects, run), calls(&bench), deliveries(&bench));
    assert_eq!((counts, counter(&bench, "second_runs_barred")), ((1, 1, 1), 1));
}

#[test]
fn an_id_that_ran_is_not_refused_when_it_is_sent_again() {
    // Guards against the promise that a try never ran, which no longer holds for its id.
    let (mut bench, run) = at_first_call("queue-status", None);
    end_call(&mut bench, 30, run, End::Complete, Some(b"one"));
    bench.complete(40, run, b"made");
    // Held while all cores are taken.
    for _ in 0..6 {
        bench.send(50, "lobby-confirm", Some(&format!("k{}", bench.conns)));
    }
    send_again(&mut bench, 60, run);
    bench.advance_to(4_000);
    assert_eq!((launches_of(&bench.effects, run), bench.answers(8)), (1, vec![&Verdict::Failed]));
}

#[test]
fn the_id_of_a_request_that_is_long_over_may_run_again() {
    let (mut bench, run) = at_first_call("queue-status", None);
    end_call(&mut bench, 30, run, End::Broken, None);
    bench.advance_to(400);
    bench.complete(410, run, b"made");
    bench.advance_to(10_500);
    send_again(&mut bench, 10_500, run);
    request_call(&mut bench, 10_501, run, 20);
    assert_eq!((calls(&bench), counter(&bench, "calls_ambiguous")), (2, 0));
}

#[test]
fn a_reply_that_is_handled_after_its_request_is_due_is_not_delivered() {
    // Guards against a reply that waited for the reducer while the process stood still: the run's request is over.
    let (mut bench, run) = at_first_call("queue-status", None);
    let sent = end_call(&mut bench, 1_515, run, End::Complete, Some(b"one"));
    assert_eq!(deliveries(&bench), 0, "{sent:?}");
    bench.advance_to(1_600);
    assert_eq!((bench.answers(1), counter(&bench, "call_overdue")), (vec![&Verdict::Failed], 1));
}
