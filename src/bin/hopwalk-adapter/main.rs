//! `hopwalk-adapter` runs instances of the decision engine on a line protocol: it reads batches of events from standard
//! input, passes them to the instances that they name, and writes the resulting actions to standard output. It makes no
//! decisions itself.

mod error;
mod wire;

#[cfg(test)]
#[path = "../../../tests/common/error_samples.rs"]
mod error_samples;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use std::time::Duration;

use error::{AdapterError, WireError};
use hopwalk::interface::Action;
use hopwalk::{error_text, DecisionEngine};
use wire::Message;

/// An instance of the decision engine, and its actions in the current batch.
struct Instance {
    engine: DecisionEngine,
    actions: Vec<Action>,
    /// Whether it received an event in the current batch.
    active: bool,
}

/// All instances, and the numbers of those that received an event in the current batch, in the order of the first event
/// of each.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    active: Vec<u32>,
    reported_unknown: bool,
}

impl Host {
    fn process_line(&mut self, now: Duration, line: &str) -> Result<(), WireError> {
        match wire::parse(line)? {
            Message::Configure { who, seed, settings } => {
                let engine = DecisionEngine::new(*settings, seed, now).map_err(WireError::Settings)?;
                self.instances.insert(who, Instance { engine, actions: Vec::new(), active: true });
                self.active.push(who);
            }
            Message::Down { who } => {
                self.instances.remove(&who);
            }
            Message::Event { who, event } => {
                if let Some(instance) = self.instances.get_mut(&who) {
                    if !std::mem::replace(&mut instance.active, true) {
                        self.active.push(who);
                    }
                    instance.engine.on_event(now, event, &mut instance.actions);
                }
            }
            Message::Unknown(name) => {
                if !self.reported_unknown {
                    self.reported_unknown = true;
                    eprintln!("hopwalk-adapter: skipping unknown event '{name}'");
                }
            }
        }
        Ok(())
    }

    fn write_actions(&mut self, now: Duration, round: &str, out: &mut impl Write) -> io::Result<()> {
        for who in self.active.drain(..) {
            // An instance that went down and was configured again within the batch is listed twice.
            let Some(instance) = self.instances.get_mut(&who).filter(|i| i.active) else { continue };
            instance.active = false;
            instance.engine.decide(now, &mut instance.actions);
            for action in instance.actions.drain(..) {
                wire::write(out, who, &action)?;
            }
        }
        writeln!(out, "ready round={round}")?;
        out.flush()
    }
}

fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut out = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut host = Host::default();
    let (mut line, mut batch): (String, Option<(Duration, String)>) = (String::new(), None);
    loop {
        line.clear();
        if input.read_line(&mut line).map_err(AdapterError::Input)? == 0 {
            return Ok(());
        }
        let text = line.trim_end();
        if text.is_empty() {
            continue;
        }
        if let Some(rest) = text.strip_prefix("mark ") {
            let to_error = |source| AdapterError::InvalidMark { text: text.into(), source };
            let (now, round) = wire::parse_mark(rest).map_err(to_error)?;
            batch = Some((now, round));
            continue;
        }
        let Some((now, round)) = &batch else {
            return Err(AdapterError::OutsideBatch { text: text.into() });
        };
        if text == "flush" {
            host.write_actions(*now, round, &mut out).map_err(AdapterError::Output)?;
            batch = None;
        } else {
            let to_error = |source| AdapterError::InvalidLine { round: round.clone(), source };
            host.process_line(*now, text).map_err(to_error)?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("hopwalk-adapter: {}", error_text::single_line(&e));
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    use hopwalk::interface::SettingsError;
    use hopwalk::settings::{ConfigError, Problem};

    use super::*;
    use crate::error_samples::check;

    fn event() -> String {
        "submit".into()
    }

    #[test]
    fn every_variant_has_its_own_help() {
        let (key, text) = (|| "who".to_string(), || "x".to_string());
        let missing = || WireError::Missing { event: event(), key: key() };
        let no_pair = WireError::NoPair { event: event(), rest: text() };
        let source = ConfigError::new("settings.rules.cold_from", Problem::OverOne);
        let samples = samples!(WireError {
            NoPair { event: event(), rest: text() },
            Unreadable { event: event(), key: key(), text: text() },
            Missing { event: event(), key: key() },
            NotFinite { event: event(), key: key() },
            Outcome { event: event(), text: text() },
            Gauge { event: event(), part: text() },
            Options { event: event(), source: source },
            Settings(SettingsError::NoCores),
        });
        check("WireError", &samples);
        let samples = samples!(AdapterError {
            Input(io::ErrorKind::InvalidData.into()),
            Output(io::ErrorKind::BrokenPipe.into()),
            InvalidMark { text: text(), source: no_pair },
            OutsideBatch { text: text() },
            InvalidLine { round: text(), source: missing() },
        });
        check("AdapterError", &samples);
    }
}
