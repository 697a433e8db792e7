//! Idempotency keys: all tries of a deduplicated request share one run.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{DecisionEngine, Phase, TICK};
use crate::interface::*;

/// Part of the memory that the entries of all keys may fill, so that the rest is left for requests, and the part that
/// those of one caller may fill, so that the rest of the room is left for the keys of others. A higher value refuses
/// fewer keyed requests with long windows, a lower one leaves more to requests without keys.
const KEYS_MEMORY_SHARE: f64 = 0.6;
const CALLER_KEYS_MEMORY_SHARE: f64 = 0.4;

/// An entry of the key table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KeyEntry {
    /// The try that it was made for.
    holder: RequestId,
    expires_at: Duration,
    /// The caller of that try.
    caller: u32,
}

/// The tries of one deduplicated request, which share its key.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyGroup {
    /// The tries that are active, and those that a later try may name as the one that it repeats: the one that was
    /// started, the one that is assumed to have run, and the one that has the key's entry. Each active try belongs to a
    /// client's connection, so that there is a bound on their number.
    pub(super) tries: Vec<RequestId>,
    /// The try that was started.
    pub(super) started: Option<RequestId>,
    /// A try that another one repeats and that never arrived here. It is assumed to have run, and what was known
    /// about it to be forgotten, unless it still arrives.
    unseen: Option<RequestId>,
    /// The key's entry in the key table.
    entry: Option<KeyEntry>,
    /// When the first try that was seen here arrived.
    pub(super) first_arrival: Option<Duration>,
    forget_at: Duration,
    /// The time of the group's check, if one is scheduled.
    check_at: Option<Duration>,
}

impl KeyGroup {
    /// Whether one of the tries was started, or must be assumed to have been.
    pub(super) fn ran(&self) -> bool {
        self.started.or(self.unseen).is_some()
    }

    /// Whether a later try may name this one as the one that it repeats, although it is over.
    fn may_be_named(&self, id: RequestId) -> bool {
        [self.started, self.unseen, self.entry.map(|entry| entry.holder)].contains(&Some(id))
    }
}

/// All key groups, each under the id of one of its tries.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyGroups {
    /// Boxed, as a node of the map has room for twice the groups that it holds.
    pub(super) groups: BTreeMap<RequestId, Box<KeyGroup>>,
    /// The group of each try.
    pub(super) group_of: BTreeMap<RequestId, RequestId>,
    /// When to check whether a group can be forgotten; at most one check for each.
    checks: BTreeSet<(Duration, RequestId)>,
    /// Number of entries in the key table, in all and of each caller that has any.
    entry_count: usize,
    caller_entries: BTreeMap<u32, usize>,
    /// Tries that ended, or lost their part in a group, since the last decision.
    ended: Vec<RequestId>,
}

impl KeyGroups {
    pub(super) fn get(&self, id: RequestId) -> Option<&KeyGroup> {
        self.groups.get(self.group_of.get(&id)?).map(Box::as_ref)
    }

    /// Adds a try to the group of the one that it repeats, and returns the id of that group.
    pub(super) fn add(&mut self, id: RequestId, repeats: Option<RequestId>) -> RequestId {
        let named = repeats.and_then(|r| self.group_of.get(&r).copied());
        let own = self.group_of.get(&id).copied();
        let group = named.or(own).unwrap_or(id);
        let merged = own.filter(|o| *o != group).and_then(|o| self.groups.remove(&o)).unwrap_or_default();
        let g = self.groups.entry(group).or_default();
        g.started = g.started.or(merged.started);
        g.unseen = g.unseen.or(merged.unseen).filter(|u| *u != id);
        g.tries.extend(&merged.tries);
        self.group_of.extend(merged.tries.iter().map(|t| (*t, group)));
        if let Some(at) = merged.check_at {
            self.checks.remove(&(at, own.unwrap_or(group)));
        }
        if let Some(r) = repeats.filter(|_| named.is_none()) {
            g.tries.push(r);
            g.unseen = Some(r);
            self.group_of.insert(r, group);
        }
        g.tries.retain(|t| *t != id);
        // Most keys have one try, and are kept long after it.
        g.tries.reserve_exact(1);
        g.tries.push(id);
        self.group_of.insert(id, group);
        group
    }

    /// Schedules the check of a group, unless an earlier one is scheduled.
    fn schedule_check(&mut self, group: RequestId, at: Duration) {
        let Some(g) = self.groups.get_mut(&group) else { return };
        if g.check_at.is_some_and(|scheduled| scheduled <= at) {
            return;
        }
        if let Some(later) = g.check_at.replace(at) {
            self.checks.remove(&(later, group));
        }
        self.checks.insert((at, group));
    }

    /// Returns a group whose check is due before `now`, with the time of the check, which is no longer scheduled.
    fn take_check(&mut self, now: Duration) -> Option<(Duration, RequestId)> {
        let (at, group) = self.checks.first().copied().filter(|(at, _)| *at < now)?;
        self.checks.remove(&(at, group));
        self.groups.get_mut(&group).into_iter().for_each(|g| g.check_at = None);
        Some((at, group))
    }

    /// Forgets a group.
    fn remove(&mut self, group: RequestId) {
        let Some(gone) = self.groups.remove(&group) else { return };
        if let Some(at) = gone.check_at {
            self.checks.remove(&(at, group));
        }
        gone.tries.iter().for_each(|id| _ = self.group_of.remove(id));
    }

    /// Makes the entry of a group, and returns the one that it replaces.
    fn insert_entry(&mut self, group: RequestId, entry: KeyEntry) -> Option<KeyEntry> {
        let previous = self.remove_entry(group);
        self.groups.entry(group).or_default().entry = Some(entry);
        self.entry_count += 1;
        *self.caller_entries.entry(entry.caller).or_default() += 1;
        previous
    }

    /// Removes the entry of a group, if it has one.
    fn remove_entry(&mut self, group: RequestId) -> Option<KeyEntry> {
        let entry = self.groups.get_mut(&group)?.entry.take()?;
        self.entry_count -= 1;
        if let Entry::Occupied(mut count) = self.caller_entries.entry(entry.caller) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
        Some(entry)
    }

    /// Records that a try has ended, or that it has no longer the part for which it was kept.
    pub(super) fn try_ended(&mut self, id: RequestId) {
        if self.group_of.contains_key(&id) {
            self.ended.push(id);
        }
    }

    /// Number of tries that are remembered.
    pub(super) fn try_count(&self) -> usize {
        self.group_of.len()
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
        if !g.ran() && ends > self.now {
            let entry = KeyEntry { holder: a.id, expires_at: ends, caller: a.caller };
            match self.key_groups.insert_entry(group, entry) {
                Some(previous) => self.key_groups.try_ended(previous.holder),
                None => self.memory += self.settings.key_size(),
            }
            actions.push(Action::RememberKey { id: a.id, lifetime: ends - self.now });
        }
        self.key_groups.schedule_check(group, (ends + TICK).min(arrived + client_timeout * 2));
    }

    /// Number of tries that are remembered for their keys.
    pub fn key_try_count(&self) -> usize {
        self.key_groups.try_count()
    }

    /// Forgets the tries that have ended and that no later try can name, and the groups that have no other. It is called
    /// after a batch of events, since the tries of one batch may name each other.
    pub(super) fn forget_ended_tries(&mut self) {
        for id in std::mem::take(&mut self.key_groups.ended) {
            let Some(&group) = self.key_groups.group_of.get(&id).filter(|_| !self.requests.contains_key(&id))
            else {
                continue;
            };
            let Some(g) = self.key_groups.groups.get_mut(&group).filter(|g| !g.may_be_named(id)) else {
                continue;
            };
            g.tries.retain(|t| *t != id);
            self.key_groups.group_of.remove(&id);
            if g.tries.is_empty() {
                self.key_groups.remove(group);
            }
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
        g.started = Some(id);
        let joins =
            |t: &RequestId| self.requests.get(t).is_some_and(|r| r.is_repeat && r.phase == Phase::Held);
        let others: Vec<_> = g.tries.iter().copied().filter(joins).collect();
        others.into_iter().for_each(|other| self.join(other, actions));
    }

    /// Removes the key of a held try that ends without a run, unless another try with it still waits.
    pub(super) fn release_key(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let waits = |g: &KeyGroup| g.tries.iter().any(|t| *t != id && self.requests.contains_key(t));
        if self.key_groups.get(id).is_none_or(|g| g.ran() || waits(g)) {
            return;
        }
        let group = self.key_groups.group_of[&id];
        if let Some(holder) = self.end_entry(group) {
            actions.push(Action::ForgetKey(holder));
        }
    }

    /// Removes the entry of a group and gives back its memory. Returns the try that it was made for.
    fn end_entry(&mut self, group: RequestId) -> Option<RequestId> {
        let entry = self.key_groups.remove_entry(group)?;
        self.memory = self.memory.saturating_sub(self.settings.key_size());
        self.key_groups.try_ended(entry.holder);
        Some(entry.holder)
    }

    /// Keeps the keys of requests from filling the memory, and those of one caller from filling the room for keys: the
    /// last held requests in the order of the queue are refused, unless their key ran.
    pub(super) fn shed_keys(&mut self, queue: &[RequestId], actions: &mut Vec<Action>) {
        let [all, of_one_caller] =
            [KEYS_MEMORY_SHARE, CALLER_KEYS_MEMORY_SHARE].map(|share| self.max_keys(share));
        for &id in queue.iter().rev() {
            if self.key_groups.entry_count <= all.min(of_one_caller) {
                break;
            }
            let Some(entry) = self.key_groups.get(id).filter(|g| !g.ran()).and_then(|g| g.entry) else {
                continue;
            };
            if self.key_groups.entry_count > all
                || self.key_groups.caller_entries[&entry.caller] > of_one_caller
            {
                self.log("no room for new keys: refusing held requests", actions);
                self.refuse(id, actions);
            }
        }
    }

    /// How many keys fit into a share of the memory; one does at least.
    fn max_keys(&self, share: f64) -> usize {
        let keys = self.settings.memory_kb * 1000.0 * share / self.settings.key_size().max(1) as f64;
        (keys as usize).max(1)
    }

    /// Removes expired keys, and forgets key groups that no later try can name.
    pub(super) fn expire_keys(&mut self) {
        while let Some((at, group)) = self.key_groups.take_check(self.now) {
            let Some(g) = self.key_groups.groups.get(&group) else { continue };
            // A try that is still active may outlast a short window. No later try names one that ended without a run.
            if g.tries.iter().any(|t| self.requests.contains_key(t)) {
                self.key_groups.schedule_check(group, self.now + TICK);
                continue;
            }
            if g.entry.is_some_and(|entry| entry.expires_at + TICK < self.now) {
                self.end_entry(group);
            }
            let Some(g) = self.key_groups.groups.get(&group) else { continue };
            if g.entry.is_none() && (!g.ran() || g.forget_at <= at) {
                self.key_groups.remove(group);
            } else {
                let next = g.entry.map_or(g.forget_at, |entry| entry.expires_at + TICK);
                self.key_groups.schedule_check(group, next);
            }
        }
    }
}
