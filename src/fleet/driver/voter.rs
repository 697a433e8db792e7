//! The part of a matcher that votes. [`run`] opens the record and the voter's socket as soon as they are free, and
//! closes them when the process is to release them. While they are open, requests of members are answered here, and
//! the leader's decisions follow the record's standing.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use miette::Diagnostic;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};
use tracing::{debug, info, warn};

use super::documents;
use super::leader_role::{earlier_result, is_allowed, is_operator_order};
use super::tasks::{lock, DriverState};
use super::Options;
use crate::fleet::experiment::record as experiments;
use crate::fleet::record::{self, Record, Standing};
use crate::fleet::routes::leader::Effect;
use crate::fleet::routes::member::Input;
use crate::fleet::routes::record as routes;
use crate::fleet::routes::table::{Hash, Table};
use crate::fleet::routes::{LeaseReply, LeaseRequest};
use crate::fleet::state_machine::{Applied, Entry};
use crate::fleet::wire::message::{AdmitError, Hello, Running};
use crate::fleet::wire::{Push, Request, RequestOrigin, Response, ResponseFuture, Server};

/// Interval at which the leader's state is informed of the time.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the leader has a majority confirm that it leads. A lease is shorter by it.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);
/// A majority that has not answered within this time is asked again.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the submission of an entry may take: less than a link waits for an answer.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long an admission may take.
const ADMIT_TIMEOUT: Duration = Duration::from_millis(2700);
/// Interval at which the folder and the address are tried until both can be opened.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The open record and the open socket of a voter.
pub struct Voter {
    pub(super) record: Record,
    server: Server,
}

impl Voter {
    /// The table with this hash, if the record keeps it.
    pub(super) fn table(&self, hash: Hash) -> Option<String> {
        let state = self.record.state();
        let found = state.routes.tables().find(|(_, table)| table.hash() == hash);
        found.map(|(_, table)| Table::canonical(table))
    }
}

/// Votes while `should_vote` is true. Returns when the sender of `should_vote` is dropped.
pub async fn run(driver: Arc<DriverState>, mut should_vote: watch::Receiver<bool>) {
    let Some((folder, listen)) = driver.options.record.clone() else { return };
    loop {
        while !*should_vote.borrow_and_update() {
            if should_vote.changed().await.is_err() {
                return;
            }
        }
        let voter = tokio::select! {
            voter = open(&driver, &folder, listen) => voter,
            changed = should_vote.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        info!(folder = %folder.display(), %listen, "routes: votes");
        *lock(&driver.voter) = Some(voter.clone());
        let may_vote_again = follow_record(&driver, &voter, &mut should_vote).await;
        *lock(&driver.voter) = None;
        let not_leading = Standing { leads: false, ..voter.record.watch().borrow().clone() };
        driver.with_leader_role(&voter, |context, role| role.follow_record(context, &not_leading, None));
        driver.metrics.is_leader.set(0);
        voter.server.close();
        voter.record.close().await;
        info!("routes: no longer votes");
        if !may_vote_again {
            return;
        }
    }
}

/// Opens the socket and the record, retrying until both succeed.
async fn open(driver: &Arc<DriverState>, folder: &Path, listen: SocketAddr) -> Arc<Voter> {
    let mut logged = String::new();
    loop {
        let (problem, help) = match try_open(driver, folder, listen).await {
            Ok(voter) => return voter,
            Err(e) => (e.to_string(), e.help().map(|help| help.to_string())),
        };
        if problem != logged {
            warn!(help, "fleet.routes: {problem}; retrying until it succeeds");
            logged = problem;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

async fn try_open(
    driver: &Arc<DriverState>,
    folder: &Path,
    listen: SocketAddr,
) -> Result<Arc<Voter>, Box<dyn Diagnostic + Send + Sync>> {
    let answering = driver.clone();
    let handler = move |from: Arc<RequestOrigin>, request: Request| -> ResponseFuture {
        let driver = answering.clone();
        Box::pin(async move {
            let voter = lock(&driver.voter).clone();
            match voter {
                Some(voter) => {
                    driver.metrics.count_request(request_kind(&request));
                    match &request {
                        // A lease is granted only to the member that opened the link.
                        Request::Ask(ask) if ask.member.name != from.name => Response::Busy,
                        _ => driver.answer(&voter, request).await,
                    }
                }
                // The record is still being opened.
                None => response_while_opening(&request),
            }
        })
    };
    let server = Server::start(listen, driver.local.clone(), handler).await?;
    let Options { name, fleet, voters, .. } = driver.options.clone();
    let mut options = record::Options::new(fleet, name, folder, voters);
    options.disk = driver.disk.clone();
    let record = Record::open(options, driver.clients.clone()).await?;
    Ok(Arc::new(Voter { record, server }))
}

/// The response to a request that arrives before the record is open.
fn response_while_opening(request: &Request) -> Response {
    match request {
        Request::Hello => Response::Hello(Hello::default()),
        Request::Fetch(_) => Response::Table(None),
        _ => Response::NotLeader { leader: None },
    }
}

/// The kind of a request, as a metric label.
fn request_kind(request: &Request) -> &'static str {
    match request {
        Request::Hello => "hello",
        Request::Raft { .. } => "raft",
        Request::Ask(_) => "ask",
        Request::Fetch(_) => "fetch",
        Request::Submit(_) => "submit",
        Request::Counts(_) => "counts",
        Request::Admit { .. } => "admit",
        Request::Look(_) => "look",
    }
}

/// Follows the record until this process is to stop voting or the record stops. Returns true if it may vote again.
async fn follow_record(
    driver: &Arc<DriverState>,
    voter: &Arc<Voter>,
    should_vote: &mut watch::Receiver<bool>,
) -> bool {
    let mut standings = voter.record.watch();
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tasks = JoinSet::new();
    tasks.spawn(confirm_leadership(driver.clone(), voter.clone()));
    loop {
        tokio::select! {
            changed = should_vote.changed() => match changed {
                Ok(()) if *should_vote.borrow() => {}
                Ok(()) => return true,
                Err(_) => return false,
            },
            changed = standings.changed() => if changed.is_err() {
                warn!("routes: the record has stopped; reopening it");
                return true;
            },
            _ = ticks.tick() => {}
        }
        let standing = standings.borrow_and_update().clone();
        let window = driver.routing.state().member.lease_and_switch().1;
        let (before, after, effects, entry) = driver.with_leader_role(voter, |context, role| {
            let before = role.term();
            let mut effects = role.follow_record(context, &standing, window);
            effects.extend(role.tick(context));
            (before, role.term(), effects, role.next_experiment_entry(context))
        });
        if before != after {
            driver.metrics.is_leader.set(i64::from(after.is_some()));
            match after {
                Some(term) => {
                    driver.metrics.elections.inc();
                    info!(term, "routes: became leader");
                }
                None => info!(term = before, "routes: no longer leader"),
            }
        }
        perform_effects(driver, voter, effects);
        entry.into_iter().for_each(|entry| propose(driver, voter, entry));
    }
}

/// Has a majority confirm regularly that this voter leads.
async fn confirm_leadership(driver: Arc<DriverState>, voter: Arc<Voter>) {
    loop {
        if lock(&driver.role).term().is_some() {
            let sent = driver.clock.now();
            if let Ok(Ok(term)) = timeout(CONFIRM_TIMEOUT, voter.record.confirm()).await {
                let effects =
                    driver.with_leader_role(&voter, |context, role| role.confirm(context, term, sent));
                perform_effects(&driver, &voter, effects);
            }
        }
        sleep(CONFIRM_INTERVAL).await;
    }
}

/// Performs the effects of the leader's decisions. Returns the reply, if there is one.
fn perform_effects(
    driver: &Arc<DriverState>,
    voter: &Arc<Voter>,
    effects: Vec<Effect>,
) -> Option<LeaseReply> {
    let mut sent_reply = None;
    for effect in effects {
        match effect {
            Effect::Reply(_, reply) => {
                if !reply.lease.is_zero() {
                    driver.metrics.grants.inc();
                }
                sent_reply = Some(reply);
            }
            Effect::Nudge(life) => {
                // During a handover two processes have the same name.
                voter.server.push(Some(&life.name), Push::Nudge);
                if life.name == driver.options.name {
                    driver.step(Input::Nudge);
                }
            }
            Effect::Propose(entry) => propose(driver, voter, Entry::Routes(entry)),
        }
    }
    sent_reply
}

/// Submits an entry that the leader itself proposes to the log.
fn propose(driver: &Arc<DriverState>, voter: &Arc<Voter>, entry: Entry) {
    let (driver, voter) = (driver.clone(), voter.clone());
    tokio::spawn(async move {
        match timeout(SUBMIT_TIMEOUT, voter.record.submit(entry.clone())).await {
            Ok(Ok(Ok(applied))) => note_applied(&driver, &entry, &applied),
            Ok(Ok(Err(refused))) => debug!("routes: {refused}"),
            Ok(Err(e)) => info!("routes: an entry was not accepted: {e}"),
            Err(_) => info!("routes: an entry still waits for a majority"),
        }
        if matches!(entry, Entry::Experiment(_)) {
            lock(&driver.role).entry_answered();
        }
    });
}

/// Counts and logs an entry that was applied for this voter.
fn note_applied(driver: &DriverState, entry: &Entry, applied: &Applied) {
    match entry {
        Entry::Routes(routes::Entry::Abort { turn, why }) => {
            driver.metrics.count_abort(why);
            warn!(turn, ?why, "routes: aborted");
        }
        Entry::Experiment(experiments::Entry::Block { name, block, tallies, .. }) => {
            driver.metrics.closed_blocks.inc();
            debug!(name, block, ?tallies, "routes: a block is closed");
        }
        _ => {}
    }
    if let Applied::Experiment(experiments::Applied::Ended(verdict)) = applied {
        info!(?verdict, "routes: an experiment ended");
    }
}

impl DriverState {
    /// Answers a request of another member, or of this process.
    pub(super) async fn answer(self: &Arc<Self>, voter: &Arc<Voter>, request: Request) -> Response {
        match request {
            Request::Hello => Response::Hello(voter.record.hello().await),
            Request::Raft { to, request } => Response::Raft(Box::new(voter.record.serve(to, *request).await)),
            Request::Ask(ask) => self.grant(voter, ask),
            Request::Fetch(hash) => Response::Table(voter.table(hash)),
            Request::Submit(entry) => self.submit(voter, entry).await,
            Request::Counts(report) => {
                let counted = self.with_leader_role(voter, |context, role| {
                    role.is_confirmed_leader(context.now).then(|| role.take_report(context.state, &report))
                });
                counted.map_or_else(|| self.not_leader(voter), Response::Counted)
            }
            Request::Admit { name } => match timeout(ADMIT_TIMEOUT, voter.record.admit(&name)).await {
                Ok(Err(AdmitError::NotLeader { leader })) => Response::NotLeader { leader },
                Ok(admitted) => Response::Admitted(admitted),
                Err(_) => Response::Busy,
            },
            Request::Look(look) => {
                let standing = voter.record.watch().borrow().clone();
                let document = self.with_leader_role(voter, |context, role| {
                    // A leader that is cut off from the majority may have an outdated state.
                    let document = || {
                        documents::leader_document(look, context.state, &standing, role.given(), context.now)
                    };
                    role.is_confirmed_leader(context.now).then(|| document().to_string())
                });
                document.map_or_else(|| self.not_leader(voter), Response::Document)
            }
        }
    }

    fn not_leader(&self, voter: &Voter) -> Response {
        let own = &self.options.name;
        // If this voter has just been elected or deposed, the record may still name it, but it does not lead.
        let leader = voter.record.watch().borrow().leader.clone().filter(|name| name != own);
        Response::NotLeader { leader }
    }

    fn grant(self: &Arc<Self>, voter: &Arc<Voter>, ask: LeaseRequest) -> Response {
        let (effects, leads, running) = self.with_leader_role(voter, |context, role| {
            let running = context.state.experiments.running_experiment().map(|run| {
                let experiment = run.experiment.clone();
                Box::new(Running { experiment, closed: run.evaluation.closed(), members: role.members() })
            });
            (role.handle_ask(context, ask), role.is_confirmed_leader(context.now), running)
        });
        match perform_effects(self, voter, effects).filter(|_| leads) {
            Some(reply) => Response::Reply { reply: Box::new(reply), running },
            None => self.not_leader(voter),
        }
    }

    async fn submit(&self, voter: &Voter, entry: Entry) -> Response {
        let (leads, earlier) = self.with_leader_role(voter, |context, role| {
            (role.is_confirmed_leader(context.now), earlier_result(context.state, &entry))
        });
        if !leads {
            return self.not_leader(voter);
        }
        if let Some(applied) = earlier {
            return Response::Submitted(Ok(applied));
        }
        if !is_operator_order(&entry) || !is_allowed(&entry, self.permissions()) {
            return Response::Busy;
        }
        if let Err(refused) = entry.check_bounds() {
            return Response::Submitted(Err(refused));
        }
        match timeout(SUBMIT_TIMEOUT, voter.record.submit(entry.clone())).await {
            Ok(Ok(done)) => {
                if let Ok(applied) = &done {
                    note_applied(self, &entry, applied);
                }
                // A repeated order may be refused because of its first submission, which was applied in the meantime.
                let earlier =
                    || self.with_leader_role(voter, |context, _| earlier_result(context.state, &entry));
                Response::Submitted(done.or_else(|refused| earlier().ok_or(refused)))
            }
            Ok(Err(_)) => self.not_leader(voter),
            Err(_) => Response::Busy,
        }
    }
}
