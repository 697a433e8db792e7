//! The vault's wire format, without I/O: encoding of calls and parsing of replies, which are text lines.

use std::time::Duration;

use crate::core::{Bytes, End, Handle};
use crate::fleet::routes::Fence;
use crate::net::lines::LineDecoder;

/// The longest reply body.
const MAX_REPLY: usize = 16 << 10;

/// Parses replies incrementally: keeps the head of a reply whose body has not arrived completely.
#[derive(Debug, Default)]
pub struct ReplyParser {
    /// The request whose reply body is awaited, and the length of the body.
    head: Option<(Handle, usize)>,
    /// That body, if only the line end after it is missing.
    body: Option<Bytes>,
}

impl ReplyParser {
    /// Returns the next reply: the request, how the call ended, and the body if it succeeded. Returns `None` if no
    /// complete reply has arrived yet.
    pub fn next_reply(
        &mut self,
        lines: &mut LineDecoder,
    ) -> Result<Option<(Handle, End, Option<Bytes>)>, End> {
        if self.head.is_none() {
            let Some(line) = lines.next_line()? else { return Ok(None) };
            match parse_reply(&line)? {
                (handle, _, Some(len)) => self.head = Some((handle, len)),
                (handle, end, None) => return Ok(Some((handle, end, None))),
            }
        }
        let Some((handle, len)) = self.head else { return Ok(None) };
        if self.body.is_none() {
            self.body = lines.take_exact(len).map(Bytes::from);
        }
        if self.body.is_none() {
            return Ok(None);
        }
        match lines.next_line()? {
            None => Ok(None),
            Some(line) if line.is_empty() => {
                self.head = None;
                Ok(Some((handle, End::Complete, self.body.take())))
            }
            Some(_) => Err(End::Malformed),
        }
    }
}

/// Encodes a call. If the fleet's routes have been activated, the call carries a fourth field, `TURN.VERSION`: a
/// service that supports it refuses calls of a lower turn than it has seen, with `ID stale`. Without routes, and before
/// the first activation, this field is left out.
pub fn encode_ask(handle: Handle, timeout: Duration, body: &[u8], fence: Option<Fence>) -> Vec<u8> {
    let ms = timeout.as_millis().max(1);
    let fence = fence.filter(|f| f.turn > 0).map_or(String::new(), |f| format!(" {}.{}", f.turn, f.version));
    [format!("ask {handle} {ms} {}{fence}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat()
}

/// Parses the first line of a reply: the request, how the call ended, and the length of the body if one follows.
pub fn parse_reply(line: &str) -> Result<(Handle, End, Option<usize>), End> {
    let mut words = line.split(' ');
    let handle = words.next().and_then(|h| h.parse().ok()).ok_or(End::Malformed)?;
    let end = match words.next() {
        Some("yes") => End::Complete,
        Some("notnow") => End::NotNow,
        Some("failed") => End::Failed,
        Some("overdue") => End::Overdue,
        Some("pointless") => End::Pointless,
        Some("stale") => End::Stale,
        _ => return Err(End::Malformed),
    };
    let digits = |len: &&str| len.bytes().all(|b| b.is_ascii_digit());
    let number = |len: &str| Some(len).filter(digits).and_then(|len| len.parse().ok()).ok_or(End::Malformed);
    let len: Option<usize> = words.next().map(number).transpose()?;
    if words.next().is_some()
        || len.is_some() != (end == End::Complete)
        || len.is_some_and(|len| len > MAX_REPLY)
    {
        return Err(End::Malformed);
    }
    Ok((handle, end, len))
}
