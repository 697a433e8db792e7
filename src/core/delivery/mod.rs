//! Delivery of commands to the agent: what was said, over which link, and what proves that it was heard.
//!
//! A link that breaks takes what was last said on it along, and nobody knows how much. What became of a command is
//! proven by three observations only: a notice about its run, an acknowledgement of a later question that the agent
//! answered on the same link, and that the command was never written. A run that shows no pause, or time that went by,
//! proves nothing: a run that waits for its disk looks the same as one that does not exist. Where nothing is proven,
//! [`Recovery::of`] chooses what does no harm in either case.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use super::types::*;
use super::{Core, End, Live, Phase};
use crate::interface::{Event, Outcome, Repeat, RequestId, Way};

/// Runs that a line of the log names at most.
const MOST_NAMED: usize = 8;
/// Runs of answered requests whose launch is in doubt that are waited for at most, for the sake of later tries.
const MOST_ANSWERED_ORPHANS: usize = 1024;
/// Commands without an acknowledgement that are kept beside those of open runs before the list is cleaned up.
const SPARE_UNACKNOWLEDGED: usize = 64;

/// The last command about a run, as long as nothing shows that it was heard.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Pending {
    pub(super) command: Command,
    delivery: Delivery,
}

/// How far a command got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// It was never written: the link is down.
    Unsent,
    /// It is the command of this number, and its link is up.
    Sent(u64),
    /// Its link broke: it may have been heard, or not.
    InDoubt,
}

impl Pending {
    /// The command's name and how far it got, for the log.
    pub(super) fn describe(&self) -> String {
        let name = self.command.about().map_or("none", |(name, _)| name);
        let state = match self.delivery {
            Delivery::Unsent => "not written",
            Delivery::Sent(_) => "written",
            Delivery::InDoubt => "in doubt",
        };
        format!("{name} {state}")
    }

    pub(super) fn is_launch(&self) -> bool {
        matches!(self.command, Command::Launch { .. })
    }

    pub(super) fn is_unsent(&self) -> bool {
        self.delivery == Delivery::Unsent
    }

    pub(super) fn is_in_doubt(&self) -> bool {
        self.delivery == Delivery::InDoubt
    }
}

/// What was said about a run, for the rules that bind every command.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Said {
    /// Launches that were written.
    launches: u32,
    /// The reply to the call that it last asked for was written.
    replied: bool,
}

impl Said {
    /// The run asks for another call.
    pub(super) fn call_needed(&mut self) {
        self.replied = false;
    }

    /// A command turned out not to have been written.
    fn forget(&mut self, command: &Command) {
        match command {
            Command::Launch { .. } => self.launches = self.launches.saturating_sub(1),
            Command::Deliver { .. } => self.replied = false,
            _ => {}
        }
    }

    fn note(&mut self, command: &Command) {
        match command {
            Command::Launch { .. } => self.launches += 1,
            Command::Deliver { .. } => self.replied = true,
            _ => {}
        }
    }
}

/// A rule that a command would break, which is not said then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// Work for a request that has its final answer.
    LaunchAfterAnswer,
    /// A second launch of what may run once.
    SecondLaunch,
    /// A second reply to one call.
    SecondReply,
}

impl Violation {
    /// The rule that a command breaks, if it breaks any.
    fn of(command: &Command, said: Said, is_answered: bool, repeat: Repeat) -> Option<Self> {
        match command {
            Command::Launch { .. } if is_answered => Some(Self::LaunchAfterAnswer),
            Command::Launch { .. } if said.launches > 0 && repeat != Repeat::Idempotent => {
                Some(Self::SecondLaunch)
            }
            Command::Deliver { .. } if said.replied => Some(Self::SecondReply),
            _ => None,
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LaunchAfterAnswer => "a launch of an answered request",
            Self::SecondLaunch => "a second launch of what may run once",
            Self::SecondReply => "a second reply to one call",
        })
    }
}

/// What is done about a command in doubt, once all that the agent told before the next link is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recovery {
    /// It is said again: it does nothing where it was heard, or what it does may happen twice.
    Repeat,
    /// The run goes on without the call that this notice asked for; it does nothing where the run is past it.
    SkipCall(u64),
    /// Its run may have begun, and must not begin twice: what it tells is waited for, up to its due time.
    Await,
    /// Its caller gets a failure now. The run, where it waits, ends with its request.
    Fail,
    /// Its request has its answer: nothing more is said.
    Abandon,
}

impl Recovery {
    fn of(command: &Command, is_answered: bool, repeat: Repeat, skip: Option<u64>) -> Self {
        match command {
            Command::Launch { .. } | Command::Deliver { .. } if is_answered => Self::Abandon,
            Command::Launch { .. } if repeat == Repeat::Idempotent => Self::Repeat,
            Command::Launch { .. } => Self::Await,
            Command::Deliver { .. } => skip.map_or(Self::Fail, Self::SkipCall),
            // A pause or its end twice is the same as once, and a skip names its call.
            _ => Self::Repeat,
        }
    }
}

/// Whether there is a link to the agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum LinkState {
    /// None has greeted yet; what is said waits for the first one.
    #[default]
    Awaited,
    /// The agent has greeted on it.
    Up,
    /// The last one broke, and none has greeted since.
    Lost,
}

/// What is said to the agent, in order.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pub(super) link: LinkState,
    /// The number of the last command, counted from the first.
    said: u64,
    /// Commands about runs without an acknowledgement, the oldest first.
    unacknowledged: VecDeque<(u64, RequestId)>,
    /// The last acknowledgement that was asked for.
    acknowledgement: u64,
    /// The number of the command that asks for it, until it comes.
    asked_by: Option<u64>,
    /// The number of the last [`Command::Sync`].
    sync: u64,
}

impl Core {
    /// Says something to the agent: the one place that does.
    pub(super) fn say(&mut self, command: Command) -> u64 {
        self.outbox.said += 1;
        self.effects.push(Effect::Agent(command));
        self.outbox.said
    }

    /// Says something about a run, or notes it for the next link; unless a rule forbids it.
    pub(super) fn say_of(&mut self, id: RequestId, command: Command) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let repeat = self.site.settings.classes[live.class].repeat;
        if let Some(violation) = Violation::of(&command, live.said, live.conn.is_none(), repeat) {
            let handle = live.handle;
            return self.report_violation(violation, handle);
        }
        if self.outbox.link == LinkState::Lost {
            live.pending = Some(Pending { command, delivery: Delivery::Unsent });
            return;
        }
        live.said.note(&command);
        let number = self.say(command.clone());
        if let Some(live) = self.live.get_mut(&id) {
            live.pending = Some(Pending { command, delivery: Delivery::Sent(number) });
        }
        if self.outbox.link == LinkState::Up {
            self.outbox.unacknowledged.push_back((number, id));
        }
    }

    fn report_violation(&mut self, violation: Violation, handle: Handle) {
        self.counters.violations += 1;
        self.effects.push(Effect::Log(format!("violation: {violation} was not said: {handle}")));
    }

    /// Asks the agent to acknowledge what was said since the last time, one question at a time.
    pub(super) fn ask_for_acknowledgement(&mut self) {
        let outbox = &mut self.outbox;
        if outbox.link != LinkState::Up || outbox.asked_by.is_some() || outbox.unacknowledged.is_empty() {
            return;
        }
        if outbox.unacknowledged.len() > 2 * self.live.len() + SPARE_UNACKNOWLEDGED {
            let live = &self.live;
            outbox.unacknowledged.retain(|(_, id)| live.contains_key(id));
        }
        outbox.acknowledgement += 1;
        let number = outbox.acknowledgement;
        self.outbox.asked_by = Some(self.say(Command::Acknowledge(number)));
    }

    /// The agent has read all that was said on this link before a question.
    pub(super) fn acknowledged(&mut self, number: u64) {
        let outbox = &mut self.outbox;
        let Some(asked_by) = outbox.asked_by.filter(|_| number == outbox.acknowledgement) else { return };
        outbox.asked_by = None;
        while let Some((said, id)) = outbox.unacknowledged.pop_front_if(|(said, _)| *said < asked_by) {
            if let Some(live) = self.live.get_mut(&id) {
                live.pending.take_if(|pending| pending.delivery == Delivery::Sent(said));
            }
        }
    }

    /// The link broke. Commands up to the number `written` were written on it, or may have been; later ones were not.
    pub(super) fn link_lost(&mut self, end: End, written: u64) {
        self.counters.links_lost += 1;
        self.outbox.link = LinkState::Lost;
        self.outbox.asked_by = None;
        self.outbox.unacknowledged.clear();
        let (mut in_doubt, mut unsent) = (0, 0);
        for live in self.live.values_mut() {
            let Some(pending) = &mut live.pending else { continue };
            match pending.delivery {
                Delivery::Sent(number) if number <= written => pending.delivery = Delivery::InDoubt,
                // The link has dropped it: it is said again from here, if it is still wanted then.
                Delivery::Sent(_) => {
                    pending.delivery = Delivery::Unsent;
                    live.said.forget(&pending.command);
                }
                Delivery::Unsent | Delivery::InDoubt => {}
            }
            in_doubt += usize::from(pending.is_in_doubt());
            unsent += usize::from(pending.is_unsent());
        }
        self.say(Command::Resume);
        let word = end.word();
        self.effects.push(Effect::Log(format!(
            "link to the agent lost ({word}): {in_doubt} commands in doubt, {unsent} not written"
        )));
    }

    /// A link is up: what was never written is said now, where it is still wanted.
    pub(super) fn link_greeted(&mut self, now: Duration) {
        self.outbox.link = LinkState::Up;
        self.outbox.asked_by = None;
        for id in self.ids_where(Pending::is_unsent) {
            let Some(live) = self.live.get_mut(&id) else { continue };
            let Some(pending) = live.pending.take() else { continue };
            match (live.conn.is_some(), pending.is_launch()) {
                // Proven: nothing of it was ever said.
                (false, true) => self.run_ended(now, id, End::Unknown, None, None),
                _ => self.say_of(id, pending.command),
            }
        }
        // All that was told since the last link comes before the answer to this.
        self.outbox.sync += 1;
        let number = self.outbox.sync;
        self.say(Command::Sync(number));
    }

    /// The number of the last [`Command::Sync`].
    pub(super) fn last_sync(&self) -> u64 {
        self.outbox.sync
    }

    /// All that the agent told before this link is known: what is still in doubt is settled.
    pub(super) fn recover(&mut self, now: Duration) {
        let mut done = Vec::new();
        for id in self.ids_where(Pending::is_in_doubt) {
            let Some(live) = self.live.get(&id) else { continue };
            let Some(pending) = &live.pending else { continue };
            let repeat = self.site.settings.classes[live.class].repeat;
            let skip = self.may_skip(live).then_some(live.call.0);
            let recovery = Recovery::of(&pending.command, live.conn.is_none(), repeat, skip);
            done.push((live.handle, recovery));
            self.carry_out(now, id, recovery);
        }
        if !done.is_empty() {
            let named: Vec<_> = done.iter().take(MOST_NAMED).map(|(h, r)| format!("{h} {r:?}")).collect();
            let text = format!("{} commands in doubt are settled: {}", done.len(), named.join(", "));
            self.effects.push(Effect::Log(text));
        }
    }

    fn carry_out(&mut self, now: Duration, id: RequestId, recovery: Recovery) {
        let Some(live) = self.live.get_mut(&id) else { return };
        match recovery {
            Recovery::Repeat => {
                let Some(pending) = live.pending.take() else { return };
                self.counters.commands_repeated += 1;
                self.say_of(id, pending.command);
            }
            Recovery::SkipCall(cursor) => {
                let command = Command::Forgo { handle: live.handle, cursor };
                self.counters.replies_skipped += 1;
                self.say_of(id, command);
            }
            Recovery::Await => self.orphan(now, id),
            Recovery::Fail => {
                live.pending = None;
                self.counters.replies_failed += 1;
                self.events.push_back(Event::Withdrawn { id });
                self.settle(now, id, Verdict::Failed);
            }
            Recovery::Abandon => {
                let pending = live.pending.take();
                if pending.is_some_and(|pending| pending.is_launch()) {
                    self.orphan_answered(now, id);
                }
            }
        }
    }

    /// The run may never have begun: the module's slot is free again, and the caller waits on, up to the deadline of its
    /// answer.
    fn orphan(&mut self, now: Duration, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else { return };
        live.is_orphan = true;
        // Nothing more is said of it: the doubt is settled as far as it can be.
        live.pending = None;
        let took = now.saturating_sub(live.began);
        self.counters.runs_orphaned += 1;
        self.events.push_back(Event::Finished { id, outcome: Outcome::Reset, took });
    }

    /// The same for an answered request: what its run may yet tell is for later tries of its key. Where it has none, or many
    /// are waited for already, the run is taken to be lost; its key stays taken.
    pub(super) fn orphan_answered(&mut self, now: Duration, id: RequestId) {
        let waited_for = self.live.values().filter(|live| live.is_orphan && live.conn.is_none()).count();
        let Some(live) = self.live.get_mut(&id) else { return };
        if live.key.is_none() || waited_for > MOST_ANSWERED_ORPHANS {
            return self.run_ended(now, id, End::Broken, None, None);
        }
        live.body = Bytes::from([]);
        if !live.is_orphan {
            self.orphan(now, id);
        }
    }

    /// A run that the module was told to be over asks for a call: it goes on without, or its caller gets a failure.
    pub(super) fn orphan_calls(&mut self, now: Duration, id: RequestId, cursor: u64) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let handle = live.handle;
        match self.live.get(&id).is_some_and(|live| self.may_skip(live)) {
            true => {
                if let Some(live) = self.live.get_mut(&id) {
                    live.phase = Phase::Running;
                }
                self.say_of(id, Command::Forgo { handle, cursor });
            }
            false => self.fail(now, id),
        }
    }

    /// The request may be answered without its call.
    fn may_skip(&self, live: &Live) -> bool {
        let class = &self.site.settings.classes[live.class];
        let way = self.way_of(live.class);
        class.skip_worth > 0.0
            && way != Way::Shut
            && live.route.as_ref().is_none_or(|route| route.allows_skipping())
    }

    /// Requests whose last command stands so, in the order in which they came.
    fn ids_where(&self, is_so: impl Fn(&Pending) -> bool) -> Vec<RequestId> {
        let is_so = |live: &Live| live.pending.as_ref().is_some_and(&is_so);
        let mut ids: Vec<_> = self.live.iter().filter(|(_, l)| is_so(l)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}
