//! The platform's front: HTTP/1.1, one request at a time on a connection.

use super::decoder::{Framing, Headed, Scan};
use super::fields::{Fields, Message, Parsed, RequestError, MAX_BODY, MOST_HEAD};
use super::frontend::Wire;
use crate::core::{Answer, Verdict};

/// Where requests go; the class follows.
const PATH: &str = "/do/";
/// Where health checks go.
const CHECK: &str = "/check";
/// Fields that a head may have.
const MOST_FIELDS: usize = 64;

/// The HTTP wire.
#[derive(Clone, Copy, Debug)]
pub struct Http;

impl Framing for Http {
    type Head = Head;
    type Message = Message;
    const MOST_HEAD: usize = MOST_HEAD;

    fn may_end(&self, bytes: &[u8], scan: &mut Scan) -> bool {
        scan.finds_blank_line(bytes)
    }

    fn head(&self, bytes: &[u8]) -> Result<Option<Headed<Head>>, RequestError> {
        let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
        let Some((head, len)) = read_head(bytes, &mut fields)? else { return Ok(None) };
        let mut known = Fields::default();
        let mut close = head.version == Some(0);
        for field in head.headers.iter() {
            if ["content-length", "transfer-encoding"].iter().any(|f| field.name.eq_ignore_ascii_case(f)) {
                continue;
            }
            let value = std::str::from_utf8(field.value)
                .map_err(|_| RequestError::bad_request("a field is no text"))?;
            if field.name.eq_ignore_ascii_case("connection") {
                close |= value.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"));
            } else {
                known.set(field.name, value)?;
            }
        }
        let body = body_len(head.headers)?;
        if body > MAX_BODY {
            return Err(RequestError { status: 413, reason: "the body is too large" });
        }
        let route = route(head.method.unwrap_or(""), head.path.unwrap_or(""), known)?;
        Ok(Some(Headed { head: Head { route, close }, len, body }))
    }

    fn message(&self, headed: Headed<Head>, body: &[u8], _behind: bool) -> Result<Message, RequestError> {
        let taken = headed.len + headed.body;
        Ok(Message { parsed: headed.head.route.with(body)?, consumed: taken, close: headed.head.close })
    }
}

impl Wire for Http {
    fn encode(&self, answer: &Answer, close: bool) -> Vec<u8> {
        let (status, fields, body) = parts(answer);
        response(status, &fields, body, close)
    }

    fn encode_bad(&self, bad: RequestError) -> Vec<u8> {
        response(bad.status, "", bad.reason.as_bytes(), true)
    }
}

/// What the head of a request says.
#[derive(Debug)]
pub struct Head {
    route: Route,
    /// The connection is closed after the answer.
    close: bool,
}

/// Reads the head of an HTTP request and tells its length; none while it is not there whole.
pub(super) fn read_head<'h, 'b>(
    bytes: &'b [u8],
    fields: &'h mut [httparse::Header<'b>],
) -> Result<Option<(httparse::Request<'h, 'b>, usize)>, RequestError> {
    let mut head = httparse::Request::new(fields);
    match head.parse(bytes) {
        // An end of a line that is a line feed alone is one to some servers on the way, and none to others.
        Ok(httparse::Status::Complete(len)) => match has_bare_line_feed(&bytes[..len]) {
            true => Err(RequestError::bad_request("a line does not end in CR LF")),
            false => Ok(Some((head, len))),
        },
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => {
            Err(RequestError { status: 431, reason: "the head is too large" })
        }
        Err(_) => Err(RequestError::bad_request("this is no HTTP request")),
    }
}

fn has_bare_line_feed(head: &[u8]) -> bool {
    head.first() == Some(&b'\n') || head.windows(2).any(|pair| pair[1] == b'\n' && pair[0] != b'\r')
}

/// How long the body behind a head is. What leaves open where the next request starts is turned down: another
/// server on the way could see another request there.
pub(super) fn body_len(fields: &[httparse::Header]) -> Result<usize, RequestError> {
    let mut told = None;
    for field in fields {
        if field.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(RequestError { status: 411, reason: "a body needs a Content-Length" });
        }
        if !field.name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        let digits = !field.value.is_empty() && field.value.iter().all(u8::is_ascii_digit);
        let len = std::str::from_utf8(field.value).ok().filter(|_| digits).and_then(|v| v.parse().ok());
        let len: usize = len.ok_or(RequestError::bad_request("Content-Length is no length"))?;
        if told.replace(len).is_some_and(|before| before != len) {
            return Err(RequestError::bad_request("Content-Length stands twice"));
        }
    }
    Ok(told.unwrap_or(0))
}

/// What a message asks for, before its body is there.
#[derive(Debug)]
pub enum Route {
    /// A health check.
    Check {
        /// The caller wants to know whether work gets done.
        deep: bool,
    },
    /// A request of a class.
    Request {
        /// The class.
        class: String,
        /// Its fields.
        fields: Box<Fields>,
    },
}

impl Route {
    /// What was read, with its body.
    pub(super) fn with(self, body: &[u8]) -> Result<Parsed, RequestError> {
        Ok(match self {
            Self::Check { deep } => Parsed::Check { deep },
            Self::Request { class, fields } => Parsed::Request(Box::new(fields.finish(&class, body.into())?)),
        })
    }
}

/// Tells what a method and a target ask for; shared with the other front.
pub(super) fn route(method: &str, target: &str, fields: Fields) -> Result<Route, RequestError> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if path == CHECK {
        return match method {
            "GET" => Ok(Route::Check { deep: query.split('&').any(|pair| pair == "deep=1") }),
            _ => Err(RequestError { status: 405, reason: "a check is a GET" }),
        };
    }
    let Some(class) = path.strip_prefix(PATH) else {
        return Err(RequestError { status: 404, reason: "no such path" });
    };
    // A request may have an effect: what a GET or a PUT promises does not hold for it.
    if method != "POST" {
        return Err(RequestError { status: 405, reason: "a request is a POST" });
    }
    Ok(Route::Request { class: class.to_string(), fields: Box::new(fields) })
}

/// Status, fields and body of an answer; shared with the other front.
pub(super) fn parts(answer: &Answer) -> (u16, String, &[u8]) {
    let mut fields = answer.signal.map_or(String::new(), |value| format!("X-Load-Signal: {value:.4}\r\n"));
    let (status, body): (u16, &[u8]) = match &answer.verdict {
        Verdict::Served(result) => (200, result),
        Verdict::Refused { retry_after, no_retry } => {
            if !retry_after.is_zero() {
                fields += &format!("Retry-After-Ms: {}\r\n", retry_after.as_millis().max(1));
            }
            if *no_retry {
                fields += "X-Dont-Retry: 1\r\n";
            }
            (503, b"")
        }
        Verdict::Failed => (500, b""),
        Verdict::Healthy => (200, b"good\n"),
        Verdict::Unhealthy => (503, b"bad\n"),
        Verdict::NoSuchClass => (404, b"no such class"),
        Verdict::Invalid(reason) => (400, reason.as_bytes()),
    };
    (status, fields, body)
}

/// The phrase that goes with a status.
pub(super) fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}

pub(super) fn response(status: u16, fields: &str, body: &[u8], close: bool) -> Vec<u8> {
    let close = if close { "Connection: close\r\n" } else { "" };
    let phrase = phrase(status);
    let head = format!("HTTP/1.1 {status} {phrase}\r\nContent-Length: {}\r\n{fields}{close}\r\n", body.len());
    [head.as_bytes(), body].concat()
}
