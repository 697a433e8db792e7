//! How a caller's connection ends: the one place where it is closed, whatever the reason.
//!
//! A connection that is closed while bytes wait there unread is reset, and the reset may overtake an answer that was
//! written before it. So an end has four steps: the last answer is written, the write side is closed, what still comes
//! is read and thrown away for a moment, and only then the descriptor is closed. Whether there is anything left to
//! answer is decided before the first step, by the owner of the connection ([`super::frontend`]).

use std::io::{self, Read};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use super::frontend::{read_some, Stream};

/// Bytes that are read and thrown away at most, so that a client that writes without end costs no more than this.
const MOST_DISCARDED: usize = 1 << 20;
/// How long the other side may take to close as well.
pub(super) const PATIENCE: Duration = Duration::from_millis(200);
/// The same once the process is about to end: bytes that cross a close come within this time.
pub(super) const LAST_PATIENCE: Duration = Duration::from_millis(50);

/// How a connection came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// All that was read is answered, and this side closes.
    Finished,
    /// The other side is gone: there is nobody to close towards.
    PeerGone,
}

/// Closes a connection, towards a side that may take up to `patience` to close as well; the descriptor goes with the
/// last owner of `stream`.
pub(super) fn close(stream: &mut impl Stream, ending: Ending, patience: Duration) {
    if ending == Ending::PeerGone {
        return;
    }
    stream.end();
    stream.conn().shutdown(Shutdown::Write);
    stream.conn().set_read_patience(patience);
    discard(stream, patience);
}

/// Reads until the other side closes, within bounds of time and bytes.
fn discard(stream: &mut impl Read, patience: Duration) {
    let (mut bytes, mut discarded, since) = (Vec::new(), 0, Instant::now());
    while discarded < MOST_DISCARDED && since.elapsed() < patience {
        bytes.clear();
        match read_some(stream, &mut bytes) {
            Ok(read) if read > 0 => discarded += read,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            _ => return,
        }
    }
}
