//! Many fault scenarios in a row, each drawn from its seed: what the hard cases leave out, the sweep meets by chance.
//! A scenario is made as text, so that one that breaks a rule can be kept and played again as it was.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use super::check::Verdict;
use super::random::Random;
use super::routes::LabError;
use super::run::{run, Options};
use super::scenario::Scenario;
use super::site::SiteOptions;

/// Scenarios of one sweep, and labs at once, at most.
pub const MOST_SCENARIOS: u64 = 10_000;
pub const MOST_AT_ONCE: u64 = 16;
/// Matchers of a scenario of the soak, and the length of its load in seconds.
const SOAK_MATCHERS: u64 = 4;
const SOAK_SECONDS: f64 = 9.0;
/// The last kill of a scenario comes so long before the end of its load, in milliseconds.
const SOAK_STOP_TAIL_MS: u64 = 1_000;
/// Series of signals around a stop.
const SOAK_SIGNALS: [&str; 7] = [
    r#""TERM""#,
    r#""TERM""#,
    r#""TERM","TERM""#,
    r#""HUP","TERM""#,
    r#""TERM","HUP""#,
    r#""TERM","USR1","INT","TERM""#,
    r#""HUP","TERM","HUP","TERM","HUP""#,
];
/// So many seeds of the soak in a row have the same faults of the stand-ins: none, the agents', the vault's, or both.
pub const SOAK_KIND_SEEDS: u64 = 16;
/// From this seed of the soak on all parties spoil messages too; earlier seeds stay as they were.
pub const SOAK_FIRST_SPOILT_SEED: u64 = 3_000;
/// The longest lifetimes of links that agents end by themselves, in milliseconds.
const SOAK_LINK_MS: [u64; 6] = [6, 10, 15, 30, 80, 450];
/// Pauses of each matcher whose agent does so, and the longest, in milliseconds: what waited meanwhile comes at once.
const SOAK_PAUSES: u64 = 3;
const SOAK_PAUSE_MS: u64 = 300;
/// One of so many blocks of 64 seeds has matchers whose threads stall, in so many thousandths of their system calls.
const SOAK_STALL_BLOCKS: u64 = 4;
const SOAK_STALL_RATE: (u64, u64) = (5, 40);
/// Cores of those agents and the part of the work that a run is there, so that many runs are at their calls when a link ends.
const SOAK_LINK_CORES: u64 = 64;
const SOAK_LINK_WORK: u64 = 10;
/// The crowd of those seeds.
const SOAK_LINK_CROWD: &str = r#""burst":{"at_s":1.5,"for_s":6.0,"times":6},"#;
/// Busy processes beside the matchers of one scenario of the soak, at most.
const SOAK_MOST_BUSY: u64 = 4;
/// Length of a scenario's load in seconds; faults lie within it.
const SECONDS: f64 = 4.0;

/// The scenario of a seed: two or three matchers under a load that they can or cannot carry, and one to four faults
/// of any kind.
pub fn scenario(seed: u64) -> String {
    let mut random = Random::new(seed ^ 0x5eed);
    let mut whole = move |below: u64| random.next_u64() % below;
    let matchers = 2 + whole(2);
    let (rate, work_ms, patience_ms) = (40 + whole(160), 10 + whole(120), 400 + whole(1_200));
    let keyed = [0.1, 0.3, 0.6][whole(3) as usize];
    let mut faults = Vec::new();
    for _ in 0..1 + whole(4) {
        let m = 1 + whole(matchers);
        let (at, last) = (0.2 + whole(25) as f64 / 10.0, 0.2 + whole(20) as f64 / 10.0);
        let link = match whole(3) {
            0 => format!("callers-m{m}"),
            1 => format!("m{m}-agent"),
            _ => format!("m{m}-vault"),
        };
        let when = format!(r#""at_s":{at:.1},"for_s":{last:.1}"#);
        faults.push(match whole(9) {
            0 => {
                let (ms, jitter) = (1 + whole(200), whole(100));
                format!(r#"{{"kind":"delay",{when},"link":"{link}","ms":{ms},"jitter_ms":{jitter}}}"#)
            }
            1 => format!(r#"{{"kind":"stall",{when},"link":"{link}"}}"#),
            2 => format!(r#"{{"kind":"throttle",{when},"link":"{link}","bps":{}}}"#, 2_000 + whole(40_000)),
            3 => format!(r#"{{"kind":"half_close",{when},"link":"m{m}-vault"}}"#),
            4 => format!(r#"{{"kind":"cut",{when},"link":"{link}"}}"#),
            5 => format!(r#"{{"kind":"reset",{when},"link":"{link}","every_ms":{}}}"#, 100 + whole(900)),
            6 => {
                let one_way = whole(2) == 0;
                format!(r#"{{"kind":"partition",{when},"a":["m{m}"],"b":["vault"],"one_way":{one_way}}}"#)
            }
            7 => format!(r#"{{"kind":"pause",{when},"target":"m{m}"}}"#),
            _ => format!(r#"{{"kind":"kill","at_s":{at:.1},"target":"m{m}","restart_after_s":{last:.1}}}"#),
        });
    }
    format!(
        r#"{{"seed":"{seed:x}","seconds":{SECONDS},"matchers":{matchers},"agent":{{"cores":6,"work_ms":{work_ms}}},"load":{{"rate":{rate},"patience_ms":{patience_ms},"keyed_share":{keyed}}},"faults":[{}]}}"#,
        faults.join(",")
    )
}

/// The soak's scenario of a seed: links to the agents that break several times a second, many faults that overlap, of the
/// network, of the system and of the clock, and each matcher stopped by the platform while all that goes on: with signals
/// in series, the kill at the earliest, callers that use their open connections up to it, and requests of every effect that
/// fall due behind it; some seeds have a crowd, and some agents that end their links by themselves and vaults that answer late.
pub fn soak_scenario(seed: u64) -> String {
    let mut random = Random::new(seed ^ 0x50a4);
    let mut whole = move |below: u64| random.next_u64() % below;
    let (rate, work_ms) = (60 + whole(200), 10 + whole(90));
    let keyed = [0.2, 0.4, 0.6][whole(3) as usize];
    let give_up_ms = [600, 1_000, 1_700, 2_350, 3_000, 4_500][whole(6) as usize];
    let site = SiteOptions { give_up_ms: Some(give_up_ms), ..SiteOptions::default() };
    let kill_ms = site.earliest_kill_ms();
    // Some are told of a later stop than that which the platform may keep to.
    let stop_ms = kill_ms + [0, 0, 800][whole(3) as usize];
    let patience_ms = give_up_ms.min(3_000) * (60 + whole(41)) / 100;
    let mut faults = Vec::new();
    for m in 1..=SOAK_MATCHERS {
        let every = 100 + whole(350);
        faults.push(format!(
            r#"{{"kind":"reset","at_s":0.2,"for_s":{SOAK_SECONDS},"link":"m{m}-agent","every_ms":{every}}}"#
        ));
        faults.push(soak_stop(m, kill_ms, &mut whole));
    }
    for _ in 0..SOAK_MATCHERS + whole(2 * SOAK_MATCHERS) {
        faults.push(soak_fault(&mut whole));
    }
    let spoilt = soak_spoilt(seed);
    let (agent, stand_ins, pauses) = soak_stand_ins(seed, work_ms);
    faults.extend(pauses);
    faults.extend(soak_stalls(seed));
    let burst = match whole(3) {
        _ if agent.contains("link_ms") => SOAK_LINK_CROWD.into(),
        0 => {
            let (at, times) = (1.0 + whole(50) as f64 / 10.0, 3 + whole(6));
            format!(r#""burst":{{"at_s":{at:.1},"for_s":2.0,"times":{times}}},"#)
        }
        _ => String::new(),
    };
    format!(
        r#"{{"seed":"{seed:x}","seconds":{SOAK_SECONDS},"matchers":{SOAK_MATCHERS},"direct":true,{stand_ins}{spoilt}"agent":{{{agent}}},"site":{{"stop_ms":{stop_ms},"give_up_ms":{give_up_ms},"every_effect":true}},"load":{{"rate":{rate},{burst}"keeps_open":true,"patience_ms":{patience_ms},"keyed_share":{keyed}}},"faults":[{}]}}"#,
        faults.join(",")
    )
}

/// The shares of spoilt messages, for the seeds that have them.
fn soak_spoilt(seed: u64) -> String {
    if seed < SOAK_FIRST_SPOILT_SEED {
        return String::new();
    }
    let mut random = Random::new(seed ^ 0x5b07);
    let mut one_of = |shares: [u64; 3]| shares[(random.next_u64() % 3) as usize];
    let (replies, notices, requests) = (one_of([30, 70, 150]), one_of([2, 6, 20]), one_of([10, 30, 100]));
    format!(r#""spoilt_replies":{replies},"spoilt_notices":{notices},"spoilt_requests":{requests},"#)
}

/// The faults of a seed's stand-ins: its agents, what stands beside, and the pauses of their matchers. They have draws of their
/// own, so that seeds without them, and the other faults of those with them, stay as they were.
fn soak_stand_ins(seed: u64, work_ms: u64) -> (String, String, Vec<String>) {
    let mut random = Random::new(seed ^ 0xe90c);
    let mut whole = move |below: u64| random.next_u64() % below;
    let kind = seed / SOAK_KIND_SEEDS % 4;
    let (has_links, has_vault) = (kind & 1 == 1, kind & 2 == 2);
    let link_ms = SOAK_LINK_MS[whole(SOAK_LINK_MS.len() as u64) as usize];
    let busy = 1 + whole(SOAK_MOST_BUSY);
    let agent = match has_links {
        true => {
            let work_ms = work_ms / SOAK_LINK_WORK + 1;
            format!(r#""cores":{SOAK_LINK_CORES},"link_ms":{link_ms},"work_ms":{work_ms}"#)
        }
        false => format!(r#""cores":6,"work_ms":{work_ms}"#),
    };
    let beside = match kind {
        0 => String::new(),
        _ => format!(r#""faulty_vault":{has_vault},"busy":{busy},"#),
    };
    let pauses = if has_links { SOAK_MATCHERS * SOAK_PAUSES } else { 0 };
    let pauses = (0..pauses).map(|n| {
        let (m, at) = (1 + n % SOAK_MATCHERS, 0.5 + whole(70) as f64 / 10.0);
        let last = (50 + whole(SOAK_PAUSE_MS - 50)) as f64 / 1_000.0;
        format!(r#"{{"kind":"pause","at_s":{at:.1},"for_s":{last:.3},"target":"m{m}"}}"#)
    });
    (agent, beside, pauses.collect())
}

/// Stalls of the matchers' threads through the whole load, for the seeds that have them.
fn soak_stalls(seed: u64) -> Vec<String> {
    let block = seed / (4 * SOAK_KIND_SEEDS);
    if block % SOAK_STALL_BLOCKS != SOAK_STALL_BLOCKS / 2 {
        return Vec::new();
    }
    let mut random = Random::new(seed ^ 0x57a1);
    let (least, most) = SOAK_STALL_RATE;
    let mut stall = |m: u64| {
        let rate = least + random.next_u64() % (most - least);
        format!(
            r#"{{"kind":"stall_threads","at_s":0.2,"for_s":{SOAK_SECONDS},"target":"m{m}","rate":{rate}}}"#
        )
    };
    (1..=SOAK_MATCHERS).map(&mut stall).collect()
}

/// A stop of a matcher within the load, and its start after it.
fn soak_stop(matcher: u64, kill_ms: u64, whole: &mut impl FnMut(u64) -> u64) -> String {
    let latest = (SOAK_SECONDS * 1_000.0) as u64 - kill_ms - SOAK_STOP_TAIL_MS;
    let at = (500 + whole(latest - 500)) as f64 / 1_000.0;
    let signals = SOAK_SIGNALS[whole(SOAK_SIGNALS.len() as u64) as usize];
    let (gap, restart) = (whole(400), 0.1 + whole(10) as f64 / 10.0);
    format!(
        r#"{{"kind":"stop","at_s":{at:.3},"target":"m{matcher}","signals":[{signals}],"gap_ms":{gap},"kill_after_ms":{kill_ms},"restart_after_s":{restart:.1}}}"#
    )
}

/// One of the other faults of the soak.
fn soak_fault(whole: &mut impl FnMut(u64) -> u64) -> String {
    let m = 1 + whole(SOAK_MATCHERS);
    let (at, last) = (0.2 + whole(60) as f64 / 10.0, 0.3 + whole(20) as f64 / 10.0);
    let link = [format!("m{m}-agent"), format!("m{m}-vault")][whole(2) as usize].clone();
    let when = format!(r#""at_s":{at:.1},"for_s":{last:.1}"#);
    let of = format!(r#""at_s":{at:.1},"target":"m{m}""#);
    match whole(12) {
        0 => {
            format!(
                r#"{{"kind":"delay",{when},"link":"{link}","ms":{},"jitter_ms":{}}}"#,
                whole(80),
                whole(60)
            )
        }
        1 => format!(r#"{{"kind":"stall",{when},"link":"{link}"}}"#),
        2 => format!(r#"{{"kind":"cut",{when},"link":"{link}"}}"#),
        3 => format!(r#"{{"kind":"pause","at_s":{at:.1},"for_s":{:.1},"target":"m{m}"}}"#, last / 4.0),
        4 => format!(r#"{{"kind":"kill",{of},"restart_after_s":{last:.1}}}"#),
        5 | 6 => {
            let span = [2_000, 30_000, 3_600_000][whole(3) as usize];
            let way = ["forward_ms", "back_ms"][whole(2) as usize];
            format!(r#"{{"kind":"clock",{of},"{way}":{span}}}"#)
        }
        7 => format!(r#"{{"kind":"hangup",{of}}}"#),
        8 => format!(r#"{{"kind":"system",{when},"target":"m{m}","accept":{}}}"#, 50 + whole(300)),
        9 => format!(r#"{{"kind":"system",{when},"target":"m{m}","connect":{}}}"#, 20 + whole(150)),
        10 => format!(r#"{{"kind":"system",{when},"target":"m{m}","break":{}}}"#, 1 + whole(30)),
        _ => format!(
            r#"{{"kind":"system",{when},"target":"m{m}","interrupt":{},"short":{}}}"#,
            20 + whole(150),
            50 + whole(500)
        ),
    }
}

/// What came of one seed: a verdict, or why there is none (a matcher that crashed or did not start, or end).
pub struct Swept {
    pub seed: u64,
    pub verdict: Result<Verdict, LabError>,
    pub folder: PathBuf,
}

impl Swept {
    pub fn clean(&self) -> bool {
        self.verdict.as_ref().is_ok_and(Verdict::clean)
    }

    /// There is a verdict, and no request was served.
    pub fn made_no_progress(&self) -> bool {
        self.verdict.as_ref().is_ok_and(|verdict| !verdict.statuses.contains_key(&200))
    }
}

/// Plays `count` scenarios from seed `first` on, `at_once` at a time. `told` hears of each; the folders of clean ones
/// are removed, the others keep history, logs and the scenario.
pub fn sweep(
    first: u64,
    count: u64,
    at_once: u64,
    program: &Path,
    folder: &Path,
    draw: fn(u64) -> String,
    told: impl Fn(&Swept) + Sync,
) -> Vec<Swept> {
    let (next, all) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|threads| {
        for _ in 0..at_once.clamp(1, MOST_AT_ONCE) {
            threads.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                if n >= count.min(MOST_SCENARIOS) {
                    return;
                }
                let seed = first.wrapping_add(n);
                let folder = folder.join(format!("{seed:x}"));
                let text = draw(seed);
                let options = Options {
                    program: program.into(),
                    folder: folder.clone(),
                    progress: Box::new(|_, _| {}),
                };
                let verdict = Scenario::parse(&text)
                    .map_err(LabError::from)
                    .and_then(|s| run(&s, options))
                    .map(|o| o.verdict);
                let swept = Swept { seed, verdict, folder };
                if swept.clean() {
                    let _ = std::fs::remove_dir_all(&swept.folder);
                } else {
                    let _ = std::fs::write(swept.folder.join("scenario.json"), text);
                }
                told(&swept);
                all.lock().unwrap().push(swept);
            });
        }
    });
    let mut all = all.into_inner().unwrap();
    all.sort_by_key(|s| s.seed);
    all
}
