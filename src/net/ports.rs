//! The table of connections, without I/O: who has a place, and who makes room for whom.
//!
//! Clients that connect and say nothing must not keep out those that do: they make room first, then those with
//! half a request, then whoever has been idle for longest. Who is owed an answer keeps its place. The places that
//! may make room are kept in that order, so that making room takes O(log n).

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::core::ConnId;

/// Connections that were closed to make room and whose coroutines have not noticed yet.
pub const MOST_EVICTED: usize = 16;
/// A connection keeps its place for so long after it was accepted or answered: its request may be on the way.
pub const EVICT_AFTER: Duration = Duration::from_millis(100);

/// Where a connection stands among those that rest: its kind, and since when. Of lower kinds room is made first.
type Rank = (usize, (Instant, ConnId));
/// Silent, half a first request, idle, half a later request.
const KINDS: usize = 4;

#[derive(Debug)]
struct Place<S> {
    held: S,
    /// It has brought a whole message.
    asked: bool,
    /// A part of a message is there: the rest may be on the way, if slowly.
    begun: bool,
    /// A message of it is not answered yet.
    busy: bool,
    /// It was closed to make room, and its coroutine has not noticed yet.
    evicted: bool,
    /// When it was accepted, or last answered.
    since: Instant,
}

impl<S> Place<S> {
    fn rank(&self, conn: ConnId) -> Option<Rank> {
        let kind = usize::from(self.asked) * 2 + usize::from(self.begun);
        (!self.busy && !self.evicted).then_some((kind, (self.since, conn)))
    }
}

/// The connections of callers; `S` is whatever is held for each.
#[derive(Debug)]
pub struct Ports<S> {
    places: HashMap<ConnId, Place<S>>,
    /// Those that are owed nothing and not closed yet, by kind, the longest first.
    resting: [BTreeSet<(Instant, ConnId)>; KINDS],
    evicted: usize,
}

impl<S> Default for Ports<S> {
    fn default() -> Self {
        Self { places: HashMap::new(), resting: Default::default(), evicted: 0 }
    }
}

impl<S> Ports<S> {
    /// Connections that are there, closed ones whose coroutines have not noticed among them.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// There is none.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// What is held for a connection.
    pub fn get(&self, conn: ConnId) -> Option<&S> {
        self.places.get(&conn).map(|place| &place.held)
    }

    /// Takes in a connection at `now`, where `most` may be open; false if there is no room and none can be made.
    /// `close` is called for one that makes room.
    pub fn take_in(
        &mut self,
        conn: ConnId,
        held: S,
        now: Instant,
        most: usize,
        close: impl FnOnce(&S),
    ) -> bool {
        if self.places.len() - self.evicted >= most
            && (self.evicted >= MOST_EVICTED || !self.evict(now, close))
        {
            return false;
        }
        let place = Place { held, asked: false, begun: false, busy: false, evicted: false, since: now };
        let rank = place.rank(conn);
        self.places.insert(conn, place);
        self.file(rank);
        true
    }

    /// Closes what rests, down to `most` where that is enough.
    pub fn shrink(&mut self, most: usize, now: Instant, mut close: impl FnMut(&S)) {
        while self.places.len() - self.evicted > most && self.evict(now, &mut close) {}
    }

    /// A message was read: from now on the connection is owed an answer. False if it was closed before.
    pub fn asks(&mut self, conn: ConnId) -> bool {
        self.change(conn, |place| (place.asked, place.begun, place.busy) = (true, false, true))
    }

    /// A part of a message was read.
    pub fn begins(&mut self, conn: ConnId) {
        self.change(conn, |place| place.begun = true);
    }

    /// The message was answered.
    pub fn rests(&mut self, conn: ConnId, now: Instant) {
        self.change(conn, |place| (place.busy, place.since) = (false, now));
    }

    /// The connection is over.
    pub fn leaves(&mut self, conn: ConnId) {
        let Some(place) = self.places.remove(&conn) else { return };
        self.evicted -= usize::from(place.evicted);
        if let Some((kind, rank)) = place.rank(conn) {
            self.resting[kind].remove(&rank);
        }
    }

    /// Changes a place that was not closed.
    fn change(&mut self, conn: ConnId, how: impl FnOnce(&mut Place<S>)) -> bool {
        let Some(place) = self.places.get_mut(&conn).filter(|p| !p.evicted) else { return false };
        if let Some((kind, rank)) = place.rank(conn) {
            self.resting[kind].remove(&rank);
        }
        how(place);
        let rank = place.rank(conn);
        self.file(rank);
        true
    }

    fn file(&mut self, rank: Option<Rank>) {
        if let Some((kind, rank)) = rank {
            self.resting[kind].insert(rank);
        }
    }

    fn evict(&mut self, now: Instant, close: impl FnOnce(&S)) -> bool {
        // Within a kind the first has waited longest: where it is too new, so are the others.
        let old = |(since, _): &&(Instant, ConnId)| now.saturating_duration_since(*since) >= EVICT_AFTER;
        let first = |kind: usize| Some((kind, *self.resting[kind].first().filter(old)?));
        let Some((kind, rank)) = (0..KINDS).find_map(first) else { return false };
        self.resting[kind].remove(&rank);
        let Some(place) = self.places.get_mut(&rank.1) else { return false };
        place.evicted = true;
        self.evicted += 1;
        close(&place.held);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn silent_clients_make_room_before_slow_requests_and_those_before_idle_callers() {
        // Guards against a request that takes its time being closed in favour of clients that say nothing.
        let start = Instant::now();
        let mut ports = Ports::default();
        for conn in 1..=4 {
            assert!(ports.take_in(conn, conn, start + Duration::from_millis(conn), 4, |_| ()));
        }
        assert!(ports.asks(1) && ports.asks(2));
        ports.rests(2, start);
        ports.begins(3);
        assert!(!ports.take_in(5, 5, start + Duration::from_millis(50), 4, |_| ()), "all are new");
        let later = start + Duration::from_secs(1);
        for expected in [4, 3, 2] {
            let mut closed = 0;
            assert!(ports.evict(later, |held| closed = *held));
            assert_eq!(closed, expected);
        }
        assert!(!ports.evict(later, |_| ()), "who is owed an answer stays");
        assert!(!ports.asks(4), "what makes room at this moment was not read");
        (1..=4).for_each(|conn| ports.leaves(conn));
        assert!(ports.is_empty() && ports.resting.iter().all(BTreeSet::is_empty) && ports.evicted == 0);
    }
}
