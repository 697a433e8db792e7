//! The number of requests that run at the same time, found by hill climbing on the throughput.

use std::time::Duration;

use super::TICK;

/// Work must have waited this long before a climb, since the core gauge looks back. Less overshoots.
const CLIMB_EVERY: Duration = Duration::from_millis(600);
/// Completions compared by the hill climb. Fewer is mostly noise, more is slow.
const COMPARE_COMPLETIONS: u32 = 60;
/// A fall of throughput by this share steps the limit back. Smaller steps back on noise.
const FALL_SHARE: f64 = 0.08;

/// The running limit and the window of completions that it is judged by.
#[derive(Debug, Default)]
pub(super) struct Limit {
    pub(super) slots: f64,
    climbed_at: Duration,
    window_from: Duration,
    pub(super) done: u32,
    last_rate: f64,
}

impl Limit {
    /// One running request for each core, from `now` on.
    pub(super) fn new(cores: u32, now: Duration) -> Self {
        Self { slots: f64::from(cores), window_from: now, ..Self::default() }
    }

    /// Climbs while cores idle and work waits for a slot; steps back when throughput falls with work held.
    pub(super) fn look(&mut self, now: Duration, waits: bool, held: bool, idle: bool) {
        if !waits {
            self.climbed_at = now;
        } else if idle && now >= self.climbed_at + CLIMB_EVERY {
            self.climbed_at = now;
            self.slots += 1.0;
        }
        let full = self.done >= COMPARE_COMPLETIONS;
        if held && full {
            let rate = f64::from(self.done) / now.saturating_sub(self.window_from).max(TICK).as_secs_f64();
            self.slots -= if rate < self.last_rate * (1.0 - FALL_SHARE) { 1.0 } else { 0.0 };
            self.last_rate = rate;
        }
        if full || !held {
            // Throughput that fell for lack of work says nothing.
            (self.window_from, self.done) = (now, 0);
        }
    }
}
