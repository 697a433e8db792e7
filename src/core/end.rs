//! The ways in which a run, a call or a connection can end.

use crate::interface::Outcome;

/// How a run, a call or a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// It succeeded.
    Complete,
    /// The peer reported a failure.
    Failed,
    /// The run was stopped, or it ended at a call because its request has its answer.
    Cancelled,
    /// There is no such run: nothing was started.
    Unknown,
    /// The dependency refused the call without looking at it: it never ran.
    NotNow,
    /// It did not end before its timeout.
    Overdue,
    /// The dependency refused the call because no run waits for it: it never ran.
    Pointless,
    /// No connection could be opened: nothing ran.
    Refused,
    /// The connection broke after data was sent.
    Broken,
    /// The peer sent data that cannot be parsed.
    Malformed,
    /// The peer stopped reading.
    Stalled,
    /// This process holds no lease, so it may not make the call now: it never ran.
    Barred,
    /// The call belongs to an older version of the routes, as seen here or by the dependency: it is not made again.
    Stale,
}

impl End {
    /// All ends, in the order of the variants.
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

    /// The outcome for the decision module. Only ends that prove that nothing ran map to such an outcome.
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

    /// Whether the dependency reports this end by a status line, of which a copy may arrive later.
    pub fn is_service_status(self) -> bool {
        matches!(self, Self::NotNow | Self::Failed | Self::Pointless | Self::Stale)
    }

    /// Whether a reply to a call that ended this way may still arrive.
    pub fn may_leave_late_reply(self) -> bool {
        matches!(self, Self::Overdue | Self::Broken | Self::Malformed | Self::Stalled)
    }

    /// The name of this end in counters and log lines.
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
