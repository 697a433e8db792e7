//! Handling of a received datagram: checks of the envelope and the sender before foca processes it, and members that
//! are known only from its metadata.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::SocketAddrV4;

use foca::Timer;

use super::metadata::is_valid;
use super::runtime::StepRuntime;
use super::view::Id;
use super::{update_filter, Membership, MAGIC, MAX_MEMBERS};

/// Most timers kept besides two for each member; includes the protocol's own timers.
const MAX_OTHER_TIMERS: usize = 64;

impl Membership {
    pub(super) fn receive(&mut self, bytes: &[u8], runtime: &mut StepRuntime) {
        let Some(rest) = bytes.strip_prefix(&MAGIC) else {
            self.counts.foreign += 1;
            return;
        };
        let Some((fleet, data)) = rest.split_first_chunk::<4>() else {
            self.counts.malformed += 1;
            return;
        };
        if u32::from_be_bytes(*fleet) != self.fleet {
            self.counts.other_fleet += 1;
            return;
        }
        // foca's header begins with the sender.
        let Ok((src, _)) = postcard::take_from_bytes::<Id>(data) else {
            self.counts.malformed += 1;
            return;
        };
        if !is_valid(&src) {
            self.counts.malformed += 1;
            return;
        }
        let unknown = self.view.by_address(&src.address).is_none();
        let room = MAX_MEMBERS.saturating_sub(self.foca.iter_membership_state().len());
        if unknown && room == 0 {
            self.counts.no_room += 1;
            return;
        }
        let own = self.id().address;
        let known = |address: &SocketAddrV4| *address == own || self.view.by_address(address).is_some();
        let filtered = update_filter::filter_updates(data, room - usize::from(unknown), known);
        self.counts.no_room_told += filtered.no_room;
        let handled = self.foca.handle_data(filtered.data.as_ref(), &mut *runtime);
        self.counts.unread += std::mem::take(&mut self.inbox.lock().unread);
        match handled {
            Ok(()) => {
                self.counts.taken += 1;
                self.counts.taken_bytes += bytes.len() as u64;
                // A datagram for another incarnation proves nothing about its sender, which may be forged.
                if runtime.received {
                    self.last_received.insert(src.address, runtime.now);
                }
            }
            Err(foca::Error::DataFromOurselves) => self.counts.own += 1,
            Err(_) => self.counts.malformed += 1,
        }
        self.add_unknown_members(runtime);
    }

    /// Removes timers that have no effect once there are too many. Each incarnation that went down leaves a timer that
    /// removes it. The timers of incarnations that were replaced remove nothing, and a peer can report any number of
    /// incarnations at one address.
    pub(super) fn drop_idle_timers(&mut self) {
        if self.timers.len() <= 2 * MAX_MEMBERS + MAX_OTHER_TIMERS {
            return;
        }
        let known: HashSet<_> = self.foca.iter_membership_state().map(foca::Member::id).collect();
        let has_no_effect = |timer: &Timer<Id>| matches!(timer, Timer::RemoveDown(id) if !known.contains(id));
        self.timers.retain(|Reverse(due)| !has_no_effect(&due.timer));
    }

    /// Adds members that are known only from their metadata.
    fn add_unknown_members(&mut self, runtime: &mut StepRuntime) {
        let unknown_members = std::mem::take(&mut self.inbox.lock().unknown_members);
        let own = self.id().address;
        for id in unknown_members.into_iter().filter(|id| id.address != own) {
            let unknown = self.view.by_address(&id.address).is_none();
            if unknown && self.foca.iter_membership_state().len() >= MAX_MEMBERS {
                self.counts.no_room_told += 1;
            } else {
                let _ = self.foca.apply_many([foca::Member::alive(id)].into_iter(), true, &mut *runtime);
            }
        }
    }
}
