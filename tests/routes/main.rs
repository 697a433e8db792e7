//! Tests of postures, and of route tables on a simulated fleet: clocks with offsets and drift, messages lost, late and
//! reordered, members paused and restarted, the leader replaced at any step. A failing seed is printed.

mod prepares;

use std::collections::BTreeMap;
use std::time::Duration;

use hopwalk::fleet::posture::{Posture, Reachability, REACHABLE_PERIODS};
use hopwalk::fleet::routes::clock::{Clock, ClockError, Sample};
use hopwalk::fleet::routes::leader::{self, Leader};
use hopwalk::fleet::routes::member::{self, CallDecision, CallRequest, Member};
use hopwalk::fleet::routes::record::{
    AbortReason, Entry, RecordError, Stage, Stamp, State, MAX_OPERATOR_NAME,
};
use hopwalk::fleet::routes::table::{KnownNames, Table, TableError, MAX_BYTES, MAX_RECORDED_NAME};
use hopwalk::fleet::routes::{Activation, Fence, LeaseReply, MemberIncarnation, Pending, Refusal, Timing};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

const N: usize = 5;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn known() -> KnownNames {
    KnownNames { classes: ["seat".to_string()].into(), tenants: ["t".to_string()].into() }
}

fn document(port: u16) -> String {
    format!(
        r#"{{"pools":{{"a":[{{"address":"127.0.0.1:{port}","weight":1}}]}},
            "routes":[{{"class":"seat","pool":"a","timeout_ms":100,"tries":2}}]}}"#
    )
}

#[derive(Clone, Debug)]
enum Message {
    Member(usize, u64, member::Input),
    Leader(usize, leader::Input),
    Log(usize, Entry),
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    LongLease,
    RashCommit,
}

struct Node {
    member: Member,
    leader: Leader,
    offset: u64,
    ppm: i64,
    starts: u64,
    paused_until: u64,
    cut: bool,
    fetches_nothing: bool,
}

struct Fleet {
    rng: Xoshiro256PlusPlus,
    now: u64,
    nodes: Vec<Node>,
    state: State,
    lead_at: usize,
    term: u64,
    queue: BTreeMap<(u64, u64), Message>,
    number: u64,
    fault: Fault,
    loss: f64,
    highest: u64,
    violation: Option<String>,
    refuses: Option<usize>,
    /// A member to which no message of the others is delivered, while its own messages are.
    unreached: Option<usize>,
}

impl Fleet {
    fn new(seed: u64, fault: Fault) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let node = |at: usize, rng: &mut Xoshiro256PlusPlus| Node {
            member: Member::new(
                MemberIncarnation { name: format!("m{at}"), incarnation: 1 },
                known(),
                Timing::default(),
            ),
            leader: Leader::new(Timing::default()),
            offset: rng.random_range(0..100_000_000_000),
            ppm: rng.random_range(-90..90),
            starts: 1,
            paused_until: 0,
            cut: false,
            fetches_nothing: false,
        };
        let nodes = (0..N).map(|at| node(at, &mut rng)).collect();
        let mut fleet = Self {
            rng,
            now: 1_000_000_000,
            nodes,
            state: State::default(),
            lead_at: 0,
            term: 0,
            queue: BTreeMap::new(),
            number: 0,
            fault,
            loss: 0.0,
            highest: 0,
            violation: None,
            refuses: None,
            unreached: None,
        };
        fleet.elect(0);
        for port in [1, 2, 3] {
            fleet.apply(Entry::Propose { table: document(port), by: "o".into() }).unwrap();
        }
        fleet
    }

    fn local(&self, at: usize) -> Duration {
        let node = &self.nodes[at];
        Duration::from_nanos(node.offset + (self.now as i64 + self.now as i64 / 1_000_000 * node.ppm) as u64)
    }

    fn apply(&mut self, entry: Entry) -> Result<hopwalk::fleet::routes::record::Applied, RecordError> {
        self.state.apply(&entry)
    }

    fn elect(&mut self, at: usize) {
        (self.lead_at, self.term) = (at, self.term + 1);
        let window = self.nodes[at].member.lease_and_switch().1;
        let sent = self.local(at);
        // The previous leader is not notified, and acts as a stale leader.
        self.lead(at, leader::Input::Elected { term: self.term, window });
        self.lead(at, leader::Input::Confirmed { sent });
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_log = matches!(message, Message::Log(..));
        let is_cut = from != to && (self.nodes[from].cut || self.nodes[to].cut);
        let is_blocked = from != to && self.unreached == Some(to) && matches!(message, Message::Member(..));
        if !is_log && (is_cut || is_blocked || from != to && self.rng.random_bool(self.loss)) {
            return;
        }
        let max_delay = if self.rng.random_bool(0.03) { 40_000_000 } else { 3_000_000 };
        let delay = if from == to { 1000 } else { self.rng.random_range(100_000..max_delay) };
        self.number += 1;
        self.queue.insert((self.now + delay, self.number), message);
    }

    fn lead(&mut self, at: usize, input: leader::Input) {
        let now = self.local(at);
        for effect in self.nodes[at].leader.step(now, &self.state, input) {
            match effect {
                leader::Effect::Reply(member, mut reply) => {
                    let to: usize = member.name[1..].parse().unwrap();
                    if self.fault == Fault::LongLease {
                        reply.lease = Timing::default().lease;
                    }
                    self.send(at, to, Message::Member(to, member.incarnation, member::Input::Reply(reply)));
                }
                leader::Effect::Nudge(member) => {
                    let to: usize = member.name[1..].parse().unwrap();
                    self.send(at, to, Message::Member(to, member.incarnation, member::Input::Nudge));
                }
                leader::Effect::Propose(entry) => self.send(at, at, Message::Log(at, entry)),
            }
        }
    }

    fn step(&mut self, at: usize, input: member::Input) {
        let now = self.local(at);
        for effect in self.nodes[at].member.step(now, input) {
            let starts = self.nodes[at].starts;
            match effect {
                member::Effect::Ask(ask) => {
                    // Some requests go to another node, such as an earlier leader that does not know it was deposed.
                    let is_misdirected = self.rng.random_bool(0.15);
                    let to = if is_misdirected { self.rng.random_range(0..N) } else { self.lead_at };
                    self.send(at, to, Message::Leader(to, leader::Input::Ask(ask)));
                }
                member::Effect::Fetch(hash) if !self.nodes[at].fetches_nothing => {
                    let tables = (1..=3).filter_map(|v| self.state.table(v));
                    let text = tables.filter(|t| t.hash() == hash).map(Table::canonical).next().unwrap();
                    self.send(at, at, Message::Member(at, starts, member::Input::Fetched(hash, text)));
                }
                member::Effect::Open(turn, hash) => {
                    let open =
                        if self.refuses == Some(at) { Err("127.0.0.1:2".parse().unwrap()) } else { Ok(()) };
                    self.send(at, at, Message::Member(at, starts, member::Input::Opened(turn, hash, open)));
                }
                _ => {}
            }
        }
    }

    /// Checks that no member acts on a turn after a higher one, and no lease outlasts an unacknowledged moment.
    fn check_invariants(&mut self) {
        let mut turns = Vec::new();
        for at in (0..N).filter(|at| self.now >= self.nodes[*at].paused_until) {
            let now = self.local(at);
            if let CallDecision::Allowed(fence) =
                self.nodes[at].member.route(now, CallRequest { read: now, ..CallRequest::default() })
            {
                turns.push((fence.turn, at));
            }
        }
        if let Some((turn, Stage::Committed(stamp))) =
            self.state.open_activation().map(|r| (r.activation.fence.turn, r.stage))
        {
            // Only before the moment: from then on, members that acknowledged have switched and have no pending switch.
            let remaining = stamp.at.saturating_sub(self.local(self.lead_at));
            for at in (0..N).filter(|_| stamp.term == self.term && remaining > ms(1)) {
                let (lease, switch) = self.nodes[at].member.lease_and_switch();
                // Both clocks drift by at most 90 ppm.
                let limit = self.local(at) + remaining + remaining / 5000;
                if lease.until() > limit && switch.is_none() {
                    self.violation =
                        Some(format!("m{at}: lease past the moment of {turn}, not acknowledged"));
                }
            }
        }
        self.highest = self.highest.max(turns.iter().map(|t| t.0).max().unwrap_or(0));
        if let Some((turn, at)) = turns.iter().find(|t| t.0 < self.highest) {
            self.violation =
                Some(format!("m{at} acts on {turn} after {} at {} ms", self.highest, self.now / 1_000_000));
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1_000_000;
        let mut tick = self.now;
        while self.now < end {
            while let Some((&(at, number), _)) =
                self.queue.first_key_value().filter(|((at, _), _)| *at <= tick)
            {
                let message = self.queue.remove(&(at, number)).unwrap();
                self.now = self.now.max(at);
                match message {
                    Message::Member(to, starts, input) if self.nodes[to].starts == starts => {
                        let until = self.nodes[to].paused_until;
                        if self.now < until {
                            self.queue.insert((until, number), Message::Member(to, starts, input));
                        } else {
                            self.step(to, input);
                        }
                    }
                    Message::Leader(to, input) if self.now >= self.nodes[to].paused_until => {
                        self.lead(to, input)
                    }
                    Message::Log(from, entry) if from == self.lead_at && !self.nodes[from].cut => {
                        let _ = self.apply(entry);
                    }
                    _ => {}
                }
                self.check_invariants();
            }
            self.now = tick;
            for at in (0..N).filter(|at| tick >= self.nodes[*at].paused_until).collect::<Vec<_>>() {
                self.step(at, member::Input::Tick);
                if at == self.lead_at && !self.nodes[at].cut {
                    let sent = self.local(at).saturating_sub(ms(5));
                    self.lead(at, leader::Input::Confirmed { sent });
                }
                self.lead(at, leader::Input::Tick);
            }
            if self.fault == Fault::RashCommit {
                if let Some(run) = self.state.open_activation().filter(|r| r.stage == Stage::Preparing) {
                    let (turn, term, at) =
                        (run.activation.fence.turn, self.term, self.local(self.lead_at) + ms(100));
                    let _ = self.apply(Entry::Commit { turn, at: Stamp { term, at } });
                }
            }
            self.check_invariants();
            tick += 5_000_000;
        }
    }

    fn restart(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.starts += 1;
        let identity = MemberIncarnation { name: format!("m{at}"), incarnation: node.starts };
        (node.member, node.leader) =
            (Member::new(identity, known(), Timing::default()), Leader::new(Timing::default()));
    }

    fn inject_fault(&mut self) {
        let at = self.rng.random_range(0..N);
        match self.rng.random_range(0..6) {
            0 => self.nodes[at].paused_until = self.now + self.rng.random_range(10_000_000..4_000_000_000),
            1 => self.restart(at),
            2 => self.nodes[at].cut = true,
            3 => self.nodes.iter_mut().for_each(|n| n.cut = false),
            4 => self.loss = self.rng.random_range(0.0..0.3),
            _ => self.elect(at),
        }
        let node = &self.nodes[self.lead_at];
        if node.cut || node.paused_until > self.now || self.term > 1 && self.nodes[self.lead_at].starts > 1 {
            let reachable = (0..N).find(|n| !self.nodes[*n].cut && self.nodes[*n].paused_until <= self.now);
            if let Some(reachable) = reachable.filter(|_| self.rng.random_bool(0.8)) {
                self.elect(reachable);
            }
        }
    }

    fn prepare(&mut self, version: u64) -> Result<hopwalk::fleet::routes::record::Applied, RecordError> {
        self.apply(Entry::Prepare { version, by: "anna".into() })
    }

    fn with_version_1(seed: u64) -> Self {
        let mut fleet = Self::new(seed, Fault::None);
        fleet.run(1500);
        fleet.prepare(1).unwrap();
        fleet.run(6000);
        assert_eq!(fleet.state.active().unwrap().fence.version, 1);
        fleet
    }

    fn aborted(&self) -> Option<&AbortReason> {
        self.state.history().last().unwrap().aborted.as_ref()
    }
}

fn run_seed(seed: u64, fault: Fault) -> (Option<String>, u64) {
    let mut fleet = Fleet::new(seed, fault);
    fleet.run(1500);
    for round in 0..4 {
        let _ = fleet.prepare(1 + round % 3);
        for _ in 0..6 {
            // All steps of prepare and commit happen within the first 3 s.
            let pause = fleet.rng.random_range(5..900);
            fleet.run(pause);
            fleet.inject_fault();
        }
        if fleet.violation.is_some() {
            return (fleet.violation, fleet.highest);
        }
    }
    fleet.loss = 0.0;
    fleet.nodes.iter_mut().for_each(|n| (n.cut, n.paused_until) = (false, 0));
    let at = fleet.rng.random_range(0..N);
    fleet.elect(at);
    fleet.run(9000);
    if fleet.violation.is_none() && fleet.state.open_activation().is_some() {
        fleet.violation = Some("an activation did not end after the heal".into());
    }
    (fleet.violation, fleet.highest)
}

#[test]
fn no_two_members_ever_act_on_different_versions() {
    let seeds = std::env::var("ROUTES_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(500);
    let mut switches = 0;
    for seed in 0..seeds {
        let (violation, highest) = run_seed(seed, Fault::None);
        assert_eq!(violation, None, "seed {seed}");
        switches += highest;
    }
    println!("{seeds} seeds, turns reached {switches}");
    assert!(switches > seeds, "too few switches for a meaningful test");
}

#[test]
fn the_invariant_finds_planted_faults() {
    for fault in [Fault::LongLease, Fault::RashCommit] {
        let found = (0..50).filter(|seed| run_seed(*seed, fault).0.is_some()).count();
        assert!(found > 0, "the planted fault is not found");
        println!("found in {found} of 50 seeds");
    }
}

#[test]
fn before_the_first_activation_members_with_a_lease_act_on_turn_0_and_leave_it_together() {
    let mut fleet = Fleet::new(7, Fault::None);
    let route = |fleet: &Fleet, at: usize| {
        let now = fleet.local(at);
        fleet.nodes[at].member.route(now, CallRequest { read: now, ..CallRequest::default() })
    };
    assert_eq!(route(&fleet, 1), CallDecision::Barred, "no reply of a leader yet");
    fleet.run(1500);
    assert!((0..N).all(|at| route(&fleet, at) == CallDecision::Allowed(Fence::default())));
    fleet.prepare(1).unwrap();
    fleet.run(4000);
    let first = Fence { turn: 1, version: 1 };
    assert!((0..N).all(|at| route(&fleet, at) == CallDecision::Allowed(first)));
    let member = &fleet.nodes[0].member;
    assert!(member.table_under(first).is_some() && member.table_under(Fence::default()).is_none());
    // Without a leader the lease ends.
    fleet.nodes.iter_mut().for_each(|n| n.cut = true);
    fleet.nodes[fleet.lead_at].paused_until = u64::MAX;
    fleet.run(2500);
    assert_eq!((route(&fleet, 1), fleet.violation), (CallDecision::Barred, None));
}

#[test]
fn one_refusal_aborts_and_a_rollback_activates_the_previous_version() {
    let mut fleet = Fleet::with_version_1(1);
    fleet.refuses = Some(3);
    fleet.prepare(2).unwrap();
    fleet.run(1500);
    assert!(
        matches!(fleet.aborted(), Some(AbortReason::Refused(member, Refusal::Connect { .. })) if member.name == "m3")
    );
    fleet.refuses = None;
    fleet.prepare(2).unwrap();
    fleet.run(5000);
    fleet.apply(Entry::Rollback { by: "anna".into() }).unwrap();
    fleet.run(5000);
    let fence = fleet.state.active().unwrap().fence;
    assert_eq!((fence.version, fence.turn), (1, 4), "an older version under a newer turn");
    assert_eq!(fleet.violation, None);
}

#[test]
fn a_silent_member_aborts_unless_its_lease_ends_in_time() {
    let mut fleet = Fleet::with_version_1(2);
    fleet.nodes[3].fetches_nothing = true;
    fleet.prepare(2).unwrap();
    fleet.run(5000);
    assert!(matches!(fleet.aborted(), Some(AbortReason::Silent(member)) if member.name == "m3"));
    fleet.nodes[3].cut = true;
    fleet.prepare(2).unwrap();
    fleet.run(6000);
    assert_eq!((fleet.aborted(), fleet.state.active().unwrap().fence.version), (None, 2));
    assert_eq!(fleet.violation, None);
}

#[test]
fn a_member_that_receives_nothing_gets_no_lease_and_delays_no_switch() {
    let mut fleet = Fleet::with_version_1(5);
    fleet.unreached = Some((fleet.lead_at + 1) % N);
    fleet.prepare(2).unwrap();
    fleet.run(6000);
    assert_eq!((fleet.aborted(), fleet.state.active().unwrap().fence.version), (None, 2));
    assert_eq!(fleet.violation, None);
}

#[test]
fn of_two_concurrent_operators_one_succeeds_and_the_other_gets_an_error() {
    let mut fleet = Fleet::with_version_1(3);
    fleet.prepare(2).unwrap();
    let result = fleet.apply(Entry::Prepare { version: 3, by: "ben".into() });
    assert_eq!(result, Err(RecordError::Busy { version: 2, by: "anna".into() }));
}

#[test]
fn inside_the_uncertainty_a_request_waits_for_at_most_twice_the_bound() {
    let mut fleet = Fleet::with_version_1(4);
    fleet.prepare(2).unwrap();
    while fleet.nodes[2].member.lease_and_switch().1.is_none() {
        fleet.run(5);
    }
    let member = fleet.nodes[2].member.clone();
    let window = member.lease_and_switch().1.unwrap().1;
    let route = |now, last_fence| member.route(now, CallRequest { read: now, last_fence, ran: None });
    let CallDecision::Allowed(old) = route(fleet.local(2), None) else { panic!("no lease") };
    assert_eq!(route(window.low, None), CallDecision::Wait(window.high));
    assert!(window.bound() <= ms(6) && window.bound() > Duration::ZERO);
    fleet.run(3000);
    let (now, member) = (fleet.local(2), &fleet.nodes[2].member);
    let request = CallRequest { read: now, last_fence: Some(old), ran: None };
    assert_eq!(member.route(now, request), CallDecision::Ended(old), "tried under the old version");
    assert_eq!(member.route(now, CallRequest { ran: Some(old), ..request }), CallDecision::FromKey(old));
}

#[test]
fn a_wide_bound_and_a_wrong_clock_are_different_errors() {
    let mut clock = Clock::default();
    let s = |sent, received, theirs| Sample { sent: ms(sent), received: ms(received), theirs: ms(theirs) };
    clock.add_sample(s(100, 111, 1105)).unwrap();
    assert!(matches!(clock.usable_bound(ms(111)), Err(ClockError::Wide { .. })));
    clock.add_sample(s(200, 201, 1200)).unwrap();
    assert!(clock.usable_bound(ms(201)).unwrap() < ms(1));
    clock.add_sample(s(300, 301, 3300)).unwrap();
    assert_eq!(clock.usable_bound(ms(301)), Err(ClockError::Disagree));
    assert_eq!(clock.add_sample(s(5, 4, 1)), Err(ClockError::Backwards));
}

#[test]
fn the_posture_of_a_member_that_is_cut_off_changes_before_the_others_are_declared_dead() {
    let voters: Vec<String> = (0..5).map(|n| format!("m{n}")).collect();
    let mut reach = Reachability::new("m0", &voters, ms(200));
    assert_eq!(reach.posture(ms(0)), Posture::Alone);
    for (reachable, posture) in [(2, Posture::Minority), (3, Posture::Majority), (5, Posture::Whole)] {
        voters[1..reachable].iter().for_each(|v| reach.answered(v, ms(1000)));
        assert_eq!(reach.posture(ms(1100)), posture);
    }
    assert_eq!(reach.posture(ms(1000) + ms(200) * REACHABLE_PERIODS), Posture::Alone, "5 periods: 1 s");
    for p in [Posture::Whole, Posture::Majority, Posture::Minority, Posture::Alone] {
        let (may, quorum) = (p.permissions(), p >= Posture::Majority);
        assert!(may.serve && [may.propose, may.prepare, may.activate, may.decide] == [quorum; 4]);
    }
}

#[test]
fn the_membership_distinguishes_a_minority_from_alone_and_permits_nothing_more() {
    let voters: Vec<String> = (0..5).map(|n| format!("m{n}")).collect();
    let all: Vec<String> = (0..7).map(|n| format!("m{n}")).collect();
    // Each set of voters that answer the record with each set of members that answer the membership, for m0 and for m6.
    for (own, record, membership) in ["m0", "m6"]
        .into_iter()
        .flat_map(|own| (0..32u32).flat_map(move |r| (0..128u32).map(move |m| (own, r, m))))
    {
        let new = || Reachability::new(own, &voters, ms(200));
        let (plain, beside) = (new(), new().with_membership(ms(100)));
        let add_answers = |mut reachability: Reachability| {
            let answering = voters.iter().enumerate().filter(|(n, _)| record >> n & 1 == 1);
            answering.for_each(|(_, name)| reachability.answered(name, ms(1000)));
            reachability
        };
        let (plain, mut beside) = (add_answers(plain), add_answers(beside));
        let acked = all.iter().enumerate().filter(|(n, _)| membership >> n & 1 == 1);
        acked.clone().for_each(|(_, name)| beside.membership_answered(name, ms(1000)));
        let others = acked.filter(|(_, name)| *name != own).count() > 0;
        let (without, with) = (plain.posture(ms(1400)), beside.posture(ms(1400)));
        assert_eq!(with.permissions(), without.permissions(), "{own} {record:b} {membership:b}");
        let expected = if without == Posture::Alone && others { Posture::Minority } else { without };
        assert_eq!(with, expected, "{own} {record:b} {membership:b}");
        // The membership's answers count for five of its own periods, and are then forgotten.
        assert_eq!(beside.posture(ms(1000) + ms(100) * REACHABLE_PERIODS), without);
        beside.membership_answered("m5", ms(2000));
        assert_eq!(beside.membership_reachable(ms(2100)), ["m5"]);
    }
}

#[test]
fn the_whole_table_is_validated() {
    let table = Table::parse(&document(1)).unwrap();
    assert_eq!(table.check(&known()), Ok(()));
    assert_eq!(Table::parse(&table.canonical()).unwrap().hash(), table.hash());
    let with =
        |from: &str, to: &str| Table::parse(&document(1).replace(from, to)).and_then(|t| t.check(&known()));
    assert!(matches!(with("\"weight\":1", "\"weight\":0"), Err(TableError::Zero { .. })));
    assert!(matches!(with("\"seat\"", "\"boat\""), Err(TableError::UnknownClass { .. })));
    assert!(matches!(with("\"seat\"", "\"seat\",\"tenant\":\"x\""), Err(TableError::UnknownTenant { .. })));
    assert!(matches!(with("\"seat\"", "\"seat\",\"tenant\":\"t\""), Err(TableError::MissingClass { .. })));
    assert!(matches!(with("\"pool\":\"a\"", "\"pool\":\"b\""), Err(TableError::UnknownPool { .. })));
    assert!(matches!(with("tries", "trys"), Err(TableError::Json { .. })));
    let arms = r#""arms":[{"name":"x","pool":"a","share":999}],"tries""#;
    assert!(matches!(with("\"tries\"", arms), Err(TableError::Shares { sum: 999, .. })));
}

/// A document of `bytes` bytes, without whitespace, with `routes` routes that omit `without`.
fn document_of(bytes: usize, routes: usize) -> String {
    let route = |n: usize| format!(r#"{{"class":"c{n}","pool":"a","timeout_ms":9,"tries":1}}"#);
    let routes: Vec<_> = (0..routes).map(route).collect();
    let name = |n: usize| "x".repeat(n);
    let with = |n: usize| {
        let (name, pool) = (name(n), r#"[{"address":"127.0.0.1:1","weight":1}]"#);
        format!(r#"{{"pools":{{"a":{pool},"{name}":{pool}}},"routes":[{}]}}"#, routes.join(","))
    };
    with(bytes - with(0).len())
}

#[test]
fn a_table_whose_canonical_form_is_too_long_is_refused_when_proposed() {
    // Each route's `without` is 16 bytes longer in the canonical form.
    let fits = Table::parse(&document_of(MAX_BYTES - 20 * 16, 20)).unwrap();
    assert_eq!(fits.canonical().len(), MAX_BYTES);
    assert_eq!(Table::parse(&fits.canonical()), Ok(fits));
    let over = document_of(MAX_BYTES, 20);
    let problem = TableError::Canonical { bytes: MAX_BYTES + 20 * 16 };
    assert_eq!((over.len(), Table::parse(&over)), (MAX_BYTES, Err(problem.clone())));
    let one = document_of(MAX_BYTES - 20 * 16 + 1, 20);
    assert_eq!(Table::parse(&one), Err(TableError::Canonical { bytes: MAX_BYTES + 1 }));
    let propose = Entry::Propose { table: over, by: "o".into() };
    assert_eq!(propose.bounded(), Err(RecordError::Table { problem }));
    // An entry that is already in a log is still applied, by all voters in the same way.
    assert!(State::default().apply(&propose).is_ok());
}

#[test]
fn an_order_with_a_too_long_operator_name_is_not_logged() {
    let by = |bytes: usize| "x".repeat(bytes);
    let all = |bytes: usize| {
        [
            Entry::Propose { table: document(1), by: by(bytes) },
            Entry::Prepare { version: 1, by: by(bytes) },
            Entry::Rollback { by: by(bytes) },
            Entry::Abort { turn: 1, why: AbortReason::Operator(by(bytes)) },
        ]
    };
    assert!(all(MAX_OPERATOR_NAME).iter().all(|entry| entry.bounded() == Ok(())));
    let over = Err(RecordError::By { bytes: MAX_OPERATOR_NAME + 1 });
    assert!(all(MAX_OPERATOR_NAME + 1).iter().all(|entry| entry.bounded() == over));
    assert_eq!(Entry::Done { turn: 1 }.bounded(), Ok(()));
}

#[test]
fn the_record_keeps_a_refusal_with_truncated_names() {
    let name = "é".repeat(MAX_BYTES / 2);
    let problem = TableError::RouteTwice { class: name.clone(), tenant: Some("t".into()) };
    let kept = Refusal::Table { problem }.truncated();
    let class = "é".repeat(MAX_RECORDED_NAME / 2) + "…";
    assert_eq!(kept, Refusal::Table { problem: TableError::RouteTwice { class, tenant: Some("t".into()) } });
    assert_eq!(kept.clone().truncated().to_string().len(), kept.to_string().len());
}
