//! The messages from and to the agent.

use std::sync::Arc;
use std::time::Duration;

use super::{Bytes, Handle, LinkId};
use crate::core::{CallReply, End};

/// A notice: a message from the agent, or a report of its link.
#[derive(Clone, Debug)]
pub enum Notice {
    /// The agent is up and accepts commands.
    Greeting {
        /// The agent started cold.
        cold: bool,
        /// How long the agent has been up.
        uptime: Duration,
    },
    /// The link has ended: it delivers no further notices.
    Closed(LinkEnd),
    /// Every notice that the agent sent before it read the [`Command::Sync`] of this link has been received.
    Synced {
        /// The link on which the acknowledgement was requested.
        requested_on: LinkId,
    },
    /// The agent has read every command that precedes the [`Command::Acknowledge`] with this link and number.
    Acknowledged {
        /// The link on which the acknowledgement was requested.
        requested_on: LinkId,
        /// The number of the acknowledgement request.
        number: u64,
    },
    /// The agent has read every command on a link that is about to move. This is for the link manager; the reducer
    /// ignores it.
    MoveAcknowledged {
        /// The link on which the acknowledgement was requested.
        requested_on: LinkId,
    },
    /// Measured gauges.
    Sampled {
        /// The ticket of the [`Command::Sample`] that requested them.
        ticket: u64,
        /// The values, in the order of the settings.
        figures: Vec<f64>,
    },
    /// A run has ended.
    Outcome {
        /// The request.
        handle: Handle,
        /// How the run ended.
        end: End,
        /// How long the run took.
        duration: Option<Duration>,
        /// The result of the run.
        result: Option<Bytes>,
    },
    /// A run waits for a call to the dependency.
    CallNeeded {
        /// The request.
        handle: Handle,
        /// The number of this notice, which identifies the call.
        cursor: u64,
        /// The body of the call.
        body: Bytes,
    },
    /// The agent did not carry out a command.
    Refusal {
        /// The name of the command.
        command: String,
        /// The request.
        handle: Handle,
    },
}

/// How a link to the agent ended, and how far the commands on it got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// The link broke. Commands up to number `written` were written, or may have been; later ones were not.
    Broken {
        /// How the link broke.
        end: End,
        /// The number of the last command that may have been written.
        written: u64,
    },
    /// The link was closed after the agent had acknowledged it. The agent has read the commands up to number `read`;
    /// later ones were not written.
    Clean {
        /// The number of the last command that was read.
        read: u64,
    },
}

/// A message to the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Run a request.
    Launch {
        /// The request.
        handle: Handle,
        /// The name of its class.
        class: Arc<str>,
        /// The request body.
        arg: Bytes,
        /// How long the client still waits.
        timeout: Duration,
    },
    /// Pause or stop a run.
    Freeze {
        /// The request.
        handle: Handle,
    },
    /// Resume a paused run.
    Thaw {
        /// The request.
        handle: Handle,
    },
    /// Deliver the reply to the call that a run waits for.
    Deliver {
        /// The request.
        handle: Handle,
        /// The number of the notice that requested the call. It is not sent.
        cursor: u64,
        /// When the request is due: from then on its client has given up, and the reply must not be written.
        due: Duration,
        /// The reply.
        reply: CallReply,
    },
    /// Continue a run without the call that it waits for.
    Forgo {
        /// The request.
        handle: Handle,
        /// The number of the notice that requested the call.
        cursor: u64,
    },
    /// Report the gauges.
    Sample {
        /// Returned with the gauges.
        ticket: u64,
    },
    /// Request a [`Notice::Synced`] after all earlier notices; sent once on each link.
    Sync,
    /// Request a [`Notice::Acknowledged`] once all earlier commands on this link have been read. These requests are
    /// numbered from 1 on each link.
    Acknowledge(u64),
}

impl Command {
    /// Whether it lets a run continue that waits for a call or is paused.
    pub fn continues_run(&self) -> bool {
        matches!(self, Self::Deliver { .. } | Self::Forgo { .. } | Self::Thaw { .. })
    }

    /// The command's name on the wire and the run that it is about; `None` for a command that is about no run.
    pub fn name_and_handle(&self) -> Option<(&'static str, Handle)> {
        match self {
            Self::Launch { handle, .. } => Some(("launch", *handle)),
            Self::Freeze { handle } => Some(("freeze", *handle)),
            Self::Thaw { handle } => Some(("thaw", *handle)),
            Self::Deliver { handle, .. } => Some(("deliver", *handle)),
            Self::Forgo { handle, .. } => Some(("forgo", *handle)),
            Self::Sample { .. } | Self::Sync | Self::Acknowledge(_) => None,
        }
    }
}
