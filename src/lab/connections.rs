//! The callers' connections: one request at a time, and where a connection was used before, what a close of the matcher's
//! that crosses the next request means.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use may::net::TcpStream;

use super::error::AskError;
use super::http::Answered;

/// Bytes of an answer read at most.
const MOST_ANSWER: usize = 64 * 1024;
/// A connection that was answered on is used again within this time: less than any matcher keeps an idle one.
const REUSE_WITHIN: Duration = Duration::from_millis(50);
/// The same for gateways that keep connections open; the matchers of a lab keep an idle one for up to 30 s.
const KEPT_OPEN: Duration = Duration::from_secs(5);
/// A request that crosses a close within this time is sent again, as the protocol has it.
const CROSSING: Duration = Duration::from_millis(50);

/// What becomes of a connection that was answered on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reuse {
    /// It is closed.
    #[default]
    Never,
    /// The next request goes out on it, if that comes at once.
    AtOnce,
    /// It is kept until the matcher closes it, or for some seconds.
    KeepsOpen,
}

impl Reuse {
    /// How long an idle connection may be used again.
    fn within(self) -> Duration {
        match self {
            Self::Never => Duration::ZERO,
            Self::AtOnce => REUSE_WITHIN,
            Self::KeepsOpen => KEPT_OPEN,
        }
    }
}

/// Connections that were answered on and may carry another request, by the address they lead to.
#[derive(Default)]
pub struct Idle {
    reuse: Reuse,
    all: Mutex<HashMap<SocketAddr, Vec<(TcpStream, Instant)>>>,
}

impl Idle {
    /// None yet; further ones are kept as `reuse` says.
    pub fn new(reuse: Reuse) -> Self {
        Self { reuse, all: Mutex::default() }
    }

    /// One that was in use just now, on which nothing came that was not read; the rest of the old ones are closed.
    fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut all = self.all.lock().unwrap();
        let idle = all.get_mut(&address)?;
        let old = idle.iter().take_while(|(_, since)| since.elapsed() >= self.reuse.within()).count();
        idle.drain(..old);
        while let Some((stream, _)) = idle.pop() {
            let quiet = stream.inner().peek(&mut [0]);
            if matches!(quiet, Err(e) if e.kind() == ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, stream: TcpStream) {
        if self.reuse != Reuse::Never {
            self.all.lock().unwrap().entry(address).or_default().push((stream, Instant::now()));
        }
    }
}

/// What became of a request.
pub struct Asked {
    /// The status and the body of its answer.
    pub answered: Result<(u16, Vec<u8>), AskError>,
    /// This end of its connection.
    pub near: Option<SocketAddr>,
    /// When all of it was written.
    pub wrote: Option<Instant>,
}

/// Sends one request and reads its whole answer. A request that is sent `again` goes out on a new connection.
pub fn ask(idle: &Idle, address: SocketAddr, request: &[u8], wait: Duration, again: bool) -> Asked {
    let (mut near, mut wrote) = (None, None);
    let answered = exchange(idle, address, request, wait, again, &mut near, &mut wrote);
    Asked { answered, near, wrote }
}

fn exchange(
    idle: &Idle,
    address: SocketAddr,
    request: &[u8],
    wait: Duration,
    again: bool,
    near: &mut Option<SocketAddr>,
    wrote: &mut Option<Instant>,
) -> Result<(u16, Vec<u8>), AskError> {
    let since = Instant::now();
    let kept = idle.take(address).filter(|_| !again);
    let was_used = kept.is_some() && idle.reuse == Reuse::KeepsOpen;
    let mut stream = match kept {
        Some(stream) => stream,
        None => connect(address)?,
    };
    let _ = stream.set_nodelay(true);
    *near = stream.local_addr().ok();
    // A caller that is late itself finds its new connection closed: it has sent nothing.
    if is_closed(&stream) {
        return Err(AskError::Crossed);
    }
    stream.set_write_timeout(Some(wait)).map_err(AskError::Write)?;
    let sent = Instant::now();
    let mut bytes = Vec::with_capacity(256);
    let asked = stream.write_all(request).map_err(AskError::Write);
    *wrote = asked.is_ok().then(Instant::now);
    let answered = asked.and_then(|()| read_answer(&mut stream, &mut bytes, since + wait));
    match answered {
        Ok(answer) => {
            if answer.reusable && bytes.len() == answer.len {
                idle.keep(address, stream);
            }
            Ok((answer.status, bytes[answer.head..answer.len].to_vec()))
        }
        Err(AskError::Closed | AskError::Read(_) | AskError::Write(_))
            if was_used && bytes.is_empty() && sent.elapsed() <= CROSSING =>
        {
            Err(AskError::Crossed)
        }
        Err(e) => Err(e),
    }
}

/// The other side has closed, and nothing more is there to be read.
fn is_closed(stream: &TcpStream) -> bool {
    matches!(stream.inner().peek(&mut [0]), Ok(0))
}

fn connect(address: SocketAddr) -> Result<TcpStream, AskError> {
    TcpStream::connect(address).map_err(|e| match e.kind() {
        ErrorKind::ConnectionRefused => AskError::Refused,
        _ => AskError::Connect(e),
    })
}

/// Reads a whole answer, at most until a time; what came is in `bytes`.
fn read_answer(stream: &mut TcpStream, bytes: &mut Vec<u8>, until: Instant) -> Result<Answered, AskError> {
    let mut chunk = [0; 2048];
    loop {
        if let Some(answer) = Answered::read(bytes) {
            return Ok(answer);
        }
        if bytes.len() > MOST_ANSWER {
            return Err(AskError::Endless);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(AskError::Late);
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut chunk) {
            Ok(0) => return Err(AskError::Closed),
            Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(AskError::Late)
            }
            Err(e) => return Err(AskError::Read(e)),
        }
    }
}
