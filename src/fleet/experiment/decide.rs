//! The sequential evaluation of closed blocks, and the verdict that follows from it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::blocks::{Blocks, Tally};
use super::sequential::{ln_e_split, BatchMeans};
use super::{Evidence, Experiment, Verdict};

/// The comparison of one arm with the control.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Comparison {
    /// Differences of the share of requests served on time.
    #[serde(rename = "aim")]
    pub(super) on_time: BatchMeans,
    /// Differences of the share of failed and late requests.
    #[serde(rename = "bad")]
    pub(super) bad_outcomes: BatchMeans,
    /// The greatest ln e-values of both so far, for p-values that never increase.
    #[serde(rename = "most")]
    max_ln_e: (f64, f64),
}

/// The running statistics of the closed blocks. The size per arm grows only with the logarithm of the number of blocks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evaluation {
    closed: u64,
    #[serde(rename = "weighed")]
    pub(super) evaluated: u64,
    pub(super) assigned: Vec<u64>,
    pub(super) arms: Vec<Comparison>,
    /// The greatest ln e-value against the split so far.
    #[serde(rename = "most_split")]
    pub(super) max_split_ln_e: f64,
}

/// The verdict at `now`, since the Unix epoch. The blocks are evaluated in order, and the first block that decides
/// determines the verdict: later calls with more blocks return the same. The time is linear in blocks and arms.
pub fn decide(experiment: &Experiment, blocks: &Blocks, now: Duration) -> Verdict {
    let mut evaluation = Evaluation::new(experiment);
    let decided = blocks.closed().iter().find_map(|block| evaluation.push(experiment, block));
    decided.unwrap_or_else(|| evaluation.verdict(experiment, now))
}

impl Evaluation {
    /// The state before the first block.
    pub fn new(experiment: &Experiment) -> Self {
        let arms = experiment.arms.len();
        Self {
            closed: 0,
            evaluated: 0,
            assigned: vec![0; arms],
            arms: vec![Comparison::default(); arms.saturating_sub(1)],
            max_split_ln_e: 0.0,
        }
    }

    /// The number of blocks added, which is the index of the next one.
    pub fn closed(&self) -> u64 {
        self.closed
    }

    /// Adds the next block, with one tally per arm, and returns the verdict if this block decides. Within one block an
    /// invalid split takes precedence over harm, and harm over a winner.
    ///
    /// - An arm wins if the confidence interval of its difference from the control, at `alpha` divided by the number of
    ///   comparisons (Bonferroni), lies above 0. Of several such arms the one with the greatest estimate wins, which
    ///   does not imply that it is better than the others. The control wins if the intervals of all arms lie below 0.
    /// - Harm is tested in the same way at `harm_alpha`, and the split over all subjects at `split_alpha`.
    /// - A block in which an arm had no request gives no observation and counts only for the split.
    /// - Autocorrelated differences of neighbouring blocks count as fewer independent ones
    ///   ([`BatchMeans::effective_size`]). A correlation time of up to [`Experiment::correlation_time`] blocks is
    ///   assumed even if it does not show. There is no winner and no harm on fewer than
    ///   [`Experiment::min_evaluated_blocks`] evaluated blocks.
    pub fn push(&mut self, experiment: &Experiment, block: &[Tally]) -> Option<Verdict> {
        let shares: Vec<f64> = experiment.arms.iter().map(|arm| arm.share).collect();
        self.closed += 1;
        for (sum, tally) in self.assigned.iter_mut().zip(block) {
            *sum = sum.saturating_add(tally.assigned);
        }
        self.max_split_ln_e = self.max_split_ln_e.max(ln_e_split(&self.assigned, &shares));
        let shares_by_arm: Option<Vec<_>> =
            block.iter().map(|tally| Some((tally.on_time_share()?, tally.bad_share()?))).collect();
        if let Some((control, others)) = shares_by_arm.as_deref().and_then(<[_]>::split_first) {
            self.evaluated += 1;
            let correlation_time = experiment.correlation_time();
            for (arm, c) in others.iter().zip(&mut self.arms) {
                c.on_time.push(arm.0 - control.0);
                c.bad_outcomes.push(arm.1 - control.1);
                c.max_ln_e.0 = c.max_ln_e.0.max(c.on_time.ln_e(0.0, correlation_time));
                c.max_ln_e.1 =
                    c.max_ln_e.1.max(c.bad_outcomes.ln_e(experiment.harm_margin, correlation_time));
            }
        }
        if self.closed < experiment.least_blocks {
            return None;
        }
        if self.max_split_ln_e >= -experiment.split_alpha.ln() {
            return Some(Verdict::Invalid { evidence: self.split_evidence(&shares) });
        }
        if self.evaluated < experiment.min_evaluated_blocks() {
            return None;
        }
        self.arm_verdict(experiment)
    }

    fn arm_verdict(&self, experiment: &Experiment) -> Option<Verdict> {
        let comparisons = experiment.comparisons();
        let (alpha, harm_alpha) = (experiment.alpha / comparisons, experiment.harm_alpha / comparisons);
        let correlation_time = experiment.correlation_time();
        let harms =
            |c: &Comparison| c.bad_outcomes.interval(harm_alpha, correlation_time).0 > experiment.harm_margin;
        let harmful = self.arms.iter().enumerate().filter(|(_, c)| harms(c));
        if let Some((arm, c)) =
            harmful.max_by(|a, b| a.1.bad_outcomes.mean().total_cmp(&b.1.bad_outcomes.mean()))
        {
            let (null, levels) = (experiment.harm_margin, (harm_alpha, comparisons));
            let evidence =
                evidence(&c.bad_outcomes, null, c.max_ln_e.1, levels, (correlation_time, self.evaluated));
            return Some(Verdict::Harm { arm: arm + 1, evidence });
        }
        let better =
            self.arms.iter().enumerate().filter(|(_, c)| c.on_time.interval(alpha, correlation_time).0 > 0.0);
        if let Some((arm, c)) = better.max_by(|a, b| a.1.on_time.mean().total_cmp(&b.1.on_time.mean())) {
            return Some(Verdict::Winner { arm: arm + 1, evidence: self.on_time_evidence(experiment, c) });
        }
        let below = |c: &Comparison| c.on_time.interval(alpha, correlation_time).1 < 0.0;
        let closest = self.arms.iter().max_by(|a, b| a.on_time.mean().total_cmp(&b.on_time.mean()))?;
        let control_wins = self.arms.iter().all(below);
        control_wins.then(|| Verdict::Winner { arm: 0, evidence: self.on_time_evidence(experiment, closest) })
    }

    /// The verdict at `now` if no block has decided. There is no winner once every block is closed, or after the end
    /// and the grace period if no majority has reported. Missing reports can prevent a winner but cannot produce one.
    pub fn verdict(&self, experiment: &Experiment, now: Duration) -> Verdict {
        let strongest = self.arms.iter().max_by(|a, b| a.max_ln_e.0.total_cmp(&b.max_ln_e.0));
        let evidence = self.on_time_evidence(experiment, &strongest.cloned().unwrap_or_default());
        if self.closed >= experiment.blocks() || now >= experiment.deadline() {
            return Verdict::NoWinner { evidence };
        }
        Verdict::Continue { evidence }
    }

    fn on_time_evidence(&self, experiment: &Experiment, c: &Comparison) -> Evidence {
        let comparisons = experiment.comparisons();
        let levels = (experiment.alpha / comparisons, comparisons);
        evidence(&c.on_time, 0.0, c.max_ln_e.0, levels, (experiment.correlation_time(), self.evaluated))
    }

    fn split_evidence(&self, shares: &[f64]) -> Evidence {
        let total: f64 = self.assigned.iter().map(|n| *n as f64).sum();
        let deviations = self.assigned.iter().zip(shares).map(|(n, share)| *n as f64 / total - share);
        Evidence {
            blocks: self.evaluated,
            estimate: deviations.max_by(|a, b| a.abs().total_cmp(&b.abs())).unwrap_or(0.0),
            interval: (-1.0, 1.0),
            p_value: (-self.max_split_ln_e).exp().min(1.0),
            e_value: self.max_split_ln_e.exp().min(f64::MAX),
        }
    }
}

/// The evidence with only finite numbers, which JSON can represent: a difference of shares lies between -1 and 1.
fn evidence(
    differences: &BatchMeans,
    null: f64,
    max_ln_e: f64,
    (alpha, comparisons): (f64, f64),
    (correlation_time, blocks): (f64, u64),
) -> Evidence {
    let (low, high) = differences.interval(alpha, correlation_time);
    Evidence {
        blocks,
        estimate: differences.mean(),
        interval: (low.max(-1.0), high.min(1.0)),
        p_value: (comparisons * (-max_ln_e).exp()).min(1.0),
        e_value: differences.ln_e(null, correlation_time).exp().min(f64::MAX),
    }
}
