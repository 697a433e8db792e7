//! Voters whose folders fail for a while: what was taken on is still owed, and they take part again once they can.

use hopwalk::lab::routes::Setup;
use hopwalk::lab::shim::Dial;

#[path = "common/labs.rs"]
mod labs;
use labs::{but, ok, play_again_if_void, Case, SWITCH, THREE};

/// How long a folder fails, in milliseconds.
const FAILS_MS: u64 = 2_000;

fn start() -> Case {
    let setup = Setup { system_faults: true, ..Setup::new(0xd15c, 3, 3) };
    Case::at_first(setup)
}

#[test]
fn a_voter_whose_folder_fails_for_a_while_misses_no_decision() {
    play_again_if_void(|| {
        let case = start();
        ok(case.turn_system("m2", &[(Dial::Disk, 1000)]));
        let others = but(&THREE, "m2");
        let turn = case.activate("m1", "s2");
        case.play(FAILS_MS);
        ok(case.turn_system("m2", &[(Dial::Disk, 0)]));
        ok(case.wait_switched(turn, &others, SWITCH));
        ok(case.wait_switched(turn, &["m2"], SWITCH));
        // It votes again: without it and one more there is no majority.
        let next = case.activate("m2", "s3");
        ok(case.wait_switched(next, &THREE, SWITCH));
        case.serve_and_finish();
    });
}

#[test]
fn folders_that_fail_now_and_then_at_all_voters_lose_no_decision() {
    play_again_if_void(|| {
        let case = start();
        for name in THREE {
            ok(case.turn_system(name, &[(Dial::Disk, 100)]));
        }
        // Whether this is taken on depends on the draws; what was, holds.
        let told =
            case.propose("m1", &["s2"]).and_then(|version| case.done("m1", "activate", &version.to_string()));
        case.play(FAILS_MS);
        for name in THREE {
            ok(case.turn_system(name, &[(Dial::Disk, 0)]));
        }
        if let Some(turn) = told.ok().and_then(|told| told["turn"].as_u64()) {
            case.wait_end(turn, &THREE);
        }
        ok(case.wait_ready());
        let next = case.activate("m3", "s3");
        ok(case.wait_switched(next, &THREE, SWITCH));
        case.serve_and_finish();
    });
}
