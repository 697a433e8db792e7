//! Lines and counted bytes off a stream, within a bound.

use std::io;
use std::time::Instant;

use super::front::{is_timeout, read_some};
use super::stream::Conn;
use crate::core::End;

/// The longest line or body that a link may bring.
const MOST: usize = 64 << 10;

/// What was read off a link and not yet used.
pub(super) struct Buffer {
    stream: Conn,
    bytes: Vec<u8>,
    used: usize,
    until: Option<Instant>,
}

impl Buffer {
    pub(super) fn new(stream: Conn) -> Self {
        Self { stream, bytes: Vec::new(), used: 0, until: None }
    }

    /// Waits no longer than to this time.
    pub(super) fn until(&mut self, until: Instant) {
        self.until = Some(until);
    }

    /// All that came was used.
    pub(super) fn is_empty(&self) -> bool {
        self.used == self.bytes.len()
    }

    /// The next line, without its end.
    pub(super) fn line(&mut self) -> Result<String, End> {
        let mut looked = 0;
        loop {
            let rest = &self.bytes[self.used..];
            if let Some(len) = rest[looked..].iter().position(|b| *b == b'\n').map(|at| looked + at) {
                let line = rest[..len].strip_suffix(b"\r").unwrap_or(&rest[..len]);
                let line = std::str::from_utf8(line).map_err(|_| End::Malformed)?.to_string();
                self.used += len + 1;
                return Ok(line);
            }
            looked = rest.len();
            self.more()?;
        }
    }

    /// The next `len` bytes.
    pub(super) fn exact(&mut self, len: usize) -> Result<Vec<u8>, End> {
        while self.bytes.len() - self.used < len {
            self.more()?;
        }
        let bytes = self.bytes[self.used..self.used + len].to_vec();
        self.used += len;
        Ok(bytes)
    }

    fn more(&mut self) -> Result<(), End> {
        self.bytes.drain(..std::mem::take(&mut self.used));
        if self.bytes.len() > MOST {
            return Err(End::Malformed);
        }
        loop {
            if let Some(until) = self.until {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(End::Overdue);
                }
                self.stream.set_read_patience(left);
            }
            match read_some(&mut self.stream, &mut self.bytes) {
                Ok(0) => return Err(End::Broken),
                Ok(_) => return Ok(()),
                Err(e) if is_timeout(&e) || e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(End::Broken),
            }
        }
    }
}
