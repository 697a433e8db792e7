//! Error rates of simulated experiments in difficult conditions: tests after every second, autocorrelated outcomes, and
//! subjects that return. Each function takes the number of simulations: the figures of docs/experiments.md are made by
//! the same code with more of them.

use std::collections::BTreeSet;
use std::time::Duration;

use hopwalk::fleet::experiment::assign::arm;
use hopwalk::fleet::experiment::blocks::Tally;
use hopwalk::fleet::experiment::counter::Counter;
use hopwalk::fleet::experiment::counts::{Cell, Kind};
use hopwalk::fleet::experiment::decide::Evaluation;
use hopwalk::fleet::experiment::{Experiment, Verdict};

use super::{experiment, Random, SEED};

fn tally_of(served: u64, all: u64) -> Tally {
    Tally { served, late: all - served, ..Tally::default() }
}

fn draws(random: &mut Random, n: u64, probability: f64) -> u64 {
    (0..n).filter(|_| random.unit() < probability).count() as u64
}

/// Simulates experiments of two arms, and returns the shares that end with each winner, with harm or with an invalid
/// split, and the number of blocks until a winner. `next` makes the next block of a simulation from its state.
fn simulate<S>(
    runs: u32,
    experiment: &Experiment,
    mut begin: impl FnMut(&mut Random) -> S,
    mut next: impl FnMut(&mut Random, &mut S, u64) -> Vec<Tally>,
) -> Outcomes {
    let (mut random, mut outcomes) = (Random(SEED), Outcomes::default());
    for _ in 0..runs {
        let (mut state, mut evaluation) = (begin(&mut random), Evaluation::new(experiment));
        let verdict = (0..experiment.blocks()).find_map(|block| {
            let tallies = next(&mut random, &mut state, block);
            evaluation.push(experiment, &tallies)
        });
        match verdict {
            Some(Verdict::Winner { arm, .. }) => {
                outcomes.winners[arm] += 1.0 / f64::from(runs);
                outcomes.blocks.push(evaluation.closed());
            }
            Some(Verdict::Harm { .. }) => outcomes.harm += 1.0 / f64::from(runs),
            Some(Verdict::Invalid { .. }) => outcomes.invalid += 1.0 / f64::from(runs),
            _ => {}
        }
    }
    outcomes.blocks.sort_unstable();
    outcomes
}

#[derive(Default)]
struct Outcomes {
    winners: [f64; 2],
    harm: f64,
    invalid: f64,
    blocks: Vec<u64>,
}

impl Outcomes {
    fn any_winner(&self) -> f64 {
        self.winners[0] + self.winners[1]
    }
}

/// An experiment with a margin so wide that harm does not end it before a false winner.
fn without_harm(blocks: u64, least: u64) -> Experiment {
    let (harm_margin, longest_ms) = (0.99, blocks * 1000);
    Experiment { harm_margin, longest_ms, least_blocks: least, ..experiment(&[0.5, 0.5]) }
}

/// The share of false winners with 20 independent requests per arm and second, tested every second for five minutes;
/// and that of a z-test of two shares at 0.05 with the same numbers, tested as often from the same block on.
fn every_second(n: u32) -> (f64, f64) {
    let next =
        |random: &mut Random, (): &mut (), _| [0, 1].map(|_| tally_of(draws(random, 20, 0.8), 20)).to_vec();
    let outcomes = simulate(n, &without_harm(300, 10), |_| (), next);
    let mut rejected = 0;
    let mut random = Random(SEED);
    for _ in 0..n {
        let mut sum = ([0.0; 2], false);
        for block in 0..300 {
            let served = [0, 1].map(|_| draws(&mut random, 20, 0.8));
            z_test(&mut sum, served, block);
        }
        rejected += u32::from(sum.1);
    }
    let z = f64::from(rejected) / f64::from(n);
    println!(
        "seed {SEED}, {n} simulations tested every second: false winners {:.4}, by a z-test {z:.4}",
        outcomes.any_winner()
    );
    (outcomes.any_winner(), z)
}

fn z_test((sums, rejected): &mut ([f64; 2], bool), served: [u64; 2], block: u64) {
    (0..2).for_each(|arm| sums[arm] += served[arm] as f64);
    let n = 20.0 * (block + 1) as f64;
    let p = (sums[0] + sums[1]) / (2.0 * n);
    let z = (sums[0] - sums[1]) / n / (2.0 * p * (1.0 - p) / n).sqrt();
    *rejected |= block >= 9 && z.abs() > 1.96;
}

/// The mean number of subjects until a winner, relative to the sample size of the two-sided fixed-sample test with a
/// power of 0.8 at 0.05. The effect is in percentage points over 0.8, and each subject makes one request.
fn subjects(n: u32, points: f64) -> f64 {
    let (a, b) = (0.8, 0.8 + points / 100.0);
    let fixed = 2.0 * (1.960f64 + 0.842).powi(2) * (a * (1.0 - a) + b * (1.0 - b)) / (b - a).powi(2);
    // Each block has a fortieth of the fixed sample size; the maximum is six times that size.
    let each = (fixed / 80.0).ceil() as u64;
    let block = |random: &mut Random, (): &mut (), _| {
        vec![tally_of(draws(random, each, a), each), tally_of(draws(random, each, b), each)]
    };
    let outcomes = simulate(n, &without_harm(240, 10), |_| (), block);
    let size = |blocks: f64| blocks * 2.0 * each as f64;
    let mean = outcomes.blocks.iter().sum::<u64>() as f64 / outcomes.blocks.len().max(1) as f64;
    let median = outcomes.blocks.get(outcomes.blocks.len() / 2).copied().unwrap_or(0) as f64;
    println!(
        "seed {SEED}, {n} simulations at {points} points: found {:.4}, wrong {:.4}, subjects mean {:.0}, median {:.0}, fixed {fixed:.0}",
        outcomes.winners[1], outcomes.winners[0], size(mean), size(median)
    );
    size(mean) / fixed
}

/// The share of false winners where each arm's probability follows its own AR(1) process over blocks, with lag-1
/// autocorrelation `rho` and standard deviation `sd`. The outcomes of the 200 requests are drawn by the normal
/// approximation of the binomial distribution (standard deviation 0.028).
fn autocorrelated(n: u32, (rho, sd): (f64, f64), blocks: u64, least: u64) -> f64 {
    let next = |random: &mut Random, own: &mut [f64; 2], _| {
        let step = |own: &mut f64, random: &mut Random| {
            *own = rho * *own + (1.0 - rho * rho).sqrt() * sd * random.normal();
            let probability = (0.8 + *own).clamp(0.0, 1.0);
            let served =
                200.0 * probability + (200.0 * probability * (1.0 - probability)).sqrt() * random.normal();
            tally_of(served.round().clamp(0.0, 200.0) as u64, 200)
        };
        own.iter_mut().map(|own| step(own, random)).collect()
    };
    let begin = |random: &mut Random| [sd * random.normal(), sd * random.normal()];
    let won = simulate(n, &without_harm(blocks, least), begin, next).any_winner();
    println!(
        "seed {SEED}, {n} simulations of {blocks} blocks, least {least}, AR(1) of {rho}, sd {sd}: false winners {won:.4}"
    );
    won
}

/// The share of false winners with bursts of 5 blocks on average, about one in 50 blocks. In a burst the probability of
/// both arms is lower by 0.2, and that of one randomly chosen arm by a further 0.3.
fn bursts(n: u32) -> f64 {
    let next = |random: &mut Random, at: &mut Option<usize>, _| {
        *at = match *at {
            Some(arm) => (random.unit() < 0.8).then_some(arm),
            None => (random.unit() < 0.02).then(|| usize::from(random.unit() < 0.5)),
        };
        let probability = |arm| 0.8 - at.map_or(0.0, |at| if at == arm { 0.5 } else { 0.2 });
        [0, 1].map(|arm| tally_of(draws(random, 200, probability(arm)), 200)).to_vec()
    };
    let won = simulate(n, &without_harm(200, 20), |_| None, next).any_winner();
    println!("seed {SEED}, {n} simulations with bursts: false winners {won:.4}");
    won
}

/// The share of false winners where over a day the probability goes from 0.95 to 0.5 and back, and the traffic from 50
/// to 400 requests and back.
fn daily_drift(n: u32) -> f64 {
    let next = |random: &mut Random, (): &mut (), block: u64| {
        let wave = (block as f64 / 200.0 * std::f64::consts::TAU).cos();
        let (probability, all) = (0.725 + 0.225 * wave, (225.0 - 175.0 * wave) as u64);
        [0, 1].map(|_| tally_of(draws(random, all, probability), all)).to_vec()
    };
    let won = simulate(n, &without_harm(200, 20), |_| (), next).any_winner();
    println!("seed {SEED}, {n} simulations of a day that drifts: false winners {won:.4}");
    won
}

/// The share of false winners with five members of different probabilities and traffic, of which one random member
/// stops reporting at a random block.
fn silent_member(n: u32) -> f64 {
    let next = |random: &mut Random, (silent, from): &mut (u64, u64), block: u64| {
        let is_reporting = |member: &u64| *member != *silent || block < *from;
        let served =
            |random: &mut Random, member: u64| draws(random, 20 + 20 * member, 0.5 + 0.1 * member as f64);
        let arm = |random: &mut Random| {
            let all = (0..5).filter(is_reporting).map(|member| 20 + 20 * member).sum();
            let served = (0..5).filter(is_reporting).map(|member| served(random, member)).sum();
            tally_of(served, all)
        };
        vec![arm(random), arm(random)]
    };
    let begin = |random: &mut Random| ((random.unit() * 5.0) as u64, (random.unit() * 200.0) as u64);
    let won = simulate(n, &without_harm(200, 20), begin, next).any_winner();
    println!("seed {SEED}, {n} simulations with a member that stops reporting: false winners {won:.4}");
    won
}

fn at(block: u64) -> Duration {
    Duration::from_millis(5500 + 1000 * block)
}

/// The shares of false winners with 40 requests per block, of which 60 in 100 come from one subject with a probability
/// of 0.3, and the others from 4,000 subjects with 0.8: counted by the program's counter, and with every request
/// counted.
fn heavy_subject(n: u32) -> (f64, f64) {
    let (experiment, members) = (without_harm(200, 20), BTreeSet::from(["m".to_string()]));
    let false_winners = |every_request: bool| {
        let begin = |random: &mut Random| {
            let counter = Counter::new(experiment.clone(), ("m".into(), 1), &members, Duration::ZERO);
            (random.unit().to_bits(), counter)
        };
        let next = |random: &mut Random, (run, counter): &mut (u64, Counter), block: u64| {
            let mut tallies = [tally_of(1, 2), tally_of(1, 2)];
            for _ in 0..40 {
                let is_heavy = random.unit() < 0.6;
                let subject = if is_heavy { 0 } else { 1 + (random.unit() * 4000.0) as u64 };
                let subject = [run.to_le_bytes(), subject.to_le_bytes()].concat();
                let served = random.unit() < if is_heavy { 0.3 } else { 0.8 };
                if every_request {
                    let tally = &mut tallies[arm(&experiment, &subject)];
                    if served {
                        tally.served += 1
                    } else {
                        tally.late += 1
                    }
                } else {
                    let kind = if served { Kind::Served } else { Kind::Late };
                    counter.count_outcome(&subject, kind, at(block)).unwrap();
                }
            }
            if every_request {
                return tallies.to_vec();
            }
            let report = counter.report(at(block + 1)).unwrap();
            counter.discard_closed(block + 1);
            sums(&[report.counts], block, 2)
        };
        simulate(n, &experiment, begin, next).any_winner()
    };
    let (once, every_request) = (false_winners(false), false_winners(true));
    println!("seed {SEED}, {n} simulations with a heavy subject: false winners {once:.4}; {every_request:.4} where every request is counted");
    (once, every_request)
}

pub fn sums(counts: &[hopwalk::fleet::experiment::counts::Counts], block: u64, arms: u8) -> Vec<Tally> {
    let sum = |arm, kind| {
        let each = counts.iter().flat_map(|counts| {
            counts.incarnations().map(move |(member, _)| counts.get(member, Cell { block, arm, kind }))
        });
        each.sum()
    };
    let tally = |arm| Tally {
        assigned: sum(arm, Kind::Assigned),
        served: sum(arm, Kind::Served),
        late: sum(arm, Kind::Late),
        failed: sum(arm, Kind::Failed),
        refused: sum(arm, Kind::Refused),
    };
    (0..arms).map(tally).collect()
}

/// The share of simulations whose split is found invalid, with five matchers and `each` subjects per block for 20
/// blocks. Each subject sends requests to `visits` matchers (all, or one at random), each in a random block. With
/// `lossy`, 2 in 100 subjects of the second arm are lost. The matchers know each other as members, or with `alone` each
/// knows only itself and counts all subjects that it gets.
fn split(n: u32, each: u64, visits: u64, lossy: bool, alone: bool) -> f64 {
    let experiment = Experiment { longest_ms: 20_000, ..without_harm(20, 10) };
    let all: BTreeSet<String> = (0..5).map(|at| format!("m{at}")).collect();
    let begin = |random: &mut Random| {
        let run = random.unit().to_bits();
        let counter = |name: &String| {
            let known = if alone { BTreeSet::from([name.clone()]) } else { all.clone() };
            Counter::new(experiment.clone(), (name.clone(), 1), &known, Duration::ZERO)
        };
        let mut counters: Vec<_> = all.iter().map(counter).collect();
        // Blocks must be counted in order of time, so all arrivals are drawn first.
        let mut order: Vec<Vec<(u64, usize)>> = vec![Vec::new(); 20];
        for subject in 0..each * 20 {
            let first = (random.unit() * 5.0) as u64;
            for visit in 0..visits {
                order[(random.unit() * 20.0) as usize].push((subject, ((first + visit) % 5) as usize));
            }
        }
        let mut counts = Vec::new();
        for (block, arrivals) in order.iter().enumerate() {
            for (number, matcher) in arrivals {
                let subject = [run.to_le_bytes(), number.to_le_bytes()].concat();
                // A lost subject is lost at all matchers.
                if lossy && number % 50 == 0 && arm(&experiment, &subject) == 1 {
                    continue;
                }
                counters[*matcher].count_assigned(&subject, at(block as u64)).unwrap();
            }
            let report = |counter: &mut Counter| counter.report(at(block as u64 + 1)).unwrap().counts;
            counts.push(counters.iter_mut().map(report).collect::<Vec<_>>());
            counters.iter_mut().for_each(|counter| counter.discard_closed(block as u64 + 1));
        }
        counts
    };
    let next = |_: &mut Random, counts: &mut Vec<Vec<_>>, block: u64| sums(&counts[block as usize], block, 2);
    let invalid = simulate(n, &experiment, begin, next).invalid;
    println!(
        "seed {SEED}, {n} splits of {} subjects, at {visits} of 5 matchers, lossy {lossy}, each alone {alone}: invalid {invalid:.4}",
        each * 20
    );
    invalid
}

#[test]
fn equal_arms_that_are_tested_every_second_win_at_most_at_alpha() {
    let (own, z) = every_second(60);
    assert!(own <= 0.05 && z > 0.15, "the z-test must have too many false winners in the same simulations");
}

#[test]
fn autocorrelated_outcomes_make_no_false_winner() {
    assert!(bursts(40) <= 0.05 && daily_drift(40) <= 0.05 && silent_member(40) <= 0.05);
    assert!(
        autocorrelated(40, (0.8, 0.05), 200, 20) <= 0.05
            && autocorrelated(40, (0.95, 0.05), 200, 100) <= 0.05
    );
}

#[test]
fn a_subject_with_most_of_the_traffic_makes_no_false_winner() {
    let (once, every_request) = heavy_subject(25);
    assert!(once <= 0.05 && every_request > 0.5);
}

#[test]
fn a_fair_split_is_valid_where_every_subject_reaches_all_five_matchers() {
    assert!(split(12, 300, 5, false, false) <= 0.05);
}

#[test]
#[ignore = "minutes: the figures of docs/experiments.md"]
fn figures_of_repeated_tests() {
    let (own, z) = every_second(10_000);
    assert!(own <= 0.05 && z > 0.2);
    for points in [1.0, 2.0, 5.0] {
        assert!(subjects(10_000, points) < 3.0);
    }
}

#[test]
#[ignore = "minutes: the figures of docs/experiments.md"]
fn figures_of_autocorrelated_outcomes() {
    let within = [bursts(10_000), daily_drift(10_000), silent_member(10_000)];
    assert!(within.iter().all(|won| *won <= 0.05), "{within:?}");
    // Each correlation time with the number of blocks that it needs, also with stronger noise than the AR(1) process.
    for (rho, blocks, least) in [(0.5, 200, 20), (0.8, 200, 20), (0.9, 400, 50), (0.95, 500, 100)] {
        for sd in [0.05, 0.02, 0.01] {
            let won = autocorrelated(10_000, (rho, sd), blocks, least);
            assert!(won <= 0.05, "{won}");
        }
    }
    // A longer correlation time than least_blocks implies: only printed.
    autocorrelated(10_000, (0.95, 0.05), 200, 20);
}

#[test]
#[ignore = "minutes: the figures of docs/experiments.md"]
fn figures_of_subjects() {
    let (once, every_request) = heavy_subject(10_000);
    assert!(once <= 0.05 && every_request > 0.5);
    assert!(split(10_000, 500, 5, false, false) <= 0.01);
}

#[test]
#[ignore = "minutes: the figures of docs/experiments.md"]
fn figures_of_splits() {
    split(1000, 500, 5, false, true);
    assert!(split(100, 20_000, 5, true, false) > 0.9);
    split(100, 40_000, 1, true, false);
}
