//! What carries the fleet's routes out: one thread, "fleet-routes", with a tokio runtime of its own, that steps the
//! member, and where this matcher votes, the record and the leader's part. The serving path waits for none of it: it
//! looks at [`Routing`].
//!
//! - [`lead`]: what follows from the record's standing, an ask, an entry or the time, where this member leads. Pure.
//! - [`documents`]: what operators are told, in JSON. Pure.
//! - [`part`]: the member's side on the wire: asks, tables, connections, the clock's loop.
//! - [`voter`]: the record and the socket, their opening and giving up, and what is answered there.
//! - [`orders`]: what operators want, carried to the leader.

mod documents;
pub mod inside;
mod lead;
mod orders;
mod part;
mod voter;

pub use part::PERIOD;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;
use tokio::sync::mpsc;

use part::Part;

use super::clock::{Clock, Fault};
use super::membership_thread::ProbeAnswers;
use super::metrics::Metrics;
use super::record::disk::Disk;
use super::routes::member::Member;
use super::routes::table::Known;
use super::routes::{Life, Pace};
use super::routing::{Asked, Routing};
use super::wire::net::{Net, Tcp};

/// Words of this process that may wait for the thread.
const MOST_WORDS: usize = 16;
/// How long a leaving process waits for the record to be closed.
const LEAVE_PATIENCE: Duration = Duration::from_millis(500);

/// What a matcher is told of the fleet's routes at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// The matcher's name.
    pub name: String,
    /// The fleet's: members of another one are not heard.
    pub fleet: String,
    /// Who votes, and where each is reached.
    pub voters: Vec<(String, SocketAddr)>,
    /// Where the record is kept, and the address of the own socket; nothing for a matcher that does not vote.
    pub keeps: Option<(PathBuf, SocketAddr)>,
    /// The classes and tenants of this matcher's settings.
    pub known: Known,
    /// A clock that runs wrong, for the lab.
    pub fault: Option<Fault>,
}

/// Why the driver did not start.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum DriverError {
    /// No thread, or no runtime on it.
    #[error("the fleet's thread cannot be started: {kind}")]
    #[diagnostic(help("raise the limits on threads and descriptors of this process"))]
    Thread {
        /// What the system says.
        kind: std::io::ErrorKind,
    },
}

/// What the process tells the thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Word {
    /// Another process of this matcher takes the record and the address over.
    Release,
    /// This one ends.
    Leave,
}

/// What the thread finds around it.
#[derive(Clone, Debug)]
pub struct World {
    /// The process's clock.
    pub clock: Clock,
    /// The network.
    pub net: Arc<dyn Net>,
    /// What the record's folder is on.
    pub disk: Disk,
    /// Whom the membership beside it heard.
    pub answers: ProbeAnswers,
}

impl World {
    fn of_this_machine(fault: Option<Fault>) -> Self {
        Self {
            clock: Clock::start(fault),
            net: Arc::new(Tcp),
            disk: Disk::Files,
            answers: ProbeAnswers::default(),
        }
    }
}

fn routing(options: &Options, clock: Clock, life: Life) -> (Routing, mpsc::Receiver<Asked>, Metrics) {
    let metrics = Metrics::new();
    let member = Member::new(life, options.known.clone(), Pace::default());
    let (routing, asked) = Routing::new(member, clock, metrics.clone());
    (routing, asked, metrics)
}

/// This process's part in the fleet's routes.
#[derive(Debug)]
pub struct Driver {
    routing: Routing,
    words: mpsc::Sender<Word>,
    ended: Mutex<Option<Receiver<()>>>,
}

impl Driver {
    /// Starts the thread. Folder and address are taken as soon as they are free: another process of this matcher may
    /// have them until it hands over.
    ///
    /// # Errors
    /// [`DriverError`].
    pub fn start(options: Options) -> Result<Self, DriverError> {
        Self::start_beside(options, ProbeAnswers::default())
    }

    /// As [`Driver::start`], beside a membership whose answers count for the posture as well.
    ///
    /// # Errors
    /// [`DriverError`].
    pub fn start_beside(options: Options, answers: ProbeAnswers) -> Result<Self, DriverError> {
        let wrong = |e: std::io::Error| DriverError::Thread { kind: e.kind() };
        let world = World { answers, ..World::of_this_machine(options.fault) };
        // As the membership does it: grows across restarts while the system's clock does not go back.
        let life = Life { name: options.name.clone(), incarnation: world.clock.unix().as_millis() as u64 };
        let (routing, asked, metrics) = routing(&options, world.clock, life);
        let (words, told) = mpsc::channel(MOST_WORDS);
        let (end, ended) = sync_channel(1);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(wrong)?;
        let held = routing.clone();
        let work = move || {
            runtime.block_on(async {
                let (part, pushed) = Part::new(options, world, metrics, held);
                part::run(part, pushed, asked, told).await;
            });
            drop(runtime);
            let _ = end.send(());
        };
        std::thread::Builder::new().name("fleet-routes".into()).spawn(work).map_err(wrong)?;
        Ok(Self { routing, words, ended: Mutex::new(Some(ended)) })
    }

    /// The serving path's hold.
    pub fn routing(&self) -> Routing {
        self.routing.clone()
    }

    /// Gives record and address up to another process of this matcher. This one keeps a lease of its own, as a member that
    /// does not vote, for the requests that it still has; if the other ends first, it votes again.
    pub fn release(&self) {
        let _ = self.words.try_send(Word::Release);
    }

    /// Ends the thread, and waits a moment for the record to be closed.
    pub fn leave(&self) {
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let (Ok(()), Some(ended)) = (self.words.try_send(Word::Leave), ended) {
            let _ = ended.recv_timeout(LEAVE_PATIENCE);
        }
    }
}
