//! Counting at one matcher: what of the traffic is an observation, and what of it is sent to the leader.
//!
//! An experiment draws subjects, so a subject is what counts. Of its outcomes the first one counts at each matcher: else
//! a subject that returns would put what is its own into every block, and one with most of the traffic would be the
//! difference of its arm. Whose subjects are requests loses nothing by it.
//!
//! The split's check takes each subject as one draw over the whole fleet, and a subject may come to every matcher. So each
//! subject has one owner among the members, by rendezvous hashing apart from the split, and only there it is counted as
//! assigned. Who never comes to its owner is not counted: that is a fair sample, since the owner is drawn without the
//! arm. Sets of hashes that the leader merges would count them all, but to find 2 in 100 lost takes some 10^5 subjects:
//! a megabyte from each matcher. Sketches (HyperLogLog and such) as exact as that take as much.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashSet};
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

use super::counts::{Cell, Counts, CountsError, Kind, MemberIncarnation};
use super::{assign, Experiment};

/// Subjects that are counted as assigned at most, at one matcher. Who comes later is not, in no arm.
pub const MAX_SUBJECTS: usize = 1 << 17;
/// Subjects whose outcome was counted are forgotten once so many others came after, and then count anew: so no subject
/// gives more than one outcome in so many.
pub const SUBJECT_RETENTION: usize = 1 << 16;
/// Blocks of which counters are sent at once: what is more waits until those are closed.
pub const MAX_REPORTED_BLOCKS: u64 = 128;

/// The hashes are keyed already.
type Hashes = HashSet<u64, BuildHasherDefault<DefaultHasher>>;

/// What a matcher tells the leader: its own life's counts of blocks that are not closed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Of which experiment.
    pub experiment: String,
    /// What it counted. At most [`MAX_REPORTED_BLOCKS`] blocks.
    pub counts: Counts,
}

/// One life's count of one experiment. Times are since the Unix epoch, by the system clock of this matcher. Where it was
/// set back, what ends counts in the first block that is not told yet.
#[derive(Clone, Debug)]
pub struct Counter {
    experiment: Experiment,
    life: MemberIncarnation,
    /// Its own key of ownership, and those of the others; none where it counts no subjects.
    keys: Option<(u64, Vec<u64>)>,
    assigned: Hashes,
    /// Whose outcome was counted: the newer ones, and the older ones.
    ended: [Hashes; 2],
    counts: Counts,
    told: u64,
    closed: u64,
}

impl Counter {
    /// Begins to count at `now`. `members` are those who serve, as this matcher knows them at the start; the same at all
    /// of them, else some subjects are counted twice or not at all. A life that begins after the first block (a restart, or a
    /// member that joins) counts no subjects as assigned: an earlier one may have. Its outcomes count.
    pub fn new(
        experiment: Experiment,
        life: MemberIncarnation,
        members: &BTreeSet<String>,
        now: Duration,
    ) -> Self {
        let key = |name: &String| hash(&experiment, b"owner", name.as_bytes());
        let others = members.iter().filter(|name| **name != life.0).map(key).collect();
        let keys = (now < experiment.end_of(0)).then(|| (key(&life.0), others));
        let (assigned, ended, counts) = Default::default();
        Self { experiment, life, keys, assigned, ended, counts, told: 0, closed: 0 }
    }

    /// What it counts of.
    pub fn experiment(&self) -> &Experiment {
        &self.experiment
    }

    /// A request of `subject` was routed by its arm. Any number of times: it counts once.
    ///
    /// # Errors
    /// [`CountsError`] where there is no room; nothing is counted then.
    pub fn count_assigned(&mut self, subject: &[u8], now: Duration) -> Result<(), CountsError> {
        let (Some(block), Some((own, others))) = (self.block(now), &self.keys) else { return Ok(()) };
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

    /// A request of `subject` had its final answer at `now`. The first one of a subject counts.
    ///
    /// # Errors
    /// [`CountsError`] where there is no room; nothing is counted then.
    pub fn count_outcome(&mut self, subject: &[u8], kind: Kind, now: Duration) -> Result<(), CountsError> {
        let Some(block) = self.block(now).filter(|_| kind != Kind::Assigned) else { return Ok(()) };
        let hash = hash(&self.experiment, b"subject", subject);
        let [newer, older] = &mut self.ended;
        if older.contains(&hash) || !newer.insert(hash) {
            return Ok(());
        }
        if newer.len() >= SUBJECT_RETENTION {
            std::mem::swap(newer, older);
            newer.clear();
        }
        self.add(block, subject, kind)
    }

    fn add(&mut self, block: u64, subject: &[u8], kind: Kind) -> Result<(), CountsError> {
        let arm = assign::arm(&self.experiment, subject) as u8;
        self.counts.add(&self.life, Cell { block, arm, kind }, 1)
    }

    /// The block that something at `now` counts in.
    fn block(&self, now: Duration) -> Option<u64> {
        let block = self.experiment.block_at(now)?.max(self.told);
        (block < self.experiment.blocks()).then_some(block)
    }

    /// The leader's record closed the first `closed` blocks: what was counted of them is dropped.
    pub fn discard_closed(&mut self, closed: u64) {
        if closed > self.closed {
            self.closed = closed;
            self.counts.discard_before(closed);
        }
    }

    /// What to send at `now`: its blocks that are over are told, and final. Sent again and again, until they are closed.
    ///
    /// # Errors
    /// None but [`CountsError::Incarnations`], which one life does not come to.
    pub fn report(&mut self, now: Duration) -> Result<Report, CountsError> {
        let over = match self.experiment.block_at(now) {
            Some(block) => block,
            None if now >= self.experiment.end_of(self.experiment.blocks().saturating_sub(1)) => {
                self.experiment.blocks()
            }
            None => 0,
        };
        self.told = self.told.max(over).max(self.closed);
        self.counts.mark_final(&self.life, self.told)?;
        let counts =
            self.counts.blocks_of(&self.life, self.closed, self.closed.saturating_add(MAX_REPORTED_BLOCKS));
        Ok(Report { experiment: self.experiment.name.clone(), counts })
    }

    /// Counters that are held.
    pub fn cells(&self) -> usize {
        self.counts.cells()
    }
}

/// SipHash-2-4 keyed by the salt, apart from the split's by `what`.
fn hash(experiment: &Experiment, what: &[u8], of: &[u8]) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(!experiment.salt[0], !experiment.salt[1]);
    hasher.write(what);
    hasher.write(of);
    hasher.finish()
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood, 2014): a score of a subject and an owner.
fn mix(z: u64) -> u64 {
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
