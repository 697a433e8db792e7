//! The leader's clock as a member knows it: an offset between two bounds, from round trips (Cristian, "Probabilistic clock
//! synchronization", 1989), several of them intersected (Marzullo, 1984) with the drift since each.

use std::collections::VecDeque;
use std::time::Duration;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{drift, TimeWindow, MAX_CLOCK_BOUND};

/// Samples that are kept.
pub const MAX_SAMPLES: usize = 8;

/// AbortReason the fleet's time is not known.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
pub enum ClockError {
    /// Nothing came from this leader yet.
    #[error("the leader has not answered yet")]
    #[diagnostic(help("wait for a leader; `hopwalk fleet status` shows whom this member hears"))]
    NoSample,
    /// The bound is wider than [`MAX_CLOCK_BOUND`].
    #[error("the bound is {} us, over {} us", bound.as_micros(), MAX_CLOCK_BOUND.as_micros())]
    #[diagnostic(help("round trips to the leader take too long: look for load or loss on the way"))]
    Wide {
        /// The bound.
        bound: Duration,
    },
    /// No offset fits all samples: a clock was stepped, or runs faster or slower than the stated drift.
    #[error("the samples of the leader's clock contradict each other")]
    #[diagnostic(help(
        "this machine's or the leader's clock runs wrong: check its time source, and restart the member"
    ))]
    Disagree,
    /// An answer came before its question.
    #[error("this member's clock went backwards")]
    #[diagnostic(help(
        "the machine's monotonic clock is broken: take the member out, and restart the machine"
    ))]
    Backwards,
}

/// One round trip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When the ask was sent, on the own clock.
    pub sent: Duration,
    /// When the reply came.
    pub received: Duration,
    /// The leader's clock, read somewhere between the two.
    pub theirs: Duration,
}

/// The leader's clock less the own one, in nanoseconds, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offset {
    /// Not less.
    pub low: i64,
    /// Not more.
    pub high: i64,
}

impl Offset {
    /// Half its width.
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

/// What a member knows of one leader's clock. A new leader has another clock: [`Clock::default`] again.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    samples: VecDeque<Sample>,
}

impl Clock {
    /// Takes a round trip; refused if it ran backwards.
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

    /// How many samples are kept.
    pub fn samples(&self) -> usize {
        self.samples.len()
    }

    /// The offset at `now`: what all samples allow, each widened by the drift since it was sent.
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

    /// The bound at `now`, if it is narrow enough to be prepared with.
    pub fn usable_bound(&self, now: Duration) -> Result<Duration, ClockError> {
        let bound = self.offset(now)?.bound();
        if bound > MAX_CLOCK_BOUND {
            return Err(ClockError::Wide { bound });
        }
        Ok(bound)
    }

    /// A moment that lies in `theirs` on the leader's clock, on the own one; with the drift from `now` until then.
    pub fn to_own_clock(&self, now: Duration, theirs: TimeWindow) -> Result<TimeWindow, ClockError> {
        let offset = self.offset(now)?;
        let (low, high) = (nanos(theirs.low) - offset.high, nanos(theirs.high) - offset.low);
        let away = |at: i64| nanos(drift(Duration::from_nanos(at.abs_diff(nanos(now)))));
        Ok(TimeWindow { low: time(low - away(low)), high: time(high + away(high)) })
    }
}
