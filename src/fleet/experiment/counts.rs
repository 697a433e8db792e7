//! What the matchers counted, as state-based grow-only counters (Shapiro, Preguica, Baquero and Zawirski, 2011): merged
//! in any order and any number of times, the greater of each counter stays.
//!
//! A counter is of one life of a member, one block, one arm and one outcome. The `crdts` crate's `VClock` is just that
//! lattice (an actor's greatest u64); its `GCounter` wraps it and needs big integers for a sum that we do not take.

use std::collections::BTreeMap;

use crdts::{CmRDT, CvRDT, Dot, VClock};
use miette::Diagnostic;
use serde::{Deserialize, Serialize};

use super::{MAX_ARMS, MAX_BLOCKS};

/// Lives of members that are held at most.
pub const MAX_INCARNATIONS: usize = 1024;
/// Counters that are held at most, over all lives.
pub const MAX_CELLS: usize = 1 << 20;

/// One life of a member: its name and incarnation.
pub type MemberIncarnation = (String, u64);

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Subjects that were put in an arm, each once.
    Assigned,
    /// Requests served within their aim.
    Served,
    /// Requests served after it.
    Late,
    /// Requests that failed.
    Failed,
    /// Requests turned away.
    #[serde(rename = "TurnedAway")]
    Refused,
}

/// Which counter of a life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// The block.
    pub block: u64,
    /// The arm.
    pub arm: u8,
    /// What is counted.
    pub kind: Kind,
}

/// Why counts are refused; nothing is changed then.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
pub enum CountsError {
    /// No room for another life.
    #[error("{count} lives of members would be held")]
    #[diagnostic(help("at most {MAX_INCARNATIONS} are: look for a member that restarts over and over"))]
    Incarnations {
        /// How many it would be.
        count: usize,
    },
    /// No room for another counter.
    #[error("{count} counters would be held")]
    #[diagnostic(help("at most {MAX_CELLS} are: take longer blocks, a shorter duration or fewer arms"))]
    Cells {
        /// How many it would be.
        count: usize,
    },
    /// A counter of an arm or block that cannot be.
    #[error("there is no arm {arm} in block {block}")]
    #[diagnostic(help(
        "arms go to {MAX_ARMS} and blocks to {MAX_BLOCKS}: look for another version in the fleet"
    ))]
    InvalidCell {
        /// The block.
        block: u64,
        /// The arm.
        arm: u8,
    },
    /// The block is told, and final.
    #[error("block {block} was told, and is counted no more")]
    #[diagnostic(help(
        "count a request in the block that it ends in, and tell only of blocks that are over"
    ))]
    Final {
        /// The block.
        block: u64,
    },
}

/// What one life told.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Told {
    /// So many blocks are final.
    blocks: u64,
    cells: VClock<Cell>,
}

/// What all lives told. Equal states are equal whatever came first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts(BTreeMap<MemberIncarnation, Told>);

impl Counts {
    /// Counts `n` more.
    ///
    /// # Errors
    /// [`CountsError::InvalidCell`] and [`CountsError::Final`] for a block that cannot be counted; [`CountsError::Incarnations`] and
    /// [`CountsError::Cells`] where there is no room.
    pub fn add(&mut self, life: &MemberIncarnation, cell: Cell, n: u64) -> Result<(), CountsError> {
        place(cell)?;
        let before = match self.0.get(life) {
            Some(told) if cell.block < told.blocks => return Err(CountsError::Final { block: cell.block }),
            Some(told) => told.cells.get(&cell),
            None => 0,
        };
        if before == 0 {
            self.room(usize::from(!self.0.contains_key(life)), 1)?;
        }
        let told = self.0.entry(life.clone()).or_default();
        told.cells.apply(Dot::new(cell, before.saturating_add(n)));
        Ok(())
    }

    /// Says that the first `blocks` blocks of a life are final.
    ///
    /// # Errors
    /// [`CountsError::Incarnations`] where there is no room.
    pub fn mark_final(&mut self, life: &MemberIncarnation, blocks: u64) -> Result<(), CountsError> {
        self.room(usize::from(!self.0.contains_key(life)), 0)?;
        let told = self.0.entry(life.clone()).or_default();
        told.blocks = told.blocks.max(blocks);
        Ok(())
    }

    /// Takes in what another matcher holds: commutative, associative and idempotent while there is room.
    ///
    /// # Errors
    /// [`CountsError::Incarnations`], [`CountsError::Cells`] and [`CountsError::InvalidCell`].
    pub fn merge(&mut self, other: &Self) -> Result<(), CountsError> {
        let (mut lives, mut cells) = (0, 0);
        for (life, told) in &other.0 {
            let own = self.0.get(life);
            lives += usize::from(own.is_none());
            for dot in told.cells.iter() {
                place(*dot.actor)?;
                cells += usize::from(own.is_none_or(|own| own.cells.get(dot.actor) == 0));
            }
        }
        self.room(lives, cells)?;
        for (life, told) in &other.0 {
            let own = self.0.entry(life.clone()).or_default();
            own.blocks = own.blocks.max(told.blocks);
            own.cells.merge(told.cells.clone());
        }
        Ok(())
    }

    /// Drops what blocks before `block` counted, which are closed for good; and the lives that nothing is left of, where a
    /// later life of the same member told.
    pub fn discard_before(&mut self, block: u64) {
        let first = Cell { block, arm: 0, kind: Kind::Assigned };
        for told in self.0.values_mut() {
            told.cells.dots = told.cells.dots.split_off(&first);
        }
        let latest: BTreeMap<String, u64> = self.0.keys().cloned().collect();
        let is_latest = |life: &MemberIncarnation| latest.get(&life.0).is_none_or(|latest| life.1 >= *latest);
        self.0.retain(|life, told| !told.cells.dots.is_empty() || told.blocks > block || is_latest(life));
    }

    /// What `life` counted in blocks from `from` to before `to`, and no more blocks told than those before `to`.
    #[must_use]
    pub fn blocks_of(&self, life: &MemberIncarnation, from: u64, to: u64) -> Self {
        let mut part = Told::default();
        if let Some(told) = self.0.get(life) {
            part.blocks = told.blocks.min(to);
            let at = |block| Cell { block, arm: 0, kind: Kind::Assigned };
            part.cells.dots =
                told.cells.dots.range(at(from)..at(to.max(from))).map(|(cell, n)| (*cell, *n)).collect();
        }
        Self(BTreeMap::from([(life.clone(), part)]))
    }

    /// Counters that are held.
    pub fn cells(&self) -> usize {
        self.0.values().map(|told| told.cells.dots.len()).sum()
    }

    /// The lives, and how many blocks each told.
    pub fn incarnations(&self) -> impl Iterator<Item = (&MemberIncarnation, u64)> {
        self.0.iter().map(|(life, told)| (life, told.blocks))
    }

    /// One counter.
    pub fn get(&self, life: &MemberIncarnation, cell: Cell) -> u64 {
        self.0.get(life).map_or(0, |told| told.cells.get(&cell))
    }

    fn room(&self, lives: usize, cells: usize) -> Result<(), CountsError> {
        let count = self.0.len() + lives;
        if lives > 0 && count > MAX_INCARNATIONS {
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

fn place(cell: Cell) -> Result<(), CountsError> {
    let Cell { block, arm, .. } = cell;
    if usize::from(arm) >= MAX_ARMS || block >= MAX_BLOCKS {
        return Err(CountsError::InvalidCell { block, arm });
    }
    Ok(())
}
