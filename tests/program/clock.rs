//! The wall clock is stepped while the program runs: deadlines, windows and graces are spans of real time.

use std::io::Write;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use hopwalk::lab::shim::{Dial, Shim};
use rstest::rstest;

use crate::harness::*;

const SHORT_RUN: Duration = Duration::from_millis(5);
const HOUR_MS: i64 = 3_600_000;

/// The library of faults, built once for all tests.
pub fn shim() -> &'static Shim {
    static SHIM: OnceLock<(ScratchDir, Shim)> = OnceLock::new();
    let (_, shim) = SHIM.get_or_init(|| {
        let folder = ScratchDir::new();
        let shim = Shim::build(&folder.path("")).unwrap();
        (folder, shim)
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

fn step(program: &Program, by_ms: i64) {
    program.faults().set(Dial::WallOffsetUs, by_ms * 1000).unwrap();
}

/// The same request as of a caller whose clock was stepped as well.
fn stamped(request: Request, by_ms: i64) -> Request {
    Request { start_ms: unix_ms().checked_add_signed(by_ms), ..request }
}

#[rstest]
#[case::back(-HOUR_MS)]
#[case::forward(HOUR_MS)]
#[case::back_by_seconds(-3_000)]
#[case::forward_by_seconds(5_000)]
fn requests_are_served_on_both_sides_of_a_step(#[case] by_ms: i64) {
    // Guards against a clock that is read once: after a step back by an hour every request is an hour old.
    let agent = Agent::start(1, SHORT_RUN, false);
    let program = start(&agent);
    let request = || Request::new("queue-status", b"a");
    assert_eq!(exchange(program.http, &request().http()).body, b"made:a");
    let of_before = Request { start_ms: Some(unix_ms()), ..request() };
    step(&program, by_ms);
    for _ in 0..3 {
        assert_eq!(exchange(program.http, &stamped(request(), by_ms).http()).body, b"made:a");
    }
    // Stamped before the step, and read after it.
    assert_eq!(exchange(program.http, &of_before.http()).body, b"made:a");
    // Stamped by a clock that took no part in the step.
    assert_eq!(exchange(program.http, &request().http()).body, b"made:a");
    step(&program, 0);
    assert_eq!(exchange(program.http, &request().http()).body, b"made:a");
}

#[rstest]
#[case::back(-HOUR_MS)]
#[case::forward(HOUR_MS)]
fn a_repeat_across_a_step_is_not_run_again(#[case] by_ms: i64) {
    // Guards against windows that are judged from a stamp of another clock.
    let agent = Agent::start(1, SHORT_RUN, false);
    let program = start(&agent);
    let request = || Request::keyed("k", b"a");
    assert_eq!(exchange(program.http, &request().http()).body, b"made:a");
    step(&program, by_ms);
    for repeat in [request(), stamped(request(), by_ms)] {
        assert_eq!(exchange(program.http, &repeat.http()).body, b"made:a");
    }
    assert_eq!(agent.launches().len(), 1);
}

#[rstest]
#[case::back(-HOUR_MS)]
#[case::forward(HOUR_MS)]
fn a_deadline_across_a_step_is_a_span_of_real_time(#[case] by_ms: i64) {
    let agent = Agent::start(1, Duration::from_secs(60), false);
    let program = start(&agent);
    let since = Instant::now();
    let mut before = connect(program.http);
    let request = || Request { timeout_ms: 1300, ..Request::new("queue-status", b"") };
    before.write_all(&request().http()).unwrap();
    wait_for("the launch", || agent.launches().len() == 1);
    step(&program, by_ms);
    let mut after = connect(program.http);
    after.write_all(&stamped(request(), by_ms).http()).unwrap();
    for stream in [&mut before, &mut after] {
        assert_eq!(read_answer(stream).status, 500);
        let took = since.elapsed();
        assert!((Duration::from_millis(900)..Duration::from_millis(1450)).contains(&took), "{took:?}");
    }
}

#[rstest]
#[case::back(-HOUR_MS)]
#[case::forward(HOUR_MS)]
fn a_key_handed_over_across_a_step_is_not_run_again(#[case] by_ms: i64) {
    // Guards against two processes that hold the clock at different moments, and hand each other times.
    let agent = Agent::start(1, SHORT_RUN, false);
    let program = start(&agent);
    let request = || Request::keyed("k", b"a");
    assert_eq!(exchange(program.http, &request().http()).body, b"made:a");
    step(&program, by_ms);
    let next = agent.moved();
    let new = program.successor(&agent, &next);
    let answer = exchange(new.http, &stamped(request(), by_ms).http());
    assert_eq!((answer.status, &answer.body[..]), (200, &b"made:a"[..]));
    assert_eq!(agent.launches().len(), 1);
}
