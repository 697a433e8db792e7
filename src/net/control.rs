//! Reports to the control plane: one datagram each, without an answer.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use may::net::UdpSocket;
use tracing::{debug, warn};

use super::{spawn, Hub};

/// Time between two reports. An entry lapses three seconds after the last one that arrives, and a quarter of
/// them may be lost: at 700 ms four losses in a row are enough, and did come on every day.
const EVERY: Duration = Duration::from_millis(200);

/// Reports for as long as the process lives.
pub(super) fn start(hub: &Arc<Hub>, from: IpAddr, name: String, ready: Arc<AtomicBool>) {
    let hub = hub.clone();
    spawn(move || {
        let mut reporter = Reporter::new(move || bind(from));
        while let Some(control) = hub.links().control {
            reporter.report(&encode(&name, ready.load(Ordering::Relaxed)), control);
            crate::net::spawn::sleep(EVERY);
        }
    });
}

/// A socket that gives up what it cannot send before the next report is due.
fn bind(from: IpAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((from, 0))?;
    socket.set_write_timeout(Some(EVERY))?;
    Ok(socket)
}

/// Sends reports. Whatever fails is tried again with the next one: a process that stops reporting for good would
/// leave the list while it serves.
pub struct Reporter<B> {
    bind: B,
    socket: Option<UdpSocket>,
}

impl<B: FnMut() -> io::Result<UdpSocket>> Reporter<B> {
    /// Nothing is bound until there is a report.
    pub fn new(bind: B) -> Self {
        Self { bind, socket: None }
    }

    /// Sends one report, if it can be sent now.
    pub fn report(&mut self, report: &str, control: SocketAddr) {
        if self.socket.is_none() {
            let bound = (self.bind)();
            self.socket = bound.map_err(|e| warn!("no report to the control plane: {e}")).ok();
        }
        let Some(socket) = &self.socket else { return };
        if let Err(e) = socket.send_to(report.as_bytes(), control) {
            // A control plane that is down refuses; the next report may reach it.
            debug!("a report to the control plane failed: {e}");
        }
    }
}

/// A report.
pub fn encode(name: &str, ready: bool) -> String {
    format!("lease {name} {}", if ready { "Ready" } else { "NotReady" })
}
