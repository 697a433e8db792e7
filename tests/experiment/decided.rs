//! Counting, collecting and the record: each block is recorded once, and there is one verdict and one activation,
//! whichever member leads.

use std::collections::BTreeSet;
use std::time::Duration;

use hopwalk::fleet::experiment::blocks::{Blocks, Tally};
use hopwalk::fleet::experiment::collect::Collector;
use hopwalk::fleet::experiment::counter::{
    Counter, Report, MAX_REPORTED_BLOCKS, MAX_SUBJECTS, SUBJECT_RETENTION,
};
use hopwalk::fleet::experiment::counts::Kind;
use hopwalk::fleet::experiment::decide::{decide, Evaluation};
use hopwalk::fleet::experiment::record::{Applied, End, Entry, RecordError, MAX_HISTORY, MAX_OPERATOR_NAME};
use hopwalk::fleet::experiment::sequential::BatchMeans;
use hopwalk::fleet::experiment::summary;
use hopwalk::fleet::experiment::{DocumentError, Experiment, Verdict};
use hopwalk::fleet::routes::record as routes;
use hopwalk::fleet::routes::Version;
use hopwalk::fleet::state_machine::{self, Rejection};
use miette::Diagnostic;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::{experiment, Random, SEED};

fn document(arms: &str) -> String {
    let pool = |port: u16| format!(r#"[{{"address":"127.0.0.1:{port}","weight":1}}]"#);
    let (a, b) = (pool(1), pool(2));
    format!(
        r#"{{"pools":{{"p0":{a},"p1":{b}}},"routes":[{{"class":"c","pool":"p0","timeout_ms":9,"tries":1{arms}}},
            {{"class":"d","pool":"p0","timeout_ms":9,"tries":1}}]}}"#
    )
}

const ARMS: &str = r#","arms":[{"name":"a1","pool":"p1","share":500},{"name":"a0","pool":"p0","share":500}]"#;

fn apply_routes(
    state: &mut state_machine::State,
    entry: routes::Entry,
) -> Result<routes::Applied, routes::RecordError> {
    match state.apply(&state_machine::Entry::Routes(entry)) {
        Ok(state_machine::Applied::Routes(applied)) => Ok(applied),
        Err(Rejection::Routes(error)) => Err(error),
        other => panic!("{other:?}"),
    }
}

fn apply(state: &mut state_machine::State, entry: Entry) -> Result<Applied, RecordError> {
    match state.apply(&state_machine::Entry::Experiment(entry)) {
        Ok(state_machine::Applied::Experiment(applied)) => Ok(applied),
        Err(Rejection::Experiment(error)) => Err(error),
        other => panic!("{other:?}"),
    }
}

fn propose(state: &mut state_machine::State, arms: &str) -> Version {
    match apply_routes(state, routes::Entry::Propose { table: document(arms), by: "o".into() }) {
        Ok(routes::Applied::Proposed(version)) => version,
        other => panic!("{other:?}"),
    }
}

fn prepare(state: &mut state_machine::State, version: Version) -> u64 {
    match apply_routes(state, routes::Entry::Prepare { version, by: "o".into() }) {
        Ok(routes::Applied::Moved(turn)) => turn,
        other => panic!("{other:?}"),
    }
}

fn complete(state: &mut state_machine::State, turn: u64) {
    let at = routes::Stamp { term: 1, at: Duration::ZERO };
    apply_routes(state, routes::Entry::Commit { turn, at }).unwrap();
    apply_routes(state, routes::Entry::Done { turn }).unwrap();
}

/// A state whose active table has the arms a0 and a1.
fn with_active_arms() -> state_machine::State {
    let mut state = state_machine::State::default();
    let version = propose(&mut state, ARMS);
    let turn = prepare(&mut state, version);
    complete(&mut state, turn);
    state
}

fn start(experiment: Experiment, activate: bool) -> Entry {
    Entry::Start { experiment, activate, by: "o".into() }
}

fn stop(name: &str) -> Entry {
    Entry::Stop { name: name.into(), by: "o".into() }
}

fn close_block(block: u64, tallies: &[Tally]) -> Entry {
    let at_ms = 6000 + 1000 * block;
    Entry::Block { name: "x".into(), block, tallies: tallies.to_vec(), at_ms }
}

fn served(served: u64) -> Tally {
    Tally { served, late: 100 - served, ..Tally::default() }
}

fn two_arms() -> Experiment {
    experiment(&[0.5, 0.5])
}

#[test]
fn a_rejected_entry_changes_nothing_and_its_error_has_help() {
    let mut state = with_active_arms();
    let with_name = |name: &str| Experiment { name: name.into(), ..two_arms() };
    let short = Experiment { arms: experiment(&[0.4, 0.3, 0.3]).arms, ..two_arms() };
    let uneven = Experiment { arms: experiment(&[0.6, 0.4]).arms, ..two_arms() };
    let mut seen = BTreeSet::new();
    let mut refused = |state: &mut state_machine::State, entry: Entry| {
        let before = state.clone();
        let error = apply(state, entry).unwrap_err();
        assert!(*state == before && error.help().is_some(), "{error:?}");
        let wire = postcard::to_allocvec(&error).unwrap();
        assert_eq!(postcard::from_bytes::<RecordError>(&wire).unwrap(), error);
        seen.insert(format!("{error:?}").split([' ', '{']).next().unwrap().to_string());
    };
    refused(&mut state_machine::State::default(), start(two_arms(), true));
    for bad in [short, uneven, Experiment { alpha: 2.0, ..two_arms() }] {
        refused(&mut state, start(bad, true));
    }
    refused(
        &mut state,
        Entry::Start { experiment: two_arms(), activate: true, by: "o".repeat(MAX_OPERATOR_NAME + 1) },
    );
    let plain = propose(&mut state, "");
    let turn = prepare(&mut state, plain);
    refused(&mut state, start(two_arms(), true));
    let mut armless = state.clone();
    complete(&mut armless, turn);
    refused(&mut armless, start(two_arms(), true));
    apply_routes(&mut state, routes::Entry::Abort { turn, why: routes::AbortReason::Operator("o".into()) })
        .unwrap();
    assert_eq!(apply(&mut state, start(two_arms(), true)), Ok(Applied::Started));
    let even = [served(50); 2];
    for entry in [
        start(with_name("y"), true),
        stop("y"),
        close_block(1, &even),
        close_block(0, &even[..1]),
        close_block(0, &[even[0], Tally { failed: 1 << 54, ..even[0] }]),
        Entry::Block { name: "x".into(), block: 0, tallies: even.to_vec(), at_ms: 5999 },
        Entry::Over { name: "x".into(), at_ms: 206_999 },
    ] {
        refused(&mut state, entry);
    }
    assert_eq!(apply(&mut state, stop("x")), Ok(Applied::Ended(None)));
    refused(&mut state, start(two_arms(), true));
    assert_eq!(seen.len(), 12, "{seen:?}");
    for at in 0..2 * MAX_HISTORY {
        let name = format!("e{at}");
        apply(&mut state, start(with_name(&name), true)).unwrap();
        apply(&mut state, stop(&name)).unwrap();
    }
    assert_eq!(state.experiments.history().count(), MAX_HISTORY);
    assert!(DocumentError::Time.help().is_some());
}

/// A state in which a1 has just won, and the entries that lead to it.
fn with_winner(activate: bool) -> (state_machine::State, Vec<Entry>) {
    let (mut state, mut log) = (with_active_arms(), vec![start(two_arms(), activate)]);
    apply(&mut state, log[0].clone()).unwrap();
    for block in 0.. {
        let wave = block % 3;
        log.push(close_block(block, &[served(50 + wave), served(70 - wave)]));
        match apply(&mut state, log[log.len() - 1].clone()).unwrap() {
            Applied::Ended(Some(Verdict::Winner { arm: 1, .. })) => return (state, log),
            Applied::Taken { .. } => {}
            other => panic!("{other:?}"),
        }
    }
    unreachable!()
}

#[test]
fn the_fleet_switches_to_a_winner_once_whichever_member_leads() {
    assert_eq!(with_winner(false).0.experiments.to_activate(&with_winner(false).0.routes), None);
    let (state, log) = with_winner(true);
    let made = state.experiments.to_activate(&state.routes).unwrap();
    let table = state.routes.table(made).unwrap();
    assert_eq!(table.route("c", None).map(|route| (route.pool.as_str(), route.arms.len())), Some(("p1", 0)));
    assert_eq!(table.route("d", None).unwrap().pool, "p0");
    // Another voter, which restarts from a snapshot halfway, has the same state.
    let mut other = with_active_arms();
    for (at, entry) in log.iter().enumerate() {
        apply(&mut other, entry.clone()).unwrap();
        if at == log.len() / 2 {
            let wire = postcard::to_allocvec(&other).unwrap();
            other = postcard::from_bytes(&wire).unwrap();
        }
    }
    assert_eq!(other, state);
    // A repeated entry is rejected.
    assert!(apply(&mut other, log[log.len() - 1].clone()).is_err() && other == state);
    let to = |state: &state_machine::State| state.experiments.to_activate(&state.routes);
    // The table is kept despite many later proposals, and its activation waits while another one is open.
    for at in 0..100 {
        let arms = ARMS.replace("500", &format!("{}", 400 + at));
        propose(&mut other, &arms);
    }
    assert_eq!(to(&other), Some(made));
    let last = propose(&mut other, &ARMS.replace("500", "499"));
    let turn = prepare(&mut other, last);
    assert_eq!(to(&other), None);
    let mut later = other.clone();
    complete(&mut later, turn);
    assert_eq!(to(&later), None, "an operator's later activation stays");
    apply_routes(&mut other, routes::Entry::Abort { turn, why: routes::AbortReason::Operator("o".into()) })
        .unwrap();
    assert_eq!(to(&other), Some(made));
    let turn = prepare(&mut other, made);
    apply_routes(&mut other, routes::Entry::Abort { turn, why: routes::AbortReason::Operator("o".into()) })
        .unwrap();
    assert_eq!(to(&other), None, "its activation begins once");
}

#[test]
fn an_experiment_ends_with_the_table_that_it_started_on() {
    let mut state = with_active_arms();
    let plain = propose(&mut state, "");
    apply(&mut state, start(two_arms(), true)).unwrap();
    let turn = prepare(&mut state, plain);
    assert!(matches!(apply(&mut state, close_block(0, &[served(50); 2])), Ok(Applied::Taken { block: 0 })));
    complete(&mut state, turn);
    assert_eq!(apply(&mut state, close_block(1, &[served(50); 2])), Ok(Applied::Ended(None)));
    assert!(matches!(state.experiments.history().last().unwrap().end, End::Overtaken { .. }));
}

#[test]
fn the_summary_shows_the_evidence_of_a_decision() {
    let mut state = with_active_arms();
    let (x, few) = (Experiment { least_blocks: 10, ..two_arms() }, |n| Tally { assigned: n, ..served(80) });
    apply(&mut state, start(x.clone(), false)).unwrap();
    let summary_of = |state: &state_machine::State| {
        let run = state.experiments.running_experiment().unwrap();
        summary::running(&run.experiment, &run.evaluation).join("\n")
    };
    for block in 0..9 {
        apply(&mut state, close_block(block, &[few(5), few(5)])).unwrap();
    }
    let now = summary_of(&state);
    for part in
        ["9 of 200 blocks", "before 25 blocks", "of up to 5 blocks", "a0 45 for 45.0", "100.0 to one stops"]
    {
        assert!(now.contains(part), "{part}: {now}");
    }
    // The numbers of a simulated fleet that lost six in ten subjects of one arm.
    let lost = [few(102), few(29)];
    let Ok(Applied::Ended(Some(Verdict::Invalid { .. }))) = apply(&mut state, close_block(9, &lost)) else {
        panic!()
    };
    let past = summary::ended(state.experiments.history().last().unwrap()).join("\n");
    assert!(past.contains("the split is not") && past.contains("16.5 points less than configured"), "{past}");
    let past = summary::ended(with_winner(true).0.experiments.history().last().unwrap()).join("\n");
    assert!(past.contains("a1 won: it served ") && past.contains("points more on time than a0"), "{past}");
}

#[test]
fn the_state_does_not_grow_with_blocks() {
    let arms = experiment(&[0.125; 8]).arms;
    let long = Experiment { arms, longest_ms: 10_000_000, ..two_arms() };
    let (mut evaluation, mut random) = (Evaluation::new(&long), Random(SEED));
    for _ in 0..10_000 {
        let block: Vec<_> = (0..8).map(|_| served(50 + (random.unit() * 20.0) as u64)).collect();
        evaluation.push(&long, &block);
    }
    let bytes = postcard::to_allocvec(&evaluation).unwrap().len();
    assert!(bytes < 16 * 1024, "{bytes} bytes");
}

fn members(n: u64) -> BTreeSet<String> {
    (0..n).map(|at| format!("m{at}")).collect()
}

fn counter(at: u64, of: u64) -> Counter {
    Counter::new(two_arms(), (format!("m{at}"), 1), &members(of), Duration::from_millis(4000))
}

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The number of final blocks in a report, and the sum of `kind` in `block`.
fn final_and_sum(report: &Report, block: u64, kind: Kind) -> (u64, u64) {
    use hopwalk::fleet::experiment::counts::Cell;
    let (member, final_blocks) = report.counts.incarnations().next().unwrap();
    (final_blocks, (0..2).map(|arm| report.counts.get(member, Cell { block, arm, kind })).sum())
}

#[test]
fn a_subject_is_assigned_once_in_the_fleet_and_its_first_outcome_counts_at_each_matcher() {
    let mut counters: Vec<_> = (0..5).map(|at| counter(at, 5)).collect();
    let seen = at(5500);
    for subject in 0..1000u64 {
        for counter in &mut counters {
            for _ in 0..3 {
                counter.count_assigned(&subject.to_le_bytes(), seen).unwrap();
                counter.count_outcome(&subject.to_le_bytes(), Kind::Late, seen).unwrap();
            }
        }
    }
    let reports: Vec<_> = counters.iter_mut().map(|counter| counter.report(at(6000)).unwrap()).collect();
    let assigned: Vec<_> = reports.iter().map(|report| final_and_sum(report, 0, Kind::Assigned).1).collect();
    assert!(assigned.iter().sum::<u64>() == 1000 && assigned.iter().all(|n| (130..270).contains(n)));
    assert!(reports.iter().all(|report| final_and_sum(report, 0, Kind::Late) == (1, 1000)));
    // An incarnation that begins later may follow one that counted the subjects: it counts only outcomes.
    let mut late = Counter::new(two_arms(), ("m0".into(), 2), &members(1), at(6000));
    late.count_assigned(b"s", at(6100)).unwrap();
    late.count_outcome(b"s", Kind::Served, at(6100)).unwrap();
    let report = late.report(at(7000)).unwrap();
    assert_eq!(
        (final_and_sum(&report, 1, Kind::Assigned).1, final_and_sum(&report, 1, Kind::Served).1),
        (0, 1)
    );
}

#[test]
fn the_counts_and_reports_of_a_matcher_are_bounded() {
    let mut one = counter(0, 1);
    for subject in 0..MAX_SUBJECTS as u64 + 50 {
        one.count_assigned(&subject.to_le_bytes(), at(5100)).unwrap();
        one.count_outcome(&(subject % (2 * SUBJECT_RETENTION as u64)).to_le_bytes(), Kind::Served, at(5100))
            .unwrap();
    }
    // At the limit no further subject is counted as assigned. The outcomes of forgotten subjects are counted again.
    let report = one.report(at(6000)).unwrap();
    assert_eq!(final_and_sum(&report, 0, Kind::Assigned).1, MAX_SUBJECTS as u64);
    assert_eq!(final_and_sum(&report, 0, Kind::Served).1, 2 * SUBJECT_RETENTION as u64 + 50);
    // Counts in all blocks, of which none is closed.
    for ms in (5000..205_000u64).step_by(1000) {
        one.count_outcome(&(ms << 32).to_le_bytes(), Kind::Failed, at(ms)).unwrap();
    }
    let (held, report) = (one.cells(), one.report(at(900_000)).unwrap());
    assert_eq!(final_and_sum(&report, 1, Kind::Failed), (MAX_REPORTED_BLOCKS, 2));
    assert!(report.counts.cells() as u64 <= MAX_REPORTED_BLOCKS + 4 && held > 199);
    one.discard_closed(150);
    let report = one.report(at(900_000)).unwrap();
    assert_eq!(
        (final_and_sum(&report, 150, Kind::Failed), final_and_sum(&report, 149, Kind::Failed).1),
        ((200, 1), 0)
    );
    assert!(one.cells() == 50);
}

#[test]
fn after_the_clock_is_set_back_events_count_in_the_first_open_block() {
    let mut one = counter(0, 1);
    one.count_outcome(b"early", Kind::Served, at(4999)).unwrap();
    one.report(at(9500)).unwrap();
    one.count_outcome(b"back", Kind::Served, at(5500)).unwrap();
    let report = one.report(at(5600)).unwrap();
    assert_eq!(final_and_sum(&report, 4, Kind::Served), (4, 1));
    one.count_outcome(b"after", Kind::Served, at(205_000)).unwrap();
    assert_eq!(one.cells(), 1);
}

#[test]
fn a_block_is_proposed_once_while_its_proposal_is_pending() {
    let mut state = with_active_arms();
    apply(&mut state, start(two_arms(), false)).unwrap();
    let (all_members, mut collector) = (members(3), Collector::default());
    let report = |at_ms| counter(0, 3).report(at(at_ms)).unwrap();
    let mut other = report(9000);
    other.experiment = "y".into();
    for mut counter in [counter(0, 3), counter(1, 3)] {
        collector.add_report(&state.experiments, &counter.report(at(7000)).unwrap()).unwrap();
    }
    collector.add_report(&state.experiments, &other).unwrap();
    assert_eq!(collector.propose(&state.experiments, &all_members, at(6000)), None);
    assert_eq!(collector.propose(&state.experiments, &all_members, at(7999)), None);
    let first = collector.propose(&state.experiments, &all_members, at(8000)).unwrap();
    assert!(matches!(first, Entry::Block { block: 0, .. }));
    assert_eq!(collector.propose(&state.experiments, &all_members, at(8100)), None);
    collector.proposal_finished();
    let again = collector.propose(&state.experiments, &all_members, at(8100)).unwrap();
    apply(&mut state, first).unwrap();
    assert!(matches!(apply(&mut state, again), Err(RecordError::Order { block: 0, next: 1 })));
    let next = collector.propose(&state.experiments, &all_members, at(9000)).unwrap();
    assert!(matches!(next, Entry::Block { block: 1, .. }));
    apply(&mut state, next).unwrap();
    assert_eq!(collector.propose(&state.experiments, &all_members, at(206_999)), None);
    let over = collector.propose(&state.experiments, &all_members, at(207_000)).unwrap();
    assert!(matches!(apply(&mut state, over), Ok(Applied::Ended(Some(Verdict::NoWinner { .. })))));
    assert_eq!(collector.propose(&state.experiments, &all_members, at(300_000)), None);
}

#[test]
fn a_new_leader_waits_for_all_members_during_the_grace_period() {
    let mut state = with_active_arms();
    apply(&mut state, start(two_arms(), false)).unwrap();
    let all_members = members(3);
    let add_report = |collector: &mut Collector, m| {
        collector.add_report(&state.experiments, &counter(m, 3).report(at(7000)).unwrap()).unwrap()
    };
    let mut late = Collector::default();
    [0, 1].into_iter().for_each(|m| add_report(&mut late, m));
    assert_eq!(late.propose(&state.experiments, &all_members, at(60_000)), None);
    assert_eq!(late.propose(&state.experiments, &all_members, at(61_999)), None);
    assert!(late.propose(&state.experiments, &all_members, at(62_000)).is_some());
    // With the reports of all members the leader does not wait.
    let mut complete = Collector::default();
    [0, 1, 2].into_iter().for_each(|m| add_report(&mut complete, m));
    assert!(matches!(
        complete.propose(&state.experiments, &all_members, at(60_000)),
        Some(Entry::Block { block: 0, .. })
    ));
    let mut over = Collector::default();
    assert_eq!(over.propose(&state.experiments, &all_members, at(300_000)), None);
    assert!(matches!(over.propose(&state.experiments, &all_members, at(302_000)), Some(Entry::Over { .. })));
}

/// The effective sample size, computed from the whole list instead of the running sums of `BatchMeans`.
fn effective_size(list: &[f64], correlation_time: f64) -> f64 {
    let level = |means: &[f64], rho: f64| {
        let n = means.len() as f64;
        let mean = means.iter().sum::<f64>() / n;
        let squares: f64 = means.iter().map(|x| (x - mean).powi(2)).sum();
        let steps: f64 = means.windows(2).map(|pair| (pair[1] - pair[0]).powi(2)).sum();
        let estimate = 1.0 - steps / 2.0 / squares;
        let bias = (1.0 + 3.0 * estimate.max(0.0)) / n;
        let r = (estimate + if estimate > 0.0 { bias } else { 0.0 }).clamp(0.0, 0.99);
        let inflation = (1.0 + r) / (1.0 - r);
        let variance = squares / (n - inflation).max(1.0);
        let upper = (estimate + bias + 1.25 / n.sqrt()).clamp(0.0, 1.0);
        (variance, variance * inflation / n, variance * (1.0 + 2.0 * upper / (1.0 - rho)) / n)
    };
    let (mut means, mut rho) = (list.to_vec(), 1.0 - 1.0 / correlation_time);
    let (variance, mut of_mean, mut hidden) = level(list, rho);
    while means.len() >= 32 {
        means = means.chunks_exact(2).map(|pair| (pair[0] + pair[1]) / 2.0).collect();
        rho = rho.powi(2);
        let (_, seen, last) = level(&means, rho);
        (of_mean, hidden) = (of_mean.max(seen), last);
    }
    (variance / of_mean.max(hidden)).min(list.len() as f64)
}

fn blocks() -> impl Strategy<Value = Vec<Vec<Tally>>> {
    let counts = |most: u64| (0..=most, 0..most, 0..5u64, 0..3u64, 0..400u64);
    let tally = move |most| {
        counts(most).prop_map(|(served, late, failed, refused, assigned)| Tally {
            assigned,
            served,
            late,
            failed,
            refused,
        })
    };
    (40u64..120, 40u64..120).prop_flat_map(move |(a, b)| {
        prop::collection::vec((tally(a), tally(b)).prop_map(|(a, b)| vec![a, b]), 1..60)
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(9), ..Default::default() })]

    #[test]
    fn running_statistics_equal_those_of_the_whole_list(list in prop::collection::vec(-1.0f64..1.0, 3..300), correlation_time in 1.0f64..20.0) {
        let mut running = BatchMeans::default();
        list.iter().for_each(|x| running.push(*x));
        let expected = effective_size(&list, correlation_time);
        prop_assert!((running.effective_size(correlation_time) - expected).abs() < 1e-6 * expected || (expected < 2.0 && running.effective_size(correlation_time) == 0.0));
        // The interval contains exactly the means that the test does not reject.
        let (low, high) = running.interval(0.05, correlation_time);
        for (end, inside) in [(low, low * 0.999 + high * 0.001), (high, high * 0.999 + low * 0.001)] {
            if end.is_finite() {
                prop_assert!((running.ln_e(end, correlation_time) - 20f64.ln()).abs() < 1e-6 && running.ln_e(inside, correlation_time) < 20f64.ln());
            }
        }
    }

    #[test]
    fn the_record_has_the_verdict_of_all_blocks(list in blocks(), cut in 0usize..60) {
        let experiment = Experiment { least_blocks: 10, ..two_arms() };
        let mut state = with_active_arms();
        apply(&mut state, start(experiment.clone(), true)).unwrap();
        let mut ended = None;
        for (at, block) in list.iter().enumerate() {
            if at == cut {
                let wire = postcard::to_allocvec(&state).unwrap();
                state = postcard::from_bytes(&wire).unwrap();
            }
            match (apply(&mut state, close_block(at as u64, block)), &ended) {
                (Ok(Applied::Taken { .. }), None) => {}
                (Ok(Applied::Ended(Some(verdict))), None) => ended = Some(verdict),
                (Err(RecordError::NotRunning { .. }), Some(_)) => {}
                (other, _) => prop_assert!(false, "{other:?}"),
            }
            let all = decide(&experiment, &Blocks::new(list[..=at].to_vec()), Duration::ZERO);
            match &ended {
                Some(verdict) => prop_assert_eq!(verdict, &all),
                None => prop_assert!(matches!(all, Verdict::Continue { .. }), "{:?}", all),
            }
        }
        prop_assert_eq!(state.experiments.history().count(), usize::from(ended.is_some()));
    }

}

proptest! {
    #![proptest_config(ProptestConfig { cases: 6, failure_persistence: None, rng_seed: RngSeed::Fixed(9), ..Default::default() })]

    /// Reports are lost, late and repeated, and leaders are replaced: each block is still closed once, with all counts
    /// that its members reported.
    #[test]
    fn no_count_is_lost_or_added_twice_on_the_way_to_the_record(seed in any::<u64>()) {
        let (mut random, mut state) = (Random(seed), with_active_arms());
        apply(&mut state, start(two_arms(), false)).unwrap();
        let all_members = members(3);
        let mut counters: Vec<_> = (0..3).map(|at| counter(at, 3)).collect();
        let (mut collector, mut late) = (Collector::default(), Vec::new());
        let (mut counted, mut taken, mut now) = ([0u64; 200], 0, 5000);
        while state.experiments.running().is_some() {
            now += 100;
            for counter in &mut counters {
                counter.discard_closed(state.experiments.closed());
                let subject = random.unit().to_bits().to_le_bytes();
                counter.count_outcome(&subject, Kind::Served, at(now)).unwrap();
                if let Some(block) = two_arms().block_at(at(now)) {
                    counted[block as usize] += 1;
                }
                if random.unit() < 0.5 {
                    late.push(counter.report(at(now)).unwrap());
                }
            }
            if random.unit() < 0.05 {
                collector = Collector::default();
            }
            for _ in 0..3 {
                if let Some(report) = late.get((random.unit() * late.len() as f64) as usize) {
                    collector.add_report(&state.experiments, report).unwrap();
                }
            }
            late.drain(..late.len().saturating_sub(8));
            if let Some(entry) = collector.propose(&state.experiments, &all_members, at(now)) {
                if random.unit() < 0.8 {
                    if let Entry::Block { block, tallies, .. } = &entry {
                        let sum = tallies.iter().map(|tally| tally.served).sum::<u64>();
                        // Until the grace period has passed, no member is left out.
                        let is_complete = at(now) < two_arms().end_of(*block) + at(2000);
                        let all = counted[*block as usize];
                        prop_assert!(if is_complete { sum == all } else { sum <= all }, "{sum} of {all} at {now}");
                        taken += sum;
                    }
                    apply(&mut state, entry).unwrap();
                }
                collector.proposal_finished();
            }
            prop_assert!(collector.cells() < 3 * 10 * 40);
        }
        let past: Vec<_> = state.experiments.history().collect();
        prop_assert!(past.len() == 1 && past[0].closed > 150, "{:?}", past);
        prop_assert!(taken > 3000, "{}", taken);
    }
}
