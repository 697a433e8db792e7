//! SCGI, both ways: the second front, and calls to SCGI services.
//!
//! A request is a netstring of fields, each name and value ended by a NUL, and then the body; the fields of
//! the platform's protocol travel as `HTTP_*`. One request is made on a connection, and the end of the
//! answer is the end of the connection.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::net::TcpStream;

use super::decoder::{Framing, Headed, Scan};
use super::fields::{Fields, Message, RequestError, MAX_BODY, MOST_HEAD};
use super::frontend::{is_timeout, read_some, Wire};
use super::http::{parts, phrase, route, Route};
use super::{spawn, Hub};
use crate::core::{Answer, Bytes, Command, End, Handle, Input, LinkId, Notice};

/// Digits of the longest header length.
const LENGTH_DIGITS: usize = 5;
/// The longest answer of a service, head and body.
const MOST_ANSWER: usize = 64 << 10;
/// An attempt to connect to a service is given up after this long.
const CONNECT_PATIENCE: Duration = Duration::from_millis(500);

/// The SCGI wire.
#[derive(Clone, Copy, Debug)]
pub struct Scgi;

impl Framing for Scgi {
    type Head = Route;
    type Message = Message;
    const MOST_HEAD: usize = MOST_HEAD + LENGTH_DIGITS + 2;

    fn may_end(&self, bytes: &[u8], _scan: &mut Scan) -> bool {
        // The length stands first: a look at the few bytes that matter costs nothing.
        !matches!(netstring(bytes), Ok(None))
    }

    fn head(&self, bytes: &[u8]) -> Result<Option<Headed<Route>>, RequestError> {
        let Some((block, len)) = netstring(bytes)? else { return Ok(None) };
        let (head, body) = read_block(block)?;
        Ok(Some(Headed { head, len, body }))
    }

    fn message(&self, headed: Headed<Route>, body: &[u8], behind: bool) -> Result<Message, RequestError> {
        let (parsed, taken) = (headed.head.with(body)?, headed.len + headed.body);
        // Nothing may follow on this wire: either length could be the wrong one, so the request is not run.
        match behind {
            true => Err(RequestError::bad_request("the body is longer than CONTENT_LENGTH")),
            false => Ok(Message { parsed, consumed: taken, close: true }),
        }
    }

    fn too_large(&self) -> RequestError {
        RequestError { status: 431, reason: "the header block is too large" }
    }
}

impl Wire for Scgi {
    fn encode(&self, answer: &Answer, _close: bool) -> Vec<u8> {
        let (status, fields, body) = parts(answer);
        response(status, &fields, body)
    }

    fn encode_bad(&self, bad: RequestError) -> Vec<u8> {
        response(bad.status, "", bad.reason.as_bytes())
    }
}

fn response(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let phrase = phrase(status);
    let head = format!("Status: {status} {phrase}\r\nContent-Length: {}\r\n{fields}\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// The netstring at the start of `bytes`, and where what follows it begins.
fn netstring(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, RequestError> {
    let Some(colon) = bytes.iter().take(LENGTH_DIGITS + 1).position(|b| *b == b':') else {
        let digits = bytes.iter().take(LENGTH_DIGITS + 1).all(u8::is_ascii_digit);
        return match digits && bytes.len() <= LENGTH_DIGITS {
            true => Ok(None),
            false => Err(RequestError::bad_request("the header block has no length")),
        };
    };
    let digits = std::str::from_utf8(&bytes[..colon]).ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    // A leading zero is no length in a netstring; an empty block has no fields and no use here.
    let len = digits.filter(|d| !d.starts_with('0')).and_then(|d| d.parse::<usize>().ok());
    let len = len.ok_or(RequestError::bad_request("the header block has no length"))?;
    if len > MOST_HEAD {
        return Err(RequestError { status: 431, reason: "the header block is too large" });
    }
    let (from, to) = (colon + 1, colon + 1 + len);
    match bytes.get(to) {
        None => Ok(None),
        Some(b',') => Ok(Some((&bytes[from..to], to + 1))),
        Some(_) => Err(RequestError::bad_request("the header block does not end where its length says")),
    }
}

/// Reads the fields: what is asked for, and the length of the body. A name that stands twice leaves open which of
/// its values counts, and is no request.
fn read_block(block: &[u8]) -> Result<(Route, usize), RequestError> {
    let text = std::str::from_utf8(block).map_err(|_| RequestError::bad_request("a field is no text"))?;
    let text = text.strip_suffix('\0').ok_or(RequestError::bad_request("the last field is not ended"))?;
    let mut parts = text.split('\0');
    let mut known = Fields::default();
    let (mut body_len, mut scgi) = (None, None);
    let (mut method, mut uri, mut path, mut query) = (None, None, None, None);
    while let Some(name) = parts.next() {
        let value = parts.next().ok_or(RequestError::bad_request("a field has no value"))?;
        if body_len.is_none() && name != "CONTENT_LENGTH" {
            return Err(RequestError::bad_request("CONTENT_LENGTH does not come first"));
        }
        let once = match name {
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
                    known.set(&name.replace('_', "-"), value)?;
                }
                true
            }
        };
        if !once {
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
    Ok((route(method.unwrap_or(""), &target, known)?, body_len))
}

/// A request in bytes; `fields` come after CONTENT_LENGTH and SCGI.
pub fn encode_request(fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut block = format!("CONTENT_LENGTH\0{}\0SCGI\x001\0", body.len());
    for (name, value) in fields {
        block.extend([*name, "\0", *value, "\0"]);
    }
    [format!("{}:", block.len()).as_bytes(), block.as_bytes(), b",", body].concat()
}

/// Reads the whole answer of a service: how the exchange ended, and the body where it went well. An answer
/// that is cut short shows by its Content-Length, or by having no end of its head.
pub fn parse_response(bytes: &[u8]) -> (End, Option<Bytes>) {
    let find = |end: &[u8]| bytes.windows(end.len()).position(|w| w == end).map(|at| (at, at + end.len()));
    let ends = [find(b"\r\n\r\n"), find(b"\n\n")];
    let Some((head_len, body_at)) = ends.into_iter().flatten().min() else { return (End::Broken, None) };
    let Ok(head) = std::str::from_utf8(&bytes[..head_len]) else { return (End::Malformed, None) };
    let body = &bytes[body_at..];
    let mut status = 200;
    for line in head.lines() {
        // A name with a blank could be one that matters to others: an answer cut short would pass as whole.
        let field = line.split_once(':').filter(|(name, _)| name.bytes().all(|b| b.is_ascii_graphic()));
        let Some((name, value)) = field else { return (End::Malformed, None) };
        let value = value.trim();
        if name.eq_ignore_ascii_case("status") {
            match value.split(' ').next().and_then(|code| code.parse().ok()) {
                Some(code) => status = code,
                None => return (End::Malformed, None),
            }
        } else if name.eq_ignore_ascii_case("content-length") {
            match value.parse::<usize>() {
                Ok(len) if len == body.len() => {}
                Ok(len) if len > body.len() => return (End::Broken, None),
                _ => return (End::Malformed, None),
            }
        }
    }
    match status {
        200..=299 => (End::Complete, Some(body.into())),
        429 | 503 => (End::NotNow, None),
        504 => (End::Overdue, None),
        _ => (End::Failed, None),
    }
}

/// Makes one call and tells how it ended. What was refused on connecting never ran; what broke after a byte
/// was sent may have.
fn exchange(service: SocketAddr, request: &[u8], patience: Duration) -> (End, Option<Bytes>) {
    let until = Instant::now() + patience;
    let Ok(mut stream) = TcpStream::connect_timeout(&service, CONNECT_PATIENCE.min(patience)) else {
        return (End::Refused, None);
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(patience));
    if let Err(e) = stream.write_all(request) {
        return (if is_timeout(&e) { End::Stalled } else { End::Broken }, None);
    }
    let mut bytes = Vec::new();
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return (End::Overdue, None);
        }
        let _ = stream.set_read_timeout(Some(left));
        match read_some(&mut stream, &mut bytes) {
            Ok(0) => return parse_response(&bytes),
            Ok(_) if bytes.len() > MOST_ANSWER => return (End::Malformed, None),
            Ok(_) => {}
            Err(e) if is_timeout(&e) || e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => return (End::Broken, None),
        }
    }
}

fn request(path: &str, handle: Handle, patience: Duration, body: &[u8]) -> Vec<u8> {
    let (handle, ms) = (handle.to_string(), patience.as_millis().max(1).to_string());
    let fields = [
        ("REQUEST_METHOD", "POST"),
        ("REQUEST_URI", path),
        ("HTTP_X_REQUEST_ID", &handle),
        ("HTTP_X_TIMEOUT_MS", &ms),
    ];
    encode_request(&fields, body)
}

/// Makes a call below at an SCGI service, on a coroutine of its own.
pub fn call(
    service: SocketAddr,
    hub: &Arc<Hub>,
    handle: Handle,
    attempt: u32,
    patience: Duration,
    body: Bytes,
) {
    let hub = hub.clone();
    spawn(move || {
        let (end, reply) = exchange(service, &request("/call", handle, patience, &body), patience);
        hub.push(Input::CallEnded { handle, attempt, end, reply, fence: None });
    });
}

/// The site's own application, which does the work where there is no agent.
pub struct Application {
    address: SocketAddr,
    hub: Arc<Hub>,
}

impl Application {
    /// Nothing is connected until there is work.
    pub fn new(address: SocketAddr, hub: &Arc<Hub>) -> Self {
        Self { address, hub: hub.clone() }
    }

    /// Carries out a command; an application knows only launches.
    pub fn send(&self, command: Command) {
        let Command::Launch { handle, class, arg, timeout } = command else { return };
        let path = format!("/do/{class}");
        let (address, hub) = (self.address, self.hub.clone());
        spawn(move || {
            let began = Instant::now();
            let (end, result) = exchange(address, &request(&path, handle, timeout, &arg), timeout);
            let lasted = Some(began.elapsed());
            let notice = Notice::Outcome { handle, end, lasted, result };
            hub.push(Input::Agent { link: LinkId::NONE, notice });
        });
    }
}
