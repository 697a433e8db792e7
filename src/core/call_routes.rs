//! What the reducer keeps of requests whose calls the fleet routes. Nothing of it is there where routes are off.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::types::*;
use super::{ActiveRequest, Core, Phase};
use crate::fleet::experiment::counts::Kind;
use crate::fleet::routes::Fence;
use crate::fleet::routing::{Allowed, Allows, Call};
use crate::interface::{self, Event, RequestId, Way};

/// What the fleet says of the calls of each class, by its name.
#[derive(Debug, Default)]
pub(super) struct ClassRoutes {
    stand: HashMap<String, Way>,
    allow: HashMap<String, LimitsOfClass>,
}

/// What the routes of a class allow.
#[derive(Debug, Default)]
struct LimitsOfClass {
    all: Option<Allowed>,
    tenants: HashMap<String, Allowed>,
}

impl ClassRoutes {
    /// The tenant's own route, else the class's.
    fn allowed(&self, class: &str, tenant: Option<&str>) -> Option<Allowed> {
        let of = self.allow.get(class)?;
        tenant.and_then(|tenant| of.tenants.get(tenant)).copied().or(of.all)
    }
}

/// What a request's route depends on.
#[derive(Debug)]
pub(super) struct RouteKey {
    tenant: Option<Arc<str>>,
    /// What draws its arm: its object, else its key, else its own name.
    subject: Vec<u8>,
    /// What a call of it went out under last.
    tried: Option<Fence>,
    /// What its route allows, as the module was told.
    allowed: Option<Allowed>,
    /// Served by then, it was served within its aim.
    aim: Duration,
}

impl RouteKey {
    /// Its route lets its request be answered without a call.
    pub(super) fn allows_skipping(&self) -> bool {
        self.allowed.is_none_or(|allowed| allowed.without)
    }

    /// For a call of its request, which is of this class.
    pub(super) fn call(&self, class: &str) -> Call {
        Call {
            class: class.to_string(),
            tenant: self.tenant.as_deref().map(str::to_string),
            subject: self.subject.clone(),
            tried: self.tried,
            allowed: self.allowed,
        }
    }

    /// How its request is counted that is answered now.
    pub(super) fn counted(&self, now: Duration, class: &str, verdict: &Verdict) -> Effect {
        let kind = match verdict {
            Verdict::Served(_) if now <= self.aim => Kind::Served,
            Verdict::Served(_) => Kind::Late,
            Verdict::Refused { .. } => Kind::TurnedAway,
            _ => Kind::Failed,
        };
        Effect::CountAnswer { route: Box::new(self.call(class)), kind }
    }
}

/// As the module hears it.
fn told(id: RequestId, Allowed { tries, without }: Allowed) -> Event {
    Event::Allowed { id, allowed: interface::Allowed { tries, without } }
}

impl Core {
    /// What the route of a request depends on that came at `start`; nothing where routes are off.
    pub(super) fn route_key(
        &self,
        request: &Request,
        class: usize,
        start: Duration,
    ) -> Option<Box<RouteKey>> {
        self.routes.as_ref()?;
        let subject = match (request.object.as_deref().filter(|o| !o.is_empty()), request.key.as_deref()) {
            (Some(text), _) | (None, Some(text)) => text.as_bytes().to_vec(),
            (None, None) => request.handle.to_string().into_bytes(),
        };
        let class = &self.site.settings.classes[class];
        let more = request.cost.unwrap_or_default().as_secs_f64() * class.wanted_stretch.max(0.0);
        let more = Duration::try_from_secs_f64(more).unwrap_or_default();
        let aim = start + (class.wanted + more).min(class.give_up);
        Some(Box::new(RouteKey { tenant: request.tenant.clone(), subject, tried: None, allowed: None, aim }))
    }

    /// Notes what a call went out under, whatever came of it: a later one must not go out under another.
    pub(super) fn note_sent_fence(&mut self, handle: Handle, fence: Option<Fence>) {
        let request = self.handles.get(&handle).and_then(|id| self.requests.get_mut(id));
        if let (Some(fence), Some(route)) = (fence, request.and_then(|request| request.route.as_mut())) {
            route.tried = Some(fence);
        }
    }

    pub(super) fn set_route_states(&mut self, ways: Vec<(String, Way)>) {
        self.routes.get_or_insert_default().stand = ways.into_iter().collect();
        self.report_route_states();
    }

    /// Other routes are in force. Requests whose call waits here go by them, if none of theirs went out.
    pub(super) fn set_call_limits(&mut self, routes: Vec<Allows>) {
        let allow = &mut self.routes.get_or_insert_default().allow;
        allow.clear();
        for Allows { class, tenant, allowed } in routes {
            let of = allow.entry(class).or_default();
            match tenant {
                Some(tenant) => drop(of.tenants.insert(tenant, allowed)),
                None => of.all = Some(allowed),
            }
        }
        let wait = |request: &ActiveRequest| request.phase == Phase::AtCall && request.call.began.is_none();
        let waiting: Vec<_> =
            self.requests.iter().filter(|(_, request)| wait(request)).map(|(id, _)| *id).collect();
        waiting.into_iter().for_each(|id| self.update_call_limits(id));
    }

    /// Tells the module what the routes allow of a request of which no call went out yet: one that did has
    /// its version.
    pub(super) fn update_call_limits(&mut self, id: RequestId) {
        let (Some(ways), Some(request)) = (&self.routes, self.requests.get_mut(&id)) else { return };
        let Some(route) = request.route.as_mut().filter(|route| route.tried.is_none()) else { return };
        let allowed = ways.allowed(&self.site.class_names[request.class], route.tenant.as_deref());
        if allowed.is_some() && route.allowed != allowed {
            route.allowed = allowed;
            self.events.extend(allowed.map(|allowed| told(id, allowed)));
        }
    }

    /// A call goes out by another version than the module was told of: its request is of that one from here
    /// on.
    pub(super) fn change_call_limits(&mut self, handle: Handle, attempt: u32, allowed: Option<Allowed>) {
        let Some(&id) = self.handles.get(&handle) else { return };
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.call.attempt == attempt)
        else {
            return;
        };
        if let (Some(route), Some(allowed)) = (request.route.as_mut(), allowed) {
            route.allowed = Some(allowed);
            self.events.push_back(told(id, allowed));
        }
    }

    /// How the calls of a class stand.
    pub(super) fn route_state(&self, class: usize) -> Way {
        let stand = self.routes.as_ref().and_then(|ways| ways.stand.get(&self.site.class_names[class]));
        stand.copied().unwrap_or_default()
    }

    /// Tells the module how the calls of its classes stand, where the fleet routes them.
    pub(super) fn report_route_states(&mut self) {
        let Some(ways) = &self.routes else { return };
        let names = self.site.class_names.iter();
        let ways = names.map(|name| ways.stand.get(name).copied().unwrap_or_default()).collect();
        self.events.push_back(Event::Ways(ways));
    }
}
