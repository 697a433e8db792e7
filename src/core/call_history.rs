//! The replies to earlier asks of a request, which may still arrive late or again.
//!
//! An ask is one attempt at a call. A reply from the dependency names its request but neither the call nor the ask that
//! it was made for, and it may arrive late, twice and over any connection. So each request records what its earlier asks
//! got. A further ask, of the same call or of a later one, is made only if all of these replies are known: then a copy
//! is recognised by its content, and any other reply belongs to the ask in progress.

use super::{End, ReplyDigest};

/// Maximum number of replies that are recorded for a request; after that, it makes no further calls.
const MAX_REPLIES: usize = 1024;

/// What the asks of one request got so far.
#[derive(Clone, Debug, Default)]
pub(super) struct CallHistory {
    /// Digests of the successful replies.
    replies: Vec<ReplyDigest>,
    /// Other ends that the dependency reported by a status line.
    statuses: Vec<End>,
    /// An ask ended without a reply that is known to belong to it: its reply may still arrive.
    misses_reply: bool,
}

impl CallHistory {
    /// Whether the reply to another ask can be distinguished from the replies that may still arrive for earlier ones.
    pub(super) fn allows_ask(&self) -> bool {
        !self.misses_reply && self.replies.len() < MAX_REPLIES
    }

    /// Replies of which copies may still arrive.
    pub(super) fn replies(&self) -> &[ReplyDigest] {
        &self.replies
    }

    /// Records that an ask was cancelled.
    pub(super) fn abandoned(&mut self) {
        self.misses_reply = true;
    }

    /// Records the successful reply to an ask.
    pub(super) fn replied(&mut self, reply: ReplyDigest) {
        self.replies.push(reply);
    }

    /// Records that an ask ended in another way. Returns whether this end is known to belong to the ask, rather than
    /// being a copy of an earlier one.
    pub(super) fn ended(&mut self, end: End) -> bool {
        let is_repeated = self.statuses.contains(&end);
        self.misses_reply |= is_repeated || end.may_leave_late_reply();
        if end.is_service_status() && !is_repeated {
            self.statuses.push(end);
        }
        !is_repeated
    }
}
