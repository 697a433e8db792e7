//! Fronts that callers connect to: listeners, and the place of each connection among all.
//!
//! A connection counts as accepted once the system has completed its handshake, before this process takes it out of
//! the listener's backlog. So a listener stops in an order that loses none: the handshakes end, what is in the backlog
//! is taken in, and only then the listener is closed.

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

/// Bytes of answers that the system may hold for a caller that does not read: some whole answers, and no more
/// memory than that for each of many such callers.
const SEND_BUFFER: usize = 16 << 10;
/// Wait after a failed accept, so that a full table of descriptors is no busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time between two looks whether a connection that was accepted has found room.
const ROOM_LOOK: Duration = Duration::from_millis(2);
/// Handshakes that were under way when new ones were shut out end within this time: some
/// round trips of a site.
const HANDSHAKE_TIME: Duration = Duration::from_millis(5);
/// Time between two looks at the backlog meanwhile, and after the first attempt to wake the accepting coroutine, doubled
/// up to the second after each further one.
const STOP_LOOK: Duration = Duration::from_millis(1);
const MOST_STOP_LOOK: Duration = Duration::from_millis(50);

/// What the reducer's side keeps of a caller's connection.
pub(super) struct ConnectionHandle {
    pub(super) answer: co::Sender<Arc<Answer>>,
    pub(super) stream: Conn,
}

impl ConnectionHandle {
    /// Has the connection closed by its owner, to make room. Its reader wakes and finds nothing more than what the
    /// system has received; the write side stays open for an answer.
    pub(super) fn evict(&self) {
        self.stream.shutdown(Shutdown::Read);
    }
}

/// A connection's place among all; it is given up however the connection's coroutine ends.
pub(super) struct ConnectionSlot {
    pub(super) conn: ConnId,
    pub(super) answers: co::Receiver<Arc<Answer>>,
    pub(super) accepted: Instant,
    pub(super) hub: Arc<Hub>,
}

impl ConnectionSlot {
    pub(super) fn serve(&self, stream: impl frontend::Stream, wire: impl frontend::Wire) {
        frontend::serve(stream, wire, self);
    }

    /// A whole request was read: from now on the connection is owed an answer.
    pub(super) fn request_read(&self) -> AfterAnswer {
        self.hub.connections().request_read(self.conn)
    }

    /// A part of a request was read.
    pub(super) fn part_read(&self) {
        self.hub.connections().part_read(self.conn);
    }

    /// The request was answered.
    pub(super) fn answered(&self) {
        self.hub.connections().answered(self.conn, Instant::now());
    }

    /// It is to make room for another one.
    pub(super) fn is_evicted(&self) -> bool {
        self.hub.connections().is_closing(self.conn)
    }

    /// No more requests are read here.
    pub(super) fn begin_closing(&self) {
        self.hub.connections().begin_closing(self.conn);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.hub.connections().remove(self.conn);
    }
}

/// How far a front has got in its stop.
#[derive(Debug, Default)]
struct StopState {
    is_asked: AtomicBool,
    /// Another process listens at the same address, and goes on to.
    has_successor: AtomicBool,
    has_begun: AtomicBool,
    is_closed: AtomicBool,
}

/// A front that takes connections until it is stopped.
#[derive(Clone)]
pub(super) struct Front {
    pub(super) address: SocketAddr,
    /// Owned by the coroutine that accepts, which closes it.
    listener: Weak<TcpListener>,
    state: Arc<StopState>,
}

impl Front {
    /// Begins to stop: connections that the system has accepted are taken in, and later ones are refused, or go to the
    /// process that took over.
    pub(super) fn stop(&self, has_successor: bool) {
        if self.is_stopping() {
            return;
        }
        if let Some(listener) = self.listener.upgrade().filter(|_| has_successor) {
            // The process before may have had all new connections sent to another listener than this one.
            if let Err(e) = handshake_filter::direct_to_any(listener.inner()) {
                debug!("new connections cannot be shared with the process that took over: {e}");
            }
        }
        self.state.has_successor.store(has_successor, Ordering::Release);
        self.state.is_asked.store(true, Ordering::Release);
        let front = self.clone();
        // A connection to itself wakes the coroutine that waits for one. Where another process shares the address it
        // may get this one instead, to which it is a caller that says nothing.
        spawn(move || {
            // It may be a while until that coroutine looks, where a connection waits for room.
            let mut wait = STOP_LOOK;
            while !front.state.has_begun.load(Ordering::Acquire) {
                drop(TcpStream::connect_timeout(&front.address, ACCEPT_PAUSE));
                crate::net::spawn::sleep(wait);
                wait = (wait * 2).min(MOST_STOP_LOOK);
            }
        });
    }

    /// It was asked to stop; only the reducer's thread asks.
    fn is_stopping(&self) -> bool {
        self.state.is_asked.load(Ordering::Acquire)
    }

    /// The listener is closed, and all that the system had accepted is taken in.
    pub(super) fn is_closed(&self) -> bool {
        self.state.is_closed.load(Ordering::Acquire)
    }
}

/// Takes connections on a front until it is stopped.
fn accept(
    listener: Arc<TcpListener>,
    hub: &Arc<Hub>,
    state: &StopState,
    serve: impl Fn(Conn, ConnectionSlot),
) {
    // Also after an accept that failed: where all of them fail, the listener stops none the less.
    while !state.is_asked.load(Ordering::Acquire) {
        if let Some(stream) = accept_once(&listener) {
            take_in(stream, hub, &serve);
        }
    }
    state.has_begun.store(true, Ordering::Release);
    // Where this is not to be had, a handshake that ends between the last look and the close is reset.
    let kept_away = match state.has_successor.load(Ordering::Acquire) {
        true => handshake_filter::direct_to_successor(listener.inner()),
        false => handshake_filter::drop_new_handshakes(listener.inner()),
    };
    if let Err(e) = &kept_away {
        debug!("new connections cannot be kept away before the close: {e}");
    }
    let until = Instant::now() + HANDSHAKE_TIME;
    loop {
        while has_backlog(&listener) {
            // Where accepting fails, the next look tells whether anybody is still there to be waited for.
            if let Some(stream) = accept_once(&listener) {
                take_in(stream, hub, &serve);
            }
        }
        if kept_away.is_err() || Instant::now() >= until {
            break;
        }
        crate::net::spawn::sleep(STOP_LOOK);
    }
    drop(listener);
    state.is_closed.store(true, Ordering::Release);
}

/// A connection is in the backlog, so that accepting does not wait.
fn has_backlog(listener: &TcpListener) -> bool {
    let mut looks = [PollFd::new(listener.inner().as_fd(), PollFlags::POLLIN)];
    loop {
        match poll(&mut looks, PollTimeout::ZERO) {
            Err(Errno::EINTR) => {}
            Err(_) => return false,
            Ok(ready) => return ready > 0,
        }
    }
}

/// Has a connection served, as soon as there is room for it: it waits unread rather than being closed unread.
fn take_in(stream: TcpStream, hub: &Arc<Hub>, serve: impl Fn(Conn, ConnectionSlot)) {
    let _ = SockRef::from(stream.inner()).set_send_buffer_size(SEND_BUFFER);
    let stream = Conn::new(stream, frontend::WRITE_PATIENCE);
    loop {
        if let Some(slot) = hub.admit(&stream) {
            return serve(stream, slot);
        }
        crate::net::spawn::sleep(ROOM_LOOK);
    }
}

/// The next connection.
pub(super) fn next(listener: &TcpListener) -> TcpStream {
    loop {
        if let Some(stream) = accept_once(listener) {
            return stream;
        }
    }
}

/// The next connection; none where the system fails to give it, after a pause.
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

/// Binds a front and starts to take connections there; `shared` with the process that runs already.
pub(super) fn listen(
    address: SocketAddr,
    hub: &Arc<Hub>,
    shared: bool,
    serve: impl Fn(Conn, ConnectionSlot) + Send + 'static,
) -> io::Result<Front> {
    // May's listener shares its port with any other that does the same: a second server started by mistake would
    // take half of the first one's callers. A plain listener fails where somebody listens.
    if !shared {
        drop(socket_retry::open(|| std::net::TcpListener::bind(address))?);
    }
    let listener = Arc::new(socket_retry::open(|| TcpListener::bind(address))?);
    let (address, weak) = (listener.local_addr()?, Arc::downgrade(&listener));
    let front = Front { address, listener: weak, state: Arc::default() };
    let (hub, state) = (hub.clone(), front.state.clone());
    spawn(move || accept(listener, &hub, &state, serve));
    Ok(front)
}
