//! Handles signals: SIGTERM and SIGINT drain the server, SIGHUP reloads the configuration, SIGUSR1 logs the counters.

use std::io;
use std::sync::mpsc::{sync_channel, SyncSender};

use hopwalk::error_text;
use hopwalk::net::NodeHandle;
use hopwalk::settings::Config;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use tracing::warn;

/// Signals that are caught from the start of the process. They stay pending until [`watch`] handles them.
const SIGNALS: [i32; 4] = [SIGTERM, SIGINT, SIGUSR1, SIGHUP];

/// Installs handlers for the signals, whose default action would end the process.
///
/// # Errors
/// The system does not allow a handler to be installed.
pub fn install() -> io::Result<Signals> {
    Signals::new(SIGNALS)
}

/// Starts a thread that handles each signal.
pub fn watch(mut signals: Signals, handle: NodeHandle, config: Config) {
    let reload = start_reload_thread(handle.clone(), config);
    std::thread::spawn(move || {
        for signal in signals.forever() {
            match signal {
                SIGUSR1 => handle.log_counters(),
                // If a reload is already queued, this signal needs no other: the file is read after both signals.
                SIGHUP => drop(reload.try_send(())),
                _ => handle.drain(),
            }
        }
    });
}

/// Starts a thread that reloads the configuration on each request sent to the returned channel. The thread is separate
/// from the signal thread so that a file that takes long to read does not delay a drain.
fn start_reload_thread(handle: NodeHandle, mut config: Config) -> SyncSender<()> {
    let (reload, requests) = sync_channel(1);
    std::thread::spawn(move || {
        for () in requests {
            match config.reload() {
                Ok(new_config) => {
                    handle.reload(&new_config);
                    config = new_config;
                }
                Err(e) => warn!("the configuration stays as it was: {}", error_text::single_line(&e)),
            }
        }
    });
    reload
}
