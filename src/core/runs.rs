//! Runs at the agent: how they begin and end, and what its notices say of them.

use std::cmp::Reverse;
use std::time::Duration;

use super::types::*;
use super::{keys, Core, End, PendingCommand, Phase, Timer};
use crate::brain::Brain;
use crate::interface::{Event, Gauges, Outcome, Preemption, RequestId};

/// Letters of a command's name that the log shows.
const MAX_COMMAND_NAME: usize = 32;
/// This long after its due time a run of an answered request is taken to be lost.
const RUN_LOST: Duration = Duration::from_secs(60);

impl Core {
    pub(super) fn handle_notice(&mut self, now: Duration, link: LinkId, notice: Notice) {
        match notice {
            Notice::Greeting { cold, uptime } => {
                self.effects.push(Effect::Ready);
                // The module's life begins with the agent's: it is told then how warm the machine is.
                if !std::mem::replace(&mut self.has_agent_greeted, true)
                    && self.requests.is_empty()
                    && self.drain.is_none()
                {
                    let mut settings = self.module_settings();
                    settings.cold = cold;
                    if let Ok(brain) = Brain::new(settings, self.seed, now.saturating_sub(uptime)) {
                        self.engine = brain;
                        self.report_route_states();
                        self.waiting_timers.clear();
                        self.timers.retain(|Reverse((_, t))| !matches!(t, Timer::Module(_)));
                    }
                }
                self.link_greeted(now, link);
            }
            Notice::Closed(end) => self.link_closed(now, link, end),
            Notice::Synced { requested_on } => self.synced(now, requested_on),
            Notice::Acknowledged { requested_on, number } => self.acknowledged(requested_on, number),
            Notice::MoveAcknowledged { .. } => {}
            Notice::Sampled { ticket, figures } => {
                let mut gauges = Gauges::default();
                for (name, figure) in self.site.gauges.iter().zip(figures) {
                    match name.as_str() {
                        "core_use" => gauges.core_use = Some(figure),
                        "on_cores" => gauges.on_cores = Some(figure),
                        "heap_share" => gauges.memory_use = Some(figure),
                        "links" => gauges.connections = Some(figure),
                        _ => {}
                    }
                }
                self.gauges = (now, gauges);
                if ticket == self.sample_ticket {
                    self.deliver_timers();
                }
            }
            Notice::Outcome { handle, end, lasted, result } => {
                let Some(&id) = self.handles.get(&handle) else { return };
                self.run_ended(now, id, end, lasted, result);
            }
            Notice::CallNeeded { handle, cursor, body } => {
                let Some(&id) = self.handles.get(&handle) else { return };
                self.call_needed(now, id, cursor, body);
            }
            Notice::Refusal { command, handle } => {
                self.counters.agent_refusals += 1;
                self.log_refusal(&command, handle);
                let Some(&id) = self.handles.get(&handle) else { return };
                // Only a refused launch ends a run: it proves that none began.
                if command == "launch"
                    && self.requests.get(&id).is_some_and(|request| request.phase == Phase::Running)
                {
                    self.run_ended(now, id, End::Unknown, None, None);
                }
            }
        }
    }

    /// The agent's own word that something came to it changed, or twice: with all that tells what it was.
    fn log_refusal(&mut self, command: &str, handle: Handle) {
        let request = self.handles.get(&handle).and_then(|id| self.requests.get(id));
        let about = request.map_or("its request is over".to_string(), |request| {
            let class = &self.site.class_names[request.class];
            let digest = keys::digest(class, &request.body);
            format!(
                "class {class}, body of {} bytes, digest {digest:016x}, {:?}",
                request.body.len(),
                request.phase
            )
        });
        let command: String = command.chars().take(MAX_COMMAND_NAME).filter(|c| !c.is_control()).collect();
        self.effects.push(Effect::Log(format!("the agent refused a {command}: {handle}, {about}")));
    }

    pub(super) fn start_run(&mut self, now: Duration, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let handle = request.handle;
        let command = match request.phase {
            Phase::Held => {
                let timeout = request.due.saturating_sub(now);
                let class = self.site.class_names[request.class].as_str().into();
                Command::Launch { handle, class, arg: request.body.clone(), timeout }
            }
            Phase::Paused => Command::Thaw { handle },
            _ => return,
        };
        if request.phase == Phase::Held {
            if let Some(key) = request.key.clone() {
                // The rule is kept here too, whatever the module thinks: one run for a key and its window.
                if !self.keys.start_run(&key, id) {
                    self.counters.second_runs_barred += 1;
                    self.events.push_back(Event::Finished {
                        id,
                        outcome: Outcome::Moot,
                        took: Duration::ZERO,
                    });
                    self.answer_request(now, id, Verdict::Failed);
                    return self.remove_request(now, id, None);
                }
            }
            self.counters.launched += 1;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        (request.phase, request.began) = (Phase::Running, now);
        let lost = request.due + RUN_LOST;
        self.arm(lost, Timer::RunLost(id));
        self.send_run_command(id, command);
    }

    pub(super) fn preempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.phase == Phase::Running)
        else {
            return;
        };
        if self.site.settings.preemption != Preemption::Off {
            // A pause that took the place of a launch or a reply would hide its loss. A run that perhaps did not begin is
            // not paused either: nothing would show whether it was.
            let is_held_up = |pending: &PendingCommand| {
                pending.must_not_be_lost() || pending.is_unsent() || pending.is_in_doubt()
            };
            let is_held_up = request.pending.as_ref().is_some_and(is_held_up);
            let command = Command::Freeze { handle: request.handle };
            // An answered run that is stopped ends, and is not paused.
            if request.conn.is_none() {
                match is_held_up {
                    true => drop(self.send_command(command)),
                    false => self.send_run_command(id, command),
                }
                return;
            }
            if !is_held_up {
                request.phase = Phase::Paused;
                self.send_run_command(id, command);
            }
        }
    }

    pub(super) fn run_ended(
        &mut self,
        now: Duration,
        id: RequestId,
        end: End,
        lasted: Option<Duration>,
        result: Option<Bytes>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if matches!(request.phase, Phase::Held | Phase::Joined) {
            return; // Not running as far as we know: nothing of ours ended.
        }
        let is_orphan = request.is_orphan;
        let outcome = end.outcome();
        let took = lasted.unwrap_or(now.saturating_sub(request.began));
        let served = result.filter(|_| outcome == Outcome::Done);
        self.counters.ended(end);
        if let Some(key) = request.key.clone() {
            match outcome.never_ran() {
                true => self.keys.cancel_run(&key, id),
                false => self.keys.end_run(&key, id, served.clone()),
            }
        }
        self.cancel_call(id);
        let verdict = match (&served, end) {
            (Some(result), _) => Verdict::Served(result.clone()),
            // Nobody took the work: the caller may try elsewhere.
            (None, End::Refused) => Verdict::Refused { retry_after: Duration::ZERO, no_retry: false },
            _ => Verdict::Failed,
        };
        self.answer_request(now, id, verdict);
        if !is_orphan {
            self.events.push_back(Event::Finished { id, outcome, took });
        }
        self.remove_request(now, id, served);
    }

    /// Takes a request out, and answers those that waited for its result.
    pub(super) fn remove_request(&mut self, now: Duration, id: RequestId, result: Option<Bytes>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.handles.remove(&request.handle);
        if let Some(key) = &request.key {
            self.keys.remove_try(key, id);
            let key = key.clone();
            self.report_resolved_key(&key);
        }
        for waiter in request.waiters {
            self.end_join(now, waiter, result.clone());
        }
    }
}
