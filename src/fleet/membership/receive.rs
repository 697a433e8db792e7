//! What a datagram goes through before foca takes it, and what else it tells.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::SocketAddrV4;

use foca::Timer;

use super::asked::Asked;
use super::notes::sound;
use super::view::Id;
use super::{sift, Membership, MAGIC, MAX_MEMBERS};

/// Timers kept at most beside two of each member, those of the protocol itself among them.
const MAX_OTHER_TIMERS: usize = 64;

impl Membership {
    pub(super) fn take(&mut self, bytes: &[u8], asked: &mut Asked) {
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
        // Foca's header begins with the sender.
        let Ok((src, _)) = postcard::take_from_bytes::<Id>(data) else {
            self.counts.malformed += 1;
            return;
        };
        if !sound(&src) {
            self.counts.malformed += 1;
            return;
        }
        let stranger = self.view.by_address(&src.address).is_none();
        let room = MAX_MEMBERS.saturating_sub(self.foca.iter_membership_state().len());
        if stranger && room == 0 {
            self.counts.no_room += 1;
            return;
        }
        let own = self.id().address;
        let known = |address: &SocketAddrV4| *address == own || self.view.by_address(address).is_some();
        let sifted = sift::sift(data, room - usize::from(stranger), known);
        self.counts.no_room_told += sifted.no_room;
        let handled = self.foca.handle_data(sifted.data.as_ref(), &mut *asked);
        self.counts.unread += std::mem::take(&mut self.notes.lock().unread);
        match handled {
            Ok(()) => {
                self.counts.taken += 1;
                self.counts.taken_bytes += bytes.len() as u64;
                // What is not for this life says nothing of its sender, who may be anybody.
                if asked.received {
                    self.heard.insert(src.address, asked.now);
                }
            }
            Err(foca::Error::DataFromOurselves) => self.counts.own += 1,
            Err(_) => self.counts.malformed += 1,
        }
        self.meet(asked);
    }

    /// Each life that went down leaves a timer by which it is forgotten. Those of lives that have a
    /// successor forget
    /// nobody, and a peer can tell of any number of lives at one address.
    pub(super) fn drop_idle_timers(&mut self) {
        if self.timers.len() <= 2 * MAX_MEMBERS + MAX_OTHER_TIMERS {
            return;
        }
        let known: HashSet<_> = self.foca.iter_membership_state().map(foca::Member::id).collect();
        let idle = |timer: &Timer<Id>| matches!(timer, Timer::RemoveDown(id) if !known.contains(id));
        self.timers.retain(|Reverse(due)| !idle(&due.timer));
    }

    /// Takes up lives that only their notes told of.
    fn meet(&mut self, asked: &mut Asked) {
        let strangers = std::mem::take(&mut self.notes.lock().strangers);
        let own = self.id().address;
        for id in strangers.into_iter().filter(|id| id.address != own) {
            let stranger = self.view.by_address(&id.address).is_none();
            if stranger && self.foca.iter_membership_state().len() >= MAX_MEMBERS {
                self.counts.no_room_told += 1;
            } else {
                let _ = self.foca.apply_many([foca::Member::alive(id)].into_iter(), true, &mut *asked);
            }
        }
    }
}
