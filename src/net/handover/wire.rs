//! The format of the handover link, without I/O: each message is one or more lines of fields.
//!
//! Fields are set apart by one space. Numbers are written in one way only, and a line that is not exactly what
//! [`HandoverMessage::into_lines`] writes, in this version or in an earlier one, is an error.

use std::iter;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;

use crate::core::{Answer, Bytes, ConnId, Handle, Key, KeyState, Peer, Request, Succession, Verdict};
use crate::net::error::HandoverLineError;

/// A message to the peer process.
#[derive(Debug)]
pub enum HandoverMessage {
    /// The successor asks the predecessor to hand over.
    Begin,
    /// The handles of requests that may have run in the predecessor. They are written like keys, which a process of an
    /// earlier version takes them for and keeps until the given time.
    PastRuns {
        /// The handles.
        handles: Vec<Handle>,
        /// The end of the window of such a key.
        until: Duration,
    },
    /// All keys of the predecessor, and whether operators have put it on standby.
    Keys(Vec<KeyState>, bool),
    /// After the handover, operators have ordered that clients stay away or return. It is written like the end of the
    /// keys, so that a process of an earlier version takes it as well: that one keeps clients away from then on.
    Standby(bool),
    /// What became of a key that was open when it was handed over: the key, whether it ran, and the result of the run.
    KeyResolved(Key, bool, Option<Bytes>),
    /// A request that reached the predecessor after it had handed over.
    Request(Box<Request>),
    /// The successor's answer to such a request, with its connection in the predecessor.
    Answer(ConnId, Arc<Answer>),
}

/// How a key begins that stands for a handle. A client's key has no NUL.
const PAST_RUN_PREFIX: &str = "\0handle ";

/// The line that ends the keys, and that tells of a standby order after them.
fn complete_line(standby: bool) -> String {
    format!("complete {}\n", u8::from(standby))
}

/// Encodes a field: `-` stands for `None`.
fn encode_base64(bytes: Option<&[u8]>) -> String {
    bytes.map_or("-".to_string(), |bytes| format!("={}", BASE64.encode(bytes)))
}

impl HandoverMessage {
    /// Encodes the message as lines, each with its line end. A line is made when it is asked for: all keys and results
    /// at once, encoded, would take more memory than the keys themselves.
    pub fn into_lines(self) -> Box<dyn Iterator<Item = String>> {
        match self {
            Self::Keys(keys, standby) => {
                let lines = keys.into_iter().map(|key| key_line(&key));
                Box::new(lines.chain(iter::once_with(move || complete_line(standby))))
            }
            Self::PastRuns { handles, until } => {
                Box::new(handles.into_iter().map(move |handle| past_run_line(handle, until)))
            }
            Self::Begin => one_line("begin\n".to_string()),
            Self::Standby(standby) => one_line(complete_line(standby)),
            Self::KeyResolved(key, ran, result) => one_line(resolved_line(&key, ran, result.as_deref())),
            Self::Request(request) => one_line(request_line(&request)),
            Self::Answer(conn, answer) => one_line(answer_line(conn, &answer)),
        }
    }
}

fn one_line(line: String) -> Box<dyn Iterator<Item = String>> {
    Box::new(iter::once(line))
}

fn encode_key(key: &str) -> String {
    encode_base64(Some(key.as_bytes()))
}

fn key_line(state: &KeyState) -> String {
    let (key, result) = (encode_key(&state.key), encode_base64(state.result.as_deref()));
    let (until, open) = (state.until.as_micros(), u8::from(state.open));
    format!("key {key} {:x} {until} {open} {result}\n", state.digest)
}

fn past_run_line(handle: Handle, until: Duration) -> String {
    let key = encode_key(&format!("{PAST_RUN_PREFIX}{handle}"));
    format!("key {key} 0 {} 0 -\n", until.as_micros())
}

fn resolved_line(key: &str, ran: bool, result: Option<&[u8]>) -> String {
    format!("settled {} {} {}\n", encode_key(key), u8::from(ran), encode_base64(result))
}

fn request_line(r: &Request) -> String {
    let micros = |t: Option<Duration>| t.map_or("-".to_string(), |t| t.as_micros().to_string());
    let (timeout, cost) = (micros(r.timeout), micros(r.cost));
    // The name of the object is appended only if there is one: a process of a version that does not know this field can
    // then still read the other requests.
    let object =
        r.object.as_ref().map_or(String::new(), |o| " ".to_string() + &encode_base64(Some(o.as_bytes())));
    format!(
        "request {} {} {} {} {timeout} {} {} {} {} {} {} {} {cost}{object}\n",
        r.conn,
        r.handle,
        encode_base64(Some(r.class.as_bytes())),
        r.start.as_micros(),
        r.caller,
        r.size_kb,
        r.rank,
        encode_base64(r.key.as_ref().map(|k| k.as_bytes())),
        u8::from(r.object.is_some()),
        encode_base64(Some(&r.body)),
        encode_base64(r.tenant.as_ref().map(|t| t.as_bytes())),
    )
}

fn answer_line(conn: ConnId, answer: &Answer) -> String {
    let signal = answer.signal.map_or("-".to_string(), |s| s.to_string());
    let verdict = match &answer.verdict {
        Verdict::Served(result) => format!("served {}", encode_base64(Some(result))),
        Verdict::Refused { retry_after, no_retry } => {
            format!("refused {} {}", retry_after.as_micros(), u8::from(*no_retry))
        }
        Verdict::Failed | Verdict::Healthy | Verdict::Unhealthy => "failed".to_string(),
        Verdict::NoSuchClass => "unknown".to_string(),
        Verdict::Invalid(_) => "invalid".to_string(),
    };
    format!("answer {conn} {signal} {verdict}\n")
}

/// A message received from the peer process.
#[derive(Clone, Debug, PartialEq)]
pub enum ReceivedMessage {
    /// An event for the reducer.
    Succession(Succession),
    /// A forwarded request, with its connection in the peer process.
    Request(Box<Request>),
}

/// Parses a line without its line end.
///
/// # Errors
/// [`HandoverLineError`] if it is not a line of the handover.
pub fn parse(line: &str) -> Result<ReceivedMessage, HandoverLineError> {
    let fields: Vec<&str> = line.split(' ').collect();
    let event = match fields[..] {
        ["begin"] => Succession::HandoverRequested,
        ["complete", standby] => Succession::KeysComplete { standby: flag("standby", standby)? },
        ["key", key, digest, until, open, result] => {
            let state = KeyState {
                key: text("key", key)?.into(),
                digest: hexadecimal("digest", digest)?,
                until: micros("until", until)?,
                open: flag("open", open)?,
                result: bytes("result", result)?,
            };
            parse_past_run(&state)?.map_or(Succession::Key(state), Succession::PastRun)
        }
        ["settled", key, ran, result] => Succession::KeyResolved {
            key: text("key", key)?.into(),
            ran: flag("ran", ran)?,
            result: bytes("result", result)?,
        },
        ["answer", conn, signal, ref verdict @ ..] => parse_answer(conn, signal, verdict)?,
        ["request", ref fields @ ..] => return parse_request(fields),
        _ => return Err(HandoverLineError::UnknownMessage),
    };
    Ok(ReceivedMessage::Succession(event))
}

/// The handle that a key stands for; `None` if it is a client's key.
fn parse_past_run(state: &KeyState) -> Result<Option<Handle>, HandoverLineError> {
    let Some(handle) = state.key.strip_prefix(PAST_RUN_PREFIX) else { return Ok(None) };
    let handle = handle.parse().ok().filter(|_| state.digest == 0 && !state.open && state.result.is_none());
    handle.map(Some).ok_or(HandoverLineError::InvalidField { field: "handle" })
}

/// Tells a standby order after the handover from the end of the keys, which is written in the same way: only the first
/// such line of a predecessor ends the keys.
pub fn with_source(event: Succession, peer: Peer, has_all_keys: bool) -> Succession {
    match event {
        Succession::KeysComplete { standby } if has_all_keys || peer == Peer::Successor => {
            Succession::StandbyChanged { by: peer, standby }
        }
        event => event,
    }
}

fn parse_answer(conn: &str, signal: &str, verdict: &[&str]) -> Result<Succession, HandoverLineError> {
    let verdict = match *verdict {
        ["served", result] => Verdict::Served(required_bytes("result", result)?),
        ["refused", after, no_retry] => Verdict::Refused {
            retry_after: micros("retry_after", after)?,
            no_retry: flag("no_retry", no_retry)?,
        },
        ["failed"] => Verdict::Failed,
        ["unknown"] => Verdict::NoSuchClass,
        ["invalid"] => Verdict::Invalid("the request cannot be taken as it is"),
        _ => return Err(HandoverLineError::UnknownMessage),
    };
    let signal = optional(signal, |signal| number("signal", signal))?;
    Ok(Succession::ForwardedAnswer {
        conn: number("conn", conn)?,
        answer: Answer { verdict, signal, close: true },
    })
}

/// Parses the fields of a request. A process of a version without tenants and costs leaves out these fields. One of a
/// version that does not pass on the object's name only states whether there is one.
fn parse_request(fields: &[&str]) -> Result<ReceivedMessage, HandoverLineError> {
    let [conn, handle, class, start, timeout, caller, size_kb, rank, key, object, body, ref more @ ..] =
        *fields
    else {
        return Err(HandoverLineError::UnknownMessage);
    };
    let (tenant, cost, object_name) = match *more {
        [] => ("-", "-", "-"),
        [tenant, cost] => (tenant, cost, "-"),
        [tenant, cost, object_name] => (tenant, cost, object_name),
        _ => return Err(HandoverLineError::UnknownMessage),
    };
    let object = match (flag("object", object)?, object_name) {
        (true, "-") => Some("".into()),
        (true, object_name) => Some(text("object name", object_name)?.into()),
        (false, "-") => None,
        (false, _) => return Err(HandoverLineError::InvalidField { field: "object name" }),
    };
    Ok(ReceivedMessage::Request(Box::new(Request {
        conn: number("conn", conn)?,
        handle: handle.parse().map_err(|()| HandoverLineError::InvalidField { field: "handle" })?,
        class: text("class", class)?,
        start: micros("start", start)?,
        timeout: optional(timeout, |timeout| micros("timeout", timeout))?,
        caller: number("caller", caller)?,
        tenant: optional(tenant, |tenant| text("tenant", tenant))?.map(Arc::from),
        cost: optional(cost, |cost| micros("cost", cost))?,
        size_kb: number("size_kb", size_kb)?,
        rank: number("rank", rank)?,
        key: optional(key, |key| text("key", key))?.map(Key::from),
        object,
        body: required_bytes("body", body)?,
    })))
}

/// Parses a field that may be `-`, which stands for `None`.
fn optional<T>(
    text: &str,
    parse: impl FnOnce(&str) -> Result<T, HandoverLineError>,
) -> Result<Option<T>, HandoverLineError> {
    (text != "-").then(|| parse(text)).transpose()
}

/// Parses a number, which must be written as this program writes it: without a sign, without leading zeros.
fn number<T: FromStr + ToString>(field: &'static str, text: &str) -> Result<T, HandoverLineError> {
    let number = text.parse::<T>().ok().filter(|number| number.to_string() == text);
    number.filter(|_| !text.starts_with(['-', 'i', 'N'])).ok_or(HandoverLineError::InvalidField { field })
}

fn hexadecimal(field: &'static str, text: &str) -> Result<u64, HandoverLineError> {
    let number = u64::from_str_radix(text, 16).ok().filter(|number| format!("{number:x}") == text);
    number.ok_or(HandoverLineError::InvalidField { field })
}

fn micros(field: &'static str, text: &str) -> Result<Duration, HandoverLineError> {
    number(field, text).map(Duration::from_micros)
}

fn flag(field: &'static str, text: &str) -> Result<bool, HandoverLineError> {
    match text {
        "0" => Ok(false),
        "1" => Ok(true),
        _ => Err(HandoverLineError::InvalidField { field }),
    }
}

/// Parses bytes in base64; `-` stands for `None`.
fn bytes(field: &'static str, text: &str) -> Result<Option<Bytes>, HandoverLineError> {
    optional(text, |text| {
        let decoded = text.strip_prefix('=').and_then(|encoded| BASE64.decode(encoded).ok());
        decoded.map(Bytes::from).ok_or(HandoverLineError::InvalidField { field })
    })
}

fn required_bytes(field: &'static str, text: &str) -> Result<Bytes, HandoverLineError> {
    bytes(field, text)?.ok_or(HandoverLineError::InvalidField { field })
}

fn text(field: &'static str, text: &str) -> Result<String, HandoverLineError> {
    let bytes = required_bytes(field, text)?;
    String::from_utf8(bytes.to_vec()).map_err(|_| HandoverLineError::InvalidField { field })
}
