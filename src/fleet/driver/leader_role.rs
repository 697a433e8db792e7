//! The decisions of a voter that leads, without I/O or a clock. [`LeaderRole`] follows the record's standing, so that
//! the leader of the routes is active in exactly the terms in which the record leads. The functions decide which
//! entries may be submitted to the log.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::fleet::experiment::collect::Collector;
use crate::fleet::experiment::counter::Report;
use crate::fleet::experiment::record as experiments;
use crate::fleet::posture::Permissions;
use crate::fleet::record::Standing;
use crate::fleet::routes::leader::{Effect, Input, Leader};
use crate::fleet::routes::lease::GrantedLease;
use crate::fleet::routes::record as routes;
use crate::fleet::routes::{LeaseRequest, MemberIncarnation, TimeWindow, Timing, Turn};
use crate::fleet::state_machine::{Applied, Entry, State};

/// The end of a block does not wait for a member that has not sent an ask for this long.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(10);
/// Members whose last ask is remembered at most.
const MAX_MEMBERS: usize = 4096;
/// The activation of a winner's table is proposed again after this time if it was not accepted.
const WINNER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The input of a decision: the time on the process's clock and since the Unix epoch, the state of the record, and
/// what the posture permits.
pub struct Context<'a> {
    pub now: Duration,
    pub unix: Duration,
    pub state: &'a State,
    pub may: Permissions,
}

/// The state of one voter as the leader; inactive while it does not lead.
pub struct LeaderRole {
    leader: Leader,
    voters: BTreeSet<String>,
    pace: Timing,
    term: Option<u64>,
    /// When it was elected, or when the last request that a majority answered was sent.
    confirmed_at: Duration,
    last_asks: BTreeMap<String, Duration>,
    collector: Collector,
    winner_proposed_at: Option<Duration>,
}

impl LeaderRole {
    /// Creates the state of a voter that does not lead.
    pub fn new(voters: BTreeSet<String>, pace: Timing) -> Self {
        let (last_asks, collector) = Default::default();
        let (leader, confirmed_at) = (Leader::new(pace), Duration::ZERO);
        Self {
            leader,
            voters,
            pace,
            term: None,
            confirmed_at,
            last_asks,
            collector,
            winner_proposed_at: None,
        }
    }

    /// The term in which this voter leads, if it does.
    pub fn term(&self) -> Option<u64> {
        self.term
    }

    /// Follows the record's standing. `window` is the moment of a committed switch on the clock of this voter's own
    /// member.
    pub fn follow_record(
        &mut self,
        context: &Context,
        standing: &Standing,
        window: Option<(Turn, TimeWindow)>,
    ) -> Vec<Effect> {
        let input = match (standing.leads, self.term) {
            (true, Some(term)) if term == standing.term => return Vec::new(),
            (true, _) => Input::Elected { term: standing.term, window },
            (false, Some(_)) => Input::Deposed,
            (false, None) => return Vec::new(),
        };
        self.term = standing.leads.then_some(standing.term);
        self.confirmed_at = context.now;
        (self.collector, self.winner_proposed_at) = Default::default();
        self.last_asks.clear();
        self.step(context, input)
    }

    /// A majority has answered requests that the leader of `term` sent at `sent` or later.
    pub fn confirm(&mut self, context: &Context, term: u64, sent: Duration) -> Vec<Effect> {
        match self.term == Some(term) {
            true => {
                self.confirmed_at = self.confirmed_at.max(sent);
                self.step(context, Input::Confirmed { sent })
            }
            false => Vec::new(),
        }
    }

    /// Whether it leads and can still grant leases. Without an answer of a majority within the length of a lease it
    /// does not claim to lead: another voter may lead, and members that ask have to find it.
    pub fn is_confirmed_leader(&self, now: Duration) -> bool {
        self.term.is_some() && now < self.confirmed_at + self.pace.lease
    }

    /// Handles an ask of a member.
    pub fn handle_ask(&mut self, context: &Context, ask: LeaseRequest) -> Vec<Effect> {
        if self.last_asks.len() < MAX_MEMBERS || self.last_asks.contains_key(&ask.member.name) {
            self.last_asks.insert(ask.member.name.clone(), context.now);
        }
        self.step(context, Input::Ask(ask))
    }

    /// Handles that time has passed or the record has changed.
    pub fn tick(&mut self, context: &Context) -> Vec<Effect> {
        self.last_asks.retain(|_, asked_at| context.now < *asked_at + MEMBER_TIMEOUT);
        self.step(context, Input::Tick)
    }

    fn step(&mut self, context: &Context, input: Input) -> Vec<Effect> {
        let mut effects = self.leader.step(context.now, &context.state.routes, input);
        effects.retain(|effect| match effect {
            Effect::Propose(entry) => is_allowed(&Entry::Routes(entry.clone()), context.may),
            _ => true,
        });
        effects
    }

    /// The members that serve, as far as this voter knows: the voters, and the members that sent an ask recently.
    pub fn members(&self) -> BTreeSet<String> {
        self.voters.iter().chain(self.last_asks.keys()).cloned().collect()
    }

    /// What the leader knows of the leases of each incarnation.
    pub fn given(&self) -> impl Iterator<Item = (&MemberIncarnation, &GrantedLease)> {
        self.leader.granted_leases()
    }

    /// Takes over the counts of a matcher; returns false if they were not accepted.
    pub fn take_report(&mut self, state: &State, report: &Report) -> bool {
        self.term.is_some() && self.collector.add_report(&state.experiments, report).is_ok()
    }

    /// The entry that the experiments require in the log now: the end of a block, or the activation of a winner's
    /// table.
    pub fn next_experiment_entry(&mut self, context: &Context) -> Option<Entry> {
        self.term?;
        if !context.may.decide {
            return None;
        }
        let members = self.members();
        if let Some(entry) = self.collector.propose(&context.state.experiments, &members, context.unix) {
            return Some(Entry::Experiment(entry));
        }
        let version = context.state.experiments.to_activate(&context.state.routes)?;
        let entry =
            Entry::Routes(routes::Entry::Prepare { version, by: experiments::WINNER_OPERATOR.into() });
        let is_waiting =
            self.winner_proposed_at.is_some_and(|last| context.now < last + WINNER_RETRY_INTERVAL);
        if is_waiting || !is_allowed(&entry, context.may) {
            return None;
        }
        self.winner_proposed_at = Some(context.now);
        Some(entry)
    }

    /// An entry of the experiments was accepted or refused, or timed out.
    pub fn entry_answered(&mut self) {
        self.collector.proposal_finished();
    }
}

/// Whether the posture permits an entry in the log. An abort and the completion of a decided switch need no
/// permission.
pub fn is_allowed(entry: &Entry, may: Permissions) -> bool {
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

/// Whether operators may order this entry. The other entries are proposed only by a leader itself.
pub fn is_operator_order(entry: &Entry) -> bool {
    use experiments::Entry as E;
    use routes::{AbortReason, Entry as R};
    matches!(
        entry,
        Entry::Routes(
            R::Propose { .. }
                | R::Prepare { .. }
                | R::Rollback { .. }
                | R::Abort { why: AbortReason::Operator(_), .. }
        ) | Entry::Experiment(E::Start { .. } | E::Stop { .. })
    )
}

/// The result of an order that was applied already and is repeated because its answer was lost. The order is
/// recognized by its name, which holds the operator and the time and is unique.
pub fn earlier_result(state: &State, entry: &Entry) -> Option<Applied> {
    use experiments::{End, Entry as E};
    use routes::{AbortReason, Entry as R};
    match entry {
        Entry::Routes(R::Prepare { by, .. } | R::Rollback { by }) => {
            let run =
                state.routes.open_activation().filter(|run| run.by == *by).map(|run| run.activation.fence);
            let past = || state.routes.history().find(|past| past.by == *by).map(|past| past.fence);
            run.or_else(past).map(|fence| Applied::Routes(routes::Applied::Moved(fence.turn)))
        }
        Entry::Routes(R::Abort { turn, why: AbortReason::Operator(by) }) => {
            let by = AbortReason::Operator(by.clone());
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

/// Removes a member's acceptance of a prepare from an ask if its posture does not permit it.
pub fn filter_answer(mut ask: LeaseRequest, may: Permissions) -> LeaseRequest {
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
    use crate::fleet::routes::record::AbortReason;

    const TABLE: &str = r#"{"pools":{"a":[{"address":"127.0.0.1:1","weight":1}]},
        "routes":[{"class":"seat","pool":"a","timeout_ms":100,"tries":2}]}"#;

    fn s(n: u64) -> Duration {
        Duration::from_secs(n)
    }

    fn ask(number: u64) -> LeaseRequest {
        let life = MemberIncarnation { name: "m9".into(), incarnation: 1 };
        LeaseRequest { member: life, number, last_reply: number - 1, answer: None, acknowledged: None }
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
    fn it_leads_in_exactly_the_terms_in_which_the_record_leads() {
        let mut role = LeaderRole::new(["m1".to_string()].into(), Timing::default());
        let state = State::default();
        let context = |now| Context { now, unix: now, state: &state, may: Posture::Whole.permissions() };
        let seat = Seat::Voter;
        let standing = |term, leads| Standing { term, leads, leader: None, applied: 1, seat };
        role.follow_record(&context(s(10)), &standing(3, false), None);
        assert_eq!(
            (role.term(), lease(&role.handle_ask(&context(s(10)), ask(1)))),
            (None, None),
            "without leading it grants nothing"
        );
        role.follow_record(&context(s(10)), &standing(4, true), None);
        assert_eq!(
            lease(&role.handle_ask(&context(s(10)), ask(2))),
            Some(Duration::ZERO),
            "no majority has confirmed it yet"
        );
        role.confirm(&context(s(11)), 3, s(11));
        assert_eq!(
            lease(&role.handle_ask(&context(s(11)), ask(9))),
            Some(Duration::ZERO),
            "the confirmation is of another term"
        );
        role.confirm(&context(s(11)), 4, s(11));
        assert!(
            role.is_confirmed_leader(s(12)) && !role.is_confirmed_leader(s(13)),
            "leading ends a lease after the last confirmation"
        );
        assert!(lease(&role.handle_ask(&context(s(11)), ask(10))) > Some(s(1)));
        assert!(role.members().contains("m9") && role.members().contains("m1"));
        // In a new term the same voter starts without the leases of its previous term.
        role.follow_record(&context(s(12)), &standing(6, true), None);
        assert_eq!((role.term(), role.given().count()), (Some(6), 0));
        role.follow_record(&context(s(13)), &standing(6, false), None);
        assert_eq!((role.term(), lease(&role.handle_ask(&context(s(13)), ask(11)))), (None, None));
    }

    #[test]
    fn a_minority_may_submit_nothing_but_an_abort() {
        let (minority, majority) = (Posture::Minority.permissions(), Posture::Majority.permissions());
        let abort = |why| Entry::Routes(routes::Entry::Abort { turn: 1, why });
        let by = || "anna".to_string();
        for entry in [
            prepare("anna"),
            Entry::Routes(routes::Entry::Propose { table: TABLE.into(), by: by() }),
            Entry::Routes(routes::Entry::Rollback { by: by() }),
            Entry::Experiment(experiments::Entry::Over { name: "e".into(), at_ms: 1 }),
        ] {
            assert!(is_allowed(&entry, majority) && !is_allowed(&entry, minority), "{entry:?}");
        }
        assert!(is_allowed(&abort(AbortReason::Operator(by())), minority));
        // A member cannot order what only a leader decides.
        assert!(
            is_operator_order(&prepare("anna")) && is_operator_order(&abort(AbortReason::Operator(by())))
        );
        assert!(!is_operator_order(&abort(AbortReason::Silent(ask(1).member))));
        assert!(!is_operator_order(&Entry::Routes(routes::Entry::Done { turn: 1 })));
        let accepted = LeaseRequest { answer: Some((1, Ok(Duration::ZERO))), ..ask(1) };
        assert_eq!(
            (filter_answer(accepted.clone(), majority), filter_answer(accepted.clone(), minority).answer),
            (accepted, None)
        );
    }

    #[test]
    fn a_repeated_order_gets_the_result_of_the_first() {
        let mut state = State::default();
        state.apply(&Entry::Routes(routes::Entry::Propose { table: TABLE.into(), by: "o".into() })).unwrap();
        assert_eq!(earlier_result(&state, &prepare("anna, 1")), None);
        let first = state.apply(&prepare("anna, 1")).unwrap();
        assert_eq!(earlier_result(&state, &prepare("anna, 1")), Some(first.clone()));
        assert_eq!(earlier_result(&state, &prepare("ben, 2")), None);
        let abort =
            Entry::Routes(routes::Entry::Abort { turn: 1, why: AbortReason::Operator("ben, 3".into()) });
        let aborted = state.apply(&abort).unwrap();
        assert_eq!(
            (earlier_result(&state, &abort), earlier_result(&state, &prepare("anna, 1"))),
            (Some(aborted), Some(first))
        );
    }
}
