//! The stop of a process whose link to the agent breaks: it answers all that it has read before it is killed.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::harness::*;
use crate::scripted::{Listener, Peer};

/// Time from the stop signal to the kill.
const STOP_MS: u64 = 1_200;
/// Callers wait for longer than `STOP_MS`.
const CLIENT_TIMEOUT_MS: u64 = 2_900;

/// When the link breaks on which a launch was the last command.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkBreak {
    BeforeTheStopSignal,
    AfterTheStopSignal,
}

/// Returns true if anything arrives on a connection by `until`.
fn is_answered_by(stream: &mut TcpStream, until: Instant) -> bool {
    let remaining = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(remaining)).unwrap();
    stream.read(&mut [0; 512]).is_ok_and(|read| read > 0)
}

fn send(program: &Program, request: &Request) -> TcpStream {
    let mut stream = connect(program.http);
    stream.write_all(&request.http()).unwrap();
    stream
}

/// Breaks the link, accepts the next one and answers its marker, which resolves what is in doubt.
fn replace_link(agent: &Listener, link: Peer) -> Peer {
    link.close();
    let mut next = agent.accept_link();
    next.answer_marker();
    next
}

/// Puts the launch of a keyed request in doubt while another try of its key waits for the same run. Returns, for each
/// of the two callers, whether it has an answer by the time of the kill.
fn are_answered_with_a_launch_in_doubt(when: LinkBreak) -> [bool; 2] {
    let agent = Listener::start();
    let setup = Setup { agent: Some(agent.address), stop_ms: Some(STOP_MS), ..Setup::default() };
    let program = Program::start(setup);
    let mut link = agent.accept_link();
    link.answer_marker();
    let request = Request { timeout_ms: CLIENT_TIMEOUT_MS, ..Request::keyed("k", b"a") };
    let mut first = send(&program, &request);
    link.expect_run_command("launch");
    let mut second = send(&program, &request);
    wait_for("the second try", || program.counter("repeats") == 1);
    if when == LinkBreak::BeforeTheStopSignal {
        link = replace_link(&agent, link);
        program.wait_for_log("commands in doubt are resolved");
    }
    let kill_time = Instant::now() + Duration::from_millis(STOP_MS);
    program.signal("TERM");
    if when == LinkBreak::AfterTheStopSignal {
        program.wait_for_log("leaving");
        link = replace_link(&agent, link);
        program.wait_for_log("commands in doubt are resolved");
    }
    let answered = [&mut first, &mut second].map(|stream| is_answered_by(stream, kill_time));
    drop(link);
    answered
}

#[test]
fn callers_of_a_run_whose_launch_is_in_doubt_are_answered_before_the_stop() {
    // Guards against the incident of 2 December 2026 at the stop: the decision module was notified that the run was
    // over, and the callers waited for their deadlines, which came after the kill.
    for when in [LinkBreak::BeforeTheStopSignal, LinkBreak::AfterTheStopSignal] {
        assert_eq!(are_answered_with_a_launch_in_doubt(when), [true, true], "{when:?}");
    }
}

#[test]
fn links_that_end_before_a_marker_is_answered_delay_no_answer_and_occupy_no_slot() {
    // Guards against commands that stay in doubt without a time limit because no link lives long enough to resolve
    // them.
    let agent = Listener::start();
    let program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    let mut link = agent.accept_link();
    link.answer_marker();
    let requests = [Request::new("queue-status", b"read"), Request::keyed("k", b"once")];
    // All have the same timeout: a try with less than its caller's usual timeout would be taken for a retry.
    let with_timeout = |request| Request { timeout_ms: 600, ..request };
    let deadline = Instant::now() + Duration::from_millis(600);
    let mut streams = requests.map(|request| send(&program, &with_timeout(request)));
    let launched = [link.expect_run_command("launch").handle, link.expect_run_command("launch").handle];
    link.close();
    while Instant::now() < deadline {
        agent.accept_link().close();
    }
    assert_eq!(streams.each_mut().map(|stream| read_answer(stream).status), [500, 500]);
    assert!(deadline.elapsed() < Duration::from_millis(100), "{:?}", deadline.elapsed());
    // This link stays up: all cores of the site are free for other requests.
    let mut link = agent.accept_link();
    link.answer_marker();
    let mut later: Vec<_> = (0..6)
        .map(|n| send(&program, &with_timeout(Request::keyed(&format!("later-{n}"), b"later"))))
        .collect();
    for cursor in 1..=6 {
        let handle = link.expect_run_command("launch").handle;
        assert!(!launched.contains(&handle), "its request has ended");
        link.send_outcome(cursor, &handle, "complete", b"made");
    }
    for stream in &mut later {
        assert_eq!(read_answer(stream).body, b"made");
    }
}

#[test]
fn closed_connections_are_counted_by_reason() {
    // Guards against a log that does not show whether a caller without an answer lost its connection in this process.
    let agent = Agent::start(1, Duration::from_millis(5), false);
    let mut program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    assert_eq!(exchange(program.http, b"no request\r\n\r\n").status, 400);
    drop(connect(program.http));
    let mut kept = connect(program.http);
    kept.write_all(&Request::new("queue-status", b"a").http()).unwrap();
    assert_eq!(read_answer(&mut kept).status, 200);
    program.signal("TERM");
    assert!(program.wait_for_exit().success());
    // The idle connection is closed when the grace period ends. The connections by which the program wakes its own
    // listeners are closed by the program as their peer.
    program.wait_for_log("connections closed: idle=1 by_peer=");
    program.wait_for_log("malformed=1 after_answer=0 unsent=0 unanswered=0");
    let log = program.log();
    let by_peer = log.split("connections closed: idle=1 by_peer=").nth(1);
    let by_peer: u64 = by_peer.and_then(|rest| rest.split(' ').next()?.parse().ok()).unwrap();
    assert!(by_peer >= 1, "{log}");
}

#[test]
fn a_stop_signal_that_comes_while_the_process_is_paused_counts_from_the_pause() {
    // Guards against answers after the kill: a process that had been paused counted the stop from the reading of the
    // signal.
    const STOP_MS: u64 = 2_400;
    const PAUSE: Duration = Duration::from_millis(900);
    let agent = Agent::start(1, Duration::from_secs(60), false);
    let setup = Setup { agent: Some(agent.address), stop_ms: Some(STOP_MS), ..Setup::default() };
    let program = Program::start(setup);
    let mut client =
        send(&program, &Request { timeout_ms: CLIENT_TIMEOUT_MS, ..Request::new("queue-status", b"a") });
    wait_for("the launch", || agent.launches().len() == 1);
    program.pause();
    let kill_time = Instant::now() + Duration::from_millis(STOP_MS);
    program.signal("TERM");
    // The length of the pause is the scenario, not a wait for a condition.
    std::thread::sleep(PAUSE);
    program.resume();
    assert!(is_answered_by(&mut client, kill_time), "no answer before the kill: {}", program.log());
}
