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
/// The time between two pieces of work, over all connections that pause.
const WORK_INTERVAL: Duration = Duration::from_micros(100);

/// Counts the connections that pause.
#[derive(Debug, Default)]
pub(super) struct Pacing {
    pausing: AtomicU32,
}

impl Pacing {
    /// Pauses before a further piece of work. Must be called from a coroutine.
    pub(super) fn pause(&self) {
        let pausing = self.pausing.fetch_add(1, Ordering::Relaxed) + 1;
        spawn::sleep((WORK_INTERVAL * pausing).max(MIN_PAUSE));
        self.pausing.fetch_sub(1, Ordering::Relaxed);
    }
}
