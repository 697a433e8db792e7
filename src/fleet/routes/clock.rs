//! A member's estimate of the leader's clock: an offset between two bounds, measured by round trips (Cristian,
//! "Probabilistic clock synchronization", 1989). Several measurements are intersected (Marzullo, 1984), each widened by
//! the drift since it was taken.

use std::collections::VecDeque;
use std::time::Duration;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{drift, TimeWindow, MAX_CLOCK_BOUND};

/// The number of samples that are kept.
pub const MAX_SAMPLES: usize = 8;

/// Why the leader's clock is not known, or not precisely enough.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
pub enum ClockError {
    /// This leader has sent no reply yet.
    #[error("the leader has not answered yet")]
    #[diagnostic(help(
        "wait for a leader; `hopwalk fleet status` shows from which members this one receives messages"
    ))]
    NoSample,
    /// The bound is wider than [`MAX_CLOCK_BOUND`].
    #[error("the clock bound is {} us, over the limit of {} us", bound.as_micros(), MAX_CLOCK_BOUND.as_micros())]
    #[diagnostic(help(
        "round trips to the leader take too long: check the network to it for load and loss"
    ))]
    Wide {
        /// The bound.
        bound: Duration,
    },
    /// No offset fits all samples: a clock was stepped, or drifts faster than [`DRIFT_PPM`](super::DRIFT_PPM).
    #[error("the samples of the leader's clock contradict each other")]
    #[diagnostic(help(
        "the clock of this machine or of the leader is wrong: check its time source, and restart the member"
    ))]
    Disagree,
    /// A reply was received before its request was sent.
    #[error("this member's clock went backwards")]
    #[diagnostic(help(
        "the machine's monotonic clock is broken: take the member out of service, and restart the machine"
    ))]
    Backwards,
}

/// The times of one round trip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When the request was sent, on the member's clock.
    pub sent: Duration,
    /// When the reply was received, on the member's clock.
    pub received: Duration,
    /// The leader's clock, read at some moment between the two.
    pub theirs: Duration,
}

/// The leader's clock minus the member's, in nanoseconds, as an interval with both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offset {
    /// The lowest possible value.
    pub low: i64,
    /// The highest possible value.
    pub high: i64,
}

impl Offset {
    /// Returns half its width.
    pub fn bound(&self) -> Duration {
        Duration::from_nanos(self.high.abs_diff(self.low) / 2)
    }
}

fn nanos(time: Duration) -> i64 {
    i64::try_from(time.as_nanos()).unwrap_or(i64::MAX)
}

fn time(nanos: i64) -> Duration {
    Duration::from_nanos(nanos.max(0) as u64)
}

/// A member's estimate of one leader's clock. A new leader has another clock and needs a new [`Clock::default`].
#[derive(Clone, Debug, Default)]
pub struct Clock {
    samples: VecDeque<Sample>,
}

impl Clock {
    /// Adds a round trip; fails if the member's clock went backwards during it.
    pub fn add_sample(&mut self, sample: Sample) -> Result<(), ClockError> {
        if sample.received < sample.sent {
            return Err(ClockError::Backwards);
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        Ok(())
    }

    /// Returns the number of samples.
    pub fn samples(&self) -> usize {
        self.samples.len()
    }

    /// Returns the offset at `now`: the intersection of all samples, each widened by the drift since it was sent.
    pub fn offset(&self, now: Duration) -> Result<Offset, ClockError> {
        let each = self.samples.iter().map(|s| {
            let slack = nanos(drift(now.saturating_sub(s.sent)));
            (nanos(s.theirs) - nanos(s.received) - slack, nanos(s.theirs) - nanos(s.sent) + slack)
        });
        let meet = |a: (i64, i64), b: (i64, i64)| (a.0.max(b.0), a.1.min(b.1));
        let (low, high) = each.reduce(meet).ok_or(ClockError::NoSample)?;
        if low > high {
            return Err(ClockError::Disagree);
        }
        Ok(Offset { low, high })
    }

    /// Returns the bound at `now`, if it is narrow enough to accept a prepare.
    pub fn usable_bound(&self, now: Duration) -> Result<Duration, ClockError> {
        let bound = self.offset(now)?.bound();
        if bound > MAX_CLOCK_BOUND {
            return Err(ClockError::Wide { bound });
        }
        Ok(bound)
    }

    /// Converts a moment that lies in `theirs` on the leader's clock to the member's clock, widened by the drift
    /// between `now` and that moment.
    pub fn to_own_clock(&self, now: Duration, theirs: TimeWindow) -> Result<TimeWindow, ClockError> {
        let offset = self.offset(now)?;
        let (low, high) = (nanos(theirs.low) - offset.high, nanos(theirs.high) - offset.low);
        let away = |at: i64| nanos(drift(Duration::from_nanos(at.abs_diff(nanos(now)))));
        Ok(TimeWindow { low: time(low - away(low)), high: time(high + away(high)) })
    }
}
