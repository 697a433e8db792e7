//! SCGI in both roles: the SCGI frontend for clients, and calls to SCGI services.
//!
//! A request is a netstring of header fields, in which a NUL ends each name and each value, followed by the body. The
//! header fields of the HTTP frontend are sent as `HTTP_*`. A connection carries one request, and its end is the end of
//! the answer. [`Scgi`] is the protocol of the frontend, [`call`] makes a call to the dependency, and [`Application`]
//! has requests run by an SCGI application instead of an agent.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::net::TcpStream;

use super::decoder::{Following, Framing, ParsedHead, Scan};
use super::error::ResponseError;
use super::fields::{Fields, Message, RequestError, MAX_BODY, MAX_HEAD};
use super::frontend::{is_timeout, read_some, Wire};
use super::http::{answer_parts, parse_target, reason_phrase, Target};
use super::request_log::RequestEvent;
use super::stated_time::StatedTime;
use super::{spawn, Hub};
use crate::core::{Answer, AskId, Bytes, CallReply, Command, End, Handle, Input, LinkId, Notice};

/// Digits of the longest length of a header block.
const MAX_LENGTH_DIGITS: usize = 5;
/// The longest response of a service, head and body together, in bytes.
const MAX_RESPONSE: usize = 64 << 10;
/// The timeout of connecting to a service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The SCGI protocol of the frontend.
#[derive(Clone, Copy, Debug)]
pub struct Scgi;

impl Framing for Scgi {
    type Head = Target;
    type Message = Message;
    const MAX_HEAD: usize = MAX_HEAD + MAX_LENGTH_DIGITS + 2;

    fn head_may_be_complete(&self, bytes: &[u8], _scan: &mut Scan) -> bool {
        // The length comes first, so that a check costs next to nothing.
        !matches!(parse_netstring(bytes), Ok(None))
    }

    fn parse_head(&self, bytes: &[u8]) -> Result<Option<ParsedHead<Target>>, RequestError> {
        let Some((block, head_len)) = parse_netstring(bytes)? else { return Ok(None) };
        let (head, body_len) = parse_header_block(block)?;
        Ok(Some(ParsedHead { head, head_len, body_len }))
    }

    fn build_message(&self, parsed: ParsedHead<Target>, body: &[u8]) -> Result<Message, RequestError> {
        let (parsed, consumed) = (parsed.head.into_parsed(body)?, parsed.head_len + parsed.body_len);
        Ok(Message { parsed, consumed, close: true })
    }

    /// Nothing may follow a request: where something does, either length could be wrong, and the request is not run.
    fn check_following(&self, _following: &[u8]) -> Result<Following, RequestError> {
        Err(RequestError::bad_request("the body is longer than CONTENT_LENGTH"))
    }

    fn head_too_large(&self) -> RequestError {
        RequestError { status: 431, reason: "the header block is too large" }
    }
}

impl Wire for Scgi {
    fn encode(&self, answer: &Answer, _close: bool) -> Vec<u8> {
        let (status, fields, body) = answer_parts(answer);
        encode_response(status, &fields, body)
    }

    fn encode_error(&self, error: RequestError) -> Vec<u8> {
        encode_response(error.status, "", error.reason.as_bytes())
    }
}

fn encode_response(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let phrase = reason_phrase(status);
    let head = format!("Status: {status} {phrase}\r\nContent-Length: {}\r\n{fields}\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Parses the netstring at the start of `bytes`. Returns its content and its total length, or `None` while it is
/// incomplete.
fn parse_netstring(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, RequestError> {
    let Some(colon) = bytes.iter().take(MAX_LENGTH_DIGITS + 1).position(|b| *b == b':') else {
        let digits = bytes.iter().take(MAX_LENGTH_DIGITS + 1).all(u8::is_ascii_digit);
        return match digits && bytes.len() <= MAX_LENGTH_DIGITS {
            true => Ok(None),
            false => Err(RequestError::bad_request("the header block has no length")),
        };
    };
    let digits = std::str::from_utf8(&bytes[..colon]).ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    // A netstring's length has no leading zero. An empty block has no fields, and is rejected by the same check.
    let len = digits.filter(|d| !d.starts_with('0')).and_then(|d| d.parse::<usize>().ok());
    let len = len.ok_or(RequestError::bad_request("the header block has no length"))?;
    if len > MAX_HEAD {
        return Err(RequestError { status: 431, reason: "the header block is too large" });
    }
    let (from, to) = (colon + 1, colon + 1 + len);
    match bytes.get(to) {
        None => Ok(None),
        Some(b',') => Ok(Some((&bytes[from..to], to + 1))),
        Some(_) => Err(RequestError::bad_request("the header block does not end where its length says")),
    }
}

/// Parses the header block into the request's target and the length of the body. A repeated name is rejected, since it
/// is ambiguous which of its values counts.
fn parse_header_block(block: &[u8]) -> Result<(Target, usize), RequestError> {
    let text = std::str::from_utf8(block).map_err(|_| RequestError::bad_request("a field is no text"))?;
    let text = text.strip_suffix('\0').ok_or(RequestError::bad_request("the last field is not ended"))?;
    let mut parts = text.split('\0');
    let mut fields = Fields::default();
    let (mut body_len, mut scgi) = (None, None);
    let (mut method, mut uri, mut path, mut query) = (None, None, None, None);
    while let Some(name) = parts.next() {
        let value = parts.next().ok_or(RequestError::bad_request("a field has no value"))?;
        if body_len.is_none() && name != "CONTENT_LENGTH" {
            return Err(RequestError::bad_request("CONTENT_LENGTH does not come first"));
        }
        let is_first = match name {
            "CONTENT_LENGTH" => {
                let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
                let len = value.parse::<usize>().ok().filter(|_| digits);
                body_len
                    .replace(len.ok_or(RequestError::bad_request("CONTENT_LENGTH is no length"))?)
                    .is_none()
            }
            "SCGI" => scgi.replace(value).is_none(),
            "REQUEST_METHOD" => method.replace(value).is_none(),
            "REQUEST_URI" => uri.replace(value).is_none(),
            "PATH_INFO" => path.replace(value).is_none(),
            "QUERY_STRING" => query.replace(value).is_none(),
            _ => {
                if let Some(name) = name.strip_prefix("HTTP_") {
                    fields.set(&name.replace('_', "-"), value)?;
                }
                true
            }
        };
        if !is_first {
            return Err(RequestError::bad_request("a field stands twice"));
        }
    }
    let body_len = body_len.ok_or(RequestError::bad_request("CONTENT_LENGTH is missing"))?;
    if scgi != Some("1") {
        return Err(RequestError::bad_request("SCGI=1 is missing"));
    }
    if body_len > MAX_BODY {
        return Err(RequestError { status: 413, reason: "the body is too large" });
    }
    let target = match uri.filter(|uri| !uri.is_empty()) {
        Some(uri) => uri.to_string(),
        None => format!("{}?{}", path.unwrap_or(""), query.unwrap_or("")),
    };
    Ok((parse_target(method.unwrap_or(""), &target, fields)?, body_len))
}

/// Encodes a request; `fields` follow CONTENT_LENGTH and SCGI in the header block.
pub fn encode_request(fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut block = format!("CONTENT_LENGTH\0{}\0SCGI\x001\0", body.len());
    for (name, value) in fields {
        block.extend([*name, "\0", *value, "\0"]);
    }
    [format!("{}:", block.len()).as_bytes(), block.as_bytes(), b",", body].concat()
}

/// The fields of a service's response that are read.
#[derive(Default)]
struct ResponseHead {
    status: Option<u16>,
    body_len: Option<usize>,
    has_content_type: bool,
}

/// The status of a response that has none: it is a document, as CGI defines it.
const DOCUMENT_STATUS: u16 = 200;

impl ResponseHead {
    /// Adds a line of the head.
    fn add(&mut self, line: &str) -> Result<(), ResponseError> {
        // A blank in a name could hide a Content-Length that other parsers accept, and a truncated response would pass
        // as complete.
        let is_name = |name: &str| !name.is_empty() && name.bytes().all(|b| b.is_ascii_graphic());
        let (name, value) =
            line.split_once(':').filter(|(name, _)| is_name(name)).ok_or(ResponseError::InvalidField)?;
        let value = value.trim_matches([' ', '\t']);
        if name.eq_ignore_ascii_case("status") {
            let code = value.split(' ').next().unwrap_or_default();
            let is_code = code.len() == 3 && code.bytes().all(|b| b.is_ascii_digit());
            let status = code.parse().ok().filter(|_| is_code).ok_or(ResponseError::InvalidStatus)?;
            if self.status.replace(status).is_some() {
                return Err(ResponseError::InvalidStatus);
            }
        } else if name.eq_ignore_ascii_case("content-length") {
            let is_number = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let len = value.parse().ok().filter(|_| is_number).ok_or(ResponseError::InvalidLength)?;
            if self.body_len.replace(len).is_some() {
                return Err(ResponseError::InvalidLength);
            }
        }
        self.has_content_type |= name.eq_ignore_ascii_case("content-type");
        Ok(())
    }

    /// The status. It may be left out of a response that has a `Content-Type`, as in CGI.
    fn status(&self) -> Result<u16, ResponseError> {
        let default = self.has_content_type.then_some(DOCUMENT_STATUS);
        self.status.or(default).ok_or(ResponseError::MissingStatus)
    }
}

/// Parses the whole response of a service: header fields, an empty line and the body, which the end of the connection
/// ends. Lines end in CR LF or in LF, all in the same way. Returns how the exchange ended, and the body where it succeeded. A response that was cut short is recognized by its Content-Length, or because its head has
/// no end.
///
/// # Errors
/// [`ResponseError`] if it is not such a response.
pub fn parse_response(bytes: &[u8]) -> Result<(End, Option<Bytes>), ResponseError> {
    let (head, body) = parse_response_head(bytes)?;
    match head.body_len {
        Some(stated) if body.len() < stated => {
            return Err(ResponseError::BodyCut { stated, actual: body.len() })
        }
        Some(stated) if body.len() > stated => {
            return Err(ResponseError::BodyTooLong { stated, actual: body.len() })
        }
        None if has_head(body) => return Err(ResponseError::HeadInBody),
        _ => {}
    }
    Ok(match head.status()? {
        200..=299 => (End::Complete, Some(body.into())),
        429 | 503 => (End::NotNow, None),
        504 => (End::Overdue, None),
        _ => (End::Failed, None),
    })
}

/// Whether a body begins with fields that belong into a head: an empty line too many, before the Content-Length, would make
/// them part of the body.
fn has_head(body: &[u8]) -> bool {
    parse_response_head(body).is_ok_and(|(head, _)| head.status.is_some() || head.body_len.is_some())
}

/// Parses the head of a response, and returns it with the bytes behind it.
fn parse_response_head(bytes: &[u8]) -> Result<(ResponseHead, &[u8]), ResponseError> {
    let mut head = ResponseHead::default();
    let mut has_carriage_returns = None;
    let mut rest = bytes;
    loop {
        let len = rest.iter().position(|b| *b == b'\n').ok_or(ResponseError::HeadCut)?;
        let (line, behind) = (&rest[..len], &rest[len + 1..]);
        let stripped = line.strip_suffix(b"\r");
        if *has_carriage_returns.get_or_insert(stripped.is_some()) != stripped.is_some() {
            return Err(ResponseError::MixedLineEnds);
        }
        let line = std::str::from_utf8(stripped.unwrap_or(line)).map_err(|_| ResponseError::InvalidField)?;
        if line.is_empty() {
            return Ok((head, behind));
        }
        head.add(line)?;
        rest = behind;
    }
}

/// Makes one call and returns how it ended. A call whose connection could not be opened never ran; one that broke after
/// a byte was sent may have run.
fn exchange(
    service: SocketAddr,
    request: &[u8],
    stated: StatedTime,
) -> Result<(End, Option<Bytes>), ResponseError> {
    let (timeout, deadline) = (stated.duration(), stated.ends_at());
    let Ok(mut stream) = TcpStream::connect_timeout(&service, CONNECT_TIMEOUT.min(timeout)) else {
        return Ok((End::Refused, None));
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(timeout));
    if let Err(e) = stream.write_all(request) {
        return Ok((if is_timeout(&e) { End::Stalled } else { End::Broken }, None));
    }
    let mut bytes = Vec::new();
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok((End::Overdue, None));
        }
        let _ = stream.set_read_timeout(Some(left));
        match read_some(&mut stream, &mut bytes) {
            Ok(0) => return parse_response(&bytes),
            Ok(_) if bytes.len() > MAX_RESPONSE => {
                return Err(ResponseError::TooLong { limit: MAX_RESPONSE })
            }
            Ok(_) => {}
            Err(e) if is_timeout(&e) || e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => return Ok((End::Broken, None)),
        }
    }
}

fn encode_call(path: &str, handle: Handle, timeout: Duration, body: &[u8]) -> Vec<u8> {
    let (handle, ms) = (handle.to_string(), timeout.as_millis().max(1).to_string());
    let fields = [
        ("REQUEST_METHOD", "POST"),
        ("REQUEST_URI", path),
        ("HTTP_X_REQUEST_ID", &handle),
        ("HTTP_X_TIMEOUT_MS", &ms),
    ];
    encode_request(&fields, body)
}

/// Makes a call to the dependency, an SCGI service, on a coroutine of its own.
pub fn call(service: SocketAddr, hub: &Arc<Hub>, ask: AskId, timeout: Duration, body: Bytes) {
    let hub = hub.clone();
    spawn(move || {
        let (handle, attempt) = (ask.handle, ask.attempt);
        let stated = StatedTime::begin(timeout);
        let request = encode_call("/call", handle, stated.duration(), &body);
        let result = exchange(service, &request, stated).unwrap_or_else(|error| {
            hub.request_log.record(RequestEvent::Malformed { ask, error: error.into() });
            (error.end(), None)
        });
        let (end, reply) = match result {
            // The process may have stood still, and the reply may have been made too late.
            (_, Some(_)) if Instant::now() >= stated.ends_at() => (End::Overdue, None),
            result => result,
        };
        let reply = reply.map(|body| CallReply::read(ask, hub.new_call_connection(), body));
        hub.push(Input::CallEnded { handle, attempt, end, reply, fence: None });
    });
}

/// The site's SCGI application, which runs the requests where there is no agent.
pub struct Application {
    address: SocketAddr,
    hub: Arc<Hub>,
}

impl Application {
    /// Creates the application's client. It connects when a request is launched.
    pub fn new(address: SocketAddr, hub: &Arc<Hub>) -> Self {
        Self { address, hub: hub.clone() }
    }

    /// Executes a command. An application supports launches only, and all other commands are ignored.
    pub fn send(&self, command: Command) {
        let Command::Launch { handle, class, arg, timeout } = command else { return };
        let path = format!("/do/{class}");
        let (address, hub) = (self.address, self.hub.clone());
        spawn(move || {
            let started = Instant::now();
            let stated = StatedTime::begin(timeout);
            let request = encode_call(&path, handle, stated.duration(), &arg);
            let (end, result) = exchange(address, &request, stated).unwrap_or_else(|error| {
                hub.request_log.record(RequestEvent::MalformedResult { handle, error });
                (error.end(), None)
            });
            let duration = Some(started.elapsed());
            let notice = Notice::Outcome { handle, end, duration, result };
            hub.push(Input::Agent { link: LinkId::NONE, notice });
        });
    }
}
