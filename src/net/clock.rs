//! The program's clock: a monotonic time since the Unix epoch, and its relation to the wall clock.
//!
//! Deadlines, windows and graces are measured on the system's monotonic clock. Clients and other processes state times
//! of the wall clock (stamps), which may be stepped at any moment. So [`WallClock`] records each step and when it
//! happened, and a stamp is converted with the offset that the wall clock had when the stamp was made: a stamp made
//! after a step cannot come from the clock before it. A client's stamp that does so nevertheless shows that the
//! clients' clock was not stepped. [`Clock`] reads the two clocks and applies this.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A smaller difference is not a step: the two clocks are read one after the other, and the wall clock is slewed.
const MIN_STEP_US: i64 = 10_000;
/// The allowed uncertainty of a reading of the wall clock. If the thread was delayed for longer, the reading is
/// repeated.
const MAX_READING_ERROR: Duration = Duration::from_millis(1);
/// How often a reading is attempted.
const MAX_READINGS: usize = 8;
/// How many epochs, which are separated by steps, are kept.
const MAX_EPOCHS: usize = 16;
/// For this long after a step, a stamp of a future moment may have been made before or after it.
const STAMP_TRANSIT_TIME: Duration = Duration::from_secs(5);

/// A period during which the wall clock was not stepped.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Epoch {
    /// The wall clock minus this clock.
    offset_us: i64,
    /// The epoch began after this time.
    began_after: Duration,
    /// The epoch had begun at this time.
    began_by: Duration,
}

/// The known steps of the wall clock, without I/O.
#[derive(Debug, Default)]
pub struct WallClock {
    /// The newest is the last.
    epochs: VecDeque<Epoch>,
    /// The same for the clients' clock, without the steps that it did not take part in.
    client_epochs: VecDeque<Epoch>,
    last_observed: Duration,
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

fn push_bounded(epochs: &mut VecDeque<Epoch>, epoch: Epoch) {
    epochs.push_back(epoch);
    if epochs.len() > MAX_EPOCHS {
        epochs.pop_front();
    }
}

/// Converts signed microseconds. Times before the Unix epoch become zero.
fn from_micros(us: i64) -> Duration {
    Duration::from_micros(u64::try_from(us).unwrap_or_default())
}

impl WallClock {
    /// Records that the wall clock shows `wall` at the time `now`.
    pub fn observe(&mut self, now: Duration, wall: Duration) {
        let offset_us = micros(wall).saturating_sub(micros(now));
        match self.epochs.back_mut() {
            Some(epoch) if (offset_us - epoch.offset_us).abs() < MIN_STEP_US => epoch.offset_us = offset_us,
            previous => {
                let step_us = previous.map_or(0, |epoch| offset_us - epoch.offset_us);
                let client_us =
                    self.client_epochs.back().map_or(offset_us, |epoch| epoch.offset_us + step_us);
                let (began_after, began_by) = (self.last_observed, now);
                push_bounded(&mut self.epochs, Epoch { offset_us, began_after, began_by });
                push_bounded(&mut self.client_epochs, Epoch { offset_us: client_us, began_after, began_by });
            }
        }
        self.last_observed = now;
    }

    /// The number of known steps.
    pub fn step_count(&self) -> usize {
        self.epochs.len().saturating_sub(1)
    }

    /// Converts a client's stamp of a past moment to the time of this clock.
    pub fn resolve_past(&mut self, stamp: Duration, now: Duration) -> Duration {
        let Some(&newest) = self.client_epochs.back() else { return stamp.min(now) };
        let mut end = now;
        for (index, epoch) in self.client_epochs.iter().enumerate().rev() {
            let at = micros(stamp).saturating_sub(epoch.offset_us);
            let is_after = index == 0 || at >= micros(epoch.began_after) - MIN_STEP_US;
            if is_after && at <= micros(end) + MIN_STEP_US {
                return from_micros(at).min(now);
            }
            end = epoch.began_by;
        }
        if let Some(at) = self.resolve_past_unstepped(stamp, newest, now) {
            return at;
        }
        // The stamp fits into no known epoch: the clock that made it is ahead.
        from_micros(micros(stamp).saturating_sub(newest.offset_us)).min(now)
    }

    /// Converts a stamp that was made after the last step by a clock which did not take part in it. Such a stamp shows
    /// that the clients' clock was not stepped, so the step is removed from the clients' epochs.
    fn resolve_past_unstepped(&mut self, stamp: Duration, newest: Epoch, now: Duration) -> Option<Duration> {
        let earlier = self.client_epochs.len().checked_sub(1)?;
        for index in (0..earlier).rev() {
            let at = micros(stamp).saturating_sub(self.client_epochs[index].offset_us);
            if at >= micros(newest.began_after) && at <= micros(now) + MIN_STEP_US {
                self.client_epochs.truncate(index + 1);
                return Some(from_micros(at).min(now));
            }
        }
        None
    }

    /// Converts a stamp of a future moment, which another process has just sent, to the time of this clock. The wall
    /// clock may have been stepped in between; of the possible times, the latest is returned.
    pub fn resolve_future(&self, stamp: Duration, now: Duration) -> Duration {
        let mut latest = None;
        let mut end = now;
        for epoch in self.epochs.iter().rev() {
            if latest.is_some() && end + STAMP_TRANSIT_TIME < now {
                break;
            }
            latest = latest.max(Some(from_micros(micros(stamp).saturating_sub(epoch.offset_us))));
            end = epoch.began_by;
        }
        latest.unwrap_or(stamp)
    }

    /// The wall-clock time at the time `at` of this clock, according to the last reading.
    pub fn wall_time_at(&self, at: Duration) -> Duration {
        let offset = self.epochs.back().map_or(0, |epoch| epoch.offset_us);
        from_micros(micros(at).saturating_add(offset))
    }
}

/// The program's clock.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    /// The time since the Unix epoch at `start`.
    start_time: Duration,
    wall: Mutex<WallClock>,
}

impl Clock {
    /// Creates a clock that starts at the current time of the wall clock.
    pub fn new() -> Self {
        let clock = Self { start: Instant::now(), start_time: read_wall(), wall: Mutex::default() };
        clock.observe_wall_clock();
        clock
    }

    /// The time now.
    pub fn now(&self) -> Duration {
        self.start_time + self.start.elapsed()
    }

    /// Reads the wall clock and records a step. Must be called regularly.
    pub fn observe_wall_clock(&self) {
        drop(self.observe());
    }

    /// Converts a client's wall-clock stamp of a past moment to the time of this clock.
    pub fn resolve_past(&self, stamp: Duration) -> Duration {
        let mut wall = self.observe();
        wall.resolve_past(stamp, self.now())
    }

    /// Converts another process's wall-clock stamp of a future moment to the time of this clock.
    pub fn resolve_future(&self, stamp: Duration) -> Duration {
        self.observe().resolve_future(stamp, self.now())
    }

    /// Converts a time of this clock to the wall clock, for another process.
    pub fn to_wall(&self, at: Duration) -> Duration {
        self.observe().wall_time_at(at)
    }

    /// The number of known steps of the wall clock.
    pub fn step_count(&self) -> usize {
        self.lock().step_count()
    }

    fn lock(&self) -> MutexGuard<'_, WallClock> {
        self.wall.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn observe(&self) -> MutexGuard<'_, WallClock> {
        let mut wall = self.lock();
        for _ in 0..MAX_READINGS {
            let before = self.now();
            let shown = read_wall();
            let now = self.now();
            // If the thread was delayed between the two readings, the difference would look like a step.
            if now.saturating_sub(before) <= MAX_READING_ERROR {
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
