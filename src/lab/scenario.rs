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
//! switches it on and off) spoils what the members `from` send to `to`, and back unless `one_way`. With `direct`, callers reach the matchers without the net.

use std::collections::HashMap;

use tinyjson::JsonValue;

use super::datagram::DatagramFaults;
use super::net::Faults;
pub use super::scenario_error::ScenarioError;
use super::shim::Dial;
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
    pub load: Load,
    pub faults: Vec<Fault>,
    /// Callers reach the matchers without the fault net (for a measurement of what the net costs).
    pub direct: bool,
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

type Object = HashMap<String, JsonValue>;

fn number(o: &Object, key: &str, at: &str, default: Option<f64>) -> Result<f64, Wrong> {
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

fn object<'a>(o: &'a Object, key: &str) -> Result<Option<&'a Object>, Wrong> {
    match o.get(key) {
        None => Ok(None),
        Some(v) => v.get::<Object>().map(Some).ok_or_else(|| Wrong::NoObject { key: key.into() }),
    }
}

/// Each way from a member of one set to another one of the other set, and back unless `one_way`.
fn ways(from: &[usize], to: &[usize], one_way: bool) -> Vec<(usize, usize)> {
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
        Ok(Self { seed, seconds, matchers, cores, work_ms, load, faults, direct, fleet })
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
            "clock" => {
                let (forward, back) =
                    (number(o, "forward_ms", at, Some(0.0))?, number(o, "back_ms", at, Some(0.0))?);
                FaultKind::Clock { target: process()?, ms: forward as i64 - back as i64 }
            }
            "hangup" => FaultKind::Hangup { target: process()? },
            other => return Err(Wrong::Kind { key: format!("{at}kind"), kind: other.into() }),
        };
        Ok(Fault { at_s, for_s, kind })
    }

    /// Its faults are of the system under the matchers.
    pub fn needs_shim(&self) -> bool {
        let is_of_system = |f: &Fault| matches!(f.kind, FaultKind::System { .. } | FaultKind::Clock { .. });
        self.faults.iter().any(is_of_system)
    }

    /// Every link of this lab with the two processes at its ends: (link, near, far).
    pub fn links(&self) -> Vec<(String, String, String)> {
        let mut all = Vec::new();
        for i in 1..=self.matchers {
            all.push((format!("callers-m{i}"), "callers".to_string(), format!("m{i}")));
            all.push((format!("m{i}-agent"), format!("m{i}"), format!("agent-m{i}")));
            all.push((format!("m{i}-vault"), format!("m{i}"), "vault".to_string()));
        }
        all
    }

    /// The ways between members that a partition cuts.
    fn ways_cut_by(&self, a: &[String], b: &[String], one_way: bool) -> Vec<(usize, usize)> {
        let set = |names: &[String]| -> Vec<usize> {
            (0..self.matchers).filter(|m| names.contains(&format!("m{}", m + 1))).collect()
        };
        match self.fleet {
            Some(_) => ways(&set(a), &set(b), one_way),
            None => Vec::new(),
        }
    }

    /// The links a partition cuts, each with whether only its way out is cut.
    pub fn cut_by(&self, a: &[String], b: &[String], one_way: bool) -> Vec<(String, bool)> {
        let mut cut = Vec::new();
        for (link, near, far) in self.links() {
            if a.contains(&near) && b.contains(&far) {
                cut.push((link, one_way));
            } else if b.contains(&near) && a.contains(&far) {
                // Bytes from `a` to `b` go back on this link: a one-way cut of it is not one of its way out.
                if one_way {
                    continue;
                }
                cut.push((link, false));
            }
        }
        cut
    }

    /// All actions in the order of their time, in milliseconds from the start. Faults on one link that overlap
    /// are not merged: the later one takes its place.
    pub fn timeline(&self) -> Vec<(u64, Action)> {
        let ms = |s: f64| (s * 1000.0) as u64;
        let mut all = Vec::new();
        let clear = Faults::default();
        for f in &self.faults {
            let (start, end) = (ms(f.at_s), ms(f.at_s + f.for_s));
            match &f.kind {
                FaultKind::Link { link, faults } => {
                    all.push((start, Action::Set { link: link.clone(), faults: *faults }));
                    all.push((end, Action::Set { link: link.clone(), faults: clear }));
                }
                FaultKind::Reset { link, every_ms: None } => {
                    all.push((start, Action::Reset { link: link.clone() }))
                }
                FaultKind::Reset { link, every_ms: Some(every) } => {
                    let mut t = start;
                    while t < end.max(start + 1) && all.len() < MOST_FAULTS * 4 {
                        all.push((t, Action::Reset { link: link.clone() }));
                        t += every;
                    }
                }
                FaultKind::Partition { a, b, one_way } => {
                    for (link, one_way) in self.cut_by(a, b, *one_way) {
                        let cut = Faults { cut: true, one_way, ..clear };
                        all.push((start, Action::Set { link: link.clone(), faults: cut }));
                        all.push((end, Action::Set { link, faults: clear }));
                    }
                    let ways = self.ways_cut_by(a, b, *one_way);
                    if !ways.is_empty() {
                        let cut = DatagramFaults { cut: true, ..DatagramFaults::default() };
                        all.push((start, Action::Peers { ways: ways.clone(), faults: cut }));
                        all.push((end, Action::Peers { ways, faults: DatagramFaults::default() }));
                    }
                }
                FaultKind::Datagrams { ways, faults, flap_ms } => {
                    let (mut t, mut on) = (start, true);
                    while t < end && all.len() < MOST_FAULTS * 4 {
                        let faults = if on { *faults } else { DatagramFaults::default() };
                        all.push((t, Action::Peers { ways: ways.clone(), faults }));
                        (t, on) = (t + flap_ms.unwrap_or(end - start), !on);
                    }
                    all.push((end, Action::Peers { ways: ways.clone(), faults: DatagramFaults::default() }));
                }
                FaultKind::Pause { target } => {
                    all.push((start, Action::Pause(target.clone())));
                    all.push((end, Action::Continue(target.clone())));
                }
                FaultKind::Kill { target, restart_after_s } => {
                    all.push((start, Action::Kill(target.clone())));
                    if let Some(after) = restart_after_s {
                        all.push((ms(f.at_s + after), Action::Restart(target.clone())));
                    }
                }
                FaultKind::System { target, dials } => {
                    let off = dials.iter().map(|(dial, _)| (*dial, 0)).collect();
                    all.push((start, Action::System { target: target.clone(), dials: dials.clone() }));
                    all.push((end, Action::System { target: target.clone(), dials: off }));
                }
                FaultKind::Clock { target, ms } => {
                    let dials = vec![(Dial::WallOffsetUs, ms * 1000)];
                    all.push((start, Action::System { target: target.clone(), dials }));
                }
                FaultKind::Hangup { target } => all.push((start, Action::Hangup(target.clone()))),
            }
        }
        // Stable: of two actions at one time, the one written first comes first.
        all.sort_by_key(|(t, _)| *t);
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_default_cuts_one_matcher_from_the_vault_for_ten_seconds() {
        let s = Scenario::parse(DEFAULT).unwrap();
        assert_eq!((s.matchers, s.seconds, s.seed), (3, 60.0, 0x1f));
        assert_eq!(s.load.rate_at(25.0), 750.0);
        let cut = Faults { cut: true, ..Faults::default() };
        assert_eq!(
            s.timeline(),
            [
                (35_000, Action::Set { link: "m1-vault".into(), faults: cut }),
                (45_000, Action::Set { link: "m1-vault".into(), faults: Faults::default() })
            ]
        );
    }

    #[test]
    fn a_one_way_partition_cuts_only_its_way() {
        let s = Scenario::parse(r#"{"matchers":2}"#).unwrap();
        let (a, b) = (vec!["callers".to_string()], vec!["m2".to_string()]);
        assert_eq!(s.cut_by(&a, &b, true), [("callers-m2".to_string(), true)]);
        assert!(s.cut_by(&b, &a, true).is_empty(), "bytes from m2 to callers go back on a link");
        assert_eq!(s.cut_by(&b, &a, false), [("callers-m2".to_string(), false)]);
    }

    #[test]
    fn a_fleet_is_cut_and_flaps_between_its_members() {
        let s = Scenario::parse(
            r#"{"matchers":3,"fleet":{},"faults":[
                {"kind":"partition","at_s":1,"for_s":2,"a":["m1"],"b":["m2","m3"]},
                {"kind":"datagrams","at_s":4,"for_s":2,"from":["m1"],"to":["m2"],"one_way":true,"drop":1,"flap_ms":1000}]}"#,
        )
        .unwrap();
        let cut = DatagramFaults { cut: true, ..DatagramFaults::default() };
        let (drop, none) =
            (DatagramFaults { drop: 1.0, ..DatagramFaults::default() }, DatagramFaults::default());
        let both = vec![(0, 1), (0, 2), (1, 0), (2, 0)];
        let peers = |ways: &[(usize, usize)], faults| Action::Peers { ways: ways.to_vec(), faults };
        assert_eq!(
            s.timeline(),
            [
                (1000, peers(&both, cut)),
                (3000, peers(&both, none)),
                (4000, peers(&[(0, 1)], drop)),
                (5000, peers(&[(0, 1)], none)),
                (6000, peers(&[(0, 1)], none)),
            ]
        );
        let e = Scenario::parse(r#"{"faults":[{"kind":"datagrams","at_s":1,"from":["m1"],"to":["m2"]}]}"#);
        assert!(e.unwrap_err().to_string().starts_with("faults[0].kind"));
    }

    #[test]
    fn errors_name_the_key() {
        let bad = [
            (r#"{"matchers":0}"#, "matchers"),
            (r#"{"seed":"zz"}"#, "seed"),
            (r#"{"load":{"rate":40000,"burst":{"at_s":1,"for_s":1,"times":3}}}"#, "load.rate"),
            (r#"{"faults":[{"kind":"cut","at_s":1,"link":"m9-vault"}]}"#, "faults[0].link"),
            (r#"{"faults":[{"kind":"kill","at_s":1,"target":"vault"}]}"#, "faults[0].target"),
            (r#"{"faults":[{"kind":"melt","at_s":1}]}"#, "faults[0].kind"),
            (r#"{"load":{"keyed_share":2}}"#, "load.keyed_share"),
        ];
        for (text, key) in bad {
            let e = Scenario::parse(text).unwrap_err();
            assert!(e.to_string().starts_with(key), "{text}: {e}");
        }
    }

    #[test]
    fn nobody_is_on_both_sides_of_a_partition() {
        let partition = |a: &str, b: &str| {
            let fault = format!(r#"{{"kind":"partition","a":{a},"b":{b},"at_s":1,"for_s":1}}"#);
            Scenario::parse(&format!(r#"{{"matchers":3,"fleet":{{}},"faults":[{fault}]}}"#))
        };
        assert!(partition(r#"["m1"]"#, r#"["m2","m3"]"#).is_ok());
        let e = partition(r#"["m1","m2"]"#, r#"["m3","m2"]"#).unwrap_err();
        assert_eq!(e, ScenarioError::BothSides { at: "faults[0].".into(), process: "m2".into() });
        assert!(e.to_string().starts_with("faults[0].b: `m2`"), "{e}");
    }

    #[test]
    fn a_reset_every_second_repeats_within_its_window() {
        let s = Scenario::parse(
            r#"{"faults":[{"kind":"reset","at_s":2,"for_s":3,"every_ms":1000,"link":"m1-agent"}]}"#,
        );
        let times: Vec<u64> = s.unwrap().timeline().into_iter().map(|(t, _)| t).collect();
        assert_eq!(times, [2000, 3000, 4000]);
    }
}
