//! Why callers' connections were closed, counted: with the reducer's counters this tells whether a caller without an answer
//! lost its connection here.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Nothing of a request was there for as long as a connection may be idle, or it made room for another one.
    Idle,
    /// The caller closed it, or it broke.
    PeerGone,
    /// It brought what is no request, or not all of one in time.
    Malformed,
    /// An answer on it said that it would be closed.
    AfterAnswer,
    /// An answer could not be written.
    Unsent,
    /// A request on it was not answered: a violation.
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

/// Connections that were closed so far, by reason.
#[derive(Debug, Default)]
pub(super) struct CloseCounts([AtomicU64; CloseReason::ALL.len()]);

impl CloseCounts {
    pub(super) fn count(&self, reason: CloseReason) {
        self.0[reason as usize].fetch_add(1, Ordering::Relaxed);
    }
}

impl fmt::Display for CloseCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, (reason, name)) in CloseReason::ALL.into_iter().enumerate() {
            let separator = if place > 0 { " " } else { "" };
            write!(f, "{separator}{name}={}", self.0[reason as usize].load(Ordering::Relaxed))?;
        }
        Ok(())
    }
}
