//! One server: configuration, signals, and the reducer's thread.

use std::process::ExitCode;

use hopwalk::net::{start_runtime, Node};
use hopwalk::settings::Config;
use signal_hook::consts::{SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

fn run() -> Result<(), String> {
    let config = Config::from_env().map_err(|e| e.to_string())?;
    start_runtime();
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGUSR1]).map_err(|e| format!("signals: {e}"))?;
    let node = Node::start(config)?;
    let handle = node.handle();
    std::thread::spawn(move || {
        for signal in signals.forever() {
            match signal {
                SIGUSR1 => handle.report(),
                _ => handle.drain(),
            }
        }
    });
    node.run();
    Ok(())
}

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_env("RELAY_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("hopwalk: {message}");
            ExitCode::from(2)
        }
    }
}
