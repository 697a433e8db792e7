//! The last check of a reply, at the one place where replies are written to the agent.

use std::collections::VecDeque;

use super::OutgoingCommand;
use crate::core::{CallReply, Command, Handle, LinkId, ReplyDigest};
use crate::net::request_log::RequestEvent;

/// How many of the last written replies are kept, to recognise a second reply to a call.
const MAX_RECENT: usize = 256;

/// Why a reply must not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReplyMismatch {
    #[error("it was read for another request")]
    OtherRequest,
    #[error("it was read for another call of the request")]
    OtherCall,
    #[error("its content is not what was read")]
    OtherContent,
    #[error("a reply to this or a later call of the run was written before")]
    RepeatedCall,
    #[error("its command number is not above the last one on the link")]
    CommandNumber,
}

/// Checks replies before they are written, and remembers the last ones.
#[derive(Debug, Default)]
pub(super) struct ReplyGuard {
    recent: VecDeque<RequestEvent>,
}

impl ReplyGuard {
    /// Checks a command that is about to be written behind command `last_number` of its link. Returns the log entry of a
    /// reply; other commands have none.
    pub(super) fn check(
        &mut self,
        outgoing: &OutgoingCommand,
        last_number: u64,
    ) -> Result<Option<RequestEvent>, ReplyMismatch> {
        let Command::Deliver { handle, cursor, reply, .. } = &outgoing.command else { return Ok(None) };
        let digest = ReplyDigest::of(&reply.body);
        if let Some(mismatch) = self.mismatch(*handle, *cursor, reply, digest) {
            return Err(mismatch);
        }
        if outgoing.number <= last_number {
            return Err(ReplyMismatch::CommandNumber);
        }
        let (link, number) = (outgoing.link, outgoing.number);
        let entry = RequestEvent::Delivered { origin: reply.origin, digest, link, number };
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(entry);
        Ok(Some(entry))
    }

    /// Forgets the replies of a link that were queued but not written: they may be written on the next link.
    pub(super) fn retract(&mut self, ended: LinkId, last_written: u64) {
        self.recent.retain(|entry| {
            !matches!(entry, RequestEvent::Delivered { link, number, .. } if *link == ended && *number > last_written)
        });
    }

    fn mismatch(
        &self,
        handle: Handle,
        cursor: u64,
        reply: &CallReply,
        digest: ReplyDigest,
    ) -> Option<ReplyMismatch> {
        let origin = &reply.origin;
        if origin.ask.handle != handle {
            return Some(ReplyMismatch::OtherRequest);
        }
        if origin.ask.cursor != cursor {
            return Some(ReplyMismatch::OtherCall);
        }
        if origin.digest != digest {
            return Some(ReplyMismatch::OtherContent);
        }
        let is_later_call = |entry: &RequestEvent| {
            matches!(entry, RequestEvent::Delivered { origin, .. }
                if origin.ask.handle == handle && origin.ask.cursor >= cursor)
        };
        self.recent.iter().any(is_later_call).then_some(ReplyMismatch::RepeatedCall)
    }
}
