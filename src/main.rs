//! One server: configuration, signals, and the reducer's thread; or the console's client.

use std::path::PathBuf;
use std::process::ExitCode;

use hopwalk::net::{start_runtime, Handle, Node};
use hopwalk::settings::{Appliance, Config};
use hopwalk::{acme, console, settings};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use tracing::warn;
use tracing_subscriber::EnvFilter;

const USAGE: &str = "usage: hopwalk                                  one server, set up by RELAY_*\n\
                    \x20      hopwalk console [--socket PATH] [WORD ...]  speak to one on this machine";

/// Logs go to standard error; nothing is logged for a single request unless it is asked for.
fn start_log() -> Result<(), String> {
    let filter = EnvFilter::try_new(settings::log_filter()).map_err(|e| format!("RELAY_LOG: {e}"))?;
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    Ok(())
}

fn watch_signals(mut signals: Signals, handle: Handle, mut config: Config) {
    std::thread::spawn(move || {
        for signal in signals.forever() {
            match signal {
                SIGUSR1 => handle.report(),
                SIGHUP => match config.read_again() {
                    Ok(new) => {
                        handle.reload(&new);
                        config = new;
                    }
                    Err(e) => warn!("the configuration stays as it was: {e}"),
                },
                _ => handle.drain(),
            }
        }
    });
}

fn serve() -> Result<(), String> {
    start_log()?;
    let config = Config::from_env().map_err(|e| e.to_string())?;
    // Before anything can be seen of this process: a signal that nobody waits for yet would end it.
    let signals = Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    start_runtime();
    let certificate = acme::Shared::default();
    let node = Node::start(&config, certificate.clone())?;
    watch_signals(signals, node.handle(), config.clone());
    if let Some(acme) = config.appliance.acme.clone() {
        acme::start(acme, certificate.clone())?;
    }
    if let Some(path) = &config.appliance.console {
        let state = std::sync::Arc::new(move || certificate.describe());
        console::start(path, &config, node.handle(), state, node.takes_over())?;
    }
    node.run()
}

fn console_client(words: &[String]) -> Result<(), String> {
    let (socket, words) = match words {
        [flag, path, rest @ ..] if flag == "--socket" => (Some(PathBuf::from(path)), rest),
        _ => (Appliance::from_env().map_err(|e| e.to_string())?.console, words),
    };
    let socket = socket.ok_or("console.socket: is not set, and --socket names none")?;
    console::client(&socket, words)
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let done = match words.split_first() {
        None => serve(),
        Some((word, rest)) if word == "console" => console_client(rest),
        Some(_) => Err(USAGE.to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("hopwalk: {message}");
            ExitCode::from(2)
        }
    }
}
