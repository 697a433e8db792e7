//! Runs at the agent: their start, pause and end, and the notices about them.

use std::cmp::Reverse;
use std::time::Duration;

use super::types::*;
use super::{keys, Core, End, PendingCommand, Phase, Timer};
use crate::decisions::DecisionEngine;
use crate::interface::{Event, Gauges, Outcome, Preemption, RequestId};

/// Maximum number of characters of a command's name that the log shows.
const MAX_COMMAND_NAME: usize = 32;
/// A run of an answered request is assumed to be lost this long after the request's due time.
const RUN_LOST_MARGIN: Duration = Duration::from_secs(60);

impl Core {
    pub(super) fn handle_notice(&mut self, now: Duration, link: LinkId, notice: Notice) {
        match notice {
            Notice::Greeting { cold, uptime } => {
                self.effects.push(Effect::Ready);
                // The decision module starts anew with the agent's first greeting, which states how warm the machine
                // is.
                if !std::mem::replace(&mut self.has_agent_greeted, true)
                    && self.requests.is_empty()
                    && self.drain.is_none()
                {
                    let mut settings = self.module_settings();
                    settings.cold = cold;
                    if let Ok(engine) = DecisionEngine::new(settings, self.seed, now.saturating_sub(uptime)) {
                        self.engine = engine;
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
                for (name, value) in self.site.gauges.iter().zip(figures) {
                    match name.as_str() {
                        "core_use" => gauges.core_use = Some(value),
                        "on_cores" => gauges.on_cores = Some(value),
                        "heap_share" => gauges.memory_use = Some(value),
                        "links" => gauges.connections = Some(value),
                        _ => {}
                    }
                }
                self.gauges = (now, gauges);
                if ticket == self.sample_ticket {
                    self.deliver_timers();
                }
            }
            Notice::Outcome { handle, end, duration, result } => {
                let Some(&id) = self.handles.get(&handle) else { return };
                self.run_ended(now, id, end, duration, result);
            }
            Notice::CallNeeded { handle, cursor, body } => {
                let Some(&id) = self.handles.get(&handle) else { return };
                self.call_needed(now, id, cursor, body);
            }
            Notice::Refusal { command, handle } => {
                self.counters.agent_refusals += 1;
                if self.refusal_lines.admit() {
                    self.log_refusal(&command, handle);
                }
                let Some(&id) = self.handles.get(&handle) else { return };
                // Only the refusal of a launch ends a run, as it proves that none began.
                if command == "launch"
                    && self.requests.get(&id).is_some_and(|request| request.phase == Phase::Running)
                {
                    self.run_ended(now, id, End::Unknown, None, None);
                }
            }
        }
    }

    /// Logs that the agent refused a command, which shows that it received the command twice or altered. The line has
    /// all details that help to identify the command.
    fn log_refusal(&mut self, command: &str, handle: Handle) {
        let request = self.handles.get(&handle).and_then(|id| self.requests.get(id));
        let details = request.map_or("its request is no longer active".to_string(), |request| {
            let class = &self.site.class_names[request.class];
            let digest = keys::digest(class, &request.body);
            format!(
                "class {class}, body of {} bytes, digest {digest:016x}, {:?}",
                request.body.len(),
                request.phase
            )
        });
        let command: String = command.chars().take(MAX_COMMAND_NAME).filter(|c| !c.is_control()).collect();
        self.effects.push(Effect::Log(format!("the agent refused a {command}: {handle}, {details}")));
    }

    /// Logs how many refusals of the agent were not logged since the last sweep. Clients can cause refusals at the rate of
    /// their requests.
    pub(super) fn log_omitted_refusals(&mut self) {
        let omitted = self.refusal_lines.begin_period();
        if omitted > 0 {
            let text = format!("the agent refused {omitted} further commands, which are not logged");
            self.effects.push(Effect::Log(text));
        }
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
            // The rule of one run for each key and window is enforced here too, independently of the decision module.
            let key = request.key.clone();
            let has_run = self.past_runs.contains(now, handle);
            if has_run || key.is_some_and(|key| !self.keys.start_run(&key, id)) {
                return self.bar_second_run(now, id);
            }
            self.counters.launched += 1;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        (request.phase, request.began) = (Phase::Running, now);
        let lost = request.due + RUN_LOST_MARGIN;
        self.arm(lost, Timer::RunLost(id));
        self.send_run_command(id, command);
    }

    /// Fails a request that must not be run, as another run of its id or key may have had its effect.
    fn bar_second_run(&mut self, now: Duration, id: RequestId) {
        self.counters.second_runs_barred += 1;
        self.events.push_back(Event::Finished { id, outcome: Outcome::NotStarted, took: Duration::ZERO });
        self.answer_request(now, id, Verdict::Failed);
        self.remove_request(now, id, None);
    }

    pub(super) fn preempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.phase == Phase::Running)
        else {
            return;
        };
        if self.site.settings.preemption != Preemption::Off {
            // A pause command that replaced a launch or a reply as the pending command would hide its loss. A run
            // that may not have begun is not paused either, as nothing would show whether it was.
            let blocks_pause = |pending: &PendingCommand| {
                pending.must_not_be_lost() || pending.is_unsent() || pending.is_in_doubt()
            };
            let is_blocked = request.pending.as_ref().is_some_and(blocks_pause);
            let command = Command::Freeze { handle: request.handle };
            // A run whose request is answered ends when it is stopped; it is not paused.
            if request.conn.is_none() {
                match is_blocked {
                    true => drop(self.send_command(command)),
                    false => self.send_run_command(id, command),
                }
                return;
            }
            if !is_blocked {
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
        duration: Option<Duration>,
        result: Option<Bytes>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if matches!(request.phase, Phase::Held | Phase::Joined) {
            return; // The request was not launched by this process, so the notice does not concern it.
        }
        let is_orphan = request.is_orphan;
        let outcome = end.outcome();
        let took = duration.unwrap_or(now.saturating_sub(request.began));
        let served = result.filter(|_| outcome == Outcome::Done);
        self.counters.ended(end);
        if outcome.never_ran() {
            request.sent.disprove_launch();
        }
        if let Some(key) = request.key.clone() {
            match outcome.never_ran() {
                true => self.keys.cancel_run(&key, id),
                false => self.keys.end_run(&key, id, served.clone()),
            }
        }
        self.cancel_call(id);
        let verdict = match (&served, end) {
            (Some(result), _) => Verdict::Served(result.clone()),
            // The work was never accepted: the client may try another matcher.
            (None, End::Refused) => Verdict::Refused { retry_after: Duration::ZERO, no_retry: false },
            _ => Verdict::Failed,
        };
        self.answer_request(now, id, verdict);
        if !is_orphan {
            self.events.push_back(Event::Finished { id, outcome, took });
        }
        self.remove_request(now, id, served);
    }

    /// Removes a request, and answers the requests that wait for its result.
    pub(super) fn remove_request(&mut self, now: Duration, id: RequestId, result: Option<Bytes>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.handles.remove(&request.handle);
        if let Some(key) = &request.key {
            self.keys.remove_try(key, id);
            let key = key.clone();
            self.report_resolved_key(&key);
        }
        if request.sent.has_launched() {
            self.past_runs.keep(now, request.handle);
        }
        for waiter in request.waiters {
            self.end_join(now, waiter, result.clone());
        }
    }
}
