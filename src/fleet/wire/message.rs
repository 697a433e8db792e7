//! The messages on a link: each [`Request`] of a member has one [`Response`] of a voter; a [`Push`] has none.

use std::collections::BTreeSet;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::codec::{take, FrameError};
use super::raft::{NodeId, RaftRequest, RaftResponse};
use crate::fleet::experiment::counter::Report;
use crate::fleet::experiment::Experiment;
use crate::fleet::routes::table::Hash;
use crate::fleet::routes::{LeaseReply, LeaseRequest};
use crate::fleet::state_machine::{Applied, Entry, Rejection};

/// A request of a member to a voter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Asks the voter to identify itself.
    Hello,
    /// A message of the replicated log.
    Raft {
        /// The store that it is for; a voter with another store refuses.
        to: NodeId,
        /// The message.
        request: Box<RaftRequest>,
    },
    /// Requests a lease, and the state of the routes.
    Ask(LeaseRequest),
    /// Fetches the table with this hash.
    Fetch(Hash),
    /// Submits an entry for the log.
    Submit(Entry),
    /// Reports what one incarnation has counted of an experiment.
    Counts(Report),
    /// Accepts the present store of a voter in place of its earlier one.
    Admit {
        /// The voter's name.
        name: String,
    },
    /// Requests a document for an operator on what was decided.
    Look(DocumentKind),
}

impl Request {
    /// Reads a frame's body: the number of the request, and the request, or `None` if only a later version knows it.
    /// Additional fields are ignored, except for requests that without them would have another effect than intended.
    ///
    /// # Errors
    /// [`FrameError::Malformed`].
    pub fn read(body: &[u8]) -> Result<(u64, Option<Self>), FrameError> {
        let (id, rest) = take(body)?;
        match take::<Self>(rest) {
            Ok((Self::Raft { .. } | Self::Submit(_) | Self::Admit { .. }, [_, ..]))
            | Err(FrameError::Later) => Ok((id, None)),
            read => read.map(|(request, _)| (id, Some(request))),
        }
    }
}

/// The kind of a document for an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The active table and the open activation.
    Routes,
    /// The activations that have ended.
    History,
    /// The experiments.
    Experiments,
}

/// The running experiment, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The experiment's document.
    pub experiment: Experiment,
    /// The number of blocks that are finally closed.
    pub closed: u64,
    /// The members that serve requests.
    pub members: BTreeSet<String>,
}

/// A voter's answer to a request.
#[derive(Debug, Serialize, Deserialize)]
pub enum Response {
    /// To [`Request::Hello`].
    Hello(Hello),
    /// To [`Request::Raft`].
    Raft(Box<RaftResponse>),
    /// To [`Request::Ask`].
    Reply {
        /// The lease, and the state of the routes.
        reply: Box<LeaseReply>,
        /// The running experiment.
        running: Option<Box<Running>>,
    },
    /// To [`Request::Fetch`]: the document, if the voter has it.
    Table(Option<String>),
    /// To [`Request::Submit`]: the entry is in the log, and had this result.
    Submitted(Result<Applied, Rejection>),
    /// To [`Request::Counts`]: whether the counts were accepted.
    Counted(bool),
    /// To [`Request::Admit`].
    Admitted(Result<(), AdmitError>),
    /// To [`Request::Look`]: the document in JSON.
    Document(String),
    /// Only the leader can answer the request.
    NotLeader {
        /// The leader, if this voter knows it.
        leader: Option<String>,
    },
    /// The voter has too many requests, or no majority of voters answers.
    Busy,
    /// The answer is longer than the longest frame.
    TooLong,
    /// This version does not know the request, or a part of it, and did nothing.
    Unknown,
}

/// A voter's identity and state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The number of its store; none if it has no record.
    pub node: Option<NodeId>,
    /// Whether its store has voted or contains a log.
    pub initialized: bool,
    /// The stores that vote, as far as the voter knows.
    pub voters: Vec<NodeId>,
    /// The names of the voters in its own settings, sorted.
    pub named: Vec<String>,
    /// The latest term that it knows.
    pub term: u64,
    /// The leader, if it knows it.
    pub leader: Option<String>,
}

/// Why a voter was not admitted.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
pub enum AdmitError {
    /// There is no voter of this name.
    #[error("{name} is not a voter of this fleet")]
    #[diagnostic(help(
        "give a name in `fleet.routes.voters`, or add it to the settings of all voters first"
    ))]
    Unknown {
        /// The voter's name.
        name: String,
    },
    /// The voter did not answer.
    #[error("{name} does not answer")]
    #[diagnostic(help("start it, and admit it again"))]
    Silent {
        /// The voter's name.
        name: String,
    },
    /// The voter's store belongs to another record.
    #[error("the store of {name} belongs to another record")]
    #[diagnostic(help("stop it, empty its `fleet.routes.folder`, start it, and admit it again"))]
    OtherRecord {
        /// The voter's name.
        name: String,
    },
    /// This voter is not the leader.
    #[error("only the leader can admit a voter")]
    #[diagnostic(help("send the request to the leader: `hopwalk fleet status` shows its name"))]
    NotLeader {
        /// The leader, if this voter knows it.
        leader: Option<String>,
    },
    /// No majority answered in time; the voter may be admitted later.
    #[error("no majority of the voters answered in time")]
    #[diagnostic(help(
        "check that a majority of the voters runs, and admit the voter again: doing so twice does no harm"
    ))]
    NoMajority,
}

/// A message of a voter to a member that is not an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Push {
    /// The state of the routes has changed: send a lease request at once.
    Nudge,
}

/// A frame that a server writes after its opening.
#[derive(Debug, Serialize, Deserialize)]
pub enum ServerFrame {
    /// The answer to the request of this number.
    Answer(u64, Response),
    /// A push.
    Push(Push),
}

/// What this version reads from a server's frame.
#[derive(Debug)]
pub enum ReceivedFrame {
    /// The answer to the request of this number, or [`FrameError::Later`] for one that cannot be read here.
    Answer(u64, Result<Response, FrameError>),
    /// A push.
    Push(Push),
    /// A frame that only a later version knows.
    Later,
}

impl ServerFrame {
    /// Reads a frame's body. Additional fields are ignored, except in messages of the record.
    ///
    /// # Errors
    /// [`FrameError::Malformed`].
    pub fn read(body: &[u8]) -> Result<ReceivedFrame, FrameError> {
        match take(body) {
            Ok((Self::Answer(id, Response::Raft(_)), [_, ..])) => {
                Ok(ReceivedFrame::Answer(id, Err(FrameError::Later)))
            }
            Ok((Self::Answer(id, response), _)) => Ok(ReceivedFrame::Answer(id, Ok(response))),
            Ok((Self::Push(push), _)) => Ok(ReceivedFrame::Push(push)),
            // The number of the variant and that of the request come first, so the request can fail without a timeout.
            Err(FrameError::Later) => Ok(match take::<(u32, u64)>(body) {
                Ok(((0, id), _)) => ReceivedFrame::Answer(id, Err(FrameError::Later)),
                _ => ReceivedFrame::Later,
            }),
            Err(error) => Err(error),
        }
    }
}
