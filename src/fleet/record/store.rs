//! The voter's [`Store`]: a `redb` file with its identity, vote, log and snapshot. Each write is synced and then
//! recorded in the [high-water mark](super::mark) before it returns. All calls block: make them from a thread that may
//! block.

use std::io::ErrorKind;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError, RwLock};

use openraft::{Entry, LogId, SnapshotMeta, Vote};
use redb::{
    Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize, Serializer};
use thiserror::Error;

use super::disk::Disk;
use super::error::RecordError;
use super::mark::{Mark, OpenedMark};
use crate::fleet::wire::raft::{NodeId, Types, Voter};

/// Name of the file with the store.
pub const STORE_FILE: &str = "record.redb";
/// Name of the file with the high-water mark.
pub const MARK_FILE: &str = "record.mark";
/// Name of a store file that is being created.
const NEW_STORE_FILE: &str = "record.new";
/// Number of the store's format.
const FORMAT_VERSION: u64 = 1;
/// Size of redb's page cache in bytes.
const CACHE_BYTES: usize = 8 << 20;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

const IDENTITY: &str = "identity";
const WRITE: &str = "write";
const VOTE: &str = "vote";
const COMMITTED: &str = "committed";
const PURGED: &str = "purged";
const SNAPSHOT: &str = "snapshot";

/// Identifies the fleet and the voter that a store belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The number of the store's format.
    format: u64,
    /// The fleet's name.
    fleet: String,
    /// The voter's name.
    name: String,
    /// The number of the store.
    node: NodeId,
}

/// The last entry that was purged, and the last entry of the log.
pub type LogEnds = (Option<LogId<NodeId>>, Option<LogId<NodeId>>);

/// A stored snapshot: its metadata and the encoded state.
pub type StoredSnapshot = (SnapshotMeta<NodeId, Voter>, Vec<u8>);

/// Why an operation of the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// An error of `redb` or of the file system.
    #[error(transparent)]
    Redb(Box<redb::Error>),
    /// The named item is missing, invalid or too long.
    #[error("{0} cannot be read")]
    Unreadable(&'static str),
    /// The store is closed.
    #[error("the store is closed")]
    Closed,
    /// An operation panicked.
    #[error("an operation of the store panicked")]
    Panicked,
}

impl<E: Into<redb::Error>> From<E> for StoreError {
    fn from(error: E) -> Self {
        Self::Redb(Box::new(error.into()))
    }
}

type Result<T, E = StoreError> = std::result::Result<T, E>;

/// The store of a voter.
#[derive(Debug)]
pub struct Store {
    database: RwLock<Option<Database>>,
    mark: Mutex<Mark>,
    /// The last entry that is known to be committed. It is stored with the next write, and a restart applies the log up
    /// to it.
    committed: Mutex<Option<LogId<NodeId>>>,
    node: NodeId,
    disk: Disk,
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // This fails only for sequences of unknown length, which no stored type has.
    postcard::to_allocvec(value).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(bytes: &[u8], item: &'static str) -> Result<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(StoreError::Unreadable(item)),
    }
}

fn get_value<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &'static str,
) -> Result<Option<T>> {
    table.get(key)?.map(|value| decode(value.value(), key)).transpose()
}

/// Bytes that are serialized as a whole, because millions of them take seconds one by one. The encoding is the same as
/// that of a byte vector.
struct RawBytes<'a>(&'a [u8]);

impl Serialize for RawBytes<'_> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(self.0)
    }
}

fn read_snapshot(table: &impl ReadableTable<&'static str, &'static [u8]>) -> Result<Option<StoredSnapshot>> {
    let Some(value) = table.get(SNAPSHOT)? else { return Ok(None) };
    match postcard::take_from_bytes::<(SnapshotMeta<NodeId, Voter>, &[u8])>(value.value()) {
        Ok(((meta, data), [])) => Ok(Some((meta, data.to_vec()))),
        _ => Err(StoreError::Unreadable(SNAPSHOT)),
    }
}

/// Commits one numbered write, syncs it and returns its number.
fn write(database: &Database, change: impl FnOnce(&WriteTransaction) -> Result<()>) -> Result<u64> {
    let transaction = database.begin_write()?;
    change(&transaction)?;
    let number = {
        let mut meta = transaction.open_table(META)?;
        let number = get_value::<u64>(&meta, WRITE)?.unwrap_or(0) + 1;
        meta.insert(WRITE, &*encode(&number))?;
        number
    };
    // With the default durability the write is on the disk when this returns.
    transaction.commit()?;
    Ok(number)
}

impl Store {
    /// Opens the store of a voter in its folder, or creates one with the number `new_node` in an empty folder.
    ///
    /// # Errors
    /// Returns a [`RecordError`] for a folder or store that cannot be used. No new store is created in place of a
    /// damaged one.
    pub fn open(folder: &Path, fleet: &str, name: &str, new_node: NodeId) -> Result<Self, RecordError> {
        Self::open_on(&Disk::Files, folder, fleet, name, new_node)
    }

    /// Does the same as [`Store::open`] on any disk.
    ///
    /// # Errors
    /// The same as for [`Store::open`].
    pub fn open_on(
        disk: &Disk,
        folder: &Path,
        fleet: &str,
        name: &str,
        new_node: NodeId,
    ) -> Result<Self, RecordError> {
        let folder_error =
            |error: std::io::Error| RecordError::Folder { folder: folder.into(), kind: error.kind() };
        disk.check_folder(folder).map_err(folder_error)?;
        let (store_file, mark_file) = (folder.join(STORE_FILE), folder.join(MARK_FILE));
        let io_error =
            |file: &Path, error: std::io::Error| RecordError::Io { file: file.into(), kind: error.kind() };
        match disk.length(&store_file) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::NotFound => {
                if disk.length(&mark_file).is_ok() {
                    let reason = "the file is missing although its mark exists".into();
                    return Err(RecordError::Corrupt { file: store_file, reason });
                }
                let identity = Identity {
                    format: FORMAT_VERSION,
                    fleet: fleet.into(),
                    name: name.into(),
                    node: new_node,
                };
                create(disk, folder, &identity).map_err(|error| {
                    match to_record_error(&folder.join(NEW_STORE_FILE), error) {
                        RecordError::Io { kind, .. } => folder_error(kind.into()),
                        error => error,
                    }
                })?;
            }
            Err(error) => return Err(io_error(&store_file, error)),
        }
        // redb may panic on a file that was tampered with. To an operator that is the same as any other damage.
        let opened = catch_unwind(AssertUnwindSafe(|| open_checked(disk, &store_file, fleet, name)));
        let panicked = |_| RecordError::Corrupt {
            file: store_file.clone(),
            reason: "its pages are inconsistent".into(),
        };
        let (database, node, last_write, committed) = opened.map_err(panicked)??;
        let mark = match Mark::open(disk, &mark_file, node).map_err(|error| io_error(&mark_file, error))? {
            OpenedMark::Valid(mark) if mark.last_write() > last_write => {
                return Err(RecordError::Behind {
                    file: store_file,
                    found: last_write,
                    acknowledged: mark.last_write(),
                });
            }
            // After a kill between the write and the mark, the store may be ahead of its mark. The mark advances now,
            // because other voters rely on what the store holds without a further write: an entry in it acknowledges
            // the leader's next message.
            OpenedMark::Valid(mut opened_mark) => {
                opened_mark.advance_to(last_write).map_err(|error| io_error(&mark_file, error))?;
                opened_mark
            }
            // The first write creates the store: the process was killed before it created the mark.
            OpenedMark::Missing if last_write <= 1 => Mark::create(disk, &mark_file, node, last_write)
                .map_err(|error| io_error(&mark_file, error))?,
            OpenedMark::Missing => {
                return Err(RecordError::Corrupt { file: mark_file, reason: "the file is missing".into() })
            }
            OpenedMark::Corrupt => {
                return Err(RecordError::Corrupt {
                    file: mark_file,
                    reason: "it is not a valid mark of the store".into(),
                })
            }
        };
        let (mark, committed) = (Mutex::new(mark), Mutex::new(committed));
        Ok(Self { database: RwLock::new(Some(database)), mark, committed, node, disk: disk.clone() })
    }

    /// Returns the number of the store.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Returns the disk that holds the store.
    pub fn disk(&self) -> &Disk {
        &self.disk
    }

    /// Closes the file after the operations in progress. All later calls fail.
    pub fn close(&self) {
        drop(self.database.write().unwrap_or_else(PoisonError::into_inner).take());
    }

    fn with_database<T>(&self, operation: impl FnOnce(&Database) -> Result<T>) -> Result<T> {
        let database = self.database.read().unwrap_or_else(PoisonError::into_inner);
        operation(database.as_ref().ok_or(StoreError::Closed)?)
    }

    fn read_meta<T: DeserializeOwned>(&self, key: &'static str) -> Result<Option<T>> {
        self.with_database(|database| get_value(&database.begin_read()?.open_table(META)?, key))
    }

    fn write(&self, change: impl FnOnce(&WriteTransaction) -> Result<()>) -> Result<()> {
        let committed = *self.committed.lock().unwrap_or_else(PoisonError::into_inner);
        let change_and_committed = |transaction: &WriteTransaction| {
            if let Some(committed) = committed {
                transaction.open_table(META)?.insert(COMMITTED, &*encode(&committed))?;
            }
            change(transaction)
        };
        let number = self.with_database(|database| write(database, change_and_committed))?;
        Ok(self.mark.lock().unwrap_or_else(PoisonError::into_inner).advance_to(number)?)
    }

    /// Returns the last vote.
    pub fn vote(&self) -> Result<Option<Vote<NodeId>>> {
        self.read_meta(VOTE)
    }

    /// Stores a vote.
    pub fn save_vote(&self, vote: &Vote<NodeId>) -> Result<()> {
        self.write(|t| t.open_table(META)?.insert(VOTE, &*encode(vote)).map(|_| ()).map_err(Into::into))
    }

    /// Returns the last entry that is known to be committed.
    pub fn committed(&self) -> Option<LogId<NodeId>> {
        *self.committed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the last entry that is known to be committed, which is stored with the next write.
    pub fn save_committed(&self, committed: Option<LogId<NodeId>>) {
        *self.committed.lock().unwrap_or_else(PoisonError::into_inner) = committed;
    }

    /// Returns the last entry that was purged, and the last entry of the log.
    pub fn log_ends(&self) -> Result<LogEnds> {
        let purged: Option<LogId<NodeId>> = self.read_meta(PURGED)?;
        let last = self.with_database(|database| {
            let log = database.begin_read()?.open_table(LOG)?;
            let last = log.last()?;
            last.map(|(_, value)| decode::<Entry<Types>>(value.value(), "an entry")).transpose()
        })?;
        Ok((purged, last.map(|entry| entry.log_id).or(purged)))
    }

    /// Returns the entries with an index in `range`, up to `max_bytes` bytes but at least one entry if there is any.
    pub fn entries(&self, range: std::ops::Range<u64>, max_bytes: usize) -> Result<Vec<Entry<Types>>> {
        self.with_database(|database| {
            let log = database.begin_read()?.open_table(LOG)?;
            let (mut entries, mut length) = (Vec::new(), 0);
            for item in log.range(range)? {
                let (_, value) = item?;
                length += value.value().len();
                if length > max_bytes && !entries.is_empty() {
                    break;
                }
                entries.push(decode(value.value(), "an entry")?);
            }
            Ok(entries)
        })
    }

    /// Appends entries to the log.
    pub fn append(&self, entries: &[Entry<Types>]) -> Result<()> {
        self.write(|transaction| {
            let mut log = transaction.open_table(LOG)?;
            for entry in entries {
                log.insert(entry.log_id.index, &*encode(entry))?;
            }
            Ok(())
        })
    }

    /// Removes the entries from `index` on.
    pub fn truncate(&self, index: u64) -> Result<()> {
        self.write(|transaction| {
            let mut log = transaction.open_table(LOG)?;
            log.retain_in(index.., |_, _| false)?;
            Ok(())
        })
    }

    /// Removes the entries up to and including `upto`.
    pub fn purge(&self, upto: LogId<NodeId>) -> Result<()> {
        self.write(|transaction| {
            transaction.open_table(LOG)?.retain_in(..=upto.index, |_, _| false)?;
            transaction.open_table(META)?.insert(PURGED, &*encode(&upto))?;
            Ok(())
        })
    }

    /// Returns the stored snapshot.
    pub fn snapshot(&self) -> Result<Option<StoredSnapshot>> {
        self.with_database(|database| read_snapshot(&database.begin_read()?.open_table(META)?))
    }

    /// Replaces the stored snapshot, unless that one includes later entries: while a snapshot is built here, a later
    /// one may arrive from the leader, and the log is purged up to that one.
    pub fn save_snapshot(&self, meta: &SnapshotMeta<NodeId, Voter>, data: &[u8]) -> Result<()> {
        self.write(|transaction| {
            let mut table = transaction.open_table(META)?;
            let previous = match table.get(SNAPSHOT)? {
                Some(value) => {
                    let decoded = postcard::take_from_bytes::<SnapshotMeta<NodeId, Voter>>(value.value());
                    decoded.map_err(|_| StoreError::Unreadable(SNAPSHOT))?.0.last_log_id
                }
                None => None,
            };
            if previous <= meta.last_log_id {
                table.insert(SNAPSHOT, &*encode(&(meta, RawBytes(data))))?;
            }
            Ok(())
        })
    }
}

/// Creates a store under a temporary name and renames it, so that an incomplete store is never opened.
fn create(disk: &Disk, folder: &Path, identity: &Identity) -> Result<()> {
    let new = folder.join(NEW_STORE_FILE);
    match disk.remove(&new) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error.into()),
        _ => {}
    }
    let database = disk.create(Builder::new().set_cache_size(CACHE_BYTES), &new)?;
    let number = write(&database, |transaction| {
        transaction.open_table(LOG)?;
        transaction.open_table(META)?.insert(IDENTITY, &*encode(identity))?;
        Ok(())
    })?;
    database.close()?;
    disk.rename(&new, &folder.join(STORE_FILE))?;
    disk.sync(folder)?;
    Mark::create(disk, &folder.join(MARK_FILE), identity.node, number)?;
    Ok(())
}

fn to_record_error(file: &Path, error: StoreError) -> RecordError {
    let file = PathBuf::from(file);
    match error {
        StoreError::Redb(error) => match *error {
            redb::Error::DatabaseAlreadyOpen => RecordError::InUse { file },
            redb::Error::Io(error)
                if !matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
            {
                RecordError::Io { file, kind: error.kind() }
            }
            error => RecordError::Corrupt { file, reason: error.to_string() },
        },
        error => RecordError::Corrupt { file, reason: error.to_string() },
    }
}

type OpenedStore = (Database, NodeId, u64, Option<LogId<NodeId>>);

/// Opens a store, and checks everything in it.
fn open_checked(disk: &Disk, file: &Path, fleet: &str, name: &str) -> Result<OpenedStore, RecordError> {
    let length = disk.length(file).map_err(|e| RecordError::Io { file: file.into(), kind: e.kind() })?;
    if length == 0 {
        // redb would create a new database in it.
        return Err(RecordError::Corrupt { file: file.into(), reason: "the file is empty".into() });
    }
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
    let database =
        disk.open(&builder, file).map_err(|error: DatabaseError| to_record_error(file, error.into()))?;
    let check_contents = || -> Result<(Identity, u64, Option<LogId<NodeId>>)> {
        let transaction = database.begin_read()?;
        let (meta, log) = (transaction.open_table(META)?, transaction.open_table(LOG)?);
        let identity: Identity = get_value(&meta, IDENTITY)?.ok_or(StoreError::Unreadable(IDENTITY))?;
        let last_write: u64 = get_value(&meta, WRITE)?.ok_or(StoreError::Unreadable(WRITE))?;
        get_value::<Vote<NodeId>>(&meta, VOTE)?;
        let snapshot = read_snapshot(&meta)?;
        let purged: Option<LogId<NodeId>> = get_value(&meta, PURGED)?;
        let index_after = |id: Option<LogId<NodeId>>| id.map_or(0, |id| id.index.saturating_add(1));
        let (mut next, after_snapshot) =
            (index_after(purged), index_after(snapshot.and_then(|(meta, _)| meta.last_log_id)));
        if next > after_snapshot {
            return Err(StoreError::Unreadable("the snapshot that includes the purged entries"));
        }
        for item in log.iter()? {
            let (index, value) = item?;
            let entry: Entry<Types> = decode(value.value(), "an entry")?;
            if index.value() != next || entry.log_id.index != next {
                return Err(StoreError::Unreadable("an entry at its index"));
            }
            next += 1;
        }
        let committed = get_value(&meta, COMMITTED)?;
        if index_after(committed) > next.max(after_snapshot) {
            return Err(StoreError::Unreadable("a committed entry"));
        }
        Ok((identity, last_write, committed))
    };
    let (identity, last_write, committed) = check_contents().map_err(|error| to_record_error(file, error))?;
    if identity.format != FORMAT_VERSION {
        return Err(RecordError::Format { file: file.into(), found: identity.format });
    }
    if (&*identity.fleet, &*identity.name) != (fleet, name) {
        let Identity { fleet, name, .. } = identity;
        return Err(RecordError::Foreign { file: file.into(), fleet, name });
    }
    Ok((database, identity.node, last_write, committed))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_snapshot_has_the_encoding_that_earlier_versions_wrote() {
        let data = vec![7; 300];
        assert_eq!(encode(&(1, RawBytes(&data))), encode(&(1, &data)));
    }
}
