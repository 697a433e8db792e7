//! The limit of requests that run at the same time, found by hill climbing on the throughput.

use std::time::Duration;

use super::TICK;

/// Requests must have waited this long before a climb, since the gauge of the cores covers the recent past. A
/// shorter time overshoots.
const CLIMB_INTERVAL: Duration = Duration::from_millis(600);
/// Completed runs per comparison of the throughput. Fewer give mostly noise; more make the climb slow.
const COMPARE_COMPLETIONS: u32 = 60;
/// A fall of the throughput by this share lowers the limit by one. A smaller share reacts to noise.
const FALL_SHARE: f64 = 0.08;

/// The running limit, and the window of completed runs over which the throughput is measured.
#[derive(Clone, Debug, Default)]
pub(super) struct Limit {
    pub(super) slots: f64,
    climbed_at: Duration,
    window_from: Duration,
    pub(super) completed: u32,
    last_rate: f64,
}

impl Limit {
    /// Starts with one running request per core at `now`.
    pub(super) fn new(cores: u32, now: Duration) -> Self {
        Self { slots: f64::from(cores), window_from: now, ..Self::default() }
    }

    /// Raises the limit while cores are idle and requests wait for a slot (`waits`). Lowers it when the throughput
    /// falls although requests are held.
    pub(super) fn update(&mut self, now: Duration, waits: bool, held: bool, idle: bool) {
        if !waits {
            self.climbed_at = now;
        } else if idle && now >= self.climbed_at + CLIMB_INTERVAL {
            self.climbed_at = now;
            self.slots += 1.0;
        }
        let full = self.completed >= COMPARE_COMPLETIONS;
        if held && full {
            let rate =
                f64::from(self.completed) / now.saturating_sub(self.window_from).max(TICK).as_secs_f64();
            self.slots -= if rate < self.last_rate * (1.0 - FALL_SHARE) { 1.0 } else { 0.0 };
            self.last_rate = rate;
        }
        if full || !held {
            // The throughput also falls when there is little work; such a window must not be compared.
            (self.window_from, self.completed) = (now, 0);
        }
    }
}
