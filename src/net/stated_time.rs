//! The time that a request to a peer states: how long its reply is awaited, in whole milliseconds.

use std::time::{Duration, Instant};

/// The shortest time that can be stated.
const SHORTEST: Duration = Duration::from_millis(1);

/// The time that a request states which is about to be written. The peer counts it from when it reads the request, and
/// may make a reply that is too late right after its end. So this side must not wait longer than the stated time.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatedTime {
    duration: Duration,
    ends_at: Instant,
}

impl StatedTime {
    /// States this timeout, without its fraction of a millisecond. The wait begins now.
    pub(super) fn begin(timeout: Duration) -> Self {
        let milliseconds = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let duration = Duration::from_millis(milliseconds).max(SHORTEST);
        Self { duration, ends_at: Instant::now() + duration }
    }

    /// The stated time.
    pub(super) fn duration(self) -> Duration {
        self.duration
    }

    /// When the wait ends: never after the peer has given up the request.
    pub(super) fn ends_at(self) -> Instant {
        self.ends_at
    }
}
