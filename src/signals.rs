//! Signals: drain, read the configuration again, print the counters.

use std::io;
use std::sync::mpsc::{sync_channel, SyncSender};

use hopwalk::error_text;
use hopwalk::net::NodeHandle;
use hopwalk::settings::Config;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use tracing::warn;

/// Signals that are taken from the first moment on; until somebody waits for them they stay pending.
const SIGNALS: [i32; 4] = [SIGTERM, SIGINT, SIGUSR1, SIGHUP];

/// Takes the signals over from the system, which would end the process at each.
///
/// # Errors
/// Where the system does not let it.
pub fn take() -> io::Result<Signals> {
    Signals::new(SIGNALS)
}

/// Has each signal carried out, on a thread of its own.
pub fn watch(mut signals: Signals, handle: NodeHandle, config: Config) {
    let reload = start_reloads(handle.clone(), config);
    std::thread::spawn(move || {
        for signal in signals.forever() {
            match signal {
                SIGUSR1 => handle.log_counters(),
                // A second one that finds the first still waiting is the same: the file is read after both.
                SIGHUP => drop(reload.try_send(())),
                _ => handle.drain(),
            }
        }
    });
}

/// Reads the configuration again at each word, on a thread of its own: a file that takes long to read must not
/// hold up a drain.
fn start_reloads(handle: NodeHandle, mut config: Config) -> SyncSender<()> {
    let (reload, reloads) = sync_channel(1);
    std::thread::spawn(move || {
        for () in reloads {
            match config.reload() {
                Ok(new) => {
                    handle.reload(&new);
                    config = new;
                }
                Err(e) => warn!("the configuration stays as it was: {}", error_text::single_line(&e)),
            }
        }
    });
    reload
}
