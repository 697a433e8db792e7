//! A TCP connection shared by several coroutines: one reads, one writes, and any of them may shut it down.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::net::TcpStream;

/// The first wait while the send buffer is full, and the longest one: each wait is twice as long as the one before it.
const WRITE_RETRY_WAIT: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(16));

/// A TCP connection. Clones share one descriptor, because a duplicate made by the operating system would use up a
/// second one of a limited number.
#[derive(Clone)]
pub(super) struct Conn {
    stream: Arc<TcpStream>,
    read_timeout: Option<Duration>,
    write_timeout: Duration,
}

impl Conn {
    /// Wraps an open connection; a write fails once the peer has accepted nothing for `write_timeout`.
    pub(super) fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream: Arc::new(stream), read_timeout: None, write_timeout }
    }

    pub(super) fn connect(
        address: SocketAddr,
        timeout: Duration,
        write_timeout: Duration,
    ) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?, write_timeout))
    }

    /// Sets how long a read waits; to be called by the coroutine that reads.
    pub(super) fn set_read_timeout(&mut self, timeout: Duration) {
        if self.read_timeout.replace(timeout) != Some(timeout) {
            let _ = self.stream.set_read_timeout(Some(timeout.max(Duration::from_millis(1))));
        }
    }

    /// Sets how long a write waits for a peer that accepts nothing.
    pub(super) fn set_write_timeout(&mut self, timeout: Duration) {
        self.write_timeout = timeout;
    }

    pub(super) fn shutdown(&self, how: Shutdown) {
        let _ = self.stream.shutdown(how);
    }

    /// The connection has bytes that have not been read.
    pub(super) fn has_unread(&self) -> bool {
        matches!(self.stream.inner().peek(&mut [0]), Ok(1..))
    }

    /// The socket of the connection.
    pub(super) fn socket(&self) -> &std::net::TcpStream {
        self.stream.inner()
    }

    /// The connection has no unread bytes, and the peer has not closed its side.
    pub(super) fn is_open_and_idle(&self) -> bool {
        matches!(self.stream.inner().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

impl Read for Conn {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.stream.inner().read(buf) {
                // Unlike a read, a peek leaves the stream usable for other coroutines while it waits.
                Err(e) if e.kind() == ErrorKind::WouldBlock => drop(self.stream.peek(&mut [0])?),
                done => return done,
            }
        }
    }
}

impl Write for Conn {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let (mut since, mut wait) = (None, WRITE_RETRY_WAIT.0);
        loop {
            match self.stream.inner().write(buf) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                done => return done,
            }
            if since.get_or_insert_with(Instant::now).elapsed() >= self.write_timeout {
                return Err(ErrorKind::TimedOut.into());
            }
            crate::net::spawn::sleep(wait);
            wait = (wait * 2).min(WRITE_RETRY_WAIT.1);
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
