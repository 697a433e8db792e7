//! Notes on the protocol's own messages: what each member says of itself, taken off and passed on.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use foca::{BroadcastHandler, Invalidates};

use super::view::{Id, MetadataUpdate, MAX_DIGEST, MAX_NAME};

/// Which note a broadcast is: a newer one of the same member takes its place on the way.
pub struct NoteKey {
    address: SocketAddrV4,
    age: (u64, u64),
}

impl Invalidates for NoteKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.address == other.address && self.age >= other.age
    }
}

/// Takes notes off the protocol's messages. One of a life that is not known is passed on by nobody, or it would go
/// round for ever; it is told again soon after that life joins.
#[derive(Default)]
pub(super) struct Notes {
    /// The lives that are known, by address, with the number of the newest note of each.
    pub(super) known: BTreeMap<SocketAddrV4, (u64, u64)>,
    /// Notes that came in this step.
    pub(super) came: Vec<MetadataUpdate>,
    /// How many came in this step that cannot be read here, as those of a later version.
    pub(super) unread: u64,
    /// Lives of which nobody told but a note that came in this step: a piece of news goes to each member
    /// with a chance
    /// of 1 - e^-12, which leaves some pairs of 1,000 members that never hear of each other.
    pub(super) strangers: Vec<Id>,
}

/// The notes, shared with foca, which owns who takes them; never held across a call of foca's.
#[derive(Clone, Default)]
pub(super) struct Shelf(Arc<Mutex<Notes>>);

impl Shelf {
    pub(super) fn lock(&self) -> MutexGuard<'_, Notes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A note that cannot be read.
#[derive(Debug)]
pub struct BadNote;

impl std::fmt::Display for BadNote {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a metadata that is none")
    }
}

impl std::error::Error for BadNote {}

impl BroadcastHandler<Id> for Shelf {
    type Key = NoteKey;
    type Error = BadNote;

    fn receive_item(&mut self, data: &[u8], sender: Option<&Id>) -> Result<Option<NoteKey>, BadNote> {
        // Most notes that come are known, in a large fleet nearly all: of those no more is read than whose
        // they are. Fields behind those that are known are a later version's. What cannot be read must not cost
        // the others of its datagram, nor that its sender was heard.
        let old = |known: &(u64, u64), (id, number): &(Id, u64)| *known >= (id.incarnation, *number);
        let whose = postcard::take_from_bytes::<(Id, u64)>(data).ok().map(|(whose, _)| whose);
        if let Some(whose) = whose.filter(|_| sender.is_some()) {
            if self.lock().known.get(&whose.0.address).is_some_and(|known| old(known, &whose)) {
                return Ok(None);
            }
        }
        let read = postcard::take_from_bytes::<MetadataUpdate>(data).ok();
        let bounded = |s: &MetadataUpdate| {
            s.metadata.version.len() <= MAX_NAME && s.metadata.digest.len() <= MAX_DIGEST
        };
        let Some(signed) = read.map(|(signed, _)| signed).filter(bounded) else {
            self.lock().unread += 1;
            return Ok(None);
        };
        if !sound(&signed.id) {
            return Err(BadNote);
        }
        let (address, age) = (signed.id.address, (signed.id.incarnation, signed.number));
        if sender.is_some() {
            let mut notes = self.lock();
            match notes.known.get_mut(&address) {
                Some(known) if known.0 == age.0 && known.1 < age.1 => *known = age,
                _ => {
                    // Who left is no news; who is new tells again soon, to all who know it by then.
                    if !signed.metadata.left {
                        notes.strangers.push(signed.id);
                    }
                    return Ok(None);
                }
            }
            notes.came.push(signed);
        }
        Ok(Some(NoteKey { address, age }))
    }
}

pub(super) fn sound(id: &Id) -> bool {
    id.name.len() <= MAX_NAME && id.address.port() != 0 && !id.name.chars().any(char::is_control)
}
