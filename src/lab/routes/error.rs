//! What can go wrong in a lab, of a fleet with routes or without.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;

use crate::lab::error::{HistoryError, LineError};
use crate::lab::scenario::ScenarioError;

/// Why a lab could not go on.
#[derive(Debug, Error, Diagnostic)]
#[allow(missing_docs)]
pub enum LabError {
    #[error("{}: {source}", path.display())]
    #[diagnostic(help("name a folder that can be written, with room for the histories and logs"))]
    File { path: PathBuf, source: io::Error },
    #[error("{what}: {source}")]
    #[diagnostic(help(
        "the lab listens on loopback addresses (127.16.0.0 and up): look who else holds them"
    ))]
    Listen { what: String, source: io::Error },
    #[error("{name}: {told}")]
    #[diagnostic(help("its log.txt in the lab's folder says why; the program must be this version of it"))]
    Process { name: String, told: String },
    #[error("{}: {source}", path.display())]
    #[diagnostic(help("name a hopwalk that this user may run with --program"))]
    Program { path: PathBuf, source: io::Error },
    #[error(transparent)]
    #[diagnostic(transparent)]
    Scenario(#[from] ScenarioError),
    #[error(transparent)]
    #[diagnostic(transparent)]
    History(#[from] HistoryError),
    #[error("history line {line}: {source}")]
    #[diagnostic(help(
        "the lab wrote what it cannot read: with a full disk, make room and play it again; else it is a defect"
    ))]
    Line { line: usize, source: LineError },
    #[error("the load tool failed")]
    #[diagnostic(help(
        "its panic stands above: raise the limits on memory and descriptors, and play it again"
    ))]
    Load,
    #[error("no link {name}")]
    #[diagnostic(help("links are callers-m1, m1-agent and m1-vault, and so for each matcher"))]
    NoLink { name: String },
    #[error("no fleet")]
    #[diagnostic(help("add `fleet` to the scenario: without it no datagrams pass"))]
    NoFleet,
    #[error("{}", all.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    #[diagnostic(help(
        "mend the first of them; the rest mostly follow from it, and log.txt of each matcher in the \
         lab's folder tells more"
    ))]
    Several { all: Vec<LabError> },
    #[error("there is no {name} in this lab")]
    #[diagnostic(help("matchers are m1, m2 and so on, services s1, s2 and so on"))]
    Unknown { name: String },
    #[error("{at}: {source}")]
    #[diagnostic(help(
        "the matcher is down, stopped or has not opened its door yet; its log.txt says which"
    ))]
    Door { at: SocketAddr, source: io::Error },
    #[error("{name} has no operators' door")]
    #[diagnostic(help("start the matcher first"))]
    NoDoor { name: String },
    #[error("{what} did not come in {} ms: {last}", after.as_millis())]
    #[diagnostic(help("the matchers' log.txt in the lab's folder say what they were at"))]
    Late { what: String, after: Duration, last: String },
    #[error("{what} at {at} was answered with {status}: {told}")]
    #[diagnostic(help("the answer names the help"))]
    Order { at: String, what: String, status: u16, told: String },
}
