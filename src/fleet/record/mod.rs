//! The record: the fleet's replicated log, which the voters keep. It runs `openraft` over [`wire`](super::wire) on a
//! store in the operator's folder that is synced before anything is acknowledged. `docs/record.md` compares the
//! alternatives and has the page for operators. [`Record`] is a voter's handle, [`Standing`] its view of leader and
//! term, [`Seat`] its role and [`RecordError`] what can go wrong at its start. All of this must be called within one
//! tokio runtime, which it never blocks.
//!
//! A store gets a random number when it is created. A voter that lost its folder comes back with another number and
//! does not vote until [`Record::admit`] replaces the earlier number: so no voter votes twice in a term.

pub mod disk;
mod election;
mod error;
mod log;
mod mark;
mod network;
mod seat;
pub mod store;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use openraft::error::{CheckIsLeaderError, ClientWriteError, ForwardToLeader, RaftError};
use openraft::{Config, Raft, RaftMetrics, ServerState, SnapshotPolicy};
use tokio::sync::{watch, Semaphore};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{timeout, timeout_at, Instant};

pub use error::{ConfirmError, RecordError, SubmitError};
pub use seat::Seat;

use super::random;
use super::state_machine::{Applied, Entry, Rejection, State};
use super::wire::message::{AdmitError, Hello, Request, Response};
use super::wire::raft::{NodeId, RaftRefusal, RaftRequest, RaftResponse, Types, Voter};
use super::wire::Client;
use disk::Disk;
use election::ShorterLog;
use log::{AppliedState, Log, StateMachine};
use network::VoterNetwork;
use store::Store;

/// Length limit of an entry in bytes: the longest table, with room for names.
pub const MAX_ENTRY_BYTES: usize = 80 << 10;
/// Bytes of entries that are sent in one message, unless a single entry is longer.
const MAX_APPEND_BYTES: usize = 512 << 10;
/// Length limit of a snapshot of the state in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 32 << 20;
/// Bytes of a snapshot that are sent in one message.
const SNAPSHOT_CHUNK_BYTES: u64 = 256 << 10;
/// Number of entries that may wait for a majority at once.
const MAX_PENDING_ENTRIES: usize = 64;
/// Timeout for a majority to accept an entry or to confirm the leader.
const MAJORITY_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of an admission.
const ADMIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Timeout for a voter's reply to a hello request.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

type RaftHandle = Raft<Types>;

/// Configuration of a voter's record.
#[derive(Clone, Debug)]
pub struct Options {
    /// The fleet's name.
    pub fleet: String,
    /// This voter's name, which must be one of the voters.
    pub name: String,
    /// The operator's folder, which must exist and hold nothing but the store.
    pub folder: PathBuf,
    /// Names and addresses of all voters, including this one.
    pub voters: Vec<(String, SocketAddr)>,
    /// Interval between two heartbeats of the leader.
    pub heartbeat: Duration,
    /// The shortest and the longest election timeout: a voter that has no leader starts an election after a random time
    /// between them. After an election that nobody won, the random time is between the shortest and the sum of both.
    pub election: (Duration, Duration),
    /// Number of entries after which a snapshot is made. A tenth of them stays in the log for voters that lag a little.
    pub snapshot_interval: u64,
    /// The disk that holds the folder.
    pub disk: Disk,
}

impl Options {
    /// Returns options with heartbeats every 100 ms, election timeouts of 400 to 800 ms and a snapshot after 1,000
    /// entries.
    pub fn new(
        fleet: impl Into<String>,
        name: impl Into<String>,
        folder: impl Into<PathBuf>,
        voters: Vec<(String, SocketAddr)>,
    ) -> Self {
        let (heartbeat, election) =
            (Duration::from_millis(100), (Duration::from_millis(400), Duration::from_millis(800)));
        Self {
            fleet: fleet.into(),
            name: name.into(),
            folder: folder.into(),
            voters,
            heartbeat,
            election,
            snapshot_interval: 1000,
            disk: Disk::Files,
        }
    }

    /// Returns the names of the voters, sorted.
    fn voter_names(&self) -> Vec<String> {
        let names: BTreeSet<_> = self.voters.iter().map(|(name, _)| name.clone()).collect();
        names.into_iter().collect()
    }

    /// Checks the options and returns the configuration for openraft.
    fn raft_config(&self) -> Result<Config, RecordError> {
        let names = self.voter_names();
        if !matches!(names.len(), 1 | 3 | 5) || names.len() != self.voters.len() {
            return Err(RecordError::Voters { count: names.len() });
        }
        if !names.contains(&self.name) {
            return Err(RecordError::NotAVoter { name: self.name.clone() });
        }
        let (heartbeat, (min, max)) = (self.heartbeat, self.election);
        if heartbeat.is_zero() || min < heartbeat * 2 || max.as_millis() <= min.as_millis() {
            return Err(RecordError::Timing { heartbeat, min, max });
        }
        let ms = |time: Duration| time.as_millis() as u64;
        let config = Config {
            cluster_name: self.fleet.clone(),
            heartbeat_interval: ms(heartbeat),
            election_timeout_min: ms(min),
            election_timeout_max: ms(max),
            install_snapshot_timeout: 1000,
            // `Log::limited_get_log_entries` limits the bytes as well.
            max_payload_entries: 64,
            replication_lag_threshold: self.snapshot_interval,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(self.snapshot_interval),
            snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES,
            max_in_snapshot_log_to_keep: self.snapshot_interval / 10,
            ..Config::default()
        };
        config.validate().map_err(|_| RecordError::Timing { heartbeat, min, max })
    }
}

/// The status of the record as this voter sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The highest term that this voter knows.
    pub term: u64,
    /// The leader of that term, if this voter knows it.
    pub leader: Option<String>,
    /// Whether this voter is the leader and has applied an entry of its own term, and so has everything that was ever
    /// acknowledged. It may be cut off while another voter has been elected: whatever must not be done then needs
    /// [`Record::confirm`].
    pub leads: bool,
    /// The number of applied entries, including openraft's own entries.
    pub applied: u64,
    /// This voter's role in the record.
    pub seat: Seat,
}

struct Shared {
    options: Options,
    raft: RaftHandle,
    store: Arc<Store>,
    clients: Arc<BTreeMap<String, Client>>,
    standing: watch::Receiver<Standing>,
    state: watch::Receiver<AppliedState>,
    pending_entries: Semaphore,
    tasks: Vec<AbortHandle>,
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// A voter's handle to the record. Clones share it.
#[derive(Clone)]
pub struct Record {
    shared: Arc<Shared>,
}

impl Record {
    /// Opens the voter's store, or creates one in an empty folder, and joins the record. `clients` are the links to the
    /// other voters by name. If no voter has a record yet, the voter with the lowest name begins one after all other
    /// voters have answered with a new store.
    ///
    /// # Errors
    /// Returns a [`RecordError`]. After [`RecordError::InUse`] a later attempt may succeed: a predecessor keeps the
    /// store open until its [`Record::close`].
    pub async fn open(options: Options, clients: BTreeMap<String, Client>) -> Result<Self, RecordError> {
        let config = options.raft_config()?;
        let (folder, fleet, name) = (options.folder.clone(), options.fleet.clone(), options.name.clone());
        let new_node = random::number().ok_or(RecordError::Stopped)?;
        let disk = options.disk.clone();
        let opened =
            options.disk.run_blocking(move || Store::open_on(&disk, &folder, &fleet, &name, new_node)).await;
        let store = Arc::new(opened.ok_or(RecordError::Stopped)??);
        let clients = Arc::new(clients);
        let shorter_log = ShorterLog::default();
        let network = VoterNetwork {
            clients: clients.clone(),
            heartbeat: options.heartbeat,
            shorter_log: shorter_log.clone(),
        };
        let (published, state) = watch::channel(AppliedState::default());
        let unreadable = |error: store::StoreError| {
            let file = options.folder.join(store::STORE_FILE);
            RecordError::Corrupt { file, reason: error.to_string() }
        };
        let state_machine = StateMachine::new(store.clone(), published).map_err(unreadable)?;
        let raft =
            Raft::new(store.node(), Arc::new(config), network, Log(store.clone()), state_machine).await;
        let raft = raft.map_err(|error| RecordError::Corrupt {
            file: options.folder.join(store::STORE_FILE),
            reason: error.to_string(),
        })?;
        let (seats, seat) = watch::channel(Seat::Forming);
        let first = standing(&raft.metrics().borrow(), Seat::Forming);
        let (standings, standing) = watch::channel(first);
        let mut tasks = vec![
            tokio::spawn(seat::maintain(options.clone(), raft.clone(), store.node(), clients.clone(), seats)),
            tokio::spawn(publish_standing(raft.metrics(), seat, standings)),
        ];
        // A single voter wins every election.
        if options.voters.len() > 1 {
            tasks.push(tokio::spawn(election::retry_elections(raft.clone(), options.election, shorter_log)));
        }
        let tasks = tasks.iter().map(JoinHandle::abort_handle).collect();
        let pending_entries = Semaphore::new(MAX_PENDING_ENTRIES);
        Ok(Self {
            shared: Arc::new(Shared {
                options,
                raft,
                store,
                clients,
                standing,
                state,
                pending_entries,
                tasks,
            }),
        })
    }

    /// Returns a receiver of this voter's [`Standing`] and of all its changes.
    pub fn watch(&self) -> watch::Receiver<Standing> {
        self.shared.standing.clone()
    }

    /// Returns the current state. It includes at least the entries that [`Standing::applied`] counts.
    pub fn state(&self) -> Arc<State> {
        self.shared.state.borrow().1.clone()
    }

    /// Returns a receiver of the number of applied entries with the resulting state, and of all changes.
    pub fn watch_state(&self) -> watch::Receiver<AppliedState> {
        self.shared.state.clone()
    }

    /// Returns the number of this voter's store.
    pub fn node(&self) -> NodeId {
        self.shared.store.node()
    }

    fn leader(&self) -> Option<String> {
        self.shared.standing.borrow().leader.clone()
    }

    /// Appends an entry to the log, and waits until a majority has it and it is applied here. The inner result is the
    /// effect of the entry. An entry that is submitted twice is rejected the second time or has no further effect (see
    /// [`State::apply`]).
    ///
    /// # Errors
    /// Returns a [`SubmitError`]. Only after [`SubmitError::OutcomeUnknown`] may the entry still take effect.
    pub async fn submit(&self, entry: Entry) -> Result<Result<Applied, Rejection>, SubmitError> {
        let bytes = postcard::experimental::serialized_size(&entry).unwrap_or(usize::MAX);
        if bytes > MAX_ENTRY_BYTES {
            return Err(SubmitError::TooLong { bytes });
        }
        let Ok(_permit) = self.shared.pending_entries.try_acquire() else { return Err(SubmitError::Busy) };
        // A leader that is cut off does not step down by itself and would accumulate entries without limit.
        let since_majority_ms = self.shared.raft.metrics().borrow().millis_since_quorum_ack;
        if since_majority_ms
            .is_some_and(|ms| u128::from(ms) > (self.shared.options.election.1 * 2).as_millis())
        {
            return Err(SubmitError::NoMajority);
        }
        match timeout(MAJORITY_TIMEOUT, self.shared.raft.client_write(entry)).await {
            Ok(Ok(written)) => written.data.ok_or(SubmitError::Stopped),
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(to)))) => {
                Err(SubmitError::NotLeader { leader: self.leader_name(&to) })
            }
            Ok(Err(_)) => Err(SubmitError::Stopped),
            Err(_) => Err(SubmitError::OutcomeUnknown { timeout: MAJORITY_TIMEOUT }),
        }
    }

    fn leader_name(&self, to: &ForwardToLeader<NodeId, Voter>) -> Option<String> {
        to.leader_node.as_ref().map(|voter| voter.name.clone()).or_else(|| self.leader())
    }

    /// Returns the term in which this voter is the leader, once a majority of the voters, including this one, has
    /// answered a message that was sent after the call began. So no other leader had been elected when the call began.
    ///
    /// This relies on `handle_check_is_leader_request` of openraft 0.9 (core/raft_core.rs), behind `get_read_log_id`.
    /// The core takes the request from its queue and sends each other voter an empty AppendEntries under its own vote,
    /// on a client of its own and not from a cache or lease. It replies once the voters that answered, other than with
    /// a higher vote, are a quorum of the effective membership (of both in a joint one). A voter that answers has not
    /// seen a higher vote by then, and a later leader needs the vote of one of them. Each message names the store that
    /// it is for, so that a new store does not answer for a lost one. The vote is read before and after through the
    /// same queue: votes only grow, so an equal vote means that the check was made under it. A single voter has no
    /// other to ask.
    ///
    /// # Errors
    /// Returns a [`ConfirmError`].
    pub async fn confirm(&self) -> Result<u64, ConfirmError> {
        // Each message times out after one heartbeat interval, but the store can delay the core for longer.
        timeout(MAJORITY_TIMEOUT, self.confirm_leadership()).await.unwrap_or(Err(ConfirmError::NoMajority))
    }

    async fn confirm_leadership(&self) -> Result<u64, ConfirmError> {
        let not_leader = |leader| ConfirmError::NotLeader { leader };
        let vote = || async {
            self.shared
                .raft
                .with_raft_state(|state| *state.vote_ref())
                .await
                .map_err(|_| ConfirmError::Stopped)
        };
        let vote_before = vote().await?;
        match self.shared.raft.get_read_log_id().await {
            Ok(_) => {}
            Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(to))) => {
                return Err(not_leader(self.leader_name(&to)))
            }
            Err(RaftError::APIError(CheckIsLeaderError::QuorumNotEnough(_))) => {
                return Err(ConfirmError::NoMajority)
            }
            Err(RaftError::Fatal(_)) => return Err(ConfirmError::Stopped),
        }
        let is_own_vote = vote_before.committed && vote_before.leader_id.voted_for() == Some(self.node());
        if !is_own_vote || vote().await? != vote_before {
            return Err(not_leader(self.leader()));
        }
        Ok(vote_before.leader_id.get_term())
    }

    /// Handles another voter's message to the store `to`, and returns the response.
    pub async fn serve(&self, to: NodeId, request: RaftRequest) -> RaftResponse {
        let (raft, own_node) = (&self.shared.raft, self.node());
        if to != own_node {
            return RaftResponse::Refused(RaftRefusal::OtherStore { asked: to, here: own_node });
        }
        let stopped = RaftResponse::Refused(RaftRefusal::Stopped);
        match request {
            RaftRequest::Append(request) => {
                raft.append_entries(request).await.map_or(stopped, RaftResponse::Append)
            }
            RaftRequest::Vote(request) => raft.vote(request).await.map_or(stopped, RaftResponse::Vote),
            RaftRequest::Snapshot(request) => {
                let offset = request.offset;
                // openraft writes each part at its offset without a limit.
                if offset.saturating_add(request.data.len() as u64) > MAX_SNAPSHOT_BYTES as u64 {
                    return RaftResponse::Refused(RaftRefusal::Part { offset });
                }
                match raft.install_snapshot(request).await {
                    Ok(response) => RaftResponse::Snapshot(response),
                    Err(RaftError::APIError(_)) => RaftResponse::Refused(RaftRefusal::Part { offset }),
                    Err(RaftError::Fatal(_)) => stopped,
                }
            }
        }
    }

    /// Returns this voter's reply to a hello request: its store, its settings and what it knows of the record.
    pub async fn hello(&self) -> Hello {
        let known = self.shared.raft.with_raft_state(|state| {
            let voters: Vec<_> = state.membership_state.effective().membership().voter_ids().collect();
            (state.vote_ref().leader_id.get_term(), voters)
        });
        let (term, voters) = known.await.unwrap_or_default();
        // A stopped record counts as initialized, so that no voter begins another one beside it.
        let initialized = self.shared.raft.is_initialized().await.unwrap_or(true);
        let named = self.shared.options.voter_names();
        Hello { node: Some(self.node()), initialized, voters, named, term, leader: self.leader() }
    }

    /// Replaces the earlier store of the voter `name` by the one that it has now. Only the leader can do this.
    /// Admitting the same store again is harmless and completes an interrupted admission.
    ///
    /// # Errors
    /// Returns an [`AdmitError`].
    pub async fn admit(&self, name: &str) -> Result<(), AdmitError> {
        let owned_name = || name.to_string();
        if !self.shared.options.voters.iter().any(|(voter, _)| voter == name) {
            return Err(AdmitError::Unknown { name: owned_name() });
        }
        if !self.shared.standing.borrow().leads {
            return Err(AdmitError::NotLeader { leader: self.leader() });
        }
        if name == self.shared.options.name {
            return Ok(());
        }
        let deadline = Instant::now() + ADMIT_TIMEOUT;
        let client =
            self.shared.clients.get(name).ok_or_else(|| AdmitError::Unknown { name: owned_name() })?;
        let hello = match client.request(&Request::Hello, HELLO_TIMEOUT).await {
            Ok(Response::Hello(hello)) => hello,
            _ => return Err(AdmitError::Silent { name: owned_name() }),
        };
        let new_node = hello.node.ok_or_else(|| AdmitError::Silent { name: owned_name() })?;
        let raft = &self.shared.raft;
        let membership = raft.metrics().borrow().membership_config.clone();
        let membership = membership.membership();
        let known = membership.get_node(&new_node);
        // A store that an interrupted admission has reached holds a part of this record and names a store that votes in
        // it. Store numbers are random 64-bit numbers, so no other record has the same.
        let related = hello.voters.iter().any(|id| membership.get_node(id).is_some());
        if hello.initialized && known.is_none() && !related {
            return Err(AdmitError::OtherRecord { name: owned_name() });
        }
        let admit_error = |error| match error {
            RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => {
                AdmitError::NotLeader { leader: self.leader_name(&to) }
            }
            _ => AdmitError::NoMajority,
        };
        let timed_out = |_| AdmitError::NoMajority;
        if known.is_none() {
            let added = raft.add_learner(new_node, Voter { name: owned_name() }, true);
            timeout_at(deadline, added).await.map_err(timed_out)?.map_err(admit_error)?;
        }
        // The newer one of the two configurations if an earlier change was interrupted.
        let newest = membership.get_joint_config().last().cloned().unwrap_or_default();
        let is_earlier_store = |id: &NodeId| membership.get_node(id).is_some_and(|voter| voter.name == name);
        let mut voters: BTreeSet<_> = newest.into_iter().filter(|id| !is_earlier_store(id)).collect();
        voters.insert(new_node);
        if membership.get_joint_config().len() == 1
            && membership.voter_ids().collect::<BTreeSet<_>>() == voters
        {
            return Ok(());
        }
        let changed = raft.change_membership(voters, false);
        timeout_at(deadline, changed).await.map_err(timed_out)?.map_err(admit_error)?;
        tracing::info!(voter = name, store = new_node, "a voter's new store was admitted");
        Ok(())
    }

    /// Leaves the record and closes the store.
    pub async fn close(&self) {
        self.shared.tasks.iter().for_each(AbortHandle::abort);
        let _ = self.shared.raft.shutdown().await;
        let store = self.shared.store.clone();
        let _ = self.shared.store.disk().run_blocking(move || store.close()).await;
    }
}

fn standing(metrics: &RaftMetrics<NodeId, Voter>, seat: Seat) -> Standing {
    let name_of =
        |id: NodeId| metrics.membership_config.membership().get_node(&id).map(|voter| voter.name.clone());
    let applied = metrics.last_applied;
    let applied_own_term = applied.is_some_and(|applied| applied.leader_id.term == metrics.current_term);
    let leads = metrics.state == ServerState::Leader
        && metrics.current_leader == Some(metrics.id)
        && applied_own_term;
    let seat = if metrics.running_state.is_err() { Seat::Stopped } else { seat };
    Standing {
        term: metrics.current_term,
        leader: metrics.current_leader.and_then(name_of),
        leads: leads && seat != Seat::Stopped,
        applied: applied.map_or(0, |applied| applied.index + 1),
        seat,
    }
}

/// Publishes the [`Standing`] whenever openraft's metrics or the seat change.
async fn publish_standing(
    mut metrics: watch::Receiver<RaftMetrics<NodeId, Voter>>,
    mut seat: watch::Receiver<Seat>,
    standings: watch::Sender<Standing>,
) {
    loop {
        let current = standing(&metrics.borrow_and_update(), *seat.borrow_and_update());
        if current.seat == Seat::Stopped && standings.borrow().seat != Seat::Stopped {
            tracing::error!(error = %RecordError::Stopped, "this voter no longer takes part in the record");
        }
        standings.send_if_modified(|last| {
            let changed = *last != current;
            *last = current;
            changed
        });
        tokio::select! {
            changed = metrics.changed() => if changed.is_err() { break },
            Ok(()) = seat.changed() => {}
        }
    }
    standings.send_modify(|last| (last.leads, last.seat) = (false, Seat::Stopped));
}
