//! The invariants, looked at after each tick. Each is shown to find something by a fault that is planted
//! (`tests/simulation.rs`).

use std::collections::BTreeMap;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use super::machine::{name, Machine, Seen};
use super::net::Host;
use crate::fleet::routes::record::Stage;
use crate::fleet::state_machine::State;

/// What must hold at each moment, and after the heal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Nobody acts on a turn once anybody acted on a higher one; one turn has one version.
    OneVersion,
    /// No lease reaches past the moment of a switch at a member that does not know it.
    Lease,
    /// An experiment ends once.
    OneDecision,
    /// What was acknowledged is in the record, and all voters have the same at the same place of the log.
    Kept,
    /// The calls of a key go out under one fence.
    OneKey,
    /// The membership's views agree within a stated time of the heal.
    Views,
    /// All members act on one version again within a stated time of the heal, and no activation is left open.
    Heals,
}

/// All of them.
pub const RULES: [Rule; 7] =
    [Rule::OneVersion, Rule::Lease, Rule::OneDecision, Rule::Kept, Rule::OneKey, Rule::Views, Rule::Heals];

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Break {
    pub at_us: u64,
    pub rule: Rule,
    pub what: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {}.{:03} ms: {}", self.rule, self.at_us / 1000, self.at_us % 1000, self.what)
    }
}

/// What an operator was told is done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Version(u64),
    Turn(u64),
    Started(String),
    Stopped(String),
}

impl Told {
    fn is_in(&self, state: &State) -> bool {
        let (routes, experiments) = (&state.routes, &state.experiments);
        let ended = |name: &str| experiments.history().any(|past| past.experiment.name == name);
        match self {
            Self::Version(version) => routes.table(*version).is_some(),
            Self::Turn(turn) => {
                routes.open_activation().is_some_and(|run| run.activation.fence.turn == *turn)
                    || routes.history().any(|past| past.fence.turn == *turn)
            }
            Self::Started(name) => {
                experiments.running_experiment().is_some_and(|r| r.experiment.name == *name) || ended(name)
            }
            Self::Stopped(name) => ended(name),
        }
    }
}

/// What was seen of a fleet so far.
#[derive(Debug, Default)]
pub struct Judge {
    /// The highest turn that anybody acted on, and who.
    newest: (u64, Host),
    versions: BTreeMap<u64, u64>,
    /// The state at each place of the log.
    states: BTreeMap<u64, u64>,
    looked: BTreeMap<Host, (u64, u64)>,
    ends: BTreeMap<String, u64>,
    pub told: Vec<Told>,
    only: Option<Rule>,
    /// Who led in a term, by the part of the routes.
    leaders: BTreeMap<u64, (Host, u64)>,
    /// The highest term in which a leader was ready, and how much was told by then.
    ready: u64,
    /// When a clock that was set may break the first two rules, as docs/routes.md says: from and to.
    pub tainted: Vec<(u64, u64)>,
    pub switches: u64,
}

fn digest(of: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}

impl Judge {
    /// Looks at one rule only, or at all of them.
    pub fn of(only: Option<Rule>) -> Self {
        Self { only, ..Self::default() }
    }

    /// Looks at a fleet after a tick.
    pub fn look(&mut self, now: u64, machines: &[Machine], seen: &[(Host, Seen)]) -> Option<Break> {
        let only = self.only;
        let broken = |rule, what| only.is_none_or(|o| o == rule).then_some(Break { at_us: now, rule, what });
        for (host, seen) in seen {
            if let Some((key, first, then)) = seen.two {
                let what = format!(
                    "a call of key {key} at {} under {then:?} after one under {first:?}",
                    name(*host)
                );
                return broken(Rule::OneKey, what);
            }
            let Some(fence) = seen.acts else { continue };
            self.switches += u64::from(seen.changed);
            if *self.versions.entry(fence.turn).or_insert(fence.version) != fence.version {
                return broken(
                    Rule::OneVersion,
                    format!("{} has turn {} with another version", name(*host), fence.turn),
                );
            }
            if fence.turn > self.newest.0 {
                self.newest = (fence.turn, *host);
            }
        }
        let tainted = self.tainted.iter().any(|(from, to)| (*from..*to).contains(&now));
        for (host, seen) in seen.iter().filter(|_| !tainted) {
            if let Some(fence) = seen.acts.filter(|fence| fence.turn < self.newest.0) {
                let (newest, first) = (self.newest.0, name(self.newest.1));
                let what =
                    format!("{} acts on turn {} after {first} did on {newest}", name(*host), fence.turn);
                return broken(Rule::OneVersion, what);
            }
        }
        for machine in machines {
            let Some(life) = &machine.life else { continue };
            if let Some(term) = life.inside.leading_term() {
                self.leaders.insert(term, (machine.host, life.incarnation));
            }
            let Some((standing, applied, state)) = life.inside.record_state() else { continue };
            if let Some(what) = self.record(machine.host, applied, &state) {
                return broken(what.0, what.1);
            }
            if standing.leads && standing.term > self.ready {
                self.ready = standing.term;
                if let Some(lost) = self.told.iter().find(|told| !told.is_in(&state)) {
                    let leader = name(machine.host);
                    return broken(
                        Rule::Kept,
                        format!("{lost:?} was told, and {leader} leads term {} without it", standing.term),
                    );
                }
            }
        }
        if tainted {
            return None;
        }
        self.leases(machines).and_then(|what| broken(Rule::Lease, what))
    }

    /// One voter's record.
    fn record(&mut self, host: Host, applied: u64, state: &Arc<State>) -> Option<(Rule, String)> {
        let at = (applied, Arc::as_ptr(state) as usize as u64);
        if self.looked.insert(host, at) == Some(at) {
            return None;
        }
        for past in state.experiments.history() {
            let end = digest(&format!("{:?}", past.end));
            let first = *self.ends.entry(past.experiment.name.clone()).or_insert(end);
            if first != end {
                let what =
                    format!("{} has another end of {}: {:?}", name(host), past.experiment.name, past.end);
                return Some((Rule::OneDecision, what));
            }
        }
        let bytes = postcard::to_allocvec(&**state).unwrap_or_default();
        let here = digest(&bytes);
        if *self.states.entry(applied).or_insert(here) != here {
            return Some((Rule::Kept, format!("{} has another state after {applied} entries", name(host))));
        }
        None
    }

    /// No lease past the moment of a commit at a member that does not know it, where the leader of its term still runs.
    fn leases(&self, machines: &[Machine]) -> Option<String> {
        let leads = |m: &&Machine| m.life.as_ref().is_some_and(|life| life.inside.leading_term().is_some());
        let leader = machines
            .iter()
            .filter(leads)
            .max_by_key(|m| m.life.as_ref().and_then(|l| l.inside.leading_term()))?;
        let life = leader.life.as_ref().filter(|life| !life.stopped())?;
        let (_, _, state) = life.inside.record_state()?;
        let run = state.routes.open_activation()?;
        let Stage::Committed(stamp) = run.stage else { return None };
        if self.leaders.get(&stamp.term) != Some(&(leader.host, life.incarnation)) {
            return None;
        }
        let left = stamp.at.saturating_sub(life.now());
        if left <= Duration::from_millis(1) {
            return None;
        }
        let turn = run.activation.fence.turn;
        for machine in machines {
            // A clock that is looked at while its process is stopped shows too little.
            let Some(life) = machine.life.as_ref().filter(|life| !life.stopped()) else { continue };
            let (lease, switch) = life.inside.lease_and_switch();
            // Both clocks drift by at most 90 ppm.
            let most = life.now() + left + left / 5000;
            if lease.until() > most && switch.is_none_or(|(knows, _)| knows < turn) {
                let past = lease.until() - most;
                return Some(format!(
                    "{} has a lease {past:?} past the moment of turn {turn}",
                    name(machine.host)
                ));
            }
        }
        None
    }

    /// What is not as it must be some time after the heal.
    pub fn healed(&self, machines: &[Machine]) -> Result<(), (Rule, String)> {
        let mut living = Vec::new();
        for machine in machines {
            let Some(life) = &machine.life else {
                return Err((Rule::Heals, format!("{} does not run", name(machine.host))));
            };
            living.push(life.member.id().clone());
        }
        living.sort_by(|a, b| a.name.cmp(&b.name));
        for machine in machines {
            let Some(life) = &machine.life else { continue };
            let own = name(machine.host);
            let up = life.up();
            if up != living {
                let names: Vec<_> = up.iter().map(|id| &*id.name).collect();
                return Err((Rule::Views, format!("{own} sees {names:?}")));
            }
            let Some(fence) = life.acts() else {
                let known = life.within(|inside| inside.document());
                return Err((Rule::Heals, format!("{own} has no lease: {known}")));
            };
            if fence.turn != self.newest.0 {
                return Err((
                    Rule::Heals,
                    format!("{own} acts on turn {}, not {}", fence.turn, self.newest.0),
                ));
            }
            if let Some((standing, _, state)) = life.inside.record_state() {
                if state.routes.open_activation().is_some() {
                    return Err((Rule::Heals, format!("an activation is open at {own}, {standing:?}")));
                }
                if let Some(lost) = self.told.iter().find(|told| !told.is_in(&state)) {
                    return Err((Rule::Kept, format!("{lost:?} was told, and {own} is without it")));
                }
            } else if life.votes() {
                return Err((Rule::Heals, format!("{own} has no record")));
            }
        }
        Ok(())
    }
}
