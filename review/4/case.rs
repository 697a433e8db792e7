//! An operator's drain that is confirmed while a new version takes over must keep health checks bad.

#[path = "../rig/rig.rs"]
mod rig;

use rig::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// From then on a good answer to a health check breaks the rule.
const DRAINED_MS: u64 = 4000;
/// How long health checks are watched after that.
const WATCH_MS: u64 = 4000;
/// The time that the new process has for its yes, and the time between it and the notice to the old one.
const READY_MS: u64 = 6000;
const NOTICE_AFTER_MS: u64 = 1000;
/// The longest deadline, 3 s at most, and 0.7 s.
const KILL_AFTER_MS: u64 = 3700;

fn main() {
    let case = Case::from_env();
    let (known, record) = (Known::default(), case.record.clone());
    let [listen, agent_at, new_agent_at, vault_at, control_at, admin, new_admin] = addresses();
    for at in [agent_at, new_agent_at] {
        Agent::start(AgentConfig::default(), known.clone(), record.clone()).listen(at);
    }
    Vault::start(100, record.clone()).listen(vault_at);
    let _control = control(control_at);
    let (settings, tmp, log) = (Settings::ebene_main(), case.matcher_tmp(), case.tmp.join("log"));
    let config = case.write_config("old.json", &settings.config(listen, agent_at, vault_at, control_at, admin));
    let mut old = Matcher::start(&case.root, &config, &tmp, &log, listen, &[]);
    old.wait_ready(ms(30_000));

    // Four gateways ask through the whole case; the platform checks health every 0.1 s.
    let stop = Arc::new(AtomicBool::new(false));
    let checks: Arc<Mutex<Vec<(Instant, u16)>>> = Arc::default();
    let mut threads = Vec::new();
    for caller in 1..=4 {
        let (stop, known, record) = (stop.clone(), known.clone(), record.clone());
        threads.push(thread::spawn(move || {
            while !on(&stop) {
                let t = Try { caller, ..Try::new("queue-status", 1800) };
                ask_once(listen, &t, &known, &record);
                thread::sleep(ms(300));
            }
        }));
    }
    {
        let (stop, checks, record) = (stop.clone(), checks.clone(), record.clone());
        threads.push(thread::spawn(move || {
            while !on(&stop) {
                let at = Instant::now();
                let status = check(listen);
                record.line(&format!("platform: check answered {status}"));
                checks.lock().unwrap().push((at, status));
                thread::sleep(ms(100));
            }
        }));
    }
    thread::sleep(ms(1500));

    let mut new = None;
    if case.trouble {
        record.say("platform: starts the new version");
        let config =
            case.write_config("new.json", &settings.config(listen, new_agent_at, vault_at, control_at, new_admin));
        new = Some(Matcher::start(&case.root, &config, &tmp, &log, listen, &[]));
        let since = Instant::now();
        while operate(new_admin, "GET", "/ready") != 200 {
            if since.elapsed() > ms(READY_MS) {
                unable("the new version did not say yes");
            }
            thread::sleep(ms(20));
        }
        record.say("platform: the new version says yes");
    }
    let status = operate(admin, "POST", "/drain");
    let ordered = Instant::now();
    record.say(&format!("operator: POST /drain at the configured door, answered {status}"));
    if case.trouble {
        thread::sleep(ms(NOTICE_AFTER_MS));
        record.say("platform: SIGTERM to the old process");
        old.signal(SIGTERM);
        thread::sleep(ms(KILL_AFTER_MS));
        old.signal(SIGKILL);
    }
    thread::sleep(ms(DRAINED_MS + WATCH_MS).saturating_sub(ordered.elapsed()));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    if new.as_mut().is_some_and(|new| new.has_ended()) || (!case.trouble && old.has_ended()) {
        unable("a process ended by itself");
    }

    let checks = checks.lock().unwrap();
    let count = |from: u64, good: bool| {
        let counted = |(at, status): &&(Instant, u16)| {
            at.saturating_duration_since(ordered) >= ms(from) && *at >= ordered && *status != 0 && (*status == 200) == good
        };
        checks.iter().filter(counted).count()
    };
    record.say(&format!(
        "health checks from 4 s after the call on: {} good, {} bad",
        count(DRAINED_MS, true),
        count(DRAINED_MS, false)
    ));
    if !(200..300).contains(&status) {
        record.say("held: the operator was told that the matcher does not drain");
        finish(0);
    }
    let broken = count(DRAINED_MS, true) > 0;
    record.say(if broken { "BROKEN: a good answer 4 s after a confirmed drain" } else { "held" });
    finish(i32::from(broken))
}
