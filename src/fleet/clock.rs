//! The monotonic clock of this process, which all its parts share. The fleet's decisions get their time from it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// The reading at the start. It is so high that a fault that sets the clock back does not reach 0, which stands for
/// "never".
const START_READING: Duration = Duration::from_secs(3600);
/// The longest wait that [`Clock::until`] returns.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A fault of the clock, for tests in the lab.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Seconds that the clock advances per real second; 1 is correct.
    pub rate: f64,
    /// The time after the start at which the clock is set.
    pub step_at: Duration,
    /// The change at that time, in milliseconds.
    pub step_ms: i64,
}

/// A monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Tokio's time, which a simulation stops and advances; otherwise it is the system's time.
    started_at: Instant,
    fault: Option<Fault>,
    /// In a simulation, the time since the Unix epoch at the start.
    simulated_start: Option<Duration>,
}

impl Clock {
    /// A clock that starts now.
    pub fn start(fault: Option<Fault>) -> Self {
        Self { started_at: Instant::now(), fault, simulated_start: None }
    }

    /// A clock that starts now on a runtime whose time is stopped and advanced by the simulation. `unix` is the time
    /// since the Unix epoch at the start.
    pub fn simulated(fault: Option<Fault>, unix: Duration) -> Self {
        Self { simulated_start: Some(unix), ..Self::start(fault) }
    }

    /// The time since the Unix epoch. Experiments use it to determine the block of an event.
    pub fn unix(&self) -> Duration {
        match self.simulated_start {
            None => SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            Some(unix) => unix + self.started_at.elapsed(),
        }
    }

    /// Sleeps for `pause` with a finer resolution than the runtime's timers. It blocks the thread, except in a
    /// simulation.
    pub async fn sleep_precisely(&self, pause: Duration) {
        match self.simulated_start {
            None => std::thread::sleep(pause),
            // Simulated time does not advance while the thread is blocked.
            Some(_) => tokio::time::sleep(pause).await,
        }
    }

    /// The reading of the clock.
    pub fn now(&self) -> Duration {
        self.reading_at(self.started_at.elapsed())
    }

    fn reading_at(&self, elapsed: Duration) -> Duration {
        let Some(fault) = self.fault else { return START_READING + elapsed };
        let running = START_READING + elapsed.mul_f64(fault.rate);
        let step = Duration::from_millis(fault.step_ms.unsigned_abs());
        match (elapsed >= fault.step_at, fault.step_ms < 0) {
            (false, _) => running,
            (true, false) => running + step,
            (true, true) => running.saturating_sub(step),
        }
    }

    /// The real time until the clock reads `at`, at most [`MAX_WAIT`]; zero if `at` has passed.
    pub fn until(&self, at: Duration) -> Duration {
        let left = at.saturating_sub(self.now());
        self.fault.map_or(left, |fault| left.div_f64(fault.rate)).min(MAX_WAIT)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_fault_changes_the_rate_and_steps_the_clock() {
        let s = Duration::from_secs;
        let correct = Clock::start(None);
        assert_eq!(correct.reading_at(s(5)), START_READING + s(5));
        let fault = Fault { rate: 2.0, step_at: s(3), step_ms: -1000 };
        let faulty = Clock { fault: Some(fault), ..correct };
        assert_eq!(
            (faulty.reading_at(s(2)), faulty.reading_at(s(3))),
            (START_READING + s(4), START_READING + s(5))
        );
        assert_eq!(faulty.until(Duration::ZERO), Duration::ZERO);
        assert!(faulty.until(faulty.now() + s(4)) <= s(2));
    }
}
