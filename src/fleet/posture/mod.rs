//! What a member may do while views differ: decided from when it last heard each named voter both ways over
//! the record's links, and anybody by the membership, without I/O and without a clock. Deaths have no part in
//! it: a member that is cut off calls the others dead seconds after they call it. Nothing else in the code
//! asks how many are up.

use std::collections::BTreeMap;
use std::time::Duration;

/// A voter that was not heard both ways for so many protocol periods counts as out of reach.
pub const REACHABLE_PERIODS: u32 = 5;

/// How much of the fleet a member is in touch with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Posture {
    /// No other member is heard by any way, and it is no majority by itself.
    Alone,
    /// Others are heard, and no majority of the voters over the record's links.
    Minority,
    /// A majority of the voters over the record's links, itself included if it votes.
    Majority,
    /// Every voter over the record's links.
    Whole,
}

/// What a posture may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Answer requests: always, and what it may call is for the route lease to say.
    pub serve: bool,
    /// Take an operator's new table.
    pub propose: bool,
    /// Say that a version is prepared here.
    pub prepare: bool,
    /// Begin an activation, or commit it; an abort needs none of this.
    pub activate: bool,
    /// End an experiment with a winner.
    pub decide: bool,
}

impl Posture {
    /// The one table of what each may do. `whole` and `majority` differ in what operators read, not in what is allowed:
    /// a voter that is gone must not stop the fleet.
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

    /// Its name for operators.
    pub const fn name(self) -> &'static str {
        match self {
            Posture::Whole => "whole",
            Posture::Majority => "majority",
            Posture::Minority => "minority",
            Posture::Alone => "alone",
        }
    }
}

/// When each other member was last heard both ways.
#[derive(Clone, Debug)]
pub struct Reachability {
    own: String,
    voters: Vec<String>,
    within: Duration,
    heard: BTreeMap<String, Duration>,
    /// How long an answer to the membership counts, and who gave one for so long.
    beside: Duration,
    members: BTreeMap<String, Duration>,
}

impl Reachability {
    /// For the member `own`, with the named voters and the membership's protocol period; nobody is heard yet.
    pub fn new(own: &str, voters: &[String], period: Duration) -> Self {
        let mut voters = voters.to_vec();
        voters.sort();
        voters.dedup();
        let (heard, members) = Default::default();
        let within = period * REACHABLE_PERIODS;
        Self { own: own.into(), voters, within, heard, beside: Duration::ZERO, members }
    }

    /// Beside a membership of this protocol period: its answers tell `minority` from `alone`, and nothing
    /// else.
    pub fn with_membership(self, period: Duration) -> Self {
        Self { beside: period * REACHABLE_PERIODS, ..self }
    }

    /// `name` answered something that was sent at `sent`: at that moment or later both ways were open. Counting from the
    /// sending, not from the answer, is what makes a link that works one way only show.
    pub fn answered(&mut self, name: &str, sent: Duration) {
        if name != self.own {
            let last = self.heard.entry(name.into()).or_insert(sent);
            *last = sent.max(*last);
        }
    }

    /// `name`, voter or not, answered a probe of the membership that was sent at `sent`. It is no voter
    /// heard: leases and the record go over other links, and the membership asks one member a period, so in a
    /// fleet of more than six its silence for five periods says nothing of a single one.
    pub fn membership_answered(&mut self, name: &str, sent: Duration) {
        let beside = self.beside;
        self.members.retain(|_, at| sent < *at + beside);
        if name != self.own {
            let last = self.members.entry(name.into()).or_insert(sent);
            *last = sent.max(*last);
        }
    }

    /// A member is gone for good and no voter: it is not kept.
    pub fn forget(&mut self, name: &str) {
        self.heard.remove(name);
        self.members.remove(name);
    }

    /// Whom the membership hears at `now`, for operators.
    pub fn membership_reachable(&self, now: Duration) -> Vec<&str> {
        let late = self.members.iter().filter(|(_, at)| now < **at + self.beside);
        late.map(|(name, _)| name.as_str()).collect()
    }

    /// The posture at `now`. It leaves `majority` at most [`REACHABLE_PERIODS`] periods after the last answer was asked for.
    pub fn posture(&self, now: Duration) -> Posture {
        let fresh = |name: &String| self.heard.get(name).is_some_and(|at| now < *at + self.within);
        let reached = self.voters.iter().filter(|v| **v == self.own || fresh(v)).count();
        if reached == self.voters.len() && reached > 0 {
            Posture::Whole
        } else if reached * 2 > self.voters.len() {
            Posture::Majority
        } else if self.heard.keys().any(fresh) || !self.membership_reachable(now).is_empty() {
            Posture::Minority
        } else {
            Posture::Alone
        }
    }

    /// When the posture may change without a word from anybody; nothing if nobody is heard.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let record = self.heard.values().map(|at| *at + self.within);
        let membership = self.members.values().map(|at| *at + self.beside);
        record.chain(membership).filter(|at| *at > now).min()
    }

    /// The voters that are out of reach at `now`, for operators.
    pub fn unreachable_voters(&self, now: Duration) -> Vec<&str> {
        let lost =
            |v: &&String| **v != self.own && self.heard.get(*v).is_none_or(|at| now >= *at + self.within);
        self.voters.iter().filter(lost).map(String::as_str).collect()
    }
}
