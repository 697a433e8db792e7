//! HTTP as the platform's callers speak it: the text of a request, and what the head of an answer says.

use std::time::{SystemTime, UNIX_EPOCH};

/// Fields of an answer's head that are read at most.
const MOST_FIELDS: usize = 16;

/// A request to a matcher.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest<'a> {
    /// Its `X-Request-Id`.
    pub id: &'a str,
    /// Its class.
    pub class: &'a str,
    /// Its `Idempotency-Key`; empty for none.
    pub key: &'a str,
    /// Its `X-Object`; empty for none.
    pub object: &'a str,
    /// How long its caller waits, in milliseconds.
    pub patience_ms: u64,
    /// How far the caller's clock is ahead of this machine's, in milliseconds.
    pub clock_ms: i64,
    /// Its body.
    pub body: &'a [u8],
}

impl CallerRequest<'_> {
    /// Head and body, as sent now.
    pub fn text(&self) -> Vec<u8> {
        let Self { id, class, key, object, patience_ms, .. } = self;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64;
        let start = unix + self.clock_ms;
        let rank = if key.is_empty() { "0.1" } else { "0.8" };
        let mut head = format!(
            "POST /do/{class} HTTP/1.1\r\nHost: lab\r\nX-Request-Id: {id}\r\nX-Request-Start: {start}\r\n\
             X-Timeout-Ms: {patience_ms}\r\nX-Memory-Kb: 40\r\nX-Rank: {rank}\r\n"
        );
        if !key.is_empty() {
            head += &format!("Idempotency-Key: {key}\r\n");
        }
        if !object.is_empty() {
            head += &format!("X-Object: {object}\r\n");
        }
        head += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        [head.as_bytes(), self.body].concat()
    }
}

/// What the head of a whole answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered {
    /// Its status.
    pub status: u16,
    /// Bytes of the head.
    pub head: usize,
    /// Bytes of head and body.
    pub len: usize,
    /// The connection stays open.
    pub reusable: bool,
}

impl Answered {
    /// An answer, once it is there whole.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
        let mut head = httparse::Response::new(&mut fields);
        let Ok(httparse::Status::Complete(end)) = head.parse(bytes) else { return None };
        let field = |name: &str| {
            let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(found.value).ok()
        };
        let len = end + field("content-length").and_then(|v| v.parse::<usize>().ok()).unwrap_or(0);
        let reusable = !field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        (bytes.len() >= len).then_some(Self { status: head.code?, head: end, len, reusable })
    }
}
