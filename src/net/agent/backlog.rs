//! Commands that wait for the next link.

use std::collections::HashSet;

use super::wire::encode;
use crate::core::{Command, Handle};

/// What is said while there is no link, for the next one. Its size is bounded by the number of runs, however long
/// there is none.
#[derive(Default)]
pub(super) struct Backlog {
    lines: String,
    /// Runs whose last word in here is to stop: saying so again adds nothing.
    stopped: HashSet<Handle>,
}

impl Backlog {
    pub(super) fn add(&mut self, command: &Command) {
        let news = match command {
            Command::Freeze { handle } => self.stopped.insert(*handle),
            Command::Launch { handle, .. }
            | Command::Thaw { handle }
            | Command::Deliver { handle, .. }
            | Command::Forgo { handle, .. } => {
                self.stopped.remove(handle);
                true
            }
            // Questions about the link that broke: the next one's are asked once it greets.
            Command::Sample { .. } | Command::Sync(_) | Command::Acknowledge(_) | Command::Resume => false,
        };
        if news {
            encode(command, &mut self.lines);
        }
    }
    /// Takes out all lines, in order.
    pub(super) fn take_lines(&mut self) -> String {
        std::mem::take(self).lines
    }
}
