//! Member metadata as custom broadcasts of foca: receives the metadata that other members publish and has foca pass it
//! on.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use foca::{BroadcastHandler, Invalidates};

use super::view::{Id, MetadataUpdate, MAX_DIGEST, MAX_NAME};

/// Identifies the metadata in a broadcast: newer metadata of the same member replaces it in the queue.
pub struct MetadataKey {
    address: SocketAddrV4,
    recency: (u64, u64),
}

impl Invalidates for MetadataKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.address == other.address && self.recency >= other.recency
    }
}

/// Metadata received from other members. Metadata of an unknown incarnation is not passed on, since it would circulate
/// for ever; that incarnation publishes it again soon after it joins.
#[derive(Default)]
pub(super) struct MetadataInbox {
    /// The known incarnations by address, with the number of the newest metadata of each.
    pub(super) known: BTreeMap<SocketAddrV4, (u64, u64)>,
    /// Metadata received in this step.
    pub(super) received: Vec<MetadataUpdate>,
    /// How many metadata items of this step could not be decoded, as those of a later version.
    pub(super) unread: u64,
    /// Incarnations that are known only from metadata received in this step. An update reaches each member with a
    /// probability of 1 - e^-12, so among 1,000 members some pairs never learn of each other by updates alone.
    pub(super) unknown_members: Vec<Id>,
}

/// Shares the inbox with foca, which owns the broadcast handler. The lock is never held across a call of foca.
#[derive(Clone, Default)]
pub(super) struct MetadataHandler(Arc<Mutex<MetadataInbox>>);

impl MetadataHandler {
    pub(super) fn lock(&self) -> MutexGuard<'_, MetadataInbox> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The metadata cannot be decoded.
#[derive(Debug)]
pub struct InvalidMetadata;

impl std::fmt::Display for InvalidMetadata {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("member metadata is invalid")
    }
}

impl std::error::Error for InvalidMetadata {}

impl BroadcastHandler<Id> for MetadataHandler {
    type Key = MetadataKey;
    type Error = InvalidMetadata;

    fn receive_item(
        &mut self,
        data: &[u8],
        sender: Option<&Id>,
    ) -> Result<Option<MetadataKey>, InvalidMetadata> {
        // Most metadata received is already known, in a large fleet nearly all of it: only the publisher and the number
        // of such metadata are decoded. Fields after the known ones belong to a later version. An item that cannot be
        // decoded must not discard the other items of its datagram, nor the fact that its sender was reachable.
        let is_known = |known: &(u64, u64), (id, number): &(Id, u64)| *known >= (id.incarnation, *number);
        let publisher_and_number = postcard::take_from_bytes::<(Id, u64)>(data)
            .ok()
            .map(|(publisher_and_number, _)| publisher_and_number);
        if let Some(publisher_and_number) = publisher_and_number.filter(|_| sender.is_some()) {
            if self
                .lock()
                .known
                .get(&publisher_and_number.0.address)
                .is_some_and(|known| is_known(known, &publisher_and_number))
            {
                return Ok(None);
            }
        }
        let read = postcard::take_from_bytes::<MetadataUpdate>(data).ok();
        let bounded = |s: &MetadataUpdate| {
            s.metadata.version.len() <= MAX_NAME && s.metadata.digest.len() <= MAX_DIGEST
        };
        let Some(update) = read.map(|(update, _)| update).filter(bounded) else {
            self.lock().unread += 1;
            return Ok(None);
        };
        if !is_valid(&update.id) {
            return Err(InvalidMetadata);
        }
        let (address, recency) = (update.id.address, (update.id.incarnation, update.number));
        if sender.is_some() {
            let mut inbox = self.lock();
            match inbox.known.get_mut(&address) {
                Some(known) if known.0 == recency.0 && known.1 < recency.1 => *known = recency,
                _ => {
                    // A member that left is not added. A new member publishes again soon, to all that know it by then.
                    if !update.metadata.left {
                        inbox.unknown_members.push(update.id);
                    }
                    return Ok(None);
                }
            }
            inbox.received.push(update);
        }
        Ok(Some(MetadataKey { address, recency }))
    }
}

pub(super) fn is_valid(id: &Id) -> bool {
    id.name.len() <= MAX_NAME && id.address.port() != 0 && !id.name.chars().any(char::is_control)
}
