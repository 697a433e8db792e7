//! The network side of the program: the frontends that clients connect to, and the links to the agent, the vault and
//! the control plane.
//!
//! [`Node`] runs the reducer ([`Core`]) on one thread and performs its effects. All inputs reach the reducer through
//! one inbox, which is part of the [`Hub`]. Each connection has a coroutine that reads from it and is its only writer,
//! so that a peer that stops reading delays no other connection. [`NodeHandle`] gives other threads access to a node.

pub mod admin;
pub mod agent;
pub mod call_routing;
pub mod clock;
mod close_counts;
pub mod connection_table;
pub mod control;
pub mod decoder;
mod disconnect_watch;
pub mod error;
pub mod fields;
pub mod frontend;
pub mod handover;
mod handshake_filter;
pub mod http;
mod hub;
pub mod lines;
mod lingering_close;
mod listen;
mod metrics;
mod pacing;
mod pending_answers;
mod request_log;
pub mod scgi;
pub mod socket_retry;
mod spawn;
mod stall_detector;
mod stated_time;
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

use crate::acme::SharedCertificate;
use crate::core::{AskId, Core, Effect, Input, KeyState, Peer, Query};
use crate::fleet;
use crate::settings::{Config, Links};
use call_routing::Router;
pub use error::NodeError;
use hub::AnswerResult;
pub use hub::Hub;
use listen::{accept_next, listen, ConnectionSlot, Frontend};
use spawn::spawn_with_large_stack;
pub use spawn::{sleep, spawn, start_runtime};

/// The highest number of further inputs that the reducer takes in one step.
const BATCH: usize = 1024;
/// How long a process of an earlier version keeps the handles that it is handed as keys.
const PAST_RUN_LIFETIME: Duration = Duration::from_secs(10);
/// How often to check whether all connections and listeners are closed.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A handle to a running node for other threads, such as the signal handler.
#[derive(Clone)]
pub struct NodeHandle(Arc<Hub>);

impl NodeHandle {
    /// Whether clients connect to this process. They do not while its predecessor has not handed over.
    pub fn accepts_clients(&self) -> bool {
        self.0.accepts_clients.load(Ordering::Acquire)
    }

    /// Begins to drain.
    pub fn drain(&self) {
        // The grace period counts from here, and must not be delayed by a full inbox.
        let signalled_at = self.0.clock.now();
        let sent_at = self.0.stalls.earliest_sending(signalled_at);
        self.0.push_nonblocking(Input::Drain { signalled_at, sent_at });
    }

    /// Applies other settings, and moves the links to new addresses. A link is neither added nor removed: one that is
    /// in use and has no new address keeps its old one.
    pub fn reload(&self, config: &Config) {
        let links = config.links();
        let mut current = self.0.links.lock().unwrap_or_else(PoisonError::into_inner);
        let merge = |new: Option<SocketAddr>, old: Option<SocketAddr>| new.filter(|_| old.is_some()).or(old);
        *current = Links {
            agent: merge(links.agent, current.agent),
            vault: merge(links.vault, current.vault),
            control: merge(links.control, current.control),
        };
        drop(current);
        let classes = config.site.class_names.clone();
        *self.0.classes.lock().unwrap_or_else(PoisonError::into_inner) = classes;
        let (site, stop_after) = (Box::new(config.site.clone()), config.stop_after);
        self.0.push(Input::Reload { site, stop_after });
    }

    /// Sends a query to the reducer and waits for the result; to be called from threads only, not from coroutines.
    pub fn query(&self, query: Query, timeout: Duration) -> Option<Vec<(String, String)>> {
        let (ticket, answer) = self.0.submit_query(query);
        let lines = answer.recv_timeout(timeout).ok();
        self.0.queries.forget(ticket);
        lines
    }

    /// Has the counters logged, and the last events of all requests.
    pub fn log_counters(&self) {
        self.0.push(Input::LogCounters);
        self.0.request_log.write_all();
    }
}

/// What runs the requests.
enum Runner {
    Agent(agent::Link),
    Application(scgi::Application),
    None,
}

/// What receives the calls to the dependency.
enum Dependency {
    Vault(vault::Link),
    Scgi(SocketAddr),
}

/// A running matcher: the reducer with all its connections and links.
pub struct Node {
    core: Core,
    hub: Arc<Hub>,
    inbox: Receiver<Input>,
    runner: Runner,
    dependency: Dependency,
    control: Arc<AtomicBool>,
    /// The frontends; empty until this process accepts clients.
    frontends: Vec<Frontend>,
    config: Config,
    certificate: SharedCertificate,
    /// The predecessor, until it has handed over and exited.
    predecessor: Option<handover::PeerProcess>,
    /// The process that takes over from this one.
    successor: handover::PeerProcess,
    /// The predecessor is asked to hand over as soon as this process may use the fleet's routes.
    handover_requested: bool,
    /// This process's part in the fleet's routes, if routes are enabled.
    driver: Option<fleet::Driver>,
    /// The error that ends the node.
    fatal_error: Option<NodeError>,
}

impl Node {
    /// Binds the frontends and starts the links. With a predecessor, the frontends are bound once it has handed over.
    ///
    /// # Errors
    /// [`NodeError`] where an address cannot be bound, a thread cannot be started, or the settings are unusable.
    pub fn start(config: &Config, certificate: SharedCertificate) -> Result<Self, NodeError> {
        let (sender, inbox) = std::sync::mpsc::channel();
        let fleet = config.fleet().map(fleet::MembershipHandle::start).transpose()?;
        let answers = fleet.as_ref().map(fleet::MembershipHandle::answers).unwrap_or_default();
        let driver = config
            .routes()
            .map(|options| fleet::Driver::start_with_membership(options, answers))
            .transpose()?;
        let routing = driver.as_ref().map(|driver| Arc::new(driver.routing()) as Arc<dyn Router>);
        let classes = config.site.class_names.clone();
        let hub = Arc::new(Hub::new(sender, config.sockets, config.links(), classes, fleet, routing));
        hub.limit_connections(config.memory.connections);
        call_routing::start(&hub);
        let mut core = Core::new(config.site.clone(), config.seed, config.stop_after, hub.clock.now())?;
        core.set_memory_budget(config.memory);
        let runner = match (config.agent, config.appliance.scgi_application) {
            (Some(_), _) => Runner::Agent(agent::Link::start(&hub)),
            (None, Some(address)) => {
                core.run_without_link();
                Runner::Application(scgi::Application::new(address, &hub))
            }
            (None, None) => Runner::None,
        };
        let dependency = match config.appliance.scgi_below.filter(|_| config.vault.is_none()) {
            // Settings that enable routes as well are rejected, because calls to such a service carry no fence.
            Some(address) if hub.routing.is_none() => {
                core.use_dedicated_call_connections();
                Dependency::Scgi(address)
            }
            _ => Dependency::Vault(vault::Link::start(&hub)),
        };
        let control = Arc::new(AtomicBool::new(true));
        if config.control.is_some() {
            control::start(&hub, config.listen.ip(), config.name.clone(), control.clone());
        }
        if let Some(address) = config.admin {
            admin::start(address, &hub).map_err(|source| NodeError::Admin { address, source })?;
        }
        disconnect_watch::start(&hub);
        let predecessor =
            config.handover.as_ref().and_then(|path| handover::connect_to_predecessor(path, &hub));
        let mut node = Self {
            core,
            hub,
            inbox,
            runner,
            dependency,
            control,
            frontends: Vec::new(),
            config: config.clone(),
            certificate,
            predecessor,
            successor: handover::PeerProcess::default(),
            handover_requested: false,
            driver,
            fatal_error: None,
        };
        node.hub.set_descriptor_share(node.predecessor.is_some());
        if node.predecessor.is_none() {
            node.open_frontends()?;
        }
        if !matches!(node.runner, Runner::Agent(_)) {
            node.on_runner_ready();
        }
        Ok(node)
    }

    /// Another process of this matcher serves at the same addresses until it has handed over.
    pub fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Binds the frontends, and listens for a successor process.
    fn open_frontends(&mut self) -> Result<(), NodeError> {
        let (hub, shared, config) = (&self.hub, self.predecessor.is_some(), &self.config);
        let mut frontends = Vec::new();
        let mut add = |key, wire: &str, address: SocketAddr, bound: io::Result<Frontend>| {
            let frontend = bound.map_err(|source| NodeError::Frontend { key, address, source })?;
            info!("{} takes {wire} on {}", config.name, frontend.address);
            frontends.push(frontend);
            Ok::<(), NodeError>(())
        };
        let http = |stream, slot: ConnectionSlot| spawn(move || slot.serve(stream, http::Http));
        add("listen", "HTTP", config.listen, listen(config.listen, hub, shared, http))?;
        if let Some(address) = config.appliance.scgi_listen {
            let scgi = |stream, slot: ConnectionSlot| spawn(move || slot.serve(stream, scgi::Scgi));
            add("scgi.listen", "SCGI", address, listen(address, hub, shared, scgi))?;
        }
        if let Some(address) = config.appliance.tls_listen {
            let tls = tls::server_config(self.certificate.clone())?;
            let https = move |stream, slot: ConnectionSlot| {
                let tls = tls.clone();
                spawn_with_large_stack(move || {
                    if let Ok(stream) = tls::accept(stream, &tls) {
                        slot.serve(stream, http::Http);
                    }
                });
            };
            add("tls.listen", "HTTPS", address, listen(address, hub, shared, https))?;
        }
        self.frontends = frontends;
        self.hub.accepts_clients.store(true, Ordering::Release);
        if let Some(path) = &self.config.handover {
            match handover::listen_for_successor(path, &self.hub) {
                Ok(successor) => self.successor = successor,
                Err(e) => warn!("cannot listen for a successor process on {}: {e}", path.display()),
            }
        }
        Ok(())
    }

    /// Requests can be run from now on: asks the predecessor to hand over, or reports this process as ready.
    fn on_runner_ready(&mut self) {
        match &self.predecessor {
            Some(predecessor) if self.frontends.is_empty() => {
                let predecessor = predecessor.clone();
                // Requested once while this process waits for its lease, however often the agent sends greetings.
                if self.hub.routing.is_none() || !std::mem::replace(&mut self.handover_requested, true) {
                    call_routing::when_ready(&self.hub, move || {
                        predecessor.send(handover::HandoverMessage::Begin);
                    });
                }
            }
            _ => self.hub.ready.store(true, Ordering::Release),
        }
    }

    /// Accepts clients: the predecessor has handed over or exited.
    fn accept_clients(&mut self) {
        if self.frontends.is_empty() && !self.hub.has_stopped_accepting() {
            self.fatal_error = self.open_frontends().err();
            self.hub.ready.store(true, Ordering::Release);
        }
    }

    /// Sends a standby order to a peer process. Returns false if the link to it has ended.
    fn send_standby(&self, peer: Peer, standby: bool) -> bool {
        let process = match peer {
            Peer::Successor => Some(&self.successor),
            Peer::Predecessor => self.predecessor.as_ref(),
        };
        process.is_some_and(|process| process.send(handover::HandoverMessage::Standby(standby)))
    }

    /// Passes a standby order on to peer processes, and answers it if they have all been told.
    fn share_standby(&self, standby: bool, with: Vec<Peer>, ticket: Option<u64>) {
        let not_sent: Vec<_> = with.into_iter().filter(|peer| !self.send_standby(*peer, standby)).collect();
        let Some(ticket) = ticket else { return };
        if not_sent.is_empty() {
            self.hub.standby_orders.answer(ticket, true);
        }
        for peer in not_sent {
            self.hub.push_nonblocking(Input::StandbyNotSent { peer, ticket });
        }
    }

    /// Returns a handle for other threads.
    pub fn handle(&self) -> NodeHandle {
        NodeHandle(self.hub.clone())
    }

    /// Runs until the node has drained and closed all connections.
    ///
    /// # Errors
    /// [`NodeError`] where this process took over from another one and cannot serve.
    pub fn run(mut self) -> Result<(), NodeError> {
        let mut exiting = false;
        loop {
            let wait = self
                .core
                .next_timer()
                .map_or(Duration::from_secs(1), |at| at.saturating_sub(self.hub.clock.now()));
            let wait = if exiting { wait.min(EXIT_POLL_INTERVAL) } else { wait };
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
                exiting |= effect == Effect::Exit;
                self.perform(effect);
            }
            if let Some(fatal_error) = self.fatal_error {
                return Err(fatal_error);
            }
            if exiting && self.all_closed() {
                break;
            }
        }
        if let Some(fleet) = &self.hub.fleet {
            fleet.leave();
        }
        if let Some(driver) = &self.driver {
            driver.stop();
        }
        // Answers that the predecessor is to send may still be queued.
        if let Some(predecessor) = &self.predecessor {
            predecessor.flush();
        }
        self.successor.flush();
        info!("counters at exit: {}", self.core.counters());
        info!("connections closed: {}", self.hub.closes);
        Ok(())
    }

    /// All listeners and connections are closed. Evicts connections that are owed no answer once the time for partial
    /// requests is over.
    fn all_closed(&self) -> bool {
        if self.hub.stopped_accepting_for().is_some_and(|since| since > frontend::FINAL_READ_TIMEOUT) {
            self.hub.evict_all();
        }
        self.frontends.iter().all(Frontend::is_closed) && self.hub.connections().is_empty()
    }

    /// Stops accepting connections on all frontends.
    fn stop_frontends(&self, has_successor: bool) {
        self.frontends.iter().for_each(|frontend| frontend.stop(has_successor));
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { conn, answer } => match self.hub.send_answer(conn, &answer) {
                AnswerResult::Queued => {}
                AnswerResult::NotOwed => {
                    warn!("violation: withheld an answer that connection {conn} is not owed");
                    self.hub.push_nonblocking(Input::ViolationDetected);
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
            Effect::Call {
                handle, cursor, attempt, fresh, earlier_replies, timeout, body, route, ..
            } => {
                let ask = AskId { handle, cursor, attempt };
                match &self.dependency {
                    Dependency::Vault(vault) => {
                        vault.send(vault::Order::Ask { ask, fresh, earlier_replies, timeout, body, route })
                    }
                    Dependency::Scgi(service) => scgi::call(*service, &self.hub, ask, timeout, body),
                }
            }
            Effect::CancelCall { handle, attempt } => {
                // SCGI has no message to cancel a call: the call ends with its own timeout.
                if let Dependency::Vault(vault) = &self.dependency {
                    vault.send(vault::Order::Unask { handle, attempt });
                }
            }
            Effect::CountAnswer { route, kind } => {
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
            Effect::ReportReadiness(ready) => self.control.store(ready, Ordering::Relaxed),
            Effect::Relink => {
                let links = self.hub.links();
                info!("the configuration was read again: {links:?}");
                if let Runner::Agent(agent) = &self.runner {
                    agent.relink();
                }
                if let Dependency::Vault(vault) = &self.dependency {
                    vault.send(vault::Order::Relink);
                }
            }
            Effect::StopListening => {
                info!("stopped accepting connections; closed so far: {}", self.hub.closes);
                self.hub.stop_accepting();
                self.stop_frontends(false);
            }
            Effect::Ready => self.on_runner_ready(),
            Effect::HandOver { keys, past_runs, standby } => {
                info!("hands over to a new process: {} keys", keys.len());
                self.hub.set_descriptor_share(true);
                let clock = &self.hub.clock;
                let on_wall_clock = |key: KeyState| KeyState { until: clock.to_wall(key.until), ..key };
                let keys = keys.into_iter().map(on_wall_clock).collect();
                let until = clock.to_wall(clock.now() + PAST_RUN_LIFETIME);
                self.successor.send(handover::HandoverMessage::PastRuns { handles: past_runs, until });
                self.successor.send(handover::HandoverMessage::Keys(keys, standby));
                if let Some(fleet) = &self.hub.fleet {
                    fleet.release();
                }
                if let Some(driver) = &self.driver {
                    driver.release_record();
                }
            }
            Effect::ShareStandby { standby, with, ticket } => {
                self.share_standby(standby, with, ticket);
            }
            Effect::StandbyOutcome { ticket, is_shared } => {
                self.hub.standby_orders.answer(ticket, is_shared);
            }
            Effect::Forward(mut request) => {
                request.start = self.hub.clock.to_wall(request.start);
                self.successor.send(handover::HandoverMessage::Request(request));
            }
            Effect::KeyResolved { key, ran, result } => {
                self.successor.send(handover::HandoverMessage::KeyResolved(key, ran, result));
            }
            Effect::Listen => self.accept_clients(),
            Effect::PeerExited => {
                self.hub.set_descriptor_share(false);
                self.accept_clients();
                self.predecessor = None;
            }
            Effect::AbortTakeover => {
                self.fatal_error = Some(NodeError::HandoverAborted);
            }
            Effect::YieldToSuccessor => {
                self.hub.has_yielded.store(true, Ordering::Relaxed);
                self.stop_frontends(true);
                let counters = format!("{}", self.core.counters());
                let stopped = self.frontends.clone();
                // Logged only once the listeners are closed, so that from then on only the successor accepts clients at
                // the address.
                spawn(move || {
                    while !stopped.iter().all(Frontend::is_closed) {
                        spawn::sleep(EXIT_POLL_INTERVAL);
                    }
                    info!("yielded to the successor: counters so far: {counters}");
                });
            }
            Effect::Exit => info!("all requests are answered"),
            Effect::Log(text) => info!("{text}"),
            Effect::ReportViolation { handle, violation } => {
                self.hub.request_log.report_violation(handle, violation);
            }
            Effect::QueryResult { ticket, lines } => {
                self.hub.queries.answer(ticket, lines);
            }
        }
    }
}
