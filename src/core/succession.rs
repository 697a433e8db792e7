//! The handover from a running process to its successor, during which both serve as the same matcher.
//!
//! The predecessor hands over in a single step of its reducer, and from then on the successor makes all decisions. In
//! that step the predecessor sends it all keys, and the handles of requests that may have run. It then forwards the requests that it still receives and completes
//! only those that it had accepted itself. It reports each key that was open as soon as the last try of that key has
//! ended. So every key has exactly one owner at any time, and no run has to wait for a message from the other
//! process.

use std::collections::HashMap;
use std::time::Duration;

use super::answer_deadlines::Owner;
use super::keys::WINDOW_MARGIN;
use super::types::*;
use super::{shutdown, Core, SWEEP_INTERVAL};
use crate::interface::{Repeat, RequestId, Settings};

/// Log line: why a successor does not get the keys at once.
const LACKS_KEYS: &str =
    "a new process has to wait for the keys: until their windows end, an earlier successor may have run keys that are unknown here";

/// The link to a process with which this one shares the matcher's address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum PeerLink {
    /// There is no such process.
    #[default]
    None,
    /// The process can be reached.
    Up,
    /// The process lives on, but can no longer be reached.
    Broken,
}

/// What a reducer knows of its peer process.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerState {
    /// Requests of this process that wait for a run of the predecessor, by the id that stands for that run.
    waiters: HashMap<RequestId, Vec<RequestId>>,
    /// The keys of these runs. The table of keys may forget a key before the predecessor reports the end of its run.
    open_keys: HashMap<Key, RequestId>,
    /// The successor that has taken over: requests that arrive are forwarded to it.
    pub(super) successor: PeerLink,
    /// The predecessor that has handed over.
    pub(super) predecessor: PeerLink,
    /// The predecessor has handed over all keys.
    has_all_keys: bool,
    /// Both processes run: each keeps to half of the matcher's share of calls, and of the memory for results.
    pub(super) is_running: bool,
    /// A successor has ended after it had taken over. Until this time, tries may repeat runs of that process, which are
    /// unknown here.
    may_lack_keys_until: Duration,
    /// Another successor has asked for the keys while runs of the previous successor may still be unknown here.
    successor_waits: bool,
}

impl PeerState {
    /// Whether this process is to take over and the predecessor has not handed over all keys yet.
    fn awaits_keys(&self) -> bool {
        self.is_running && !self.has_taken_over() && !self.has_all_keys
    }

    /// Whether a successor has taken over.
    pub(super) fn has_taken_over(&self) -> bool {
        self.successor != PeerLink::None
    }

    /// Number of the predecessor's runs whose end it has not reported.
    pub(super) fn awaited(&self) -> usize {
        self.waiters.len()
    }
}

impl Core {
    pub(super) fn handle_succession(&mut self, now: Duration, message: Succession) {
        match message {
            Succession::Key(state) => {
                let id = self.new_id();
                if state.open {
                    self.peer.waiters.insert(id, Vec::new());
                    if let Some(previous) = self.peer.open_keys.insert(state.key.clone(), id) {
                        self.peer.waiters.remove(&previous);
                    }
                }
                let until = self.plausible_end(now, state.until);
                self.keys.import(KeyState { until, ..state }, id);
            }
            Succession::PastRun(handle) => {
                let timeouts = self.site.settings.classes.iter().map(|class| class.client_timeout);
                self.past_runs.import(now, handle, timeouts.max().unwrap_or_default());
            }
            Succession::KeysComplete { standby } => {
                self.peer.has_all_keys = true;
                self.peer.predecessor = PeerLink::Up;
                // Only operators end a standby; a new version of the program does not.
                self.standby |= standby;
                self.effects.push(Effect::Listen);
            }
            Succession::StandbyChanged { by, standby } => self.order_standby(standby, Some(by), None),
            Succession::KeyResolved { key, ran, result } => {
                self.resolve_predecessor_key(now, &key, ran, result)
            }
            // The predecessor still owns the keys that are missing here, and continues to serve: this process must not
            // serve.
            Succession::PredecessorDisconnected if !self.peer.has_all_keys => {
                self.effects.push(Effect::AbortTakeover)
            }
            Succession::PredecessorDisconnected => {
                self.peer.predecessor = PeerLink::Broken;
                self.resolve_standby_orders(Peer::Predecessor, false);
                self.end_joins_with_predecessor(now);
            }
            Succession::PredecessorRunning => self.set_shares_limits(true),
            Succession::PredecessorExited => {
                self.peer.predecessor = PeerLink::None;
                self.resolve_standby_orders(Peer::Predecessor, true);
                self.set_shares_limits(false);
                self.end_joins_with_predecessor(now);
                self.effects.push(Effect::PeerExited);
            }
            Succession::HandoverRequested => {
                self.peer.successor_waits = true;
                match self.may_lack_keys(now) && self.drain.is_none() {
                    true => self.effects.push(Effect::Log(LACKS_KEYS.into())),
                    false => self.hand_over(now),
                }
            }
            Succession::ForwardedAnswer { conn, answer } => {
                if self.deadlines.is_forwarded(conn) {
                    self.send_answer(conn, Answer { close: true, ..answer });
                }
            }
            // Nothing was handed over to this successor.
            Succession::SuccessorDisconnected | Succession::SuccessorExited
                if !self.peer.has_taken_over() =>
            {
                self.peer.successor_waits = false;
            }
            // The successor runs keys without this process being notified: no run may begin here until it has ended.
            Succession::SuccessorDisconnected => {
                self.abandon_successor();
                self.resolve_standby_orders(Peer::Successor, false);
            }
            Succession::SuccessorExited => {
                self.peer.successor = PeerLink::None;
                self.resolve_standby_orders(Peer::Successor, true);
                self.set_shares_limits(false);
                self.fail_forwarded();
                let windows = self.site.settings.classes.iter().map(|c| c.window);
                self.peer.may_lack_keys_until = now + windows.max().unwrap_or_default();
                self.effects.push(Effect::PeerExited);
            }
        }
    }

    /// Whether a successor that ended may have run keys that are unknown here and of which tries may still arrive or
    /// be read.
    fn may_lack_keys(&self, now: Duration) -> bool {
        let until = self.peer.may_lack_keys_until;
        !until.is_zero() && now <= until + self.longest_wait()
    }

    /// Hands all keys over to the successor, which makes all decisions from then on.
    fn hand_over(&mut self, now: Duration) {
        self.peer.successor_waits = false;
        self.peer.successor = PeerLink::Up;
        self.set_shares_limits(true);
        let predecessor_keys = &self.peer.open_keys;
        let is_open = |key: &KeyState| key.open || predecessor_keys.contains_key(&key.key);
        let keys =
            self.keys.export().into_iter().map(|key| KeyState { open: is_open(&key), ..key }).collect();
        let mut active: Vec<_> = self.handles.keys().copied().collect();
        active.sort_unstable();
        let past_runs = self.past_runs.export(now).chain(active).collect();
        self.effects.push(Effect::HandOver { keys, past_runs, standby: self.standby });
    }

    /// Hands over to a successor that waits for the keys, once none can be missing any more.
    pub(super) fn hand_over_if_awaited(&mut self, now: Duration) {
        if self.peer.successor_waits && !self.may_lack_keys(now) {
            self.hand_over(now);
        }
    }

    /// Hands over to a successor that waits for the keys before this process drains. Keys may still be missing, but
    /// the known ones would be lost otherwise.
    pub(super) fn hand_over_before_drain(&mut self, now: Duration) {
        if self.peer.successor_waits {
            self.hand_over(now);
        }
    }

    /// Limits the end of a window, as reported by the predecessor, to what the settings allow. If it is long past, it
    /// was measured by a different clock, as the predecessor does not keep such keys; its key is then kept for the
    /// longest possible window.
    fn plausible_end(&self, now: Duration, until: Duration) -> Duration {
        let windows = self.site.settings.classes.iter().map(|class| class.window);
        let latest = now + windows.max().unwrap_or_default() + WINDOW_MARGIN;
        let is_implausible = until + self.longest_wait() + 2 * SWEEP_INTERVAL < now;
        if is_implausible {
            return latest;
        }
        until.min(latest)
    }

    /// Sets whether another process of the matcher runs, so that this one keeps to half of what the matcher may have.
    /// The dependency can bear the shares of all matchers, so two processes of one matcher must divide its share; and
    /// they divide the memory for results.
    fn set_shares_limits(&mut self, is_shared: bool) {
        if std::mem::replace(&mut self.peer.is_running, is_shared) != is_shared {
            self.engine.reconfigure(self.module_settings(), &[]);
            self.keys.set_shares_results(is_shared);
        }
    }

    /// The settings for the decision module of this process.
    pub(super) fn module_settings(&self) -> Settings {
        let mut settings = shutdown::with_grace_from_reading(self.site.settings.clone());
        settings.call_share *= if self.peer.is_running { 0.5 } else { 1.0 };
        settings.repeats_unanswered_calls = self.has_dedicated_call_connections;
        settings
    }

    /// Fails the requests that wait for runs of the predecessor, whose results will not be reported. The keys of
    /// these runs may not run again.
    fn end_joins_with_predecessor(&mut self, now: Duration) {
        let unreported: Vec<_> = self.peer.open_keys.drain().map(|(key, _)| key).collect();
        let mut waiters: Vec<_> = self.peer.waiters.drain().flat_map(|(_, waiters)| waiters).collect();
        waiters.sort_unstable();
        waiters.into_iter().for_each(|id| self.end_join(now, id, None));
        unreported.iter().for_each(|key| self.report_resolved_key(key));
    }

    /// Stops forwarding to the successor. Requests that were forwarded to it are failed here.
    fn abandon_successor(&mut self) {
        self.peer.successor = PeerLink::Broken;
        self.fail_forwarded();
    }

    /// Fails all forwarded requests: they may have run in the successor, and its answers will not arrive.
    fn fail_forwarded(&mut self) {
        for conn in self.deadlines.forwarded() {
            self.answer(conn, Verdict::Failed);
        }
    }

    /// Forwards a request to the successor.
    pub(super) fn forward(&mut self, now: Duration, request: Request) {
        if self.peer.successor == PeerLink::Broken || self.deadlines.has_ended(now) {
            self.counters.refused += 1;
            let refusal = Verdict::Refused { retry_after: Duration::ZERO, no_retry: false };
            return self.answer(request.conn, refusal);
        }
        let longest = self.site.settings.classes.iter().map(|c| c.client_timeout).max();
        // A client may state any start, but the successor reads times as microseconds in 64 bits.
        let request = Request { start: request.start.min(now), ..request };
        let due = request.start + request.timeout.or(longest).unwrap_or_default();
        self.deadlines.owe(request.conn, due.max(now), Owner::Successor);
        self.effects.push(Effect::Forward(Box::new(request)));
    }

    /// Whether another process, which has ended or has not handed over yet, may have run another try of the request,
    /// so that it must not be run here. What counts is when the try arrived, however late it is read.
    pub(super) fn may_have_run_elsewhere(&self, start: Duration, class: usize, key: Option<&Key>) -> bool {
        let keyed = self.site.settings.classes[class].repeat == Repeat::Deduplicated;
        let is_unknown = key.is_none_or(|k| self.keys.run_of(k).is_none());
        keyed && is_unknown && (start <= self.peer.may_lack_keys_until || self.peer.awaits_keys())
    }

    /// Makes a request wait for a run of the predecessor; returns false if `run` does not stand for such a run.
    pub(super) fn join_predecessor_run(&mut self, run: RequestId, id: RequestId) -> bool {
        self.peer.waiters.get_mut(&run).map(|waiters| waiters.push(id)).is_some()
    }

    /// Reports to the successor what became of a key whose last try has ended, unless this process itself still waits
    /// for its predecessor to report that key.
    pub(super) fn report_resolved_key(&mut self, key: &Key) {
        let is_awaited = self.peer.open_keys.contains_key(key);
        if self.peer.has_taken_over() && !is_awaited && !self.keys.is_open(key) {
            let (ran, result) = (self.keys.run_of(key).is_some(), self.keys.result(key));
            self.effects.push(Effect::KeyResolved { key: key.clone(), ran, result });
        }
    }

    /// Handles the predecessor's report of what became of a key.
    fn resolve_predecessor_key(&mut self, now: Duration, key: &Key, ran: bool, result: Option<Bytes>) {
        let Some(run) = self.peer.open_keys.remove(key) else { return };
        let Some(waiters) = self.peer.waiters.remove(&run) else { return };
        match ran {
            true => self.keys.end_run(key, run, result.clone()),
            false => self.keys.cancel_run(key, run),
        }
        for id in waiters {
            if !ran {
                // No try of this key was ever run: the clients may send these tries again, here or elsewhere.
                self.answer_request(
                    now,
                    id,
                    Verdict::Refused { retry_after: Duration::ZERO, no_retry: false },
                );
            }
            self.end_join(now, id, result.clone());
        }
        // This process may have handed over in the meantime, and its successor waits for the same run.
        self.report_resolved_key(key);
    }
}
