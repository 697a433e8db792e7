//! A TCP connection that several coroutines hold: one reads, one writes, and any of them may end it.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::net::TcpStream;

/// First wait for a peer that takes no more bytes just now, doubled up to the second.
const FULL_WAIT: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(16));

/// A connection. Clones share one descriptor; a copy made by the system would take a second one of few.
#[derive(Clone)]
pub(super) struct Conn {
    stream: Arc<TcpStream>,
    read_patience: Option<Duration>,
    write_patience: Duration,
}

impl Conn {
    /// A connection that is open already; writing gives up after `write_patience`.
    pub(super) fn new(stream: TcpStream, write_patience: Duration) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream: Arc::new(stream), read_patience: None, write_patience }
    }

    pub(super) fn connect(
        address: SocketAddr,
        patience: Duration,
        write_patience: Duration,
    ) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, patience)?, write_patience))
    }

    /// How long reading waits; to be set by the one who reads.
    pub(super) fn set_read_patience(&mut self, patience: Duration) {
        if self.read_patience.replace(patience) != Some(patience) {
            let _ = self.stream.set_read_timeout(Some(patience.max(Duration::from_millis(1))));
        }
    }

    /// How long writing waits for a peer that takes nothing.
    pub(super) fn set_write_timeout(&mut self, patience: Duration) {
        self.write_patience = patience;
    }

    pub(super) fn shutdown(&self, how: Shutdown) {
        let _ = self.stream.shutdown(how);
    }

    /// Something has come that was not read.
    pub(super) fn has_unread(&self) -> bool {
        matches!(self.stream.inner().peek(&mut [0]), Ok(1..))
    }

    /// Nothing has come that was not read, and the other side has not closed.
    pub(super) fn is_open_and_idle(&self) -> bool {
        matches!(self.stream.inner().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

impl Read for Conn {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.stream.inner().read(buf) {
                // Unlike reading, a look at what has come leaves the stream to others meanwhile.
                Err(e) if e.kind() == ErrorKind::WouldBlock => drop(self.stream.peek(&mut [0])?),
                done => return done,
            }
        }
    }
}

impl Write for Conn {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let (mut since, mut wait) = (None, FULL_WAIT.0);
        loop {
            match self.stream.inner().write(buf) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                done => return done,
            }
            if since.get_or_insert_with(Instant::now).elapsed() >= self.write_patience {
                return Err(ErrorKind::TimedOut.into());
            }
            crate::net::spawn::sleep(wait);
            wait = (wait * 2).min(FULL_WAIT.1);
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
