//! The fleet's routes, as far as the reducer needs them: the state and the call limits of each class, and what the
//! route of each request depends on. None of it exists where routes are off.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::types::*;
use super::{ActiveRequest, Core, Phase};
use crate::fleet::experiment::counts::Kind;
use crate::fleet::routes::Fence;
use crate::fleet::routing::{Call, CallLimits, RouteLimits};
use crate::interface::{self, Event, RequestId, RouteState};

/// What the fleet reports about the calls of each class, by the name of the class.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassRoutes {
    states: HashMap<String, RouteState>,
    limits: HashMap<String, LimitsOfClass>,
}

/// The call limits of a class.
#[derive(Clone, Debug, Default)]
struct LimitsOfClass {
    /// The limits of the class's own route.
    default: Option<CallLimits>,
    /// The limits of routes for single tenants, by the name of the tenant.
    tenants: HashMap<String, CallLimits>,
}

impl ClassRoutes {
    /// The call limits of the tenant's own route or, if it has none, of the class's route.
    fn limits(&self, class: &str, tenant: Option<&str>) -> Option<CallLimits> {
        let limits = self.limits.get(class)?;
        tenant.and_then(|tenant| limits.tenants.get(tenant)).copied().or(limits.default)
    }
}

/// What the route of a request depends on, and what is known of it.
#[derive(Clone, Debug)]
pub(super) struct RouteKey {
    tenant: Option<Arc<str>>,
    /// What the experiment arm is drawn from: the request's object, or else its key, or else its handle.
    subject: Vec<u8>,
    /// The fence under which a call of the request was last sent.
    last_fence: Option<Fence>,
    /// The call limits of the route, as reported to the decision module.
    limits: Option<CallLimits>,
    /// The request must be served by then to count as served in time.
    target_time: Duration,
}

impl RouteKey {
    /// Whether the route allows the request to be answered without its call.
    pub(super) fn allows_skipping(&self) -> bool {
        self.limits.is_none_or(|limits| limits.may_skip)
    }

    /// Describes a call of the request, which is of this class, to the fleet's routing.
    pub(super) fn call(&self, class: &str) -> Call {
        Call {
            class: class.to_string(),
            tenant: self.tenant.as_deref().map(str::to_string),
            subject: self.subject.clone(),
            last_fence: self.last_fence,
            limits: self.limits,
        }
    }

    /// The effect that counts the request for an experiment, answered now with this verdict.
    pub(super) fn count_effect(&self, now: Duration, class: &str, verdict: &Verdict) -> Effect {
        let kind = match verdict {
            Verdict::Served(_) if now <= self.target_time => Kind::Served,
            Verdict::Served(_) => Kind::Late,
            Verdict::Refused { .. } => Kind::Refused,
            _ => Kind::Failed,
        };
        Effect::CountAnswer { route: Box::new(self.call(class)), kind }
    }
}

/// The event that reports the call limits of a request to the decision module.
fn limits_event(id: RequestId, CallLimits { max_tries, may_skip }: CallLimits) -> Event {
    Event::CallLimits { id, limits: interface::CallLimits { max_tries, may_skip } }
}

impl Core {
    /// What the route of a request that arrived at `start` depends on; `None` where routes are off.
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
        let extra = request.cost.unwrap_or_default().as_secs_f64() * class.target_stretch.max(0.0);
        let extra = Duration::try_from_secs_f64(extra).unwrap_or_default();
        let target_time = start + (class.target_latency + extra).min(class.client_timeout);
        Some(Box::new(RouteKey {
            tenant: request.tenant.clone(),
            subject,
            last_fence: None,
            limits: None,
            target_time,
        }))
    }

    /// Records the fence under which a call was sent, however the call ended: a later call of the request must not be
    /// sent under another one.
    pub(super) fn note_sent_fence(&mut self, handle: Handle, fence: Option<Fence>) {
        let request = self.handles.get(&handle).and_then(|id| self.requests.get_mut(id));
        if let (Some(fence), Some(route)) = (fence, request.and_then(|request| request.route.as_mut())) {
            route.last_fence = Some(fence);
        }
    }

    pub(super) fn set_route_states(&mut self, states: Vec<(String, RouteState)>) {
        self.routes.get_or_insert_default().states = states.into_iter().collect();
        self.report_route_states();
    }

    /// Takes over the call limits of new routes. They hold also for requests whose call waits in this process and
    /// that have not sent a call yet.
    pub(super) fn set_call_limits(&mut self, routes: Vec<RouteLimits>) {
        let by_class = &mut self.routes.get_or_insert_default().limits;
        by_class.clear();
        for RouteLimits { class, tenant, limits: call_limits } in routes {
            let limits = by_class.entry(class).or_default();
            match tenant {
                Some(tenant) => drop(limits.tenants.insert(tenant, call_limits)),
                None => limits.default = Some(call_limits),
            }
        }
        let is_waiting =
            |request: &ActiveRequest| request.phase == Phase::AtCall && request.call.began.is_none();
        let waiting: Vec<_> =
            self.requests.iter().filter(|(_, request)| is_waiting(request)).map(|(id, _)| *id).collect();
        waiting.into_iter().for_each(|id| self.update_call_limits(id));
    }

    /// Reports the current call limits of a request to the decision module, if no call of it was sent yet. A request
    /// that has sent a call keeps the version of the routes under which it was sent.
    pub(super) fn update_call_limits(&mut self, id: RequestId) {
        let (Some(routes), Some(request)) = (&self.routes, self.requests.get_mut(&id)) else { return };
        let Some(route) = request.route.as_mut().filter(|route| route.last_fence.is_none()) else { return };
        let limits = routes.limits(&self.site.class_names[request.class], route.tenant.as_deref());
        if limits.is_some() && route.limits != limits {
            route.limits = limits;
            self.events.extend(limits.map(|limits| limits_event(id, limits)));
        }
    }

    /// Handles a call that is sent under another version of the routes than was reported to the decision module: from
    /// here on, the limits of that version hold for its request.
    pub(super) fn change_call_limits(&mut self, handle: Handle, attempt: u32, limits: Option<CallLimits>) {
        let Some(&id) = self.handles.get(&handle) else { return };
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.call.attempt == attempt)
        else {
            return;
        };
        if let (Some(route), Some(limits)) = (request.route.as_mut(), limits) {
            route.limits = Some(limits);
            self.events.push_back(limits_event(id, limits));
        }
    }

    /// The route state of a class.
    pub(super) fn route_state(&self, class: usize) -> RouteState {
        let state = self.routes.as_ref().and_then(|routes| routes.states.get(&self.site.class_names[class]));
        state.copied().unwrap_or_default()
    }

    /// Reports the route states of all classes to the decision module, where the fleet routes calls.
    pub(super) fn report_route_states(&mut self) {
        let Some(routes) = &self.routes else { return };
        let names = self.site.class_names.iter();
        let states = names.map(|name| routes.states.get(name).copied().unwrap_or_default()).collect();
        self.events.push_back(Event::RouteStates(states));
    }
}
