//! The answer to http-01 challenges, on a listener that is open while an order is under way.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::net::socket_retry;

/// Where challenges are looked for; the token follows.
const PATH: &str = "/.well-known/acme-challenge/";
/// A connection is served within this time.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time between two looks for connections, and whether the order is over.
const LOOK: Duration = Duration::from_millis(10);
/// The longest head of a request.
const MOST_HEAD: usize = 4096;

type Answers = Arc<Mutex<HashMap<String, String>>>;

/// The listener; dropping it closes it.
pub(super) struct Responder {
    answers: Answers,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Responder {
    pub(super) fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = socket_retry::open(|| TcpListener::bind(address))?;
        listener.set_nonblocking(true)?;
        let (answers, over) = (Answers::default(), Arc::new(AtomicBool::new(false)));
        let (of_thread, ends) = (answers.clone(), over.clone());
        let thread = std::thread::Builder::new().name("acme-challenge".to_string()).spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                match listener.accept() {
                    // One after the other, each within its time: an authority asks a few times in all.
                    Ok((stream, _)) => drop(serve(stream, &of_thread)),
                    Err(_) => std::thread::sleep(LOOK),
                }
            }
        })?;
        Ok(Self { answers, over, thread: Some(thread) })
    }

    pub(super) fn put(&self, token: &str, authorization: String) {
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.insert(token.to_string(), authorization);
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(mut stream: TcpStream, answers: &Answers) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    let (since, mut bytes) = (Instant::now(), Vec::new());
    let answer = loop {
        let mut fields = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Request::new(&mut fields);
        match head.parse(&bytes) {
            Ok(httparse::Status::Complete(_)) => {
                let token = head.path.and_then(|path| path.strip_prefix(PATH)).unwrap_or("");
                break answers.lock().unwrap_or_else(PoisonError::into_inner).get(token).cloned();
            }
            Ok(httparse::Status::Partial) if bytes.len() < MOST_HEAD && since.elapsed() < PATIENCE => {}
            _ => return Ok(()),
        }
        let mut chunk = [0; 1024];
        match stream.read(&mut chunk)? {
            0 => return Ok(()),
            n => bytes.extend(&chunk[..n]),
        }
    };
    let (status, body) = answer.map_or(("404 Not Found", String::new()), |body| ("200 OK", body));
    let head =
        format!("HTTP/1.1 {status}\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n");
    stream.write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
}
