//! Repeats of a key: inside and outside of its window, read late, and while the first try still waits.

use super::*;

/// A window much shorter than the deadlines, in milliseconds.
const WINDOW_MS: u64 = 300;
const SHORT_WINDOW: (&str, &str) = (r#""memory_span_us": 13356000"#, r#""memory_span_us": 300000"#);

/// With this setting requests are run however late they are, up to their deadlines.
const LONG_PROMISE: (&str, &str) = (r#""promise_us": 1800000"#, r#""promise_us": 4500000"#);

/// Waits until a time of the system clock, which the program reads too.
fn wait_until_unix_ms(time_ms: u64) {
    wait_for("the time", || unix_ms() >= time_ms);
}

/// Opens a connection and uses it once: unlike on a new connection, the program then waits the full time for the rest
/// of a request that has begun.
fn used_connection(program: &Program) -> std::net::TcpStream {
    let mut stream = connect(program.http);
    stream.write_all(&Request::new("queue-status", b"used").http()).unwrap();
    assert_eq!(read_answer(&mut stream).status, 200);
    stream
}

/// The number of launches of requests with this body.
fn launches_of(agent: &Agent, body: &[u8]) -> usize {
    agent.launches().iter().filter(|(_, _, arg)| arg == body).count()
}

#[rstest]
#[case::started_earlier(-200, 1)]
#[case::started_at_the_same_time(0, 1)]
#[case::just_inside(WINDOW_MS as i64 - 1, 1)]
#[case::long_after(WINDOW_MS as i64 + 1_500, 2)]
fn the_window_counts_from_the_start_of_the_try_that_ran(#[case] later_ms: i64, #[case] launches: usize) {
    let agent = Agent::start(2, SHORT_RUN, false);
    let program = Program::start(Setup { site: vec![SHORT_WINDOW], ..with_agent(&agent) });
    let start = unix_ms();
    let first = Request { start_ms: Some(start), ..Request::keyed("k", b"x") };
    assert_eq!(exchange(program.http, &first.http()).status, 200);
    let start = start.saturating_add_signed(later_ms);
    wait_until_unix_ms(start);
    let repeat = Request { start_ms: Some(start), ..Request::keyed("k", b"x") };
    assert_eq!(exchange(program.http, &repeat.http()).body, b"made:x");
    assert_eq!(launches_of(&agent, b"x"), launches);
}

/// A window that ends while tries from within it may still be unread, in milliseconds.
const LATE_WINDOW_MS: u64 = 3_000;
const LATE_WINDOW: (&str, &str) = (r#""memory_span_us": 13356000"#, r#""memory_span_us": 3000000"#);

#[rstest]
#[case::within_the_deadline_of_its_class(LONG_PROMISE, 4_500, 4_500, 200)]
#[case::within_a_longer_deadline_of_its_own((r#""give_up_us": 4500000"#, r#""give_up_us": 400000"#), 400, 60_000, 500)]
fn a_repeat_inside_the_window_that_is_read_late_is_not_run_again(
    #[case] deadlines: (&'static str, &'static str),
    #[case] first_ms: u64,
    #[case] timeout_ms: u64,
    #[case] status: u16,
) {
    // Guards against a key that is forgotten one second after its window by the clock, while a try from within the
    // window is still unread and within its deadline: that try was taken for a new request and ran a second time.
    let agent = Agent::start(2, SHORT_RUN, false);
    let program = Program::start(Setup { site: vec![LATE_WINDOW, deadlines], ..with_agent(&agent) });
    let mut late = used_connection(&program);
    let start = unix_ms();
    let first = Request { start_ms: Some(start), timeout_ms: first_ms, ..Request::keyed("k", b"x") };
    assert_eq!(exchange(program.http, &first.http()).status, 200);
    let repeat = Request { start_ms: Some(start + LATE_WINDOW_MS - 1), timeout_ms, ..first };
    let bytes = repeat.http();
    let (head, last) = bytes.split_at(bytes.len() - 1);
    late.write_all(head).unwrap();
    // The window, the second, the deadline of the class if it is short, and the interval between two searches for
    // expired keys.
    wait_until_unix_ms(start + LATE_WINDOW_MS + 1_000 + 1_000 + if first_ms < 1_000 { 800 } else { 100 });
    late.write_all(last).unwrap();
    let answer = read_answer(&mut late);
    assert_eq!((launches_of(&agent, b"x"), answer.status), (1, status), "one run for a key and its window");
}

#[test]
fn a_request_that_is_held_for_longer_than_its_window_is_still_run() {
    // Guards against a server that runs no keyed request at all once it holds requests for longer than a short
    // window: the decision module forgot the key of a try that was still held, and started no keyed request without
    // it.
    let agent = Agent::start(1, Duration::from_millis(900), false);
    let site = vec![SHORT_WINDOW, (r#""cores": 6"#, r#""cores": 1"#)];
    let program = Program::start(Setup { site, ..with_agent(&agent) });
    let (mut running, mut held) = (connect(program.http), connect(program.http));
    running.write_all(&Request { timeout_ms: 4_000, ..Request::new("queue-status", b"r") }.http()).unwrap();
    wait_for("the launch", || agent.launches().len() == 1);
    held.write_all(&Request { timeout_ms: 4_000, ..Request::keyed("k", b"x") }.http()).unwrap();
    assert_eq!(read_answer(&mut running).body, b"made:r");
    assert_eq!(read_answer(&mut held).body, b"made:x");
}

#[test]
fn a_repeat_waits_for_a_run_whose_own_caller_has_disconnected() {
    let agent = Agent::start(1, Duration::from_millis(400), false);
    let program = Program::start(with_agent(&agent));
    let mut first = connect(program.http);
    first.write_all(&Request::keyed("k", b"x").http()).unwrap();
    wait_for("the launch", || agent.launches().len() == 1);
    drop(first);
    assert_eq!(exchange(program.http, &Request::keyed("k", b"x").http()).body, b"made:x");
    assert_eq!(agent.launches().len(), 1);
}

#[test]
fn a_repeat_of_a_key_that_a_successor_ran_is_not_run_by_the_predecessor_however_late_it_is_read() {
    // Guards against a key that the successor ran before it exited and that the predecessor runs again: it blocked
    // the successor's keys for one window by the clock, instead of by the arrival times of tries.
    let (old_agent, new_agent) = (Agent::start(1, SHORT_RUN, false), Agent::start(1, SHORT_RUN, false));
    let site =
        vec![LATE_WINDOW, (r#""memory_span_us": 5000000"#, r#""memory_span_us": 3000000"#), LONG_PROMISE];
    let old = Program::start(Setup { site, ..with_agent(&old_agent) });
    let new = old.successor(&old_agent, &new_agent);
    let first = Request { start_ms: Some(unix_ms()), ..Request::keyed("k", b"x") };
    assert_eq!(exchange(new.http, &first.http()).status, 200);
    drop(new);
    wait_for("an answer from the predecessor", || {
        let mut stream = connect(old.http);
        let _ = stream.write_all(&Request::new("queue-status", b"a").http());
        let mut status = [0; 12];
        stream.read_exact(&mut status).is_ok() && status.ends_with(b"200")
    });
    let serving_since = unix_ms();
    let mut late = used_connection(&old);
    let start_ms = first.start_ms.map(|start| start + LATE_WINDOW_MS - 1);
    let bytes = Request { start_ms, timeout_ms: 4_500, ..first }.http();
    let (head, last) = bytes.split_at(bytes.len() - 1);
    late.write_all(head).unwrap();
    wait_until_unix_ms(serving_since + LATE_WINDOW_MS + 20);
    late.write_all(last).unwrap();
    let answer = read_answer(&mut late);
    let launches = [&old_agent, &new_agent].map(|agent| launches_of(agent, b"x"));
    assert_eq!((launches, answer.status), ([0, 1], 503));
}

#[test]
fn a_start_time_in_the_far_future_does_not_break_the_link_to_the_successor() {
    // Guards against one caller's header field that breaks the link between two processes, and with it every
    // forwarded request: a time beyond 64 bits of microseconds could not be decoded there.
    let (old_agent, new_agent) = (Agent::start(1, SHORT_RUN, false), Agent::start(1, SHORT_RUN, false));
    let old = Program::start(with_agent(&old_agent));
    let (mut far, mut near) = (used_connection(&old), used_connection(&old));
    let bytes = [
        Request { start_ms: Some(u64::MAX), ..Request::new("queue-status", b"far") }.http(),
        Request { timeout_ms: 9_000, ..Request::new("queue-status", b"near") }.http(),
    ];
    let [far_bytes, near_bytes] = bytes.each_ref().map(|b| b.split_at(b.len() - 1));
    // A connection that holds part of a request is not closed as idle.
    far.write_all(far_bytes.0).unwrap();
    near.write_all(near_bytes.0).unwrap();
    let _successor = old.successor(&old_agent, &new_agent);
    far.write_all(far_bytes.1).unwrap();
    assert_eq!(read_answer(&mut far).body, b"made:far");
    near.write_all(near_bytes.1).unwrap();
    assert_eq!(read_answer(&mut near).body, b"made:near");
}

#[test]
fn keys_that_never_ran_take_no_memory_for_their_window() {
    // Guards against a flood of keyed requests, all refused, that fills the memory of a server with a long window.
    let agent = Agent::start(1, SHORT_RUN, false);
    let site = vec![
        (r#""memory_span_us": 13356000"#, r#""memory_span_us": 86400000000"#),
        (r#""give_up_us": 4500000"#, r#""give_up_us": 300000"#),
        (r#""promise_us": 1800000"#, r#""promise_us": 300000"#),
        // No request fits into the memory, so none runs.
        (r#""memory_kb": 34680.0"#, r#""memory_kb": 20"#),
    ];
    let program = Program::start(Setup { site, ..with_agent(&agent) });
    let mut stream = connect(program.http);
    let mut send_and_expect_refusal = |count: usize, from: usize| {
        for n in from..from + count {
            stream.write_all(&Request::keyed(&format!("key {n}"), b"x").http()).unwrap();
            assert_eq!(read_answer(&mut stream).status, 503);
        }
    };
    send_and_expect_refusal(1_000, 0);
    let before_kb = program.resident_kb();
    send_and_expect_refusal(15_000, 1_000);
    let growth_kb = program.resident_kb().saturating_sub(before_kb);
    assert!(growth_kb < 3_000, "{growth_kb} kB for 15,000 keys");
}
