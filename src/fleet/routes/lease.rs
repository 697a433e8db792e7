//! The route lease: the right to act on the version in force until a moment on the holder's monotonic clock (Gray and
//! Cheriton, "Leases", 1989). The module contains the holder's side ([`HeldLease`]) and the leader's side
//! ([`LeaseTable`]), so that their bounds can be compared.
//!
//! The holder counts a lease from when its request was *sent*, on its own clock, shortened by twice the drift. The
//! leader counts it from when the request was *received*, on its own clock, in full. A request is received after it was
//! sent, so the holder's lease always ends first, by the time of the transfer.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{drift, MemberIncarnation, Turn};

/// A lease as its holder knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldLease {
    until: Duration,
}

impl HeldLease {
    /// Extends the lease by a grant of `length` for a request sent at `sent`; a lease that lasts longer stays.
    pub fn extend(&mut self, sent: Duration, length: Duration) {
        self.until = self.until.max(sent + length.saturating_sub(drift(length) * 2));
    }

    /// Ends the lease at once.
    pub fn release(&mut self) {
        self.until = Duration::ZERO;
    }

    /// Returns whether the lease is valid at `now`.
    pub fn holds(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns the moment at which the lease ends; zero if there was none.
    pub fn until(&self) -> Duration {
        self.until
    }
}

/// What the leader knows of one incarnation of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantedLease {
    /// The moment on the leader's clock by which its lease has ended.
    pub end: Duration,
    /// The number of the newest request that was processed.
    pub number: u64,
    /// The newest request that it reports to have a reply to, and when it first reported that.
    pub last_reply: (u64, Duration),
    /// The turn that it reports to be prepared for.
    pub prepared: Option<Turn>,
    /// The turn whose commit it acknowledged.
    pub acknowledged: Option<Turn>,
}

/// The leases that a leader has granted.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    granted: BTreeMap<MemberIncarnation, GrantedLease>,
}

impl LeaseTable {
    /// The highest number of incarnations that are remembered; others get no lease.
    pub const MAX: usize = 8192;

    /// Returns the entry of an incarnation, which is created if there is room.
    pub fn entry(&mut self, member: &MemberIncarnation) -> Option<&mut GrantedLease> {
        if self.granted.len() >= Self::MAX && !self.granted.contains_key(member) {
            return None;
        }
        Some(self.granted.entry(member.clone()).or_default())
    }

    /// Returns all entries.
    pub fn iter(&self) -> impl Iterator<Item = (&MemberIncarnation, &GrantedLease)> {
        self.granted.iter()
    }

    /// Forgets the incarnations whose lease ended before `now` by more than `keep`.
    pub fn remove_expired(&mut self, now: Duration, retention: Duration) {
        self.granted.retain(|_, g| g.end + retention > now);
    }
}
