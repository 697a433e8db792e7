//! Opens sockets during startup, when the system may temporarily lack descriptors, memory or network routes.

use std::io;
use std::time::{Duration, Instant};

use nix::errno::Errno;
use tracing::warn;

/// How long opening a socket is retried, and the delay between two attempts.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens a socket, and retries transient failures. Other failures, such as an address that is in use or a refused
/// connection, are returned immediately.
///
/// # Errors
/// The system's last error.
pub fn open<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let since = Instant::now();
    loop {
        match open() {
            Err(e) if is_transient(&e) && since.elapsed() < RETRY_TIMEOUT => {
                warn!("a socket cannot be opened yet: {e}");
                std::thread::sleep(RETRY_DELAY);
            }
            result => return result,
        }
    }
}

fn is_transient(e: &io::Error) -> bool {
    let transient = [
        Errno::ENFILE,
        Errno::EMFILE,
        Errno::ENOBUFS,
        Errno::ENOMEM,
        Errno::EINTR,
        Errno::EAGAIN,
        Errno::ECONNABORTED,
        Errno::ENETUNREACH,
    ];
    e.raw_os_error().is_some_and(|code| transient.contains(&Errno::from_raw(code)))
}
