//! The fields of a request, which all fronts share, and what is wrong with input that is none.

use std::sync::Arc;
use std::time::Duration;

use crate::core::{Bytes, Handle, Key, Request};

/// The longest body of a request.
pub const MAX_BODY: usize = 2048;
/// The longest head of a request, on whichever front.
pub const MOST_HEAD: usize = 8192;
/// The longest key.
const MOST_KEY: usize = 256;
/// Memory that a request may book, in kilobytes.
const MOST_SIZE_KB: f64 = 2000.0;
/// The longest name of a tenant.
const MOST_TENANT: usize = 256;
/// Bytes that are kept of what a request says it is about.
const MOST_OBJECT: usize = 128;
/// The most work that a request may announce, in milliseconds: an hour on one core.
const MOST_COST_MS: f64 = 3_600_000.0;
/// The longest wait that a caller may state: an hour.
const MOST_PATIENCE_MS: u64 = 3_600_000;

/// Input that is answered with an error and a close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Its HTTP status.
    pub status: u16,
    /// What is wrong.
    pub reason: &'static str,
}

impl RequestError {
    /// A request that cannot be read.
    pub const fn bad_request(reason: &'static str) -> Self {
        Self { status: 400, reason }
    }
}

/// What a front read.
#[derive(Clone, Debug)]
pub enum Parsed {
    /// A request. Its connection is filled in by the front.
    Request(Box<Request>),
    /// A health check.
    Check {
        /// The caller wants to know whether work gets done.
        deep: bool,
    },
}

/// What a front read, and what comes after it.
#[derive(Clone, Debug)]
pub struct Message {
    /// What it is.
    pub parsed: Parsed,
    /// Bytes that it took.
    pub consumed: usize,
    /// The connection is closed after the answer.
    pub close: bool,
}

/// The fields of a request, as they are read one by one.
#[derive(Debug, Default)]
pub struct Fields {
    handle: Option<Handle>,
    start: Option<Duration>,
    patience: Option<Duration>,
    caller: Option<u32>,
    tenant: Option<Arc<str>>,
    cost: Option<Duration>,
    size_kb: Option<f64>,
    rank: Option<f64>,
    key: Option<Key>,
    /// Whether it names what it is about, and what it says.
    object: Option<Option<Arc<str>>>,
}

/// Notes a value. A field that stands twice with different values leaves open which of them counts.
fn note<T: PartialEq>(
    held: &mut Option<T>,
    value: Option<T>,
    wrong: &'static str,
) -> Result<(), RequestError> {
    let value = value.ok_or(RequestError::bad_request(wrong))?;
    match held.as_ref().is_some_and(|before| *before != value) {
        true => Err(RequestError::bad_request("a field stands twice")),
        false => {
            *held = Some(value);
            Ok(())
        }
    }
}

/// The first `most` bytes of a text, or a few less where that would cut a character.
fn clip(text: &str, most: usize) -> &str {
    &text[..text.floor_char_boundary(most)]
}

/// A number in digits alone: signs are read by some servers, and not by others.
fn digits<T: std::str::FromStr>(value: &str) -> Option<T> {
    value.bytes().all(|b| b.is_ascii_digit()).then(|| value.parse().ok()).flatten()
}

/// A number in digits with at most one point.
fn decimal(value: &str) -> Option<f64> {
    let plain = value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    plain.then(|| value.parse().ok()).flatten()
}

impl Fields {
    /// Takes one field; `name` in any case. Names that are not known are passed over.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), RequestError> {
        let value = value.trim();
        let is = |known: &str| name.eq_ignore_ascii_case(known);
        if is("x-request-id") {
            note(&mut self.handle, value.parse().ok(), "X-Request-Id is not 16 hex digits")
        } else if is("x-request-start") {
            note(&mut self.start, digits(value).map(Duration::from_millis), "X-Request-Start is no time")
        } else if is("x-timeout-ms") {
            let ms = digits(value).filter(|ms| (1..=MOST_PATIENCE_MS).contains(ms));
            note(&mut self.patience, ms.map(Duration::from_millis), "X-Timeout-Ms is no usable time")
        } else if is("x-caller") {
            note(&mut self.caller, digits(value), "X-Caller is no number")
        } else if is("x-tenant") {
            let name = Some(value).filter(|name| !name.is_empty() && name.len() <= MOST_TENANT);
            note(&mut self.tenant, name.map(Arc::from), "X-Tenant is empty or too long")
        } else if is("x-cost-ms") {
            let ms = decimal(value).filter(|ms| *ms <= MOST_COST_MS);
            let cost = ms.map(|ms| Duration::from_secs_f64(ms / 1000.0));
            note(&mut self.cost, cost, "X-Cost-Ms is no usable number of milliseconds")
        } else if is("x-memory-kb") {
            let kb = value.parse().ok().filter(|kb| *kb > 0.0 && *kb < MOST_SIZE_KB);
            note(&mut self.size_kb, kb, "X-Memory-Kb is not above 0 and under 2000")
        } else if is("x-rank") {
            let rank = value.parse().ok().filter(|rank| (0.0..1.0).contains(rank));
            note(&mut self.rank, rank, "X-Rank is not from 0 to under 1")
        } else if is("idempotency-key") {
            let key = Some(value).filter(|key| !key.is_empty() && key.len() <= MOST_KEY);
            note(&mut self.key, key.map(Key::from), "Idempotency-Key is empty or too long")
        } else if is("x-object") {
            // It may be of any length, and stand twice as long as both name something: the first one counts.
            let object = (!value.is_empty()).then(|| clip(value, MOST_OBJECT).into());
            match &self.object {
                Some(before) if before.is_some() != object.is_some() => {
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

    /// The request, if all that it needs is there.
    pub fn finish(self, class: &str, body: Bytes) -> Result<Request, RequestError> {
        Ok(Request {
            conn: 0,
            handle: self.handle.ok_or(RequestError::bad_request("X-Request-Id is missing"))?,
            class: class.to_string(),
            start: self.start.ok_or(RequestError::bad_request("X-Request-Start is missing"))?,
            timeout: self.patience,
            caller: self.caller.unwrap_or_default(),
            tenant: self.tenant,
            // No work at all is no hint.
            cost: self.cost.filter(|cost| !cost.is_zero()),
            size_kb: self.size_kb.unwrap_or_default(),
            rank: self.rank.unwrap_or_default(),
            key: self.key,
            object: self.object.flatten(),
            body,
        })
    }
}
