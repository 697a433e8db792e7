//! The leader's part: from what the matchers told to the entries of the log. It holds nothing that a new leader would
//! miss: each matcher tells again, until the record has closed the block.

use std::collections::BTreeSet;
use std::time::Duration;

use super::blocks;
use super::counter::Report;
use super::counts::{Counts, CountsError};
use super::record::{Entry, State};

/// What is on its way into the log.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flight {
    Block(u64),
    Over,
}

/// What the leader of one term collected. A new term begins with [`Collector::default`].
#[derive(Clone, Debug, Default)]
pub struct Collector {
    /// Of which experiment.
    experiment: Option<String>,
    counts: Counts,
    flight: Option<Flight>,
    /// Since when it is there to be told. Members need the grace to tell a new leader as well.
    began: Option<Duration>,
}

impl Collector {
    /// Takes in what a matcher told; what is of another experiment than the one that runs is dropped.
    ///
    /// # Errors
    /// [`CountsError`] where there is no room, or the report cannot be; nothing is taken then.
    pub fn add_report(&mut self, state: &State, report: &Report) -> Result<(), CountsError> {
        self.follow(state);
        if self.experiment.as_ref() != Some(&report.experiment) {
            return Ok(());
        }
        self.counts.merge(&report.counts)?;
        self.counts.discard_before(state.closed());
        Ok(())
    }

    /// The entry to propose at `now`, since the Unix epoch, if there is one: the next block that can be closed, else the
    /// end. `members` are those who are to be heard. None while an earlier one is on its way: [`Collector::proposal_finished`].
    /// Until the first call is the grace ago nobody is given up on, and it does not end.
    pub fn propose(&mut self, state: &State, members: &BTreeSet<String>, now: Duration) -> Option<Entry> {
        self.follow(state);
        let experiment = state.running()?;
        if self.flight.is_some() {
            return None;
        }
        let (name, block) = (experiment.name.clone(), state.closed());
        let began = self.began.map_or(now, |began| began.min(now));
        self.began = Some(began);
        let grace = Duration::from_millis(experiment.grace_ms);
        let young = now < began.saturating_add(grace);
        let before = experiment.end_of(block).saturating_add(grace).saturating_sub(Duration::from_millis(1));
        let heard_at = if young { now.min(before) } else { now };
        let at_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        if let Some(tallies) = blocks::close(experiment, &self.counts, members, heard_at, block) {
            self.flight = Some(Flight::Block(block));
            return Some(Entry::Block { name, block, tallies, at_ms });
        }
        (now >= experiment.deadline() && !young).then(|| {
            self.flight = Some(Flight::Over);
            Entry::Over { name, at_ms }
        })
    }

    /// What was proposed has come to its end: applied, refused, or given up. If the log did not take it, it is proposed
    /// again; if the log took it late, the record refuses the second one.
    pub fn proposal_finished(&mut self) {
        self.flight = None;
    }

    /// Counters that are held.
    pub fn cells(&self) -> usize {
        self.counts.cells()
    }

    fn follow(&mut self, state: &State) {
        let name = state.running().map(|experiment| &experiment.name);
        if self.experiment.as_ref() != name {
            *self = Self { experiment: name.cloned(), ..Self::default() };
        }
        if matches!(self.flight, Some(Flight::Block(block)) if block < state.closed()) {
            self.flight = None;
        }
    }
}
