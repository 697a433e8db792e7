//! Every way in which a run, a call or a connection can end.

use crate::interface::Outcome;

/// How something on a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// It went well.
    Complete,
    /// The other side says that it failed.
    Failed,
    /// The run was stopped, or ended at a call because its request is over.
    Cancelled,
    /// Nothing was started.
    Unknown,
    /// Turned away unseen.
    NotNow,
    /// It ran out of time.
    Overdue,
    /// No run waits for it: it never ran.
    Pointless,
    /// No connection could be made: nothing ran.
    Refused,
    /// The connection broke after something was sent.
    Broken,
    /// The other side sent what cannot be read.
    Malformed,
    /// The other side stopped reading.
    Stalled,
    /// This process has no right to make the call now: it never ran.
    Barred,
    /// The call belongs to an earlier version of the routes, here or at the service: it is not made any more.
    Stale,
}

impl End {
    /// All of them.
    pub const ALL: [Self; 13] = [
        Self::Complete,
        Self::Failed,
        Self::Cancelled,
        Self::Unknown,
        Self::NotNow,
        Self::Overdue,
        Self::Pointless,
        Self::Refused,
        Self::Broken,
        Self::Malformed,
        Self::Stalled,
        Self::Barred,
        Self::Stale,
    ];

    /// What the module is told. Only an end that proves it may say that nothing ran.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Complete => Outcome::Done,
            Self::Failed => Outcome::Error,
            Self::Cancelled => Outcome::Cancelled,
            Self::Unknown | Self::Pointless => Outcome::NotStarted,
            Self::NotNow => Outcome::Busy,
            Self::Overdue => Outcome::TimedOut,
            Self::Refused => Outcome::Unreachable,
            Self::Broken | Self::Malformed | Self::Stalled => Outcome::Reset,
            Self::Barred => Outcome::Barred,
            Self::Stale => Outcome::Stale,
        }
    }

    /// A service below tells it by a word of its own, of which a copy may come.
    pub fn is_service_status(self) -> bool {
        matches!(self, Self::NotNow | Self::Failed | Self::Pointless | Self::Stale)
    }

    /// A call that ended so may still get a reply.
    pub fn may_leave_late_reply(self) -> bool {
        matches!(self, Self::Overdue | Self::Broken | Self::Malformed | Self::Stalled)
    }

    /// Its word in the counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Unknown => "unknown",
            Self::NotNow => "notnow",
            Self::Overdue => "overdue",
            Self::Pointless => "pointless",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Malformed => "malformed",
            Self::Stalled => "stalled",
            Self::Barred => "barred",
            Self::Stale => "stale",
        }
    }
}
