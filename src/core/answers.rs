//! Answers: each request gets one, be it of its own run or, joined, of that of another try of its key.

use std::sync::Arc;
use std::time::Duration;

use super::types::*;
use super::{Core, End, Phase};
use crate::interface::{Event, Outcome, RequestId};

impl Core {
    pub(super) fn refuse(&mut self, now: Duration, id: RequestId, retry_after: Duration, no_retry: bool) {
        // Advice to stay away would keep callers from the process that serves on.
        let (retry_after, no_retry) = match self.peer.has_taken_over {
            true => (Duration::ZERO, false),
            false => (retry_after, no_retry),
        };
        let Some(request) = self.requests.get(&id) else { return };
        match request.phase {
            Phase::Held | Phase::Joined => {
                self.answer_request(now, id, Verdict::Refused { retry_after, no_retry });
                self.remove_request(now, id, None);
            }
            // What has run is never turned away: the answer promises nothing instead.
            _ => self.fail(now, id),
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

    /// Ends a run of which perhaps no notice would ever tell, as its launch did not reach the agent.
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
        // A newer try may have run in place of the one that was named.
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

    /// Gives a request its final answer, unless it has one.
    pub(super) fn answer_request(&mut self, now: Duration, id: RequestId, verdict: Verdict) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(conn) = request.conn.take() else { return };
        let class = &self.site.class_names[request.class];
        self.effects.extend(request.route.as_ref().map(|r| r.counted(now, class, &verdict)));
        match &verdict {
            Verdict::Served(_) => self.counters.served += 1,
            Verdict::Refused { .. } => self.counters.refused += 1,
            _ => self.counters.failed += 1,
        }
        self.answer(conn, verdict);
    }

    pub(super) fn answer(&mut self, conn: ConnId, verdict: Verdict) {
        let yields = self.peer.has_taken_over;
        let signal = self.signal.filter(|_| !yields);
        self.send_answer(conn, Answer { verdict, signal, close: self.grace_over || yields });
    }

    /// Gives an answer to a connection: the one place that does.
    pub(super) fn send_answer(&mut self, conn: ConnId, answer: Answer) {
        self.deadlines.given(conn);
        self.effects.push(Effect::Answer { conn, answer: Arc::new(answer) });
    }
}
