//! How long a fleet takes to agree after a partition was healed: until all members see the same lives, and until
//! each hears every voter both ways.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use super::{series, Lab, LabError, Outcome, Setup, LOOK};
use crate::fleet::wire::OPENING_TIMEOUT;

/// The members' protocol period in these labs.
pub const PERIOD: Duration = Duration::from_millis(200);
/// All must agree by then, or the lab gives up.
const MOST: Duration = Duration::from_secs(60);
/// They must still agree so much later.
const STILL: Duration = Duration::from_secs(1);

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Matchers; the first 3, or from 5 on the first 5, vote.
    pub matchers: usize,
    /// So many of them are cut off from the others, each time others.
    pub cut: usize,
    /// How long they are.
    pub hold: Duration,
    /// Partitions.
    pub count: u64,
    /// Draws the load.
    pub seed: u64,
}

/// Microseconds from each heal.
#[derive(Clone, Debug, Default)]
pub struct Heals {
    /// Until all members saw all lives up, the same ones, and none told of another that it disagrees.
    pub views: Vec<u64>,
    /// Until each member heard every voter both ways: the posture `whole`.
    pub whole: Vec<u64>,
    /// Partitions in which somebody was taken for dead before the heal.
    pub deaths: u64,
}

/// What the settings bound [`Heals::views`] by where no datagram is lost, for a fleet of up to 9. In periods: 5 until
/// each member asks two that it holds for dead, and every seed among them; 1 for the answer, and the new life of who
/// was taken for dead; 2 for news of lives to reach all (three members a half period); 1 until a note is told again
/// after a join; 1 until the digest is made anew, and 1 until that has reached all; 1 for timers that ran before.
pub fn views_bound(period: Duration) -> Duration {
    period * 12
}

/// What bounds [`Heals::whole`]: a link that is being opened into the cut is given up after [`OPENING_TIMEOUT`]; then come
/// the next word to each voter, and its answer.
pub fn whole_bound() -> Duration {
    OPENING_TIMEOUT + 2 * crate::fleet::driver::HELLO_INTERVAL + Duration::from_millis(100)
}

/// By name: which life, and what is thought of it.
type Lives = BTreeMap<String, (u64, String)>;

impl Lab {
    /// The lives that a matcher sees, and whether it knows of a member that sees others.
    fn view(&self, of: &str) -> Result<(Lives, bool), LabError> {
        let (_, told) = self.look(of, "GET", "/fleet", "", LOOK)?;
        let told: Value = serde_json::from_str(&told).unwrap_or_default();
        let life = |m: &Value| {
            let state = m["state"].as_str()?.replace("self", "alive");
            Some((m["name"].as_str()?.to_string(), (m["incarnation"].as_u64()?, state)))
        };
        let lives = told["members"].as_array().into_iter().flatten().filter_map(life).collect();
        let split = ["disagree", "one_way"].iter().any(|key| told[*key] != Value::Array(Vec::new()));
        Ok((lives, split))
    }

    /// What is amiss until all members see the same lives, each up, and none knows of one that sees others.
    fn split_view(&self, names: &[&str]) -> Option<String> {
        let view = |name: &str| self.view(name).map_err(|e| e.to_string());
        let first = match view(names[0]) {
            Ok((lives, _)) => lives,
            Err(told) => return Some(told),
        };
        if first.len() != names.len() || first.values().any(|(_, state)| state != "alive") {
            return Some(format!("{}: {first:?}", names[0]));
        }
        names.iter().find_map(|name| match view(name) {
            Ok((lives, false)) if lives == first => None,
            told => Some(format!("{name}: {told:?}")),
        })
    }

    /// Who does not hear every voter both ways.
    fn deaf(&self, names: &[&str]) -> Option<String> {
        let unheard = |name: &&&str| !matches!(self.metric(name, "hopwalk_fleet_voters_unheard"), Ok(0.0));
        names.iter().find(unheard).map(|name| format!("{name} does not hear all voters"))
    }
}

/// Plays them; `done` is told of each.
///
/// # Errors
/// [`LabError`] where the fleet does not start, or does not agree in a minute.
pub fn play(
    asked: &Asked,
    program: &Path,
    folder: &Path,
    done: impl Fn(),
) -> Result<(Heals, Outcome), LabError> {
    let setup = Setup::new(asked.seed, asked.matchers, series::voters(asked.matchers));
    let names = setup.names();
    let lab = Lab::start(setup, program, folder)?;
    let mut heals = Heals::default();
    for n in 0..asked.count as usize {
        let mut all: Vec<_> = names.iter().map(String::as_str).collect();
        lab.wait_for("that all agree before the cut", MOST, || {
            lab.split_view(&all).or_else(|| lab.deaf(&all)).map_or(Ok(()), Err)
        })?;
        all.rotate_left(n % names.len());
        let (off, rest) = all.split_at(asked.cut);
        lab.split(off, rest)?;
        thread::sleep(asked.hold);
        lab.wait_for("that the cut is noticed", MOST, || {
            lab.deaf(&all).map(drop).ok_or_else(|| "all hear all".into())
        })?;
        let dead = lab.view(rest[0])?.0.values().any(|(_, state)| state == "down");
        heals.deaths += u64::from(dead);
        lab.heal();
        let healed = lab.now_us();
        let (mut views, mut whole) = (None, None);
        lab.wait_for("that all agree after the heal", MOST, || {
            let agreed = lab.split_view(&all).map_or(Ok(()), Err);
            views = if agreed.is_ok() { views.or(Some(lab.now_us() - healed)) } else { None };
            let heard = lab.deaf(&all).map_or(Ok(()), Err);
            whole = if heard.is_ok() { whole.or(Some(lab.now_us() - healed)) } else { None };
            let still = Duration::from_micros(lab.now_us() - healed - views.max(whole).unwrap_or(0)) >= STILL;
            agreed.and(heard)?;
            still.then_some(()).ok_or_else(|| "not for long enough".into())
        })?;
        heals.views.extend(views);
        heals.whole.extend(whole);
        done();
    }
    Ok((heals, lab.finish()?))
}
