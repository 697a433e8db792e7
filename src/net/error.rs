//! Why a server does not start or go on, and why a line of its agent is none.

use std::io;
use std::net::SocketAddr;

use miette::Diagnostic;
use thiserror::Error;

use crate::core::CoreError;
use crate::fleet::{DriverError, LinkError};
use crate::json::JsonError;

/// Why a server does not start or go on.
#[derive(Debug, Error, Diagnostic)]
pub enum NodeError {
    /// It cannot be a member of its fleet.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Fleet(#[from] LinkError),
    /// It cannot take part in the fleet's routes.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Routes(#[from] DriverError),
    /// Nothing can be decided with these settings.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Core(#[from] CoreError),
    /// A front cannot be opened.
    #[error("{key}: {address}: {source}")]
    #[diagnostic(help(
        "look who has this address, or set another one; beside a server that runs, start with its TMPDIR"
    ))]
    Frontend {
        /// The key that names the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The operators' door cannot be opened.
    #[error("admin: {address}: {source}")]
    #[diagnostic(help(
        "give each process on this machine an `admin` (or RELAY_ADMIN) of its own, also in an upgrade"
    ))]
    Admin {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// TLS cannot be offered at all.
    #[error("TLS: {0}")]
    #[diagnostic(help(
        "this build has no TLS that works: take `tls` out of the appliance's file, or run another build"
    ))]
    Tls(rustls::Error),
    /// The process that runs took back what it was handing over.
    #[error("handover: the process that runs broke it off, and serves on")]
    #[diagnostic(help(
        "its log says why, such as a drain or a lost link: start the new process again once it is ready"
    ))]
    HandoverAborted,
}

/// Why a line of the agent is no notice. The link is made anew.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum NoticeError {
    /// A line that goes on for ever, or is no UTF-8.
    #[error("it is too long, or no text")]
    #[diagnostic(help("check that `agent` names the agent's port and no other service's"))]
    UnreadableLine,
    /// No JSON.
    #[error("{0}")]
    #[diagnostic(help("the agent must write one JSON object a line: check its version and its address"))]
    Json(#[from] JsonError),
    /// JSON, but something else.
    #[error("it is no object")]
    #[diagnostic(help("the agent must write objects: look at its log for what it sent"))]
    NotAnObject,
    /// A member without which it says nothing.
    #[error("it has no {member}")]
    #[diagnostic(help(
        "the agent leaves out what its protocol asks for: run a version of it that goes with this one"
    ))]
    MissingMember {
        /// Which member.
        member: &'static str,
    },
    /// Base64 that is none.
    #[error("{member}: {reason}")]
    #[diagnostic(help(
        "the agent must encode bodies in base64 with padding: check what the application returns"
    ))]
    InvalidBase64 {
        /// Which member.
        member: &'static str,
        /// What the reader says.
        reason: base64::DecodeError,
    },
    /// A time that would overflow sums later.
    #[error("it lasted more than {days} days")]
    #[diagnostic(help("check the clock of the agent's machine: `lasted` is in milliseconds"))]
    DurationTooLong {
        /// The bound.
        days: u64,
    },
    /// A number that would make all later notices pass as told before.
    #[error("its cursor is no number")]
    #[diagnostic(help("the agent must number notices from 1 on in whole numbers: restart it"))]
    InvalidCursor,
    /// An end of a run that is not known.
    #[error("it has an unknown fate")]
    #[diagnostic(help(
        "the agent may be newer than this program: complete, error, cancelled and unknown are taken"
    ))]
    UnknownFate,
}
