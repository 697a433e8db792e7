//! The leader's side as far as it is decided: no I/O, no clock. It follows the record's standing, so that the routes'
//! leader is on in just the terms in which the record leads, and says which entries may go into the log.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::fleet::decided::{Applied, Entry, State};
use crate::fleet::experiment::collect::Collector;
use crate::fleet::experiment::counter::Report;
use crate::fleet::experiment::record as experiments;
use crate::fleet::posture::May;
use crate::fleet::record::Standing;
use crate::fleet::routes::leader::{Effect, Input, Leader};
use crate::fleet::routes::lease::Given;
use crate::fleet::routes::record as routes;
use crate::fleet::routes::{Ask, Life, Pace, Turn, Window};

/// A member that did not ask for this long is not waited for at the end of a block.
const SEEN: Duration = Duration::from_secs(10);
/// Members that are remembered at most.
const MOST_SEEN: usize = 4096;
/// A winner's activation that was not taken is proposed again after this long.
const AGAIN: Duration = Duration::from_secs(1);

/// What is known where something is decided: the time on the process's clock and since the Unix epoch, the record, and
/// what the posture allows.
pub struct Now<'a> {
    pub now: Duration,
    pub unix: Duration,
    pub state: &'a State,
    pub may: May,
}

/// One voter as the leader, or as none.
pub struct Lead {
    leader: Leader,
    voters: BTreeSet<String>,
    pace: Pace,
    term: Option<u64>,
    /// When it was elected, or a majority last answered.
    confirmed: Duration,
    seen: BTreeMap<String, Duration>,
    collector: Collector,
    winner: Option<Duration>,
}

impl Lead {
    /// It does not lead.
    pub fn new(voters: BTreeSet<String>, pace: Pace) -> Self {
        let (seen, collector) = Default::default();
        let (leader, confirmed) = (Leader::new(pace), Duration::ZERO);
        Self { leader, voters, pace, term: None, confirmed, seen, collector, winner: None }
    }

    /// The term that it leads in.
    pub fn term(&self) -> Option<u64> {
        self.term
    }

    /// Takes up where the record stands; `window` is where its own member's clock has the moment of a committed run.
    pub fn follow(&mut self, at: &Now, standing: &Standing, window: Option<(Turn, Window)>) -> Vec<Effect> {
        let input = match (standing.leads, self.term) {
            (true, Some(term)) if term == standing.term => return Vec::new(),
            (true, _) => Input::Elected { term: standing.term, window },
            (false, Some(_)) => Input::Deposed,
            (false, None) => return Vec::new(),
        };
        self.term = standing.leads.then_some(standing.term);
        self.confirmed = at.now;
        (self.collector, self.winner) = Default::default();
        self.seen.clear();
        self.step(at, input)
    }

    /// A majority answered what was sent at `sent` or later by the leader of `term`.
    pub fn confirmed(&mut self, at: &Now, term: u64, sent: Duration) -> Vec<Effect> {
        match self.term == Some(term) {
            true => {
                self.confirmed = self.confirmed.max(sent);
                self.step(at, Input::Confirmed { sent })
            }
            false => Vec::new(),
        }
    }

    /// It leads, and has a lease to give. One that a majority has not answered for so long says that it does not: another
    /// one may lead, and who asks is to look on.
    pub fn leads(&self, now: Duration) -> bool {
        self.term.is_some() && now < self.confirmed + self.pace.lease
    }

    /// A member asks.
    pub fn ask(&mut self, at: &Now, ask: Ask) -> Vec<Effect> {
        if self.seen.len() < MOST_SEEN || self.seen.contains_key(&ask.life.name) {
            self.seen.insert(ask.life.name.clone(), at.now);
        }
        self.step(at, Input::Ask(ask))
    }

    /// Time passed, or the record moved.
    pub fn tick(&mut self, at: &Now) -> Vec<Effect> {
        self.seen.retain(|_, seen| at.now < *seen + SEEN);
        self.step(at, Input::Tick)
    }

    fn step(&mut self, at: &Now, input: Input) -> Vec<Effect> {
        let mut effects = self.leader.step(at.now, &at.state.routes, input);
        effects.retain(|effect| match effect {
            Effect::Propose(entry) => allowed(&Entry::Routes(entry.clone()), at.may),
            _ => true,
        });
        effects
    }

    /// Who serves, as far as is known here: the voters, and who asked of late.
    pub fn members(&self) -> BTreeSet<String> {
        self.voters.iter().chain(self.seen.keys()).cloned().collect()
    }

    /// What is known of the leases of each life.
    pub fn given(&self) -> impl Iterator<Item = (&Life, &Given)> {
        self.leader.given()
    }

    /// Takes what a matcher counted; false if it was not taken.
    pub fn heard(&mut self, state: &State, report: &Report) -> bool {
        self.term.is_some() && self.collector.add_report(&state.experiments, report).is_ok()
    }

    /// What the experiments want in the log now: a block's end, or the activation of a winner's table.
    pub fn experiments(&mut self, at: &Now) -> Option<Entry> {
        self.term?;
        if !at.may.decide {
            return None;
        }
        let members = self.members();
        if let Some(entry) = self.collector.propose(&at.state.experiments, &members, at.unix) {
            return Some(Entry::Experiment(entry));
        }
        let version = at.state.experiments.to_activate(&at.state.routes)?;
        let entry =
            Entry::Routes(routes::Entry::Prepare { version, by: experiments::WINNER_OPERATOR.into() });
        let waits = self.winner.is_some_and(|last| at.now < last + AGAIN);
        if waits || !allowed(&entry, at.may) {
            return None;
        }
        self.winner = Some(at.now);
        Some(entry)
    }

    /// An entry of the experiments was taken, refused or given up.
    pub fn answered(&mut self) {
        self.collector.proposal_finished();
    }
}

/// What the posture lets into the log. An abort, and the end of what is decided, need none.
pub fn allowed(entry: &Entry, may: May) -> bool {
    use experiments::Entry as E;
    use routes::Entry as R;
    match entry {
        Entry::Routes(R::Propose { .. }) => may.propose,
        Entry::Routes(R::Prepare { .. } | R::Rollback { .. } | R::Commit { .. }) => may.activate,
        Entry::Routes(R::Abort { .. } | R::Done { .. }) => true,
        Entry::Experiment(E::Start { .. }) => may.propose,
        Entry::Experiment(E::Block { .. } | E::Over { .. }) => may.decide,
        Entry::Experiment(E::Stop { .. }) => true,
    }
}

/// Whether it is for operators to order: the rest only a leader proposes by itself.
pub fn ordered(entry: &Entry) -> bool {
    use experiments::Entry as E;
    use routes::{Entry as R, Why};
    matches!(
        entry,
        Entry::Routes(
            R::Propose { .. }
                | R::Prepare { .. }
                | R::Rollback { .. }
                | R::Abort { why: Why::Operator(_), .. }
        ) | Entry::Experiment(E::Start { .. } | E::Stop { .. })
    )
}

/// What an order already came to: its answer was lost, and it comes again. Whose it is is told by who ordered it and when,
/// which no two orders share.
pub fn earlier(state: &State, entry: &Entry) -> Option<Applied> {
    use experiments::{End, Entry as E};
    use routes::{Entry as R, Why};
    match entry {
        Entry::Routes(R::Prepare { by, .. } | R::Rollback { by }) => {
            let run = state.routes.run().filter(|run| run.by == *by).map(|run| run.activation.fence);
            let past = || state.routes.history().find(|past| past.by == *by).map(|past| past.fence);
            run.or_else(past).map(|fence| Applied::Routes(routes::Applied::Moved(fence.turn)))
        }
        Entry::Routes(R::Abort { turn, why: Why::Operator(by) }) => {
            let by = Why::Operator(by.clone());
            let past = state.routes.history().find(|past| past.aborted.as_ref() == Some(&by))?;
            (past.fence.turn == *turn).then_some(Applied::Routes(routes::Applied::Moved(*turn)))
        }
        Entry::Experiment(E::Start { by, .. }) => {
            let run = state.experiments.running_experiment().is_some_and(|run| run.by == *by);
            let past = || state.experiments.history().any(|past| past.by == *by);
            (run || past()).then_some(Applied::Experiment(experiments::Applied::Started))
        }
        Entry::Experiment(E::Stop { by, .. }) => {
            let by = End::Stopped { by: by.clone() };
            let stopped = state.experiments.history().any(|past| past.end == by);
            stopped.then_some(Applied::Experiment(experiments::Applied::Ended(None)))
        }
        _ => None,
    }
}

/// What a member says of a prepare while its posture does not let it: nothing.
pub fn gated(mut ask: Ask, may: May) -> Ask {
    if !may.prepare && matches!(ask.answer, Some((_, Ok(_)))) {
        ask.answer = None;
    }
    ask
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::posture::Posture;
    use crate::fleet::record::Seat;
    use crate::fleet::routes::record::Why;

    const TABLE: &str = r#"{"pools":{"a":[{"address":"127.0.0.1:1","weight":1}]},
        "routes":[{"class":"seat","pool":"a","timeout_ms":100,"tries":2}]}"#;

    fn s(n: u64) -> Duration {
        Duration::from_secs(n)
    }

    fn ask(number: u64) -> Ask {
        let life = Life { name: "m9".into(), incarnation: 1 };
        Ask { life, number, heard: number - 1, answer: None, acknowledged: None }
    }

    fn lease(effects: &[Effect]) -> Option<Duration> {
        effects.iter().find_map(|e| match e {
            Effect::Reply(_, reply) => Some(reply.lease),
            _ => None,
        })
    }

    fn prepare(by: &str) -> Entry {
        Entry::Routes(routes::Entry::Prepare { version: 1, by: by.into() })
    }

    #[test]
    fn it_leads_in_just_the_terms_in_which_the_record_does() {
        let mut lead = Lead::new(["m1".to_string()].into(), Pace::default());
        let state = State::default();
        let at = |now| Now { now, unix: now, state: &state, may: Posture::Whole.may() };
        let seat = Seat::Voter;
        let stands = |term, leads| Standing { term, leads, leader: None, applied: 1, seat };
        lead.follow(&at(s(10)), &stands(3, false), None);
        assert_eq!(
            (lead.term(), lease(&lead.ask(&at(s(10)), ask(1)))),
            (None, None),
            "no leader grants nothing"
        );
        lead.follow(&at(s(10)), &stands(4, true), None);
        assert_eq!(lease(&lead.ask(&at(s(10)), ask(2))), Some(Duration::ZERO), "nobody confirmed it yet");
        lead.confirmed(&at(s(11)), 3, s(11));
        assert_eq!(lease(&lead.ask(&at(s(11)), ask(9))), Some(Duration::ZERO), "of another term");
        lead.confirmed(&at(s(11)), 4, s(11));
        assert!(lead.leads(s(12)) && !lead.leads(s(13)), "a lease without an answer of a majority");
        assert!(lease(&lead.ask(&at(s(11)), ask(10))) > Some(s(1)));
        assert!(lead.members().contains("m9") && lead.members().contains("m1"));
        // A new term of the same voter knows nothing of the one before.
        lead.follow(&at(s(12)), &stands(6, true), None);
        assert_eq!((lead.term(), lead.given().count()), (Some(6), 0));
        lead.follow(&at(s(13)), &stands(6, false), None);
        assert_eq!((lead.term(), lease(&lead.ask(&at(s(13)), ask(11)))), (None, None));
    }

    #[test]
    fn a_minority_puts_nothing_into_the_log_but_an_abort() {
        let (minority, majority) = (Posture::Minority.may(), Posture::Majority.may());
        let abort = |why| Entry::Routes(routes::Entry::Abort { turn: 1, why });
        let by = || "anna".to_string();
        for entry in [
            prepare("anna"),
            Entry::Routes(routes::Entry::Propose { table: TABLE.into(), by: by() }),
            Entry::Routes(routes::Entry::Rollback { by: by() }),
            Entry::Experiment(experiments::Entry::Over { name: "e".into(), at_ms: 1 }),
        ] {
            assert!(allowed(&entry, majority) && !allowed(&entry, minority), "{entry:?}");
        }
        assert!(allowed(&abort(Why::Operator(by())), minority));
        // What only a leader decides is not for a member to order.
        assert!(ordered(&prepare("anna")) && ordered(&abort(Why::Operator(by()))));
        assert!(!ordered(&abort(Why::Silent(ask(1).life))));
        assert!(!ordered(&Entry::Routes(routes::Entry::Done { turn: 1 })));
        let yes = Ask { answer: Some((1, Ok(Duration::ZERO))), ..ask(1) };
        assert_eq!((gated(yes.clone(), majority), gated(yes.clone(), minority).answer), (yes, None));
    }

    #[test]
    fn an_order_that_comes_again_is_told_what_it_came_to() {
        let mut state = State::default();
        state.apply(&Entry::Routes(routes::Entry::Propose { table: TABLE.into(), by: "o".into() })).unwrap();
        assert_eq!(earlier(&state, &prepare("anna, 1")), None);
        let first = state.apply(&prepare("anna, 1")).unwrap();
        assert_eq!(earlier(&state, &prepare("anna, 1")), Some(first.clone()));
        assert_eq!(earlier(&state, &prepare("ben, 2")), None);
        let abort = Entry::Routes(routes::Entry::Abort { turn: 1, why: Why::Operator("ben, 3".into()) });
        let aborted = state.apply(&abort).unwrap();
        assert_eq!(
            (earlier(&state, &abort), earlier(&state, &prepare("anna, 1"))),
            (Some(aborted), Some(first))
        );
    }
}
