//! The voter's own file: its identity, vote, log and snapshot, in `redb`. Each write is synced, and then promised in the
//! [mark](super::mark), before it returns. All of it blocks: call it from a thread that may.

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
use super::mark::{Found, Mark};
use crate::fleet::wire::raft::{NodeId, Types, Voter};

/// The file with the log.
pub const STORE: &str = "record.redb";
/// The file with the last write that was promised.
pub const MARK: &str = "record.mark";
/// A store in the making.
const NEW: &str = "record.new";
/// The number of this layout.
const FORMAT: u64 = 1;
/// Of redb's pages, in bytes.
const CACHE: usize = 8 << 20;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

const IDENTITY: &str = "identity";
const WRITE: &str = "write";
const VOTE: &str = "vote";
const COMMITTED: &str = "committed";
const PURGED: &str = "purged";
const SNAPSHOT: &str = "snapshot";

/// Whose store it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The number of the layout.
    format: u64,
    /// The fleet's name.
    fleet: String,
    /// The voter's name.
    name: String,
    /// The number of the store.
    node: NodeId,
}

/// The last entry that was purged, and the last one that is there.
pub type Ends = (Option<LogId<NodeId>>, Option<LogId<NodeId>>);

/// A snapshot as it is kept.
pub type Kept = (SnapshotMeta<NodeId, Voter>, Vec<u8>);

/// Why the store did not do it.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Of `redb`, or of the file system.
    #[error(transparent)]
    Redb(Box<redb::Error>),
    /// What is kept is not what was written.
    #[error("{0} cannot be read")]
    Unreadable(&'static str),
    /// It is closed.
    #[error("the store is closed")]
    Closed,
    /// A call ended in the middle, by a panic.
    #[error("a call of the store panicked")]
    Panicked,
}

impl<E: Into<redb::Error>> From<E> for StoreError {
    fn from(error: E) -> Self {
        Self::Redb(Box::new(error.into()))
    }
}

type Result<T, E = StoreError> = std::result::Result<T, E>;

/// The store.
#[derive(Debug)]
pub struct Store {
    database: RwLock<Option<Database>>,
    mark: Mutex<Mark>,
    /// Known to be committed, and written along with the next write: a restart applies the log that far.
    committed: Mutex<Option<LogId<NodeId>>>,
    node: NodeId,
    disk: Disk,
}

fn bytes<T: Serialize>(value: &T) -> Vec<u8> {
    // It fails only for types whose lengths are not known, and there are none.
    postcard::to_allocvec(value).unwrap_or_default()
}

fn read<T: DeserializeOwned>(bytes: &[u8], what: &'static str) -> Result<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(StoreError::Unreadable(what)),
    }
}

fn get<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &'static str,
) -> Result<Option<T>> {
    table.get(key)?.map(|value| read(value.value(), key)).transpose()
}

/// Bytes that are written at once: one after another they take seconds where there are millions. It reads the same.
struct Whole<'a>(&'a [u8]);

impl Serialize for Whole<'_> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(self.0)
    }
}

fn kept(table: &impl ReadableTable<&'static str, &'static [u8]>) -> Result<Option<Kept>> {
    let Some(value) = table.get(SNAPSHOT)? else { return Ok(None) };
    match postcard::take_from_bytes::<(SnapshotMeta<NodeId, Voter>, &[u8])>(value.value()) {
        Ok(((meta, data), [])) => Ok(Some((meta, data.to_vec()))),
        _ => Err(StoreError::Unreadable(SNAPSHOT)),
    }
}

/// Applies one write, numbers it, and syncs it.
fn write(database: &Database, change: impl FnOnce(&WriteTransaction) -> Result<()>) -> Result<u64> {
    let transaction = database.begin_write()?;
    change(&transaction)?;
    let number = {
        let mut meta = transaction.open_table(META)?;
        let number = get::<u64>(&meta, WRITE)?.unwrap_or(0) + 1;
        meta.insert(WRITE, &*bytes(&number))?;
        number
    };
    // The default durability: on the disk when it returns.
    transaction.commit()?;
    Ok(number)
}

impl Store {
    /// Opens the store of a voter in its folder, or makes a new one in an empty folder, with the number `drawn`.
    ///
    /// # Errors
    /// [`RecordError`] for a folder or store that cannot be used; nothing else is made in its place.
    pub fn open(folder: &Path, fleet: &str, name: &str, drawn: NodeId) -> Result<Self, RecordError> {
        Self::open_on(&Disk::Files, folder, fleet, name, drawn)
    }

    /// The same on any disk.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_on(
        disk: &Disk,
        folder: &Path,
        fleet: &str,
        name: &str,
        drawn: NodeId,
    ) -> Result<Self, RecordError> {
        let wrong = |error: std::io::Error| RecordError::Folder { folder: folder.into(), kind: error.kind() };
        disk.check(folder).map_err(wrong)?;
        let (store, mark) = (folder.join(STORE), folder.join(MARK));
        let io =
            |file: &Path, error: std::io::Error| RecordError::Io { file: file.into(), kind: error.kind() };
        match disk.length(&store) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::NotFound => {
                if disk.length(&mark).is_ok() {
                    let reason = "it is gone, and its mark is there".into();
                    return Err(RecordError::Corrupt { file: store, reason });
                }
                let identity =
                    Identity { format: FORMAT, fleet: fleet.into(), name: name.into(), node: drawn };
                create(disk, folder, &identity).map_err(|error| match typed(&folder.join(NEW), error) {
                    RecordError::Io { kind, .. } => wrong(kind.into()),
                    error => error,
                })?;
            }
            Err(error) => return Err(io(&store, error)),
        }
        // A file that was tampered with may make redb panic: that is the same to an operator.
        let opened = catch_unwind(AssertUnwindSafe(|| load(disk, &store, fleet, name)));
        let spoilt = |_| RecordError::Corrupt {
            file: store.clone(),
            reason: "its pages contradict each other".into(),
        };
        let (database, node, found, committed) = opened.map_err(spoilt)??;
        let mark = match Mark::open(disk, &mark, node).map_err(|error| io(&mark, error))? {
            Found::Mark(mark) if mark.write() > found => {
                return Err(RecordError::Behind { file: store, found, acknowledged: mark.write() });
            }
            // It may be ahead, after a kill between the two. Others count on what is shown from here on without a
            // further write: an entry that is there answers the leader's next message.
            Found::Mark(mut it) => {
                it.promise(found).map_err(|error| io(&mark, error))?;
                it
            }
            // The first write makes the store: it was killed before it made the mark.
            Found::Nothing if found <= 1 => {
                Mark::create(disk, &mark, node, found).map_err(|error| io(&mark, error))?
            }
            Found::Nothing => return Err(RecordError::Corrupt { file: mark, reason: "it is gone".into() }),
            Found::Spoilt => {
                return Err(RecordError::Corrupt {
                    file: mark,
                    reason: "it is not the mark of the store".into(),
                })
            }
        };
        let (mark, committed) = (Mutex::new(mark), Mutex::new(committed));
        Ok(Self { database: RwLock::new(Some(database)), mark, committed, node, disk: disk.clone() })
    }

    /// The number of the store.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// What it is kept on.
    pub fn disk(&self) -> &Disk {
        &self.disk
    }

    /// Releases the file, after what is under way. All later calls fail.
    pub fn close(&self) {
        drop(self.database.write().unwrap_or_else(PoisonError::into_inner).take());
    }

    fn with<T>(&self, act: impl FnOnce(&Database) -> Result<T>) -> Result<T> {
        let database = self.database.read().unwrap_or_else(PoisonError::into_inner);
        act(database.as_ref().ok_or(StoreError::Closed)?)
    }

    fn meta<T: DeserializeOwned>(&self, key: &'static str) -> Result<Option<T>> {
        self.with(|database| get(&database.begin_read()?.open_table(META)?, key))
    }

    fn write(&self, change: impl FnOnce(&WriteTransaction) -> Result<()>) -> Result<()> {
        let committed = *self.committed.lock().unwrap_or_else(PoisonError::into_inner);
        let along = |transaction: &WriteTransaction| {
            if let Some(committed) = committed {
                transaction.open_table(META)?.insert(COMMITTED, &*bytes(&committed))?;
            }
            change(transaction)
        };
        let number = self.with(|database| write(database, along))?;
        Ok(self.mark.lock().unwrap_or_else(PoisonError::into_inner).promise(number)?)
    }

    /// The last vote.
    pub fn vote(&self) -> Result<Option<Vote<NodeId>>> {
        self.meta(VOTE)
    }

    /// Keeps a vote.
    pub fn save_vote(&self, vote: &Vote<NodeId>) -> Result<()> {
        self.write(|t| t.open_table(META)?.insert(VOTE, &*bytes(vote)).map(|_| ()).map_err(Into::into))
    }

    /// What was known to be committed.
    pub fn committed(&self) -> Option<LogId<NodeId>> {
        *self.committed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Remembers what is committed, and keeps it with the next write.
    pub fn save_committed(&self, committed: Option<LogId<NodeId>>) {
        *self.committed.lock().unwrap_or_else(PoisonError::into_inner) = committed;
    }

    /// The last entry that was purged, and the last one that is there.
    pub fn ends(&self) -> Result<Ends> {
        let purged: Option<LogId<NodeId>> = self.meta(PURGED)?;
        let last = self.with(|database| {
            let log = database.begin_read()?.open_table(LOG)?;
            let last = log.last()?;
            last.map(|(_, value)| read::<Entry<Types>>(value.value(), "an entry")).transpose()
        })?;
        Ok((purged, last.map(|entry| entry.log_id).or(purged)))
    }

    /// Entries by their index, as many as there are, up to `most` bytes but at least one.
    pub fn entries(&self, range: std::ops::Range<u64>, most: usize) -> Result<Vec<Entry<Types>>> {
        self.with(|database| {
            let log = database.begin_read()?.open_table(LOG)?;
            let (mut entries, mut length) = (Vec::new(), 0);
            for item in log.range(range)? {
                let (_, value) = item?;
                length += value.value().len();
                if length > most && !entries.is_empty() {
                    break;
                }
                entries.push(read(value.value(), "an entry")?);
            }
            Ok(entries)
        })
    }

    /// Adds entries.
    pub fn append(&self, entries: &[Entry<Types>]) -> Result<()> {
        self.write(|transaction| {
            let mut log = transaction.open_table(LOG)?;
            for entry in entries {
                log.insert(entry.log_id.index, &*bytes(entry))?;
            }
            Ok(())
        })
    }

    /// Takes entries away from `index` on.
    pub fn truncate(&self, index: u64) -> Result<()> {
        self.write(|transaction| {
            let mut log = transaction.open_table(LOG)?;
            log.retain_in(index.., |_, _| false)?;
            Ok(())
        })
    }

    /// Takes entries away up to and with `upto`.
    pub fn purge(&self, upto: LogId<NodeId>) -> Result<()> {
        self.write(|transaction| {
            transaction.open_table(LOG)?.retain_in(..=upto.index, |_, _| false)?;
            transaction.open_table(META)?.insert(PURGED, &*bytes(&upto))?;
            Ok(())
        })
    }

    /// The snapshot.
    pub fn snapshot(&self) -> Result<Option<Kept>> {
        self.with(|database| kept(&database.begin_read()?.open_table(META)?))
    }

    /// Keeps a snapshot in place of the one before, unless that is of a later moment: one that is built here can be
    /// overtaken by one from the leader, up to which the log is purged then.
    pub fn save_snapshot(&self, meta: &SnapshotMeta<NodeId, Voter>, data: &[u8]) -> Result<()> {
        self.write(|transaction| {
            let mut table = transaction.open_table(META)?;
            let before = match table.get(SNAPSHOT)? {
                Some(value) => {
                    let before = postcard::take_from_bytes::<SnapshotMeta<NodeId, Voter>>(value.value());
                    before.map_err(|_| StoreError::Unreadable(SNAPSHOT))?.0.last_log_id
                }
                None => None,
            };
            if before <= meta.last_log_id {
                table.insert(SNAPSHOT, &*bytes(&(meta, Whole(data))))?;
            }
            Ok(())
        })
    }
}

/// Makes a store under another name first: a store is there whole or not at all.
fn create(disk: &Disk, folder: &Path, identity: &Identity) -> Result<()> {
    let new = folder.join(NEW);
    match disk.remove(&new) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error.into()),
        _ => {}
    }
    let database = disk.create(Builder::new().set_cache_size(CACHE), &new)?;
    let number = write(&database, |transaction| {
        transaction.open_table(LOG)?;
        transaction.open_table(META)?.insert(IDENTITY, &*bytes(identity))?;
        Ok(())
    })?;
    database.close()?;
    disk.rename(&new, &folder.join(STORE))?;
    disk.sync(folder)?;
    Mark::create(disk, &folder.join(MARK), identity.node, number)?;
    Ok(())
}

fn typed(file: &Path, error: StoreError) -> RecordError {
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

type Loaded = (Database, NodeId, u64, Option<LogId<NodeId>>);

/// Opens a store, and reads all that is in it.
fn load(disk: &Disk, file: &Path, fleet: &str, name: &str) -> Result<Loaded, RecordError> {
    let length = disk.length(file).map_err(|e| RecordError::Io { file: file.into(), kind: e.kind() })?;
    if length == 0 {
        // redb would make a new one of it.
        return Err(RecordError::Corrupt { file: file.into(), reason: "it is empty".into() });
    }
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE).set_check_integrity_on_open(true);
    let database = disk.open(&builder, file).map_err(|error: DatabaseError| typed(file, error.into()))?;
    let whole = || -> Result<(Identity, u64, Option<LogId<NodeId>>)> {
        let transaction = database.begin_read()?;
        let (meta, log) = (transaction.open_table(META)?, transaction.open_table(LOG)?);
        let identity: Identity = get(&meta, IDENTITY)?.ok_or(StoreError::Unreadable(IDENTITY))?;
        let number: u64 = get(&meta, WRITE)?.ok_or(StoreError::Unreadable(WRITE))?;
        get::<Vote<NodeId>>(&meta, VOTE)?;
        let snapshot = kept(&meta)?;
        let purged: Option<LogId<NodeId>> = get(&meta, PURGED)?;
        let after = |id: Option<LogId<NodeId>>| id.map_or(0, |id| id.index.saturating_add(1));
        let (mut next, kept) = (after(purged), after(snapshot.and_then(|(meta, _)| meta.last_log_id)));
        if next > kept {
            return Err(StoreError::Unreadable("the snapshot of what was purged"));
        }
        for item in log.iter()? {
            let (index, value) = item?;
            let entry: Entry<Types> = read(value.value(), "an entry")?;
            if index.value() != next || entry.log_id.index != next {
                return Err(StoreError::Unreadable("an entry in its place"));
            }
            next += 1;
        }
        let committed = get(&meta, COMMITTED)?;
        if after(committed) > next.max(kept) {
            return Err(StoreError::Unreadable("an entry that was committed"));
        }
        Ok((identity, number, committed))
    };
    let (identity, number, committed) = whole().map_err(|error| typed(file, error))?;
    if identity.format != FORMAT {
        return Err(RecordError::Format { file: file.into(), found: identity.format });
    }
    if (&*identity.fleet, &*identity.name) != (fleet, name) {
        let Identity { fleet, name, .. } = identity;
        return Err(RecordError::Foreign { file: file.into(), fleet, name });
    }
    Ok((database, identity.node, number, committed))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_snapshot_is_written_as_earlier_builds_wrote_it() {
        let data = vec![7; 300];
        assert_eq!(bytes(&(1, Whole(&data))), bytes(&(1, &data)));
    }
}
