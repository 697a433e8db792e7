//! A member's part: [`Member`] requests its lease, prepares tables, and decides under which version a request's call is
//! sent.

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

/// The number of the newest requests whose replies are processed.
const MAX_OPEN_REQUESTS: usize = 16;
/// After more consecutive requests without a reply than these, the member sends another one with the next reply.
const MAX_REPLY_GAP: u64 = 2;
/// The number of samples of a leader's clock from which on a wide bound makes the member refuse a prepare: the first
/// sample may have been delayed by chance, on a busy machine several. With a request every 200 ms that is 2 s, less
/// than the deadline of a prepare.
const MIN_SAMPLES_TO_REFUSE: usize = 10;

/// An event that the member processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The leader wants a lease request, or there is a new leader.
    Nudge,
    /// The leader replied.
    Reply(LeaseReply),
    /// A document was fetched for this hash. It has not been checked.
    Fetched(Hash, String),
    /// The connections to a table's pools were opened for a turn, or one address was unreachable.
    Opened(Turn, Hash, Result<(), SocketAddr>),
}

/// An action that a step requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send this to the leader.
    Ask(LeaseRequest),
    /// Fetch the table with this hash.
    Fetch(Hash),
    /// Open connections to the pools of this table, for this turn.
    Open(Turn, Hash),
    /// This activation is in force here from now on.
    Switched(Fence),
}

/// What decides under which version a request's call is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallRequest {
    /// When the last byte of the request was read.
    pub read: Duration,
    /// The fence under which a call of the request was sent, if one was.
    pub last_fence: Option<Fence>,
    /// The fence under which the request's key was run, if it was.
    pub ran: Option<Fence>,
}

/// What a member decides of a request's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallDecision {
    /// The call is made now, with this fence.
    Allowed(Fence),
    /// `now` is inside the uncertainty of the switch: decide again at this moment of the member's clock.
    Wait(Duration),
    /// The request is answered from its key, which was run under this fence.
    FromKey(Fence),
    /// A call of the request was sent under this older fence: the request fails, and is not tried under another one.
    Ended(Fence),
    /// The member has no lease or no table: the call is left out if the class allows it, otherwise the request is
    /// refused at once.
    Barred,
}

/// The member's part of one process.
#[derive(Clone, Debug)]
pub struct Member {
    identity: MemberIncarnation,
    known: KnownNames,
    timing: Timing,
    term: u64,
    clock: Clock,
    lease: HeldLease,
    active: Option<Activation>,
    switch: Option<(Activation, TimeWindow)>,
    /// The activation that the leader last asked to prepare or commit.
    wanted: Option<Activation>,
    /// The tables that were fetched, and the turn for which their connections were last opened.
    tables: BTreeMap<Hash, (Table, Option<Turn>)>,
    refused: Option<(Hash, Refusal)>,
    open_requests: BTreeMap<u64, Duration>,
    number: u64,
    /// Replies to requests up to this number are ignored.
    ignored_up_to: u64,
    /// The newest request that had a reply.
    last_reply: u64,
    request_at: Duration,
    last_step: Duration,
}

impl Member {
    /// Creates a member that knows nothing yet; its first tick sends a request.
    pub fn new(identity: MemberIncarnation, known: KnownNames, timing: Timing) -> Self {
        Self {
            identity,
            known,
            timing,
            term: 0,
            clock: Clock::default(),
            lease: HeldLease::default(),
            active: None,
            switch: None,
            wanted: None,
            tables: BTreeMap::new(),
            refused: None,
            open_requests: BTreeMap::new(),
            number: 0,
            ignored_up_to: 0,
            last_reply: 0,
            request_at: Duration::ZERO,
            last_step: Duration::ZERO,
        }
    }

    /// Processes an event at `now` on this process's monotonic clock.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now < self.last_step {
            self.release_lease();
        }
        self.last_step = now;
        let reported = (self.answer(now), self.acknowledged());
        match input {
            Input::Tick => {}
            Input::Nudge => self.request_at = now,
            Input::Reply(reply) => self.reply(now, reply, &mut effects),
            Input::Fetched(hash, document) => self.fetched(hash, &document, &mut effects),
            Input::Opened(turn, hash, opened) => self.opened(turn, hash, opened),
        }
        if let Some((next, _)) = self.switch.filter(|(_, window)| now >= window.high) {
            if self.lease.holds(now) {
                self.adopt(next, &mut effects);
            } else {
                // The member was cut off, or its clock was stepped past the moment. A leader's reply tells it which
                // activation is in force.
                self.switch = None;
            }
        }
        let changed = reported.1 != self.acknowledged()
            || reported.0.map(|(turn, a)| (turn, a.is_ok()))
                != self.answer(now).map(|(turn, a)| (turn, a.is_ok()));
        if changed || now >= self.request_at {
            self.request_lease(now, &mut effects);
        }
        effects
    }

    /// Returns the latest moment by which the next step is due.
    pub fn next(&self) -> Duration {
        self.switch.map_or(self.request_at, |(_, window)| window.high.min(self.request_at))
    }

    fn request_lease(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.number += 1;
        self.request_at = now + self.timing.ask;
        self.open_requests.insert(self.number, now);
        if self.open_requests.len() > MAX_OPEN_REQUESTS {
            self.open_requests.pop_first();
        }
        for a in self.relevant_activations() {
            let is_refused = self.refused.as_ref().is_some_and(|(hash, _)| *hash == a.hash);
            match self.tables.contains_key(&a.hash) {
                false if !is_refused => effects.push(Effect::Fetch(a.hash)),
                true if !is_refused && !self.is_open(a) => effects.push(Effect::Open(a.fence.turn, a.hash)),
                _ => {}
            }
        }
        let (answer, acknowledged) = (self.answer(now), self.acknowledged());
        let (identity, number, last_reply) = (self.identity.clone(), self.number, self.last_reply);
        effects.push(Effect::Ask(LeaseRequest {
            member: identity,
            number,
            last_reply,
            answer,
            acknowledged,
        }));
    }

    /// Returns the activations that are in force, wanted, or about to be switched to.
    fn relevant_activations(&self) -> impl Iterator<Item = Activation> {
        [self.active, self.wanted, self.switch.map(|(a, _)| a)].into_iter().flatten()
    }

    /// Returns whether its table was fetched and the connections to the pools were opened for this very turn.
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
            Err(_) if self.clock.samples() < MIN_SAMPLES_TO_REFUSE => None,
            Err(problem) => Some((turn, Err(Refusal::Clock { problem }))),
        }
    }

    fn acknowledged(&self) -> Option<Turn> {
        self.switch.map(|(next, _)| next.fence.turn)
    }

    /// Releases the lease and forgets the moment of a switch; replies to earlier requests are ignored.
    fn release_lease(&mut self) {
        self.lease.release();
        (self.switch, self.ignored_up_to) = (None, self.number);
        self.open_requests.clear();
    }

    fn reply(&mut self, now: Duration, reply: LeaseReply, effects: &mut Vec<Effect>) {
        if reply.term < self.term || reply.number <= self.ignored_up_to {
            return;
        }
        let Some(sent) = self.open_requests.remove(&reply.number) else { return };
        if reply.number > self.last_reply + MAX_REPLY_GAP {
            // The leader may have concluded that this member receives no replies: the next request corrects that.
            self.request_at = now;
        }
        self.last_reply = reply.number;
        self.ignored_up_to = reply.number;
        if reply.term > self.term {
            (self.term, self.clock) = (reply.term, Clock::default());
        }
        let added = self.clock.add_sample(Sample { sent, received: now, theirs: reply.time });
        if added.and_then(|()| self.clock.offset(now)).is_err() {
            return self.release_lease();
        }
        if let Some(active) = reply.active.filter(|a| self.turn() < a.fence.turn) {
            self.adopt(active, effects);
        }
        match reply.pending {
            Some(Pending::Prepare(next)) if next.fence.turn > self.turn() => {
                if self.set_wanted(next) {
                    self.request_at = now;
                }
            }
            Some(Pending::Commit(next, moment)) if next.fence.turn > self.turn() => {
                self.set_wanted(next);
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

    /// Sets the wanted activation. Returns true if its turn is another one, of which nothing was refused yet.
    fn set_wanted(&mut self, next: Activation) -> bool {
        let before = self.wanted.replace(next);
        let is_other = before.is_none_or(|before| before.fence.turn != next.fence.turn);
        if is_other {
            self.refused = None;
        }
        is_other
    }

    /// Takes the result of opening connections. The result for another turn is ignored: it is not about this
    /// activation.
    fn opened(&mut self, turn: Turn, hash: Hash, opened: Result<(), SocketAddr>) {
        if !self.relevant_activations().any(|a| (a.fence.turn, a.hash) == (turn, hash)) {
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
        // A table that was refused before is tried again: without the table in force nothing is served.
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
                    let wanted = self.relevant_activations().filter(|a| a.hash == hash);
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

    /// Returns whether the member has a lease and the table in force. Before the first activation a lease is enough: it
    /// is granted only after the leader reported that no activation is in force, and stands for turn 0.
    pub fn ready(&self, now: Duration) -> bool {
        self.lease.holds(now) && (self.active.is_none() || self.table().is_some())
    }

    /// Returns the table in force; none under turn 0.
    pub fn table(&self) -> Option<&Table> {
        self.tables.get(&self.active?.hash).map(|(table, _)| table)
    }

    /// Returns the table of a fence that [`Member::route`] returned; none under turn 0.
    pub fn table_under(&self, fence: Fence) -> Option<&Table> {
        let known = [self.active, self.switch.map(|(next, _)| next)];
        let activation = known.into_iter().flatten().find(|a| a.fence == fence)?;
        self.tables.get(&activation.hash).map(|(table, _)| table)
    }

    /// Returns the activation in force here; none before the first one, or while it is not known.
    pub fn active(&self) -> Option<Activation> {
        self.active
    }

    /// Returns the fence in force at `now` by this member's clock, with or without a lease.
    pub fn in_force(&self, now: Duration) -> Option<Fence> {
        let next = self.switch.filter(|(_, window)| now >= window.high).map(|(next, _)| next);
        next.or(self.active).map(|a| a.fence)
    }

    /// Returns the member's name and incarnation.
    pub fn identity(&self) -> &MemberIncarnation {
        &self.identity
    }

    /// Returns the addresses of the pools of a table that was fetched.
    pub fn addresses(&self, hash: Hash) -> Vec<SocketAddr> {
        let pools = self.tables.get(&hash).into_iter().flat_map(|(table, _)| table.pools.values());
        pools.flatten().map(|a| a.address).collect()
    }

    /// Returns the lease and the moment of the next switch, for the leader's part of this process and for operators.
    pub fn lease_and_switch(&self) -> (HeldLease, Option<(Turn, TimeWindow)>) {
        (self.lease, self.switch.map(|(next, window)| (next.fence.turn, window)))
    }

    /// Returns the bound of the leader's clock.
    pub fn clock(&self, now: Duration) -> Result<Duration, ClockError> {
        self.clock.offset(now).map(|o| o.bound())
    }

    /// Decides what becomes of a request's call at `now`. Inside the uncertainty of a switch no call is sent, so no two
    /// members act on different versions at the same moment. A request that was read before the switch and whose first
    /// call begins after it uses the new version: nothing has happened under the old one yet.
    pub fn route(&self, now: Duration, request: CallRequest) -> CallDecision {
        if let Some(fence) = request.ran {
            return CallDecision::FromKey(fence);
        }
        if now < self.last_step || !self.ready(now) {
            return CallDecision::Barred;
        }
        let fence = match self.switch {
            Some((next, window)) if now >= window.high => next.fence,
            Some((_, window)) if now >= window.low => return CallDecision::Wait(window.high),
            _ => self.active.map_or(Fence::default(), |a| a.fence),
        };
        match request.last_fence {
            Some(last) if last.turn != fence.turn => CallDecision::Ended(last),
            _ => CallDecision::Allowed(fence),
        }
    }
}
