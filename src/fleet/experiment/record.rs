//! What the fleet has decided about experiments: one runs at a time. Each closed block is an entry, and the verdict follows
//! from the blocks alone: so every voter comes to the same one, once, whoever leads.
//!
//! The figures of a verdict are f64: voters whose C libraries round a logarithm otherwise may differ in the last digit
//! of the evidence, and of two that stand within it of a bound one might decide a block later. All voters are to run one
//! build of the program on one C library.

use std::collections::VecDeque;
use std::time::Duration;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::blocks::Tally;
use super::decide::Evaluation;
use super::{DocumentError, Experiment, Verdict};
use crate::fleet::routes::record as routes;
use crate::fleet::routes::table::{Table, SHARES};
use crate::fleet::routes::{Fence, Version};

/// Ended experiments that are kept.
pub const MAX_HISTORY: usize = 64;
/// Whose the activation of a winner's table is. No operator has this name: theirs say where and when.
pub const WINNER_OPERATOR: &str = "the experiment's winner";
/// Bytes of an operator's name at most.
pub const MAX_OPERATOR_NAME: usize = 256;
/// The greatest count of a tally: what an f64 holds without rounding.
pub const MAX_COUNT: u64 = 1 << 53;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Entry {
    /// Begin: the arms are those of the active table's routes that have any. With `activate` a winner is switched to.
    Start { experiment: Experiment, activate: bool, by: String },
    /// End it without a verdict.
    Stop { name: String, by: String },
    /// A block is closed, by the leader, at `at_ms` since the Unix epoch.
    Block { name: String, block: u64, tallies: Vec<Tally>, at_ms: u64 },
    /// The longest duration and the grace passed, whatever was heard.
    Over { name: String, at_ms: u64 },
}

/// What an entry did.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Applied {
    /// It runs.
    Started,
    /// The block is taken, and the experiment goes on.
    Taken { block: u64 },
    /// It ended, with this verdict; none if an operator stopped it or switched to another table.
    Ended(Option<Verdict>),
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum RecordError {
    #[error("no experiment {name} runs")]
    #[diagnostic(help("`hopwalk fleet experiment show` tells what runs, and what ended how"))]
    NotRunning { name: String },
    #[error("experiment {name} of {by} runs")]
    #[diagnostic(help("one runs at a time: wait for its verdict, or stop it with `fleet experiment stop`"))]
    Busy { name: String, by: String },
    #[error("there was an experiment {name}")]
    #[diagnostic(help(
        "give a new name, and a new salt: `fleet experiment show` lists the names that are kept"
    ))]
    Known { name: String },
    #[error("the name of the operator has {bytes} bytes")]
    #[diagnostic(help("name who asks in {MAX_OPERATOR_NAME} bytes or less"))]
    By { bytes: usize },
    #[error("no experiment: {problem}")]
    #[diagnostic(help("correct the document, and start it again"))]
    Document { problem: DocumentError },
    #[error("no table is active")]
    #[diagnostic(help("activate a table whose routes have the arms, then start the experiment"))]
    NoTable,
    #[error("version {version} of {by} is on its way")]
    #[diagnostic(help("wait until it ends (`fleet routes show`), then start the experiment"))]
    Switching { version: Version, by: String },
    #[error("no route of version {version} has arms")]
    #[diagnostic(help("propose and activate a table with the experiment's arms first"))]
    NoArms { version: Version },
    #[error("the arms of class {class} in version {version} are not those of the document")]
    #[diagnostic(help(
        "give both the same names and shares: those of a table are in thousandths, those of the document sum to 1"
    ))]
    OtherArms { version: Version, class: String },
    #[error("block {block} does not follow: the next is {next}")]
    #[diagnostic(help("another leader closed it: nothing is lost, and nothing is to be done"))]
    Order { block: u64, next: u64 },
    #[error("a block of {tallies} tallies, or one over {MAX_COUNT}, for {arms} arms")]
    #[diagnostic(help("look for another version of the program among the voters"))]
    Tallies { tallies: usize, arms: usize },
    #[error("{at_ms} ms is {early_ms} ms too early")]
    #[diagnostic(help("check the system clocks of the voters: they are to agree to a fraction of a block"))]
    Early { at_ms: u64, early_ms: u64 },
}

/// How an experiment ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum End {
    /// By its blocks, or by its longest duration.
    Verdict { verdict: Verdict, at_ms: u64 },
    /// By an operator.
    Stopped { by: String },
    /// The table that holds its arms was switched away from: what was counted since is of another one.
    Overtaken { active: Option<Fence> },
}

/// An experiment that ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedExperiment {
    /// The document.
    pub experiment: Experiment,
    /// Who started it.
    pub by: String,
    /// The table that held its arms.
    pub on: Fence,
    /// Blocks that were closed.
    pub closed: u64,
    /// How it ended, with the evidence.
    pub end: End,
    /// The table that was made of the winner, where one was asked for.
    pub made: Option<Version>,
}

/// The experiment that runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningExperiment {
    /// The document.
    pub experiment: Experiment,
    /// Whether a winner is switched to.
    pub activate: bool,
    /// Who started it.
    pub by: String,
    /// The table that holds its arms.
    pub on: Fence,
    /// What its blocks came to so far.
    #[serde(rename = "weighing")]
    pub evaluation: Evaluation,
}

/// What all entries come to. Its size does not grow with blocks: a few figures an arm, and [`MAX_HISTORY`] documents.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    running: Option<RunningExperiment>,
    history: VecDeque<EndedExperiment>,
}

impl State {
    /// Takes the next entry; `routes` is what the same log decided of tables. Deterministic: what time it is comes with
    /// the entry.
    ///
    /// # Errors
    /// [`RecordError`] for an entry that does not fit; nothing is changed then.
    pub fn apply(&mut self, entry: &Entry, routes: &mut routes::State) -> Result<Applied, RecordError> {
        match entry {
            Entry::Start { experiment, activate, by } => self.start(experiment, *activate, by, routes),
            Entry::Stop { name, by } => {
                named(by)?;
                self.runs(name)?;
                Ok(self.end(End::Stopped { by: by.clone() }, routes))
            }
            Entry::Block { name, block, tallies, at_ms } => {
                let running = self.runs(name)?;
                let (next, arms) = (running.evaluation.closed(), running.experiment.arms.len());
                if *block != next {
                    return Err(RecordError::Order { block: *block, next });
                }
                if tallies.len() != arms || tallies.iter().any(|tally| tally.max_count() > MAX_COUNT) {
                    return Err(RecordError::Tallies { tallies: tallies.len(), arms });
                }
                early(*at_ms, running.experiment.end_of(next))?;
                if let Some(end) = overtaken(running, routes) {
                    return Ok(self.end(end, routes));
                }
                // A block that is closed late is weighed like one in time: only `Over` gives up on those that are left.
                let now = running.experiment.end_of(next);
                let RunningExperiment { experiment, evaluation, .. } = running;
                let verdict = evaluation.push(experiment, tallies);
                match verdict.unwrap_or_else(|| evaluation.verdict(experiment, now)) {
                    Verdict::Continue { .. } => Ok(Applied::Taken { block: *block }),
                    verdict => Ok(self.end(End::Verdict { verdict, at_ms: *at_ms }, routes)),
                }
            }
            Entry::Over { name, at_ms } => {
                let running = self.runs(name)?;
                early(*at_ms, running.experiment.deadline())?;
                let end = overtaken(running, routes).unwrap_or_else(|| {
                    let now = Duration::from_millis(*at_ms);
                    End::Verdict {
                        verdict: running.evaluation.verdict(&running.experiment, now),
                        at_ms: *at_ms,
                    }
                });
                Ok(self.end(end, routes))
            }
        }
    }

    fn start(
        &mut self,
        experiment: &Experiment,
        activate: bool,
        by: &str,
        routes: &routes::State,
    ) -> Result<Applied, RecordError> {
        named(by)?;
        experiment.check().map_err(|problem| RecordError::Document { problem })?;
        if let Some(running) = &self.running {
            let name = running.experiment.name.clone();
            return Err(RecordError::Busy { name, by: running.by.clone() });
        }
        if self.history.iter().any(|past| past.experiment.name == experiment.name) {
            return Err(RecordError::Known { name: experiment.name.clone() });
        }
        if let Some(run) = routes.run() {
            let version = run.activation.fence.version;
            return Err(RecordError::Switching { version, by: run.by.clone() });
        }
        let on = routes.active().ok_or(RecordError::NoTable)?.fence;
        let table = routes.table(on.version).ok_or(RecordError::NoTable)?;
        fits(experiment, table, on.version)?;
        self.running = Some(RunningExperiment {
            evaluation: Evaluation::new(experiment),
            experiment: experiment.clone(),
            activate,
            by: by.into(),
            on,
        });
        Ok(Applied::Started)
    }

    fn runs(&mut self, name: &str) -> Result<&mut RunningExperiment, RecordError> {
        let running = self.running.as_mut().filter(|running| running.experiment.name == name);
        running.ok_or_else(|| RecordError::NotRunning { name: name.into() })
    }

    fn end(&mut self, end: End, routes: &mut routes::State) -> Applied {
        let verdict = match &end {
            End::Verdict { verdict, .. } => Some(verdict.clone()),
            End::Stopped { .. } | End::Overtaken { .. } => None,
        };
        let Some(running) = self.running.take() else { return Applied::Ended(verdict) };
        let made = match verdict {
            Some(Verdict::Winner { arm, .. }) if running.activate => {
                let table = routes.table(running.on.version);
                let table = table.and_then(|table| won(table, &running.experiment.arms.get(arm)?.name));
                table.map(|table| routes.make(table))
            }
            _ => None,
        };
        let RunningExperiment { experiment, by, on, evaluation, .. } = running;
        self.history.push_back(EndedExperiment {
            experiment,
            by,
            on,
            closed: evaluation.closed(),
            end,
            made,
        });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        Applied::Ended(verdict)
    }

    /// The experiment that runs.
    pub fn running(&self) -> Option<&Experiment> {
        self.running.as_ref().map(|running| &running.experiment)
    }

    /// The experiment that runs, with what its blocks came to.
    pub fn running_experiment(&self) -> Option<&RunningExperiment> {
        self.running.as_ref()
    }

    /// Blocks of the running experiment that are closed for good; none runs: 0.
    pub fn closed(&self) -> u64 {
        self.running.as_ref().map_or(0, |running| running.evaluation.closed())
    }

    /// How experiments ended, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &EndedExperiment> {
        self.history.iter()
    }

    /// The version that a winner is to be switched to, for the leader to begin its activation now. None while another
    /// activation is on its way; and none any more once one of it was begun, or any other became active.
    pub fn to_activate(&self, routes: &routes::State) -> Option<Version> {
        routes.made().filter(|_| routes.run().is_none())
    }
}

fn named(by: &str) -> Result<(), RecordError> {
    match by.len() {
        bytes if bytes > MAX_OPERATOR_NAME => Err(RecordError::By { bytes }),
        _ => Ok(()),
    }
}

fn early(at_ms: u64, end: Duration) -> Result<(), RecordError> {
    match end.saturating_sub(Duration::from_millis(at_ms)).as_millis() as u64 {
        0 => Ok(()),
        early_ms => Err(RecordError::Early { at_ms, early_ms }),
    }
}

/// How it ends where another table is active than the one that it started on.
fn overtaken(running: &RunningExperiment, routes: &routes::State) -> Option<End> {
    let active = routes.active().map(|active| active.fence);
    (active != Some(running.on)).then_some(End::Overtaken { active })
}

/// Every route with arms has those of the document: the same names, and the same shares.
fn fits(experiment: &Experiment, table: &Table, version: Version) -> Result<(), RecordError> {
    let mut routes = table.routes.iter().filter(|route| !route.arms.is_empty()).peekable();
    if routes.peek().is_none() {
        return Err(RecordError::NoArms { version });
    }
    let other = routes.find(|route| {
        let same = |arm: &super::Arm| {
            // A document may round its shares: half of a millionth is no other share.
            let share = |share: u32| (f64::from(share) / f64::from(SHARES) - arm.share).abs() < 5e-7;
            route.arms.iter().any(|of| of.name == arm.name && share(of.share))
        };
        route.arms.len() != experiment.arms.len() || !experiment.arms.iter().all(same)
    });
    match other {
        Some(route) => Err(RecordError::OtherArms { version, class: route.class.clone() }),
        None => Ok(()),
    }
}

/// The table without arms: each route that had some goes to the winner's pool. None if a route has no such arm.
fn won(table: &Table, arm: &str) -> Option<Table> {
    let mut table = table.clone();
    for route in table.routes.iter_mut().filter(|route| !route.arms.is_empty()) {
        route.pool = std::mem::take(&mut route.arms).into_iter().find(|of| of.name == arm)?.pool;
    }
    Some(table)
}
