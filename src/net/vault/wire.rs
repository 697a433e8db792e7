//! The vault's wire format, without I/O: encoding of calls and parsing of replies.
//!
//! A reply is exactly one of
//!
//! ```text
//! ID SP "yes" SP LENGTH CR LF body CR LF
//! ID SP ("notnow" | "failed" | "overdue" | "pointless" | "stale") CR LF
//! ```
//!
//! ID is 16 hexadecimal digits, LENGTH a decimal number without sign or leading zero, and the body has LENGTH bytes.
//! Nothing else is accepted: a reply that was changed on the way must not pass for another one.

use std::time::Duration;

use crate::core::{Bytes, End, Handle};
use crate::fleet::routes::Fence;
use crate::net::error::{Excerpt, ReplyError};
use crate::net::lines::{LineDecoder, LineEnd};

/// The longest reply body.
const MAX_REPLY: usize = 16 << 10;
/// The longest first line that is buffered; valid ones have at most 27 bytes.
const MAX_HEAD: usize = 64;
/// The length of the id at the beginning of a reply.
const ID_LEN: usize = 16;
/// What follows a body.
const BODY_END: &[u8] = b"\r\n";
/// The word of a reply with a body.
const YES: &str = "yes";

/// The words of replies without a body.
const STATUS_WORDS: [(&str, End); 5] = [
    ("notnow", End::NotNow),
    ("failed", End::Failed),
    ("overdue", End::Overdue),
    ("pointless", End::Pointless),
    ("stale", End::Stale),
];

/// A reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The request that it names.
    pub handle: Handle,
    /// How the call ended.
    pub end: End,
    /// The body, if the call succeeded.
    pub body: Option<Bytes>,
}

/// The first line of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyHead {
    /// The request that it names.
    pub handle: Handle,
    /// How the call ended.
    pub end: End,
    /// The length of the body, if one follows.
    pub body_len: Option<usize>,
}

/// Why the parser of a first line stopped.
enum Stop {
    /// The line is valid so far, but not complete.
    Incomplete {
        at: usize,
        expected: &'static str,
    },
    Invalid(ReplyError),
}

impl From<Stop> for ReplyError {
    fn from(stop: Stop) -> Self {
        match stop {
            Stop::Incomplete { at, expected } => Self::Unexpected { at, expected, found: Excerpt::of(&[]) },
            Stop::Invalid(error) => error,
        }
    }
}

/// Parses replies incrementally: keeps the head of a reply whose body has not arrived completely.
#[derive(Debug, Default)]
pub struct ReplyParser {
    /// The request whose reply body is awaited, the length of the head, and that of the body.
    head: Option<(Handle, usize, usize)>,
}

impl ReplyParser {
    /// Creates the decoder that buffers the bytes of a connection for the parser.
    pub fn new_buffer() -> LineDecoder {
        LineDecoder::new(MAX_HEAD, LineEnd::CrLf)
    }

    /// Returns the next reply, or `None` if no complete one has arrived yet. After an error nothing more can be read.
    ///
    /// # Errors
    /// [`ReplyError`] if the bytes are not a reply.
    pub fn next_reply(&mut self, lines: &mut LineDecoder) -> Result<Option<Reply>, ReplyError> {
        if self.head.is_none() {
            let Some(line) = lines.next_line()? else { return Ok(None) };
            match parse_reply_head(&line)? {
                ReplyHead { handle, end, body_len: None } => {
                    return Ok(Some(Reply { handle, end, body: None }))
                }
                ReplyHead { handle, body_len: Some(len), .. } => {
                    self.head = Some((handle, line.len() + BODY_END.len(), len));
                }
            }
        }
        let Some((handle, head_len, len)) = self.head else { return Ok(None) };
        // A wrong end is reported as soon as its first byte has arrived: the next one may never come.
        let body_end = lines.rest().iter().skip(len).zip(BODY_END);
        if let Some((place, (byte, _))) = body_end.enumerate().find(|(_, (byte, expected))| byte != expected)
        {
            let (at, found) = (head_len + len + place, Excerpt::of(&[*byte]));
            return Err(ReplyError::BodyEnd { at, len, found });
        }
        let Some(mut body) = lines.take_exact(len + BODY_END.len()) else { return Ok(None) };
        body.truncate(len);
        self.head = None;
        Ok(Some(Reply { handle, end: End::Complete, body: Some(body.into()) }))
    }
}

/// What stands behind a reply on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Following {
    /// Nothing, or further replies.
    Complete,
    /// The beginning of a reply. Only the bytes to come tell whether it is one.
    Incomplete,
}

/// Checks the bytes that have arrived behind a reply: they must be further replies, the last one perhaps incomplete.
/// Otherwise the reply before them may have been cut short by a stated length that is too low.
///
/// # Errors
/// [`ReplyError::BytesBehind`] if they are not.
pub fn check_bytes_behind(bytes: &[u8]) -> Result<Following, ReplyError> {
    let mut lines = ReplyParser::new_buffer();
    lines.buffer_mut().extend_from_slice(bytes);
    let mut parser = ReplyParser::default();
    loop {
        match parser.next_reply(&mut lines) {
            Ok(Some(_)) => {}
            Ok(None) if parser.head.is_none() && lines.is_empty() => return Ok(Following::Complete),
            Ok(None) if parser.head.is_some() || can_begin_reply(lines.rest()) => {
                return Ok(Following::Incomplete)
            }
            Ok(None) | Err(_) => {
                return Err(ReplyError::BytesBehind { len: bytes.len(), found: Excerpt::of(bytes) })
            }
        }
    }
}

/// Whether an incomplete line may become the first line of a reply.
fn can_begin_reply(partial: &[u8]) -> bool {
    match partial.strip_suffix(b"\r") {
        Some(line) => parse_head(line).is_ok(),
        None => !matches!(parse_head(partial), Err(Stop::Invalid(_))),
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

/// Parses the first line of a reply, without its end.
///
/// # Errors
/// [`ReplyError`] if it is not exactly what the protocol allows.
pub fn parse_reply_head(line: &str) -> Result<ReplyHead, ReplyError> {
    Ok(parse_head(line.as_bytes())?)
}

fn parse_head(line: &[u8]) -> Result<ReplyHead, Stop> {
    let unexpected = |at: usize, expected| match line.get(at..) {
        Some([_, ..]) => {
            Stop::Invalid(ReplyError::Unexpected { at, expected, found: Excerpt::of(&line[at..]) })
        }
        _ => Stop::Incomplete { at: line.len(), expected },
    };
    let digits = line.iter().take(ID_LEN).take_while(|b| b.is_ascii_hexdigit()).count();
    if digits < ID_LEN {
        return Err(unexpected(digits, "16 hexadecimal digits"));
    }
    let handle = std::str::from_utf8(&line[..ID_LEN]).ok().and_then(|id| id.parse().ok());
    let handle = handle.ok_or_else(|| unexpected(0, "16 hexadecimal digits"))?;
    if line.get(ID_LEN) != Some(&b' ') {
        return Err(unexpected(ID_LEN, "single space"));
    }
    let word_at = ID_LEN + 1;
    let rest = &line[word_at..];
    let status = STATUS_WORDS.iter().find(|(word, _)| rest == word.as_bytes());
    if let Some((_, end)) = status {
        return Ok(ReplyHead { handle, end: *end, body_len: None });
    }
    if let Some(stated) = rest.strip_prefix(YES.as_bytes()) {
        let space_at = word_at + YES.len();
        if stated.first() != Some(&b' ') {
            return Err(unexpected(space_at, "single space"));
        }
        let body_len = parse_length(&stated[1..], |at| unexpected(space_at + 1 + at, "length"))?;
        return Ok(ReplyHead { handle, end: End::Complete, body_len: Some(body_len) });
    }
    let words = STATUS_WORDS.iter().map(|(word, _)| *word).chain([YES]);
    let is_begun = words.into_iter().any(|word| word.as_bytes().starts_with(rest));
    Err(unexpected(if is_begun { line.len() } else { word_at }, "known word"))
}

/// Parses a decimal number without sign or leading zero. `invalid` makes the error for the byte at a place.
fn parse_length(text: &[u8], invalid: impl Fn(usize) -> Stop) -> Result<usize, Stop> {
    let digits = text.iter().take_while(|b| b.is_ascii_digit()).count();
    if digits == 0 || digits < text.len() {
        return Err(invalid(digits));
    }
    if text[0] == b'0' && digits > 1 {
        return Err(invalid(0));
    }
    let len = std::str::from_utf8(text).ok().and_then(|text| text.parse().ok());
    len.filter(|len| *len <= MAX_REPLY).ok_or(Stop::Invalid(ReplyError::TooLong { limit: MAX_REPLY }))
}
