//! The handover link between the running process of a matcher (the predecessor) and a new process that takes over from
//! it (the successor): text lines on a Unix socket.
//!
//! Over this link the predecessor passes its keys, and forwards the requests that still reach it; the successor returns
//! their answers. The predecessor calls `listen_for_successor`, the successor `connect_to_predecessor`; both get a
//! `PeerProcess` to send [`HandoverMessage`]s to. What arrives is parsed as a [`ReceivedMessage`] and passed to the
//! reducer.
//!
//! The link exists for seconds, and a peer process that reads nothing must not block the reducer. So the link has
//! threads of its own and a bounded queue. When the queue is full the link is closed, which both processes handle.

mod process;
mod wire;

use std::collections::HashMap;
use std::io::{self, BufWriter, Write};
use std::net::Shutdown;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixDatagram, UnixListener, UnixStream};
use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use miette::Diagnostic;
use nix::errno::Errno;
use tracing::{info, warn};

use process::{is_alive, peer_pid};
pub use wire::{parse, with_source, HandoverMessage, ReceivedMessage};

use super::frontend::read_some;
use super::lines::{LineDecoder, LineEnd};
use super::{socket_retry, Hub};
use crate::core::{Answer, ConnId, Input, KeyState, Peer, Succession};

/// How many messages to the peer process may be queued.
const QUEUE_CAPACITY: usize = 4096;
/// A peer process that reads nothing for this long counts as hanging.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest line: a key, and in base64 a result as long as the longest line that an agent or a service may send.
const MAX_LINE: usize = 96 << 10;
/// A process that exits closes its links shortly before it is gone: if it still runs after this time, the link broke.
const EXIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which the peer process is checked for its exit.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the descriptors of a running predecessor are counted.
const DESCRIPTOR_COUNT_INTERVAL: Duration = Duration::from_millis(50);
/// Stack size of the link's threads: their buffers are on the heap.
const STACK_SIZE: usize = 128 << 10;

/// The peer process of a handover: the predecessor or the successor. Without a link to it, messages to it are dropped.
#[derive(Clone, Default)]
pub(super) struct PeerProcess(Arc<Mutex<Option<Link>>>);

struct Link {
    messages: SyncSender<HandoverMessage>,
    stream: UnixStream,
    writer: Option<JoinHandle<()>>,
    /// The requests that were forwarded to this process: their connections here, and those in the peer process.
    forwarded: HashMap<ConnId, ConnId>,
}

impl PeerProcess {
    fn lock(&self) -> MutexGuard<'_, Option<Link>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a message without waiting; returns false if there is no link. Closes the link if the queue is full.
    pub(super) fn send(&self, message: HandoverMessage) -> bool {
        let link = self.lock();
        let Some(link) = &*link else { return false };
        let is_queued = link.messages.try_send(message).is_ok();
        if !is_queued {
            let _ = link.stream.shutdown(Shutdown::Both);
        }
        is_queued
    }

    /// Answers a request that was forwarded to this process. Returns false if `conn` does not belong to such a request.
    pub(super) fn answer(&self, conn: ConnId, answer: &Arc<Answer>) -> bool {
        let peer_conn = self.lock().as_mut().and_then(|link| link.forwarded.remove(&conn));
        peer_conn
            .into_iter()
            .for_each(|peer_conn| _ = self.send(HandoverMessage::Answer(peer_conn, answer.clone())));
        peer_conn.is_some()
    }

    /// Waits until all queued messages are written. No message can be sent afterwards.
    pub(super) fn flush(&self) {
        let writer = self.lock().take().and_then(|link| {
            drop(link.messages);
            link.writer
        });
        writer.map(JoinHandle::join);
    }

    /// Makes `stream` the link to the peer process, and starts the thread that writes to it.
    fn open(&self, stream: UnixStream) -> io::Result<()> {
        let (messages, queue) = sync_channel(QUEUE_CAPACITY);
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let writes = stream.try_clone()?;
        let writer =
            thread::Builder::new().stack_size(STACK_SIZE).spawn(move || write_messages(&writes, &queue))?;
        *self.lock() = Some(Link { messages, stream, writer: Some(writer), forwarded: HashMap::new() });
        Ok(())
    }

    /// Passes messages of the peer process to the reducer until the link ends, then closes it.
    fn read_messages(&self, stream: UnixStream, peer: Peer, hub: &Hub) {
        let mut has_all_keys = false;
        let mut lines = LineDecoder::new(MAX_LINE, LineEnd::LineFeed);
        loop {
            let line = match lines.next_line() {
                Ok(Some(line)) => line,
                Ok(None) => match read_some(&mut (&stream), lines.buffer_mut()) {
                    Ok(read) if read > 0 => continue,
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                    _ => break,
                },
                Err(error) => {
                    warn_unreadable(&error);
                    break;
                }
            };
            match parse(&line) {
                Ok(ReceivedMessage::Succession(event)) => {
                    let event = with_source(event, peer, has_all_keys);
                    has_all_keys |= matches!(event, Succession::KeysComplete { .. });
                    tell_fleet_of_standby(&event, hub);
                    hub.push(Input::Succession(to_own_clock(event, hub)));
                }
                Ok(ReceivedMessage::Request(mut request)) => {
                    let conn = hub.new_conn();
                    let peer_conn = std::mem::replace(&mut request.conn, conn);
                    request.start = hub.clock.resolve_past(request.start);
                    if let Some(link) = self.lock().as_mut() {
                        link.forwarded.insert(conn, peer_conn);
                    }
                    hub.push(Input::Request(request));
                }
                Err(error) => {
                    warn_unreadable(&error);
                    break;
                }
            }
        }
        if let Some(link) = self.lock().take() {
            let _ = link.stream.shutdown(Shutdown::Both);
        }
    }
}

/// If operators put the predecessor on standby, this process is on standby too. The fleet has to learn that for the new
/// incarnation.
fn tell_fleet_of_standby(event: &Succession, hub: &Hub) {
    let Some(fleet) = &hub.fleet else { return };
    match event {
        Succession::KeysComplete { standby: true } => fleet.draining(true),
        Succession::StandbyChanged { by: Peer::Predecessor, standby } => fleet.draining(*standby),
        _ => {}
    }
}

/// Converts the times in an event of the peer process from the wall clock to this process's clock.
fn to_own_clock(event: Succession, hub: &Hub) -> Succession {
    match event {
        Succession::Key(key) => {
            Succession::Key(KeyState { until: hub.clock.resolve_future(key.until), ..key })
        }
        event => event,
    }
}

/// Logs why a line cannot be read, and what an operator can do.
fn warn_unreadable(error: &dyn Diagnostic) {
    warn!("unreadable line from the peer process: closing the handover link: {error}");
    if let Some(help) = error.help() {
        warn!("unreadable line from the peer process: {help}");
    }
}

/// Writes queued messages until the queue is closed or a write fails.
fn write_messages(stream: &UnixStream, queue: &Receiver<HandoverMessage>) {
    let mut writes = BufWriter::new(stream);
    while let Ok(message) = queue.recv() {
        let written = message.into_lines().try_for_each(|line| writes.write_all(line.as_bytes()));
        if written.and_then(|()| writes.flush()).is_err() {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Called when the link has ended: waits until the peer process has exited, then reports `exited` to the reducer. If
/// the link broke while both processes live, as it can when one of them was stopped for long, `disconnected` is
/// reported first: two processes must not decide at the same time.
fn wait_for_exit(peer: Option<i32>, hub: &Hub, disconnected: Succession, exited: Succession) {
    let since = Instant::now();
    let mut disconnected = Some(disconnected);
    while peer.is_some_and(is_alive) {
        if since.elapsed() > EXIT_TIMEOUT {
            if let Some(disconnected) = disconnected.take() {
                warn!("the handover link broke, but the peer process is still alive");
                hub.push(Input::Succession(disconnected));
            }
        }
        thread::sleep(EXIT_CHECK_INTERVAL);
    }
    hub.push(Input::Succession(exited));
}

/// Counts the descriptors of the predecessor until it has exited: it may still need more than its half of them, for
/// connections that are owed an answer. The first count is made at once.
fn watch_descriptors(pid: i32, hub: &Arc<Hub>) {
    hub.set_peer_descriptors(process::count_descriptors(pid));
    let watching = hub.clone();
    let watch = move || {
        while is_alive(pid) {
            thread::sleep(DESCRIPTOR_COUNT_INTERVAL);
            watching.set_peer_descriptors(process::count_descriptors(pid));
        }
        watching.set_peer_descriptors(None);
    };
    if let Err(e) = thread::Builder::new().stack_size(STACK_SIZE).spawn(watch) {
        warn!("cannot watch the descriptors of the running process: {e}");
        hub.set_peer_descriptors(None);
    }
}

/// Maps "address not available" to an error that is retried: a Unix socket needs no such address, so the system's
/// report is temporary.
fn as_transient(e: io::Error) -> io::Error {
    match e.kind() {
        io::ErrorKind::AddrNotAvailable => Errno::ENOBUFS.into(),
        _ => e,
    }
}

/// Connects to the predecessor, the process that serves already. Returns `None` if there is none.
pub(super) fn connect_to_predecessor(path: &Path, hub: &Arc<Hub>) -> Option<PeerProcess> {
    // Transient failures are retried: a predecessor that runs but was not found would keep this process from starting.
    let connected = socket_retry::open(|| UnixStream::connect(path).map_err(as_transient));
    let stream = connected.ok()?;
    let predecessor = PeerProcess::default();
    let started = stream.try_clone().and_then(|reads| {
        predecessor.open(stream)?;
        let (predecessor, hub) = (predecessor.clone(), hub.clone());
        let read = move || {
            // This must precede any report that the predecessor has ended. Otherwise this process would believe for
            // good that the predecessor is running.
            hub.push(Input::Succession(Succession::PredecessorRunning));
            let pid = peer_pid(&reads);
            pid.into_iter().for_each(|pid| watch_descriptors(pid, &hub));
            predecessor.read_messages(reads, Peer::Predecessor, &hub);
            wait_for_exit(pid, &hub, Succession::PredecessorDisconnected, Succession::PredecessorExited);
        };
        thread::Builder::new().stack_size(STACK_SIZE).spawn(read)
    });
    started.map_err(|e| warn!("cannot open the handover link to the running process: {e}")).ok()?;
    info!("taking over from the running process");
    Some(predecessor)
}

/// Binds the handover socket in place of one that another process left behind.
fn bind(path: &Path) -> io::Result<UnixListener> {
    let _ = std::fs::remove_file(path);
    let listener = socket_retry::open(|| UnixListener::bind(path))?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    Ok(listener)
}

/// Whether no process listens at this path. The check does not disturb a listener: it connects a socket of another
/// type, which the system refuses, with another error than if nobody listens.
fn is_stale(path: &Path) -> bool {
    let connected = UnixDatagram::unbound().and_then(|socket| socket.connect(path));
    connected.is_err_and(|e| matches!(e.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::NotFound))
}

/// Waits for successors. A socket that another process left behind is replaced.
pub(super) fn listen_for_successor(path: &Path, hub: &Arc<Hub>) -> io::Result<PeerProcess> {
    let mut listener = bind(path)?;
    let (peer, hub, path) = (PeerProcess::default(), hub.clone(), path.to_path_buf());
    let successor = peer.clone();
    thread::Builder::new().stack_size(STACK_SIZE).spawn(move || {
        // One successor at a time: a second one is served after the first has exited.
        loop {
            let Ok((stream, _)) = listener.accept() else {
                // Without a free descriptor, accepting fails immediately: the pause avoids a busy loop.
                thread::sleep(EXIT_CHECK_INTERVAL);
                continue;
            };
            match stream.try_clone().and_then(|reads| peer.open(stream).map(|()| reads)) {
                Ok(reads) => {
                    let pid = peer_pid(&reads);
                    peer.read_messages(reads, Peer::Successor, &hub);
                    wait_for_exit(pid, &hub, Succession::SuccessorDisconnected, Succession::SuccessorExited);
                    // Until the reducer has processed the exit, it may still send messages that are meant for the
                    // exited successor. They must not reach the next one.
                    hub.wait_for_reducer();
                }
                Err(e) => warn!("cannot open the handover link to the new process: {e}"),
            }
            // The exited successor may have bound its own socket at this path. Then no other process would find this
            // one.
            if is_stale(&path) {
                match bind(&path) {
                    Ok(rebound) => listener = rebound,
                    Err(e) => warn!("no process can take over from this one: {}: {e}", path.display()),
                }
            }
        }
    })?;
    Ok(successor)
}

#[cfg(test)]
mod tests;
