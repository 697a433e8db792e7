//! The fleet's socket and thread: datagrams in, the membership's steps, datagrams out. Whoever holds the [`MembershipHandle`] never
//! waits for a peer: what it says goes into a bounded queue, and what it asks is the last state that was told.

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

/// The version that members are told.
const VERSION: &str = env!("CARGO_PKG_VERSION");
/// Words of this process that may wait for the thread.
const MAX_ORDERS: usize = 64;
/// The thread looks at its orders this often.
const LOOK: Duration = Duration::from_millis(20);
/// Datagrams taken before the timers are looked at again.
const BATCH: usize = 256;
/// Wait after a failed bind: another process of this matcher may hold the address until it hands over.
const BIND_PAUSE: Duration = Duration::from_millis(100);
/// A process that gave the address up leaves it alone for this long.
const RELEASED: Duration = Duration::from_secs(5);
/// How long a leaving process waits for its last words to be sent.
const LEAVE_PATIENCE: Duration = Duration::from_millis(500);

/// What a matcher is told of the fleet at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// The matcher's name.
    pub name: String,
    /// The fleet's: members of another one are not heard.
    pub fleet: String,
    /// The address of the own socket.
    pub listen: SocketAddrV4,
    /// Where the others reach it; also who it is.
    pub advertise: SocketAddrV4,
    /// Members that are asked at the start, and again while they are not up.
    pub seeds: Vec<SocketAddrV4>,
    /// The protocol period.
    pub period: Duration,
    /// Runs that the matcher can have at once.
    pub capacity: u32,
    /// For random choices.
    pub seed: u64,
}

enum Order {
    /// This matcher drains, or does so no more.
    Draining(bool),
    /// It leaves the fleet.
    Leave,
    /// Another process of this matcher takes its place in the fleet.
    Release,
}

/// Why this process does not take part in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum MembershipThreadError {
    /// No thread for the membership.
    #[error("fleet: its thread cannot be started: {kind}")]
    #[diagnostic(help(
        "raise the limit on threads of this process, or take `fleet` out of the appliance's file"
    ))]
    Thread {
        /// What the system says.
        kind: std::io::ErrorKind,
    },
}

/// Who answered this process's probes of late: what the posture counts besides the record's links. Without a
/// membership, nobody.
#[derive(Clone, Debug, Default)]
pub struct ProbeAnswers {
    period: Duration,
    /// By name, when the probe was sent that was answered; a handful, as a probe goes to one member a period.
    late: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl ProbeAnswers {
    /// The membership's protocol period.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Who answered within the last [`REACHABLE_PERIODS`] periods, and when that was asked.
    pub fn recent(&self) -> Vec<(String, Instant)> {
        self.late.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn tell(&self, late: Vec<(String, Instant)>) {
        *self.late.lock().unwrap_or_else(PoisonError::into_inner) = late;
    }
}

/// This process's part in the fleet.
#[derive(Clone)]
pub struct MembershipHandle {
    answers: ProbeAnswers,
    orders: SyncSender<Order>,
    status: Arc<Mutex<Option<Status>>>,
    ended: Arc<Mutex<Option<Receiver<()>>>>,
}

impl MembershipHandle {
    /// Joins the fleet from a thread of its own, as soon as the address is free.
    ///
    /// # Errors
    /// [`MembershipThreadError`].
    pub fn start(options: Options) -> Result<Self, MembershipThreadError> {
        let (orders, received) = sync_channel(MAX_ORDERS);
        let (end, ended) = sync_channel(1);
        let status: Arc<Mutex<Option<Status>>> = Arc::default();
        let answers = ProbeAnswers { period: options.period, ..ProbeAnswers::default() };
        let ended = Arc::new(Mutex::new(Some(ended)));
        let link = Self { orders, status: status.clone(), ended, answers: answers.clone() };
        let work = move || {
            // What is said while the address is not ours yet is told when it is.
            let mut drains = false;
            while let Some(socket) = bind(options.listen, &received, &mut drains) {
                let capacity = options.capacity;
                let metadata =
                    Metadata { version: VERSION.into(), draining: drains, capacity, ..Metadata::default() };
                let part = Part::join(&options, metadata, socket, (status.clone(), answers.clone()));
                if part.run(&received, &mut drains) == End::Left {
                    break;
                }
                // The other process is waiting for the address; if it ends, this one serves on, and joins again.
                *status.lock().unwrap_or_else(PoisonError::into_inner) = None;
                answers.tell(Vec::new());
                if wait_for_leave(&received, RELEASED, &mut drains) {
                    break;
                }
            }
            let _ = end.send(());
        };
        let started = std::thread::Builder::new().name("fleet".into()).spawn(work);
        started.map_err(|e| MembershipThreadError::Thread { kind: e.kind() })?;
        Ok(link)
    }

    /// The fleet as it was seen last; nothing before it was joined.
    pub fn status(&self) -> Option<Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Who answered its probes of late, for the posture.
    pub fn answers(&self) -> ProbeAnswers {
        self.answers.clone()
    }

    /// Tells the others that this matcher drains, or does so no more.
    pub fn draining(&self, draining: bool) {
        // A thread that is gone, or has so much to do, has nobody to tell it to.
        let _ = self.orders.try_send(Order::Draining(draining));
    }

    /// Leaves the fleet, and waits a moment for the word to be out.
    pub fn leave(&self) {
        self.end(Order::Leave);
    }

    /// Gives up the address to another process of this matcher, without a word to the fleet.
    pub fn release(&self) {
        let _ = self.orders.try_send(Order::Release);
    }

    fn end(&self, order: Order) {
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let (Ok(()), Some(ended)) = (self.orders.try_send(order), ended) {
            let _ = ended.recv_timeout(LEAVE_PATIENCE);
        }
    }
}

/// Why a part ended.
#[derive(PartialEq)]
enum End {
    Left,
    Released,
}

/// Waits `most`; true if this process leaves before that.
fn wait_for_leave(orders: &Receiver<Order>, most: Duration, drains: &mut bool) -> bool {
    let since = Instant::now();
    loop {
        match orders.recv_timeout(most.saturating_sub(since.elapsed())) {
            Ok(Order::Leave) | Err(RecvTimeoutError::Disconnected) => return true,
            Ok(Order::Draining(draining)) => *drains = draining,
            Ok(Order::Release) => {}
            Err(RecvTimeoutError::Timeout) => return false,
        }
    }
}

/// The fleet's address, once it is free; nothing if this process leaves before.
fn bind(listen: SocketAddrV4, orders: &Receiver<Order>, drains: &mut bool) -> Option<UdpSocket> {
    let mut told = false;
    loop {
        match UdpSocket::bind(listen) {
            Ok(socket) => return Some(socket),
            Err(e) if !told => {
                told = true;
                warn!("fleet.listen: {listen}: {e}; tried again until it is free");
            }
            Err(_) => {}
        }
        if wait_for_leave(orders, BIND_PAUSE, drains) {
            return None;
        }
    }
}

/// What others of this process read.
type Told = (Arc<Mutex<Option<Status>>>, ProbeAnswers);

struct Part {
    socket: UdpSocket,
    member: Membership,
    period: Duration,
    began: Instant,
    status: Arc<Mutex<Option<Status>>>,
    answers: ProbeAnswers,
}

impl Part {
    fn join(options: &Options, metadata: Metadata, socket: UdpSocket, told: Told) -> Self {
        // Grows across restarts as long as the system's clock does not go back; if it did, the others tell this
        // process that it is down, and it comes back under a higher one.
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
        let (status, answers) = told;
        Self { socket, member, period: options.period, began, status, answers }
    }

    fn run(mut self, orders: &Receiver<Order>, drains: &mut bool) -> End {
        let mut told_at = Duration::ZERO;
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
            let wait = wait.clamp(Duration::from_millis(1), LOOK);
            let _ = self.socket.set_read_timeout(Some(wait));
            for n in 0..BATCH {
                match self.socket.recv_from(&mut bytes) {
                    Ok((len, _)) => self.step(Input::Datagram(&bytes[..len])),
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break,
                    // A peer that is gone is reported on the next call; it is no fault of this socket.
                    Err(_) => {}
                }
                if n == 0 {
                    // What came together is read together, before the timers.
                    let _ = self.socket.set_nonblocking(true);
                }
            }
            let _ = self.socket.set_nonblocking(false);
            if self.member.due() <= self.began.elapsed() {
                self.step(Input::Tick);
            }
            // A copy of the view: a few a period are enough for those who ask.
            let now = self.began.elapsed();
            if now >= told_at {
                told_at = now + self.period / 8;
                let since = now.saturating_sub(self.period * REACHABLE_PERIODS);
                let late =
                    self.member.probe_answers(since).map(|(name, sent)| (name.to_string(), self.began + sent));
                self.answers.tell(late.collect());
                let told = Status::of(&self.member, now);
                *self.status.lock().unwrap_or_else(PoisonError::into_inner) = Some(told);
            }
        }
    }

    fn step(&mut self, input: Input<'_>) {
        let out = self.member.step(self.began.elapsed(), input);
        for (to, bytes) in &out.send {
            // A datagram that cannot be sent is one that was lost.
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
