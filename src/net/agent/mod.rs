//! The link to the render farm agent: JSON lines, numbered notices, and a new link whenever one breaks.
//!
//! The keeper writes commands and owns the order of links: it tells the reducer of a loss before the next link is
//! opened, and with it which commands were written. What was not is dropped, and is the reducer's to say again.

mod backlog;
mod keeper;
mod reader;
mod wire;

use std::net::SocketAddr;
use std::sync::Arc;

use may::sync::mpsc::{channel, Sender};

use super::stream::Conn;
use super::{spawn, Hub};
use crate::core::{Command, End};

use keeper::Keeper;
pub use reader::next_notice;
pub use wire::{encode, parse};

/// What the keeper of the link is to do, or to know.
enum Order {
    Command(Command),
    /// The configuration names an address, perhaps a new one.
    Relink,
    /// For the link of this number another address was sought: it took a connection, or is not named any more.
    Sought(u64, Option<(Conn, SocketAddr)>),
    /// The agent has answered [`wire::MOVE_TICKET`] on the link of this number.
    Settled(u64),
    /// A link broke, and all that it brought was handed to the reducer.
    Broken(Ended),
}

/// How a link ended.
struct Ended {
    /// The number of the link.
    number: u64,
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
        let mut keeper = Keeper::new(hub.clone(), orders.clone(), received);
        spawn(move || keeper.keep_linked());
        Self { orders }
    }

    /// Queues a command; never waits.
    pub fn send(&self, command: Command) {
        let _ = self.orders.send(Order::Command(command));
    }

    /// Moves to the address that the configuration names now.
    pub fn relink(&self) {
        let _ = self.orders.send(Order::Relink);
    }
}
