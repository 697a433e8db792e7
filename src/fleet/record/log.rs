//! The log and the state machine, as `openraft` wants them: the store's calls on threads that may block.

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
use super::{MOST_SNAPSHOT, PAYLOAD};
use crate::fleet::state_machine::State;
use crate::fleet::wire::raft::{NodeId, Outcome, Types, Voter};

type Result<T> = std::result::Result<T, StorageError<NodeId>>;

fn wrong(
    subject: ErrorSubject<NodeId>,
    verb: ErrorVerb,
    error: &(impl std::error::Error + 'static),
) -> StorageError<NodeId> {
    tracing::error!(%error, "the record's store failed: this voter stops");
    StorageIOError::new(subject, verb, AnyError::new(error)).into()
}

/// Has the store do something on a thread that may block.
async fn blocking<T: Send + 'static>(
    store: &Arc<Store>,
    (subject, verb): (ErrorSubject<NodeId>, ErrorVerb),
    act: impl FnOnce(&Store) -> std::result::Result<T, StoreError> + Send + 'static,
) -> Result<T> {
    let held = store.clone();
    match store.disk().run(move || act(&held)).await {
        Some(Ok(done)) => Ok(done),
        Some(Err(error)) => Err(wrong(subject, verb, &error)),
        None => Err(wrong(subject, verb, &StoreError::Panicked)),
    }
}

/// The log.
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
        blocking(&self.0, (logs, read), move |store| store.entries(from..to, usize::MAX)).await
    }

    /// As many as a frame holds for certain.
    async fn limited_get_log_entries(&mut self, start: u64, end: u64) -> Result<Vec<Entry<Types>>> {
        let (logs, read) = (ErrorSubject::Logs, ErrorVerb::Read);
        blocking(&self.0, (logs, read), move |store| store.entries(start..end, PAYLOAD)).await
    }
}

impl RaftLogStorage<Types> for Log {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<Types>> {
        let (last_purged_log_id, last_log_id) =
            blocking(&self.0, (ErrorSubject::Logs, ErrorVerb::Read), Store::ends).await?;
        Ok(LogState { last_purged_log_id, last_log_id })
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<NodeId>) -> Result<()> {
        let vote = *vote;
        blocking(&self.0, (ErrorSubject::Vote, ErrorVerb::Write), move |store| store.save_vote(&vote)).await
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<NodeId>>> {
        let vote = blocking(&self.0, (ErrorSubject::Vote, ErrorVerb::Read), Store::vote).await?;
        // Asked once, at the start. openraft would have a voter that led lead on in its term; but a term's moments are on
        // the clock of the life that was elected in it. So this life has to be elected again, in a later term.
        let own = self.0.node();
        Ok(vote.map(|vote| match vote.committed && vote.leader_id.voted_for() == Some(own) {
            true => Vote::new(vote.leader_id.get_term(), own),
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
        let (logs, put) = (ErrorSubject::Logs, ErrorVerb::Write);
        let done = blocking(&self.0, (logs, put), move |store| store.append(&entries)).await;
        callback.log_io_completed(done.as_ref().map_err(|e| std::io::Error::other(e.to_string())).copied());
        done
    }

    async fn truncate(&mut self, log_id: LogId<NodeId>) -> Result<()> {
        let (logs, delete) = (ErrorSubject::Logs, ErrorVerb::Delete);
        blocking(&self.0, (logs, delete), move |store| store.truncate(log_id.index)).await
    }

    async fn purge(&mut self, log_id: LogId<NodeId>) -> Result<()> {
        blocking(&self.0, (ErrorSubject::Logs, ErrorVerb::Delete), move |store| store.purge(log_id)).await
    }
}

/// How many entries are applied, and what they come to.
pub type Shown = (u64, Arc<State>);

/// What the entries come to. It is not kept by itself: a restart takes the snapshot, and applies the log up to what was
/// known to be committed.
pub struct Machine {
    store: Arc<Store>,
    shown: watch::Sender<Shown>,
    state: Arc<State>,
    applied: Option<LogId<NodeId>>,
    membership: StoredMembership<NodeId, Voter>,
}

impl Machine {
    /// With the snapshot of the store. `shown` always has the newest state.
    pub fn new(store: Arc<Store>, shown: watch::Sender<Shown>) -> std::result::Result<Self, StoreError> {
        let kept = store.snapshot()?;
        let mut machine = Self {
            store,
            shown,
            state: Arc::default(),
            applied: None,
            membership: StoredMembership::default(),
        };
        if let Some((meta, data)) = kept {
            machine.take(&meta, state_of(&data)?);
        }
        Ok(machine)
    }

    fn show(&self) {
        self.shown.send_replace((self.applied.map_or(0, |applied| applied.index + 1), self.state.clone()));
    }

    fn take(&mut self, meta: &SnapshotMeta<NodeId, Voter>, state: State) {
        self.state = Arc::new(state);
        (self.applied, self.membership) = (meta.last_log_id, meta.last_membership.clone());
        self.show();
    }
}

fn state_of(data: &[u8]) -> std::result::Result<State, StoreError> {
    let state = postcard::take_from_bytes(data).ok().filter(|(_, rest)| rest.is_empty());
    state.map(|(state, _)| state).ok_or(StoreError::Unreadable("the snapshot"))
}

impl RaftStateMachine<Types> for Machine {
    type SnapshotBuilder = Builder;

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
                EntryPayload::Normal(decided) => {
                    let fits = decided.fits(entry.log_id.leader_id.term);
                    Some(fits.and_then(|()| Arc::make_mut(&mut self.state).apply(&decided)))
                }
                EntryPayload::Membership(membership) => {
                    self.membership = StoredMembership::new(Some(entry.log_id), membership);
                    None
                }
            });
        }
        // Before openraft hears of it: whoever sees that an entry is applied sees its state.
        self.show();
        Ok(outcomes)
    }

    async fn get_snapshot_builder(&mut self) -> Builder {
        Builder {
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
        let (kept, data) = (meta.clone(), snapshot.into_inner());
        let subject = (ErrorSubject::Snapshot(Some(meta.signature())), ErrorVerb::Write);
        // Read before it is kept, and where it may take its time: a voter that hears nothing meanwhile stands for election.
        let state = blocking(&self.store, subject, move |store| {
            let state = state_of(&data)?;
            store.save_snapshot(&kept, &data)?;
            Ok(state)
        });
        self.take(meta, state.await?);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>> {
        let subject = (ErrorSubject::Snapshot(None), ErrorVerb::Read);
        let kept = blocking(&self.store, subject, Store::snapshot).await?;
        Ok(kept.map(|(meta, data)| Snapshot { meta, snapshot: Box::new(Cursor::new(data)) }))
    }
}

/// Writes a snapshot of one moment.
pub struct Builder {
    store: Arc<Store>,
    state: Arc<State>,
    applied: Option<LogId<NodeId>>,
    membership: StoredMembership<NodeId, Voter>,
}

impl RaftSnapshotBuilder<Types> for Builder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>> {
        let (state, applied, membership) = (self.state.clone(), self.applied, self.membership.clone());
        // Two snapshots with one name have the same bytes: the state follows from the log.
        let snapshot_id = applied.map_or_else(|| "0".to_string(), |applied| applied.to_string());
        let meta = SnapshotMeta { last_log_id: applied, last_membership: membership, snapshot_id };
        let (kept, subject) =
            (meta.clone(), (ErrorSubject::Snapshot(Some(meta.signature())), ErrorVerb::Write));
        let data = blocking(&self.store, subject, move |store| {
            let data = postcard::to_allocvec(&*state).map_err(|_| StoreError::Unreadable("the state"))?;
            if data.len() > MOST_SNAPSHOT {
                return Err(StoreError::Unreadable("a state over the bound of a snapshot"));
            }
            store.save_snapshot(&kept, &data)?;
            Ok(data)
        })
        .await?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(data)) })
    }
}
