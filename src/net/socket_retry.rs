//! Sockets at a start, where the system may lack descriptors, memory or ways for a moment.

use std::io;
use std::time::{Duration, Instant};

use nix::errno::Errno;
use tracing::warn;

/// Sockets that the system does not give are asked for again for this long, and so often.
const PATIENCE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(20);

/// Opens a socket. What will not mend itself, as an address in use or nobody who listens, is told at once.
///
/// # Errors
/// What the system says, at last.
pub fn open<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let since = Instant::now();
    loop {
        match open() {
            Err(e) if is_for_a_moment(&e) && since.elapsed() < PATIENCE => {
                warn!("a socket cannot be opened yet: {e}");
                std::thread::sleep(PAUSE);
            }
            done => return done,
        }
    }
}

fn is_for_a_moment(e: &io::Error) -> bool {
    let lacking = [
        Errno::ENFILE,
        Errno::EMFILE,
        Errno::ENOBUFS,
        Errno::ENOMEM,
        Errno::EINTR,
        Errno::EAGAIN,
        Errno::ECONNABORTED,
        Errno::ENETUNREACH,
    ];
    e.raw_os_error().is_some_and(|code| lacking.contains(&Errno::from_raw(code)))
}
