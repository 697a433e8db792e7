//! What is done about commands that a link took along when it ended.

use std::time::Duration;

use super::pending::PendingCommand;
use crate::core::types::*;
use crate::core::{ActiveRequest, Core, End, Phase};
use crate::interface::{Event, Outcome, Repeat, RequestId, Way};

/// Runs that a line of the log names at most.
const MAX_NAMED: usize = 8;
/// Runs of answered requests whose launch is in doubt that are waited for at most, for the sake of later tries.
const MAX_ANSWERED_ORPHANS: usize = 1024;

/// What is done about a command in doubt, once all that the agent told before the next link is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recovery {
    /// It is said again: it does nothing where it was heard, or what it does may happen twice.
    Repeat,
    /// Its run may have begun, and must not begin twice: what it tells is waited for, up to its due time.
    AwaitRun,
    /// Its run may have had the reply. Nothing is said that would take the run past its call: should the reply be heard
    /// late, it is heard by the call that it was made for. What the run tells is waited for.
    AwaitReply,
    /// Its request has its answer: nothing more is said.
    Abandon,
}

impl Recovery {
    fn of(command: &Command, is_answered: bool, repeat: Repeat) -> Self {
        match command {
            Command::Launch { .. } | Command::Deliver { .. } if is_answered => Self::Abandon,
            Command::Launch { .. } if repeat == Repeat::Idempotent => Self::Repeat,
            Command::Launch { .. } => Self::AwaitRun,
            Command::Deliver { .. } => Self::AwaitReply,
            // A pause or its end twice is the same as once, and a skip names its call.
            _ => Self::Repeat,
        }
    }
}

impl Core {
    /// All that the agent told before this link is known: what is still in doubt is settled.
    pub(super) fn recover(&mut self, now: Duration) {
        let mut done = Vec::new();
        for id in self.ids_where(PendingCommand::is_in_doubt) {
            let Some(request) = self.requests.get(&id) else { continue };
            let Some(pending) = &request.pending else { continue };
            let repeat = self.site.settings.classes[request.class].repeat;
            let recovery = Recovery::of(&pending.command, request.conn.is_none(), repeat);
            done.push((request.handle, recovery));
            self.carry_out(now, id, recovery);
        }
        if !done.is_empty() {
            let named: Vec<_> = done.iter().take(MAX_NAMED).map(|(h, r)| format!("{h} {r:?}")).collect();
            let text = format!("{} commands in doubt are settled: {}", done.len(), named.join(", "));
            self.effects.push(Effect::Log(text));
        }
    }

    fn carry_out(&mut self, now: Duration, id: RequestId, recovery: Recovery) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match recovery {
            Recovery::Repeat => {
                let Some(pending) = request.pending.take() else { return };
                self.counters.commands_repeated += 1;
                self.send_run_command(id, pending.command);
            }
            Recovery::AwaitRun => self.orphan(now, id),
            // A timer ends the wait (`reply_in_doubt`).
            Recovery::AwaitReply => {}
            Recovery::Abandon => {
                let pending = request.pending.take();
                if pending.is_some_and(|pending| pending.is_launch()) {
                    self.orphan_answered(now, id);
                }
            }
        }
    }

    /// A reply has been in doubt for so long that its run is taken to wait for it: its caller gets a failure, by which the
    /// run ends where it waits. Its slot and its memory are free once the agent tells so.
    pub(in crate::core) fn reply_in_doubt(&mut self, now: Duration, id: RequestId, cursor: u64) {
        let is_it = |pending: &PendingCommand| {
            pending.is_in_doubt()
                && matches!(pending.command, Command::Deliver { cursor: c, .. } if c == cursor)
        };
        let Some(request) = self.requests.get(&id) else { return };
        if request.conn.is_some() && request.pending.as_ref().is_some_and(is_it) {
            self.events.push_back(Event::Withdrawn { id });
            self.fail(now, id);
        }
    }

    /// The run may never have begun: the module's slot is free again, and the caller waits on, up to the deadline of its
    /// answer.
    fn orphan(&mut self, now: Duration, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_orphan = true;
        // Nothing more is said of it: the doubt is settled as far as it can be.
        request.pending = None;
        let took = now.saturating_sub(request.began);
        self.counters.runs_orphaned += 1;
        self.events.push_back(Event::Finished { id, outcome: Outcome::Reset, took });
    }

    /// The same for an answered request: what its run may yet tell is for later tries of its key. Where it has none, or many
    /// are waited for already, the run is taken to be lost; its key stays taken.
    pub(in crate::core) fn orphan_answered(&mut self, now: Duration, id: RequestId) {
        let waited_for =
            self.requests.values().filter(|request| request.is_orphan && request.conn.is_none()).count();
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.key.is_none() || waited_for > MAX_ANSWERED_ORPHANS {
            return self.run_ended(now, id, End::Broken, None, None);
        }
        request.body = Bytes::from([]);
        if !request.is_orphan {
            self.orphan(now, id);
        }
    }

    /// The run goes on without the call that it asks for, or its caller gets a failure: the module is not asked.
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

    /// The request may be answered without its call.
    fn may_skip(&self, request: &ActiveRequest) -> bool {
        let class = &self.site.settings.classes[request.class];
        let way = self.route_state(request.class);
        class.skip_worth > 0.0
            && way != Way::Shut
            && request.route.as_ref().is_none_or(|route| route.allows_skipping())
    }
}
