//! How far the store has promised to others. `redb` goes back to the write before when the last one is spoilt, as it must
//! after a crash: so what was acknowledged could be lost without a word, and a vote be given twice. The number of each
//! write is kept beside the store, and a store that has less is refused.
//!
//! Two slots in turn, each a number and a checksum, so that a torn write leaves the one before. The store has that write
//! for certain: the mark is written after it, and before anything is acknowledged.

use std::io::ErrorKind;
use std::path::Path;

use sha2::{Digest, Sha256};

use super::disk::{Disk, SlotFile};
use crate::fleet::wire::raft::NodeId;

/// Bytes of a slot: the number and its checksum.
const SLOT: usize = 16;
/// SlotFile are this far apart, on sectors of their own.
const APART: usize = 4096;
/// Bytes of the file.
const LENGTH: usize = APART + SLOT;

/// The file.
#[derive(Debug)]
pub struct Mark {
    file: Box<dyn SlotFile>,
    node: NodeId,
    write: u64,
}

fn slot(node: NodeId, write: u64) -> [u8; SLOT] {
    let sum = Sha256::new().chain_update(b"hopwalk mark").chain_update(node.to_be_bytes());
    let sum = sum.chain_update(write.to_be_bytes()).finalize();
    let mut slot = [0; SLOT];
    slot[..8].copy_from_slice(&write.to_be_bytes());
    slot[8..].copy_from_slice(&sum[..8]);
    slot
}

fn place(write: u64) -> u64 {
    (write % 2) * APART as u64
}

/// What a file holds.
pub enum Found {
    /// The last write that was promised.
    Mark(Mark),
    /// No file.
    Nothing,
    /// No slot is whole, or they are of another store.
    Spoilt,
}

impl Mark {
    /// Reads the file of a store.
    pub fn open(disk: &Disk, path: &Path, node: NodeId) -> std::io::Result<Found> {
        let file = match disk.slot_file(path, false) {
            Ok(file) => file,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Found::Nothing),
            Err(error) => return Err(error),
        };
        let bytes = file.read(LENGTH)?;
        let slots = [0, APART].into_iter().filter_map(|at| bytes.get(at..at + SLOT));
        let number = |slot: &[u8]| slot.first_chunk().map(|n| u64::from_be_bytes(*n));
        let whole =
            slots.filter_map(|found| number(found).filter(|write| slot(node, *write) == *found)).max();
        Ok(whole.map_or(Found::Spoilt, |write| Found::Mark(Self { file, node, write })))
    }

    /// A new file, that promises the write `write`. Made under another name first: one that a kill left half made
    /// would look like one that was spoilt.
    pub fn create(disk: &Disk, path: &Path, node: NodeId, write: u64) -> std::io::Result<Self> {
        let new = path.with_extension("mark.new");
        let mut mark = Self { file: disk.slot_file(&new, true)?, node, write: 0 };
        mark.file.resize(LENGTH as u64)?;
        mark.promise(write)?;
        mark.file.sync()?;
        disk.rename(&new, path)?;
        if let Some(folder) = path.parent() {
            disk.sync(folder)?;
        }
        Ok(mark)
    }

    /// The last write that was promised.
    pub fn write(&self) -> u64 {
        self.write
    }

    /// Promises a write that is in the store; synced when it returns. An earlier one is promised already.
    pub fn promise(&mut self, write: u64) -> std::io::Result<()> {
        if write <= self.write {
            return Ok(());
        }
        self.file.write(&slot(self.node, write), place(write))?;
        self.file.sync()?;
        self.write = write;
        Ok(())
    }
}
