//! Final answers: each request gets exactly one, from its own run or, if it joined another try of its key, from that
//! run.

use std::sync::Arc;
use std::time::Duration;

use super::types::*;
use super::{Core, End, Phase};
use crate::interface::{Event, Outcome, RequestId};

impl Core {
    pub(super) fn refuse(&mut self, now: Duration, id: RequestId, retry_after: Duration, no_retry: bool) {
        // A retry-after time would keep clients away from the successor, which continues to serve.
        let (retry_after, no_retry) = match self.peer.has_taken_over() {
            true => (Duration::ZERO, false),
            false => (retry_after, no_retry),
        };
        let Some(request) = self.requests.get(&id) else { return };
        match request.phase {
            Phase::Held | Phase::Joined if !self.past_runs.contains(now, request.handle) => {
                self.answer_request(now, id, Verdict::Refused { retry_after, no_retry });
                self.remove_request(now, id, None);
            }
            // A refusal promises that the try never ran, which does not hold: the answer is a failure instead.
            _ => self.fail(now, id),
        }
    }

    /// Refuses a request that is held for a client which is gone: it needs no run. One that runs, or waits for another
    /// run, ends with that run.
    pub(super) fn client_gone(&mut self, now: Duration, conn: ConnId) {
        let Some(id) = self.deadlines.request_of(conn) else { return };
        if self.requests.get(&id).is_some_and(|request| request.phase == Phase::Held) {
            self.counters.clients_gone += 1;
            self.events.push_back(Event::Withdrawn { id });
            self.refuse(now, id, Duration::ZERO, false);
        }
    }

    pub(super) fn fail(&mut self, now: Duration, id: RequestId) {
        self.answer_request(now, id, Verdict::Failed);
        match self.requests.get(&id).map(|request| request.phase) {
            Some(Phase::Held | Phase::Joined) => self.remove_request(now, id, None),
            Some(Phase::AtCall) => self.cancel_call(id),
            Some(Phase::Running) => self.end_lost_launch(now, id),
            _ => {}
        }
    }

    /// Ends a run whose launch may not have reached the agent, as there may never be a notice about it.
    fn end_lost_launch(&mut self, now: Duration, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let launch = request.pending.as_ref().filter(|pending| pending.is_launch());
        if launch.is_some_and(|launch| launch.is_unsent()) {
            self.run_ended(now, id, End::Unknown, None, None);
        } else if request.is_orphan || launch.is_some_and(|launch| launch.is_in_doubt()) {
            self.orphan_answered(now, id);
        }
    }

    pub(super) fn join(&mut self, now: Duration, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.phase == Phase::Held) else {
            return;
        };
        (request.phase, request.began) = (Phase::Joined, now);
        let (key, repeats) = (request.key.clone(), request.repeats);
        // A newer try may have run in place of the one that this request repeats.
        let ran = key.as_ref().and_then(|k| self.keys.run_of(k));
        for target in [ran, repeats].into_iter().flatten().filter(|t| *t != id) {
            if let Some(other) = self.requests.get_mut(&target) {
                return other.waiters.push(id);
            }
            if self.join_predecessor_run(target, id) {
                return;
            }
        }
        let result = key.as_ref().and_then(|k| self.keys.result(k));
        self.end_join(now, id, result);
    }

    pub(super) fn end_join(&mut self, now: Duration, id: RequestId, result: Option<Bytes>) {
        let Some(request) = self.requests.get(&id).filter(|request| request.phase == Phase::Joined) else {
            return;
        };
        let took = now.saturating_sub(request.began);
        let outcome = if result.is_some() { Outcome::Done } else { Outcome::Error };
        self.counters.joined += u64::from(result.is_some());
        self.answer_request(now, id, result.map_or(Verdict::Failed, Verdict::Served));
        self.events.push_back(Event::Finished { id, outcome, took });
        self.remove_request(now, id, None);
    }

    /// Sends the final answer of a request, unless it has one.
    pub(super) fn answer_request(&mut self, now: Duration, id: RequestId, verdict: Verdict) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(conn) = request.conn.take() else { return };
        let class = &self.site.class_names[request.class];
        self.effects.extend(request.route.as_ref().map(|r| r.count_effect(now, class, &verdict)));
        match &verdict {
            Verdict::Served(_) => self.counters.served += 1,
            Verdict::Refused { .. } => self.counters.refused += 1,
            _ => self.counters.failed += 1,
        }
        self.answer(conn, verdict);
    }

    pub(super) fn answer(&mut self, conn: ConnId, verdict: Verdict) {
        let has_taken_over = self.peer.has_taken_over();
        let signal = self.signal.filter(|_| !has_taken_over);
        self.send_answer(conn, Answer { verdict, signal, close: self.grace_over || has_taken_over });
    }

    /// Sends an answer to a connection. All answers are sent here.
    pub(super) fn send_answer(&mut self, conn: ConnId, answer: Answer) {
        self.deadlines.discharge(conn);
        self.effects.push(Effect::Answer { conn, answer: Arc::new(answer) });
    }
}
