//! The HTTP/1.1 frontend: one request at a time on a connection.
//!
//! [`Http`] decodes requests and encodes answers. The SCGI frontend and the admin endpoint share parts of it.

use super::decoder::{Following, Framing, ParsedHead, Scan};
use super::fields::{Fields, Message, Parsed, RequestError, MAX_BODY, MAX_HEAD};
use super::frontend::Wire;
use crate::core::{Answer, Verdict};

/// The path prefix of requests; the class follows.
const REQUEST_PATH_PREFIX: &str = "/do/";
/// The path of health checks.
const HEALTH_CHECK_PATH: &str = "/check";
/// How the first lines of valid requests begin.
const REQUEST_BEGINNINGS: [&[u8]; 2] = [b"POST /", b"GET /"];
/// The reason of the answer to a request whose body has another length than it states.
pub const BYTES_BEHIND: &str = "the bytes behind the body begin no request";
/// The highest number of header fields in a request.
const MAX_HEADERS: usize = 64;

/// The HTTP protocol of the frontend.
#[derive(Clone, Copy, Debug)]
pub struct Http;

impl Framing for Http {
    type Head = RequestHead;
    type Message = Message;
    const MAX_HEAD: usize = MAX_HEAD;

    fn head_may_be_complete(&self, bytes: &[u8], scan: &mut Scan) -> bool {
        scan.finds_blank_line(bytes)
    }

    fn parse_head(&self, bytes: &[u8]) -> Result<Option<ParsedHead<RequestHead>>, RequestError> {
        let mut buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let Some((head, head_len)) = parse_request_head(bytes, &mut buffer)? else { return Ok(None) };
        let mut fields = Fields::default();
        let mut close = head.version == Some(0);
        for header in head.headers.iter() {
            if ["content-length", "transfer-encoding"]
                .iter()
                .any(|name| header.name.eq_ignore_ascii_case(name))
            {
                continue;
            }
            let value = std::str::from_utf8(header.value)
                .map_err(|_| RequestError::bad_request("a field is no text"))?;
            if header.name.eq_ignore_ascii_case("connection") {
                close |= value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"));
            } else {
                fields.set(header.name, value)?;
            }
        }
        let stated_len = content_length(head.headers)?;
        let body_len = stated_len.unwrap_or(0);
        if body_len > MAX_BODY {
            return Err(RequestError { status: 413, reason: "the body is too large" });
        }
        let target = parse_target(head.method.unwrap_or(""), head.path.unwrap_or(""), fields)?;
        Ok(Some(ParsedHead {
            head: RequestHead { target, close, has_length: stated_len.is_some() },
            head_len,
            body_len,
        }))
    }

    fn build_message(&self, parsed: ParsedHead<RequestHead>, body: &[u8]) -> Result<Message, RequestError> {
        let consumed = parsed.head_len + parsed.body_len;
        let RequestHead { target, close, has_length } = parsed.head;
        let parsed = target.into_parsed(body)?;
        // Without a length the body would be taken for the next request.
        if matches!(parsed, Parsed::Request(_)) && !has_length {
            return Err(RequestError { status: 411, reason: "a body needs a Content-Length" });
        }
        Ok(Message { parsed, consumed, close })
    }

    fn check_following(&self, following: &[u8]) -> Result<Following, RequestError> {
        check_following_request(following)
    }
}

impl Wire for Http {
    fn encode(&self, answer: &Answer, close: bool) -> Vec<u8> {
        let (status, fields, body) = answer_parts(answer);
        encode_response(status, &fields, body, close)
    }

    fn encode_error(&self, error: RequestError) -> Vec<u8> {
        encode_response(error.status, "", error.reason.as_bytes(), true)
    }
}

/// The parsed head of a request.
#[derive(Debug)]
pub struct RequestHead {
    target: Target,
    /// The connection is to be closed after the answer.
    close: bool,
    /// The head states the length of the body.
    has_length: bool,
}

/// Checks the bytes behind a body: they must begin a request, which empty lines may precede.
pub(super) fn check_following_request(following: &[u8]) -> Result<Following, RequestError> {
    let mut bytes = following;
    while let Some(rest) = bytes.strip_prefix(b"\r\n") {
        bytes = rest;
    }
    if REQUEST_BEGINNINGS.iter().any(|beginning| bytes.starts_with(beginning)) {
        return Ok(Following::Valid);
    }
    match bytes == b"\r" || REQUEST_BEGINNINGS.iter().any(|beginning| beginning.starts_with(bytes)) {
        true => Ok(Following::Undecided),
        false => Err(RequestError::bad_request(BYTES_BEHIND)),
    }
}

/// Parses the head of an HTTP request. Returns it with its length in bytes, or `None` while it is incomplete.
pub(super) fn parse_request_head<'h, 'b>(
    bytes: &'b [u8],
    buffer: &'h mut [httparse::Header<'b>],
) -> Result<Option<(httparse::Request<'h, 'b>, usize)>, RequestError> {
    let mut head = httparse::Request::new(buffer);
    match head.parse(bytes) {
        // Some intermediaries take a line feed alone as the end of a line, and others do not.
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

/// The stated length of the body. Headers that leave the start of the next request ambiguous are rejected, because an
/// intermediary could read a different request there (request smuggling).
pub(super) fn content_length(headers: &[httparse::Header]) -> Result<Option<usize>, RequestError> {
    let mut length = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(RequestError { status: 411, reason: "a body needs a Content-Length" });
        }
        if !header.name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        let digits = !header.value.is_empty() && header.value.iter().all(u8::is_ascii_digit);
        let len = std::str::from_utf8(header.value).ok().filter(|_| digits).and_then(|v| v.parse().ok());
        let len: usize = len.ok_or(RequestError::bad_request("Content-Length is no length"))?;
        if length.replace(len).is_some_and(|earlier| earlier != len) {
            return Err(RequestError::bad_request("Content-Length stands twice"));
        }
    }
    Ok(length)
}

/// What a request is for, known before its body has been received.
#[derive(Debug)]
pub enum Target {
    /// A health check.
    HealthCheck {
        /// The client asks whether requests are being served, and not only whether the process responds.
        deep: bool,
    },
    /// A request that is to run.
    Request {
        /// The class of the request.
        class: String,
        /// The header fields of the request.
        fields: Box<Fields>,
    },
}

impl Target {
    /// Builds the request from its target and its body.
    pub(super) fn into_parsed(self, body: &[u8]) -> Result<Parsed, RequestError> {
        Ok(match self {
            Self::HealthCheck { deep } => Parsed::HealthCheck { deep },
            Self::Request { class, fields } => Parsed::Request(Box::new(fields.finish(&class, body.into())?)),
        })
    }
}

/// Parses a method and a request target; shared with the SCGI frontend.
pub(super) fn parse_target(method: &str, target: &str, fields: Fields) -> Result<Target, RequestError> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if path == HEALTH_CHECK_PATH {
        return match method {
            "GET" => Ok(Target::HealthCheck { deep: query.split('&').any(|pair| pair == "deep=1") }),
            _ => Err(RequestError { status: 405, reason: "a check is a GET" }),
        };
    }
    let Some(class) = path.strip_prefix(REQUEST_PATH_PREFIX) else {
        return Err(RequestError { status: 404, reason: "no such path" });
    };
    // A request may have effects, so it is neither safe as a GET is, nor idempotent as a PUT is.
    if method != "POST" {
        return Err(RequestError { status: 405, reason: "a request is a POST" });
    }
    Ok(Target::Request { class: class.to_string(), fields: Box::new(fields) })
}

/// The status, header fields and body of an answer; shared with the SCGI frontend.
pub(super) fn answer_parts(answer: &Answer) -> (u16, String, &[u8]) {
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

/// The reason phrase of a status.
pub(super) fn reason_phrase(status: u16) -> &'static str {
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

/// Encodes a response; each header field in `fields` ends in CR LF.
pub(super) fn encode_response(status: u16, fields: &str, body: &[u8], close: bool) -> Vec<u8> {
    let close = if close { "Connection: close\r\n" } else { "" };
    let phrase = reason_phrase(status);
    let head = format!("HTTP/1.1 {status} {phrase}\r\nContent-Length: {}\r\n{fields}{close}\r\n", body.len());
    [head.as_bytes(), body].concat()
}
