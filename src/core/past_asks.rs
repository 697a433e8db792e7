//! What the asks of requests that are over got.
//!
//! A gateway sends a request again under the same id if the connection that it was sent on closes. A reply to an ask of
//! the first copy may arrive while the second one makes its call, and names the id of both.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::call_history::CallHistory;
use super::types::Handle;

/// How long a history is kept after its request is over.
const RETENTION: Duration = Duration::from_secs(10);
/// How many histories are kept at most; beyond that, the oldest is dropped.
const MAX_HISTORIES: usize = 4096;

/// The histories of requests that made asks and are over.
#[derive(Clone, Debug, Default)]
pub(super) struct PastAsks {
    histories: HashMap<Handle, (Duration, CallHistory)>,
    /// When each history is dropped, in order. An entry whose history was taken or replaced has no effect.
    expiry: VecDeque<(Duration, Handle)>,
}

impl PastAsks {
    /// Keeps the history of a request that is over.
    pub(super) fn keep(&mut self, now: Duration, handle: Handle, history: CallHistory) {
        let until = now + RETENTION;
        self.histories.insert(handle, (until, history));
        self.expiry.push_back((until, handle));
        while self.expiry.front().is_some_and(|(until, _)| *until <= now || self.expiry.len() > MAX_HISTORIES)
        {
            let Some((until, handle)) = self.expiry.pop_front() else { break };
            if self.histories.get(&handle).is_some_and(|(kept_until, _)| *kept_until == until) {
                self.histories.remove(&handle);
            }
        }
    }

    /// Takes the history of an earlier request with this handle.
    pub(super) fn take(&mut self, now: Duration, handle: Handle) -> Option<CallHistory> {
        let (until, history) = self.histories.remove(&handle)?;
        (until > now).then_some(history)
    }
}
