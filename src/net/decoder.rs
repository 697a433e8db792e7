//! Incremental decoding of messages from a byte stream, without I/O.
//!
//! A message consists of a head, which gives the length of the body, and that body. A [`Framing`] knows the format of
//! one protocol; a [`MessageDecoder`] buffers the received bytes and returns whole messages. The result does not depend
//! on how the stream is split into reads, and each byte is processed a bounded number of times. The head is parsed once
//! its end has been found, and before that only each time the number of buffered bytes has doubled, so that input that
//! can never become a head is rejected early. If the head were parsed again after every read, a head of 8 KiB that
//! arrives byte by byte would cost 33 MB of parsing.

use super::fields::RequestError;

/// The message format of a protocol.
pub trait Framing: Copy {
    /// The content of a parsed head.
    type Head;
    /// The message that is built from a head and its body.
    type Message;
    /// The longest head in bytes.
    const MAX_HEAD: usize;

    /// Searches `bytes` for the end of the head, from where `scan` stopped; true if the head may be complete.
    fn head_may_be_complete(&self, bytes: &[u8], scan: &mut Scan) -> bool;

    /// Parses the head at the start of `bytes`, which holds at most [`Framing::MAX_HEAD`] bytes. Returns `None` while
    /// the head is incomplete.
    fn parse_head(&self, bytes: &[u8]) -> Result<Option<ParsedHead<Self::Head>>, RequestError>;

    /// Builds the message.
    fn build_message(&self, head: ParsedHead<Self::Head>, body: &[u8])
        -> Result<Self::Message, RequestError>;

    /// Checks the bytes that have been received after the body, of which there is at least one. By them a body is found
    /// that is longer than its stated length.
    fn check_following(&self, following: &[u8]) -> Result<Following, RequestError>;

    /// The error for a head that does not end within [`Framing::MAX_HEAD`] bytes.
    fn head_too_large(&self) -> RequestError {
        RequestError { status: 431, reason: "the head is too large" }
    }
}

/// What follows a message, as far as it has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Following {
    /// What may follow a message.
    Valid,
    /// It can become that, or not.
    Undecided,
}

/// A parsed head and the lengths of both parts of its message.
#[derive(Clone, Debug)]
pub struct ParsedHead<H> {
    /// The content of the head.
    pub head: H,
    /// The length of the head in bytes.
    pub head_len: usize,
    /// The length of the body that follows, in bytes.
    pub body_len: usize,
}

/// The progress of the search for the end of a head.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scan {
    scanned: usize,
    /// A byte other than CR and LF has been found.
    has_text: bool,
    /// Nothing but CR bytes has been found since the last LF.
    after_line_feed: bool,
}

impl Scan {
    /// Searches for an empty line after a line with text, where `\n` or `\r\n` ends a line.
    pub fn finds_blank_line(&mut self, bytes: &[u8]) -> bool {
        while let Some(byte) = bytes.get(self.scanned) {
            self.scanned += 1;
            match byte {
                b'\n' if self.after_line_feed && self.has_text => return true,
                b'\n' => self.after_line_feed = true,
                b'\r' => {}
                _ => (self.has_text, self.after_line_feed) = (true, false),
            }
        }
        false
    }
}

/// An incomplete head is first parsed when this many bytes are buffered.
const FIRST_PARSE_AT: usize = 16;

/// Buffers the bytes received on a connection and decodes them into messages.
#[derive(Debug)]
pub struct MessageDecoder<F: Framing> {
    framing: F,
    bytes: Vec<u8>,
    /// Bytes at the start of `bytes` that belong to messages already returned.
    consumed: usize,
    scan: Scan,
    next_parse_at: usize,
    parsed: Option<ParsedHead<F::Head>>,
    /// A message that is complete, with its length, while the bytes after it do not tell yet whether they may follow it.
    undecided: Option<(F::Message, usize)>,
    bytes_processed: u64,
}

impl<F: Framing> MessageDecoder<F> {
    /// Creates a decoder with an empty buffer.
    pub fn new(framing: F) -> Self {
        Self {
            framing,
            bytes: Vec::new(),
            consumed: 0,
            scan: Scan::default(),
            next_parse_at: FIRST_PARSE_AT,
            parsed: None,
            undecided: None,
            bytes_processed: 0,
        }
    }

    /// The buffer, to which the caller appends received bytes.
    pub fn buffer_mut(&mut self) -> &mut Vec<u8> {
        // Only bytes that are not decoded yet are moved, once per read.
        self.bytes_processed += (self.bytes.len() - self.consumed) as u64 * u64::from(self.consumed > 0);
        self.bytes.drain(..std::mem::take(&mut self.consumed));
        &mut self.bytes
    }

    /// All received bytes have been returned in messages.
    pub fn is_empty(&self) -> bool {
        self.consumed == self.bytes.len()
    }

    /// The number of bytes scanned, parsed or moved so far, which measures the cost of decoding.
    pub fn bytes_processed(&self) -> u64 {
        self.bytes_processed
    }

    /// A message is complete, but the bytes after it do not tell yet whether they may follow it.
    pub fn is_undecided(&self) -> bool {
        self.undecided.is_some()
    }

    /// Reports the error in the remaining bytes once the input has ended. An incomplete head is not parsed after every
    /// read, so this may find an error that [`MessageDecoder::next_message`] has not reported.
    pub fn finish(&mut self) -> Option<RequestError> {
        self.next_parse_at = 0;
        self.next_message().err()
    }

    /// Returns the next message and its length in bytes, or `None` while it is incomplete. After an error the rest of
    /// the input must not be decoded.
    pub fn next_message(&mut self) -> Result<Option<(F::Message, usize)>, RequestError> {
        let built = match self.undecided.take() {
            Some(built) => Some(built),
            None => self.build_next()?,
        };
        let Some((message, message_len)) = built else { return Ok(None) };
        let following = &self.bytes[self.consumed + message_len..];
        if !following.is_empty() && self.framing.check_following(following)? == Following::Undecided {
            self.undecided = Some((message, message_len));
            return Ok(None);
        }
        self.consumed += message_len;
        (self.scan, self.next_parse_at) = (Scan::default(), FIRST_PARSE_AT);
        Ok(Some((message, message_len)))
    }

    /// Builds the next message without consuming its bytes, or returns `None` while it is incomplete.
    fn build_next(&mut self) -> Result<Option<(F::Message, usize)>, RequestError> {
        let Some(parsed) = self.next_head()? else { return Ok(None) };
        let message_len = parsed.head_len + parsed.body_len;
        let Some(body) = self.bytes[self.consumed..].get(parsed.head_len..message_len) else {
            self.parsed = Some(parsed);
            return Ok(None);
        };
        let message = self.framing.build_message(parsed, body)?;
        self.bytes_processed += message_len as u64;
        Ok(Some((message, message_len)))
    }

    /// Returns the head of the next message, or `None` while it is incomplete.
    fn next_head(&mut self) -> Result<Option<ParsedHead<F::Head>>, RequestError> {
        if let Some(parsed) = self.parsed.take() {
            return Ok(Some(parsed));
        }
        let bytes = &self.bytes[self.consumed..];
        let before = self.scan.scanned;
        let parse_now = self.framing.head_may_be_complete(bytes, &mut self.scan)
            || bytes.len() >= self.next_parse_at.min(F::MAX_HEAD);
        self.bytes_processed += (self.scan.scanned - before) as u64;
        if !parse_now {
            return Ok(None);
        }
        let available = &bytes[..bytes.len().min(F::MAX_HEAD)];
        self.bytes_processed += available.len() as u64;
        self.next_parse_at = available.len() * 2;
        match self.framing.parse_head(available)? {
            Some(parsed) => Ok(Some(parsed)),
            None if available.len() >= F::MAX_HEAD => Err(self.framing.head_too_large()),
            None => Ok(None),
        }
    }
}
