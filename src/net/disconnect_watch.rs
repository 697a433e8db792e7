//! Watches the connections of clients that wait for an answer, and reports those that the client has reset: a request
//! that is still held needs no run then.
//!
//! The coroutine that owns a connection waits for the answer meanwhile, and does not read.

use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::Duration;

use nix::errno::Errno;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};

use super::stream::Conn;
use super::{spawn, Hub};
use crate::core::{ConnId, Input};

/// Interval between two looks at the connections.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// The events by which a broken connection is told. They are reported without being asked for.
const BROKEN: PollFlags = PollFlags::POLLERR.union(PollFlags::POLLHUP);

/// The connections that are broken: the peer has reset them. Bytes that arrived before can still be read. This does not
/// wait.
pub(super) fn find_broken<'a>(connections: impl IntoIterator<Item = &'a Conn>) -> Vec<bool> {
    let connections = connections.into_iter();
    let mut poll_fds: Vec<_> =
        connections.map(|conn| PollFd::new(conn.socket().as_fd(), PollFlags::empty())).collect();
    while poll(&mut poll_fds, PollTimeout::ZERO) == Err(Errno::EINTR) {}
    let is_broken = |fd: &PollFd| fd.revents().is_some_and(|events| events.intersects(BROKEN));
    poll_fds.iter().map(is_broken).collect()
}

/// Starts to watch, as long as the process runs.
pub(super) fn start(hub: &Arc<Hub>) {
    let hub = hub.clone();
    super::spawn(move || loop {
        spawn::sleep(WATCH_INTERVAL);
        hub.stalls.heartbeat(hub.clock.now());
        report_broken(&hub);
    });
}

/// Reports each broken connection that waits for an answer.
fn report_broken(hub: &Hub) {
    let waiting: Vec<(ConnId, Conn)> =
        hub.connections().awaiting_answer().map(|(conn, handle)| (conn, handle.stream.clone())).collect();
    let broken = find_broken(waiting.iter().map(|(_, stream)| stream));
    for ((conn, _), _) in waiting.into_iter().zip(broken).filter(|(_, is_broken)| *is_broken) {
        hub.push(Input::ClientGone { conn });
    }
}
