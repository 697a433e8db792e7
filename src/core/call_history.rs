//! The replies to earlier calls of a request, which may still arrive late or again.
//!
//! A reply from the dependency names its request but not its call, and it may arrive late, twice and over any
//! connection. So each request records the replies to its earlier calls. A further call is made only if all of these
//! replies are known: then a copy is recognised by its content, and any other reply belongs to the call in progress.

use super::{End, ReplyDigest};

/// Maximum number of replies that are recorded for a request; after that, it makes no further calls.
const MAX_REPLIES: usize = 1024;

/// The replies to the calls of one request so far.
#[derive(Debug, Default)]
pub(super) struct CallHistory {
    /// Digests of the successful replies.
    replies: Vec<ReplyDigest>,
    /// Other ends that the dependency reported by a status line.
    statuses: Vec<End>,
    /// An attempt at an earlier call ended without a reply that is known to belong to it.
    misses_earlier_reply: bool,
    /// The same for the current call of the run.
    misses_current_reply: bool,
}

impl CallHistory {
    /// Records that the run requests its next call.
    pub(super) fn begin_call(&mut self) {
        self.misses_earlier_reply |= std::mem::take(&mut self.misses_current_reply);
    }

    /// Whether the reply to another call can be distinguished from the replies that may still arrive for earlier calls.
    pub(super) fn allows_call(&self) -> bool {
        !self.misses_earlier_reply && self.replies.len() < MAX_REPLIES
    }

    /// Replies of which copies may still arrive.
    pub(super) fn replies(&self) -> &[ReplyDigest] {
        &self.replies
    }

    /// Records that an attempt was cancelled.
    pub(super) fn abandoned(&mut self) {
        self.misses_current_reply = true;
    }

    /// Records the successful reply to an attempt.
    pub(super) fn replied(&mut self, reply: ReplyDigest) {
        self.replies.push(reply);
    }

    /// Records that an attempt ended in another way. Returns whether this end is known to belong to the attempt,
    /// rather than being a copy of an earlier one.
    pub(super) fn ended(&mut self, end: End) -> bool {
        let is_repeated = self.statuses.contains(&end);
        self.misses_current_reply |= is_repeated || end.may_leave_late_reply();
        if end.is_service_status() && !is_repeated {
            self.statuses.push(end);
        }
        !is_repeated
    }
}
