//! Many switches in a row without faults, for the skew between matchers; as many plain pushes, as the baseline; or as many
//! deaths of the leader, each followed by a switch.

use std::path::Path;
use std::time::Duration;

use super::{Lab, LabError, Outcome, Setup};

/// How long one switch may take.
const MOST: Duration = Duration::from_secs(10);
/// What the log says once pushed settings are taken up.
const READ: &str = "the configuration was read again";

/// What is done again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// A switch.
    Switch,
    /// A plain push.
    Push,
    /// The leader is killed, another version is activated, and the killed one is started again.
    Death,
}

/// How long the fleet took to go on after deaths of the leader, in microseconds, a figure for each.
#[derive(Clone, Debug, Default)]
pub struct Deaths {
    /// Until an activation was taken.
    pub taken: Vec<u64>,
    /// Until all that live had switched.
    pub switched: Vec<u64>,
}

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Matchers; the first 3, or from 5 on the first 5, vote.
    pub matchers: usize,
    /// Switches.
    pub count: u64,
    /// What is done.
    pub way: Way,
    /// Requests a second in all.
    pub rate: f64,
    /// Draws the load.
    pub seed: u64,
}

/// Plays them; `done` is told of each.
///
/// # Errors
/// [`LabError`] where the fleet does not start or a switch does not come.
pub fn play(
    asked: &Asked,
    program: &Path,
    folder: &Path,
    done: impl Fn(),
) -> Result<(Outcome, Deaths), LabError> {
    let voters = if asked.way == Way::Push { 0 } else { voters(asked.matchers) };
    let mut setup = Setup::new(asked.seed, asked.matchers, voters);
    setup.load.rate = asked.rate;
    let names = setup.names();
    let mut lab = Lab::start(setup, program, folder)?;
    let mut deaths = Deaths::default();
    for n in 1..=asked.count {
        let service = ["s1", "s2"][(n % 2) as usize];
        match asked.way {
            Way::Push => push(&mut lab, &names, service, n)?,
            Way::Switch => {
                let at = &names[n as usize % names.len()];
                let version = lab.propose(at, &[service])?;
                lab.done(at, "activate", &version.to_string())?;
                let all: Vec<_> = names.iter().map(String::as_str).collect();
                lab.wait_switched(n, &all, MOST)?;
            }
            Way::Death => death(&mut lab, &names, service, n, &mut deaths)?,
        }
        done();
    }
    Ok((lab.finish()?, deaths))
}

/// How many of so many matchers vote.
pub(super) fn voters(matchers: usize) -> usize {
    if matchers >= 5 {
        5
    } else {
        3
    }
}

/// Waits until the fleet, by what the leader told this matcher, is done with the switch to `turn`.
pub(super) fn settled(lab: &Lab, at: &str, turn: u64) -> Result<(), LabError> {
    lab.wait_for("the end of a switch", MOST, || {
        let fleet = lab.fleet(at).unwrap_or_default();
        let active = fleet["active"]["turn"].as_u64().unwrap_or(0);
        (active == turn && fleet["pending"].is_null()).then_some(()).ok_or(fleet.to_string())
    })
}

/// Kills the leader, and activates a version at another one as soon as that is taken.
fn death(
    lab: &mut Lab,
    names: &[String],
    service: &str,
    turn: u64,
    deaths: &mut Deaths,
) -> Result<(), LabError> {
    let all: Vec<_> = names.iter().map(String::as_str).collect();
    let leader = lab.leader(&all)?;
    let rest: Vec<_> = all.into_iter().filter(|m| *m != leader).collect();
    let version = lab.propose(&leader, &[service])?.to_string();
    settled(lab, rest[0], turn - 1)?;
    lab.kill(&leader)?;
    let killed = lab.now_us();
    lab.wait_for("an activation that is taken", MOST, || match lab.order(rest[0], "activate", &version) {
        Ok((200, _)) => Ok(()),
        other => Err(format!("{other:?}")),
    })?;
    deaths.taken.push(lab.now_us() - killed);
    lab.wait_switched(turn, &rest, MOST)?;
    deaths.switched.push(lab.now_us() - killed);
    lab.restart(&leader)?;
    lab.wait_ready()
}

/// One matcher after the other, as a tool that pushes settings does: the next one once the last has taken them up.
fn push(lab: &mut Lab, names: &[String], service: &str, n: u64) -> Result<(), LabError> {
    for name in names {
        let before = lab.count_logged(name, READ);
        lab.push_vault(name, service)?;
        lab.wait_for("the pushed settings", MOST, || {
            (lab.count_logged(name, READ) > before).then_some(()).ok_or(format!("not taken up by {name}"))
        })?;
        lab.record_push(name, n);
    }
    std::thread::sleep(Duration::from_millis(200));
    Ok(())
}
