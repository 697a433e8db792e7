//! Replies to calls. Each carries a record of the ask that it was read for and of the connection, so that the last step
//! before it is written can check that it still belongs to the run's call and has its content.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::types::{Bytes, Handle};

/// A digest of a reply, which recognises copies of it and changes of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyDigest(u64);

impl ReplyDigest {
    /// Returns the digest of a reply.
    pub fn of(reply: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        reply.hash(&mut hasher);
        Self(hasher.finish())
    }
}

impl fmt::Display for ReplyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies an ask: one attempt at one call of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AskId {
    /// The request.
    pub handle: Handle,
    /// The number of the notice that requested the call.
    pub cursor: u64,
    /// The number of the attempt, counted over all calls of all requests.
    pub attempt: u32,
}

impl fmt::Display for AskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} notice {} ask {}", self.handle, self.cursor, self.attempt)
    }
}

/// Where a reply was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyOrigin {
    /// The ask in whose connection it was read, and whose reply it was taken for.
    pub ask: AskId,
    /// The number of the connection to the dependency.
    pub connection: u64,
    /// The digest of its content.
    pub digest: ReplyDigest,
}

impl fmt::Display for ReplyOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} connection {} digest {}", self.ask, self.connection, self.digest)
    }
}

/// The successful reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallReply {
    /// Its content.
    pub body: Bytes,
    /// Where it was read.
    pub origin: ReplyOrigin,
}

impl CallReply {
    /// A reply that was just read for an ask, on the connection with this number.
    pub fn read(ask: AskId, connection: u64, body: Bytes) -> Self {
        let origin = ReplyOrigin { ask, connection, digest: ReplyDigest::of(&body) };
        Self { body, origin }
    }
}
