//! All that the fleet decides, in the order of one log: route tables and their activations, experiments and their ends.
//! [`State::apply`] is deterministic and does no I/O, so every voter that applied the same entries holds the same state.

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::experiment;
use super::routes::record as routes;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// About tables and activations.
    Routes(routes::Entry),
    /// About experiments.
    Experiment(experiment::record::Entry),
}

impl Entry {
    /// Whether an order is within the record's bounds, before it comes into the log.
    ///
    /// # Errors
    /// [`Rejection`].
    pub fn check_bounds(&self) -> Result<(), Rejection> {
        match self {
            Self::Routes(entry) => entry.bounded().map_err(Rejection::Routes),
            // They are looked at as they are applied.
            Self::Experiment(_) => Ok(()),
        }
    }

    /// Whether it may be in the log of this term. A moment is on the clock of the leader of one term: where that one led
    /// again, in a later term, before its entry came into the log, nobody knows what leases were granted since.
    ///
    /// # Errors
    /// [`Rejection`].
    pub fn fits(&self, term: u64) -> Result<(), Rejection> {
        match self {
            Self::Routes(routes::Entry::Commit { at, .. }) if at.term != term => {
                Err(routes::RecordError::OtherTerm { stamped: at.term, term }.into())
            }
            _ => Ok(()),
        }
    }
}

/// What an entry did.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Applied {
    /// To tables and activations.
    Routes(routes::Applied),
    /// To experiments.
    Experiment(experiment::record::Applied),
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic, Serialize, Deserialize)]
pub enum Rejection {
    /// Of tables and activations.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Routes(#[from] routes::RecordError),
    /// Of experiments.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Experiment(#[from] experiment::record::RecordError),
}

/// What all entries come to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Tables and activations.
    pub routes: routes::State,
    /// Experiments.
    pub experiments: experiment::record::State,
}

impl State {
    /// Takes the next entry of the log.
    ///
    /// # Errors
    /// [`Rejection`] for an entry that does not fit what was decided before; nothing is changed then.
    pub fn apply(&mut self, entry: &Entry) -> Result<Applied, Rejection> {
        match entry {
            Entry::Routes(entry) => Ok(Applied::Routes(self.routes.apply(entry)?)),
            Entry::Experiment(entry) => {
                Ok(Applied::Experiment(self.experiments.apply(entry, &mut self.routes)?))
            }
        }
    }
}
