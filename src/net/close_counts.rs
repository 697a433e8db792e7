//! Counts closed client connections by reason. Together with the reducer's counters, these counts show whether a client
//! that got no answer lost its connection in this process.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// No part of a request arrived within the idle limit, or the connection was evicted to make room for another one.
    Idle,
    /// The client closed the connection, or it broke.
    PeerGone,
    /// The client sent an invalid request, or did not send all of it in time.
    Malformed,
    /// An answer announced that the connection would be closed.
    AfterAnswer,
    /// An answer could not be written completely.
    Unsent,
    /// A request on the connection was not answered: a violation.
    Unanswered,
}

impl CloseReason {
    const ALL: [(Self, &'static str); 6] = [
        (Self::Idle, "idle"),
        (Self::PeerGone, "by_peer"),
        (Self::Malformed, "malformed"),
        (Self::AfterAnswer, "after_answer"),
        (Self::Unsent, "unsent"),
        (Self::Unanswered, "unanswered"),
    ];
}

/// The number of connections closed so far, by reason.
#[derive(Debug, Default)]
pub(super) struct CloseCounts([AtomicU64; CloseReason::ALL.len()]);

impl CloseCounts {
    pub(super) fn count(&self, reason: CloseReason) {
        self.0[reason as usize].fetch_add(1, Ordering::Relaxed);
    }
}

impl fmt::Display for CloseCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (reason, name)) in CloseReason::ALL.into_iter().enumerate() {
            let separator = if index > 0 { " " } else { "" };
            write!(f, "{separator}{name}={}", self.0[reason as usize].load(Ordering::Relaxed))?;
        }
        Ok(())
    }
}
