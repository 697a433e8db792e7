//! Hosts instances of the decision module on the line protocol: parsing and a map, no decisions.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use std::time::Duration;

use hopwalk::interface::Action;
use hopwalk::Brain;
use wire::{Message, WireError};

/// An instance and what it wants done in the batch at hand.
struct Hosted {
    brain: Brain,
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
                let brain =
                    Brain::new(*settings, seed, now).map_err(|e| WireError(format!("options: {e}")))?;
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

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut out = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut host = Host::default();
    let (mut line, mut batch): (String, Option<(Duration, String)>) = (String::new(), None);
    loop {
        line.clear();
        if input.read_line(&mut line).map_err(|e| format!("standard input: {e}"))? == 0 {
            return Ok(());
        }
        let text = line.trim_end();
        if text.is_empty() {
            continue;
        }
        if let Some(rest) = text.strip_prefix("mark ") {
            let (now, round) = wire::parse_mark(rest).map_err(|e| format!("batch line '{text}': {}", e.0))?;
            batch = Some((now, round));
            continue;
        }
        let Some((now, round)) = &batch else {
            return Err(format!("'{text}' stands outside a batch"));
        };
        if text == "flush" {
            host.reply(*now, round, &mut out).map_err(|e| format!("standard output: {e}"))?;
            batch = None;
        } else {
            host.take(*now, text).map_err(|e| format!("batch {round}: {}", e.0))?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("hopwalk-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
