//! The errors of this module: why a server cannot start or continue, and why bytes of a peer are not a valid message.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use miette::Diagnostic;
use thiserror::Error;

use crate::core::{CoreError, End};
use crate::fleet::{DriverError, MembershipThreadError};
use crate::json::MembersError;

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

/// Why bytes are not a line of a protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum LineError {
    /// No end of a line came within the limit.
    #[error("the line exceeds {limit} bytes")]
    #[diagnostic(help(
        "check that the configured address is that of the right service, and what it writes"
    ))]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The line is not UTF-8.
    #[error("byte {at} of the line: not UTF-8")]
    #[diagnostic(help(
        "record the connection's bytes near the peer: they were changed, or it writes binary data"
    ))]
    NotText {
        /// The first invalid byte, counted from 0.
        at: usize,
    },
    /// The protocol's lines end in CR LF.
    #[error("byte {at} of the line: LF without CR")]
    #[diagnostic(help(
        "the peer must end each line in both characters; a proxy that rewrites text must be removed"
    ))]
    BareLineFeed {
        /// The place of the LF, counted from 0.
        at: usize,
    },
}

/// The first bytes of what was found in place of something valid, for the log.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Excerpt {
    bytes: [u8; Self::MAX_LEN],
    len: usize,
}

impl Excerpt {
    /// How many bytes are shown.
    const MAX_LEN: usize = 6;

    /// The beginning of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        let len = bytes.len().min(Self::MAX_LEN);
        let mut excerpt = Self { bytes: [0; Self::MAX_LEN], len };
        excerpt.bytes[..len].copy_from_slice(&bytes[..len]);
        excerpt
    }
}

impl fmt::Display for Excerpt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.bytes[..self.len] {
            [] => f.write_str("the end"),
            bytes => write!(f, "'{}'", bytes.escape_ascii()),
        }
    }
}

impl fmt::Debug for Excerpt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Why the response of an SCGI service is not valid. The request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum ResponseError {
    /// The connection ended within the head.
    #[error("it ends within its head")]
    #[diagnostic(help("the service closed the connection early: look for a crash or a time limit there"))]
    HeadCut,
    /// A line of the head is no field.
    #[error("a line of its head is not a name, a colon and a value")]
    #[diagnostic(help(
        "print header fields first, then an empty line: a stray message may stand before them"
    ))]
    InvalidField,
    /// Some lines end in CR LF, and some in LF.
    #[error("its lines end in CR LF and in LF")]
    #[diagnostic(help(
        "let the service use one form throughout; a library and print statements may disagree"
    ))]
    MixedLineEnds,
    /// Fields follow the empty line, and no Content-Length precedes it.
    #[error("its body begins with fields of a head")]
    #[diagnostic(help(
        "only one blank line may come, after all of the fields: check what prints the first lines"
    ))]
    HeadInBody,
    /// Neither field is there, one of which every response has.
    #[error("it has neither Status nor Content-Type")]
    #[diagnostic(help("the service must send a field such as `Status: 200 OK`, on success as well"))]
    MissingStatus,
    /// `Status` is no number of three digits, or stands twice.
    #[error("its Status is not one number of three digits")]
    #[diagnostic(help("begin the value with an HTTP code, and set the field a single time"))]
    InvalidStatus,
    /// `Content-Length` is no number, or stands twice.
    #[error("its Content-Length is not one number")]
    #[diagnostic(help("leave the field to the service's library, or write plain digits a single time"))]
    InvalidLength,
    /// The connection ended within the body.
    #[error("its body has {actual} of {stated} bytes")]
    #[diagnostic(help("the service or a proxy closed early: compare its log at this time"))]
    BodyCut {
        /// What Content-Length states.
        stated: usize,
        /// What came.
        actual: usize,
    },
    /// More bytes came than were stated.
    #[error("its body has {actual} bytes in place of {stated}")]
    #[diagnostic(help("count the length in bytes, not in characters, and write nothing afterwards"))]
    BodyTooLong {
        /// What Content-Length states.
        stated: usize,
        /// What came.
        actual: usize,
    },
    /// The response exceeds the limit.
    #[error("it exceeds {limit} bytes")]
    #[diagnostic(help("let the service return less, such as a reference to a large result"))]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
}

impl ResponseError {
    /// How the exchange counts: as broken off where the response was cut, otherwise as malformed.
    pub fn end(self) -> End {
        match self {
            Self::HeadCut | Self::BodyCut { .. } => End::Broken,
            _ => End::Malformed,
        }
    }
}

/// Why bytes of the dependency are not a valid reply. The call's result is unknown then: it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum ReplyError {
    /// The first line of the reply is no line.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Line(#[from] LineError),
    /// The response of an SCGI service.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Response(#[from] ResponseError),
    /// The first line is not what the protocol allows.
    #[error("byte {at}: no {expected}, but {found}")]
    #[diagnostic(help(
        "compare the vault's version with this program's: both must speak the same protocol"
    ))]
    Unexpected {
        /// Where, counted in bytes from the beginning of the reply.
        at: usize,
        /// What the protocol has there.
        expected: &'static str,
        /// What is there.
        found: Excerpt,
    },
    /// The stated length is above the limit.
    #[error("the stated length exceeds {limit} bytes")]
    #[diagnostic(help("find out why the called service answers at such size: results have to be smaller"))]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// CR LF does not follow the body, so that the body or its stated length is wrong.
    #[error("byte {at}: no CR LF behind the body, but {found}")]
    #[diagnostic(help(
        "the vault or a proxy before it states a wrong length, or loses or adds bytes: look there"
    ))]
    BodyEnd {
        /// Where, counted in bytes from the beginning of the reply.
        at: usize,
        /// The stated length.
        len: usize,
        /// What is there.
        found: Excerpt,
    },
    /// What follows the reply cannot begin another one, so that the reply may be part of a longer one.
    #[error("{len} bytes behind it begin no reply: {found}")]
    #[diagnostic(help("the stated length is too low, or something else writes to the vault's connections"))]
    BytesBehind {
        /// How many bytes had arrived.
        len: usize,
        /// The first of them.
        found: Excerpt,
    },
}

/// Why a line of the handover link is not valid. The link is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum HandoverLineError {
    /// The first word is unknown, or there are more or fewer fields than this message has.
    #[error("it is no message with its number of fields")]
    #[diagnostic(help("start a version that can take over from the running one, or stop that one first"))]
    UnknownMessage,
    /// A field has no valid value, or one that is written in another way.
    #[error("the field {field} is not written as this program writes it")]
    #[diagnostic(help("if both processes are of one build, report a defect with this line of the log"))]
    InvalidField {
        /// The name of the field.
        field: &'static str,
    },
}

/// Why a line of the agent is not a valid notice. A new link is opened after such a line.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum NoticeError {
    /// The line exceeds the maximum length, or is not UTF-8.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Line(#[from] LineError),
    /// The line is not an object of JSON.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Json(#[from] MembersError),
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
    /// The number of the notice is not the next one: notices were lost, or the number was changed on the way.
    #[error("notice {found} came in place of notice {expected}")]
    #[diagnostic(help(
        "one reconnect is normal after a fault of the network; if it recurs, look at the agent's log"
    ))]
    OutOfSequence {
        /// The number that had to come.
        expected: u64,
        /// The number that came.
        found: u64,
    },
    /// A member has another type of value.
    #[error("the member {member} has the wrong type")]
    #[diagnostic(help(
        "strings stand in quotes, numbers do not, and null is no value: correct the agent's output"
    ))]
    WrongType {
        /// The name of the member.
        member: &'static str,
    },
    /// The handle is not 16 hexadecimal digits.
    #[error("the handle is not 16 hexadecimal digits")]
    #[diagnostic(help(
        "the agent must repeat request ids as it was given them, in each notice about their runs"
    ))]
    InvalidHandle,
    /// The duration is negative.
    #[error("the duration is negative")]
    #[diagnostic(help(
        "the clock of the agent's machine was set back: it should measure with a monotonic one"
    ))]
    NegativeDuration,
    /// The notice has an unknown `event`.
    #[error("the notice has an unknown event")]
    #[diagnostic(help("run an agent of the protocol's version that this program was built for"))]
    UnknownEvent,
    /// The greeting has an unknown `fate`.
    #[error("the greeting has an unknown fate")]
    #[diagnostic(help(
        "the agent says chilly or hot there; anything else comes from a newer or a faulty one"
    ))]
    UnknownState,
    /// A sample has a ticket that this program did not give.
    #[error("the sample has an unknown ticket")]
    #[diagnostic(help(
        "the agent must return tickets unchanged: check whether a second client uses its link"
    ))]
    UnknownTicket,
    /// The outcome of a run has an unknown `fate`.
    #[error("the outcome has an unknown fate")]
    #[diagnostic(help(
        "the agent may be newer than this program, which knows complete, error, cancelled and unknown"
    ))]
    UnknownFate,
}
