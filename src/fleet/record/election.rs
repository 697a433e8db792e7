//! When a voter stands for election again after an election that nobody won.
//!
//! openraft draws a voter's election timeout once in its life, and compares it with the time on a tick of one and a half
//! heartbeats. Two voters whose timeouts end in one tick stand together in every term: each votes for itself, and nobody
//! is elected. Raft asks for a new draw in each election (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014, section 5.2), so a candidate's next attempt is drawn and timed here. The first attempt after a
//! leader's silence stays openraft's.

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use openraft::{Raft, RaftMetrics, ServerState};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::fleet::random;
use crate::fleet::wire::raft::{NodeId, Types, Voter};

type Metrics = watch::Receiver<RaftMetrics<NodeId, Voter>>;

/// The last term in which another voter refused its vote because its log is longer. openraft lets this voter wait for
/// longer then, so that the other one is elected.
#[derive(Clone, Debug, Default)]
pub(super) struct ShorterLog {
    term: Arc<AtomicU64>,
}

impl ShorterLog {
    /// A voter with a longer log refused its vote in `term`.
    pub(super) fn refused_in(&self, term: u64) {
        self.term.store(term, Ordering::Relaxed);
    }

    fn is_known_in(&self, term: u64) -> bool {
        self.term.load(Ordering::Relaxed) == term
    }
}

/// The range from which a candidate's next timeout is drawn: at least as wide as the longest timeout, however close the
/// two of the settings are.
fn range((least, most): (Duration, Duration)) -> Range<Duration> {
    least..least + most
}

/// A time in `range`, to the millisecond; its middle where the system has no random numbers.
fn draw(range: Range<Duration>) -> Duration {
    let width = (range.end - range.start).as_millis() as u64;
    let offset = random::number().map_or(width / 2, |number| number % width.max(1));
    range.start + Duration::from_millis(offset)
}

/// Waits until this voter is a candidate, and returns the term. None: the record was closed.
async fn candidacy(metrics: &mut Metrics) -> Option<u64> {
    let seen = metrics.wait_for(|seen| seen.state == ServerState::Candidate).await.ok()?;
    Some(seen.current_term)
}

/// Waits until this voter is no candidate of `term` any more. None: the record was closed.
async fn end_of_candidacy(metrics: &mut Metrics, term: u64) -> Option<()> {
    let ended =
        |seen: &RaftMetrics<NodeId, Voter>| seen.state != ServerState::Candidate || seen.current_term != term;
    metrics.wait_for(ended).await.ok().map(|_| ())
}

/// Stands again after a newly drawn time whenever an election comes to nothing, until the record is closed. For a record of
/// several voters.
pub(super) async fn stand_again(raft: Raft<Types>, election: (Duration, Duration), shorter_log: ShorterLog) {
    let mut metrics = raft.metrics();
    while let Some(term) = candidacy(&mut metrics).await {
        let wait = draw(range(election));
        // openraft's own timer would stand at its fixed time.
        raft.runtime_config().elect(false);
        let ended = timeout(wait, end_of_candidacy(&mut metrics, term)).await;
        raft.runtime_config().elect(true);
        let nobody_was_elected = ended.is_err();
        if nobody_was_elected && !shorter_log.is_known_in(term) {
            let waited_ms = wait.as_millis() as u64;
            tracing::info!(term, waited_ms, "routes: nobody was elected; stands again");
            // The record has stopped, then the metrics end as well.
            let _ = raft.trigger().elect().await;
        }
        if end_of_candidacy(&mut metrics, term).await.is_none() {
            return;
        }
    }
}
