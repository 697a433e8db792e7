//! Decoding of lines and of bodies of a given length from a byte stream, within a length limit.
//!
//! [`LineDecoder`] decodes received bytes without I/O. `LinkReader` reads a link's connection into such a decoder, with
//! a deadline, and records how the stream ended.

use std::io;
use std::time::Instant;

use super::error::LineError;
use super::frontend::{is_timeout, read_some};
use super::stream::Conn;
use crate::core::End;

/// The longest line accepted on the agent's link, in bytes.
pub const MAX_LINE: usize = 64 << 10;

/// How a protocol ends its lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineEnd {
    /// LF. A CR before it belongs to the line.
    LineFeed,
    /// CR LF. LF alone is an error.
    CrLf,
    /// Either of them, where people type lines with tools of their own.
    Any,
}

/// An incremental decoder of lines, without I/O. Each byte is searched once for the end of a line.
#[derive(Debug)]
pub struct LineDecoder {
    bytes: Vec<u8>,
    consumed: usize,
    /// The number of bytes after `consumed` that are known to contain no end of a line.
    scanned: usize,
    max_len: usize,
    line_end: LineEnd,
    bytes_processed: u64,
}

impl LineDecoder {
    /// Creates a decoder of lines of at most `max_len` bytes, not counting the LF.
    pub fn new(max_len: usize, line_end: LineEnd) -> Self {
        Self { bytes: Vec::new(), consumed: 0, scanned: 0, max_len, line_end, bytes_processed: 0 }
    }

    /// The buffer, to which the caller appends received bytes.
    pub fn buffer_mut(&mut self) -> &mut Vec<u8> {
        self.bytes_processed += (self.bytes.len() - self.consumed) as u64 * u64::from(self.consumed > 0);
        self.bytes.drain(..std::mem::take(&mut self.consumed));
        &mut self.bytes
    }

    /// All received bytes have been decoded.
    pub fn is_empty(&self) -> bool {
        self.consumed == self.bytes.len()
    }

    /// The number of received bytes that have not been decoded.
    pub fn unread(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// The number of bytes scanned, copied or moved so far, which measures the cost of decoding.
    pub fn bytes_processed(&self) -> u64 {
        self.bytes_processed
    }

    /// The received bytes that have not been decoded.
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Returns the next line without its end, or `None` while it is incomplete. A line that is not UTF-8 is skipped, and
    /// the lines behind it can be read; the other errors leave no place to go on from.
    ///
    /// # Errors
    /// [`LineError`] if the line is too long, not UTF-8, or does not end as the protocol's lines do.
    pub fn next_line(&mut self) -> Result<Option<String>, LineError> {
        let rest = &self.bytes[self.consumed..];
        let found = rest[self.scanned..].iter().position(|b| *b == b'\n').map(|at| self.scanned + at);
        self.bytes_processed += (found.map_or(rest.len(), |at| at + 1) - self.scanned) as u64;
        let too_long = LineError::TooLong { limit: self.max_len };
        let Some(len) = found else {
            self.scanned = rest.len();
            return if rest.len() > self.max_len { Err(too_long) } else { Ok(None) };
        };
        if len > self.max_len {
            return Err(too_long);
        }
        let whole = &rest[..len];
        let line = match (self.line_end, whole.strip_suffix(b"\r")) {
            (LineEnd::LineFeed, _) | (LineEnd::Any, None) => whole,
            (LineEnd::CrLf | LineEnd::Any, Some(line)) => line,
            (LineEnd::CrLf, None) => return Err(LineError::BareLineFeed { at: len }),
        };
        let line = match std::str::from_utf8(line) {
            Ok(line) => Ok(Some(line.to_string())),
            Err(e) => Err(LineError::NotText { at: e.valid_up_to() }),
        };
        self.bytes_processed += len as u64;
        (self.consumed, self.scanned) = (self.consumed + len + 1, 0);
        line
    }

    /// Returns the next `len` bytes, or `None` while fewer have been received.
    pub fn take_exact(&mut self, len: usize) -> Option<Vec<u8>> {
        let bytes = self.bytes[self.consumed..].get(..len)?.to_vec();
        self.bytes_processed += len as u64;
        (self.consumed, self.scanned) = (self.consumed + len, 0);
        Some(bytes)
    }
}

/// Reads a link's connection into a line decoder.
pub(super) struct LinkReader {
    stream: Conn,
    pub(super) lines: LineDecoder,
    deadline: Option<Instant>,
    /// How the stream ended, if it has.
    stream_end: Option<StreamEnd>,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug)]
enum StreamEnd {
    /// Either side closed the connection.
    EndOfFile,
    /// The operating system reported an error.
    Error(io::ErrorKind),
}

impl LinkReader {
    pub(super) fn new(stream: Conn, lines: LineDecoder) -> Self {
        Self { stream, lines, deadline: None, stream_end: None }
    }

    /// Appends bytes that have arrived already, without waiting for any.
    pub(super) fn read_arrived(&mut self) {
        if self.stream.has_unread() {
            // The next read reports an error of this one.
            let _ = read_some(&mut self.stream, self.lines.buffer_mut());
        }
    }

    /// Sets the time at which [`LinkReader::read_more`] stops waiting.
    pub(super) fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
    }

    /// Describes for the log why reading ended.
    pub(super) fn describe_end(&self) -> String {
        let cut = match self.lines.unread() {
            0 => String::new(),
            bytes => format!(", {bytes} bytes of an incomplete line lost"),
        };
        match self.stream_end {
            Some(StreamEnd::EndOfFile) => format!("connection closed{cut}"),
            Some(StreamEnd::Error(kind)) => format!("{kind}{cut}"),
            None => "abandoned by this side".to_string(),
        }
    }

    /// Waits for more bytes and appends them to the decoder's buffer. Bytes that are read after the deadline count as not
    /// received, although they may have arrived before it: the process may have stood still.
    pub(super) fn read_more(&mut self) -> Result<(), End> {
        loop {
            if let Some(deadline) = self.deadline {
                let remaining = deadline.saturating_duration_since(Instant::now());
                if remaining.is_zero() {
                    return Err(End::Overdue);
                }
                self.stream.set_read_timeout(remaining);
            }
            match read_some(&mut self.stream, self.lines.buffer_mut()) {
                Ok(0) => {
                    self.stream_end = Some(StreamEnd::EndOfFile);
                    return Err(End::Broken);
                }
                Ok(_) if self.deadline.is_some_and(|deadline| Instant::now() >= deadline) => {
                    return Err(End::Overdue);
                }
                Ok(_) => return Ok(()),
                Err(e) if is_timeout(&e) || e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    self.stream_end = Some(StreamEnd::Error(e.kind()));
                    return Err(End::Broken);
                }
            }
        }
    }
}
