//! What the coroutines share with the reducer's thread: the inbox, the connections, and what is told to all.

use std::collections::HashMap;
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
use super::stream::Conn;
use crate::core::{Answer, ConnId, Input, Query};
use crate::fleet;
use crate::settings::Links;

/// Inputs that may wait for the reducer; beyond that, whoever brings more waits.
const INBOX_ROOM: usize = 4096;
/// Descriptors kept back for the agent, the vault, runs and calls at SCGI services, files and the runtime; half
/// of them where there are few.
const RESERVED_SOCKETS: usize = 128;
/// Part of them for connections that are closing, or close after their next answer.
const SPARE_PART: usize = 8;
/// An idle connection looks this often whether it is to close: usually, and while the server leaves.
const IDLE_LOOK: Duration = Duration::from_millis(500);
const IDLE_LOOK_DRAINING: Duration = Duration::from_millis(20);
/// A connection that is idle for so long ends once another process takes the new ones.
const YIELD_IDLE: Duration = Duration::from_millis(300);

/// What all coroutines share.
pub struct Hub {
    pub(super) clock: Clock,
    pub(super) inbox: Sender<Input>,
    pub(super) queued_inputs: AtomicUsize,
    connections: Mutex<ConnectionTable<ConnectionHandle>>,
    pub(super) next_conn: AtomicU64,
    /// Why connections were closed.
    pub(super) closes: CloseCounts,
    pub(super) sockets: usize,
    most_connections: AtomicUsize,
    spare_connections: AtomicUsize,
    /// Calls below that may be out at once: each has a descriptor out of those kept back.
    pub(super) max_calls: AtomicUsize,
    pub(super) idle_limit_us: AtomicU64,
    /// The server has begun to leave.
    draining: AtomicBool,
    /// When the server stopped taking new connections.
    closed: OnceLock<Instant>,
    /// Another process takes the new connections; those that are here end as they fall idle.
    pub(super) has_yielded: AtomicBool,
    /// The agent was up: requests can be served.
    pub(super) ready: AtomicBool,
    pub(super) queries: Mutex<HashMap<u64, Sender<Lines>>>,
    pub(super) next_query: AtomicU64,
    /// Where the links are to lead, since the configuration was last read.
    pub(super) links: Mutex<Links>,
    /// This process's part in the fleet, where it has one.
    pub(super) fleet: Option<fleet::Link>,
    /// The fleet's routes, where they are on.
    pub(super) routing: Option<Arc<dyn Router>>,
    /// The reducer was told last that calls of some class are not made.
    pub(super) calls_blocked: AtomicBool,
    /// The names of the site's classes, since the configuration was last read.
    pub(super) classes: Mutex<Vec<String>>,
}

/// Whether an answer was given to its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerResult {
    /// It was owed, and its owner has it.
    Queued,
    /// The connection is owed none.
    NotOwed,
    /// There is no such connection.
    NoConnection,
}

/// Names and values for people.
pub(super) type Lines = Vec<(String, String)>;

impl Hub {
    pub(super) fn new(
        inbox: Sender<Input>,
        sockets: usize,
        links: Links,
        classes: Vec<String>,
        fleet: Option<fleet::Link>,
        routing: Option<Arc<dyn Router>>,
    ) -> Self {
        let hub = Self {
            clock: Clock::new(),
            inbox,
            queued_inputs: AtomicUsize::new(0),
            connections: Mutex::default(),
            next_conn: AtomicU64::new(1),
            closes: CloseCounts::default(),
            sockets,
            most_connections: AtomicUsize::new(1),
            spare_connections: AtomicUsize::new(0),
            max_calls: AtomicUsize::new(1),
            idle_limit_us: AtomicU64::new(u64::MAX),
            draining: AtomicBool::new(false),
            closed: OnceLock::new(),
            has_yielded: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            queries: Mutex::default(),
            next_query: AtomicU64::new(1),
            links: Mutex::new(links),
            fleet,
            routing,
            calls_blocked: AtomicBool::new(false),
            classes: Mutex::new(classes),
        };
        hub.set_descriptor_share(false);
        hub
    }

    /// Sets how many descriptors there are: two processes of one server have them together.
    pub(super) fn set_descriptor_share(&self, with_another: bool) {
        let parts = if with_another { 2 } else { 1 };
        let reserved = RESERVED_SOCKETS.min(self.sockets / 2);
        let most = ((self.sockets - reserved) / parts).max(1);
        self.most_connections.store(most, Ordering::Relaxed);
        self.max_calls.store((reserved / 2 / parts).max(1), Ordering::Relaxed);
        self.spare_connections.store(reserved / SPARE_PART / parts, Ordering::Relaxed);
        self.connections().shrink(most, Instant::now(), ConnectionHandle::evict);
    }

    /// Calls below that may be out at once.
    pub(super) fn max_calls(&self) -> usize {
        self.max_calls.load(Ordering::Relaxed)
    }

    /// A number for a connection.
    pub(super) fn new_conn(&self) -> ConnId {
        self.next_conn.fetch_add(1, Ordering::Relaxed)
    }

    /// Brings an input to the reducer; called from coroutines, it waits while the inbox is full.
    pub fn push(&self, input: Input) {
        while self.queued_inputs.load(Ordering::Relaxed) >= INBOX_ROOM {
            crate::net::spawn::sleep(Duration::from_millis(1));
        }
        self.push_nonblocking(input);
    }

    /// The same for what must not wait, and is rare.
    pub(super) fn push_nonblocking(&self, input: Input) {
        self.queued_inputs.fetch_add(1, Ordering::Relaxed);
        // The reducer's end is gone only while the process ends.
        let _ = self.inbox.send(input);
    }

    /// Asks the reducer; its answer comes under the ticket, which the asker takes out of the queries at the end.
    pub(super) fn submit_query(&self, query: Query) -> (u64, Receiver<Lines>) {
        let (sender, receiver) = std::sync::mpsc::channel();
        let ticket = self.next_query.fetch_add(1, Ordering::Relaxed);
        self.queries().insert(ticket, sender);
        self.push(Input::Query { ticket, query });
        (ticket, receiver)
    }

    /// Waits until the reducer has taken all that was brought before, and what follows from it is done; to be called from
    /// threads only.
    pub(super) fn wait_for_reducer(&self) {
        let (ticket, answer) = self.submit_query(Query::Status);
        // No answer comes only while the process ends.
        let _ = answer.recv();
        self.queries().remove(&ticket);
    }

    pub(super) fn queries(&self) -> MutexGuard<'_, HashMap<u64, Sender<Lines>>> {
        self.queries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn connections(&self) -> MutexGuard<'_, ConnectionTable<ConnectionHandle>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where the links are to lead.
    pub(super) fn links(&self) -> Links {
        *self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The names of the site's classes.
    pub(super) fn classes(&self) -> Vec<String> {
        self.classes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// A place for a new connection, and where its answers come; none while there is no room.
    pub(super) fn admit(self: &Arc<Self>, stream: &Conn) -> Option<ConnectionSlot> {
        let conn = self.new_conn();
        let (answer, answers) = co::channel();
        let accepted = Instant::now();
        let handle = ConnectionHandle { answer, stream: stream.clone() };
        let capacity = Capacity {
            open: self.most_connections.load(Ordering::Relaxed),
            spare: self.spare_connections.load(Ordering::Relaxed),
        };
        let admission = self.connections().admit(conn, handle, accepted, capacity, ConnectionHandle::evict);
        match admission {
            Admission::Admitted => Some(ConnectionSlot { conn, answers, accepted, hub: self.clone() }),
            Admission::Full => None,
        }
    }

    /// Gives a connection the answer that it is owed.
    pub(super) fn send_answer(&self, conn: ConnId, answer: &Arc<Answer>) -> AnswerResult {
        let owner = match self.connections().give_answer(conn) {
            AnswerDue::Owed(handle) => handle.answer.clone(),
            AnswerDue::NotOwed => return AnswerResult::NotOwed,
            AnswerDue::NoConnection => return AnswerResult::NoConnection,
        };
        // Not under the lock: waking a coroutine may wait for the worker, which may wait for the lock.
        let _ = owner.send(answer.clone());
        AnswerResult::Queued
    }

    /// Has all connections closed that are owed nothing.
    pub(super) fn evict_all(&self) {
        self.connections().shrink(0, Instant::now(), ConnectionHandle::evict);
    }

    /// How long a connection may be idle; none is kept once the server takes no new ones.
    pub(super) fn idle_limit(&self) -> Duration {
        let told = Duration::from_micros(self.idle_limit_us.load(Ordering::Relaxed));
        match (self.has_stopped_accepting(), self.has_yielded.load(Ordering::Relaxed)) {
            (true, _) => Duration::ZERO,
            (false, true) => told.min(YIELD_IDLE),
            (false, false) => told,
        }
    }

    /// The server begins to leave: connections look more often whether they are to close.
    pub(super) fn begin_drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// How often an idle connection looks whether it is to close.
    pub(super) fn idle_check_interval(&self) -> Duration {
        if self.draining.load(Ordering::Relaxed) {
            IDLE_LOOK_DRAINING
        } else {
            IDLE_LOOK
        }
    }

    /// The server takes no new connections from now on.
    pub(super) fn stop_accepting(&self) {
        let _ = self.closed.set(Instant::now());
    }

    /// The server takes no new connections.
    pub(super) fn has_stopped_accepting(&self) -> bool {
        self.closed.get().is_some()
    }

    /// For how long the server has taken no new connections.
    pub(super) fn stopped_accepting_for(&self) -> Option<Duration> {
        self.closed.get().map(Instant::elapsed)
    }
}
