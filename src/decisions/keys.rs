//! Keys: one run for all tries of a deduplicated request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{DecisionEngine, Phase, TICK};
use crate::interface::*;

/// The tries of one deduplicated request.
#[derive(Clone, Debug, Default)]
pub(super) struct Effect {
    pub(super) tries: Vec<RequestId>,
    pub(super) started: bool,
    /// A forerunner never seen here, taken to have run in a part of this life now forgotten, unless it comes.
    unseen: Option<RequestId>,
    pub(super) entry: Option<(RequestId, Duration)>,
    /// When the first of its tries that was seen here came.
    pub(super) first: Option<Duration>,
    forget_at: Duration,
}

impl Effect {
    pub(super) fn ran(&self) -> bool {
        self.started || self.unseen.is_some()
    }
}

/// All of them, by the id that stands for each, and when to look whether they can be forgotten.
#[derive(Debug, Default)]
pub(super) struct Effects {
    pub(super) all: BTreeMap<RequestId, Effect>,
    pub(super) of: BTreeMap<RequestId, RequestId>,
    pub(super) ends: BTreeSet<(Duration, RequestId)>,
}

impl Effects {
    pub(super) fn of(&self, id: RequestId) -> Option<&Effect> {
        self.all.get(self.of.get(&id)?)
    }

    /// Notes a try beside those that it repeats, and returns the id that stands for all of them.
    pub(super) fn note(&mut self, id: RequestId, repeats: Option<RequestId>) -> RequestId {
        let named = repeats.and_then(|r| self.of.get(&r).copied());
        let own = self.of.get(&id).copied();
        let effect = named.or(own).unwrap_or(id);
        let merged = own.filter(|o| *o != effect).and_then(|o| self.all.remove(&o)).unwrap_or_default();
        let e = self.all.entry(effect).or_default();
        e.started |= merged.started;
        e.unseen = e.unseen.or(merged.unseen).filter(|u| *u != id);
        e.tries.extend(&merged.tries);
        if let Some(r) = repeats.filter(|_| named.is_none()) {
            e.tries.push(r);
            e.unseen = Some(r);
        }
        e.tries.retain(|t| *t != id);
        e.tries.push(id);
        self.of.extend(e.tries.iter().map(|t| (*t, effect)));
        effect
    }
}

impl DecisionEngine {
    /// Keys: one run for all tries of a deduplicated request.
    pub(super) fn note_effect(
        &mut self,
        a: &Arrival,
        arrived: Duration,
        window: Duration,
        actions: &mut Vec<Action>,
    ) {
        let effect = self.effects.note(a.id, a.repeats);
        let (e, patience) =
            (self.effects.all.entry(effect).or_default(), self.s.classes[a.class].client_timeout);
        e.first = Some(e.first.unwrap_or(arrived).min(arrived));
        e.forget_at = e.forget_at.max(arrived + window * 2);
        let ends = arrived + window + TICK;
        self.effects.ends.insert(((ends + TICK).min(arrived + patience * 2), effect));
        if !e.ran() && ends > self.now {
            self.memory += if e.entry.replace((a.id, ends)).is_none() { self.s.key_size() } else { 0 };
            actions.push(Action::RememberKey { id: a.id, lifetime: ends - self.now });
        }
    }

    pub(super) fn effect_ran(&self, id: RequestId) -> bool {
        self.effects.of(id).is_some_and(Effect::ran)
    }

    /// Of the held tries of a key the newest runs, as it has the most time; before it one that repeats none
    /// and can be in time: it could not be joined to another's run, and would fail.
    pub(super) fn stands_for_key(&self, id: RequestId) -> bool {
        let Some(e) = self.effects.of(id).filter(|e| !e.ran() && e.entry.is_some()) else { return false };
        let held = |t: &RequestId| Some((*t, self.requests.get(t).filter(|r| r.phase == Phase::Held)?));
        let mut held = e.tries.iter().rev().filter_map(held);
        let alone = held.clone().find(|(_, r)| !r.repeats && self.now <= self.latest_start(r));
        alone.or_else(|| held.next()).is_some_and(|(t, _)| t == id)
    }

    pub(super) fn effect_started(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(e) = self.effects.of.get(&id).and_then(|e| self.effects.all.get_mut(e)) else { return };
        e.started = true;
        let joins = |t: &RequestId| self.requests.get(t).is_some_and(|r| r.repeats && r.phase == Phase::Held);
        let others: Vec<_> = e.tries.iter().copied().filter(joins).collect();
        others.into_iter().for_each(|other| self.join(other, actions));
    }

    /// A held try leaves unrun: its key is freed, unless another try still waits behind it.
    pub(super) fn release_key(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let effect = self.effects.of.get(&id).and_then(|e| self.effects.all.get_mut(e));
        let waits = |e: &Effect| e.tries.iter().any(|t| *t != id && self.requests.contains_key(t));
        let Some(e) = effect.filter(|e| !e.ran() && !waits(e)) else { return };
        if let Some((holder, _)) = e.entry.take() {
            self.memory = self.memory.saturating_sub(self.s.key_size());
            actions.push(Action::ForgetKey(holder));
        }
    }

    pub(super) fn expire_keys(&mut self) {
        while let Some(&(at, effect)) = self.effects.ends.first().filter(|(at, _)| *at < self.now) {
            self.effects.ends.remove(&(at, effect));
            let Some(e) = self.effects.all.get_mut(&effect) else { continue };
            // A try that is still here outlasts a short window. No repeat names what never ran and is gone.
            if e.tries.iter().any(|t| self.requests.contains_key(t)) {
                self.effects.ends.insert((self.now + TICK, effect));
                continue;
            }
            if e.entry.take_if(|(_, ends)| *ends + TICK < self.now).is_some() {
                self.memory = self.memory.saturating_sub(self.s.key_size());
            }
            if e.entry.is_none() && (!e.ran() || e.forget_at <= at) {
                let gone = self.effects.all.remove(&effect).unwrap_or_default();
                gone.tries.iter().for_each(|id| _ = self.effects.of.remove(id));
            } else {
                self.effects.ends.insert((e.entry.map_or(e.forget_at, |(_, ends)| ends + TICK), effect));
            }
        }
    }
}
