//! The state machine of the fleet's replicated log: route tables with their activations, and experiments with their
//! verdicts. An [`Entry`] is one command in the log and [`State`] the result of all entries. [`State::apply`] is
//! deterministic and does no I/O, so all voters that applied the same entries hold the same state.

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::experiment;
use super::routes::record as routes;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// Changes route tables or activations.
    Routes(routes::Entry),
    /// Changes experiments.
    Experiment(experiment::record::Entry),
}

impl Entry {
    /// Checks the length limits of an entry before it is submitted to the log.
    ///
    /// # Errors
    /// Returns a [`Rejection`] for an entry over a limit.
    pub fn check_bounds(&self) -> Result<(), Rejection> {
        match self {
            Self::Routes(entry) => entry.bounded().map_err(Rejection::Routes),
            // `State::apply` checks these.
            Self::Experiment(_) => Ok(()),
        }
    }

    /// Checks that the entry may be applied in the term in which it was appended to the log. The time in a commit is on
    /// the clock of the leader of one term. If the same voter became the leader of a later term before the entry was in
    /// the log, the leases that were granted in between are unknown.
    ///
    /// # Errors
    /// Returns a [`Rejection`] for a commit that was stamped in another term.
    pub fn check_term(&self, term: u64) -> Result<(), Rejection> {
        match self {
            Self::Routes(routes::Entry::Commit { at, .. }) if at.term != term => {
                Err(routes::RecordError::OtherTerm { stamped: at.term, term }.into())
            }
            _ => Ok(()),
        }
    }
}

/// The effect of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Applied {
    /// The effect on route tables and activations.
    Routes(routes::Applied),
    /// The effect on experiments.
    Experiment(experiment::record::Applied),
}

/// Why an entry was rejected. A rejected entry changes nothing.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic, Serialize, Deserialize)]
pub enum Rejection {
    /// Rejected by the state of route tables and activations.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Routes(#[from] routes::RecordError),
    /// Rejected by the state of experiments.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Experiment(#[from] experiment::record::RecordError),
}

/// The state that results from all applied entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Route tables and activations.
    pub routes: routes::State,
    /// Experiments.
    pub experiments: experiment::record::State,
}

impl State {
    /// Applies the next entry of the log.
    ///
    /// # Errors
    /// Returns a [`Rejection`] for an entry that conflicts with the current state, which stays unchanged then.
    pub fn apply(&mut self, entry: &Entry) -> Result<Applied, Rejection> {
        match entry {
            Entry::Routes(entry) => Ok(Applied::Routes(self.routes.apply(entry)?)),
            Entry::Experiment(entry) => {
                Ok(Applied::Experiment(self.experiments.apply(entry, &mut self.routes)?))
            }
        }
    }
}
