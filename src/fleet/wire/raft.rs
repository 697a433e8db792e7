//! The messages of the replicated log, and the types with which `openraft` is configured.

use std::fmt;
use std::io::Cursor;

use miette::Diagnostic;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fleet::{random, state_machine};

/// The number of a store, drawn at random when the store is created. A replacement for a lost store gets a new number,
/// so that no voter votes twice in a term.
pub type NodeId = u64;

/// A voter as the log names it. Its address is in each member's own settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// The voter's name.
    pub name: String,
}

impl fmt::Display for Voter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name)
    }
}

/// The result of applying an entry; none for entries that the log adds itself.
pub type Outcome = Option<Result<state_machine::Applied, state_machine::Rejection>>;

openraft::declare_raft_types!(
    /// The types of the record. openraft's feature `single-term-leader` allows one leader per term, as in Raft's paper.
    pub Types:
        D = state_machine::Entry,
        R = Outcome,
        NodeId = NodeId,
        Node = Voter,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = random::Runtime,
);

/// A request of one voter to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RaftRequest {
    /// Appends entries; without entries it is a heartbeat.
    Append(AppendEntriesRequest<Types>),
    /// Requests a vote.
    Vote(VoteRequest<NodeId>),
    /// Installs a part of a snapshot.
    Snapshot(InstallSnapshotRequest<Types>),
}

/// A voter's answer to another.
#[derive(Debug, Serialize, Deserialize)]
pub enum RaftResponse {
    /// To [`RaftRequest::Append`].
    Append(AppendEntriesResponse<NodeId>),
    /// To [`RaftRequest::Vote`].
    Vote(VoteResponse<NodeId>),
    /// To [`RaftRequest::Snapshot`].
    Snapshot(InstallSnapshotResponse<NodeId>),
    /// The request was refused and changed nothing.
    Refused(RaftRefusal),
}

/// Why a voter refused a request of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
pub enum RaftRefusal {
    /// The request is for a store that this voter no longer has.
    #[error("the request is for store {asked}, but this voter has store {here}")]
    #[diagnostic(help(
        "if the voter's folder was lost, admit the voter again: `hopwalk fleet record admit NAME --admin ADDR`"
    ))]
    OtherStore {
        /// The store that the request is for.
        asked: NodeId,
        /// The store of this voter.
        here: NodeId,
    },
    /// The part of a snapshot does not continue where the previous one ended, or is over the limit.
    #[error("the part of a snapshot at offset {offset} is not the next one")]
    #[diagnostic(help("no action is needed: the leader sends the snapshot again"))]
    Part {
        /// The offset of the part.
        offset: u64,
    },
    /// The voter's record has stopped.
    #[error("the voter's record has stopped")]
    #[diagnostic(help("check that voter's log, and restart it"))]
    Stopped,
}
