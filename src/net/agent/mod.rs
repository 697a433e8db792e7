//! The link to the render farm agent: JSON lines over TCP, in both directions.
//!
//! When a link breaks, the link manager opens a new one. Links are numbered. Each command names the link that it is
//! meant for and is never written on another one; each notice is passed to the reducer with the number of the link that
//! it was read from. Notices carry numbers (cursors) that continue over all links, so that a new link can resume after
//! the last notice read and each notice is passed on once.

mod link_manager;
mod position;
mod reader;
mod reply_guard;
mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use may::sync::mpsc::{channel, Sender};

use super::stream::Conn;
use super::{spawn, Hub};
use crate::core::{Command, End, LinkId};

use link_manager::LinkManager;
pub use position::NoticePosition;
pub use reader::{notice_lines, NoticeDecoder};
pub use wire::{encode, parse, ParsedNotice};

/// A command to the agent, for one link.
#[derive(Debug)]
pub struct OutgoingCommand {
    /// The link that it is meant for.
    pub link: LinkId,
    /// Its number among the commands for that link.
    pub number: u64,
    /// The command itself.
    pub command: Command,
}

impl OutgoingCommand {
    /// Whether the command is a reply to a run whose request is due: the process may have stood still since it was sent.
    fn is_too_late(&self, now: Duration) -> bool {
        matches!(self.command, Command::Deliver { due, .. } if now >= due)
    }
}

/// An event that the link manager handles.
enum LinkEvent {
    /// A command is to be written.
    Command(OutgoingCommand),
    /// The configuration was read again and may name another address.
    Relink,
    /// The search for a connection to replace this link has ended: with a connection to the new address, or with none
    /// because the configuration no longer names another address.
    Replacement(LinkId, Option<(Conn, SocketAddr)>),
    /// The agent has read everything that was sent on this link, which is about to move.
    MoveAcknowledged(LinkId),
    /// A link has ended, and every notice read from it was passed to the reducer.
    Ended(EndedLink),
}

/// A link that has ended, and why.
struct EndedLink {
    link: LinkId,
    end: End,
    /// The cause in words, for the log.
    cause: String,
}

/// The sending side of the agent link: queues commands for the link manager.
pub struct Link {
    events: Sender<LinkEvent>,
}

impl Link {
    /// Starts the link manager, which connects to the agent and reconnects whenever the link breaks.
    pub(super) fn start(hub: &Arc<Hub>) -> Self {
        let (events, received) = channel();
        let mut manager = LinkManager::new(hub.clone(), events.clone(), received);
        spawn(move || manager.run());
        Self { events }
    }

    /// Queues a command without waiting.
    pub fn send(&self, command: OutgoingCommand) {
        let _ = self.events.send(LinkEvent::Command(command));
    }

    /// Moves the link to the address that the configuration names now, if it is another one.
    pub fn relink(&self) {
        let _ = self.events.send(LinkEvent::Relink);
    }
}

#[cfg(test)]
mod reply_guard_tests;
#[cfg(test)]
mod tests;
