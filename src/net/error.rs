//! The errors of this module: why a server cannot start or continue, and why a line of the agent is not a valid notice.

use std::io;
use std::net::SocketAddr;

use miette::Diagnostic;
use thiserror::Error;

use crate::core::CoreError;
use crate::fleet::{DriverError, MembershipThreadError};
use crate::json::JsonError;

/// Why a server cannot start or continue.
#[derive(Debug, Error, Diagnostic)]
pub enum NodeError {
    /// The membership of the fleet cannot be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Fleet(#[from] MembershipThreadError),
    /// The driver of the fleet's routes cannot be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Routes(#[from] DriverError),
    /// The settings do not allow any decisions.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Core(#[from] CoreError),
    /// A frontend cannot be opened.
    #[error("{key}: {address}: {source}")]
    #[diagnostic(help(
        "check which process uses this address, or set another one; beside a running server, start with its TMPDIR"
    ))]
    Frontend {
        /// The settings key of the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The admin endpoint cannot be opened.
    #[error("admin: {address}: {source}")]
    #[diagnostic(help(
        "give each process on this machine its own `admin` address (or RELAY_ADMIN), also during an upgrade"
    ))]
    Admin {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// TLS cannot be initialized.
    #[error("TLS: {0}")]
    #[diagnostic(help(
        "this build has no working TLS: remove `tls` from the appliance's file, or run another build"
    ))]
    Tls(rustls::Error),
    /// The predecessor cancelled the handover.
    #[error("handover: the running process cancelled it and continues to serve")]
    #[diagnostic(help(
        "its log shows the reason, such as a drain or a lost link: start the new process again once it is ready"
    ))]
    HandoverAborted,
}

/// Why a line of the agent is not a valid notice. A new link is opened after such a line.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum NoticeError {
    /// The line exceeds the maximum length, or is not UTF-8.
    #[error("the line is too long or not UTF-8")]
    #[diagnostic(help("check that `agent` names the agent's port and not that of another service"))]
    UnreadableLine,
    /// The line is not valid JSON.
    #[error("{0}")]
    #[diagnostic(help("the agent must write one JSON object a line: check its version and its address"))]
    Json(#[from] JsonError),
    /// The line is valid JSON, but not an object.
    #[error("the JSON value is not an object")]
    #[diagnostic(help("the agent must write objects: its log may show what it sent"))]
    NotAnObject,
    /// A required member is missing.
    #[error("the member {member} is missing")]
    #[diagnostic(help(
        "the protocol requires this member: run a version of the agent that is compatible with this program"
    ))]
    MissingMember {
        /// The name of the member.
        member: &'static str,
    },
    /// A member is not valid base64.
    #[error("the member {member} is not valid base64: {reason}")]
    #[diagnostic(help(
        "the agent must encode bodies in base64 with padding: check what the application returns"
    ))]
    InvalidBase64 {
        /// The name of the member.
        member: &'static str,
        /// The decoder's error.
        reason: base64::DecodeError,
    },
    /// The duration is so long that sums of durations would overflow.
    #[error("the duration exceeds the limit of {days} days")]
    #[diagnostic(help("check the clock of the agent's machine: `lasted` is in milliseconds"))]
    DurationTooLong {
        /// The limit.
        days: u64,
    },
    /// The cursor is so high that all later notices would look like repetitions, or it is not a whole number from 1 on.
    #[error("the cursor is not a whole number in the allowed range")]
    #[diagnostic(help("the agent must number its notices with whole numbers from 1 on: restart it"))]
    InvalidCursor,
    /// The outcome of a run has an unknown `fate`.
    #[error("the outcome has an unknown fate")]
    #[diagnostic(help(
        "the agent may be newer than this program, which knows complete, error, cancelled and unknown"
    ))]
    UnknownFate,
}
