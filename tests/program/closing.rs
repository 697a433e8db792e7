//! How connections of callers end: no caller whose request the operating system has accepted is left without an
//! answer.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use hopwalk::net::connection_table::EVICT_AFTER;
use rstest::rstest;

use crate::harness::*;

/// The duration of a run that no test waits for.
const ENDLESS_RUN: Duration = Duration::from_secs(60);
/// Time from the stop signal to the kill, as in the tests' configuration.
const STOP_TIME: Duration = Duration::from_millis(3200);
const CHECK: &[u8] = b"GET /check HTTP/1.1\r\n\r\n";

/// Starts a program whose connection table has exactly three slots.
fn start_with_three_slots(agent: &Agent) -> Program {
    Program::start(Setup { agent: Some(agent.address), sockets: Some(6), ..Setup::default() })
}

/// Returns true if the peer has answered the last write with a reset: over the loopback interface it has arrived by
/// now.
fn was_reset(stream: &TcpStream) -> bool {
    stream.take_error().unwrap().is_some()
}

fn start_program(agent: &Agent) -> Program {
    Program::start(Setup { agent: Some(agent.address), ..Setup::default() })
}

/// Starts a program with one request whose run outlasts any drain; returns the program and the caller's connection.
fn start_with_endless_run() -> (Program, TcpStream) {
    let agent = Agent::start(1, ENDLESS_RUN, false);
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
fn clients_that_connect_during_a_drain_are_answered_or_refused() {
    // Guards against connections that wait in the backlog of a listener from which the program no longer accepts.
    let (mut program, mut open) = start_with_endless_run();
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
    assert_eq!(read_answer(&mut open).status, 500, "the process had not exited yet");
    assert!(program.wait_for_exit().success());
}

#[test]
fn a_partly_read_request_is_still_answered_after_the_listener_closed() {
    let agent = Agent::start(1, ENDLESS_RUN, false);
    let mut program = start_program(&agent);
    let request = Request::new("queue-status", b"two pieces").http();
    let (first, second) = request.split_at(request.len() / 2);
    let mut stream = connect(program.http);
    stream.write_all(CHECK).unwrap();
    assert_eq!(read_answer(&mut stream).status, 200);
    stream.write_all(first).unwrap();
    program.signal("TERM");
    program.wait_for_log("stopped accepting connections");
    stream.write_all(second).unwrap();
    let answer = read_answer(&mut stream);
    assert!(answer.status == 503 && answer.head.contains("Connection: close"), "{answer:?}");
    assert!(is_closed(&mut stream));
    assert!(program.wait_for_exit().success());
    assert!(agent.launches().is_empty(), "a request that is completed after the grace period is not run");
}

#[test]
fn a_connection_over_the_limit_waits_for_a_free_slot() {
    // Guards against a connection that is closed unread although the system has accepted its request.
    let agent = Agent::start(3, Duration::from_millis(700), false);
    let program = start_with_three_slots(&agent);
    let request = |body| Request { timeout_ms: 4000, ..Request::new("queue-status", body) };
    let mut accepted: Vec<_> = (0..3).map(|_| send(&program, &request(b"in"))).collect();
    wait_for("the requests", || agent.launches().len() == 3);
    let mut fourth = send(&program, &request(b"fourth"));
    assert_eq!(program.counter("taken_in"), 3, "there is no slot for a fourth yet");
    for stream in &mut accepted {
        assert_eq!(read_answer(stream).body, b"made:in");
    }
    assert_eq!(read_answer(&mut fourth).body, b"made:fourth");
}

#[test]
fn a_request_that_arrives_as_its_connection_is_evicted_is_answered() {
    // Guards against a request that is read from a connection under eviction, and then dropped.
    let agent = Agent::start(2, ENDLESS_RUN, false);
    let program = start_with_three_slots(&agent);
    let request = |body| Request { timeout_ms: 3000, ..Request::new("queue-status", body) };
    let mut idle = connect(program.http);
    idle.write_all(CHECK).unwrap();
    assert_eq!(read_answer(&mut idle).status, 200);
    let answered = Instant::now();
    let mut busy: Vec<_> = (0..2).map(|_| send(&program, &request(b"busy"))).collect();
    wait_for("the requests", || agent.launches().len() == 2);
    wait_for("the time for eviction", || answered.elapsed() > EVICT_AFTER * 2);
    // The process first finds the new connection, for which it evicts the idle one, and then the request on the idle
    // one.
    program.pause();
    let mut new = send(&program, &request(b"new"));
    idle.write_all(&request(b"idle").http()).unwrap();
    program.resume();
    let answer = read_answer(&mut idle);
    assert!(answer.head.contains("Connection: close"), "its connection is evicted: {answer:?}");
    assert!([500, 503].contains(&answer.status));
    for stream in busy.iter_mut().chain([&mut new]) {
        assert!([500, 503].contains(&read_answer(stream).status));
    }
}

#[test]
fn a_request_rejected_before_its_end_is_read_to_its_end_before_the_close() {
    // Guards against a close with unread bytes: it resets the connection, and the reset may overtake the answer.
    let agent = Agent::start(1, ENDLESS_RUN, false);
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
fn a_request_that_crosses_the_close_of_an_idle_connection_causes_no_reset() {
    let agent = Agent::start(1, ENDLESS_RUN, false);
    let mut program = start_program(&agent);
    let mut idle = connect(program.http);
    idle.write_all(CHECK).unwrap();
    assert_eq!(read_answer(&mut idle).status, 200);
    program.signal("TERM");
    assert!(is_closed(&mut idle));
    // This request crosses the close and is not run.
    idle.write_all(&Request::new("queue-status", b"late").http()).unwrap();
    assert!(!was_reset(&idle));
    drop(idle);
    assert!(program.wait_for_exit().success());
    assert!(agent.launches().is_empty());
}

#[test]
fn callers_that_keep_their_side_open_do_not_delay_the_exit_past_the_stop() {
    // Guards against a program that answers just before the stop and then waits for each caller to close its side for
    // all the time that is left.
    let (mut program, mut open) = start_with_endless_run();
    let signalled = Instant::now();
    program.signal("TERM");
    assert_eq!(read_answer(&mut open).status, 500);
    assert!(program.wait_for_exit().success());
    assert!(signalled.elapsed() < STOP_TIME, "{:?}", signalled.elapsed());
}

/// Connects three callers that take all slots until their requests fall due after `busy_ms`, and then three more, of
/// which one is accepted and two stay in the backlog behind it.
fn connect_more_callers_than_slots(
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
fn requests_in_the_backlog_are_answered_when_the_listener_closes() {
    // Guards against closing a listener while its backlog holds connections that the system has accepted.
    let agent = Agent::start(3, ENDLESS_RUN, false);
    let mut program = start_with_three_slots(&agent);
    program.signal("TERM");
    program.wait_for_log("leaving");
    // Longer than the grace period, within which all of them would get a slot.
    let (busy, waiting) = connect_more_callers_than_slots(&program, &agent, 2500);
    program.wait_for_log("stopped accepting connections");
    for mut stream in busy.into_iter().chain(waiting) {
        assert!([500, 503].contains(&read_answer(&mut stream).status));
    }
    assert!(program.wait_for_exit().success());
}

#[test]
fn requests_in_the_backlog_of_a_predecessor_are_answered_by_its_successor() {
    let old_agent = Agent::start(3, ENDLESS_RUN, false);
    let new_agent = Agent::start(3, Duration::from_millis(5), false);
    let mut old = start_with_three_slots(&old_agent);
    let (busy, waiting) = connect_more_callers_than_slots(&old, &old_agent, 1500);
    let new = old.successor(&old_agent, &new_agent);
    old.signal("TERM");
    for mut stream in busy {
        assert_eq!(
            read_answer(&mut stream).status,
            500,
            "it waits for a run of the predecessor, which does not end"
        );
    }
    for mut stream in waiting {
        assert_eq!(read_answer(&mut stream).body, b"made:waiting");
    }
    assert!(old.wait_for_exit().success());
    assert_eq!(exchange(new.http, &Request::new("queue-status", b"new").http()).body, b"made:new");
}

#[test]
fn a_caller_that_reads_late_does_not_delay_the_exit_and_still_gets_its_answer() {
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
fn clients_that_use_up_the_descriptors_block_no_request_no_call_and_no_admin_client() {
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

#[rstest]
#[case::which_reads_nothing(0)]
#[case::which_leaves_answers_unread(1)]
fn requests_behind_the_first_one_do_not_run_once_their_client_has_left(#[case] answers: usize) {
    // Guards against requests that wait unread on a connection, and run after their client has closed it.
    let agent = Agent::start(1, Duration::from_millis(100), false);
    let program = start_program(&agent);
    let before = program.descriptors();
    let mut stream = connect(program.http);
    let requests: Vec<_> = (0..40).map(|_| Request::new("queue-status", &[b'x'; 1000]).http()).collect();
    stream.write_all(&requests.concat()).unwrap();
    wait_for("the launch", || agent.launches().len() == answers + 1);
    drop(stream);
    let launched = agent.launches().len();
    wait_for("the close", || program.descriptors() == before);
    assert_eq!(agent.launches().len(), launched);
}

#[test]
fn a_client_that_has_closed_its_sending_side_alone_gets_all_its_answers() {
    // Guards against a client that is taken for gone although it still reads.
    let agent = Agent::start(1, Duration::from_millis(20), false);
    let program = start_program(&agent);
    let mut stream = connect(program.http);
    let bodies: [&[u8]; 3] = [b"one", b"two", b"three"];
    stream.write_all(&bodies.map(|body| Request::new("queue-status", body).http()).concat()).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    for body in bodies {
        assert_eq!(read_answer(&mut stream).body, [b"made:", body].concat());
    }
    assert!(is_closed(&mut stream));
}

#[test]
fn held_requests_do_not_run_once_their_clients_have_left() {
    // Guards against requests that are launched after their clients have reset their connections.
    let agent = Agent::start(1, Duration::from_millis(200), false);
    let program = start_program(&agent);
    let request = Request { timeout_ms: 4_000, ..Request::new("queue-status", b"held") };
    let callers: Vec<_> = (0..60).map(|_| send(&program, &request)).collect();
    wait_for("the requests", || program.counter("taken_in") == 60);
    let launched = agent.launches().len();
    for caller in &callers {
        socket2::SockRef::from(caller).set_linger(Some(Duration::ZERO)).unwrap();
    }
    drop(callers);
    wait_for("the end of all", || program.counter("refused") as usize + agent.launches().len() >= 60);
    let launched_since = agent.launches().len() - launched;
    assert!(launched_since <= 3, "{launched_since} launched since, {launched} before");
    assert!(program.counter("clients_gone") > 0);
}
