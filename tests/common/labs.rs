//! A lab of a fleet with routes as a test has it: in its turn, in a folder of its own, and judged at its end.
#![allow(dead_code)]

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hopwalk::lab::routes::{Lab, LabError, Outcome, Setup};

#[path = "replays.rs"]
mod replays;
mod turns;

pub use replays::play_again_if_void;

static NEXT: AtomicU64 = AtomicU64::new(1);

pub const THREE: [&str; 3] = ["m1", "m2", "m3"];
pub const FIVE: [&str; 5] = ["m1", "m2", "m3", "m4", "m5"];

/// How long a switch may take, with silence until the deadline and a change of leader in it.
pub const SWITCH: Duration = Duration::from_secs(12);
/// How long else is waited for what is to come at once.
pub const SOON: Duration = Duration::from_secs(6);

/// In so many milliseconds each matcher is asked about a dozen times.
const CALLED_MS: u64 = 800;

/// What must not fail: the error says what did not come.
pub fn ok<T>(done: Result<T, LabError>) -> T {
    done.unwrap_or_else(|e| panic!("{e}"))
}

/// Everybody else.
pub fn but<'a>(all: &[&'a str], whom: &str) -> Vec<&'a str> {
    all.iter().copied().filter(|m| *m != whom).collect()
}

/// A lab under load, and its folder: kept where the test fails, or `ROUTES_KEEP` is set.
pub struct Case {
    lab: Lab,
    /// Its matchers.
    pub names: Vec<&'static str>,
    folder: PathBuf,
    watch: replays::Watch,
    _turn: turns::Turn,
}

impl std::ops::Deref for Case {
    type Target = Lab;
    fn deref(&self) -> &Lab {
        &self.lab
    }
}

impl std::ops::DerefMut for Case {
    fn deref_mut(&mut self) -> &mut Lab {
        &mut self.lab
    }
}

impl Case {
    pub fn start(setup: Setup) -> Self {
        let turn = turns::Turn::take();
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("hopwalk-lab-test-{}-{n}", std::process::id()));
        println!("seed {:x}, folder {}", setup.seed, folder.display());
        let program = PathBuf::from(env!("CARGO_BIN_EXE_hopwalk"));
        let names = FIVE[..setup.matchers].to_vec();
        let lab = ok(Lab::start(setup, &program, &folder));
        let watch = replays::Watch::new(lab.longest_echo());
        Self { lab, names, folder, watch, _turn: turn }
    }

    /// Waits until a switch is over, as `at` learns it from the leader.
    pub fn wait_active(&self, at: &str, turn: u64) {
        ok(self.wait_for(&format!("the end of the switch to turn {turn}"), SWITCH, || {
            let fleet = self.fleet(at).unwrap_or_default();
            let there = fleet["active"]["turn"] == turn && fleet["pending"].is_null();
            there.then_some(()).ok_or(fleet.to_string())
        }));
    }

    /// A fleet that has switched to its first version, which calls `s1`.
    pub fn at_first(setup: Setup) -> Self {
        let case = Self::start(setup);
        case.activate("m1", "s1");
        ok(case.wait_switched(1, &case.names, SWITCH));
        case.wait_active("m1", 1);
        case
    }

    /// Begins to activate a table that calls `service`; its turn.
    pub fn activate(&self, at: &str, service: &str) -> u64 {
        let version = ok(self.propose(at, &[service]));
        let told = ok(self.done(at, "activate", &version.to_string()));
        told["turn"].as_u64().unwrap_or_else(|| panic!("no turn in {told}"))
    }

    pub fn wait_stage(&self, stage: &str, of: &[&str]) {
        ok(self.wait_for(&format!("stage {stage}"), SOON, || {
            let seen = of.iter().find_map(|at| self.fleet(at));
            let now = seen.as_ref().map(|fleet| fleet["pending"]["stage"].clone());
            (now == Some(stage.into())).then_some(()).ok_or(format!("{seen:?}"))
        }));
    }

    /// Waits until one of these knows the moment of the switch.
    pub fn wait_moment(&self, of: &[&str]) {
        ok(self.wait_for("the moment of the switch", SWITCH, || {
            let knows =
                of.iter().any(|at| self.show(at).is_some_and(|told| !told["here"]["switch"].is_null()));
            knows.then_some(()).ok_or("nobody knows it".to_string())
        }));
    }

    pub fn wait_lease(&self, at: &str, held: bool) {
        ok(self.wait_for(&format!("{at} with a lease: {held}"), SOON, || {
            let told = self.show(at);
            let ms = told.as_ref().and_then(|told| told["here"]["lease_ms"].as_u64());
            ms.is_some_and(|ms| (ms > 0) == held).then_some(()).ok_or(format!("{told:?}"))
        }));
    }

    /// Waits until an activation is over, as one of these learns it: why it was aborted, or null.
    pub fn wait_end(&self, turn: u64, of: &[&str]) -> serde_json::Value {
        let mut end = None;
        ok(self.wait_for(&format!("the end of turn {turn}"), SWITCH, || {
            let told = of.iter().find_map(|at| self.history(at)).unwrap_or_default();
            let all = told["activations"].as_array().cloned().unwrap_or_default();
            end = all.into_iter().find(|past| past["turn"] == turn).map(|past| past["aborted"].clone());
            end.as_ref().map(drop).ok_or(told.to_string())
        }));
        end.unwrap_or_default()
    }

    /// Lets each matcher that runs serve for a while, then ends it.
    pub fn serve_and_finish(self) -> Outcome {
        ok(self.wait_ready());
        self.play(CALLED_MS);
        self.finish()
    }

    /// Lets requests come for a while: what is judged is what they meet.
    pub fn play(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms));
    }

    /// Ends it and asserts that no rule was broken.
    pub fn finish(self) -> Outcome {
        let Self { lab, folder, names: _, mut watch, _turn } = self;
        let outcome = ok(lab.finish());
        println!("{}", outcome.table());
        watch.judge(&outcome.verdict, outcome.routes.breaks());
        assert!(outcome.clean(), "a rule was broken: see the table above");
        assert!(outcome.verdict.statuses.get(&200).is_some_and(|n| *n > 20), "hardly anything was served");
        if std::env::var_os("ROUTES_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(folder);
        }
        outcome
    }
}
