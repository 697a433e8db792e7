//! The line protocol: text to events, actions to text.

use std::collections::HashMap;
use std::io::{self, Write};
use std::time::Duration;

use hopwalk::interface::*;
use hopwalk::settings::Site;

use super::error::WireError;

/// One line of a batch.
pub enum Message {
    Configure { who: u32, seed: u64, settings: Box<Settings> },
    Down { who: u32 },
    Event { who: u32, event: Event },
    Unknown(String),
}

/// The name=value pairs of a line; free text runs to its end.
struct Pairs<'a> {
    name: &'a str,
    pairs: HashMap<&'a str, &'a str>,
}

impl<'a> Pairs<'a> {
    fn new(name: &'a str, mut rest: &'a str) -> Result<Self, WireError> {
        let mut pairs = HashMap::new();
        while !rest.is_empty() {
            let (key, after) = rest
                .split_once('=')
                .ok_or_else(|| WireError::NoPair { event: name.into(), rest: rest.into() })?;
            let (value, next) = match key {
                "options" => (after, ""),
                _ => after.split_once(' ').unwrap_or((after, "")),
            };
            pairs.insert(key, value);
            rest = next;
        }
        Ok(Self { name, pairs })
    }

    fn unreadable(&self, key: &str, text: &str) -> WireError {
        WireError::Unreadable { event: self.name.into(), key: key.into(), text: text.into() }
    }

    fn missing(&self, key: &str) -> WireError {
        WireError::Missing { event: self.name.into(), key: key.into() }
    }

    fn get<T: std::str::FromStr>(&self, key: &str) -> Result<Option<T>, WireError> {
        match self.pairs.get(key) {
            None => Ok(None),
            Some(text) => text.parse().map(Some).map_err(|_| self.unreadable(key, text)),
        }
    }

    fn need<T: std::str::FromStr>(&self, key: &str) -> Result<T, WireError> {
        self.get(key)?.ok_or_else(|| self.missing(key))
    }

    fn time(&self, key: &str) -> Result<Option<Duration>, WireError> {
        Ok(self.get::<u64>(key)?.map(Duration::from_micros))
    }

    fn number(&self, key: &str) -> Result<Option<f64>, WireError> {
        match self.get::<f64>(key)? {
            Some(x) if !x.is_finite() => {
                Err(WireError::NotFinite { event: self.name.into(), key: key.into() })
            }
            x => Ok(x),
        }
    }

    fn flag(&self, key: &str) -> Result<bool, WireError> {
        match self.pairs.get(key) {
            None | Some(&"0") => Ok(false),
            Some(&"1") => Ok(true),
            Some(text) => Err(self.unreadable(key, text)),
        }
    }

    fn outcome(&self) -> Result<Outcome, WireError> {
        Ok(match self.need::<String>("rc")?.as_str() {
            "done" => Outcome::Done,
            "err" => Outcome::Error,
            "busy" => Outcome::Busy,
            "etimedout" => Outcome::TimedOut,
            "econnrefused" => Outcome::Unreachable,
            "econnreset" => Outcome::Reset,
            "ecanceled" => Outcome::Cancelled,
            "skipped" => Outcome::NotStarted,
            other => return Err(WireError::Outcome { event: self.name.into(), text: other.into() }),
        })
    }

    fn gauges(&self) -> Result<Gauges, WireError> {
        let mut gauges = Gauges::default();
        let text = self.pairs.get("gauge").copied().unwrap_or_default();
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let pair = part.split_once(':').and_then(|(k, v)| Some((k, v.parse::<f64>().ok()?)));
            let bad = || WireError::Gauge { event: self.name.into(), part: part.into() };
            let (key, value) = pair.ok_or_else(bad)?;
            match key {
                "core_use" => gauges.core_use = Some(value),
                "on_cores" => gauges.on_cores = Some(value),
                "heap_share" => gauges.memory_use = Some(value),
                "links" => gauges.connections = Some(value),
                _ => {}
            }
        }
        Ok(gauges)
    }
}

/// Reads the rest of a `mark` line: the clock and the number of the batch.
pub fn parse_mark(rest: &str) -> Result<(Duration, String), WireError> {
    let pairs = Pairs::new("mark", rest)?;
    Ok((Duration::from_micros(pairs.need("at_time_us")?), pairs.need("round")?))
}

/// Reads one line of a batch.
pub fn parse(line: &str) -> Result<Message, WireError> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    let known = [
        "configure",
        "submit",
        "withdrawn",
        "down",
        "finished",
        "at_call",
        "dep_reply",
        "retire_soon",
        "timeout_fired",
    ];
    if !known.contains(&name) {
        return Ok(Message::Unknown(name.to_string()));
    }
    let p = Pairs::new(name, rest)?;
    let who = p.need("who")?;
    let event = match name {
        "configure" => {
            let options = p.pairs.get("options").ok_or_else(|| p.missing("options"))?;
            let site =
                Site::parse(options).map_err(|source| WireError::Options { event: name.into(), source })?;
            let seed = p.get("prng")?.unwrap_or(0);
            return Ok(Message::Configure { who, seed, settings: Box::new(site.settings) });
        }
        "down" => return Ok(Message::Down { who }),
        "submit" => Event::Arrived(Arrival {
            id: p.need("id")?,
            class: p.need("tier_class")?,
            tenant: p.get("party")?.unwrap_or(0),
            names_object: p.pairs.contains_key("entity"),
            due: p.time("not_after_us")?.filter(|t| !t.is_zero()),
            hint: p.time("weight_hint_us")?.filter(|t| !t.is_zero()),
            size_kb: p.number("size_kb")?.unwrap_or(0.0),
            rank: p.number("standing")?.unwrap_or(0.0),
            caller: p.get("from")?.unwrap_or(0),
            age: p.time("age_us")?.unwrap_or_default(),
            repeats: p.get("repeats")?.filter(|r| *r != 0),
            marked_retry: p.flag("again_by_client")?,
        }),
        "withdrawn" => Event::Withdrawn { id: p.need("id")? },
        "finished" => Event::Finished {
            id: p.need("id")?,
            outcome: p.outcome()?,
            took: p.time("delay_seen_us")?.unwrap_or_default(),
        },
        "at_call" => Event::CallNeeded { id: p.need("id")? },
        "dep_reply" => Event::CallEnded {
            id: p.need("id")?,
            outcome: p.outcome()?,
            took: p.time("delay_seen_us")?.unwrap_or_default(),
            may_repeat: true,
        },
        "retire_soon" => {
            Event::Drain { age: Duration::ZERO, stop_at: Duration::from_micros(p.need("not_after_us")?) }
        }
        _ => Event::Timer { token: p.get("name")?.unwrap_or(0), gauges: p.gauges()? },
    };
    Ok(Message::Event { who, event })
}

fn micros(time: Duration) -> u128 {
    time.as_micros()
}

/// Writes one action as a line.
pub fn write(out: &mut impl Write, who: u32, action: &Action) -> io::Result<()> {
    match action {
        Action::Start(id) => writeln!(out, "serve who={who} id={id}"),
        Action::Refuse { id, retry_after, no_retry } => {
            let (after, no_retry) = (micros(*retry_after), u8::from(*no_retry));
            writeln!(out, "not_now who={who} id={id} retry_after_us={after} no_retry={no_retry}")
        }
        Action::Fail(id) => writeln!(out, "respond_error who={who} id={id}"),
        Action::Preempt(id) => writeln!(out, "abort_work who={who} id={id}"),
        Action::Call { id, timeout } => {
            writeln!(out, "go_call who={who} id={id} try_for_us={}", micros(*timeout))
        }
        Action::SkipCall(id) => writeln!(out, "skip who={who} id={id}"),
        Action::Join(id) => writeln!(out, "join who={who} id={id}"),
        Action::RememberKey { id, lifetime } => {
            writeln!(out, "keep who={who} id={id} for_time_us={}", micros(*lifetime))
        }
        Action::ForgetKey(id) => writeln!(out, "drop_key who={who} id={id}"),
        Action::Health { healthy } => writeln!(out, "status who={who} on={} cheap=1", u8::from(*healthy)),
        Action::Signal(amount) => writeln!(out, "stamp who={who} amount={amount:.4}"),
        Action::TrimIdle(after) => writeln!(out, "trim_after who={who} for_time_us={}", micros(*after)),
        Action::SetTimer { token, after } => {
            writeln!(out, "after who={who} after_us={} name={token}", micros(*after))
        }
        Action::Log(text) => writeln!(out, "emit who={who} msg={text}"),
    }
}
