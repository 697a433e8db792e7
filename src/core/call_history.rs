//! What earlier calls of a request leave behind below.
//!
//! A reply from below names its request and not its call, and it may come late, twice and over any connection. So a request
//! remembers what may still come for its earlier calls. A further call is made only where each of their replies is known:
//! then a copy of one is told by its content, and everything else is the reply to the call that is out.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::End;

/// Replies of one request that are remembered: it makes no further calls then.
const MAX_REPLIES: usize = 1024;

/// A digest of a reply that went well, by which a copy of it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyDigest(u64);

impl ReplyDigest {
    /// Of a reply's bytes.
    pub fn of(reply: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        reply.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// The replies to the calls of one request so far.
#[derive(Debug, Default)]
pub(super) struct CallHistory {
    /// Replies that went well.
    replies: Vec<ReplyDigest>,
    /// Other ends that the service told.
    told: Vec<End>,
    /// An attempt at an earlier call ended without a reply that is known to be its own.
    owes_earlier: bool,
    /// The same for the call at which the run is.
    owes_current: bool,
}

impl CallHistory {
    /// The run asks for its next call.
    pub(super) fn begin_call(&mut self) {
        self.owes_earlier |= std::mem::take(&mut self.owes_current);
    }

    /// Whatever comes next below for this request can be told from what may still come for its earlier calls.
    pub(super) fn allows_call(&self) -> bool {
        !self.owes_earlier && self.replies.len() < MAX_REPLIES
    }

    /// Replies of which copies may come.
    pub(super) fn replies(&self) -> &[ReplyDigest] {
        &self.replies
    }

    /// An attempt was given up.
    pub(super) fn gave_up(&mut self) {
        self.owes_current = true;
    }

    /// An attempt brought a reply that went well.
    pub(super) fn replied(&mut self, reply: &[u8]) {
        self.replies.push(ReplyDigest::of(reply));
    }

    /// An attempt ended in another way. Returns whether that end is known to be its own, and no copy of an earlier one.
    pub(super) fn ended(&mut self, end: End) -> bool {
        let is_repeated = self.told.contains(&end);
        self.owes_current |= is_repeated || end.may_leave_late_reply();
        if end.is_service_status() && !is_repeated {
            self.told.push(end);
        }
        !is_repeated
    }
}
