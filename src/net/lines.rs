//! Lines and counted bytes off a stream, within a bound.

use std::io;
use std::time::Instant;

use super::frontend::{is_timeout, read_some};
use super::stream::Conn;
use crate::core::End;

/// The longest line or body that a link may bring.
pub const MAX_LINE: usize = 64 << 10;

/// Lines out of the pieces in which they come, without I/O. Each byte is looked at once for the end of a line.
#[derive(Debug)]
pub struct LineDecoder {
    bytes: Vec<u8>,
    used: usize,
    /// Bytes behind `used` in which there is no end of a line.
    looked: usize,
    most: usize,
    work: u64,
}

impl LineDecoder {
    /// Lines of at most `most` bytes without their ends.
    pub fn new(most: usize) -> Self {
        Self { bytes: Vec::new(), used: 0, looked: 0, most, work: 0 }
    }

    /// Where more bytes are to be put, behind those that are there.
    pub fn buffer_mut(&mut self) -> &mut Vec<u8> {
        self.work += (self.bytes.len() - self.used) as u64 * u64::from(self.used > 0);
        self.bytes.drain(..std::mem::take(&mut self.used));
        &mut self.bytes
    }

    /// All that came was used.
    pub fn is_empty(&self) -> bool {
        self.used == self.bytes.len()
    }

    /// Bytes that came and were not used.
    pub fn unread(&self) -> usize {
        self.bytes.len() - self.used
    }

    /// Bytes that were looked at or moved so far.
    pub fn bytes_processed(&self) -> u64 {
        self.work
    }

    /// The next line, without its end; none while it is not there whole. [`End::Malformed`] where it is longer
    /// than it may be, or no text.
    pub fn next_line(&mut self) -> Result<Option<String>, End> {
        let rest = &self.bytes[self.used..];
        let found = rest[self.looked..].iter().position(|b| *b == b'\n').map(|at| self.looked + at);
        self.work += (found.map_or(rest.len(), |at| at + 1) - self.looked) as u64;
        let Some(len) = found else {
            self.looked = rest.len();
            return if rest.len() > self.most { Err(End::Malformed) } else { Ok(None) };
        };
        if len > self.most {
            return Err(End::Malformed);
        }
        let line = rest[..len].strip_suffix(b"\r").unwrap_or(&rest[..len]);
        let line = std::str::from_utf8(line).map_err(|_| End::Malformed)?.to_string();
        self.work += len as u64;
        (self.used, self.looked) = (self.used + len + 1, 0);
        Ok(Some(line))
    }

    /// The next `len` bytes, once they are there.
    pub fn take_exact(&mut self, len: usize) -> Option<Vec<u8>> {
        let bytes = self.bytes[self.used..].get(..len)?.to_vec();
        self.work += len as u64;
        (self.used, self.looked) = (self.used + len, 0);
        Some(bytes)
    }
}

/// What was read off a link and not yet used.
pub(super) struct LinkReader {
    stream: Conn,
    pub(super) lines: LineDecoder,
    until: Option<Instant>,
    /// Why nothing more comes, where the stream itself has ended.
    closed: Option<Closed>,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug)]
enum Closed {
    /// The other side closed it, or this one did.
    Cleanly,
    /// The system reported an error.
    WithError(io::ErrorKind),
}

impl LinkReader {
    pub(super) fn new(stream: Conn) -> Self {
        Self { stream, lines: LineDecoder::new(MAX_LINE), until: None, closed: None }
    }

    /// Waits no longer than to this time.
    pub(super) fn set_deadline(&mut self, until: Instant) {
        self.until = Some(until);
    }

    /// Why nothing more came, in words for the log.
    pub(super) fn describe_end(&self) -> String {
        let cut = match self.lines.unread() {
            0 => String::new(),
            bytes => format!(", {bytes} bytes of a line cut"),
        };
        match self.closed {
            Some(Closed::Cleanly) => format!("closed by a side{cut}"),
            Some(Closed::WithError(kind)) => format!("{kind}{cut}"),
            None => "given up by this side".to_string(),
        }
    }

    /// Waits for more bytes.
    pub(super) fn read_more(&mut self) -> Result<(), End> {
        loop {
            if let Some(until) = self.until {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(End::Overdue);
                }
                self.stream.set_read_patience(left);
            }
            match read_some(&mut self.stream, self.lines.buffer_mut()) {
                Ok(0) => {
                    self.closed = Some(Closed::Cleanly);
                    return Err(End::Broken);
                }
                Ok(_) => return Ok(()),
                Err(e) if is_timeout(&e) || e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    self.closed = Some(Closed::WithError(e.kind()));
                    return Err(End::Broken);
                }
            }
        }
    }
}
