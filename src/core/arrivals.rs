//! What callers bring: a request is turned back, passed on, or noted and told to the module.

use std::time::Duration;

use super::answer_deadlines::Owner;
use super::types::*;
use super::{keys, ActiveRequest, CallState, Core, Phase, SentCommands};
use crate::interface::{Arrival, Event, Repeat};

/// Callers that the module tells apart: it keeps notes on each, whatever numbers are sent.
const MAX_CALLERS: u32 = 1024;

impl Core {
    pub(super) fn handle_request(&mut self, now: Duration, request: Request) {
        self.counters.requests_read += 1;
        let class = self.site.class_names.iter().position(|name| *name == request.class);
        let is_gone = |at: &usize| self.served_until.get(at).is_some_and(|until| *until < now);
        let class = class.filter(|at| !is_gone(at));
        let open_here = self.handles.contains_key(&request.handle);
        if self.peer.has_taken_over && !open_here {
            return self.forward(now, request);
        }
        let Some(class) = class else {
            return self.reject(request.conn, Verdict::NoSuchClass);
        };
        let keyed = self.site.settings.classes[class].repeat == Repeat::Deduplicated;
        if keyed && request.key.is_none() {
            return self.reject(request.conn, Verdict::Invalid("a request of this class needs a key"));
        }
        // A handle names one run at the agent: taking it twice could hand one request the other's result.
        if open_here {
            return self.reject(request.conn, Verdict::Invalid("this request id is in use"));
        }
        let start = request.start.min(now);
        let patience = request.timeout.unwrap_or(self.site.settings.classes[class].give_up);
        let due = start + patience;
        let route = self.route_key(&request, class, start);
        let key = request.key.filter(|_| keyed);
        // One key stands for one request: the result of another one is nobody else's, and must not be served.
        let what = keys::digest(&request.class, &request.body);
        if key.as_ref().is_some_and(|k| self.keys.conflicts(k, what)) {
            self.counters.key_conflicts += 1;
            return self.reject(request.conn, Verdict::Invalid("this key stands for another request"));
        }
        if key.as_ref().is_some_and(|k| self.may_be_forgotten(now, k, start)) && now < due {
            self.counters.failed += 1;
            let class = &self.site.class_names[class];
            self.effects.extend(route.map(|r| r.counted(now, class, &Verdict::Failed)));
            return self.answer(request.conn, Verdict::Failed);
        }
        if key.as_ref().is_some_and(|k| !self.keys.has_room_for(k))
            || self.may_have_run_elsewhere(start, class, key.as_ref())
        {
            self.counters.refused += 1;
            let refusal = Verdict::Refused { retry_after: Duration::ZERO, no_retry: false };
            let class = &self.site.class_names[class];
            self.effects.extend(route.map(|r| r.counted(now, class, &refusal)));
            return self.answer(request.conn, refusal);
        }
        let tenant = self.tenant(request.tenant.as_deref());
        let id = self.new_id();
        let window = self.site.settings.classes[class].window;
        let repeats = key.as_ref().and_then(|k| self.keys.add_try(k, id, what, start, window));
        self.counters.repeats += u64::from(repeats.is_some());
        let conn = request.conn;
        self.handles.insert(request.handle, id);
        let active = ActiveRequest {
            conn: Some(conn),
            handle: request.handle,
            class,
            key,
            due,
            body: request.body,
            phase: Phase::Held,
            repeats,
            waiters: Vec::new(),
            began: now,
            call: CallState::default(),
            route,
            pending: None,
            sent: SentCommands::default(),
            is_orphan: false,
        };
        self.requests.insert(id, active);
        self.deadlines.owe(conn, due.max(now), Owner::Here(id));
        self.events.push_back(Event::Arrived(Arrival {
            id,
            class,
            tenant,
            keyed: request.object.is_some(),
            due: Some(due),
            hint: request.cost,
            size_kb: request.size_kb,
            standing: request.rank,
            caller: request.caller % MAX_CALLERS,
            age: now.saturating_sub(start),
            repeats,
            marked_retry: false,
        }));
    }

    /// The longest time for which a caller of a keyed class waits by the settings: so late may a try be read.
    pub(super) fn longest_wait(&self) -> Duration {
        let keyed = self.site.settings.classes.iter().filter(|c| c.repeat == Repeat::Deduplicated);
        keyed.map(|c| c.give_up).max().unwrap_or_default()
    }

    /// The try is so old that a run of its key, within whose window it came, may have been forgotten: its caller
    /// waits longer than its class allows.
    fn may_be_forgotten(&self, now: Duration, key: &Key, start: Duration) -> bool {
        now.saturating_sub(start) > self.longest_wait() && !self.keys.is_known(key)
    }

    /// The place of a tenant in the settings. One that they do not name has no share: the module hears of a place
    /// that is none.
    fn tenant(&mut self, name: Option<&str>) -> usize {
        let names = &self.site.tenant_names;
        let place = name.and_then(|name| names.iter().position(|known| known == name));
        self.counters.unknown_tenants += u64::from(place.is_none() && !names.is_empty());
        place.unwrap_or(names.len())
    }

    fn reject(&mut self, conn: ConnId, verdict: Verdict) {
        self.counters.rejected += 1;
        self.answer(conn, verdict);
    }
}
