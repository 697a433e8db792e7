//! The voter's side: its record and socket, opened as soon as they are free and given up on the process's word; what is
//! answered there; and the leader's part, in step with the record's standing.

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
use super::lead::{allowed, earlier, ordered};
use super::part::{lock, Part};
use super::Options;
use crate::fleet::decided::{Applied, Entry};
use crate::fleet::experiment::record as experiments;
use crate::fleet::record::{self, Record, Standing};
use crate::fleet::routes::leader::Effect;
use crate::fleet::routes::member::Input;
use crate::fleet::routes::record as routes;
use crate::fleet::routes::table::{Hash, Table};
use crate::fleet::routes::{Ask, Reply};
use crate::fleet::wire::message::{AdmitError, Hello, Running};
use crate::fleet::wire::{Answering, Caller, Push, Request, Response, Server};

/// The leader's part looks at the time this often.
const TICK: Duration = Duration::from_millis(20);
/// The leader asks a majority this often; a lease is shorter by it.
const CONFIRM: Duration = Duration::from_millis(100);
/// A majority that did not answer for this long is asked again.
const CONFIRM_PATIENCE: Duration = Duration::from_secs(1);
/// An entry is waited for this long: less than a link waits for an answer.
const SUBMIT: Duration = Duration::from_millis(2000);
/// An admission is waited for this long.
const ADMIT: Duration = Duration::from_millis(2700);
/// After a folder or an address could not be taken.
const RETRY: Duration = Duration::from_millis(100);
/// This process's vote.
pub struct Voter {
    pub(super) record: Record,
    server: Server,
}

impl Voter {
    /// A table by its hash, if it is kept.
    pub(super) fn table(&self, hash: Hash) -> Option<String> {
        let state = self.record.state();
        let found = state.routes.tables().find(|(_, table)| table.hash() == hash);
        found.map(|(_, table)| Table::canonical(table))
    }
}

/// Votes while `vote` says so; ends when nobody is left to say so.
pub async fn keep(part: Arc<Part>, mut vote: watch::Receiver<bool>) {
    let Some((folder, listen)) = part.options.keeps.clone() else { return };
    loop {
        while !*vote.borrow_and_update() {
            if vote.changed().await.is_err() {
                return;
            }
        }
        let voter = tokio::select! {
            voter = open(&part, &folder, listen) => voter,
            told = vote.changed() => match told {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        info!(folder = %folder.display(), %listen, "routes: votes");
        *lock(&part.voter) = Some(voter.clone());
        let goes_on = lead(&part, &voter, &mut vote).await;
        *lock(&part.voter) = None;
        let none = Standing { leads: false, ..voter.record.watch().borrow().clone() };
        part.deciding(&voter, |at, lead| lead.follow(at, &none, None));
        part.metrics.leads.set(0);
        voter.server.close();
        voter.record.close().await;
        info!("routes: votes no more");
        if !goes_on {
            return;
        }
    }
}

/// The socket and the record, once both can be had.
async fn open(part: &Arc<Part>, folder: &Path, listen: SocketAddr) -> Arc<Voter> {
    let mut told = String::new();
    loop {
        let (said, help) = match try_open(part, folder, listen).await {
            Ok(voter) => return voter,
            Err(e) => (e.to_string(), e.help().map(|help| help.to_string())),
        };
        if said != told {
            warn!(help, "fleet.routes: {said}; tried again until it can be had");
            told = said;
        }
        sleep(RETRY).await;
    }
}

async fn try_open(
    part: &Arc<Part>,
    folder: &Path,
    listen: SocketAddr,
) -> Result<Arc<Voter>, Box<dyn Diagnostic + Send + Sync>> {
    let answers = part.clone();
    let handler = move |from: Arc<Caller>, request: Request| -> Answering {
        let part = answers.clone();
        Box::pin(async move {
            let voter = lock(&part.voter).clone();
            match voter {
                Some(voter) => {
                    part.metrics.request(kind(&request));
                    match &request {
                        // A lease is for whom the link said it is.
                        Request::Ask(ask) if ask.life.name != from.name => Response::Busy,
                        _ => part.answer(&voter, request).await,
                    }
                }
                // The record is being opened.
                None => absent(&request),
            }
        })
    };
    let server = Server::start(listen, part.local.clone(), handler).await?;
    let Options { name, fleet, voters, .. } = part.options.clone();
    let mut options = record::Options::new(fleet, name, folder, voters);
    options.disk = part.disk.clone();
    let record = Record::open(options, part.clients.clone()).await?;
    Ok(Arc::new(Voter { record, server }))
}

/// What is answered before the record is there.
fn absent(request: &Request) -> Response {
    match request {
        Request::Hello => Response::Hello(Hello::default()),
        Request::Fetch(_) => Response::Table(None),
        _ => Response::NotLeader { leader: None },
    }
}

/// The name of a request, for counting.
fn kind(request: &Request) -> &'static str {
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

/// Follows the record until this process is to vote no more: true if it may vote again.
async fn lead(part: &Arc<Part>, voter: &Arc<Voter>, vote: &mut watch::Receiver<bool>) -> bool {
    let mut standing = voter.record.watch();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tasks = JoinSet::new();
    tasks.spawn(confirm(part.clone(), voter.clone()));
    loop {
        tokio::select! {
            told = vote.changed() => match told {
                Ok(()) if *vote.borrow() => {}
                Ok(()) => return true,
                Err(_) => return false,
            },
            moved = standing.changed() => if moved.is_err() {
                warn!("routes: the record has stopped; it is opened again");
                return true;
            },
            _ = ticks.tick() => {}
        }
        let stands = standing.borrow_and_update().clone();
        let window = part.routing.held().member.promises().1;
        let (before, after, effects, entry) = part.deciding(voter, |at, lead| {
            let before = lead.term();
            let mut effects = lead.follow(at, &stands, window);
            effects.extend(lead.tick(at));
            (before, lead.term(), effects, lead.experiments(at))
        });
        if before != after {
            part.metrics.leads.set(i64::from(after.is_some()));
            match after {
                Some(term) => {
                    part.metrics.elections.inc();
                    info!(term, "routes: leads");
                }
                None => info!(term = before, "routes: leads no more"),
            }
        }
        perform(part, voter, effects);
        entry.into_iter().for_each(|entry| propose(part, voter, entry));
    }
}

/// Keeps the leader's part up to date about who answers.
async fn confirm(part: Arc<Part>, voter: Arc<Voter>) {
    loop {
        if lock(&part.lead).term().is_some() {
            let sent = part.clock.now();
            if let Ok(Ok(term)) = timeout(CONFIRM_PATIENCE, voter.record.confirm()).await {
                let effects = part.deciding(&voter, |at, lead| lead.confirmed(at, term, sent));
                perform(&part, &voter, effects);
            }
        }
        sleep(CONFIRM).await;
    }
}

/// Does what the leader's part asks for; the reply, where there is one.
fn perform(part: &Arc<Part>, voter: &Arc<Voter>, effects: Vec<Effect>) -> Option<Reply> {
    let mut replied = None;
    for effect in effects {
        match effect {
            Effect::Reply(_, reply) => {
                if !reply.lease.is_zero() {
                    part.metrics.grants.inc();
                }
                replied = Some(reply);
            }
            Effect::Nudge(life) => {
                // In a handover two processes have one name.
                voter.server.push(Some(&life.name), Push::Nudge);
                if life.name == part.options.name {
                    part.step(Input::Nudge);
                }
            }
            Effect::Propose(entry) => propose(part, voter, Entry::Routes(entry)),
        }
    }
    replied
}

/// Puts an entry of the leader's own into the log.
fn propose(part: &Arc<Part>, voter: &Arc<Voter>, entry: Entry) {
    let (part, voter) = (part.clone(), voter.clone());
    tokio::spawn(async move {
        match timeout(SUBMIT, voter.record.submit(entry.clone())).await {
            Ok(Ok(Ok(applied))) => applied_own(&part, &entry, &applied),
            Ok(Ok(Err(refused))) => debug!("routes: {refused}"),
            Ok(Err(e)) => info!("routes: an entry was not taken: {e}"),
            Err(_) => info!("routes: an entry waits for a majority"),
        }
        if matches!(entry, Entry::Experiment(_)) {
            lock(&part.lead).answered();
        }
    });
}

fn applied_own(part: &Part, entry: &Entry, applied: &Applied) {
    match entry {
        Entry::Routes(routes::Entry::Abort { turn, why }) => {
            part.metrics.aborted(why);
            warn!(turn, ?why, "routes: aborted");
        }
        Entry::Experiment(experiments::Entry::Block { name, block, tallies, .. }) => {
            part.metrics.blocks.inc();
            debug!(name, block, ?tallies, "routes: a block is closed");
        }
        _ => {}
    }
    if let Applied::Experiment(experiments::Applied::Ended(verdict)) = applied {
        info!(?verdict, "routes: an experiment ended");
    }
}

impl Part {
    /// Answers a request of another member, or of this one.
    pub(super) async fn answer(self: &Arc<Self>, voter: &Arc<Voter>, request: Request) -> Response {
        match request {
            Request::Hello => Response::Hello(voter.record.hello().await),
            Request::Raft { to, request } => Response::Raft(Box::new(voter.record.serve(to, *request).await)),
            Request::Ask(ask) => self.grant(voter, ask),
            Request::Fetch(hash) => Response::Table(voter.table(hash)),
            Request::Submit(entry) => self.submit(voter, entry).await,
            Request::Counts(report) => {
                let heard = self
                    .deciding(voter, |at, lead| lead.leads(at.now).then(|| lead.heard(at.state, &report)));
                heard.map_or_else(|| self.not_leader(voter), Response::Counted)
            }
            Request::Admit { name } => match timeout(ADMIT, voter.record.admit(&name)).await {
                Ok(Err(AdmitError::NotLeader { leader })) => Response::NotLeader { leader },
                Ok(admitted) => Response::Admitted(admitted),
                Err(_) => Response::Busy,
            },
            Request::Look(look) => {
                let stands = voter.record.watch().borrow().clone();
                let told = self.deciding(voter, |at, lead| {
                    // What one that is cut off knows may have been overtaken.
                    let told = || documents::leaders(look, at.state, &stands, lead.given(), at.now);
                    lead.leads(at.now).then(|| told().to_string())
                });
                told.map_or_else(|| self.not_leader(voter), Response::Document)
            }
        }
    }

    fn not_leader(&self, voter: &Voter) -> Response {
        let own = &self.options.name;
        // A leader that has yet to begin, or has ended already, is nobody to be sent to.
        let leader = voter.record.watch().borrow().leader.clone().filter(|name| name != own);
        Response::NotLeader { leader }
    }

    fn grant(self: &Arc<Self>, voter: &Arc<Voter>, ask: Ask) -> Response {
        let (effects, leads, running) = self.deciding(voter, |at, lead| {
            let running = at.state.experiments.running_experiment().map(|run| {
                let experiment = run.experiment.clone();
                Box::new(Running { experiment, closed: run.evaluation.closed(), members: lead.members() })
            });
            (lead.ask(at, ask), lead.leads(at.now), running)
        });
        match perform(self, voter, effects).filter(|_| leads) {
            Some(reply) => Response::Reply { reply: Box::new(reply), running },
            None => self.not_leader(voter),
        }
    }

    async fn submit(&self, voter: &Voter, entry: Entry) -> Response {
        let (leads, before) =
            self.deciding(voter, |at, lead| (lead.leads(at.now), earlier(at.state, &entry)));
        if !leads {
            return self.not_leader(voter);
        }
        if let Some(applied) = before {
            return Response::Submitted(Ok(applied));
        }
        if !ordered(&entry) || !allowed(&entry, self.may()) {
            return Response::Busy;
        }
        if let Err(refused) = entry.bounded() {
            return Response::Submitted(Err(refused));
        }
        match timeout(SUBMIT, voter.record.submit(entry.clone())).await {
            Ok(Ok(done)) => {
                if let Ok(applied) = &done {
                    applied_own(self, &entry, applied);
                }
                // It may be refused for itself: it was sent again before it was applied the first time.
                let before = || self.deciding(voter, |at, _| earlier(at.state, &entry));
                Response::Submitted(done.or_else(|refused| before().ok_or(refused)))
            }
            Ok(Err(_)) => self.not_leader(voter),
            Err(_) => Response::Busy,
        }
    }
}
