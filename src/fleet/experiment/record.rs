//! The replicated state of experiments, of which one runs at a time. Each closed block is a log entry, and the verdict
//! depends only on the blocks, so that every voter derives the same verdict exactly once, whichever member leads.
//!
//! The evidence of a verdict is in f64. Voters whose C libraries round a logarithm differently may differ in the last
//! digit of the evidence; if it is that close to a bound, one of them may decide a block later. All voters must run the
//! same build of the program with the same C library.

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

/// Maximum number of ended experiments in the history.
pub const MAX_HISTORY: usize = 64;
/// The operator name of the activation of a winner's table. No operator has this name: their names contain the place
/// and time of the order.
pub const WINNER_OPERATOR: &str = "the experiment's winner";
/// Maximum length of an operator's name in bytes.
pub const MAX_OPERATOR_NAME: usize = 256;
/// The largest count of a tally, which an f64 holds without rounding.
pub const MAX_COUNT: u64 = 1 << 53;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Entry {
    /// Starts an experiment, whose arms must equal those of each route of the active table that has arms. With
    /// `activate` the fleet switches to the winner.
    Start { experiment: Experiment, activate: bool, by: String },
    /// Ends the experiment without a verdict.
    Stop { name: String, by: String },
    /// Closes a block. The leader proposes it at `at_ms` since the Unix epoch.
    Block { name: String, block: u64, tallies: Vec<Tally>, at_ms: u64 },
    /// Ends the experiment after its maximum duration and the grace period, whichever members have reported.
    Over { name: String, at_ms: u64 },
}

/// The effect of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Applied {
    /// The experiment was started.
    Started,
    /// The block was added, and the experiment continues.
    Taken { block: u64 },
    /// The experiment ended with this verdict; none if an operator stopped it or switched to another table.
    Ended(Option<Verdict>),
}

/// Why an entry was rejected. It changed nothing then.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum RecordError {
    #[error("experiment {name} is not running")]
    #[diagnostic(help("`hopwalk fleet experiment show` shows what runs and how earlier ones ended"))]
    NotRunning { name: String },
    #[error("experiment {name} of {by} is running")]
    #[diagnostic(help("one runs at a time: wait for its verdict, or stop it with `fleet experiment stop`"))]
    Busy { name: String, by: String },
    #[error("there already was an experiment {name}")]
    #[diagnostic(help("give a new name and a new salt: `fleet experiment show` lists the names in use"))]
    Known { name: String },
    #[error("the name of the operator has {bytes} bytes")]
    #[diagnostic(help("give an operator name of at most {MAX_OPERATOR_NAME} bytes"))]
    By { bytes: usize },
    #[error("invalid experiment: {problem}")]
    #[diagnostic(help("correct the document and start the experiment again"))]
    Document { problem: DocumentError },
    #[error("no table is active")]
    #[diagnostic(help("activate a table whose routes have the arms, then start the experiment"))]
    NoTable,
    #[error("version {version} of {by} is being activated")]
    #[diagnostic(help("wait until the activation ends (`fleet routes show`), then start the experiment"))]
    Switching { version: Version, by: String },
    #[error("no route of version {version} has arms")]
    #[diagnostic(help("propose and activate a table with the experiment's arms first"))]
    NoArms { version: Version },
    #[error("the arms of class {class} in version {version} are not those of the document")]
    #[diagnostic(help(
        "give both the same names and shares: the shares of a table are in thousandths, those of the document sum to 1"
    ))]
    OtherArms { version: Version, class: String },
    #[error("block {block} is out of order: the next is {next}")]
    #[diagnostic(help("another leader closed it: nothing is lost, and no action is needed"))]
    Order { block: u64, next: u64 },
    #[error("a block has {tallies} tallies for {arms} arms, or a count above {MAX_COUNT}")]
    #[diagnostic(help("look for another version of the program among the voters"))]
    Tallies { tallies: usize, arms: usize },
    #[error("{at_ms} ms is {early_ms} ms too early")]
    #[diagnostic(help("check the system clocks of the voters: they must agree to a fraction of a block"))]
    Early { at_ms: u64, early_ms: u64 },
}

/// How an experiment ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum End {
    /// With a verdict, from its blocks or at the end of its maximum duration.
    Verdict { verdict: Verdict, at_ms: u64 },
    /// An operator stopped it.
    Stopped { by: String },
    /// Another table than the one with its arms became active: later counts belong to that table.
    Overtaken { active: Option<Fence> },
}

/// An ended experiment in the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedExperiment {
    /// The document.
    pub experiment: Experiment,
    /// The operator who started it.
    pub by: String,
    /// The fence of the table with its arms.
    pub on: Fence,
    /// The number of closed blocks.
    pub closed: u64,
    /// How it ended, with the evidence.
    pub end: End,
    /// The version of the table that sends all traffic to the winner, if `activate` was set.
    pub made: Option<Version>,
}

/// The running experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningExperiment {
    /// The document.
    pub experiment: Experiment,
    /// Whether the fleet switches to a winner.
    pub activate: bool,
    /// The operator who started it.
    pub by: String,
    /// The fence of the table with its arms.
    pub on: Fence,
    /// The evaluation of its blocks so far.
    #[serde(rename = "weighing")]
    pub evaluation: Evaluation,
}

/// The state after all entries. Its size does not depend on the number of blocks, apart from a logarithmic term: it
/// holds a few statistics per arm and up to [`MAX_HISTORY`] documents.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    running: Option<RunningExperiment>,
    history: VecDeque<EndedExperiment>,
}

impl State {
    /// Applies the next entry. `routes` is the state of the route tables from the same log. The result is
    /// deterministic: the time is part of the entry.
    ///
    /// # Errors
    /// [`RecordError`] for an entry that is invalid in this state; nothing is changed then.
    pub fn apply(&mut self, entry: &Entry, routes: &mut routes::State) -> Result<Applied, RecordError> {
        match entry {
            Entry::Start { experiment, activate, by } => self.start(experiment, *activate, by, routes),
            Entry::Stop { name, by } => {
                check_operator_name(by)?;
                self.find_running(name)?;
                Ok(self.end(End::Stopped { by: by.clone() }, routes))
            }
            Entry::Block { name, block, tallies, at_ms } => {
                let running = self.find_running(name)?;
                let (next, arms) = (running.evaluation.closed(), running.experiment.arms.len());
                if *block != next {
                    return Err(RecordError::Order { block: *block, next });
                }
                if tallies.len() != arms || tallies.iter().any(|tally| tally.max_count() > MAX_COUNT) {
                    return Err(RecordError::Tallies { tallies: tallies.len(), arms });
                }
                check_not_early(*at_ms, running.experiment.end_of(next))?;
                if let Some(end) = end_if_overtaken(running, routes) {
                    return Ok(self.end(end, routes));
                }
                // A block that is closed late is evaluated like one in time: only `Over` ends the experiment with
                // blocks missing.
                let now = running.experiment.end_of(next);
                let RunningExperiment { experiment, evaluation, .. } = running;
                let verdict = evaluation.push(experiment, tallies);
                match verdict.unwrap_or_else(|| evaluation.verdict(experiment, now)) {
                    Verdict::Continue { .. } => Ok(Applied::Taken { block: *block }),
                    verdict => Ok(self.end(End::Verdict { verdict, at_ms: *at_ms }, routes)),
                }
            }
            Entry::Over { name, at_ms } => {
                let running = self.find_running(name)?;
                check_not_early(*at_ms, running.experiment.deadline())?;
                let end = end_if_overtaken(running, routes).unwrap_or_else(|| {
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
        check_operator_name(by)?;
        experiment.check().map_err(|problem| RecordError::Document { problem })?;
        if let Some(running) = &self.running {
            let name = running.experiment.name.clone();
            return Err(RecordError::Busy { name, by: running.by.clone() });
        }
        if self.history.iter().any(|past| past.experiment.name == experiment.name) {
            return Err(RecordError::Known { name: experiment.name.clone() });
        }
        if let Some(run) = routes.open_activation() {
            let version = run.activation.fence.version;
            return Err(RecordError::Switching { version, by: run.by.clone() });
        }
        let on = routes.active().ok_or(RecordError::NoTable)?.fence;
        let table = routes.table(on.version).ok_or(RecordError::NoTable)?;
        check_arms(experiment, table, on.version)?;
        self.running = Some(RunningExperiment {
            evaluation: Evaluation::new(experiment),
            experiment: experiment.clone(),
            activate,
            by: by.into(),
            on,
        });
        Ok(Applied::Started)
    }

    fn find_running(&mut self, name: &str) -> Result<&mut RunningExperiment, RecordError> {
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
                let table =
                    table.and_then(|table| table_of_winner(table, &running.experiment.arms.get(arm)?.name));
                table.map(|table| routes.keep_experiment_winner(table))
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

    /// The document of the running experiment.
    pub fn running(&self) -> Option<&Experiment> {
        self.running.as_ref().map(|running| &running.experiment)
    }

    /// The running experiment, with the evaluation of its blocks.
    pub fn running_experiment(&self) -> Option<&RunningExperiment> {
        self.running.as_ref()
    }

    /// The number of closed blocks of the running experiment; 0 if none is running.
    pub fn closed(&self) -> u64 {
        self.running.as_ref().map_or(0, |running| running.evaluation.closed())
    }

    /// The ended experiments, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &EndedExperiment> {
        self.history.iter()
    }

    /// The version with a winner's table whose activation the leader must begin now. None while another activation is
    /// in progress, and none once an activation of this version has begun or another version has become active.
    pub fn to_activate(&self, routes: &routes::State) -> Option<Version> {
        routes.experiment_winner().filter(|_| routes.open_activation().is_none())
    }
}

fn check_operator_name(by: &str) -> Result<(), RecordError> {
    match by.len() {
        bytes if bytes > MAX_OPERATOR_NAME => Err(RecordError::By { bytes }),
        _ => Ok(()),
    }
}

fn check_not_early(at_ms: u64, end: Duration) -> Result<(), RecordError> {
    match end.saturating_sub(Duration::from_millis(at_ms)).as_millis() as u64 {
        0 => Ok(()),
        early_ms => Err(RecordError::Early { at_ms, early_ms }),
    }
}

/// How the experiment ends if another table is active than the one on which it started.
fn end_if_overtaken(running: &RunningExperiment, routes: &routes::State) -> Option<End> {
    let active = routes.active().map(|active| active.fence);
    (active != Some(running.on)).then_some(End::Overtaken { active })
}

/// Checks that every route with arms has those of the document: the same names and the same shares.
fn check_arms(experiment: &Experiment, table: &Table, version: Version) -> Result<(), RecordError> {
    let mut routes = table.routes.iter().filter(|route| !route.arms.is_empty()).peekable();
    if routes.peek().is_none() {
        return Err(RecordError::NoArms { version });
    }
    let different = routes.find(|route| {
        let is_in_route = |arm: &super::Arm| {
            // A document may have rounded shares: a difference of half a millionth is ignored.
            let has_same_share = |share: u32| (f64::from(share) / f64::from(SHARES) - arm.share).abs() < 5e-7;
            route.arms.iter().any(|table_arm| table_arm.name == arm.name && has_same_share(table_arm.share))
        };
        route.arms.len() != experiment.arms.len() || !experiment.arms.iter().all(is_in_route)
    });
    match different {
        Some(route) => Err(RecordError::OtherArms { version, class: route.class.clone() }),
        None => Ok(()),
    }
}

/// The table without arms: each route that had arms uses the winner's pool. None if a route has no such arm.
fn table_of_winner(table: &Table, arm: &str) -> Option<Table> {
    let mut table = table.clone();
    for route in table.routes.iter_mut().filter(|route| !route.arms.is_empty()) {
        route.pool =
            std::mem::take(&mut route.arms).into_iter().find(|table_arm| table_arm.name == arm)?.pool;
    }
    Some(table)
}
