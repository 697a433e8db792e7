//! Clients that send at full speed: they take their share of the program's time, and no other client's.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::bad_clients::Flood;
use crate::harness::*;

/// The time in which another client is served meanwhile: its requests are wanted within 1.8 s.
const SERVED_WITHIN: Duration = Duration::from_millis(1000);

static NEXT_KEY: AtomicU64 = AtomicU64::new(0);

/// Has another client ask for a second, on a new connection each time; returns how long it took at most.
fn longest_answer(program: &Program) -> Duration {
    let (since, mut longest) = (Instant::now(), Duration::ZERO);
    while since.elapsed() < Duration::from_secs(1) {
        let began = Instant::now();
        assert_eq!(exchange(program.http, &Request::new("queue-status", b"a").http()).body, b"made:a");
        longest = longest.max(began.elapsed());
    }
    longest
}

#[test]
fn clients_that_send_many_requests_at_once_do_not_keep_others_waiting() {
    // Guards against connections that always have a next request at hand: the program did not poll the other ones
    // meanwhile.
    let agent = Agent::start(6, Duration::from_millis(2), false);
    let program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    let checks = b"GET /check HTTP/1.1\r\n\r\n".repeat(1_000);
    let _flood = Flood::start(program.http, 200, b"", move || checks.clone());
    let longest = longest_answer(&program);
    assert!(longest < SERVED_WITHIN, "{longest:?}");
}

#[test]
fn clients_that_never_end_a_body_do_not_keep_others_waiting() {
    // Guards against the reading of refused bodies that leaves no time for anything else.
    let agent = Agent::start(6, Duration::from_millis(2), false);
    let program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    let head = b"POST /do/queue-status HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n";
    let _flood = Flood::start(program.http, 400, head, || vec![b'z'; 1 << 18]);
    let longest = longest_answer(&program);
    assert!(longest < SERVED_WITHIN, "{longest:?}");
}

#[test]
fn a_client_that_sends_ever_new_keys_does_not_keep_others_waiting() {
    // Guards against keys of served requests that fill the memory of the work: other requests were held until they were
    // refused, for the window of the keys.
    let agent = Agent::start(6, Duration::from_millis(2), false);
    let program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    let new_key =
        || Request::keyed(&format!("key {}", NEXT_KEY.fetch_add(1, Ordering::Relaxed)), b"k").http();
    let _flood = Flood::start(program.http, 3, b"", new_key);
    wait_for("the keys", || agent.launches().len() > 100);
    let longest = longest_answer(&program);
    assert!(longest < SERVED_WITHIN, "{longest:?}");
}

#[test]
fn the_memory_limit_bounds_the_connections_of_clients() {
    // Guards against half-written requests of many clients that fill the memory: only descriptors bounded connections.
    let agent = Agent::start(1, Duration::from_millis(2), false);
    let setup = Setup { memory_mb: Some(8), sockets: Some(1024), ..Setup::default() };
    let program = Program::start(Setup { agent: Some(agent.address), ..setup });
    let half_written = || {
        let mut stream = connect(program.http);
        stream.write_all(b"POST /do/queue-status HTTP/1.1\r\nX-Pad: p").unwrap();
        stream
    };
    let before = program.descriptors();
    let _clients: Vec<_> = (0..300).map(|_| half_written()).collect();
    assert_eq!(exchange(program.http, &Request::new("queue-status", b"a").http()).body, b"made:a");
    // 8 MB allow 102 connections, and 16 may be closing besides.
    let open = program.descriptors() - before;
    assert!(open <= 102 + 16, "{open} connections");
}

#[test]
fn the_memory_limit_bounds_the_keys_of_clients() {
    // Guards against keys that take more memory than they are counted with.
    let agent = Agent::start(6, Duration::ZERO, false);
    let site = vec![(r#""kb_per_key": 117.75"#, r#""kb_per_key": 0.01"#)];
    let setup = Setup { memory_mb: Some(8), site, ..Setup::default() };
    let program = Program::start(Setup { agent: Some(agent.address), ..setup });
    let new_key =
        || Request::keyed(&format!("{:0>250}", NEXT_KEY.fetch_add(1, Ordering::Relaxed)), b"k").http();
    let before_kb = program.anonymous_kb();
    let _flood = Flood::start(program.http, 6, b"", new_key);
    wait_for("the refusal of new keys", || program.counter("refused") > 1_000);
    let growth_kb = program.anonymous_kb() - before_kb;
    // A quarter of 8 MB is for keys; connections, the log and what runs take the rest.
    assert!(growth_kb < 3 << 10, "{growth_kb} kB for {} keys", agent.launches().len());
}
