//! Answers http-01 challenges (RFC 8555, section 8.3).
//!
//! A [`Responder`] listens while an order needs it and serves the key authorizations that the order adds.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::net::socket_retry;

/// The path at which the authority requests a challenge; the token follows.
const PATH_PREFIX: &str = "/.well-known/acme-challenge/";
/// Read and write timeout of a connection; after this time no more of a request's head is read.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The interval between checks for new connections and for the end of the order.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// No more of a request's head is read once it has this length.
const MAX_HEAD_LEN: usize = 4096;

/// Key authorizations by token.
type Authorizations = Arc<Mutex<HashMap<String, String>>>;

/// A challenge listener with its thread; dropping it closes the listener.
pub(super) struct Responder {
    authorizations: Authorizations,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Responder {
    pub(super) fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = socket_retry::open(|| TcpListener::bind(address))?;
        listener.set_nonblocking(true)?;
        let (authorizations, stopped) = (Authorizations::default(), Arc::new(AtomicBool::new(false)));
        let (thread_authorizations, thread_stopped) = (authorizations.clone(), stopped.clone());
        let thread = std::thread::Builder::new().name("acme-challenge".to_string()).spawn(move || {
            while !thread_stopped.load(Ordering::Relaxed) {
                match listener.accept() {
                    // Connections are served one after the other, each with a timeout: an authority sends only a few
                    // requests per order.
                    Ok((stream, _)) => drop(serve(stream, &thread_authorizations)),
                    Err(_) => std::thread::sleep(POLL_INTERVAL),
                }
            }
        })?;
        Ok(Self { authorizations, stopped, thread: Some(thread) })
    }

    /// Adds the key authorization that is served for a token.
    pub(super) fn add(&self, token: &str, authorization: String) {
        let mut authorizations = self.authorizations.lock().unwrap_or_else(PoisonError::into_inner);
        authorizations.insert(token.to_string(), authorization);
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(mut stream: TcpStream, authorizations: &Authorizations) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let (accepted_at, mut bytes) = (Instant::now(), Vec::new());
    let authorization = loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&bytes) {
            Ok(httparse::Status::Complete(_)) => {
                let token = request.path.and_then(|path| path.strip_prefix(PATH_PREFIX)).unwrap_or("");
                break authorizations.lock().unwrap_or_else(PoisonError::into_inner).get(token).cloned();
            }
            Ok(httparse::Status::Partial)
                if bytes.len() < MAX_HEAD_LEN && accepted_at.elapsed() < TIMEOUT => {}
            _ => return Ok(()),
        }
        let mut chunk = [0; 1024];
        match stream.read(&mut chunk)? {
            0 => return Ok(()),
            n => bytes.extend(&chunk[..n]),
        }
    };
    let (status, body) = authorization.map_or(("404 Not Found", String::new()), |body| ("200 OK", body));
    let head =
        format!("HTTP/1.1 {status}\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n");
    stream.write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
}
