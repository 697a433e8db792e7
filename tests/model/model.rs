//! The model of a small fleet: drifting clocks, delayed and lost messages, restarts of members, and changes of leader.

use std::collections::{BTreeMap, BTreeSet};

use stateright::{Model, Property};

use crate::rules::{
    Entry, GrantedLease, Leader, LeaseReply, LeaseRequest, Member, Record, Stage, Tick, Timing, Turn,
};

// The properties that each state must have, and the states that an exploration must reach.
pub const ORDER: &str = "no member acts on a turn after any member acted on a higher one";
pub const LEASE: &str = "no lease lasts beyond the moment of a switch that its holder does not know";
pub const HEALS: &str = "after the faults end, an activation ends";
pub const ENDED: &str = "an activation ends";
const ALL_ACT: &str = "all members act on an activation";
pub const ABORTED: &str = "an activation is aborted";
pub const CHANGED: &str = "the leader changes between the commit and the moment of the switch";

/// The initial time of all clocks, at which a new leader's wait ends with the first tick.
const START_TIME: Tick = 10;
/// The highest number of ticks after the end of all faults until an activation has ended.
const MAX_TICKS_TO_HEAL: usize = 24;

type Find = fn(&Bounds, &ModelState) -> bool;

/// The bounds of an exploration: which faults may happen, and how often.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub members: u8,
    pub timing: Timing,
    pub ticks: u8,
    pub turns: Turn,
    pub elections: u8,
    pub crashes: u8,
    /// The number of clocks that may gain a tick.
    pub fast_ticks: u8,
    /// Messages older than this are lost.
    pub max_age: Tick,
    /// The highest number of messages from and to one member that are in flight.
    pub max_in_flight: usize,
    /// Whether to check of each state that its activation ends after the faults end.
    pub check_heals: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState {
    pub ticks: u8,
    /// The member whose round it is. In round 0 come the events of the whole fleet, and after the last round a tick.
    pub round: u8,
    pub clocks: Vec<Tick>,
    pub gained_tick: BTreeSet<u8>,
    pub members: Vec<Member>,
    pub leaders: BTreeMap<u8, Leader>,
    /// The number of entries that the leader's part of each node knows.
    pub known: Vec<u8>,
    pub log: Vec<Entry>,
    pub term: u8,
    pub leader_index: u8,
    pub crashes: u8,
    pub requests: BTreeSet<LeaseRequest>,
    pub replies: BTreeSet<LeaseReply>,
    /// The highest turn that any member acted on.
    pub highest_turn: Turn,
    /// The highest turn whose moment of a switch is past.
    pub past: Turn,
    pub order_violated: bool,
    pub lease_violated: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// All clocks advance by one tick, this one by two.
    Tick(Option<u8>),
    /// The events of one member within a tick.
    Round(MessageFate, SendAction),
    Order,
    /// The entry that the leader proposed is appended to the log.
    Logged,
    Elect(u8),
    Crash(u8),
    /// The voter of an earlier leader learns one more entry.
    Learn(u8),
}

/// What happens to a message in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageFate {
    Nothing,
    /// The leader at this node receives the request; its reply is delayed or lost.
    Delivered(LeaseRequest, u8),
    /// The leader at this node receives the request, and its reply is delivered at once.
    Answered(LeaseRequest, u8),
    Replied(LeaseReply),
}

/// Whether the member then sends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendAction {
    Nothing,
    /// The request is delayed or lost.
    Sends,
    SendsDelivered(u8),
    SendsAnswered(u8),
}

impl ModelState {
    fn now(&self, at: u8) -> Tick {
        self.clocks[at as usize]
    }

    fn record(&self, at: u8) -> Record {
        Record::of(&self.log[..self.known[at as usize] as usize])
    }

    fn is_leading(&self, at: u8) -> bool {
        self.leader_index == at && self.leaders.contains_key(&at)
    }

    fn append(&mut self, entry: Entry) {
        if Record::of(&self.log).apply(entry) {
            self.log.push(entry);
            self.known[self.leader_index as usize] = self.log.len() as u8;
        }
    }

    /// Runs one step of a leader's part, which does nothing if it finds that its term has ended.
    fn lead(&mut self, b: &Bounds, at: u8, ask: Option<LeaseRequest>) {
        let (now, record, current) = (self.now(at), self.record(at), self.is_leading(at));
        let Some(leader) = self.leaders.get_mut(&at) else { return };
        if leader.has_ended(b.timing, &record) {
            self.leaders.remove(&at);
            return;
        }
        if current {
            leader.confirmed = now;
        }
        let mut done = leader.advance(now, b.timing, &record);
        if let Some(reply) = ask.and_then(|ask| leader.answer_request(now, b.timing, &record, ask)) {
            self.replies.insert(reply);
            done = leader.advance(now, b.timing, &record).or(done);
        }
        if let Some(entry) = done.filter(|_| current) {
            self.append(entry);
        }
    }

    fn elect(&mut self, at: u8) {
        let before = self.leader_index;
        let (old, now) = (self.now(before), self.now(at));
        if let Some(leader) = self.leaders.get_mut(&before) {
            leader.confirmed = old;
        }
        (self.term, self.leader_index) = (self.term + 1, at);
        self.known[at as usize] = self.log.len() as u8;
        let window = self.members[at as usize].switch;
        self.leaders.insert(at, Leader::new(at, self.term, now, window));
    }

    fn append_proposed(&mut self) {
        let leader_index = self.leader_index;
        let proposed =
            self.leaders.get(&leader_index).and_then(|l| l.progress.as_ref()).and_then(|p| p.proposed);
        if let Some(entry) = proposed {
            self.append(entry);
        }
    }

    /// Checks which member acts on which turn, and removes state that can no longer have an effect.
    fn check_and_prune(&mut self, b: &Bounds) {
        if let Some((turn, Stage::Committed { by, at, .. })) = Record::of(&self.log).run {
            if self.now(by) >= at {
                self.past = turn;
            }
        }
        let acts: Vec<Turn> = self.members.iter().zip(&self.clocks).filter_map(|(m, c)| m.acts(*c)).collect();
        self.highest_turn = acts.iter().copied().fold(self.highest_turn, Turn::max);
        self.order_violated |= acts.iter().any(|turn| *turn < self.highest_turn);
        for (member, now) in self.members.iter_mut().zip(&self.clocks) {
            let knows = member.switch.map_or(0, |(turn, _)| turn).max(member.turn);
            self.lease_violated |= member.holds_lease(*now) && knows < self.past;
            if !member.holds_lease(*now) {
                member.until = 0;
            }
        }
        let (clocks, round) = (&self.clocks, self.round);
        let is_expired =
            |from: u8, sent: Tick| clocks[from as usize] - sent + Tick::from(round > from) > b.max_age;
        for (at, member) in self.members.iter_mut().enumerate() {
            if is_expired(at as u8, member.last_reply) {
                member.last_reply = 0;
            }
        }
        let members = &self.members;
        self.requests.retain(|a| !is_expired(a.from, a.sent));
        self.replies
            .retain(|r| !is_expired(r.to, r.sent) && members[r.to as usize].incarnation == r.incarnation);
        let leader_index = self.leader_index;
        for (at, leader) in &mut self.leaders {
            for ((from, _), granted) in &mut leader.leases {
                if is_expired(*from, granted.number) {
                    granted.number = 0;
                }
            }
            let record = Record::of(&self.log[..self.known[*at as usize] as usize]);
            leader.forget(clocks[*at as usize], b.timing, *at == leader_index, &record);
        }
    }

    fn send_request(&mut self, b: &Bounds, at: u8) -> LeaseRequest {
        let now = self.now(at);
        let ask = self.members[at as usize].ask(at, now);
        // The oldest messages are lost.
        loop {
            let first = self.requests.iter().find(|a| a.from == at).copied();
            let reply = self.replies.iter().find(|r| r.to == at).copied();
            let is_full = |n: usize| n >= b.max_in_flight;
            if !is_full(
                self.requests.iter().filter(|a| a.from == at).count()
                    + self.replies.iter().filter(|r| r.to == at).count(),
            ) {
                break;
            }
            match (first, reply) {
                (Some(first), None) => drop(self.requests.remove(&first)),
                (Some(first), Some(reply)) if first.sent < reply.sent => drop(self.requests.remove(&first)),
                (_, Some(reply)) => drop(self.replies.remove(&reply)),
                (None, None) => break,
            }
        }
        self.requests.insert(ask);
        self.check_and_prune(b);
        ask
    }

    fn deliver_request(&mut self, b: &Bounds, ask: LeaseRequest, by: u8) {
        self.requests.remove(&ask);
        self.lead(b, by, Some(ask));
        self.check_and_prune(b);
    }

    fn deliver_and_reply(&mut self, b: &Bounds, ask: LeaseRequest, by: u8) {
        self.deliver_request(b, ask, by);
        let reply = self.replies.iter().find(|r| (r.to, r.sent) == (ask.from, ask.sent)).copied();
        if let Some(reply) = reply {
            self.deliver_reply(b, reply);
        }
    }

    fn deliver_reply(&mut self, b: &Bounds, reply: LeaseReply) {
        self.replies.remove(&reply);
        let now = self.now(reply.to);
        self.members[reply.to as usize].reply(now, b.timing, reply);
        self.check_and_prune(b);
    }

    fn next(&mut self, b: &Bounds, action: Action) {
        match action {
            Action::Tick(fast) => {
                self.ticks += 1;
                for (at, clock) in self.clocks.iter_mut().enumerate() {
                    *clock += 1 + Tick::from(fast == Some(at as u8));
                }
                self.gained_tick.extend(fast);
                self.round = 0;
                self.check_and_prune(b);
                for at in 0..b.members {
                    self.lead(b, at, None);
                }
            }
            Action::Order => {
                let turn = Record::of(&self.log).last + 1;
                self.append(Entry::Prepare(turn));
            }
            Action::Round(first, then) => {
                let at = self.round;
                match first {
                    MessageFate::Nothing => {}
                    MessageFate::Delivered(ask, by) => self.deliver_request(b, ask, by),
                    MessageFate::Answered(ask, by) => self.deliver_and_reply(b, ask, by),
                    MessageFate::Replied(reply) => self.deliver_reply(b, reply),
                }
                match then {
                    SendAction::Nothing => {}
                    SendAction::Sends => drop(self.send_request(b, at)),
                    SendAction::SendsDelivered(by) => {
                        let ask = self.send_request(b, at);
                        self.deliver_request(b, ask, by);
                    }
                    SendAction::SendsAnswered(by) => {
                        let ask = self.send_request(b, at);
                        self.deliver_and_reply(b, ask, by);
                    }
                }
                self.round += 1;
            }
            Action::Logged => self.append_proposed(),
            Action::Elect(at) => self.elect(at),
            Action::Crash(at) => {
                self.crashes += 1;
                let incarnation = self.members[at as usize].incarnation + 1;
                self.members[at as usize] = Member { incarnation, ..Member::default() };
                self.leaders.remove(&at);
            }
            Action::Learn(at) => self.known[at as usize] += 1,
        }
        self.check_and_prune(b);
    }

    /// Returns whether, without further faults, the open activation ends and all members act on the active one, without
    /// a violation on the way.
    fn heals(&self, b: &Bounds) -> bool {
        let mut state = self.clone();
        (state.requests, state.replies) = Default::default();
        for _ in 0..MAX_TICKS_TO_HEAL {
            if !state.is_leading(state.leader_index) {
                state.elect(state.leader_index);
            }
            let leader_index = state.leader_index;
            state.next(b, Action::Logged);
            for at in 0..b.members {
                let ask = state.send_request(b, at);
                state.deliver_and_reply(b, ask, leader_index);
            }
            let record = Record::of(&state.log);
            let all = state.members.iter().zip(&state.clocks).all(|(m, c)| m.acts(*c) == Some(record.active));
            if state.order_violated || state.lease_violated {
                return false;
            }
            if record.run.is_none() && all {
                return true;
            }
            state.next(b, Action::Tick(None));
        }
        false
    }

    fn committed(&self) -> impl Iterator<Item = (Turn, u8)> + '_ {
        self.log.iter().filter_map(|e| match e {
            Entry::Commit { turn, term, .. } => Some((*turn, *term)),
            _ => None,
        })
    }
}

impl Model for Bounds {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        let n = self.members as usize;
        let mut state = ModelState {
            ticks: 0,
            round: 0,
            clocks: vec![START_TIME; n],
            gained_tick: BTreeSet::new(),
            members: vec![Member::default(); n],
            leaders: BTreeMap::new(),
            known: vec![0; n],
            log: Vec::new(),
            term: 0,
            leader_index: 0,
            crashes: 0,
            requests: BTreeSet::new(),
            replies: BTreeSet::new(),
            highest_turn: 0,
            past: 0,
            order_violated: false,
            lease_violated: false,
        };
        state.elect(0);
        state.append(Entry::Prepare(1));
        // Each member has a lease that was granted just now, or none.
        let lease = self.timing.lease;
        let each = (0..1u8 << n).map(|lease_mask| {
            let mut state = state.clone();
            let Some(leader) = state.leaders.get_mut(&0) else { return state };
            leader.elected = START_TIME - self.timing.wait_out();
            for at in (0..self.members).filter(|at| lease_mask >> at & 1 == 1) {
                leader
                    .leases
                    .insert((at, 0), GrantedLease { end: START_TIME + lease, ..GrantedLease::default() });
                state.members[at as usize].until = START_TIME + self.timing.held_length(lease);
            }
            state
        });
        each.collect()
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        let nodes = 0..self.members;
        if state.round == self.members {
            if state.ticks < self.ticks {
                actions.push(Action::Tick(None));
                if state.gained_tick.len() < self.fast_ticks as usize {
                    let still = nodes.filter(|at| !state.gained_tick.contains(at));
                    actions.extend(still.map(|at| Action::Tick(Some(at))));
                }
            }
            return;
        }
        let by: Vec<u8> = state.leaders.keys().copied().collect();
        let mut fates = vec![MessageFate::Nothing];
        for ask in state.requests.iter().filter(|a| a.from == state.round) {
            fates.extend(
                by.iter()
                    .flat_map(|at| [MessageFate::Delivered(*ask, *at), MessageFate::Answered(*ask, *at)]),
            );
        }
        fates.extend(state.replies.iter().filter(|r| r.to == state.round).copied().map(MessageFate::Replied));
        for first in fates {
            actions
                .extend([Action::Round(first, SendAction::Nothing), Action::Round(first, SendAction::Sends)]);
            let then =
                by.iter().flat_map(|at| [SendAction::SendsDelivered(*at), SendAction::SendsAnswered(*at)]);
            actions.extend(then.map(|then| Action::Round(first, then)));
        }
        if state.round > 0 {
            return;
        }
        let record = Record::of(&state.log);
        if record.run.is_none() && record.last < self.turns && state.is_leading(state.leader_index) {
            actions.push(Action::Order);
        }
        actions.push(Action::Logged);
        if state.term <= self.elections {
            actions.extend(nodes.clone().filter(|at| *at != state.leader_index).map(Action::Elect));
        }
        if state.crashes < self.crashes {
            actions.extend(nodes.clone().map(Action::Crash));
        }
        let behind = |at: &u8| (state.known[*at as usize] as usize) < state.log.len();
        actions.extend(state.leaders.keys().copied().filter(behind).map(Action::Learn));
    }

    fn next_state(&self, state: &ModelState, action: Action) -> Option<ModelState> {
        let mut next = state.clone();
        next.next(self, action);
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let ends = |b: &Bounds, state: &ModelState| !b.check_heals || state.round > 0 || state.heals(b);
        let finds: [(&'static str, Find); 4] = [
            (ENDED, |_, p| Record::of(&p.log).active > 0),
            (ALL_ACT, |_, p| {
                p.members.iter().zip(&p.clocks).all(|(m, c)| m.acts(*c).is_some_and(|turn| turn > 0))
            }),
            (ABORTED, |_, p| p.log.iter().any(|e| matches!(e, Entry::Abort(_)))),
            (CHANGED, |_, p| p.committed().any(|(turn, term)| turn > p.past && term < p.term)),
        ];
        let mut all = vec![
            Property::always(ORDER, |_, p: &ModelState| !p.order_violated),
            Property::always(LEASE, |_, p: &ModelState| !p.lease_violated),
            Property::always(HEALS, ends),
        ];
        all.extend(finds.map(|(name, find)| Property::sometimes(name, find)));
        all
    }
}
