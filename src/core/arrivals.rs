//! Incoming requests: each is rejected, refused, forwarded to the successor, or recorded and passed to the decision
//! module.

use std::time::Duration;

use super::answer_deadlines::Owner;
use super::types::*;
use super::{keys, ActiveRequest, CallState, Core, Phase, SentCommands};
use crate::interface::{Arrival, Event, Repeat};

/// Number of clients that the decision module distinguishes: it keeps state for each, so numbers from requests are
/// reduced to this range.
const MAX_CALLERS: u32 = 1024;

impl Core {
    pub(super) fn handle_request(&mut self, now: Duration, request: Request) {
        self.counters.requests_read += 1;
        let class = self.site.class_names.iter().position(|name| *name == request.class);
        let is_expired = |at: &usize| self.served_until.get(at).is_some_and(|until| *until < now);
        let class = class.filter(|at| !is_expired(at));
        let is_active_here = self.handles.contains_key(&request.handle);
        if self.peer.has_taken_over() && !is_active_here {
            return self.forward(now, request);
        }
        let Some(class) = class else {
            return self.reject(request.conn, Verdict::NoSuchClass);
        };
        let keyed = self.site.settings.classes[class].repeat == Repeat::Deduplicated;
        if keyed && request.key.is_none() {
            return self.reject(request.conn, Verdict::Invalid("a request of this class needs a key"));
        }
        // A handle identifies one run at the agent: if two requests used it, one could get the result of the other.
        if is_active_here {
            return self.reject(request.conn, Verdict::Invalid("this request id is in use"));
        }
        let start = request.start.min(now);
        let timeout = request.timeout.unwrap_or(self.site.settings.classes[class].client_timeout);
        let due = start + timeout;
        let route = self.route_key(&request, class, start);
        let key = request.key.filter(|_| keyed);
        // A key stands for one request: its result must not be served to a different request with the same key.
        let digest = keys::digest(&request.class, &request.body);
        if key.as_ref().is_some_and(|k| self.keys.conflicts(k, digest)) {
            self.counters.key_conflicts += 1;
            return self.reject(request.conn, Verdict::Invalid("this key stands for another request"));
        }
        if key.as_ref().is_some_and(|k| self.may_be_forgotten(now, k, start)) && now < due {
            self.counters.failed += 1;
            let class = &self.site.class_names[class];
            self.effects.extend(route.map(|r| r.count_effect(now, class, &Verdict::Failed)));
            return self.answer(request.conn, Verdict::Failed);
        }
        if key.as_ref().is_some_and(|k| !self.keys.has_room_for(k))
            || self.may_have_run_elsewhere(start, class, key.as_ref())
        {
            self.counters.refused += 1;
            let refusal = Verdict::Refused { retry_after: Duration::ZERO, no_retry: false };
            let class = &self.site.class_names[class];
            self.effects.extend(route.map(|r| r.count_effect(now, class, &refusal)));
            return self.answer(request.conn, refusal);
        }
        let tenant = self.tenant(request.tenant.as_deref());
        let id = self.new_id();
        let window = self.site.settings.classes[class].window;
        let repeats = key.as_ref().and_then(|k| self.keys.add_try(k, id, digest, start, window));
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
            names_object: request.object.is_some(),
            due: Some(due),
            hint: request.cost,
            size_kb: request.size_kb,
            rank: request.rank,
            caller: request.caller % MAX_CALLERS,
            age: now.saturating_sub(start),
            repeats,
            marked_retry: false,
        }));
    }

    /// The longest client timeout of the classes with keys in the settings: a try may be read this late.
    pub(super) fn longest_wait(&self) -> Duration {
        let keyed = self.site.settings.classes.iter().filter(|c| c.repeat == Repeat::Deduplicated);
        keyed.map(|c| c.client_timeout).max().unwrap_or_default()
    }

    /// Whether the try is so old that a run of its key may already be forgotten, although the try belongs to the
    /// window of that run. This happens if a client waits longer than its class allows.
    fn may_be_forgotten(&self, now: Duration, key: &Key, start: Duration) -> bool {
        now.saturating_sub(start) > self.longest_wait() && !self.keys.is_known(key)
    }

    /// The index of a tenant in the settings. A tenant that the settings do not name has no quota: its index is past
    /// the end of the list.
    fn tenant(&mut self, name: Option<&str>) -> usize {
        let names = &self.site.tenant_names;
        let index = name.and_then(|name| names.iter().position(|known| known == name));
        self.counters.unknown_tenants += u64::from(index.is_none() && !names.is_empty());
        index.unwrap_or(names.len())
    }

    fn reject(&mut self, conn: ConnId, verdict: Verdict) {
        self.counters.rejected += 1;
        self.answer(conn, verdict);
    }
}
