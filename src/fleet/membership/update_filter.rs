//! Filters the membership updates in a datagram before foca processes them, because foca itself keeps any number of
//! members.

use std::borrow::Cow;
use std::net::SocketAddrV4;

use foca::{Header, Member, Message};

use super::view::Id;

/// The content of a datagram (foca's header, updates, metadata) without the dropped updates.
pub(super) struct FilteredUpdates<'a> {
    pub(super) data: Cow<'a, [u8]>,
    /// How many updates about unknown members were dropped because the member limit is reached.
    pub(super) no_room: u64,
}

/// Drops updates about members that are not `known` once `room` new members were accepted. Content that cannot be
/// decoded stays unchanged: foca rejects all of it.
pub(super) fn filter_updates(
    data: &[u8],
    room: usize,
    known: impl Fn(&SocketAddrV4) -> bool,
) -> FilteredUpdates<'_> {
    filtered(data, room, known).unwrap_or(FilteredUpdates { data: Cow::Borrowed(data), no_room: 0 })
}

/// Returns `None` if no update needs to be dropped.
fn filtered(
    data: &[u8],
    mut room: usize,
    known: impl Fn(&SocketAddrV4) -> bool,
) -> Option<FilteredUpdates<'_>> {
    let (header, rest) = postcard::take_from_bytes::<Header<Id>>(data).ok()?;
    if header.message == Message::Broadcast {
        return None;
    }
    let (count, mut rest) = rest.split_first_chunk::<2>()?;
    if usize::from(u16::from_be_bytes(*count)) <= room {
        return None;
    }
    let head = data.len() - rest.len() - count.len();
    let (mut kept, mut new) = (Vec::new(), Vec::new());
    let mut no_room = 0;
    for _ in 0..u16::from_be_bytes(*count) {
        let (member, after) = postcard::take_from_bytes::<Member<Id>>(rest).ok()?;
        let (bytes, address) = (&rest[..rest.len() - after.len()], member.id().address);
        rest = after;
        if known(&address) || address == header.src.address || new.contains(&address) {
            kept.push(bytes);
        } else if room > 0 {
            room -= 1;
            new.push(address);
            kept.push(bytes);
        } else {
            no_room += 1;
        }
    }
    if no_room == 0 {
        return None;
    }
    let count = u16::try_from(kept.len()).ok()?.to_be_bytes();
    let data = [&data[..head], &count[..], &kept.concat(), rest].concat();
    Some(FilteredUpdates { data: Cow::Owned(data), no_room })
}
