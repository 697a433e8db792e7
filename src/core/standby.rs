//! Standby orders of operators: whether clients stay away.
//!
//! All processes of a matcher answer health checks, so an order is passed on to every other process, never back. A
//! process that ends closes its link a moment before its end is noticed: an order that meets this moment is answered
//! when it is known whether that process is gone or lives on without a link.

use super::succession::PeerLink;
use super::types::*;
use super::Core;

/// A standby order of which a peer process could not be told. It is not known yet whether that process has exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnsentStandbyOrder {
    peer: Peer,
    ticket: u64,
}

impl Core {
    /// Carries out an order that clients stay away or return, and passes it on to all other processes but the one that
    /// it came from.
    pub(super) fn order_standby(&mut self, standby: bool, from: Option<Peer>, ticket: Option<u64>) {
        if std::mem::replace(&mut self.standby, standby) != standby {
            let order = if standby { "clients are kept away" } else { "clients are accepted again" };
            self.effects.push(Effect::Log(format!("ordered by operators: {order}")));
        }
        // A successor that has not taken over yet gets the order with the keys.
        let others = [Peer::Successor, Peer::Predecessor].into_iter().filter(|peer| Some(*peer) != from);
        let (with, unreachable): (Vec<_>, Vec<_>) = others
            .filter(|peer| self.link_to(*peer) != PeerLink::None)
            .partition(|peer| self.link_to(*peer) == PeerLink::Up);
        if let Some(ticket) = ticket.filter(|_| !unreachable.is_empty()) {
            self.effects.push(Effect::StandbyOutcome { ticket, is_shared: false });
        }
        self.effects.push(Effect::ShareStandby { standby, with, ticket });
    }

    /// Handles an order that a peer process was not told of.
    pub(super) fn standby_not_sent(&mut self, peer: Peer, ticket: u64) {
        let is_shared = match self.link_to(peer) {
            PeerLink::Up => return self.unsent_standby_orders.push(UnsentStandbyOrder { peer, ticket }),
            PeerLink::None => true,
            PeerLink::Broken => false,
        };
        self.resolve_standby_order(ticket, is_shared);
    }

    /// Answers the orders that a peer process was not told of, once it has exited or is known to live on.
    pub(super) fn resolve_standby_orders(&mut self, peer: Peer, has_exited: bool) {
        let resolved = self.unsent_standby_orders.extract_if(.., |order| order.peer == peer);
        for order in resolved.collect::<Vec<_>>() {
            self.resolve_standby_order(order.ticket, has_exited);
        }
    }

    /// Answers an order: with yes only if no other process is left that was not told.
    fn resolve_standby_order(&mut self, ticket: u64, is_shared: bool) {
        let is_awaited = self.unsent_standby_orders.iter().any(|order| order.ticket == ticket);
        if !is_shared || !is_awaited {
            self.effects.push(Effect::StandbyOutcome { ticket, is_shared });
        }
    }

    fn link_to(&self, peer: Peer) -> PeerLink {
        match peer {
            Peer::Successor => self.peer.successor,
            Peer::Predecessor => self.peer.predecessor,
        }
    }
}
