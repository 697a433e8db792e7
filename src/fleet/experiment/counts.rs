//! The counts of all matchers as state-based grow-only counters (Shapiro, Preguica, Baquero and Zawirski, 2011).
//! Reports may be merged in any order and any number of times: a merge keeps the greater value of each counter.
//!
//! A counter belongs to one incarnation of a member, one block, one arm and one outcome. The `crdts` crate's `VClock`
//! is this lattice (the greatest u64 of each actor). Its `GCounter` wraps `VClock` and needs big integers for a sum
//! that is not used here.

use std::collections::BTreeMap;

use crdts::{CmRDT, CvRDT, Dot, VClock};
use miette::Diagnostic;
use serde::{Deserialize, Serialize};

use super::{MAX_ARMS, MAX_BLOCKS};

/// Maximum number of member incarnations held.
pub const MAX_INCARNATIONS: usize = 1024;
/// Maximum number of counters held, over all incarnations.
pub const MAX_CELLS: usize = 1 << 20;

/// One incarnation of a member: the member's name and the incarnation's number.
pub type MemberIncarnation = (String, u64);

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Subjects assigned to an arm, each once.
    Assigned,
    /// Requests served within their target latency.
    Served,
    /// Requests served later than that.
    Late,
    /// Requests that failed.
    Failed,
    /// Requests refused.
    #[serde(rename = "TurnedAway")]
    Refused,
}

/// Identifies a counter within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// The block.
    pub block: u64,
    /// The arm.
    pub arm: u8,
    /// What is counted.
    pub kind: Kind,
}

/// Why counts are rejected. Nothing is changed then.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
pub enum CountsError {
    /// Too many incarnations.
    #[error("{count} member incarnations exceed the limit")]
    #[diagnostic(help("at most {MAX_INCARNATIONS} are held: look for a member that restarts repeatedly"))]
    Incarnations {
        /// The number that would be held.
        count: usize,
    },
    /// Too many counters.
    #[error("{count} counters exceed the limit")]
    #[diagnostic(help("at most {MAX_CELLS} are held: use longer blocks, a shorter duration or fewer arms"))]
    Cells {
        /// The number that would be held.
        count: usize,
    },
    /// The arm or block of a counter is out of bounds.
    #[error("the counter of arm {arm} in block {block} is out of bounds")]
    #[diagnostic(help(
        "arms are below {MAX_ARMS} and blocks below {MAX_BLOCKS}: look for another version of the program in the fleet"
    ))]
    InvalidCell {
        /// The block.
        block: u64,
        /// The arm.
        arm: u8,
    },
    /// The block is final.
    #[error("block {block} was reported as final and cannot be counted in any more")]
    #[diagnostic(help(
        "count a request in the block in which it ends, and report only blocks that have ended as final"
    ))]
    Final {
        /// The block.
        block: u64,
    },
}

/// The counts of one incarnation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct ReportedCounts {
    /// The number of blocks, from the first, that are final.
    #[serde(rename = "blocks")]
    final_blocks: u64,
    cells: VClock<Cell>,
}

/// The counts of all incarnations. The state does not depend on the order in which reports were merged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts(BTreeMap<MemberIncarnation, ReportedCounts>);

impl Counts {
    /// Adds `n` to a counter.
    ///
    /// # Errors
    /// [`CountsError::InvalidCell`] and [`CountsError::Final`] for a block that cannot be counted in;
    /// [`CountsError::Incarnations`] and [`CountsError::Cells`] if a limit would be exceeded.
    pub fn add(&mut self, member: &MemberIncarnation, cell: Cell, n: u64) -> Result<(), CountsError> {
        check_bounds(cell)?;
        let before = match self.0.get(member) {
            Some(reported) if cell.block < reported.final_blocks => {
                return Err(CountsError::Final { block: cell.block })
            }
            Some(reported) => reported.cells.get(&cell),
            None => 0,
        };
        if before == 0 {
            self.check_limits(usize::from(!self.0.contains_key(member)), 1)?;
        }
        let reported = self.0.entry(member.clone()).or_default();
        reported.cells.apply(Dot::new(cell, before.saturating_add(n)));
        Ok(())
    }

    /// Marks the first `blocks` blocks of an incarnation as final.
    ///
    /// # Errors
    /// [`CountsError::Incarnations`] if the limit would be exceeded.
    pub fn mark_final(&mut self, member: &MemberIncarnation, blocks: u64) -> Result<(), CountsError> {
        self.check_limits(usize::from(!self.0.contains_key(member)), 0)?;
        let reported = self.0.entry(member.clone()).or_default();
        reported.final_blocks = reported.final_blocks.max(blocks);
        Ok(())
    }

    /// Merges the counts of another matcher. The operation is commutative, associative and idempotent within the
    /// limits.
    ///
    /// # Errors
    /// [`CountsError::Incarnations`], [`CountsError::Cells`] and [`CountsError::InvalidCell`].
    pub fn merge(&mut self, other: &Self) -> Result<(), CountsError> {
        let (mut incarnations, mut cells) = (0, 0);
        for (member, reported) in &other.0 {
            let own = self.0.get(member);
            incarnations += usize::from(own.is_none());
            for dot in reported.cells.iter() {
                check_bounds(*dot.actor)?;
                cells += usize::from(own.is_none_or(|own| own.cells.get(dot.actor) == 0));
            }
        }
        self.check_limits(incarnations, cells)?;
        for (member, reported) in &other.0 {
            let own = self.0.entry(member.clone()).or_default();
            own.final_blocks = own.final_blocks.max(reported.final_blocks);
            own.cells.merge(reported.cells.clone());
        }
        Ok(())
    }

    /// Discards the counts of the blocks before `block`, which are closed for good, and each incarnation without
    /// remaining counts of which a later incarnation of the same member has reported.
    pub fn discard_before(&mut self, block: u64) {
        let first = Cell { block, arm: 0, kind: Kind::Assigned };
        for reported in self.0.values_mut() {
            reported.cells.dots = reported.cells.dots.split_off(&first);
        }
        let latest: BTreeMap<String, u64> = self.0.keys().cloned().collect();
        let is_latest =
            |member: &MemberIncarnation| latest.get(&member.0).is_none_or(|latest| member.1 >= *latest);
        self.0.retain(|member, reported| {
            !reported.cells.dots.is_empty() || reported.final_blocks > block || is_latest(member)
        });
    }

    /// The counts of `member` in the blocks from `from` up to, but not including, `to`. At most `to` blocks are marked
    /// final.
    #[must_use]
    pub fn blocks_of(&self, member: &MemberIncarnation, from: u64, to: u64) -> Self {
        let mut counts = ReportedCounts::default();
        if let Some(reported) = self.0.get(member) {
            counts.final_blocks = reported.final_blocks.min(to);
            let at = |block| Cell { block, arm: 0, kind: Kind::Assigned };
            counts.cells.dots =
                reported.cells.dots.range(at(from)..at(to.max(from))).map(|(cell, n)| (*cell, *n)).collect();
        }
        Self(BTreeMap::from([(member.clone(), counts)]))
    }

    /// The number of counters held.
    pub fn cells(&self) -> usize {
        self.0.values().map(|reported| reported.cells.dots.len()).sum()
    }

    /// The incarnations, with the number of final blocks of each.
    pub fn incarnations(&self) -> impl Iterator<Item = (&MemberIncarnation, u64)> {
        self.0.iter().map(|(member, reported)| (member, reported.final_blocks))
    }

    /// The value of one counter.
    pub fn get(&self, member: &MemberIncarnation, cell: Cell) -> u64 {
        self.0.get(member).map_or(0, |reported| reported.cells.get(&cell))
    }

    fn check_limits(&self, incarnations: usize, cells: usize) -> Result<(), CountsError> {
        let count = self.0.len() + incarnations;
        if incarnations > 0 && count > MAX_INCARNATIONS {
            return Err(CountsError::Incarnations { count });
        }
        if cells > 0 {
            let count = self.cells() + cells;
            if count > MAX_CELLS {
                return Err(CountsError::Cells { count });
            }
        }
        Ok(())
    }
}

fn check_bounds(cell: Cell) -> Result<(), CountsError> {
    let Cell { block, arm, .. } = cell;
    if usize::from(arm) >= MAX_ARMS || block >= MAX_BLOCKS {
        return Err(CountsError::InvalidCell { block, arm });
    }
    Ok(())
}
