//! Launches on a link to the agent that breaks.

use super::*;

/// A keyed and a read request are launched, the link breaks, and the new one has told all it had to tell.
fn link_lost_after_two_launches() -> (Bench, Handle, Vec<Effect>) {
    let mut bench = Bench::new();
    let keyed = bench.send(10, "lobby-confirm", Some("k"));
    bench.send(11, "queue-status", None);
    bench.notice(20, Notice::Lost(End::Broken));
    bench.notice(30, Notice::Greeting { cold: false, lasted: Duration::from_secs(60) });
    let again = bench.synced(31);
    (bench, keyed, again)
}

#[test]
fn a_lost_link_repeats_at_once_only_what_is_harmless_and_tests_the_rest() {
    // Guards against a second run: a launch that carries a key may have been carried out unseen.
    let (bench, keyed, again) = link_lost_after_two_launches();
    assert_eq!((launches_of(&again, keyed), launches_of(&again, handle(2))), (0, 1), "{again:?}");
    let tested = [Effect::Agent(Command::Freeze { handle: keyed }), Effect::Agent(Command::Sync(3))];
    assert!(tested.iter().all(|e| again.contains(e)), "{again:?}");
    assert_eq!(bench.launches(), 3);
}

#[test]
fn a_keyed_launch_that_got_lost_is_made_again_once_nothing_shows_a_run() {
    // Guards against the dearest requests being lost with a link, and their slots with them.
    let (mut bench, keyed, _) = link_lost_after_two_launches();
    let again = bench.synced(33);
    assert_eq!(launches_of(&again, keyed), 1, "{again:?}");
    bench.complete(90, keyed, b"once");
    assert_eq!(bench.answers(1), [&served(b"once")]);
}

#[test]
fn a_mark_of_before_proves_nothing_of_what_was_said_since() {
    // Guards against a launch repeated without proof: the mark of a link that broke at once comes over the next one.
    let (mut bench, keyed, _) = link_lost_after_two_launches();
    for earlier in 0..=2 {
        let again = bench.notice(32, Notice::Synced(earlier));
        assert_eq!(launches_of(&again, keyed), 0, "{again:?}");
    }
    assert_eq!(launches_of(&bench.synced(33), keyed), 1);
}

#[rstest]
#[case::paused(Notice::Outcome { handle: handle(1), end: End::Cancelled, lasted: None, result: None }, true)]
#[case::ended(Notice::Outcome { handle: handle(1), end: End::Failed, lasted: None, result: None }, false)]
#[case::calls(Notice::CallNeeded { handle: handle(1), cursor: 9, body: Arc::from(*b"c") }, false)]
fn a_run_that_shows_up_after_a_lost_link_is_not_launched_again(#[case] notice: Notice, #[case] thaws: bool) {
    let (mut bench, keyed, _) = link_lost_after_two_launches();
    let shown = bench.notice(32, notice);
    assert_eq!(shown.contains(&Effect::Agent(Command::Thaw { handle: keyed })), thaws, "{shown:?}");
    bench.synced(33);
    bench.send(40, "lobby-confirm", Some("k"));
    bench.pass(3_000);
    assert_eq!(launches_of(&bench.done, keyed), 1);
    assert_eq!(launches_of(&bench.done, handle(3)), 0, "the key stays taken");
}

#[test]
fn a_keyed_launch_long_before_the_link_broke_is_left_alone() {
    // Guards against a launch of what did arrive, whose run may end between the last notice and that launch.
    let mut bench = Bench::new();
    let keyed = bench.send(10, "lobby-confirm", Some("k"));
    bench.notice(400, Notice::Lost(End::Broken));
    bench.notice(430, Notice::Greeting { cold: false, lasted: Duration::from_secs(60) });
    let again = [bench.synced(431), bench.synced(433)].concat();
    let about = |e: &&Effect| matches!(e, Effect::Agent(Command::Launch { .. } | Command::Freeze { .. }));
    assert_eq!(again.iter().filter(about).count(), 0, "{again:?}");
    bench.complete(600, keyed, b"once");
    assert_eq!(bench.answers(1), [&served(b"once")]);
}

#[test]
fn a_launch_in_doubt_whose_request_is_over_gives_its_slot_back_and_keeps_its_key() {
    // Guards against slots that leak with every broken link: half of them were gone at the end of a fast day.
    let mut bench = Bench::new();
    bench.send(10, "lobby-confirm", Some("k"));
    bench.notice(20, Notice::Lost(End::Broken));
    bench.pass(1_600);
    assert_eq!(bench.answers(1), [&Verdict::Failed]);
    let ended = bench.core.counters().list().into_iter().any(|(name, n)| name == "run_broken" && n == 1);
    assert!(ended, "{}", bench.core.counters());
    bench.send(1_700, "lobby-confirm", Some("k"));
    bench.pass(4_000);
    assert_eq!((bench.launches(), bench.answers(2)), (1, vec![&Verdict::Failed]));
}

#[test]
fn a_launch_on_the_first_link_is_not_repeated() {
    // Guards against a launch that went out just before the answer to Sync being sent once more after it.
    let mut bench = Bench::new();
    bench.send(10, "queue-status", None);
    bench.synced(11);
    assert_eq!(bench.launches(), 1);
}
