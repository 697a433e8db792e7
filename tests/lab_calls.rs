//! Seeds of the soak in which links to the agents and replies from below come late and again. They keep processors busy, so they
//! are a test binary of their own: cargo runs it beside no other lab.

use std::path::PathBuf;

use hopwalk::lab::check::Verdict;
use hopwalk::lab::sweep::{soak_scenario, sweep, Swept, SOAK_KIND_SEEDS};

/// How often a play is played again that was void, as the load tool was held up.
const PLAYED_AGAIN: usize = 2;

/// What a run was told, and how often it ran, is wrong on any machine; how late an answer came is not the matcher's doing
/// where the load tool itself was held up.
fn assert_told_well(swept: &Swept) {
    let verdict = swept.verdict.as_ref().unwrap_or_else(|e| panic!("seed {}: {e}", swept.seed));
    for rule in ["changed", "double", "run_twice", "refused_after_run"] {
        assert_eq!(verdict.counts[rule], 0, "seed {}: {}", swept.seed, verdict.table());
    }
}

#[test]
fn no_run_gets_the_reply_of_another_call_where_links_and_replies_come_late_and_again() {
    // On the program of before 3 December 2026 runs got the reply of another call. Two seeds of each kind: links that agents
    // end, a vault that answers late, and both. The long form: `hopwalk lab sweep --soak --seed 16 --count 48`.
    let folder = std::env::temp_dir().join(format!("hopwalk-soak-calls-{}", std::process::id()));
    let program = PathBuf::from(env!("CARGO_BIN_EXE_hopwalk"));
    for first in [9 * SOAK_KIND_SEEDS, 2 * SOAK_KIND_SEEDS, 3 * SOAK_KIND_SEEDS] {
        for mut swept in sweep(first, 2, 2, &program, &folder, soak_scenario, |_| {}) {
            for _ in 0..PLAYED_AGAIN {
                assert_told_well(&swept);
                if swept.clean() || !swept.verdict.as_ref().is_ok_and(Verdict::void) {
                    break;
                }
                swept = sweep(swept.seed, 1, 1, &program, &folder, soak_scenario, |_| {}).remove(0);
            }
            assert_told_well(&swept);
            let verdict = swept.verdict.as_ref().unwrap();
            assert!(verdict.clean() || verdict.void(), "seed {}: {}", swept.seed, verdict.table());
            assert!(!swept.made_no_progress(), "seed {}: {}", swept.seed, verdict.table());
        }
    }
    let _ = std::fs::remove_dir_all(&folder);
}
