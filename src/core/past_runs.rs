//! The handles of requests that are over and may have run.
//!
//! A gateway sends a request again under the same id if the connection that it was sent on closes. Notices, replies and
//! commands name a run by that id alone: what is said late about the first run would be taken for the second one's. So
//! an id runs only once.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::types::Handle;

/// How long a handle is kept after its request is over.
const RETENTION: Duration = Duration::from_secs(10);
/// How many handles are kept at most; beyond that, the oldest is dropped.
const MAX_HANDLES: usize = 16_384;

/// A time in microseconds, which takes half of the memory of a [`Duration`].
type Micros = u64;

fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}

/// The handles of requests that are over and whose launch may have been read.
#[derive(Clone, Debug, Default)]
pub(super) struct PastRuns {
    /// Until when each handle is kept.
    until: HashMap<Handle, Micros>,
    /// When each handle is dropped, in order. An entry whose handle was kept again has no effect.
    expiry: VecDeque<(Micros, Handle)>,
}

impl PastRuns {
    /// Keeps the handle of a request that is over.
    pub(super) fn keep(&mut self, now: Duration, handle: Handle) {
        self.keep_until(now, handle, now + RETENTION);
    }

    /// Keeps the handle of a request that the predecessor has launched and that is over there within `timeout`.
    pub(super) fn import(&mut self, now: Duration, handle: Handle, timeout: Duration) {
        self.keep_until(now, handle, now + timeout + RETENTION);
    }

    /// The handles that are kept, the oldest first.
    pub(super) fn export(&self, now: Duration) -> impl Iterator<Item = Handle> + '_ {
        let now = micros(now);
        let is_current =
            move |(until, handle): &&(Micros, Handle)| *until > now && self.until.get(handle) == Some(until);
        self.expiry.iter().filter(is_current).map(|(_, handle)| *handle)
    }

    fn keep_until(&mut self, now: Duration, handle: Handle, until: Duration) {
        let (now, until) = (micros(now), micros(until));
        // The oldest go first, so that neither table grows past its bound.
        while self.expiry.front().is_some_and(|(until, _)| *until <= now || self.expiry.len() >= MAX_HANDLES)
        {
            let Some((until, handle)) = self.expiry.pop_front() else { break };
            if self.until.get(&handle) == Some(&until) {
                self.until.remove(&handle);
            }
        }
        self.until.insert(handle, until);
        self.expiry.push_back((until, handle));
    }

    /// Whether an earlier request with this handle may have run.
    pub(super) fn contains(&self, now: Duration, handle: Handle) -> bool {
        self.until.get(&handle).is_some_and(|until| *until > micros(now))
    }
}
