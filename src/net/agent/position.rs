//! Where the notices of the agent stand, over all links: the number of the last one read, and which lines behind it are
//! known to be unreadable.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::core::ReplyDigest;

/// How many unreadable lines are remembered; the agent keeps no more notices than these.
const MAX_UNREADABLE: usize = 4_000;

/// The position among the agent's notices, shared by all links.
#[derive(Debug, Default)]
pub struct NoticePosition(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// The number of the last notice read.
    cursor: u64,
    /// The unreadable lines behind that notice, in their order. A line that is the same on the next link is the agent's
    /// own; a line that was changed on the way is another one there, or arrives intact.
    unreadable: Vec<ReplyDigest>,
    /// The number with which a link began in place of the next one.
    first_after_gap: Option<u64>,
}

impl NoticePosition {
    /// The number of the last notice read, 0 after a start.
    pub fn cursor(&self) -> u64 {
        self.state().cursor
    }

    /// Records that a notice was read.
    pub(super) fn advance(&self, cursor: u64) {
        let mut state = self.state();
        if cursor > state.cursor {
            *state = State { cursor, ..State::default() };
        }
    }

    /// Records that a link begins with a number above the next one. Returns true if an earlier link did too, with this
    /// number or a lower one: the agent does not keep the notices before it any more.
    pub(super) fn is_gap_confirmed(&self, first: u64) -> bool {
        let earlier = self.state().first_after_gap.replace(first);
        earlier.is_some_and(|earlier| earlier <= first)
    }

    /// Records an unreadable line that follows `skipped` others behind the last notice. Returns true if an earlier link
    /// had the same line there.
    pub(super) fn is_repeated(&self, skipped: usize, line: &str) -> bool {
        let digest = ReplyDigest::of(line.as_bytes());
        let mut state = self.state();
        if state.unreadable.get(skipped) == Some(&digest) {
            return true;
        }
        state.unreadable.truncate(skipped);
        if skipped < MAX_UNREADABLE {
            state.unreadable.push(digest);
        }
        false
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
