//! A new version takes over from the one that runs: two processes that callers take for one.
//!
//! From one step of the old process's reducer on, the new one decides everything. The old one hands it all keys in
//! that step, passes on what still comes to it, and only ends what it had taken itself; each key that was open
//! is settled as soon as its last try is over. So every key has one owner at any time, and no run needs a word of
//! the other process before it begins.

use std::collections::HashMap;
use std::time::Duration;

use super::answer_deadlines::Owner;
use super::keys::WINDOW_MARGIN;
use super::types::*;
use super::{shutdown, Core, SWEEP_INTERVAL};
use crate::interface::{Repeat, RequestId, Settings};

/// Why a new process does not get the keys at once.
const LACKS_KEYS: &str =
    "a new process waits for the keys: the one before it may have run some that are not known here, for their window";

/// What a reducer knows of the other process.
#[derive(Default)]
pub(super) struct PeerState {
    /// Requests here that wait for a run of the old process, by the id that stands for it.
    waiters: HashMap<RequestId, Vec<RequestId>>,
    /// The keys of these runs. The table of keys may forget one before the old process tells of its end.
    open_keys: HashMap<Key, RequestId>,
    /// A new process decides: what comes is passed on to it.
    pub(super) has_taken_over: bool,
    /// The process that decides lives on, but nothing can be passed on to it any more.
    is_unreachable: bool,
    /// The old process has handed all keys over.
    has_all_keys: bool,
    /// Two processes live that may call below: each keeps to half of the server's share.
    pub(super) is_running: bool,
    /// The new process went away: tries that came up to then may repeat what it ran, and nobody here knows of.
    barred_until: Duration,
    /// The next new process asked for the keys while some are missing here that the one before ran.
    successor_waits: bool,
}

impl PeerState {
    /// This process is to take over, and the keys of the one before are not here yet.
    fn awaits_keys(&self) -> bool {
        self.is_running && !self.has_taken_over && !self.has_all_keys
    }

    /// Runs of the old process that it has not told the end of.
    pub(super) fn awaited(&self) -> usize {
        self.waiters.len()
    }
}

impl Core {
    pub(super) fn handle_succession(&mut self, now: Duration, word: Succession) {
        match word {
            Succession::Key(state) => {
                let id = self.new_id();
                if state.open {
                    self.peer.waiters.insert(id, Vec::new());
                    if let Some(before) = self.peer.open_keys.insert(state.key.clone(), id) {
                        self.peer.waiters.remove(&before);
                    }
                }
                let until = self.plausible_end(now, state.until);
                self.keys.import(KeyState { until, ..state }, id);
            }
            Succession::KeysComplete { standby } => {
                self.peer.has_all_keys = true;
                // A drain ends when operators say so, not with a new version.
                self.standby |= standby;
                self.effects.push(Effect::Listen);
            }
            Succession::KeyResolved { key, ran, result } => {
                self.resolve_predecessor_key(now, &key, ran, result)
            }
            // Some keys are missing here, and it runs them: it decides, and this process does not.
            Succession::PredecessorDisconnected if !self.peer.has_all_keys => {
                self.effects.push(Effect::AbortTakeover)
            }
            Succession::PredecessorDisconnected => self.end_waits(now),
            Succession::PredecessorRunning => self.set_call_share_halved(true),
            Succession::PredecessorExited => {
                self.set_call_share_halved(false);
                self.end_waits(now);
                self.effects.push(Effect::PeerExited);
            }
            Succession::HandoverRequested => {
                self.peer.successor_waits = true;
                match self.lacks_keys(now) && self.drain.is_none() {
                    true => self.effects.push(Effect::Log(LACKS_KEYS.into())),
                    false => self.hand_over(),
                }
            }
            Succession::ForwardedAnswer { conn, answer } => {
                if self.deadlines.is_forwarded(conn) {
                    self.send_answer(conn, Answer { close: true, ..answer });
                }
            }
            // Nothing was handed over to it.
            Succession::SuccessorDisconnected | Succession::SuccessorExited if !self.peer.has_taken_over => {
                self.peer.successor_waits = false;
            }
            // It runs keys that nobody here hears of: nothing may begin here until it is gone.
            Succession::SuccessorDisconnected => self.abandon_successor(),
            Succession::SuccessorExited => {
                (self.peer.has_taken_over, self.peer.is_unreachable) = (false, false);
                self.set_call_share_halved(false);
                self.fail_forwarded();
                let windows = self.site.settings.classes.iter().map(|c| c.window);
                self.peer.barred_until = now + windows.max().unwrap_or_default();
                self.effects.push(Effect::PeerExited);
            }
        }
    }

    /// A process that went away may have run keys that are unknown here, and tries of them may come, or be read, yet.
    fn lacks_keys(&self, now: Duration) -> bool {
        let until = self.peer.barred_until;
        !until.is_zero() && now <= until + self.longest_wait()
    }

    /// Hands all keys to a new process, which decides from then on.
    fn hand_over(&mut self) {
        self.peer.successor_waits = false;
        self.peer.has_taken_over = true;
        self.set_call_share_halved(true);
        let awaited = &self.peer.open_keys;
        let is_open = |key: &KeyState| key.open || awaited.contains_key(&key.key);
        let keys =
            self.keys.export().into_iter().map(|key| KeyState { open: is_open(&key), ..key }).collect();
        self.effects.push(Effect::HandOver { keys, standby: self.standby });
    }

    /// Hands over to a process that waits for the keys, once none are missing any more.
    pub(super) fn hand_over_if_awaited(&mut self, now: Duration) {
        if self.peer.successor_waits && !self.lacks_keys(now) {
            self.hand_over();
        }
    }

    /// A process that leaves takes its keys along: one that waits for them has those that are known at least.
    pub(super) fn hand_over_before_drain(&mut self) {
        if self.peer.successor_waits {
            self.hand_over();
        }
    }

    /// The end of a window that the old process told, within what the settings allow. One that is long over was told by
    /// another clock, as the old process does not keep such keys: its key stays taken for as long as it may.
    fn plausible_end(&self, now: Duration, until: Duration) -> Duration {
        let windows = self.site.settings.classes.iter().map(|class| class.window);
        let latest = now + windows.max().unwrap_or_default() + WINDOW_MARGIN;
        let is_stale = until + self.longest_wait() + 2 * SWEEP_INTERVAL < now;
        if is_stale {
            return latest;
        }
        until.min(latest)
    }

    /// The dependency survives the shares of all servers: two processes of one server have one share together.
    fn set_call_share_halved(&mut self, is_halved: bool) {
        if std::mem::replace(&mut self.peer.is_running, is_halved) != is_halved {
            self.engine.retune(self.module_settings(), &[]);
        }
    }

    /// The settings as they hold for this process's module.
    pub(super) fn module_settings(&self) -> Settings {
        let mut settings = shutdown::with_grace_from_reading(self.site.settings.clone());
        settings.call_share *= if self.peer.is_running { 0.5 } else { 1.0 };
        settings
    }

    /// What the old process had open has ended, or ends unheard: the keys stay taken.
    fn end_waits(&mut self, now: Duration) {
        let unheard: Vec<_> = self.peer.open_keys.drain().map(|(key, _)| key).collect();
        let mut waiters: Vec<_> = self.peer.waiters.drain().flat_map(|(_, waiters)| waiters).collect();
        waiters.sort_unstable();
        waiters.into_iter().for_each(|id| self.end_join(now, id, None));
        unheard.iter().for_each(|key| self.report_resolved_key(key));
    }

    /// The process that decides is asked nothing any more; what it was asked gets an answer here.
    pub(super) fn abandon_successor(&mut self) {
        self.peer.is_unreachable = self.peer.has_taken_over;
        self.fail_forwarded();
    }

    /// What was passed on may have run there, and its answer will not come.
    fn fail_forwarded(&mut self) {
        for conn in self.deadlines.forwarded() {
            self.answer(conn, Verdict::Failed);
        }
    }

    /// Passes a request on to the process that decides now.
    pub(super) fn forward(&mut self, now: Duration, request: Request) {
        if self.peer.is_unreachable || self.deadlines.has_ended(now) {
            self.counters.refused += 1;
            let refusal = Verdict::Refused { retry_after: Duration::ZERO, no_retry: false };
            return self.answer(request.conn, refusal);
        }
        let longest = self.site.settings.classes.iter().map(|c| c.give_up).max();
        // A caller may state any start: the other process reads times of 64 bits of microseconds.
        let request = Request { start: request.start.min(now), ..request };
        let due = request.start + request.timeout.or(longest).unwrap_or_default();
        self.deadlines.owe(request.conn, due.max(now), Owner::Successor);
        self.effects.push(Effect::Forward(Box::new(request)));
    }

    /// A request with a key must not be run while a process that went away may have run another try of it.
    /// What counts is when a try came, however late it is read.
    pub(super) fn may_have_run_elsewhere(&self, start: Duration, class: usize, key: Option<&Key>) -> bool {
        let keyed = self.site.settings.classes[class].repeat == Repeat::Deduplicated;
        let is_unknown = key.is_none_or(|k| self.keys.run_of(k).is_none());
        keyed && is_unknown && (start <= self.peer.barred_until || self.peer.awaits_keys())
    }

    /// Has a request wait for a run of the old process; false if that is not one.
    pub(super) fn join_predecessor_run(&mut self, run: RequestId, id: RequestId) -> bool {
        self.peer.waiters.get_mut(&run).map(|waiters| waiters.push(id)).is_some()
    }

    /// The last try of a key has left: the process that decides is told what came of it, unless a process before this one
    /// has yet to tell.
    pub(super) fn report_resolved_key(&mut self, key: &Key) {
        let is_awaited = self.peer.open_keys.contains_key(key);
        if self.peer.has_taken_over && !is_awaited && !self.keys.is_open(key) {
            let (ran, result) = (self.keys.run_of(key).is_some(), self.keys.result(key));
            self.effects.push(Effect::KeyResolved { key: key.clone(), ran, result });
        }
    }

    fn resolve_predecessor_key(&mut self, now: Duration, key: &Key, ran: bool, result: Option<Bytes>) {
        let Some(run) = self.peer.open_keys.remove(key) else { return };
        let Some(waiters) = self.peer.waiters.remove(&run) else { return };
        match ran {
            true => self.keys.end_run(key, run, result.clone()),
            false => self.keys.cancel_run(key, run),
        }
        for id in waiters {
            if !ran {
                // Nothing of this key ever ran: these tries are free to go elsewhere, or to come again.
                self.answer_request(
                    now,
                    id,
                    Verdict::Refused { retry_after: Duration::ZERO, no_retry: false },
                );
            }
            self.end_join(now, id, result.clone());
        }
        // This process may have handed over meanwhile, and the next one awaits the same run.
        self.report_resolved_key(key);
    }
}
