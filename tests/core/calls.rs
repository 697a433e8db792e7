//! Calls below whose replies come late or twice: a reply names its request, and not its call.

use super::*;

/// A run of a request that has asked for its first call, which is out.
fn at_first_call(class: &str, key: Option<&str>) -> (Bench, Handle) {
    let mut bench = Bench::new();
    let of = bench.send(10, class, key);
    needs_call(&mut bench, 20, of, 7);
    (bench, of)
}

fn needs_call(bench: &mut Bench, at: u64, handle: Handle, cursor: u64) -> Vec<Effect> {
    bench.notice(at, Notice::CallNeeded { handle, cursor, body: Arc::from(*b"ask") })
}

/// The attempt that was made last, and the replies of which it passes over copies.
fn last_call(bench: &Bench) -> (u32, Vec<ReplyDigest>) {
    let call = |effect: &Effect| match effect {
        Effect::Call { attempt, earlier, .. } => Some((*attempt, earlier.to_vec())),
        _ => None,
    };
    bench.done.iter().rev().find_map(call).expect("a call")
}

fn end_call(bench: &mut Bench, at: u64, handle: Handle, end: End, reply: Option<&[u8]>) -> Vec<Effect> {
    let (attempt, _) = last_call(bench);
    let reply = reply.map(Arc::from);
    bench.step(at, [Input::CallEnded { handle, attempt, end, reply, fence: None }])
}

fn calls(bench: &Bench) -> usize {
    bench.done.iter().filter(|e| matches!(e, Effect::Call { .. })).count()
}

fn count(bench: &Bench, name: &str) -> u64 {
    bench.core.counters().list().into_iter().find(|(known, _)| known == name).map_or(0, |(_, n)| n)
}

#[test]
fn a_further_call_passes_over_copies_of_the_replies_before() {
    let (mut bench, of) = at_first_call("queue-status", None);
    assert!(last_call(&bench).1.is_empty());
    end_call(&mut bench, 30, of, End::Complete, Some(b"one"));
    needs_call(&mut bench, 40, of, 9);
    assert_eq!(last_call(&bench).1, [ReplyDigest::of(b"one")]);
    end_call(&mut bench, 50, of, End::Complete, Some(b"two"));
    needs_call(&mut bench, 60, of, 11);
    assert_eq!(last_call(&bench).1, [ReplyDigest::of(b"one"), ReplyDigest::of(b"two")]);
    assert_eq!((calls(&bench), count(&bench, "calls_ambiguous")), (3, 0));
}

#[rstest]
#[case::broken(End::Broken)]
#[case::overdue(End::Overdue)]
#[case::malformed(End::Malformed)]
fn no_call_is_made_while_an_earlier_one_is_owed_a_reply_that_nobody_knows(#[case] end: End) {
    // Guards against the late reply to a call that was left out, taken for that to the next one.
    let (mut bench, of) = at_first_call("queue-status", None);
    end_call(&mut bench, 30, of, end, None);
    bench.pass(400);
    assert_eq!(calls(&bench), 2, "another try of the same call may be made: its reply is that call's");
    end_call(&mut bench, 410, of, End::Complete, Some(b"one"));
    let said = needs_call(&mut bench, 420, of, 9);
    assert!(says(&said, &Command::Forgo { handle: of, cursor: 9 }), "{said:?}");
    assert_eq!((calls(&bench), count(&bench, "calls_ambiguous")), (2, 1));
    bench.complete(430, of, b"made");
    assert_eq!(bench.answers(1), [&served(b"made")]);
}

#[test]
fn a_request_that_is_worth_nothing_without_its_call_fails_where_the_call_cannot_be_told() {
    let (mut bench, of) = at_first_call("lobby-confirm", Some("k"));
    end_call(&mut bench, 30, of, End::NotNow, None);
    bench.pass(400);
    end_call(&mut bench, 410, of, End::Complete, Some(b"one"));
    needs_call(&mut bench, 420, of, 9);
    end_call(&mut bench, 430, of, End::NotNow, None);
    assert_eq!(bench.answers(1), [&Verdict::Failed], "the second word may be a copy of the first");
    assert_eq!(calls(&bench), 3);
    bench.notice(440, Notice::Outcome { handle: of, end: End::Cancelled, lasted: None, result: None });
    let next = bench.send(450, "queue-status", None);
    assert_eq!(launches_of(&bench.done, next), 1);
}

#[test]
fn a_call_that_must_not_be_made_twice_is_not_made_again_on_a_word_that_came_before() {
    // Guards against a second effect below: the copy of a word that proved of one attempt that it never ran.
    let (mut bench, of) = at_first_call("lobby-confirm", Some("k"));
    end_call(&mut bench, 30, of, End::NotNow, None);
    bench.pass(400);
    assert_eq!(calls(&bench), 2);
    end_call(&mut bench, 410, of, End::NotNow, None);
    bench.pass(1_500);
    assert_eq!((calls(&bench), bench.answers(1)), (2, vec![&Verdict::Failed]));
}

#[test]
fn where_each_call_is_answered_on_a_connection_of_its_own_all_calls_are_made() {
    let (mut bench, of) = at_first_call("queue-status", None);
    bench.core.use_dedicated_call_connections();
    end_call(&mut bench, 30, of, End::Broken, None);
    bench.pass(400);
    end_call(&mut bench, 410, of, End::Complete, Some(b"one"));
    needs_call(&mut bench, 420, of, 9);
    assert_eq!((calls(&bench), count(&bench, "calls_ambiguous")), (3, 0));
}

#[test]
fn a_run_that_asks_for_many_calls_has_each_of_them_made() {
    let (mut bench, of) = at_first_call("lobby-confirm", Some("k"));
    for n in 0..100_u64 {
        end_call(&mut bench, 30 + 2 * n, of, End::Complete, Some(&n.to_be_bytes()));
        needs_call(&mut bench, 31 + 2 * n, of, 9 + n);
    }
    assert_eq!((calls(&bench), bench.answers(1)), (101, vec![]), "{}", bench.core.counters());
}
