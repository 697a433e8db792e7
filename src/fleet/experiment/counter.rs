//! Counting at one matcher: which of its traffic is counted for an experiment, and what it reports to the leader.
//!
//! An experiment randomizes subjects, so the subject is the unit of analysis. Each matcher counts only the first
//! outcome of a subject. Otherwise a subject that returns would add its own effect to every block, and a subject with
//! most of the traffic would determine the difference of its arm. Where every request is a subject of its own, nothing
//! is lost by it.
//!
//! The test of the split counts each subject once over the whole fleet, but a subject may send requests to every
//! matcher. So each subject has one owner among the members, chosen by a rendezvous hash that is independent of the
//! assignment, and only the owner counts it as assigned. A subject that never reaches its owner is not counted. The
//! counted subjects are an unbiased sample, since the owner does not depend on the arm. Sets of hashes that the leader
//! merges would count all subjects, but to detect a loss of 2 in 100 takes about 10^5 subjects: a megabyte from each
//! matcher. Sketches (such as HyperLogLog) of that accuracy take as much.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashSet};
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

use super::counts::{Cell, Counts, CountsError, Kind, MemberIncarnation};
use super::{assign, Experiment};

/// Maximum number of subjects that one matcher counts as assigned. Later subjects are not counted, in any arm.
pub const MAX_SUBJECTS: usize = 1 << 17;
/// A subject whose outcome was counted may be forgotten, and then counted again, only after the outcomes of at least
/// this many other subjects. This bounds the memory, and no subject has more than one in this many outcomes.
pub const SUBJECT_RETENTION: usize = 1 << 16;
/// Maximum number of blocks in one report. Later blocks are reported once these are closed.
pub const MAX_REPORTED_BLOCKS: u64 = 128;

/// The values are keyed hashes already, so the hasher of the set needs no key.
type Hashes = HashSet<u64, BuildHasherDefault<DefaultHasher>>;

/// A matcher's report to the leader: the counts of its current incarnation in the blocks that are not closed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The name of the experiment.
    pub experiment: String,
    /// The counts, of at most [`MAX_REPORTED_BLOCKS`] blocks.
    pub counts: Counts,
}

/// Counts for one experiment in one incarnation of a matcher. Times are since the Unix epoch, by the system clock of
/// this matcher. If that clock is set back, events are counted in the first block that is not final yet.
#[derive(Clone, Debug)]
pub struct Counter {
    experiment: Experiment,
    member: MemberIncarnation,
    /// Its own key for the choice of owners, and those of the other members; none if it counts no subjects.
    owner_keys: Option<(u64, Vec<u64>)>,
    assigned: Hashes,
    /// Hashes of subjects whose outcome was counted: the recent ones and the older ones.
    with_outcome: [Hashes; 2],
    counts: Counts,
    final_blocks: u64,
    closed: u64,
}

impl Counter {
    /// Starts to count at `now`. `members` are the serving members that this matcher knows at the start. They must be
    /// the same at all matchers, otherwise some subjects are counted twice or not at all. An incarnation that begins
    /// after the first block (after a restart, or as a new member) counts no subjects as assigned, since an earlier
    /// incarnation may have counted them. It does count outcomes.
    pub fn new(
        experiment: Experiment,
        member: MemberIncarnation,
        members: &BTreeSet<String>,
        now: Duration,
    ) -> Self {
        let key = |name: &String| hash(&experiment, b"owner", name.as_bytes());
        let others = members.iter().filter(|name| **name != member.0).map(key).collect();
        let owner_keys = (now < experiment.end_of(0)).then(|| (key(&member.0), others));
        let (assigned, with_outcome, counts) = Default::default();
        Self { experiment, member, owner_keys, assigned, with_outcome, counts, final_blocks: 0, closed: 0 }
    }

    /// The experiment that it counts for.
    pub fn experiment(&self) -> &Experiment {
        &self.experiment
    }

    /// Counts `subject`, of which a request was routed by its arm. Repeated calls count it once.
    ///
    /// # Errors
    /// [`CountsError`] if a limit would be exceeded; nothing is counted then.
    pub fn count_assigned(&mut self, subject: &[u8], now: Duration) -> Result<(), CountsError> {
        let (Some(block), Some((own, others))) = (self.block(now), &self.owner_keys) else { return Ok(()) };
        let hash = hash(&self.experiment, b"subject", subject);
        let score = mix(hash ^ own);
        if others.iter().any(|other| mix(hash ^ other) > score)
            || self.assigned.len() >= MAX_SUBJECTS
            || !self.assigned.insert(hash)
        {
            return Ok(());
        }
        self.add(block, subject, Kind::Assigned)
    }

    /// Counts the outcome of a request of `subject` that had its final answer at `now`. Only a subject's first outcome
    /// counts.
    ///
    /// # Errors
    /// [`CountsError`] if a limit would be exceeded; nothing is counted then.
    pub fn count_outcome(&mut self, subject: &[u8], kind: Kind, now: Duration) -> Result<(), CountsError> {
        let Some(block) = self.block(now).filter(|_| kind != Kind::Assigned) else { return Ok(()) };
        let hash = hash(&self.experiment, b"subject", subject);
        let [recent, older] = &mut self.with_outcome;
        if older.contains(&hash) || !recent.insert(hash) {
            return Ok(());
        }
        if recent.len() >= SUBJECT_RETENTION {
            std::mem::swap(recent, older);
            recent.clear();
        }
        self.add(block, subject, kind)
    }

    fn add(&mut self, block: u64, subject: &[u8], kind: Kind) -> Result<(), CountsError> {
        let arm = assign::arm(&self.experiment, subject) as u8;
        self.counts.add(&self.member, Cell { block, arm, kind }, 1)
    }

    /// The block in which an event at `now` is counted.
    fn block(&self, now: Duration) -> Option<u64> {
        let block = self.experiment.block_at(now)?.max(self.final_blocks);
        (block < self.experiment.blocks()).then_some(block)
    }

    /// Discards the counts of the first `closed` blocks, which the leader's record has closed.
    pub fn discard_closed(&mut self, closed: u64) {
        if closed > self.closed {
            self.closed = closed;
            self.counts.discard_before(closed);
        }
    }

    /// The report to send at `now`. It makes the blocks that have ended final. Blocks are reported repeatedly until
    /// they are closed.
    ///
    /// # Errors
    /// Only [`CountsError::Incarnations`], which cannot occur with a single incarnation.
    pub fn report(&mut self, now: Duration) -> Result<Report, CountsError> {
        let ended_blocks = match self.experiment.block_at(now) {
            Some(block) => block,
            None if now >= self.experiment.end_of(self.experiment.blocks().saturating_sub(1)) => {
                self.experiment.blocks()
            }
            None => 0,
        };
        self.final_blocks = self.final_blocks.max(ended_blocks).max(self.closed);
        self.counts.mark_final(&self.member, self.final_blocks)?;
        let counts =
            self.counts.blocks_of(&self.member, self.closed, self.closed.saturating_add(MAX_REPORTED_BLOCKS));
        Ok(Report { experiment: self.experiment.name.clone(), counts })
    }

    /// The number of counters held.
    pub fn cells(&self) -> usize {
        self.counts.cells()
    }
}

/// SipHash-2-4 keyed by the inverted salt, which makes it independent of the assignment. `purpose` separates its uses.
fn hash(experiment: &Experiment, purpose: &[u8], value: &[u8]) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(!experiment.salt[0], !experiment.salt[1]);
    hasher.write(purpose);
    hasher.write(value);
    hasher.finish()
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood, 2014): the score of a subject at a possible owner.
fn mix(z: u64) -> u64 {
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
