//! Suspicions and the digest of a member: shortens a suspicion that other members reached by probes of their own, and
//! updates the digest that is published in the metadata.

use std::cmp::Reverse;
use std::time::Duration;

use foca::Timer;

use super::disagreement::{self, Digest};
use super::runtime::PendingTimer;
use super::view::{Id, State};
use super::Membership;

/// Part of its full duration to which a suspicion is shortened when [`CONFIRMATIONS`] other members share it. With
/// fewer of them it is shortened less, by the logarithm of their number (Lifeguard's LHA-Suspicion, with K = 3).
const MIN_SUSPICION_SHARE: f64 = 0.5;
const CONFIRMATIONS: usize = 3;
/// A member that is alive and from which nothing was received directly for this many rounds of probes, plus
/// [`UNREACHABLE_MIN_PERIODS`], counts as unreachable. In one round each member probes every other member.
const UNREACHABLE_ROUNDS: u32 = 3;
const UNREACHABLE_MIN_PERIODS: u32 = 6;

impl Membership {
    /// Moves the end of a suspicion forward if other members reached the same suspicion by probes of their own.
    pub(super) fn shorten_suspicions(&mut self) {
        let others = self.foca.num_members().saturating_sub(1).min(CONFIRMATIONS);
        if others == 0 {
            return;
        }
        let new_ends: Vec<_> = self
            .own_suspicions
            .iter()
            .filter_map(|(address, (member_incarnation, refutations, began, duration))| {
                let confirmed = disagreement::independent_suspicions(
                    &self.view,
                    &(*address, *member_incarnation, *refutations),
                )
                .min(others);
                let part = (confirmed as f64 + 1.0).ln() / (others as f64 + 1.0).ln();
                let after = duration.mul_f64(1.0 - (1.0 - MIN_SUSPICION_SHARE) * part);
                (confirmed > 0).then_some((*address, *member_incarnation, *refutations, *began + after))
            })
            .collect();
        let sooner = |due: &PendingTimer| {
            let Timer::ChangeSuspectToDown { member_id: id, incarnation, .. } = &due.timer else {
                return None;
            };
            let end =
                new_ends.iter().find(|e| (e.0, e.1, e.2) == (id.address, id.incarnation, *incarnation))?;
            (end.3 < due.at).then_some(end.3)
        };
        if !new_ends.is_empty() && self.timers.iter().any(|Reverse(due)| sooner(due).is_some()) {
            let all = std::mem::take(&mut self.timers).into_vec();
            let moved = all.into_iter().map(|Reverse(due)| {
                let at = sooner(&due).unwrap_or(due.at);
                Reverse(PendingTimer { at, ..due })
            });
            self.timers = moved.collect();
        }
    }

    /// Updates the digest of the view, once a period. A changed digest is published at once.
    pub(super) fn update_digest(&mut self, now: Duration) {
        self.digest_at = now + self.options.period;
        let members = u32::try_from(self.foca.num_members() + 1).unwrap_or(u32::MAX);
        let timeout = self.options.period * (UNREACHABLE_ROUNDS * members + UNREACHABLE_MIN_PERIODS);
        let unreachable = self.view.members().filter(|entry| entry.state == State::Alive).filter(|entry| {
            let last =
                self.last_received.get(&entry.id.address).copied().unwrap_or_default().max(entry.since);
            now > last + timeout
        });
        let unreachable = unreachable.map(|entry| entry.id.address).collect();
        let mut digest = Digest::of(self.id(), &self.view, unreachable);
        let suspects: Vec<_> =
            self.foca.iter_members().filter(|m| m.state() == foca::State::Suspect).collect();
        self.own_suspicions.retain(|address, (member_incarnation, refutations, ..)| {
            let same = |m: &&&foca::Member<Id>| {
                m.id().address == *address && m.id().incarnation == *member_incarnation
            };
            suspects.iter().find(same).is_some_and(|m| m.incarnation() == *refutations)
        });
        let suspicions = self.own_suspicions.iter().take(disagreement::MAX_SUSPECTED);
        digest.suspected = suspicions
            .map(|(address, (member_incarnation, refutations, ..))| {
                (*address, *member_incarnation, *refutations)
            })
            .collect();
        disagreement::compare(now, &digest, &self.view, &mut self.differing_since);
        let bytes = digest.encode();
        if bytes != self.metadata.digest {
            self.metadata.digest = bytes;
            self.publish_at = now;
        }
    }
}
