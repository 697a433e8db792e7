//! Bad clients that send a keyed request again as soon as it is turned away must not cost the matcher its memory.

#[path = "../rig/rig.rs"]
mod rig;

use rig::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// The least limit on memory of the pages, and the descriptors of such days.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 384;
/// Bad clients, each with one connection and one request.
const BAD_CLIENTS: usize = 300;
/// They begin after so long, and go on for so long.
const QUIET_S: u64 = 4;
const BAD_S: u64 = 40;
/// Gateways, each with a request every third of a second.
const GATEWAYS: u32 = 4;
const GAP_MS: u64 = 333;

/// Memory that belongs to the process alone, in KiB; files that it maps and pages that it shares are left out.
fn private_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    turned_away: AtomicU64,
    served: AtomicU64,
}

fn main() {
    let case = Case::from_env();
    let (known, record) = (Known::default(), case.record.clone());
    let [listen, agent_at, vault_at, control_at, admin] = addresses();
    Agent::start(AgentConfig::default(), known.clone(), record.clone()).listen(agent_at);
    Vault::start(100, record.clone()).listen(vault_at);
    let _control = control(control_at);
    let settings = Settings { memory_mb: MEMORY_MB, sockets: SOCKETS, ..Settings::ebene_main() };
    let config = case.write_config("config.json", &settings.config(listen, agent_at, vault_at, control_at, admin));
    let mut matcher = Matcher::start(&case.root, &config, &case.matcher_tmp(), &case.tmp.join("log"), listen, &[]);
    matcher.wait_ready(ms(30_000));
    let pid = matcher.child.id();
    record.say(&format!("platform: memory_mb {MEMORY_MB}; at the start {} KiB", private_kib(pid)));

    let stop = Arc::new(AtomicBool::new(false));
    let (good, unanswered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut threads = Vec::new();
    for caller in 1..=GATEWAYS {
        let (stop, known, record) = (stop.clone(), known.clone(), record.clone());
        let (good, unanswered) = (good.clone(), unanswered.clone());
        threads.push(thread::spawn(move || {
            while !on(&stop) {
                let t = Try { caller, ..Try::new("queue-status", 1800) };
                match ask_once(listen, &t, &known, &record) {
                    End::Answered(_) => good.fetch_add(1, Ordering::Relaxed),
                    End::NoConnection => 0,
                    End::Ended(_) | End::Late => unanswered.fetch_add(1, Ordering::Relaxed),
                };
                thread::sleep(ms(GAP_MS));
            }
        }));
    }

    let counts = Arc::new(Counts::default());
    let limit = u64::from(MEMORY_MB) * 1024;
    let (mut most, mut killed, mut told, mut begun) = (0, false, 0, false);
    let began = Instant::now();
    while began.elapsed() < ms((QUIET_S + BAD_S) * 1000) {
        thread::sleep(ms(50));
        let second = began.elapsed().as_secs();
        if case.trouble && second >= QUIET_S && !begun {
            begun = true;
            record.say(&format!("{BAD_CLIENTS} bad clients begin, each with a request that the agent does not know"));
            for _ in 0..BAD_CLIENTS {
                let (stop, counts) = (stop.clone(), counts.clone());
                threads.push(thread::spawn(move || ask_again(listen, &stop, &counts)));
            }
        }
        if matcher.has_ended() {
            unable("the matcher ended by itself");
        }
        let now = private_kib(pid);
        most = most.max(now);
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        if second > told {
            told = second;
            record.say(&format!(
                "platform: {now} KiB after {second} s; bad clients: sent {}, turned away {}, served {}; gateways: answered {}",
                get(&counts.sent),
                get(&counts.turned_away),
                get(&counts.served),
                get(&good)
            ));
        }
        if now > limit {
            record.say(&format!("platform: {now} KiB is over {limit} KiB: SIGKILL"));
            matcher.signal(SIGKILL);
            killed = true;
            break;
        }
    }
    thread::sleep(ms(200));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    record.say(&format!(
        "gateways: answered {}, without an answer {}; most memory {most} KiB of {limit}",
        get(&good),
        get(&unanswered)
    ));
    if killed {
        record.say("BROKEN: over its memory, so that the platform killed it with what it held");
        finish(1);
    }
    record.say("held");
    finish(0)
}

/// A bad client: sends one and the same keyed request, which no gateway sent and the agent does not know, reads the
/// answer, and sends it again as soon as it is turned away.
fn ask_again(listen: std::net::SocketAddr, stop: &Arc<AtomicBool>, counts: &Counts) {
    let t = Try { caller: 99, ..Try::keyed("lobby-confirm", 4500, &new_handle().repeat(2)) };
    while !on(stop) {
        let Some(mut stream) = connect(listen, ms(1000)) else { continue };
        while !on(stop) {
            if stream.write_all(&t.bytes()).is_err() {
                break;
            }
            counts.sent.fetch_add(1, Ordering::Relaxed);
            let End::Answered(answer) = read_answer(&mut stream, Instant::now() + ms(6000)) else { break };
            match answer.status {
                200 => counts.served.fetch_add(1, Ordering::Relaxed),
                _ => counts.turned_away.fetch_add(1, Ordering::Relaxed),
            };
            if answer.close {
                break;
            }
        }
    }
}
