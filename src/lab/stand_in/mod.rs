//! Stand-ins for what a matcher talks to, speaking the platform's protocol: the agent that runs the work, the
//! vault that answers calls below, and the control plane that takes reports. The program's tests use them too. Input that a
//! fault spoilt ends a link; it never ends the stand-in.

mod agent;
pub mod asks;
mod body;
mod control;
mod deadlines;
mod deliveries;
pub mod faulty_vault;
mod lifetimes;
mod results;
mod vault;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::ports::ReservedPort;

pub use agent::Agent;
pub use control::Control;
pub use deadlines::{Deadlines, MOST_DEADLINES};
pub use lifetimes::Lifetimes;
pub use results::Results;
pub use vault::{broken_vault, spoiling_vault, vault};

/// How long [`wait_for`] waits.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Waits for a condition; fails the test with `what` if it does not come.
pub fn wait_for(what: &str, there: impl FnMut() -> bool) {
    assert!(wait_until(PATIENCE, there), "{what} did not come");
}

/// Waits for a condition at most `most`; says whether it came.
pub fn wait_until(most: Duration, mut there: impl FnMut() -> bool) -> bool {
    let since = Instant::now();
    while !there() {
        if since.elapsed() >= most {
            return false;
        }
        thread::sleep(Duration::from_millis(2));
    }
    true
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// An address where nobody listens, and nobody but who is told of it will.
pub fn gone() -> SocketAddr {
    let port = ReservedPort::any().expect("a port");
    let address = port.address();
    // Reserved for as long as this process lives: the system would give it to another listener.
    std::mem::forget(port);
    address
}
