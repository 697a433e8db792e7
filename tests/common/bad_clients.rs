//! Clients that send at full speed, that write slowly, or that stop half way.
#![allow(dead_code)]

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How long a client waits before it tries again to connect.
const CONNECT_RETRY: Duration = Duration::from_millis(5);

/// Clients that each write a head and then fill without end, read all that comes, and connect again when they are closed.
pub struct Flood {
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Flood {
    /// Writes at full speed what `fill` returns, time and again.
    pub fn start(
        address: SocketAddr,
        clients: usize,
        head: &'static [u8],
        fill: impl FnMut() -> Vec<u8> + Send + 'static,
    ) -> Self {
        Self::paced(address, clients, head, Duration::ZERO, fill)
    }

    /// Writes what `fill` returns, each client once every `pace`.
    pub fn paced(
        address: SocketAddr,
        clients: usize,
        head: &'static [u8],
        pace: Duration,
        mut fill: impl FnMut() -> Vec<u8> + Send + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || {
            let mut clients: Vec<Option<Client>> = (0..clients).map(|_| None).collect();
            let mut buffer = vec![0; 1 << 16];
            while !stopped.load(Ordering::Relaxed) {
                for client in &mut clients {
                    let goes_on = match client {
                        Some(client) => client.go_on(&mut fill, &mut buffer),
                        None => false,
                    };
                    if !goes_on {
                        *client = Client::open(address, head);
                    }
                }
                thread::sleep(pace);
            }
        });
        Self { stop, thread: Some(thread) }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(thread::JoinHandle::join);
    }
}

/// One connection, and what is still to be written to it.
struct Client {
    stream: TcpStream,
    unwritten: Vec<u8>,
}

impl Client {
    fn open(address: SocketAddr, head: &[u8]) -> Option<Self> {
        let Ok(stream) = TcpStream::connect(address) else {
            thread::sleep(CONNECT_RETRY);
            return None;
        };
        stream.set_nonblocking(true).ok()?;
        Some(Self { stream, unwritten: head.to_vec() })
    }

    /// Writes and reads what is possible without waiting; returns false once the peer has closed.
    fn go_on(&mut self, fill: &mut impl FnMut() -> Vec<u8>, buffer: &mut [u8]) -> bool {
        if self.unwritten.is_empty() {
            self.unwritten = fill();
        }
        let written = self.unwritten.is_empty() || self.write();
        written && is_open(self.stream.read(buffer))
    }

    fn write(&mut self) -> bool {
        let result = self.stream.write(&self.unwritten);
        if let Ok(count) = result {
            self.unwritten.drain(..count);
        }
        is_open(result)
    }
}

/// Whether the connection that returned this is still open.
fn is_open(result: std::io::Result<usize>) -> bool {
    match result {
        Ok(count) => count > 0,
        Err(e) => e.kind() == ErrorKind::WouldBlock,
    }
}
