//! Hosts instances of the decision module on the line protocol: parsing and a map, no decisions.

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

/// An instance and what it wants done in the batch at hand.
struct Hosted {
    brain: DecisionEngine,
    actions: Vec<Action>,
    /// It had an event in this batch.
    touched: bool,
}

/// The instances, and those with an event in the batch at hand in the order of their first.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Hosted>,
    touched: Vec<u32>,
    noted_unknown: bool,
}

impl Host {
    fn take(&mut self, now: Duration, line: &str) -> Result<(), WireError> {
        match wire::parse(line)? {
            Message::Configure { who, seed, settings } => {
                let brain = DecisionEngine::new(*settings, seed, now).map_err(WireError::Settings)?;
                self.instances.insert(who, Hosted { brain, actions: Vec::new(), touched: true });
                self.touched.push(who);
            }
            Message::Down { who } => {
                self.instances.remove(&who);
            }
            Message::Event { who, event } => {
                if let Some(hosted) = self.instances.get_mut(&who) {
                    if !std::mem::replace(&mut hosted.touched, true) {
                        self.touched.push(who);
                    }
                    hosted.brain.on_event(now, event, &mut hosted.actions);
                }
            }
            Message::Unknown(name) => {
                if !self.noted_unknown {
                    self.noted_unknown = true;
                    eprintln!("hopwalk-adapter: skipping unknown event '{name}'");
                }
            }
        }
        Ok(())
    }

    fn reply(&mut self, now: Duration, round: &str, out: &mut impl Write) -> io::Result<()> {
        for who in self.touched.drain(..) {
            // A process that ended and began again in one batch stands here twice.
            let Some(hosted) = self.instances.get_mut(&who).filter(|h| h.touched) else { continue };
            hosted.touched = false;
            hosted.brain.decide(now, &mut hosted.actions);
            for action in hosted.actions.drain(..) {
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
            let wrong = |source| AdapterError::Mark { text: text.into(), source };
            let (now, round) = wire::parse_mark(rest).map_err(wrong)?;
            batch = Some((now, round));
            continue;
        }
        let Some((now, round)) = &batch else {
            return Err(AdapterError::Outside { text: text.into() });
        };
        if text == "flush" {
            host.reply(*now, round, &mut out).map_err(AdapterError::Output)?;
            batch = None;
        } else {
            let wrong = |source| AdapterError::Line { round: round.clone(), source };
            host.take(*now, text).map_err(wrong)?;
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
    fn every_variant_of_an_error_has_a_help_of_its_own() {
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
            Mark { text: text(), source: no_pair },
            Outside { text: text() },
            Line { round: text(), source: missing() },
        });
        check("AdapterError", &samples);
    }
}
