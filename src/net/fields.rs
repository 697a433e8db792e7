//! The header fields of a request, which all frontends share, and the error for invalid requests.
//!
//! A frontend passes each header field to [`Fields`], which validates it, and gets the whole [`Request`] from
//! [`Fields::finish`]. [`Message`] is what a frontend decodes from its connection; [`RequestError`] rejects input.

use std::sync::Arc;
use std::time::Duration;

use crate::core::{Bytes, Handle, Key, Request};

/// The longest body of a request, in bytes.
pub const MAX_BODY: usize = 2048;
/// The longest head of a request on any frontend, in bytes.
pub const MAX_HEAD: usize = 8192;
/// The longest idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// The memory that a request announces must be below this, in kilobytes.
const MAX_MEMORY_KB: f64 = 2000.0;
/// The longest name of a tenant.
const MAX_TENANT_BYTES: usize = 256;
/// The number of bytes that are kept of the name of a request's object.
const MAX_OBJECT_BYTES: usize = 128;
/// The highest cost that a request may announce, in milliseconds: an hour on one core.
const MAX_COST_MS: f64 = 3_600_000.0;
/// The longest timeout that a client may state: an hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Why a request is rejected. The client gets this as an answer, and the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// The HTTP status of the answer.
    pub status: u16,
    /// The reason, which is the body of the answer.
    pub reason: &'static str,
}

impl RequestError {
    /// A malformed request (status 400).
    pub const fn bad_request(reason: &'static str) -> Self {
        Self { status: 400, reason }
    }
}

/// A request of either kind, decoded.
#[derive(Clone, Debug)]
pub enum Parsed {
    /// A request that is to run. The frontend fills in its connection.
    Request(Box<Request>),
    /// A health check.
    HealthCheck {
        /// The client asks whether requests are being served, and not only whether the process responds.
        deep: bool,
    },
}

/// A decoded message of a client.
#[derive(Clone, Debug)]
pub struct Message {
    /// The content.
    pub parsed: Parsed,
    /// The length of the message in bytes.
    pub consumed: usize,
    /// The connection is to be closed after the answer.
    pub close: bool,
}

/// Collects the header fields of a request.
#[derive(Debug, Default)]
pub struct Fields {
    handle: Option<Handle>,
    start: Option<Duration>,
    timeout: Option<Duration>,
    caller: Option<u32>,
    tenant: Option<Arc<str>>,
    cost: Option<Duration>,
    size_kb: Option<f64>,
    rank: Option<f64>,
    key: Option<Key>,
    /// The outer option says whether the field is present; the inner one is `None` where its value is empty.
    object: Option<Option<Arc<str>>>,
}

/// Stores a value. A field that is repeated with a different value is rejected, since it is ambiguous which one counts.
fn set_once<T: PartialEq>(
    stored: &mut Option<T>,
    value: Option<T>,
    reason: &'static str,
) -> Result<(), RequestError> {
    let value = value.ok_or(RequestError::bad_request(reason))?;
    match stored.as_ref().is_some_and(|earlier| *earlier != value) {
        true => Err(RequestError::bad_request("a field stands twice")),
        false => {
            *stored = Some(value);
            Ok(())
        }
    }
}

/// The first `max_bytes` bytes of a text, or a few less so as not to split a character.
fn truncate(text: &str, max_bytes: usize) -> &str {
    &text[..text.floor_char_boundary(max_bytes)]
}

/// Parses a number that consists of digits alone. Some servers accept signs, and others do not.
fn parse_digits<T: std::str::FromStr>(value: &str) -> Option<T> {
    value.bytes().all(|b| b.is_ascii_digit()).then(|| value.parse().ok()).flatten()
}

/// Parses a number that consists of digits and at most one point.
fn parse_decimal(value: &str) -> Option<f64> {
    let is_decimal = value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    is_decimal.then(|| value.parse().ok()).flatten()
}

impl Fields {
    /// Adds a header field; `name` may be in any case. Unknown names are ignored.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), RequestError> {
        let value = value.trim();
        let is = |field: &str| name.eq_ignore_ascii_case(field);
        if is("x-request-id") {
            set_once(&mut self.handle, value.parse().ok(), "X-Request-Id is not 16 hex digits")
        } else if is("x-request-start") {
            set_once(
                &mut self.start,
                parse_digits(value).map(Duration::from_millis),
                "X-Request-Start is no time",
            )
        } else if is("x-timeout-ms") {
            let ms = parse_digits(value).filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms));
            set_once(&mut self.timeout, ms.map(Duration::from_millis), "X-Timeout-Ms is no usable time")
        } else if is("x-caller") {
            set_once(&mut self.caller, parse_digits(value), "X-Caller is no number")
        } else if is("x-tenant") {
            let name = Some(value).filter(|name| !name.is_empty() && name.len() <= MAX_TENANT_BYTES);
            set_once(&mut self.tenant, name.map(Arc::from), "X-Tenant is empty or too long")
        } else if is("x-cost-ms") {
            let ms = parse_decimal(value).filter(|ms| *ms <= MAX_COST_MS);
            let cost = ms.map(|ms| Duration::from_secs_f64(ms / 1000.0));
            set_once(&mut self.cost, cost, "X-Cost-Ms is no usable number of milliseconds")
        } else if is("x-memory-kb") {
            let kb = parse_decimal(value).filter(|kb| *kb > 0.0 && *kb < MAX_MEMORY_KB);
            set_once(&mut self.size_kb, kb, "X-Memory-Kb is not above 0 and under 2000")
        } else if is("x-rank") {
            let rank = parse_decimal(value).filter(|rank| (0.0..1.0).contains(rank));
            set_once(&mut self.rank, rank, "X-Rank is not from 0 to under 1")
        } else if is("idempotency-key") {
            let key = Some(value).filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
            set_once(&mut self.key, key.map(Key::from), "Idempotency-Key is empty or too long")
        } else if is("x-object") {
            // The value may be of any length, and the field may be repeated: the first value counts. Only an empty and
            // a non-empty value contradict each other.
            let object = (!value.is_empty()).then(|| truncate(value, MAX_OBJECT_BYTES).into());
            match &self.object {
                Some(earlier) if earlier.is_some() != object.is_some() => {
                    Err(RequestError::bad_request("a field stands twice"))
                }
                Some(_) => Ok(()),
                None => {
                    self.object = Some(object);
                    Ok(())
                }
            }
        } else {
            Ok(())
        }
    }

    /// Builds the request, if all required fields are present.
    pub fn finish(self, class: &str, body: Bytes) -> Result<Request, RequestError> {
        Ok(Request {
            conn: 0,
            handle: self.handle.ok_or(RequestError::bad_request("X-Request-Id is missing"))?,
            class: class.to_string(),
            start: self.start.ok_or(RequestError::bad_request("X-Request-Start is missing"))?,
            timeout: self.timeout,
            caller: self.caller.unwrap_or_default(),
            tenant: self.tenant,
            // A cost of 0 is no hint.
            cost: self.cost.filter(|cost| !cost.is_zero()),
            size_kb: self.size_kb.unwrap_or_default(),
            rank: self.rank.unwrap_or_default(),
            key: self.key,
            object: self.object.flatten(),
            body,
        })
    }
}
