//! The checker of the lab, over doctored histories.

use hopwalk::lab::check::{check, Verdict};
use hopwalk::lab::history::{Event, Passed, Record};

fn check_(records: &[Record], slack_ms: u64) -> Verdict {
    check(records, slack_ms, 13_356)
}

#[test]
fn a_key_tried_again_after_its_window_is_a_new_request() {
    let mut h = clean();
    h.push(send(20_000, "g", "k"));
    h.push(run(20_010, "a", "k", "g"));
    h.push(answer(20_100, "g", 200));
    assert!(check_(&h, 100).clean(), "{}", check_(&h, 100).table());
    let mut h = clean();
    h.push(send(13_000, "g", "k"));
    h.push(run(13_010, "a", "k", "g"));
    h.push(answer(13_100, "g", 200));
    assert_eq!(check_(&h, 100).counts["run_twice"], 1);
}

fn at(t_ms: u64, event: Event) -> Record {
    Record { t_ms, event }
}

fn send(t: u64, id: &str, key: &str) -> Record {
    let (to, class) = ("m1".to_string(), "lobby-confirm".to_string());
    at(t, Event::Send { id: id.into(), to, class, key: key.into(), due_ms: t + 1000 })
}

fn answer(t: u64, id: &str, status: u16) -> Record {
    at(t, Event::Answer { id: id.into(), status, passed: None })
}

fn passed(t: u64, id: &str, handed_ms: u64, came_ms: u64) -> Record {
    let passed = Some(Passed { handed_ms, came_ms });
    at(t, Event::Answer { id: id.into(), status: 200, passed })
}

fn run(t: u64, id: &str, key: &str, handle: &str) -> Record {
    at(t, Event::Run { id: id.into(), key: key.into(), by: "agent-m1".into(), handle: handle.into() })
}

/// A clean day: two keyed tries of one key, one run, both answered in time; one refusal that never ran.
fn clean() -> Vec<Record> {
    vec![
        send(0, "a", "k"),
        run(10, "a", "k", "h1"),
        send(20, "b", "k"),
        send(30, "c", ""),
        answer(40, "c", 503),
        answer(200, "a", 200),
        answer(210, "b", 200),
    ]
}

#[test]
fn a_clean_history_passes() {
    let verdict = check_(&clean(), 100);
    assert!(verdict.clean(), "{}", verdict.table());
    assert_eq!((verdict.sent, verdict.statuses[&200], verdict.statuses[&503]), (3, 2, 1));
}

#[test]
fn a_lost_answer_is_found() {
    let mut h = clean();
    h.retain(|r| r.event != answer(0, "b", 200).event);
    let verdict = check_(&h, 100);
    assert_eq!((verdict.counts["lost"], verdict.named["lost"].clone()), (1, vec!["b".to_string()]));
}

#[test]
fn a_double_answer_is_found() {
    let mut h = clean();
    h.push(answer(300, "a", 500));
    assert_eq!(check_(&h, 100).named["double"], ["a"]);
}

#[test]
fn a_late_answer_is_found_and_the_slack_is_kept() {
    let mut h = clean();
    h.push(send(1000, "d", ""));
    h.push(answer(2100, "d", 200));
    assert!(check_(&h, 100).clean());
    h.pop();
    h.push(answer(2101, "d", 200));
    assert_eq!(check_(&h, 100).named["late"], ["d"]);
}

#[test]
fn what_the_lab_itself_held_is_named_apart_and_a_late_matcher_is_still_found() {
    let judge = |sent: u64, answered: Record| {
        let verdict = check_(&[send(sent, "d", ""), answered], 100);
        (verdict.counts["late"], verdict.counts["held_by_lab"])
    };
    // Due at 2000. The matcher answered in time, and the lab read it late.
    assert_eq!(judge(1000, passed(2900, "d", 1010, 2100)), (0, 1));
    assert_eq!(judge(1000, passed(2900, "d", 1010, 2101)), (1, 0));
    // The lab brought the request late: the matcher has until the due time all the same, not its patience again.
    assert_eq!(judge(1000, passed(2300, "d", 1900, 2100)), (0, 1));
    assert_eq!(judge(1000, passed(2300, "d", 1900, 2101)), (1, 0));
    // The lab brought it after the due time: the matcher has the slack.
    assert_eq!(judge(1000, passed(2700, "d", 2500, 2600)), (0, 1));
    assert_eq!(judge(1000, passed(2700, "d", 2500, 2601)), (1, 0));
    // In time at the caller, nothing is counted; times that cannot be excuse nothing.
    assert_eq!(judge(1000, passed(2100, "d", 1010, 2100)), (0, 0));
    assert_eq!(judge(1000, passed(2700, "d", 900, 1500)), (1, 0));
    assert_eq!(judge(1000, passed(2700, "d", 2650, 2600)), (1, 0));
    assert_eq!(judge(1000, passed(2700, "d", 2690, 2750)), (1, 0));
    // An answer that comes in time does not make a second one less of a break.
    let twice = [send(1000, "d", ""), passed(1100, "d", 1010, 1090), passed(2900, "d", 1010, 1090)];
    assert_eq!(check_(&twice, 100).named["double"], ["d"]);
}

#[test]
fn what_the_machine_held_is_named_apart_and_only_that() {
    let stall = |t, ms| at(t, Event::Stall { cpu: 0, ms });
    let gone = |t| at(t, Event::Gone { id: "d".into(), why: "no answer in time".into() });
    let judge = |stalls: &[Record], end: Record| {
        let verdict = check_(&[&[send(1000, "d", "")], stalls, &[end]].concat(), 100);
        (verdict.counts["late"], verdict.counts["lost"], verdict.counts["held_by_machine"])
    };
    // Due at 2000, with the slack at 2100: 300 ms late at the caller, 290 ms at the net.
    let late = || passed(2400, "d", 1010, 2390);
    assert_eq!(judge(&[], late()), (1, 0, 0));
    assert_eq!(judge(&[stall(1500, 289)], late()), (1, 0, 0));
    assert_eq!(judge(&[stall(1500, 290)], late()), (0, 0, 1));
    assert_eq!(judge(&[stall(1500, 150), stall(1510, 140)], late()), (0, 0, 1));
    // Before the send, after the answer, and the part of a stall that lies there, excuse nothing.
    assert_eq!(judge(&[stall(1000, 900), stall(3400, 1000)], late()), (1, 0, 0));
    assert_eq!(judge(&[stall(1289, 900)], late()), (1, 0, 0));
    assert_eq!(judge(&[stall(1290, 900)], late()), (0, 0, 1));
    // No answer: the same, with the moment at which the caller stopped waiting.
    assert_eq!(judge(&[stall(1600, 500)], gone(3500)), (0, 1, 0));
    assert_eq!(judge(&[stall(2600, 1400)], gone(3500)), (0, 0, 1));
    // One closed before its time was not held.
    assert_eq!(judge(&[stall(1500, 400)], gone(1600)), (0, 1, 0));
}

#[test]
fn a_run_after_a_refusal_is_found() {
    let mut h = clean();
    h.push(run(50, "c", "", "h2"));
    assert_eq!(check_(&h, 100).named["refused_after_run"], ["c"]);
}

#[test]
fn a_first_try_refused_and_a_repeat_that_ran_is_no_break() {
    let mut h = clean();
    h.push(send(300, "e", "q"));
    h.push(answer(310, "e", 503));
    h.push(send(400, "f", "q"));
    h.push(run(410, "e", "q", "h9"));
    h.push(answer(600, "f", 200));
    assert!(check_(&h, 100).clean(), "{}", check_(&h, 100).table());
}

#[test]
fn a_key_run_twice_is_found_once() {
    let mut h = clean();
    h.push(run(25, "b", "k", "h3"));
    let verdict = check_(&h, 100);
    assert_eq!((verdict.counts["run_twice"], verdict.named["run_twice"].clone()), (1, vec!["key:k".into()]));
    // A launch repeated with the same handle does nothing, as the protocol has it: no break.
    let mut h = clean();
    h.push(run(25, "a", "k", "h1"));
    assert!(check_(&h, 100).clean());
}

#[test]
fn a_key_run_on_both_sides_of_a_kill_is_named_apart_and_only_that() {
    let life = |t, what: &str| at(t, Event::Process { name: "m1".into(), what: what.into() });
    let mut h = clean();
    h.extend([life(1000, "kill"), life(1500, "start"), send(2000, "g", "k"), run(2010, "a", "k", "g")]);
    h.push(answer(2100, "g", 200));
    let verdict = check_(&h, 100);
    assert_eq!((verdict.counts["run_again_after_kill"], verdict.breaks()), (1, 0), "{}", verdict.table());
    // A third run in the same life is a break.
    h.push(run(2200, "a", "k", "h9"));
    assert_eq!(check_(&h, 100).counts["run_twice"], 1);
}

#[test]
fn what_a_killed_matcher_held_is_named_apart() {
    let mut h = clean();
    h.retain(|r| r.event != answer(0, "b", 200).event);
    h.push(at(100, Event::Process { name: "m1".into(), what: "kill".into() }));
    let verdict = check_(&h, 100);
    assert_eq!((verdict.counts["lost"], verdict.counts["lost_with_kill"]), (0, 1));
    assert!(verdict.clean());
    // A stop is no kill: what a drain loses is a break.
    h.pop();
    h.push(at(100, Event::Process { name: "m1".into(), what: "stop".into() }));
    assert_eq!(check_(&h, 100).counts["lost"], 1);
}

#[test]
fn of_one_millisecond_the_first_line_came_first() {
    // Guards against a request that met nobody being held against the process that starts behind it.
    let life = |t, what: &str| at(t, Event::Process { name: "m1".into(), what: what.into() });
    let dead = [life(0, "start"), life(5, "kill")];
    let before = [&dead[..], &[send(20, "x", ""), life(20, "start")]].concat();
    let after = [&dead[..], &[life(20, "start"), send(20, "x", "")]].concat();
    for (history, lost) in [(before, 0), (after, 1)] {
        let verdict = check_(&history, 100);
        assert_eq!((verdict.counts["lost"], verdict.counts["lost_with_kill"]), (lost, 1 - lost));
    }
}

#[test]
fn what_was_sent_to_a_dead_matcher_is_named_apart_until_it_starts_again() {
    let life = |t, what: &str| at(t, Event::Process { name: "m1".into(), what: what.into() });
    let h = vec![life(0, "start"), life(5, "kill"), send(10, "x", ""), life(20, "start"), send(30, "y", "")];
    let verdict = check_(&h, 100);
    assert_eq!((verdict.counts["lost_with_kill"], verdict.named["lost"].clone()), (1, vec!["y".to_string()]));
}

#[test]
fn what_a_pause_held_is_named_apart_and_only_that() {
    let life = |t, what: &str| at(t, Event::Process { name: "m1".into(), what: what.into() });
    let mut h = vec![send(0, "x", ""), life(10, "pause"), send(20, "y", ""), life(5000, "continue")];
    h.extend([answer(5010, "x", 200), send(5020, "z", ""), answer(7000, "z", 200)]);
    let verdict = check_(&h, 100);
    assert_eq!(verdict.counts["held_by_pause"], 2, "{}", verdict.table());
    assert_eq!(verdict.named["late"], ["z"]);
}

#[test]
fn what_the_callers_own_link_held_is_named_apart_and_only_that() {
    let fault = |t, kind: &str, target: &str, phase: &str| {
        at(t, Event::Fault { kind: kind.into(), target: target.into(), phase: phase.into() })
    };
    let mut h = vec![send(0, "w", ""), answer(20, "w", 200), fault(30, "stall", "callers-m1", "start")];
    h.extend([send(40, "x", ""), fault(900, "stall", "callers-m1", "end"), answer(1300, "x", 200)]);
    h.extend([fault(2000, "cut", "m1-vault", "start"), send(2010, "y", "")]);
    h.extend([send(4000, "z", ""), fault(4010, "reset", "callers-m1", "start"), send(5200, "v", "")]);
    let verdict = check_(&h, 100);
    assert_eq!(verdict.counts["held_by_link"], 2, "{}", verdict.table());
    assert_eq!(verdict.named["lost"], ["y", "v"], "{}", verdict.table());
    // A reset within a cut does not end the cut.
    let mut h = vec![fault(0, "cut", "callers-m1", "start"), fault(500, "reset", "callers-m1", "start")];
    h.extend([send(700, "u", ""), fault(900, "cut", "callers-m1", "end")]);
    assert_eq!(check_(&h, 100).counts["held_by_link"], 1);
}

#[test]
fn a_history_with_dropped_lines_is_not_clean() {
    let mut h = clean();
    h.push(at(500, Event::Dropped { count: 3 }));
    assert!(!check_(&h, 100).clean());
}

/// A request of 0 ms, due at 1000 ms, whose matcher is told to leave at once and killed at 800 ms, and what else was seen.
fn stopped(more: &[Record]) -> Verdict {
    let life = |t, what: &str| at(t, Event::Process { name: "m1".into(), what: what.into() });
    let records = [&[life(0, "start"), send(0, "x", ""), life(5, "stop")], more, &[life(800, "stop_kill")]];
    check_(&records.concat(), 100)
}

#[test]
fn the_kill_at_a_stop_excuses_only_what_was_sent_right_before_it() {
    // Guards against a checker that calls the loss of a drain a loss of the kill behind it.
    assert_eq!(stopped(&[]).named["lost"], ["x"]);
    assert!(stopped(&[answer(790, "x", 500)]).clean());
    let late = [answer(300, "x", 200), send(701, "y", ""), send(650, "z", "")];
    let verdict = stopped(&late);
    assert_eq!((verdict.counts["lost_with_kill"], verdict.named["lost"].clone()), (1, vec!["z".into()]));
}

#[test]
fn a_machine_that_stood_still_right_before_the_stop_is_named_apart() {
    let stall = |t, ms| at(t, Event::Stall { cpu: 0, ms });
    for (stall, held) in [(stall(790, 150), 1), (stall(790, 149), 0), (stall(2_000, 1_150), 0)] {
        let verdict = stopped(&[stall]);
        assert_eq!((verdict.counts["held_by_machine"], verdict.counts["lost"]), (held, 1 - held));
    }
}

#[test]
fn what_never_reached_its_matcher_is_no_loss_unless_it_ran() {
    let not_taken = |id: &str| at(50, Event::NotTaken { id: id.into(), why: "crossed a close".into() });
    let refused = [send(0, "x", ""), not_taken("x")];
    assert_eq!(check_(&refused, 100).counts["not_taken"], 1);
    assert!(check_(&refused, 100).clean());
    let ran = [&refused[..], &[run(20, "x", "", "x")]].concat();
    assert_eq!(check_(&ran, 100).named["lost"], ["x"]);
}

#[test]
fn a_lateness_that_the_load_tools_own_probe_had_too_is_named_apart() {
    let echo = |t, ms| at(t, Event::Echo { ms });
    // Due at 1000, with the slack at 1100: 300 ms late.
    for (echo, held) in [(echo(1_400, 300), 1), (echo(1_400, 299), 0), (echo(1_800, 300), 0)] {
        let verdict = check_(&[send(0, "x", ""), answer(1_400, "x", 200), echo], 100);
        assert_eq!((verdict.counts["held_by_lab"], verdict.counts["late"]), (held, 1 - held));
    }
}

#[test]
fn a_key_run_on_both_sides_of_a_stop_is_named_apart() {
    let life = |t, what: &str| at(t, Event::Process { name: "m1".into(), what: what.into() });
    for end in ["stop_kill", "exit"] {
        let mut h = clean();
        h.extend([life(900, "stop"), life(1_000, end), life(1_500, "start"), send(2_000, "g", "k")]);
        h.extend([run(2_010, "a", "k", "g"), answer(2_100, "g", 200)]);
        assert_eq!((check_(&h, 100).counts["run_again_after_kill"], check_(&h, 100).breaks()), (1, 0));
    }
}

#[test]
fn what_the_load_tool_brought_late_is_named_apart_and_a_matcher_has_its_slack_from_then_on() {
    let brought = |at_ms| at(at_ms, Event::Brought { id: "x".into(), at_ms });
    // Due at 1000: brought at 1500, the matcher has until 1600.
    for (brought_ms, answered, late) in [(1_500, 1_600, 0), (1_500, 1_601, 1), (900, 1_101, 1)] {
        let history = [send(0, "x", ""), brought(brought_ms), answer(answered, "x", 200)];
        let verdict = check_(&history, 100);
        assert_eq!((verdict.counts["late"], verdict.counts["held_by_lab"]), (late, 1 - late));
    }
    let gone = |t, why: &str| at(t, Event::Gone { id: "x".into(), why: why.into() });
    let not_handed_on = at(2_000, Event::NotHandedOn { id: "x".into() });
    let verdict = check_(&[send(0, "x", ""), not_handed_on, gone(2_500, "no answer in time")], 100);
    assert_eq!((verdict.counts["lost"], verdict.counts["held_by_lab"]), (0, 1));
}

#[test]
fn a_connection_that_closes_under_a_request_is_a_loss_unless_the_load_tool_was_late_to_see_it() {
    let gone = |t| at(t, Event::Gone { id: "x".into(), why: "closed without an answer".into() });
    let echo = |t, ms| at(t, Event::Echo { ms });
    for (more, gone_ms, lost) in
        [(vec![], 30, 1), (vec![echo(30, 60)], 30, 1), (vec![], 300, 1), (vec![echo(290, 250)], 300, 0)]
    {
        let verdict = check_(&[&[send(0, "x", "")], &more[..], &[gone(gone_ms)]].concat(), 100);
        assert_eq!((verdict.counts["lost"], verdict.counts["held_by_lab"]), (lost, 1 - lost), "{gone_ms}");
    }
}

#[test]
fn what_a_matcher_waited_for_a_processor_is_named_apart_and_only_that() {
    let waited = |of: &str, from_ms, t, ms| at(t, Event::RunDelay { of: of.into(), from_ms, ms });
    let judge = |delay: Record| {
        let verdict = check_(&[send(0, "x", ""), delay, answer(1_400, "x", 200)], 100);
        (verdict.counts["late"], verdict.counts["held_by_machine"])
    };
    // Due at 1000, with the slack at 1100: 300 ms late.
    assert_eq!(judge(waited("m1", 500, 900, 300)), (0, 1));
    assert_eq!(judge(waited("m1", 500, 900, 299)), (1, 0));
    // Another matcher's, and the part behind the answer, excuse nothing.
    assert_eq!(judge(waited("m2", 500, 900, 300)), (1, 0));
    assert_eq!(judge(waited("m1", 1_300, 1_500, 500)), (1, 0));
}

#[test]
fn a_play_whose_load_tool_was_held_up_is_void_and_what_it_breaks_still_counts() {
    let echo = |ms| at(1_000, Event::Echo { ms });
    assert!(!check_(&[echo(249)], 100).void());
    let verdict = check_(&[send(0, "x", ""), echo(250)], 100);
    assert!(verdict.void() && !verdict.clean() && verdict.table().contains("void"));
}
