//! The rules of leases and activations of `src/fleet/routes`, in the same order, with time in whole ticks.

use std::collections::BTreeMap;

pub type Tick = i8;
pub type Turn = u8;

/// A fault that is planted in the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The leader does not limit leases to the moment of the switch.
    LongLease,
    /// The leader commits with the shortest lead, regardless of prepared members and open leases.
    RashCommit,
    /// An earlier leader that finds a commit of a later term continues, and treats it as one of a term before its own.
    StaleMoment,
    /// The leader never proposes that the moment of the switch is past.
    NeverDone,
}

/// Intervals and time limits, as in `fleet::routes::Timing`.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub lease: Tick,
    pub lead: Tick,
    pub deadline: Tick,
    /// The widest window with which a commit is acknowledged.
    pub max_window: Tick,
    /// Whether clocks drift. Each clock gains at most one tick, so two differ by at most one in any span.
    pub drifts: bool,
    pub fault: Fault,
}

impl Timing {
    /// Returns how far two clocks can drift apart in a span.
    fn drift(&self, span: Tick) -> Tick {
        Tick::from(self.drifts && span > 0)
    }

    /// Returns the length of a lease as its holder counts it (`HeldLease::extend`).
    pub fn held_length(&self, lease: Tick) -> Tick {
        (lease - 2 * self.drift(lease)).max(0)
    }

    pub fn wait_out(&self) -> Tick {
        self.lease + 2 * self.drift(self.lease)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TimeWindow {
    pub low: Tick,
    pub high: Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Entry {
    Prepare(Turn),
    Commit { turn: Turn, term: u8, by: u8, at: Tick },
    Abort(Turn),
    Done(Turn),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Preparing,
    Committed { term: u8, by: u8, at: Tick },
}

/// The result of all entries (`State::apply`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Record {
    pub active: Turn,
    pub last: Turn,
    pub run: Option<(Turn, Stage)>,
}

impl Record {
    pub fn of(entries: &[Entry]) -> Self {
        let mut record = Self::default();
        for entry in entries {
            record.apply(*entry);
        }
        record
    }

    /// Applies an entry. Returns whether it changed anything.
    pub fn apply(&mut self, entry: Entry) -> bool {
        match (entry, self.run) {
            (Entry::Prepare(turn), None) => (self.last, self.run) = (turn, Some((turn, Stage::Preparing))),
            (Entry::Commit { turn, term, by, at }, Some((on, Stage::Preparing))) if on == turn => {
                self.run = Some((turn, Stage::Committed { term, by, at }));
            }
            (Entry::Abort(turn), Some((on, Stage::Preparing))) if on == turn => self.run = None,
            (Entry::Done(turn), Some((on, Stage::Committed { .. }))) if on == turn => {
                (self.active, self.run) = (turn, None);
            }
            _ => return false,
        }
        true
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseRequest {
    pub from: u8,
    pub incarnation: u8,
    /// The time on the sender's clock, which is also the request's number because one is sent per tick.
    pub sent: Tick,
    pub prepared: Option<Turn>,
    pub acknowledged: Option<Turn>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Pending {
    Prepare(Turn),
    Commit(Turn, TimeWindow),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseReply {
    pub to: u8,
    pub incarnation: u8,
    pub sent: Tick,
    pub term: u8,
    pub time: Tick,
    pub lease: Tick,
    pub active: Turn,
    pub pending: Option<Pending>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Member {
    pub incarnation: u8,
    pub term: u8,
    pub until: Tick,
    pub turn: Turn,
    pub switch: Option<(Turn, TimeWindow)>,
    pub wanted: Option<Turn>,
    pub last_reply: Tick,
}

impl Member {
    pub fn holds_lease(&self, now: Tick) -> bool {
        now < self.until
    }

    /// `Member::route`: the turn under which a call is sent at `now`.
    pub fn acts(&self, now: Tick) -> Option<Turn> {
        match self.switch {
            _ if !self.holds_lease(now) => None,
            Some((next, window)) if now >= window.high => Some(next),
            Some((_, window)) if now >= window.low => None,
            _ => Some(self.turn),
        }
    }

    fn adopt(&mut self, turn: Turn) {
        (self.turn, self.wanted) = (turn, None);
        self.switch = self.switch.filter(|(next, _)| *next > turn);
    }

    /// The end of `Member::step`.
    pub fn finish_step(&mut self, now: Tick) {
        if let Some((next, _)) = self.switch.filter(|(_, window)| now >= window.high) {
            match self.holds_lease(now) {
                true => self.adopt(next),
                false => self.switch = None,
            }
        }
    }

    pub fn ask(&mut self, from: u8, now: Tick) -> LeaseRequest {
        self.finish_step(now);
        let acknowledged = self.switch.map(|(next, _)| next);
        LeaseRequest { from, incarnation: self.incarnation, sent: now, prepared: self.wanted, acknowledged }
    }

    /// `Member::reply`, with the window of this one round trip.
    pub fn reply(&mut self, now: Tick, timing: Timing, reply: LeaseReply) {
        if reply.incarnation == self.incarnation && reply.term >= self.term && reply.sent > self.last_reply {
            self.apply_reply(now, timing, reply);
        }
        self.finish_step(now);
    }

    fn apply_reply(&mut self, now: Tick, timing: Timing, reply: LeaseReply) {
        (self.last_reply, self.term) = (reply.sent, reply.term);
        if self.turn < reply.active {
            self.adopt(reply.active);
        }
        match reply.pending {
            Some(Pending::Prepare(next)) if next > self.turn => self.wanted = Some(next),
            Some(Pending::Commit(next, moment)) if next > self.turn => {
                self.wanted = Some(next);
                let slack = timing.drift(now - reply.sent);
                let low = moment.low - (reply.time - reply.sent + slack);
                let high = moment.high - (reply.time - now - slack);
                let away = |at: Tick| timing.drift((at - now).abs());
                let window = TimeWindow { low: low - away(low), high: high + away(high) };
                if self.switch.is_none() && window.high - window.low <= timing.max_window {
                    self.switch = Some((next, window));
                }
            }
            Some(_) => {}
            None => self.wanted = self.switch.map(|(next, _)| next),
        }
        if reply.active == self.turn {
            self.until = self.until.max(reply.sent + timing.held_length(reply.lease));
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GrantedLease {
    pub end: Tick,
    pub number: Tick,
    pub prepared: Option<Turn>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Progress {
    pub turn: Turn,
    pub began: Tick,
    pub proposed: Option<Entry>,
}

/// A leader, which may have been deposed without knowing it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    pub at: u8,
    pub term: u8,
    pub elected: Tick,
    pub confirmed: Tick,
    pub leases: BTreeMap<(u8, u8), GrantedLease>,
    pub window: Option<(Turn, TimeWindow)>,
    pub progress: Option<Progress>,
}

impl Leader {
    pub fn new(at: u8, term: u8, now: Tick, window: Option<(Turn, TimeWindow)>) -> Self {
        Self { at, term, elected: now, confirmed: now, leases: BTreeMap::new(), window, progress: None }
    }

    /// `Leader::step`: a commit of a later term shows that this term has ended.
    pub fn has_ended(&self, timing: Timing, record: &Record) -> bool {
        let later = matches!(record.run, Some((_, Stage::Committed { term, .. })) if term > self.term);
        later && timing.fault != Fault::StaleMoment
    }

    fn predecessors_end(&self, timing: Timing) -> Tick {
        self.elected + timing.wait_out()
    }

    fn barrier(&self, timing: Timing, record: &Record) -> Option<(Turn, TimeWindow)> {
        let (turn, stage) = record.run?;
        let exact = |at| TimeWindow { low: at, high: at };
        if let Stage::Committed { term, at, .. } = stage {
            let known = self.window.filter(|(t, _)| *t == turn).map(|(_, w)| w);
            let unknown = TimeWindow { low: 0, high: self.predecessors_end(timing) };
            return Some((turn, if term == self.term { exact(at) } else { known.unwrap_or(unknown) }));
        }
        match self.progress.as_ref().filter(|p| p.turn == turn)?.proposed {
            Some(Entry::Commit { at, .. }) => Some((turn, exact(at))),
            _ => None,
        }
    }

    /// `Leadership::advance`. A proposed commit or abort is kept in `progress`, a `Done` is returned.
    pub fn advance(&mut self, now: Tick, timing: Timing, record: &Record) -> Option<Entry> {
        let Some((turn, stage)) = record.run else {
            self.progress = None;
            return None;
        };
        if stage != Stage::Preparing {
            self.progress = None;
            let past = self.barrier(timing, record).is_some_and(|(_, moment)| now >= moment.high);
            return (past && timing.fault != Fault::NeverDone).then_some(Entry::Done(turn));
        }
        if self.progress.as_ref().is_none_or(|p| p.turn != turn) {
            self.progress = Some(Progress { turn, began: now, proposed: None });
        }
        let predecessors_end = self.predecessors_end(timing);
        let progress = self.progress.as_mut()?;
        let rash = timing.fault == Fault::RashCommit;
        if progress.proposed.is_some() || (now + timing.lead < predecessors_end && !rash) {
            return None;
        }
        let prepared = |g: &GrantedLease| g.prepared == Some(turn);
        let ends = self.leases.values().filter(|g| prepared(g)).map(|g| g.end);
        let mut at = ends.chain([now + timing.lead, predecessors_end]).max()?;
        let is_overdue = now >= progress.began + timing.deadline;
        let is_silent = |g: &GrantedLease| !prepared(g) && g.end > if is_overdue { at } else { now };
        let mut waits = self.leases.values().any(is_silent);
        let some = self.leases.values().any(prepared);
        if rash {
            (at, waits) = (now + timing.lead, false);
        }
        if !waits && some {
            progress.proposed = Some(Entry::Commit { turn, term: self.term, by: self.at, at });
        } else if waits && is_overdue {
            progress.proposed = Some(Entry::Abort(turn));
        }
        None
    }

    /// Removes state that can no longer have an effect, so that equivalent states become equal.
    pub fn forget(&mut self, now: Tick, timing: Timing, current: bool, record: &Record) {
        if current {
            // It is set again before it is read.
            self.confirmed = 0;
        } else if self.confirmed + timing.lease <= now {
            (self.confirmed, self.leases) = Default::default();
        }
        if self.predecessors_end(timing) <= now {
            self.elected = 0;
        }
        if record.run.is_none_or(|(turn, _)| self.window.is_none_or(|(known, _)| known < turn)) {
            self.window = None;
        }
        let began = self.progress.as_ref().map_or(now, |p| p.began);
        let prepares = matches!(record.run, Some((_, Stage::Preparing)));
        for granted in self.leases.values_mut() {
            if granted.end <= began {
                granted.end = 0;
            }
            granted.prepared = granted.prepared.filter(|_| prepares);
        }
    }

    /// `Leadership::answer_request`.
    pub fn answer_request(
        &mut self,
        now: Tick,
        timing: Timing,
        record: &Record,
        request: LeaseRequest,
    ) -> Option<LeaseReply> {
        let barrier = self.barrier(timing, record);
        let granted = self.leases.entry((request.from, request.incarnation)).or_default();
        if request.sent <= granted.number {
            return None;
        }
        (granted.number, granted.prepared) = (request.sent, None);
        granted.prepared = request.prepared.filter(|turn| record.run.is_some_and(|(on, _)| on == *turn));
        let mut length = timing.lease.min((self.confirmed + timing.lease - now).max(0));
        let (mut active, mut pending) = (record.active, None);
        match (record.run, barrier) {
            (Some((turn, stage)), Some((_, moment))) => {
                let committed = stage != Stage::Preparing;
                if committed && now >= moment.high {
                    active = turn;
                } else {
                    let is_acknowledged = request.acknowledged == Some(turn) && committed;
                    if !is_acknowledged && timing.fault != Fault::LongLease {
                        length = length.min((moment.low - now).max(0));
                    }
                    pending = (committed && moment.low > 0).then_some(Pending::Commit(turn, moment));
                }
            }
            (Some((turn, _)), None) => {
                pending = Some(Pending::Prepare(turn));
                let began = self.progress.as_ref().map_or(now, |p| p.began);
                if granted.prepared.is_some() {
                    length = length.min(timing.lead);
                } else if granted.end <= began {
                    length = length.min((began + timing.deadline + timing.lead - now).max(0));
                }
            }
            _ => {}
        }
        granted.end = granted.end.max(now + length);
        let (to, incarnation, sent) = (request.from, request.incarnation, request.sent);
        Some(LeaseReply { to, incarnation, sent, term: self.term, time: now, lease: length, active, pending })
    }
}
