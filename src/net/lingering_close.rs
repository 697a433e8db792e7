//! The lingering close of client connections. Every client connection is closed here, whatever the reason.
//!
//! Closing a socket with unread bytes resets the connection, and the reset may overtake an answer that was written
//! before. A connection therefore ends in four steps: the last answer is written, the write side is shut down, further
//! input is read and discarded for a moment, and only then the descriptor is closed. The owner of the connection
//! ([`super::frontend`]) decides before the first step whether anything is left to answer.

use std::io::{self, Read};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use super::frontend::{read_some, ClientStream};
use super::pacing::Pacing;

/// At most this many bytes are read and discarded, which bounds the cost of a client that never stops writing.
const MAX_DISCARDED: usize = 1 << 20;
/// After this many bytes the connection pauses, so that the others get their turns.
const BYTES_PER_TURN: usize = 32 << 10;
/// How long the client may take to close its side as well.
pub(super) const TIMEOUT: Duration = Duration::from_millis(200);
/// The same once the process is about to end: bytes that were sent before the client saw the close arrive within this
/// time.
pub(super) const FINAL_TIMEOUT: Duration = Duration::from_millis(50);

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// All requests that were read are answered, and this side closes.
    Finished,
    /// The client is gone, so that a lingering close has no purpose.
    PeerGone,
}

/// Closes a connection; the client may take up to `timeout` to close its side. The descriptor is closed when the last
/// owner of `stream` drops it.
pub(super) fn close(stream: &mut impl ClientStream, end: ConnectionEnd, timeout: Duration, pacing: &Pacing) {
    if end == ConnectionEnd::PeerGone {
        return;
    }
    stream.notify_close();
    stream.conn().shutdown(Shutdown::Write);
    stream.conn().set_read_timeout(timeout);
    discard(stream, timeout, pacing);
}

/// Reads until the client closes its side, within limits of time and bytes.
fn discard(stream: &mut impl Read, timeout: Duration, pacing: &Pacing) {
    let (mut bytes, mut discarded, mut in_this_turn, since) = (Vec::new(), 0, 0, Instant::now());
    let mut turn_began = since;
    while discarded < MAX_DISCARDED && since.elapsed() < timeout {
        if in_this_turn >= BYTES_PER_TURN {
            pacing.pause_after(turn_began.elapsed());
            (in_this_turn, turn_began) = (0, Instant::now());
        }
        bytes.clear();
        match read_some(stream, &mut bytes) {
            Ok(read) if read > 0 => (discarded, in_this_turn) = (discarded + read, in_this_turn + read),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            _ => return,
        }
    }
}
