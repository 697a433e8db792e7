//! The leader's part: [`Leader`] grants leases and brings the open activation of the record to its end. It keeps no
//! state that a new leader would need: a new leader starts from the record, and waits until the leases that it cannot
//! know of have ended.

use std::time::Duration;

use super::lease::{GrantedLease, LeaseTable};
use super::record::{AbortReason, Entry, OpenActivation, Stage, Stamp, State};
use super::{
    Activation, LeaseReply, LeaseRequest, MemberIncarnation, Pending, Refusal, TimeWindow, Timing, Turn,
};

/// The time after which an entry that the record has not applied is proposed again.
const PROPOSE_INTERVAL: Duration = Duration::from_millis(500);

/// A member without a reply for the time of so many requests gets no lease: it receives nothing, and a lease that it
/// does not know of would only delay the activation for all others.
const MAX_UNANSWERED: u32 = 5;

/// An event that the leader processes.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub enum Input {
    /// This process leads, and its record is applied up to an entry of this term. The window is where the clock of
    /// its own member, which is the fleet's time from now on, has the moment of the committed activation; `None` if
    /// unknown.
    Elected { term: u64, window: Option<(Turn, TimeWindow)> },
    /// A majority of the voters answered what was sent to them at `sent`.
    Confirmed { sent: Duration },
    /// This process no longer leads.
    Deposed,
    /// A member requests a lease.
    Ask(LeaseRequest),
    /// Time has passed, or the record has changed.
    Tick,
}

/// An action that a step requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send this reply to the member that sent the request.
    Reply(MemberIncarnation, LeaseReply),
    /// Make this member send a lease request at once.
    Nudge(MemberIncarnation),
    /// Append this entry to the log.
    Propose(Entry),
}

/// What the leader knows of the open activation.
#[derive(Clone, Debug)]
struct Progress {
    turn: Turn,
    began: Duration,
    committed: bool,
    refused: Option<(MemberIncarnation, Refusal)>,
    /// The commit or abort that was proposed, and when it was last proposed.
    proposed: Option<(Entry, Duration)>,
    done_proposed: Option<Duration>,
}

/// The state of one term in which this process leads.
#[derive(Clone, Debug)]
struct Leadership {
    term: u64,
    elected: Duration,
    confirmed: Duration,
    leases: LeaseTable,
    window: Option<(Turn, TimeWindow)>,
    progress: Option<Progress>,
}

/// The leader's part of one process, which may lead or not.
#[derive(Clone, Debug)]
pub struct Leader {
    timing: Timing,
    leadership: Option<Leadership>,
}

impl Leader {
    /// Creates a part that does not lead.
    pub fn new(timing: Timing) -> Self {
        Self { timing, leadership: None }
    }

    /// Returns what it knows of the lease of each incarnation; nothing if it does not lead.
    pub fn granted_leases(&self) -> impl Iterator<Item = (&MemberIncarnation, &GrantedLease)> {
        self.leadership.iter().flat_map(|leadership| leadership.leases.iter())
    }

    /// Processes an event at `now` on this process's monotonic clock, with the record as it is applied here.
    pub fn step(&mut self, now: Duration, state: &State, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match &input {
            Input::Elected { term, window } => {
                let (term, window) = (*term, *window);
                // No lease is granted before a majority confirmed: this step may come long after the election.
                let (elected, confirmed) = (now, Duration::ZERO);
                self.leadership = Some(Leadership {
                    term,
                    elected,
                    confirmed,
                    leases: LeaseTable::default(),
                    window,
                    progress: None,
                });
            }
            Input::Deposed => self.leadership = None,
            _ => {}
        }
        // The record holds a commit of a later term, so this term has ended, whether or not it was deposed yet.
        let is_later = |term| matches!(state.open_activation().map(|r| r.stage), Some(Stage::Committed(s)) if s.term > term);
        self.leadership = self.leadership.take().filter(|leadership| !is_later(leadership.term));
        let timing = self.timing;
        let Some(leadership) = &mut self.leadership else { return effects };
        if let Input::Confirmed { sent } = &input {
            leadership.confirmed = leadership.confirmed.max(*sent);
        }
        leadership.advance(now, timing, state, &mut effects);
        if let Input::Ask(request) = input {
            leadership.answer_request(now, timing, state, request, &mut effects);
            leadership.advance(now, timing, state, &mut effects);
        }
        effects
    }
}

impl Leadership {
    /// Returns when every lease of an earlier leader has ended and every moment that it recorded is past.
    fn predecessors_end(&self, timing: Timing) -> Duration {
        self.elected + timing.wait_out()
    }

    /// Returns a window on this leader's clock that contains the moment of a committed activation. If the moment is not
    /// known, the window reaches from zero to the time at which it is certainly past.
    fn moment(&self, timing: Timing, turn: Turn, stamp: Stamp) -> TimeWindow {
        if stamp.term == self.term {
            return TimeWindow { low: stamp.at, high: stamp.at };
        }
        let known = self.window.filter(|(t, _)| *t == turn).map(|(_, w)| w);
        known.unwrap_or(TimeWindow { low: Duration::ZERO, high: self.predecessors_end(timing) })
    }

    /// Returns the moment beyond which no lease may last whose holder has not acknowledged the commit: the recorded
    /// moment, or a proposed one.
    fn barrier(&self, timing: Timing, open: Option<&OpenActivation>) -> Option<(Turn, TimeWindow)> {
        let open = open?;
        let turn = open.activation.fence.turn;
        if let Stage::Committed(stamp) = open.stage {
            return Some((turn, self.moment(timing, turn, stamp)));
        }
        let progress = self.progress.as_ref().filter(|p| p.turn == turn)?;
        match &progress.proposed {
            Some((Entry::Commit { at, .. }, _)) => Some((turn, TimeWindow { low: at.at, high: at.at })),
            _ => None,
        }
    }

    fn advance(&mut self, now: Duration, timing: Timing, state: &State, effects: &mut Vec<Effect>) {
        self.leases.remove_expired(now, timing.deadline * 4);
        let Some(open) = state.open_activation() else { return self.progress = None };
        let turn = open.activation.fence.turn;
        let committed = open.stage != Stage::Preparing;
        let new = self.progress.as_ref().is_none_or(|p| p.turn != turn);
        if new {
            let (refused, proposed, done_proposed) = (None, None, None);
            self.progress = Some(Progress { turn, began: now, committed, refused, proposed, done_proposed });
        }
        let predecessors_end = self.predecessors_end(timing);
        let barrier = self.barrier(timing, Some(open));
        let Some(progress) = &mut self.progress else { return };
        if new || committed != progress.committed {
            progress.committed = committed;
            effects.extend(self.leases.iter().map(|(member, _)| Effect::Nudge(member.clone())));
        }
        if committed {
            let past = barrier.is_some_and(|(_, moment)| now >= moment.high);
            if past && progress.done_proposed.is_none_or(|at| now >= at + PROPOSE_INTERVAL) {
                progress.done_proposed = Some(now);
                effects.push(Effect::Propose(Entry::Done { turn }));
            }
            return;
        }
        if let Some((entry, at)) = &mut progress.proposed {
            // After a commit was proposed nothing else is proposed: the commit may be in the log already.
            if now >= *at + PROPOSE_INTERVAL {
                *at = now;
                effects.push(Effect::Propose(entry.clone()));
            }
            return;
        }
        let entry = if let Some((member, refusal)) = progress.refused.take() {
            Entry::Abort { turn, why: AbortReason::Refused(member, refusal) }
        } else {
            // Leases that an earlier leader granted are not in this table.
            if now + timing.lead < predecessors_end {
                return;
            }
            let prepared = |g: &GrantedLease| g.prepared == Some(turn);
            let ends = self.leases.iter().filter(|(_, g)| prepared(g)).map(|(_, g)| g.end);
            let at = ends.chain([now + timing.lead, predecessors_end]).max().unwrap_or(predecessors_end);
            let is_overdue = now >= progress.began + timing.deadline;
            let is_silent = |g: &GrantedLease| !prepared(g) && g.end > if is_overdue { at } else { now };
            match self.leases.iter().find(|(_, g)| is_silent(g)) {
                None if self.leases.iter().any(|(_, g)| prepared(g)) => {
                    Entry::Commit { turn, at: Stamp { term: self.term, at } }
                }
                Some((member, _)) if is_overdue => {
                    Entry::Abort { turn, why: AbortReason::Silent(member.clone()) }
                }
                _ => return,
            }
        };
        progress.proposed = Some((entry.clone(), now));
        effects.push(Effect::Propose(entry));
    }

    fn answer_request(
        &mut self,
        now: Duration,
        timing: Timing,
        state: &State,
        request: LeaseRequest,
        effects: &mut Vec<Effect>,
    ) {
        let open = state.open_activation();
        let barrier = self.barrier(timing, open);
        let Some(granted) = self.leases.entry(&request.member) else { return };
        if request.number <= granted.number {
            return;
        }
        if granted.number == 0 || request.last_reply > granted.last_reply.0 {
            granted.last_reply = (request.last_reply, now);
        }
        granted.number = request.number;
        granted.acknowledged = request.acknowledged;
        granted.prepared = None;
        let turn = open.map(|r| r.activation.fence.turn);
        if let Some((answered, answer)) = request.answer.filter(|(answered, _)| Some(*answered) == turn) {
            match (answer, &mut self.progress) {
                (Ok(_), _) => granted.prepared = Some(answered),
                (Err(refusal), Some(progress)) => {
                    progress.refused = Some((request.member.clone(), refusal.truncated()))
                }
                _ => {}
            }
        }
        let mut length = timing.lease.min((self.confirmed + timing.lease).saturating_sub(now));
        if now >= granted.last_reply.1 + timing.ask * MAX_UNANSWERED {
            length = Duration::ZERO;
        }
        let (mut active, mut pending): (Option<Activation>, _) = (state.active(), None);
        match (open, barrier) {
            (Some(open), Some((turn, moment))) => {
                let committed = open.stage != Stage::Preparing;
                if committed && now >= moment.high {
                    active = Some(open.activation);
                } else {
                    if granted.acknowledged != Some(turn) || !committed {
                        length = length.min(moment.low.saturating_sub(now));
                    }
                    let known = moment.low > Duration::ZERO;
                    pending = (committed && known).then_some(Pending::Commit(open.activation, moment));
                }
            }
            (Some(open), None) => {
                pending = Some(Pending::Prepare(open.activation));
                let began = self.progress.as_ref().map_or(now, |p| p.began);
                if granted.prepared.is_some() {
                    length = length.min(timing.lead);
                } else if granted.end <= began || granted.number == 1 {
                    // A member that joins during a prepare does not delay it.
                    length = length.min((began + timing.deadline + timing.lead).saturating_sub(now));
                }
            }
            _ => {}
        }
        granted.end = granted.end.max(now + length);
        let reply =
            LeaseReply { number: request.number, term: self.term, time: now, lease: length, active, pending };
        effects.push(Effect::Reply(request.member, reply));
    }
}
