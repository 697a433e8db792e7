//! Experiments that split subjects between the arms of a route table, and when to stop them. No I/O, no clock and no
//! randomness: the time is an input, a [`Duration`] since an epoch that the fleet shares.
//!
//! [`assign`] says which arm a subject is in, [`counter`] what of it is counted at a matcher, [`counts`] holds what each
//! matcher counted, [`blocks`] makes observations of them once enough matchers told, [`collect`] has the leader put them
//! into the log, [`sequential`] weighs them, [`decide`] says what follows, [`record`] is what the fleet decided, and
//! [`summary`] tells operators why. Arm 0 is the control. docs/experiments.md has the ways that were weighed and what was measured.

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

/// Arms at most, the control included; two at least.
pub const MAX_ARMS: usize = 8;
/// Blocks at most that the longest duration may hold.
pub const MAX_BLOCKS: u64 = 10_000;
/// Blocks at least before a decision: fewer say too little of how they vary.
pub const MIN_BLOCKS: u64 = 10;
/// Blocks at least that are weighed before a winner or harm, for each block that a wave of one arm may last.
pub const BLOCKS_PER_CORRELATION_TIME: u64 = 5;
/// Blocks that a wave may last, by how many blocks there are to be before a decision: these at least, whatever is asked.
pub const MIN_CORRELATION_TIME: u64 = 5;
/// And these at most: for longer waves blocks are to be longer.
pub const MAX_CORRELATION_TIME: u64 = 20;
/// The highest level of error.
pub const MAX_ALPHA: f64 = 0.2;
/// How long after its order an experiment starts whose document names no start: every matcher is to know of it by then.
pub const START_DELAY: Duration = Duration::from_secs(2);
/// Bytes of a name at most.
pub const MAX_NAME: usize = 64;
/// What the shares' sum may be off 1 by rounding.
const ROUNDING: f64 = 1e-6;

/// One way of routing, and the share of subjects that it is given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Its name; part of the hash, so that a new name is a new draw.
    pub name: String,
    /// The share of subjects, over 0 and below 1.
    pub share: f64,
}

/// The document of an experiment, in time since the Unix epoch. Read [`Experiment::check`] before use: all else takes a document that passed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// The key of the split: the same at every matcher, another one for each experiment.
    pub salt: [u64; 2],
    /// The control first, then what is compared with it.
    pub arms: Vec<Arm>,
    /// The share of experiments without any difference that may name a winner, over all arms together.
    pub alpha: f64,
    /// The same for a false stop for harm.
    pub harm_alpha: f64,
    /// The same for a fair split that is called invalid.
    pub split_alpha: f64,
    /// Harm is a share of failed and late requests over the control's by more than this, 0 to below 1.
    pub harm_margin: f64,
    /// The start, in ms since the Unix epoch; 0 in an operator's document for [`Experiment::with_start`].
    pub start_ms: u64,
    /// The length of a block, 100 ms to 1 h.
    pub block_ms: u64,
    /// The longest duration; a whole number of blocks counts, what is left over does not.
    pub longest_ms: u64,
    /// How long a block waits for members after its end, once a quorum told; and the last one for a quorum.
    pub grace_ms: u64,
    /// Blocks at least before any decision. A [`BLOCKS_PER_CORRELATION_TIME`]th of it is how many blocks outcomes of one arm may hang
    /// together: [`Experiment::correlation_time`].
    pub least_blocks: u64,
}

/// What is wrong with a document.
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
        /// How many.
        count: usize,
    },
    /// Two arms have one name.
    #[error("two arms are named {name:?}")]
    #[diagnostic(help("give each arm a name of its own: the split is drawn by it"))]
    SameName {
        /// The name.
        name: String,
    },
    /// A share is no share.
    #[error("the share of {arm:?} is {share}")]
    #[diagnostic(help("give each arm a share over 0 and below 1; leave out an arm that nobody is to have"))]
    Share {
        /// The arm.
        arm: String,
        /// Its share.
        share: f64,
    },
    /// The shares are not all there is.
    #[error("the shares sum to {sum}")]
    #[diagnostic(help("let the shares sum to 1: the control takes what is left"))]
    Sum {
        /// Their sum.
        sum: f64,
    },
    /// A level of error is out of bounds.
    #[error("{field} is {value}")]
    #[diagnostic(help("give a level of error over 0 and up to {MAX_ALPHA}, such as 0.05"))]
    Alpha {
        /// Which one.
        field: String,
        /// What was given.
        value: f64,
    },
    /// The margin is no difference of shares that can be.
    #[error("harm_margin is {value}")]
    #[diagnostic(help("give a margin from 0 to below 1, such as 0.02 for two in a hundred requests"))]
    Margin {
        /// What was given.
        value: f64,
    },
    /// The length of a block is out of bounds.
    #[error("block_ms is {value}")]
    #[diagnostic(help("give 100 to 3600000 ms: some times as long as load and outcomes hang together"))]
    Block {
        /// What was given.
        value: u64,
    },
    /// The longest duration holds too few or too many blocks.
    #[error("longest_ms holds {blocks} blocks, and least_blocks is {least}")]
    #[diagnostic(help("let it hold at least least_blocks and at most {MAX_BLOCKS} blocks of block_ms"))]
    Longest {
        /// Blocks it holds.
        blocks: u64,
        /// Blocks asked for.
        least: u64,
    },
    /// A decision would come too early.
    #[error("least_blocks is {value}")]
    #[diagnostic(help("ask for at least {MIN_BLOCKS} blocks before a decision"))]
    Least {
        /// What was given.
        value: u64,
    },
    /// The end, grace included, is no time that can be written.
    #[error("start_ms, longest_ms and grace_ms together are too large")]
    #[diagnostic(help("give times in ms since the fleet's epoch"))]
    Time,
}

impl Experiment {
    /// Whether all is within its bounds; the first thing that is not.
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
        if (sum - 1.0).abs() > ROUNDING {
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

    /// With a start: a document with a `start_ms` of 0 starts [`START_DELAY`] `now`, since the Unix epoch. For who takes the
    /// order, before it is put into the log.
    #[must_use]
    pub fn with_start(mut self, now: Duration) -> Self {
        if self.start_ms == 0 {
            self.start_ms = u64::try_from(now.saturating_add(START_DELAY).as_millis()).unwrap_or(u64::MAX);
        }
        self
    }

    /// Blocks that the longest duration holds.
    pub fn blocks(&self) -> u64 {
        self.longest_ms.checked_div(self.block_ms).unwrap_or(0)
    }

    /// When block `block` ends.
    pub fn end_of(&self, block: u64) -> Duration {
        let after = self.block_ms.saturating_mul(block.saturating_add(1));
        Duration::from_millis(self.start_ms.saturating_add(after))
    }

    /// The longest duration and the grace are over: there is a verdict from here on, whoever was heard.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.start_ms.saturating_add(self.longest_ms).saturating_add(self.grace_ms))
    }

    /// The block that `now` lies in; none before the start and after the last one.
    pub fn block_at(&self, now: Duration) -> Option<u64> {
        let since = now.checked_sub(Duration::from_millis(self.start_ms))?.as_millis();
        let block = since.checked_div(u128::from(self.block_ms))?;
        u64::try_from(block).ok().filter(|block| *block < self.blocks())
    }

    /// So many blocks a wave of one arm may last (1 / (1 - correlation of neighbours)) with the levels of error kept:
    /// [`MIN_CORRELATION_TIME`] to [`MAX_CORRELATION_TIME`].
    pub fn correlation_time(&self) -> f64 {
        (self.least_blocks as f64 / BLOCKS_PER_CORRELATION_TIME as f64)
            .clamp(MIN_CORRELATION_TIME as f64, MAX_CORRELATION_TIME as f64)
    }

    /// Blocks at least that are weighed before a winner or harm: fewer would not show a wave that may be. Where
    /// `least_blocks` is lower, it is turned up.
    pub fn min_evaluated_blocks(&self) -> u64 {
        self.least_blocks.max(BLOCKS_PER_CORRELATION_TIME * MIN_CORRELATION_TIME)
    }

    /// Arms that are compared with the control; the levels of error are divided by it (Bonferroni).
    pub fn comparisons(&self) -> f64 {
        self.arms.len().saturating_sub(1).max(1) as f64
    }
}

/// The figures that a verdict stands on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Blocks that were weighed: closed, and with requests in every arm.
    pub blocks: u64,
    /// The arm's share less the control's; of a split, the share seen less the share given where that is farthest off.
    pub estimate: f64,
    /// Its confidence sequence at the level after correction; the whole range of a split, where none is made.
    pub interval: (f64, f64),
    /// Valid whenever it is looked at, and corrected for the number of arms; 1 says nothing.
    pub p_value: f64,
    /// Evidence against no difference in this comparison, before correction.
    pub e_value: f64,
}

/// What follows from the blocks so far.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// Go on.
    Continue {
        /// Of the arm with the most evidence so far.
        evidence: Evidence,
    },
    /// An arm serves more in aim than the control; or the control, more than every other arm.
    Winner {
        /// Which one; 0 is the control.
        arm: usize,
        /// Against the control; for the control, against the arm that comes closest.
        evidence: Evidence,
    },
    /// An arm fails or delays more than the control by over the margin.
    Harm {
        /// Which one.
        arm: usize,
        /// Of failed and late requests.
        evidence: Evidence,
    },
    /// The split is not the one asked for: nothing can be said of the arms.
    Invalid {
        /// Of the split.
        evidence: Evidence,
    },
    /// The longest duration passed.
    NoWinner {
        /// Of the arm with the most evidence.
        evidence: Evidence,
    },
}
