//! The listeners of the frontends, and the slot of each client connection in the connection table.
//!
//! To a client, a connection is open once the operating system has completed its handshake, before this process takes
//! it out of the listener's backlog. A listener therefore stops in an order that loses no connection: new handshakes
//! are kept away and those under way end, the connections in the backlog are accepted, and only then the listener is
//! closed.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use may::net::{TcpListener, TcpStream};
use may::sync::mpsc as co;
use nix::errno::Errno;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use socket2::SockRef;
use tracing::{debug, warn};

use super::connection_table::AfterAnswer;
use super::hub::Hub;
use super::stream::Conn;
use super::{frontend, handshake_filter, socket_retry, spawn};
use crate::core::{Answer, ConnId};

/// The size of a connection's send buffer, which bounds the memory that a client that does not read takes up. Several
/// whole answers fit into it.
const SEND_BUFFER: usize = 16 << 10;
/// The wait after a failed accept, so that running out of descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often an accepted connection without a slot tries to get one.
const ADMIT_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// Handshakes that were under way when new ones were kept away end within this time, which is several round trips
/// within a site.
const HANDSHAKE_GRACE: Duration = Duration::from_millis(5);
/// How often the backlog is polled in the meantime, and the first wait between attempts to wake the accepting
/// coroutine; that wait doubles up to the maximum.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);
const MAX_STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What the connection table keeps of a client connection: the channel for its answers, and the connection itself.
pub(super) struct ConnectionHandle {
    pub(super) answer: co::Sender<Arc<Answer>>,
    pub(super) stream: Conn,
}

impl ConnectionHandle {
    /// Has the connection closed by its owner, to make room. Its reader wakes up and reads only what the operating
    /// system has received so far; the write side stays open for an answer.
    pub(super) fn evict(&self) {
        self.stream.shutdown(Shutdown::Read);
    }
}

/// A client connection's slot in the connection table. It is freed on drop, however the connection's coroutine ends.
pub(super) struct ConnectionSlot {
    pub(super) conn: ConnId,
    pub(super) answers: co::Receiver<Arc<Answer>>,
    pub(super) accepted: Instant,
    pub(super) hub: Arc<Hub>,
}

impl ConnectionSlot {
    pub(super) fn serve(&self, stream: impl frontend::ClientStream, wire: impl frontend::Wire) {
        frontend::serve(stream, wire, self);
    }

    /// Records that a whole request was read: from now on the connection is owed an answer.
    pub(super) fn request_read(&self) -> AfterAnswer {
        self.hub.connections().request_read(self.conn)
    }

    /// Records that a part of a request was read.
    pub(super) fn part_read(&self) {
        self.hub.connections().part_read(self.conn);
    }

    /// Records that the request was answered.
    pub(super) fn answered(&self) {
        self.hub.connections().answered(self.conn, Instant::now());
    }

    /// The connection was evicted to make room for another one.
    pub(super) fn is_evicted(&self) -> bool {
        self.hub.connections().is_closing(self.conn)
    }

    /// Records that no more requests are read from the connection.
    pub(super) fn begin_closing(&self) {
        self.hub.connections().begin_closing(self.conn);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.hub.connections().remove(self.conn);
    }
}

/// The progress of a frontend's stop.
#[derive(Debug, Default)]
struct StopState {
    stop_requested: AtomicBool,
    /// A successor listens at the same address, and continues to.
    has_successor: AtomicBool,
    stop_begun: AtomicBool,
    is_closed: AtomicBool,
}

/// A frontend that accepts connections until it is stopped.
#[derive(Clone)]
pub(super) struct Frontend {
    pub(super) address: SocketAddr,
    /// The listener, which is owned and closed by the coroutine that accepts connections.
    listener: Weak<TcpListener>,
    state: Arc<StopState>,
}

impl Frontend {
    /// Begins to stop: connections that the operating system has accepted are served, and later ones are refused or go
    /// to the successor.
    pub(super) fn stop(&self, has_successor: bool) {
        if self.is_stopping() {
            return;
        }
        if let Some(listener) = self.listener.upgrade().filter(|_| has_successor) {
            // The predecessor may have directed all new connections to one listener.
            if let Err(e) = handshake_filter::direct_to_any(listener.inner()) {
                debug!("cannot share new connections with the successor: {e}");
            }
        }
        self.state.has_successor.store(has_successor, Ordering::Release);
        self.state.stop_requested.store(true, Ordering::Release);
        let frontend = self.clone();
        // A connection to its own address wakes the coroutine that waits in accept. Where another process shares the
        // address, that process may get the connection instead, and sees a client that sends nothing.
        spawn(move || {
            // The coroutine may notice the stop late, where an accepted connection waits for a slot.
            let mut wait = STOP_POLL_INTERVAL;
            while !frontend.state.stop_begun.load(Ordering::Acquire) {
                drop(TcpStream::connect_timeout(&frontend.address, ACCEPT_PAUSE));
                crate::net::spawn::sleep(wait);
                wait = (wait * 2).min(MAX_STOP_POLL_INTERVAL);
            }
        });
    }

    /// The stop has been requested; only the reducer's thread requests it.
    fn is_stopping(&self) -> bool {
        self.state.stop_requested.load(Ordering::Acquire)
    }

    /// The listener is closed, and all connections that the operating system had accepted are being served.
    pub(super) fn is_closed(&self) -> bool {
        self.state.is_closed.load(Ordering::Acquire)
    }
}

/// Accepts connections on a frontend until it is stopped, and closes the listener.
fn run_accept_loop(
    listener: Arc<TcpListener>,
    hub: &Arc<Hub>,
    state: &StopState,
    serve: impl Fn(Conn, ConnectionSlot),
) {
    // The stop is checked after failed accepts as well, so that the listener stops even where all of them fail.
    while !state.stop_requested.load(Ordering::Acquire) {
        if let Some(stream) = accept_once(&listener) {
            admit_and_serve(stream, hub, &serve);
        }
    }
    state.stop_begun.store(true, Ordering::Release);
    // Without these filters, a connection whose handshake ends between the last poll and the close is reset.
    let filtered = match state.has_successor.load(Ordering::Acquire) {
        true => handshake_filter::direct_to_successor(listener.inner()),
        false => handshake_filter::drop_new_handshakes(listener.inner()),
    };
    if let Err(e) = &filtered {
        debug!("cannot keep new connections away from the closing listener: {e}");
    }
    let deadline = Instant::now() + HANDSHAKE_GRACE;
    loop {
        while has_backlog(&listener) {
            // Where an accept fails, the next poll shows whether a connection is still in the backlog.
            if let Some(stream) = accept_once(&listener) {
                admit_and_serve(stream, hub, &serve);
            }
        }
        if filtered.is_err() || Instant::now() >= deadline {
            break;
        }
        crate::net::spawn::sleep(STOP_POLL_INTERVAL);
    }
    drop(listener);
    state.is_closed.store(true, Ordering::Release);
}

/// A connection is in the backlog, so that accept does not wait.
fn has_backlog(listener: &TcpListener) -> bool {
    let mut poll_fds = [PollFd::new(listener.inner().as_fd(), PollFlags::POLLIN)];
    loop {
        match poll(&mut poll_fds, PollTimeout::ZERO) {
            Err(Errno::EINTR) => {}
            Err(_) => return false,
            Ok(ready) => return ready > 0,
        }
    }
}

/// Has a connection served as soon as there is a slot for it. Until then it waits unread, instead of being closed
/// unread.
fn admit_and_serve(stream: TcpStream, hub: &Arc<Hub>, serve: impl Fn(Conn, ConnectionSlot)) {
    let _ = SockRef::from(stream.inner()).set_send_buffer_size(SEND_BUFFER);
    let stream = Conn::new(stream, frontend::WRITE_TIMEOUT);
    loop {
        if let Some(slot) = hub.admit(&stream) {
            return serve(stream, slot);
        }
        crate::net::spawn::sleep(ADMIT_RETRY_INTERVAL);
    }
}

/// Accepts the next connection.
pub(super) fn accept_next(listener: &TcpListener) -> TcpStream {
    loop {
        if let Some(stream) = accept_once(listener) {
            return stream;
        }
    }
}

/// Accepts the next connection. Where that fails, waits for [`ACCEPT_PAUSE`] and returns `None`.
fn accept_once(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept() {
        Ok((stream, _)) => Some(stream),
        Err(e) => {
            warn!("accept: {e}");
            crate::net::spawn::sleep(ACCEPT_PAUSE);
            None
        }
    }
}

/// Binds a frontend's address and starts to accept connections; `shared`: whether the predecessor listens there too.
pub(super) fn listen(
    address: SocketAddr,
    hub: &Arc<Hub>,
    shared: bool,
    serve: impl Fn(Conn, ConnectionSlot) + Send + 'static,
) -> io::Result<Frontend> {
    // The listener of `may` shares its port with any other listener that does the same, so that a second server started
    // by mistake would take half of the first one's clients. Binding a listener of `std` fails where a process listens.
    if !shared {
        drop(socket_retry::open(|| std::net::TcpListener::bind(address))?);
    }
    let listener = Arc::new(socket_retry::open(|| TcpListener::bind(address))?);
    let (address, weak) = (listener.local_addr()?, Arc::downgrade(&listener));
    let frontend = Frontend { address, listener: weak, state: Arc::default() };
    let (hub, state) = (hub.clone(), frontend.state.clone());
    spawn(move || run_accept_loop(listener, &hub, &state, serve));
    Ok(frontend)
}
