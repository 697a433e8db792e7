//! Deadlines of the final answers: one for each request that was read and has no answer yet.
//!
//! A deadline is set when the request is read, shortly after its due time. A stop signal may move it, but only to an
//! earlier time. The answer is expected from the decision module, a run, another try of the same key or the
//! successor, and this may change at any time. The deadline does not change with it: a request without an answer at
//! its deadline is answered by the reducer itself. So every request is answered at its due time and before the
//! process stops.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::types::*;
use super::{Core, Phase};
use crate::interface::{Event, RequestId};

/// The reducer answers a request this long after its due time: late enough for the decision module to answer first, and
/// well within the slack that the rules allow.
const OVERDUE_MARGIN: Duration = Duration::from_millis(20);
/// Maximum number of requests that one log line names.
const MAX_NAMED: usize = 8;

/// The process that is expected to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    /// This process.
    Here(RequestId),
    /// The successor, to which the request was forwarded.
    Successor,
}

#[derive(Clone, Copy, Debug)]
struct Owed {
    deadline: Duration,
    owner: Owner,
}

/// All answers that are owed; at most one for each connection.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerDeadlines {
    owed: HashMap<ConnId, Owed>,
    /// The same answers, ordered by deadline.
    order: BTreeSet<(Duration, ConnId)>,
    /// No deadline is later than this, as the process is killed soon after.
    latest: Option<Duration>,
}

impl AnswerDeadlines {
    /// Records that a connection is owed the answer to a request that is due at `due`.
    pub(super) fn owe(&mut self, conn: ConnId, due: Duration, owner: Owner) {
        let deadline = due + OVERDUE_MARGIN;
        let deadline = self.latest.map_or(deadline, |latest| deadline.min(latest));
        self.discharge(conn);
        self.owed.insert(conn, Owed { deadline, owner });
        self.order.insert((deadline, conn));
    }

    /// Records that a connection got its answer; returns false if none was owed.
    pub(super) fn discharge(&mut self, conn: ConnId) -> bool {
        let owed = self.owed.remove(&conn);
        owed.is_some_and(|owed| self.order.remove(&(owed.deadline, conn)))
    }

    /// Limits all deadlines, including those of later requests, to `latest`. A later time than that of a previous
    /// call has no effect.
    pub(super) fn limit_to(&mut self, latest: Duration) {
        if self.latest.is_some_and(|before| before <= latest) {
            return;
        }
        self.latest = Some(latest);
        while let Some((deadline, conn)) = self.order.last().copied().filter(|(at, _)| *at > latest) {
            self.order.remove(&(deadline, conn));
            self.order.insert((latest, conn));
            if let Some(owed) = self.owed.get_mut(&conn) {
                owed.deadline = latest;
            }
        }
    }

    /// Whether the latest deadline has passed, so that new requests are answered at once.
    pub(super) fn has_ended(&self, now: Duration) -> bool {
        self.latest.is_some_and(|latest| latest <= now)
    }

    /// The earliest deadline.
    pub(super) fn next(&self) -> Option<Duration> {
        self.order.first().map(|(deadline, _)| *deadline)
    }

    /// A connection that has no answer at its deadline.
    fn expired(&self, now: Duration) -> Option<(ConnId, Owner)> {
        let (_, conn) = self.order.first().filter(|(deadline, _)| *deadline <= now)?;
        Some((*conn, self.owed.get(conn)?.owner))
    }

    /// Whether the successor is expected to answer this connection.
    pub(super) fn is_forwarded(&self, conn: ConnId) -> bool {
        self.owed.get(&conn).is_some_and(|owed| owed.owner == Owner::Successor)
    }

    /// The request of this process whose answer a connection is owed.
    pub(super) fn request_of(&self, conn: ConnId) -> Option<RequestId> {
        match self.owed.get(&conn)?.owner {
            Owner::Here(id) => Some(id),
            Owner::Successor => None,
        }
    }

    /// Connections that the successor is expected to answer, in the order in which they were opened.
    pub(super) fn forwarded(&self) -> Vec<ConnId> {
        let forwarded = self.owed.iter().filter(|(_, owed)| owed.owner == Owner::Successor);
        let mut conns: Vec<_> = forwarded.map(|(conn, _)| *conn).collect();
        conns.sort_unstable();
        conns
    }

    /// Number of owed answers.
    pub(super) fn len(&self) -> usize {
        self.owed.len()
    }

    /// Whether no answer is owed.
    pub(super) fn is_empty(&self) -> bool {
        self.owed.is_empty()
    }
}

impl Core {
    /// Sends all answers that are still owed at their deadlines, and logs what these requests were waiting for.
    pub(super) fn answer_overdue_requests(&mut self, now: Duration) {
        let mut named = Vec::new();
        let mut count = 0;
        while let Some((conn, owner)) = self.deadlines.expired(now) {
            count += 1;
            self.counters.overdue += 1;
            if named.len() < MAX_NAMED {
                named.push(self.describe_owed(conn, owner));
            }
            match owner {
                Owner::Here(id) => self.answer_at_deadline(now, id),
                Owner::Successor => self.answer(conn, Verdict::Failed),
            }
            // Whether or not an answer was sent, this deadline has been handled.
            self.deadlines.discharge(conn);
        }
        if count > 0 {
            let text = format!(
                "requests answered by the reducer itself at their deadline: {count}: {}",
                named.join(", ")
            );
            self.effects.push(Effect::Log(text));
        }
    }

    /// Answers a request at its deadline: with a refusal only if no run was ever launched for it, else with a failure.
    fn answer_at_deadline(&mut self, now: Duration, id: RequestId) {
        self.events.push_back(Event::Withdrawn { id });
        if self.has_no_effect(id) {
            return self.refuse(now, id, Duration::ZERO, false);
        }
        self.fail(now, id);
    }

    /// Whether no command about the request was ever sent to the agent, and no other try of its key was run.
    fn has_no_effect(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let is_run = request.key.as_ref().is_some_and(|key| self.keys.run_of(key).is_some());
        request.phase == Phase::Held && !is_run
    }

    /// Describes a request for the log: its handle, its phase and the last command about its run.
    fn describe_owed(&self, conn: ConnId, owner: Owner) -> String {
        let Owner::Here(id) = owner else { return format!("connection {conn}, forwarded to the successor") };
        let Some(request) = self.requests.get(&id) else {
            return format!("connection {conn}, no such request");
        };
        let command = match (&request.pending, request.is_orphan) {
            (Some(pending), _) => pending.describe(),
            (None, true) => "launch in doubt, not resolved".to_string(),
            (None, false) => "none or acknowledged".to_string(),
        };
        format!("{} {:?}, last command {command}", request.handle, request.phase)
    }
}
