//! What follows from the blocks that are closed.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::blocks::{Blocks, Tally};
use super::sequential::{ln_e_split, BatchMeans};
use super::{Evidence, Experiment, Verdict};

/// One arm against the control.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Comparison {
    pub(super) aim: BatchMeans,
    pub(super) bad: BatchMeans,
    /// The greatest logarithms of evidence so far, for a p-value that never grows.
    most: (f64, f64),
}

/// What is kept of the blocks so far: a few figures an arm, however many blocks there were.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evaluation {
    closed: u64,
    pub(super) weighed: u64,
    pub(super) assigned: Vec<u64>,
    pub(super) arms: Vec<Comparison>,
    pub(super) most_split: f64,
}

/// The verdict at `now`, since the fleet's epoch. The blocks are gone through from the first one, and the first that
/// decides does: whoever asks later, with more blocks, hears the same. Time is linear in blocks and arms.
pub fn decide(experiment: &Experiment, blocks: &Blocks, now: Duration) -> Verdict {
    let mut evaluation = Evaluation::new(experiment);
    let decided = blocks.closed().iter().find_map(|block| evaluation.push(experiment, block));
    decided.unwrap_or_else(|| evaluation.verdict(experiment, now))
}

impl Evaluation {
    /// Before the first block.
    pub fn new(experiment: &Experiment) -> Self {
        let arms = experiment.arms.len();
        Self {
            closed: 0,
            weighed: 0,
            assigned: vec![0; arms],
            arms: vec![Comparison::default(); arms.saturating_sub(1)],
            most_split: 0.0,
        }
    }

    /// Blocks that were taken: the number of the next one.
    pub fn closed(&self) -> u64 {
        self.closed
    }

    /// Takes the next block, one tally an arm; the verdict if it decides. Within one block an invalid split comes before
    /// harm, and harm before a winner.
    ///
    /// - An arm wins at `alpha` over the number of comparisons (Bonferroni) where its interval lies over the control's;
    ///   of several such arms the one with the greatest estimate, which says nothing of their order. The control wins
    ///   where all of them lie below it.
    /// - Harm is weighed in the same way, on its own `harm_alpha`; the split on all subjects, at `split_alpha`.
    /// - A block in which an arm had no request gives no observation, and counts for the split only.
    /// - Where differences of neighbouring blocks hang together, they count as fewer ([`BatchMeans::effective`]), for waves of
    ///   up to [`Experiment::correlation_time`] blocks whether or not they are seen; there is no winner and no harm on fewer than
    ///   [`Experiment::min_evaluated_blocks`] blocks weighed.
    pub fn push(&mut self, experiment: &Experiment, block: &[Tally]) -> Option<Verdict> {
        let shares: Vec<f64> = experiment.arms.iter().map(|arm| arm.share).collect();
        self.closed += 1;
        for (sum, tally) in self.assigned.iter_mut().zip(block) {
            *sum = sum.saturating_add(tally.assigned);
        }
        self.most_split = self.most_split.max(ln_e_split(&self.assigned, &shares));
        let seen: Option<Vec<_>> =
            block.iter().map(|tally| Some((tally.on_time_share()?, tally.bad_share()?))).collect();
        if let Some((control, others)) = seen.as_deref().and_then(<[_]>::split_first) {
            self.weighed += 1;
            let wave = experiment.correlation_time();
            for (arm, c) in others.iter().zip(&mut self.arms) {
                c.aim.push(arm.0 - control.0);
                c.bad.push(arm.1 - control.1);
                c.most.0 = c.most.0.max(c.aim.ln_e(0.0, wave));
                c.most.1 = c.most.1.max(c.bad.ln_e(experiment.harm_margin, wave));
            }
        }
        if self.closed < experiment.least_blocks {
            return None;
        }
        if self.most_split >= -experiment.split_alpha.ln() {
            return Some(Verdict::Invalid { evidence: self.of_split(&shares) });
        }
        if self.weighed < experiment.min_evaluated_blocks() {
            return None;
        }
        self.of_arms(experiment)
    }

    fn of_arms(&self, experiment: &Experiment) -> Option<Verdict> {
        let comparisons = experiment.comparisons();
        let (alpha, harm_alpha) = (experiment.alpha / comparisons, experiment.harm_alpha / comparisons);
        let wave = experiment.correlation_time();
        let harms = |c: &Comparison| c.bad.interval(harm_alpha, wave).0 > experiment.harm_margin;
        let harmful = self.arms.iter().enumerate().filter(|(_, c)| harms(c));
        if let Some((arm, c)) = harmful.max_by(|a, b| a.1.bad.mean().total_cmp(&b.1.bad.mean())) {
            let (null, levels) = (experiment.harm_margin, (harm_alpha, comparisons));
            let evidence = evidence(&c.bad, null, c.most.1, levels, (wave, self.weighed));
            return Some(Verdict::Harm { arm: arm + 1, evidence });
        }
        let better = self.arms.iter().enumerate().filter(|(_, c)| c.aim.interval(alpha, wave).0 > 0.0);
        if let Some((arm, c)) = better.max_by(|a, b| a.1.aim.mean().total_cmp(&b.1.aim.mean())) {
            return Some(Verdict::Winner { arm: arm + 1, evidence: self.in_aim(experiment, c) });
        }
        let below = |c: &Comparison| c.aim.interval(alpha, wave).1 < 0.0;
        let closest = self.arms.iter().max_by(|a, b| a.aim.mean().total_cmp(&b.aim.mean()))?;
        let control = self.arms.iter().all(below);
        control.then(|| Verdict::Winner { arm: 0, evidence: self.in_aim(experiment, closest) })
    }

    /// The verdict at `now`, where no block decided: there is no winner once every block is closed, or at the end and
    /// grace where no quorum told. Members that are not heard can keep a winner from being found, and cannot make one.
    pub fn verdict(&self, experiment: &Experiment, now: Duration) -> Verdict {
        let most = self.arms.iter().max_by(|a, b| a.most.0.total_cmp(&b.most.0));
        let evidence = self.in_aim(experiment, &most.cloned().unwrap_or_default());
        if self.closed >= experiment.blocks() || now >= experiment.deadline() {
            return Verdict::NoWinner { evidence };
        }
        Verdict::Continue { evidence }
    }

    fn in_aim(&self, experiment: &Experiment, c: &Comparison) -> Evidence {
        let comparisons = experiment.comparisons();
        let levels = (experiment.alpha / comparisons, comparisons);
        evidence(&c.aim, 0.0, c.most.0, levels, (experiment.correlation_time(), self.weighed))
    }

    fn of_split(&self, shares: &[f64]) -> Evidence {
        let all: f64 = self.assigned.iter().map(|n| *n as f64).sum();
        let off = self.assigned.iter().zip(shares).map(|(n, share)| *n as f64 / all - share);
        Evidence {
            blocks: self.weighed,
            estimate: off.max_by(|a, b| a.abs().total_cmp(&b.abs())).unwrap_or(0.0),
            interval: (-1.0, 1.0),
            p_value: (-self.most_split).exp().min(1.0),
            e_value: self.most_split.exp().min(f64::MAX),
        }
    }
}

/// All finite, so that JSON can hold it: a difference of shares lies between -1 and 1.
fn evidence(
    of: &BatchMeans,
    null: f64,
    most: f64,
    (alpha, comparisons): (f64, f64),
    (wave, blocks): (f64, u64),
) -> Evidence {
    let (low, high) = of.interval(alpha, wave);
    Evidence {
        blocks,
        estimate: of.mean(),
        interval: (low.max(-1.0), high.min(1.0)),
        p_value: (comparisons * (-most).exp()).min(1.0),
        e_value: of.ln_e(null, wave).exp().min(f64::MAX),
    }
}
