//! Calls below through the vault: text lines, many calls on one connection, replies in any order.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use may::net::TcpStream;
use may::sync::mpsc::{channel, Receiver, Sender};
use tracing::debug;

use super::lines::Buffer;
use super::{spawn, Hub};
use crate::core::{Bytes, End, Handle, Input};

/// An attempt to connect is given up after this long.
const CONNECT_PATIENCE: Duration = Duration::from_millis(500);
/// A vault that reads nothing for this long is taken to be gone.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);
/// A connection without calls is closed after this long: before the vault does, which a call could cross.
const IDLE: Duration = Duration::from_secs(6);
/// The longest reply.
const MOST_REPLY: usize = 16 << 10;

/// What the reducer wants of the vault.
pub enum Order {
    /// Make a call.
    Ask {
        /// The request it is for.
        handle: Handle,
        /// Which of the request's calls.
        attempt: u32,
        /// How long it is waited for.
        patience: Duration,
        /// Its body.
        body: Bytes,
    },
    /// Give up a request's call.
    Unask {
        /// The request.
        handle: Handle,
    },
}

/// Where calls go.
pub struct Link {
    orders: Sender<Order>,
}

impl Link {
    /// Waits for calls; without an address none can be made, which each is told.
    pub fn start(address: Option<SocketAddr>, hub: &Arc<Hub>) -> Self {
        let (orders, received) = channel();
        let hub = hub.clone();
        spawn(move || Caller { address, hub, line: None }.take_orders(&received));
        Self { orders }
    }

    /// Queues an order; never waits.
    pub fn send(&self, order: Order) {
        let _ = self.orders.send(order);
    }
}

/// Calls that are out on one connection; none once the connection has ended.
type Open = Arc<Mutex<Option<HashMap<Handle, u32>>>>;

fn lock(open: &Open) -> MutexGuard<'_, Option<HashMap<Handle, u32>>> {
    open.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Caller {
    address: Option<SocketAddr>,
    hub: Arc<Hub>,
    line: Option<(TcpStream, Open)>,
}

impl Caller {
    fn take_orders(mut self, orders: &Receiver<Order>) {
        loop {
            match orders.recv_timeout(IDLE) {
                Ok(Order::Ask { handle, attempt, patience, body }) => {
                    self.ask(handle, attempt, patience, &body);
                }
                Ok(Order::Unask { handle }) => self.unask(handle),
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => {
                    if self
                        .line
                        .as_ref()
                        .is_some_and(|(_, open)| lock(open).as_ref().is_none_or(HashMap::is_empty))
                    {
                        self.hang_up();
                    }
                }
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn ask(&mut self, handle: Handle, attempt: u32, patience: Duration, body: &[u8]) {
        let call = encode_ask(handle, patience, body);
        // A connection that ended before anything of this call was sent says nothing about it.
        let noted = self.line.as_ref().is_some_and(|(_, open)| note(open, handle, attempt));
        if !noted {
            self.hang_up();
            match self.connect() {
                Ok(line) => {
                    note(&line.1, handle, attempt);
                    self.line = Some(line);
                }
                Err(e) => {
                    debug!("no connection to the vault: {e}");
                    let end = End::Refused;
                    return self.hub.push(Input::CallEnded { handle, attempt, end, reply: None });
                }
            }
        }
        self.write(&call);
    }

    fn unask(&mut self, handle: Handle) {
        let Some((_, open)) = &self.line else { return };
        if lock(open).as_mut().is_some_and(|calls| calls.remove(&handle).is_some()) {
            self.write(format!("unask {handle}\r\n").as_bytes());
        }
    }

    fn write(&mut self, bytes: &[u8]) {
        let Some((stream, _)) = &mut self.line else { return };
        if stream.write_all(bytes).is_err() {
            // The reader wakes up on the shutdown, and ends all calls that were out.
            self.hang_up();
        }
    }

    fn hang_up(&mut self) {
        if let Some((stream, _)) = self.line.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn connect(&self) -> io::Result<(TcpStream, Open)> {
        let address = self.address.ok_or(io::ErrorKind::NotConnected)?;
        let stream = TcpStream::connect_timeout(&address, CONNECT_PATIENCE)?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(WRITE_PATIENCE));
        let reads = Buffer::new(stream.try_clone()?);
        let open: Open = Arc::new(Mutex::new(Some(HashMap::new())));
        let (hub, of_reader) = (self.hub.clone(), open.clone());
        spawn(move || {
            let end = read_replies(reads, &of_reader, &hub);
            for (handle, attempt) in lock(&of_reader).take().unwrap_or_default() {
                hub.push(Input::CallEnded { handle, attempt, end, reply: None });
            }
        });
        Ok((stream, open))
    }
}

fn note(open: &Open, handle: Handle, attempt: u32) -> bool {
    lock(open).as_mut().map(|calls| calls.insert(handle, attempt)).is_some()
}

fn read_replies(mut lines: Buffer, open: &Open, hub: &Hub) -> End {
    loop {
        let (handle, end, len) = match lines.line().and_then(|line| parse_reply(&line)) {
            Ok(reply) => reply,
            Err(end) => return end,
        };
        let reply = match len.map(|len| lines.exact(len).and_then(|body| lines.line().map(|_| body))) {
            None => None,
            Some(Ok(body)) => Some(body.into()),
            Some(Err(end)) => return end,
        };
        // A reply to a call that was given up meanwhile is nobody's.
        let attempt = lock(open).as_mut().and_then(|calls| calls.remove(&handle));
        if let Some(attempt) = attempt {
            hub.push(Input::CallEnded { handle, attempt, end, reply });
        }
    }
}

/// A call in bytes.
pub fn encode_ask(handle: Handle, patience: Duration, body: &[u8]) -> Vec<u8> {
    let ms = patience.as_millis().max(1);
    [format!("ask {handle} {ms} {}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat()
}

/// Reads the line of a reply: the request, how the call ended, and the length of what follows.
pub fn parse_reply(line: &str) -> Result<(Handle, End, Option<usize>), End> {
    let mut words = line.split(' ');
    let handle = words.next().and_then(|h| h.parse().ok()).ok_or(End::Malformed)?;
    let end = match words.next() {
        Some("yes") => End::Complete,
        Some("notnow") => End::NotNow,
        Some("failed") => End::Failed,
        Some("overdue") => End::Overdue,
        Some("pointless") => End::Pointless,
        _ => return Err(End::Malformed),
    };
    let len = words.next().map(|len| len.parse().map_err(|_| End::Malformed)).transpose()?;
    if len.is_some() != (end == End::Complete) || len.is_some_and(|len| len > MOST_REPLY) {
        return Err(End::Malformed);
    }
    Ok((handle, end, len))
}
