//! Summaries of experiments for operators: the state of a running experiment, and why an ended one ended.

use super::decide::Evaluation;
use super::record::{End, EndedExperiment};
use super::sequential::BatchMeans;
use super::{Arm, Evidence, Experiment, Verdict};

/// A share in percentage points.
fn points(share: f64) -> String {
    format!("{:.1}", 100.0 * share)
}

fn signed_points(share: f64) -> String {
    format!("{} points {}", points(share.abs()), if share < 0.0 { "less" } else { "more" })
}

fn interval((low, high): (f64, f64)) -> String {
    format!("between {} and {} points", points(low.max(-1.0)), points(high.min(1.0)))
}

/// An e-value as odds, from its natural logarithm.
fn odds(ln_e: f64) -> String {
    match ln_e {
        ln_e if ln_e > 13.8 => "over a million to one".into(),
        ln_e if ln_e < 0.0 => "less than one to one".into(),
        ln_e => format!("{:.1} to one", ln_e.exp()),
    }
}

fn name(experiment: &Experiment, arm: usize) -> &str {
    experiment.arms.get(arm).map_or("?", |arm| &arm.name)
}

/// The conditions for any winner or harm.
fn conditions(experiment: &Experiment) -> String {
    format!(
        "there is no winner and no harm before {} blocks are evaluated; the significance levels hold for outcomes \
         of an arm with a correlation time of up to {:.0} blocks",
        experiment.min_evaluated_blocks(),
        experiment.correlation_time()
    )
}

fn effective_size(differences: &BatchMeans, experiment: &Experiment, blocks: u64) -> String {
    match differences.effective_size(experiment.correlation_time()) {
        0.0 => format!("its {blocks} blocks are too few or too strongly autocorrelated for an estimate"),
        n => format!("its {blocks} blocks count as {n:.1} independent ones"),
    }
}

/// The lines on a running experiment: its blocks, each arm compared with the control, and the split.
pub fn running(experiment: &Experiment, evaluation: &Evaluation) -> Vec<String> {
    let blocks = evaluation.evaluated;
    let mut lines = vec![
        format!(
            "{} of {} blocks are closed; {blocks} had requests in every arm",
            evaluation.closed(),
            experiment.blocks()
        ),
        conditions(experiment),
    ];
    let control = name(experiment, 0);
    let comparisons = experiment.comparisons();
    for (index, c) in evaluation.arms.iter().enumerate() {
        let interval_at = |alpha: f64, differences: &BatchMeans| {
            interval(differences.interval(alpha / comparisons, experiment.correlation_time()))
        };
        lines.push(format!(
            "{} serves {} on time than {control}, {}; {}",
            name(experiment, index + 1),
            signed_points(c.on_time.mean()),
            interval_at(experiment.alpha, &c.on_time),
            effective_size(&c.on_time, experiment, blocks)
        ));
        lines.push(format!(
            "{} fails or delays {} than {control}, {}; more than {} points is harm; {}",
            name(experiment, index + 1),
            signed_points(c.bad_outcomes.mean()),
            interval_at(experiment.harm_alpha, &c.bad_outcomes),
            points(experiment.harm_margin),
            effective_size(&c.bad_outcomes, experiment, blocks)
        ));
    }
    let total = evaluation.assigned.iter().map(|n| *n as f64).sum::<f64>();
    let arm = |(arm, n): (&Arm, &u64)| format!("{} {n} for {:.1}", arm.name, arm.share * total);
    let subjects: Vec<_> = experiment.arms.iter().zip(&evaluation.assigned).map(arm).collect();
    lines.push(format!(
        "subjects, each counted once, with the expected numbers: {}; the evidence against the split was at most {}, \
         and {} stops the experiment",
        subjects.join(", "),
        odds(evaluation.max_split_ln_e),
        odds(-experiment.split_alpha.ln())
    ));
    lines
}

/// The lines on an ended experiment: why it ended, and its evidence.
pub fn ended(past: &EndedExperiment) -> Vec<String> {
    let experiment = &past.experiment;
    let closed = format!("{} of {} blocks were closed", past.closed, experiment.blocks());
    match &past.end {
        End::Stopped { by } => vec![format!("{by} stopped it without a verdict"), closed],
        End::Overtaken { .. } => {
            vec!["it ended without a verdict because another table became active".into(), closed]
        }
        End::Verdict { verdict, .. } => vec![describe(experiment, verdict), closed, conditions(experiment)],
    }
}

fn describe(experiment: &Experiment, verdict: &Verdict) -> String {
    let control = name(experiment, 0);
    let describe_evidence = |evidence: &Evidence| {
        format!(
            "{}, on {} blocks; the evidence is {}",
            interval(evidence.interval),
            evidence.blocks,
            odds(evidence.e_value.ln())
        )
    };
    match verdict {
        Verdict::Continue { .. } => "there is no decision yet".into(),
        Verdict::Winner { arm: 0, evidence } => format!(
            "{control} won: the arm that came closest served {} on time, {}",
            signed_points(evidence.estimate),
            describe_evidence(evidence)
        ),
        Verdict::Winner { arm, evidence } => format!(
            "{} won: it served {} on time than {control}, {}",
            name(experiment, *arm),
            signed_points(evidence.estimate),
            describe_evidence(evidence)
        ),
        Verdict::Harm { arm, evidence } => format!(
            "{} did harm: it failed or delayed {} than {control}, {}",
            name(experiment, *arm),
            signed_points(evidence.estimate),
            describe_evidence(evidence)
        ),
        Verdict::Invalid { evidence } => format!(
            "the split is not the configured one, so the arms cannot be compared: one arm's share of subjects is {} \
             than configured; the evidence is {}, and {} stops the experiment",
            signed_points(evidence.estimate),
            odds(evidence.e_value.ln()),
            odds(-experiment.split_alpha.ln())
        ),
        Verdict::NoWinner { evidence } => format!(
            "no winner: the arm with the strongest evidence served {} on time than {control}, {}",
            signed_points(evidence.estimate),
            describe_evidence(evidence)
        ),
    }
}
