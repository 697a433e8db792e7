//! The clock of this process, which the fleet's decisions are given: monotonic, and the same for all parts of one process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// What the clock shows at the start: a fault that sets it back does not reach 0, which stands for "never".
const BASE: Duration = Duration::from_secs(3600);
/// A moment is never looked for further ahead than this.
const FAR: Duration = Duration::from_secs(60);

/// A clock that runs wrong, for the lab.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Seconds it shows for each second that passes; 1 is right.
    pub rate: f64,
    /// When it is set, after the start.
    pub step_at: Duration,
    /// By how much it is set then, in milliseconds.
    pub step_ms: i64,
}

/// A monotonic clock from the start of the process on.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Of tokio, which a simulation stops and moves; else it is the system's.
    began: Instant,
    fault: Option<Fault>,
    /// In a simulation: the time since the Unix epoch at the start.
    simulated: Option<Duration>,
}

impl Clock {
    /// Starts now.
    pub fn start(fault: Option<Fault>) -> Self {
        Self { began: Instant::now(), fault, simulated: None }
    }

    /// Starts now, on a runtime whose time is stopped and moved, with the time since the Unix epoch.
    pub fn simulated(fault: Option<Fault>, unix: Duration) -> Self {
        Self { simulated: Some(unix), ..Self::start(fault) }
    }

    /// Time since the Unix epoch, by which experiments count their blocks.
    pub fn unix(&self) -> Duration {
        match self.simulated {
            None => SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            Some(unix) => unix + self.began.elapsed(),
        }
    }

    /// Waits `pause` more finely than the runtime's timers do, and holds up the thread for it.
    pub async fn sleep_precisely(&self, pause: Duration) {
        match self.simulated {
            None => std::thread::sleep(pause),
            // No time passes while the thread is held up.
            Some(_) => tokio::time::sleep(pause).await,
        }
    }

    /// What it shows.
    pub fn now(&self) -> Duration {
        self.shows(self.began.elapsed())
    }

    fn shows(&self, elapsed: Duration) -> Duration {
        let Some(fault) = self.fault else { return BASE + elapsed };
        let ran = BASE + elapsed.mul_f64(fault.rate);
        let step = Duration::from_millis(fault.step_ms.unsigned_abs());
        match (elapsed >= fault.step_at, fault.step_ms < 0) {
            (false, _) => ran,
            (true, false) => ran + step,
            (true, true) => ran.saturating_sub(step),
        }
    }

    /// How long until it shows `at`, a minute at most; zero if it does.
    pub fn until(&self, at: Duration) -> Duration {
        let left = at.saturating_sub(self.now());
        self.fault.map_or(left, |fault| left.div_f64(fault.rate)).min(FAR)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_fault_is_a_rate_and_a_step() {
        let s = Duration::from_secs;
        let right = Clock::start(None);
        assert_eq!(right.shows(s(5)), BASE + s(5));
        let fault = Fault { rate: 2.0, step_at: s(3), step_ms: -1000 };
        let wrong = Clock { fault: Some(fault), ..right };
        assert_eq!((wrong.shows(s(2)), wrong.shows(s(3))), (BASE + s(4), BASE + s(5)));
        assert_eq!(wrong.until(Duration::ZERO), Duration::ZERO);
        assert!(wrong.until(wrong.now() + s(4)) <= s(2));
    }
}
