//! Tables that differ in how often a call is tried, and in whether it may be left out, on real processes: a
//! service below fails every call, and what counts is how many it saw of each request under each turn.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use hopwalk::lab::history::{Event, Record};
use hopwalk::lab::routes::{Lab, LabError, Outcome, Setup};
use hopwalk::lab::services::Quality;

#[path = "common/turns.rs"]
mod turns;

const THREE: [&str; 3] = ["m1", "m2", "m3"];
const SWITCH: Duration = Duration::from_secs(12);
/// Requests of all classes are read, called for and answered many times in it; a request has 1.5 s.
const PLAYED: Duration = Duration::from_millis(2500);
/// What the reducer knows of a table is at most a look (20 ms) late; a machine short of processors adds to
/// it.
const KNOWN_US: u64 = 500_000;
/// A service that failed two asks of a call is not asked a third time: the second `failed` may be a copy of the first, so that
/// the reply to the second ask may still come, and would be taken for that to the third.
const ASKS_UNTIL_REPEATED_STATUS: usize = 2;

fn ok<T>(done: Result<T, LabError>) -> T {
    done.unwrap_or_else(|e| panic!("{e}"))
}

/// Switches all to a table that calls `s1` so often; the turn.
fn switch(lab: &Lab, tries: u32, without: bool) -> u64 {
    let mut table = ok(lab.table(&["s1"]));
    for route in table["routes"].as_array_mut().into_iter().flatten() {
        (route["tries"], route["without"]) = (tries.into(), without.into());
    }
    let version = ok(lab.done("m1", "propose", &table.to_string()))["version"].clone();
    let told = ok(lab.done("m1", "activate", &version.to_string()));
    let turn = told["turn"].as_u64().unwrap_or_else(|| panic!("no turn in {told}"));
    ok(lab.wait_switched(turn, &THREE, SWITCH));
    std::thread::sleep(PLAYED);
    turn
}

/// What is known of one request.
#[derive(Default)]
struct Seen {
    class: String,
    /// When its calls began, by turn.
    calls: BTreeMap<u64, Vec<u64>>,
    status: Option<u16>,
}

fn requests(records: &[Record]) -> BTreeMap<String, Seen> {
    let mut all: BTreeMap<String, Seen> = BTreeMap::new();
    for record in records {
        match &record.event {
            Event::Send { id, class, .. } => all.entry(id.clone()).or_default().class.clone_from(class),
            Event::Call { id, turn, t_us, .. } => {
                all.entry(id.clone()).or_default().calls.entry(*turn).or_default().push(*t_us);
            }
            Event::Answer { id, status, .. } => all.entry(id.clone()).or_default().status = Some(*status),
            _ => {}
        }
    }
    all
}

#[test]
fn a_failing_service_sees_each_request_as_often_as_the_table_of_its_version_says() {
    let _turn = turns::Turn::take();
    let setup = Setup::new(0x7217, 3, 3);
    let folder = std::env::temp_dir().join(format!("hopwalk-tries-test-{}", std::process::id()));
    println!("seed {:x}, folder {}", setup.seed, folder.display());
    let lab = ok(Lab::start(setup, &PathBuf::from(env!("CARGO_BIN_EXE_hopwalk")), &folder));
    ok(lab.service("s1")).set(Quality { failed: 1.0, ..Quality::default() });
    let played = [(3, false), (1, false), (2, true), (1, true)];
    let turns: BTreeMap<u64, (usize, bool)> = played
        .iter()
        .map(|(tries, without)| (switch(&lab, *tries, *without), (*tries as usize, *without)))
        .collect();
    assert_eq!(turns.len(), played.len());
    let outcome: Outcome = ok(lab.finish());
    assert!(outcome.clean(), "a rule was broken:\n{}", outcome.table());
    let begun: BTreeMap<u64, u64> = turns
        .keys()
        .map(|turn| {
            let at = outcome.records.iter().filter_map(|r| match &r.event {
                Event::Switched { turn: of, t_us, .. } if of == turn => Some(*t_us),
                _ => None,
            });
            (*turn, at.max().unwrap_or(0))
        })
        .collect();
    let mut all = requests(&outcome.records);
    all.retain(|_, seen| seen.calls.keys().any(|turn| turns.contains_key(turn)));
    for (turn, (tries, without)) in &turns {
        let of = |keyed: bool| {
            let is =
                move |seen: &&Seen| seen.calls.contains_key(turn) && (seen.class == "lobby-confirm") == keyed;
            all.values().filter(is).collect::<Vec<_>>()
        };
        for keyed in [false, true] {
            // A call that failed may have had its effect: one that carries a key is never made again.
            let most = if keyed { 1 } else { (*tries).min(ASKS_UNTIL_REPEATED_STATUS) };
            let (seen, mut counts, mut served) = (of(keyed), BTreeMap::<usize, usize>::new(), 0);
            for one in &seen {
                *counts.entry(one.calls[turn].len()).or_default() += 1;
                served += usize::from(one.status == Some(200));
            }
            let of = format!("turn {turn}: tries {tries}, without {without}, keyed {keyed}");
            println!("{of}: calls {counts:?}, served {served}");
            assert!(seen.len() >= 5, "hardly anything was called");
            assert!(counts.keys().all(|n| *n <= most), "over {most}: {counts:?}");
            assert!(
                counts.get(&most).is_some_and(|n| n * 2 > seen.len()),
                "not tried {most} times: {counts:?}"
            );
            // The keyed class is worth nothing without its call.
            match *without && !keyed {
                true => assert!(served * 2 > seen.len(), "{served} of {}", seen.len()),
                false => assert_eq!(served, 0, "answered without a call that went well"),
            }
        }
    }
    for (id, seen) in &all {
        assert_eq!(seen.calls.len(), 1, "{id}: failed under one version and made again under another");
    }
    // The bound of each version held from its first call on, not only once things had settled.
    let soon = |turn: &u64, at: &u64| *at < begun[turn] + KNOWN_US;
    let early =
        all.values().flat_map(|seen| &seen.calls).filter(|(turn, at)| at.iter().any(|at| soon(turn, at)));
    assert!(early.count() >= 5, "no call came soon after a switch");
    if std::env::var_os("ROUTES_KEEP").is_none() {
        let _ = std::fs::remove_dir_all(folder);
    }
}
