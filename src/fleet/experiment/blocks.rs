//! Observations: what the fleet counted in one block of time, once enough of it told. A block that is closed stays as it
//! is, so that what follows from it is the same whenever it is asked.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::counts::{Cell, Counts, Kind};
use super::Experiment;

/// What one arm had in one block, over the members that told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Subjects put in the arm.
    pub assigned: u64,
    /// Served within their aim.
    pub served: u64,
    /// Served after it.
    pub late: u64,
    /// Failed.
    pub failed: u64,
    /// Turned away.
    #[serde(rename = "turned_away")]
    pub refused: u64,
}

impl Tally {
    /// The greatest of its counts.
    pub fn max_count(&self) -> u64 {
        let all = [self.assigned, self.served, self.late, self.failed, self.refused];
        all.into_iter().max().unwrap_or(0)
    }

    fn requests(&self) -> f64 {
        [self.served, self.late, self.failed, self.refused].into_iter().map(|n| n as f64).sum()
    }

    /// The share served within its aim, of all requests; none without requests.
    pub fn on_time_share(&self) -> Option<f64> {
        (self.requests() > 0.0).then(|| self.served as f64 / self.requests())
    }

    /// The share that failed or was late, of all requests; none without requests.
    pub fn bad_share(&self) -> Option<f64> {
        (self.requests() > 0.0).then(|| (self.failed as f64 + self.late as f64) / self.requests())
    }
}

/// Blocks that are closed, in order of time. Each holds one tally an arm.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blocks(Vec<Vec<Tally>>);

impl Blocks {
    /// Of tallies from elsewhere, such as a file or a play.
    pub fn new(closed: Vec<Vec<Tally>>) -> Self {
        Self(closed)
    }

    /// What is closed.
    pub fn closed(&self) -> &[Vec<Tally>] {
        &self.0
    }

    /// Closes what can be at `now`, and returns how many blocks that were: see [`close`].
    pub fn close(
        &mut self,
        experiment: &Experiment,
        counts: &Counts,
        members: &BTreeSet<String>,
        now: Duration,
    ) -> usize {
        let before = self.0.len();
        while let Some(block) = close(experiment, counts, members, now, self.0.len() as u64) {
            self.0.push(block);
        }
        self.0.len() - before
    }
}

/// The tallies of `block`, one an arm, if it can be closed at `now`: it is over, told by a majority of `members`, and told
/// by all of them or over for the grace. Who did not tell is left out of the block for every arm; what comes later of it
/// is not taken in.
///
/// A life that ended before it told of a block gives nothing to it, for any arm. Its member counts as heard once a later
/// life told: else a block in which most of the fleet restarted would never close.
pub fn close(
    experiment: &Experiment,
    counts: &Counts,
    members: &BTreeSet<String>,
    now: Duration,
    block: u64,
) -> Option<Vec<Tally>> {
    let end = experiment.end_of(block);
    if block >= experiment.blocks() || now < end {
        return None;
    }
    let told: Vec<_> = counts
        .incarnations()
        .filter(|(life, told)| *told > block && members.contains(&life.0))
        .map(|(life, _)| life)
        .collect();
    let heard = told.iter().map(|life| &life.0).collect::<BTreeSet<_>>().len();
    let waited = now >= end.saturating_add(Duration::from_millis(experiment.grace_ms));
    if heard <= members.len() / 2 || (heard < members.len() && !waited) {
        return None;
    }
    let tally = |arm: u8| {
        let of = |kind| {
            let cell = Cell { block, arm, kind };
            told.iter().fold(0u64, |sum, life| sum.saturating_add(counts.get(life, cell)))
        };
        Tally {
            assigned: of(Kind::Assigned),
            served: of(Kind::Served),
            late: of(Kind::Late),
            failed: of(Kind::Failed),
            refused: of(Kind::Refused),
        }
    };
    Some((0..experiment.arms.len() as u8).map(tally).collect())
}
