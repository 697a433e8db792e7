//! The program's clock: time since the Unix epoch that only goes forward, and where it stands beside the wall clock.
//!
//! Deadlines, windows and graces are spans of real time, counted on the system's monotonic clock. Others state times of
//! the wall clock, which may be stepped at any moment. So each step is noted, with the time around it; a stamp is read by
//! the wall clock as it was when it was made: a time after a step cannot have been stamped by the clock of before. A stamp
//! that was, all the same, shows that the callers' own clock took no part in the step.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Less than this is no step: the two clocks are read one after the other, and the wall clock is slewed.
const LEAST_STEP_US: i64 = 10_000;
/// A reading of the wall clock is good to so much; where the thread was held up in between, it is taken again.
const READING_ERROR: Duration = Duration::from_millis(1);
/// Readings that are tried one after the other.
const MOST_READINGS: usize = 8;
/// Steps that are kept.
const MOST_STEPS: usize = 16;
/// For so long after a step, stamps that lie in the future may be of either side of it.
const STEP_IN_TRANSIT: Duration = Duration::from_secs(5);

/// A time in which the wall clock was not stepped.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Epoch {
    /// What the wall clock shows beyond this clock.
    offset_us: i64,
    /// The step that began it came after this.
    after: Duration,
    /// It had begun by then.
    by: Duration,
}

/// The wall clock's steps, without I/O.
#[derive(Debug, Default)]
pub struct WallClock {
    /// The newest last.
    epochs: VecDeque<Epoch>,
    /// The same for the clock by which callers stamp, without steps that it took no part in.
    callers: VecDeque<Epoch>,
    observed: Duration,
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

fn push_bounded(epochs: &mut VecDeque<Epoch>, epoch: Epoch) {
    epochs.push_back(epoch);
    if epochs.len() > MOST_STEPS {
        epochs.pop_front();
    }
}

/// A time in signed microseconds; before the epoch there is none.
fn from_micros(us: i64) -> Duration {
    Duration::from_micros(u64::try_from(us).unwrap_or_default())
}

impl WallClock {
    /// At `now`, the wall clock shows `wall`.
    pub fn observe(&mut self, now: Duration, wall: Duration) {
        let offset_us = micros(wall).saturating_sub(micros(now));
        match self.epochs.back_mut() {
            Some(epoch) if (offset_us - epoch.offset_us).abs() < LEAST_STEP_US => epoch.offset_us = offset_us,
            before => {
                let step_us = before.map_or(0, |epoch| offset_us - epoch.offset_us);
                let callers_us = self.callers.back().map_or(offset_us, |epoch| epoch.offset_us + step_us);
                let (after, by) = (self.observed, now);
                push_bounded(&mut self.epochs, Epoch { offset_us, after, by });
                push_bounded(&mut self.callers, Epoch { offset_us: callers_us, after, by });
            }
        }
        self.observed = now;
    }

    /// Steps that are known.
    pub fn step_count(&self) -> usize {
        self.epochs.len().saturating_sub(1)
    }

    /// When a moment that lies in the past by now was, which a caller stamped so.
    pub fn resolve_past(&mut self, stamp: Duration, now: Duration) -> Duration {
        let Some(&newest) = self.callers.back() else { return stamp.min(now) };
        let mut end = now;
        for (place, epoch) in self.callers.iter().enumerate().rev() {
            let at = micros(stamp).saturating_sub(epoch.offset_us);
            let is_after = place == 0 || at >= micros(epoch.after) - LEAST_STEP_US;
            if is_after && at <= micros(end) + LEAST_STEP_US {
                return from_micros(at).min(now);
            }
            end = epoch.by;
        }
        if let Some(at) = self.past_unstepped(stamp, newest, now) {
            return at;
        }
        // Of no time that is known: a clock elsewhere runs ahead.
        from_micros(micros(stamp).saturating_sub(newest.offset_us)).min(now)
    }

    /// When a stamp was made that only a clock of before the last step can have made, behind that step: the callers' clock
    /// was not stepped, and is not taken for stepped any more.
    fn past_unstepped(&mut self, stamp: Duration, newest: Epoch, now: Duration) -> Option<Duration> {
        let earlier = self.callers.len().checked_sub(1)?;
        for place in (0..earlier).rev() {
            let at = micros(stamp).saturating_sub(self.callers[place].offset_us);
            if at >= micros(newest.after) && at <= micros(now) + LEAST_STEP_US {
                self.callers.truncate(place + 1);
                return Some(from_micros(at).min(now));
            }
        }
        None
    }

    /// When a moment may be at the latest that lies in the future, and which another process wrote as `stamp` a moment ago:
    /// the wall clock may have been stepped in between.
    pub fn resolve_future(&self, stamp: Duration, now: Duration) -> Duration {
        let mut latest = None;
        let mut end = now;
        for epoch in self.epochs.iter().rev() {
            if latest.is_some() && end + STEP_IN_TRANSIT < now {
                break;
            }
            latest = latest.max(Some(from_micros(micros(stamp).saturating_sub(epoch.offset_us))));
            end = epoch.by;
        }
        latest.unwrap_or(stamp)
    }

    /// What the wall clock shows, by its last reading, when this clock shows `at`.
    pub fn wall_time_at(&self, at: Duration) -> Duration {
        let offset = self.epochs.back().map_or(0, |epoch| epoch.offset_us);
        from_micros(micros(at).saturating_add(offset))
    }
}

/// The program's clock.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    unix: Duration,
    wall: Mutex<WallClock>,
}

impl Clock {
    /// Starts with what the wall clock shows.
    pub fn new() -> Self {
        let clock = Self { start: Instant::now(), unix: read_wall(), wall: Mutex::default() };
        clock.observe_wall_clock();
        clock
    }

    /// The time now.
    pub fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }

    /// Notes whether the wall clock was stepped; to be called now and then.
    pub fn observe_wall_clock(&self) {
        drop(self.observe());
    }

    /// When a caller's stamp of the wall clock was made.
    pub fn resolve_past(&self, stamp: Duration) -> Duration {
        let mut wall = self.observe();
        wall.resolve_past(stamp, self.now())
    }

    /// When a moment in the future is that another process wrote down just now.
    pub fn resolve_future(&self, stamp: Duration) -> Duration {
        self.observe().resolve_future(stamp, self.now())
    }

    /// A time of this clock as the wall clock shows it, for another process.
    pub fn to_wall(&self, at: Duration) -> Duration {
        self.observe().wall_time_at(at)
    }

    /// Steps of the wall clock so far.
    pub fn step_count(&self) -> usize {
        self.lock().step_count()
    }

    fn lock(&self) -> MutexGuard<'_, WallClock> {
        self.wall.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn observe(&self) -> MutexGuard<'_, WallClock> {
        let mut wall = self.lock();
        for _ in 0..MOST_READINGS {
            let before = self.now();
            let shown = read_wall();
            let now = self.now();
            // A thread that was held up between the two would see a step where there is none.
            if now.saturating_sub(before) <= READING_ERROR {
                wall.observe(now, shown);
                break;
            }
        }
        wall
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

fn read_wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
