//! The route lease: the right to act on the version in force until a moment on the holder's monotonic clock (Gray and
//! Cheriton, "Leases", 1989). Both sides of it, so that their bounds are read side by side.
//!
//! A lease runs from when the ask was *sent* on the holder's clock, shortened by twice the drift; the leader counts it
//! from when the ask *came* on its own clock, in full. The ask came after it was sent, so the holder's lease always ends
//! first, by whatever the way took.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{drift, MemberIncarnation, Turn};

/// A lease as its holder has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldLease {
    until: Duration,
}

impl HeldLease {
    /// Takes a grant of `length` for an ask sent at `sent`; an earlier one that lasts longer stays.
    pub fn extend(&mut self, sent: Duration, length: Duration) {
        self.until = self.until.max(sent + length.saturating_sub(drift(length) * 2));
    }

    /// Gives it up.
    pub fn release(&mut self) {
        self.until = Duration::ZERO;
    }

    /// Whether it may be acted on at `now`.
    pub fn holds(&self, now: Duration) -> bool {
        now < self.until
    }

    /// The moment from which on it does not hold; zero if there was none.
    pub fn until(&self) -> Duration {
        self.until
    }
}

/// What the leader knows of one life.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantedLease {
    /// On the leader's clock its lease has ended by then.
    pub end: Duration,
    /// The newest ask that was taken.
    pub number: u64,
    /// The newest ask that it had a reply to, and when that was first said.
    pub heard: (u64, Duration),
    /// The prepare that it said yes to.
    pub prepared: Option<Turn>,
    /// The commit that it knows.
    pub acknowledged: Option<Turn>,
}

/// The leases that a leader granted.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    given: BTreeMap<MemberIncarnation, GrantedLease>,
}

impl LeaseTable {
    /// Lives that are remembered at most; others get no lease.
    pub const MOST: usize = 8192;

    /// The entry of a life, made if there is room.
    pub fn entry(&mut self, life: &MemberIncarnation) -> Option<&mut GrantedLease> {
        if self.given.len() >= Self::MOST && !self.given.contains_key(life) {
            return None;
        }
        Some(self.given.entry(life.clone()).or_default())
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&MemberIncarnation, &GrantedLease)> {
        self.given.iter()
    }

    /// Forgets lives whose lease ended before `now` by more than `keep`.
    pub fn remove_expired(&mut self, now: Duration, keep: Duration) {
        self.given.retain(|_, g| g.end + keep > now);
    }
}
