//! Commands on a link to the agent that breaks: what is said again, and what is not.

use super::*;

/// The link breaks, and the next one has told all it had to tell. Returns what is said then.
fn relinked(bench: &mut Bench, at: u64) -> Vec<Effect> {
    bench.lose_link(at);
    let greeted = bench.greet(at + 10);
    [greeted, bench.synced(at + 11)].concat()
}

/// A keyed and a read request are launched, the link breaks, and the new one has told all it had to tell.
fn link_lost_after_two_launches() -> (Bench, Handle, Vec<Effect>) {
    let mut bench = Bench::new();
    let keyed = bench.send(10, "lobby-confirm", Some("k"));
    bench.send(11, "queue-status", None);
    let again = relinked(&mut bench, 20);
    (bench, keyed, again)
}

/// A request of a class whose run waits for its call, with the reply just handed to it.
fn replied(class: &str, key: Option<&str>) -> (Bench, Handle) {
    let mut bench = Bench::new();
    let of = bench.send(10, class, key);
    bench.notice(20, Notice::CallNeeded { handle: of, cursor: 7, body: Arc::from(*b"ask") });
    let attempt = bench.done.iter().find_map(|effect| match effect {
        Effect::Call { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let (attempt, reply) = (attempt.unwrap(), Some(Arc::from(*b"reply")));
    bench.step(30, [Input::CallEnded { handle: of, attempt, end: End::Complete, reply, fence: None }]);
    (bench, of)
}

fn count(bench: &Bench, name: &str) -> u64 {
    bench.core.counters().list().into_iter().find(|(known, _)| known == name).map_or(0, |(_, n)| n)
}

fn deliveries(effects: &[Effect]) -> usize {
    effects.iter().filter(|e| matches!(e, Effect::Agent { command: Command::Deliver { .. }, .. })).count()
}

#[test]
fn a_lost_link_repeats_what_may_run_again_and_never_what_must_run_once() {
    // Guards against a second run: a launch that carries a key may have been carried out unseen.
    let (mut bench, keyed, mut again) = link_lost_after_two_launches();
    for at in [40, 60, 80] {
        again.extend(relinked(&mut bench, at));
    }
    assert_eq!(launches_of(&again, keyed), 0, "{again:?}");
    assert!(launches_of(&again, handle(2)) > 0, "{again:?}");
    let pauses = again.iter().any(|e| matches!(e, Effect::Agent { command: Command::Freeze { .. }, .. }));
    assert!(!pauses, "a pause that does not come proves nothing: {again:?}");
    assert_eq!((count(&bench, "runs_orphaned"), count(&bench, "violations")), (1, 0));
}

#[test]
fn a_keyed_launch_that_got_lost_frees_its_slot_and_is_answered_when_due() {
    // Guards against slots that leak with every broken link, and against a key whose run is forgotten.
    let mut bench = Bench::new();
    let keyed: Vec<_> = (0..6).map(|n| bench.send(10, "lobby-confirm", Some(&format!("k{n}")))).collect();
    assert_eq!(bench.launches(), 6, "all cores are taken");
    let waiting: Vec<_> = (0..4).map(|_| bench.send(12, "queue-status", None)).collect();
    let begun = relinked(&mut bench, 20);
    assert!(waiting.iter().any(|of| launches_of(&begun, *of) == 1), "{begun:?}");
    bench.pass(1_600);
    for conn in 1..=6 {
        assert_eq!(bench.answers(conn), [&Verdict::Failed]);
    }
    assert!(keyed.iter().all(|of| launches_of(&bench.done, *of) == 1));
    bench.send(1_700, "lobby-confirm", Some("k0"));
    bench.pass(4_000);
    assert_eq!(bench.answers(11), [&Verdict::Failed], "its run may have had its effect");
}

#[test]
fn a_mark_of_before_settles_nothing_that_was_said_since() {
    // Guards against a launch repeated without proof: the mark of a link that broke at once comes over the next one.
    let mut bench = Bench::new();
    let read = bench.send(10, "queue-status", None);
    bench.lose_link(20);
    bench.greet(30);
    for earlier in [LinkId::NONE, LinkId(1)] {
        let again = bench.notice(32, Notice::Synced { requested_on: earlier });
        assert_eq!(launches_of(&again, read), 0, "{again:?}");
    }
    assert_eq!(launches_of(&bench.synced(33), read), 1);
}

#[rstest]
#[case::ended_well(Notice::Outcome { handle: handle(1), end: End::Complete, lasted: None, result: Some(Arc::from(*b"once")) }, served(b"once"))]
#[case::failed(Notice::Outcome { handle: handle(1), end: End::Failed, lasted: None, result: None }, Verdict::Failed)]
#[case::calls(Notice::CallNeeded { handle: handle(1), cursor: 9, body: Arc::from(*b"c") }, Verdict::Failed)]
fn a_run_that_shows_up_after_a_lost_link_is_not_launched_again(
    #[case] notice: Notice,
    #[case] answer: Verdict,
) {
    let (mut bench, keyed, _) = link_lost_after_two_launches();
    bench.notice(32, notice);
    assert_eq!(
        bench.answers(1),
        [&answer],
        "what its run tells is its answer, and a call cannot be made for it"
    );
    bench.send(40, "lobby-confirm", Some("k"));
    bench.pass(3_000);
    assert_eq!(launches_of(&bench.done, keyed), 1);
    assert_eq!(launches_of(&bench.done, handle(3)), 0, "the key stays taken");
    assert_eq!(bench.answers(3), [&answer]);
}

#[test]
fn a_launch_that_was_acknowledged_is_not_in_doubt() {
    // Guards against a launch of what did arrive, whose run may end between the last notice and that launch.
    let mut bench = Bench::new();
    let (keyed, read) = (bench.send(10, "lobby-confirm", Some("k")), bench.send(10, "queue-status", None));
    bench.acknowledged(12);
    bench.acknowledged(13);
    let again = relinked(&mut bench, 20);
    assert_eq!((launches_of(&again, keyed), launches_of(&again, read)), (0, 0), "{again:?}");
    bench.complete(600, keyed, b"once");
    bench.complete(600, read, b"read");
    assert_eq!((bench.answers(1), bench.answers(2)), (vec![&served(b"once")], vec![&served(b"read")]));
    assert_eq!(count(&bench, "runs_orphaned"), 0);
}

#[test]
fn an_acknowledgement_counts_for_what_was_said_before_it_on_its_link_alone() {
    let mut bench = Bench::new();
    bench.send(10, "queue-status", None);
    let (requested_on, number) = bench.last_acknowledge().unwrap();
    let later = bench.send(11, "queue-status", None);
    assert_eq!(bench.last_acknowledge(), Some((requested_on, number)), "one question at a time");
    bench.notice(12, Notice::Acknowledged { requested_on, number });
    let second = Some((requested_on, number + 1));
    assert_eq!(bench.last_acknowledge(), second, "the second launch has a question of its own");
    let again = relinked(&mut bench, 20);
    assert_eq!((launches_of(&again, handle(1)), launches_of(&again, later)), (0, 1), "{again:?}");
    // The answer that the broken link owed.
    bench.notice(32, Notice::Acknowledged { requested_on, number: number + 1 });
    let again = relinked(&mut bench, 40);
    assert_eq!(launches_of(&again, later), 1, "{again:?}");
}

#[test]
fn a_launch_in_doubt_whose_request_is_over_gives_its_slot_back_and_keeps_its_key() {
    // Guards against slots that leak with every broken link: half of them were gone at the end of a fast day.
    let mut bench = Bench::new();
    for n in 0..6 {
        bench.send(10, "lobby-confirm", Some(&format!("k{n}")));
    }
    assert_eq!(bench.launches(), 6, "all cores are taken");
    bench.lose_link(20);
    bench.pass(1_600);
    assert!((1..=6).all(|conn| bench.answers(conn) == [&Verdict::Failed]));
    assert_eq!(count(&bench, "runs_orphaned"), 6, "{}", bench.core.counters());
    bench.greet(1_610);
    let later: Vec<_> = (0..6).map(|_| bench.send(1_620, "queue-status", None)).collect();
    assert!(later.iter().all(|of| launches_of(&bench.done, *of) == 1), "the slots are free again");
    bench.send(1_700, "lobby-confirm", Some("k0"));
    bench.pass(4_000);
    assert_eq!((bench.launches(), bench.answers(13)), (12, vec![&Verdict::Failed]));
}

#[test]
fn a_launch_on_the_first_link_is_not_repeated() {
    // Guards against a launch that went out just before the answer to Sync being sent once more after it.
    let mut bench = Bench::new();
    bench.send(10, "queue-status", None);
    bench.synced(11);
    assert_eq!(bench.launches(), 1);
}

#[rstest]
#[case::not_written(0)]
#[case::written(1)]
fn what_a_link_did_not_write_is_said_on_the_next_one_and_what_it_did_is_in_doubt(#[case] more: u64) {
    let mut bench = Bench::new();
    let said_before = bench.commands_said();
    let keyed = bench.send(10, "lobby-confirm", Some("k"));
    bench.notice(20, lost(said_before + more));
    let again = [bench.greet(30), bench.synced(31)].concat();
    assert_eq!(launches_of(&again, keyed) as u64, 1 - more, "{again:?}");
    assert_eq!(count(&bench, "violations"), 0);
}

#[test]
fn what_comes_to_be_launched_while_the_link_is_down_is_launched_once_there_is_one() {
    let mut bench = Bench::new();
    bench.lose_link(5);
    let keyed = bench.send(10, "lobby-confirm", Some("k"));
    assert_eq!(bench.launches(), 0, "nobody would hear it");
    let greeted = bench.greet(300);
    assert_eq!(launches_of(&greeted, keyed), 1, "{greeted:?}");
    bench.synced(301);
    assert_eq!(bench.launches(), 1);
    bench.complete(400, keyed, b"once");
    assert_eq!(bench.answers(1), [&served(b"once")]);
}

#[test]
fn what_ended_while_the_link_was_down_is_never_launched_and_its_key_is_free() {
    // Guards against work that is forwarded after its request has its final answer.
    let mut bench = Bench::new();
    bench.lose_link(5);
    let keyed = bench.send(10, "lobby-confirm", Some("k"));
    bench.pass(1_600);
    assert_eq!(bench.answers(1), [&Verdict::Failed]);
    let again = [bench.greet(1_700), bench.synced(1_701)].concat();
    assert_eq!(launches_of(&again, keyed), 0, "{again:?}");
    let next = bench.send(1_800, "lobby-confirm", Some("k"));
    assert_eq!(launches_of(&bench.done, next), 1, "nothing of its key ever ran");
}

#[rstest]
#[case::answered_without("queue-status", None)]
#[case::worth_nothing_without("lobby-confirm", Some("k"))]
fn a_reply_in_doubt_is_never_said_again_and_its_run_is_taken_past_its_call_by_nothing_else(
    #[case] class: &str,
    #[case] key: Option<&str>,
) {
    // Guards against a reply that reaches the next call: heard late, or twice, once the run was told to go on.
    let (mut bench, of) = replied(class, key);
    assert_eq!(deliveries(&bench.done), 1);
    for at in [40, 60, 80] {
        let again = relinked(&mut bench, at);
        let skips = again.iter().any(|e| matches!(e, Effect::Agent { command: Command::Forgo { .. }, .. }));
        assert_eq!((deliveries(&again), skips), (0, false), "{again:?}");
    }
    assert!(bench.answers(1).is_empty(), "its run may have heard the reply");
    bench.notice(100, Notice::CallNeeded { handle: of, cursor: 9, body: Arc::from(*b"next") });
    let reply = Some(Arc::from(*b"next reply"));
    bench.step(110, [Input::CallEnded { handle: of, attempt: 2, end: End::Complete, reply, fence: None }]);
    assert_eq!(deliveries(&bench.done), 2, "the run has heard the first one");
    bench.complete(120, of, b"made");
    assert_eq!(bench.answers(1), [&served(b"made")]);
    assert_eq!((count(&bench, "violations"), count(&bench, "replies_in_doubt")), (0, 1));
}

#[rstest]
#[case::answered_without("queue-status", None)]
#[case::worth_nothing_without("lobby-confirm", Some("k"))]
fn a_run_that_tells_nothing_while_its_reply_is_in_doubt_is_failed_and_keeps_its_slot_to_its_end(
    #[case] class: &str,
    #[case] key: Option<&str>,
) {
    // Guards against slots that leak with every broken link, and against more runs than cores.
    let (mut bench, of) = replied(class, key);
    let running: Vec<_> = (0..5).map(|_| bench.send(31, "queue-prefs", None)).collect();
    assert!(running.iter().all(|of| launches_of(&bench.done, *of) == 1), "all cores are taken");
    let waiting = bench.send(32, "queue-prefs", None);
    relinked(&mut bench, 40);
    bench.acknowledged(52);
    bench.pass(530);
    assert!(bench.answers(1).is_empty(), "its run may go on");
    bench.pass(600);
    assert_eq!(bench.answers(1), [&Verdict::Failed]);
    assert_eq!(launches_of(&bench.done, waiting), 0, "it has its core until the agent tells of its end");
    bench.notice(610, Notice::Outcome { handle: of, end: End::Cancelled, lasted: None, result: None });
    assert_eq!(launches_of(&bench.done, waiting), 1, "{:?}", bench.done);
}

#[test]
fn a_reply_that_comes_while_the_link_is_down_is_handed_over_once_there_is_one() {
    let mut bench = Bench::new();
    let of = bench.send(10, "lobby-confirm", Some("k"));
    bench.notice(20, Notice::CallNeeded { handle: of, cursor: 7, body: Arc::from(*b"ask") });
    bench.lose_link(25);
    let reply = Some(Arc::from(*b"reply"));
    bench.step(30, [Input::CallEnded { handle: of, attempt: 1, end: End::Complete, reply, fence: None }]);
    assert_eq!(deliveries(&bench.done), 0);
    let again = [bench.greet(40), bench.synced(41)].concat();
    assert_eq!(deliveries(&again), 1, "{again:?}");
}

#[test]
fn a_reply_to_a_call_that_its_run_is_past_is_not_handed_to_the_next_one() {
    // Guards against a reply that is known by its try alone, while its run waits for that of another call.
    let mut bench = Bench::new();
    let of = bench.send(10, "queue-status", None);
    bench.notice(20, Notice::CallNeeded { handle: of, cursor: 7, body: Arc::from(*b"one") });
    let notice = Notice::CallNeeded { handle: of, cursor: 9, body: Arc::from(*b"two") };
    let reply = Some(Arc::from(*b"reply one"));
    let ended = Input::CallEnded { handle: of, attempt: 1, end: End::Complete, reply, fence: None };
    let next = Input::Agent { link: bench.link, notice };
    bench.step(30, [next, ended]);
    assert_eq!(deliveries(&bench.done), 0, "{:?}", bench.done);
}

#[rstest]
#[case::of_the_call_before(1, 0)]
#[case::of_this_call(2, 1)]
fn a_late_end_of_a_call_counts_for_its_own_call_alone(#[case] attempt: u32, #[case] delivered: usize) {
    let (mut bench, of) = replied("queue-status", None);
    bench.notice(40, Notice::CallNeeded { handle: of, cursor: 9, body: Arc::from(*b"two") });
    for _ in 0..2 {
        let reply = Some(Arc::from(*b"reply"));
        bench.step(41, [Input::CallEnded { handle: of, attempt, end: End::Complete, reply, fence: None }]);
    }
    assert_eq!(deliveries(&bench.done), 1 + delivered);
}

#[rstest]
#[case::read("queue-status", None, 1)]
#[case::keyed("lobby-confirm", Some("k"), 0)]
fn a_greeting_read_before_the_end_of_the_link_before_leaves_its_commands_in_doubt(
    #[case] class: &str,
    #[case] key: Option<&str>,
    #[case] again: usize,
) {
    // Guards against a receiver that takes the order of two links' messages for the order of the links.
    let mut bench = Bench::new();
    let of = bench.send(10, class, key);
    let old = bench.link;
    let said = [bench.greet(20), bench.synced(21)].concat();
    assert_eq!(launches_of(&said, of), again, "{said:?}");
    let end = Input::Agent { link: old, notice: lost(0) };
    let said = [bench.step(22, [end]), bench.synced(23)].concat();
    assert_eq!(
        launches_of(&said, of),
        0,
        "the end of a link that was replaced proves nothing more: {said:?}"
    );
    assert_eq!(count(&bench, "violations"), 0);
}

#[test]
fn a_greeting_of_a_link_that_is_over_begins_nothing() {
    let mut bench = Bench::new();
    let old = bench.link;
    bench.lose_link(10);
    let of = bench.send(20, "queue-status", None);
    let said = bench.step(21, [Input::Agent { link: old, notice: greeting() }]);
    assert_eq!((launches_of(&said, of), count(&bench, "stale_notices")), (0, 1), "{said:?}");
    let said = bench.greet(30);
    assert_eq!(launches_of(&said, of), 1, "{said:?}");
}

#[test]
fn an_acknowledgement_of_another_link_proves_nothing() {
    // Guards against a launch taken for heard on the answer to a question that another link asked under the same number.
    let mut bench = Bench::new();
    bench.send(10, "queue-prefs", None);
    let (first, number) = bench.last_acknowledge().unwrap();
    bench.lose_link(20);
    bench.greet(30);
    let read = bench.send(31, "queue-status", None);
    assert_eq!(bench.last_acknowledge(), Some((bench.link, number)), "questions are counted on each link");
    bench.notice(32, Notice::Acknowledged { requested_on: first, number });
    let again = relinked(&mut bench, 40);
    assert_eq!(launches_of(&again, read), 1, "{again:?}");
}

#[test]
fn what_a_settled_link_had_read_is_not_in_doubt_and_what_came_later_is_said_on_the_next() {
    let mut bench = Bench::new();
    let keyed = bench.send(10, "lobby-confirm", Some("k"));
    let read = bench.commands_said();
    let late = bench.send(11, "queue-status", None);
    bench.notice(20, Notice::Closed(LinkEnd::Clean { read }));
    let said = [bench.greet(30), bench.synced(31)].concat();
    assert_eq!((launches_of(&said, keyed), launches_of(&said, late)), (0, 1), "{said:?}");
    assert_eq!((count(&bench, "runs_orphaned"), count(&bench, "links_lost")), (0, 0));
}

#[test]
fn a_repeated_launch_that_was_not_written_does_not_prove_that_the_first_one_was_not() {
    // Guards against a slot given away under a run that may have begun on the link before.
    let mut bench = Bench::new();
    let read: Vec<_> = (0..6).map(|_| bench.send(10, "queue-status", None)).collect();
    assert!(read.iter().all(|of| launches_of(&bench.done, *of) == 1), "all cores are taken");
    bench.lose_link(20);
    bench.greet(30);
    let said_before = bench.commands_said();
    let again = bench.synced(31);
    assert!(read.iter().all(|of| launches_of(&again, *of) == 1), "{again:?}");
    // Of the second link nothing after its mark was written.
    bench.notice(40, lost(said_before));
    bench.pass(1_600);
    assert!((1..=6).all(|conn| bench.answers(conn) == [&Verdict::Failed]));
    assert_eq!(
        count(&bench, "run_unknown"),
        0,
        "the first launches may have been heard: {}",
        bench.core.counters()
    );
}
