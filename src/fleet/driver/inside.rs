//! The thread's work without the thread, for a simulation that has many of them on one: what runs, and what is seen in it.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::part::{self, lock, Part};
use super::{routing, Options, Word, World, MOST_WORDS};
use crate::fleet::decided::{Entry, State};
use crate::fleet::record::{Record, Standing};
use crate::fleet::routes::lease::HeldLease;
use crate::fleet::routes::{MemberIncarnation, TimeWindow, Turn};
use crate::fleet::routing::Routing;

/// One process's part, seen from inside.
pub struct Inside {
    part: Arc<Part>,
    words: mpsc::Sender<Word>,
}

impl Drop for Inside {
    /// The voter's socket knows the part, and the part the voter.
    fn drop(&mut self) {
        lock(&self.part.voter).take();
    }
}

/// A member's part in a world, with what it does until it is told to leave. Call it within the runtime that runs it.
pub fn begin(options: Options, world: World, incarnation: u64) -> (Inside, impl Future<Output = ()> + Send) {
    let life = MemberIncarnation { name: options.name.clone(), incarnation };
    let (routing, asked, metrics) = routing(&options, world.clock, life);
    let (words, told) = mpsc::channel(MOST_WORDS);
    let (part, pushed) = Part::new(options, world, metrics, routing);
    (Inside { part: part.clone(), words }, part::run(part, pushed, asked, told))
}

impl Inside {
    /// The serving path's hold.
    pub fn routing(&self) -> Routing {
        self.part.routing.clone()
    }

    /// What its clock shows.
    pub fn now(&self) -> Duration {
        self.part.clock.now()
    }

    /// Has it end in good order.
    pub fn leave(&self) {
        let _ = self.words.try_send(Word::Leave);
    }

    /// The lease, and the moment of a switch that it knows.
    pub fn promises(&self) -> (HeldLease, Option<(Turn, TimeWindow)>) {
        self.part.routing.held().member.lease_and_switch()
    }

    fn record(&self) -> Option<Record> {
        Some(lock(&self.part.voter).as_ref()?.record.clone())
    }

    /// How its record stands, how many entries are applied and what they come to; nothing while it has none open. The
    /// standing may be of a moment before.
    pub fn decided(&self) -> Option<(Standing, u64, Arc<State>)> {
        let record = self.record()?;
        let standing = record.watch().borrow().clone();
        let (applied, state) = record.states().borrow().clone();
        Some((standing, applied, state))
    }

    /// The term in which the leader's part is on.
    pub fn leads(&self) -> Option<u64> {
        lock(&self.part.lead).term()
    }

    /// What it knows itself, for operators.
    pub fn document(&self) -> serde_json::Value {
        self.part.document()
    }

    /// Puts an entry into the log past all that decides which may go there: a fault that is planted.
    pub fn plant(&self, entry: Entry) {
        if let Some(record) = self.record() {
            tokio::spawn(async move { record.submit(entry).await });
        }
    }
}
