//! The tasks that the driver's thread runs, and [`DriverState`], which they share: stepping the member when it is
//! due, sending its asks to the leader, fetching tables and connecting to pools for it, checking which voters are in
//! reach, and reporting the counts of experiments.

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

use super::leader_role::{filter_answer, Context, LeaderRole};
use super::voter::{self, Voter};
use super::{documents, orders, Control, Environment, Options};
use crate::fleet::clock::Clock;
use crate::fleet::experiment::counter::Counter;
use crate::fleet::membership_thread::ProbeAnswers;
use crate::fleet::metrics::Metrics;
use crate::fleet::posture::{Permissions, Reachability};
use crate::fleet::record::disk::Disk;
use crate::fleet::routes::member::{Effect, Input};
use crate::fleet::routes::table::{Hash, KnownNames};
use crate::fleet::routes::{Fence, LeaseRequest, Timing, Turn};
use crate::fleet::routing::{QueuedOrder, Routing};
use crate::fleet::wire::message::Running;
use crate::fleet::wire::{Client, LocalEnd, Pushed, Request, Response};

/// Orders that are executed concurrently.
const MAX_CONCURRENT_ORDERS: usize = 16;
/// Interval of the hello requests to each voter. The posture measures in this interval.
pub const HELLO_INTERVAL: Duration = Duration::from_millis(200);
/// How long the answer of a voter is awaited.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection to an address of a pool must be established within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections to pools that are attempted concurrently.
const MAX_CONCURRENT_CONNECTS: usize = 32;
/// Before a switch the loop wakes up this early and polls its clock, because the runtime's timers are coarse.
const EARLY_WAKE: Duration = Duration::from_millis(2);
/// Interval of these polls.
const POLL_INTERVAL: Duration = Duration::from_micros(50);
/// Nudges that may be queued.
const MAX_QUEUED_PUSHES: usize = 64;
/// Upper bound of the voters that a request is sent to, each named as the leader by the previous one.
const MAX_REDIRECTS: usize = 3;
/// A process that has released its record does not open it again for this long.
const RELEASED_FOR: Duration = Duration::from_secs(5);

/// A job in progress for the member, so that it is not started twice.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Job {
    Fetch(Hash),
    Open(Turn, Hash),
}

/// The state that the tasks of the thread share.
pub struct DriverState {
    pub(super) options: Options,
    pub(super) local: LocalEnd,
    pub(super) clock: Clock,
    pub(super) disk: Disk,
    /// The answers that the membership has received.
    answers: ProbeAnswers,
    pub(super) metrics: Metrics,
    pub(super) routing: Routing,
    pub(super) clients: BTreeMap<String, Client>,
    pub(super) role: Mutex<LeaderRole>,
    pub(super) voter: Mutex<Option<Arc<Voter>>>,
    reachability: Mutex<Reachability>,
    /// The leader according to the last answer; `None` to ask the voters in turn.
    known_leader: Mutex<Option<String>>,
    next_voter: AtomicUsize,
    /// Orders of this process so far.
    pub(super) order_count: AtomicUsize,
    jobs: Mutex<HashSet<Job>>,
    leased: AtomicBool,
    /// Notified after each step of the member, so that its loop determines anew when it is due.
    stepped: Notify,
}

/// Locks a mutex even if a thread has panicked with the lock: no update here can be left incomplete.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DriverState {
    /// Creates the state and the links to the voters, and the queue of nudges from them. Must be called within a
    /// tokio runtime.
    pub fn new(
        options: Options,
        environment: Environment,
        metrics: Metrics,
        routing: Routing,
    ) -> (Arc<Self>, mpsc::Receiver<Pushed>) {
        let Environment { clock, net, disk, answers } = environment;
        let counters = metrics.links.clone();
        let local = LocalEnd { net, counters, ..LocalEnd::new(&*options.fleet, &*options.name) };
        let (push_sender, pushes) = mpsc::channel(MAX_QUEUED_PUSHES);
        let client = |(name, address): &(String, SocketAddr)| {
            (name.clone(), Client::start(local.clone(), name, *address, Some(push_sender.clone())))
        };
        let clients = options.voters.iter().map(client).collect();
        let names: Vec<String> = options.voters.iter().map(|(name, _)| name.clone()).collect();
        let voters: BTreeSet<String> = names.iter().cloned().collect();
        let driver = Self {
            reachability: Mutex::new(
                Reachability::new(&options.name, &names, HELLO_INTERVAL).with_membership(answers.period()),
            ),
            role: Mutex::new(LeaderRole::new(voters, Timing::default())),
            voter: Mutex::default(),
            known_leader: Mutex::default(),
            next_voter: AtomicUsize::new(0),
            order_count: AtomicUsize::new(0),
            jobs: Mutex::default(),
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
        (Arc::new(driver), pushes)
    }
}

/// Runs all tasks until the driver is stopped.
pub async fn run(
    driver: Arc<DriverState>,
    mut pushes: mpsc::Receiver<Pushed>,
    mut order_queue: mpsc::Receiver<QueuedOrder>,
    mut controls: mpsc::Receiver<Control>,
) {
    let (votes, should_vote) = watch::channel(driver.options.record.is_some());
    let mut tasks = JoinSet::new();
    tasks.spawn(step_when_due(driver.clone()));
    tasks.spawn(probe_voters(driver.clone()));
    tasks.spawn(report_counts(driver.clone()));
    let voting = tokio::spawn(voter::run(driver.clone(), should_vote));
    let nudge_driver = driver.clone();
    tasks.spawn(async move {
        while pushes.recv().await.is_some() {
            nudge_driver.step(Input::Nudge);
        }
    });
    let order_driver = driver.clone();
    tasks.spawn(async move {
        let slots = Arc::new(Semaphore::new(MAX_CONCURRENT_ORDERS));
        while let Some(queued) = order_queue.recv().await {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            let driver = order_driver.clone();
            tokio::spawn(async move {
                let answer = orders::execute(&driver, queued.order, &queued.by).await;
                // The client that sent the order may have disconnected.
                let _ = queued.answer.send(answer);
                drop(slot);
            });
        }
    });
    let mut vote_again_at: Option<tokio::time::Instant> = None;
    loop {
        let vote_again = async {
            match vote_again_at {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            control = controls.recv() => match control {
                Some(Control::ReleaseRecord) => {
                    info!("routes: releases the record to another process of this matcher");
                    let _ = votes.send(false);
                    vote_again_at =
                        driver.options.record.is_some().then(|| tokio::time::Instant::now() + RELEASED_FOR);
                }
                // A voter closes its record before the driver ends.
                Some(Control::Stop) | None => break,
            },
            () = vote_again => {
                vote_again_at = None;
                let _ = votes.send(true);
            }
        }
    }
    drop(votes);
    let _ = voting.await;
}

/// Steps the member when it is due.
async fn step_when_due(driver: Arc<DriverState>) {
    loop {
        let (next, switch) = {
            let state = driver.routing.state();
            let (lease, switch) = state.member.lease_and_switch();
            let now = driver.clock.now();
            // A step at the end of the lease logs that end on time.
            let ends = Some(lease.until()).filter(|until| *until > now);
            let next = state.member.next();
            (ends.map_or(next, |ends| ends.min(next)), switch.map(|(_, window)| window.high))
        };
        let until = driver.clock.until(next);
        let early = if switch == Some(next) { EARLY_WAKE } else { Duration::ZERO };
        tokio::select! {
            () = sleep(until.saturating_sub(early)) => {
                while early > Duration::ZERO && driver.clock.now() < next {
                    driver.clock.sleep_precisely(POLL_INTERVAL).await;
                }
                driver.step(Input::Tick);
            }
            () = driver.stepped.notified() => {}
        }
    }
}

/// Sends a hello to each voter, to know which of them are in reach in both directions, and takes over the answers
/// that the membership has received.
async fn probe_voters(driver: Arc<DriverState>) {
    let mut ticks = interval(HELLO_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (name, client) in driver.clients.iter().filter(|(name, _)| **name != driver.options.name) {
            let (driver, name, client) = (driver.clone(), name.clone(), client.clone());
            tokio::spawn(async move {
                let sent = driver.clock.now();
                if let Ok(Response::Hello(_)) = client.request(&Request::Hello, REQUEST_TIMEOUT).await {
                    lock(&driver.reachability).answered(&name, sent);
                    driver.update_unreachable_voters();
                }
            });
        }
        for (name, sent) in driver.answers.recent() {
            let sent = driver.clock.now().saturating_sub(sent.elapsed());
            lock(&driver.reachability).membership_answered(&name, sent);
        }
        driver.update_unreachable_voters();
    }
}

/// Reports to the leader what this process has counted for a running experiment.
async fn report_counts(driver: Arc<DriverState>) {
    loop {
        let block_length = {
            let state = driver.routing.state();
            state.counter.as_ref().map(|c| Duration::from_millis(c.experiment().block_ms))
        };
        let pause = block_length.unwrap_or(HELLO_INTERVAL).clamp(HELLO_INTERVAL / 2, HELLO_INTERVAL * 5);
        sleep(pause).await;
        let report = driver
            .routing
            .state()
            .counter
            .as_mut()
            .and_then(|counter| counter.report(driver.clock.unix()).ok());
        if let Some(report) = report {
            driver.request_leader(&Request::Counts(report), REQUEST_TIMEOUT).await;
        }
    }
}

impl DriverState {
    /// This matcher's name.
    pub fn name(&self) -> &str {
        &self.options.name
    }

    /// The classes and tenants that its settings name.
    pub fn known(&self) -> &KnownNames {
        &self.options.known
    }

    /// Microseconds since the Unix epoch, for the log.
    fn unix_us(&self) -> u64 {
        self.clock.unix().as_micros() as u64
    }

    /// What its posture permits now.
    pub fn permissions(&self) -> Permissions {
        lock(&self.reachability).posture(self.clock.now()).permissions()
    }

    fn update_unreachable_voters(&self) {
        let unreachable = lock(&self.reachability).unreachable_voters(self.clock.now()).len();
        self.metrics.unreachable_voters.set(unreachable as i64);
    }

    /// The document for operators about what this member knows itself.
    pub fn document(&self) -> Value {
        let leader = self.leader_by_record().or_else(|| lock(&self.known_leader).clone());
        let now = self.clock.now();
        let reachability = lock(&self.reachability);
        let state = self.routing.state();
        documents::member_document(&state.member, now, &reachability, leader.as_deref())
    }

    /// Calls `f` with the leader's state and the input of its decisions, among it the current state of the record.
    pub(super) fn with_leader_role<T>(
        &self,
        voter: &Voter,
        f: impl FnOnce(&Context, &mut LeaderRole) -> T,
    ) -> T {
        let may = self.permissions();
        let mut role = lock(&self.role);
        let record_state = voter.record.state();
        f(&Context { now: self.clock.now(), unix: self.clock.unix(), state: &record_state, may }, &mut role)
    }

    /// The leader according to this voter's own record.
    fn leader_by_record(&self) -> Option<String> {
        let voter = lock(&self.voter).clone()?;
        let standing = voter.record.watch().borrow().clone();
        standing.leader
    }

    /// Steps the member and performs its effects.
    pub fn step(self: &Arc<Self>, input: Input) {
        let (effects, leased) = {
            let mut state = self.routing.state();
            let now = self.clock.now();
            let effects = state.member.step(now, input);
            (effects, state.member.lease_and_switch().0.holds(now))
        };
        for effect in effects {
            match effect {
                Effect::Ask(ask) => {
                    self.metrics.asks.inc();
                    tokio::spawn(self.clone().send_ask(ask));
                }
                Effect::Fetch(hash) if self.begin_job(Job::Fetch(hash)) => {
                    tokio::spawn(self.clone().fetch_table(hash));
                }
                Effect::Open(turn, hash) if self.begin_job(Job::Open(turn, hash)) => {
                    tokio::spawn(self.clone().open_pools(turn, hash));
                }
                Effect::Fetch(_) | Effect::Open(..) => {}
                Effect::Switched(fence) => self.note_switch(fence, leased),
            }
        }
        if self.leased.swap(leased, Ordering::Relaxed) != leased {
            self.metrics.lease_held.set(i64::from(leased));
            if leased {
                info!(unix_us = self.unix_us(), "routes: lease held");
            } else {
                self.metrics.leases_lost.inc();
                warn!(unix_us = self.unix_us(), "routes: lease lost");
            }
        }
        self.stepped.notify_one();
    }

    /// Counts and logs a switch of the version in force. Without a lease the member knows the version but does not
    /// act on it.
    fn note_switch(&self, fence: Fence, leased: bool) {
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

    fn begin_job(&self, job: Job) -> bool {
        lock(&self.jobs).insert(job)
    }

    fn end_job(&self, job: Job) {
        lock(&self.jobs).remove(&job);
    }

    /// Sends an ask to the leader, and takes over the reply.
    async fn send_ask(self: Arc<Self>, ask: LeaseRequest) {
        let ask = filter_answer(ask, self.permissions());
        if let Some(Response::Reply { reply, running }) =
            self.request_leader(&Request::Ask(ask), REQUEST_TIMEOUT).await
        {
            self.metrics.replies.inc();
            let source = (reply.term, reply.number);
            self.step(Input::Reply(*reply));
            self.update_counter(source, running.map(|running| *running));
        }
    }

    /// Takes over which experiment runs. `source` is the term of the leader that reported it and the number of the
    /// ask that it replied to. A report from an earlier term or on an earlier ask may be out of date and is ignored.
    fn update_counter(&self, source: (u64, u64), running: Option<Running>) {
        let mut state = self.routing.state();
        if source < state.counter_source {
            return;
        }
        state.counter_source = source;
        let Some(Running { experiment, closed, members }) = running else { return state.counter = None };
        if state.counter.as_ref().is_none_or(|counter| *counter.experiment() != experiment) {
            let life = state.member.identity();
            let life = (life.name.clone(), life.incarnation);
            state.counter = Some(Counter::new(experiment, life, &members, self.clock.unix()));
        }
        state.counter.iter_mut().for_each(|counter| counter.discard_closed(closed));
    }

    /// The voter to which a request to the leader is sent first: the leader according to the own record or the last
    /// answer, or else the voters in turn.
    fn likely_leader(&self) -> Option<String> {
        if let Some(name) = self.leader_by_record().or_else(|| lock(&self.known_leader).clone()) {
            return Some(name);
        }
        let at = self.next_voter.fetch_add(1, Ordering::Relaxed);
        self.options.voters.get(at % self.options.voters.len().max(1)).map(|(name, _)| name.clone())
    }

    /// Sends a request to the likely leader and, if that one does not lead, to the leader that it names. Returns the
    /// last answer.
    pub async fn request_leader(self: &Arc<Self>, request: &Request, limit: Duration) -> Option<Response> {
        let mut to = self.likely_leader()?;
        let mut answer = None;
        for _ in 0..MAX_REDIRECTS {
            let is_own = to == self.options.name;
            let voter = if is_own { lock(&self.voter).clone() } else { None };
            answer = match (voter, self.clients.get(&to)) {
                (Some(voter), _) => Some(self.answer(&voter, request.clone()).await),
                (None, Some(client)) => client.request(request, limit).await.ok(),
                (None, None) => None,
            };
            let next = match &answer {
                Some(Response::NotLeader { leader }) => leader.clone().filter(|next| *next != to),
                Some(_) => {
                    *lock(&self.known_leader) = Some(to);
                    return answer;
                }
                None => None,
            };
            *lock(&self.known_leader) = next.clone();
            match next {
                Some(next) => to = next,
                None => break,
            }
        }
        answer
    }

    /// Fetches a table from any voter that has it, the likely leader first.
    async fn fetch_table(self: Arc<Self>, hash: Hash) {
        let own_voter = lock(&self.voter).clone();
        let mut text = own_voter.and_then(|voter| voter.table(hash));
        let first = self.likely_leader();
        let rest = self.clients.keys().filter(|name| Some(*name) != first.as_ref()).cloned();
        for name in first.clone().into_iter().chain(rest) {
            if text.is_some() {
                break;
            }
            if let Some(client) = self.clients.get(&name) {
                if let Ok(Response::Table(table)) =
                    client.request(&Request::Fetch(hash), REQUEST_TIMEOUT).await
                {
                    text = table;
                }
            }
        }
        self.end_job(Job::Fetch(hash));
        if let Some(text) = text {
            self.step(Input::Fetched(hash, text));
        }
    }

    /// Attempts a connection to each address in the pools of a table, and reports the result for this turn to the
    /// member.
    async fn open_pools(self: Arc<Self>, turn: Turn, hash: Hash) {
        let addresses: BTreeSet<SocketAddr> =
            self.routing.state().member.addresses(hash).into_iter().collect();
        let (mut attempts, mut opened) = (JoinSet::new(), Ok(()));
        let mut collect = |done: Option<(SocketAddr, bool)>| {
            if let Some((address, false)) = done {
                opened = Err(address);
            }
        };
        for address in addresses {
            if attempts.len() >= MAX_CONCURRENT_CONNECTS {
                collect(attempts.join_next().await.and_then(Result::ok));
            }
            let net = self.local.net.clone();
            attempts.spawn(async move {
                let connected = timeout(CONNECT_TIMEOUT, net.connect(address)).await;
                (address, matches!(connected, Ok(Ok(_))))
            });
        }
        while let Some(done) = attempts.join_next().await {
            collect(done.ok());
        }
        self.end_job(Job::Open(turn, hash));
        self.step(Input::Opened(turn, hash, opened));
    }
}
