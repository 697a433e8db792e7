//! The fleet as one member sees it: who is there, since when, and what each says of itself. No I/O, no clock.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::disagreement::{number_of, Digest};

/// The longest name of a member, and of its version, in bytes.
pub const MAX_NAME: usize = 64;
/// The longest digest of shared state that a note carries, in bytes.
pub const MAX_DIGEST: usize = 512;

/// Who a member is: one life of one process. A restart at the same address has a higher incarnation and takes the
/// place of the life before.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// Where other members send to.
    pub address: SocketAddrV4,
    /// Grows across restarts: milliseconds since the Unix epoch at the start, then one more for each time that the
    /// member was declared down and came back.
    pub incarnation: u64,
    /// The name of the matcher.
    pub name: String,
}

/// What a member says of itself; small, and carried on the protocol's own messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metadata {
    /// The version of the program.
    pub version: String,
    /// It drains: it serves what it has, and leaves.
    pub draining: bool,
    /// It left by its own will: what is not heard from it any more is no failure.
    pub left: bool,
    /// Runs that it can have at once.
    pub capacity: u32,
    /// Of its view, as [`super::disagreement::Digest`] writes it.
    pub digest: Vec<u8>,
}

/// A note on its way: whose it is and how new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetadataUpdate {
    /// The life that wrote it.
    pub id: Id,
    /// Grows with each note of this life.
    pub number: u64,
    /// What it says.
    #[serde(rename = "note")]
    pub metadata: Metadata,
}

/// What is thought of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer somebody's probe, and has time to refute that.
    Suspect,
    /// It did not refute the suspicion: it has failed, or cannot be reached.
    Down,
    /// It said that it leaves, then left.
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

/// A member as it is seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Its life.
    pub id: Id,
    /// What is thought of it.
    pub state: State,
    /// Since when, on the clock of whoever looks.
    pub since: Duration,
    /// The number of its last note, and what it said; nothing before the first one came.
    pub metadata: Option<(u64, Metadata)>,
    /// The digest on that note, read once; nothing if it carried none.
    pub digest: Option<Digest>,
}

impl MemberEntry {
    /// What it adds to the sum over the lives that are up.
    fn part(&self) -> u64 {
        if View::is_up(self) {
            number_of(&self.id)
        } else {
            0
        }
    }

    /// What it says of itself, or nothing in particular.
    pub fn metadata(&self) -> Metadata {
        self.metadata.as_ref().map(|(_, metadata)| metadata.clone()).unwrap_or_default()
    }
}

/// One change of the view, for the log and for those who act on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Whose state changed.
    pub id: Id,
    /// What it was; nothing for a member that was not known.
    pub from: Option<State>,
    /// What it is.
    pub to: State,
}

/// All members that are known, by address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    members: BTreeMap<SocketAddrV4, MemberEntry>,
    /// The sum over the lives that are up, kept as they change: at 1,000 members nobody can afford to make
    /// it anew.
    up: u64,
}

impl View {
    /// Takes what the protocol thinks of a life now; the change, if it is one. A life older than the one known at
    /// its address says nothing new.
    pub fn update_state(&mut self, now: Duration, id: &Id, state: State) -> Option<Change> {
        let known = self.members.get(&id.address);
        if known.is_some_and(|k| k.id.incarnation > id.incarnation) {
            return None;
        }
        let same_life = known.filter(|k| k.id == *id);
        // Who said that it leaves has left when it is not heard any more.
        let said_left = same_life.is_some_and(|k| k.metadata.as_ref().is_some_and(|(_, n)| n.left));
        let state = if state != State::Alive && said_left { State::Left } else { state };
        if same_life.is_some_and(|k| k.state == state) {
            return None;
        }
        let from = known.map(|k| k.state);
        let metadata = same_life.and_then(|k| k.metadata.clone());
        let digest = same_life.and_then(|k| k.digest.clone());
        let was = known.map_or(0, MemberEntry::part);
        let seen = MemberEntry { id: id.clone(), state, since: now, metadata, digest };
        self.up = self.up.wrapping_sub(was).wrapping_add(seen.part());
        self.members.insert(id.address, seen);
        Some(Change { id: id.clone(), from, to: state })
    }

    /// Takes a note; true if it is newer than what was known, so that others should have it too. A note of a life
    /// that is not known waits for that life to show up: it is told again.
    pub fn update_metadata(&mut self, signed: &MetadataUpdate) -> bool {
        let Some(seen) = self.members.get_mut(&signed.id.address).filter(|s| s.id == signed.id) else {
            return false;
        };
        if seen.metadata.as_ref().is_some_and(|(number, _)| *number >= signed.number) {
            return false;
        }
        let was = seen.part();
        seen.metadata = Some((signed.number, signed.metadata.clone()));
        seen.digest = Digest::decode(&signed.metadata.digest);
        if signed.metadata.left && matches!(seen.state, State::Suspect | State::Down) {
            seen.state = State::Left;
        }
        self.up = self.up.wrapping_sub(was).wrapping_add(seen.part());
        true
    }

    /// Forgets a member that has not been up for a long time; false if another life is known at its address
    /// by now.
    pub fn forget(&mut self, id: &Id) -> bool {
        if self.members.get(&id.address).is_some_and(|s| s.id != *id) {
            return false;
        }
        let was = self.members.remove(&id.address);
        self.up = self.up.wrapping_sub(was.as_ref().map_or(0, MemberEntry::part));
        true
    }

    /// The sum over the lives that are up ([`number_of`] of each, wrapping).
    pub fn up(&self) -> u64 {
        self.up
    }

    /// The newest life at an address.
    pub fn by_address(&self, address: &SocketAddrV4) -> Option<&MemberEntry> {
        self.members.get(address)
    }

    /// All that are known, by address.
    pub fn members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// A member by its name: its newest life.
    pub fn by_name(&self, name: &str) -> Option<&MemberEntry> {
        self.members.values().filter(|s| s.id.name == name).max_by_key(|s| s.id.incarnation)
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Nobody is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether a member counts as up: it answers, or only has not answered somebody just now. Who drains is up, and
    /// takes no new duties.
    pub fn is_up(seen: &MemberEntry) -> bool {
        let left = seen.metadata.as_ref().is_some_and(|(_, metadata)| metadata.left);
        matches!(seen.state, State::Alive | State::Suspect) && !left
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

    fn signed(id: Id, number: u64, left: bool) -> MetadataUpdate {
        MetadataUpdate { id, number, metadata: Metadata { left, ..Metadata::default() } }
    }

    #[test]
    fn a_new_life_takes_the_place_of_the_old_and_never_the_other_way() {
        let mut view = View::default();
        assert_eq!(view.update_state(s(1), &id(1, 5), State::Alive).unwrap().from, None);
        assert!(view.update_state(s(2), &id(1, 5), State::Alive).is_none(), "no change is none");
        assert!(view.update_metadata(&signed(id(1, 5), 1, false)));
        assert_eq!(view.update_state(s(3), &id(1, 6), State::Alive).unwrap().from, Some(State::Alive));
        assert!(view.members().next().unwrap().metadata.is_none(), "the metadata was the old life's");
        assert!(view.update_state(s(4), &id(1, 5), State::Down).is_none());
        assert_eq!(view.by_name("m1").unwrap().since, s(3));
    }

    #[test]
    fn the_sum_over_who_is_up_follows_each_change_and_an_old_life_is_not_forgotten_for_the_new() {
        let mut view = View::default();
        let sum = |lives: &[Id]| lives.iter().fold(0u64, |sum, id| sum.wrapping_add(number_of(id)));
        for port in [1, 2, 3] {
            view.update_state(s(0), &id(port, 1), State::Alive);
        }
        view.update_state(s(1), &id(1, 1), State::Suspect);
        assert_eq!(view.up(), sum(&[id(1, 1), id(2, 1), id(3, 1)]));
        assert!(view.update_metadata(&signed(id(2, 1), 1, true)));
        view.update_state(s(2), &id(1, 1), State::Down);
        view.update_state(s(2), &id(3, 2), State::Alive);
        assert_eq!(view.up(), sum(&[id(3, 2)]));
        assert!(!view.forget(&id(3, 1)), "its successor is there");
        assert!(view.forget(&id(3, 2)) && view.up() == 0);
    }

    #[test]
    fn who_said_that_it_leaves_left_and_who_did_not_is_down() {
        let mut view = View::default();
        for port in [1, 2, 3] {
            view.update_state(s(0), &id(port, 1), State::Alive);
        }
        assert!(view.update_metadata(&signed(id(1, 1), 1, true)));
        assert_eq!(view.update_state(s(1), &id(1, 1), State::Down).unwrap().to, State::Left);
        assert_eq!(view.update_state(s(1), &id(2, 1), State::Down).unwrap().to, State::Down);
        // The word may come after the silence.
        view.update_state(s(1), &id(3, 1), State::Down);
        assert!(view.update_metadata(&signed(id(3, 1), 1, true)));
        assert_eq!(view.by_name("m3").unwrap().state, State::Left);
    }

    #[test]
    fn a_note_is_taken_once_and_in_order() {
        let mut view = View::default();
        assert!(!view.update_metadata(&signed(id(1, 1), 1, false)), "nobody knows this life yet");
        view.update_state(s(0), &id(1, 1), State::Alive);
        assert!(view.update_metadata(&signed(id(1, 1), 2, false)));
        assert!(
            !view.update_metadata(&signed(id(1, 1), 2, true))
                && !view.update_metadata(&signed(id(1, 1), 1, true))
        );
        assert!(!view.update_metadata(&signed(id(1, 0), 9, true)), "a metadata of an older life");
        assert!(View::is_up(view.by_name("m1").unwrap()));
    }
}
