//! Other settings for the same life.

use std::time::Duration;

use super::types::*;
use super::Core;
use crate::settings::Site;

/// Callers learn of other classes this much later; from then on no first try of a dropped one comes.
const DROPPED_LATE: Duration = Duration::from_secs(2);

impl Core {
    /// Other settings for the same life. A class is known by its name and keeps its place: open requests are of
    /// it. One that is dropped is still served for as long as callers that learn late may bring tries of it.
    pub(super) fn reload(&mut self, now: Duration, new: Site) {
        let before = std::mem::replace(&mut self.site, new);
        let (names, classes) = (&mut self.site.class_names, &mut self.site.settings.classes);
        let told: Vec<_> = names.drain(..).zip(classes.drain(..)).collect();
        (*names, *classes) = (before.class_names, before.settings.classes);
        for (at, class) in
            classes.iter_mut().enumerate().filter(|(at, _)| !told.iter().any(|(name, _)| *name == names[*at]))
        {
            if !std::mem::replace(&mut class.dropped, true) {
                self.served_until.insert(at, now + DROPPED_LATE + class.give_up);
            }
        }
        let mut fresh = Vec::new();
        for (name, class) in told {
            if let Some(at) = names.iter().position(|n| *n == name) {
                self.served_until.remove(&at);
                classes[at] = class;
                continue;
            }
            // The place of one that is gone for good serves again: names may come and go for ever.
            let requests = &self.requests;
            let is_free = |at: &usize| requests.values().all(|request| request.class != *at);
            let gone = self.served_until.iter().filter(|(_, until)| **until < now).map(|(at, _)| *at);
            match gone.into_iter().find(is_free) {
                Some(at) => {
                    self.served_until.remove(&at);
                    (names[at], classes[at]) = (name, class);
                    fresh.push(at);
                }
                None => {
                    fresh.push(names.len());
                    names.push(name);
                    classes.push(class);
                }
            }
        }
        // Open requests name their tenant by its place: a name keeps it. A tenant that is gone has no share.
        let (names, tenants) = (&mut self.site.tenant_names, &mut self.site.settings.tenants);
        let told: Vec<_> = names.drain(..).zip(tenants.drain(..)).collect();
        if !told.is_empty() {
            *names = before.tenant_names;
            tenants.extend(before.settings.tenants);
        }
        let gone: Vec<_> = names.iter().map(|name| !told.iter().any(|(n, _)| n == name)).collect();
        tenants.iter_mut().zip(&gone).filter(|(_, gone)| **gone).for_each(|(t, _)| t.quota_per_s = 0.0);
        let mut free = gone.iter().enumerate().filter(|(_, gone)| **gone).map(|(at, _)| at);
        for (name, tenant) in told {
            if let Some(at) = names.iter().position(|n| *n == name) {
                tenants[at] = tenant;
            } else if let Some(at) = free.next() {
                (names[at], tenants[at]) = (name, tenant);
            } else {
                names.push(name);
                tenants.push(tenant);
            }
        }
        self.engine.retune(self.module_settings(), &fresh);
        self.report_route_states();
        self.effects.push(Effect::Relink);
    }
}
