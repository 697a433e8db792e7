//! Delivery of commands to the agent: which commands were sent on which link, and which of them the agent has read.
//!
//! When a link breaks, the last commands on it may be lost, and it is not known how many. Only three observations
//! prove what became of a command: a notice about its run, the agent's answer to a later acknowledgement request on
//! the same link, or the fact that the command was never written. Neither elapsed time nor a run that shows no effect
//! of the command proves anything: a run that waits for its disk looks the same as one that does not exist. Where
//! nothing is proven, [`recovery`] chooses an action that does no harm in either case.
//!
//! Every command names the link that it is meant for, and every notice the link that delivered it. The reducer, the
//! link manager and the link's reader run concurrently, and a link, even several in a row, may end before any of them
//! is notified. So none of them infers the link of a message from the order of messages.

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

/// The list of unacknowledged commands is cleaned up when it has this many entries more than twice the active requests.
const SPARE_UNACKNOWLEDGED: usize = 64;
/// How long a notice about a run is awaited if its last reply is in doubt.
const REPLY_DOUBT_TIMEOUT: Duration = Duration::from_millis(500);

/// The connection to the agent, or to the application that does the work.
#[derive(Clone, Debug, Default)]
pub(super) struct AgentLink {
    pub(super) connection: Connection,
    /// The newest link of which a message was received.
    newest: LinkId,
}

impl Core {
    /// Declares that an application does the work, which needs no link to an agent.
    pub fn run_without_link(&mut self) {
        self.agent_link.connection = Connection::Direct;
    }

    /// Sends a command on the current link. All commands are sent here. Returns the link and the number of the command,
    /// or `None` if there is no link.
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

    /// Sends a command about a run, or keeps it for the next link, unless a rule forbids it.
    pub(super) fn send_run_command(&mut self, id: RequestId, command: Command) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        // The agent ends the run of an answered request at its call.
        if request.conn.is_none() && command.continues_run() {
            request.pending = None;
            return;
        }
        let context = CommandContext {
            sent: request.sent,
            is_answered: request.conn.is_none(),
            repeat: self.site.settings.classes[request.class].repeat,
            cursor: request.call.cursor,
        };
        if let Some(violation) = Violation::of(&command, &context) {
            let handle = request.handle;
            return self.report_violation(violation, handle);
        }
        let sent_as = self.send_command(command.clone());
        if let (Connection::Up(session), Some((_, number))) = (&mut self.agent_link.connection, sent_as) {
            session.await_acknowledgement(number, id);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if sent_as.is_some() {
            request.sent.record(&command);
        }
        let delivery = sent_as.map_or(Delivery::Unsent, |(link, number)| Delivery::Sent { link, number });
        request.pending = Some(PendingCommand { command, delivery });
    }

    fn report_violation(&mut self, violation: Violation, handle: Handle) {
        self.counters.violations += 1;
        let violation = format!("{violation} was not sent");
        self.effects.push(Effect::ReportViolation { handle, violation });
    }

    /// Requests an acknowledgement of the commands that were sent since the last one. Only one request is open at a
    /// time.
    pub(super) fn request_acknowledgement(&mut self) {
        let Connection::Up(session) = &mut self.agent_link.connection else { return };
        if !session.needs_acknowledgement() {
            return;
        }
        let requests = &self.requests;
        session.clean_up(2 * requests.len() + SPARE_UNACKNOWLEDGED, |id| requests.contains_key(&id));
        let request_number = session.next_acknowledgement_request();
        self.send_command(Command::Acknowledge(request_number));
    }

    /// Handles an acknowledgement: the agent has read all commands on the link that precede the acknowledgement
    /// request.
    pub(super) fn acknowledged(&mut self, link: LinkId, request_number: u64) {
        let Some(session) = self.agent_link.connection.session_of(link) else { return };
        for (number, id) in session.acknowledged(request_number) {
            if let Some(request) = self.requests.get_mut(&id) {
                request.pending.take_if(|pending| pending.delivery == Delivery::Sent { link, number });
            }
        }
    }

    /// Handles the end of synchronisation: all notices that the agent sent before this link have been received.
    pub(super) fn synced(&mut self, now: Duration, link: LinkId) {
        if self.agent_link.connection.session_of(link).is_some() {
            self.recover(now);
        }
    }

    /// Handles the end of a link.
    pub(super) fn link_closed(&mut self, now: Duration, link: LinkId, end: LinkEnd) {
        self.agent_link.newest = self.agent_link.newest.max(link);
        if let LinkEnd::Broken { .. } = end {
            self.counters.links_lost += 1;
        }
        if self.agent_link.connection.session_of(link).is_none() {
            return;
        }
        self.agent_link.connection = Connection::Down;
        let (in_doubt, unsent) = self.resolve_sent_commands(now, link, end);
        if let LinkEnd::Broken { end, .. } = end {
            let reason = end.as_str();
            self.effects.push(Effect::Log(format!(
                "link {link} to the agent lost ({reason}): {in_doubt} commands in doubt, {unsent} not written"
            )));
        }
    }

    /// Records how far the commands got that were sent on a link which has ended. Returns how many commands are in
    /// doubt, and how many wait for a link.
    fn resolve_sent_commands(&mut self, now: Duration, link: LinkId, end: LinkEnd) -> (usize, usize) {
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
                                self.timers.push(Reverse((now + REPLY_DOUBT_TIMEOUT, timer)));
                            }
                        }
                        // It was dropped. It is sent again on the next link, if it is still needed then.
                        LinkEnd::Clean { .. } | LinkEnd::Broken { .. } => {
                            request.sent.retract(&pending.command);
                            // If this launch repeats another one, the agent may have read that one.
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

    /// Handles the agent's greeting on a new link: commands that were never written are sent now, if they are still
    /// needed.
    pub(super) fn link_greeted(&mut self, now: Duration, link: LinkId) {
        if link <= self.agent_link.newest {
            self.counters.stale_notices += 1;
            return;
        }
        self.agent_link.newest = link;
        if let Connection::Up(previous) = &self.agent_link.connection {
            // The end of the previous link is not reported yet: any command on it may have been written.
            let end = LinkEnd::Broken { end: End::Broken, written: u64::MAX };
            let previous = previous.link;
            self.resolve_sent_commands(now, previous, end);
        }
        self.agent_link.connection = Connection::Up(Session::new(link));
        for id in self.ids_where(PendingCommand::is_unsent) {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let Some(pending) = request.pending.take() else { continue };
            match (request.conn.is_some(), pending.is_launch()) {
                // No command about this run was ever sent: it has not begun.
                (false, true) => self.run_ended(now, id, End::Unknown, None, None),
                _ => self.send_run_command(id, pending.command),
            }
        }
        // The agent sends all notices since the last link before it answers this command.
        self.send_command(Command::Sync);
    }

    /// Requests whose pending command satisfies a condition, in the order of their arrival.
    fn ids_where(&self, condition: impl Fn(&PendingCommand) -> bool) -> Vec<RequestId> {
        let is_selected = |request: &ActiveRequest| request.pending.as_ref().is_some_and(&condition);
        let mut ids: Vec<_> =
            self.requests.iter().filter(|(_, request)| is_selected(request)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}
