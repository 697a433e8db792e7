//! The wall clock is stepped while the program runs: deadlines, windows and grace periods are spans of real time.

use std::io::Write;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use hopwalk::lab::shim::{Dial, Shim};
use rstest::rstest;

use crate::harness::*;

const SHORT_RUN: Duration = Duration::from_millis(5);
const HOUR_MS: i64 = 3_600_000;

/// The fault injection library, built once for all tests.
pub fn shim() -> &'static Shim {
    static SHIM: OnceLock<(ScratchDir, Shim)> = OnceLock::new();
    let (_, shim) = SHIM.get_or_init(|| {
        let dir = ScratchDir::new();
        let shim = Shim::build(&dir.path("")).unwrap();
        (dir, shim)
    });
    shim
}

fn start(agent: &Agent) -> Program {
    Program::start(Setup {
        agent: Some(agent.address),
        vault: Some(vault()),
        shim: Some(shim()),
        ..Setup::default()
    })
}

fn step_wall_clock(program: &Program, by_ms: i64) {
    program.faults().set(Dial::WallOffsetUs, by_ms * 1000).unwrap();
}

/// The request as a caller sends it whose clock was stepped as well.
fn with_stepped_start(request: Request, by_ms: i64) -> Request {
    Request { start_ms: unix_ms().checked_add_signed(by_ms), ..request }
}

#[rstest]
#[case::back(-HOUR_MS)]
#[case::forward(HOUR_MS)]
#[case::back_by_seconds(-3_000)]
#[case::forward_by_seconds(5_000)]
fn requests_are_served_before_and_after_a_clock_step(#[case] by_ms: i64) {
    // Guards against a clock that is read only once: after a step back by an hour every request seems an hour old.
    let agent = Agent::start(1, SHORT_RUN, false);
    let program = start(&agent);
    let request = || Request::new("queue-status", b"a");
    assert_eq!(exchange(program.http, &request().http()).body, b"made:a");
    let from_before = Request { start_ms: Some(unix_ms()), ..request() };
    step_wall_clock(&program, by_ms);
    for _ in 0..3 {
        assert_eq!(exchange(program.http, &with_stepped_start(request(), by_ms).http()).body, b"made:a");
    }
    // Stamped before the step, and read after it.
    assert_eq!(exchange(program.http, &from_before.http()).body, b"made:a");
    // Stamped by a clock that was not stepped.
    assert_eq!(exchange(program.http, &request().http()).body, b"made:a");
    step_wall_clock(&program, 0);
    assert_eq!(exchange(program.http, &request().http()).body, b"made:a");
}

#[rstest]
#[case::back(-HOUR_MS)]
#[case::forward(HOUR_MS)]
fn a_repeat_after_a_clock_step_is_not_run_again(#[case] by_ms: i64) {
    // Guards against windows that are judged by the timestamp of another clock.
    let agent = Agent::start(1, SHORT_RUN, false);
    let program = start(&agent);
    let request = || Request::keyed("k", b"a");
    assert_eq!(exchange(program.http, &request().http()).body, b"made:a");
    step_wall_clock(&program, by_ms);
    for repeat in [request(), with_stepped_start(request(), by_ms)] {
        assert_eq!(exchange(program.http, &repeat.http()).body, b"made:a");
    }
    assert_eq!(agent.launches().len(), 1);
}

#[rstest]
#[case::back(-HOUR_MS)]
#[case::forward(HOUR_MS)]
fn a_deadline_is_a_span_of_real_time_across_a_clock_step(#[case] by_ms: i64) {
    let agent = Agent::start(1, Duration::from_secs(60), false);
    let program = start(&agent);
    let since = Instant::now();
    let mut before = connect(program.http);
    let request = || Request { timeout_ms: 1300, ..Request::new("queue-status", b"") };
    before.write_all(&request().http()).unwrap();
    wait_for("the launch", || agent.launches().len() == 1);
    step_wall_clock(&program, by_ms);
    let mut after = connect(program.http);
    after.write_all(&with_stepped_start(request(), by_ms).http()).unwrap();
    for stream in [&mut before, &mut after] {
        assert_eq!(read_answer(stream).status, 500);
        let took = since.elapsed();
        assert!((Duration::from_millis(900)..Duration::from_millis(1450)).contains(&took), "{took:?}");
    }
}

#[rstest]
#[case::back(-HOUR_MS)]
#[case::forward(HOUR_MS)]
fn a_key_handed_over_across_a_clock_step_is_not_run_again(#[case] by_ms: i64) {
    // Guards against a handover of absolute times between two processes that read the wall clock at different
    // moments.
    let agent = Agent::start(1, SHORT_RUN, false);
    let program = start(&agent);
    let request = || Request::keyed("k", b"a");
    assert_eq!(exchange(program.http, &request().http()).body, b"made:a");
    step_wall_clock(&program, by_ms);
    let new_agent = agent.moved();
    let new = program.successor(&agent, &new_agent);
    let answer = exchange(new.http, &with_stepped_start(request(), by_ms).http());
    assert_eq!((answer.status, &answer.body[..]), (200, &b"made:a"[..]));
    assert_eq!(agent.launches().len(), 1);
}
