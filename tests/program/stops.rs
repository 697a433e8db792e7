//! The stop of a process whose link to the agent breaks: what it has read is answered before it is killed.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::scripted::{Listener, Peer};
use crate::stand_in::*;

/// From the notice to the kill.
const STOP_MS: u64 = 1_200;
/// Callers wait for longer than that.
const PATIENCE_MS: u64 = 2_900;

/// When the link breaks whose last command is a launch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Break {
    BeforeTheNotice,
    AfterTheNotice,
}

/// Whether anything has come on a connection by `until`.
fn is_answered_by(stream: &mut TcpStream, until: Instant) -> bool {
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).unwrap();
    stream.read(&mut [0; 512]).is_ok_and(|read| read > 0)
}

fn send(program: &Program, ask: &Ask) -> TcpStream {
    let mut stream = connect(program.http);
    stream.write_all(&ask.http()).unwrap();
    stream
}

/// Breaks the link, and has the next one settle what is in doubt.
fn break_link(agent: &Listener, link: Peer) -> Peer {
    link.cut();
    let mut next = agent.link();
    next.sync();
    next
}

/// A launch of what must run once is in doubt, and another try of its key waits for it. Whether both callers have an
/// answer by the kill.
fn is_answered_where_a_launch_is_in_doubt(when: Break) -> [bool; 2] {
    let agent = Listener::start();
    let setup = Setup { agent: Some(agent.address), stop_ms: Some(STOP_MS), ..Setup::default() };
    let program = Program::start(setup);
    let mut link = agent.link();
    link.sync();
    let ask = Ask { patience_ms: PATIENCE_MS, ..Ask::keyed("k", b"a") };
    let mut first = send(&program, &ask);
    link.expect_of_next("launch");
    let mut second = send(&program, &ask);
    wait_for("the second try", || program.counter("repeats") == 1);
    if when == Break::BeforeTheNotice {
        link = break_link(&agent, link);
        program.wait_for_log("commands in doubt are resolved");
    }
    let killed = Instant::now() + Duration::from_millis(STOP_MS);
    program.signal("TERM");
    if when == Break::AfterTheNotice {
        program.wait_for_log("leaving");
        link = break_link(&agent, link);
        program.wait_for_log("commands in doubt are resolved");
    }
    let answered = [&mut first, &mut second].map(|stream| is_answered_by(stream, killed));
    drop(link);
    answered
}

#[test]
fn callers_of_a_run_whose_launch_is_in_doubt_are_answered_before_the_stop() {
    // Guards against the incident of 2 December 2026 at the stop: the module was told that the run is over, and the
    // callers waited for their due time, which came after the kill.
    for when in [Break::BeforeTheNotice, Break::AfterTheNotice] {
        assert_eq!(is_answered_where_a_launch_is_in_doubt(when), [true, true], "{when:?}");
    }
}

#[test]
fn links_that_end_before_a_mark_is_answered_hold_up_no_answer_and_no_slot() {
    // Guards against commands that stay in doubt without a bound, as no link lives long enough to settle them.
    let agent = Listener::start();
    let program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    let mut link = agent.link();
    link.sync();
    let asks = [Ask::new("queue-status", b"read"), Ask::keyed("k", b"once")];
    // All alike: a caller with another patience than usual would pass for one that comes again.
    let patient = |ask| Ask { patience_ms: 600, ..ask };
    let due = Instant::now() + Duration::from_millis(600);
    let mut streams = asks.map(|ask| send(&program, &patient(ask)));
    let launched = [link.expect_of_next("launch").handle, link.expect_of_next("launch").handle];
    link.cut();
    while Instant::now() < due {
        agent.link().cut();
    }
    assert_eq!(streams.each_mut().map(|stream| read_answer(stream).status), [500, 500]);
    assert!(due.elapsed() < Duration::from_millis(100), "{:?}", due.elapsed());
    // A link that stays: all cores of the site are free for others.
    let mut link = agent.link();
    link.sync();
    let mut later: Vec<_> =
        (0..6).map(|n| send(&program, &patient(Ask::keyed(&format!("later-{n}"), b"later")))).collect();
    for cursor in 1..=6 {
        let handle = link.expect_of_next("launch").handle;
        assert!(!launched.contains(&handle), "its request is over");
        link.ends(cursor, &handle, "complete", b"made");
    }
    for stream in &mut later {
        assert_eq!(read_answer(stream).body, b"made");
    }
}

#[test]
fn connections_are_counted_by_the_reason_of_their_close() {
    // Guards against a log that cannot tell whether a caller without an answer lost its connection here.
    let agent = Agent::start(1, Duration::from_millis(5), false);
    let mut program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    assert_eq!(exchange(program.http, b"no request\r\n\r\n").status, 400);
    drop(connect(program.http));
    let mut kept = connect(program.http);
    kept.write_all(&Ask::new("queue-status", b"a").http()).unwrap();
    assert_eq!(read_answer(&mut kept).status, 200);
    program.signal("TERM");
    assert!(program.end().success());
    // The one that rested is closed as the grace ends; the program itself closes those by which it wakes its listeners.
    program.wait_for_log("connections closed: idle=1 by_peer=");
    program.wait_for_log("malformed=1 after_answer=0 unsent=0 unanswered=0");
    let log = program.log();
    let by_peer = log.split("connections closed: idle=1 by_peer=").nth(1);
    let by_peer: u64 = by_peer.and_then(|rest| rest.split(' ').next()?.parse().ok()).unwrap();
    assert!(by_peer >= 1, "{log}");
}
