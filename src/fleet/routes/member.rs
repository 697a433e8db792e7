//! A member's part: it asks for its lease, prepares tables, and says which version a request belongs to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::clock::{Clock, ClockError, Sample};
use super::lease::HeldLease;
use super::table::{Hash, KnownNames, Table, TableError};
use super::{
    Activation, Fence, LeaseReply, LeaseRequest, MemberIncarnation, Pending, Refusal, TimeWindow, Timing,
    Turn, MAX_CLOCK_BOUND,
};

/// Asks whose replies are still taken.
const MOST_ASKS: usize = 16;
/// More asks than these without a reply are a gap.
const GAP: u64 = 2;
/// A wide clock bound is refused with only after so many samples of a leader: the first may have been late by chance, on a
/// busy machine several. At an ask each 200 ms that is 2 s, within the deadline of a prepare.
const FAIR_SAMPLES: usize = 10;

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// The leader wants to be asked, or there is a new one.
    Nudge,
    /// The leader replied.
    Reply(LeaseReply),
    /// A table came, in whatever form.
    Fetched(Hash, String),
    /// The connections to a table's pools were opened for a turn, or one address could not be reached.
    Opened(Turn, Hash, Result<(), SocketAddr>),
}

/// What a step asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send this to the leader.
    Ask(LeaseRequest),
    /// Fetch a table.
    Fetch(Hash),
    /// Open connections to the pools of this table, for this turn.
    Open(Turn, Hash),
    /// This is in force here from now on.
    Switched(Fence),
}

/// A request, as far as its version goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallRequest {
    /// When its last byte was read.
    pub read: Duration,
    /// What a call of it went out under, if one did.
    pub tried: Option<Fence>,
    /// What its key ran under, if it did.
    pub ran: Option<Fence>,
}

/// What becomes of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallDecision {
    /// Made now, with this fence.
    Go(Fence),
    /// It came inside the uncertainty, or is of the old version there: asked again then, on the own clock.
    Wait(Duration),
    /// Answered from its key, which ran under this.
    FromKey(Fence),
    /// A call of it went out under this older version: it ends as failed, and is not tried under another.
    Ended(Fence),
    /// No lease, or no table: left out where the class allows that, else turned away at once.
    Barred,
}

/// One member.
#[derive(Clone, Debug)]
pub struct Member {
    life: MemberIncarnation,
    known: KnownNames,
    pace: Timing,
    term: u64,
    clock: Clock,
    lease: HeldLease,
    active: Option<Activation>,
    switch: Option<(Activation, TimeWindow)>,
    wanted: Option<Activation>,
    /// The tables that were fetched, and for which turn their connections were opened last.
    tables: BTreeMap<Hash, (Table, Option<Turn>)>,
    refused: Option<(Hash, Refusal)>,
    asks: BTreeMap<u64, Duration>,
    number: u64,
    /// Replies up to this number are not taken any more.
    taken: u64,
    /// The newest ask that had a reply.
    heard: u64,
    ask_at: Duration,
    last: Duration,
}

impl Member {
    /// One that knows nothing yet; its first tick asks.
    pub fn new(life: MemberIncarnation, known: KnownNames, pace: Timing) -> Self {
        Self {
            life,
            known,
            pace,
            term: 0,
            clock: Clock::default(),
            lease: HeldLease::default(),
            active: None,
            switch: None,
            wanted: None,
            tables: BTreeMap::new(),
            refused: None,
            asks: BTreeMap::new(),
            number: 0,
            taken: 0,
            heard: 0,
            ask_at: Duration::ZERO,
            last: Duration::ZERO,
        }
    }

    /// Takes what happened at `now` on this process's monotonic clock.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now < self.last {
            self.give_up();
        }
        self.last = now;
        let said = (self.answer(now), self.acknowledged());
        match input {
            Input::Tick => {}
            Input::Nudge => self.ask_at = now,
            Input::Reply(reply) => self.reply(now, reply, &mut effects),
            Input::Fetched(hash, document) => self.fetched(hash, &document, &mut effects),
            Input::Opened(turn, hash, opened) => self.opened(turn, hash, opened),
        }
        if let Some((next, _)) = self.switch.filter(|(_, window)| now >= window.high) {
            if self.lease.holds(now) {
                self.adopt(next, &mut effects);
            } else {
                // Cut off, or its clock was stepped past the moment: a leader tells what is in force.
                self.switch = None;
            }
        }
        let changed = said.1 != self.acknowledged()
            || said.0.map(|(turn, a)| (turn, a.is_ok()))
                != self.answer(now).map(|(turn, a)| (turn, a.is_ok()));
        if changed || now >= self.ask_at {
            self.ask(now, &mut effects);
        }
        effects
    }

    /// When it wants to be asked again, at the latest.
    pub fn next(&self) -> Duration {
        self.switch.map_or(self.ask_at, |(_, window)| window.high.min(self.ask_at))
    }

    fn ask(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.number += 1;
        self.ask_at = now + self.pace.ask;
        self.asks.insert(self.number, now);
        if self.asks.len() > MOST_ASKS {
            self.asks.pop_first();
        }
        for a in self.concerned() {
            let bad = self.refused.as_ref().is_some_and(|(hash, _)| *hash == a.hash);
            match self.tables.contains_key(&a.hash) {
                false if !bad => effects.push(Effect::Fetch(a.hash)),
                true if !bad && !self.is_open(a) => effects.push(Effect::Open(a.fence.turn, a.hash)),
                _ => {}
            }
        }
        let (answer, acknowledged) = (self.answer(now), self.acknowledged());
        let (life, number, heard) = (self.life.clone(), self.number, self.heard);
        effects.push(Effect::Ask(LeaseRequest {
            member: life,
            number,
            last_reply: heard,
            answer,
            acknowledged,
        }));
    }

    /// What is in force, on its way, or about to be.
    fn concerned(&self) -> impl Iterator<Item = Activation> {
        [self.active, self.wanted, self.switch.map(|(a, _)| a)].into_iter().flatten()
    }

    /// Its table is here, and the connections of it were opened for its own turn.
    fn is_open(&self, activation: Activation) -> bool {
        let opened = self.tables.get(&activation.hash).and_then(|(_, turn)| *turn);
        opened == Some(activation.fence.turn)
    }

    fn answer(&self, now: Duration) -> Option<(Turn, Result<Duration, Refusal>)> {
        let wanted = self.wanted?;
        let turn = wanted.fence.turn;
        if let Some((_, refusal)) = self.refused.as_ref().filter(|(hash, _)| *hash == wanted.hash) {
            return Some((turn, Err(refusal.clone())));
        }
        if !self.is_open(wanted) {
            return None;
        }
        match self.clock.usable_bound(now) {
            Ok(bound) => Some((turn, Ok(bound))),
            Err(_) if self.clock.samples() < FAIR_SAMPLES => None,
            Err(problem) => Some((turn, Err(Refusal::Clock { problem }))),
        }
    }

    fn acknowledged(&self) -> Option<Turn> {
        self.switch.map(|(next, _)| next.fence.turn)
    }

    /// Gives up lease and moment; replies to what was asked before are not taken.
    fn give_up(&mut self) {
        self.lease.release();
        (self.switch, self.taken) = (None, self.number);
        self.asks.clear();
    }

    fn reply(&mut self, now: Duration, reply: LeaseReply, effects: &mut Vec<Effect>) {
        if reply.term < self.term || reply.number <= self.taken {
            return;
        }
        let Some(sent) = self.asks.remove(&reply.number) else { return };
        if reply.number > self.heard + GAP {
            // The leader took it for deaf: it is told at once that it is not.
            self.ask_at = now;
        }
        self.heard = reply.number;
        self.taken = reply.number;
        if reply.term > self.term {
            (self.term, self.clock) = (reply.term, Clock::default());
        }
        let taken = self.clock.add_sample(Sample { sent, received: now, theirs: reply.time });
        if taken.and_then(|()| self.clock.offset(now)).is_err() {
            return self.give_up();
        }
        if let Some(active) = reply.active.filter(|a| self.turn() < a.fence.turn) {
            self.adopt(active, effects);
        }
        match reply.pending {
            Some(Pending::Prepare(next)) if next.fence.turn > self.turn() => {
                if self.want(next) {
                    self.ask_at = now;
                }
            }
            Some(Pending::Commit(next, moment)) if next.fence.turn > self.turn() => {
                self.want(next);
                let here =
                    self.clock.to_own_clock(now, moment).ok().filter(|w| w.bound() <= MAX_CLOCK_BOUND * 2);
                let is_ready = self.is_open(next);
                if let Some(window) = here.filter(|_| is_ready && self.switch.is_none()) {
                    self.switch = Some((next, window));
                }
            }
            Some(_) => {}
            None => self.wanted = self.switch.map(|(next, _)| next),
        }
        if reply.active == self.active {
            self.lease.extend(sent, reply.lease);
        }
    }

    /// Takes up what is on its way; true for another turn, of which nothing was refused yet.
    fn want(&mut self, next: Activation) -> bool {
        let before = self.wanted.replace(next);
        let is_other = before.is_none_or(|before| before.fence.turn != next.fence.turn);
        if is_other {
            self.refused = None;
        }
        is_other
    }

    /// What came of connections that were opened for another turn says nothing of those of this one.
    fn opened(&mut self, turn: Turn, hash: Hash, opened: Result<(), SocketAddr>) {
        if !self.concerned().any(|a| (a.fence.turn, a.hash) == (turn, hash)) {
            return;
        }
        match opened {
            Ok(()) => {
                self.tables.entry(hash).and_modify(|(_, opened)| *opened = Some(turn));
            }
            Err(address) => self.refused = Some((hash, Refusal::Connect { address })),
        }
    }

    fn adopt(&mut self, next: Activation, effects: &mut Vec<Effect>) {
        // What was refused before is tried again: without the table in force nothing is served.
        (self.active, self.wanted, self.refused) = (Some(next), None, None);
        self.switch = self.switch.filter(|(a, _)| a.fence.turn > next.fence.turn);
        let kept = [Some(next), self.switch.map(|(a, _)| a)];
        self.tables.retain(|hash, _| kept.iter().flatten().any(|a| a.hash == *hash));
        effects.push(Effect::Switched(next.fence));
    }

    fn fetched(&mut self, hash: Hash, document: &str, effects: &mut Vec<Effect>) {
        let checked = Table::parse(document).and_then(|t| t.check(&self.known).map(|()| t));
        let refusal = match checked {
            Ok(table) if table.hash() == hash => {
                if self.tables.insert(hash, (table, None)).is_none() {
                    let wanted = self.concerned().filter(|a| a.hash == hash);
                    effects.extend(wanted.map(|a| Effect::Open(a.fence.turn, hash)).last());
                }
                return;
            }
            Ok(_) | Err(TableError::Json { .. } | TableError::Long { .. }) => Refusal::Fetch { hash },
            Err(problem) => Refusal::Table { problem },
        };
        self.refused = Some((hash, refusal));
    }

    fn turn(&self) -> Turn {
        self.active.map_or(0, |a| a.fence.turn)
    }

    /// It has a lease, knows what is in force, and has its table. Before the first activation a lease is enough: it is
    /// only held where the leader said that nothing is in force, and stands for turn 0.
    pub fn ready(&self, now: Duration) -> bool {
        self.lease.holds(now) && (self.active.is_none() || self.table().is_some())
    }

    /// The table in force; none under turn 0.
    pub fn table(&self) -> Option<&Table> {
        self.tables.get(&self.active?.hash).map(|(table, _)| table)
    }

    /// The table that goes with a fence which [`Member::route`] gave out; none under turn 0.
    pub fn table_under(&self, fence: Fence) -> Option<&Table> {
        let known = [self.active, self.switch.map(|(next, _)| next)];
        let activation = known.into_iter().flatten().find(|a| a.fence == fence)?;
        self.tables.get(&activation.hash).map(|(table, _)| table)
    }

    /// What is in force here; nothing before the first activation, or while it is not known.
    pub fn active(&self) -> Option<Activation> {
        self.active
    }

    /// What is in force at `now` by this member's clock, with or without a lease.
    pub fn in_force(&self, now: Duration) -> Option<Fence> {
        let next = self.switch.filter(|(_, window)| now >= window.high).map(|(next, _)| next);
        next.or(self.active).map(|a| a.fence)
    }

    /// Which life it is.
    pub fn identity(&self) -> &MemberIncarnation {
        &self.life
    }

    /// Of a table that was fetched: where its pools are.
    pub fn addresses(&self, hash: Hash) -> Vec<SocketAddr> {
        let pools = self.tables.get(&hash).into_iter().flat_map(|(table, _)| table.pools.values());
        pools.flatten().map(|a| a.address).collect()
    }

    /// Its lease and the moment it waits for, for the leader's part of the same process and for operators.
    pub fn lease_and_switch(&self) -> (HeldLease, Option<(Turn, TimeWindow)>) {
        (self.lease, self.switch.map(|(next, window)| (next.fence.turn, window)))
    }

    /// What is known of the leader's clock.
    pub fn clock(&self, now: Duration) -> Result<Duration, ClockError> {
        self.clock.offset(now).map(|o| o.bound())
    }

    /// What becomes of a request's call at `now`. Inside the uncertainty nothing goes out at all, so no two members act
    /// on different versions at one moment. A request of the old version whose first call would only begin after the
    /// switch goes by the new one: nothing of it has happened yet.
    pub fn route(&self, now: Duration, request: CallRequest) -> CallDecision {
        if let Some(fence) = request.ran {
            return CallDecision::FromKey(fence);
        }
        if now < self.last || !self.ready(now) {
            return CallDecision::Barred;
        }
        let fence = match self.switch {
            Some((next, window)) if now >= window.high => next.fence,
            Some((_, window)) if now >= window.low => return CallDecision::Wait(window.high),
            _ => self.active.map_or(Fence::default(), |a| a.fence),
        };
        match request.tried {
            Some(tried) if tried.turn != fence.turn => CallDecision::Ended(tried),
            _ => CallDecision::Go(fence),
        }
    }
}
