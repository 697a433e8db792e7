//! The member's side: its clock's loop, asks to the leader, tables and connections that it wants, and what is heard of the
//! voters.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::Value;
use tokio::sync::{mpsc, watch, Notify, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};
use tracing::{info, warn};

use super::lead::{gated, Lead, Now};
use super::voter::{self, Voter};
use super::{documents, orders, Options, Word, World};
use crate::fleet::clock::Clock;
use crate::fleet::experiment::counter::Counter;
use crate::fleet::link::Answers;
use crate::fleet::metrics::Metrics;
use crate::fleet::posture::{Ears, May};
use crate::fleet::record::disk::Disk;
use crate::fleet::routes::member::{Effect, Input};
use crate::fleet::routes::table::{Hash, Known};
use crate::fleet::routes::{Ask, Fence, Pace, Turn};
use crate::fleet::routing::{Asked, Routing};
use crate::fleet::wire::message::Running;
use crate::fleet::wire::{Client, Local, Pushed, Request, Response};

/// Orders that are carried out at once.
const MOST_ORDERS: usize = 16;
/// Between two words to each voter; what the posture counts in.
pub const PERIOD: Duration = Duration::from_millis(200);
/// How long an answer of a voter is waited for.
const PATIENCE: Duration = Duration::from_secs(1);
/// A connection to a pool must be there by then.
const CONNECT: Duration = Duration::from_secs(1);
/// Connections to pools that are tried at once.
const MOST_CONNECTS: usize = 32;
/// Before a switch the loop wakes so early, and looks at its clock without sleeping: the runtime's timers are coarse.
const EARLY: Duration = Duration::from_millis(2);
/// Between two such looks.
const LOOK: Duration = Duration::from_micros(50);
/// Nudges that may wait.
const MOST_PUSHES: usize = 64;
/// Leaders that an ask is passed on to, after each other's word.
const MOST_HOPS: usize = 3;
/// A process that gave its record up leaves it alone for this long.
const RELEASED: Duration = Duration::from_secs(5);

/// What is under way, so that it is not begun twice.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Errand {
    Fetch(Hash),
    Open(Turn, Hash),
}

/// What the tasks of the thread share.
pub struct Part {
    pub(super) options: Options,
    pub(super) local: Local,
    pub(super) clock: Clock,
    pub(super) disk: Disk,
    /// Whom the membership heard.
    answers: Answers,
    pub(super) metrics: Metrics,
    pub(super) routing: Routing,
    pub(super) clients: BTreeMap<String, Client>,
    pub(super) lead: Mutex<Lead>,
    pub(super) voter: Mutex<Option<Arc<Voter>>>,
    ears: Mutex<Ears>,
    /// Who led, by the last word; none: whoever is next is asked.
    leader: Mutex<Option<String>>,
    next: AtomicUsize,
    /// Orders of this life so far.
    pub(super) orders: AtomicUsize,
    errands: Mutex<HashSet<Errand>>,
    leased: AtomicBool,
    /// The member was stepped: its loop looks anew when it is due.
    stepped: Notify,
}

/// Locks without a care for who panicked: nothing here is left half done.
pub(super) fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Part {
    /// With the links to the voters; nudges come out at the other end. Call it within a tokio runtime.
    pub fn new(
        options: Options,
        world: World,
        metrics: Metrics,
        routing: Routing,
    ) -> (Arc<Self>, mpsc::Receiver<Pushed>) {
        let World { clock, net, disk, answers } = world;
        let counters = metrics.links.clone();
        let local = Local { net, counters, ..Local::new(&*options.fleet, &*options.name) };
        let (pushes, pushed) = mpsc::channel(MOST_PUSHES);
        let client = |(name, address): &(String, SocketAddr)| {
            (name.clone(), Client::start(local.clone(), name, *address, Some(pushes.clone())))
        };
        let clients = options.voters.iter().map(client).collect();
        let names: Vec<String> = options.voters.iter().map(|(name, _)| name.clone()).collect();
        let voters: BTreeSet<String> = names.iter().cloned().collect();
        let part = Self {
            ears: Mutex::new(Ears::new(&options.name, &names, PERIOD).beside(answers.period())),
            lead: Mutex::new(Lead::new(voters, Pace::default())),
            voter: Mutex::default(),
            leader: Mutex::default(),
            next: AtomicUsize::new(0),
            orders: AtomicUsize::new(0),
            errands: Mutex::default(),
            leased: AtomicBool::new(false),
            stepped: Notify::new(),
            options,
            local,
            clock,
            disk,
            answers,
            metrics,
            routing,
            clients,
        };
        (Arc::new(part), pushed)
    }
}

/// Runs everything until the process leaves.
pub async fn run(
    part: Arc<Part>,
    mut pushed: mpsc::Receiver<Pushed>,
    mut asked: mpsc::Receiver<Asked>,
    mut words: mpsc::Receiver<Word>,
) {
    let (votes, vote) = watch::channel(part.options.keeps.is_some());
    let mut tasks = JoinSet::new();
    tasks.spawn(tick(part.clone()));
    tasks.spawn(hear(part.clone()));
    tasks.spawn(report(part.clone()));
    let voting = tokio::spawn(voter::keep(part.clone(), vote));
    let nudged = part.clone();
    tasks.spawn(async move {
        while pushed.recv().await.is_some() {
            nudged.step(Input::Nudge);
        }
    });
    let ordered = part.clone();
    tasks.spawn(async move {
        let slots = Arc::new(Semaphore::new(MOST_ORDERS));
        while let Some(asked) = asked.recv().await {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            let part = ordered.clone();
            tokio::spawn(async move {
                let answer = orders::carry_out(&part, asked.order, &asked.by).await;
                // Whoever asked may have gone.
                let _ = asked.answer.send(answer);
                drop(slot);
            });
        }
    });
    let mut back: Option<tokio::time::Instant> = None;
    loop {
        let again = async {
            match back {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            word = words.recv() => match word {
                Some(Word::Release) => {
                    info!("routes: another process of this matcher takes the record over");
                    let _ = votes.send(false);
                    back = part.options.keeps.is_some().then(|| tokio::time::Instant::now() + RELEASED);
                }
                // A voter closes its record in good order.
                Some(Word::Leave) | None => break,
            },
            () = again => {
                back = None;
                let _ = votes.send(true);
            }
        }
    }
    drop(votes);
    let _ = voting.await;
}

/// Steps the member when it is due.
async fn tick(part: Arc<Part>) {
    loop {
        let (next, switch) = {
            let held = part.routing.held();
            let (lease, switch) = held.member.promises();
            let now = part.clock.now();
            // The end of a lease is logged when it comes.
            let ends = Some(lease.until()).filter(|until| *until > now);
            let next = held.member.next();
            (ends.map_or(next, |ends| ends.min(next)), switch.map(|(_, window)| window.high))
        };
        let until = part.clock.until(next);
        let early = if switch == Some(next) { EARLY } else { Duration::ZERO };
        tokio::select! {
            () = sleep(until.saturating_sub(early)) => {
                while early > Duration::ZERO && part.clock.now() < next {
                    part.clock.sleep_precisely(LOOK).await;
                }
                part.step(Input::Tick);
            }
            () = part.stepped.notified() => {}
        }
    }
}

/// Asks each voter for a word, so that it is known who is in reach both ways, and looks who answered the
/// membership.
async fn hear(part: Arc<Part>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (name, client) in part.clients.iter().filter(|(name, _)| **name != part.options.name) {
            let (part, name, client) = (part.clone(), name.clone(), client.clone());
            tokio::spawn(async move {
                let sent = part.clock.now();
                if let Ok(Response::Hello(_)) = client.request(&Request::Hello, PATIENCE).await {
                    lock(&part.ears).answered(&name, sent);
                    part.count_unheard();
                }
            });
        }
        for (name, sent) in part.answers.late() {
            let sent = part.clock.now().saturating_sub(sent.elapsed());
            lock(&part.ears).acked(&name, sent);
        }
        part.count_unheard();
    }
}

/// Tells the leader what this life counted of a running experiment.
async fn report(part: Arc<Part>) {
    loop {
        let block = {
            let held = part.routing.held();
            held.counter.as_ref().map(|c| Duration::from_millis(c.experiment().block_ms))
        };
        let pause = block.unwrap_or(PERIOD).clamp(PERIOD / 2, PERIOD * 5);
        sleep(pause).await;
        let report =
            part.routing.held().counter.as_mut().and_then(|counter| counter.report(part.clock.unix()).ok());
        if let Some(report) = report {
            part.to_leader(&Request::Counts(report), PATIENCE).await;
        }
    }
}

impl Part {
    /// This matcher's name.
    pub fn name(&self) -> &str {
        &self.options.name
    }

    /// What its settings name.
    pub fn known(&self) -> &Known {
        &self.options.known
    }

    /// Since the Unix epoch, for the log, in microseconds.
    fn unix_us(&self) -> u64 {
        self.clock.unix().as_micros() as u64
    }

    /// What its posture lets it do now.
    pub fn may(&self) -> May {
        lock(&self.ears).posture(self.clock.now()).may()
    }

    fn count_unheard(&self) {
        let unheard = lock(&self.ears).unheard(self.clock.now()).len();
        self.metrics.unheard.set(unheard as i64);
    }

    /// What this member knows itself, for operators.
    pub fn document(&self) -> Value {
        let leader = self.leads().or_else(|| lock(&self.leader).clone());
        let now = self.clock.now();
        let ears = lock(&self.ears);
        let held = self.routing.held();
        documents::own(&held.member, now, &ears, leader.as_deref())
    }

    /// What is known where the leader's side decides something; `f` is given the record as it stands.
    pub(super) fn deciding<T>(&self, voter: &Voter, f: impl FnOnce(&Now, &mut Lead) -> T) -> T {
        let may = self.may();
        let mut lead = lock(&self.lead);
        let state = voter.record.state();
        f(&Now { now: self.clock.now(), unix: self.clock.unix(), state: &state, may }, &mut lead)
    }

    /// The voter that leads, as the own record has it.
    fn leads(&self) -> Option<String> {
        let voter = lock(&self.voter).clone()?;
        let standing = voter.record.watch().borrow().clone();
        standing.leader
    }

    /// Steps the member, and does what it asks for.
    pub fn step(self: &Arc<Self>, input: Input) {
        let (effects, leased) = {
            let mut held = self.routing.held();
            let now = self.clock.now();
            let effects = held.member.step(now, input);
            (effects, held.member.promises().0.holds(now))
        };
        for effect in effects {
            match effect {
                Effect::Ask(ask) => {
                    self.metrics.asks.inc();
                    tokio::spawn(self.clone().ask(ask));
                }
                Effect::Fetch(hash) if self.begins(Errand::Fetch(hash)) => {
                    tokio::spawn(self.clone().fetch(hash));
                }
                Effect::Open(turn, hash) if self.begins(Errand::Open(turn, hash)) => {
                    tokio::spawn(self.clone().open(turn, hash));
                }
                Effect::Fetch(_) | Effect::Open(..) => {}
                Effect::Switched(fence) => self.switched(fence, leased),
            }
        }
        if self.leased.swap(leased, Ordering::Relaxed) != leased {
            self.metrics.lease.set(i64::from(leased));
            if leased {
                info!(unix_us = self.unix_us(), "routes: lease held");
            } else {
                self.metrics.leases_lost.inc();
                warn!(unix_us = self.unix_us(), "routes: lease lost");
            }
        }
        self.stepped.notify_one();
    }

    /// Without a lease it knows the version, and does not act on it.
    fn switched(&self, fence: Fence, leased: bool) {
        self.metrics.switches.inc();
        self.metrics.turn.set(fence.turn);
        self.metrics.version.set(fence.version);
        info!(
            turn = fence.turn,
            version = fence.version,
            leased,
            unix_us = self.unix_us(),
            "routes: switched"
        );
    }

    fn begins(&self, errand: Errand) -> bool {
        lock(&self.errands).insert(errand)
    }

    fn ends(&self, errand: Errand) {
        lock(&self.errands).remove(&errand);
    }

    /// Brings an ask to the leader, and the reply back.
    async fn ask(self: Arc<Self>, ask: Ask) {
        let ask = gated(ask, self.may());
        if let Some(Response::Reply { reply, running }) = self.to_leader(&Request::Ask(ask), PATIENCE).await {
            self.metrics.replies.inc();
            let told = (reply.term, reply.number);
            self.step(Input::Reply(*reply));
            self.follow(told, running.map(|running| *running));
        }
    }

    /// Takes up which experiment runs, as a leader of this term told in its answer to the ask of this number. One of an
    /// earlier term, or asked earlier, may not know, so it is not heard.
    fn follow(&self, told: (u64, u64), running: Option<Running>) {
        let mut held = self.routing.held();
        if told < held.told {
            return;
        }
        held.told = told;
        let Some(Running { experiment, closed, members }) = running else { return held.counter = None };
        if held.counter.as_ref().is_none_or(|counter| *counter.experiment() != experiment) {
            let life = held.member.life();
            let life = (life.name.clone(), life.incarnation);
            held.counter = Some(Counter::new(experiment, life, &members, self.clock.unix()));
        }
        held.counter.iter_mut().for_each(|counter| counter.discard_closed(closed));
    }

    /// Whom to ask for the leader's word: this process itself, or a voter; the last one's word, else one after another.
    fn target(&self) -> Option<String> {
        if let Some(name) = self.leads().or_else(|| lock(&self.leader).clone()) {
            return Some(name);
        }
        let at = self.next.fetch_add(1, Ordering::Relaxed);
        self.options.voters.get(at % self.options.voters.len().max(1)).map(|(name, _)| name.clone())
    }

    /// Asks whoever leads, and whom it names if it does not; the last answer.
    pub async fn to_leader(self: &Arc<Self>, request: &Request, patience: Duration) -> Option<Response> {
        let mut to = self.target()?;
        let mut answer = None;
        for _ in 0..MOST_HOPS {
            let own = to == self.options.name;
            let voter = if own { lock(&self.voter).clone() } else { None };
            answer = match (voter, self.clients.get(&to)) {
                (Some(voter), _) => Some(self.answer(&voter, request.clone()).await),
                (None, Some(client)) => client.request(request, patience).await.ok(),
                (None, None) => None,
            };
            let next = match &answer {
                Some(Response::NotLeader { leader }) => leader.clone().filter(|next| *next != to),
                Some(_) => {
                    *lock(&self.leader) = Some(to);
                    return answer;
                }
                None => None,
            };
            *lock(&self.leader) = next.clone();
            match next {
                Some(next) => to = next,
                None => break,
            }
        }
        answer
    }

    /// Fetches a table from any voter.
    async fn fetch(self: Arc<Self>, hash: Hash) {
        let own = lock(&self.voter).clone();
        let mut text = own.and_then(|voter| voter.table(hash));
        let first = self.target();
        let rest = self.clients.keys().filter(|name| Some(*name) != first.as_ref()).cloned();
        for name in first.clone().into_iter().chain(rest) {
            if text.is_some() {
                break;
            }
            if let Some(client) = self.clients.get(&name) {
                if let Ok(Response::Table(table)) = client.request(&Request::Fetch(hash), PATIENCE).await {
                    text = table;
                }
            }
        }
        self.ends(Errand::Fetch(hash));
        if let Some(text) = text {
            self.step(Input::Fetched(hash, text));
        }
    }

    /// Tries all pools of a table, for a turn.
    async fn open(self: Arc<Self>, turn: Turn, hash: Hash) {
        let addresses: BTreeSet<SocketAddr> =
            self.routing.held().member.addresses(hash).into_iter().collect();
        let (mut tries, mut opened) = (JoinSet::new(), Ok(()));
        let mut take = |done: Option<(SocketAddr, bool)>| {
            if let Some((address, false)) = done {
                opened = Err(address);
            }
        };
        for address in addresses {
            if tries.len() >= MOST_CONNECTS {
                take(tries.join_next().await.and_then(Result::ok));
            }
            let net = self.local.net.clone();
            tries.spawn(async move {
                let connected = timeout(CONNECT, net.connect(address)).await;
                (address, matches!(connected, Ok(Ok(_))))
            });
        }
        while let Some(done) = tries.join_next().await {
            take(done.ok());
        }
        self.ends(Errand::Open(turn, hash));
        self.step(Input::Opened(turn, hash, opened));
    }
}
