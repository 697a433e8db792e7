//! A small world around the real reducer: every order of what its peers may do, within bounds.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use hopwalk::core::{
    AskId, CallReply, Command, Core, Effect, End, Handle, Input, LinkEnd, LinkId, Notice as CoreNotice,
    Request,
};
use hopwalk::settings::Site;
use stateright::{Model, Property};

use crate::peers::*;

const SITE: &str = include_str!("../../src/lab/site.json");
const STOP_AFTER: Duration = Duration::from_millis(3200);
/// The time that a client waits.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1500);

pub const BY_CALL: &str = "a run gets no reply that was made for another call";
pub const BY_ASK: &str = "a run gets no reply that was made for an ask that was given up";
pub const ONLY_WAITING: &str = "a run that waits for nothing gets no reply";
pub const BEFORE_ANSWER: &str = "nothing that takes a run on is sent after its request had its answer";
pub const ONE_ANSWER: &str = "a request gets one answer";
pub const NO_VIOLATION: &str = "the reducer withholds nothing";
pub const BOTH_REPLIES: &str = "a run gets the replies to all of its calls";
pub const STARTED_AGAIN: &str = "a run is started again";
pub const REPLY_IN_DOUBT: &str = "a reply is in doubt";
pub const ANSWERED_AGAIN: &str = "an id that ran is sent again and answered again";

/// What happens at most, and how often.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The class of each request, and how many calls its runs make.
    pub requests: &'static [(&'static str, u8)],
    /// How often each request is sent; again once it has its answer, under the same id.
    pub sends: u8,
    pub link_ends: usize,
    /// Commands that are read from a link which a newer one has replaced.
    pub late_reads: u8,
    /// How many inputs may wait for the reducer; 0 if it handles each at once.
    pub inbox: usize,
    /// What the dependency may say besides `yes`.
    pub words: &'static [Word],
    /// How often it says something else than `yes` first.
    pub refusals: u8,
    /// Words that come again, or over the connection of a later ask of the request.
    pub strays: u8,
    pub broken_calls: u8,
    /// The dependency may say `yes` about an ask behind another word, which PROTOCOL excludes.
    pub recants: bool,
    /// The waits in milliseconds, which may happen in this order.
    pub waits: &'static [u64],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Send(RequestNumber),
    BreakLink,
    /// The link manager reports the end of the link and opens the next one.
    NextLink,
    AgentReads(usize),
    Work(RequestNumber),
    Cancel(RequestNumber),
    /// A notice is read from the current link.
    ReadNotice,
    /// The reducer handles the oldest input that waits.
    Handle,
    /// The dependency says a word about an ask over the connection of the same or of a later ask.
    Say(AskIndex, Word, AskIndex),
    BreakCall(AskIndex),
    /// The reducer handles the end of an ask.
    HandleCall(AskIndex),
    Wait(u64),
}

/// What was used up of the bounds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Used {
    late_reads: u8,
    refusals: u8,
    strays: u8,
    broken_calls: u8,
    waits: usize,
}

/// What waits for the reducer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Queued {
    Message(usize, ToMatcher),
    Ended(usize),
}

#[derive(Clone, Debug)]
pub struct World {
    now: u64,
    agent: Agent,
    asks: Vec<Ask>,
    gateways: Vec<Gateway>,
    /// The number of the last notice that was read.
    cursor: Cursor,
    inbox: VecDeque<Queued>,
    used: Used,
    faults: BTreeSet<Fault>,
    core: Box<Core>,
    fingerprint: u64,
}

impl World {
    fn peers(&self) -> impl PartialEq + Hash + '_ {
        let peers = (self.now, &self.agent, &self.asks, &self.gateways, self.cursor, &self.inbox);
        (peers, self.used, &self.faults, self.fingerprint)
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
            && self.faults == other.faults
            && self.agent == other.agent
            && self.asks == other.asks
            && self.inbox == other.inbox
            && self.used == other.used
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.peers().hash(state);
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(1_000_000 + n)
}

fn handle(request: RequestNumber) -> Handle {
    format!("{request:016x}").parse().unwrap()
}

fn number(handle: Handle) -> RequestNumber {
    u8::from_str_radix(&handle.to_string(), 16).unwrap()
}

/// The content of the reply that is made for an ask.
fn reply_body(ask: AskIndex) -> Arc<[u8]> {
    Arc::from([ask as u8])
}

/// The part of the reducer's state that its later behaviour depends on.
fn fingerprint(core: &Core) -> u64 {
    let text = format!("{core:?}");
    let (state, counters) = text.split_once("counters: Counters {").unwrap();
    assert!(counters.contains("effects: []"));
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

impl World {
    fn new(bounds: &Bounds) -> Self {
        let core = Core::new(Site::parse(SITE).unwrap(), 1, STOP_AFTER, ms(0)).unwrap();
        let gateways = vec![Gateway::default(); bounds.requests.len()];
        let mut world = Self {
            now: 0,
            agent: Agent::default(),
            asks: Vec::new(),
            gateways,
            cursor: 0,
            inbox: VecDeque::new(),
            used: Used::default(),
            faults: BTreeSet::new(),
            core: Box::new(core),
            fingerprint: 0,
        };
        world.open_link();
        world.agent_reads(1);
        world.read_notice(0);
        world.agent_reads(1);
        world.read_notice(0);
        world
    }

    fn is_over(&self, request: RequestNumber) -> bool {
        self.gateways[usize::from(request)].waits_on.is_none()
    }

    // ---- The reducer ----------------------------------------------------------------------------

    fn step(&mut self, inputs: Vec<Input>) {
        let effects = self.core.step(ms(self.now), inputs);
        effects.into_iter().for_each(|effect| self.perform(effect));
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Agent { link, number, command } => self.write(link, number, &command),
            Effect::Call { handle, cursor, attempt, earlier_replies, .. } => {
                let request = number(handle);
                let earlier = (0..self.asks.len()).filter(|ask| {
                    let reply = CallReply::read(AskId { handle, cursor, attempt }, 0, reply_body(*ask));
                    earlier_replies.contains(&reply.origin.digest)
                });
                let earlier = earlier.collect();
                for ask in self.asks.iter_mut().filter(|ask| ask.request == request) {
                    if ask.state == AskState::Open {
                        (ask.state, ask.was_cancelled) = (AskState::Closed, true);
                    }
                }
                let (state, word, words, was_cancelled) = (AskState::Open, None, 0, false);
                self.asks.push(Ask { request, cursor, attempt, state, earlier, word, words, was_cancelled });
            }
            Effect::CancelCall { attempt, .. } => {
                for ask in self.asks.iter_mut().filter(|ask| ask.attempt == attempt) {
                    if ask.state == AskState::Open {
                        (ask.state, ask.was_cancelled) = (AskState::Closed, true);
                    }
                }
            }
            Effect::Answer { conn, .. } => {
                let gateway = self.gateways.iter_mut().find(|gateway| gateway.waits_on == Some(conn));
                match gateway {
                    Some(gateway) => gateway.waits_on = None,
                    None => drop(self.faults.insert(Fault::SecondAnswer)),
                }
            }
            Effect::ReportViolation { .. } => {
                self.faults.insert(Fault::Violation);
            }
            _ => {}
        }
    }

    /// Writes a command, if its link is the current one.
    fn write(&mut self, link: LinkId, number: u64, command: &Command) {
        let current = self.agent.links.len();
        let ask = |reply: &CallReply| AskIndex::from(reply.body[0]);
        let command = match command {
            Command::Launch { handle, .. } => ToAgent::Launch(crate::world::number(*handle)),
            Command::Deliver { handle, reply, .. } => {
                ToAgent::Deliver(crate::world::number(*handle), ask(reply))
            }
            Command::Forgo { handle, cursor } => ToAgent::Forgo(crate::world::number(*handle), *cursor),
            Command::Freeze { handle } => ToAgent::Freeze(crate::world::number(*handle)),
            Command::Sync => ToAgent::Sync,
            Command::Acknowledge(marker) => ToAgent::Acknowledge(*marker),
            Command::Thaw { .. } | Command::Sample { .. } => return,
        };
        if let ToAgent::Deliver(request, _) | ToAgent::Launch(request) | ToAgent::Forgo(request, _) = command
        {
            if self.is_over(request) {
                self.faults.insert(Fault::AfterAnswer);
            }
        }
        if link.0 as usize != current {
            return;
        }
        let link = self.agent.link(current);
        link.written = number;
        if !link.is_broken {
            link.to_agent.push_back(command);
        }
    }

    // ---- The link manager and the reader --------------------------------------------------------

    fn open_link(&mut self) {
        let subscribe = VecDeque::from([ToAgent::Subscribe(self.cursor)]);
        self.agent.links.push(Link { to_agent: subscribe, ..Link::default() });
    }

    fn queue(&mut self, queued: Queued, inbox: usize) {
        match inbox {
            0 => self.handle(queued),
            _ => self.inbox.push_back(queued),
        }
    }

    fn read_notice(&mut self, inbox: usize) {
        let link = self.agent.links.len();
        let Some(message) = self.agent.link(link).to_matcher.pop_front() else { return };
        if let ToMatcher::Numbered(number) = message {
            if number <= self.cursor {
                return;
            }
            self.cursor = number;
        }
        self.queue(Queued::Message(link, message), inbox);
    }

    fn next_link(&mut self, inbox: usize) {
        let ended = self.agent.links.len();
        self.agent.link(ended).to_matcher.clear();
        self.open_link();
        self.queue(Queued::Ended(ended), inbox);
    }

    fn handle(&mut self, queued: Queued) {
        let (link, notice) = match queued {
            Queued::Ended(link) => {
                let written = self.agent.link(link).written;
                (link, CoreNotice::Closed(LinkEnd::Broken { end: End::Broken, written }))
            }
            Queued::Message(link, message) => (link, self.notice(link, &message)),
        };
        self.step(vec![Input::Agent { link: LinkId(link as u64), notice }]);
    }

    fn notice(&self, link: usize, message: &ToMatcher) -> CoreNotice {
        let requested_on = LinkId(link as u64);
        match message {
            ToMatcher::Greeting => CoreNotice::Greeting { cold: false, uptime: Duration::from_secs(60) },
            ToMatcher::Synced => CoreNotice::Synced { requested_on },
            ToMatcher::Acknowledged(number) => CoreNotice::Acknowledged { requested_on, number: *number },
            ToMatcher::Numbered(cursor) => match self.agent.notices[*cursor as usize - 1] {
                Notice::Call(request) => {
                    let body = Arc::from([*cursor as u8]);
                    CoreNotice::CallNeeded { handle: handle(request), cursor: *cursor, body }
                }
                Notice::Outcome(request, end) => {
                    let (end, result) = match end {
                        RunEnd::Complete => (End::Complete, Some(Arc::from(*b"made"))),
                        RunEnd::Cancelled => (End::Cancelled, None),
                        RunEnd::Unknown => (End::Unknown, None),
                    };
                    let duration = Some(Duration::from_millis(20));
                    CoreNotice::Outcome { handle: handle(request), end, duration, result }
                }
            },
        }
    }

    // ---- The other peers ------------------------------------------------------------------------

    fn agent_reads(&mut self, link: usize) {
        let gateways = self.gateways.clone();
        let is_over = |request: RequestNumber| gateways[usize::from(request)].waits_on.is_none();
        let fault = self.agent.read(link, &self.asks, is_over);
        // PROTOCOL has the agent ignore it.
        self.faults.extend(fault.filter(|fault| *fault != Fault::RunOver));
    }

    fn send(&mut self, bounds: &Bounds, request: RequestNumber) {
        let gateway = &mut self.gateways[usize::from(request)];
        gateway.sent += 1;
        let conn = u64::from(request) * 100 + u64::from(gateway.sent);
        gateway.waits_on = Some(conn);
        let class = bounds.requests[usize::from(request)].0;
        let keyed = class == "lobby-confirm";
        let input = Request {
            conn,
            handle: handle(request),
            class: class.to_string(),
            start: ms(self.now),
            timeout: Some(CLIENT_TIMEOUT),
            caller: 1,
            tenant: None,
            cost: None,
            size_kb: 40.0,
            rank: if keyed { 0.8 } else { 0.1 },
            // A further try of a key that ran would not be run.
            key: keyed.then(|| Arc::from(format!("{conn}"))),
            object: None,
            body: Arc::from([request]),
        };
        self.step(vec![Input::Request(Box::new(input))]);
    }

    /// A word arrives on the connection of an ask. The network layer ignores copies of replies that it knows.
    fn say(&mut self, ask: AskIndex, word: Word, over: AskIndex) {
        self.asks[ask].word.get_or_insert(word);
        self.asks[ask].words += 1;
        if word != Word::Yes || !self.asks[over].earlier.contains(&ask) {
            self.asks[over].state = AskState::Ended(Some((ask, word)));
        }
    }

    fn handle_call(&mut self, ask: AskIndex) {
        let Ask { request, cursor, attempt, state, .. } = self.asks[ask];
        let AskState::Ended(said) = state else { return };
        self.asks[ask].state = AskState::Closed;
        let handle = handle(request);
        let end = said.map_or(End::Broken, |(_, word)| match word {
            Word::Yes => End::Complete,
            Word::NotNow => End::NotNow,
            Word::Failed => End::Failed,
            Word::Pointless => End::Pointless,
            Word::Overdue => End::Overdue,
        });
        let said_yes = said.filter(|(_, word)| *word == Word::Yes);
        let id = AskId { handle, cursor, attempt };
        let reply = said_yes.map(|(made_for, _)| CallReply::read(id, 1, reply_body(made_for)));
        self.step(vec![Input::CallEnded { handle, attempt, end, reply, fence: None }]);
    }

    /// Time passes, and the reducer is stepped at each of its timers, as the program does it.
    fn wait(&mut self, milliseconds: u64) {
        self.now += milliseconds;
        while let Some(at) = self.core.next_timer().filter(|at| *at <= ms(self.now)) {
            let effects = self.core.step(at, []);
            effects.into_iter().for_each(|effect| self.perform(effect));
        }
    }

    // ---- What may happen ------------------------------------------------------------------------

    fn link_actions(&self, bounds: &Bounds, actions: &mut Vec<Action>) {
        let current = self.agent.links.len();
        let link = &self.agent.links[current - 1];
        let has_room = bounds.inbox == 0 || self.inbox.len() < bounds.inbox;
        if !link.is_broken && current <= bounds.link_ends && current == self.agent.subscribed {
            actions.push(Action::BreakLink);
        }
        if link.is_broken && has_room {
            actions.push(Action::NextLink);
        }
        if !link.to_matcher.is_empty() && has_room {
            actions.push(Action::ReadNotice);
        }
        if !self.inbox.is_empty() {
            actions.push(Action::Handle);
        }
        for (number, link) in (1..).zip(&self.agent.links) {
            let is_late = number < self.agent.subscribed;
            if !link.to_agent.is_empty() && (!is_late || self.used.late_reads < bounds.late_reads) {
                actions.push(Action::AgentReads(number));
            }
        }
    }

    fn call_actions(&self, bounds: &Bounds, actions: &mut Vec<Action>) {
        for (over, open) in self.asks.iter().enumerate() {
            match open.state {
                AskState::Closed => continue,
                AskState::Ended(_) => {
                    actions.push(Action::HandleCall(over));
                    continue;
                }
                AskState::Open if self.used.broken_calls < bounds.broken_calls => {
                    actions.push(Action::BreakCall(over));
                }
                AskState::Open => {}
            }
            for (index, ask) in self.asks.iter().enumerate().take(over + 1) {
                let is_stray = index != over || ask.words > 0;
                let ends_up_elsewhere = ask.request != open.request || ask.words > 1;
                if ends_up_elsewhere || (is_stray && self.used.strays >= bounds.strays) {
                    continue;
                }
                let may_refuse = self.used.refusals < bounds.refusals;
                let first = bounds.words.iter().filter(|word| **word == Word::Yes || may_refuse);
                let mut words: Vec<_> = ask.word.map_or_else(|| first.copied().collect(), |word| vec![word]);
                if bounds.recants && ask.word.is_some_and(|word| word != Word::Yes) {
                    words.push(Word::Yes);
                }
                actions.extend(words.into_iter().map(|word| Action::Say(index, word, over)));
            }
        }
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self)]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        if !world.faults.is_empty() {
            return;
        }
        for (request, gateway) in (0..).zip(&world.gateways) {
            if gateway.sent < self.sends && gateway.waits_on.is_none() {
                actions.push(Action::Send(request));
            }
        }
        for (request, run) in &world.agent.runs {
            match run.state {
                RunState::Working => actions.push(Action::Work(*request)),
                RunState::AtCall(_) if world.is_over(*request) => actions.push(Action::Cancel(*request)),
                RunState::AtCall(_) | RunState::Over => {}
            }
        }
        world.link_actions(self, actions);
        world.call_actions(self, actions);
        actions.extend(self.waits.get(world.used.waits).copied().map(Action::Wait));
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut world = world.clone();
        match action {
            Action::Send(request) => world.send(self, request),
            Action::BreakLink => {
                let current = world.agent.links.len();
                world.agent.link(current).is_broken = true;
            }
            Action::NextLink => world.next_link(self.inbox),
            Action::AgentReads(link) => {
                world.used.late_reads += u8::from(link < world.agent.subscribed);
                world.agent_reads(link);
            }
            Action::Work(request) => world.agent.work(request, self.requests[usize::from(request)].1),
            Action::Cancel(request) => world.agent.cancel(request),
            Action::ReadNotice => world.read_notice(self.inbox),
            Action::Handle => {
                let queued = world.inbox.pop_front()?;
                world.handle(queued);
            }
            Action::Say(ask, word, over) => {
                world.used.strays += u8::from(ask != over || world.asks[ask].words > 0);
                world.used.refusals += u8::from(word != Word::Yes && world.asks[ask].words == 0);
                world.say(ask, word, over);
            }
            Action::BreakCall(ask) => {
                world.used.broken_calls += 1;
                world.asks[ask].state = AskState::Ended(None);
            }
            Action::HandleCall(ask) => world.handle_call(ask),
            Action::Wait(milliseconds) => {
                world.used.waits += 1;
                world.wait(milliseconds);
            }
        }
        world.fingerprint = fingerprint(&world.core);
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(BY_CALL, |_, world: &World| !world.faults.contains(&Fault::OtherCall)),
            Property::always(BY_ASK, |_, world: &World| !world.faults.contains(&Fault::AbandonedAsk)),
            Property::always(ONLY_WAITING, |_, world: &World| !world.faults.contains(&Fault::NotWaiting)),
            Property::always(BEFORE_ANSWER, |_, world: &World| !world.faults.contains(&Fault::AfterAnswer)),
            Property::always(ONE_ANSWER, |_, world: &World| !world.faults.contains(&Fault::SecondAnswer)),
            Property::always(NO_VIOLATION, |_, world: &World| !world.faults.contains(&Fault::Violation)),
            Property::sometimes(BOTH_REPLIES, |bounds: &Bounds, world: &World| {
                let is_whole = |run: &Run| run.state == RunState::Over && run.calls == bounds.requests[0].1;
                world.agent.runs.get(&0).is_some_and(is_whole)
                    && world.agent.notices.contains(&Notice::Outcome(0, RunEnd::Complete))
            }),
            Property::sometimes(STARTED_AGAIN, |_, world: &World| {
                world.agent.runs.values().any(|run| run.starts > 1)
            }),
            Property::sometimes(REPLY_IN_DOUBT, |_, world: &World| {
                counter(&world.core, "replies_in_doubt") > 0
            }),
            Property::sometimes(ANSWERED_AGAIN, |_, world: &World| {
                let is_answered = |gateway: &Gateway| gateway.sent > 1 && gateway.waits_on.is_none();
                world.gateways.iter().any(is_answered) && counter(&world.core, "second_runs_barred") > 0
            }),
        ]
    }
}

fn counter(core: &Core, name: &str) -> u64 {
    core.counters().list().into_iter().find(|(known, _)| known == name).map_or(0, |(_, n)| n)
}
