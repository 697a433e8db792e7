//! The table of client connections, without I/O: which connections are admitted, and which are evicted to make room.
//!
//! Clients that connect and send nothing must not keep out clients that send requests. Connections are therefore
//! evicted in this order: those that have sent nothing, those with a part of their first request, idle ones, and those
//! with a part of a later request; within each group the one that has waited longest comes first. A connection that is
//! owed an answer is never evicted. Evictable connections are kept in this order, so that an eviction takes O(log n).
//!
//! Evicting a connection means asking its owner, the coroutine that serves it, to close it. A request that the owner
//! reads before the close is still answered, as the last one on that connection: the table alone decides which of the
//! two came first.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::core::ConnId;

/// A connection is not evicted within this time of its accept or its last answer, because a request may be on the way.
pub const EVICT_AFTER: Duration = Duration::from_millis(100);

/// The highest number of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Connections that stay open after an answer.
    pub open: usize,
    /// Further connections, which are closing or close after their next answer.
    pub spare: usize,
}

/// Whether a new connection is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is in the table.
    Admitted,
    /// There is no room until a connection has closed.
    Full,
}

/// Whether a connection is owed an answer.
#[derive(Debug, PartialEq, Eq)]
pub enum AnswerDue<'a, H> {
    /// An answer is owed; this is the handle of the connection.
    Owed(&'a H),
    /// No answer is owed: it was given already, or there is no request. Another answer would be taken for the answer to
    /// the next request.
    NotOwed,
    /// There is no such connection.
    NoConnection,
}

/// What a connection does after the answer to the request that it has just read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAnswer {
    /// It waits for another request.
    Stays,
    /// It closes.
    Closes,
}

/// The position of a connection in the order of eviction: its kind, and since when it has waited. Lower kinds are
/// evicted first.
type EvictionRank = (usize, (Instant, ConnId));
/// The kinds: nothing sent, part of a first request, idle, part of a later request.
const KINDS: usize = 4;

#[derive(Debug)]
struct Entry<H> {
    handle: H,
    /// A whole request has been read.
    has_sent_request: bool,
    /// A part of a request has been read, and the rest may be on the way, if slowly.
    has_partial_request: bool,
    /// A request has not been answered yet.
    awaits_answer: bool,
    /// The answer to that request has been given to the connection's owner.
    answer_given: bool,
    /// The connection was evicted, or its owner is closing it for another reason.
    is_closing: bool,
    /// The connection uses a spare slot, or was evicted before its request was read: it closes after its next answer.
    closes_after_answer: bool,
    /// When the connection was accepted or last answered.
    since: Instant,
}

impl<H> Entry<H> {
    fn rank(&self, conn: ConnId) -> Option<EvictionRank> {
        let kind = usize::from(self.has_sent_request) * 2 + usize::from(self.has_partial_request);
        (!self.awaits_answer && !self.is_closing).then_some((kind, (self.since, conn)))
    }
}

/// The connections of clients; `H` is the handle that is kept of each.
#[derive(Debug)]
pub struct ConnectionTable<H> {
    entries: HashMap<ConnId, Entry<H>>,
    /// The connections that may be evicted, by kind; the one that has waited longest comes first.
    evictable: [BTreeSet<(Instant, ConnId)>; KINDS],
    closing: usize,
}

impl<H> Default for ConnectionTable<H> {
    fn default() -> Self {
        Self { entries: HashMap::new(), evictable: Default::default(), closing: 0 }
    }
}

impl<H> ConnectionTable<H> {
    /// The number of connections, including those that are closing.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of connections that are closing.
    pub fn closing(&self) -> usize {
        self.closing
    }

    /// A connection is closing: its owner is closing it, or has been asked to.
    pub fn is_closing(&self, conn: ConnId) -> bool {
        self.entries.get(&conn).is_some_and(|entry| entry.is_closing)
    }

    /// A connection is in the table.
    pub fn contains(&self, conn: ConnId) -> bool {
        self.entries.contains_key(&conn)
    }

    /// Records that the answer owed on a connection is given to its owner, and returns the owner's handle. Where no
    /// answer is owed, nothing changes.
    pub fn give_answer(&mut self, conn: ConnId) -> AnswerDue<'_, H> {
        let Some(entry) = self.entries.get_mut(&conn) else { return AnswerDue::NoConnection };
        if !entry.awaits_answer || entry.answer_given {
            return AnswerDue::NotOwed;
        }
        entry.answer_given = true;
        AnswerDue::Owed(&entry.handle)
    }

    /// The connections whose answer is owed and has not been given.
    pub fn awaiting_answer(&self) -> impl Iterator<Item = (ConnId, &H)> {
        let is_waiting = |(_, entry): &(&ConnId, &Entry<H>)| entry.awaits_answer && !entry.answer_given;
        self.entries.iter().filter(is_waiting).map(|(conn, entry)| (*conn, &entry.handle))
    }

    /// Admits a connection at `now`, if there is room. Where all open slots are taken, one connection is evicted if
    /// possible: `evict` is called with its handle, and the new connection takes its slot. Otherwise the new connection
    /// takes a spare slot, and closes after its first answer.
    pub fn admit(
        &mut self,
        conn: ConnId,
        handle: H,
        now: Instant,
        capacity: Capacity,
        evict: impl FnOnce(&H),
    ) -> Admission {
        let open_slot_free = |table: &Self| table.open_count() < capacity.open;
        let may_evict = self.closing < capacity.spare.max(1);
        let has_slot = open_slot_free(self) || (may_evict && self.evict(now, evict) && open_slot_free(self));
        if self.len() >= capacity.open + capacity.spare {
            return Admission::Full;
        }
        let entry = Entry {
            handle,
            has_sent_request: false,
            has_partial_request: false,
            awaits_answer: false,
            answer_given: false,
            is_closing: false,
            closes_after_answer: !has_slot,
            since: now,
        };
        self.insert_evictable(entry.rank(conn));
        self.entries.insert(conn, entry);
        Admission::Admitted
    }

    /// Evicts connections that are owed no answer, until at most `max_open` are open or no further one can be evicted.
    pub fn shrink(&mut self, max_open: usize, now: Instant, mut evict: impl FnMut(&H)) {
        while self.open_count() > max_open && self.evict(now, &mut evict) {}
    }

    /// Records that a whole request was read: from now on the connection is owed an answer, even if it has been evicted
    /// in the meantime.
    pub fn request_read(&mut self, conn: ConnId) -> AfterAnswer {
        let mut after = AfterAnswer::Closes;
        let mut was_closing = false;
        self.change(conn, |entry| {
            was_closing = std::mem::take(&mut entry.is_closing);
            entry.closes_after_answer |= was_closing;
            (entry.has_sent_request, entry.has_partial_request, entry.awaits_answer) = (true, false, true);
            entry.answer_given = false;
            if !entry.closes_after_answer {
                after = AfterAnswer::Stays;
            }
        });
        self.closing -= usize::from(was_closing);
        after
    }

    /// Records that a part of a request was read.
    pub fn part_read(&mut self, conn: ConnId) {
        self.change(conn, |entry| entry.has_partial_request = true);
    }

    /// Records that the request was answered, and that the connection waits for another one.
    pub fn answered(&mut self, conn: ConnId, now: Instant) {
        self.change(conn, |entry| (entry.awaits_answer, entry.since) = (false, now));
    }

    /// Records that the owner of a connection is closing it, and reads no more requests from it.
    pub fn begin_closing(&mut self, conn: ConnId) {
        let mut was_open = false;
        self.change(conn, |entry| was_open = !std::mem::replace(&mut entry.is_closing, true));
        self.closing += usize::from(was_open);
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, conn: ConnId) {
        let Some(entry) = self.entries.remove(&conn) else { return };
        self.closing -= usize::from(entry.is_closing);
        self.remove_evictable(entry.rank(conn));
    }

    fn open_count(&self) -> usize {
        self.entries.len() - self.closing
    }

    /// Changes an entry, and updates its position among the evictable connections.
    fn change(&mut self, conn: ConnId, change: impl FnOnce(&mut Entry<H>)) {
        let Some(entry) = self.entries.get_mut(&conn) else { return };
        let before = entry.rank(conn);
        change(entry);
        let after = entry.rank(conn);
        self.remove_evictable(before);
        self.insert_evictable(after);
    }

    fn insert_evictable(&mut self, rank: Option<EvictionRank>) {
        if let Some((kind, position)) = rank {
            self.evictable[kind].insert(position);
        }
    }

    fn remove_evictable(&mut self, rank: Option<EvictionRank>) {
        if let Some((kind, position)) = rank {
            self.evictable[kind].remove(&position);
        }
    }

    fn evict(&mut self, now: Instant, evict: impl FnOnce(&H)) -> bool {
        // Within a kind the first connection has waited longest: where it is too new, so are the others.
        let is_old_enough =
            |(since, _): &&(Instant, ConnId)| now.saturating_duration_since(*since) >= EVICT_AFTER;
        let Some((_, conn)) =
            self.evictable.iter().find_map(|kind| kind.first().filter(is_old_enough).copied())
        else {
            return false;
        };
        self.begin_closing(conn);
        if let Some(entry) = self.entries.get(&conn) {
            evict(&entry.handle);
        }
        true
    }
}
