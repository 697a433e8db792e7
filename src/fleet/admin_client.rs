//! A client of the operators' door: one question, one answer, within a time.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use miette::Diagnostic;
use thiserror::Error;
use tinyjson::JsonValue;

/// The largest answer.
const MOST_ANSWER: u64 = 4 << 20;

/// Why a question has no good answer.
#[derive(Debug, Error, Diagnostic)]
pub enum AdminClientError {
    /// The door cannot be reached, or breaks off.
    #[error("{address}: {reason}")]
    #[diagnostic(help("check that the matcher runs, and that --admin names its `admin` address"))]
    Io {
        /// Which door.
        address: SocketAddr,
        /// What the system says.
        reason: io::Error,
    },
    /// What came is no whole answer.
    #[error("{address}: the answer is cut short or no HTTP")]
    #[diagnostic(help("check that --admin names the operators' door, and ask again"))]
    InvalidResponse {
        /// Which door.
        address: SocketAddr,
    },
    /// The matcher says no, without a reason.
    #[error("{address}: {path}: status {status}: {body}")]
    #[diagnostic(help(
        "status 404: this matcher is in no fleet, or knows no such call; 503: it cannot answer now"
    ))]
    Status {
        /// Which door.
        address: SocketAddr,
        /// What it was asked.
        path: String,
        /// The status.
        status: u16,
        /// What came with it.
        body: String,
    },
    /// The matcher or the fleet refuses, and says why.
    #[error("{error}")]
    Refused {
        /// The status: 409 for what was decided, 503 where no leader answers, 404 where routes are off.
        status: u16,
        /// What is wrong.
        error: String,
        /// What can be done.
        #[help]
        help: String,
    },
}

/// Asks `path` at a matcher's door; the body of its answer.
///
/// # Errors
/// [`AdminClientError`] for each way in which there is none, or a bad one.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    patience: Duration,
) -> Result<String, AdminClientError> {
    request_with_body(address, method, path, "", patience)
}

/// The same with a body.
///
/// # Errors
/// As [`request`].
pub fn request_with_body(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    patience: Duration,
) -> Result<String, AdminClientError> {
    let since = Instant::now();
    let wrong = |reason: io::Error| AdminClientError::Io { address, reason };
    let mut stream = TcpStream::connect_timeout(&address, patience).map_err(wrong)?;
    let left = patience.saturating_sub(since.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).and_then(|()| stream.set_write_timeout(Some(left))).map_err(wrong)?;
    let head =
        format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes())).map_err(wrong)?;
    let mut bytes = Vec::new();
    stream.take(MOST_ANSWER).read_to_end(&mut bytes).map_err(wrong)?;
    let mut fields = [httparse::EMPTY_HEADER; 16];
    let mut head = httparse::Response::new(&mut fields);
    let end = match head.parse(&bytes) {
        Ok(httparse::Status::Complete(end)) => end,
        _ => return Err(AdminClientError::InvalidResponse { address }),
    };
    let body = String::from_utf8_lossy(&bytes[end..]).into_owned();
    match head.code.unwrap_or(0) {
        200 => Ok(body),
        status => Err(refused(status, &body).unwrap_or_else(|| AdminClientError::Status {
            address,
            path: path.to_string(),
            status,
            body: body.trim().to_string(),
        })),
    }
}

/// A refusal with its reason, if the body holds one.
fn refused(status: u16, body: &str) -> Option<AdminClientError> {
    let json = crate::json::parse(body).ok()?;
    let top: &std::collections::HashMap<String, JsonValue> = json.get()?;
    let text = |key: &str| top.get(key).and_then(|v| v.get::<String>()).cloned();
    Some(AdminClientError::Refused { status, error: text("error")?, help: text("help")? })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_refusal_tells_what_is_wrong_and_what_can_be_done() {
        let body = r#"{"error":"no version 7","help":"`show` lists them"}"#;
        let e = refused(409, body).unwrap();
        let help = e.help().map(|help| help.to_string());
        assert_eq!((e.to_string(), help.as_deref()), ("no version 7".into(), Some("`show` lists them")));
        for plain in ["no\n", "{}", r#"{"error":1,"help":""}"#] {
            assert!(refused(503, plain).is_none(), "{plain}");
        }
    }
}
