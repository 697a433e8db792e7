//! Experiments that split subjects between the arms of a route table, and the rules that stop them. This module does no
//! I/O and uses no clock and no randomness: the time is an input, a [`Duration`] since the Unix epoch.
//!
//! - [`Experiment`] is the document of an experiment; [`assign`] computes the arm of a subject.
//! - [`counter`] counts subjects and outcomes at one matcher; [`counts`] merges the counts of all matchers.
//! - [`blocks`] turns the counts of one block of time into an observation once enough matchers have reported.
//! - [`collect`] is run by the leader and proposes closed blocks as log entries.
//! - [`sequential`] has the statistical tests, and [`decide`] derives the [`Verdict`] from the blocks.
//! - [`record`] is the replicated state of experiments, and [`summary`] describes it to operators.
//!
//! Arm 0 is the control. docs/experiments.md compares the alternatives to this design and has its measurements.

pub mod assign;
pub mod blocks;
pub mod collect;
pub mod counter;
pub mod counts;
pub mod decide;
pub mod record;
pub mod sequential;
pub mod summary;

use std::collections::BTreeSet;
use std::time::Duration;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};

/// Maximum number of arms, including the control. The minimum is two.
pub const MAX_ARMS: usize = 8;
/// Maximum number of blocks of an experiment.
pub const MAX_BLOCKS: u64 = 10_000;
/// Smallest permitted `least_blocks`: the variance cannot be estimated from fewer blocks.
pub const MIN_BLOCKS: u64 = 10;
/// Minimum number of evaluated blocks before a winner or harm, per block of the assumed correlation time.
pub const BLOCKS_PER_CORRELATION_TIME: u64 = 5;
/// Lower limit of the correlation time in blocks that the tests assume, however low `least_blocks` is.
pub const MIN_CORRELATION_TIME: u64 = 5;
/// Upper limit of the same. Outcomes with a longer correlation time need longer blocks.
pub const MAX_CORRELATION_TIME: u64 = 20;
/// Largest permitted significance level.
pub const MAX_ALPHA: f64 = 0.2;
/// Delay from the order to the start of an experiment whose document has no start, so that every matcher has received
/// it.
pub const START_DELAY: Duration = Duration::from_secs(2);
/// Maximum length of a name in bytes.
pub const MAX_NAME: usize = 64;
/// Permitted deviation of the sum of all shares from 1, for rounding.
const SHARE_TOLERANCE: f64 = 1e-6;

/// One variant of the routing, and the share of subjects that are assigned to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Its name, which is part of the assignment hash: a new name changes the assignment.
    pub name: String,
    /// The share of subjects, above 0 and below 1.
    pub share: f64,
}

/// The document of an experiment. Times are since the Unix epoch. [`Experiment::check`] validates it: all other
/// functions expect a valid document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// The hash key of the assignment: the same at every matcher, and a different one for each experiment.
    pub salt: [u64; 2],
    /// The control, followed by the arms that are compared with it.
    pub arms: Vec<Arm>,
    /// Significance level of a winner: the probability, over all arms, of a winner where the arms do not differ.
    pub alpha: f64,
    /// The same of a stop for harm that does not exist.
    pub harm_alpha: f64,
    /// The same of a fair split that is found invalid.
    pub split_alpha: f64,
    /// An arm does harm where its share of failed and late requests exceeds the control's by more than this margin;
    /// from 0 to below 1.
    pub harm_margin: f64,
    /// The start, in ms since the Unix epoch. 0 in an operator's document: [`Experiment::with_start`] sets it.
    pub start_ms: u64,
    /// The length of a block, 100 ms to 1 h.
    pub block_ms: u64,
    /// The maximum duration. Only whole blocks count; a remainder is ignored.
    pub longest_ms: u64,
    /// How long after its end a block waits for the reports of all members once a majority has reported, and how long
    /// the last block waits for a majority.
    pub grace_ms: u64,
    /// Minimum number of blocks before any decision. Divided by [`BLOCKS_PER_CORRELATION_TIME`] it is the assumed
    /// [`Experiment::correlation_time`].
    pub least_blocks: u64,
}

/// Why a document is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error, Diagnostic, Serialize, Deserialize)]
pub enum DocumentError {
    /// A name is empty or too long.
    #[error("the name {name:?} has {} bytes", name.len())]
    #[diagnostic(help("give a name of 1 to {MAX_NAME} bytes"))]
    Name {
        /// The name.
        name: String,
    },
    /// Too few or too many arms.
    #[error("there are {count} arms")]
    #[diagnostic(help("give 2 to {MAX_ARMS} arms, the control first"))]
    Arms {
        /// The number of arms.
        count: usize,
    },
    /// Two arms have the same name.
    #[error("two arms are named {name:?}")]
    #[diagnostic(help("give each arm a unique name: subjects are assigned by it"))]
    SameName {
        /// The name.
        name: String,
    },
    /// A share is out of bounds.
    #[error("the share of {arm:?} is {share}")]
    #[diagnostic(help(
        "give each arm a share above 0 and below 1; remove an arm that is to have no subjects"
    ))]
    Share {
        /// The arm.
        arm: String,
        /// Its share.
        share: f64,
    },
    /// The shares do not sum to 1.
    #[error("the shares sum to {sum}")]
    #[diagnostic(help("make the shares sum to 1: give the control the remainder"))]
    Sum {
        /// Their sum.
        sum: f64,
    },
    /// A significance level is out of bounds.
    #[error("{field} is {value}")]
    #[diagnostic(help("give a significance level above 0 and up to {MAX_ALPHA}, such as 0.05"))]
    Alpha {
        /// The key of the level.
        field: String,
        /// The value given.
        value: f64,
    },
    /// The margin is not a possible difference of shares.
    #[error("harm_margin is {value}")]
    #[diagnostic(help("give a margin from 0 to below 1, such as 0.02 for two in a hundred requests"))]
    Margin {
        /// The value given.
        value: f64,
    },
    /// The length of a block is out of bounds.
    #[error("block_ms is {value}")]
    #[diagnostic(help("give 100 to 3600000 ms: several times the correlation time of load and outcomes"))]
    Block {
        /// The value given.
        value: u64,
    },
    /// The maximum duration has too few or too many blocks.
    #[error("longest_ms holds {blocks} blocks, and least_blocks is {least}")]
    #[diagnostic(help("make it at least least_blocks and at most {MAX_BLOCKS} blocks of block_ms"))]
    Longest {
        /// Blocks in the maximum duration.
        blocks: u64,
        /// The value of `least_blocks`.
        least: u64,
    },
    /// `least_blocks` is too low.
    #[error("least_blocks is {value}")]
    #[diagnostic(help("ask for at least {MIN_BLOCKS} blocks before a decision"))]
    Least {
        /// The value given.
        value: u64,
    },
    /// The end including the grace period does not fit into 64 bits.
    #[error("start_ms, longest_ms and grace_ms together are too large")]
    #[diagnostic(help("give times in ms since the Unix epoch"))]
    Time,
}

impl Experiment {
    /// Checks that all values are within their bounds, and returns the first error found.
    ///
    /// # Errors
    /// Each of [`DocumentError`].
    pub fn check(&self) -> Result<(), DocumentError> {
        for name in self.arms.iter().map(|arm| &arm.name).chain([&self.name]) {
            if name.is_empty() || name.len() > MAX_NAME {
                return Err(DocumentError::Name { name: name.clone() });
            }
        }
        if !(2..=MAX_ARMS).contains(&self.arms.len()) {
            return Err(DocumentError::Arms { count: self.arms.len() });
        }
        let mut names = BTreeSet::new();
        for arm in &self.arms {
            if !names.insert(&arm.name) {
                return Err(DocumentError::SameName { name: arm.name.clone() });
            }
            if !(arm.share > 0.0 && arm.share < 1.0) {
                return Err(DocumentError::Share { arm: arm.name.clone(), share: arm.share });
            }
        }
        let sum: f64 = self.arms.iter().map(|arm| arm.share).sum();
        if (sum - 1.0).abs() > SHARE_TOLERANCE {
            return Err(DocumentError::Sum { sum });
        }
        let levels =
            [("alpha", self.alpha), ("harm_alpha", self.harm_alpha), ("split_alpha", self.split_alpha)];
        for (field, value) in levels {
            if !(value > 0.0 && value <= MAX_ALPHA) {
                return Err(DocumentError::Alpha { field: field.into(), value });
            }
        }
        if !(0.0..1.0).contains(&self.harm_margin) {
            return Err(DocumentError::Margin { value: self.harm_margin });
        }
        if !(100..=3_600_000).contains(&self.block_ms) {
            return Err(DocumentError::Block { value: self.block_ms });
        }
        if self.least_blocks < MIN_BLOCKS {
            return Err(DocumentError::Least { value: self.least_blocks });
        }
        let blocks = self.blocks();
        if !(self.least_blocks..=MAX_BLOCKS).contains(&blocks) {
            return Err(DocumentError::Longest { blocks, least: self.least_blocks });
        }
        let end = self.start_ms.checked_add(self.longest_ms).and_then(|end| end.checked_add(self.grace_ms));
        end.map(|_| ()).ok_or(DocumentError::Time)
    }

    /// Sets the start of a document with a `start_ms` of 0 to [`START_DELAY`] after `now`, which is since the Unix
    /// epoch. The member that accepts the order does this before it submits the entry to the log.
    #[must_use]
    pub fn with_start(mut self, now: Duration) -> Self {
        if self.start_ms == 0 {
            self.start_ms = u64::try_from(now.saturating_add(START_DELAY).as_millis()).unwrap_or(u64::MAX);
        }
        self
    }

    /// The number of whole blocks in the maximum duration.
    pub fn blocks(&self) -> u64 {
        self.longest_ms.checked_div(self.block_ms).unwrap_or(0)
    }

    /// The time at which block `block` ends.
    pub fn end_of(&self, block: u64) -> Duration {
        let after = self.block_ms.saturating_mul(block.saturating_add(1));
        Duration::from_millis(self.start_ms.saturating_add(after))
    }

    /// The end of the maximum duration and the grace period: from then on there is a verdict, whichever members
    /// reported.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.start_ms.saturating_add(self.longest_ms).saturating_add(self.grace_ms))
    }

    /// The block that contains `now`; none before the start and after the last block.
    pub fn block_at(&self, now: Duration) -> Option<u64> {
        let since = now.checked_sub(Duration::from_millis(self.start_ms))?.as_millis();
        let block = since.checked_div(u128::from(self.block_ms))?;
        u64::try_from(block).ok().filter(|block| *block < self.blocks())
    }

    /// The longest correlation time of an arm's outcomes in blocks, 1 / (1 - lag-1 autocorrelation), for which the
    /// significance levels hold: [`MIN_CORRELATION_TIME`] to [`MAX_CORRELATION_TIME`].
    pub fn correlation_time(&self) -> f64 {
        (self.least_blocks as f64 / BLOCKS_PER_CORRELATION_TIME as f64)
            .clamp(MIN_CORRELATION_TIME as f64, MAX_CORRELATION_TIME as f64)
    }

    /// Minimum number of evaluated blocks before a winner or harm, which may exceed `least_blocks`: an autocorrelation
    /// of the shortest assumed correlation time would not show in fewer blocks.
    pub fn min_evaluated_blocks(&self) -> u64 {
        self.least_blocks.max(BLOCKS_PER_CORRELATION_TIME * MIN_CORRELATION_TIME)
    }

    /// The number of arms that are compared with the control. The significance levels are divided by it (Bonferroni).
    pub fn comparisons(&self) -> f64 {
        self.arms.len().saturating_sub(1).max(1) as f64
    }
}

/// The statistics that a verdict is based on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Evaluated blocks: closed, with requests in every arm.
    pub blocks: u64,
    /// The arm's share minus the control's; of a split, the observed minus the configured share of the arm with the
    /// largest deviation.
    pub estimate: f64,
    /// The confidence interval of the estimate at the corrected level, from a confidence sequence. A split has none: it
    /// is the whole range.
    pub interval: (f64, f64),
    /// The p-value, valid at any time and corrected for the number of arms.
    pub p_value: f64,
    /// The e-value against the null hypothesis of this comparison, before correction.
    pub e_value: f64,
}

/// The result of the blocks closed so far.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// No decision yet.
    Continue {
        /// Of the arm with the strongest evidence so far.
        evidence: Evidence,
    },
    /// An arm serves a larger share of requests on time than the control, or the control than every other arm.
    Winner {
        /// The winner's index; 0 is the control.
        arm: usize,
        /// Of the comparison with the control; where the control won, of the arm closest to it.
        evidence: Evidence,
    },
    /// An arm's share of failed and late requests exceeds the control's by more than the margin.
    Harm {
        /// The arm's index.
        arm: usize,
        /// Of the comparison of failed and late requests.
        evidence: Evidence,
    },
    /// Subjects are not split by the configured shares, so the arms cannot be compared.
    Invalid {
        /// Of the split.
        evidence: Evidence,
    },
    /// The maximum duration passed without a decision.
    NoWinner {
        /// Of the arm with the strongest evidence.
        evidence: Evidence,
    },
}
