//! What a member makes of its suspicions and of its view: it tells both, and waits for less where others came to the
//! same suspicion by themselves.

use std::cmp::Reverse;
use std::time::Duration;

use foca::Timer;

use super::asked::Due;
use super::disagreement::{self, Digest};
use super::view::{Id, State};
use super::Membership;

/// A suspicion that others share is shortened down to this part of itself, by the logarithm of their number, the whole
/// of it with [`CONFIRMED`] of them (Lifeguard's LHA-Suspicion; its K is 3).
const SHORTEST: f64 = 0.5;
const CONFIRMED: usize = 3;
/// Who is up and was not heard itself for so many rounds of probes, and periods besides, is out of direct reach: in a
/// round each member probes every other one.
const UNHEARD_ROUNDS: u32 = 3;
const UNHEARD_LEAST: u32 = 6;
impl Membership {
    /// Ends suspicions sooner that others came to by probes of their own.
    pub(super) fn shorten(&mut self) {
        let others = self.foca.num_members().saturating_sub(1).min(CONFIRMED);
        if others == 0 {
            return;
        }
        let ends: Vec<_> = self
            .accused
            .iter()
            .filter_map(|(address, (life, refuted, began, full))| {
                let agree = disagreement::accusers(&self.view, &(*address, *life, *refuted)).min(others);
                let part = (agree as f64 + 1.0).ln() / (others as f64 + 1.0).ln();
                let after = full.mul_f64(1.0 - (1.0 - SHORTEST) * part);
                (agree > 0).then_some((*address, *life, *refuted, *began + after))
            })
            .collect();
        let sooner = |due: &Due| {
            let Timer::ChangeSuspectToDown { member_id: id, incarnation, .. } = &due.timer else {
                return None;
            };
            let end = ends.iter().find(|e| (e.0, e.1, e.2) == (id.address, id.incarnation, *incarnation))?;
            (end.3 < due.at).then_some(end.3)
        };
        if !ends.is_empty() && self.timers.iter().any(|Reverse(due)| sooner(due).is_some()) {
            let all = std::mem::take(&mut self.timers).into_vec();
            let moved = all.into_iter().map(|Reverse(due)| {
                let at = sooner(&due).unwrap_or(due.at);
                Reverse(Due { at, ..due })
            });
            self.timers = moved.collect();
        }
    }

    /// Makes the digest of the view anew, once a period: where it changed the others are told at once.
    pub(super) fn digest(&mut self, now: Duration) {
        self.digest_at = now + self.options.period;
        let members = u32::try_from(self.foca.num_members() + 1).unwrap_or(u32::MAX);
        let patience = self.options.period * (UNHEARD_ROUNDS * members + UNHEARD_LEAST);
        let unheard = self.view.members().filter(|seen| seen.state == State::Alive).filter(|seen| {
            let last = self.heard.get(&seen.id.address).copied().unwrap_or_default().max(seen.since);
            now > last + patience
        });
        let unheard = unheard.map(|seen| seen.id.address).collect();
        let mut digest = Digest::of(self.id(), &self.view, unheard);
        let suspects: Vec<_> =
            self.foca.iter_members().filter(|m| m.state() == foca::State::Suspect).collect();
        self.accused.retain(|address, (life, refuted, ..)| {
            let same = |m: &&&foca::Member<Id>| m.id().address == *address && m.id().incarnation == *life;
            suspects.iter().find(same).is_some_and(|m| m.incarnation() == *refuted)
        });
        let accused = self.accused.iter().take(disagreement::MAX_ACCUSED);
        digest.accused = accused.map(|(address, (life, refuted, ..))| (*address, *life, *refuted)).collect();
        disagreement::compare(now, &digest, &self.view, &mut self.unlike);
        let bytes = digest.encode();
        if bytes != self.metadata.digest {
            self.metadata.digest = bytes;
            self.tell_at = now;
        }
    }
}
