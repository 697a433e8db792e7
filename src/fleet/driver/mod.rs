//! Runs this matcher's part in the fleet's routes. [`Driver`] has one thread, "fleet-routes", with its own tokio
//! runtime. The thread steps the member and, if this matcher votes, the record and the leader's decisions. The
//! serving path never waits for it: it reads the member's state through [`Routing`].
//!
//! - [`leader_role`]: the decisions of a voter that leads, from the record's standing, asks, entries and the time. No
//!   I/O.
//! - [`documents`]: the JSON documents for operators. No I/O.
//! - [`tasks`]: the member's tasks: asks to the leader, fetching tables, connecting to pools, stepping the member on
//!   time.
//! - [`voter`]: opens and closes the record and the voter's socket, and answers the requests that arrive there.
//! - [`orders`]: executes operators' orders by sending them to the leader.
//! - [`simulated`]: the same work without the thread, for simulations.

mod documents;
mod leader_role;
mod orders;
pub mod simulated;
mod tasks;
mod voter;

pub use tasks::HELLO_INTERVAL;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;
use tokio::sync::mpsc;

use tasks::DriverState;

use super::clock::{Clock, Fault};
use super::membership_thread::ProbeAnswers;
use super::metrics::Metrics;
use super::record::disk::Disk;
use super::routes::member::Member;
use super::routes::table::KnownNames;
use super::routes::{MemberIncarnation, Timing};
use super::routing::{QueuedOrder, Routing};
use super::wire::net::{Net, Tcp};

/// Control messages of this process that may be queued for the thread.
const MAX_QUEUED_CONTROLS: usize = 16;
/// How long a process that ends waits for the record to be closed.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);

/// The settings of the fleet's routes with which a matcher starts.
#[derive(Clone, Debug)]
pub struct Options {
    /// The matcher's name.
    pub name: String,
    /// The fleet's name. Messages of members of another fleet are ignored.
    pub fleet: String,
    /// The voters' names and addresses.
    pub voters: Vec<(String, SocketAddr)>,
    /// The folder of the record, and the address of this voter's socket; `None` for a matcher that does not vote.
    pub record: Option<(PathBuf, SocketAddr)>,
    /// The classes and tenants of this matcher's settings.
    pub known: KnownNames,
    /// A fault of the clock, for the lab.
    pub clock_fault: Option<Fault>,
}

/// Why the driver did not start.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum DriverError {
    /// The thread or its runtime could not be created.
    #[error("the fleet's thread cannot be started: {kind}")]
    #[diagnostic(help("raise the limits on threads and descriptors of this process"))]
    Thread {
        /// The system's error.
        kind: std::io::ErrorKind,
    },
}

/// A message from the process to the thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Control {
    /// Another process of this matcher takes over the record and the voter's address.
    ReleaseRecord,
    /// This process ends.
    Stop,
}

/// What the thread depends on, so that a simulation can replace it.
#[derive(Clone, Debug)]
pub struct Environment {
    /// The clock of the process.
    pub clock: Clock,
    /// The network.
    pub net: Arc<dyn Net>,
    /// The disk that holds the record's folder.
    pub disk: Disk,
    /// The answers that the membership has received from other members.
    pub answers: ProbeAnswers,
}

impl Environment {
    fn of_this_machine(fault: Option<Fault>) -> Self {
        Self {
            clock: Clock::start(fault),
            net: Arc::new(Tcp),
            disk: Disk::Files,
            answers: ProbeAnswers::default(),
        }
    }
}

fn routing(
    options: &Options,
    clock: Clock,
    life: MemberIncarnation,
) -> (Routing, mpsc::Receiver<QueuedOrder>, Metrics) {
    let metrics = Metrics::new();
    let member = Member::new(life, options.known.clone(), Timing::default());
    let (routing, order_queue) = Routing::new(member, clock, metrics.clone());
    (routing, order_queue, metrics)
}

/// Handle to the thread that runs this process's part in the fleet's routes.
#[derive(Debug)]
pub struct Driver {
    routing: Routing,
    controls: mpsc::Sender<Control>,
    ended: Mutex<Option<Receiver<()>>>,
}

impl Driver {
    /// Starts the thread. It opens the record's folder and the voter's address as soon as they are free: another
    /// process of this matcher may use them until it hands over.
    ///
    /// # Errors [`DriverError`].
    pub fn start(options: Options) -> Result<Self, DriverError> {
        Self::start_with_membership(options, ProbeAnswers::default())
    }

    /// As [`Driver::start`], with a membership whose received answers count for the posture as well.
    ///
    /// # Errors
    /// [`DriverError`].
    pub fn start_with_membership(options: Options, answers: ProbeAnswers) -> Result<Self, DriverError> {
        let error = |e: std::io::Error| DriverError::Thread { kind: e.kind() };
        let environment = Environment { answers, ..Environment::of_this_machine(options.clock_fault) };
        // As in the membership, the incarnation increases with each restart, as long as the system's clock is not set
        // back.
        let life = MemberIncarnation {
            name: options.name.clone(),
            incarnation: environment.clock.unix().as_millis() as u64,
        };
        let (routing, order_queue, metrics) = routing(&options, environment.clock, life);
        let (controls, control_queue) = mpsc::channel(MAX_QUEUED_CONTROLS);
        let (ended_sender, ended) = sync_channel(1);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(error)?;
        let shared = routing.clone();
        let thread_main = move || {
            runtime.block_on(async {
                let (driver, pushes) = DriverState::new(options, environment, metrics, shared);
                tasks::run(driver, pushes, order_queue, control_queue).await;
            });
            drop(runtime);
            let _ = ended_sender.send(());
        };
        std::thread::Builder::new().name("fleet-routes".into()).spawn(thread_main).map_err(error)?;
        Ok(Self { routing, controls, ended: Mutex::new(Some(ended)) })
    }

    /// The serving path's handle to the routes.
    pub fn routing(&self) -> Routing {
        self.routing.clone()
    }

    /// Releases the record and the voter's address for another process of this matcher. This process keeps its own
    /// lease, as a member that does not vote, for the requests that it still has. If the other process ends first,
    /// this one votes again.
    pub fn release_record(&self) {
        let _ = self.controls.try_send(Control::ReleaseRecord);
    }

    /// Ends the thread, and waits for a bounded time until the record is closed.
    pub fn stop(&self) {
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let (Ok(()), Some(ended)) = (self.controls.try_send(Control::Stop), ended) {
            let _ = ended.recv_timeout(STOP_TIMEOUT);
        }
    }
}
