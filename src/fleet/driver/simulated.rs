//! The driver without its thread, for a simulation that runs many drivers on one thread. [`create`] returns the work
//! as a future, and a [`SimulatedDriver`] with which the simulation inspects and controls it.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::tasks::{self, lock, DriverState};
use super::{routing, Control, Environment, Options, MAX_QUEUED_CONTROLS};
use crate::fleet::record::{Record, Standing};
use crate::fleet::routes::lease::HeldLease;
use crate::fleet::routes::{MemberIncarnation, TimeWindow, Turn};
use crate::fleet::routing::Routing;
use crate::fleet::state_machine::{Entry, State};

/// Handle to the driver of one simulated process.
pub struct SimulatedDriver {
    driver: Arc<DriverState>,
    controls: mpsc::Sender<Control>,
}

impl Drop for SimulatedDriver {
    /// Breaks the reference cycle between the driver's state and the voter, whose socket refers to that state.
    fn drop(&mut self) {
        lock(&self.driver.voter).take();
    }
}

/// Creates a member's driver in an environment, and the future that runs it until it is stopped. Must be called
/// within the runtime that runs the future.
pub fn create(
    options: Options,
    environment: Environment,
    incarnation: u64,
) -> (SimulatedDriver, impl Future<Output = ()> + Send) {
    let life = MemberIncarnation { name: options.name.clone(), incarnation };
    let (routing, order_queue, metrics) = routing(&options, environment.clock, life);
    let (controls, control_queue) = mpsc::channel(MAX_QUEUED_CONTROLS);
    let (driver, pushes) = DriverState::new(options, environment, metrics, routing);
    (
        SimulatedDriver { driver: driver.clone(), controls },
        tasks::run(driver, pushes, order_queue, control_queue),
    )
}

impl SimulatedDriver {
    /// The serving path's handle to the routes.
    pub fn routing(&self) -> Routing {
        self.driver.routing.clone()
    }

    /// The time on the member's clock.
    pub fn now(&self) -> Duration {
        self.driver.clock.now()
    }

    /// Has the driver end and close its record.
    pub fn stop(&self) {
        let _ = self.controls.try_send(Control::Stop);
    }

    /// The member's lease, and the pending switch that it knows of.
    pub fn lease_and_switch(&self) -> (HeldLease, Option<(Turn, TimeWindow)>) {
        self.driver.routing.state().member.lease_and_switch()
    }

    fn record(&self) -> Option<Record> {
        Some(lock(&self.driver.voter).as_ref()?.record.clone())
    }

    /// The record's standing, the number of applied entries and the state that results from them; `None` while no
    /// record is open. The standing may be slightly older than the state.
    pub fn record_state(&self) -> Option<(Standing, u64, Arc<State>)> {
        let record = self.record()?;
        let standing = record.watch().borrow().clone();
        let (applied, state) = record.watch_state().borrow().clone();
        Some((standing, applied, state))
    }

    /// The term in which this member leads, if it does.
    pub fn leading_term(&self) -> Option<u64> {
        lock(&self.driver.role).term()
    }

    /// The document for operators about what the member knows itself.
    pub fn document(&self) -> serde_json::Value {
        self.driver.document()
    }

    /// Submits an entry to the log without the checks of the leader: a fault that the simulation injects.
    pub fn submit_unchecked(&self, entry: Entry) {
        if let Some(record) = self.record() {
            tokio::spawn(async move { record.submit(entry).await });
        }
    }
}
