//! The high-water mark: a file beside the store with the number of the last write that may have been acknowledged to
//! other voters. `redb` falls back to the previous write if the last one is damaged, as it must after a crash. Without
//! the mark, acknowledged writes could be lost silently and a voter could vote twice in a term. A store whose last
//! write has a lower number than its mark is rejected.
//!
//! The file has two slots that are written alternately, each with a number and its checksum, so that a torn write
//! leaves the other slot intact. The store always holds the marked write, because the mark is written after the store
//! and before anything is acknowledged.

use std::io::ErrorKind;
use std::path::Path;

use sha2::{Digest, Sha256};

use super::disk::{Disk, SlotFile};
use crate::fleet::wire::raft::NodeId;

/// Length of a slot in bytes: the number and its checksum.
const SLOT: usize = 16;
/// Distance between the starts of the slots in bytes, so that each has a disk sector of its own.
const SLOT_DISTANCE: usize = 4096;
/// Length of the file in bytes.
const FILE_BYTES: usize = SLOT_DISTANCE + SLOT;

/// The open mark file of a store.
#[derive(Debug)]
pub struct Mark {
    file: Box<dyn SlotFile>,
    node: NodeId,
    last_write: u64,
}

fn encode_slot(node: NodeId, write: u64) -> [u8; SLOT] {
    let sum = Sha256::new().chain_update(b"hopwalk mark").chain_update(node.to_be_bytes());
    let sum = sum.chain_update(write.to_be_bytes()).finalize();
    let mut slot = [0; SLOT];
    slot[..8].copy_from_slice(&write.to_be_bytes());
    slot[8..].copy_from_slice(&sum[..8]);
    slot
}

fn slot_offset(write: u64) -> u64 {
    (write % 2) * SLOT_DISTANCE as u64
}

/// The result of opening the mark file of a store.
pub enum OpenedMark {
    /// The mark is valid.
    Valid(Mark),
    /// There is no file.
    Missing,
    /// Neither slot is valid, or the file belongs to another store.
    Corrupt,
}

impl Mark {
    /// Opens the mark file of the store `node`.
    pub fn open(disk: &Disk, path: &Path, node: NodeId) -> std::io::Result<OpenedMark> {
        let file = match disk.slot_file(path, false) {
            Ok(file) => file,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(OpenedMark::Missing),
            Err(error) => return Err(error),
        };
        let bytes = file.read(FILE_BYTES)?;
        let slots = [0, SLOT_DISTANCE].into_iter().filter_map(|offset| bytes.get(offset..offset + SLOT));
        let number = |slot: &[u8]| slot.first_chunk().map(|n| u64::from_be_bytes(*n));
        let last_write =
            slots.filter_map(|slot| number(slot).filter(|write| encode_slot(node, *write) == *slot)).max();
        Ok(last_write
            .map_or(OpenedMark::Corrupt, |last_write| OpenedMark::Valid(Self { file, node, last_write })))
    }

    /// Creates the mark file of the store `node` with the write `write`. The file is created under a temporary name and
    /// renamed: one that a kill left incomplete would otherwise look corrupt.
    pub fn create(disk: &Disk, path: &Path, node: NodeId, write: u64) -> std::io::Result<Self> {
        let new = path.with_extension("mark.new");
        let mut mark = Self { file: disk.slot_file(&new, true)?, node, last_write: 0 };
        mark.file.resize(FILE_BYTES as u64)?;
        mark.advance_to(write)?;
        mark.file.sync()?;
        disk.rename(&new, path)?;
        if let Some(folder) = path.parent() {
            disk.sync(folder)?;
        }
        Ok(mark)
    }

    /// Returns the number of the last marked write.
    pub fn last_write(&self) -> u64 {
        self.last_write
    }

    /// Marks a write that is in the store, and syncs the mark before it returns. Does nothing for a write that is not
    /// later than the mark.
    pub fn advance_to(&mut self, write: u64) -> std::io::Result<()> {
        if write <= self.last_write {
            return Ok(());
        }
        self.file.write(&encode_slot(self.node, write), slot_offset(write))?;
        self.file.sync()?;
        self.last_write = write;
        Ok(())
    }
}
