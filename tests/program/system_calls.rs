//! System calls that fail temporarily: the program answers all that it has read, and exits in good order.

use std::collections::HashSet;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use hopwalk::lab::shim::Dial;
use rstest::rstest;

use crate::clock::shim;
use crate::harness::*;

const SHORT_RUN: Duration = Duration::from_millis(5);
/// The number of callers that send requests at the same time, and of rounds that each makes.
const CALLERS: usize = 4;
const ROUNDS: usize = 12;
/// Runs that the agent carries out at once. One that waits at its call takes one of these places, also after its request
/// has failed, so there are more than runs can be left at their calls.
const AGENT_CORES: usize = 64;
/// The rate, in thousandths, of a fault that occurs at every call.
const ALWAYS: i64 = 1000;
/// The number of connections in the backlog.
const BACKLOG: usize = 24;

fn start(agent: &Agent) -> Program {
    Program::start(Setup {
        agent: Some(agent.address),
        vault: Some(vault()),
        shim: Some(shim()),
        ..Setup::default()
    })
}

fn set_faults(program: &Program, rates: &[(Dial, i64)]) {
    rates.iter().for_each(|(dial, rate)| program.faults().set(*dial, *rate).unwrap());
}

/// Sends requests from all callers, on new connections and on kept ones; returns the statuses of the answers.
fn send_from_all_callers(program: &Program) -> Vec<u16> {
    std::thread::scope(|threads| {
        let callers: Vec<_> =
            (0..CALLERS).map(|caller| threads.spawn(move || send_as_caller(program, caller))).collect();
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

fn send_as_caller(program: &Program, caller: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for round in 0..ROUNDS {
        let key = format!("{caller}-{round}");
        let mut stream = connect(program.http);
        for request in [Request::keyed(&key, b"keyed"), Request::new("queue-status", b"read")] {
            stream.write_all(&Request { timeout_ms: 3000, ..request }.http()).unwrap();
            let answer = read_answer(&mut stream);
            statuses.push(answer.status);
            if answer.head.contains("Connection: close") {
                break;
            }
        }
    }
    statuses
}

#[rstest]
#[case::accept(&[(Dial::Accept, 300)])]
#[case::connect(&[(Dial::Connect, 150)])]
#[case::interrupted(&[(Dial::Interrupt, 200)])]
#[case::in_parts(&[(Dial::Short, 600)])]
#[case::all(&[(Dial::Accept, 200), (Dial::Connect, 80), (Dial::Interrupt, 100), (Dial::Short, 400)])]
fn all_that_was_read_is_answered_while_system_calls_fail(#[case] rates: &[(Dial, i64)]) {
    let agent = Agent::start(AGENT_CORES, SHORT_RUN, true);
    let mut program = start(&agent);
    set_faults(&program, rates);
    let statuses = send_from_all_callers(&program);
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served * 2 > statuses.len(), "{statuses:?}");
    assert!(statuses.iter().all(|status| [200, 500, 503].contains(status)), "{statuses:?}");
    let launched: Vec<_> = agent.launches().into_iter().map(|(handle, ..)| handle).collect();
    assert_eq!(launched.iter().collect::<HashSet<_>>().len(), launched.len(), "none is run twice");
    assert_eq!(program.counter("violations"), 0);
    // Then the stop: what is in the backlog as the listener closes is answered, and the process exits by itself.
    program.signal("TERM");
    let mut late = 0;
    while let Ok(mut stream) = TcpStream::connect(program.http) {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
            .write_all(&Request { timeout_ms: 50, ..Request::new("queue-status", b"late") }.http())
            .unwrap();
        assert!([200, 500, 503].contains(&read_answer(&mut stream).status));
        late += 1;
    }
    assert!(late > 0);
    assert!(program.wait_for_exit().success());
}

#[test]
fn a_backlog_is_accepted_as_the_listener_closes_though_polls_of_it_are_interrupted() {
    // Guards against an interrupted poll that is taken for an empty backlog, which the close then resets.
    let agent = Agent::start(2, SHORT_RUN, true);
    let mut program = start(&agent);
    // No connection is accepted until the listeners close, and then every second poll is interrupted.
    set_faults(&program, &[(Dial::Accept, ALWAYS)]);
    let mut waiting: Vec<_> = (0..BACKLOG).map(|_| connect(program.http)).collect();
    for stream in &mut waiting {
        stream
            .write_all(&Request { timeout_ms: 3000, ..Request::new("queue-status", b"waits") }.http())
            .unwrap();
    }
    program.signal("TERM");
    program.wait_for_log("stopped accepting connections");
    set_faults(&program, &[(Dial::Interrupt, ALWAYS / 2), (Dial::Accept, 0)]);
    let statuses: Vec<_> = waiting.iter_mut().map(|stream| read_answer(stream).status).collect();
    assert!(statuses.iter().all(|status| [200, 500, 503].contains(status)), "{statuses:?}");
    assert!(program.wait_for_exit().success());
}

#[test]
fn a_listener_closes_though_all_connections_in_its_backlog_abort_before_they_are_accepted() {
    // Guards against an accept that waits for another connection while the listener should close.
    let agent = Agent::start(2, SHORT_RUN, true);
    let mut program = start(&agent);
    set_faults(&program, &[(Dial::Abort, ALWAYS)]);
    // The only connections are those by which the program wakes its own listeners.
    program.signal("TERM");
    program.wait_for_log("stopped accepting connections");
    assert!(program.wait_for_exit().success());
}

#[test]
fn a_successor_takes_over_while_system_calls_fail() {
    // Guards against a successor that does not find the running process and exits because its address is in use.
    let agent = Agent::start(2, SHORT_RUN, false);
    let old = start(&agent);
    assert_eq!(exchange(old.http, &Request::keyed("k", b"x").http()).body, b"made:x");
    set_faults(
        &old,
        &[(Dial::Connect, 500), (Dial::Interrupt, 200), (Dial::Short, 300), (Dial::Accept, 200)],
    );
    let new = old.successor(&agent, &agent.moved());
    assert!(new.log().contains("taking over from the running process"), "{}", new.log());
    assert_eq!(exchange(new.http, &Request::keyed("k", b"x").http()).body, b"made:x");
    assert_eq!(agent.launches().len(), 1, "the key was handed over");
    assert_eq!((old.counter("violations"), new.counter("violations")), (0, 0));
}

#[test]
fn connections_that_break_at_any_system_call_have_no_lasting_effect() {
    // Guards against a broken connection that is taken for a timeout and read again without end. The runs make no
    // calls: a run of the simulated agent waits ten seconds for a lost reply, and occupies a core meanwhile.
    let agent = Agent::start(2, SHORT_RUN, false);
    let mut program = start(&agent);
    set_faults(&program, &[(Dial::Break, 60)]);
    let mut answered = 0;
    for round in 0..80 {
        let mut stream = connect(program.http);
        let request = Request { timeout_ms: 300, ..Request::keyed(&format!("k{round}"), b"x") };
        if stream.write_all(&request.http()).is_ok() {
            let mut first = [0; 12];
            answered += usize::from(std::io::Read::read_exact(&mut stream, &mut first).is_ok());
        }
    }
    assert_eq!(answered, 80, "callers' own connections do not break");
    set_faults(&program, &[(Dial::Break, 0)]);
    wait_for("a link that lasts", || {
        exchange(program.http, &Request::new("queue-status", b"a").http()).status == 200
    });
    let launched: Vec<_> = agent.launches().into_iter().map(|(handle, ..)| handle).collect();
    assert_eq!(launched.iter().collect::<HashSet<_>>().len(), launched.len());
    assert_eq!(program.counter("violations"), 0);
    program.signal("TERM");
    assert!(program.wait_for_exit().success());
}
