//! Where the members' views differ, and which links work one way only. Each member tells a digest of its view on its note;
//! whoever reads it can say who disagrees, about whom and since when. No I/O, no clock.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

use super::view::{Id, MemberEntry, State, View, MAX_DIGEST};

/// Members named in each list of a digest at most: what is beyond them shows in the sum only.
pub const MAX_NAMED: usize = 12;
/// Accusations that a digest carries at most.
pub const MAX_ACCUSED: usize = 8;

/// What a member tells of its view: 512 bytes at most, 13 where all are up and heard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Over the lives that it sees up, itself included: equal for equal sets.
    pub up: u64,
    /// Members that it does not see alive: who, which life, and what it thinks of each.
    pub unlike: Vec<(SocketAddrV4, u64, State)>,
    /// Members that are up and that it has not heard itself for some rounds of probes.
    pub unheard: Vec<SocketAddrV4>,
    /// Suspects of which a probe of its own failed: who, which life, and how often that life refuted a suspicion. What
    /// it only heard of others is not among them.
    pub accused: Vec<(SocketAddrV4, u64, u16)>,
}

impl Digest {
    /// Of the view of `own`.
    pub fn of(own: &Id, view: &View, mut unheard: Vec<SocketAddrV4>) -> Self {
        // A sum over the lives needs no order, and no life can be taken for another by its place.
        let up = view.up().wrapping_add(number_of(own));
        let mut unlike: Vec<_> = view
            .members()
            .filter(|seen| seen.state != State::Alive)
            .map(|seen| (seen.id.address, seen.id.incarnation, seen.state))
            .collect();
        // What happened last stays where there is no room for all: it is what views differ about.
        unlike.sort_by_key(|(address, ..)| std::cmp::Reverse(since(view, address)));
        unlike.truncate(MAX_NAMED);
        unlike.sort_unstable();
        unheard.truncate(MAX_NAMED);
        Self { up, unlike, unheard, accused: Vec::new() }
    }

    /// As it stands on a note.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_allocvec(self).unwrap_or_default();
        debug_assert!(bytes.len() <= MAX_DIGEST);
        bytes
    }

    /// Reads one off a note; nothing if it is none, as that of a member of an older version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let digest: Self = postcard::from_bytes(bytes).ok()?;
        let bounded = digest.unlike.len().max(digest.unheard.len()) <= MAX_NAMED;
        (bounded && digest.accused.len() <= MAX_ACCUSED).then_some(digest)
    }

    fn state(&self, address: &SocketAddrV4) -> Option<State> {
        self.unlike.iter().find(|(a, ..)| a == address).map(|(.., state)| *state)
    }
}

fn since(view: &View, address: &SocketAddrV4) -> Duration {
    view.by_address(address).map_or(Duration::ZERO, |seen| seen.since)
}

/// What a life adds to the sum in a digest (SipHash of its address and incarnation).
pub fn number_of(id: &Id) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(&id.address.ip().octets());
    hasher.write_u16(id.address.port());
    hasher.write_u64(id.incarnation);
    hasher.finish()
}

/// A member that sees the fleet otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disagreement {
    /// Who.
    pub with: Id,
    /// Since when, on the clock of whoever looks.
    pub since: Duration,
    /// About whom: what it thinks, and what is thought here; nothing for a life that one of the two does not know or
    /// did not name. Empty where only the sums differ.
    pub about: Vec<(SocketAddrV4, Option<State>, Option<State>)>,
}

fn told(seen: &MemberEntry) -> Option<&Digest> {
    seen.digest.as_ref().filter(|_| View::is_up(seen))
}

/// Notes since when each other member that is up tells another set of lives than `own`.
pub fn compare(now: Duration, own: &Digest, view: &View, unlike: &mut BTreeMap<SocketAddrV4, Duration>) {
    let differs = |seen: &&MemberEntry| told(seen).is_some_and(|digest| digest.up != own.up);
    let differ: Vec<_> = view.members().filter(differs).map(|seen| seen.id.address).collect();
    // The view is in the order of its addresses.
    unlike.retain(|address, _| differ.binary_search(address).is_ok());
    for address in differ {
        unlike.entry(address).or_insert(now);
    }
}

/// Who disagrees, about whom, since when.
pub fn disagreements(own: &Id, view: &View, unlike: &BTreeMap<SocketAddrV4, Duration>) -> Vec<Disagreement> {
    let up = |state: State| matches!(state, State::Alive | State::Suspect);
    // Who is up here and not named there is up in both: only the others can be what the two differ about.
    let gone: Vec<_> = view.members().filter(|other| !up(other.state)).collect();
    let with = |(address, since): (&SocketAddrV4, &Duration)| {
        let seen = view.by_address(address)?;
        let digest = told(seen)?;
        let named = digest.unlike.iter().filter_map(|(address, ..)| view.by_address(address));
        let named = named.filter(|other| up(other.state));
        let mut about = Vec::new();
        for other in gone.iter().copied().chain(named).filter(|other| other.id.address != *address) {
            let (theirs, ours) = (digest.state(&other.id.address), other.state);
            if theirs.is_none_or(up) != up(ours) {
                about.push((other.id.address, theirs.or(Some(State::Alive)), Some(ours)));
            }
        }
        about.sort_unstable();
        let of_us = digest.state(&own.address).filter(|state| !up(*state));
        about.extend(of_us.map(|state| (own.address, Some(state), Some(State::Alive))));
        let unknown = |address: &SocketAddrV4| *address != own.address && view.by_address(address).is_none();
        let strangers = digest.unlike.iter().filter(|(address, ..)| unknown(address));
        about.extend(strangers.map(|(address, _, state)| (*address, Some(*state), None)));
        Some(Disagreement { with: seen.id.clone(), since: *since, about })
    };
    unlike.iter().filter_map(with).collect()
}

/// How many other members that are up accuse a life by a probe of their own (Lifeguard's independent suspicions).
pub fn accusers(view: &View, accused: &(SocketAddrV4, u64, u16)) -> usize {
    let others = view.members().filter(|seen| seen.id.address != accused.0);
    others.filter_map(told).filter(|digest| digest.accused.contains(accused)).count()
}

/// Links that work one way: the second does not hear the first, which hears it.
pub fn one_way(own: &Id, own_digest: &[u8], view: &View) -> Vec<(SocketAddrV4, SocketAddrV4)> {
    let mut unheard: BTreeMap<SocketAddrV4, Vec<SocketAddrV4>> = BTreeMap::new();
    unheard.insert(own.address, Digest::decode(own_digest).unwrap_or_default().unheard);
    for seen in view.members() {
        if let Some(digest) = told(seen) {
            unheard.insert(seen.id.address, digest.unheard.clone());
        }
    }
    let mut ways = Vec::new();
    for (deaf, silent) in &unheard {
        for from in silent {
            // Whoever told no digest may be deaf as well: nothing is said of its links.
            if unheard.get(from).is_some_and(|theirs| !theirs.contains(deaf)) {
                ways.push((*from, *deaf));
            }
        }
    }
    ways
}

#[cfg(test)]
mod tests {
    use super::super::view::{Metadata, MetadataUpdate};
    use super::*;

    fn id(n: u16) -> Id {
        let address = SocketAddrV4::new([127, 0, 0, 1].into(), n);
        Id { address, incarnation: u64::from(n) * 10, name: format!("m{n}") }
    }

    fn at(n: u16) -> SocketAddrV4 {
        id(n).address
    }

    /// The view of `own` over three others, with the digests that they told.
    fn view(states: &[(u16, State, Option<Digest>)]) -> View {
        let mut view = View::default();
        for (n, state, digest) in states {
            view.update_state(Duration::from_secs(1), &id(*n), *state);
            if let Some(digest) = digest {
                let metadata = Metadata { digest: digest.encode(), ..Metadata::default() };
                assert!(view.update_metadata(&MetadataUpdate { id: id(*n), number: 1, metadata }));
            }
        }
        view
    }

    #[test]
    fn a_digest_reads_back_within_its_bytes_and_noise_is_none() {
        let many = |n: u16| SocketAddrV4::new([255, 255, 255, 255].into(), u16::MAX - n);
        let full = Digest {
            up: u64::MAX,
            unlike: (0..MAX_NAMED as u16).map(|n| (many(n), u64::MAX, State::Down)).collect(),
            unheard: (0..MAX_NAMED as u16).map(many).collect(),
            accused: (0..MAX_ACCUSED as u16).map(|n| (many(n), u64::MAX, u16::MAX)).collect(),
        };
        assert!(full.encode().len() <= MAX_DIGEST, "{}", full.encode().len());
        assert_eq!(Digest::decode(&full.encode()), Some(full.clone()));
        assert_eq!(Digest::decode(b""), None);
        let mut more = full;
        more.unheard.push(many(99));
        assert_eq!(Digest::decode(&more.encode()), None, "too many are none");
    }

    #[test]
    fn who_holds_a_member_for_dead_that_is_up_here_is_named_with_since_when() {
        let theirs =
            Digest::of(&id(2), &view(&[(1, State::Alive, None), (3, State::Down, None)]), Vec::new());
        let same =
            Digest::of(&id(3), &view(&[(1, State::Alive, None), (2, State::Suspect, None)]), Vec::new());
        let ours = view(&[(2, State::Alive, Some(theirs)), (3, State::Alive, Some(same))]);
        let own = Digest::of(&id(1), &ours, Vec::new());
        let mut unlike = BTreeMap::new();
        for now in [5, 9] {
            compare(Duration::from_secs(now), &own, &ours, &mut unlike);
        }
        let found = disagreements(&id(1), &ours, &unlike);
        assert_eq!(found.len(), 1, "who agrees is not named: {found:?}");
        assert_eq!((found[0].with.name.as_str(), found[0].since), ("m2", Duration::from_secs(5)));
        assert_eq!(found[0].about, [(at(3), Some(State::Down), Some(State::Alive))]);
        // They come to agree.
        let agreed =
            Digest::of(&id(2), &view(&[(1, State::Alive, None), (3, State::Alive, None)]), Vec::new());
        let ours = view(&[(2, State::Alive, Some(agreed)), (3, State::Alive, None)]);
        compare(Duration::from_secs(10), &own, &ours, &mut unlike);
        assert!(unlike.is_empty());
    }

    #[test]
    fn a_link_that_one_end_hears_and_the_other_does_not_works_one_way() {
        let deaf = Digest { unheard: vec![at(3), at(1)], ..Digest::default() };
        let hears = Digest::default();
        let ours = view(&[(2, State::Alive, Some(deaf)), (3, State::Alive, Some(hears))]);
        let own = Digest { unheard: vec![at(2)], ..Digest::default() }.encode();
        assert_eq!(one_way(&id(1), &own, &ours), [(at(3), at(2))], "1 and 2 are cut both ways");
    }
}
