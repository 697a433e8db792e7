//! The storage traits of `openraft` over the [`Store`], whose calls run on threads that may block: [`Log`] is the log,
//! [`StateMachine`] the state that results from its entries, and [`SnapshotBuilder`] writes snapshots of that state.

use std::io::Cursor;
use std::ops::{Bound, RangeBounds};
use std::sync::Arc;

use openraft::storage::{LogFlushed, RaftLogStorage, RaftStateMachine};
use openraft::{
    AnyError, Entry, EntryPayload, ErrorSubject, ErrorVerb, LogId, LogState, OptionalSend, RaftLogReader,
    RaftSnapshotBuilder, Snapshot, SnapshotMeta, StorageError, StorageIOError, StoredMembership, Vote,
};
use tokio::sync::watch;

use super::store::{Store, StoreError};
use super::{MAX_APPEND_BYTES, MAX_SNAPSHOT_BYTES};
use crate::fleet::state_machine::State;
use crate::fleet::wire::raft::{NodeId, Outcome, Types, Voter};

type Result<T> = std::result::Result<T, StorageError<NodeId>>;

fn storage_error(
    subject: ErrorSubject<NodeId>,
    verb: ErrorVerb,
    error: &(impl std::error::Error + 'static),
) -> StorageError<NodeId> {
    tracing::error!(%error, "the record's store failed; this voter stops");
    StorageIOError::new(subject, verb, AnyError::new(error)).into()
}

/// Runs an operation of the store on a thread that may block.
async fn run_blocking<T: Send + 'static>(
    store: &Arc<Store>,
    (subject, verb): (ErrorSubject<NodeId>, ErrorVerb),
    operation: impl FnOnce(&Store) -> std::result::Result<T, StoreError> + Send + 'static,
) -> Result<T> {
    let shared_store = store.clone();
    match store.disk().run_blocking(move || operation(&shared_store)).await {
        Some(Ok(result)) => Ok(result),
        Some(Err(error)) => Err(storage_error(subject, verb, &error)),
        None => Err(storage_error(subject, verb, &StoreError::Panicked)),
    }
}

/// The log of the store.
#[derive(Clone)]
pub struct Log(pub Arc<Store>);

impl RaftLogReader<Types> for Log {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + std::fmt::Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<Types>>> {
        let from = match range.start_bound() {
            Bound::Included(from) => *from,
            Bound::Excluded(before) => before.saturating_add(1),
            Bound::Unbounded => 0,
        };
        let to = match range.end_bound() {
            Bound::Included(last) => last.saturating_add(1),
            Bound::Excluded(to) => *to,
            Bound::Unbounded => u64::MAX,
        };
        let (logs, read) = (ErrorSubject::Logs, ErrorVerb::Read);
        run_blocking(&self.0, (logs, read), move |store| store.entries(from..to, usize::MAX)).await
    }

    /// Reads as many entries as are sure to fit into one frame.
    async fn limited_get_log_entries(&mut self, start: u64, end: u64) -> Result<Vec<Entry<Types>>> {
        let (logs, read) = (ErrorSubject::Logs, ErrorVerb::Read);
        run_blocking(&self.0, (logs, read), move |store| store.entries(start..end, MAX_APPEND_BYTES)).await
    }
}

impl RaftLogStorage<Types> for Log {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<Types>> {
        let (last_purged_log_id, last_log_id) =
            run_blocking(&self.0, (ErrorSubject::Logs, ErrorVerb::Read), Store::log_ends).await?;
        Ok(LogState { last_purged_log_id, last_log_id })
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<NodeId>) -> Result<()> {
        let vote = *vote;
        run_blocking(&self.0, (ErrorSubject::Vote, ErrorVerb::Write), move |store| store.save_vote(&vote))
            .await
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<NodeId>>> {
        let vote = run_blocking(&self.0, (ErrorSubject::Vote, ErrorVerb::Read), Store::vote).await?;
        // openraft reads the vote once, at the start. It would let a former leader continue to lead in its term. But
        // the times of a term are on the clock of the process that was elected in it, so this process has to be elected
        // again in a later term.
        let own_node = self.0.node();
        Ok(vote.map(|vote| match vote.committed && vote.leader_id.voted_for() == Some(own_node) {
            true => Vote::new(vote.leader_id.get_term(), own_node),
            false => vote,
        }))
    }

    async fn save_committed(&mut self, committed: Option<LogId<NodeId>>) -> Result<()> {
        self.0.save_committed(committed);
        Ok(())
    }

    async fn read_committed(&mut self) -> Result<Option<LogId<NodeId>>> {
        Ok(self.0.committed())
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<()>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries: Vec<_> = entries.into_iter().collect();
        let (logs, write) = (ErrorSubject::Logs, ErrorVerb::Write);
        let result = run_blocking(&self.0, (logs, write), move |store| store.append(&entries)).await;
        callback.log_io_completed(result.as_ref().map_err(|e| std::io::Error::other(e.to_string())).copied());
        result
    }

    async fn truncate(&mut self, log_id: LogId<NodeId>) -> Result<()> {
        let (logs, delete) = (ErrorSubject::Logs, ErrorVerb::Delete);
        run_blocking(&self.0, (logs, delete), move |store| store.truncate(log_id.index)).await
    }

    async fn purge(&mut self, log_id: LogId<NodeId>) -> Result<()> {
        run_blocking(&self.0, (ErrorSubject::Logs, ErrorVerb::Delete), move |store| store.purge(log_id)).await
    }
}

/// The number of applied entries, and the resulting state.
pub type AppliedState = (u64, Arc<State>);

/// The state machine of the log. The store does not hold its state, only snapshots: a restart restores the last
/// snapshot and applies the log up to the last entry that was known to be committed.
pub struct StateMachine {
    store: Arc<Store>,
    published: watch::Sender<AppliedState>,
    state: Arc<State>,
    applied: Option<LogId<NodeId>>,
    membership: StoredMembership<NodeId, Voter>,
}

impl StateMachine {
    /// Restores the snapshot of the store. The newest state is always sent to `published`.
    pub fn new(
        store: Arc<Store>,
        published: watch::Sender<AppliedState>,
    ) -> std::result::Result<Self, StoreError> {
        let snapshot = store.snapshot()?;
        let mut machine = Self {
            store,
            published,
            state: Arc::default(),
            applied: None,
            membership: StoredMembership::default(),
        };
        if let Some((meta, data)) = snapshot {
            machine.restore(&meta, decode_state(&data)?);
        }
        Ok(machine)
    }

    fn publish(&self) {
        self.published
            .send_replace((self.applied.map_or(0, |applied| applied.index + 1), self.state.clone()));
    }

    fn restore(&mut self, meta: &SnapshotMeta<NodeId, Voter>, state: State) {
        self.state = Arc::new(state);
        (self.applied, self.membership) = (meta.last_log_id, meta.last_membership.clone());
        self.publish();
    }
}

fn decode_state(data: &[u8]) -> std::result::Result<State, StoreError> {
    let state = postcard::take_from_bytes(data).ok().filter(|(_, rest)| rest.is_empty());
    state.map(|(state, _)| state).ok_or(StoreError::Unreadable("the snapshot"))
}

impl RaftStateMachine<Types> for StateMachine {
    type SnapshotBuilder = SnapshotBuilder;

    async fn applied_state(&mut self) -> Result<(Option<LogId<NodeId>>, StoredMembership<NodeId, Voter>)> {
        Ok((self.applied, self.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Outcome>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut outcomes = Vec::new();
        for entry in entries {
            self.applied = Some(entry.log_id);
            outcomes.push(match entry.payload {
                EntryPayload::Blank => None,
                EntryPayload::Normal(fleet_entry) => {
                    let checked = fleet_entry.check_term(entry.log_id.leader_id.term);
                    Some(checked.and_then(|()| Arc::make_mut(&mut self.state).apply(&fleet_entry)))
                }
                EntryPayload::Membership(membership) => {
                    self.membership = StoredMembership::new(Some(entry.log_id), membership);
                    None
                }
            });
        }
        // Published before openraft counts the entries as applied, so that whoever sees the count sees the state.
        self.publish();
        Ok(outcomes)
    }

    async fn get_snapshot_builder(&mut self) -> SnapshotBuilder {
        SnapshotBuilder {
            store: self.store.clone(),
            state: self.state.clone(),
            applied: self.applied,
            membership: self.membership.clone(),
        }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<NodeId, Voter>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<()> {
        let (stored_meta, data) = (meta.clone(), snapshot.into_inner());
        let subject = (ErrorSubject::Snapshot(Some(meta.signature())), ErrorVerb::Write);
        // Decoded before it is stored, and on a thread that may block: a voter that receives nothing for too long would
        // start an election.
        let state = run_blocking(&self.store, subject, move |store| {
            let state = decode_state(&data)?;
            store.save_snapshot(&stored_meta, &data)?;
            Ok(state)
        });
        self.restore(meta, state.await?);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>> {
        let subject = (ErrorSubject::Snapshot(None), ErrorVerb::Read);
        let stored = run_blocking(&self.store, subject, Store::snapshot).await?;
        Ok(stored.map(|(meta, data)| Snapshot { meta, snapshot: Box::new(Cursor::new(data)) }))
    }
}

/// Writes a snapshot of the state at the time when the builder was created.
pub struct SnapshotBuilder {
    store: Arc<Store>,
    state: Arc<State>,
    applied: Option<LogId<NodeId>>,
    membership: StoredMembership<NodeId, Voter>,
}

impl RaftSnapshotBuilder<Types> for SnapshotBuilder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>> {
        let (state, applied, membership) = (self.state.clone(), self.applied, self.membership.clone());
        // Two snapshots with the same id have the same bytes, because the state follows from the log.
        let snapshot_id = applied.map_or_else(|| "0".to_string(), |applied| applied.to_string());
        let meta = SnapshotMeta { last_log_id: applied, last_membership: membership, snapshot_id };
        let (stored_meta, subject) =
            (meta.clone(), (ErrorSubject::Snapshot(Some(meta.signature())), ErrorVerb::Write));
        let data = run_blocking(&self.store, subject, move |store| {
            let data = postcard::to_allocvec(&*state).map_err(|_| StoreError::Unreadable("the state"))?;
            if data.len() > MAX_SNAPSHOT_BYTES {
                return Err(StoreError::Unreadable("a state over the length limit of a snapshot"));
            }
            store.save_snapshot(&stored_meta, &data)?;
            Ok(data)
        })
        .await?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(data)) })
    }
}
