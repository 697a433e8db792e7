//! How connections of callers end: nobody whose request was accepted by the system is left without an answer.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use hopwalk::net::connection_table::EVICT_AFTER;

use crate::harness::*;

/// A run that no test waits for.
const ENDLESS: Duration = Duration::from_secs(60);
/// When a process that was told to leave is killed, as the tests' configuration has it.
const STOP: Duration = Duration::from_millis(3200);
const CHECK: &[u8] = b"GET /check HTTP/1.1\r\n\r\n";

/// A program whose table has room for three connections, and none to spare.
fn with_three_places(agent: &Agent) -> Program {
    Program::start(Setup { agent: Some(agent.address), sockets: Some(6), ..Setup::default() })
}

/// The other side has answered what was written last with a reset: on this machine that comes before the next look.
fn was_reset(stream: &TcpStream) -> bool {
    stream.take_error().unwrap().is_some()
}

fn start_program(agent: &Agent) -> Program {
    Program::start(Setup { agent: Some(agent.address), ..Setup::default() })
}

/// A program with one request that runs and takes longer than any drain, and its caller.
fn with_an_endless_run() -> (Program, TcpStream) {
    let agent = Agent::start(1, ENDLESS, false);
    let program = start_program(&agent);
    let caller = send(&program, &Request { timeout_ms: 10_000, ..Request::new("queue-status", b"open") });
    wait_for("the launch", || agent.launches().len() == 1);
    (program, caller)
}

fn send(program: &Program, request: &Request) -> TcpStream {
    let mut stream = connect(program.http);
    stream.write_all(&request.http()).unwrap();
    stream
}

#[test]
fn whoever_connects_during_a_drain_is_answered_or_refused() {
    // Guards against connections that wait in the backlog of a listener from which nobody accepts any more.
    let (mut program, mut open) = with_an_endless_run();
    program.signal("TERM");
    let mut answered = 0;
    let refused = loop {
        match TcpStream::connect(program.http) {
            Ok(mut stream) => {
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                stream
                    .write_all(&Request { timeout_ms: 50, ..Request::new("queue-status", b"next") }.http())
                    .unwrap();
                assert!([500, 503].contains(&read_answer(&mut stream).status));
                answered += 1;
            }
            Err(e) => break e,
        }
    };
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    assert!(answered > 0);
    assert_eq!(read_answer(&mut open).status, 500, "the process had not left yet");
    assert!(program.wait_for_exit().success());
}

#[test]
fn a_request_that_is_half_there_as_the_listener_closes_is_still_answered_whole() {
    let agent = Agent::start(1, ENDLESS, false);
    let mut program = start_program(&agent);
    let request = Request::new("queue-status", b"two pieces").http();
    let (first, second) = request.split_at(request.len() / 2);
    let mut stream = connect(program.http);
    stream.write_all(CHECK).unwrap();
    assert_eq!(read_answer(&mut stream).status, 200);
    stream.write_all(first).unwrap();
    program.signal("TERM");
    program.wait_for_log("takes no new connections");
    stream.write_all(second).unwrap();
    let answer = read_answer(&mut stream);
    assert!(answer.status == 503 && answer.head.contains("Connection: close"), "{answer:?}");
    assert!(is_closed(&mut stream));
    assert!(program.wait_for_exit().success());
    assert!(agent.launches().is_empty(), "what came after the grace is not run");
}

#[test]
fn past_its_limit_a_connection_waits_for_a_place_and_takes_nobody_elses() {
    // Guards against a connection that is closed unread though its request was accepted by the system.
    let agent = Agent::start(3, Duration::from_millis(700), false);
    let program = with_three_places(&agent);
    let request = |body| Request { timeout_ms: 4000, ..Request::new("queue-status", body) };
    let mut taken: Vec<_> = (0..3).map(|_| send(&program, &request(b"in"))).collect();
    wait_for("the requests", || agent.launches().len() == 3);
    let mut fourth = send(&program, &request(b"fourth"));
    assert_eq!(program.counter("taken_in"), 3, "there is no room for a fourth yet");
    for stream in &mut taken {
        assert_eq!(read_answer(stream).body, b"made:in");
    }
    assert_eq!(read_answer(&mut fourth).body, b"made:fourth");
}

#[test]
fn a_request_that_is_there_as_its_connection_is_to_make_room_is_answered() {
    // Guards against a request that is read from a connection that was closed to make room, and dropped.
    let agent = Agent::start(2, ENDLESS, false);
    let program = with_three_places(&agent);
    let request = |body| Request { timeout_ms: 3000, ..Request::new("queue-status", body) };
    let mut idle = connect(program.http);
    idle.write_all(CHECK).unwrap();
    assert_eq!(read_answer(&mut idle).status, 200);
    let answered = Instant::now();
    let mut busy: Vec<_> = (0..2).map(|_| send(&program, &request(b"busy"))).collect();
    wait_for("the requests", || agent.launches().len() == 2);
    wait_for("the time of an idle connection", || answered.elapsed() > EVICT_AFTER * 2);
    // The process finds the new connection first, for which the idle one is to go, and then its request.
    program.pause();
    let mut new = send(&program, &request(b"new"));
    idle.write_all(&request(b"idle").http()).unwrap();
    program.resume();
    let answer = read_answer(&mut idle);
    assert!(answer.head.contains("Connection: close"), "it has made room: {answer:?}");
    assert!([500, 503].contains(&answer.status));
    for stream in busy.iter_mut().chain([&mut new]) {
        assert!([500, 503].contains(&read_answer(stream).status));
    }
}

#[test]
fn what_is_turned_down_in_the_middle_is_read_to_its_end_before_the_close() {
    // Guards against a close over unread bytes, which resets the connection and may overtake the answer.
    let agent = Agent::start(1, ENDLESS, false);
    let program = start_program(&agent);
    let mut stream = connect(program.http);
    stream.write_all(&Request::new("queue-status", &[0; 400_000]).http()).unwrap();
    let answer = read_answer(&mut stream);
    assert!(answer.status == 413 && answer.head.contains("Connection: close"), "{answer:?}");
    assert!(is_closed(&mut stream));
    stream.write_all(b"and more").unwrap();
    assert!(!was_reset(&stream));
}

#[test]
fn an_idle_connection_is_closed_without_a_reset_of_what_crosses_the_close() {
    let agent = Agent::start(1, ENDLESS, false);
    let mut program = start_program(&agent);
    let mut idle = connect(program.http);
    idle.write_all(CHECK).unwrap();
    assert_eq!(read_answer(&mut idle).status, 200);
    program.signal("TERM");
    assert!(is_closed(&mut idle));
    // It crosses the close: it is not run.
    idle.write_all(&Request::new("queue-status", b"late").http()).unwrap();
    assert!(!was_reset(&idle));
    drop(idle);
    assert!(program.wait_for_exit().success());
    assert!(agent.launches().is_empty());
}

#[test]
fn callers_that_keep_their_side_open_do_not_hold_up_the_end_past_the_stop() {
    // Guards against answers given just before the stop, each waiting for a caller to close as long as there is left.
    let (mut program, mut open) = with_an_endless_run();
    let signalled = Instant::now();
    program.signal("TERM");
    assert_eq!(read_answer(&mut open).status, 500);
    assert!(program.wait_for_exit().success());
    assert!(signalled.elapsed() < STOP, "{:?}", signalled.elapsed());
}

/// Three callers that take all places for so long as `busy_ms`, until their requests fall due; one more that has been
/// accepted, and two in the backlog behind it.
fn more_callers_than_places(
    program: &Program,
    agent: &Agent,
    busy_ms: u64,
) -> (Vec<TcpStream>, Vec<TcpStream>) {
    let busy = Request { timeout_ms: busy_ms, ..Request::new("queue-status", b"busy") };
    let busy = (0..3).map(|_| send(program, &busy)).collect();
    wait_for("the requests", || program.counter("taken_in") == 3);
    wait_for("a launch", || !agent.launches().is_empty());
    let waiting = Request { timeout_ms: 6000, ..Request::new("queue-status", b"waiting") };
    let waiting = (0..3).map(|_| send(program, &waiting)).collect();
    (busy, waiting)
}

#[test]
fn what_waits_in_the_backlog_as_the_listener_closes_is_answered() {
    // Guards against a listener that is closed over connections that the system has accepted.
    let agent = Agent::start(3, ENDLESS, false);
    let mut program = with_three_places(&agent);
    program.signal("TERM");
    program.wait_for_log("leaving");
    // Longer than the grace, within which room would be found for all of them.
    let (busy, waiting) = more_callers_than_places(&program, &agent, 2500);
    program.wait_for_log("takes no new connections");
    for mut stream in busy.into_iter().chain(waiting) {
        assert!([500, 503].contains(&read_answer(&mut stream).status));
    }
    assert!(program.wait_for_exit().success());
}

#[test]
fn what_waits_in_the_backlog_of_an_old_process_in_an_upgrade_is_answered_by_the_new_one() {
    let old_agent = Agent::start(3, ENDLESS, false);
    let new_agent = Agent::start(3, Duration::from_millis(5), false);
    let mut old = with_three_places(&old_agent);
    let (busy, waiting) = more_callers_than_places(&old, &old_agent, 1500);
    let new = old.successor(&old_agent, &new_agent);
    old.signal("TERM");
    for mut stream in busy {
        assert_eq!(read_answer(&mut stream).status, 500, "its run ends in the old process, which has none");
    }
    for mut stream in waiting {
        assert_eq!(read_answer(&mut stream).body, b"made:waiting");
    }
    assert!(old.wait_for_exit().success());
    assert_eq!(exchange(new.http, &Request::new("queue-status", b"new").http()).body, b"made:new");
}

#[test]
fn a_caller_that_does_not_read_holds_up_no_end_and_finds_its_answer_later() {
    let agent = Agent::start(1, Duration::from_millis(5), false);
    let mut program = start_program(&agent);
    let mut slow = send(&program, &Request::new("queue-status", &[7; 2048]));
    wait_for("its answer", || program.counter("served") == 1);
    program.signal("TERM");
    assert!(program.wait_for_exit().success());
    assert_eq!(read_answer(&mut slow).body, [&b"made:"[..], &[7; 2048]].concat());
    assert!(is_closed(&mut slow));
}

#[test]
fn clients_that_fill_the_descriptors_keep_out_no_request_no_call_and_no_operator() {
    let agent = Agent::start(2, Duration::from_millis(5), true);
    let sockets = 64;
    let setup = Setup {
        sockets: Some(sockets),
        vault: Some(vault()),
        agent: Some(agent.address),
        ..Setup::default()
    };
    let program = Program::start(setup);
    program.limit_descriptors(sockets);
    let mut silent: Vec<_> = (0..150).map(|_| connect(program.http)).collect();
    for stream in silent.iter_mut().step_by(2) {
        let _ = stream.write_all(b"POST /do/");
    }
    for n in 0..20 {
        let request = Request { timeout_ms: 3000, ..Request::keyed(&format!("key {n}"), b"x") };
        assert_eq!(exchange(program.http, &request.http()).body, b"made:xreply:x");
        let check = exchange(program.http, b"GET /check HTTP/1.1\r\nConnection: close\r\n\r\n");
        assert_eq!(check.status, 200);
        assert_eq!(program.admin_status("GET", "/ready"), 200);
        assert!(program.descriptors() <= sockets, "{}", program.descriptors());
    }
    assert!(!program.log().contains("accept:"), "{}", program.log());
}
