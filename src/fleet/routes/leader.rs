//! The leader's part: it grants leases, and brings what the record holds to its end. It keeps nothing that a new leader
//! would miss: that one starts from the record, and waits out what it cannot know.

use std::time::Duration;

use super::lease::{GrantedLease, LeaseTable};
use super::record::{AbortReason, Entry, OpenActivation, Stage, Stamp, State};
use super::{
    Activation, LeaseReply, LeaseRequest, MemberIncarnation, Pending, Refusal, TimeWindow, Timing, Turn,
};

/// An entry that the record did not take is proposed again after this long.
const AGAIN: Duration = Duration::from_millis(500);

/// So many asks of a member that had no reply, by their time: it hears nothing, and a lease that it does not know of would
/// only keep the others from going on.
const DEAF_ASKS: u32 = 5;

/// What happens to a leader.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub enum Input {
    /// It leads, and the record is applied up to an entry of this term. The window is where its own member's clock, which
    /// is the fleet's time from now on, has the moment of the committed run; nothing if it does not know.
    Elected { term: u64, window: Option<(Turn, TimeWindow)> },
    /// A majority of the voters answered what was sent to them at `sent`.
    Confirmed { sent: Duration },
    /// It leads no more.
    Deposed,
    /// A member asks.
    Ask(LeaseRequest),
    /// Time passed, or the record moved.
    Tick,
}

/// What a step asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send this to the member that asked.
    Reply(MemberIncarnation, LeaseReply),
    /// Tell a member to ask at once.
    Nudge(MemberIncarnation),
    /// Put this into the log.
    Propose(Entry),
}

/// What it knows of the activation on its way.
#[derive(Clone, Debug)]
struct Watch {
    turn: Turn,
    began: Duration,
    committed: bool,
    refused: Option<(MemberIncarnation, Refusal)>,
    /// Its commit, or abort, and when it was last proposed.
    proposed: Option<(Entry, Duration)>,
    done: Option<Duration>,
}

#[derive(Clone, Debug)]
struct On {
    term: u64,
    elected: Duration,
    confirmed: Duration,
    book: LeaseTable,
    window: Option<(Turn, TimeWindow)>,
    watch: Option<Watch>,
}

/// One member as the leader, or as none.
#[derive(Clone, Debug)]
pub struct Leader {
    pace: Timing,
    on: Option<On>,
}

impl Leader {
    /// It does not lead.
    pub fn new(pace: Timing) -> Self {
        Self { pace, on: None }
    }

    /// What it knows of the leases of each life; nothing where it does not lead.
    pub fn granted_leases(&self) -> impl Iterator<Item = (&MemberIncarnation, &GrantedLease)> {
        self.on.iter().flat_map(|on| on.book.iter())
    }

    /// Takes what happened at `now` on this process's monotonic clock, with the record as it is applied here.
    pub fn step(&mut self, now: Duration, state: &State, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match &input {
            Input::Elected { term, window } => {
                let (term, window) = (*term, *window);
                // Nothing is granted before a majority confirmed: the step may come long after the election.
                let (elected, confirmed) = (now, Duration::ZERO);
                self.on =
                    Some(On { term, elected, confirmed, book: LeaseTable::default(), window, watch: None });
            }
            Input::Deposed => self.on = None,
            _ => {}
        }
        // The record shows a moment of a later term: this one is over, whoever has yet to say so.
        let later = |term| matches!(state.open_activation().map(|r| r.stage), Some(Stage::Committed(s)) if s.term > term);
        self.on = self.on.take().filter(|on| !later(on.term));
        let pace = self.pace;
        let Some(on) = &mut self.on else { return effects };
        if let Input::Confirmed { sent } = &input {
            on.confirmed = on.confirmed.max(*sent);
        }
        on.drive(now, pace, state, &mut effects);
        if let Input::Ask(ask) = input {
            on.ask(now, pace, state, ask, &mut effects);
            on.drive(now, pace, state, &mut effects);
        }
        effects
    }
}

impl On {
    /// Every lease of an earlier leader, and every moment that it recorded, is past from here on.
    fn floor(&self, pace: Timing) -> Duration {
        self.elected + pace.wait_out()
    }

    /// Where the moment of a committed run is on the own clock; `None` while that is not known and not surely past.
    fn moment(&self, pace: Timing, turn: Turn, stamp: Stamp) -> TimeWindow {
        if stamp.term == self.term {
            return TimeWindow { low: stamp.at, high: stamp.at };
        }
        let known = self.window.filter(|(t, _)| *t == turn).map(|(_, w)| w);
        known.unwrap_or(TimeWindow { low: Duration::ZERO, high: self.floor(pace) })
    }

    /// From where on no lease may reach whose holder has not acknowledged: the recorded moment, or a proposed one.
    fn barrier(&self, pace: Timing, run: Option<&OpenActivation>) -> Option<(Turn, TimeWindow)> {
        let run = run?;
        let turn = run.activation.fence.turn;
        if let Stage::Committed(stamp) = run.stage {
            return Some((turn, self.moment(pace, turn, stamp)));
        }
        let watch = self.watch.as_ref().filter(|w| w.turn == turn)?;
        match &watch.proposed {
            Some((Entry::Commit { at, .. }, _)) => Some((turn, TimeWindow { low: at.at, high: at.at })),
            _ => None,
        }
    }

    fn drive(&mut self, now: Duration, pace: Timing, state: &State, effects: &mut Vec<Effect>) {
        self.book.remove_expired(now, pace.deadline * 4);
        let Some(run) = state.open_activation() else { return self.watch = None };
        let turn = run.activation.fence.turn;
        let committed = run.stage != Stage::Preparing;
        let new = self.watch.as_ref().is_none_or(|w| w.turn != turn);
        if new {
            let (refused, proposed, done) = (None, None, None);
            self.watch = Some(Watch { turn, began: now, committed, refused, proposed, done });
        }
        let floor = self.floor(pace);
        let barrier = self.barrier(pace, Some(run));
        let Some(watch) = &mut self.watch else { return };
        if new || committed != watch.committed {
            watch.committed = committed;
            effects.extend(self.book.iter().map(|(life, _)| Effect::Nudge(life.clone())));
        }
        if committed {
            let past = barrier.is_some_and(|(_, moment)| now >= moment.high);
            if past && watch.done.is_none_or(|at| now >= at + AGAIN) {
                watch.done = Some(now);
                effects.push(Effect::Propose(Entry::Done { turn }));
            }
            return;
        }
        if let Some((entry, at)) = &mut watch.proposed {
            // Once a commit was proposed nothing else is: it may be in the log already.
            if now >= *at + AGAIN {
                *at = now;
                effects.push(Effect::Propose(entry.clone()));
            }
            return;
        }
        let entry = if let Some((life, refusal)) = watch.refused.take() {
            Entry::Abort { turn, why: AbortReason::Refused(life, refusal) }
        } else {
            // Leases that an earlier leader granted are not in the book.
            if now + pace.lead < floor {
                return;
            }
            let prepared = |g: &GrantedLease| g.prepared == Some(turn);
            let ends = self.book.iter().filter(|(_, g)| prepared(g)).map(|(_, g)| g.end);
            let at = ends.chain([now + pace.lead, floor]).max().unwrap_or(floor);
            let over = now >= watch.began + pace.deadline;
            let silent = |g: &GrantedLease| !prepared(g) && g.end > if over { at } else { now };
            match self.book.iter().find(|(_, g)| silent(g)) {
                None if self.book.iter().any(|(_, g)| prepared(g)) => {
                    Entry::Commit { turn, at: Stamp { term: self.term, at } }
                }
                Some((life, _)) if over => Entry::Abort { turn, why: AbortReason::Silent(life.clone()) },
                _ => return,
            }
        };
        watch.proposed = Some((entry.clone(), now));
        effects.push(Effect::Propose(entry));
    }

    fn ask(
        &mut self,
        now: Duration,
        pace: Timing,
        state: &State,
        ask: LeaseRequest,
        effects: &mut Vec<Effect>,
    ) {
        let run = state.open_activation();
        let barrier = self.barrier(pace, run);
        let Some(given) = self.book.entry(&ask.member) else { return };
        if ask.number <= given.number {
            return;
        }
        if given.number == 0 || ask.last_reply > given.heard.0 {
            given.heard = (ask.last_reply, now);
        }
        given.number = ask.number;
        given.acknowledged = ask.acknowledged;
        given.prepared = None;
        let turn = run.map(|r| r.activation.fence.turn);
        if let Some((answered, answer)) = ask.answer.filter(|(answered, _)| Some(*answered) == turn) {
            match (answer, &mut self.watch) {
                (Ok(_), _) => given.prepared = Some(answered),
                (Err(refusal), Some(watch)) => {
                    watch.refused = Some((ask.member.clone(), refusal.truncated()))
                }
                _ => {}
            }
        }
        let mut length = pace.lease.min((self.confirmed + pace.lease).saturating_sub(now));
        if now >= given.heard.1 + pace.ask * DEAF_ASKS {
            length = Duration::ZERO;
        }
        let (mut active, mut pending): (Option<Activation>, _) = (state.active(), None);
        match (run, barrier) {
            (Some(run), Some((turn, moment))) => {
                let committed = run.stage != Stage::Preparing;
                if committed && now >= moment.high {
                    active = Some(run.activation);
                } else {
                    if given.acknowledged != Some(turn) || !committed {
                        length = length.min(moment.low.saturating_sub(now));
                    }
                    let known = moment.low > Duration::ZERO;
                    pending = (committed && known).then_some(Pending::Commit(run.activation, moment));
                }
            }
            (Some(run), None) => {
                pending = Some(Pending::Prepare(run.activation));
                let began = self.watch.as_ref().map_or(now, |w| w.began);
                if given.prepared.is_some() {
                    length = length.min(pace.lead);
                } else if given.end <= began || given.number == 1 {
                    // Who comes during a prepare does not stop it.
                    length = length.min((began + pace.deadline + pace.lead).saturating_sub(now));
                }
            }
            _ => {}
        }
        given.end = given.end.max(now + length);
        let reply =
            LeaseReply { number: ask.number, term: self.term, time: now, lease: length, active, pending };
        effects.push(Effect::Reply(ask.member, reply));
    }
}
