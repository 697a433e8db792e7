//! A link to the agent from the reducer's point of view: the numbers of its commands, and which are not acknowledged
//! yet.
//!
//! This state ends with the link: numbers, acknowledgement requests and acknowledgements are valid on their own link
//! only.

use std::collections::VecDeque;

use crate::core::types::LinkId;
use crate::interface::RequestId;

/// How commands reach the agent, or the application that does the work.
#[derive(Clone, Debug, Default)]
pub(in crate::core) enum Connection {
    /// There is no link: commands about runs wait for the next one.
    #[default]
    Down,
    /// The agent has greeted on a link, whose end was not reported.
    Up(Session),
    /// An application does the work, which needs no link.
    Direct,
}

impl Connection {
    /// The session of this link, if it is the current one.
    pub(super) fn session_of(&mut self, link: LinkId) -> Option<&mut Session> {
        match self {
            Self::Up(session) if session.link == link => Some(session),
            _ => None,
        }
    }

    pub(in crate::core) fn is_up(&self) -> bool {
        matches!(self, Self::Up(_))
    }
}

/// A link on which the agent has greeted.
#[derive(Clone, Debug)]
pub(in crate::core) struct Session {
    pub(super) link: LinkId,
    /// Number of commands that were sent on it.
    sent: u64,
    /// Commands about runs that are not acknowledged yet, the oldest first.
    unacknowledged: VecDeque<(u64, RequestId)>,
    /// Number of acknowledgement requests that were sent.
    acknowledgement_requests: u64,
    /// The command number of the last acknowledgement request, until it is answered.
    open_request: Option<u64>,
}

impl Session {
    pub(super) fn new(link: LinkId) -> Self {
        Self {
            link,
            sent: 0,
            unacknowledged: VecDeque::new(),
            acknowledgement_requests: 0,
            open_request: None,
        }
    }

    /// The number of the next command.
    pub(super) fn next_number(&mut self) -> u64 {
        self.sent += 1;
        self.sent
    }

    /// Records a command about a run that needs an acknowledgement.
    pub(super) fn await_acknowledgement(&mut self, number: u64, id: RequestId) {
        self.unacknowledged.push_back((number, id));
    }

    /// Whether there are unacknowledged commands and no acknowledgement request is open.
    pub(super) fn needs_acknowledgement(&self) -> bool {
        self.open_request.is_none() && !self.unacknowledged.is_empty()
    }

    /// The number of the next acknowledgement request, which must be sent as the next command.
    pub(super) fn next_acknowledgement_request(&mut self) -> u64 {
        self.acknowledgement_requests += 1;
        self.open_request = Some(self.sent + 1);
        self.acknowledgement_requests
    }

    /// Drops the commands of requests that are no longer active, once there are more than `limit` commands.
    pub(super) fn clean_up(&mut self, limit: usize, is_active: impl Fn(RequestId) -> bool) {
        if self.unacknowledged.len() > limit {
            self.unacknowledged.retain(|(_, id)| is_active(*id));
        }
    }

    /// Handles the answer to the acknowledgement request with this number, and returns the commands that the agent
    /// has read.
    pub(super) fn acknowledged(&mut self, number: u64) -> Vec<(u64, RequestId)> {
        let Some(request) = self.open_request.filter(|_| number == self.acknowledgement_requests) else {
            return Vec::new();
        };
        self.open_request = None;
        let read = self.unacknowledged.iter().take_while(|(command, _)| *command < request).count();
        self.unacknowledged.drain(..read).collect()
    }
}
