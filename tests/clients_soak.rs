//! Bad clients of several kinds at once, drawn from a seed, at a process with the least memory limit, with an upgrade in
//! each round: the processes keep to their limit, other clients get their answers in time, and no id runs twice.
//!
//! They keep processors busy, so this is a test binary of its own. The long form:
//! `CLIENTS_SOAK_SEED=7 CLIENTS_SOAK_ROUNDS=100 cargo test --test clients_soak -- --nocapture`.

#[path = "common/bad_clients.rs"]
mod bad_clients;
mod common;
#[path = "program/harness.rs"]
#[allow(dead_code)]
mod harness;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bad_clients::Flood;
use common::TestRng;
use harness::*;

const DEFAULT_SEED: u64 = 57;
const DEFAULT_ROUNDS: u64 = 6;
/// How long the clients of a round go on before the upgrade, and after it.
const HALF_ROUND: Duration = Duration::from_secs(3);
/// The least memory limit of a deployment, and its descriptors.
const MEMORY_MB: usize = 32;
const SOCKETS: usize = 512;
const GATEWAYS: usize = 4;
const GATEWAY_PAUSE: Duration = Duration::from_millis(60);
/// Within this time of a request its final answer is due: the deadline of its class and the slack of an answer.
const ANSWERED_WITHIN: Duration = Duration::from_millis(4_600);
const REPEATERS: usize = 3;
/// Number of kinds that [`start_flood`] knows.
const FLOOD_KINDS: u64 = 8;
/// Kinds of a round, and the clients of all of them.
const KINDS_PER_ROUND: u64 = 3;
const BAD_CLIENTS: u64 = 360;

static NEXT_BODY: AtomicU64 = AtomicU64::new(1);

/// A body that no other request of this test has.
fn unique_body(prefix: &str) -> Vec<u8> {
    format!("{prefix} {}", NEXT_BODY.fetch_add(1, Ordering::Relaxed)).into_bytes()
}

fn number_from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().unwrap())
}

/// Starts clients of one kind.
fn start_flood(kind: u64, address: SocketAddr, clients: usize) -> Flood {
    const ENDLESS: &[u8] = b"POST /do/queue-status HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n";
    const SLOW: &[u8] = b"POST /do/queue-status HTTP/1.1\r\nContent-Length: 2048\r\n\r\n";
    const HALF: &[u8] = b"POST /do/queue-status HTTP/1.1\r\nContent-Length: 60000\r\n\r\nhalf";
    const START: &[u8] = b"POST /do/queue-status HTTP/1.1\r\n";
    let slowly = Duration::from_millis(50);
    match kind {
        0 => Flood::start(address, clients, b"", || b"GET /check HTTP/1.1\r\n\r\n".repeat(100)),
        1 => Flood::start(address, clients, ENDLESS, || vec![b'z'; 1 << 16]),
        2 => Flood::paced(address, clients, SLOW, slowly, || vec![b'z'; 64]),
        3 => Flood::paced(address, clients, HALF, slowly, Vec::new),
        4 => Flood::paced(address, clients, START, slowly, || b"a: b\r\nc: d\r\n".repeat(5)),
        5 => Flood::start(address, clients, START, || b"a:b\r\n".repeat(4_000)),
        6 => Flood::start(address, 1, b"", || {
            let key = String::from_utf8(unique_body("key")).unwrap();
            Request::keyed(&key, b"flood").http()
        }),
        _ => Flood::start(address, 1, b"", || Request::new("no-such-class", b"flood").http()),
    }
}

/// Threads that run until they are stopped.
struct Workers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Workers {
    fn new() -> Self {
        Self { stop: Arc::default(), threads: Vec::new() }
    }

    /// Repeats a step until the end.
    fn add(&mut self, mut step: impl FnMut() + Send + 'static) {
        let stop = self.stop.clone();
        self.threads.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                step();
            }
        }));
    }

    /// Stops all; fails if one of them has failed.
    fn finish(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
    }
}

/// What the other clients saw.
#[derive(Default)]
struct Answers {
    by_status: HashMap<u16, usize>,
    slowest: Duration,
}

/// Sends one sound request and reads its final answer. Where a connection is closed before anything was answered, as a
/// process does that ends, it was not read; then it is sent again.
fn gateway_step(address: SocketAddr, answers: &Mutex<Answers>) {
    let request =
        Request { timeout_ms: 4_500, ..Request::new("queue-status", &unique_body("gateway")) }.http();
    let since = Instant::now();
    let status = loop {
        if let Some(status) = try_exchange(address, &request) {
            break status;
        }
        assert!(since.elapsed() < ANSWERED_WITHIN, "no answer after {:?}", since.elapsed());
    };
    let elapsed = since.elapsed();
    assert!(elapsed < ANSWERED_WITHIN, "{status} after {elapsed:?}");
    let mut answers = answers.lock().unwrap();
    *answers.by_status.entry(status).or_default() += 1;
    answers.slowest = answers.slowest.max(elapsed);
    drop(answers);
    thread::sleep(GATEWAY_PAUSE);
}

/// The status of the answer; nothing where the connection ends before it.
fn try_exchange(address: SocketAddr, request: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ANSWERED_WITHIN)).unwrap();
    stream.write_all(request).ok()?;
    let mut start = [0; 12];
    stream.read_exact(&mut start).ok()?;
    std::str::from_utf8(&start[9..]).unwrap().parse().ok()
}

/// Sends a request, leaves before its answer, and sends it again under the same id.
fn repeater_step(address: SocketAddr, random: &mut TestRng) {
    let body = unique_body("repeat");
    let key = String::from_utf8(body.clone()).unwrap();
    let request = match random.roll(2) {
        0 => Request::new("queue-status", &body),
        _ => Request::keyed(&key, &body),
    };
    let request = request.http();
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let _ = stream.write_all(&request);
    thread::sleep(Duration::from_millis(random.roll(60)));
    if random.roll(2) == 0 {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
    drop(stream);
    thread::sleep(Duration::from_millis(random.roll(300)));
    for _ in 0..2 {
        try_exchange(address, &request);
    }
}

/// Anonymous memory of all processes of the program that this one has started, in KiB.
fn memory_of_processes() -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap().flatten();
    let children = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("children")).ok());
    let pids: Vec<String> =
        children.flat_map(|pids| pids.split(' ').map(str::to_string).collect::<Vec<_>>()).collect();
    pids.iter().filter_map(|pid| anonymous_memory(pid)).sum()
}

/// Anonymous memory of a process of the program in KiB; nothing for other processes.
fn anonymous_memory(pid: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let field = |name: &str| status.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    if field("Name:") != Some("hopwalk") {
        return None;
    }
    field("RssAnon:")?.trim_end_matches(" kB").parse().ok()
}

/// Fails if a body of a request was launched more than once.
fn check_single_runs(agents: &[Agent]) {
    let mut launches: HashMap<Vec<u8>, usize> = HashMap::new();
    for (_, _, body) in agents.iter().flat_map(Agent::launches) {
        *launches.entry(body).or_default() += 1;
    }
    for (body, count) in &launches {
        let is_repeat = body.starts_with(b"repeat") || body.starts_with(b"gateway");
        assert!(!is_repeat || *count == 1, "{} ran {count} times", String::from_utf8_lossy(body));
    }
    let repeated: usize = agents.iter().map(Agent::repeated_launches).sum();
    assert_eq!(repeated, 0, "launches of what had run");
}

/// Starts an agent of six cores whose runs take 2 ms.
fn start_agent() -> Agent {
    Agent::start(6, Duration::from_millis(2), false)
}

#[test]
fn bad_clients_cost_neither_the_memory_limit_nor_the_answers_of_others_nor_a_second_run() {
    // Guards against the pictures of issue 57: memory over the limit, other clients that wait, and ids that run twice.
    let seed = number_from_environment("CLIENTS_SOAK_SEED", DEFAULT_SEED);
    let rounds = number_from_environment("CLIENTS_SOAK_ROUNDS", DEFAULT_ROUNDS);
    let mut random = TestRng(seed + 1);
    let mut agents = vec![start_agent()];
    let setup = Setup { memory_mb: Some(MEMORY_MB), sockets: Some(SOCKETS), ..Setup::default() };
    let mut program = Program::start(Setup { agent: Some(agents[0].address), ..setup });
    let address = program.http;
    let answers = Arc::new(Mutex::new(Answers::default()));
    let most_memory = Arc::new(AtomicU64::new(0));
    let mut workers = Workers::new();
    let most = most_memory.clone();
    workers.add(move || {
        most.fetch_max(memory_of_processes(), Ordering::Relaxed);
        thread::sleep(Duration::from_millis(5));
    });
    for _ in 0..GATEWAYS {
        let answers = answers.clone();
        workers.add(move || gateway_step(address, &answers));
    }
    for n in 0..REPEATERS {
        let mut random = TestRng(seed + 100 + n as u64);
        workers.add(move || repeater_step(address, &mut random));
    }
    for round in 0..rounds {
        let kinds: Vec<_> = (0..KINDS_PER_ROUND).map(|_| random.roll(FLOOD_KINDS)).collect();
        let clients = (BAD_CLIENTS / KINDS_PER_ROUND) as usize;
        let floods: Vec<_> = kinds.iter().map(|kind| start_flood(*kind, address, clients)).collect();
        thread::sleep(HALF_ROUND);
        agents.push(start_agent());
        let new = program.successor(&agents[agents.len() - 2], &agents[agents.len() - 1]);
        program.signal("TERM");
        assert!(program.wait_for_exit().success(), "seed {seed}, round {round}, kinds {kinds:?}");
        program = new;
        thread::sleep(HALF_ROUND);
        drop(floods);
        let memory = most_memory.swap(0, Ordering::Relaxed);
        let seen = std::mem::take(&mut *answers.lock().unwrap());
        println!(
            "round {round}, kinds {kinds:?}: {memory} KiB at most, answers {:?}, slowest {:?}",
            seen.by_status, seen.slowest
        );
        assert!(
            memory < MEMORY_MB as u64 * 1024,
            "seed {seed}, round {round}, kinds {kinds:?}: {memory} KiB"
        );
        let served = seen.by_status.get(&200).copied().unwrap_or_default();
        let all: usize = seen.by_status.values().sum();
        assert!(served * 2 > all, "seed {seed}, round {round}, kinds {kinds:?}: {served} of {all} served");
    }
    workers.finish();
    check_single_runs(&agents);
}
