//! The platform's front: HTTP/1.1, one request at a time on a connection.

use super::fields::{Bad, Fields, Message, Parsed, MOST_BODY, MOST_HEAD};
use super::front::Wire;
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

impl Wire for Http {
    fn parse(&self, bytes: &[u8]) -> Result<Option<Message>, Bad> {
        parse(bytes)
    }

    fn encode(&self, answer: &Answer, close: bool) -> Vec<u8> {
        let (status, fields, body) = parts(answer);
        response(status, &fields, body, close)
    }

    fn encode_bad(&self, bad: Bad) -> Vec<u8> {
        response(bad.status, "", bad.reason.as_bytes(), true)
    }
}

fn parse(bytes: &[u8]) -> Result<Option<Message>, Bad> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let head_len = match head.parse(bytes) {
        Ok(httparse::Status::Complete(len)) if len <= MOST_HEAD => len,
        Ok(httparse::Status::Partial) if bytes.len() < MOST_HEAD => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Err(Bad { status: 431, reason: "the head is too large" });
        }
        Err(_) => return Err(Bad::request("this is no HTTP request")),
    };
    let mut known = Fields::default();
    let mut body_len = None;
    let mut close = head.version == Some(0);
    for field in head.headers.iter() {
        let value = std::str::from_utf8(field.value).map_err(|_| Bad::request("a field is no text"))?;
        if field.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let len: usize =
                value.parse().ok().filter(|_| digits).ok_or(Bad::request("Content-Length is no length"))?;
            // Two lengths that differ leave it open where the next request starts.
            if body_len.replace(len).is_some_and(|before| before != len) {
                return Err(Bad::request("Content-Length stands twice"));
            }
        } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Bad { status: 411, reason: "a body needs a Content-Length" });
        } else if field.name.eq_ignore_ascii_case("connection") {
            close |= value.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"));
        } else {
            known.set(field.name, value)?;
        }
    }
    let body_len = body_len.unwrap_or(0);
    if body_len > MOST_BODY {
        return Err(Bad { status: 413, reason: "the body is too large" });
    }
    let taken = head_len + body_len;
    let Some(body) = bytes.get(head_len..taken) else { return Ok(None) };
    let parsed = route(head.method.unwrap_or(""), head.path.unwrap_or(""), known, body)?;
    Ok(Some(Message { parsed, taken, close }))
}

/// Tells what a method and a target ask for; shared with the other front.
pub(super) fn route(method: &str, target: &str, fields: Fields, body: &[u8]) -> Result<Parsed, Bad> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if path == CHECK {
        return match method {
            "GET" => Ok(Parsed::Check { deep: query.split('&').any(|pair| pair == "deep=1") }),
            _ => Err(Bad { status: 405, reason: "a check is a GET" }),
        };
    }
    let Some(class) = path.strip_prefix(PATH) else {
        return Err(Bad { status: 404, reason: "no such path" });
    };
    if !matches!(method, "POST" | "GET" | "PUT") {
        return Err(Bad { status: 405, reason: "a request is a POST" });
    }
    Ok(Parsed::Request(Box::new(fields.finish(class, body.into())?)))
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
