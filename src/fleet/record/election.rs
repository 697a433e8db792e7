//! Randomized retries of elections that nobody won.
//!
//! openraft draws a voter's election timeout once per process and compares it with the time on a tick of one and a half
//! heartbeats. Two voters whose timeouts end in the same tick become candidates together in every term: each votes for
//! itself, and nobody is elected. Raft requires a new random timeout for each election (Ongaro and Ousterhout, "In
//! Search of an Understandable Consensus Algorithm", 2014, section 5.2), so [`retry_elections`] draws and times a
//! candidate's next attempt. The first election after a leader became silent is still started by openraft.

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

/// The last term in which another voter denied its vote because its own log is longer. openraft then makes this voter
/// wait longer before its next attempt, so that the other voter is elected.
#[derive(Clone, Debug, Default)]
pub(super) struct ShorterLog {
    term: Arc<AtomicU64>,
}

impl ShorterLog {
    /// Records that a voter with a longer log denied its vote in `term`.
    pub(super) fn vote_denied_in(&self, term: u64) {
        self.term.store(term, Ordering::Relaxed);
    }

    fn is_known_in(&self, term: u64) -> bool {
        self.term.load(Ordering::Relaxed) == term
    }
}

/// Returns the range from which a candidate's next timeout is drawn. It is as wide as the longest configured timeout,
/// however close the shortest one is to it.
fn range((min, max): (Duration, Duration)) -> Range<Duration> {
    min..min + max
}

/// Draws a time from `range` in whole milliseconds, or takes its middle if the system has no random numbers.
fn draw(range: Range<Duration>) -> Duration {
    let width = (range.end - range.start).as_millis() as u64;
    let offset = random::number().map_or(width / 2, |number| number % width.max(1));
    range.start + Duration::from_millis(offset)
}

/// Waits until this voter is a candidate, and returns the term. Returns `None` if the record was closed.
async fn candidacy(metrics: &mut Metrics) -> Option<u64> {
    let candidate = metrics.wait_for(|current| current.state == ServerState::Candidate).await.ok()?;
    Some(candidate.current_term)
}

/// Waits until this voter is no longer a candidate in `term`. Returns `None` if the record was closed.
async fn end_of_candidacy(metrics: &mut Metrics, term: u64) -> Option<()> {
    let ended = |current: &RaftMetrics<NodeId, Voter>| {
        current.state != ServerState::Candidate || current.current_term != term
    };
    metrics.wait_for(ended).await.ok().map(|_| ())
}

/// Starts a new election after a newly drawn time whenever an election ended without a leader. Returns when the record
/// is closed. Only for a record with several voters.
pub(super) async fn retry_elections(
    raft: Raft<Types>,
    election: (Duration, Duration),
    shorter_log: ShorterLog,
) {
    let mut metrics = raft.metrics();
    while let Some(term) = candidacy(&mut metrics).await {
        let wait = draw(range(election));
        // openraft's own timer would start an election at its fixed time.
        raft.runtime_config().elect(false);
        let ended = timeout(wait, end_of_candidacy(&mut metrics, term)).await;
        raft.runtime_config().elect(true);
        let nobody_was_elected = ended.is_err();
        if nobody_was_elected && !shorter_log.is_known_in(term) {
            let waited_ms = wait.as_millis() as u64;
            tracing::info!(term, waited_ms, "routes: no leader was elected; starting another election");
            // An error means that the record has stopped; the metrics end then as well.
            let _ = raft.trigger().elect().await;
        }
        if end_of_candidacy(&mut metrics, term).await.is_none() {
            return;
        }
    }
}
