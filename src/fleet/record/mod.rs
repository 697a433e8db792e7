//! The fleet's replicated log, on the voters: `openraft` over [`wire`](super::wire), and a store of its own in the
//! operator's folder, synced before anything is acknowledged. `docs/record.md` weighs the ways and has the operators'
//! page. Call everything here within one tokio runtime; nothing in it blocks that.
//!
//! A store draws its number when it is made. A voter whose folder is gone comes back with another number, which is no
//! voter until [`Record::admit`] puts it in the place of the old one: so it cannot vote twice in a term.

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

use super::decided::{Applied, Entry, Refused, State};
use super::random;
use super::wire::message::{AdmitError, Hello, Request, Response};
use super::wire::raft::{NodeId, RaftRefusal, RaftRequest, RaftResponse, Types, Voter};
use super::wire::Client;
use disk::Disk;
use election::ShorterLog;
use log::{Log, Machine, Shown};
use network::Ways;
use store::Store;

/// The longest entry, in bytes: the longest table, with room for names.
pub const MOST_ENTRY: usize = 80 << 10;
/// Bytes of entries that go into one message, unless one alone is longer.
const PAYLOAD: usize = 512 << 10;
/// The largest state, in bytes.
pub const MOST_SNAPSHOT: usize = 32 << 20;
/// Bytes of a snapshot in one message.
const CHUNK: u64 = 256 << 10;
/// Entries that wait for a majority at once.
const MOST_SUBMITTED: usize = 64;
/// How long an entry may take.
const PATIENCE: Duration = Duration::from_secs(2);
/// How long an admission may take.
const ADMISSION: Duration = Duration::from_millis(2500);
/// How long a voter may take to say who it is.
const HELLO: Duration = Duration::from_millis(500);

type Log0 = Raft<Types>;

/// What a voter's record needs to know.
#[derive(Clone, Debug)]
pub struct Options {
    /// The fleet's name.
    pub fleet: String,
    /// This voter's name; among the voters.
    pub name: String,
    /// The operator's folder: it exists, and holds nothing else.
    pub folder: PathBuf,
    /// All voters, this one included.
    pub voters: Vec<(String, SocketAddr)>,
    /// Between two heartbeats of the leader.
    pub heartbeat: Duration,
    /// Without a leader a voter stands for election after a time between these. After an election that nobody won it is
    /// a time from the first to the sum of both.
    pub election: (Duration, Duration),
    /// A snapshot is made after so many entries; a tenth of them stays in the log, for voters that lag a little.
    pub entries: u64,
    /// What the folder is on.
    pub disk: Disk,
}

impl Options {
    /// Heartbeats of 100 ms, elections after 400 to 800 ms, a snapshot after 1,000 entries.
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
            entries: 1000,
            disk: Disk::Files,
        }
    }

    /// The names of the voters, sorted.
    fn named(&self) -> Vec<String> {
        let names: BTreeSet<_> = self.voters.iter().map(|(name, _)| name.clone()).collect();
        names.into_iter().collect()
    }

    fn check(&self) -> Result<Config, RecordError> {
        let names = self.named();
        if !matches!(names.len(), 1 | 3 | 5) || names.len() != self.voters.len() {
            return Err(RecordError::Voters { count: names.len() });
        }
        if !names.contains(&self.name) {
            return Err(RecordError::NotAVoter { name: self.name.clone() });
        }
        let (heartbeat, (least, most)) = (self.heartbeat, self.election);
        if heartbeat.is_zero() || least < heartbeat * 2 || most.as_millis() <= least.as_millis() {
            return Err(RecordError::Pace { heartbeat, least, most });
        }
        let ms = |time: Duration| time.as_millis() as u64;
        let config = Config {
            cluster_name: self.fleet.clone(),
            heartbeat_interval: ms(heartbeat),
            election_timeout_min: ms(least),
            election_timeout_max: ms(most),
            install_snapshot_timeout: 1000,
            // Bounded by bytes as well, in `Log::limited_get_log_entries`.
            max_payload_entries: 64,
            replication_lag_threshold: self.entries,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(self.entries),
            snapshot_max_chunk_size: CHUNK,
            max_in_snapshot_log_to_keep: self.entries / 10,
            ..Config::default()
        };
        config.validate().map_err(|_| RecordError::Pace { heartbeat, least, most })
    }
}

/// How the record stands, as this voter sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The highest term that is known.
    pub term: u64,
    /// Who leads in it, as far as is known.
    pub leader: Option<String>,
    /// This voter leads, and has applied an entry of its own term: so it has all that was ever acknowledged. It may be cut
    /// off, and another one elected: what must not be said then needs [`Record::confirm`].
    pub leads: bool,
    /// So many entries are applied, the log's own included.
    pub applied: u64,
    /// This voter's part in it.
    pub seat: Seat,
}

struct Shared {
    options: Options,
    raft: Log0,
    store: Arc<Store>,
    clients: Arc<BTreeMap<String, Client>>,
    standing: watch::Receiver<Standing>,
    state: watch::Receiver<Shown>,
    submitted: Semaphore,
    tasks: Vec<AbortHandle>,
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// A voter's part in the record; clones share it.
#[derive(Clone)]
pub struct Record {
    shared: Arc<Shared>,
}

impl Record {
    /// Opens the voter's store, or makes one in an empty folder, and takes part. `clients` are the links to the other
    /// voters, by name. Where no voter has a record yet, the one with the lowest name begins it, once all of them have
    /// said so.
    ///
    /// # Errors
    /// [`RecordError`]. After [`RecordError::Held`] a later try may go well: a process that hands over holds the store
    /// until its [`Record::close`].
    pub async fn open(options: Options, clients: BTreeMap<String, Client>) -> Result<Self, RecordError> {
        let config = options.check()?;
        let (folder, fleet, name) = (options.folder.clone(), options.fleet.clone(), options.name.clone());
        let drawn = random::number().ok_or(RecordError::Stopped)?;
        let disk = options.disk.clone();
        let opened = options.disk.run(move || Store::open_on(&disk, &folder, &fleet, &name, drawn)).await;
        let store = Arc::new(opened.ok_or(RecordError::Stopped)??);
        let clients = Arc::new(clients);
        let shorter_log = ShorterLog::default();
        let ways =
            Ways { clients: clients.clone(), heartbeat: options.heartbeat, shorter_log: shorter_log.clone() };
        let (shown, state) = watch::channel(Shown::default());
        let unreadable = |error: store::StoreError| {
            let file = options.folder.join(store::STORE);
            RecordError::Spoilt { file, what: error.to_string() }
        };
        let machine = Machine::new(store.clone(), shown).map_err(unreadable)?;
        let raft = Raft::new(store.node(), Arc::new(config), ways, Log(store.clone()), machine).await;
        let raft = raft.map_err(|error| RecordError::Spoilt {
            file: options.folder.join(store::STORE),
            what: error.to_string(),
        })?;
        let (seats, seat) = watch::channel(Seat::Forming);
        let first = standing(&raft.metrics().borrow(), Seat::Forming);
        let (standings, standing) = watch::channel(first);
        let mut tasks = vec![
            tokio::spawn(seat::take(options.clone(), raft.clone(), store.node(), clients.clone(), seats)),
            tokio::spawn(stand(raft.metrics(), seat, standings)),
        ];
        // A voter that is alone always wins.
        if options.voters.len() > 1 {
            tasks.push(tokio::spawn(election::stand_again(raft.clone(), options.election, shorter_log)));
        }
        let tasks = tasks.iter().map(JoinHandle::abort_handle).collect();
        let submitted = Semaphore::new(MOST_SUBMITTED);
        Ok(Self {
            shared: Arc::new(Shared { options, raft, store, clients, standing, state, submitted, tasks }),
        })
    }

    /// How it stands, now and whenever that changes.
    pub fn watch(&self) -> watch::Receiver<Standing> {
        self.shared.standing.clone()
    }

    /// What was decided, with all that [`Standing::applied`] counts.
    pub fn state(&self) -> Arc<State> {
        self.shared.state.borrow().1.clone()
    }

    /// How many entries are applied and what they come to, now and whenever that changes.
    pub fn states(&self) -> watch::Receiver<Shown> {
        self.shared.state.clone()
    }

    /// The number of this voter's store.
    pub fn node(&self) -> NodeId {
        self.shared.store.node()
    }

    fn leader(&self) -> Option<String> {
        self.shared.standing.borrow().leader.clone()
    }

    /// Puts an entry into the log, and waits until a majority has it and it is applied here. The inner result is what it
    /// did. An entry that is put twice is refused the second time, or does nothing ([`State::apply`]).
    ///
    /// # Errors
    /// [`SubmitError`]: only after [`SubmitError::Unsure`] it may yet take effect.
    pub async fn submit(&self, entry: Entry) -> Result<Result<Applied, Refused>, SubmitError> {
        let bytes = postcard::experimental::serialized_size(&entry).unwrap_or(usize::MAX);
        if bytes > MOST_ENTRY {
            return Err(SubmitError::TooLong { bytes });
        }
        let Ok(_slot) = self.shared.submitted.try_acquire() else { return Err(SubmitError::Busy) };
        // A leader that is cut off would pile up entries without end: it does not step down by itself.
        let alone = self.shared.raft.metrics().borrow().millis_since_quorum_ack;
        if alone.is_some_and(|ms| u128::from(ms) > (self.shared.options.election.1 * 2).as_millis()) {
            return Err(SubmitError::NoMajority);
        }
        match timeout(PATIENCE, self.shared.raft.client_write(entry)).await {
            Ok(Ok(written)) => written.data.ok_or(SubmitError::Stopped),
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(to)))) => {
                Err(SubmitError::NotLeader { leader: self.named(&to) })
            }
            Ok(Err(_)) => Err(SubmitError::Stopped),
            Err(_) => Err(SubmitError::Unsure { patience: PATIENCE }),
        }
    }

    fn named(&self, to: &ForwardToLeader<NodeId, Voter>) -> Option<String> {
        to.leader_node.as_ref().map(|voter| voter.name.clone()).or_else(|| self.leader())
    }

    /// Returns the term in which this voter leads, once a majority of the voters, this one included, has answered
    /// something that was sent after the call began. So no other leader had been elected when it began.
    ///
    /// It relies on openraft 0.9's `handle_check_is_leader_request` (core/raft_core.rs), behind `get_read_log_id`: the core
    /// takes the request from its queue, sends each other voter an empty AppendEntries under its own vote, on a client of
    /// its own and not from a cache or lease, and replies once the voters that answered, other than by a higher vote, are
    /// a quorum of the effective membership (of both in a joint one). Who answers has not seen a higher vote by then; a
    /// later leader needs the vote of one of them. Each message names the store that is meant, so that a new store does
    /// not answer for a lost one. The vote is looked at before and after, in the same queue: votes only grow, so the
    /// check was made under that vote. With one voter there is nobody to ask.
    ///
    /// # Errors
    /// [`ConfirmError`].
    pub async fn confirm(&self) -> Result<u64, ConfirmError> {
        // Each message has a heartbeat's time by itself; the store can hold up the core for longer.
        timeout(PATIENCE, self.confirmed()).await.unwrap_or(Err(ConfirmError::NoMajority))
    }

    async fn confirmed(&self) -> Result<u64, ConfirmError> {
        let lost = |leader| ConfirmError::NotLeader { leader };
        let vote = || async {
            self.shared
                .raft
                .with_raft_state(|state| *state.vote_ref())
                .await
                .map_err(|_| ConfirmError::Stopped)
        };
        let before = vote().await?;
        match self.shared.raft.get_read_log_id().await {
            Ok(_) => {}
            Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(to))) => {
                return Err(lost(self.named(&to)))
            }
            Err(RaftError::APIError(CheckIsLeaderError::QuorumNotEnough(_))) => {
                return Err(ConfirmError::NoMajority)
            }
            Err(RaftError::Fatal(_)) => return Err(ConfirmError::Stopped),
        }
        let own = before.committed && before.leader_id.voted_for() == Some(self.node());
        if !own || vote().await? != before {
            return Err(lost(self.leader()));
        }
        Ok(before.leader_id.get_term())
    }

    /// Answers another voter's message to the store `to`.
    pub async fn serve(&self, to: NodeId, request: RaftRequest) -> RaftResponse {
        let (raft, here) = (&self.shared.raft, self.node());
        if to != here {
            return RaftResponse::Refused(RaftRefusal::OtherStore { asked: to, here });
        }
        let stopped = RaftResponse::Refused(RaftRefusal::Stopped);
        match request {
            RaftRequest::Append(request) => {
                raft.append_entries(request).await.map_or(stopped, RaftResponse::Append)
            }
            RaftRequest::Vote(request) => raft.vote(request).await.map_or(stopped, RaftResponse::Vote),
            RaftRequest::Snapshot(request) => {
                let offset = request.offset;
                // openraft writes each part where it says: the bound is ours.
                if offset.saturating_add(request.data.len() as u64) > MOST_SNAPSHOT as u64 {
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

    /// Who this voter is.
    pub async fn hello(&self) -> Hello {
        let known = self.shared.raft.with_raft_state(|state| {
            let voters: Vec<_> = state.membership_state.effective().membership().voter_ids().collect();
            (state.vote_ref().leader_id.get_term(), voters)
        });
        let (term, voters) = known.await.unwrap_or_default();
        // A record that has stopped says that there is one: nobody begins another beside it.
        let initialized = self.shared.raft.is_initialized().await.unwrap_or(true);
        let named = self.shared.options.named();
        Hello { node: Some(self.node()), initialized, voters, named, term, leader: self.leader() }
    }

    /// Puts the store that voter `name` has now in the place of its earlier one. Only at the leader; to admit twice does no
    /// harm, and finishes an admission that was cut short.
    ///
    /// # Errors
    /// [`AdmitError`].
    pub async fn admit(&self, name: &str) -> Result<(), AdmitError> {
        let named = || name.to_string();
        if !self.shared.options.voters.iter().any(|(voter, _)| voter == name) {
            return Err(AdmitError::Unknown { name: named() });
        }
        if !self.shared.standing.borrow().leads {
            return Err(AdmitError::NotLeader { leader: self.leader() });
        }
        if name == self.shared.options.name {
            return Ok(());
        }
        let until = Instant::now() + ADMISSION;
        let client = self.shared.clients.get(name).ok_or_else(|| AdmitError::Unknown { name: named() })?;
        let hello = match client.request(&Request::Hello, HELLO).await {
            Ok(Response::Hello(hello)) => hello,
            _ => return Err(AdmitError::Silent { name: named() }),
        };
        let new = hello.node.ok_or_else(|| AdmitError::Silent { name: named() })?;
        let raft = &self.shared.raft;
        let membership = raft.metrics().borrow().membership_config.clone();
        let membership = membership.membership();
        let known = membership.get_node(&new);
        // A store that an earlier admission reached has part of this record: it names a store that votes in it. Numbers are
        // drawn from 64 bits, so no other record has the same.
        let related = hello.voters.iter().any(|id| membership.get_node(id).is_some());
        if hello.initialized && known.is_none() && !related {
            return Err(AdmitError::OtherRecord { name: named() });
        }
        let failed = |error| match error {
            RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => {
                AdmitError::NotLeader { leader: self.named(&to) }
            }
            _ => AdmitError::NoMajority,
        };
        let late = |_| AdmitError::NoMajority;
        if known.is_none() {
            let added = raft.add_learner(new, Voter { name: named() }, true);
            timeout_at(until, added).await.map_err(late)?.map_err(failed)?;
        }
        // The newest of the two configurations, if a change was cut short.
        let last = membership.get_joint_config().last().cloned().unwrap_or_default();
        let is_old = |id: &NodeId| membership.get_node(id).is_some_and(|voter| voter.name == name);
        let mut voters: BTreeSet<_> = last.into_iter().filter(|id| !is_old(id)).collect();
        voters.insert(new);
        if membership.get_joint_config().len() == 1
            && membership.voter_ids().collect::<BTreeSet<_>>() == voters
        {
            return Ok(());
        }
        let changed = raft.change_membership(voters, false);
        timeout_at(until, changed).await.map_err(late)?.map_err(failed)?;
        tracing::info!(voter = name, store = new, "a voter's new store was admitted");
        Ok(())
    }

    /// Takes no part any more, and releases the store.
    pub async fn close(&self) {
        self.shared.tasks.iter().for_each(AbortHandle::abort);
        let _ = self.shared.raft.shutdown().await;
        let store = self.shared.store.clone();
        let _ = self.shared.store.disk().run(move || store.close()).await;
    }
}

fn standing(metrics: &RaftMetrics<NodeId, Voter>, seat: Seat) -> Standing {
    let named =
        |id: NodeId| metrics.membership_config.membership().get_node(&id).map(|voter| voter.name.clone());
    let applied = metrics.last_applied;
    let own = applied.is_some_and(|applied| applied.leader_id.term == metrics.current_term);
    let leads = metrics.state == ServerState::Leader && metrics.current_leader == Some(metrics.id) && own;
    let seat = if metrics.running_state.is_err() { Seat::Stopped } else { seat };
    Standing {
        term: metrics.current_term,
        leader: metrics.current_leader.and_then(named),
        leads: leads && seat != Seat::Stopped,
        applied: applied.map_or(0, |applied| applied.index + 1),
        seat,
    }
}

/// Tells how the record stands, as openraft and the seat change.
async fn stand(
    mut metrics: watch::Receiver<RaftMetrics<NodeId, Voter>>,
    mut seat: watch::Receiver<Seat>,
    standings: watch::Sender<Standing>,
) {
    loop {
        let now = standing(&metrics.borrow_and_update(), *seat.borrow_and_update());
        if now.seat == Seat::Stopped && standings.borrow().seat != Seat::Stopped {
            tracing::error!(error = %RecordError::Stopped, "this voter takes no part any more");
        }
        standings.send_if_modified(|last| {
            let changed = *last != now;
            *last = now;
            changed
        });
        tokio::select! {
            changed = metrics.changed() => if changed.is_err() { break },
            Ok(()) = seat.changed() => {}
        }
    }
    standings.send_modify(|last| (last.leads, last.seat) = (false, Seat::Stopped));
}
