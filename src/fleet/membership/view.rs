//! One member's [`View`] of the fleet: the known members, their states with the time of the last change, and their
//! metadata. There is no I/O and no clock in this module.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::disagreement::{incarnation_hash, Digest};

/// Longest member name and longest version text, in bytes.
pub const MAX_NAME: usize = 64;
/// Longest digest in a member's metadata, in bytes.
pub const MAX_DIGEST: usize = 512;

/// Identity of a member: one incarnation of one process. After a restart, the process at the same address has a higher
/// incarnation number and replaces the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// The address to which other members send datagrams.
    pub address: SocketAddrV4,
    /// Grows with each restart: milliseconds since the Unix epoch at the start, plus one for each time that the member
    /// was declared down and rejoined.
    pub incarnation: u64,
    /// The name of the matcher.
    pub name: String,
}

/// What a member publishes about itself. It is small and travels on the protocol's own messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metadata {
    /// The version of the program.
    pub version: String,
    /// The member drains: it completes the requests that it has, then leaves.
    pub draining: bool,
    /// The member left on purpose: its silence is not a failure.
    pub left: bool,
    /// How many runs the member can have at once.
    pub capacity: u32,
    /// The digest of its view, encoded by [`super::disagreement::Digest`].
    pub digest: Vec<u8>,
}

/// Metadata as it is sent: with its member and a sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetadataUpdate {
    /// The incarnation that published it.
    pub id: Id,
    /// Grows with each update of this incarnation.
    pub number: u64,
    /// The metadata itself.
    #[serde(rename = "note")]
    pub metadata: Metadata,
}

/// The state of a member in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It answers probes.
    Alive,
    /// It did not answer the probe of some member, and can still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time: it has failed or is unreachable.
    Down,
    /// It announced that it leaves, then left.
    Left,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Down => "down",
            State::Left => "left",
        })
    }
}

/// One member in a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Its newest known incarnation.
    pub id: Id,
    /// Its state.
    pub state: State,
    /// When it entered this state, on the clock of the view's owner.
    pub since: Duration,
    /// Its newest metadata with the sequence number; `None` before the first was received.
    pub metadata: Option<(u64, Metadata)>,
    /// The digest decoded from this metadata; `None` if it has none.
    pub digest: Option<Digest>,
}

impl MemberEntry {
    /// What the member adds to the sum over the incarnations that are up.
    fn up_summand(&self) -> u64 {
        if View::is_up(self) {
            incarnation_hash(&self.id)
        } else {
            0
        }
    }

    /// The newest metadata, or the default before any was received.
    pub fn metadata(&self) -> Metadata {
        self.metadata.as_ref().map(|(_, metadata)| metadata.clone()).unwrap_or_default()
    }
}

/// One change of the view, for the log and for callers that act on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member whose state changed.
    pub id: Id,
    /// The previous state; `None` for a new member.
    pub from: Option<State>,
    /// The new state.
    pub to: State,
}

/// All known members, by address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    members: BTreeMap<SocketAddrV4, MemberEntry>,
    /// The sum over the incarnations that are up, updated with each change: with 1,000 members it is too expensive to
    /// compute it again each time.
    up: u64,
}

impl View {
    /// Updates the state of a member and returns the change, if there is one. A state of an incarnation older than the
    /// one known at the address is ignored.
    pub fn update_state(&mut self, now: Duration, id: &Id, state: State) -> Option<Change> {
        let known = self.members.get(&id.address);
        if known.is_some_and(|k| k.id.incarnation > id.incarnation) {
            return None;
        }
        let same_incarnation = known.filter(|k| k.id == *id);
        // A member that announced that it leaves has left once it no longer answers.
        let announced_leave =
            same_incarnation.is_some_and(|k| k.metadata.as_ref().is_some_and(|(_, n)| n.left));
        let state = if state != State::Alive && announced_leave { State::Left } else { state };
        if same_incarnation.is_some_and(|k| k.state == state) {
            return None;
        }
        let from = known.map(|k| k.state);
        let metadata = same_incarnation.and_then(|k| k.metadata.clone());
        let digest = same_incarnation.and_then(|k| k.digest.clone());
        let was = known.map_or(0, MemberEntry::up_summand);
        let entry = MemberEntry { id: id.clone(), state, since: now, metadata, digest };
        self.up = self.up.wrapping_sub(was).wrapping_add(entry.up_summand());
        self.members.insert(id.address, entry);
        Some(Change { id: id.clone(), from, to: state })
    }

    /// Updates the metadata of a member. Returns whether it is newer than the known metadata, so that it should be
    /// passed on. Metadata of an unknown incarnation is ignored: that incarnation publishes it again.
    pub fn update_metadata(&mut self, update: &MetadataUpdate) -> bool {
        let Some(entry) = self.members.get_mut(&update.id.address).filter(|s| s.id == update.id) else {
            return false;
        };
        if entry.metadata.as_ref().is_some_and(|(number, _)| *number >= update.number) {
            return false;
        }
        let was = entry.up_summand();
        entry.metadata = Some((update.number, update.metadata.clone()));
        entry.digest = Digest::decode(&update.metadata.digest);
        if update.metadata.left && matches!(entry.state, State::Suspect | State::Down) {
            entry.state = State::Left;
        }
        self.up = self.up.wrapping_sub(was).wrapping_add(entry.up_summand());
        true
    }

    /// Removes a member that has been down for a long time. Returns false if another incarnation is known at its
    /// address by now.
    pub fn forget(&mut self, id: &Id) -> bool {
        if self.members.get(&id.address).is_some_and(|s| s.id != *id) {
            return false;
        }
        let was = self.members.remove(&id.address);
        self.up = self.up.wrapping_sub(was.as_ref().map_or(0, MemberEntry::up_summand));
        true
    }

    /// The sum over the incarnations that are up ([`incarnation_hash`] of each, wrapping).
    pub fn up(&self) -> u64 {
        self.up
    }

    /// The newest incarnation at an address.
    pub fn by_address(&self, address: &SocketAddrV4) -> Option<&MemberEntry> {
        self.members.get(address)
    }

    /// All known members, ordered by address.
    pub fn members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// The newest incarnation of the member with this name.
    pub fn by_name(&self, name: &str) -> Option<&MemberEntry> {
        self.members.values().filter(|s| s.id.name == name).max_by_key(|s| s.id.incarnation)
    }

    /// The number of known members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether a member is up: alive, or suspected and not yet declared down. A member that drains is up, but takes no
    /// new duties.
    pub fn is_up(entry: &MemberEntry) -> bool {
        let left = entry.metadata.as_ref().is_some_and(|(_, metadata)| metadata.left);
        matches!(entry.state, State::Alive | State::Suspect) && !left
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id(port: u16, incarnation: u64) -> Id {
        Id { address: SocketAddrV4::new([127, 0, 0, 1].into(), port), incarnation, name: format!("m{port}") }
    }

    fn s(n: u64) -> Duration {
        Duration::from_secs(n)
    }

    fn update(id: Id, number: u64, left: bool) -> MetadataUpdate {
        MetadataUpdate { id, number, metadata: Metadata { left, ..Metadata::default() } }
    }

    #[test]
    fn a_new_incarnation_replaces_the_old_one_and_never_the_reverse() {
        let mut view = View::default();
        assert_eq!(view.update_state(s(1), &id(1, 5), State::Alive).unwrap().from, None);
        assert!(view.update_state(s(2), &id(1, 5), State::Alive).is_none(), "an equal state is not a change");
        assert!(view.update_metadata(&update(id(1, 5), 1, false)));
        assert_eq!(view.update_state(s(3), &id(1, 6), State::Alive).unwrap().from, Some(State::Alive));
        assert!(
            view.members().next().unwrap().metadata.is_none(),
            "the metadata belonged to the old incarnation"
        );
        assert!(view.update_state(s(4), &id(1, 5), State::Down).is_none());
        assert_eq!(view.by_name("m1").unwrap().since, s(3));
    }

    #[test]
    fn the_sum_over_members_up_follows_each_change_and_forgetting_an_old_incarnation_keeps_the_new() {
        let mut view = View::default();
        let sum = |incarnations: &[Id]| {
            incarnations.iter().fold(0u64, |sum, id| sum.wrapping_add(incarnation_hash(id)))
        };
        for port in [1, 2, 3] {
            view.update_state(s(0), &id(port, 1), State::Alive);
        }
        view.update_state(s(1), &id(1, 1), State::Suspect);
        assert_eq!(view.up(), sum(&[id(1, 1), id(2, 1), id(3, 1)]));
        assert!(view.update_metadata(&update(id(2, 1), 1, true)));
        view.update_state(s(2), &id(1, 1), State::Down);
        view.update_state(s(2), &id(3, 2), State::Alive);
        assert_eq!(view.up(), sum(&[id(3, 2)]));
        assert!(!view.forget(&id(3, 1)), "a newer incarnation is known");
        assert!(view.forget(&id(3, 2)) && view.up() == 0);
    }

    #[test]
    fn a_member_that_announced_its_leave_has_left_and_others_are_down() {
        let mut view = View::default();
        for port in [1, 2, 3] {
            view.update_state(s(0), &id(port, 1), State::Alive);
        }
        assert!(view.update_metadata(&update(id(1, 1), 1, true)));
        assert_eq!(view.update_state(s(1), &id(1, 1), State::Down).unwrap().to, State::Left);
        assert_eq!(view.update_state(s(1), &id(2, 1), State::Down).unwrap().to, State::Down);
        // The announcement may arrive after the member is seen down.
        view.update_state(s(1), &id(3, 1), State::Down);
        assert!(view.update_metadata(&update(id(3, 1), 1, true)));
        assert_eq!(view.by_name("m3").unwrap().state, State::Left);
    }

    #[test]
    fn metadata_is_applied_once_and_in_order() {
        let mut view = View::default();
        assert!(!view.update_metadata(&update(id(1, 1), 1, false)), "the incarnation is not known yet");
        view.update_state(s(0), &id(1, 1), State::Alive);
        assert!(view.update_metadata(&update(id(1, 1), 2, false)));
        assert!(
            !view.update_metadata(&update(id(1, 1), 2, true))
                && !view.update_metadata(&update(id(1, 1), 1, true))
        );
        assert!(!view.update_metadata(&update(id(1, 0), 9, true)), "metadata of an older incarnation");
        assert!(View::is_up(view.by_name("m1").unwrap()));
    }
}
