//! Reloading of the settings in a running process.

use std::time::Duration;

use super::types::*;
use super::Core;
use crate::settings::Site;

/// Clients learn of changed classes this much later; after that, no first try of a dropped class arrives.
const CLIENT_UPDATE_DELAY: Duration = Duration::from_secs(2);

impl Core {
    /// Takes over new settings. A class is identified by its name and keeps its index, as active requests refer to
    /// it. A dropped class is still served while clients that learn of the change late may send tries of it.
    pub(super) fn reload(&mut self, now: Duration, new: Site) {
        let previous = std::mem::replace(&mut self.site, new);
        let (names, classes) = (&mut self.site.class_names, &mut self.site.settings.classes);
        let new_classes: Vec<_> = names.drain(..).zip(classes.drain(..)).collect();
        (*names, *classes) = (previous.class_names, previous.settings.classes);
        for (at, class) in classes
            .iter_mut()
            .enumerate()
            .filter(|(at, _)| !new_classes.iter().any(|(name, _)| *name == names[*at]))
        {
            if !std::mem::replace(&mut class.dropped, true) {
                self.served_until.insert(at, now + CLIENT_UPDATE_DELAY + class.client_timeout);
            }
        }
        let mut added = Vec::new();
        for (name, class) in new_classes {
            if let Some(at) = names.iter().position(|n| *n == name) {
                self.served_until.remove(&at);
                classes[at] = class;
                continue;
            }
            // The index of a class that is no longer served is reused, as names may be added and dropped without limit.
            let requests = &self.requests;
            let is_free = |at: &usize| requests.values().all(|request| request.class != *at);
            let expired = self.served_until.iter().filter(|(_, until)| **until < now).map(|(at, _)| *at);
            match expired.into_iter().find(is_free) {
                Some(at) => {
                    self.served_until.remove(&at);
                    (names[at], classes[at]) = (name, class);
                    added.push(at);
                }
                None => {
                    added.push(names.len());
                    names.push(name);
                    classes.push(class);
                }
            }
        }
        // Active requests refer to their tenant by its index, so a name keeps its index. A dropped tenant has no quota.
        let (names, tenants) = (&mut self.site.tenant_names, &mut self.site.settings.tenants);
        let new_tenants: Vec<_> = names.drain(..).zip(tenants.drain(..)).collect();
        if !new_tenants.is_empty() {
            *names = previous.tenant_names;
            tenants.extend(previous.settings.tenants);
        }
        let dropped: Vec<_> = names.iter().map(|name| !new_tenants.iter().any(|(n, _)| n == name)).collect();
        tenants
            .iter_mut()
            .zip(&dropped)
            .filter(|(_, dropped)| **dropped)
            .for_each(|(t, _)| t.quota_per_s = 0.0);
        let mut free = dropped.iter().enumerate().filter(|(_, dropped)| **dropped).map(|(at, _)| at);
        for (name, tenant) in new_tenants {
            if let Some(at) = names.iter().position(|n| *n == name) {
                tenants[at] = tenant;
            } else if let Some(at) = free.next() {
                (names[at], tenants[at]) = (name, tenant);
            } else {
                names.push(name);
                tenants.push(tenant);
            }
        }
        self.engine.reconfigure(self.module_settings(), &added);
        self.report_route_states();
        self.effects.push(Effect::Relink);
    }
}
