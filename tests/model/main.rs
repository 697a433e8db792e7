//! Model checking of leases and two-phase activation: `stateright` explores all states within bounds. `docs/model.md`
//! describes what the model includes. `MODEL_MORE=n` explores n more ticks.

mod model;
mod rules;

use std::time::Instant;

use model::{Bounds, ABORTED, CHANGED, ENDED, HEALS, LEASE, ORDER};
use rstest::rstest;
use rules::{Fault, Timing};
use stateright::{Checker, HasDiscoveries, Model};

/// No drift, and messages are delivered within their tick or never.
fn without_drift(ticks: u8) -> Bounds {
    let timing = Timing { lease: 2, lead: 2, deadline: 1, max_window: 4, drifts: false, fault: Fault::None };
    let (members, turns, check_heals) = (2, 1, true);
    Bounds {
        members,
        timing,
        ticks,
        turns,
        elections: 0,
        crashes: 0,
        fast_ticks: 0,
        max_age: 0,
        max_in_flight: 1,
        check_heals,
    }
}

fn lost() -> Bounds {
    without_drift(6)
}

fn late() -> Bounds {
    Bounds { max_age: 1, ..without_drift(4) }
}

fn drift() -> Bounds {
    let bounds = without_drift(6);
    Bounds { fast_ticks: 1, timing: Timing { lease: 4, lead: 3, drifts: true, ..bounds.timing }, ..bounds }
}

fn crash() -> Bounds {
    Bounds { crashes: 1, ..without_drift(5) }
}

fn leader() -> Bounds {
    Bounds { elections: 1, ..without_drift(3) }
}

fn late_leader() -> Bounds {
    Bounds { max_age: 1, ticks: 2, ..leader() }
}

fn crashed_leader() -> Bounds {
    Bounds { crashes: 1, ticks: 2, ..leader() }
}

fn twice() -> Bounds {
    Bounds { turns: 2, ..without_drift(6) }
}

fn three() -> Bounds {
    Bounds { members: 3, ..without_drift(4) }
}

fn silent() -> Bounds {
    let bounds = without_drift(4);
    Bounds { timing: Timing { lease: 4, ..bounds.timing }, ..bounds }
}

fn with(bounds: Bounds, fault: Fault) -> Bounds {
    Bounds { check_heals: fault == Fault::NeverDone, timing: Timing { fault, ..bounds.timing }, ..bounds }
}

#[rstest]
#[case::lost(lost(), &[ENDED])]
#[case::late(late(), &[ENDED])]
#[case::drift(drift(), &[ENDED])]
#[case::crash(crash(), &[ENDED])]
#[case::leader(leader(), &[ENDED, CHANGED])]
#[case::late_leader(late_leader(), &[])]
#[case::crashed_leader(crashed_leader(), &[])]
#[case::twice(twice(), &[ENDED])]
#[case::three(three(), &[ENDED])]
#[case::silent(silent(), &[ABORTED])]
fn no_reachable_state_violates_a_property(#[case] bounds: Bounds, #[case] reached: &[&'static str]) {
    let more = std::env::var("MODEL_MORE").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    let bounds = Bounds { ticks: bounds.ticks + more, ..bounds };
    let began = Instant::now();
    let checker = bounds.checker().threads(2).spawn_bfs().join();
    let (states, found) = (checker.unique_state_count(), checker.discoveries());
    println!("{states} states in {:.1?}, {bounds:?}", began.elapsed());
    for name in [ORDER, LEASE, HEALS] {
        checker.assert_no_discovery(name);
    }
    // An exploration that does not reach these states would prove nothing.
    let missed: Vec<_> = reached.iter().filter(|name| !found.contains_key(*name)).collect();
    assert!(missed.is_empty(), "never reached: {missed:?}");
}

#[rstest]
#[case::a_lease_past_the_moment(with(silent(), Fault::LongLease), LEASE)]
#[case::a_commit_over_open_leases(with(silent(), Fault::RashCommit), ORDER)]
#[case::a_later_leaders_moment(with(leader(), Fault::StaleMoment), ORDER)]
#[case::an_activation_without_end(with(lost(), Fault::NeverDone), HEALS)]
fn a_planted_fault_is_found(#[case] bounds: Bounds, #[case] breaks: &'static str) {
    let bounds = Bounds { ticks: bounds.ticks + 2, ..bounds };
    let began = Instant::now();
    let until = HasDiscoveries::AnyOf([breaks].into());
    let checker = bounds.checker().threads(2).finish_when(until).spawn_bfs().join();
    println!("{} states in {:.1?}, {bounds:?}", checker.unique_state_count(), began.elapsed());
    let path = checker.assert_any_discovery(breaks);
    println!("{breaks}: {:?}", path.into_actions());
}
