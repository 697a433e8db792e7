//! Calls to the dependency: at most one at a time for each run.

use std::time::Duration;

use super::call_history::CallHistory;
use super::types::*;
use super::{ActiveRequest, CallReply, Core, End, Phase, Timer};
use crate::interface::{Event, Outcome, Repeat, RequestId};

/// A call that the vault has not ended is cancelled this long after its timeout.
const CALL_OVERDUE_MARGIN: Duration = Duration::from_millis(30);

/// The call that a run waits for, or the last one that it waited for.
#[derive(Clone, Debug)]
pub(super) struct CallState {
    /// The number of the notice that requested the call; 0 before the first call.
    pub(super) cursor: u64,
    body: Bytes,
    /// The number of the last attempt, counted over all calls of all requests.
    pub(super) attempt: u32,
    /// When that attempt began; `None` if no attempt is in progress.
    pub(super) began: Option<Duration>,
    /// The request has made an attempt before.
    was_tried: bool,
    history: CallHistory,
}

impl Default for CallState {
    fn default() -> Self {
        Self {
            cursor: 0,
            body: Bytes::from([]),
            attempt: 0,
            began: None,
            was_tried: false,
            history: CallHistory::default(),
        }
    }
}

impl CallState {
    /// Whether the attempt with this number is in progress.
    pub(super) fn is_in_progress(&self, attempt: u32) -> bool {
        self.attempt == attempt && self.began.is_some()
    }
}

impl Core {
    /// Declares that each call to the dependency has a connection of its own, which carries nothing else.
    pub fn use_dedicated_call_connections(&mut self) {
        self.has_dedicated_call_connections = true;
        self.engine.reconfigure(self.module_settings(), &[]);
    }

    /// Handles a run's request for a call.
    pub(super) fn call_needed(&mut self, now: Duration, id: RequestId, cursor: u64, body: Bytes) {
        let Some(request) = self.requests.get(&id).filter(|request| request.call.cursor < cursor) else {
            return;
        };
        if matches!(request.phase, Phase::Held | Phase::Joined) {
            return; // The request was not launched by this process, so the notice does not concern it.
        }
        self.cancel_call(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.pending = None;
        request.phase = Phase::AtCall;
        (request.call.cursor, request.call.body) = (cursor, body);
        if request.is_orphan {
            return self.continue_without_call(now, id);
        }
        if !self.may_ask(id) {
            return self.skip_ambiguous_call(now, id);
        }
        self.update_call_limits(id);
        self.events.push_back(Event::CallNeeded { id });
    }

    /// Whether the reply to a further ask of a request could be distinguished from late replies to its earlier ones.
    fn may_ask(&self, id: RequestId) -> bool {
        let allows_ask = |request: &ActiveRequest| request.call.history.allows_ask();
        self.has_dedicated_call_connections || self.requests.get(&id).is_some_and(allows_ask)
    }

    /// Skips a call whose reply could not be distinguished from a late reply to an earlier ask.
    fn skip_ambiguous_call(&mut self, now: Duration, id: RequestId) {
        self.counters.calls_ambiguous += 1;
        self.continue_without_call(now, id);
        if self.requests.get(&id).is_some_and(|request| request.conn.is_none()) {
            self.events.push_back(Event::Withdrawn { id });
        }
    }

    pub(super) fn make_call(&mut self, now: Duration, id: RequestId, timeout: Duration) {
        let is_allowed = self.may_ask(id);
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.phase == Phase::AtCall)
        else {
            return;
        };
        if !is_allowed {
            self.counters.violations += 1;
            let (handle, violation) = (request.handle, "a further ask was not made".to_string());
            self.effects.push(Effect::ReportViolation { handle, violation });
            return self.skip_ambiguous_call(now, id);
        }
        self.last_attempt = self.last_attempt.wrapping_add(1);
        request.call.attempt = self.last_attempt;
        request.call.began = Some(now);
        let (handle, attempt, body) = (request.handle, request.call.attempt, request.call.body.clone());
        let cursor = request.call.cursor;
        let earlier_replies = request.call.history.replies().into();
        let at_most_once = self.site.settings.classes[request.class].repeat != Repeat::Idempotent;
        // On a connection that was used before, a late copy of this request's last reply may arrive, or the
        // dependency may have dropped the connection.
        let fresh = std::mem::replace(&mut request.call.was_tried, true) || at_most_once;
        self.counters.calls_made += 1;
        let route = request.route.as_ref().map(|r| Box::new(r.call(&self.site.class_names[request.class])));
        self.effects.push(Effect::Call {
            handle,
            cursor,
            attempt,
            at_most_once,
            fresh,
            earlier_replies,
            timeout,
            body,
            route,
        });
        self.arm(now + timeout + CALL_OVERDUE_MARGIN, Timer::CallOverdue(id, attempt));
    }

    pub(super) fn call_ended(
        &mut self,
        now: Duration,
        handle: Handle,
        attempt: u32,
        end: End,
        reply: Option<CallReply>,
    ) {
        let id = self.handles.get(&handle).copied();
        let request = id.and_then(|id| self.requests.get_mut(&id));
        let request = request.filter(|request| request.call.is_in_progress(attempt));
        let (Some(id), Some(request)) = (id, request) else {
            if let Some(reply) = reply {
                let text = format!("{}, dropped, as its ask is over", reply.origin);
                self.effects.push(Effect::Log(text));
            }
            return;
        };
        let Some(began) = request.call.began.take() else { return };
        let is_over = now >= request.due;
        let (end, reply) = match reply {
            Some(_) if is_over => (End::Overdue, None),
            reply => (end, reply),
        };
        self.counters.call_ended(end);
        let outcome = match (end.outcome(), reply) {
            (Outcome::Done, Some(reply)) => {
                request.phase = Phase::Running;
                request.call.history.replied(reply.origin.digest);
                let (cursor, due) = (request.call.cursor, request.due);
                self.send_run_command(id, Command::Deliver { handle, cursor, due, reply });
                Outcome::Done
            }
            (Outcome::Done, None) => Outcome::Error,
            (outcome, _) => {
                let is_new = request.call.history.ended(end) || self.has_dedicated_call_connections;
                let at_most_once = self.site.settings.classes[request.class].repeat != Repeat::Idempotent;
                // A copy of an earlier status line does not prove that this attempt never ran.
                match at_most_once && outcome.never_ran() && !is_new {
                    true => Outcome::Error,
                    false => outcome,
                }
            }
        };
        if outcome.never_ran() {
            self.update_call_limits(id);
        }
        let (took, may_repeat) = (now.saturating_sub(began), self.may_ask(id));
        self.events.push_back(Event::CallEnded { id, outcome, took, may_repeat });
    }

    /// Continues a run without its call.
    pub(super) fn skip_call(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.phase == Phase::AtCall)
        else {
            return;
        };
        request.phase = Phase::Running;
        let command = Command::Forgo { handle: request.handle, cursor: request.call.cursor };
        self.counters.calls_skipped += 1;
        // Otherwise the reply could be delivered to the run's next call.
        self.cancel_call(id);
        self.send_run_command(id, command);
    }

    pub(super) fn cancel_call(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.call.began.take().is_some() {
            request.call.history.abandoned();
            let (handle, attempt) = (request.handle, request.call.attempt);
            self.effects.push(Effect::CancelCall { handle, attempt });
        }
    }
}
