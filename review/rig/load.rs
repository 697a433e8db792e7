//! Four gateways whose requests have the longest bodies and results that the pages allow, in the shares of classes of
//! the site `hobart-tickets`, over connections that are kept open.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::*;

/// First tries a second, and how many times as many one day brings.
pub const RATE: u64 = 190;
#[allow(dead_code)]
pub const TIMES: u64 = 6;
/// The descriptors of a matcher; the connections of all gateways are half of them.
pub const SOCKETS: u32 = 512;
const CONNECTIONS: u64 = 256;
const GATEWAYS: u32 = 4;
/// Of a hundred requests so many are of the keyed class, and of the one before it.
const KEYED: u64 = 29;
const SEAT_CHECK: u64 = 29;
/// The longest body and result.
const BODY: usize = 2048;
const RESULT: u64 = 4096;
/// How long a gateway waits for a try. Work, aims and deadlines are scaled down on the day of the high rate.
const TIMEOUT_MS: u64 = 1500;

/// The settings of that day. The agent's memory is filled by 15 runs a core of 35 kB that take 16 times that, and the
/// keys of the whole window take a quarter of it.
pub fn settings(memory_mb: u32) -> Settings {
    Settings {
        promise_us: 600_000,
        give_up_us: 1000 * TIMEOUT_MS,
        memory_kb: 50_400.0,
        kb_per_key: 2.9,
        memory_mb,
        sockets: SOCKETS,
        ..Settings::hobart_tickets()
    }
}

/// The agent has room: the work is scaled down too.
pub fn agent_config() -> AgentConfig {
    RESULT_LEN.store(RESULT, Ordering::Relaxed);
    AgentConfig { part_s: 0.001, ..AgentConfig::default() }
}

/// Memory that belongs to a process alone, in KiB; files that it maps and pages that it shares are left out.
pub fn private_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Whether the matcher has closed a resting connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    let _ = stream.set_nonblocking(false);
    closed
}

#[derive(Default)]
pub struct Counts {
    pub served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    pub unanswered: AtomicU64,
    not_connected: AtomicU64,
}

impl Counts {
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    pub fn describe(&self) -> String {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        format!(
            "served {}, refused {}, failed {}, without an answer {}, not connected {}",
            get(&self.served),
            get(&self.refused),
            get(&self.failed),
            get(&self.unanswered),
            get(&self.not_connected)
        )
    }
}

pub struct Load {
    pub rate: Arc<AtomicU64>,
    pub counts: Arc<Counts>,
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    pub fn start(listen: SocketAddr, known: &Known, record: &Record) -> Self {
        let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
        let rate = Arc::new(AtomicU64::new(RATE));
        let start = |place| {
            let gateway = (listen, stop.clone(), counts.clone(), rate.clone(), known.clone(), record.clone());
            thread::spawn(move || {
                let (listen, stop, counts, rate, known, record) = gateway;
                ask(place, listen, &stop, &counts, &rate, &known, &record);
            })
        };
        let threads = (0..CONNECTIONS).map(start).collect();
        Self { rate, counts, stop, threads }
    }

    pub fn stop(self) -> Arc<Counts> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.counts
    }
}

/// One connection of a gateway: asks at its part of the rate, one request at a time.
fn ask(place: u64, listen: SocketAddr, stop: &Arc<AtomicBool>, counts: &Counts, rate: &AtomicU64, known: &Known, record: &Record) {
    let mut stream: Option<TcpStream> = None;
    let mut n = place * 7;
    let gap = || Duration::from_micros(1_000_000 * CONNECTIONS / rate.load(Ordering::Relaxed));
    thread::sleep(gap() * place as u32 / CONNECTIONS as u32);
    while !on(stop) {
        let since = Instant::now();
        n += 1;
        let mut t = match n % 100 {
            kind if kind < KEYED => Try::keyed("book-seat", TIMEOUT_MS, &format!("{place:016x}{n:016x}")),
            kind if kind < KEYED + SEAT_CHECK => Try::new("seat-check", TIMEOUT_MS),
            _ => Try::new("timetable", TIMEOUT_MS),
        };
        t.body.resize(BODY, b'.');
        (t.caller, t.kb) = (place as u32 % GATEWAYS, 35.0);
        stream = stream.filter(|stream| !is_closed(stream)).or_else(|| connect(listen, ms(1000)));
        let mut ended = End::NoConnection;
        if let Some(open) = &mut stream {
            let sent = Instant::now();
            ended = exchange(open, &t, TIMEOUT_MS + SLACK_MS, known, record);
            // What crosses a close within 50 ms is sent again, once, on a new connection.
            if matches!(ended, End::Ended(_)) && sent.elapsed() <= ms(50) {
                stream = connect(listen, ms(1000));
                ended = stream.as_mut().map_or(End::NoConnection, |again| exchange(again, &t, TIMEOUT_MS + SLACK_MS, known, record));
            }
        }
        known.lock().unwrap().remove(&t.handle);
        let counter = match &ended {
            End::Answered(answer) if answer.status == 200 => &counts.served,
            End::Answered(answer) if answer.status == 503 => &counts.refused,
            End::Answered(_) => &counts.failed,
            End::NoConnection => &counts.not_connected,
            End::Ended(_) | End::Late => &counts.unanswered,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        if !matches!(&ended, End::Answered(answer) if !answer.close) {
            stream = None;
        }
        // In steps, so that a change of the rate is followed at once.
        while since.elapsed() < gap() && !on(stop) {
            thread::sleep(ms(5).min(gap().saturating_sub(since.elapsed())));
        }
    }
}
