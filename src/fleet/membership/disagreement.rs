//! Finds where the views of members disagree, and which links deliver in one direction only. Each member publishes a
//! [`Digest`] of its view in its metadata; [`disagreements`] compares these digests with the own view. There is no I/O
//! and no clock in this module.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

use super::view::{Id, MemberEntry, State, View, MAX_DIGEST};

/// Most members in each list of a digest. Differences beyond this limit show only in the sum.
pub const MAX_LISTED: usize = 12;
/// Most suspicions in a digest.
pub const MAX_SUSPECTED: usize = 8;

/// Summary of a member's view, published in its metadata: at most 512 bytes, 13 bytes if all members are alive and
/// reachable.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Sum of the hashes of all incarnations that the member sees up, its own included. Equal sets have equal sums.
    pub up: u64,
    /// Members that it does not see alive: address, incarnation and state.
    #[serde(rename = "unlike")]
    pub not_alive: Vec<(SocketAddrV4, u64, State)>,
    /// Members that it sees alive, but from which it has received nothing directly for several rounds of probes.
    #[serde(rename = "unheard")]
    pub unreachable: Vec<SocketAddrV4>,
    /// Members that it suspects because its own probe failed: address, incarnation, and how many suspicions that
    /// incarnation has refuted. Suspicions that it only learned from others are not listed.
    #[serde(rename = "accused")]
    pub suspected: Vec<(SocketAddrV4, u64, u16)>,
}

impl Digest {
    /// Creates the digest of the view of the member `own`.
    pub fn of(own: &Id, view: &View, mut unreachable: Vec<SocketAddrV4>) -> Self {
        // A sum does not depend on the order of the members, so equal sets of incarnations give equal sums.
        let up = view.up().wrapping_add(incarnation_hash(own));
        let mut not_alive: Vec<_> = view
            .members()
            .filter(|entry| entry.state != State::Alive)
            .map(|entry| (entry.id.address, entry.id.incarnation, entry.state))
            .collect();
        // If the list is too long, the latest changes stay: views differ mostly about these.
        not_alive.sort_by_key(|(address, ..)| std::cmp::Reverse(since(view, address)));
        not_alive.truncate(MAX_LISTED);
        not_alive.sort_unstable();
        unreachable.truncate(MAX_LISTED);
        Self { up, not_alive, unreachable, suspected: Vec::new() }
    }

    /// Encodes the digest for the metadata.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_allocvec(self).unwrap_or_default();
        debug_assert!(bytes.len() <= MAX_DIGEST);
        bytes
    }

    /// Decodes a digest from metadata. Returns `None` if the bytes are not a digest, as from a member of an older
    /// version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let digest: Self = postcard::from_bytes(bytes).ok()?;
        let bounded = digest.not_alive.len().max(digest.unreachable.len()) <= MAX_LISTED;
        (bounded && digest.suspected.len() <= MAX_SUSPECTED).then_some(digest)
    }

    fn state(&self, address: &SocketAddrV4) -> Option<State> {
        self.not_alive.iter().find(|(a, ..)| a == address).map(|(.., state)| *state)
    }
}

fn since(view: &View, address: &SocketAddrV4) -> Duration {
    view.by_address(address).map_or(Duration::ZERO, |entry| entry.since)
}

/// Hash of one incarnation, a summand of [`Digest::up`]: SipHash of address and incarnation number.
pub fn incarnation_hash(id: &Id) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(&id.address.ip().octets());
    hasher.write_u16(id.address.port());
    hasher.write_u64(id.incarnation);
    hasher.finish()
}

/// A member whose view differs from the own view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disagreement {
    /// The member that disagrees.
    pub with: Id,
    /// When the difference was first seen, on the own clock.
    pub since: Duration,
    /// The members whose states differ: address, state in the other view, state in the own view. `None` stands for an
    /// incarnation that one of the two does not know or did not list. Empty if only the sums differ.
    pub about: Vec<(SocketAddrV4, Option<State>, Option<State>)>,
}

fn digest_if_up(entry: &MemberEntry) -> Option<&Digest> {
    entry.digest.as_ref().filter(|_| View::is_up(entry))
}

/// Updates `differing_since`: the time since which each other member that is up has published a different set of
/// incarnations than `own`.
pub fn compare(
    now: Duration,
    own: &Digest,
    view: &View,
    differing_since: &mut BTreeMap<SocketAddrV4, Duration>,
) {
    let differs = |entry: &&MemberEntry| digest_if_up(entry).is_some_and(|digest| digest.up != own.up);
    let differ: Vec<_> = view.members().filter(differs).map(|entry| entry.id.address).collect();
    // The view is ordered by address, so `differ` is sorted.
    differing_since.retain(|address, _| differ.binary_search(address).is_ok());
    for address in differ {
        differing_since.entry(address).or_insert(now);
    }
}

/// Lists the members that disagree, with the members whose states differ and the time since which they differ.
pub fn disagreements(
    own: &Id,
    view: &View,
    differing_since: &BTreeMap<SocketAddrV4, Duration>,
) -> Vec<Disagreement> {
    let up = |state: State| matches!(state, State::Alive | State::Suspect);
    // A member that is up in the own view and not listed in the digest is up in both views. Only the others can
    // differ.
    let gone: Vec<_> = view.members().filter(|other| !up(other.state)).collect();
    let with = |(address, since): (&SocketAddrV4, &Duration)| {
        let entry = view.by_address(address)?;
        let digest = digest_if_up(entry)?;
        let named = digest.not_alive.iter().filter_map(|(address, ..)| view.by_address(address));
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
        let unknown_members = digest.not_alive.iter().filter(|(address, ..)| unknown(address));
        about.extend(unknown_members.map(|(address, _, state)| (*address, Some(*state), None)));
        Some(Disagreement { with: entry.id.clone(), since: *since, about })
    };
    differing_since.iter().filter_map(with).collect()
}

/// Counts the other members that are up and suspect an incarnation because of their own probe (Lifeguard's
/// independent suspicions).
pub fn independent_suspicions(view: &View, suspicion: &(SocketAddrV4, u64, u16)) -> usize {
    let others = view.members().filter(|entry| entry.id.address != suspicion.0);
    others.filter_map(digest_if_up).filter(|digest| digest.suspected.contains(suspicion)).count()
}

/// Lists links that deliver in one direction only, as (sender, receiver): the receiver gets nothing from the sender,
/// while the sender receives from it.
pub fn one_way(own: &Id, own_digest: &[u8], view: &View) -> Vec<(SocketAddrV4, SocketAddrV4)> {
    let mut unreachable: BTreeMap<SocketAddrV4, Vec<SocketAddrV4>> = BTreeMap::new();
    unreachable.insert(own.address, Digest::decode(own_digest).unwrap_or_default().unreachable);
    for entry in view.members() {
        if let Some(digest) = digest_if_up(entry) {
            unreachable.insert(entry.id.address, digest.unreachable.clone());
        }
    }
    let mut links = Vec::new();
    for (receiver, senders) in &unreachable {
        for sender in senders {
            // A member without a digest may receive nothing either: its links are not listed.
            if unreachable.get(sender).is_some_and(|theirs| !theirs.contains(receiver)) {
                links.push((*sender, *receiver));
            }
        }
    }
    links
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

    /// A view of other members, with the digests that they published.
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
    fn digests_round_trip_within_the_size_limit_and_invalid_bytes_are_rejected() {
        let many = |n: u16| SocketAddrV4::new([255, 255, 255, 255].into(), u16::MAX - n);
        let full = Digest {
            up: u64::MAX,
            not_alive: (0..MAX_LISTED as u16).map(|n| (many(n), u64::MAX, State::Down)).collect(),
            unreachable: (0..MAX_LISTED as u16).map(many).collect(),
            suspected: (0..MAX_SUSPECTED as u16).map(|n| (many(n), u64::MAX, u16::MAX)).collect(),
        };
        assert!(full.encode().len() <= MAX_DIGEST, "{}", full.encode().len());
        assert_eq!(Digest::decode(&full.encode()), Some(full.clone()));
        assert_eq!(Digest::decode(b""), None);
        let mut more = full;
        more.unreachable.push(many(99));
        assert_eq!(Digest::decode(&more.encode()), None, "a digest over the limit is rejected");
    }

    #[test]
    fn a_member_that_sees_another_as_down_is_listed_with_the_start_of_the_disagreement() {
        let theirs =
            Digest::of(&id(2), &view(&[(1, State::Alive, None), (3, State::Down, None)]), Vec::new());
        let same =
            Digest::of(&id(3), &view(&[(1, State::Alive, None), (2, State::Suspect, None)]), Vec::new());
        let ours = view(&[(2, State::Alive, Some(theirs)), (3, State::Alive, Some(same))]);
        let own = Digest::of(&id(1), &ours, Vec::new());
        let mut differing_since = BTreeMap::new();
        for now in [5, 9] {
            compare(Duration::from_secs(now), &own, &ours, &mut differing_since);
        }
        let found = disagreements(&id(1), &ours, &differing_since);
        assert_eq!(found.len(), 1, "a member that agrees is not listed: {found:?}");
        assert_eq!((found[0].with.name.as_str(), found[0].since), ("m2", Duration::from_secs(5)));
        assert_eq!(found[0].about, [(at(3), Some(State::Down), Some(State::Alive))]);
        // Now both agree.
        let agreed =
            Digest::of(&id(2), &view(&[(1, State::Alive, None), (3, State::Alive, None)]), Vec::new());
        let ours = view(&[(2, State::Alive, Some(agreed)), (3, State::Alive, None)]);
        compare(Duration::from_secs(10), &own, &ours, &mut differing_since);
        assert!(differing_since.is_empty());
    }

    #[test]
    fn a_link_is_one_way_if_only_one_end_receives() {
        let without_two = Digest { unreachable: vec![at(3), at(1)], ..Digest::default() };
        let receives_all = Digest::default();
        let ours = view(&[(2, State::Alive, Some(without_two)), (3, State::Alive, Some(receives_all))]);
        let own = Digest { unreachable: vec![at(2)], ..Digest::default() }.encode();
        assert_eq!(one_way(&id(1), &own, &ours), [(at(3), at(2))], "1 and 2 are cut in both directions");
    }
}
