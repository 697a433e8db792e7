//! The test of the split: how many subjects it needs, how often it rejects a fair split, and that each subject is
//! counted once.

use std::collections::BTreeSet;
use std::time::Duration;

use hopwalk::fleet::experiment::assign::arm;
use hopwalk::fleet::experiment::counter::Counter;
use hopwalk::fleet::experiment::sequential::ln_e_split;
use hopwalk::fleet::experiment::Experiment;

use super::simulations::sums;
use super::{experiment, Random, SEED};

/// ln(1 / 0.01), at which the test rejects at a level of 0.01.
const REJECTION_LN_E: f64 = 4.605_170_185_988_092;
const STRENGTHS: [f64; 3] = [10.0, 100.0, 1000.0];

fn pick(random: &mut Random, shares: &[f64]) -> usize {
    let (draw, mut sum) = (random.unit(), 0.0);
    let next = |share: &f64| {
        sum += share;
        draw < sum
    };
    shares.iter().position(next).unwrap_or(shares.len() - 1)
}

/// The shares that remain if the share `lost` of the last arm's subjects is lost.
fn lossy(shares: &[f64], lost: f64) -> Vec<f64> {
    let mut remaining = shares.to_vec();
    remaining[shares.len() - 1] *= 1.0 - lost;
    let sum: f64 = remaining.iter().sum();
    remaining.iter().map(|share| share / sum).collect()
}

/// The e-values of the test, updated subject by subject: for each prior strength the product of the predictive
/// likelihood ratios, and the mean of these products. This is independent of the closed form under test.
struct SequentialEValues {
    counts: Vec<u64>,
    ln_e: [f64; 3],
}

impl SequentialEValues {
    fn new(arms: usize) -> Self {
        Self { counts: vec![0; arms], ln_e: [0.0; 3] }
    }

    fn add(&mut self, arm: usize, shares: &[f64]) {
        let total: u64 = self.counts.iter().sum();
        for (ln_e, k) in self.ln_e.iter_mut().zip(STRENGTHS) {
            let predicted = (k * shares[arm] + self.counts[arm] as f64) / (k + total as f64);
            *ln_e += (predicted / shares[arm]).ln();
        }
        self.counts[arm] += 1;
    }

    /// The ln e-values with prior strengths of 10, 100 and 1000, and of the mean of all three.
    fn all(&self) -> [f64; 4] {
        let mean = self.ln_e.iter().map(|ln_e| ln_e.exp()).sum::<f64>() / 3.0;
        [self.ln_e[0], self.ln_e[1], self.ln_e[2], mean.ln()]
    }
}

/// The mean number of subjects until each e-value of [`SequentialEValues::all`] rejects at 0.01, tested after each
/// subject.
fn power(runs: u32, shares: &[f64], lost: f64) -> [f64; 4] {
    let (mut random, mut sums) = (Random(SEED), [0.0; 4]);
    let actual = lossy(shares, lost);
    for _ in 0..runs {
        let (mut e_values, mut undecided) = (SequentialEValues::new(shares.len()), 4);
        let mut rejected = [false; 4];
        for subject in 1..4_000_000u32 {
            e_values.add(pick(&mut random, &actual), shares);
            for (at, ln_e) in
                e_values.all().into_iter().enumerate().filter(|(_, ln_e)| *ln_e >= REJECTION_LN_E)
            {
                if !std::mem::replace(&mut rejected[at], true) {
                    sums[at] += f64::from(subject);
                    undecided -= 1;
                }
                assert!(at < 3 || (ln_e_split(&e_values.counts, shares) - ln_e).abs() < 1e-6 * ln_e);
            }
            if undecided == 0 {
                break;
            }
        }
        assert_eq!(undecided, 0);
    }
    let mean = sums.map(|sum| (sum / f64::from(runs)).round());
    println!(
        "seed {SEED}, {runs} splits of {shares:?}, {lost} of the last lost: subjects until rejected at 10, 100, \
         1000 and all {mean:?}"
    );
    mean
}

/// The share of fair splits rejected at 0.01, with `each` subjects per second, tested every second of five minutes.
fn fair(runs: u32, shares: &[f64], each: u32) -> f64 {
    let mut random = Random(SEED);
    let mut rejected = 0;
    for _ in 0..runs {
        let mut counts = vec![0; shares.len()];
        let is_rejected = (0..300).any(|_| {
            (0..each).for_each(|_| counts[pick(&mut random, shares)] += 1);
            ln_e_split(&counts, shares) >= REJECTION_LN_E
        });
        rejected += u32::from(is_rejected);
    }
    let rejected = f64::from(rejected) / f64::from(runs);
    println!("seed {SEED}, {runs} fair splits of {shares:?}, {each} a second: rejected {rejected:.4}");
    rejected
}

const SPLITS: [&[f64]; 3] = [&[0.5, 0.5], &[0.9, 0.1], &[0.4, 0.3, 0.3]];
/// The share lost of one of two equal arms after which the other has 0.67, 0.6, 0.55, 0.52 and 0.51 of the subjects.
const LOST: [f64; 5] = [0.507, 0.333, 0.182, 0.077, 0.039];

#[test]
fn a_large_deviation_of_the_split_is_detected_with_few_subjects() {
    // Six in ten subjects of one arm were lost in the first 10 s of a simulated fleet.
    let ln_e = ln_e_split(&[147, 74], &[0.5, 0.5]);
    assert!(ln_e > REJECTION_LN_E, "{ln_e}");
    let [_, _, strong, all] = power(40, SPLITS[0], LOST[0]);
    assert!(all < 150.0 && strong > 2.0 * all, "a strong prior alone must need more subjects");
    let [_, _, strong, all] = power(10, SPLITS[0], LOST[3]);
    assert!(all < 1.3 * strong);
    assert!(fair(300, SPLITS[1], 5) <= 0.01);
}

#[test]
#[ignore = "minutes: the figures of docs/experiments.md"]
fn figures_of_few_subjects() {
    for shares in SPLITS {
        for lost in LOST {
            power(1000, shares, lost);
        }
        assert!([1, 20, 200].into_iter().all(|each| fair(10_000, shares, each) <= 0.01));
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The number of assigned subjects in all counters of the fleet. Each of 2,000 subjects comes three times to each of
/// four matchers, in different blocks. `views` lists the members that each matcher knows.
fn assigned(views: [&[usize]; 4]) -> u64 {
    let name = |at: &usize| format!("m{at}");
    let experiment: Experiment = experiment(&[0.5, 0.5]);
    let counter = |(own, view): (usize, &[usize])| {
        let members: BTreeSet<String> = view.iter().map(name).collect();
        Counter::new(experiment.clone(), (name(&own), 1), &members, at(4000))
    };
    let mut counters: Vec<_> = views.into_iter().enumerate().map(counter).collect();
    let mut total = 0;
    for block in 0..30 {
        for counter in &mut counters {
            if block % 10 == 0 {
                for subject in 0..2000u64 {
                    counter.count_assigned(&subject.to_le_bytes(), at(5500 + 1000 * block)).unwrap();
                }
            }
            let counts = counter.report(at(6000 + 1000 * block)).unwrap().counts;
            total += sums(&[counts], block, 2).iter().map(|tally| tally.assigned).sum::<u64>();
            counter.discard_closed(block + 1);
        }
    }
    total
}

#[test]
fn a_subject_is_counted_once_wherever_and_however_often_it_comes() {
    let all: &[usize] = &[0, 1, 2, 3];
    assert_eq!(assigned([all; 4]), 2000);
    // Two halves that do not know each other count each subject once in each half. If one matcher knows only itself and
    // the others know all, the number is between.
    assert_eq!(assigned([&[0, 1], &[0, 1], &[2, 3], &[2, 3]]), 4000);
    let one = assigned([&[0], all, all, all]);
    assert!((3400..3600).contains(&one), "{one}");
}

/// The share of fair splits rejected at 0.01, in 20 tests, where each of 2,000 subjects is counted in both halves of a
/// fleet. The arm depends only on the subject, so a subject that is counted twice is one observation of weight two.
fn counted_twice(runs: u32) -> f64 {
    let (mut random, experiment) = (Random(SEED), experiment(&[0.5, 0.5]));
    let mut rejected = 0;
    for _ in 0..runs {
        let (run, mut counts) = (random.unit().to_bits(), [0u64; 2]);
        let is_rejected = (0..20u64).any(|test| {
            for subject in test * 100..test * 100 + 100 {
                counts[arm(&experiment, &[run.to_le_bytes(), subject.to_le_bytes()].concat())] += 2;
            }
            ln_e_split(&counts, &[0.5, 0.5]) >= REJECTION_LN_E
        });
        rejected += u32::from(is_rejected);
    }
    let rejected = f64::from(rejected) / f64::from(runs);
    println!("seed {SEED}, {runs} fair splits counted in both halves of a fleet: rejected {rejected:.4}");
    rejected
}

#[test]
#[ignore = "seconds: the figures of docs/experiments.md"]
fn figures_of_two_halves() {
    counted_twice(10_000);
}
