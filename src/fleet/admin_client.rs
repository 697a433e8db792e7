//! Client of a matcher's admin endpoint: sends one HTTP request and returns the body of the answer, with a timeout.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use miette::Diagnostic;
use thiserror::Error;
use tinyjson::JsonValue;

/// Upper bound of the length of an answer in bytes.
const MAX_ANSWER: u64 = 4 << 20;

/// Why a request has no usable answer.
#[derive(Debug, Error, Diagnostic)]
pub enum AdminClientError {
    /// The endpoint cannot be reached, or the connection broke.
    #[error("{address}: {reason}")]
    #[diagnostic(help("check that the matcher runs, and that --admin names its `admin` address"))]
    Io {
        /// The address of the endpoint.
        address: SocketAddr,
        /// The system's error.
        reason: io::Error,
    },
    /// The answer is truncated or not HTTP.
    #[error("{address}: the answer is truncated or not HTTP")]
    #[diagnostic(help("check that --admin names the admin endpoint of a matcher, and try again"))]
    InvalidResponse {
        /// The address of the endpoint.
        address: SocketAddr,
    },
    /// The answer has an error status and no reason.
    #[error("{address}: {path}: status {status}: {body}")]
    #[diagnostic(help(
        "status 404: this matcher is in no fleet, or does not know this path; 503: it cannot answer now"
    ))]
    Status {
        /// The address of the endpoint.
        address: SocketAddr,
        /// The path of the request.
        path: String,
        /// The HTTP status.
        status: u16,
        /// The body of the answer.
        body: String,
    },
    /// The matcher or the fleet rejects the request with a reason.
    #[error("{error}")]
    Refused {
        /// The HTTP status: 409 if the fleet rejected an order, 503 if no leader answers, 404 if the matcher has no
        /// routes.
        status: u16,
        /// What is wrong.
        error: String,
        /// What can be done about it.
        #[help]
        help: String,
    },
}

/// Sends a request without a body to the admin endpoint at `address`. Returns the body of the answer.
///
/// # Errors
/// [`AdminClientError`] if there is no answer, or one that is invalid or an error.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    timeout: Duration,
) -> Result<String, AdminClientError> {
    request_with_body(address, method, path, "", timeout)
}

/// As [`request`], with a body.
///
/// # Errors
/// As [`request`].
pub fn request_with_body(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Result<String, AdminClientError> {
    let began = Instant::now();
    let io_error = |reason: io::Error| AdminClientError::Io { address, reason };
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(io_error)?;
    let remaining = timeout.saturating_sub(began.elapsed()).max(Duration::from_millis(1));
    stream
        .set_read_timeout(Some(remaining))
        .and_then(|()| stream.set_write_timeout(Some(remaining)))
        .map_err(io_error)?;
    let head =
        format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes())).map_err(io_error)?;
    let mut bytes = Vec::new();
    stream.take(MAX_ANSWER).read_to_end(&mut bytes).map_err(io_error)?;
    let mut fields = [httparse::EMPTY_HEADER; 16];
    let mut head = httparse::Response::new(&mut fields);
    let end = match head.parse(&bytes) {
        Ok(httparse::Status::Complete(end)) => end,
        _ => return Err(AdminClientError::InvalidResponse { address }),
    };
    let body = String::from_utf8_lossy(&bytes[end..]).into_owned();
    match head.code.unwrap_or(0) {
        200 => Ok(body),
        status => Err(parse_refusal(status, &body).unwrap_or_else(|| AdminClientError::Status {
            address,
            path: path.to_string(),
            status,
            body: body.trim().to_string(),
        })),
    }
}

/// The error with the reason that the body holds, if it holds one.
fn parse_refusal(status: u16, body: &str) -> Option<AdminClientError> {
    let json = crate::json::parse(body).ok()?;
    let object: &std::collections::HashMap<String, JsonValue> = json.get()?;
    let text = |key: &str| object.get(key).and_then(|v| v.get::<String>()).cloned();
    Some(AdminClientError::Refused { status, error: text("error")?, help: text("help")? })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_refusal_has_the_error_and_the_help_of_the_body() {
        let body = r#"{"error":"no version 7","help":"`show` lists them"}"#;
        let e = parse_refusal(409, body).unwrap();
        let help = e.help().map(|help| help.to_string());
        assert_eq!((e.to_string(), help.as_deref()), ("no version 7".into(), Some("`show` lists them")));
        for plain in ["no\n", "{}", r#"{"error":1,"help":""}"#] {
            assert!(parse_refusal(503, plain).is_none(), "{plain}");
        }
    }
}
