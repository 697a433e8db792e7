//! Blocks: an observation is what the fleet counted in one block of time, a [`Tally`] per arm. A block is closed once
//! enough members have reported it. A closed block never changes, so that every later evaluation has the same result.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::counts::{Cell, Counts, Kind};
use super::Experiment;

/// The counts of one arm in one block, summed over the members that reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Subjects assigned to the arm.
    pub assigned: u64,
    /// Requests served within their target latency.
    pub served: u64,
    /// Requests served later than that.
    pub late: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests refused.
    #[serde(rename = "turned_away")]
    pub refused: u64,
}

impl Tally {
    /// The largest of the counts.
    pub fn max_count(&self) -> u64 {
        let all = [self.assigned, self.served, self.late, self.failed, self.refused];
        all.into_iter().max().unwrap_or(0)
    }

    fn requests(&self) -> f64 {
        [self.served, self.late, self.failed, self.refused].into_iter().map(|n| n as f64).sum()
    }

    /// The share of requests served within their target latency; none without requests.
    pub fn on_time_share(&self) -> Option<f64> {
        (self.requests() > 0.0).then(|| self.served as f64 / self.requests())
    }

    /// The share of requests that failed or were late; none without requests.
    pub fn bad_share(&self) -> Option<f64> {
        (self.requests() > 0.0).then(|| (self.failed as f64 + self.late as f64) / self.requests())
    }
}

/// The closed blocks in order of time, each with one tally per arm.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blocks(Vec<Vec<Tally>>);

impl Blocks {
    /// Blocks from given tallies, such as those of a file or a simulation.
    pub fn new(closed: Vec<Vec<Tally>>) -> Self {
        Self(closed)
    }

    /// The closed blocks.
    pub fn closed(&self) -> &[Vec<Tally>] {
        &self.0
    }

    /// Closes all blocks that can be closed at `now` and returns their number: see [`close`].
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

/// The tallies of `block`, one per arm, if the block can be closed at `now`: it has ended, a majority of `members` has
/// reported it, and either all members have or the grace period has passed. A member that has not reported is left out
/// of the block for every arm, and its later reports of the block are ignored.
///
/// An incarnation that ended before it reported a block contributes nothing to any arm. Its member counts as having
/// reported once a later incarnation has: otherwise a block in which most of the fleet restarted would never close.
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
    let reported: Vec<_> = counts
        .incarnations()
        .filter(|(member, final_blocks)| *final_blocks > block && members.contains(&member.0))
        .map(|(member, _)| member)
        .collect();
    let reporting = reported.iter().map(|member| &member.0).collect::<BTreeSet<_>>().len();
    let grace_passed = now >= end.saturating_add(Duration::from_millis(experiment.grace_ms));
    if reporting <= members.len() / 2 || (reporting < members.len() && !grace_passed) {
        return None;
    }
    let tally = |arm: u8| {
        let total = |kind| {
            let cell = Cell { block, arm, kind };
            reported.iter().fold(0u64, |sum, member| sum.saturating_add(counts.get(member, cell)))
        };
        Tally {
            assigned: total(Kind::Assigned),
            served: total(Kind::Served),
            late: total(Kind::Late),
            failed: total(Kind::Failed),
            refused: total(Kind::Refused),
        }
    };
    Some((0..experiment.arms.len() as u8).map(tally).collect())
}
