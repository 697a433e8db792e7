//! What is said on a link. Each request has one answer; a push has none.

use std::collections::BTreeSet;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::codec::{take, FrameError};
use super::raft::{NodeId, RaftRequest, RaftResponse};
use crate::fleet::decided::{Applied, Entry, Refused};
use crate::fleet::experiment::counter::Report;
use crate::fleet::experiment::Experiment;
use crate::fleet::routes::table::Hash;
use crate::fleet::routes::{LeaseReply, LeaseRequest};

/// From a member to a voter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Who are you?
    Hello,
    /// Of the replicated log.
    Raft {
        /// The store that is meant; another one refuses.
        to: NodeId,
        /// What.
        request: Box<RaftRequest>,
    },
    /// For a lease and the news.
    Ask(LeaseRequest),
    /// For a table.
    Fetch(Hash),
    /// An entry for the log.
    Submit(Entry),
    /// What one life counted.
    Counts(Report),
    /// Take the store that this voter has now for its earlier one.
    Admit {
        /// Which voter.
        name: String,
    },
    /// What was decided, as a document for an operator.
    Look(DocumentKind),
}

impl Request {
    /// Reads a frame's body: the number of the request, and what is asked, or nothing where a later version asks
    /// what this one does not know. A field more is ignored, but not where something else than was meant would
    /// be done.
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

/// Which document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentKind {
    /// What is active and on its way.
    Routes,
    /// How activations ended.
    History,
    /// The experiments.
    Experiments,
}

/// The experiment that runs, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The document.
    pub experiment: Experiment,
    /// Blocks that are closed for good.
    pub closed: u64,
    /// Who serves.
    pub members: BTreeSet<String>,
}

/// From a voter to a member: one for each request.
#[derive(Debug, Serialize, Deserialize)]
pub enum Response {
    /// To [`Request::Hello`].
    Hello(Hello),
    /// To [`Request::Raft`].
    Raft(Box<RaftResponse>),
    /// To [`Request::Ask`], with the experiment that runs.
    Reply {
        /// The lease and the news.
        reply: Box<LeaseReply>,
        /// What runs.
        running: Option<Box<Running>>,
    },
    /// To [`Request::Fetch`]: the document, if it is kept.
    Table(Option<String>),
    /// To [`Request::Submit`]: the entry is in the log, and this is what it did.
    Submitted(Result<Applied, Refused>),
    /// To [`Request::Counts`]: taken, or not.
    Counted(bool),
    /// To [`Request::Admit`].
    Admitted(Result<(), AdmitError>),
    /// To [`Request::Look`]: JSON.
    Document(String),
    /// Only the leader answers this.
    NotLeader {
        /// Who leads, as far as is known here.
        leader: Option<String>,
    },
    /// Not now: too much is asked here, or no majority answers.
    Busy,
    /// The answer is over the bound of a frame.
    TooLong,
    /// This version does not know the request, or a part of it. Nothing was done.
    Unknown,
}

/// Who a voter is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Its store; none if it has no record.
    pub node: Option<NodeId>,
    /// Its store has voted, or holds a log.
    pub initialized: bool,
    /// The stores that vote, as far as it knows.
    pub voters: Vec<NodeId>,
    /// The names of the voters in its own settings, sorted.
    pub named: Vec<String>,
    /// The term that it knows.
    pub term: u64,
    /// Who leads, as far as it knows.
    pub leader: Option<String>,
}

/// Why a voter was not admitted.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
pub enum AdmitError {
    /// No such voter.
    #[error("{name} is no voter of this fleet")]
    #[diagnostic(help("name one of `fleet.routes.voters`, or add it to the settings of all voters first"))]
    Unknown {
        /// Which.
        name: String,
    },
    /// It did not answer.
    #[error("{name} does not answer")]
    #[diagnostic(help("start it, and admit it again"))]
    Silent {
        /// Which.
        name: String,
    },
    /// Its store belongs to another record.
    #[error("the store of {name} holds another record")]
    #[diagnostic(help("stop it, empty its `fleet.routes.folder`, start it, and admit it again"))]
    OtherRecord {
        /// Which.
        name: String,
    },
    /// This member does not lead.
    #[error("only the leader admits a voter")]
    #[diagnostic(help("ask the leader: `hopwalk fleet status` names it"))]
    NotLeader {
        /// Who leads, as far as is known here.
        leader: Option<String>,
    },
    /// No majority answered in time; it may yet be done.
    #[error("no majority answered in time")]
    #[diagnostic(help(
        "see that a majority of the voters runs, and admit it again: to admit twice does no harm"
    ))]
    NoMajority,
}

/// From a voter to a member, without being asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Push {
    /// There is news: ask at once.
    Nudge,
}

/// What a server writes after its opening.
#[derive(Debug, Serialize, Deserialize)]
pub enum ServerFrame {
    /// To the request of this number.
    Answer(u64, Response),
    /// Without a request.
    Push(Push),
}

/// What a frame of a server says to this version.
#[derive(Debug)]
pub enum ReceivedFrame {
    /// To the request of this number: the answer, or [`FrameError::Later`] for one that cannot be read here.
    Answer(u64, Result<Response, FrameError>),
    /// Without a request.
    Push(Push),
    /// Nothing.
    Later,
}

impl ServerFrame {
    /// Reads a frame's body. A field more is ignored, but not in the record's own messages.
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
            // The number of the variant and that of the request stand first: who asked need not wait in vain.
            Err(FrameError::Later) => Ok(match take::<(u32, u64)>(body) {
                Ok(((0, id), _)) => ReceivedFrame::Answer(id, Err(FrameError::Later)),
                _ => ReceivedFrame::Later,
            }),
            Err(error) => Err(error),
        }
    }
}
