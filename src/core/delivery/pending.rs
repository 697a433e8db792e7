//! What was said about one run: its last command as long as nothing shows that it was heard, and the rules that bind
//! every command.

use std::fmt;

use crate::core::types::*;
use crate::interface::Repeat;

/// The last command about a run, as long as nothing shows that it was heard.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::core) struct PendingCommand {
    pub(in crate::core) command: Command,
    pub(super) delivery: Delivery,
}

/// How far a command got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// It was never written: there is no link.
    Unsent,
    /// It is the command of this number on this link, which is up.
    Sent { link: LinkId, number: u64 },
    /// Its link is over: it may have been heard, or not.
    InDoubt,
}

impl PendingCommand {
    /// The command's name and how far it got, for the log.
    pub(in crate::core) fn describe(&self) -> String {
        let name = self.command.name_and_handle().map_or("none", |(name, _)| name);
        match self.delivery {
            Delivery::Unsent => format!("{name} not written"),
            Delivery::Sent { link, .. } => format!("{name} written on link {link}"),
            Delivery::InDoubt => format!("{name} in doubt"),
        }
    }

    pub(in crate::core) fn is_launch(&self) -> bool {
        matches!(self.command, Command::Launch { .. })
    }

    pub(in crate::core) fn is_unsent(&self) -> bool {
        self.delivery == Delivery::Unsent
    }

    pub(in crate::core) fn is_in_doubt(&self) -> bool {
        self.delivery == Delivery::InDoubt
    }

    /// Its loss would lose the run, or a reply: no other command may take its place before it is known to be heard.
    pub(in crate::core) fn must_not_be_lost(&self) -> bool {
        matches!(self.command, Command::Launch { .. } | Command::Deliver { .. })
    }
}

/// What was said about a run, for the rules that bind every command.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::core) struct SentCommands {
    /// Launches that were written.
    launches: u32,
    /// The notice that asked for the last call whose reply was written.
    replied: Option<u64>,
}

impl SentCommands {
    /// A launch was written.
    pub(super) fn has_launched(self) -> bool {
        self.launches > 0
    }

    pub(super) fn note(&mut self, command: &Command) {
        match command {
            Command::Launch { .. } => self.launches += 1,
            Command::Deliver { cursor, .. } => self.replied = Some(*cursor),
            _ => {}
        }
    }

    /// A command turned out not to have been written.
    pub(super) fn forget(&mut self, command: &Command) {
        match command {
            Command::Launch { .. } => self.launches = self.launches.saturating_sub(1),
            Command::Deliver { .. } => self.replied = None,
            _ => {}
        }
    }
}

/// A rule that a command would break, which is not said then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// Work for a request that has its final answer.
    LaunchAfterAnswer,
    /// A second launch of what may run once.
    SecondLaunch,
    /// A second reply to one call.
    SecondReply,
    /// A reply to another call than the one at which the run waits.
    ReplyToAnotherCall,
    /// Leaving out a call whose reply was written: heard late, it would reach the next one.
    SkipAfterReply,
}

/// What the rules look at beside the command.
pub(super) struct CommandContext {
    pub(super) said: SentCommands,
    pub(super) is_answered: bool,
    pub(super) repeat: Repeat,
    /// The notice of the last call that the run asked for.
    pub(super) cursor: u64,
}

impl Violation {
    /// The rule that a command breaks, if it breaks any.
    pub(super) fn of(command: &Command, about: &CommandContext) -> Option<Self> {
        let said = about.said;
        match command {
            Command::Launch { .. } if about.is_answered => Some(Self::LaunchAfterAnswer),
            Command::Launch { .. } if said.launches > 0 && about.repeat != Repeat::Idempotent => {
                Some(Self::SecondLaunch)
            }
            Command::Deliver { cursor, .. } if *cursor != about.cursor => Some(Self::ReplyToAnotherCall),
            Command::Deliver { cursor, .. } if said.replied == Some(*cursor) => Some(Self::SecondReply),
            Command::Forgo { cursor, .. } if said.replied == Some(*cursor) => Some(Self::SkipAfterReply),
            _ => None,
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LaunchAfterAnswer => "a launch of an answered request",
            Self::SecondLaunch => "a second launch of what may run once",
            Self::SecondReply => "a second reply to one call",
            Self::ReplyToAnotherCall => "a reply to another call",
            Self::SkipAfterReply => "leaving out a call whose reply was written",
        })
    }
}
