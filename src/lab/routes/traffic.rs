//! What a member of a fleet sends and takes a second: datagrams of the membership, frames on the links of record
//! and driver. As the matchers count it themselves, by `GET /metrics`.

use std::path::Path;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use super::setup::split_table;
use super::{series, Lab, LabError, Outcome, Setup, LOOK};
use crate::fleet::experiment::{Arm, Experiment};
use crate::lab::load::Steer;

/// What is asked of each member, in the order of [`Traffic::counted`].
const COUNTED: [&str; 8] = [
    r#"hopwalk_membership_total{what="sent"}"#,
    r#"hopwalk_membership_total{what="taken"}"#,
    r#"hopwalk_membership_total{what="sent_bytes"}"#,
    r#"hopwalk_membership_total{what="taken_bytes"}"#,
    r#"hopwalk_fleet_link_frames_total{way="out"}"#,
    r#"hopwalk_fleet_link_frames_total{way="in"}"#,
    r#"hopwalk_fleet_link_bytes_total{way="out"}"#,
    r#"hopwalk_fleet_link_bytes_total{way="in"}"#,
];
/// Until what was read before is answered, and the news of the start are told.
const QUIET: Duration = Duration::from_secs(5);
/// How long a switch, or the first block of an experiment, may take.
const MOST: Duration = Duration::from_secs(15);
/// Switches that are measured.
const SWITCHES: u64 = 3;
/// How often members tell the leader their counts goes by this.
const BLOCK_MS: u64 = 1_000;

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Matchers; the first 3, or from 5 on the first 5, vote.
    pub matchers: usize,
    /// How long each state is counted.
    pub window: Duration,
    /// Requests a second in all, where there is load.
    pub rate: f64,
    /// Draws the load.
    pub seed: u64,
}

/// What all members together counted in a state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Datagrams out, in, their bytes out, in; frames out, in, their bytes out, in.
    pub counted: [f64; 8],
    /// Seconds, summed over the members.
    pub seconds: f64,
}

impl Traffic {
    fn add(&mut self, from: &[(u64, [f64; 8])], to: &[(u64, [f64; 8])]) {
        for (from, to) in from.iter().zip(to) {
            self.seconds += to.0.saturating_sub(from.0) as f64 / 1e6;
            (0..8).for_each(|n| self.counted[n] += to.1[n] - from.1[n]);
        }
    }

    fn and(mut self, other: Self) -> Self {
        self.seconds += other.seconds;
        (0..8).for_each(|n| self.counted[n] += other.counted[n]);
        self
    }

    /// Each a member a second.
    pub fn rates(&self) -> [f64; 8] {
        self.counted.map(|n| n / self.seconds.max(f64::MIN_POSITIVE))
    }

    /// Bytes a member sends a second in all.
    fn bytes(&self) -> f64 {
        self.rates()[2] + self.rates()[6]
    }
}

/// The states of one size, and the membership alone.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// With routes: state by state.
    pub routes: Vec<(&'static str, Traffic)>,
    /// Without routes, idle and under load together: the membership does not go by the load.
    pub alone: Traffic,
}

impl Figures {
    /// A line a state; the last figure is how many times the bytes out of the membership alone that is.
    pub fn table(&self, matchers: usize) -> String {
        let alone = ("membership alone", &self.alone);
        let all = [alone].into_iter().chain(self.routes.iter().map(|(state, traffic)| (*state, traffic)));
        let line = |(state, traffic): (&str, &Traffic)| {
            let [d_out, d_in, db_out, db_in, f_out, f_in, fb_out, fb_in] = traffic.rates();
            format!(
                "traffic: {matchers} members, {state}: a member a second: datagrams {d_out:.1} out {d_in:.1} in, \
                 bytes {db_out:.0} out {db_in:.0} in; frames {f_out:.1} out {f_in:.1} in, bytes {fb_out:.0} out \
                 {fb_in:.0} in; {:.1} times the bytes out of the membership alone\n",
                traffic.bytes() / self.alone.bytes().max(f64::MIN_POSITIVE)
            )
        };
        all.map(line).collect()
    }
}

/// The value of a line of metrics; 0 where it is not there.
fn value(text: &str, name: &str) -> f64 {
    let found = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    found.unwrap_or(0.0)
}

impl Lab {
    /// What a matcher counted under this name, labels included; 0 where it does not count that.
    ///
    /// # Errors
    /// [`LabError`] where it does not answer.
    pub fn metric(&self, of: &str, name: &str) -> Result<f64, LabError> {
        Ok(value(&self.look(of, "GET", "/metrics", "", LOOK)?.1, name))
    }

    fn counted(&self) -> Result<Vec<(u64, [f64; 8])>, LabError> {
        let one = |name: String| {
            let text = self.look(&name, "GET", "/metrics", "", LOOK)?.1;
            Ok((self.now_us(), COUNTED.map(|counted| value(&text, counted))))
        };
        self.setup.names().into_iter().map(one).collect()
    }

    /// What all members send and take while `done` runs.
    fn traffic(&self, done: impl FnOnce() -> Result<(), LabError>) -> Result<Traffic, LabError> {
        let (from, mut traffic) = (self.counted()?, Traffic::default());
        done()?;
        traffic.add(&from, &self.counted()?);
        Ok(traffic)
    }

    fn window(&self, window: Duration) -> Result<Traffic, LabError> {
        self.traffic(|| {
            thread::sleep(window);
            Ok(())
        })
    }

    fn idle(&self, window: Duration) -> Result<Traffic, LabError> {
        self.steer(Steer { times: 0.0, left_out: None });
        thread::sleep(QUIET);
        let traffic = self.window(window);
        self.steer(Steer::default());
        thread::sleep(QUIET);
        traffic
    }
}

/// Two equal arms, which nothing decides before the lab ends.
fn endless() -> Experiment {
    let arm = |name: &str| Arm { name: name.into(), share: 0.5 };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Experiment {
        name: "traffic".into(),
        salt: [20, 26],
        arms: vec![arm("old"), arm("new")],
        alpha: 0.01,
        harm_alpha: 0.01,
        split_alpha: 0.01,
        harm_margin: 0.05,
        start_ms: now.as_millis() as u64 + 1_500,
        block_ms: BLOCK_MS,
        longest_ms: 1_000 * BLOCK_MS,
        grace_ms: 1_000,
        least_blocks: 1_000,
    }
}

/// Plays a fleet of one size with routes and then without; `done` is told of each state. What the two labs came to
/// stands beside.
///
/// # Errors
/// [`LabError`] where a fleet does not start or a switch does not come.
pub fn play(
    asked: &Asked,
    program: &Path,
    folder: &Path,
    done: impl Fn(),
) -> Result<(Figures, [Outcome; 2]), LabError> {
    let start = |voters, folder: &str, at: &Path| {
        let mut setup = Setup::new(asked.seed, asked.matchers, voters);
        setup.load.rate = asked.rate;
        Lab::start(setup, program, &at.join(folder))
    };
    let mut figures = Figures::default();
    let lab = start(series::voters(asked.matchers), "routes", folder)?;
    let names = lab.setup.names();
    let all: Vec<_> = names.iter().map(String::as_str).collect();
    let activate = |version: u64, turn| {
        lab.done("m1", "activate", &version.to_string())?;
        lab.wait_switched(turn, &all, MOST)
    };
    activate(lab.propose("m1", &["s1"])?, 1)?;
    series::settled(&lab, "m1", 1)?;
    let mut note = |state, traffic| {
        figures.routes.push((state, traffic));
        done();
    };
    note("routes, idle", lab.idle(asked.window)?);
    note("routes, load", lab.window(asked.window)?);
    let mut switches = Traffic::default();
    for turn in 2..2 + SWITCHES {
        let version = lab.propose("m1", &[["s2", "s1"][turn as usize % 2]])?;
        switches = switches.and(lab.traffic(|| activate(version, turn))?);
        series::settled(&lab, "m1", turn)?;
    }
    note("routes, during a switch", switches);
    let (old, new) = (lab.service("s1")?.address(), lab.service("s2")?.address());
    let told = lab.done("m1", "propose", &split_table(old, new).to_string())?;
    let last = 2 + SWITCHES;
    activate(told["version"].as_u64().unwrap_or(0), last)?;
    series::settled(&lab, "m1", last)?;
    lab.done("m1", "start", &json!({ "experiment": endless(), "activate": false }).to_string())?;
    lab.wait_for("the first closed block", MOST, || {
        let told = lab.experiments("m1").unwrap_or_default();
        let closed = told["running"]["closed"].as_u64().unwrap_or(0);
        (closed > 0).then_some(()).ok_or(told.to_string())
    })?;
    note("routes, an experiment running", lab.window(asked.window)?);
    let with = lab.finish()?;
    let lab = start(0, "alone", folder)?;
    figures.alone = lab.idle(asked.window)?.and(lab.window(asked.window)?);
    done();
    Ok((figures, [with, lab.finish()?]))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rates_are_a_member_a_second_and_a_line_not_there_is_none() {
        let text = "# HELP x\nhopwalk_fleet_link_bytes_total{way=\"out\"} 250\n# EOF\n";
        assert_eq!((value(text, COUNTED[6]), value(text, COUNTED[7])), (250.0, 0.0));
        let mut traffic = Traffic::default();
        let at = |us, n| (us, [n; 8]);
        traffic.add(&[at(0, 1.0), at(500_000, 0.0)], &[at(2_000_000, 11.0), at(2_500_000, 30.0)]);
        assert_eq!((traffic.seconds, traffic.rates()), (4.0, [10.0; 8]));
        let figures = Figures { routes: vec![("routes, load", traffic)], alone: traffic };
        assert!(figures.table(3).ends_with("; 1.0 times the bytes out of the membership alone\n"));
    }
}
