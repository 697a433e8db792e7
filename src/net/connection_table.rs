//! The table of callers' connections, without I/O: who is admitted, and who makes room for whom.
//!
//! Clients that connect and say nothing must not keep out those that do: they make room first, then those with
//! half a request, then whoever has been idle for longest. Who is owed an answer keeps its place. Those that may make
//! room are kept in that order, so that making room takes O(log n).
//!
//! To evict a connection is to ask its owner to close it. A request that the owner reads before it has closed is still
//! answered, as the last one there: the table alone decides which of the two came first.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::core::ConnId;

/// A connection is not evicted for so long after it was accepted or answered: its request may be on the way.
pub const EVICT_AFTER: Duration = Duration::from_millis(100);

/// How many connections there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Connections that stay open from request to request.
    pub open: usize,
    /// Further ones that are closing, or close after their next answer.
    pub spare: usize,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is in the table.
    Admitted,
    /// There is no room for it now; there will be once a connection has closed.
    Full,
}

/// Whether a connection is owed an answer.
#[derive(Debug, PartialEq, Eq)]
pub enum AnswerDue<'a, H> {
    /// It is, and this is it.
    Owed(&'a H),
    /// It is not: one was given, or nothing was asked. Another one would pass for that to its next request.
    NotOwed,
    /// There is no such connection.
    NoConnection,
}

/// What a connection does once the request that it just read is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAnswer {
    /// It waits for another one.
    Stays,
    /// It closes.
    Closes,
}

/// Where a connection stands among those that are owed nothing: its kind, and since when. Of lower kinds room is made
/// first.
type Rank = (usize, (Instant, ConnId));
/// Silent, half a first request, idle, half a later request.
const KINDS: usize = 4;

#[derive(Debug)]
struct Entry<H> {
    handle: H,
    /// It has brought a whole request.
    has_asked: bool,
    /// A part of a request is there: the rest may be on the way, if slowly.
    has_part: bool,
    /// A request of it is not answered yet.
    is_busy: bool,
    /// The answer to that request was given to its owner.
    has_answer: bool,
    /// It was evicted, or its owner closes it for another reason.
    is_closing: bool,
    /// It takes the place of a spare one, and closes after its next answer.
    closes_after_answer: bool,
    /// When it was accepted, or last answered.
    since: Instant,
}

impl<H> Entry<H> {
    fn rank(&self, conn: ConnId) -> Option<Rank> {
        let kind = usize::from(self.has_asked) * 2 + usize::from(self.has_part);
        (!self.is_busy && !self.is_closing).then_some((kind, (self.since, conn)))
    }
}

/// The connections of callers; `H` is the handle that is kept of each.
#[derive(Debug)]
pub struct ConnectionTable<H> {
    entries: HashMap<ConnId, Entry<H>>,
    /// Those that may be evicted, by kind, the longest first.
    evictable: [BTreeSet<(Instant, ConnId)>; KINDS],
    closing: usize,
}

impl<H> Default for ConnectionTable<H> {
    fn default() -> Self {
        Self { entries: HashMap::new(), evictable: Default::default(), closing: 0 }
    }
}

impl<H> ConnectionTable<H> {
    /// Connections that are there, closing ones among them.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// There is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Connections that are closing.
    pub fn closing(&self) -> usize {
        self.closing
    }

    /// A connection is closing: its owner does so already, or is asked to.
    pub fn is_closing(&self, conn: ConnId) -> bool {
        self.entries.get(&conn).is_some_and(|entry| entry.is_closing)
    }

    /// It is in the table.
    pub fn contains(&self, conn: ConnId) -> bool {
        self.entries.contains_key(&conn)
    }

    /// Gives the owner of a connection the answer that it owes.
    pub fn give_answer(&mut self, conn: ConnId) -> AnswerDue<'_, H> {
        let Some(entry) = self.entries.get_mut(&conn) else { return AnswerDue::NoConnection };
        if !entry.is_busy || entry.has_answer {
            return AnswerDue::NotOwed;
        }
        entry.has_answer = true;
        AnswerDue::Owed(&entry.handle)
    }

    /// Admits a connection at `now`, if there is room. `evict` is called for one that is to make room, where one can:
    /// the new one then has its place. Where none can, the new one takes a spare place, and closes after its first
    /// answer.
    pub fn admit(
        &mut self,
        conn: ConnId,
        handle: H,
        now: Instant,
        capacity: Capacity,
        evict: impl FnOnce(&H),
    ) -> Admission {
        let has_place = |table: &Self| table.open() < capacity.open;
        let may_evict = self.closing < capacity.spare.max(1);
        let placed = has_place(self) || (may_evict && self.evict(now, evict) && has_place(self));
        if self.len() >= capacity.open + capacity.spare {
            return Admission::Full;
        }
        let entry = Entry {
            handle,
            has_asked: false,
            has_part: false,
            is_busy: false,
            has_answer: false,
            is_closing: false,
            closes_after_answer: !placed,
            since: now,
        };
        self.set_evictable(entry.rank(conn));
        self.entries.insert(conn, entry);
        Admission::Admitted
    }

    /// Evicts connections that are owed nothing, down to `most` open ones where that is enough.
    pub fn shrink(&mut self, most: usize, now: Instant, mut evict: impl FnMut(&H)) {
        while self.open() > most && self.evict(now, &mut evict) {}
    }

    /// A whole request was read: from now on the connection is owed an answer. One that was evicted meanwhile is
    /// still owed it.
    pub fn request_read(&mut self, conn: ConnId) -> AfterAnswer {
        let mut after = AfterAnswer::Closes;
        let mut was_closing = false;
        self.change(conn, |entry| {
            was_closing = std::mem::take(&mut entry.is_closing);
            entry.closes_after_answer |= was_closing;
            (entry.has_asked, entry.has_part, entry.is_busy) = (true, false, true);
            entry.has_answer = false;
            if !entry.closes_after_answer {
                after = AfterAnswer::Stays;
            }
        });
        self.closing -= usize::from(was_closing);
        after
    }

    /// A part of a request was read.
    pub fn part_read(&mut self, conn: ConnId) {
        self.change(conn, |entry| entry.has_part = true);
    }

    /// The request was answered, and the connection waits for another one.
    pub fn answered(&mut self, conn: ConnId, now: Instant) {
        self.change(conn, |entry| (entry.is_busy, entry.since) = (false, now));
    }

    /// The owner of a connection closes it, and reads no more requests there.
    pub fn begin_closing(&mut self, conn: ConnId) {
        let mut newly = false;
        self.change(conn, |entry| newly = !std::mem::replace(&mut entry.is_closing, true));
        self.closing += usize::from(newly);
    }

    /// The connection is over.
    pub fn remove(&mut self, conn: ConnId) {
        let Some(entry) = self.entries.remove(&conn) else { return };
        self.closing -= usize::from(entry.is_closing);
        self.unset_evictable(entry.rank(conn));
    }

    fn open(&self) -> usize {
        self.entries.len() - self.closing
    }

    /// Changes an entry, and its place among those that may be evicted.
    fn change(&mut self, conn: ConnId, change: impl FnOnce(&mut Entry<H>)) {
        let Some(entry) = self.entries.get_mut(&conn) else { return };
        let before = entry.rank(conn);
        change(entry);
        let after = entry.rank(conn);
        self.unset_evictable(before);
        self.set_evictable(after);
    }

    fn set_evictable(&mut self, rank: Option<Rank>) {
        if let Some((kind, place)) = rank {
            self.evictable[kind].insert(place);
        }
    }

    fn unset_evictable(&mut self, rank: Option<Rank>) {
        if let Some((kind, place)) = rank {
            self.evictable[kind].remove(&place);
        }
    }

    fn evict(&mut self, now: Instant, evict: impl FnOnce(&H)) -> bool {
        // Within a kind the first has waited longest: where it is too new, so are the others.
        let is_old = |(since, _): &&(Instant, ConnId)| now.saturating_duration_since(*since) >= EVICT_AFTER;
        let Some((_, conn)) = self.evictable.iter().find_map(|kind| kind.first().filter(is_old).copied())
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
