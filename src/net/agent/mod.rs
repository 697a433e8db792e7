//! The link to the render farm agent: JSON lines, numbered notices, and a new link whenever one breaks.
//!
//! Links have numbers. Each command names the link that it is meant for, and the link manager writes it on no other; each notice
//! is handed to the reducer with the number of the link that brought it.

mod link_manager;
mod reader;
mod wire;

use std::net::SocketAddr;
use std::sync::Arc;

use may::sync::mpsc::{channel, Sender};

use super::stream::Conn;
use super::{spawn, Hub};
use crate::core::{Command, End, LinkId};

use link_manager::LinkManager;
pub use reader::next_notice;
pub use wire::{encode, parse};

/// A command for one link.
#[derive(Debug)]
pub struct OutgoingCommand {
    /// The link that it is meant for.
    pub link: LinkId,
    /// Its number among the commands for that link.
    pub number: u64,
    /// What is said.
    pub command: Command,
}

/// What the link manager of the link is to do, or to know.
enum Order {
    Command(OutgoingCommand),
    /// The configuration names an address, perhaps a new one.
    Relink,
    /// For this link another address was sought: it took a connection, or is not named any more.
    Sought(LinkId, Option<(Conn, SocketAddr)>),
    /// The agent has read all that was said on this link.
    Settled(LinkId),
    /// A link is over, and all that it brought was handed to the reducer.
    Broken(Ended),
}

/// How a link ended.
struct Ended {
    link: LinkId,
    end: End,
    /// In words, for the log.
    cause: String,
}

/// Where commands to the agent go.
pub struct Link {
    orders: Sender<Order>,
}

impl Link {
    /// Connects, and keeps at it.
    pub(super) fn start(hub: &Arc<Hub>) -> Self {
        let (orders, received) = channel();
        let mut manager = LinkManager::new(hub.clone(), orders.clone(), received);
        spawn(move || manager.keep_linked());
        Self { orders }
    }

    /// Queues a command; never waits.
    pub fn send(&self, command: OutgoingCommand) {
        let _ = self.orders.send(Order::Command(command));
    }

    /// Moves to the address that the configuration names now.
    pub fn relink(&self) {
        let _ = self.orders.send(Order::Relink);
    }
}

#[cfg(test)]
mod tests;
