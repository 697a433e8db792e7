//! Delivery of commands to the agent: what was said, over which link, and what proves that it was heard.
//!
//! A link that breaks takes what was last said on it along, and nobody knows how much. What became of a command is
//! proven by three observations only: a notice about its run, an acknowledgement of a later question that the agent
//! answered on the same link, and that the command was never written. A run that shows no pause, or time that went by,
//! proves nothing: a run that waits for its disk looks the same as one that does not exist. Where nothing is proven,
//! [`recovery`] chooses what does no harm in either case.
//!
//! Every command names the link that it is meant for, and every notice the link that brought it. The reducer, the link's
//! keeper and its reader run apart, and a link may be over, and the next ones too, before any of them hears of it: none
//! of them infers the link of a message from the order in which messages come.

mod pending;
mod recovery;
mod session;

use std::cmp::Reverse;
use std::time::Duration;

use super::types::*;
use super::{ActiveRequest, Core, End, Timer};
use crate::interface::RequestId;

use pending::{CommandContext, Delivery, Violation};
pub(super) use pending::{PendingCommand, SentCommands};
pub(super) use session::Connection;
use session::Session;

/// Commands without an acknowledgement that are kept beside those of open runs before the list is cleaned up.
const SPARE_UNACKNOWLEDGED: usize = 64;
/// What a run tells is waited for so long where its last reply is in doubt.
const REPLY_DOUBT: Duration = Duration::from_millis(500);

/// The way to whoever does the work.
#[derive(Debug, Default)]
pub(super) struct AgentLink {
    pub(super) connection: Connection,
    /// The newest link that was heard of.
    newest: LinkId,
}

impl Core {
    /// An application does the work: commands reach it without a link.
    pub fn run_without_link(&mut self) {
        self.agent_link.connection = Connection::Direct;
    }

    /// Says something on the link that is up: the one place that does. Returns how far it got; nothing where there is no
    /// link.
    pub(super) fn send_command(&mut self, command: Command) -> Option<(LinkId, u64)> {
        let (link, number) = match &mut self.agent_link.connection {
            Connection::Down => {
                self.counters.commands_without_link += 1;
                return None;
            }
            Connection::Up(session) => (session.link, session.next_number()),
            Connection::Direct => (LinkId::NONE, 0),
        };
        self.effects.push(Effect::Agent { link, number, command });
        Some((link, number))
    }

    /// Says something about a run, or notes it for the next link; unless a rule forbids it.
    pub(super) fn send_run_command(&mut self, id: RequestId, command: Command) {
        let Some(request) = self.requests.get(&id) else { return };
        let about = CommandContext {
            said: request.sent,
            is_answered: request.conn.is_none(),
            repeat: self.site.settings.classes[request.class].repeat,
            cursor: request.call.cursor,
        };
        if let Some(violation) = Violation::of(&command, &about) {
            let handle = request.handle;
            return self.report_violation(violation, handle);
        }
        let sent = self.send_command(command.clone());
        if let (Connection::Up(session), Some((_, number))) = (&mut self.agent_link.connection, sent) {
            session.await_acknowledgement(number, id);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if sent.is_some() {
            request.sent.note(&command);
        }
        let delivery = sent.map_or(Delivery::Unsent, |(link, number)| Delivery::Sent { link, number });
        request.pending = Some(PendingCommand { command, delivery });
    }

    fn report_violation(&mut self, violation: Violation, handle: Handle) {
        self.counters.violations += 1;
        self.effects.push(Effect::Log(format!("violation: {violation} was not said: {handle}")));
    }

    /// Asks the agent to acknowledge what was said since the last time, one question at a time.
    pub(super) fn request_acknowledgement(&mut self) {
        let Connection::Up(session) = &mut self.agent_link.connection else { return };
        if !session.is_to_ask() {
            return;
        }
        let requests = &self.requests;
        session.clean_up(2 * requests.len() + SPARE_UNACKNOWLEDGED, |id| requests.contains_key(&id));
        let question = session.next_question();
        self.send_command(Command::Acknowledge(question));
    }

    /// The agent has read all that was said on a link before a question.
    pub(super) fn acknowledged(&mut self, link: LinkId, question: u64) {
        let Some(session) = self.agent_link.connection.session_of(link) else { return };
        for (number, id) in session.acknowledged(question) {
            if let Some(request) = self.requests.get_mut(&id) {
                request.pending.take_if(|pending| pending.delivery == Delivery::Sent { link, number });
            }
        }
    }

    /// All that the agent had told before this link is read.
    pub(super) fn synced(&mut self, now: Duration, link: LinkId) {
        if self.agent_link.connection.session_of(link).is_some() {
            self.recover(now);
        }
    }

    /// A link is over.
    pub(super) fn link_closed(&mut self, now: Duration, link: LinkId, end: LinkEnd) {
        self.agent_link.newest = self.agent_link.newest.max(link);
        if let LinkEnd::Broken { .. } = end {
            self.counters.links_lost += 1;
        }
        if self.agent_link.connection.session_of(link).is_none() {
            return;
        }
        self.agent_link.connection = Connection::Down;
        let (in_doubt, unsent) = self.settle_sent(now, link, end);
        if let LinkEnd::Broken { end, .. } = end {
            let word = end.as_str();
            self.effects.push(Effect::Log(format!(
                "link {link} to the agent lost ({word}): {in_doubt} commands in doubt, {unsent} not written"
            )));
        }
    }

    /// Notes how far the commands got that were said on a link which is over. Returns how many commands are in doubt, and
    /// how many wait for a link.
    fn settle_sent(&mut self, now: Duration, link: LinkId, end: LinkEnd) -> (usize, usize) {
        let (mut in_doubt, mut unsent) = (0, 0);
        for (id, request) in &mut self.requests {
            let Some(pending) = &mut request.pending else { continue };
            if let Delivery::Sent { link: sent_on, number } = pending.delivery {
                if sent_on == link {
                    match end {
                        LinkEnd::Clean { read } if number <= read => {
                            request.pending = None;
                            continue;
                        }
                        LinkEnd::Broken { written, .. } if number <= written => {
                            pending.delivery = Delivery::InDoubt;
                            if let Command::Deliver { cursor, .. } = pending.command {
                                self.counters.replies_in_doubt += 1;
                                let timer = Timer::ReplyInDoubt(*id, cursor);
                                self.timers.push(Reverse((now + REPLY_DOUBT, timer)));
                            }
                        }
                        // It was dropped: it is said again from here, if it is still wanted then.
                        LinkEnd::Clean { .. } | LinkEnd::Broken { .. } => {
                            request.sent.forget(&pending.command);
                            // Of a launch that repeats one, the earlier one may have been heard.
                            pending.delivery = match pending.is_launch() && request.sent.has_launched() {
                                true => Delivery::InDoubt,
                                false => Delivery::Unsent,
                            };
                        }
                    }
                }
            }
            in_doubt += usize::from(pending.is_in_doubt());
            unsent += usize::from(pending.is_unsent());
        }
        (in_doubt, unsent)
    }

    /// The agent has greeted on a link: what was never written is said now, where it is still wanted.
    pub(super) fn link_greeted(&mut self, now: Duration, link: LinkId) {
        if link <= self.agent_link.newest {
            self.counters.stale_notices += 1;
            return;
        }
        self.agent_link.newest = link;
        if let Connection::Up(before) = &self.agent_link.connection {
            // Its end was not told yet: whatever was said on it may have been written.
            let end = LinkEnd::Broken { end: End::Broken, written: u64::MAX };
            let before = before.link;
            self.settle_sent(now, before, end);
        }
        self.agent_link.connection = Connection::Up(Session::new(link));
        for id in self.ids_where(PendingCommand::is_unsent) {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let Some(pending) = request.pending.take() else { continue };
            match (request.conn.is_some(), pending.is_launch()) {
                // Proven: nothing of it was ever said.
                (false, true) => self.run_ended(now, id, End::Unknown, None, None),
                _ => self.send_run_command(id, pending.command),
            }
        }
        // All that was told since the last link comes before the answer to this.
        self.send_command(Command::Sync);
    }

    /// Requests whose last command stands so, in the order in which they came.
    fn ids_where(&self, is_so: impl Fn(&PendingCommand) -> bool) -> Vec<RequestId> {
        let is_so = |request: &ActiveRequest| request.pending.as_ref().is_some_and(&is_so);
        let mut ids: Vec<_> =
            self.requests.iter().filter(|(_, request)| is_so(request)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}
