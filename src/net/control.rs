//! Lease reports to the control plane: one UDP datagram each, which is not answered.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use may::net::UdpSocket;
use tracing::{debug, warn};

use super::{spawn, Hub};

/// Interval between two reports. The control plane's entry for this server expires three seconds after the last report
/// that arrives, and a quarter of the reports may be lost: at an interval of 700 ms, four losses in a row were enough
/// for that, and they occurred every day.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Starts the coroutine that sends reports for as long as the process runs.
pub(super) fn start(hub: &Arc<Hub>, from: IpAddr, name: String, ready: Arc<AtomicBool>) {
    let hub = hub.clone();
    spawn(move || {
        let mut reporter = Reporter::new(move || bind(from));
        while let Some(control) = hub.links().control {
            reporter.report(&encode(&name, ready.load(Ordering::Relaxed)), control);
            crate::net::spawn::sleep(REPORT_INTERVAL);
        }
    });
}

/// Binds a socket on which sending times out when the next report is due.
fn bind(from: IpAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((from, 0))?;
    socket.set_write_timeout(Some(REPORT_INTERVAL))?;
    Ok(socket)
}

/// Sends reports. After a failure, binding and sending are tried again with the next report: a process that stopped
/// reporting would be removed from the control plane's list although it serves.
pub struct Reporter<B> {
    bind: B,
    socket: Option<UdpSocket>,
}

impl<B: FnMut() -> io::Result<UdpSocket>> Reporter<B> {
    /// Creates a reporter that calls `bind` for its socket when the first report is sent.
    pub fn new(bind: B) -> Self {
        Self { bind, socket: None }
    }

    /// Sends one report to the control plane. A failure is logged.
    pub fn report(&mut self, report: &str, control: SocketAddr) {
        if self.socket.is_none() {
            let bound = (self.bind)();
            self.socket =
                bound.map_err(|e| warn!("cannot open a socket for reports to the control plane: {e}")).ok();
        }
        let Some(socket) = &self.socket else { return };
        if let Err(e) = socket.send_to(report.as_bytes(), control) {
            // A control plane that is down refuses the datagram; the next report may reach it.
            debug!("cannot send a report to the control plane: {e}");
        }
    }
}

/// Encodes a report: the server's name, and whether clients may send requests to it.
pub fn encode(name: &str, ready: bool) -> String {
    format!("lease {name} {}", if ready { "Ready" } else { "NotReady" })
}
