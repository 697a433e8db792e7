//! Tests of experiments: the properties of the counters and of the assignment, and the error rates of whole
//! experiments, which are simulated from a seed and printed.

mod decided;
mod simulations;
mod splits;

use std::collections::BTreeSet;
use std::time::Duration;

use hopwalk::fleet::experiment::assign::arm;
use hopwalk::fleet::experiment::blocks::{Blocks, Tally};
use hopwalk::fleet::experiment::counts::{Cell, Counts, CountsError, Kind, MAX_CELLS, MAX_INCARNATIONS};
use hopwalk::fleet::experiment::decide::decide;
use hopwalk::fleet::experiment::{Arm, DocumentError, Experiment, Verdict};
use miette::Diagnostic;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20;

/// SplitMix64.
struct Random(u64);

impl Random {
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn normal(&mut self) -> f64 {
        (-2.0 * (1.0 - self.unit()).ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos()
    }
}

fn experiment(shares: &[f64]) -> Experiment {
    let arms = shares.iter().enumerate().map(|(at, share)| Arm { name: format!("a{at}"), share: *share });
    Experiment {
        name: "x".into(),
        salt: [1, 2],
        arms: arms.collect(),
        alpha: 0.05,
        harm_alpha: 0.01,
        split_alpha: 0.01,
        harm_margin: 0.02,
        start_ms: 5000,
        block_ms: 1000,
        longest_ms: 200_000,
        grace_ms: 2000,
        least_blocks: 20,
    }
}

/// A block of 200 requests per arm in ten steps. The probability that a request is served on time varies with the block
/// (equally for all arms, standard deviation `shared_sd`) and by an AR(1) process of the arm (lag-1 autocorrelation 0.8
/// from step to step, standard deviation 0.03). Requests that are not served on time are late.
fn block(random: &mut Random, probabilities: &[f64], shared_sd: f64) -> Vec<Tally> {
    let common = shared_sd * random.normal();
    let simulate_arm = |probability: &f64| {
        let (mut own, mut served) = (0.03 * random.normal(), 0);
        for _ in 0..10 {
            own = 0.8 * own + 0.6 * 0.03 * random.normal();
            served += (0..20).filter(|_| random.unit() < probability + common + own).count() as u64;
        }
        Tally { assigned: 0, served, late: 200 - served, failed: 0, refused: 0 }
    };
    probabilities.iter().map(simulate_arm).collect()
}

/// The verdict of one simulated experiment, and the number of evaluated blocks.
fn simulate(random: &mut Random, experiment: &Experiment, probabilities: &[f64]) -> (Verdict, u64) {
    let closed = (0..experiment.blocks()).map(|_| block(random, probabilities, 0.05)).collect();
    let verdict = decide(experiment, &Blocks::new(closed), Duration::ZERO);
    let blocks = match &verdict {
        Verdict::Continue { evidence } | Verdict::NoWinner { evidence } | Verdict::Invalid { evidence } => {
            evidence
        }
        Verdict::Winner { evidence, .. } | Verdict::Harm { evidence, .. } => evidence,
    };
    let blocks = blocks.blocks;
    (verdict, blocks)
}

/// The shares of simulations that end with a winner and with harm. The margin of harm is 0 here.
fn rates(runs: u32, shares: &[f64], probabilities: &[f64], alpha: f64) -> (f64, f64) {
    let mut random = Random(SEED);
    let experiment = Experiment { alpha, harm_margin: 0.0, ..experiment(shares) };
    let (mut winners, mut harms) = (0, 0);
    for _ in 0..runs {
        match simulate(&mut random, &experiment, probabilities).0 {
            Verdict::Winner { .. } => winners += 1,
            Verdict::Harm { .. } => harms += 1,
            _ => {}
        }
    }
    let rates = (f64::from(winners) / f64::from(runs), f64::from(harms) / f64::from(runs));
    println!(
        "seed {SEED}, {runs} simulations of {probabilities:?} at {alpha}: winners {:.4}, harm {:.4}",
        rates.0, rates.1
    );
    rates
}

/// The number of blocks of the two-sided test with a fixed sample size, with a power of 0.8 at a level of 0.05, from
/// the variance of 4,000 blocks.
fn fixed_sample_size(probabilities: &[f64]) -> f64 {
    let mut random = Random(SEED);
    let difference =
        |block: Vec<Tally>| block[1].on_time_share().unwrap() - block[0].on_time_share().unwrap();
    let differences: Vec<f64> =
        (0..4000).map(|_| difference(block(&mut random, probabilities, 0.05))).collect();
    let mean = differences.iter().sum::<f64>() / 4000.0;
    let variance = differences.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / 3999.0;
    (1.960f64 + 0.842).powi(2) * variance / mean.powi(2)
}

fn check_equal_arms(runs: u32) {
    for (shares, probabilities) in
        [(&[0.5, 0.5][..], &[0.8, 0.8][..]), (&[0.5, 0.5], &[0.999, 0.999]), (&[0.25; 4], &[0.8; 4])]
    {
        let (winners, harm) = rates(runs, shares, probabilities, 0.05);
        assert!(winners + harm <= 0.05 && harm <= 0.01);
        // Harm alone, without winners that would end the experiment first.
        assert!(rates(runs, shares, probabilities, 1e-12).1 <= 0.01);
    }
}

fn check_better_arm(runs: u32) {
    for gain in [0.02, 0.03] {
        let (mut random, experiment) = (Random(SEED), experiment(&[0.5, 0.5]));
        let (mut found, mut wrong, mut blocks) = (0, 0, 0);
        for _ in 0..runs {
            let (verdict, evaluated) = simulate(&mut random, &experiment, &[0.8, 0.8 + gain]);
            found += u32::from(matches!(verdict, Verdict::Winner { arm: 1, .. }));
            wrong += u32::from(matches!(verdict, Verdict::Winner { arm: 0, .. } | Verdict::Harm { .. }));
            blocks += evaluated;
        }
        let mean = blocks as f64 / f64::from(runs);
        let fixed = fixed_sample_size(&[0.8, 0.8 + gain]);
        println!(
            "seed {SEED}, gain {gain}: found {found} of {runs}, mean {mean:.1}, fixed sample {fixed:.1}"
        );
        assert!(wrong == 0 && f64::from(found) > 0.85 * f64::from(runs) && mean < 125.0);
    }
}

#[test]
fn equal_arms_have_a_winner_in_at_most_alpha_of_the_simulations() {
    check_equal_arms(60);
}

#[test]
fn a_clear_winner_is_found_long_before_the_maximum_duration() {
    check_better_arm(60);
}

#[test]
#[ignore = "minutes: the figures of docs/experiments.md"]
fn long_run() {
    check_equal_arms(10_000);
    check_better_arm(10_000);
    let (fair, lossy) = splits(10_000);
    assert!(fair <= 0.01 && lossy > 0.99);
}

#[test]
fn harm_ends_the_experiment_and_names_the_arm() {
    let (verdict, blocks) = simulate(&mut Random(SEED), &experiment(&[0.4, 0.3, 0.3]), &[0.9, 0.9, 0.8]);
    println!("seed {SEED}: harm after {blocks} blocks");
    assert!(matches!(verdict, Verdict::Harm { arm: 2, .. }) && blocks < 100, "{verdict:?}");
}

/// The shares of simulations whose split is found invalid: of fair splits, and of splits that lose 2 in 100 subjects of
/// one arm. There are 4,000 subjects per block, drawn by the normal approximation of the binomial distribution.
fn splits(runs: u32) -> (f64, f64) {
    let experiment = experiment(&[0.5, 0.5]);
    let mut random = Random(SEED);
    let mut invalid = |lost: f64| {
        let tally = |n: f64| Tally { assigned: n.round() as u64, ..Tally::default() };
        let block = |_| {
            let first = 2000.0 + 1000f64.sqrt() * random.normal();
            vec![tally(first), tally((4000.0 - first) * (1.0 - lost))]
        };
        let verdict = decide(&experiment, &Blocks::new((0..200).map(block).collect()), Duration::ZERO);
        f64::from(u8::from(matches!(verdict, Verdict::Invalid { .. }))) / f64::from(runs)
    };
    let fair = (0..runs).map(|_| invalid(0.0)).sum();
    let lossy = (0..runs).map(|_| invalid(0.02)).sum();
    println!("seed {SEED}, {runs} splits: invalid of fair ones {fair:.4}, of those that lose 2 % {lossy:.4}");
    (fair, lossy)
}

#[test]
fn a_split_that_loses_subjects_is_invalid_and_a_fair_one_is_not() {
    let (fair, lossy) = splits(1000);
    assert!(fair <= 0.01 && lossy > 0.99);
}

#[test]
fn the_assignment_meets_its_shares_and_moves_only_the_necessary_subjects() {
    let (old, new) = (experiment(&[0.5, 0.3, 0.2]), experiment(&[0.6, 0.24, 0.16]));
    let (mut observed, mut moved) = ([0.0f64; 3], 0.0f64);
    for subject in 0..100_000u64 {
        let (was, is) = (arm(&old, &subject.to_le_bytes()), arm(&new, &subject.to_le_bytes()));
        observed[was] += 1e-5;
        assert!(was == is || is == 0);
        moved += if was == is { 0.0 } else { 1e-5 };
    }
    assert!(
        observed.iter().zip([0.5, 0.3, 0.2]).all(|(observed, share)| (observed - share).abs() < 0.006),
        "{observed:?}"
    );
    assert!((moved - 0.1).abs() < 0.004, "{moved}");
    // All matchers of all versions must compute the same assignment, so it is fixed.
    let arms: Vec<_> = (0..12u64).map(|subject| arm(&old, &subject.to_le_bytes())).collect();
    assert_eq!(arms, FIXED);
}

const FIXED: [usize; 12] = [1, 0, 1, 2, 0, 2, 1, 2, 1, 0, 1, 1];

#[test]
fn a_majority_closes_blocks_and_later_reports_are_left_out() {
    let experiment = experiment(&[0.5, 0.5]);
    let members: BTreeSet<String> = ["a", "b", "c"].map(String::from).into();
    let member = |name: &str| (name.to_string(), 1);
    let (mut counts, mut blocks) = (Counts::default(), Blocks::default());
    for (at, name) in ["a", "b", "c", "stranger"].into_iter().enumerate() {
        for (arm, n) in [(0, 1), (1, 100)] {
            let n = n * 10u64.pow(at as u32);
            counts.add(&member(name), Cell { block: 0, arm, kind: Kind::Served }, n).unwrap();
        }
    }
    let seconds = Duration::from_secs;
    counts.mark_final(&member("a"), 1).unwrap();
    counts.mark_final(&member("stranger"), 200).unwrap();
    assert_eq!(blocks.close(&experiment, &counts, &members, seconds(900)), 0);
    assert!(matches!(decide(&experiment, &blocks, seconds(206)), Verdict::Continue { .. }));
    assert!(matches!(decide(&experiment, &blocks, seconds(207)), Verdict::NoWinner { .. }));
    counts.mark_final(&member("b"), 1).unwrap();
    assert_eq!(blocks.close(&experiment, &counts, &members, Duration::from_millis(7999)), 0);
    assert_eq!(blocks.close(&experiment, &counts, &members, seconds(8)), 1);
    counts.mark_final(&member("c"), 1).unwrap();
    blocks.close(&experiment, &counts, &members, seconds(8));
    let served: Vec<_> = blocks.closed()[0].iter().map(|tally| tally.served).collect();
    assert_eq!(served, [11, 1100]);
}

fn counts() -> impl Strategy<Value = Counts> {
    let add = (0u64..3, 0u64..4, 0u8..3, 1u64..9, 0u64..4);
    prop::collection::vec(add, 0..20).prop_map(|adds| {
        let mut counts = Counts::default();
        for (incarnation, block, arm, n, final_blocks) in adds {
            let member = ("m".to_string(), incarnation);
            let _ = counts.add(&member, Cell { block, arm, kind: Kind::Late }, n);
            counts.mark_final(&member, final_blocks).unwrap();
        }
        counts
    })
}

fn merged(a: &Counts, b: &Counts) -> Counts {
    let mut merged = a.clone();
    merged.merge(b).unwrap();
    merged
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..Default::default() })]

    #[test]
    fn counts_merge_in_any_order_and_any_number_of_times(a in counts(), b in counts(), c in counts()) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&merged(&a, &b), &b), merged(&a, &b));
        let wire = postcard::to_allocvec(&a).unwrap();
        prop_assert_eq!(postcard::from_bytes::<Counts>(&wire).unwrap(), a);
    }
}

#[test]
fn counts_are_bounded_and_final_once_reported() {
    let (mut counts, cell) = (Counts::default(), Cell { block: 0, arm: 0, kind: Kind::Failed });
    for incarnation in 0..MAX_INCARNATIONS as u64 {
        counts.mark_final(&("m".into(), incarnation), 1).unwrap();
    }
    let before = counts.clone();
    let errors = [
        counts.mark_final(&("n".into(), 0), 1).unwrap_err(),
        counts.add(&("m".into(), 0), cell, 1).unwrap_err(),
        counts.add(&("m".into(), 0), Cell { arm: 8, ..cell }, 1).unwrap_err(),
        CountsError::Cells { count: MAX_CELLS + 1 },
    ];
    assert!(
        matches!(errors[0], CountsError::Incarnations { .. })
            && matches!(errors[1], CountsError::Final { .. })
    );
    assert!(counts == before && errors.iter().all(|error| error.help().is_some()));
}

#[test]
fn each_error_of_a_document_is_named_with_help() {
    let good = experiment(&[0.5, 0.5]);
    assert_eq!(good.check(), Ok(()));
    type Break = fn(&mut Experiment);
    let breaks: [(Break, &str); 12] = [
        (|x| x.name.clear(), "Name"),
        (|x| x.arms.truncate(1), "Arms"),
        (|x| x.arms[1].name = "a0".into(), "SameName"),
        (|x| x.arms[1].share = f64::NAN, "Share"),
        (|x| x.arms[1].share = 0.4, "Sum"),
        (|x| x.alpha = 0.0, "Alpha"),
        (|x| x.split_alpha = 0.21, "Alpha"),
        (|x| x.harm_margin = 1.0, "Margin"),
        (|x| x.block_ms = 99, "Block"),
        (|x| x.least_blocks = 9, "Least"),
        (|x| x.longest_ms = 1000, "Longest"),
        (|x| x.start_ms = u64::MAX, "Time"),
    ];
    for (break_document, name) in breaks {
        let mut bad = good.clone();
        break_document(&mut bad);
        let error: DocumentError = bad.check().unwrap_err();
        assert!(format!("{error:?}").starts_with(name) && error.help().is_some(), "{name}: {error:?}");
    }
}
