//! Seeds of the soak in which links to the agents and replies from below come late and again. They keep processors busy, so they
//! are a test binary of their own: cargo runs it beside no other lab.

use hopwalk::lab::sweep::{soak_scenario, SOAK_KIND_SEEDS};

#[path = "common/seeds.rs"]
mod seeds;

#[test]
fn no_run_gets_the_reply_of_another_call_where_links_and_replies_come_late_and_again() {
    // On the program of before 3 December 2026 runs got the reply of another call. Two seeds of each kind: links that agents
    // end, a vault that answers late, and both. The long form: `hopwalk lab sweep --soak --seed 16 --count 48`.
    for first in [9 * SOAK_KIND_SEEDS, 2 * SOAK_KIND_SEEDS, 3 * SOAK_KIND_SEEDS] {
        for swept in seeds::play_seeds("soak-calls", first, 2, soak_scenario) {
            assert!(!swept.made_no_progress(), "seed {}", swept.seed);
        }
    }
}
