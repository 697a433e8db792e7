//! Conversion of wall-clock stamps when the wall clock is stepped.

use std::time::Duration;

use hopwalk::net::clock::WallClock;
use rstest::rstest;

const START_MS: u64 = 10_000_000;
const HOUR_MS: i64 = 3_600_000;

fn ms(at: u64) -> Duration {
    Duration::from_millis(START_MS + at)
}

/// The wall-clock time at a time of the program's clock, for a given offset.
fn wall(at: u64, offset_ms: i64) -> Duration {
    Duration::from_millis((START_MS + at).checked_add_signed(offset_ms).unwrap())
}

/// A clock that was observed every 100 ms and stepped immediately after 1,000 ms.
fn stepped(by_ms: i64, until: u64) -> WallClock {
    let mut clock = WallClock::default();
    for at in (0..=until).step_by(100) {
        clock.observe(ms(at), wall(at, if at > 1_000 { by_ms } else { 0 }));
    }
    clock
}

#[rstest]
fn a_stamp_is_converted_by_the_clock_that_made_it(
    #[values(-HOUR_MS, -2_000, 2_000, HOUR_MS)] by_ms: i64,
    #[values(0, 500, 990, 1_010, 1_500, 1_990)] made: u64,
) {
    let mut clock = stepped(by_ms, 2_000);
    let offset_ms = if made > 1_000 { by_ms } else { 0 };
    let read = clock.resolve_past(wall(made, offset_ms), ms(2_000));
    // After a step back the wall clock shows some times twice: the later one counts.
    let is_shown_twice = made < 1_000 && by_ms < 0 && made as i64 - by_ms <= 2_000;
    let expected = if is_shown_twice { ms(made.checked_add_signed(-by_ms).unwrap()) } else { ms(made) };
    assert_eq!(read, expected);
    assert_eq!(clock.step_count(), 1);
}

#[test]
fn a_stamp_before_the_start_keeps_its_age_and_a_future_one_becomes_now() {
    let mut clock = stepped(0, 2_000);
    let early = Duration::from_millis(START_MS - 30_000);
    assert_eq!(clock.resolve_past(early, ms(2_000)), early);
    assert_eq!(clock.resolve_past(wall(2_000, HOUR_MS), ms(2_000)), ms(2_000));
    assert_eq!(clock.step_count(), 0);
}

#[test]
fn a_slow_drift_is_not_a_step() {
    let mut clock = WallClock::default();
    for at in 0..1_000 {
        clock.observe(ms(at * 1_000), wall(at * 1_000, at as i64 / 2));
    }
    assert_eq!(clock.step_count(), 0);
    assert_eq!(clock.resolve_past(wall(999_000, 499), ms(999_000)), ms(999_000));
}

#[rstest]
fn the_end_of_a_window_is_never_converted_to_an_earlier_time(
    #[values(-HOUR_MS, -2_000, 2_000, HOUR_MS)] by_ms: i64,
    #[values(true, false)] written_after: bool,
) {
    let clock = stepped(by_ms, 1_200);
    let stamp = wall(9_000, if written_after { by_ms } else { 0 });
    assert!(clock.resolve_future(stamp, ms(1_200)) >= ms(9_000));
    let later = stepped(by_ms, 10_000);
    assert_eq!(
        later.resolve_future(wall(12_000, by_ms), ms(10_000)),
        ms(12_000),
        "a step long ago does not count"
    );
    assert_eq!(later.wall_time_at(ms(12_000)), wall(12_000, by_ms));
}

#[test]
fn only_the_newest_of_many_steps_are_kept() {
    let mut clock = WallClock::default();
    for at in 0..100 {
        clock.observe(ms(at * 1_000), wall(at * 1_000, at as i64 * 5_000));
    }
    assert!(clock.step_count() < 20);
    assert_eq!(clock.resolve_past(wall(98_500, 98 * 5_000), ms(99_000)), ms(98_500));
}

#[rstest]
fn stamps_of_clients_whose_clock_is_not_stepped_are_converted_as_before(
    #[values(-HOUR_MS, -2_000, 2_000, HOUR_MS)] by_ms: i64,
) {
    // Guards against ages that are wrong by the whole step if only this machine's clock was set.
    let mut clock = stepped(by_ms, 1_500);
    for made in [1_450, 1_500] {
        assert_eq!(clock.resolve_past(wall(made, 0), ms(1_500)), ms(made));
    }
    for at in (1_600..=20_000).step_by(100) {
        clock.observe(ms(at), wall(at, by_ms));
    }
    assert_eq!(clock.resolve_past(wall(19_900, 0), ms(20_000)), ms(19_900), "long after the step as well");
    // Times of this machine follow its own clock.
    assert_eq!(clock.wall_time_at(ms(20_000)), wall(20_000, by_ms));
    // The clients' clock may take part in the next step.
    for at in (20_100..=21_000).step_by(100) {
        clock.observe(ms(at), wall(at, by_ms + 5_000));
    }
    assert_eq!(clock.resolve_past(wall(20_950, 5_000), ms(21_000)), ms(20_950));
}
