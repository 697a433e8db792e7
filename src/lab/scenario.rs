//! A scenario: how many matchers, what load, which faults when. Read from JSON, the form of all settings here;
//! an error names the key. [`Scenario::timeline`] turns it into timed actions without I/O.
//!
//! Processes are named `callers`, `m1`..`mN` (matchers), `agent-m1`.. (each matcher's agent) and `vault` (one
//! service below for all). Links are named `callers-mI`, `mI-agent` and `mI-vault`.
//!
//! Faults (`kind`, from `at_s`, for `for_s` unless said): `delay` (`ms`, `jitter_ms`), `stall`, `throttle`
//! (`bps`), `half_close`, `cut` and `reset` on a `link` (`reset` with `every_ms` repeats); `partition` of the set
//! `a` from the set `b` (`one_way`: only from `a` to `b`); `pause` (SIGSTOP, then SIGCONT) and `kill` (SIGKILL, and
//! `restart_after_s` when given) of a `target`. With `fleet`, matchers are members of one fleet, partitions cut them from
//! each other too, and `datagrams` (`drop`, `duplicate`, `reorder`, `reorder_ms`, `ms`, `jitter_ms`, `cut`; `flap_ms`
//! switches it on and off) spoils what the members `from` send to `to`, and back unless `one_way`. `stop` is what the platform
//! does to a `target`: the `signals` in turn, `gap_ms` apart, SIGKILL `kill_after_ms` after the first SIGTERM unless it has ended,
//! and `restart_after_s`. With `direct`, callers reach the matchers without the net; with `load.keeps_open` they keep their
//! connections open and use them again until the matcher closes them. `site` sets `stop_ms`, `give_up_ms` and `every_effect`
//! of the site that is served. With `agent.link_ms` the agents end each link by themselves, within so long; with `faulty_vault`
//! replies from below come late, twice, out of order and over other connections; `spoilt_replies`, `spoilt_notices` and
//! `spoilt_requests` in a thousand have another framing than they should; `busy` processes take processor time from the
//! matchers. `stall_threads` stops a thread of a `target` for a few milliseconds around `rate` in a thousand of its system calls.

use std::collections::HashMap;

use nix::sys::signal::Signal;
use tinyjson::JsonValue;

use super::datagram::DatagramFaults;
use super::net::Faults;
pub use super::scenario_error::ScenarioError;
use super::shim::Dial;
use super::site::SiteOptions;
use super::stand_in_faults::StandInFaults;
use ScenarioError as Wrong;

/// The default scenario of `hopwalk lab run`.
pub const DEFAULT: &str = include_str!("default.json");

/// Bounds that keep a lab on one machine.
pub const MOST_MATCHERS: usize = 32;
pub const MOST_SECONDS: f64 = 3600.0;
pub const MOST_RATE: f64 = 50_000.0;
pub const MOST_FAULTS: usize = 10_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    pub at_s: f64,
    pub for_s: f64,
    pub times: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Arrivals a second, on their own clock.
    pub rate: f64,
    pub burst: Option<Burst>,
    /// Share of requests that are keyed (`lobby-confirm`); the rest are `queue-status` and `queue-prefs`.
    pub keyed_share: f64,
    /// Share of keyed requests that repeat a recent key, at the matcher that had it.
    pub repeat_share: f64,
    pub patience_ms: u64,
    /// Callers keep connections open and use them again, as gateways do, until the matcher closes them.
    pub keeps_open: bool,
    /// Objects that requests are of, each drawn alike (`X-Object`); 0: no request names one.
    pub objects: u64,
}

impl Load {
    /// The rate at `t_s`.
    pub fn rate_at(&self, t_s: f64) -> f64 {
        match &self.burst {
            Some(b) if t_s >= b.at_s && t_s < b.at_s + b.for_s => self.rate * b.times,
            _ => self.rate,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    Link {
        link: String,
        faults: Faults,
    },
    Reset {
        link: String,
        every_ms: Option<u64>,
    },
    Partition {
        a: Vec<String>,
        b: Vec<String>,
        one_way: bool,
    },
    Pause {
        target: String,
    },
    Kill {
        target: String,
        restart_after_s: Option<f64>,
    },
    Datagrams {
        ways: Vec<(usize, usize)>,
        faults: DatagramFaults,
        flap_ms: Option<u64>,
    },
    /// System calls that fail, for a while.
    System {
        target: String,
        dials: Vec<(Dial, i64)>,
    },
    /// The wall clock of the machine shows so much more, from then on.
    Clock {
        target: String,
        ms: i64,
    },
    /// The configuration is read again.
    Hangup {
        target: String,
    },
    /// The platform stops a matcher: a series of signals, and SIGKILL after the first SIGTERM.
    Stop {
        target: String,
        signals: Vec<Signal>,
        gap_ms: u64,
        kill_after_ms: u64,
        restart_after_s: Option<f64>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub at_s: f64,
    pub for_s: f64,
    pub kind: FaultKind,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub seed: u64,
    pub seconds: f64,
    pub matchers: usize,
    pub cores: usize,
    pub work_ms: u64,
    /// What is wrong with the stand-ins themselves.
    pub stand_ins: StandInFaults,
    pub load: Load,
    pub faults: Vec<Fault>,
    /// Callers reach the matchers without the fault net (for a measurement of what the net costs).
    pub direct: bool,
    /// What is set of the site.
    pub site: SiteOptions,
    /// The protocol period of the fleet that the matchers are members of, in milliseconds; none, no fleet.
    pub fleet: Option<u64>,
}

/// One thing to do at one time.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Put these faults on a link (the default faults lift them).
    Set {
        link: String,
        faults: Faults,
    },
    Reset {
        link: String,
    },
    Pause(String),
    Continue(String),
    Kill(String),
    /// One of the signals around a stop.
    Signal {
        target: String,
        signal: Signal,
    },
    /// The platform's kill after a notice to leave.
    KillAtStop {
        target: String,
        after_ms: u64,
    },
    Restart(String),
    /// Turn these dials of the system under a matcher.
    System {
        target: String,
        dials: Vec<(Dial, i64)>,
    },
    /// SIGHUP.
    Hangup(String),
    /// Put these faults on what one member sends to another.
    Peers {
        ways: Vec<(usize, usize)>,
        faults: DatagramFaults,
    },
}

pub(super) type Object = HashMap<String, JsonValue>;

pub(super) fn number(o: &Object, key: &str, at: &str, default: Option<f64>) -> Result<f64, Wrong> {
    match (o.get(key), default) {
        (Some(JsonValue::Number(n)), _) if n.is_finite() && *n >= 0.0 => Ok(*n),
        (Some(_), _) => Err(Wrong::NoNumber { key: format!("{at}{key}") }),
        (None, Some(d)) => Ok(d),
        (None, None) => Err(Wrong::Missing { key: format!("{at}{key}") }),
    }
}

fn text(o: &Object, key: &str, at: &str) -> Result<String, Wrong> {
    match o.get(key) {
        Some(JsonValue::String(s)) => Ok(s.clone()),
        _ => Err(Wrong::NoText { key: format!("{at}{key}") }),
    }
}

fn names(o: &Object, key: &str, at: &str) -> Result<Vec<String>, Wrong> {
    let key_of = || format!("{at}{key}");
    let Some(JsonValue::Array(list)) = o.get(key) else { return Err(Wrong::NoList { key: key_of() }) };
    let name = |v: &JsonValue| v.get::<String>().cloned().ok_or_else(|| Wrong::NoName { key: key_of() });
    list.iter().map(name).collect()
}

fn share(o: &Object, key: &str, at: &str, default: f64) -> Result<f64, Wrong> {
    let n = number(o, key, at, Some(default))?;
    if n > 1.0 {
        return Err(Wrong::Share { key: format!("{at}{key}") });
    }
    Ok(n)
}

/// The signals around a stop, one SIGTERM among them at the least.
fn signals(names: &[String], at: &str) -> Result<Vec<Signal>, Wrong> {
    let signal = |name: &String| match name.as_str() {
        "TERM" => Ok(Signal::SIGTERM),
        "INT" => Ok(Signal::SIGINT),
        "HUP" => Ok(Signal::SIGHUP),
        "USR1" => Ok(Signal::SIGUSR1),
        _ => Err(Wrong::Signal { key: format!("{at}signals"), name: name.clone() }),
    };
    let signals: Vec<_> = names.iter().map(signal).collect::<Result<_, _>>()?;
    match signals.contains(&Signal::SIGTERM) {
        true => Ok(signals),
        false => Err(Wrong::NoNotice { key: format!("{at}signals") }),
    }
}

fn object<'a>(o: &'a Object, key: &str) -> Result<Option<&'a Object>, Wrong> {
    match o.get(key) {
        None => Ok(None),
        Some(v) => v.get::<Object>().map(Some).ok_or_else(|| Wrong::NoObject { key: key.into() }),
    }
}

/// Each way from a member of one set to another one of the other set, and back unless `one_way`.
pub(super) fn ways(from: &[usize], to: &[usize], one_way: bool) -> Vec<(usize, usize)> {
    let mut all = Vec::new();
    for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
        all.push((a, b));
        if !one_way {
            all.push((b, a));
        }
    }
    all.sort_unstable();
    all.dedup();
    all
}

impl Scenario {
    pub fn parse(text_of: &str) -> Result<Self, ScenarioError> {
        let json = crate::json::parse(text_of)?;
        let top: &Object = json.get().ok_or(Wrong::NoScenario)?;
        let seed = match top.get("seed") {
            None => 0,
            Some(JsonValue::String(s)) => u64::from_str_radix(s, 16).map_err(|_| Wrong::Seed)?,
            Some(_) => return Err(Wrong::Seed),
        };
        let seconds = number(top, "seconds", "", Some(60.0))?;
        if seconds <= 0.0 || seconds > MOST_SECONDS {
            return Err(Wrong::Seconds);
        }
        let matchers = number(top, "matchers", "", Some(3.0))? as usize;
        if !(1..=MOST_MATCHERS).contains(&matchers) {
            return Err(Wrong::Matchers);
        }
        let empty = Object::new();
        let agent = object(top, "agent")?.unwrap_or(&empty);
        let cores = (number(agent, "cores", "agent.", Some(6.0))? as usize).clamp(1, 256);
        let work_ms = number(agent, "work_ms", "agent.", Some(40.0))? as u64;
        let stand_ins = StandInFaults::parse(top, agent)?;
        let load = object(top, "load")?.unwrap_or(&empty);
        let rate = number(load, "rate", "load.", Some(100.0))?;
        let burst = match object(load, "burst")? {
            None => None,
            Some(b) => Some(Burst {
                at_s: number(b, "at_s", "load.burst.", None)?,
                for_s: number(b, "for_s", "load.burst.", None)?,
                times: number(b, "times", "load.burst.", None)?,
            }),
        };
        let most = rate * burst.as_ref().map_or(1.0, |b| b.times.max(1.0));
        if rate <= 0.0 || most > MOST_RATE {
            return Err(Wrong::Rate);
        }
        let load = Load {
            rate,
            burst,
            keyed_share: share(load, "keyed_share", "load.", 0.3)?,
            repeat_share: share(load, "repeat_share", "load.", 0.3)?,
            patience_ms: (number(load, "patience_ms", "load.", Some(1500.0))? as u64).clamp(100, 60_000),
            keeps_open: matches!(load.get("keeps_open"), Some(JsonValue::Boolean(true))),
            objects: 0,
        };
        let fleet = match object(top, "fleet")? {
            None => None,
            Some(fleet) => {
                Some((number(fleet, "period_ms", "fleet.", Some(200.0))? as u64).clamp(50, 60_000))
            }
        };
        let faults = match top.get("faults") {
            None => Vec::new(),
            Some(JsonValue::Array(list)) if list.len() <= MOST_FAULTS => {
                let read = |(i, f): (usize, &JsonValue)| Self::fault(f, &format!("faults[{i}]."), matchers);
                list.iter().enumerate().map(read).collect::<Result<_, _>>()?
            }
            Some(_) => return Err(Wrong::Faults),
        };
        let direct = matches!(top.get("direct"), Some(JsonValue::Boolean(true)));
        if direct && faults.iter().any(|f| matches!(&f.kind, FaultKind::Link { link, .. } | FaultKind::Reset { link, .. } if link.starts_with("callers"))) {
            return Err(Wrong::Direct);
        }
        let peers = |f: &Fault| matches!(f.kind, FaultKind::Datagrams { .. });
        if let Some(at) = faults.iter().position(peers).filter(|_| fleet.is_none()) {
            return Err(Wrong::NoFleet { fault: at });
        }
        let site = Self::site(top)?;
        Ok(Self { seed, seconds, matchers, cores, work_ms, stand_ins, load, faults, direct, site, fleet })
    }

    fn site(top: &Object) -> Result<SiteOptions, ScenarioError> {
        let empty = Object::new();
        let site = object(top, "site")?.unwrap_or(&empty);
        let default = SiteOptions::default();
        let give_up =
            site.get("give_up_ms").map(|_| number(site, "give_up_ms", "site.", None)).transpose()?;
        Ok(SiteOptions {
            stop_ms: (number(site, "stop_ms", "site.", Some(default.stop_ms as f64))? as u64).min(60_000),
            give_up_ms: give_up.map(|ms| (ms as u64).clamp(50, 60_000)),
            every_effect: matches!(site.get("every_effect"), Some(JsonValue::Boolean(true))),
        })
    }

    fn fault(json: &JsonValue, at: &str, matchers: usize) -> Result<Fault, ScenarioError> {
        let o: &Object =
            json.get().ok_or_else(|| Wrong::NoObject { key: at.trim_end_matches('.').into() })?;
        let (at_s, for_s) = (number(o, "at_s", at, None)?, number(o, "for_s", at, Some(0.0))?);
        let link = || -> Result<String, Wrong> {
            let link = text(o, "link", at)?;
            let known = (1..=matchers).any(|i| {
                [format!("callers-m{i}"), format!("m{i}-agent"), format!("m{i}-vault")].contains(&link)
            });
            if known {
                return Ok(link);
            }
            Err(Wrong::NoLink { key: format!("{at}link"), link })
        };
        let process = || -> Result<String, Wrong> {
            let target = text(o, "target", at)?;
            let known = (1..=matchers).any(|i| target == format!("m{i}"));
            if known {
                return Ok(target);
            }
            Err(Wrong::NoMatcher { key: format!("{at}target"), name: target })
        };
        let none = Faults::default();
        let kind = match text(o, "kind", at)?.as_str() {
            "delay" => {
                let delay_ms = number(o, "ms", at, None)? as u64;
                let jitter_ms = number(o, "jitter_ms", at, Some(0.0))? as u64;
                FaultKind::Link { link: link()?, faults: Faults { delay_ms, jitter_ms, ..none } }
            }
            "stall" => FaultKind::Link { link: link()?, faults: Faults { stall: true, ..none } },
            "throttle" => {
                let throttle_bps = (number(o, "bps", at, None)? as u64).max(1);
                FaultKind::Link { link: link()?, faults: Faults { throttle_bps, ..none } }
            }
            "half_close" => FaultKind::Link { link: link()?, faults: Faults { half_close: true, ..none } },
            "cut" => FaultKind::Link { link: link()?, faults: Faults { cut: true, ..none } },
            "reset" => {
                let every_ms = o.get("every_ms").map(|_| number(o, "every_ms", at, None)).transpose()?;
                FaultKind::Reset { link: link()?, every_ms: every_ms.map(|n| (n as u64).max(10)) }
            }
            "partition" => {
                let one_way = matches!(o.get("one_way"), Some(JsonValue::Boolean(true)));
                let (a, b) = (names(o, "a", at)?, names(o, "b", at)?);
                if let Some(process) = b.iter().find(|process| a.contains(process)) {
                    return Err(Wrong::BothSides { at: at.into(), process: process.clone() });
                }
                FaultKind::Partition { a, b, one_way }
            }
            "datagrams" => {
                let set = |key: &str| -> Result<Vec<usize>, Wrong> {
                    let known = |name: String| {
                        let found = (0..matchers).find(|m| name == format!("m{}", m + 1));
                        found.ok_or_else(|| Wrong::NoMatcher { key: format!("{at}{key}"), name })
                    };
                    names(o, key, at)?.into_iter().map(known).collect()
                };
                let one_way = matches!(o.get("one_way"), Some(JsonValue::Boolean(true)));
                let faults = DatagramFaults {
                    drop: share(o, "drop", at, 0.0)?,
                    duplicate: share(o, "duplicate", at, 0.0)?,
                    reorder: share(o, "reorder", at, 0.0)?,
                    reorder_ms: number(o, "reorder_ms", at, Some(0.0))? as u64,
                    delay_ms: number(o, "ms", at, Some(0.0))? as u64,
                    jitter_ms: number(o, "jitter_ms", at, Some(0.0))? as u64,
                    cut: matches!(o.get("cut"), Some(JsonValue::Boolean(true))),
                };
                let flap = o.get("flap_ms").map(|_| number(o, "flap_ms", at, None)).transpose()?;
                let flap_ms = flap.map(|ms| (ms as u64).max(10));
                FaultKind::Datagrams { ways: ways(&set("from")?, &set("to")?, one_way), faults, flap_ms }
            }
            "pause" => FaultKind::Pause { target: process()? },
            "kill" => {
                let restart =
                    o.get("restart_after_s").map(|_| number(o, "restart_after_s", at, None)).transpose()?;
                FaultKind::Kill { target: process()?, restart_after_s: restart }
            }
            "system" => {
                let rate = |key: &str| number(o, key, at, Some(0.0)).map(|rate| rate.min(1000.0) as i64);
                let all = [
                    (Dial::Accept, "accept"),
                    (Dial::Connect, "connect"),
                    (Dial::Interrupt, "interrupt"),
                    (Dial::Short, "short"),
                    (Dial::Break, "break"),
                ];
                let read = all.map(|(dial, key)| rate(key).map(|rate| (dial, rate)));
                let dials = read.into_iter().collect::<Result<Vec<_>, _>>()?;
                FaultKind::System { target: process()?, dials }
            }
            "stall_threads" => {
                let rate = number(o, "rate", at, None)?.min(1000.0) as i64;
                FaultKind::System { target: process()?, dials: vec![(Dial::Stall, rate)] }
            }
            "clock" => {
                let (forward, back) =
                    (number(o, "forward_ms", at, Some(0.0))?, number(o, "back_ms", at, Some(0.0))?);
                FaultKind::Clock { target: process()?, ms: forward as i64 - back as i64 }
            }
            "hangup" => FaultKind::Hangup { target: process()? },
            "stop" => {
                let restart =
                    o.get("restart_after_s").map(|_| number(o, "restart_after_s", at, None)).transpose()?;
                FaultKind::Stop {
                    target: process()?,
                    signals: signals(&names(o, "signals", at)?, at)?,
                    gap_ms: number(o, "gap_ms", at, Some(0.0))? as u64,
                    kill_after_ms: number(o, "kill_after_ms", at, None)? as u64,
                    restart_after_s: restart,
                }
            }
            other => return Err(Wrong::Kind { key: format!("{at}kind"), kind: other.into() }),
        };
        Ok(Fault { at_s, for_s, kind })
    }
}
