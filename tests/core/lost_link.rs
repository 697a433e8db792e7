//! Commands on a link to the agent that breaks: which of them are sent again.

use super::*;

/// Breaks the link, opens the next one and synchronises it. Returns the effects of the new link.
fn reconnect(bench: &mut Bench, at: u64) -> Vec<Effect> {
    bench.break_link(at);
    let sent = bench.open_link(at + 10);
    [sent, bench.sync(at + 11)].concat()
}

/// A request with a key and a read request are launched, then the link breaks and the next one is synchronised.
fn link_lost_after_two_launches() -> (Bench, Handle, Vec<Effect>) {
    let mut bench = Bench::new();
    let keyed = bench.send(10, "lobby-confirm", Some("k"));
    bench.send(11, "queue-status", None);
    let resent = reconnect(&mut bench, 20);
    (bench, keyed, resent)
}

/// A request whose run waits for its call, with the reply just sent.
fn run_with_reply_sent(class: &str, key: Option<&str>) -> (Bench, Handle) {
    let mut bench = Bench::new();
    let run = bench.send(10, class, key);
    bench.notice(20, Notice::CallNeeded { handle: run, cursor: 7, body: Arc::from(*b"ask") });
    let attempt = bench.effects.iter().find_map(|effect| match effect {
        Effect::Call { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let attempt = attempt.unwrap();
    let reply = Some(reply_to(run, 7, attempt, b"reply"));
    bench.step(30, [Input::CallEnded { handle: run, attempt, end: End::Complete, reply, fence: None }]);
    (bench, run)
}

fn counter(bench: &Bench, name: &str) -> u64 {
    bench.core.counters().list().into_iter().find(|(known, _)| known == name).map_or(0, |(_, n)| n)
}

fn deliveries(effects: &[Effect]) -> usize {
    effects.iter().filter(|e| matches!(e, Effect::Agent { command: Command::Deliver { .. }, .. })).count()
}

#[test]
fn after_a_lost_link_only_launches_of_repeatable_requests_are_sent_again() {
    // Guards against a second run: a launch of a request with a key may have been carried out without a notice.
    let (mut bench, keyed, mut resent) = link_lost_after_two_launches();
    for at in [40, 60, 80] {
        resent.extend(reconnect(&mut bench, at));
    }
    assert_eq!(launches_of(&resent, keyed), 0, "{resent:?}");
    assert!(launches_of(&resent, handle(2)) > 0, "{resent:?}");
    let pauses = resent.iter().any(|e| matches!(e, Effect::Agent { command: Command::Freeze { .. }, .. }));
    assert!(!pauses, "that a run does not pause would prove nothing: {resent:?}");
    assert_eq!((counter(&bench, "runs_orphaned"), counter(&bench, "violations")), (1, 0));
}

#[test]
fn a_lost_launch_with_a_key_frees_its_slot_and_is_answered_when_due() {
    // Guards against slots that leak with every broken link, and against forgetting that a key may have run.
    let mut bench = Bench::new();
    let keyed: Vec<_> = (0..6).map(|n| bench.send(10, "lobby-confirm", Some(&format!("k{n}")))).collect();
    assert_eq!(bench.launches(), 6, "all cores are taken");
    let waiting: Vec<_> = (0..4).map(|_| bench.send(12, "queue-status", None)).collect();
    let launched = reconnect(&mut bench, 20);
    assert!(waiting.iter().any(|run| launches_of(&launched, *run) == 1), "{launched:?}");
    bench.advance_to(1_600);
    for conn in 1..=6 {
        assert_eq!(bench.answers(conn), [&Verdict::Failed]);
    }
    assert!(keyed.iter().all(|run| launches_of(&bench.effects, *run) == 1));
    bench.send(1_700, "lobby-confirm", Some("k0"));
    bench.advance_to(4_000);
    assert_eq!(bench.answers(11), [&Verdict::Failed], "its run may have had its effect");
}

#[test]
fn the_sync_answer_of_an_earlier_link_proves_nothing_about_later_commands() {
    // Guards against a launch repeated without proof: the sync answer of a link that broke at once arrives on the
    // next one.
    let mut bench = Bench::new();
    let read = bench.send(10, "queue-status", None);
    bench.break_link(20);
    bench.open_link(30);
    for earlier in [LinkId::NONE, LinkId(1)] {
        let resent = bench.notice(32, Notice::Synced { requested_on: earlier });
        assert_eq!(launches_of(&resent, read), 0, "{resent:?}");
    }
    assert_eq!(launches_of(&bench.sync(33), read), 1);
}

#[rstest]
#[case::ended_well(Notice::Outcome { handle: handle(1), end: End::Complete, duration: None, result: Some(Arc::from(*b"once")) }, served(b"once"))]
#[case::failed(Notice::Outcome { handle: handle(1), end: End::Failed, duration: None, result: None }, Verdict::Failed)]
#[case::calls(Notice::CallNeeded { handle: handle(1), cursor: 9, body: Arc::from(*b"c") }, Verdict::Failed)]
fn a_run_with_a_notice_after_a_lost_link_is_not_launched_again(
    #[case] notice: Notice,
    #[case] answer: Verdict,
) {
    let (mut bench, keyed, _) = link_lost_after_two_launches();
    bench.notice(32, notice);
    assert_eq!(bench.answers(1), [&answer], "its outcome is the answer, and a call cannot be made for it");
    bench.send(40, "lobby-confirm", Some("k"));
    bench.advance_to(3_000);
    assert_eq!(launches_of(&bench.effects, keyed), 1);
    assert_eq!(launches_of(&bench.effects, handle(3)), 0, "the key must not run again");
    assert_eq!(bench.answers(3), [&answer]);
}

#[test]
fn a_launch_that_was_acknowledged_is_not_in_doubt() {
    // Guards against repeating a launch that was read: its run may end between the last notice and the second launch.
    let mut bench = Bench::new();
    let (keyed, read) = (bench.send(10, "lobby-confirm", Some("k")), bench.send(10, "queue-status", None));
    bench.acknowledge(12);
    bench.acknowledge(13);
    let resent = reconnect(&mut bench, 20);
    assert_eq!((launches_of(&resent, keyed), launches_of(&resent, read)), (0, 0), "{resent:?}");
    bench.complete(600, keyed, b"once");
    bench.complete(600, read, b"read");
    assert_eq!((bench.answers(1), bench.answers(2)), (vec![&served(b"once")], vec![&served(b"read")]));
    assert_eq!(counter(&bench, "runs_orphaned"), 0);
}

#[test]
fn an_acknowledgement_covers_only_earlier_commands_on_its_own_link() {
    let mut bench = Bench::new();
    bench.send(10, "queue-status", None);
    let (requested_on, number) = bench.last_acknowledge_request().unwrap();
    let later = bench.send(11, "queue-status", None);
    assert_eq!(
        bench.last_acknowledge_request(),
        Some((requested_on, number)),
        "one acknowledgement request at a time"
    );
    bench.notice(12, Notice::Acknowledged { requested_on, number });
    let second = Some((requested_on, number + 1));
    assert_eq!(
        bench.last_acknowledge_request(),
        second,
        "the second launch needs another acknowledgement request"
    );
    let resent = reconnect(&mut bench, 20);
    assert_eq!((launches_of(&resent, handle(1)), launches_of(&resent, later)), (0, 1), "{resent:?}");
    // The answer from the broken link arrives late.
    bench.notice(32, Notice::Acknowledged { requested_on, number: number + 1 });
    let resent = reconnect(&mut bench, 40);
    assert_eq!(launches_of(&resent, later), 1, "{resent:?}");
}

#[test]
fn an_answered_request_with_a_launch_in_doubt_frees_its_slot_but_not_its_key() {
    // Guards against slots that leak with every broken link; half of them were lost in a simulated day.
    let mut bench = Bench::new();
    for n in 0..6 {
        bench.send(10, "lobby-confirm", Some(&format!("k{n}")));
    }
    assert_eq!(bench.launches(), 6, "all cores are taken");
    bench.break_link(20);
    bench.advance_to(1_600);
    assert!((1..=6).all(|conn| bench.answers(conn) == [&Verdict::Failed]));
    assert_eq!(counter(&bench, "runs_orphaned"), 6, "{}", bench.core.counters());
    bench.open_link(1_610);
    let later: Vec<_> = (0..6).map(|_| bench.send(1_620, "queue-status", None)).collect();
    assert!(later.iter().all(|run| launches_of(&bench.effects, *run) == 1), "the slots are free again");
    bench.send(1_700, "lobby-confirm", Some("k0"));
    bench.advance_to(4_000);
    assert_eq!((bench.launches(), bench.answers(13)), (12, vec![&Verdict::Failed]));
}

#[test]
fn a_launch_on_the_first_link_is_not_repeated() {
    // Guards against a launch that was sent just before the answer to `Sync` being sent again after it.
    let mut bench = Bench::new();
    bench.send(10, "queue-status", None);
    bench.sync(11);
    assert_eq!(bench.launches(), 1);
}

#[rstest]
#[case::not_written(0)]
#[case::written(1)]
fn an_unwritten_command_is_sent_on_the_next_link_and_a_written_one_is_in_doubt(#[case] more: u64) {
    let mut bench = Bench::new();
    let sent_before = bench.commands_sent();
    let keyed = bench.send(10, "lobby-confirm", Some("k"));
    bench.notice(20, broken_link(sent_before + more));
    let resent = [bench.open_link(30), bench.sync(31)].concat();
    assert_eq!(launches_of(&resent, keyed) as u64, 1 - more, "{resent:?}");
    assert_eq!(counter(&bench, "violations"), 0);
}

#[test]
fn a_launch_while_the_link_is_down_is_sent_on_the_next_link() {
    let mut bench = Bench::new();
    bench.break_link(5);
    let keyed = bench.send(10, "lobby-confirm", Some("k"));
    assert_eq!(bench.launches(), 0, "there is no link");
    let sent = bench.open_link(300);
    assert_eq!(launches_of(&sent, keyed), 1, "{sent:?}");
    bench.sync(301);
    assert_eq!(bench.launches(), 1);
    bench.complete(400, keyed, b"once");
    assert_eq!(bench.answers(1), [&served(b"once")]);
}

#[test]
fn a_request_that_ends_while_the_link_is_down_is_never_launched_and_frees_its_key() {
    // Guards against a launch after the request has its final answer.
    let mut bench = Bench::new();
    bench.break_link(5);
    let keyed = bench.send(10, "lobby-confirm", Some("k"));
    bench.advance_to(1_600);
    assert_eq!(bench.answers(1), [&Verdict::Failed]);
    let resent = [bench.open_link(1_700), bench.sync(1_701)].concat();
    assert_eq!(launches_of(&resent, keyed), 0, "{resent:?}");
    let next = bench.send(1_800, "lobby-confirm", Some("k"));
    assert_eq!(launches_of(&bench.effects, next), 1, "nothing of its key ever ran");
}

#[rstest]
#[case::answered_without("queue-status", None)]
#[case::worth_nothing_without("lobby-confirm", Some("k"))]
fn a_reply_in_doubt_is_never_sent_again_and_its_call_is_not_skipped(
    #[case] class: &str,
    #[case] key: Option<&str>,
) {
    // Guards against a reply that reaches the next call because it is read late, or twice, after the run has continued.
    let (mut bench, run) = run_with_reply_sent(class, key);
    assert_eq!(deliveries(&bench.effects), 1);
    for at in [40, 60, 80] {
        let resent = reconnect(&mut bench, at);
        let skips = resent.iter().any(|e| matches!(e, Effect::Agent { command: Command::Forgo { .. }, .. }));
        assert_eq!((deliveries(&resent), skips), (0, false), "{resent:?}");
    }
    assert!(bench.answers(1).is_empty(), "its run may have received the reply");
    bench.notice(100, Notice::CallNeeded { handle: run, cursor: 9, body: Arc::from(*b"next") });
    let reply = Some(reply_to(run, 9, 2, b"next reply"));
    bench.step(110, [Input::CallEnded { handle: run, attempt: 2, end: End::Complete, reply, fence: None }]);
    assert_eq!(deliveries(&bench.effects), 2, "the run has received the first one");
    bench.complete(120, run, b"made");
    assert_eq!(bench.answers(1), [&served(b"made")]);
    assert_eq!((counter(&bench, "violations"), counter(&bench, "replies_in_doubt")), (0, 1));
}

#[rstest]
#[case::answered_without("queue-status", None)]
#[case::worth_nothing_without("lobby-confirm", Some("k"))]
fn a_run_without_notices_while_its_reply_is_in_doubt_is_failed_and_keeps_its_slot(
    #[case] class: &str,
    #[case] key: Option<&str>,
) {
    // Guards against slots that leak with every broken link, and against more runs than cores.
    let (mut bench, run) = run_with_reply_sent(class, key);
    let running: Vec<_> = (0..5).map(|_| bench.send(31, "queue-prefs", None)).collect();
    assert!(running.iter().all(|run| launches_of(&bench.effects, *run) == 1), "all cores are taken");
    let waiting = bench.send(32, "queue-prefs", None);
    reconnect(&mut bench, 40);
    bench.acknowledge(52);
    bench.advance_to(530);
    assert!(bench.answers(1).is_empty(), "its run may continue");
    bench.advance_to(600);
    assert_eq!(bench.answers(1), [&Verdict::Failed]);
    assert_eq!(
        launches_of(&bench.effects, waiting),
        0,
        "the failed run keeps its core until the agent reports its end"
    );
    bench.notice(610, Notice::Outcome { handle: run, end: End::Cancelled, duration: None, result: None });
    assert_eq!(launches_of(&bench.effects, waiting), 1, "{:?}", bench.effects);
}

#[test]
fn a_reply_that_arrives_while_the_link_is_down_is_delivered_on_the_next_link() {
    let mut bench = Bench::new();
    let run = bench.send(10, "lobby-confirm", Some("k"));
    bench.notice(20, Notice::CallNeeded { handle: run, cursor: 7, body: Arc::from(*b"ask") });
    bench.break_link(25);
    let reply = Some(reply_to(run, 7, 1, b"reply"));
    bench.step(30, [Input::CallEnded { handle: run, attempt: 1, end: End::Complete, reply, fence: None }]);
    assert_eq!(deliveries(&bench.effects), 0);
    let resent = [bench.open_link(40), bench.sync(41)].concat();
    assert_eq!(deliveries(&resent), 1, "{resent:?}");
}

#[test]
fn a_late_reply_to_an_earlier_call_is_not_delivered_to_the_next_call() {
    // Guards against identifying a reply by its attempt alone while its run waits for the reply to another call.
    let mut bench = Bench::new();
    let run = bench.send(10, "queue-status", None);
    bench.notice(20, Notice::CallNeeded { handle: run, cursor: 7, body: Arc::from(*b"one") });
    let notice = Notice::CallNeeded { handle: run, cursor: 9, body: Arc::from(*b"two") };
    let reply = Some(reply_to(run, 7, 1, b"reply one"));
    let ended = Input::CallEnded { handle: run, attempt: 1, end: End::Complete, reply, fence: None };
    let next = Input::Agent { link: bench.link, notice };
    bench.step(30, [next, ended]);
    assert_eq!(deliveries(&bench.effects), 0, "{:?}", bench.effects);
}

#[rstest]
#[case::of_the_earlier_call(1, 0)]
#[case::of_this_call(2, 1)]
fn the_late_end_of_a_call_affects_only_that_call(#[case] attempt: u32, #[case] delivered: usize) {
    let (mut bench, run) = run_with_reply_sent("queue-status", None);
    bench.notice(40, Notice::CallNeeded { handle: run, cursor: 9, body: Arc::from(*b"two") });
    for _ in 0..2 {
        let reply = Some(reply_to(run, 9, attempt, b"reply"));
        bench.step(41, [Input::CallEnded { handle: run, attempt, end: End::Complete, reply, fence: None }]);
    }
    assert_eq!(deliveries(&bench.effects), 1 + delivered);
}

#[rstest]
#[case::read("queue-status", None, 1)]
#[case::keyed("lobby-confirm", Some("k"), 0)]
fn a_greeting_received_before_the_end_of_the_previous_link_leaves_its_commands_in_doubt(
    #[case] class: &str,
    #[case] key: Option<&str>,
    #[case] resent: usize,
) {
    // Guards against a reducer that infers the order of two links from the order of their messages.
    let mut bench = Bench::new();
    let run = bench.send(10, class, key);
    let old = bench.link;
    let sent = [bench.open_link(20), bench.sync(21)].concat();
    assert_eq!(launches_of(&sent, run), resent, "{sent:?}");
    let end = Input::Agent { link: old, notice: broken_link(0) };
    let sent = [bench.step(22, [end]), bench.sync(23)].concat();
    assert_eq!(
        launches_of(&sent, run),
        0,
        "the end of a link that was replaced proves nothing more: {sent:?}"
    );
    assert_eq!(counter(&bench, "violations"), 0);
}

#[test]
fn a_greeting_on_a_link_that_has_ended_is_ignored() {
    let mut bench = Bench::new();
    let old = bench.link;
    bench.break_link(10);
    let run = bench.send(20, "queue-status", None);
    let sent = bench.step(21, [Input::Agent { link: old, notice: greeting() }]);
    assert_eq!((launches_of(&sent, run), counter(&bench, "stale_notices")), (0, 1), "{sent:?}");
    let sent = bench.open_link(30);
    assert_eq!(launches_of(&sent, run), 1, "{sent:?}");
}

#[test]
fn an_acknowledgement_of_another_link_proves_nothing() {
    // Guards against a launch taken for acknowledged by the answer to another link's acknowledgement request with the
    // same number.
    let mut bench = Bench::new();
    bench.send(10, "queue-prefs", None);
    let (first, number) = bench.last_acknowledge_request().unwrap();
    bench.break_link(20);
    bench.open_link(30);
    let read = bench.send(31, "queue-status", None);
    assert_eq!(
        bench.last_acknowledge_request(),
        Some((bench.link, number)),
        "acknowledgement requests are numbered on each link"
    );
    bench.notice(32, Notice::Acknowledged { requested_on: first, number });
    let resent = reconnect(&mut bench, 40);
    assert_eq!(launches_of(&resent, read), 1, "{resent:?}");
}

#[test]
fn commands_read_on_a_cleanly_closed_link_are_not_in_doubt_and_later_ones_are_sent_on_the_next() {
    let mut bench = Bench::new();
    let keyed = bench.send(10, "lobby-confirm", Some("k"));
    let read = bench.commands_sent();
    let late = bench.send(11, "queue-status", None);
    bench.notice(20, Notice::Closed(LinkEnd::Clean { read }));
    let sent = [bench.open_link(30), bench.sync(31)].concat();
    assert_eq!((launches_of(&sent, keyed), launches_of(&sent, late)), (0, 1), "{sent:?}");
    assert_eq!((counter(&bench, "runs_orphaned"), counter(&bench, "links_lost")), (0, 0));
}

#[test]
fn a_repeated_launch_that_was_not_written_does_not_prove_that_the_first_one_was_not() {
    // Guards against giving away the slot of a run that may have begun because of the previous link.
    let mut bench = Bench::new();
    let read: Vec<_> = (0..6).map(|_| bench.send(10, "queue-status", None)).collect();
    assert!(read.iter().all(|run| launches_of(&bench.effects, *run) == 1), "all cores are taken");
    bench.break_link(20);
    bench.open_link(30);
    let sent_before = bench.commands_sent();
    let resent = bench.sync(31);
    assert!(read.iter().all(|run| launches_of(&resent, *run) == 1), "{resent:?}");
    // On the second link nothing was written after the `Sync` command.
    bench.notice(40, broken_link(sent_before));
    bench.advance_to(1_600);
    assert!((1..=6).all(|conn| bench.answers(conn) == [&Verdict::Failed]));
    assert_eq!(
        counter(&bench, "run_unknown"),
        0,
        "the first launches may have been read: {}",
        bench.core.counters()
    );
}
