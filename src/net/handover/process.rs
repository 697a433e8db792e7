//! What the system tells about the peer process.

use std::os::unix::net::UnixStream;

use nix::errno::Errno;
use nix::sys::signal::kill;
use nix::sys::socket::getsockopt;
use nix::sys::socket::sockopt::PeerCredentials;
use nix::unistd::Pid;

/// The id of the process at the other end, if the system reports one.
pub(super) fn peer_pid(stream: &UnixStream) -> Option<i32> {
    getsockopt(stream, PeerCredentials).ok().map(|credentials| credentials.pid()).filter(|pid| *pid > 0)
}

/// Whether a process has not ended. A zombie has ended. A process whose state cannot be read, for example because no
/// descriptor is free, counts as alive: it is checked again later.
pub(super) fn is_alive(pid: i32) -> bool {
    if kill(Pid::from_raw(pid), None) == Err(Errno::ESRCH) {
        return false;
    }
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"));
    let state = stat.as_ref().ok().and_then(|stat| stat.rsplit_once(") ")).map(|(_, state)| state);
    !state.is_some_and(|state| state.starts_with(['Z', 'X']))
}

/// How many descriptors a process holds. `None` if that cannot be told, as where it has exited.
pub(super) fn count_descriptors(pid: i32) -> Option<usize> {
    Some(std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}
