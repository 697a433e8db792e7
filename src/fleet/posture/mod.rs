//! The [`Posture`] of a member: how much of the fleet it can reach, and what it is permitted to do. [`Reachability`]
//! derives it from the last answers of each named voter over the record's links and of any member to the membership's
//! probes, without I/O and without a clock. Members declared down play no part: a member that is cut off declares the
//! others down seconds after they declare it down. No other code decides by the number of members that are up.

use std::collections::BTreeMap;
use std::time::Duration;

/// A voter counts as unreachable if it answered no request sent within this many protocol periods.
pub const REACHABLE_PERIODS: u32 = 5;

/// How much of the fleet a member can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Posture {
    /// No other member is reachable, neither over the record's links nor by the membership, and this member alone is no
    /// majority.
    Alone,
    /// Other members are reachable, but no majority of the voters over the record's links.
    Minority,
    /// A majority of the voters is reachable over the record's links, including this member if it is a voter.
    Majority,
    /// Every voter is reachable over the record's links.
    Whole,
}

/// What a posture permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Answer requests: always permitted. The route lease decides which calls may be made.
    pub serve: bool,
    /// Accept an operator's new route table.
    pub propose: bool,
    /// Report that a version is prepared on this member.
    pub prepare: bool,
    /// Begin or commit an activation; an abort needs no permission.
    pub activate: bool,
    /// End an experiment with a winner.
    pub decide: bool,
}

impl Posture {
    /// The permissions of each posture. `whole` and `majority` differ only in what operators read, not in what is
    /// permitted: the loss of a voter must not stop the fleet.
    pub fn permissions(self) -> Permissions {
        let row = |serve, propose, prepare, activate, decide| Permissions {
            serve,
            propose,
            prepare,
            activate,
            decide,
        };
        match self {
            //                        serve propose prepare activate decide
            Posture::Whole => row(true, true, true, true, true),
            Posture::Majority => row(true, true, true, true, true),
            Posture::Minority => row(true, false, false, false, false),
            Posture::Alone => row(true, false, false, false, false),
        }
    }

    /// The name of the posture for operators.
    pub const fn name(self) -> &'static str {
        match self {
            Posture::Whole => "whole",
            Posture::Majority => "majority",
            Posture::Minority => "minority",
            Posture::Alone => "alone",
        }
    }
}

/// When each other member last answered, so that both directions are known to have worked.
#[derive(Clone, Debug)]
pub struct Reachability {
    own: String,
    voters: Vec<String>,
    answer_validity: Duration,
    answered_at: BTreeMap<String, Duration>,
    /// How long an answer to a membership probe counts, and when the last answered probe to each member was sent.
    membership_validity: Duration,
    membership_answered_at: BTreeMap<String, Duration>,
}

impl Reachability {
    /// Creates the state of the member `own` with the named voters and the period of their requests. No member is
    /// reachable yet.
    pub fn new(own: &str, voters: &[String], period: Duration) -> Self {
        let mut voters = voters.to_vec();
        voters.sort();
        voters.dedup();
        let (answered_at, membership_answered_at) = Default::default();
        let answer_validity = period * REACHABLE_PERIODS;
        Self {
            own: own.into(),
            voters,
            answer_validity,
            answered_at,
            membership_validity: Duration::ZERO,
            membership_answered_at,
        }
    }

    /// Adds a membership with this protocol period. Its answers distinguish `minority` from `alone`, and nothing else.
    pub fn with_membership(self, period: Duration) -> Self {
        Self { membership_validity: period * REACHABLE_PERIODS, ..self }
    }

    /// Records that the member `name` answered a request sent at `sent`: at that moment or later both directions
    /// worked. Counting from the request, not from the answer, is what detects a link that works in one direction only.
    pub fn answered(&mut self, name: &str, sent: Duration) {
        if name != self.own {
            let last = self.answered_at.entry(name.into()).or_insert(sent);
            *last = sent.max(*last);
        }
    }

    /// Records that the member `name`, voter or not, answered a membership probe sent at `sent`. This does not count as
    /// an answer of a voter: leases and the record use other links, and the membership probes one member per period, so
    /// in a fleet of more than six members five periods without an answer mean nothing for a single member.
    pub fn membership_answered(&mut self, name: &str, sent: Duration) {
        let membership_validity = self.membership_validity;
        self.membership_answered_at.retain(|_, at| sent < *at + membership_validity);
        if name != self.own {
            let last = self.membership_answered_at.entry(name.into()).or_insert(sent);
            *last = sent.max(*last);
        }
    }

    /// Removes a member that is not a voter and will not return.
    pub fn forget(&mut self, name: &str) {
        self.answered_at.remove(name);
        self.membership_answered_at.remove(name);
    }

    /// The members that are reachable by the membership at `now`, for operators.
    pub fn membership_reachable(&self, now: Duration) -> Vec<&str> {
        let recent =
            self.membership_answered_at.iter().filter(|(_, at)| now < **at + self.membership_validity);
        recent.map(|(name, _)| name.as_str()).collect()
    }

    /// The posture at `now`. It leaves `majority` at most [`REACHABLE_PERIODS`] periods after the last request that was
    /// answered.
    pub fn posture(&self, now: Duration) -> Posture {
        let fresh =
            |name: &String| self.answered_at.get(name).is_some_and(|at| now < *at + self.answer_validity);
        let reached = self.voters.iter().filter(|v| **v == self.own || fresh(v)).count();
        if reached == self.voters.len() && reached > 0 {
            Posture::Whole
        } else if reached * 2 > self.voters.len() {
            Posture::Majority
        } else if self.answered_at.keys().any(fresh) || !self.membership_reachable(now).is_empty() {
            Posture::Minority
        } else {
            Posture::Alone
        }
    }

    /// When the posture may next change without a new answer; `None` if no member is reachable.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let record = self.answered_at.values().map(|at| *at + self.answer_validity);
        let membership = self.membership_answered_at.values().map(|at| *at + self.membership_validity);
        record.chain(membership).filter(|at| *at > now).min()
    }

    /// The voters that are unreachable at `now`, for operators.
    pub fn unreachable_voters(&self, now: Duration) -> Vec<&str> {
        let unreachable = |v: &&String| {
            **v != self.own && self.answered_at.get(*v).is_none_or(|at| now >= *at + self.answer_validity)
        };
        self.voters.iter().filter(unreachable).map(String::as_str).collect()
    }
}
