//! The stopper of experiments: laws of its counters, its split, and plays of whole experiments by seed, printed.

mod decided;
mod plays;
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

/// A block: 200 requests an arm in ten steps, whose chance is that of the block (shared by the arms, sd `shared`) and an
/// AR(1) of the arm (0.8 from step to step, sd 0.03); what is not served is late.
fn block(random: &mut Random, chances: &[f64], shared: f64) -> Vec<Tally> {
    let common = shared * random.normal();
    let play = |chance: &f64| {
        let (mut own, mut served) = (0.03 * random.normal(), 0);
        for _ in 0..10 {
            own = 0.8 * own + 0.6 * 0.03 * random.normal();
            served += (0..20).filter(|_| random.unit() < chance + common + own).count() as u64;
        }
        Tally { assigned: 0, served, late: 200 - served, failed: 0, refused: 0 }
    };
    chances.iter().map(play).collect()
}

/// The end of one play: the verdict, and the blocks it took.
fn play(random: &mut Random, experiment: &Experiment, chances: &[f64]) -> (Verdict, u64) {
    let closed = (0..experiment.blocks()).map(|_| block(random, chances, 0.05)).collect();
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

/// Shares of plays that end with a winner and with harm, which needs no margin here.
fn rates(plays: u32, shares: &[f64], chances: &[f64], alpha: f64) -> (f64, f64) {
    let mut random = Random(SEED);
    let experiment = Experiment { alpha, harm_margin: 0.0, ..experiment(shares) };
    let (mut winners, mut harms) = (0, 0);
    for _ in 0..plays {
        match play(&mut random, &experiment, chances).0 {
            Verdict::Winner { .. } => winners += 1,
            Verdict::Harm { .. } => harms += 1,
            _ => {}
        }
    }
    let rates = (f64::from(winners) / f64::from(plays), f64::from(harms) / f64::from(plays));
    println!(
        "seed {SEED}, {plays} plays of {chances:?} at {alpha}: winners {:.4}, harm {:.4}",
        rates.0, rates.1
    );
    rates
}

/// Blocks of the test with a fixed sample, for 80 in 100 at 0.05 on both sides, from the variance of 4,000 blocks.
fn fixed(chances: &[f64]) -> f64 {
    let mut random = Random(SEED);
    let of = |block: Vec<Tally>| block[1].on_time_share().unwrap() - block[0].on_time_share().unwrap();
    let seen: Vec<f64> = (0..4000).map(|_| of(block(&mut random, chances, 0.05))).collect();
    let mean = seen.iter().sum::<f64>() / 4000.0;
    let variance = seen.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / 3999.0;
    (1.960f64 + 0.842).powi(2) * variance / mean.powi(2)
}

fn a_a(plays: u32) {
    for (shares, chances) in
        [(&[0.5, 0.5][..], &[0.8, 0.8][..]), (&[0.5, 0.5], &[0.999, 0.999]), (&[0.25; 4], &[0.8; 4])]
    {
        let (winners, harm) = rates(plays, shares, chances, 0.05);
        assert!(winners + harm <= 0.05 && harm <= 0.01);
        // Harm alone: no winner comes before it.
        assert!(rates(plays, shares, chances, 1e-12).1 <= 0.01);
    }
}

fn a_b(plays: u32) {
    for gain in [0.02, 0.03] {
        let (mut random, experiment) = (Random(SEED), experiment(&[0.5, 0.5]));
        let (mut found, mut wrong, mut blocks) = (0, 0, 0);
        for _ in 0..plays {
            let (verdict, took) = play(&mut random, &experiment, &[0.8, 0.8 + gain]);
            found += u32::from(matches!(verdict, Verdict::Winner { arm: 1, .. }));
            wrong += u32::from(matches!(verdict, Verdict::Winner { arm: 0, .. } | Verdict::Harm { .. }));
            blocks += took;
        }
        let mean = blocks as f64 / f64::from(plays);
        let fixed = fixed(&[0.8, 0.8 + gain]);
        println!(
            "seed {SEED}, gain {gain}: found {found} of {plays}, mean {mean:.1}, fixed sample {fixed:.1}"
        );
        assert!(wrong == 0 && f64::from(found) > 0.85 * f64::from(plays) && mean < 125.0);
    }
}

#[test]
fn no_difference_wins_in_no_more_plays_than_alpha() {
    a_a(60);
}

#[test]
fn a_clear_winner_is_found_long_before_the_end() {
    a_b(60);
}

#[test]
#[ignore = "minutes: the figures of docs/experiments.md"]
fn long_run() {
    a_a(10_000);
    a_b(10_000);
    let (fair, lossy) = splits(10_000);
    assert!(fair <= 0.01 && lossy > 0.99);
}

#[test]
fn harm_stops_with_its_arm() {
    let (verdict, blocks) = play(&mut Random(SEED), &experiment(&[0.4, 0.3, 0.3]), &[0.9, 0.9, 0.8]);
    println!("seed {SEED}: harm after {blocks} blocks");
    assert!(matches!(verdict, Verdict::Harm { arm: 2, .. }) && blocks < 100, "{verdict:?}");
}

/// Shares of plays whose split is called invalid, of fair splits and of splits that lose 2 in 100 subjects of one arm;
/// 4,000 subjects a block, in the normal limit of the binomial.
fn splits(plays: u32) -> (f64, f64) {
    let experiment = experiment(&[0.5, 0.5]);
    let mut random = Random(SEED);
    let mut invalid = |lost: f64| {
        let tally = |n: f64| Tally { assigned: n.round() as u64, ..Tally::default() };
        let block = |_| {
            let first = 2000.0 + 1000f64.sqrt() * random.normal();
            vec![tally(first), tally((4000.0 - first) * (1.0 - lost))]
        };
        let verdict = decide(&experiment, &Blocks::new((0..200).map(block).collect()), Duration::ZERO);
        f64::from(u8::from(matches!(verdict, Verdict::Invalid { .. }))) / f64::from(plays)
    };
    let fair = (0..plays).map(|_| invalid(0.0)).sum();
    let lossy = (0..plays).map(|_| invalid(0.02)).sum();
    println!(
        "seed {SEED}, {plays} splits: invalid of fair ones {fair:.4}, of those that lose 2 % {lossy:.4}"
    );
    (fair, lossy)
}

#[test]
fn a_split_that_loses_subjects_is_found_and_a_fair_one_is_not() {
    let (fair, lossy) = splits(1000);
    assert!(fair <= 0.01 && lossy > 0.99);
}

#[test]
fn the_split_meets_its_shares_and_moves_only_who_must() {
    let (old, new) = (experiment(&[0.5, 0.3, 0.2]), experiment(&[0.6, 0.24, 0.16]));
    let (mut seen, mut moved) = ([0.0f64; 3], 0.0f64);
    for subject in 0..100_000u64 {
        let (was, is) = (arm(&old, &subject.to_le_bytes()), arm(&new, &subject.to_le_bytes()));
        seen[was] += 1e-5;
        assert!(was == is || is == 0);
        moved += if was == is { 0.0 } else { 1e-5 };
    }
    assert!(seen.iter().zip([0.5, 0.3, 0.2]).all(|(seen, share)| (seen - share).abs() < 0.006), "{seen:?}");
    assert!((moved - 0.1).abs() < 0.004, "{moved}");
    // The same at every matcher, whatever its build: fixed for good.
    let arms: Vec<_> = (0..12u64).map(|subject| arm(&old, &subject.to_le_bytes())).collect();
    assert_eq!(arms, FIXED);
}

const FIXED: [usize; 12] = [1, 0, 1, 2, 0, 2, 1, 2, 1, 0, 1, 1];

#[test]
fn only_a_majority_closes_blocks_and_the_rest_is_left_out() {
    let experiment = experiment(&[0.5, 0.5]);
    let members: BTreeSet<String> = ["a", "b", "c"].map(String::from).into();
    let life = |name: &str| (name.to_string(), 1);
    let (mut counts, mut blocks) = (Counts::default(), Blocks::default());
    for (at, name) in ["a", "b", "c", "stranger"].into_iter().enumerate() {
        for (arm, n) in [(0, 1), (1, 100)] {
            let n = n * 10u64.pow(at as u32);
            counts.add(&life(name), Cell { block: 0, arm, kind: Kind::Served }, n).unwrap();
        }
    }
    let seconds = Duration::from_secs;
    counts.mark_final(&life("a"), 1).unwrap();
    counts.mark_final(&life("stranger"), 200).unwrap();
    assert_eq!(blocks.close(&experiment, &counts, &members, seconds(900)), 0);
    assert!(matches!(decide(&experiment, &blocks, seconds(206)), Verdict::Continue { .. }));
    assert!(matches!(decide(&experiment, &blocks, seconds(207)), Verdict::NoWinner { .. }));
    counts.mark_final(&life("b"), 1).unwrap();
    assert_eq!(blocks.close(&experiment, &counts, &members, Duration::from_millis(7999)), 0);
    assert_eq!(blocks.close(&experiment, &counts, &members, seconds(8)), 1);
    counts.mark_final(&life("c"), 1).unwrap();
    blocks.close(&experiment, &counts, &members, seconds(8));
    let served: Vec<_> = blocks.closed()[0].iter().map(|tally| tally.served).collect();
    assert_eq!(served, [11, 1100]);
}

fn counts() -> impl Strategy<Value = Counts> {
    let add = (0u64..3, 0u64..4, 0u8..3, 1u64..9, 0u64..4);
    prop::collection::vec(add, 0..20).prop_map(|adds| {
        let mut counts = Counts::default();
        for (incarnation, block, arm, n, told) in adds {
            let life = ("m".to_string(), incarnation);
            let _ = counts.add(&life, Cell { block, arm, kind: Kind::Late }, n);
            counts.mark_final(&life, told).unwrap();
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
fn counts_are_bounded_and_final_once_told() {
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
fn each_fault_of_a_document_is_named_with_help() {
    let good = experiment(&[0.5, 0.5]);
    assert_eq!(good.check(), Ok(()));
    type Spoil = fn(&mut Experiment);
    let spoils: [(Spoil, &str); 12] = [
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
    for (spoil, name) in spoils {
        let mut bad = good.clone();
        spoil(&mut bad);
        let error: DocumentError = bad.check().unwrap_err();
        assert!(format!("{error:?}").starts_with(name) && error.help().is_some(), "{name}: {error:?}");
    }
}
