//! What the store is kept on: files in the operator's folder, or a simulated disk that forgets what was not synced.

use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Read, Result};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use redb::{Builder, Database, DatabaseError, StorageBackend};

/// A small file, read whole and written in places.
pub trait SlotFile: Debug + Send + Sync {
    /// Its first bytes, up to `most`.
    fn read(&self, most: usize) -> Result<Vec<u8>>;
    /// Writes at a place; not synced.
    fn write(&self, bytes: &[u8], at: u64) -> Result<()>;
    /// Its length from now on.
    fn resize(&self, length: u64) -> Result<()>;
    /// All that was written is kept when it returns.
    fn sync(&self) -> Result<()>;
}

impl SlotFile for File {
    fn read(&self, most: usize) -> Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let file = self;
        file.take(most as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write(&self, bytes: &[u8], at: u64) -> Result<()> {
        self.write_all_at(bytes, at)
    }

    fn resize(&self, length: u64) -> Result<()> {
        self.set_len(length)
    }

    fn sync(&self) -> Result<()> {
        self.sync_data()
    }
}

/// A disk that is simulated; errors are those of a file system.
pub trait SimulatedDisk: Debug + Send + Sync {
    /// The length of a file; an error of kind `NotFound` without one.
    fn length(&self, file: &Path) -> Result<u64>;
    /// Takes a file away.
    fn remove(&self, file: &Path) -> Result<()>;
    /// Gives a file another name, in place of what had it.
    fn rename(&self, from: &Path, to: &Path) -> Result<()>;
    /// The names in a folder are kept when it returns.
    fn sync(&self, folder: &Path) -> Result<()>;
    /// A file as a database; made if it is `new`, an error if one is there then.
    fn open_database(&self, file: &Path, new: bool) -> Result<Box<dyn StorageBackend>>;
    /// A file in slots; made empty if it is `new`.
    fn slot_file(&self, file: &Path, new: bool) -> Result<Box<dyn SlotFile>>;
    /// How long the next call takes.
    fn call_duration(&self) -> Duration;
}

/// What a store is kept on.
#[derive(Clone, Debug, Default)]
pub enum Disk {
    /// Files; calls block, and have threads for that.
    #[default]
    Files,
    /// None; calls are made where they are asked for, and time passes before and after.
    Simulated(Arc<dyn SimulatedDisk>),
}

/// A simulated file as redb takes one.
#[derive(Debug)]
struct Boxed(Box<dyn StorageBackend>);

impl StorageBackend for Boxed {
    fn len(&self) -> Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> Result<()> {
        self.0.set_len(len)
    }

    fn sync_data(&self) -> Result<()> {
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        self.0.write(offset, data)
    }
}

impl Disk {
    /// Has something done that blocks; nothing if it panicked.
    pub async fn run<T: Send + 'static>(&self, act: impl FnOnce() -> T + Send + 'static) -> Option<T> {
        match self {
            Self::Files => tokio::task::spawn_blocking(act).await.ok(),
            Self::Simulated(disk) => {
                let (before, after) = (disk.call_duration(), disk.call_duration());
                tokio::time::sleep(before).await;
                let done = act();
                tokio::time::sleep(after).await;
                Some(done)
            }
        }
    }

    /// That a folder is there.
    pub fn check(&self, folder: &Path) -> Result<()> {
        match self {
            Self::Files if !std::fs::metadata(folder)?.is_dir() => Err(ErrorKind::NotADirectory.into()),
            _ => Ok(()),
        }
    }

    /// The length of a file; an error of kind `NotFound` without one.
    pub fn length(&self, file: &Path) -> Result<u64> {
        match self {
            Self::Files => Ok(std::fs::metadata(file)?.len()),
            Self::Simulated(disk) => disk.length(file),
        }
    }

    /// Takes a file away.
    pub fn remove(&self, file: &Path) -> Result<()> {
        match self {
            Self::Files => std::fs::remove_file(file),
            Self::Simulated(disk) => disk.remove(file),
        }
    }

    /// Gives a file another name, in place of what had it.
    pub fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        match self {
            Self::Files => std::fs::rename(from, to),
            Self::Simulated(disk) => disk.rename(from, to),
        }
    }

    /// The names in a folder are kept when it returns.
    pub fn sync(&self, folder: &Path) -> Result<()> {
        match self {
            Self::Files => File::open(folder)?.sync_all(),
            Self::Simulated(disk) => disk.sync(folder),
        }
    }

    /// A new database in a file that is not there yet.
    pub fn create(&self, builder: &Builder, file: &Path) -> std::result::Result<Database, DatabaseError> {
        match self {
            Self::Files => {
                drop(File::create_new(file)?);
                builder.create(file)
            }
            Self::Simulated(disk) => builder.create_with_backend(Boxed(disk.open_database(file, true)?)),
        }
    }

    /// The database in a file.
    pub fn open(&self, builder: &Builder, file: &Path) -> std::result::Result<Database, DatabaseError> {
        match self {
            Self::Files => builder.open(file),
            Self::Simulated(disk) => builder.create_with_backend(Boxed(disk.open_database(file, false)?)),
        }
    }

    /// A file in slots; made empty if it is `new`.
    pub fn slot_file(&self, file: &Path, new: bool) -> Result<Box<dyn SlotFile>> {
        match self {
            Self::Files => {
                let mut options = OpenOptions::new();
                options.read(true).write(true).create(new).truncate(new);
                Ok(Box::new(options.open(file)?))
            }
            Self::Simulated(disk) => disk.slot_file(file, new),
        }
    }
}
