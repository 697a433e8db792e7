//! The storage below the store: files in the operator's folder ([`Disk::Files`]), or a simulated disk that loses what
//! was not synced ([`Disk::Simulated`]).

use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Read, Result};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use redb::{Builder, Database, DatabaseError, StorageBackend};

/// A small file that is read as a whole and written at given offsets.
pub trait SlotFile: Debug + Send + Sync {
    /// Reads the first bytes of the file, up to `max`.
    fn read(&self, max: usize) -> Result<Vec<u8>>;
    /// Writes at an offset without syncing.
    fn write(&self, bytes: &[u8], offset: u64) -> Result<()>;
    /// Sets the length of the file.
    fn resize(&self, length: u64) -> Result<()>;
    /// Syncs all earlier writes to the disk before it returns.
    fn sync(&self) -> Result<()>;
}

impl SlotFile for File {
    fn read(&self, max: usize) -> Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let file = self;
        file.take(max as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write(&self, bytes: &[u8], offset: u64) -> Result<()> {
        self.write_all_at(bytes, offset)
    }

    fn resize(&self, length: u64) -> Result<()> {
        self.set_len(length)
    }

    fn sync(&self) -> Result<()> {
        self.sync_data()
    }
}

/// A simulated disk. Its errors have the kinds that a file system reports.
pub trait SimulatedDisk: Debug + Send + Sync {
    /// Returns the length of a file, or an error of kind `NotFound` if there is no such file.
    fn length(&self, file: &Path) -> Result<u64>;
    /// Removes a file.
    fn remove(&self, file: &Path) -> Result<()>;
    /// Renames a file and replaces any file of the new name.
    fn rename(&self, from: &Path, to: &Path) -> Result<()>;
    /// Syncs the file names in a folder to the disk before it returns.
    fn sync(&self, folder: &Path) -> Result<()>;
    /// Opens a file as a database backend. With `new` it creates the file, and fails if the file exists.
    fn open_database(&self, file: &Path, new: bool) -> Result<Box<dyn StorageBackend>>;
    /// Opens a slot file. With `new` the file is created, or emptied if it exists.
    fn slot_file(&self, file: &Path, new: bool) -> Result<Box<dyn SlotFile>>;
    /// Draws how long the next call takes.
    fn call_duration(&self) -> Duration;
}

/// The disk that holds a store.
#[derive(Clone, Debug, Default)]
pub enum Disk {
    /// Files of the operating system. Calls block and run on threads of their own.
    #[default]
    Files,
    /// A simulated disk. Calls run on the thread of the caller, with simulated time before and after.
    Simulated(Arc<dyn SimulatedDisk>),
}

/// A simulated file as a storage backend of redb.
#[derive(Debug)]
struct SimulatedBackend(Box<dyn StorageBackend>);

impl StorageBackend for SimulatedBackend {
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
    /// Runs a blocking operation without blocking the runtime. Returns `None` if the operation panicked.
    pub async fn run_blocking<T: Send + 'static>(
        &self,
        operation: impl FnOnce() -> T + Send + 'static,
    ) -> Option<T> {
        match self {
            Self::Files => tokio::task::spawn_blocking(operation).await.ok(),
            Self::Simulated(disk) => {
                let (before, after) = (disk.call_duration(), disk.call_duration());
                tokio::time::sleep(before).await;
                let result = operation();
                tokio::time::sleep(after).await;
                Some(result)
            }
        }
    }

    /// Checks that a folder exists. A simulated disk has no folders and reports none as missing.
    pub fn check_folder(&self, folder: &Path) -> Result<()> {
        match self {
            Self::Files if !std::fs::metadata(folder)?.is_dir() => Err(ErrorKind::NotADirectory.into()),
            _ => Ok(()),
        }
    }

    /// Returns the length of a file, or an error of kind `NotFound` if there is no such file.
    pub fn length(&self, file: &Path) -> Result<u64> {
        match self {
            Self::Files => Ok(std::fs::metadata(file)?.len()),
            Self::Simulated(disk) => disk.length(file),
        }
    }

    /// Removes a file.
    pub fn remove(&self, file: &Path) -> Result<()> {
        match self {
            Self::Files => std::fs::remove_file(file),
            Self::Simulated(disk) => disk.remove(file),
        }
    }

    /// Renames a file and replaces any file of the new name.
    pub fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        match self {
            Self::Files => std::fs::rename(from, to),
            Self::Simulated(disk) => disk.rename(from, to),
        }
    }

    /// Syncs the file names in a folder to the disk before it returns.
    pub fn sync(&self, folder: &Path) -> Result<()> {
        match self {
            Self::Files => File::open(folder)?.sync_all(),
            Self::Simulated(disk) => disk.sync(folder),
        }
    }

    /// Creates a database in a new file. It is an error if the file exists.
    pub fn create(&self, builder: &Builder, file: &Path) -> std::result::Result<Database, DatabaseError> {
        match self {
            Self::Files => {
                drop(File::create_new(file)?);
                builder.create(file)
            }
            Self::Simulated(disk) => {
                builder.create_with_backend(SimulatedBackend(disk.open_database(file, true)?))
            }
        }
    }

    /// Opens the database in an existing file.
    pub fn open(&self, builder: &Builder, file: &Path) -> std::result::Result<Database, DatabaseError> {
        match self {
            Self::Files => builder.open(file),
            Self::Simulated(disk) => {
                builder.create_with_backend(SimulatedBackend(disk.open_database(file, false)?))
            }
        }
    }

    /// Opens a slot file. With `new` the file is created, or emptied if it exists.
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
