//! Route tables and their two-phase activation: every member switches versions at one moment. Decisions only: no I/O,
//! no clock, no randomness. `docs/routes.md` weighs the ways and holds the argument why no two members ever act on
//! different versions at the same moment.
//!
//! - [`table`]: the documents, checked whole, with a hash over a canonical form.
//! - [`record`]: what the fleet has decided; the state machine of a replicated log.
//! - [`leader`]: grants leases, runs prepare, commit and abort, and goes on after a change of leader.
//! - [`member`]: leases, prepared tables, and the version that a request belongs to.
//! - [`clock`] and [`lease`]: what is known of the leader's clock, and the right to act.
//!
//! One exchange carries all of it: a member asks ([`LeaseRequest`]) every [`Timing::ask`] and whenever it has something to say, and
//! the leader replies ([`LeaseReply`]). A message that is lost is made good by the next one. A nudge makes a member ask at
//! once.

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

/// No two monotonic clocks of a fleet drift apart by more: 200 parts in a million. A clock outside of it is found by its
/// samples ([`ClockError::Disagree`]), and its holder gives up its lease.
pub const DRIFT_PPM: u64 = 200;
/// The widest clock bound with which a member may be prepared.
pub const MAX_CLOCK_BOUND: Duration = Duration::from_millis(5);

/// How far two clocks can drift apart in `span`, rounded up.
pub fn drift(span: Duration) -> Duration {
    Duration::from_nanos((span.as_nanos() as u64 / 1_000_000 + 1) * DRIFT_PPM)
}

/// The number of a table, in the order of proposals.
pub type Version = u64;
/// The number of an activation. It grows with a rollback too, which the version does not: so it is what fences.
pub type Turn = u64;

/// One life of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberIncarnation {
    /// The member's name.
    pub name: String,
    /// Grows across restarts. In a handover two lives of one name are there at once, each with its own lease.
    pub incarnation: u64,
}

/// What a call carries: a service below that saw a higher turn refuses a lower one. The default, turn 0, stands for the
/// configuration's own services, before any activation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// Which activation; the order of fences.
    pub turn: Turn,
    /// Which table.
    pub version: Version,
}

/// An activation, in force or on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Activation {
    /// Its fence.
    pub fence: Fence,
    /// The table's hash.
    pub hash: Hash,
}

/// A moment that is known to lie in a stretch of a clock, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeWindow {
    /// Not before.
    pub low: Duration,
    /// Not after.
    pub high: Duration,
}

impl TimeWindow {
    /// Half its width: the clock's bound.
    pub fn bound(&self) -> Duration {
        self.high.saturating_sub(self.low) / 2
    }
}

/// Lengths that all members of a fleet share; the leader's rules hold for any values with `ask < lead <= lease`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two asks of a member.
    pub ask: Duration,
    /// The longest lease.
    pub lease: Duration,
    /// From the decision to commit to the moment of the switch, at least. At most it is a lease.
    pub lead: Duration,
    /// From the beginning of a prepare until silence aborts it.
    pub deadline: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self { ask: ms(200), lease: ms(2000), lead: ms(1000), deadline: ms(3000) }
    }
}

impl Timing {
    /// After this long on any clock every lease that was granted before, and every moment of a switch that was recorded
    /// before, is past.
    pub fn wait_out(&self) -> Duration {
        self.lease + drift(self.lease) * 2
    }
}

/// AbortReason a member cannot take a version. One refusal aborts the activation.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
pub enum Refusal {
    /// The table does not fit its settings.
    #[error("the table does not fit this member: {problem}")]
    #[diagnostic(help(
        "correct the table or this member's settings, propose it anew, then activate that version"
    ))]
    Table {
        /// What is wrong.
        problem: TableError,
    },
    /// Its clock is not known well enough.
    #[error("the fleet's time is not known well enough here: {problem}")]
    #[diagnostic(help(
        "look at the network and the load between this member and the leader, then activate again"
    ))]
    Clock {
        /// What is wrong.
        problem: ClockError,
    },
    /// A service of the new table cannot be reached.
    #[error("no connection to {address}")]
    #[diagnostic(help("start the service or open the way to it from this member, then activate again"))]
    Connect {
        /// Which.
        address: SocketAddr,
    },
    /// What came by the hash has another one.
    #[error("what was fetched as table {hash} is another")]
    #[diagnostic(help(
        "the table came spoilt from a voter's store: propose it anew, and check that voter's disk"
    ))]
    Fetch {
        /// The hash that was asked for.
        hash: Hash,
    },
}

impl Refusal {
    /// As the record keeps it: with the names in it cut short.
    pub fn truncated(self) -> Self {
        match self {
            Self::Table { problem } => Self::Table { problem: problem.truncated() },
            short => short,
        }
    }
}

/// What a member says to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Who.
    pub member: MemberIncarnation,
    /// Grows with each ask of this life.
    pub number: u64,
    /// The newest of its asks that it had a reply to, 0 for none: who is heard and hears nothing gets no lease.
    pub last_reply: u64,
    /// Its answer to a prepare: prepared with this clock bound, or refused.
    pub answer: Option<(Turn, Result<Duration, Refusal>)>,
    /// The commit whose moment it knows and has a table for. Not said any more once it lost either.
    pub acknowledged: Option<Turn>,
}

/// What the leader says to one ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Of the ask.
    pub number: u64,
    /// The leader's term.
    pub term: u64,
    /// The leader's clock: the fleet's time in this term.
    pub time: Duration,
    /// How long the lease is, from the moment at which the ask was sent; zero for none.
    pub lease: Duration,
    /// What is in force at that time; nothing before the first activation.
    pub active: Option<Activation>,
    /// What is on its way.
    pub pending: Option<Pending>,
}

/// What is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Pending {
    /// Fetch and check the table, and say so.
    Prepare(Activation),
    /// Switch to it at a moment in this stretch of the leader's clock.
    Commit(Activation, TimeWindow),
}
