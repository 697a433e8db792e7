//! The hub: the state that the coroutines share with the reducer's thread. It holds the reducer's inbox, the table of
//! client connections, and the settings and flags that the reducer publishes to the coroutines.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use may::sync::mpsc as co;

use super::call_routing::Router;
use super::clock::Clock;
use super::close_counts::CloseCounts;
use super::connection_table::{Admission, AnswerDue, Capacity, ConnectionTable};
use super::listen::{ConnectionHandle, ConnectionSlot};
use super::pacing::Pacing;
use super::pending_answers::PendingAnswers;
use super::request_log::RequestLog;
use super::stall_detector::StallDetector;
use super::stream::Conn;
use crate::core::{Answer, ConnId, Input, Query};
use crate::fleet;
use crate::settings::Links;

/// How many inputs may be queued for the reducer. Beyond that, senders wait.
const INBOX_CAPACITY: usize = 4096;
/// Descriptors reserved for the agent, the vault, runs and calls at SCGI services, files and the runtime. At most half
/// of all descriptors are reserved.
const RESERVED_DESCRIPTORS: usize = 128;
/// One in so many reserved descriptors is for connections that are closing, or that close after their next answer.
const SPARE_DIVISOR: usize = 8;
/// Interval at which an idle connection checks whether it is to close: normally, and while the server drains.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const IDLE_CHECK_INTERVAL_DRAINING: Duration = Duration::from_millis(20);
/// Once a successor accepts the new connections, a connection is closed when it has been idle for this long.
const IDLE_LIMIT_AFTER_YIELD: Duration = Duration::from_millis(300);

/// The state that all coroutines share with the reducer's thread.
pub struct Hub {
    pub(super) clock: Clock,
    pub(super) inbox: Sender<Input>,
    pub(super) queued_inputs: AtomicUsize,
    connections: Mutex<ConnectionTable<ConnectionHandle>>,
    pub(super) next_conn: AtomicU64,
    /// The number of the last connection to the dependency.
    last_call_connection: AtomicU64,
    pub(super) request_log: RequestLog,
    /// Notices that the process has stood still.
    pub(super) stalls: StallDetector,
    /// Pacing of client connections whose next work has arrived already.
    pub(super) pacing: Pacing,
    /// How many connections were closed, by reason.
    pub(super) closes: CloseCounts,
    /// How many descriptors the process may use.
    pub(super) sockets: usize,
    /// How many client connections the memory limit allows.
    memory_connections: AtomicUsize,
    /// During a handover the two processes of a matcher share descriptors and memory.
    shares_descriptors: AtomicBool,
    /// How many descriptors the predecessor holds; 0 without one, or where that cannot be told.
    peer_descriptors: AtomicUsize,
    max_connections: AtomicUsize,
    spare_connections: AtomicUsize,
    /// How many calls to the dependency may be in progress at once. Each uses one of the reserved descriptors.
    pub(super) max_calls: AtomicUsize,
    pub(super) idle_limit_us: AtomicU64,
    /// The server has begun to drain.
    draining: AtomicBool,
    /// When the server stopped accepting new connections.
    stopped_accepting_at: OnceLock<Instant>,
    /// A successor accepts the new connections. Open ones are closed as soon as they are idle.
    pub(super) has_yielded: AtomicBool,
    /// Requests can be served: the agent has been up, or the server runs without one.
    pub(super) ready: AtomicBool,
    /// Clients connect to this process: it has no predecessor, or that one has handed over.
    pub(super) accepts_clients: AtomicBool,
    /// Queries whose results are awaited.
    pub(super) queries: PendingAnswers<QueryResult>,
    /// Standby orders whose outcome is awaited: whether the order is in force in all processes of this matcher.
    pub(super) standby_orders: PendingAnswers<bool>,
    /// The addresses of the links, as of the last reading of the configuration.
    pub(super) links: Mutex<Links>,
    /// The connection to the fleet's membership, if this process is a member of a fleet.
    pub(super) fleet: Option<fleet::MembershipHandle>,
    /// The fleet's routes, if the fleet routes calls.
    pub(super) routing: Option<Arc<dyn Router>>,
    /// Whether the last route states reported to the reducer forbid the calls of some class.
    pub(super) calls_blocked: AtomicBool,
    /// The names of the site's classes, as of the last reading of the configuration.
    pub(super) classes: Mutex<Vec<String>>,
}

/// What became of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerResult {
    /// The connection was owed an answer, and this one was sent to the coroutine that owns it.
    Queued,
    /// The connection is not owed an answer.
    NotOwed,
    /// There is no such connection.
    NoConnection,
}

/// The result of a query: names and values, for display.
pub(super) type QueryResult = Vec<(String, String)>;

impl Hub {
    pub(super) fn new(
        inbox: Sender<Input>,
        sockets: usize,
        links: Links,
        classes: Vec<String>,
        fleet: Option<fleet::MembershipHandle>,
        routing: Option<Arc<dyn Router>>,
    ) -> Self {
        let clock = Clock::new();
        let hub = Self {
            stalls: StallDetector::new(clock.now()),
            clock,
            inbox,
            queued_inputs: AtomicUsize::new(0),
            connections: Mutex::default(),
            next_conn: AtomicU64::new(1),
            last_call_connection: AtomicU64::new(0),
            request_log: RequestLog::default(),
            pacing: Pacing::default(),
            closes: CloseCounts::default(),
            sockets,
            memory_connections: AtomicUsize::new(usize::MAX),
            shares_descriptors: AtomicBool::new(false),
            peer_descriptors: AtomicUsize::new(0),
            max_connections: AtomicUsize::new(1),
            spare_connections: AtomicUsize::new(0),
            max_calls: AtomicUsize::new(1),
            idle_limit_us: AtomicU64::new(u64::MAX),
            draining: AtomicBool::new(false),
            stopped_accepting_at: OnceLock::new(),
            has_yielded: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            accepts_clients: AtomicBool::new(false),
            queries: PendingAnswers::default(),
            standby_orders: PendingAnswers::default(),
            links: Mutex::new(links),
            fleet,
            routing,
            calls_blocked: AtomicBool::new(false),
            classes: Mutex::new(classes),
        };
        hub.update_limits();
        hub
    }

    /// Limits the client connections to what the memory limit allows.
    pub(super) fn limit_connections(&self, connections: usize) {
        self.memory_connections.store(connections, Ordering::Relaxed);
        self.update_limits();
    }

    /// Sets whether two processes of the matcher share descriptors and memory, so that each gets half of them.
    pub(super) fn set_descriptor_share(&self, is_shared: bool) {
        self.shares_descriptors.store(is_shared, Ordering::Relaxed);
        self.update_limits();
    }

    /// Sets how many descriptors the predecessor holds, where that is known: as long as it needs more than its half, this
    /// process has fewer connections.
    pub(super) fn set_peer_descriptors(&self, descriptors: Option<usize>) {
        self.peer_descriptors.store(descriptors.unwrap_or(0), Ordering::Relaxed);
        self.update_limits();
    }

    /// Updates the limits on connections and calls. Threads that do so at the same time take turns.
    fn update_limits(&self) {
        let mut connection_table = self.connections();
        let processes = if self.shares_descriptors.load(Ordering::Relaxed) { 2 } else { 1 };
        let reserved = RESERVED_DESCRIPTORS.min(self.sockets / 2);
        let connections = (self.sockets - reserved).min(self.memory_connections.load(Ordering::Relaxed));
        let left_by_peer = self.sockets.saturating_sub(self.peer_descriptors.load(Ordering::Relaxed));
        let max_connections = (connections / processes).min(left_by_peer.saturating_sub(reserved / 2)).max(1);
        self.max_connections.store(max_connections, Ordering::Relaxed);
        self.max_calls.store((reserved / 2 / processes).max(1), Ordering::Relaxed);
        self.spare_connections.store(reserved / SPARE_DIVISOR / processes, Ordering::Relaxed);
        connection_table.shrink(max_connections, Instant::now(), ConnectionHandle::evict);
    }

    /// How many calls to the dependency may be in progress at once.
    pub(super) fn max_calls(&self) -> usize {
        self.max_calls.load(Ordering::Relaxed)
    }

    /// Assigns a number to a connection.
    pub(super) fn new_conn(&self) -> ConnId {
        self.next_conn.fetch_add(1, Ordering::Relaxed)
    }

    /// Assigns a number to a connection to the dependency. Numbers begin at 1.
    pub(super) fn new_call_connection(&self) -> u64 {
        self.last_call_connection.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Sends an input to the reducer. Waits while the inbox is full.
    pub fn push(&self, input: Input) {
        while self.queued_inputs.load(Ordering::Relaxed) >= INBOX_CAPACITY {
            crate::net::spawn::sleep(Duration::from_millis(1));
        }
        self.push_nonblocking(input);
    }

    /// Sends an input to the reducer even if the inbox is full. For rare inputs that must not wait.
    pub(super) fn push_nonblocking(&self, input: Input) {
        self.queued_inputs.fetch_add(1, Ordering::Relaxed);
        // Sending fails only while the process is exiting.
        let _ = self.inbox.send(input);
    }

    /// Sends a query to the reducer. Returns its ticket and the channel on which the result arrives; the caller drops
    /// the ticket when it no longer waits.
    pub(super) fn submit_query(&self, query: Query) -> (u64, Receiver<QueryResult>) {
        let (ticket, receiver) = self.queries.issue();
        self.push(Input::Query { ticket, query });
        (ticket, receiver)
    }

    /// Waits until the reducer has processed all inputs sent before, and their effects have been carried out. Must be
    /// called from threads only, not from coroutines.
    pub(super) fn wait_for_reducer(&self) {
        let (ticket, result) = self.submit_query(Query::Status);
        // Receiving fails only while the process is exiting.
        let _ = result.recv();
        self.queries.forget(ticket);
    }

    pub(super) fn connections(&self) -> MutexGuard<'_, ConnectionTable<ConnectionHandle>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The addresses of the links.
    pub(super) fn links(&self) -> Links {
        *self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The names of the site's classes.
    pub(super) fn classes(&self) -> Vec<String> {
        self.classes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Admits a new connection to the connection table. Returns its place, with the channel on which its answers
    /// arrive, or `None` while there is no room.
    pub(super) fn admit(self: &Arc<Self>, stream: &Conn) -> Option<ConnectionSlot> {
        let conn = self.new_conn();
        let (answer, answers) = co::channel();
        let accepted = Instant::now();
        let handle = ConnectionHandle { answer, stream: stream.clone() };
        let capacity = Capacity {
            open: self.max_connections.load(Ordering::Relaxed),
            spare: self.spare_connections.load(Ordering::Relaxed),
        };
        let admission = self.connections().admit(conn, handle, accepted, capacity, ConnectionHandle::evict);
        match admission {
            Admission::Admitted => Some(ConnectionSlot { conn, answers, accepted, hub: self.clone() }),
            Admission::Full => None,
        }
    }

    /// Sends an answer to the connection that is owed it.
    pub(super) fn send_answer(&self, conn: ConnId, answer: &Arc<Answer>) -> AnswerResult {
        let owner = match self.connections().give_answer(conn) {
            AnswerDue::Owed(handle) => handle.answer.clone(),
            AnswerDue::NotOwed => return AnswerResult::NotOwed,
            AnswerDue::NoConnection => return AnswerResult::NoConnection,
        };
        // Not while the lock is held: waking a coroutine may wait for the worker thread, which may wait for the lock.
        let _ = owner.send(answer.clone());
        AnswerResult::Queued
    }

    /// Closes all connections that are not owed an answer.
    pub(super) fn evict_all(&self) {
        self.connections().shrink(0, Instant::now(), ConnectionHandle::evict);
    }

    /// How long a connection may be idle. No idle connection is kept once the server has stopped accepting new ones.
    pub(super) fn idle_limit(&self) -> Duration {
        let limit = Duration::from_micros(self.idle_limit_us.load(Ordering::Relaxed));
        match (self.has_stopped_accepting(), self.has_yielded.load(Ordering::Relaxed)) {
            (true, _) => Duration::ZERO,
            (false, true) => limit.min(IDLE_LIMIT_AFTER_YIELD),
            (false, false) => limit,
        }
    }

    /// The server begins to drain: from now on idle connections check more often whether they are to close.
    pub(super) fn begin_drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// The interval at which an idle connection checks whether it is to close.
    pub(super) fn idle_check_interval(&self) -> Duration {
        if self.draining.load(Ordering::Relaxed) {
            IDLE_CHECK_INTERVAL_DRAINING
        } else {
            IDLE_CHECK_INTERVAL
        }
    }

    /// Records that the server accepts no new connections from now on.
    pub(super) fn stop_accepting(&self) {
        let _ = self.stopped_accepting_at.set(Instant::now());
    }

    /// Whether the server has stopped accepting new connections.
    pub(super) fn has_stopped_accepting(&self) -> bool {
        self.stopped_accepting_at.get().is_some()
    }

    /// How long ago the server stopped accepting new connections.
    pub(super) fn stopped_accepting_for(&self) -> Option<Duration> {
        self.stopped_accepting_at.get().map(Instant::elapsed)
    }
}
