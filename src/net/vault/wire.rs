//! The vault's text lines, without I/O: a call in bytes, and the replies.

use std::time::Duration;

use crate::core::{Bytes, End, Handle};
use crate::fleet::routes::Fence;
use crate::net::lines::LineDecoder;

/// The longest reply.
const MOST_REPLY: usize = 16 << 10;

/// Reads replies off lines, and keeps the head of one whose body is not there yet.
#[derive(Debug, Default)]
pub struct ReplyParser {
    /// Whose body is awaited, and its length.
    head: Option<(Handle, usize)>,
    /// That body, whose line is not ended yet.
    body: Option<Bytes>,
}

impl ReplyParser {
    /// The next reply: whose it is, how the call ended, and the body where it went well; none while it is not there
    /// whole.
    pub fn next_reply(
        &mut self,
        lines: &mut LineDecoder,
    ) -> Result<Option<(Handle, End, Option<Bytes>)>, End> {
        if self.head.is_none() {
            let Some(line) = lines.next_line()? else { return Ok(None) };
            match parse_reply(&line)? {
                (whose, _, Some(len)) => self.head = Some((whose, len)),
                (whose, end, None) => return Ok(Some((whose, end, None))),
            }
        }
        let Some((whose, len)) = self.head else { return Ok(None) };
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
                Ok(Some((whose, End::Complete, self.body.take())))
            }
            Some(_) => Err(End::Malformed),
        }
    }
}

/// A call in bytes. Under a turn of the fleet's routes it carries a fourth word, `TURN.VERSION`: a service that knows it
/// refuses a lower turn than it saw, with `ID stale`. Without routes, and before any activation, there is no such word.
pub fn encode_ask(handle: Handle, patience: Duration, body: &[u8], fence: Option<Fence>) -> Vec<u8> {
    let ms = patience.as_millis().max(1);
    let fence = fence.filter(|f| f.turn > 0).map_or(String::new(), |f| format!(" {}.{}", f.turn, f.version));
    [format!("ask {handle} {ms} {}{fence}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat()
}

/// Reads the line of a reply: the request, how the call ended, and the length of what follows.
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
        || len.is_some_and(|len| len > MOST_REPLY)
    {
        return Err(End::Malformed);
    }
    Ok((handle, end, len))
}
