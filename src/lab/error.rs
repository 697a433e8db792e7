//! What can go wrong with a history, a plot of it, and a request of the load tool.

use std::io;
use std::path::PathBuf;

use miette::Diagnostic;
use thiserror::Error;

use crate::json::JsonError;

/// Why a history is not written or read.
#[derive(Debug, Error, Diagnostic)]
pub enum HistoryError {
    #[error("{}: {source}", path.display())]
    #[diagnostic(help(
        "check the history's path, that this user has the rights to it, and that the disk has room"
    ))]
    File { path: PathBuf, source: io::Error },
    #[error("the history's writer: {source}")]
    #[diagnostic(help("raise the limit on threads of this user, or end other programs"))]
    Writer { source: io::Error },
    #[error("{}: line {line}: {source}", path.display())]
    #[diagnostic(help("the file is cut or overwritten there, or is no history: play the run again"))]
    Line { path: PathBuf, line: usize, source: io::Error },
}

/// Why a line is no record of a history.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum LineError {
    #[error("{0}")]
    #[diagnostic(help("a run that was killed leaves its last line cut: take that line out"))]
    Json(#[from] JsonError),
    #[error("a line is no object")]
    #[diagnostic(help("each line is one object in braces: check that the file is a history"))]
    NoObject,
    #[error("`{key}`: is missing or no string")]
    #[diagnostic(help(
        "check that the history is of this version: src/lab/history.rs lists the texts of each event"
    ))]
    NoText { key: &'static str },
    #[error("`{key}`: is missing or no whole number")]
    #[diagnostic(help(
        "check that the history is of this version: src/lab/history.rs lists the numbers of each event"
    ))]
    NoNumber { key: &'static str },
    #[error("`status`: is no status")]
    #[diagnostic(help("give the status of an answer, such as 200 or 503"))]
    Status,
    #[error("`event`: `{event}` is not known")]
    #[diagnostic(help("read the history with the version of hopwalk that wrote it"))]
    Event { event: String },
}

/// Why a plot is not drawn.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum PlotError {
    #[error("{}: {said}", path.display())]
    #[diagnostic(help("name a place for the plot that this user may write to, in a folder that is there"))]
    Draw { path: PathBuf, said: String },
}

/// Why a request of the load tool has no answer; its text goes into the history.
#[derive(Debug, Error, Diagnostic)]
pub enum AskError {
    #[error("connection refused")]
    #[diagnostic(help(
        "the matcher is down, or takes no new connections as it leaves: nothing of the request ran"
    ))]
    Refused,
    #[error("crossed a close")]
    #[diagnostic(help("the matcher closed an idle connection as the request came: it is sent again"))]
    Crossed,
    #[error("connect: {0}")]
    #[diagnostic(help(
        "the matcher is down or its callers' link is cut at this time: look at the faults in force"
    ))]
    Connect(io::Error),
    #[error("write: {0}")]
    #[diagnostic(help(
        "the link broke before the request was out: look for a reset or a kill at this time"
    ))]
    Write(io::Error),
    #[error("read: {0}")]
    #[diagnostic(help("the link broke while the answer was due: look for a reset or a kill at this time"))]
    Read(io::Error),
    #[error("an answer without an end")]
    #[diagnostic(help("the matcher sends more than any answer has: keep its log.txt, it is a defect"))]
    Endless,
    #[error("no answer in time")]
    #[diagnostic(help(
        "look for a stall, cut or pause at this time; without one, `hopwalk lab check` judges it"
    ))]
    Late,
    #[error("closed without an answer")]
    #[diagnostic(help(
        "the matcher ended or the link closed: look for a kill, or at the matcher's log.txt"
    ))]
    Closed,
}
