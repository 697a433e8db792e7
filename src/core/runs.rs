//! Runs at the agent: how they begin, what its notices say of them, and what a broken link leaves in doubt.

use std::cmp::Reverse;
use std::time::Duration;

use super::types::*;
use super::{Core, End, Phase, Timer};
use crate::brain::Brain;
use crate::interface::{Event, Gauges, Outcome, Preemption, Repeat, RequestId};

/// This long after its due time a run of an answered request is taken to be lost.
const RUN_LOST: Duration = Duration::from_secs(60);
/// A break of the agent's link loses what was said in its last 50 ms, and is noticed a little late. A launch before
/// that did arrive: there is nothing to be gained by repeating it, and a run of it could end at any moment.
const LOST_WITHIN: Duration = Duration::from_millis(200);

impl Core {
    pub(super) fn agent(&mut self, now: Duration, notice: Notice) {
        match notice {
            Notice::Greeting { cold, lasted } => {
                self.link_up = true;
                self.effects.push(Effect::Ready);
                // The module's life begins with the agent's: it is told then how warm the machine is.
                if !std::mem::replace(&mut self.greeted, true) && self.live.is_empty() && self.drain.is_none()
                {
                    let mut settings = self.module_settings();
                    settings.cold = cold;
                    if let Ok(brain) = Brain::new(settings, self.seed, now.saturating_sub(lasted)) {
                        self.brain = brain;
                        self.tell_ways();
                        self.waiting_ticks.clear();
                        self.timers.retain(|Reverse((_, t))| !matches!(t, Timer::Module(_)));
                    }
                }
                // Everything told since the last link comes before the answer to this.
                self.ask_for_sync();
            }
            Notice::Lost(_) => {
                (self.link_up, self.lost_at) = (false, now);
                self.counters.links_lost += 1;
                // What is said from now on waits for the next link, and is not in doubt.
                self.live.values_mut().for_each(|l| (l.doubtful, l.tested) = (l.unheard.is_some(), false));
            }
            // An earlier one proves nothing of what was said since: it may come late, over a link that broke at once.
            Notice::Synced(number) if number == self.sync => self.say_again(now),
            Notice::Synced(_) => {}
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
                if ticket == self.ticket {
                    self.tick();
                }
            }
            Notice::Outcome { handle, end, lasted, result } => {
                let Some(&id) = self.handles.get(&handle) else { return };
                if end == End::Cancelled && self.goes_on(id) {
                    return;
                }
                self.run_ended(now, id, end, lasted, result);
            }
            Notice::CallNeeded { handle, cursor, body } => {
                let Some(&id) = self.handles.get(&handle) else { return };
                let Some(live) = self.live.get_mut(&id) else { return };
                (live.unheard, live.doubtful, live.tested) = (None, false, false);
                live.phase = Phase::AtCall;
                live.call = (cursor, body, live.call.2);
                self.allow(id);
                self.events.push_back(Event::CallNeeded { id });
            }
            Notice::Refusal { command, handle } => {
                self.counters.agent_refusals += 1;
                let Some(&id) = self.handles.get(&handle) else { return };
                // Only a refused launch ends a run: it proves that none began.
                if command == "launch" && self.live.get(&id).is_some_and(|l| l.phase == Phase::Running) {
                    self.run_ended(now, id, End::Unknown, None, None);
                }
            }
        }
    }

    pub(super) fn start(&mut self, now: Duration, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let handle = live.handle;
        let command = match live.phase {
            Phase::Held => {
                let patience = live.due.saturating_sub(now);
                let class = self.site.class_names[live.class].as_str().into();
                Command::Launch { handle, class, arg: live.body.clone(), patience }
            }
            Phase::Paused => Command::Thaw { handle },
            _ => return,
        };
        if live.phase == Phase::Held {
            if let Some(key) = live.key.clone() {
                // The rule is kept here too, whatever the module thinks: one run for a key and its window.
                if !self.keys.start(&key, id) {
                    self.counters.second_runs_barred += 1;
                    self.events.push_back(Event::Finished {
                        id,
                        outcome: Outcome::Moot,
                        took: Duration::ZERO,
                    });
                    self.settle(now, id, Verdict::Failed);
                    return self.remove(now, id, None);
                }
            }
            self.counters.launched += 1;
        }
        let Some(live) = self.live.get_mut(&id) else { return };
        (live.phase, live.began) = (Phase::Running, now);
        (live.unheard, live.doubtful) = (Some(command.clone()), false);
        let lost = live.due + RUN_LOST;
        self.arm(lost, Timer::RunLost(id));
        self.effects.push(Effect::Agent(command));
    }

    pub(super) fn preempt(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id).filter(|l| l.phase == Phase::Running) else { return };
        if self.site.settings.preemption != Preemption::Off {
            let command = Command::Freeze { handle: live.handle };
            // An answered run that is stopped ends, and is not paused.
            if live.conn.is_some() {
                live.phase = Phase::Paused;
                (live.unheard, live.doubtful) = (Some(command.clone()), false);
            }
            self.effects.push(Effect::Agent(command));
        }
    }

    /// After a link broke, nobody knows which of the last commands arrived. Repeating them does no harm to
    /// what may run again. Others are repeated only with proof that they were not heard: a launch of what must not
    /// run twice, whose run may have ended just now, unseen; and a reply, which names no call: the run may have gone
    /// on to its next one just now, and would take it for that one's. No notice up to here shows either; so the run
    /// is told to pause, and once everything up to the second [`Notice::Synced`] was told, either it ended or called,
    /// or it goes on, or it heard nothing, and the command is repeated or does nothing. Where runs cannot be paused
    /// there is no proof, and the caller gets a failure.
    fn say_again(&mut self, now: Duration) {
        let (mut again, mut over) = (Vec::new(), Vec::new());
        let pauses = self.site.settings.preemption == Preemption::Pause;
        for (id, live) in self.live.iter_mut().filter(|(_, l)| l.doubtful) {
            let runs_once = self.site.settings.classes[live.class].repeat != Repeat::Idempotent;
            let launch_once = runs_once && matches!(live.unheard, Some(Command::Launch { .. }));
            let reply = matches!(live.unheard, Some(Command::Deliver { .. }));
            if launch_once && live.conn.is_none() {
                over.push(*id);
            } else if (launch_once || reply) && !live.tested {
                let may_be_lost = reply || self.lost_at.saturating_sub(live.began) <= LOST_WITHIN;
                live.tested = pauses && may_be_lost;
                again.extend(live.tested.then_some((*id, Command::Freeze { handle: live.handle })));
            } else {
                self.counters.launches_repeated += u64::from(live.tested && launch_once);
                (live.doubtful, live.tested) = (false, false);
                again.extend(live.unheard.clone().map(|command| (*id, command)));
            }
        }
        again.sort_by_key(|(id, _)| *id);
        let tests = self.live.values().any(|l| l.tested);
        self.effects.extend(again.into_iter().map(|(_, command)| Effect::Agent(command)));
        if tests {
            self.ask_for_sync();
        }
        // Answered, and perhaps never begun: no notice would ever free the slot. The key stays taken.
        over.sort_unstable();
        over.into_iter().for_each(|id| self.run_ended(now, id, End::Broken, None, None));
    }

    /// Asks for a mark in the notices, behind all that the agent tells before it reads this.
    fn ask_for_sync(&mut self) {
        self.sync += 1;
        self.effects.push(Effect::Agent(Command::Sync(self.sync)));
    }

    /// A run that paused as a test of whether it had begun goes on.
    fn goes_on(&mut self, id: RequestId) -> bool {
        let Some(live) = self.live.get_mut(&id).filter(|l| l.tested && l.conn.is_some()) else {
            return false;
        };
        let command = Command::Thaw { handle: live.handle };
        (live.unheard, live.doubtful, live.tested) = (Some(command.clone()), false, false);
        self.counters.launches_found += 1;
        self.effects.push(Effect::Agent(command));
        true
    }

    pub(super) fn run_ended(
        &mut self,
        now: Duration,
        id: RequestId,
        end: End,
        lasted: Option<Duration>,
        result: Option<Bytes>,
    ) {
        let Some(live) = self.live.get_mut(&id) else { return };
        if matches!(live.phase, Phase::Held | Phase::Joined) {
            return; // Not running as far as we know: nothing of ours ended.
        }
        let outcome = end.outcome();
        let took = lasted.unwrap_or(now.saturating_sub(live.began));
        let served = result.filter(|_| outcome == Outcome::Done);
        self.counters.ended(end);
        if let Some(key) = live.key.clone() {
            match outcome.never_ran() {
                true => self.keys.never_ran(&key, id),
                false => self.keys.ended(&key, id, served.clone()),
            }
        }
        self.give_up_call(id);
        let verdict = match (&served, end) {
            (Some(result), _) => Verdict::Served(result.clone()),
            // Nobody took the work: the caller may try elsewhere.
            (None, End::Refused) => Verdict::Refused { retry_after: Duration::ZERO, no_retry: false },
            _ => Verdict::Failed,
        };
        self.settle(now, id, verdict);
        self.events.push_back(Event::Finished { id, outcome, took });
        self.remove(now, id, served);
    }

    /// Takes a request out, and answers those that waited for its result.
    pub(super) fn remove(&mut self, now: Duration, id: RequestId, result: Option<Bytes>) {
        let Some(live) = self.live.remove(&id) else { return };
        self.handles.remove(&live.handle);
        if let Some(key) = &live.key {
            self.keys.left(key, id);
            let key = key.clone();
            self.settle_key(&key);
        }
        for waiter in live.waiters {
            self.end_join(now, waiter, result.clone());
        }
    }
}
