//! The protocol between the members of a fleet: length-prefixed frames of `postcard` over TCP, with limits on every
//! length, queue and wait.
//!
//! - [`message`]: the requests, answers and pushes.
//! - [`raft`]: the messages of the replicated log among them, and its type configuration.
//! - [`codec`]: the encoding of frames, without I/O.
//! - [`net`]: the network that links use.
//! - [`client`] and [`server`]: the two ends of a link, on tokio.
//!
//! A link opens with one frame from each side (magic, protocol number, fleet, name). Foreign, too long and malformed
//! frames are counted and close the link. Messages that only a later version knows are ignored or refused, and the link
//! stays open. A peer that stops reading loses only its own link, after [`WRITE_TIMEOUT`].

pub mod client;
pub mod codec;
pub mod message;
pub mod net;
pub mod raft;
pub mod server;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;

pub use client::{Client, Pushed};
pub use codec::FrameError;
pub use message::{Push, Request, Response};
use net::{Net, Tcp};
pub use server::{Handler, RequestOrigin, ResponseFuture, Server};

/// The highest number of requests in flight on one link, at either end.
pub const MAX_IN_FLIGHT: usize = 32;
/// The highest number of links of a server; further connections are closed at once.
pub const MAX_LINKS: usize = 128;
/// The time limit for exchanging the openings of a connection.
pub const OPENING_TIMEOUT: Duration = Duration::from_secs(1);
/// A link is closed if a frame cannot be written in this time.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A link with open requests is closed if nothing is received for this long, so an answer has to take less.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// A server closes a link on which nothing is received for this long.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The time after a failed connection before the next attempt; requests made earlier fail at once.
pub const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Why a request has no answer, or a server could not start.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum WireError {
    /// There is no connection. The request was not sent.
    #[error("{peer} at {address} is unreachable: {kind}")]
    #[diagnostic(help("check that the member runs, that `fleet.routes.voters` has its address, and that the network between them is open"))]
    Unreachable {
        /// The name of the peer.
        peer: String,
        /// The address of the peer.
        address: SocketAddr,
        /// The kind of the system's error.
        kind: ErrorKind,
    },
    /// The link closed before the answer: the request may have been carried out.
    #[error("the link to {peer} closed before the answer: {kind}")]
    #[diagnostic(help("the request may have been carried out: check the state before you repeat it"))]
    Closed {
        /// The name of the peer.
        peer: String,
        /// The kind of the system's error.
        kind: ErrorKind,
    },
    /// No answer came in time: the request may have been carried out.
    #[error("{peer} did not answer in {} ms", timeout.as_millis())]
    #[diagnostic(help(
        "the request may have been carried out: check the state, and the load of that member"
    ))]
    Silent {
        /// The name of the peer.
        peer: String,
        /// The time limit of the request.
        timeout: Duration,
    },
    /// Too many requests are in flight on the link. The request was not sent.
    #[error("{MAX_IN_FLIGHT} requests to {peer} are already in flight")]
    #[diagnostic(help("the member answers too slowly: check its load, and the network to it"))]
    Busy {
        /// The name of the peer.
        peer: String,
    },
    /// The peer sent a frame that cannot be accepted, or the request does not fit into one.
    #[error("{peer}: {error}")]
    #[diagnostic(help("check that the address is that member's `fleet.routes.listen`, and that both run the same version of hopwalk"))]
    Frame {
        /// The name of the peer.
        peer: String,
        /// Why it was not accepted.
        error: FrameError,
    },
    /// The server cannot listen at its address.
    #[error("cannot listen at {address}: {kind}")]
    #[diagnostic(help("correct `fleet.routes.listen`, or stop the process that uses the address"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The kind of the system's error.
        kind: ErrorKind,
    },
    /// The runtime that ran the link has ended.
    #[error("the thread that runs the fleet's links has ended")]
    #[diagnostic(help("check this matcher's log, and restart it"))]
    Gone,
}

/// Counters of all links of a process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Links opened, by either end.
    pub opened: AtomicU64,
    /// Links closed, by either end.
    pub closed: AtomicU64,
    /// Connections closed because there were [`MAX_LINKS`] links.
    pub turned_away: AtomicU64,
    /// Links closed because the peer is another program, protocol, fleet or member.
    pub foreign: AtomicU64,
    /// Links closed because of a frame over its limit.
    pub too_long: AtomicU64,
    /// Links closed because of a frame that is not a message.
    pub malformed: AtomicU64,
    /// Messages with variants of a later version, or fields that matter: they were refused or ignored, and the link
    /// stays open.
    pub later: AtomicU64,
    /// Links closed because the peer did not read, or sent nothing in time.
    pub stalled: AtomicU64,
    /// Pushes dropped because a link's queue was full.
    pub pushes_dropped: AtomicU64,
    /// Frames written, including openings.
    pub frames_out: AtomicU64,
    /// Bytes of the frames written, including their length prefixes.
    pub bytes_out: AtomicU64,
    /// Complete frames read, including openings.
    pub frames_in: AtomicU64,
    /// Bytes read.
    pub bytes_in: AtomicU64,
}

impl Counters {
    fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts one frame of `bytes` that was written.
    fn count_sent_frame(&self, bytes: usize) {
        Self::increment(&self.frames_out);
        self.bytes_out.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts `bytes` that were read.
    fn count_received_bytes(&self, bytes: usize) {
        self.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count_frame_error(&self, error: &FrameError) {
        Self::increment(match error {
            FrameError::TooLong { .. } => &self.too_long,
            FrameError::Malformed => &self.malformed,
            FrameError::Later => &self.later,
            FrameError::Magic
            | FrameError::Protocol { .. }
            | FrameError::Fleet { .. }
            | FrameError::Name { .. } => &self.foreign,
        });
    }
}

/// The local end of a process's links.
#[derive(Clone, Debug)]
pub struct LocalEnd {
    /// The fleet's name; peers of another fleet are foreign.
    pub fleet: String,
    /// This member's name.
    pub name: String,
    /// The counters, which all links of the process share.
    pub counters: Arc<Counters>,
    /// The network that the links use.
    pub net: Arc<dyn Net>,
}

impl LocalEnd {
    /// Creates a local end over TCP, with its own counters.
    pub fn new(fleet: impl Into<String>, name: impl Into<String>) -> Self {
        Self { fleet: fleet.into(), name: name.into(), counters: Arc::default(), net: Arc::new(Tcp) }
    }
}
