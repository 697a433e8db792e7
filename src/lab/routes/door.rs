//! A client of the operators' door that orders things: any status is an answer.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::error::LabError;

/// The largest answer, in bytes.
const MOST_ANSWER: u64 = 4 << 20;

/// Makes one call with a body; its status and what came back.
///
/// # Errors
/// [`LabError::Door`] where no whole answer came within `patience`.
pub fn call(
    door: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    patience: Duration,
) -> Result<(u16, String), LabError> {
    exchange(door, method, path, body, patience).map_err(|source| LabError::Door { at: door, source })
}

fn exchange(
    door: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    patience: Duration,
) -> io::Result<(u16, String)> {
    let until = Instant::now() + patience;
    let mut stream = TcpStream::connect_timeout(&door, patience)?;
    let left = || until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_write_timeout(Some(left()))?;
    let len = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nHost: {door}\r\nContent-Length: {len}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    stream.set_read_timeout(Some(left()))?;
    let mut bytes = Vec::new();
    stream.take(MOST_ANSWER).read_to_end(&mut bytes)?;
    let mut fields = [httparse::EMPTY_HEADER; 16];
    let mut head = httparse::Response::new(&mut fields);
    match (head.parse(&bytes), head.code) {
        (Ok(httparse::Status::Complete(end)), Some(code)) => {
            Ok((code, String::from_utf8_lossy(&bytes[end..]).trim().to_string()))
        }
        _ => Err(io::Error::new(ErrorKind::InvalidData, "the answer is cut short or no HTTP")),
    }
}
