//! `hopwalk lab simulate`: plays a range of seeds, and for one that fails prints what it takes to see why.

use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use miette::Diagnostic;
use thiserror::Error;

use super::{play, shrink, Outcome, Plan};

/// Members of a fleet at most.
pub const MOST: u64 = 1_024;
/// Seeds of one call at most.
pub const MOST_SEEDS: u64 = 1_000_000;

/// Seeds from the first to the one before the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seeds {
    pub from: u64,
    pub to: u64,
}

/// Why a range of seeds is none.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum SeedsError {
    /// Not two numbers.
    #[error("not a range of seeds: {said:?}")]
    #[diagnostic(help("say A..B, such as 0..100, for the seeds from A to B - 1"))]
    Form {
        /// What was said.
        said: String,
    },
    /// None, or too many.
    #[error("{count} seeds")]
    #[diagnostic(help("1 to {MOST_SEEDS} at once"))]
    Count {
        /// How many.
        count: u64,
    },
}

impl FromStr for Seeds {
    type Err = SeedsError;

    fn from_str(said: &str) -> Result<Self, SeedsError> {
        let ends = said.split_once("..").and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
        let (from, to): (u64, u64) = ends.ok_or_else(|| SeedsError::Form { said: said.into() })?;
        match to.saturating_sub(from) {
            1..=MOST_SEEDS => Ok(Self { from, to }),
            count => Err(SeedsError::Count { count }),
        }
    }
}

/// What a sweep came to.
#[derive(Debug, Default)]
pub struct Sum {
    pub plays: u64,
    pub failed: Vec<u64>,
    pub ms: u64,
    pub switches: u64,
    pub told: usize,
    pub crashes: u64,
    pub unsynced: usize,
    pub verdicts: u64,
    pub slowest_heal_ms: u64,
}

impl Sum {
    fn add(&mut self, seed: u64, outcome: &Outcome) {
        self.plays += 1;
        self.failed.extend(outcome.broken.as_ref().map(|_| seed));
        self.ms += outcome.ms;
        self.switches += outcome.switches;
        self.told += outcome.told;
        self.crashes += outcome.crashes;
        self.unsynced += outcome.unsynced;
        self.verdicts += outcome.verdicts;
        self.slowest_heal_ms = self.slowest_heal_ms.max(outcome.healed_ms);
    }
}

/// Plays all seeds, some at once, each on a thread of its own; `failed` is told of each play that broke a rule.
pub fn sweep(
    members: usize,
    seeds: Seeds,
    faults: bool,
    most_ms: u64,
    at_once: u64,
    failed: impl Fn(&Plan, &Outcome) + Sync,
) -> Sum {
    let (next, sum) = (AtomicU64::new(seeds.from), Mutex::new(Sum::default()));
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.to {
            return;
        }
        let plan = Plan::draw(members, seed, faults).until(most_ms);
        let outcome = play(&plan);
        if outcome.broken.is_some() {
            failed(&plan, &outcome);
        }
        sum.lock().unwrap_or_else(PoisonError::into_inner).add(seed, &outcome);
    };
    std::thread::scope(|scope| {
        for _ in 0..at_once {
            scope.spawn(work);
        }
    });
    let mut sum = sum.into_inner().unwrap_or_else(PoisonError::into_inner);
    sum.failed.sort_unstable();
    sum
}

/// What to print of a play that broke a rule: the rule, the last events, whether it breaks again exactly, and the shortest
/// plan that still breaks it.
pub fn explain(plan: &Plan, outcome: &Outcome) -> String {
    let Some(broken) = &outcome.broken else { return String::new() };
    let mut text = format!("seed {}: {broken}\n", plan.seed);
    outcome.last.iter().for_each(|line| text += &format!("  {line}\n"));
    let again = play(plan);
    text += match again == *outcome {
        true => "it breaks again exactly\n",
        false => "it does not break again exactly: build with --cfg tokio_unstable (.cargo/config.toml)\n",
    };
    let same = |plan: &Plan| play(plan).broken.is_some_and(|b| b.rule == broken.rule);
    let (short, plays) = shrink(plan, same);
    let (from, to) = (plan.events.len(), short.events.len());
    text += &format!("{from} events shrunk to {to} in {plays} plays:\n");
    short.events.iter().for_each(|event| text += &format!("  {event}\n"));
    if let Some(broken) = play(&short).broken {
        text += &format!("  then {broken}\n");
    }
    text
}

/// The command; false if a rule was broken.
pub fn simulate(members: usize, seeds: Seeds, faults: bool, most_ms: u64, at_once: u64) -> bool {
    let began = Instant::now();
    let failed = |plan: &Plan, outcome: &Outcome| println!("{}", explain(plan, outcome));
    let sum = sweep(members, seeds, faults, most_ms, at_once, failed);
    let (took, played) = (began.elapsed().as_secs_f64(), sum.ms as f64 / 1000.0);
    println!(
        "{} plays of {members} members, {played:.0} s simulated in {took:.1} s: {:.1} a second; {} crashes ({} operations \
         not synced), {} orders done, {} switches, {} verdicts, slowest heal {} ms; {} broke a rule {:?}",
        sum.plays,
        played / took,
        sum.crashes,
        sum.unsynced,
        sum.told,
        sum.switches,
        sum.verdicts,
        sum.slowest_heal_ms,
        sum.failed.len(),
        sum.failed
    );
    sum.failed.is_empty()
}
