//! Stamps of a wall clock that is stepped, told apart by when the step came.

use std::time::Duration;

use hopwalk::net::clock::WallClock;
use rstest::rstest;

const START_MS: u64 = 10_000_000;
const HOUR_MS: i64 = 3_600_000;

fn ms(at: u64) -> Duration {
    Duration::from_millis(START_MS + at)
}

/// What the wall clock shows at a time, set off by so much.
fn shown(at: u64, offset_ms: i64) -> Duration {
    Duration::from_millis((START_MS + at).checked_add_signed(offset_ms).unwrap())
}

/// A clock that was looked at every 100 ms and stepped right after 1,000.
fn stepped(by_ms: i64, until: u64) -> WallClock {
    let mut clock = WallClock::default();
    for at in (0..=until).step_by(100) {
        clock.observe(ms(at), shown(at, if at > 1_000 { by_ms } else { 0 }));
    }
    clock
}

#[rstest]
fn a_stamp_is_read_by_the_clock_that_made_it(
    #[values(-HOUR_MS, -2_000, 2_000, HOUR_MS)] by_ms: i64,
    #[values(0, 500, 990, 1_010, 1_500, 1_990)] made: u64,
) {
    let mut clock = stepped(by_ms, 2_000);
    let offset_ms = if made > 1_000 { by_ms } else { 0 };
    let read = clock.resolve_past(shown(made, offset_ms), ms(2_000));
    // A step back has times that the wall clock shows twice: the younger reading counts.
    let again = made < 1_000 && by_ms < 0 && made as i64 - by_ms <= 2_000;
    let expected = if again { ms(made.checked_add_signed(-by_ms).unwrap()) } else { ms(made) };
    assert_eq!(read, expected);
    assert_eq!(clock.step_count(), 1);
}

#[test]
fn a_stamp_of_before_the_start_keeps_its_age_and_one_of_the_future_is_of_now() {
    let mut clock = stepped(0, 2_000);
    let early = Duration::from_millis(START_MS - 30_000);
    assert_eq!(clock.resolve_past(early, ms(2_000)), early);
    assert_eq!(clock.resolve_past(shown(2_000, HOUR_MS), ms(2_000)), ms(2_000));
    assert_eq!(clock.step_count(), 0);
}

#[test]
fn a_slow_drift_is_no_step() {
    let mut clock = WallClock::default();
    for at in 0..1_000 {
        clock.observe(ms(at * 1_000), shown(at * 1_000, at as i64 / 2));
    }
    assert_eq!(clock.step_count(), 0);
    assert_eq!(clock.resolve_past(shown(999_000, 499), ms(999_000)), ms(999_000));
}

#[rstest]
fn the_end_of_a_window_is_never_read_too_early(
    #[values(-HOUR_MS, -2_000, 2_000, HOUR_MS)] by_ms: i64,
    #[values(true, false)] written_after: bool,
) {
    let clock = stepped(by_ms, 1_200);
    let written = shown(9_000, if written_after { by_ms } else { 0 });
    assert!(clock.resolve_future(written, ms(1_200)) >= ms(9_000));
    let later = stepped(by_ms, 10_000);
    assert_eq!(
        later.resolve_future(shown(12_000, by_ms), ms(10_000)),
        ms(12_000),
        "a step long ago does not count"
    );
    assert_eq!(later.wall_time_at(ms(12_000)), shown(12_000, by_ms));
}

#[test]
fn many_steps_are_bounded_and_the_newest_count() {
    let mut clock = WallClock::default();
    for at in 0..100 {
        clock.observe(ms(at * 1_000), shown(at * 1_000, at as i64 * 5_000));
    }
    assert!(clock.step_count() < 20);
    assert_eq!(clock.resolve_past(shown(98_500, 98 * 5_000), ms(99_000)), ms(98_500));
}

#[rstest]
fn callers_whose_clock_takes_no_part_in_a_step_are_read_as_before(
    #[values(-HOUR_MS, -2_000, 2_000, HOUR_MS)] by_ms: i64,
) {
    // Guards against an age of a whole step where only this machine's clock was set.
    let mut clock = stepped(by_ms, 1_500);
    for made in [1_450, 1_500] {
        assert_eq!(clock.resolve_past(shown(made, 0), ms(1_500)), ms(made));
    }
    for at in (1_600..=20_000).step_by(100) {
        clock.observe(ms(at), shown(at, by_ms));
    }
    assert_eq!(clock.resolve_past(shown(19_900, 0), ms(20_000)), ms(19_900), "long after the step as well");
    // This machine's own times go by its own clock.
    assert_eq!(clock.wall_time_at(ms(20_000)), shown(20_000, by_ms));
    // And the next step may be one that they take part in.
    for at in (20_100..=21_000).step_by(100) {
        clock.observe(ms(at), shown(at, by_ms + 5_000));
    }
    assert_eq!(clock.resolve_past(shown(20_950, 5_000), ms(21_000)), ms(20_950));
}
