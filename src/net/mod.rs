//! Effects on sockets: the fronts that callers connect to, and the links to agent, vault and control plane.
//!
//! Everything that happens goes through one inbox to the reducer's thread; each connection has a coroutine
//! that reads and is its only writer, so a peer that stops reading holds up nobody else.

pub mod admin;
pub mod agent;
pub mod call_routing;
pub mod clock;
mod closes;
mod closing;
pub mod connection_table;
pub mod control;
pub mod error;
pub mod fields;
pub mod front;
pub mod handover;
mod handshake_filter;
pub mod http;
mod hub;
pub mod inlet;
pub mod lines;
mod listen;
mod metrics;
pub mod scgi;
pub mod socket_retry;
mod spawn;
mod stream;
mod tls;
pub mod vault;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use tracing::{info, warn};

use crate::acme::Shared;
use crate::core::{Core, Effect, Input, KeyState, Query};
use crate::fleet;
use crate::settings::{Config, Links};
use call_routing::Router;
pub use error::NodeError;
use hub::AnswerResult;
pub use hub::Hub;
use listen::{listen, next, Front, Place};
use spawn::spawn_with_large_stack;
pub use spawn::{sleep, spawn, start_runtime};

/// Inputs that the reducer takes at once.
const BATCH: usize = 1024;
/// While leaving, the connections are looked at this often.
const LEAVE_LOOK: Duration = Duration::from_millis(5);

/// A handle for parts outside the reducer, such as the signal handler.
#[derive(Clone)]
pub struct Handle(Arc<Hub>);

impl Handle {
    /// Begins to leave.
    pub fn drain(&self) {
        // The grace counts from here: a full inbox must not hold it up.
        self.0.push_nonblocking(Input::Drain { noticed: self.0.clock.now() });
    }

    /// Takes up other settings, and moves the links to new addresses. A link that was on stays on: the program
    /// cannot do without.
    pub fn reload(&self, config: &Config) {
        let links = config.links();
        let mut held = self.0.links.lock().unwrap_or_else(PoisonError::into_inner);
        let or = |new: Option<SocketAddr>, old: Option<SocketAddr>| new.filter(|_| old.is_some()).or(old);
        *held = Links {
            agent: or(links.agent, held.agent),
            vault: or(links.vault, held.vault),
            control: or(links.control, held.control),
        };
        drop(held);
        let classes = config.site.class_names.clone();
        *self.0.classes.lock().unwrap_or_else(PoisonError::into_inner) = classes;
        let (site, stop_after) = (Box::new(config.site.clone()), config.stop_after);
        self.0.push(Input::Reload { site, stop_after });
    }

    /// Asks the reducer, and waits for its answer; to be called from threads only.
    pub fn query(&self, query: Query, patience: Duration) -> Option<Vec<(String, String)>> {
        let (ticket, answer) = self.0.submit_query(query);
        let lines = answer.recv_timeout(patience).ok();
        self.0.queries().remove(&ticket);
        lines
    }

    /// Has the counters printed.
    pub fn report(&self) {
        self.0.push(Input::Report);
    }
}

/// What does the work.
enum Runner {
    Agent(agent::Link),
    Application(scgi::Application),
    None,
}

/// What takes the calls below.
enum Below {
    Vault(vault::Link),
    Scgi(SocketAddr),
}

/// The program: the reducer with everything connected.
pub struct Node {
    core: Core,
    hub: Arc<Hub>,
    inbox: Receiver<Input>,
    runner: Runner,
    below: Below,
    control: Arc<AtomicBool>,
    /// Where callers connect; none before this process takes them.
    fronts: Vec<Front>,
    config: Config,
    certificate: Shared,
    /// The process that ran before, until it has handed over and ended.
    predecessor: Option<handover::PeerProcess>,
    /// The one that takes over from this one.
    successor: handover::PeerProcess,
    /// The process that ran before is asked to hand over once the fleet's routes may be used here.
    begins: bool,
    /// This process's part in the fleet's routes, where they are on.
    driver: Option<fleet::Driver>,
    /// What makes going on impossible.
    fault: Option<NodeError>,
}

impl Node {
    /// Binds the fronts and starts the links.
    ///
    /// # Errors
    /// [`NodeError`] where an address or a thread cannot be had, or the settings say nothing.
    pub fn start(config: &Config, certificate: Shared) -> Result<Self, NodeError> {
        let (sender, inbox) = std::sync::mpsc::channel();
        let fleet = config.fleet().map(fleet::Link::start).transpose()?;
        let answers = fleet.as_ref().map(fleet::Link::answers).unwrap_or_default();
        let driver =
            config.routes().map(|options| fleet::Driver::start_beside(options, answers)).transpose()?;
        let routing = driver.as_ref().map(|driver| Arc::new(driver.routing()) as Arc<dyn Router>);
        let classes = config.site.class_names.clone();
        let hub = Arc::new(Hub::new(sender, config.sockets, config.links(), classes, fleet, routing));
        call_routing::start(&hub);
        let mut core = Core::new(config.site.clone(), config.seed, config.stop_after, hub.clock.now())?;
        let runner = match (config.agent, config.appliance.scgi_application) {
            (Some(_), _) => Runner::Agent(agent::Link::start(&hub)),
            (None, Some(address)) => {
                core.run_without_link();
                Runner::Application(scgi::Application::new(address, &hub))
            }
            (None, None) => Runner::None,
        };
        let below = match config.appliance.scgi_below.filter(|_| config.vault.is_none()) {
            // Settings that have routes on as well are turned down: nothing of theirs reaches such a service.
            Some(address) if hub.routing.is_none() => {
                core.call_on_own_connections();
                Below::Scgi(address)
            }
            _ => Below::Vault(vault::Link::start(&hub)),
        };
        let control = Arc::new(AtomicBool::new(true));
        if config.control.is_some() {
            control::start(&hub, config.listen.ip(), config.name.clone(), control.clone());
        }
        if let Some(address) = config.admin {
            admin::start(address, &hub).map_err(|source| NodeError::Admin { address, source })?;
        }
        let predecessor =
            config.handover.as_ref().and_then(|path| handover::connect_to_predecessor(path, &hub));
        let mut node = Self {
            core,
            hub,
            inbox,
            runner,
            below,
            control,
            fronts: Vec::new(),
            config: config.clone(),
            certificate,
            predecessor,
            successor: handover::PeerProcess::default(),
            begins: false,
            driver,
            fault: None,
        };
        node.hub.set_descriptor_share(node.predecessor.is_some());
        if node.predecessor.is_none() {
            node.open_fronts()?;
        }
        if !matches!(node.runner, Runner::Agent(_)) {
            node.able();
        }
        Ok(node)
    }

    /// Another process serves at the same addresses, until it has handed over.
    pub fn takes_over(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Binds the fronts, and waits for the next process that takes over.
    fn open_fronts(&mut self) -> Result<(), NodeError> {
        let (hub, shared, config) = (&self.hub, self.predecessor.is_some(), &self.config);
        let mut fronts = Vec::new();
        let mut bound = |key, wire: &str, address: SocketAddr, bound: io::Result<Front>| {
            let front = bound.map_err(|source| NodeError::Frontend { key, address, source })?;
            info!("{} takes {wire} on {}", config.name, front.address);
            fronts.push(front);
            Ok::<(), NodeError>(())
        };
        let plain = |stream, place: Place| spawn(move || place.serve(stream, http::Http));
        bound("listen", "HTTP", config.listen, listen(config.listen, hub, shared, plain))?;
        if let Some(address) = config.appliance.scgi_listen {
            let scgi = |stream, place: Place| spawn(move || place.serve(stream, scgi::Scgi));
            bound("scgi.listen", "SCGI", address, listen(address, hub, shared, scgi))?;
        }
        if let Some(address) = config.appliance.tls_listen {
            let tls = tls::config(self.certificate.clone())?;
            let secure = move |stream, place: Place| {
                let tls = tls.clone();
                spawn_with_large_stack(move || {
                    if let Ok(stream) = tls::accept(stream, &tls) {
                        place.serve(stream, http::Http);
                    }
                });
            };
            bound("tls.listen", "HTTPS", address, listen(address, hub, shared, secure))?;
        }
        self.fronts = fronts;
        if let Some(path) = &self.config.handover {
            match handover::listen_for_successor(path, &self.hub) {
                Ok(successor) => self.successor = successor,
                Err(e) => warn!("no process can take over from this one: {}: {e}", path.display()),
            }
        }
        Ok(())
    }

    /// Requests can be run: the process that served before is asked to hand over, or callers are served.
    fn able(&mut self) {
        match &self.predecessor {
            Some(predecessor) if self.fronts.is_empty() => {
                let predecessor = predecessor.clone();
                // Asked once while it waits for its lease, however often the agent greets meanwhile.
                if self.hub.routing.is_none() || !std::mem::replace(&mut self.begins, true) {
                    call_routing::when_ready(&self.hub, move || {
                        predecessor.send(handover::HandoverMessage::Begin)
                    });
                }
            }
            _ => self.hub.ready.store(true, Ordering::Release),
        }
    }

    /// Takes callers; a process that served before has handed over, or is gone.
    fn take_callers(&mut self) {
        if self.fronts.is_empty() && !self.hub.has_stopped_accepting() {
            self.fault = self.open_fronts().err();
            self.hub.ready.store(true, Ordering::Release);
        }
    }

    /// A handle for other threads.
    pub fn handle(&self) -> Handle {
        Handle(self.hub.clone())
    }

    /// Runs until the server has left.
    ///
    /// # Errors
    /// [`NodeError`] where it took over from another process and cannot serve.
    pub fn run(mut self) -> Result<(), NodeError> {
        let mut leaving = false;
        loop {
            let wait = self
                .core
                .next_timer()
                .map_or(Duration::from_secs(1), |at| at.saturating_sub(self.hub.clock.now()));
            let wait = if leaving { wait.min(LEAVE_LOOK) } else { wait };
            let first = match self.inbox.recv_timeout(wait) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => break,
            };
            let mut batch: Vec<Input> = first.into_iter().collect();
            batch.extend(self.inbox.try_iter().take(BATCH));
            self.hub.queued_inputs.fetch_sub(batch.len(), Ordering::Relaxed);
            self.hub.clock.observe_wall_clock();
            for effect in self.core.step(self.hub.clock.now(), batch) {
                leaving |= effect == Effect::Leave;
                self.perform(effect);
            }
            if let Some(fault) = self.fault {
                return Err(fault);
            }
            if leaving && self.has_closed() {
                break;
            }
        }
        if let Some(fleet) = &self.hub.fleet {
            fleet.leave();
        }
        if let Some(driver) = &self.driver {
            driver.leave();
        }
        // Answers for the process that ran before may still be queued.
        if let Some(predecessor) = &self.predecessor {
            predecessor.flush();
        }
        self.successor.flush();
        info!("counters at exit: {}", self.core.counters());
        info!("connections closed: {}", self.hub.closes);
        Ok(())
    }

    /// Nobody can connect any more, and all connections are closed. Those that are owed nothing have had their time.
    fn has_closed(&self) -> bool {
        if self.hub.stopped_accepting_for().is_some_and(|since| since > front::CLOSING_PATIENCE) {
            self.hub.evict_all();
        }
        self.fronts.iter().all(Front::is_closed) && self.hub.connections().is_empty()
    }

    /// Stops taking connections on all fronts.
    fn stop_fronts(&self, has_successor: bool) {
        self.fronts.iter().for_each(|front| front.stop(has_successor));
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { conn, answer } => match self.hub.send_answer(conn, &answer) {
                AnswerResult::Queued => {}
                AnswerResult::NotOwed => {
                    warn!("violation: an answer that nothing asked for was withheld: connection {conn}");
                    self.hub.push_nonblocking(Input::Violated);
                }
                AnswerResult::NoConnection => {
                    if let Some(predecessor) = &self.predecessor {
                        predecessor.answer(conn, &answer);
                    }
                }
            },
            Effect::Agent { link, number, command } => match &self.runner {
                Runner::Agent(agent) => agent.send(agent::OutgoingCommand { link, number, command }),
                Runner::Application(application) => application.send(command),
                Runner::None => {}
            },
            Effect::Call { handle, attempt, fresh, earlier, patience, body, route, .. } => {
                match &self.below {
                    Below::Vault(vault) => vault.send(vault::Order::Ask {
                        handle,
                        attempt,
                        fresh,
                        earlier,
                        timeout: patience,
                        body,
                        route,
                    }),
                    Below::Scgi(service) => scgi::call(*service, &self.hub, handle, attempt, patience, body),
                }
            }
            Effect::Uncall { handle, attempt } => {
                // An SCGI call has no word for this: it ends with its own time.
                if let Below::Vault(vault) = &self.below {
                    vault.send(vault::Order::Unask { handle, attempt });
                }
            }
            Effect::Count { route, kind } => {
                if let Some(routing) = &self.hub.routing {
                    routing.count(&route, kind);
                }
            }
            Effect::TrimIdle(after) => {
                let us = u64::try_from(after.as_micros()).unwrap_or(u64::MAX);
                self.hub.idle_limit_us.store(us, Ordering::Relaxed);
            }
            Effect::Draining => {
                info!("leaving: counters so far: {}", self.core.counters());
                self.hub.begin_drain();
                if let Some(fleet) = &self.hub.fleet {
                    fleet.draining(true);
                }
            }
            Effect::List(ready) => self.control.store(ready, Ordering::Relaxed),
            Effect::Relink => {
                let links = self.hub.links();
                info!("the configuration was read again: {links:?}");
                if let Runner::Agent(agent) = &self.runner {
                    agent.relink();
                }
                if let Below::Vault(vault) = &self.below {
                    vault.send(vault::Order::Relink);
                }
            }
            Effect::StopListening => {
                info!("takes no new connections; closed so far: {}", self.hub.closes);
                self.hub.stop_accepting();
                self.stop_fronts(false);
            }
            Effect::Ready => self.able(),
            Effect::HandOver { keys, standby } => {
                info!("hands over to a new process: {} keys", keys.len());
                self.hub.set_descriptor_share(true);
                let clock = &self.hub.clock;
                let on_wall_clock = |key: KeyState| KeyState { until: clock.to_wall(key.until), ..key };
                let keys = keys.into_iter().map(on_wall_clock).collect();
                self.successor.send(handover::HandoverMessage::Keys(keys, standby));
                if let Some(fleet) = &self.hub.fleet {
                    fleet.release();
                }
                if let Some(driver) = &self.driver {
                    driver.release();
                }
            }
            Effect::Forward(mut request) => {
                request.start = self.hub.clock.to_wall(request.start);
                self.successor.send(handover::HandoverMessage::Request(request));
            }
            Effect::Settled { key, ran, result } => {
                self.successor.send(handover::HandoverMessage::KeyResolved(key, ran, result));
            }
            Effect::Listen => self.take_callers(),
            Effect::Alone => {
                self.hub.set_descriptor_share(false);
                self.take_callers();
                self.predecessor = None;
            }
            Effect::GiveUp => {
                self.fault = Some(NodeError::HandoverAborted);
            }
            Effect::Yield => {
                self.hub.has_yielded.store(true, Ordering::Relaxed);
                self.stop_fronts(true);
                let counters = format!("{}", self.core.counters());
                let stopped = self.fronts.clone();
                // Said only then: whoever reads it finds the other process at the address, and nobody else.
                spawn(move || {
                    while !stopped.iter().all(Front::is_closed) {
                        spawn::sleep(LEAVE_LOOK);
                    }
                    info!("leaves to the process that took over: counters so far: {counters}");
                });
            }
            Effect::Leave => info!("all is answered"),
            Effect::Log(text) => info!("{text}"),
            Effect::Told { ticket, lines } => {
                if let Some(asker) = self.hub.queries().remove(&ticket) {
                    let _ = asker.send(lines);
                }
            }
        }
    }
}
