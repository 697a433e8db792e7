//! The commands about one run: the last one, until the agent is known to have read it, and the rules that every command
//! must obey.

use std::fmt;

use crate::core::types::*;
use crate::interface::Repeat;

/// The last command about a run, until the agent is known to have read it.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::core) struct PendingCommand {
    pub(in crate::core) command: Command,
    pub(super) delivery: Delivery,
}

/// How far a command got on its way to the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// It was never written: there was no link.
    Unsent,
    /// It was sent as the command with this number on this link, which is up.
    Sent { link: LinkId, number: u64 },
    /// Its link has ended: the agent may have read it or not.
    InDoubt,
}

impl PendingCommand {
    /// Describes the command and how far it got, for the log.
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

    /// Whether its loss would lose the run or a reply. Such a command must not be replaced by another one before the
    /// agent is known to have read it.
    pub(in crate::core) fn must_not_be_lost(&self) -> bool {
        matches!(self.command, Command::Launch { .. } | Command::Deliver { .. })
    }
}

/// Which commands were sent about a run, for the rules that every command must obey.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::core) struct SentCommands {
    /// Launches that were written.
    launches: u32,
    /// The number of the notice that requested the last call whose reply was written.
    last_replied: Option<u64>,
}

impl SentCommands {
    /// Whether a launch was written.
    pub(in crate::core) fn has_launched(self) -> bool {
        self.launches > 0
    }

    /// Records the proof that a launch began no run. Where several were written, another one may have.
    pub(in crate::core) fn disprove_launch(&mut self) {
        self.launches = if self.launches == 1 { 0 } else { self.launches };
    }

    /// Records that a command was sent.
    pub(super) fn record(&mut self, command: &Command) {
        match command {
            Command::Launch { .. } => self.launches += 1,
            Command::Deliver { cursor, .. } => self.last_replied = Some(*cursor),
            _ => {}
        }
    }

    /// Takes back the record of a command that turned out not to have been written.
    pub(super) fn retract(&mut self, command: &Command) {
        match command {
            Command::Launch { .. } => self.launches = self.launches.saturating_sub(1),
            Command::Deliver { .. } => self.last_replied = None,
            _ => {}
        }
    }
}

/// A rule that a command would break; such a command is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// A launch for a request that has its final answer.
    LaunchAfterAnswer,
    /// A second launch of a request that may run only once.
    SecondLaunch,
    /// A second reply to one call.
    SecondReply,
    /// A reply to a call that the run does not wait for.
    ReplyToAnotherCall,
    /// Skipping a call whose reply was written: if the agent reads that reply late, the run's next call would get it.
    SkipAfterReply,
}

/// What the rules depend on besides the command.
pub(super) struct CommandContext {
    pub(super) sent: SentCommands,
    pub(super) is_answered: bool,
    pub(super) repeat: Repeat,
    /// The number of the notice that requested the run's last call.
    pub(super) cursor: u64,
}

impl Violation {
    /// The rule that a command would break, if any.
    pub(super) fn of(command: &Command, context: &CommandContext) -> Option<Self> {
        let sent = context.sent;
        match command {
            Command::Launch { .. } if context.is_answered => Some(Self::LaunchAfterAnswer),
            Command::Launch { .. } if sent.launches > 0 && context.repeat != Repeat::Idempotent => {
                Some(Self::SecondLaunch)
            }
            Command::Deliver { cursor, .. } if *cursor != context.cursor => Some(Self::ReplyToAnotherCall),
            Command::Deliver { cursor, .. } if sent.last_replied == Some(*cursor) => Some(Self::SecondReply),
            Command::Forgo { cursor, .. } if sent.last_replied == Some(*cursor) => Some(Self::SkipAfterReply),
            _ => None,
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LaunchAfterAnswer => "a launch of an answered request",
            Self::SecondLaunch => "a second launch of a request that may run only once",
            Self::SecondReply => "a second reply to one call",
            Self::ReplyToAnotherCall => "a reply to a call that the run does not wait for",
            Self::SkipAfterReply => "a skip of a call whose reply was written",
        })
    }
}
