//! Runs the [`Membership`] on a UDP socket and a thread of its own. A [`MembershipHandle`] never waits for a peer: it
//! sends orders to the thread through a bounded queue, and reads the status that the thread published last.

use std::io::ErrorKind;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use miette::Diagnostic;
use thiserror::Error;
use tracing::{info, warn};

use super::membership::view::{Change, Id, Metadata, State};
use super::membership::{self, Input, Membership, MAX_BYTES};
use super::posture::REACHABLE_PERIODS;
use super::status::Status;

/// The program version that this member publishes.
const VERSION: &str = env!("CARGO_PKG_VERSION");
/// Most orders that may wait for the thread.
const MAX_ORDERS: usize = 64;
/// How often the thread polls for orders.
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Most datagrams received before the timers are checked again.
const MAX_BATCH: usize = 256;
/// Delay after a failed bind: another process of this matcher may hold the address until it hands over.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a process that released the address does not bind it again.
const RELEASE_PAUSE: Duration = Duration::from_secs(5);
/// How long a leaving process waits until its last datagrams are sent.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Options of the membership thread.
#[derive(Clone, Debug)]
pub struct Options {
    /// The matcher's name.
    pub name: String,
    /// The fleet's name. Datagrams of another fleet are dropped.
    pub fleet: String,
    /// The address of the UDP socket.
    pub listen: SocketAddrV4,
    /// The address that other members send to; part of the member's identity.
    pub advertise: SocketAddrV4,
    /// Members to which this one announces itself at the start, and again while they are not up.
    pub seeds: Vec<SocketAddrV4>,
    /// The protocol period.
    pub period: Duration,
    /// How many runs the matcher can have at once.
    pub capacity: u32,
    /// Seed of the random choices.
    pub seed: u64,
}

/// An order from a handle to the thread.
enum Order {
    /// This matcher drains, or no longer does.
    Draining(bool),
    /// This matcher leaves the fleet.
    Leave,
    /// Another process of this matcher replaces it in the fleet.
    Release,
}

/// Why the membership could not be started.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum MembershipThreadError {
    /// The thread could not be created.
    #[error("fleet: the membership thread cannot be started: {kind}")]
    #[diagnostic(help(
        "raise the limit on threads of this process, or remove `fleet` from the appliance's settings file"
    ))]
    Thread {
        /// The operating system's error.
        kind: std::io::ErrorKind,
    },
}

/// The members that recently answered this process's probes. The posture uses them besides the record's links. Empty
/// without a membership.
#[derive(Clone, Debug, Default)]
pub struct ProbeAnswers {
    period: Duration,
    /// Members by name with the time at which the answered probe was sent; a few, as one member is probed per period.
    recent: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl ProbeAnswers {
    /// The membership's protocol period.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// The members that answered a probe of the last [`REACHABLE_PERIODS`] periods, with the time of the probe.
    pub fn recent(&self) -> Vec<(String, Instant)> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn publish(&self, recent: Vec<(String, Instant)>) {
        *self.recent.lock().unwrap_or_else(PoisonError::into_inner) = recent;
    }
}

/// Handle to the membership thread of this process.
#[derive(Clone)]
pub struct MembershipHandle {
    answers: ProbeAnswers,
    orders: SyncSender<Order>,
    status: Arc<Mutex<Option<Status>>>,
    ended: Arc<Mutex<Option<Receiver<()>>>>,
}

impl MembershipHandle {
    /// Starts the thread, which joins the fleet as soon as the address is free.
    ///
    /// # Errors
    /// [`MembershipThreadError`] if the thread cannot be created.
    pub fn start(options: Options) -> Result<Self, MembershipThreadError> {
        let (orders, received) = sync_channel(MAX_ORDERS);
        let (end, ended) = sync_channel(1);
        let status: Arc<Mutex<Option<Status>>> = Arc::default();
        let answers = ProbeAnswers { period: options.period, ..ProbeAnswers::default() };
        let ended = Arc::new(Mutex::new(Some(ended)));
        let handle = Self { orders, status: status.clone(), ended, answers: answers.clone() };
        let work = move || {
            // An order to drain before the address is bound is published after joining.
            let mut drains = false;
            while let Some(socket) = bind(options.listen, &received, &mut drains) {
                let capacity = options.capacity;
                let metadata =
                    Metadata { version: VERSION.into(), draining: drains, capacity, ..Metadata::default() };
                let worker = Worker::join(&options, metadata, socket, (status.clone(), answers.clone()));
                if worker.run(&received, &mut drains) == End::Left {
                    break;
                }
                // The other process waits for the address. If it ends, this process continues to serve and joins again.
                *status.lock().unwrap_or_else(PoisonError::into_inner) = None;
                answers.publish(Vec::new());
                if wait_for_leave(&received, RELEASE_PAUSE, &mut drains) {
                    break;
                }
            }
            let _ = end.send(());
        };
        let started = std::thread::Builder::new().name("fleet".into()).spawn(work);
        started.map_err(|e| MembershipThreadError::Thread { kind: e.kind() })?;
        Ok(handle)
    }

    /// The last published status of the fleet; `None` before the fleet is joined.
    pub fn status(&self) -> Option<Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The recent answers to probes, for the posture.
    pub fn answers(&self) -> ProbeAnswers {
        self.answers.clone()
    }

    /// Publishes to the fleet that this matcher drains, or no longer does.
    pub fn draining(&self, draining: bool) {
        // If the thread has ended or its queue is full, the order is dropped.
        let _ = self.orders.try_send(Order::Draining(draining));
    }

    /// Leaves the fleet, and waits a moment until the datagrams that announce it are sent.
    pub fn leave(&self) {
        self.send_and_wait(Order::Leave);
    }

    /// Releases the address to another process of this matcher without notifying the fleet.
    pub fn release(&self) {
        let _ = self.orders.try_send(Order::Release);
    }

    fn send_and_wait(&self, order: Order) {
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let (Ok(()), Some(ended)) = (self.orders.try_send(order), ended) {
            let _ = ended.recv_timeout(LEAVE_TIMEOUT);
        }
    }
}

/// Why a worker ended.
#[derive(PartialEq)]
enum End {
    Left,
    Released,
}

/// Waits for `duration`. Returns true if this process leaves before it has passed.
fn wait_for_leave(orders: &Receiver<Order>, duration: Duration, drains: &mut bool) -> bool {
    let since = Instant::now();
    loop {
        match orders.recv_timeout(duration.saturating_sub(since.elapsed())) {
            Ok(Order::Leave) | Err(RecvTimeoutError::Disconnected) => return true,
            Ok(Order::Draining(draining)) => *drains = draining,
            Ok(Order::Release) => {}
            Err(RecvTimeoutError::Timeout) => return false,
        }
    }
}

/// Binds the address once it is free. Returns `None` if this process leaves before.
fn bind(listen: SocketAddrV4, orders: &Receiver<Order>, drains: &mut bool) -> Option<UdpSocket> {
    let mut logged = false;
    loop {
        match UdpSocket::bind(listen) {
            Ok(socket) => return Some(socket),
            Err(e) if !logged => {
                logged = true;
                warn!("fleet.listen: {listen}: {e}; retrying until the address is free");
            }
            Err(_) => {}
        }
        if wait_for_leave(orders, BIND_RETRY_DELAY, drains) {
            return None;
        }
    }
}

/// What the handles of this process read.
type SharedState = (Arc<Mutex<Option<Status>>>, ProbeAnswers);

/// The membership between joining the fleet and leaving it or releasing the address.
struct Worker {
    socket: UdpSocket,
    member: Membership,
    period: Duration,
    began: Instant,
    status: Arc<Mutex<Option<Status>>>,
    answers: ProbeAnswers,
}

impl Worker {
    fn join(options: &Options, metadata: Metadata, socket: UdpSocket, shared: SharedState) -> Self {
        // Grows across restarts unless the system clock goes back. If it does, the others notify this process that it
        // is down, and it rejoins under a higher number.
        let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let id = Id { address: options.advertise, incarnation, name: options.name.clone() };
        let membership = membership::Options {
            id,
            fleet: options.fleet.clone(),
            seeds: options.seeds.clone(),
            period: options.period,
            seed: options.seed ^ incarnation,
        };
        info!(fleet = options.fleet, address = %options.advertise, incarnation, "fleet: joins");
        let member = Membership::new(membership, metadata);
        let began = Instant::now();
        let (status, answers) = shared;
        Self { socket, member, period: options.period, began, status, answers }
    }

    fn run(mut self, orders: &Receiver<Order>, drains: &mut bool) -> End {
        let mut publish_at = Duration::ZERO;
        let mut bytes = vec![0; MAX_BYTES + 1];
        loop {
            match orders.try_recv() {
                Ok(Order::Draining(draining)) => {
                    *drains = draining;
                    let metadata = Metadata { draining, ..self.member.metadata().clone() };
                    self.step(Input::Metadata(metadata));
                }
                Ok(Order::Leave) => {
                    self.step(Input::Leave);
                    info!("fleet: left");
                    return End::Left;
                }
                Ok(Order::Release) => {
                    info!("fleet: another process of this matcher takes over");
                    return End::Released;
                }
                Err(_) => {}
            }
            let wait = self.member.due().saturating_sub(self.began.elapsed());
            let wait = wait.clamp(Duration::from_millis(1), ORDER_POLL_INTERVAL);
            let _ = self.socket.set_read_timeout(Some(wait));
            for n in 0..MAX_BATCH {
                match self.socket.recv_from(&mut bytes) {
                    Ok((len, _)) => self.step(Input::Datagram(&bytes[..len])),
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break,
                    // The failure of an earlier datagram to a peer that is gone is reported here. The socket still
                    // works.
                    Err(_) => {}
                }
                if n == 0 {
                    // Datagrams that arrived together are read together, before the timers run.
                    let _ = self.socket.set_nonblocking(true);
                }
            }
            let _ = self.socket.set_nonblocking(false);
            if self.member.due() <= self.began.elapsed() {
                self.step(Input::Tick);
            }
            // Publishes a copy of the view; a few copies per period are enough for the readers.
            let now = self.began.elapsed();
            if now >= publish_at {
                publish_at = now + self.period / 8;
                let since = now.saturating_sub(self.period * REACHABLE_PERIODS);
                let recent = self
                    .member
                    .probe_answers(since)
                    .map(|(name, sent)| (name.to_string(), self.began + sent));
                self.answers.publish(recent.collect());
                let current = Status::of(&self.member, now);
                *self.status.lock().unwrap_or_else(PoisonError::into_inner) = Some(current);
            }
        }
    }

    fn step(&mut self, input: Input<'_>) {
        let out = self.member.step(self.began.elapsed(), input);
        for (to, bytes) in &out.send {
            // A datagram that cannot be sent counts as lost.
            let _ = self.socket.send_to(bytes, to);
        }
        out.changes.iter().for_each(log);
    }
}

fn log(change: &Change) {
    let (name, address, incarnation) = (&change.id.name, change.id.address, change.id.incarnation);
    let from = change.from.map_or("unknown".to_string(), |state| state.to_string());
    match change.to {
        State::Down => {
            warn!(member = %name, %address, incarnation, from, to = "down", "fleet: a member is down")
        }
        to => info!(member = %name, %address, incarnation, from, to = %to, "fleet: a member changed"),
    }
}
