//! Effects on sockets: the fronts that callers connect to, and the links to agent, vault and control plane.
//!
//! Everything that happens goes through one inbox to the reducer's thread; each connection has a coroutine
//! that reads and is its only writer, so a peer that stops reading holds up nobody else.

pub mod agent;
pub mod control;
pub mod fields;
pub mod front;
pub mod http;
mod lines;
pub mod scgi;
mod spawn;
mod tls;
pub mod vault;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use may::net::{TcpListener, TcpStream};
use may::sync::mpsc as co;
use tracing::{info, warn};

use crate::acme::Shared;
use crate::core::{Answer, ConnId, Core, Effect, Input, Query};
use crate::settings::Config;
use spawn::spawn_deep;
pub use spawn::{spawn, start_runtime};

/// Inputs that may wait for the reducer; beyond that, whoever brings more waits.
const INBOX_ROOM: usize = 4096;
/// Inputs that the reducer takes at once.
const BATCH: usize = 1024;
/// Descriptors kept back for the agent, the vault, runs and calls at SCGI services, files and the runtime; half
/// of them where there are few.
const RESERVED_SOCKETS: usize = 128;
/// Wait after a failed accept, so that a full table of descriptors is no busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// While leaving, the connections are looked at this often.
const LEAVE_LOOK: Duration = Duration::from_millis(5);

/// Time since the Unix epoch that only goes forward: the system's clock, read once, and steps from there.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    /// Reads the system's clock.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix }
    }

    /// The time now.
    pub fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// What all coroutines share.
pub struct Hub {
    inbox: Sender<Input>,
    waiting: AtomicUsize,
    ports: Mutex<HashMap<ConnId, co::Sender<Arc<Answer>>>>,
    next_conn: AtomicU64,
    most_connections: usize,
    trim_us: AtomicU64,
    closed: AtomicBool,
    queries: Mutex<HashMap<u64, Sender<Lines>>>,
    next_query: AtomicU64,
}

/// Names and values for people.
type Lines = Vec<(String, String)>;

impl Hub {
    fn new(inbox: Sender<Input>, most_connections: usize) -> Self {
        Self {
            inbox,
            waiting: AtomicUsize::new(0),
            ports: Mutex::default(),
            next_conn: AtomicU64::new(1),
            most_connections,
            trim_us: AtomicU64::new(u64::MAX),
            closed: AtomicBool::new(false),
            queries: Mutex::default(),
            next_query: AtomicU64::new(1),
        }
    }

    /// Brings an input to the reducer; called from coroutines, it waits while the inbox is full.
    pub fn push(&self, input: Input) {
        while self.waiting.load(Ordering::Relaxed) >= INBOX_ROOM {
            may::coroutine::sleep(Duration::from_millis(1));
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        // The reducer's end is gone only while the process ends.
        let _ = self.inbox.send(input);
    }

    fn queries(&self) -> MutexGuard<'_, HashMap<u64, Sender<Lines>>> {
        self.queries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ports(&self) -> MutexGuard<'_, HashMap<ConnId, co::Sender<Arc<Answer>>>> {
        self.ports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A place for a new connection, and where its answers come; none if there is no room.
    fn open(self: &Arc<Self>) -> Option<Port> {
        let mut ports = self.ports();
        if ports.len() >= self.most_connections {
            return None;
        }
        let conn = self.next_conn.fetch_add(1, Ordering::Relaxed);
        let (sender, answers) = co::channel();
        ports.insert(conn, sender);
        Some(Port { conn, answers, hub: self.clone() })
    }

    /// How long a connection may be idle; none is kept once the server takes no new ones.
    fn idle_limit(&self) -> Duration {
        match self.is_closed() {
            true => Duration::ZERO,
            false => Duration::from_micros(self.trim_us.load(Ordering::Relaxed)),
        }
    }

    /// The server takes no new connections, and waits for no more of a request than is there.
    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }
}

/// A connection's place among all; it is given up however the connection's coroutine ends.
struct Port {
    conn: ConnId,
    answers: co::Receiver<Arc<Answer>>,
    hub: Arc<Hub>,
}

impl Port {
    fn serve(&self, stream: impl front::Stream, wire: impl front::Wire) {
        front::serve(stream, wire, self.conn, &self.answers, &self.hub);
    }
}

impl Drop for Port {
    fn drop(&mut self) {
        self.hub.ports().remove(&self.conn);
    }
}

/// Takes connections on a front until the server leaves.
fn accept(listener: TcpListener, hub: &Arc<Hub>, serve: impl Fn(TcpStream, Port)) {
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!("accept: {e}");
                may::coroutine::sleep(ACCEPT_PAUSE);
                continue;
            }
        };
        if hub.is_closed() {
            return;
        }
        // Past the limit new connections are closed unread; what was read keeps its descriptor.
        if let Some(port) = hub.open() {
            serve(stream, port);
        }
    }
}

/// Binds a front and starts to take connections there.
fn listen(
    address: SocketAddr,
    hub: &Arc<Hub>,
    serve: impl Fn(TcpStream, Port) + Send + 'static,
) -> io::Result<SocketAddr> {
    // May's listener shares its port with any other that does the same: a second server started by mistake would
    // take half of the first one's callers. A plain listener fails where somebody listens.
    drop(std::net::TcpListener::bind(address)?);
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let hub = hub.clone();
    spawn(move || accept(listener, &hub, serve));
    Ok(bound)
}

/// Ends the accepting coroutine on `address`, and with it the listener: it looks after each connection.
fn stop_listening(address: SocketAddr) {
    spawn(move || drop(TcpStream::connect(address)));
}

/// A handle for parts outside the reducer, such as the signal handler.
#[derive(Clone)]
pub struct Handle(Arc<Hub>);

impl Handle {
    /// Begins to leave.
    pub fn drain(&self) {
        self.0.push(Input::Drain);
    }

    /// Asks the reducer, and waits for its answer; to be called from threads only.
    pub fn query(&self, query: Query, patience: Duration) -> Option<Vec<(String, String)>> {
        let (sender, receiver) = std::sync::mpsc::channel();
        let ticket = self.0.next_query.fetch_add(1, Ordering::Relaxed);
        self.0.queries().insert(ticket, sender);
        self.0.push(Input::Query { ticket, query });
        let lines = receiver.recv_timeout(patience).ok();
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
    clock: Clock,
    hub: Arc<Hub>,
    inbox: Receiver<Input>,
    runner: Runner,
    below: Below,
    control: Arc<AtomicBool>,
    listeners: Vec<SocketAddr>,
}

impl Node {
    /// Binds the fronts and starts the links.
    pub fn start(config: &Config, certificate: Shared) -> Result<Self, String> {
        let clock = Clock::new();
        let (sender, inbox) = std::sync::mpsc::channel();
        let most = (config.sockets - RESERVED_SOCKETS.min(config.sockets / 2)).max(1);
        let hub = Arc::new(Hub::new(sender, most));
        let classes = config.site.class_names.clone();
        let core = Core::new(config.site.clone(), config.seed, config.stop_after, clock.now())?;
        let mut listeners = Vec::new();
        let mut bound = |key: &str, front: &str, address: SocketAddr, bound: io::Result<SocketAddr>| {
            let bound = bound.map_err(|e| format!("{key}: {address}: {e}"))?;
            info!("{} takes {front} on {bound}", config.name);
            listeners.push(bound);
            Ok::<(), String>(())
        };
        let plain = |stream, port: Port| spawn(move || port.serve(stream, http::Http));
        bound("listen", "HTTP", config.listen, listen(config.listen, &hub, plain))?;
        if let Some(address) = config.appliance.scgi_listen {
            let scgi = |stream, port: Port| spawn(move || port.serve(stream, scgi::Scgi));
            bound("scgi.listen", "SCGI", address, listen(address, &hub, scgi))?;
        }
        if let Some(address) = config.appliance.tls_listen {
            let tls = tls::config(certificate)?;
            let secure = move |stream, port: Port| {
                let tls = tls.clone();
                spawn_deep(move || {
                    if let Ok(stream) = tls::accept(stream, &tls) {
                        port.serve(stream, http::Http);
                    }
                });
            };
            bound("tls.listen", "HTTPS", address, listen(address, &hub, secure))?;
        }
        let runner = match (config.agent, config.appliance.scgi_application) {
            (Some(address), _) => Runner::Agent(agent::Link::start(address, classes, &hub)),
            (None, Some(address)) => Runner::Application(scgi::Application::new(address, classes, &hub)),
            (None, None) => Runner::None,
        };
        let below = match config.appliance.scgi_below.filter(|_| config.vault.is_none()) {
            Some(address) => Below::Scgi(address),
            None => Below::Vault(vault::Link::start(config.vault, &hub)),
        };
        let control = Arc::new(AtomicBool::new(true));
        if let Some(address) = config.control {
            control::start(address, config.listen.ip(), config.name.clone(), control.clone());
        }
        Ok(Self { core, clock, hub, inbox, runner, below, control, listeners })
    }

    /// A handle for other threads.
    pub fn handle(&self) -> Handle {
        Handle(self.hub.clone())
    }

    /// Runs until the server has left.
    pub fn run(mut self) {
        let mut leaving = false;
        loop {
            let wait = self
                .core
                .next_timer()
                .map_or(Duration::from_secs(1), |at| at.saturating_sub(self.clock.now()));
            let wait = if leaving { wait.min(LEAVE_LOOK) } else { wait };
            let first = match self.inbox.recv_timeout(wait) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => break,
            };
            let mut batch: Vec<Input> = first.into_iter().collect();
            batch.extend(self.inbox.try_iter().take(BATCH));
            self.hub.waiting.fetch_sub(batch.len(), Ordering::Relaxed);
            for effect in self.core.step(self.clock.now(), batch) {
                leaving |= effect == Effect::Leave;
                self.perform(effect);
            }
            if leaving && self.hub.ports().is_empty() {
                break;
            }
        }
        info!("counters at exit: {}", self.core.counters());
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { conn, answer } => {
                if let Some(port) = self.hub.ports().get(&conn) {
                    let _ = port.send(answer);
                }
            }
            Effect::Agent(command) => match &self.runner {
                Runner::Agent(agent) => agent.send(command),
                Runner::Application(application) => application.send(command),
                Runner::None => {}
            },
            Effect::Call { handle, attempt, patience, body } => match &self.below {
                Below::Vault(vault) => vault.send(vault::Order::Ask { handle, attempt, patience, body }),
                Below::Scgi(service) => scgi::call(*service, &self.hub, handle, attempt, patience, body),
            },
            Effect::Uncall { handle } => {
                // An SCGI call has no word for this: it ends with its own time.
                if let Below::Vault(vault) = &self.below {
                    vault.send(vault::Order::Unask { handle });
                }
            }
            Effect::TrimIdle(after) => {
                let us = u64::try_from(after.as_micros()).unwrap_or(u64::MAX);
                self.hub.trim_us.store(us, Ordering::Relaxed);
            }
            Effect::Draining => {
                info!("leaving: counters so far: {}", self.core.counters());
                self.control.store(false, Ordering::Relaxed);
            }
            Effect::StopListening => {
                self.hub.closed.store(true, Ordering::Relaxed);
                self.listeners.iter().for_each(|at| stop_listening(*at));
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
