//! Seeds of a sweep, judged alike on a quiet and on a busy machine.

use std::path::PathBuf;

use hopwalk::lab::check::Verdict;
use hopwalk::lab::sweep::{sweep, Swept};

/// How often a play is played again that was void, as the load tool was held up.
const PLAYED_AGAIN: usize = 2;

/// Plays so many seeds from `first` on, two at once. Each is clean; only where a play was void and not clean, it is played
/// again alone, and what callers waited for is left out of account where the last play was void too.
pub fn play_seeds(name: &str, first: u64, count: u64, draw: fn(u64) -> String) -> Vec<Swept> {
    let folder = std::env::temp_dir().join(format!("hopwalk-{name}-{}", std::process::id()));
    let program = PathBuf::from(env!("CARGO_BIN_EXE_hopwalk"));
    let play = |seed, count, at_once| sweep(seed, count, at_once, &program, &folder, draw, |_| {});
    let mut all = play(first, count, 2);
    for swept in &mut all {
        for _ in 0..PLAYED_AGAIN {
            assert_told_well(swept);
            if swept.clean() || !swept.verdict.as_ref().is_ok_and(Verdict::void) {
                break;
            }
            *swept = play(swept.seed, 1, 1).remove(0);
        }
        assert_told_well(swept);
        let verdict = swept.verdict.as_ref().unwrap();
        assert!(verdict.clean() || verdict.void(), "seed {}: {}", swept.seed, verdict.table());
    }
    let _ = std::fs::remove_dir_all(&folder);
    all
}

/// What a run was told, and how often it ran, is wrong on any machine; how late an answer came is not the matcher's doing
/// where the load tool itself was held up.
fn assert_told_well(swept: &Swept) {
    let verdict = swept.verdict.as_ref().unwrap_or_else(|e| panic!("seed {}: {e}", swept.seed));
    for rule in ["changed", "double", "run_twice", "refused_after_run"] {
        assert_eq!(verdict.counts[rule], 0, "seed {}: {}", swept.seed, verdict.table());
    }
}
