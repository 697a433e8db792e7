//! Route tables and their two-phase activation, by which all members switch to a new version at the same moment.
//! The module contains decisions only: no I/O, no clock, no randomness. `docs/routes.md` compares the possible designs
//! and shows why no two members ever act on different versions at the same moment.
//!
//! - [`table`]: route tables, their validation, and a hash over their canonical form.
//! - [`record`]: what the fleet has decided; the state machine of the replicated log.
//! - [`leader`]: grants leases, runs prepare, commit and abort, and continues these after a change of leader.
//! - [`member`]: leases, prepared tables, and the version under which a request's call is sent.
//! - [`clock`] and [`lease`]: the estimate of the leader's clock, and the right to act on a version.
//!
//! One exchange carries all of it: a member sends a [`LeaseRequest`] every [`Timing::ask`] and whenever its answer to a
//! prepare or commit changes, and the leader replies with a [`LeaseReply`]. A lost message is compensated by the next
//! one. A nudge makes a member send a request at once.

pub mod clock;
pub mod leader;
pub mod lease;
pub mod member;
pub mod record;
pub mod table;

use std::net::SocketAddr;
use std::time::Duration;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use clock::ClockError;
use table::{Hash, TableError};

/// The highest rate at which two monotonic clocks of a fleet may drift apart: 200 parts per million. A clock that
/// drifts faster is detected by its samples ([`ClockError::Disagree`]), and its member releases its lease.
pub const DRIFT_PPM: u64 = 200;
/// The widest clock bound with which a member accepts a prepare.
pub const MAX_CLOCK_BOUND: Duration = Duration::from_millis(5);

/// Returns how far two clocks can drift apart in `span`, rounded up.
pub fn drift(span: Duration) -> Duration {
    Duration::from_nanos((span.as_nanos() as u64 / 1_000_000 + 1) * DRIFT_PPM)
}

/// The number of a table; tables are numbered in the order in which they were proposed.
pub type Version = u64;
/// The number of an activation. Unlike the version it also grows with a rollback, so fences are ordered by it.
pub type Turn = u64;

/// One incarnation of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberIncarnation {
    /// The member's name.
    pub name: String,
    /// Grows with each restart. During a handover two incarnations of one name exist, each with its own lease.
    pub incarnation: u64,
}

/// The fence that a call carries: a dependency that has seen a higher turn refuses a lower one. The default, turn 0,
/// stands for the services of the configuration, before any activation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// The number of the activation, by which fences are ordered.
    pub turn: Turn,
    /// The version of the table.
    pub version: Version,
}

/// An activation of a table, in force or in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Activation {
    /// The fence of calls that are sent under it.
    pub fence: Fence,
    /// The table's hash.
    pub hash: Hash,
}

/// An interval of a clock, both ends included, in which a moment is known to lie.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeWindow {
    /// The earliest time.
    pub low: Duration,
    /// The latest time.
    pub high: Duration,
}

impl TimeWindow {
    /// Returns half its width, which is the bound of the clock.
    pub fn bound(&self) -> Duration {
        self.high.saturating_sub(self.low) / 2
    }
}

/// Intervals and time limits that all members of a fleet share. The leader's rules hold for any values with
/// `ask < lead <= lease`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The interval between two lease requests of a member.
    pub ask: Duration,
    /// The length of the longest lease.
    pub lease: Duration,
    /// The shortest time from the decision to commit until the moment of the switch; the longest is a lease.
    pub lead: Duration,
    /// The time from the start of a prepare after which a member that has not answered aborts it.
    pub deadline: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self { ask: ms(200), lease: ms(2000), lead: ms(1000), deadline: ms(3000) }
    }
}

impl Timing {
    /// Returns the time, on any clock, after which every lease granted earlier has ended and every moment of a switch
    /// recorded earlier is past.
    pub fn wait_out(&self) -> Duration {
        self.lease + drift(self.lease) * 2
    }
}

/// Why a member cannot switch to a version. One refusal aborts the activation.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
pub enum Refusal {
    /// The table does not match the member's settings.
    #[error("the table does not match this member's settings: {problem}")]
    #[diagnostic(help(
        "correct the table or this member's settings, propose the table again, then activate that version"
    ))]
    Table {
        /// What is wrong.
        problem: TableError,
    },
    /// The member's estimate of the leader's clock is not precise enough.
    #[error("this member's estimate of the leader's clock is not precise enough: {problem}")]
    #[diagnostic(help(
        "check the network between this member and the leader and the load of both, then activate again"
    ))]
    Clock {
        /// What is wrong.
        problem: ClockError,
    },
    /// A service of the new table is unreachable.
    #[error("no connection to {address}")]
    #[diagnostic(help("start the service or make it reachable from this member, then activate again"))]
    Connect {
        /// The service's address.
        address: SocketAddr,
    },
    /// The document that was fetched by its hash has another hash.
    #[error("the table fetched for hash {hash} has another hash")]
    #[diagnostic(help(
        "a voter's store holds a corrupt copy of the table: propose it again, and check that voter's disk"
    ))]
    Fetch {
        /// The requested hash.
        hash: Hash,
    },
}

impl Refusal {
    /// Returns the refusal as the record keeps it, with long names truncated.
    pub fn truncated(self) -> Self {
        match self {
            Self::Table { problem } => Self::Table { problem: problem.truncated() },
            short => short,
        }
    }
}

/// What a member sends to the leader: a request for a lease, with the state of its prepare and commit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The sender.
    pub member: MemberIncarnation,
    /// The number of the request; it grows with each request of this incarnation.
    pub number: u64,
    /// The newest of its requests that had a reply, 0 for none. A member that receives no replies gets no lease.
    pub last_reply: u64,
    /// The answer to a prepare: prepared with this clock bound, or refused.
    pub answer: Option<(Turn, Result<Duration, Refusal>)>,
    /// The commit whose moment the member knows and whose table it has; absent once it has lost either.
    pub acknowledged: Option<Turn>,
}

/// The leader's reply to one lease request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The number of the request.
    pub number: u64,
    /// The leader's term.
    pub term: u64,
    /// The reading of the leader's clock, which is the fleet's time in this term.
    pub time: Duration,
    /// The length of the lease, counted from when the request was sent; zero for no lease.
    pub lease: Duration,
    /// The activation in force at that time; none before the first one.
    pub active: Option<Activation>,
    /// The activation in progress.
    pub pending: Option<Pending>,
}

/// What the members are to do for the activation in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Pending {
    /// Fetch and check the table, connect to its pools, and report the result.
    Prepare(Activation),
    /// Switch to it at a moment in this interval of the leader's clock.
    Commit(Activation, TimeWindow),
}
