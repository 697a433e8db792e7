//! A deterministic simulation of the membership protocol: the members' own state machines in one process, on a clock
//! of its own, over a network that delays and loses datagrams by a seed. For sizes that one machine cannot start as
//! processes, and for many runs of a small fleet.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::fleet::membership::view::{Id, Metadata, State, View};
use crate::fleet::membership::{Input, Membership, Options};
use crate::lab::random::Random;

/// Members of one simulation at most.
pub const MOST_MEMBERS: u32 = 2_000;
/// Delay of a datagram: at least, and up to so much more, in microseconds.
const DELAY_US: (u64, u64) = (300, 700);

/// What a simulation is told.
#[derive(Clone, Debug)]
pub struct Plan {
    pub members: u32,
    pub period: Duration,
    /// Share of datagrams lost, on every link.
    pub loss: f64,
    pub seed: u64,
}

enum What {
    Datagram(Vec<u8>),
    Timer,
}

struct Event {
    at: Duration,
    number: u64,
    to: usize,
    what: What,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A simulated fleet.
pub struct Fleet {
    plan: Plan,
    members: Vec<Option<Membership>>,
    index: HashMap<SocketAddrV4, usize>,
    side: Vec<u8>,
    /// Ways from one member to another on which nothing passes.
    cut: BTreeSet<(usize, usize)>,
    events: BinaryHeap<Reverse<Event>>,
    wakes: Vec<Duration>,
    now: Duration,
    number: u64,
    random: Random,
    /// Times that a member saw another one of its side, which lived, go down.
    pub false_deaths: u64,
    /// When a member saw another one go down: (seen by, seen, at).
    pub deaths: Vec<(usize, usize, Duration)>,
    /// When a member saw another one become suspect.
    pub suspicions: Vec<(usize, usize, Duration)>,
}

fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new([127, 1, (n >> 8) as u8, n as u8].into(), 7_000)
}

impl Fleet {
    /// All members start at once; the first one is the seed of all.
    pub fn start(plan: Plan) -> Self {
        let n = plan.members.min(MOST_MEMBERS) as usize;
        let mut fleet = Self {
            members: Vec::new(),
            index: HashMap::new(),
            side: vec![0; n],
            cut: BTreeSet::new(),
            events: BinaryHeap::new(),
            wakes: vec![Duration::MAX; n],
            now: Duration::ZERO,
            number: 0,
            random: Random::new(plan.seed),
            false_deaths: 0,
            deaths: Vec::new(),
            suspicions: Vec::new(),
            plan,
        };
        for m in 0..n {
            let options = Options {
                id: Id { address: address(m), incarnation: 1, name: format!("m{m}") },
                fleet: "sim".into(),
                seeds: vec![address(0)],
                period: fleet.plan.period,
                seed: fleet.plan.seed.wrapping_mul(1_000_003).wrapping_add(m as u64),
            };
            fleet.members.push(Some(Membership::new(options, Metadata::default())));
            fleet.index.insert(address(m), m);
            // Not all in the same microsecond.
            let at = fleet.plan.period.mul_f64(fleet.random.unit());
            fleet.wake(m, at);
        }
        fleet
    }

    fn push(&mut self, at: Duration, to: usize, what: What) {
        self.number += 1;
        self.events.push(Reverse(Event { at, number: self.number, to, what }));
    }

    fn wake(&mut self, m: usize, at: Duration) {
        if at < self.wakes[m] {
            self.wakes[m] = at;
            self.push(at, m, What::Timer);
        }
    }

    /// Plays up to `until`, on the simulation's clock.
    pub fn play(&mut self, until: Duration) {
        while self.events.peek().is_some_and(|Reverse(e)| e.at <= until) {
            let Some(Reverse(event)) = self.events.pop() else { break };
            self.now = event.at;
            match &event.what {
                What::Timer if self.wakes[event.to] != event.at => continue,
                What::Timer => {
                    self.wakes[event.to] = Duration::MAX;
                    self.step(event.to, Input::Tick);
                }
                What::Datagram(bytes) => self.step(event.to, Input::Datagram(bytes)),
            }
        }
        self.now = until;
    }

    fn step(&mut self, m: usize, input: Input<'_>) {
        let Some(member) = self.members[m].as_mut() else { return };
        let out = member.step(self.now, input);
        let due = member.due().max(self.now);
        self.wake(m, due);
        for change in &out.changes {
            let Some(seen) = self.index.get(&change.id.address).copied() else { continue };
            match change.to {
                State::Suspect => self.suspicions.push((m, seen, self.now)),
                State::Down => self.deaths.push((m, seen, self.now)),
                _ => {}
            }
            if change.to != State::Down {
                continue;
            }
            let lives =
                self.members[seen].as_ref().is_some_and(|s| s.id().incarnation == change.id.incarnation);
            self.false_deaths += u64::from(lives && self.side[seen] == self.side[m]);
        }
        for (to, bytes) in out.send {
            let Some(to) = self.index.get(&to).copied() else { continue };
            let lost = self.random.unit() < self.plan.loss
                || self.side[to] != self.side[m]
                || self.cut.contains(&(m, to));
            let delay = DELAY_US.0 + (DELAY_US.1 as f64 * self.random.unit()) as u64;
            if !lost {
                self.push(self.now + Duration::from_micros(delay), to, What::Datagram(bytes));
            }
        }
    }

    /// Ends a member without a word.
    pub fn kill(&mut self, m: usize) {
        self.members[m] = None;
    }

    /// Lets a member leave.
    pub fn leave(&mut self, m: usize) {
        self.step(m, Input::Leave);
        self.members[m] = None;
    }

    /// Puts members on sides; datagrams between sides are lost.
    pub fn split(&mut self, side: impl Fn(usize) -> u8) {
        self.side = (0..self.members.len()).map(side).collect();
    }

    /// Cuts one way from a member to another, or opens it again.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cut.insert((from, to));
        } else {
            self.cut.remove(&(from, to));
        }
    }

    /// Whether every living member sees every other living one as up and all others as not.
    pub fn agreed(&self) -> bool {
        let living: Vec<_> = self.members.iter().flatten().collect();
        living.iter().all(|m| {
            let up = m.view().members().filter(|s| View::is_up(s)).count();
            up + 1 == living.len()
                && living.iter().filter(|o| o.id() != m.id()).all(|o| {
                    m.view().by_address(&o.id().address).is_some_and(|s| s.id == *o.id() && View::is_up(s))
                })
        })
    }

    /// Whether all agree, and each also knows it of every other one, by its note.
    pub fn settled(&self) -> bool {
        let heard = |m: &Membership| m.view().members().all(|s| s.metadata.is_some() || !View::is_up(s));
        let settled = |m: &Membership| heard(m) && m.disagreements().is_empty();
        self.agreed() && self.members.iter().flatten().all(settled)
    }

    /// Plays until all agree; how long it took, or nothing within `most`.
    pub fn agree(&mut self, most: Duration) -> Option<Duration> {
        let since = self.now;
        while !self.agreed() {
            if self.now >= since + most {
                return None;
            }
            self.play(self.now + self.plan.period / 4);
        }
        Some(self.now - since)
    }

    /// Datagrams and bytes sent by all living members so far.
    pub fn traffic(&self) -> (u64, u64) {
        let counts = self.members.iter().flatten().map(Membership::counts);
        counts.fold((0, 0), |(n, bytes), c| (n + c.sent, bytes + c.sent_bytes))
    }

    /// The simulation's clock.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// A member, while it lives.
    pub fn member(&self, m: usize) -> Option<&Membership> {
        self.members.get(m).and_then(Option::as_ref)
    }
}

/// The figures of a fleet of one size under one loss.
#[derive(Debug, Default)]
pub struct Figures {
    /// Periods until all agreed, and until each knew it of all others; nothing if not within 200.
    pub joined: Option<(f64, f64)>,
    /// Simulated seconds a real second, over the joining and the quiet periods.
    pub pace: f64,
    /// Times from a death to the first suspicion, to the first one who sees it down, and to all, in periods.
    pub suspected: Vec<f64>,
    pub first: Vec<f64>,
    pub all: Vec<f64>,
    /// False deaths, and the periods in which they were looked for.
    pub false_deaths: u64,
    pub quiet_periods: f64,
    /// Datagrams and bytes a member a period, while nothing happens.
    pub datagrams: f64,
    pub bytes: f64,
    /// Periods from the heal of a partition into 3 to 2 until all agree; none if they did not within 200.
    pub healed: Vec<Option<f64>>,
}

/// Measures a fleet: `kills` deaths, each in a fleet of its own seed, `quiet` periods without one, `heals` partitions.
pub fn measure(members: u32, loss: f64, kills: u64, quiet: u32, heals: u64) -> Figures {
    let period = Duration::from_secs(1);
    let in_periods = |time: Duration| time.as_secs_f64() / period.as_secs_f64();
    let start = |seed| {
        let mut fleet = Fleet::start(Plan { members, period, loss, seed });
        fleet.agree(period * 200);
        fleet.play(fleet.now() + period * 20);
        fleet
    };
    let mut figures = Figures::default();
    for seed in 1..=kills {
        let mut fleet = start(seed);
        fleet.play(fleet.now() + period.mul_f64(Random::new(seed).unit()));
        let (victim, killed) = ((seed as usize) % members as usize, fleet.now());
        fleet.kill(victim);
        fleet.play(killed + period * 60);
        let times = |list: &[(usize, usize, Duration)], least: &mut Vec<f64>, all: Option<&mut Vec<f64>>| {
            let seen = list.iter().filter(|(_, seen, at)| *seen == victim && *at >= killed);
            let mut seen: Vec<_> = seen.map(|(_, _, at)| in_periods(*at - killed)).collect();
            seen.sort_by(f64::total_cmp);
            least.extend(seen.first());
            if let Some(all) = all {
                all.extend(seen.last());
            }
        };
        times(&fleet.suspicions, &mut figures.suspected, None);
        times(&fleet.deaths, &mut figures.first, Some(&mut figures.all));
    }
    let began = Instant::now();
    let mut fleet = Fleet::start(Plan { members, period, loss, seed: 1_000 });
    let joined = fleet.agree(period * 200);
    while !fleet.settled() && fleet.now() < period * 200 {
        fleet.play(fleet.now() + period);
    }
    figures.joined = joined.filter(|_| fleet.settled()).map(|at| (in_periods(at), in_periods(fleet.now())));
    fleet.play(fleet.now() + period * 20);
    let (before, deaths) = (fleet.traffic(), fleet.false_deaths);
    fleet.play(fleet.now() + period * quiet);
    let after = fleet.traffic();
    figures.pace = fleet.now().as_secs_f64() / began.elapsed().as_secs_f64();
    figures.false_deaths = fleet.false_deaths - deaths;
    figures.quiet_periods = f64::from(quiet);
    let each = f64::from(members) * f64::from(quiet.max(1));
    figures.datagrams = (after.0 - before.0) as f64 / each;
    figures.bytes = (after.1 - before.1) as f64 / each;
    for seed in 1..=heals {
        let mut fleet = start(seed + 2_000);
        let first = members as usize * 3 / 5;
        fleet.split(|m| u8::from(m >= first));
        fleet.play(fleet.now() + period * 60);
        fleet.split(|_| 0);
        figures.healed.push(fleet.agree(period * 200).map(in_periods));
    }
    figures
}

/// The mean and the 99th percentile (the largest of fewer than a hundred).
pub fn mean_and_p99(values: &[f64]) -> (f64, f64) {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (sorted.len() * 99).div_ceil(100).saturating_sub(1);
    let mean = sorted.iter().sum::<f64>() / sorted.len().max(1) as f64;
    (mean, sorted.get(at).copied().unwrap_or(f64::NAN))
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Duration = Duration::from_secs(1);

    fn fleet(members: u32, loss: f64, seed: u64) -> Fleet {
        println!("members {members}, loss {loss}, seed {seed}");
        let mut fleet = Fleet::start(Plan { members, period: S, loss, seed });
        assert!(fleet.agree(S * 60).is_some(), "they do not find each other");
        fleet
    }

    #[test]
    fn a_hundred_join_and_settle() {
        let mut fleet = fleet(100, 0.0, 23);
        let since = fleet.now();
        while !fleet.settled() {
            assert!(fleet.now() < since + S * 60, "they do not settle");
            fleet.play(fleet.now() + S);
        }
        println!("settled after {:?}", fleet.now());
        assert_eq!(fleet.false_deaths, 0);
    }

    #[test]
    fn one_that_dies_is_seen_down_by_all_and_nobody_else_is() {
        for seed in 1..=5 {
            let mut fleet = fleet(5, 0.0, seed);
            fleet.kill(3);
            assert!(fleet.agree(S * 20).is_some());
            let seen: std::collections::BTreeSet<_> = fleet.deaths.iter().map(|d| (d.0, d.1)).collect();
            assert_eq!(seen, [(0, 3), (1, 3), (2, 3), (4, 3)].into());
            assert_eq!(fleet.false_deaths, 0);
        }
    }

    #[test]
    fn one_that_leaves_is_left_and_not_down() {
        let mut fleet = fleet(5, 0.0, 7);
        fleet.leave(2);
        assert!(fleet.agree(S * 20).is_some());
        for m in [0, 1, 3, 4] {
            assert_eq!(
                fleet.member(m).unwrap().view().by_name("m2").unwrap().state,
                State::Left,
                "seen by m{m}"
            );
        }
    }

    #[test]
    fn two_sides_agree_again_after_a_heal() {
        let mut fleet = fleet(5, 0.0, 11);
        fleet.split(|m| u8::from(m >= 3));
        fleet.play(fleet.now() + S * 30);
        assert!(fleet.deaths.len() >= 12, "the sides hold each other for alive: {:?}", fleet.deaths);
        fleet.split(|_| 0);
        assert!(fleet.agree(S * 60).is_some(), "no agreement after the heal");
    }

    #[test]
    fn a_link_that_works_one_way_is_named_by_all_and_costs_nobody_his_membership() {
        for seed in 1..=3 {
            let mut fleet = fleet(5, 0.0, seed);
            let named = |fleet: &Fleet, m: usize| fleet.member(m).unwrap().one_way();
            fleet.cut(3, 1, true);
            fleet.play(fleet.now() + S * 60);
            for m in 0..5 {
                assert_eq!(named(&fleet, m), [(address(3), address(1))], "seen by m{m}");
                assert!(fleet.member(m).unwrap().disagreements().is_empty(), "they agree on who is up");
            }
            assert_eq!(fleet.false_deaths, 0);
            fleet.cut(3, 1, false);
            fleet.play(fleet.now() + S * 60);
            assert!((0..5).all(|m| named(&fleet, m).is_empty()));
        }
    }

    #[test]
    fn who_holds_another_for_dead_is_named_until_they_agree() {
        let mut fleet = fleet(5, 0.0, 19);
        fleet.split(|m| u8::from(m >= 3));
        fleet.play(fleet.now() + S * 30);
        assert!(
            (0..5).all(|m| fleet.member(m).unwrap().disagreements().is_empty()),
            "a side agrees in itself"
        );
        fleet.split(|_| 0);
        let (mut named, since) = (0, fleet.now());
        while fleet.now() < since + S * 60 {
            fleet.play(fleet.now() + S / 4);
            named += (0..5).filter(|m| !fleet.member(*m).unwrap().disagreements().is_empty()).count();
        }
        assert!(named > 0, "the sides met with different views, and nobody said so");
        assert!((0..5).all(|m| fleet.member(m).unwrap().disagreements().is_empty()), "they agree again");
    }

    #[test]
    fn a_fifth_of_all_datagrams_lost_kills_nobody_in_ten_minutes() {
        let mut fleet = fleet(5, 0.2, 13);
        fleet.play(fleet.now() + S * 600);
        assert_eq!(fleet.false_deaths, 0, "{:?}", fleet.deaths);
    }

    #[test]
    fn the_same_seed_plays_the_same() {
        let play = || {
            let mut fleet = fleet(9, 0.2, 17);
            fleet.play(S * 100);
            fleet.traffic()
        };
        assert_eq!(play(), play());
    }
}
