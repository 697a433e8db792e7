//! The messages of the replicated log, and the types that `openraft` is set up with.

use std::fmt;
use std::io::Cursor;

use miette::Diagnostic;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fleet::{decided, random};

/// The number of a store, drawn when it is made. A store that is lost takes its number along: so no voter votes twice in
/// a term.
pub type NodeId = u64;

/// A voter, as the log names it. Where it is stands in each member's own settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// Its name.
    pub name: String,
}

impl fmt::Display for Voter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name)
    }
}

/// What an entry of the log came to; none for entries that are the log's own.
pub type Outcome = Option<Result<decided::Applied, decided::Refused>>;

openraft::declare_raft_types!(
    /// The types of the record. With openraft's feature `single-term-leader`: at most one leader a term, as in Raft's paper.
    pub Types:
        D = decided::Entry,
        R = Outcome,
        NodeId = NodeId,
        Node = Voter,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = random::Runtime,
);

/// From one voter to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RaftRequest {
    /// Entries, or none as a heartbeat.
    Append(AppendEntriesRequest<Types>),
    /// For a vote.
    Vote(VoteRequest<NodeId>),
    /// A part of a snapshot.
    Snapshot(InstallSnapshotRequest<Types>),
}

/// What a voter answers another.
#[derive(Debug, Serialize, Deserialize)]
pub enum RaftResponse {
    /// To entries.
    Append(AppendEntriesResponse<NodeId>),
    /// To a candidate.
    Vote(VoteResponse<NodeId>),
    /// To a part of a snapshot.
    Snapshot(InstallSnapshotResponse<NodeId>),
    /// Nothing was done.
    Refused(RaftRefusal),
}

/// Why a voter did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
pub enum RaftRefusal {
    /// The store that was meant is not there any more.
    #[error("store {asked} is not here, but {here}")]
    #[diagnostic(help(
        "if the voter's folder was lost, have it admitted: `hopwalk fleet record admit NAME --admin ADDR`"
    ))]
    OtherStore {
        /// Which was meant.
        asked: NodeId,
        /// Which is there.
        here: NodeId,
    },
    /// A part of a snapshot that does not go on where the last one ended, or is over the bound.
    #[error("a part of a snapshot at {offset} is not the next")]
    #[diagnostic(help("the leader sends it anew by itself"))]
    Part {
        /// Where it would go.
        offset: u64,
    },
    /// Its record has stopped.
    #[error("the record has stopped")]
    #[diagnostic(help("look at that voter's log, and restart it"))]
    Stopped,
}
