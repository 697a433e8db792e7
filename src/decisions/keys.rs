//! Idempotency keys: all tries of a deduplicated request share one run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{DecisionEngine, Phase, TICK};
use crate::interface::*;

/// The tries of one deduplicated request, which share its key.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyGroup {
    pub(super) tries: Vec<RequestId>,
    pub(super) started: bool,
    /// A try that another one repeats and that never arrived here. It is assumed to have run, and what was known
    /// about it to be forgotten, unless it still arrives.
    unseen: Option<RequestId>,
    /// The key's entry in the key table: the try that it was made for, and when it expires.
    pub(super) entry: Option<(RequestId, Duration)>,
    /// When the first try that was seen here arrived.
    pub(super) first_arrival: Option<Duration>,
    forget_at: Duration,
}

impl KeyGroup {
    /// Whether one of the tries was started, or must be assumed to have been.
    pub(super) fn ran(&self) -> bool {
        self.started || self.unseen.is_some()
    }
}

/// All key groups, each under the id of one of its tries.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyGroups {
    pub(super) groups: BTreeMap<RequestId, KeyGroup>,
    /// The group of each try.
    pub(super) group_of: BTreeMap<RequestId, RequestId>,
    /// When to check whether a group can be forgotten.
    pub(super) checks: BTreeSet<(Duration, RequestId)>,
}

impl KeyGroups {
    pub(super) fn get(&self, id: RequestId) -> Option<&KeyGroup> {
        self.groups.get(self.group_of.get(&id)?)
    }

    /// Adds a try to the group of the one that it repeats, and returns the id of that group.
    pub(super) fn add(&mut self, id: RequestId, repeats: Option<RequestId>) -> RequestId {
        let named = repeats.and_then(|r| self.group_of.get(&r).copied());
        let own = self.group_of.get(&id).copied();
        let group = named.or(own).unwrap_or(id);
        let merged = own.filter(|o| *o != group).and_then(|o| self.groups.remove(&o)).unwrap_or_default();
        let g = self.groups.entry(group).or_default();
        g.started |= merged.started;
        g.unseen = g.unseen.or(merged.unseen).filter(|u| *u != id);
        g.tries.extend(&merged.tries);
        if let Some(r) = repeats.filter(|_| named.is_none()) {
            g.tries.push(r);
            g.unseen = Some(r);
        }
        g.tries.retain(|t| *t != id);
        g.tries.push(id);
        self.group_of.extend(g.tries.iter().map(|t| (*t, group)));
        group
    }
}

impl DecisionEngine {
    /// Adds an arrived try to its key group, and the key to the key table unless a try with it has run.
    pub(super) fn add_keyed_try(
        &mut self,
        a: &Arrival,
        arrived: Duration,
        window: Duration,
        actions: &mut Vec<Action>,
    ) {
        let group = self.key_groups.add(a.id, a.repeats);
        let (g, client_timeout) =
            (self.key_groups.groups.entry(group).or_default(), self.settings.classes[a.class].client_timeout);
        g.first_arrival = Some(g.first_arrival.unwrap_or(arrived).min(arrived));
        g.forget_at = g.forget_at.max(arrived + window * 2);
        let ends = arrived + window + TICK;
        self.key_groups.checks.insert(((ends + TICK).min(arrived + client_timeout * 2), group));
        if !g.ran() && ends > self.now {
            self.memory += if g.entry.replace((a.id, ends)).is_none() { self.settings.key_size() } else { 0 };
            actions.push(Action::RememberKey { id: a.id, lifetime: ends - self.now });
        }
    }

    /// Whether a try with the key of this request ran, or must be assumed to have run.
    pub(super) fn key_ran(&self, id: RequestId) -> bool {
        self.key_groups.get(id).is_some_and(KeyGroup::ran)
    }

    /// Whether this try is the one to start among the held tries with its key. The newest one is, as it has the
    /// most time left. A try that repeats none and can be answered in time goes before it: it could not be joined
    /// to the run of another try, and would fail.
    pub(super) fn starts_for_key(&self, id: RequestId) -> bool {
        let Some(g) = self.key_groups.get(id).filter(|g| !g.ran() && g.entry.is_some()) else { return false };
        let held = |t: &RequestId| Some((*t, self.requests.get(t).filter(|r| r.phase == Phase::Held)?));
        let mut held = g.tries.iter().rev().filter_map(held);
        let original = held.clone().find(|(_, r)| !r.is_repeat && self.now <= self.latest_start(r));
        original.or_else(|| held.next()).is_some_and(|(t, _)| t == id)
    }

    /// Records that a try was started, and joins the held repeats with its key to it.
    pub(super) fn key_started(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(g) = self.key_groups.group_of.get(&id).and_then(|g| self.key_groups.groups.get_mut(g))
        else {
            return;
        };
        g.started = true;
        let joins =
            |t: &RequestId| self.requests.get(t).is_some_and(|r| r.is_repeat && r.phase == Phase::Held);
        let others: Vec<_> = g.tries.iter().copied().filter(joins).collect();
        others.into_iter().for_each(|other| self.join(other, actions));
    }

    /// Removes the key of a held try that ends without a run, unless another try with it still waits.
    pub(super) fn release_key(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let group = self.key_groups.group_of.get(&id).and_then(|g| self.key_groups.groups.get_mut(g));
        let waits = |g: &KeyGroup| g.tries.iter().any(|t| *t != id && self.requests.contains_key(t));
        let Some(g) = group.filter(|g| !g.ran() && !waits(g)) else { return };
        if let Some((holder, _)) = g.entry.take() {
            self.memory = self.memory.saturating_sub(self.settings.key_size());
            actions.push(Action::ForgetKey(holder));
        }
    }

    /// Removes expired keys, and forgets key groups that no later try can name.
    pub(super) fn expire_keys(&mut self) {
        while let Some(&(at, group)) = self.key_groups.checks.first().filter(|(at, _)| *at < self.now) {
            self.key_groups.checks.remove(&(at, group));
            let Some(g) = self.key_groups.groups.get_mut(&group) else { continue };
            // A try that is still active may outlast a short window. No later try names one that ended without a run.
            if g.tries.iter().any(|t| self.requests.contains_key(t)) {
                self.key_groups.checks.insert((self.now + TICK, group));
                continue;
            }
            if g.entry.take_if(|(_, ends)| *ends + TICK < self.now).is_some() {
                self.memory = self.memory.saturating_sub(self.settings.key_size());
            }
            if g.entry.is_none() && (!g.ran() || g.forget_at <= at) {
                let gone = self.key_groups.groups.remove(&group).unwrap_or_default();
                gone.tries.iter().for_each(|id| _ = self.key_groups.group_of.remove(id));
            } else {
                self.key_groups.checks.insert((g.entry.map_or(g.forget_at, |(_, ends)| ends + TICK), group));
            }
        }
    }
}
