//! The leader's side of an experiment: collects the reports of the matchers and proposes log entries that close blocks
//! or end the experiment. A new leader needs none of its state: each matcher repeats its report until the record has
//! closed the block.

use std::collections::BTreeSet;
use std::time::Duration;

use super::blocks;
use super::counter::Report;
use super::counts::{Counts, CountsError};
use super::record::{Entry, State};

/// The entry that was proposed and whose outcome is not known yet.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PendingEntry {
    Block(u64),
    Over,
}

/// The reports that the leader of one term has collected. A new term begins with [`Collector::default`].
#[derive(Clone, Debug, Default)]
pub struct Collector {
    /// The experiment that the counts belong to.
    experiment: Option<String>,
    counts: Counts,
    pending: Option<PendingEntry>,
    /// When it first could receive reports. Members need the grace period to report to a new leader as well.
    started_at: Option<Duration>,
}

impl Collector {
    /// Adds a matcher's report. A report of another experiment than the running one is ignored.
    ///
    /// # Errors
    /// [`CountsError`] if a limit would be exceeded or the report is invalid; nothing is changed then.
    pub fn add_report(&mut self, state: &State, report: &Report) -> Result<(), CountsError> {
        self.follow_state(state);
        if self.experiment.as_ref() != Some(&report.experiment) {
            return Ok(());
        }
        self.counts.merge(&report.counts)?;
        self.counts.discard_before(state.closed());
        Ok(())
    }

    /// The entry to propose at `now`, since the Unix epoch, if any: the next block if it can be closed, otherwise the
    /// end of the experiment once it is due. `members` are the members whose reports are expected. Returns none while
    /// an earlier entry is pending: see [`Collector::proposal_finished`]. Until the grace period has passed since the
    /// first call, no block is closed without all members, and the experiment does not end.
    pub fn propose(&mut self, state: &State, members: &BTreeSet<String>, now: Duration) -> Option<Entry> {
        self.follow_state(state);
        let experiment = state.running()?;
        if self.pending.is_some() {
            return None;
        }
        let (name, block) = (experiment.name.clone(), state.closed());
        let started_at = self.started_at.map_or(now, |started_at| started_at.min(now));
        self.started_at = Some(started_at);
        let grace = Duration::from_millis(experiment.grace_ms);
        let is_new = now < started_at.saturating_add(grace);
        let before_grace_ends =
            experiment.end_of(block).saturating_add(grace).saturating_sub(Duration::from_millis(1));
        let close_at = if is_new { now.min(before_grace_ends) } else { now };
        let at_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        if let Some(tallies) = blocks::close(experiment, &self.counts, members, close_at, block) {
            self.pending = Some(PendingEntry::Block(block));
            return Some(Entry::Block { name, block, tallies, at_ms });
        }
        (now >= experiment.deadline() && !is_new).then(|| {
            self.pending = Some(PendingEntry::Over);
            Entry::Over { name, at_ms }
        })
    }

    /// The pending proposal has been applied, refused or abandoned. If it is not in the log, it is proposed again; if
    /// it was committed late after all, the record refuses the second copy.
    pub fn proposal_finished(&mut self) {
        self.pending = None;
    }

    /// The number of counters held.
    pub fn cells(&self) -> usize {
        self.counts.cells()
    }

    fn follow_state(&mut self, state: &State) {
        let name = state.running().map(|experiment| &experiment.name);
        if self.experiment.as_ref() != name {
            *self = Self { experiment: name.cloned(), ..Self::default() };
        }
        if matches!(self.pending, Some(PendingEntry::Block(block)) if block < state.closed()) {
            self.pending = None;
        }
    }
}
