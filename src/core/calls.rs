//! Calls below, one at a time for a run.

use std::time::Duration;

use super::call_history::CallHistory;
use super::types::*;
use super::{Core, End, Phase, Timer};
use crate::interface::{Event, Outcome, Repeat, RequestId};

/// A call that the vault has not ended is given up this long after its time.
const CALL_OVERDUE: Duration = Duration::from_millis(30);

/// The call below that a run waits for, or waited for last.
#[derive(Debug)]
pub(super) struct CallState {
    /// The notice that asked for it; 0 before the first one.
    pub(super) cursor: u64,
    body: Bytes,
    /// The number of the last attempt, counted over all calls of all requests.
    pub(super) attempt: u32,
    /// When that attempt began, as long as it is out.
    pub(super) began: Option<Duration>,
    /// An attempt of the request was made before.
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
    /// The attempt of this number is out.
    pub(super) fn is_out(&self, attempt: u32) -> bool {
        self.attempt == attempt && self.began.is_some()
    }
}

impl Core {
    /// Each call below is answered on a connection of its own, with nothing else on it.
    pub fn use_dedicated_call_connections(&mut self) {
        self.tells_replies_apart = true;
    }

    /// A run asks for a call.
    pub(super) fn call_needed(&mut self, now: Duration, id: RequestId, cursor: u64, body: Bytes) {
        let Some(live) = self.live.get(&id).filter(|live| live.call.cursor < cursor) else { return };
        if matches!(live.phase, Phase::Held | Phase::Joined) {
            return; // Not running as far as we know: nothing of ours asks.
        }
        self.give_up_call(id);
        let Some(live) = self.live.get_mut(&id) else { return };
        live.pending = None;
        live.phase = Phase::AtCall;
        (live.call.cursor, live.call.body) = (cursor, body);
        live.call.history.begin_call();
        if live.is_orphan {
            return self.go_without_call(now, id);
        }
        if !self.tells_replies_apart && !live.call.history.allows_call() {
            return self.leave_out_ambiguous_call(now, id);
        }
        self.allow(id);
        self.events.push_back(Event::CallNeeded { id });
    }

    /// A reply to the call could not be told from one that an earlier call is still owed: it is not made.
    fn leave_out_ambiguous_call(&mut self, now: Duration, id: RequestId) {
        self.counters.calls_ambiguous += 1;
        self.go_without_call(now, id);
        if self.live.get(&id).is_some_and(|live| live.conn.is_none()) {
            self.events.push_back(Event::Withdrawn { id });
        }
    }

    pub(super) fn call(&mut self, now: Duration, id: RequestId, give_up_after: Duration) {
        let Some(live) = self.live.get_mut(&id).filter(|l| l.phase == Phase::AtCall) else { return };
        self.last_attempt = self.last_attempt.wrapping_add(1);
        live.call.attempt = self.last_attempt;
        live.call.began = Some(now);
        let (handle, attempt, body) = (live.handle, live.call.attempt, live.call.body.clone());
        let earlier = live.call.history.replies().into();
        let at_most_once = self.site.settings.classes[live.class].repeat != Repeat::Idempotent;
        // A connection with a past may bring a late copy of this request's last reply, or be forgotten.
        let fresh = std::mem::replace(&mut live.call.was_tried, true) || at_most_once;
        self.counters.calls_made += 1;
        let route = live.route.as_ref().map(|r| Box::new(r.call(&self.site.class_names[live.class])));
        let timeout = give_up_after;
        self.effects.push(Effect::Call {
            handle,
            attempt,
            at_most_once,
            fresh,
            earlier,
            timeout,
            body,
            route,
        });
        self.arm(now + give_up_after + CALL_OVERDUE, Timer::CallLate(id, attempt));
    }

    pub(super) fn call_ended(
        &mut self,
        now: Duration,
        handle: Handle,
        attempt: u32,
        end: End,
        reply: Option<Bytes>,
    ) {
        let Some(&id) = self.handles.get(&handle) else { return };
        let Some(live) = self.live.get_mut(&id).filter(|live| live.call.is_out(attempt)) else { return };
        let Some(began) = live.call.began.take() else { return };
        self.counters.call_ended(end);
        let outcome = match (end.outcome(), reply) {
            (Outcome::Done, Some(arg)) => {
                live.phase = Phase::Running;
                live.call.history.replied(&arg);
                let cursor = live.call.cursor;
                self.say_of(id, Command::Deliver { handle, cursor, arg });
                Outcome::Done
            }
            (Outcome::Done, None) => Outcome::Error,
            (outcome, _) => {
                let is_its_own = live.call.history.ended(end) || self.tells_replies_apart;
                let at_most_once = self.site.settings.classes[live.class].repeat != Repeat::Idempotent;
                // A copy of an earlier word does not prove that this attempt never ran.
                match at_most_once && outcome.never_ran() && !is_its_own {
                    true => Outcome::Error,
                    false => outcome,
                }
            }
        };
        if outcome.never_ran() {
            self.allow(id);
        }
        self.events.push_back(Event::CallEnded { id, outcome, took: now.saturating_sub(began) });
    }

    /// The run goes on without its call.
    pub(super) fn skip_call(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id).filter(|l| l.phase == Phase::AtCall) else { return };
        live.phase = Phase::Running;
        let command = Command::Forgo { handle: live.handle, cursor: live.call.cursor };
        self.counters.calls_skipped += 1;
        // Its reply would reach the run at its next call.
        self.give_up_call(id);
        self.say_of(id, command);
    }

    pub(super) fn give_up_call(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else { return };
        if live.call.began.take().is_some() {
            live.call.history.gave_up();
            let (handle, attempt) = (live.handle, live.call.attempt);
            self.effects.push(Effect::CancelCall { handle, attempt });
        }
    }
}
