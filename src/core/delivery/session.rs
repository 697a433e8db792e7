//! One link to the agent as the reducer knows it: the numbers of what was said on it, and what is not acknowledged.
//!
//! All of it ends with the link: no number, question or acknowledgement of one link means anything on another.

use std::collections::VecDeque;

use crate::core::types::LinkId;
use crate::interface::RequestId;

/// How commands reach whoever does the work.
#[derive(Debug, Default)]
pub(in crate::core) enum Connection {
    /// There is no link: what is said waits for the next one.
    #[default]
    Down,
    /// The agent has greeted on a link, and nothing tells that it is over.
    Up(Session),
    /// An application does the work, and needs no link.
    Direct,
}

impl Connection {
    /// The session of this link, if it is the one that is up.
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
#[derive(Debug)]
pub(in crate::core) struct Session {
    pub(super) link: LinkId,
    /// Commands that were said on it.
    said: u64,
    /// Commands about runs without an acknowledgement, the oldest first.
    unacknowledged: VecDeque<(u64, RequestId)>,
    /// Questions for an acknowledgement that were asked.
    questions: u64,
    /// The number of the command that asked the last one, until its answer comes.
    asked_by: Option<u64>,
}

impl Session {
    pub(super) fn new(link: LinkId) -> Self {
        Self { link, said: 0, unacknowledged: VecDeque::new(), questions: 0, asked_by: None }
    }

    /// The number of the next command.
    pub(super) fn next_number(&mut self) -> u64 {
        self.said += 1;
        self.said
    }

    /// Notes a command about a run.
    pub(super) fn await_acknowledgement(&mut self, number: u64, id: RequestId) {
        self.unacknowledged.push_back((number, id));
    }

    /// There is something to ask about, and no question is out.
    pub(super) fn is_to_ask(&self) -> bool {
        self.asked_by.is_none() && !self.unacknowledged.is_empty()
    }

    /// The number of the next question, which is asked by the next command.
    pub(super) fn next_question(&mut self) -> u64 {
        self.questions += 1;
        self.asked_by = Some(self.said + 1);
        self.questions
    }

    /// Drops what is waited for no more, once there are more commands than this.
    pub(super) fn clean_up(&mut self, most: usize, is_open: impl Fn(RequestId) -> bool) {
        if self.unacknowledged.len() > most {
            self.unacknowledged.retain(|(_, id)| is_open(*id));
        }
    }

    /// The agent has answered the question of this number: the commands that it had read before.
    pub(super) fn acknowledged(&mut self, number: u64) -> Vec<(u64, RequestId)> {
        let Some(asked_by) = self.asked_by.filter(|_| number == self.questions) else { return Vec::new() };
        self.asked_by = None;
        let read = self.unacknowledged.iter().take_while(|(said, _)| *said < asked_by).count();
        self.unacknowledged.drain(..read).collect()
    }
}
