//! Pacing of connections whose next work has arrived already.
//!
//! The worker thread polls the sockets only while no coroutine is ready to run. A connection that always has something to
//! do, such as the next of many requests that were sent together, would never let it: new connections, the requests of
//! others and the notices of the agent would wait as long as enough clients go on. So a connection pauses before such
//! work, for longer the more connections do, and all of them together take only a part of the worker's time.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use super::spawn;

/// The shortest pause.
const MIN_PAUSE: Duration = Duration::from_millis(1);
/// The least time between two pieces of work, over all connections that pause.
const MIN_WORK_INTERVAL: Duration = Duration::from_micros(100);
/// The time between two pieces of work is at least this multiple of what a piece takes, so that the rest is left to others.
const INTERVAL_PER_WORK: u32 = 4;
/// A piece of work counts as no longer than this: the connection may have waited meanwhile.
const MAX_WORK: Duration = Duration::from_millis(1);

/// Counts the connections that pause.
#[derive(Debug, Default)]
pub(super) struct Pacing {
    pausing: AtomicU32,
}

impl Pacing {
    /// Pauses before a further piece of work. Must be called from a coroutine.
    pub(super) fn pause(&self) {
        self.pause_after(Duration::ZERO);
    }

    /// Pauses before a further piece of work where the one before took this long. Must be called from a coroutine.
    pub(super) fn pause_after(&self, worked: Duration) {
        let interval = (worked.min(MAX_WORK) * INTERVAL_PER_WORK).max(MIN_WORK_INTERVAL);
        let pausing = self.pausing.fetch_add(1, Ordering::Relaxed) + 1;
        spawn::sleep((interval * pausing).max(MIN_PAUSE));
        self.pausing.fetch_sub(1, Ordering::Relaxed);
    }
}
