//! Recovery: what is done about commands that are in doubt because their link ended.

use std::time::Duration;

use super::pending::PendingCommand;
use crate::core::types::*;
use crate::core::{ActiveRequest, Core, End, Phase};
use crate::interface::{Event, Outcome, Repeat, RequestId, RouteState};

/// Maximum number of runs that are logged one by one.
const MAX_NAMED: usize = 8;
/// Maximum number of answered requests whose run is awaited although its launch is in doubt; later tries of their
/// keys need the outcome.
const MAX_ANSWERED_ORPHANS: usize = 1024;

/// What is done about a command in doubt, once all notices that the agent sent before the next link have been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recovery {
    /// The command is sent again: it has no effect if the agent has read it already, or may take effect twice.
    Repeat,
    /// The run may have begun and must not begin twice: notices about it are awaited until its due time.
    AwaitRun,
    /// The run may have received the reply. No command is sent that would take the run past its call, so that a reply
    /// that is read late still belongs to that call. Notices about the run are awaited.
    AwaitReply,
    /// The request has its answer: no more commands are sent.
    Abandon,
}

impl Recovery {
    fn of(command: &Command, is_answered: bool, repeat: Repeat) -> Self {
        match command {
            Command::Launch { .. } | Command::Deliver { .. } if is_answered => Self::Abandon,
            Command::Launch { .. } if repeat == Repeat::Idempotent => Self::Repeat,
            Command::Launch { .. } => Self::AwaitRun,
            Command::Deliver { .. } => Self::AwaitReply,
            // A repeated pause or resume has no further effect, and a skip names its call.
            _ => Self::Repeat,
        }
    }
}

impl Core {
    /// Decides what to do about all commands that are still in doubt. To be called once all notices that the agent sent
    /// before the current link have been received.
    pub(super) fn recover(&mut self, now: Duration) {
        let mut count = 0;
        for id in self.ids_where(PendingCommand::is_in_doubt) {
            let Some(request) = self.requests.get(&id) else { continue };
            let Some(pending) = &request.pending else { continue };
            let repeat = self.site.settings.classes[request.class].repeat;
            let recovery = Recovery::of(&pending.command, request.conn.is_none(), repeat);
            count += 1;
            if count <= MAX_NAMED {
                let (handle, command) = (request.handle, pending.describe());
                self.effects.push(Effect::Log(format!("{handle} {command}, resolved: {recovery:?}")));
            }
            self.perform_recovery(now, id, recovery);
        }
        if count > 0 {
            self.effects.push(Effect::Log(format!("{count} commands in doubt are resolved")));
        }
    }

    fn perform_recovery(&mut self, now: Duration, id: RequestId, recovery: Recovery) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match recovery {
            Recovery::Repeat => {
                let Some(pending) = request.pending.take() else { return };
                self.counters.commands_repeated += 1;
                self.send_run_command(id, pending.command);
            }
            Recovery::AwaitRun => self.orphan(now, id),
            // `Timer::ReplyInDoubt` limits the wait.
            Recovery::AwaitReply => {}
            Recovery::Abandon => {
                let pending = request.pending.take();
                if pending.is_some_and(|pending| pending.is_launch()) {
                    self.orphan_answered(now, id);
                }
            }
        }
    }

    /// Handles a reply that has been in doubt for so long that the run is assumed to wait for it still. The client
    /// gets a failure, which ends the run at its call. The run's slot and memory are freed once the agent reports
    /// that end.
    pub(in crate::core) fn reply_in_doubt(&mut self, now: Duration, id: RequestId, cursor: u64) {
        let is_this_reply = |pending: &PendingCommand| {
            pending.is_in_doubt()
                && matches!(pending.command, Command::Deliver { cursor: c, .. } if c == cursor)
        };
        let Some(request) = self.requests.get(&id) else { return };
        if request.conn.is_some() && request.pending.as_ref().is_some_and(is_this_reply) {
            self.events.push_back(Event::Withdrawn { id });
            self.fail(now, id);
        }
    }

    /// Marks a run that may never have begun: the decision module frees its slot, and the client keeps waiting
    /// until the deadline of its answer.
    fn orphan(&mut self, now: Duration, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_orphan = true;
        // No more commands are sent about it: nothing further can be learned about its launch.
        request.pending = None;
        let took = now.saturating_sub(request.began);
        self.counters.runs_orphaned += 1;
        self.events.push_back(Event::Finished { id, outcome: Outcome::Reset, took });
    }

    /// Like [`Core::orphan`], for an answered request whose run is still awaited for the sake of later tries of its
    /// key. If it has no key, or too many such runs are awaited already, the run is assumed to be lost, and its key may
    /// not run again.
    pub(in crate::core) fn orphan_answered(&mut self, now: Duration, id: RequestId) {
        let awaited =
            self.requests.values().filter(|request| request.is_orphan && request.conn.is_none()).count();
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.key.is_none() || awaited > MAX_ANSWERED_ORPHANS {
            return self.run_ended(now, id, End::Broken, None, None);
        }
        request.body = Bytes::from([]);
        if !request.is_orphan {
            self.orphan(now, id);
        }
    }

    /// Continues a run without the call that it requests or, if that is not allowed, fails its request. The decision
    /// module has no part in this.
    pub(in crate::core) fn continue_without_call(&mut self, now: Duration, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (handle, cursor) = (request.handle, request.call.cursor);
        match self.requests.get(&id).is_some_and(|request| self.may_skip(request)) {
            true => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.phase = Phase::Running;
                }
                self.send_run_command(id, Command::Forgo { handle, cursor });
            }
            false => self.fail(now, id),
        }
    }

    /// Whether the request may be answered without its call.
    fn may_skip(&self, request: &ActiveRequest) -> bool {
        let class = &self.site.settings.classes[request.class];
        let state = self.route_state(request.class);
        class.skip_worth > 0.0
            && state != RouteState::Closed
            && request.route.as_ref().is_none_or(|route| route.allows_skipping())
    }
}
