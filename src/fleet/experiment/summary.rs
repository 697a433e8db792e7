//! What an experiment stands on, in plain words, for operators.

use super::decide::Evaluation;
use super::record::{End, EndedExperiment};
use super::sequential::BatchMeans;
use super::{Arm, Evidence, Experiment, Verdict};

/// In points, which are hundredths.
fn points(share: f64) -> String {
    format!("{:.1}", 100.0 * share)
}

fn more(share: f64) -> String {
    format!("{} points {}", points(share.abs()), if share < 0.0 { "less" } else { "more" })
}

fn between((low, high): (f64, f64)) -> String {
    format!("between {} and {} points", points(low.max(-1.0)), points(high.min(1.0)))
}

/// Evidence as odds, from its natural logarithm.
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

/// What is asked of any winner and harm.
fn asked(experiment: &Experiment) -> String {
    format!(
        "no winner and no harm before {} blocks are weighed; the levels of error are kept where outcomes of an arm \
         hang together over up to {:.0} blocks",
        experiment.min_evaluated_blocks(),
        experiment.correlation_time()
    )
}

fn fewer(of: &BatchMeans, experiment: &Experiment, blocks: u64) -> String {
    match of.effective(experiment.correlation_time()) {
        0.0 => format!("its {blocks} blocks are too few or hang together too much to tell"),
        n => format!("its {blocks} blocks count as {n:.1} that do not hang together"),
    }
}

/// Of the one that runs: its blocks, each arm against the control, the split.
pub fn running(experiment: &Experiment, evaluation: &Evaluation) -> Vec<String> {
    let blocks = evaluation.weighed;
    let mut lines = vec![
        format!(
            "{} of {} blocks are closed; {blocks} had requests in every arm",
            evaluation.closed(),
            experiment.blocks()
        ),
        asked(experiment),
    ];
    let control = name(experiment, 0);
    let comparisons = experiment.comparisons();
    for (at, c) in evaluation.arms.iter().enumerate() {
        let level = |alpha: f64, of: &BatchMeans| {
            between(of.interval(alpha / comparisons, experiment.correlation_time()))
        };
        lines.push(format!(
            "{} serves {} in aim than {control}, {}; {}",
            name(experiment, at + 1),
            more(c.aim.mean()),
            level(experiment.alpha, &c.aim),
            fewer(&c.aim, experiment, blocks)
        ));
        lines.push(format!(
            "{} fails or delays {} than {control}, {}, where over {} is harm; {}",
            name(experiment, at + 1),
            more(c.bad.mean()),
            level(experiment.harm_alpha, &c.bad),
            points(experiment.harm_margin),
            fewer(&c.bad, experiment, blocks)
        ));
    }
    let all = evaluation.assigned.iter().map(|n| *n as f64).sum::<f64>();
    let arm = |(arm, n): (&Arm, &u64)| format!("{} {n} for {:.1}", arm.name, arm.share * all);
    let subjects: Vec<_> = experiment.arms.iter().zip(&evaluation.assigned).map(arm).collect();
    lines.push(format!(
        "subjects, each counted once, for those asked: {}; the evidence against the split was {} at its most, and \
         {} stops the experiment",
        subjects.join(", "),
        odds(evaluation.most_split),
        odds(-experiment.split_alpha.ln())
    ));
    lines
}

/// Of one that ended: why, and on what.
pub fn ended(past: &EndedExperiment) -> Vec<String> {
    let experiment = &past.experiment;
    let closed = format!("{} of {} blocks were closed", past.closed, experiment.blocks());
    match &past.end {
        End::Stopped { by } => vec![format!("{by} stopped it, without a verdict"), closed],
        End::Overtaken { .. } => {
            vec!["another table became active, so that it ended without a verdict".into(), closed]
        }
        End::Verdict { verdict, .. } => vec![said(experiment, verdict), closed, asked(experiment)],
    }
}

fn said(experiment: &Experiment, verdict: &Verdict) -> String {
    let control = name(experiment, 0);
    let on = |evidence: &Evidence| {
        format!(
            "{}, on {} blocks; the evidence is {}",
            between(evidence.interval),
            evidence.blocks,
            odds(evidence.e_value.ln())
        )
    };
    match verdict {
        Verdict::Continue { .. } => "it goes on".into(),
        Verdict::Winner { arm: 0, evidence } => format!(
            "{control} won: the arm that came closest served {} in aim, {}",
            more(evidence.estimate),
            on(evidence)
        ),
        Verdict::Winner { arm, evidence } => format!(
            "{} won: it served {} in aim than {control}, {}",
            name(experiment, *arm),
            more(evidence.estimate),
            on(evidence)
        ),
        Verdict::Harm { arm, evidence } => format!(
            "{} did harm: it failed or delayed {} than {control}, {}",
            name(experiment, *arm),
            more(evidence.estimate),
            on(evidence)
        ),
        Verdict::Invalid { evidence } => format!(
            "the split is not the one asked for, so nothing is said of the arms: one arm's share of subjects is {} \
             than asked; the evidence is {}, and {} was enough",
            more(evidence.estimate),
            odds(evidence.e_value.ln()),
            odds(-experiment.split_alpha.ln())
        ),
        Verdict::NoWinner { evidence } => format!(
            "no winner: the arm with the most evidence served {} in aim than {control}, {}",
            more(evidence.estimate),
            on(evidence)
        ),
    }
}
