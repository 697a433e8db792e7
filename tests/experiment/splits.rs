//! The check of the split: how many subjects it takes, how often it stops a fair one, and that each subject is one
//! draw.

use std::collections::BTreeSet;
use std::time::Duration;

use hopwalk::fleet::experiment::assign::arm;
use hopwalk::fleet::experiment::counter::Counter;
use hopwalk::fleet::experiment::sequential::ln_e_split;
use hopwalk::fleet::experiment::Experiment;

use super::plays::sums;
use super::{experiment, Random, SEED};

/// ln of 1 / 0.01.
const ENOUGH: f64 = 4.605_170_185_988_092;
const STRENGTHS: [f64; 3] = [10.0, 100.0, 1000.0];

fn pick(random: &mut Random, shares: &[f64]) -> usize {
    let (draw, mut sum) = (random.unit(), 0.0);
    let next = |share: &f64| {
        sum += share;
        draw < sum
    };
    shares.iter().position(next).unwrap_or(shares.len() - 1)
}

/// The shares left where one in so many subjects of the last arm is lost.
fn lossy(shares: &[f64], lost: f64) -> Vec<f64> {
    let mut left = shares.to_vec();
    left[shares.len() - 1] *= 1.0 - lost;
    let sum: f64 = left.iter().sum();
    left.iter().map(|share| share / sum).collect()
}

/// Ways of the check, by subjects drawn one by one: the prior at one strength, as a product of what it foretold of
/// each subject, and the mean of such products. Not the closed form that is tested.
struct Ways {
    counts: Vec<u64>,
    ln_e: [f64; 3],
}

impl Ways {
    fn of(arms: usize) -> Self {
        Self { counts: vec![0; arms], ln_e: [0.0; 3] }
    }

    fn take(&mut self, at: usize, shares: &[f64]) {
        let all: u64 = self.counts.iter().sum();
        for (ln_e, k) in self.ln_e.iter_mut().zip(STRENGTHS) {
            let foretold = (k * shares[at] + self.counts[at] as f64) / (k + all as f64);
            *ln_e += (foretold / shares[at]).ln();
        }
        self.counts[at] += 1;
    }

    /// 10, 100, 1000, all three.
    fn all(&self) -> [f64; 4] {
        let mean = self.ln_e.iter().map(|ln_e| ln_e.exp()).sum::<f64>() / 3.0;
        [self.ln_e[0], self.ln_e[1], self.ln_e[2], mean.ln()]
    }
}

/// Subjects on the mean until each way stops at 0.01, looked at after each subject.
fn power(plays: u32, shares: &[f64], lost: f64) -> [f64; 4] {
    let (mut random, mut sums) = (Random(SEED), [0.0; 4]);
    let seen = lossy(shares, lost);
    for _ in 0..plays {
        let (mut ways, mut open) = (Ways::of(shares.len()), 4);
        let mut stopped = [false; 4];
        for subject in 1..4_000_000u32 {
            ways.take(pick(&mut random, &seen), shares);
            for (at, ln_e) in ways.all().into_iter().enumerate().filter(|(_, ln_e)| *ln_e >= ENOUGH) {
                if !std::mem::replace(&mut stopped[at], true) {
                    sums[at] += f64::from(subject);
                    open -= 1;
                }
                assert!(at < 3 || (ln_e_split(&ways.counts, shares) - ln_e).abs() < 1e-6 * ln_e);
            }
            if open == 0 {
                break;
            }
        }
        assert_eq!(open, 0);
    }
    let mean = sums.map(|sum| (sum / f64::from(plays)).round());
    println!(
        "seed {SEED}, {plays} splits of {shares:?}, {lost} of the last lost: subjects until stopped at 10, 100, \
         1000 and all {mean:?}"
    );
    mean
}

/// Fair splits stopped at 0.01, `each` subjects a second, looked at each second of five minutes from the first on.
fn fair(plays: u32, shares: &[f64], each: u32) -> f64 {
    let mut random = Random(SEED);
    let mut stopped = 0;
    for _ in 0..plays {
        let mut counts = vec![0; shares.len()];
        let stops = (0..300).any(|_| {
            (0..each).for_each(|_| counts[pick(&mut random, shares)] += 1);
            ln_e_split(&counts, shares) >= ENOUGH
        });
        stopped += u32::from(stops);
    }
    let stopped = f64::from(stopped) / f64::from(plays);
    println!("seed {SEED}, {plays} fair splits of {shares:?}, {each} a second: stopped {stopped:.4}");
    stopped
}

const SPLITS: [&[f64]; 3] = [&[0.5, 0.5], &[0.9, 0.1], &[0.4, 0.3, 0.3]];
/// What is lost of one arm of two so that the other has 0.67, 0.6, 0.55, 0.52 and 0.51 of the subjects.
const LOST: [f64; 5] = [0.507, 0.333, 0.182, 0.077, 0.039];

#[test]
fn a_split_that_is_far_off_is_found_with_few_subjects() {
    // Six in ten of one arm lost, after 10 s of a fleet's play.
    let seen = ln_e_split(&[147, 74], &[0.5, 0.5]);
    assert!(seen > ENOUGH, "{seen}");
    let [_, _, strong, all] = power(40, SPLITS[0], LOST[0]);
    assert!(all < 150.0 && strong > 2.0 * all, "a strong prior alone is to be late");
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

/// Subjects assigned in all of the fleet's counters, each of the 2,000 three times at each of four matchers, in blocks
/// apart from each other. `views` says whom each matcher takes for a member.
fn assigned(views: [&[usize]; 4]) -> u64 {
    let name = |at: &usize| format!("m{at}");
    let experiment: Experiment = experiment(&[0.5, 0.5]);
    let counter = |(own, view): (usize, &[usize])| {
        let members: BTreeSet<String> = view.iter().map(name).collect();
        Counter::new(experiment.clone(), (name(&own), 1), &members, at(4000))
    };
    let mut counters: Vec<_> = views.into_iter().enumerate().map(counter).collect();
    let mut all = 0;
    for block in 0..30 {
        for counter in &mut counters {
            if block % 10 == 0 {
                for subject in 0..2000u64 {
                    counter.count_assigned(&subject.to_le_bytes(), at(5500 + 1000 * block)).unwrap();
                }
            }
            let counts = counter.report(at(6000 + 1000 * block)).unwrap().counts;
            all += sums(&[counts], block, 2).iter().map(|tally| tally.assigned).sum::<u64>();
            counter.discard_closed(block + 1);
        }
    }
    all
}

#[test]
fn a_subject_is_counted_once_wherever_and_however_often_it_comes() {
    let all: &[usize] = &[0, 1, 2, 3];
    assert_eq!(assigned([all; 4]), 2000);
    // Two halves that do not know each other: once in each. A matcher alone, and those who know it: between.
    assert_eq!(assigned([&[0, 1], &[0, 1], &[2, 3], &[2, 3]]), 4000);
    let one = assigned([&[0], all, all, all]);
    assert!((3400..3600).contains(&one), "{one}");
}

/// Fair splits stopped at 0.01 where each of 2,000 subjects counts in two halves of a fleet, by 20 looks: the arm is
/// the subject's, so a subject that is counted twice is one draw of weight two.
fn twice(plays: u32) -> f64 {
    let (mut random, experiment) = (Random(SEED), experiment(&[0.5, 0.5]));
    let mut stopped = 0;
    for _ in 0..plays {
        let (play, mut counts) = (random.unit().to_bits(), [0u64; 2]);
        let stops = (0..20u64).any(|look| {
            for subject in look * 100..look * 100 + 100 {
                counts[arm(&experiment, &[play.to_le_bytes(), subject.to_le_bytes()].concat())] += 2;
            }
            ln_e_split(&counts, &[0.5, 0.5]) >= ENOUGH
        });
        stopped += u32::from(stops);
    }
    let stopped = f64::from(stopped) / f64::from(plays);
    println!("seed {SEED}, {plays} fair splits counted in both halves of a fleet: stopped {stopped:.4}");
    stopped
}

#[test]
#[ignore = "seconds: the figures of docs/experiments.md"]
fn figures_of_two_halves() {
    twice(10_000);
}
