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

/// At most this many bytes are read and discarded, which bounds the cost of a client that never stops writing.
const MAX_DISCARDED: usize = 1 << 20;
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
pub(super) fn close(stream: &mut impl ClientStream, end: ConnectionEnd, timeout: Duration) {
    if end == ConnectionEnd::PeerGone {
        return;
    }
    stream.notify_close();
    stream.conn().shutdown(Shutdown::Write);
    stream.conn().set_read_timeout(timeout);
    discard(stream, timeout);
}

/// Reads until the client closes its side, within limits of time and bytes.
fn discard(stream: &mut impl Read, timeout: Duration) {
    let (mut bytes, mut discarded, since) = (Vec::new(), 0, Instant::now());
    while discarded < MAX_DISCARDED && since.elapsed() < timeout {
        bytes.clear();
        match read_some(stream, &mut bytes) {
            Ok(read) if read > 0 => discarded += read,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            _ => return,
        }
    }
}
