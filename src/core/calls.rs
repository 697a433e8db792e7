//! Calls below, one at a time for a run.

use std::time::Duration;

use super::types::*;
use super::{Core, End, Phase, Timer};
use crate::interface::{Event, Outcome, Repeat, RequestId};

/// A call that the vault has not ended is given up this long after its time.
const CALL_OVERDUE: Duration = Duration::from_millis(30);

impl Core {
    pub(super) fn call(&mut self, now: Duration, id: RequestId, give_up_after: Duration) {
        let Some(live) = self.live.get_mut(&id).filter(|l| l.phase == Phase::AtCall) else { return };
        live.call.2 += 1;
        live.call_began = Some(now);
        let (handle, attempt, body) = (live.handle, live.call.2, live.call.1.clone());
        let once = self.site.settings.classes[live.class].repeat != Repeat::Idempotent;
        self.counters.calls_made += 1;
        let route = live.route.as_ref().map(|r| Box::new(r.call(&self.site.class_names[live.class])));
        self.effects.push(Effect::Call { handle, attempt, once, patience: give_up_after, body, route });
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
        let Some(live) = self.live.get_mut(&id).filter(|l| l.call.2 == attempt) else { return };
        let Some(began) = live.call_began.take() else { return };
        self.counters.call_ended(end);
        let outcome = match (end.outcome(), reply) {
            (Outcome::Done, Some(arg)) => {
                live.phase = Phase::Running;
                self.say_of(id, Command::Deliver { handle, arg });
                Outcome::Done
            }
            (Outcome::Done, None) => Outcome::Error,
            (outcome, _) => outcome,
        };
        if outcome.never_ran() {
            self.allow(id);
        }
        self.events.push_back(Event::CallEnded { id, outcome, took: now.saturating_sub(began) });
    }

    pub(super) fn give_up_call(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else { return };
        if live.call_began.take().is_some() {
            let handle = live.handle;
            self.effects.push(Effect::Uncall { handle });
        }
    }
}
