//! A simulated disk: it knows what was synced, so that a crash loses the rest, or keeps it in part, or tears it.

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use redb::StorageBackend;

use crate::fleet::record::disk::{SimulatedDisk, SlotFile};
use crate::lab::random::Random;

/// What a disk writes at once; a write is torn between two of them.
const SECTOR: usize = 512;

#[derive(Clone, Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
}

/// A file: what is kept for certain, and what was done since.
#[derive(Clone, Debug, Default)]
struct Kept {
    synced: Vec<u8>,
    now: Vec<u8>,
    since: Vec<Op>,
}

impl Op {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Self::Write(at, data) => {
                let (at, end) = (*at as usize, *at as usize + data.len());
                if bytes.len() < end {
                    bytes.resize(end, 0);
                }
                bytes[at..end].copy_from_slice(data);
            }
            Self::Length(length) => bytes.resize(*length as usize, 0),
        }
    }
}

#[derive(Debug)]
struct Inner {
    /// Names as they are now, and as they were when the folder was last synced.
    names: BTreeMap<PathBuf, u64>,
    synced: BTreeMap<PathBuf, u64>,
    files: BTreeMap<u64, Kept>,
    next: u64,
    /// Files that were opened before the last crash fail.
    life: u64,
    /// Writes and syncs until the power fails; none while it holds.
    left: Option<u64>,
    /// Syncs do nothing, and say that they did: a fault that is planted.
    lies: bool,
    random: Random,
}

/// A member's disk; it outlives the member's lives.
#[derive(Clone, Debug)]
pub struct Disk(Arc<Mutex<Inner>>);

fn failed() -> Error {
    Error::other("the disk has no power")
}

impl Disk {
    /// Empty.
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            names: BTreeMap::new(),
            synced: BTreeMap::new(),
            files: BTreeMap::new(),
            next: 1,
            life: 0,
            left: None,
            lies: false,
            random: Random::new(seed),
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its power fails after so many more writes and syncs.
    pub fn arm(&self, writes: u64) {
        self.lock().left = Some(writes);
    }

    /// Its power holds.
    pub fn disarm(&self) {
        let mut inner = self.lock();
        inner.left = inner.left.filter(|left| *left == 0);
    }

    /// Whether its power failed.
    pub fn dead(&self) -> bool {
        self.lock().left == Some(0)
    }

    /// Has it lie about what is synced.
    pub fn lie(&self) {
        self.lock().lies = true;
    }

    /// The machine lost its power: what was not synced is lost, kept in part, or torn. How many operations were not
    /// synced.
    pub fn crash(&self) -> usize {
        let mut guard = self.lock();
        let inner = &mut *guard;
        inner.life += 1;
        inner.left = None;
        let mut unsynced = 0;
        for file in inner.files.values_mut() {
            let mut bytes = std::mem::take(&mut file.synced);
            for op in std::mem::take(&mut file.since) {
                unsynced += 1;
                match (&op, inner.random.next_u64() % 3) {
                    // A disk that lies has kept nothing since.
                    (_, _) if inner.lies => {}
                    (_, 0) => {}
                    (Op::Write(at, data), 1) => {
                        let sectors = data.len().div_ceil(SECTOR) as u64;
                        let kept = (inner.random.next_u64() % (sectors + 1)) as usize * SECTOR;
                        Op::Write(*at, data[..kept.min(data.len())].to_vec()).apply(&mut bytes);
                    }
                    _ => op.apply(&mut bytes),
                }
            }
            (file.now, file.synced) = (bytes.clone(), bytes);
        }
        if inner.names != inner.synced {
            match inner.lies || inner.random.next_u64().is_multiple_of(2) {
                true => inner.names = inner.synced.clone(),
                false => inner.synced = inner.names.clone(),
            }
        }
        unsynced
    }
}

impl Inner {
    /// Counts a write or a sync; an error where the power failed before or in it.
    fn count(&mut self, life: u64) -> Result<()> {
        if life != self.life || self.left == Some(0) {
            return Err(failed());
        }
        if let Some(left) = &mut self.left {
            *left -= 1;
        }
        Ok(())
    }

    fn file(&self, path: &Path) -> Result<u64> {
        self.names.get(path).copied().ok_or_else(|| ErrorKind::NotFound.into())
    }
}

#[derive(Debug)]
struct Handle {
    disk: Disk,
    id: u64,
    life: u64,
}

impl Handle {
    fn act<T>(&self, act: impl FnOnce(&mut Kept) -> Result<T>) -> Result<T> {
        let mut inner = self.disk.lock();
        if self.life != inner.life || inner.left == Some(0) {
            return Err(failed());
        }
        act(inner.files.get_mut(&self.id).ok_or_else(failed)?)
    }

    fn change(&self, op: Op) -> Result<()> {
        // The last write before the power fails may be on the disk, or not.
        self.disk.lock().count(self.life)?;
        let mut inner = self.disk.lock();
        let file = inner.files.get_mut(&self.id).ok_or_else(failed)?;
        op.apply(&mut file.now);
        file.since.push(op);
        if inner.left == Some(0) {
            return Err(failed());
        }
        Ok(())
    }

    fn synced(&self) -> Result<()> {
        let mut inner = self.disk.lock();
        inner.count(self.life)?;
        if inner.left == Some(0) {
            return Err(failed());
        }
        if inner.lies {
            return Ok(());
        }
        let file = inner.files.get_mut(&self.id).ok_or_else(failed)?;
        // In place: most of it is as it was.
        let Kept { synced, now, since } = file;
        since.drain(..).for_each(|op| op.apply(synced));
        debug_assert_eq!(synced.len(), now.len());
        Ok(())
    }

    fn read_at(&self, at: u64, out: &mut [u8]) -> Result<()> {
        self.act(|file| {
            let at = at as usize;
            let found =
                file.now.get(at..at + out.len()).ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
            out.copy_from_slice(found);
            Ok(())
        })
    }
}

impl StorageBackend for Handle {
    fn len(&self) -> Result<u64> {
        self.act(|file| Ok(file.now.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        self.read_at(offset, out)
    }

    fn set_len(&self, len: u64) -> Result<()> {
        self.change(Op::Length(len))
    }

    fn sync_data(&self) -> Result<()> {
        self.synced()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        self.change(Op::Write(offset, data.to_vec()))
    }
}

impl SlotFile for Handle {
    fn read(&self, most: usize) -> Result<Vec<u8>> {
        self.act(|file| Ok(file.now[..file.now.len().min(most)].to_vec()))
    }

    fn write(&self, bytes: &[u8], at: u64) -> Result<()> {
        self.change(Op::Write(at, bytes.to_vec()))
    }

    fn resize(&self, length: u64) -> Result<()> {
        self.change(Op::Length(length))
    }

    fn sync(&self) -> Result<()> {
        self.synced()
    }
}

impl Disk {
    fn handle(&self, file: &Path, new: bool, empty: bool) -> Result<Handle> {
        let mut inner = self.lock();
        if inner.left == Some(0) {
            return Err(failed());
        }
        let id = match (inner.file(file), new) {
            (Ok(id), false) => id,
            (Err(error), false) => return Err(error),
            (Ok(_), true) if !empty => return Err(ErrorKind::AlreadyExists.into()),
            (_, true) => {
                let id = inner.next;
                inner.next += 1;
                inner.files.insert(id, Kept::default());
                inner.names.insert(file.into(), id);
                id
            }
        };
        Ok(Handle { disk: self.clone(), id, life: inner.life })
    }
}

impl SimulatedDisk for Disk {
    fn length(&self, file: &Path) -> Result<u64> {
        let inner = self.lock();
        let id = inner.file(file)?;
        Ok(inner.files.get(&id).map_or(0, |file| file.now.len() as u64))
    }

    fn remove(&self, file: &Path) -> Result<()> {
        let mut inner = self.lock();
        inner.file(file)?;
        inner.names.remove(file);
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        let mut inner = self.lock();
        let id = inner.file(from)?;
        inner.names.remove(from);
        inner.names.insert(to.into(), id);
        Ok(())
    }

    fn sync(&self, _: &Path) -> Result<()> {
        let mut inner = self.lock();
        let life = inner.life;
        inner.count(life)?;
        if !inner.lies {
            inner.synced = inner.names.clone();
        }
        Ok(())
    }

    fn open_database(&self, file: &Path, new: bool) -> Result<Box<dyn StorageBackend>> {
        Ok(Box::new(self.handle(file, new, false)?))
    }

    fn slot_file(&self, file: &Path, new: bool) -> Result<Box<dyn SlotFile>> {
        Ok(Box::new(self.handle(file, new, true)?))
    }

    fn call_duration(&self) -> Duration {
        let drawn = self.lock().random.next_u64();
        // A sync takes a millisecond or two, and now and then ten.
        Duration::from_millis(if drawn.is_multiple_of(20) { 5 + drawn / 20 % 6 } else { drawn / 20 % 2 })
    }
}
