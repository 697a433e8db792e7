//! Reports to the control plane: one datagram each, without an answer.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use may::net::UdpSocket;
use tracing::warn;

use super::spawn;

/// Time between two reports: an entry lapses after three seconds, and a datagram may be lost.
const EVERY: Duration = Duration::from_millis(700);

/// Reports for as long as the process lives.
pub fn start(control: SocketAddr, from: IpAddr, name: String, ready: Arc<AtomicBool>) {
    spawn(move || {
        let socket = match UdpSocket::bind((from, 0)) {
            Ok(socket) => socket,
            Err(e) => return warn!("no reports to the control plane: {e}"),
        };
        loop {
            let report = encode(&name, ready.load(Ordering::Relaxed));
            if let Err(e) = socket.send_to(report.as_bytes(), control) {
                // A control plane that is down refuses; the next report may reach it.
                tracing::debug!("a report to the control plane failed: {e}");
            }
            may::coroutine::sleep(EVERY);
        }
    });
}

/// A report.
pub fn encode(name: &str, ready: bool) -> String {
    format!("lease {name} {}", if ready { "Ready" } else { "NotReady" })
}
