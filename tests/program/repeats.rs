//! Repeats of a key: inside and outside of its window, read late, and while the first try still waits.

use super::*;

/// A window much shorter than the deadlines, in milliseconds.
const WINDOW_MS: u64 = 300;
const SHORT_WINDOW: (&str, &str) = (r#""memory_span_us": 13356000"#, r#""memory_span_us": 300000"#);

/// Requests are run however late they are, up to their deadlines.
const PATIENT: (&str, &str) = (r#""promise_us": 1800000"#, r#""promise_us": 4500000"#);

/// Waits for a time on the system's clock, which the program reads too.
fn wait_for_time(unix: u64) {
    wait_for("the time", || unix_ms() >= unix);
}

/// A connection that was used before: it has its time for the rest of a request that it begins.
fn used_connection(program: &Program) -> std::net::TcpStream {
    let mut stream = connect(program.http);
    stream.write_all(&Request::new("queue-status", b"used").http()).unwrap();
    assert_eq!(read_answer(&mut stream).status, 200);
    stream
}

/// How often the agent was told to run a request with this body.
fn launches_of(agent: &Agent, body: &[u8]) -> usize {
    agent.launches().iter().filter(|(_, _, arg)| arg == body).count()
}

#[rstest]
#[case::came_earlier(-200, 1)]
#[case::came_together(0, 1)]
#[case::just_inside(WINDOW_MS as i64 - 1, 1)]
#[case::long_after(WINDOW_MS as i64 + 1_500, 2)]
fn the_window_counts_from_the_start_of_the_try_that_ran(#[case] later_ms: i64, #[case] launches: usize) {
    let agent = Agent::start(2, SHORT_RUN, false);
    let program = Program::start(Setup { site: vec![SHORT_WINDOW], ..with_agent(&agent) });
    let start = unix_ms();
    let first = Request { start_ms: Some(start), ..Request::keyed("k", b"x") };
    assert_eq!(exchange(program.http, &first.http()).status, 200);
    let start = start.saturating_add_signed(later_ms);
    wait_for_time(start);
    let repeat = Request { start_ms: Some(start), ..Request::keyed("k", b"x") };
    assert_eq!(exchange(program.http, &repeat.http()).body, b"made:x");
    assert_eq!(launches_of(&agent, b"x"), launches);
}

/// A window that ends while tries of it may still lie unread, in milliseconds.
const LATE_WINDOW_MS: u64 = 3_000;
const LATE_WINDOW: (&str, &str) = (r#""memory_span_us": 13356000"#, r#""memory_span_us": 3000000"#);

#[rstest]
#[case::within_the_deadline_of_its_class(PATIENT, 4_500, 4_500, 200)]
#[case::with_a_longer_one_of_its_own((r#""give_up_us": 4500000"#, r#""give_up_us": 400000"#), 400, 60_000, 500)]
fn a_repeat_inside_the_window_that_is_read_late_is_not_run_again(
    #[case] deadlines: (&'static str, &'static str),
    #[case] first_ms: u64,
    #[case] timeout_ms: u64,
    #[case] status: u16,
) {
    // Guards against a key that is forgotten a second after its window by the clock, while a try from within the
    // window is still unread and in time: it passed as new work and ran a second time.
    let agent = Agent::start(2, SHORT_RUN, false);
    let program = Program::start(Setup { site: vec![LATE_WINDOW, deadlines], ..with_agent(&agent) });
    let mut late = used_connection(&program);
    let start = unix_ms();
    let first = Request { start_ms: Some(start), timeout_ms: first_ms, ..Request::keyed("k", b"x") };
    assert_eq!(exchange(program.http, &first.http()).status, 200);
    let repeat = Request { start_ms: Some(start + LATE_WINDOW_MS - 1), timeout_ms, ..first };
    let bytes = repeat.http();
    let (most, last) = bytes.split_at(bytes.len() - 1);
    late.write_all(most).unwrap();
    // The window, the second, the deadline of the class if it is short, and the time between two looks for keys
    // that can be forgotten.
    wait_for_time(start + LATE_WINDOW_MS + 1_000 + 1_000 + if first_ms < 1_000 { 800 } else { 100 });
    late.write_all(last).unwrap();
    let answer = read_answer(&mut late);
    assert_eq!((launches_of(&agent, b"x"), answer.status), (1, status), "one run for a key and its window");
}

#[test]
fn a_request_that_is_held_for_longer_than_its_window_is_still_run() {
    // Guards against a server that runs no keyed request at all once its hold is longer than a short window: the
    // module forgot the key of a try that was still held, and started none without.
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
fn a_repeat_waits_for_a_run_whose_own_caller_is_gone() {
    let agent = Agent::start(1, Duration::from_millis(400), false);
    let program = Program::start(with_agent(&agent));
    let mut gone = connect(program.http);
    gone.write_all(&Request::keyed("k", b"x").http()).unwrap();
    wait_for("the launch", || agent.launches().len() == 1);
    drop(gone);
    assert_eq!(exchange(program.http, &Request::keyed("k", b"x").http()).body, b"made:x");
    assert_eq!(agent.launches().len(), 1);
}

#[test]
fn a_repeat_of_what_a_new_process_ran_is_not_run_by_the_old_one_however_late_it_is_read() {
    // Guards against a key that the new process ran before it went away, and the old one runs again: it kept keys
    // back for a window by the clock, not by when a try came.
    let (old_agent, new_agent) = (Agent::start(1, SHORT_RUN, false), Agent::start(1, SHORT_RUN, false));
    let site = vec![LATE_WINDOW, (r#""memory_span_us": 5000000"#, r#""memory_span_us": 3000000"#), PATIENT];
    let old = Program::start(Setup { site, ..with_agent(&old_agent) });
    let new = old.successor(&old_agent, &new_agent);
    let first = Request { start_ms: Some(unix_ms()), ..Request::keyed("k", b"x") };
    assert_eq!(exchange(new.http, &first.http()).status, 200);
    drop(new);
    wait_for("the old process", || {
        let mut stream = connect(old.http);
        let _ = stream.write_all(&Request::new("queue-status", b"a").http());
        let mut status = [0; 12];
        stream.read_exact(&mut status).is_ok() && status.ends_with(b"200")
    });
    let knows = unix_ms();
    let mut late = used_connection(&old);
    let start_ms = first.start_ms.map(|start| start + LATE_WINDOW_MS - 1);
    let bytes = Request { start_ms, timeout_ms: 4_500, ..first }.http();
    let (most, last) = bytes.split_at(bytes.len() - 1);
    late.write_all(most).unwrap();
    wait_for_time(knows + LATE_WINDOW_MS + 20);
    late.write_all(last).unwrap();
    let answer = read_answer(&mut late);
    let launches = [&old_agent, &new_agent].map(|agent| launches_of(agent, b"x"));
    assert_eq!((launches, answer.status), ([0, 1], 503));
}

#[test]
fn a_start_in_a_far_future_does_not_break_the_link_to_the_new_process() {
    // Guards against one caller's field that ends the link between two processes, and with it every request that
    // was passed on: a time past 64 bits of microseconds could not be read there.
    let (old_agent, new_agent) = (Agent::start(1, SHORT_RUN, false), Agent::start(1, SHORT_RUN, false));
    let old = Program::start(with_agent(&old_agent));
    let (mut far, mut near) = (used_connection(&old), used_connection(&old));
    let bytes = [
        Request { start_ms: Some(u64::MAX), ..Request::new("queue-status", b"far") }.http(),
        Request { timeout_ms: 9_000, ..Request::new("queue-status", b"near") }.http(),
    ];
    let [far_bytes, near_bytes] = bytes.each_ref().map(|b| b.split_at(b.len() - 1));
    // With a part of a request they are not closed as idle meanwhile.
    far.write_all(far_bytes.0).unwrap();
    near.write_all(near_bytes.0).unwrap();
    let _new = old.successor(&old_agent, &new_agent);
    far.write_all(far_bytes.1).unwrap();
    assert_eq!(read_answer(&mut far).body, b"made:far");
    near.write_all(near_bytes.1).unwrap();
    assert_eq!(read_answer(&mut near).body, b"made:near");
}

#[test]
fn keys_that_never_ran_take_no_memory_for_their_window() {
    // Guards against a flood of keyed requests, all turned away, that fills the memory of a server with a long window.
    let agent = Agent::start(1, SHORT_RUN, false);
    let site = vec![
        (r#""memory_span_us": 13356000"#, r#""memory_span_us": 86400000000"#),
        (r#""give_up_us": 4500000"#, r#""give_up_us": 300000"#),
        (r#""promise_us": 1800000"#, r#""promise_us": 300000"#),
        // Nothing fits, and so nothing runs.
        (r#""memory_kb": 34680.0"#, r#""memory_kb": 20"#),
    ];
    let program = Program::start(Setup { site, ..with_agent(&agent) });
    let mut stream = connect(program.http);
    let mut turned_away = |count: usize, from: usize| {
        for n in from..from + count {
            stream.write_all(&Request::keyed(&format!("key {n}"), b"x").http()).unwrap();
            assert_eq!(read_answer(&mut stream).status, 503);
        }
    };
    turned_away(1_000, 0);
    let before = program.resident_kb();
    turned_away(15_000, 1_000);
    let more = program.resident_kb().saturating_sub(before);
    assert!(more < 3_000, "{more} kB for 15,000 keys");
}
