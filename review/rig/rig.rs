//! Stand-ins for a case of the review: the agent, the vault, the control plane and the gateways of one matcher, from
//! the published protocol pages. Everything runs in threads of this process; the matcher runs as a process of its own.
#![allow(dead_code)]

use std::collections::{HashMap, VecDeque};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}
/// Has the system kill a process when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---- base64 and JSON ------------------------------------------------------------------------------------

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = (0..3).fold(0u32, |n, i| n << 8 | u32::from(*part.get(i).unwrap_or(&0)));
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let (mut bits, mut n) = (0u32, 0u32);
    for b in text.trim_end_matches('=').bytes() {
        n = n << 6 | DIGITS.iter().position(|d| *d == b)? as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    Some(out)
}

/// The members of a flat JSON object whose values are strings or numbers, as text. `None` if it is no such object.
pub fn members(line: &str) -> Option<HashMap<String, String>> {
    let mut rest = line.trim().strip_prefix('{')?.strip_suffix('}')?.trim();
    let mut out = HashMap::new();
    while !rest.is_empty() {
        let (name, after) = rest.strip_prefix('"')?.split_once('"')?;
        let after = after.trim_start().strip_prefix(':')?.trim_start();
        let (value, after) = match after.strip_prefix('"') {
            Some(text) => text.split_once('"')?,
            None => after.find(',').map_or((after, ""), |at| (&after[..at], &after[at..])),
        };
        out.insert(name.to_string(), value.trim().to_string());
        rest = after.trim_start().strip_prefix(',').unwrap_or(after).trim_start();
    }
    Some(out)
}

// ---- The record -----------------------------------------------------------------------------------------

/// Writes `record.txt`: a line for each thing that was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<io::BufWriter<File>>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|e| unable(&format!("{}: {e}", path.display())));
        Self(Arc::new((Mutex::new(io::BufWriter::new(file)), Instant::now())))
    }

    pub fn ms(&self) -> u64 {
        self.0 .1.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.ms();
        let mut file = self.0 .0.lock().unwrap();
        let _ = writeln!(file, "{at:>7} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.0 .0.lock().unwrap().flush();
    }
}

/// The processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and ends the case.
pub fn finish(code: i32) -> ! {
    for pid in STARTED.lock().unwrap().iter() {
        unsafe { kill(*pid as i32, SIGKILL) };
    }
    std::process::exit(code)
}

/// Ends the case as one that could not run.
pub fn unable(why: &str) -> ! {
    println!("the case could not run: {why}");
    finish(2)
}

// ---- What the agent knows of requests -------------------------------------------------------------------

/// A request that was sent to the matcher, as the platform knows it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub class: String,
    pub body: Vec<u8>,
    /// Answered or given up.
    pub over: bool,
    /// The memory that is booked while it is held, in kilobytes.
    pub kb: f64,
}

pub type Known = Arc<Mutex<HashMap<String, Sent>>>;

// ---- The agent ------------------------------------------------------------------------------------------

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Needs this much more work, in seconds on one core, until its call (`calls` left) or its end.
    Working(f64),
    /// Waits for the call that the notice with this number asked for.
    AtCall(u64),
    Paused(f64),
}

#[derive(Clone, Debug)]
pub struct Run {
    pub stage: Stage,
    pub calls: u32,
    pub began: Instant,
}

pub struct AgentConfig {
    pub cores: f64,
    /// Work of a part of a run, in seconds on one core. A run has one part more than it has calls.
    pub part_s: f64,
    pub calls: u32,
    /// A command is carried out this long after it was read; a break of the link loses those that still wait.
    pub delay_ms: u64,
}

impl Default for AgentConfig {
    fn default() -> Self {
        Self { cores: 6.0, part_s: 0.15, calls: 1, delay_ms: 0 }
    }
}

#[derive(Default)]
struct AgentState {
    cursor: u64,
    notices: VecDeque<(u64, String)>,
    runs: HashMap<String, Run>,
    link: Option<(u64, TcpStream)>,
    links: u64,
    launched: Vec<(String, u64)>,
    ended: Vec<(String, String)>,
}

/// The render farm agent of one matcher process. It may listen on several addresses: runs and notices carry on.
#[derive(Clone)]
pub struct Agent {
    state: Arc<Mutex<AgentState>>,
    pub config: Arc<AgentConfig>,
    known: Known,
    record: Record,
    started: Instant,
}

impl Agent {
    pub fn start(config: AgentConfig, known: Known, record: Record) -> Self {
        let agent = Self {
            state: Arc::default(),
            config: Arc::new(config),
            known,
            record,
            started: Instant::now(),
        };
        let worker = agent.clone();
        thread::spawn(move || worker.work());
        agent
    }

    /// Listens on one more address.
    pub fn listen(&self, at: SocketAddr) {
        let listener = TcpListener::bind(at).unwrap_or_else(|e| unable(&format!("agent: {e}")));
        let agent = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let number = {
                    let mut state = agent.state.lock().unwrap();
                    state.links += 1;
                    state.links
                };
                let agent = agent.clone();
                thread::spawn(move || agent.serve(number, stream));
            }
        });
    }

    /// The handles that were launched, and when.
    pub fn launched(&self) -> Vec<(String, u64)> {
        self.state.lock().unwrap().launched.clone()
    }

    pub fn runs(&self) -> HashMap<String, Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Breaks the link.
    pub fn break_link(&self) {
        if let Some((_, stream)) = self.state.lock().unwrap().link.take() {
            self.record.line("agent: breaks the link");
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, number: u64, stream: TcpStream) {
        let mut lines = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        let (queue, commands) = std::sync::mpsc::channel::<(Instant, HashMap<String, String>)>();
        let (agent, out, delay) = (self.clone(), stream.try_clone().unwrap(), ms(self.config.delay_ms));
        let worker = thread::spawn(move || {
            for (read, command) in commands {
                thread::sleep(delay.saturating_sub(read.elapsed()));
                if !agent.command(number, &out, &command) {
                    let _ = out.shutdown(Shutdown::Both);
                    return;
                }
            }
        });
        loop {
            line.clear();
            if !matches!(lines.read_line(&mut line), Ok(1..)) || !line.ends_with('\n') {
                break;
            }
            let Some(command) = members(&line) else { break };
            if queue.send((Instant::now(), command)).is_err() {
                break;
            }
        }
        drop(queue);
        let _ = worker.join();
        let _ = stream.shutdown(Shutdown::Both);
        let mut state = self.state.lock().unwrap();
        if state.link.as_ref().is_some_and(|(n, _)| *n == number) {
            state.link = None;
        }
    }

    /// Carries out a command; false closes the link.
    fn command(&self, number: u64, stream: &TcpStream, command: &HashMap<String, String>) -> bool {
        let get = |name: &str| command.get(name).cloned().unwrap_or_default();
        let handle = get("handle");
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let event = get("event");
        if event == "subscribe" {
            let Ok(after) = get("cursor").parse::<u64>() else { return false };
            if let Some((_, old)) = state.link.take() {
                let _ = old.shutdown(Shutdown::Both);
            }
            let lasted = self.started.elapsed().as_millis();
            let mut text = format!("{{\"event\":\"greeting\",\"fate\":\"hot\",\"lasted\":{lasted}}}\n");
            state.notices.iter().filter(|(n, _)| *n > after).for_each(|(_, line)| text += line);
            state.link = stream.try_clone().ok().map(|s| (number, s));
            self.record.line(&format!("agent: link {number} subscribes behind notice {after}"));
            return (&*stream).write_all(text.as_bytes()).is_ok();
        }
        if state.link.as_ref().is_none_or(|(n, _)| *n != number) {
            return false;
        }
        let refuse = |state: &mut AgentState| {
            let line = format!("{{\"event\":\"refusal\",\"fate\":\"{event}\",\"handle\":\"{handle}\"}}\n");
            tell(state, &line);
        };
        match event.as_str() {
            "launch" => {
                let body = unbase64(&get("arg")).unwrap_or_default();
                let sent = self.known.lock().unwrap().get(&handle).cloned();
                let fits = sent.as_ref().is_some_and(|s| s.class == get("entry") && s.body == body);
                if !fits {
                    self.record.line(&format!("agent: refuses launch {handle}"));
                    refuse(state);
                } else if sent.is_some_and(|s| s.over) {
                    self.record.line(&format!("agent: launch {handle} is over"));
                    notice(state, |n| {
                        format!("{{\"event\":\"outcome\",\"cursor\":{n},\"handle\":\"{handle}\",\"fate\":\"unknown\",\"lasted\":0}}\n")
                    });
                } else if !state.runs.contains_key(&handle) {
                    self.record.line(&format!("agent: runs {handle} {}", get("entry")));
                    state.launched.push((handle.clone(), self.record.ms()));
                    let run = Run {
                        stage: Stage::Working(self.config.part_s),
                        calls: self.config.calls,
                        began: Instant::now(),
                    };
                    state.runs.insert(handle, run);
                }
            }
            "freeze" => {
                if let Some(run) = state.runs.get_mut(&handle) {
                    if let Stage::Working(left) = run.stage {
                        run.stage = Stage::Paused(left);
                    }
                }
            }
            "thaw" => {
                if let Some(run) = state.runs.get_mut(&handle) {
                    if let Stage::Paused(left) = run.stage {
                        run.stage = Stage::Working(left);
                    }
                }
            }
            "deliver" | "forgo" => {
                let cursor = get("cursor").parse::<u64>().ok();
                if let Some(run) = state.runs.get_mut(&handle) {
                    if matches!(run.stage, Stage::AtCall(n) if event == "deliver" || cursor == Some(n)) {
                        self.record.line(&format!("agent: {event} {handle}"));
                        run.stage = Stage::Working(self.config.part_s);
                    }
                }
            }
            "sample" => {
                let working = state.runs.values().filter(|r| matches!(r.stage, Stage::Working(_))).count() as f64;
                let used = (working / self.config.cores).min(1.0);
                let ticket = get("ticket");
                let line = format!("{{\"event\":\"sampled\",\"ticket\":\"{ticket}\",\"figures\":[{used:.2},{working},0.3,20]}}\n");
                tell(state, &line);
            }
            "exercise" => {
                let line = format!("{{\"event\":\"exercised\",\"ticket\":\"{}\",\"fate\":\"complete\"}}\n", get("ticket"));
                tell(state, &line);
            }
            _ => return false,
        }
        true
    }

    fn work(&self) {
        let mut last = Instant::now();
        loop {
            thread::sleep(ms(2));
            let passed = last.elapsed().as_secs_f64();
            last = Instant::now();
            // Always locked in this order: the state, then what is known.
            let mut state = self.state.lock().unwrap();
            let state = &mut *state;
            let known = self.known.lock().unwrap();
            let over = |handle: &String| known.get(handle).is_none_or(|s| s.over);
            let working = state.runs.values().filter(|r| matches!(r.stage, Stage::Working(_))).count() as f64;
            let share = passed * (self.config.cores / working.max(1.0)).min(1.0);
            let (mut at_call, mut ended) = (Vec::new(), Vec::new());
            for (handle, run) in &mut state.runs {
                match run.stage {
                    Stage::Working(left) if left > share => run.stage = Stage::Working(left - share),
                    Stage::Working(_) if run.calls > 0 && over(handle) => ended.push((handle.clone(), "cancelled")),
                    Stage::Working(_) if run.calls > 0 => at_call.push(handle.clone()),
                    Stage::Working(_) => ended.push((handle.clone(), "complete")),
                    Stage::AtCall(_) | Stage::Paused(_) if over(handle) => ended.push((handle.clone(), "cancelled")),
                    _ => {}
                }
            }
            drop(known);
            for handle in at_call {
                let body = base64(format!("call of {handle}").as_bytes());
                let n = notice(state, |n| {
                    format!("{{\"event\":\"request\",\"cursor\":{n},\"handle\":\"{handle}\",\"arg\":\"{body}\"}}\n")
                });
                let run = state.runs.get_mut(&handle).unwrap();
                (run.stage, run.calls) = (Stage::AtCall(n), run.calls - 1);
            }
            for (handle, fate) in ended {
                let run = state.runs.remove(&handle).unwrap();
                let lasted = run.began.elapsed().as_millis();
                let arg = match fate {
                    "complete" => format!(",\"arg\":\"{}\"", base64(result_of(&handle).as_bytes())),
                    _ => String::new(),
                };
                self.record.line(&format!("agent: {handle} {fate}"));
                state.ended.push((handle.clone(), fate.to_string()));
                notice(state, |n| {
                    format!("{{\"event\":\"outcome\",\"cursor\":{n},\"handle\":\"{handle}\",\"fate\":\"{fate}\",\"lasted\":{lasted}{arg}}}\n")
                });
            }
        }
    }
}

/// The length to which results are filled up.
pub static RESULT_LEN: AtomicU64 = AtomicU64::new(0);

pub fn result_of(handle: &str) -> String {
    let len = RESULT_LEN.load(Ordering::Relaxed) as usize;
    format!("{:.<len$}", format!("result of {handle}"))
}

/// Keeps a numbered notice and writes it on the link; returns its number.
fn notice(state: &mut AgentState, line: impl FnOnce(u64) -> String) -> u64 {
    state.cursor += 1;
    let line = line(state.cursor);
    tell(state, &line);
    state.notices.push_back((state.cursor, line));
    if state.notices.len() > 4000 {
        state.notices.pop_front();
    }
    state.cursor
}

fn tell(state: &mut AgentState, line: &str) {
    if let Some((_, link)) = &mut state.link {
        let _ = link.write_all(line.as_bytes());
    }
}

// ---- The vault ------------------------------------------------------------------------------------------

/// The vault: answers every call with `yes` after `delay_ms`.
#[derive(Clone)]
pub struct Vault {
    pub delay_ms: Arc<AtomicU64>,
    pub asked: Arc<Mutex<Vec<(String, u64)>>>,
    record: Record,
}

impl Vault {
    pub fn start(delay_ms: u64, record: Record) -> Self {
        Self { delay_ms: Arc::new(AtomicU64::new(delay_ms)), asked: Arc::default(), record }
    }

    pub fn listen(&self, at: SocketAddr) {
        let listener = TcpListener::bind(at).unwrap_or_else(|e| unable(&format!("vault: {e}")));
        let vault = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let vault = vault.clone();
                thread::spawn(move || vault.serve(stream));
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let mut lines = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        let _ = stream.set_read_timeout(Some(ms(10_000)));
        loop {
            line.clear();
            if !matches!(lines.read_line(&mut line), Ok(1..)) {
                return;
            }
            let words: Vec<_> = line.trim_end().split(' ').map(str::to_string).collect();
            if words[0] != "ask" || words.len() < 4 {
                continue;
            }
            let mut body = vec![0; words[3].parse::<usize>().unwrap_or(0) + 2];
            if lines.read_exact(&mut body).is_err() {
                return;
            }
            let handle = words[1].clone();
            self.record.line(&format!("vault: ask {handle} {}", words[2]));
            self.asked.lock().unwrap().push((handle.clone(), self.record.ms()));
            let (delay, mut stream) = (ms(self.delay_ms.load(Ordering::Relaxed)), stream.try_clone().unwrap());
            thread::spawn(move || {
                thread::sleep(delay);
                let reply = format!("reply to {handle}");
                let _ = stream.write_all(format!("{handle} yes {}\r\n{reply}\r\n", reply.len()).as_bytes());
            });
        }
    }
}

// ---- Gateways -------------------------------------------------------------------------------------------

/// A request of a gateway.
#[derive(Clone, Debug)]
pub struct Try {
    pub handle: String,
    pub class: String,
    pub caller: u32,
    pub timeout_ms: u64,
    pub kb: f64,
    pub rank: f64,
    pub key: Option<String>,
    pub body: Vec<u8>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A handle that was not used before.
pub fn new_handle() -> String {
    let n = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (n << 32 | unix_ms() & 0xffff_ffff).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

impl Try {
    pub fn new(class: &str, timeout_ms: u64) -> Self {
        let handle = new_handle();
        let body = format!("body of {handle}").into_bytes();
        Self { handle, class: class.into(), caller: 1, timeout_ms, kb: 45.0, rank: 0.5, key: None, body }
    }

    pub fn keyed(class: &str, timeout_ms: u64, key: &str) -> Self {
        Self { key: Some(key.into()), body: format!("body of {key}").into_bytes(), rank: 0.9, ..Self::new(class, timeout_ms) }
    }

    /// The bytes on the wire, stamped now.
    pub fn bytes(&self) -> Vec<u8> {
        let key = self.key.as_ref().map_or(String::new(), |k| format!("Idempotency-Key: {k}\r\n"));
        let head = format!(
            "POST /do/{} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {}\r\nX-Request-Start: {}\r\nX-Caller: {}\r\nX-Timeout-Ms: {}\r\nX-Memory-Kb: {}\r\nX-Rank: {}\r\n{key}Content-Length: {}\r\n\r\n",
            self.class, self.handle, unix_ms(), self.caller, self.timeout_ms, self.kb, self.rank, self.body.len()
        );
        [head.as_bytes(), &self.body].concat()
    }

    pub fn register(&self, known: &Known) {
        let sent = Sent { class: self.class.clone(), body: self.body.clone(), over: false, kb: self.kb };
        known.lock().unwrap().insert(self.handle.clone(), sent);
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub close: bool,
    pub body: Vec<u8>,
}

/// How an exchange ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Answered(Answer),
    /// The connection could not be opened: nothing was sent.
    NoConnection,
    /// The connection ended before a whole answer.
    Ended(String),
    /// Nothing whole was read in time.
    Late,
}

/// Reads an HTTP answer until `deadline`.
pub fn read_answer(stream: &mut TcpStream, deadline: Instant) -> End {
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        if let Some(answer) = parse_answer(&bytes) {
            return End::Answered(answer);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return End::Late;
        }
        let _ = stream.set_read_timeout(Some(left.max(ms(1))));
        match stream.read(&mut chunk) {
            Ok(0) => return End::Ended("closed".into()),
            Ok(n) => bytes.extend(&chunk[..n]),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted) => {}
            Err(e) => return End::Ended(e.kind().to_string()),
        }
    }
}

fn parse_answer(bytes: &[u8]) -> Option<Answer> {
    let head_len = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&bytes[..head_len]).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let (mut len, mut close) = (0, false);
    for line in head.lines().skip(1) {
        let Some((name, value)) = line.split_once(':') else { continue };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => len = value.trim().parse().ok()?,
            "connection" => close = value.trim().eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    let body = bytes.get(head_len..head_len + len)?;
    Some(Answer { status, close, body: body.to_vec() })
}

pub fn connect(at: SocketAddr, timeout: Duration) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&at, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

/// Sends a try on an open connection, waits for its answer up to `wait_ms` after the sending, and records both.
pub fn exchange(stream: &mut TcpStream, t: &Try, wait_ms: u64, known: &Known, record: &Record) -> End {
    t.register(known);
    let key = t.key.as_ref().map_or(String::new(), |k| format!(" key {k}"));
    record.line(&format!("gateway: sends {} {}{key}", t.handle, t.class));
    let end = match stream.write_all(&t.bytes()) {
        Ok(()) => read_answer(stream, Instant::now() + ms(wait_ms)),
        Err(e) => End::Ended(e.kind().to_string()),
    };
    if let Some(sent) = known.lock().unwrap().get_mut(&t.handle) {
        sent.over = true;
    }
    match &end {
        End::Answered(a) => record.line(&format!("gateway: {} answered {}{}", t.handle, a.status, if a.close { ", close" } else { "" })),
        other => record.line(&format!("gateway: {} not answered: {other:?}", t.handle)),
    }
    end
}

// ---- The matcher ----------------------------------------------------------------------------------------

/// A running matcher process.
pub struct Matcher {
    pub child: Child,
    pub listen: SocketAddr,
}

impl Matcher {
    /// Starts the program by `run` of the deploy file, from the root of the repository.
    pub fn start(root: &Path, config: &Path, tmp: &Path, log: &Path, listen: SocketAddr, env: &[(&str, String)]) -> Self {
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")?.split('"').next().map(str::to_string));
        let run = run.unwrap_or_else(|| unable("deploy/balancer.toml has no run"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .current_dir(root)
            .env("RELAY_CONFIG", config)
            .env("TMPDIR", tmp)
            .envs(env.iter().map(|(k, v)| (*k, v.as_str())))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        // So that nothing is left behind, however this process ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            })
        };
        let child = command.spawn().unwrap_or_else(|e| unable(&format!("{run}: {e}")));
        STARTED.lock().unwrap().push(child.id());
        Self { child, listen }
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: i32) {
        if self.has_ended() {
            return;
        }
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until a health check is answered well.
    pub fn wait_ready(&mut self, limit: Duration) {
        let since = Instant::now();
        while since.elapsed() < limit {
            if let Some(mut stream) = connect(self.listen, ms(500)) {
                let _ = stream.write_all(b"GET /check HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                if matches!(read_answer(&mut stream, Instant::now() + ms(500)), End::Answered(a) if a.status == 200) {
                    return;
                }
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                unable(&format!("the matcher ended: {status}"));
            }
            thread::sleep(ms(50));
        }
        unable("the matcher was not ready in time");
    }

    pub fn has_ended(&mut self) -> bool {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if ended {
            STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
        }
        ended
    }

    /// The exit status in words, once the process has ended.
    pub fn status(&mut self) -> Option<String> {
        if !self.has_ended() {
            return None;
        }
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Matcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

/// An operator's call; returns the status of its answer, 0 without one.
pub fn operate(at: SocketAddr, method: &str, path: &str) -> u16 {
    let Some(mut stream) = connect(at, ms(500)) else { return 0 };
    let _ = stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\n\r\n").as_bytes());
    match read_answer(&mut stream, Instant::now() + ms(1000)) {
        End::Answered(answer) => answer.status,
        _ => 0,
    }
}

/// A health check on a connection of its own; returns the status of its answer, 0 without one.
pub fn check(at: SocketAddr) -> u16 {
    let Some(mut stream) = connect(at, ms(500)) else { return 0 };
    let _ = stream.write_all(b"GET /check HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    match read_answer(&mut stream, Instant::now() + ms(1000)) {
        End::Answered(answer) => answer.status,
        _ => 0,
    }
}

/// Sends a try on a connection of its own, waits for its answer until it is due with the slack of the rules, and
/// returns how that ended. A connection that is refused proves that nothing ran, and is no exchange.
pub fn ask_once(at: SocketAddr, t: &Try, known: &Known, record: &Record) -> End {
    match connect(at, ms(1000)) {
        Some(mut stream) => exchange(&mut stream, t, t.timeout_ms + SLACK_MS, known, record),
        None => End::NoConnection,
    }
}

/// 100 ms of slack of the settings, and 50 ms that every time limit is longer on sockets.
pub const SLACK_MS: u64 = 150;

/// A UDP socket that takes the reports.
pub fn control(at: SocketAddr) -> UdpSocket {
    UdpSocket::bind(at).unwrap_or_else(|e| unable(&format!("control: {e}")))
}

/// Free loopback addresses.
pub fn addresses<const N: usize>() -> [SocketAddr; N] {
    let held: Vec<_> = (0..N).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    std::array::from_fn(|i| held[i].local_addr().unwrap())
}

/// A class of the settings.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    pub repeat: &'static str,
    pub worth: f64,
    pub without: f64,
}

/// The configuration of a small deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub window_us: u64,
    pub promise_us: u64,
    pub give_up_us: u64,
    pub preemption: &'static str,
    pub memory_kb: f64,
    pub kb_per_key: f64,
    pub sockets: u32,
    pub memory_mb: u32,
    pub stop_ms: u64,
}

impl Settings {
    /// With the figures of the site `ebene-main`.
    pub fn ebene_main() -> Self {
        let class = |name, repeat, worth, without| Class { name, repeat, worth, without };
        Self {
            classes: vec![
                class("queue-status", "idempotent", 1.0, 0.3),
                class("queue-prefs", "idempotent", 1.0, 0.3),
                class("lobby-confirm", "deduplicated", 10.0, 0.0),
            ],
            window_us: 13_356_000,
            promise_us: 1_800_000,
            give_up_us: 4_500_000,
            preemption: "pause",
            memory_kb: 36_000.0,
            kb_per_key: 110.0,
            sockets: 512,
            memory_mb: 192,
            stop_ms: 3200,
        }
    }

    /// With the classes of the site `hobart-tickets`.
    pub fn hobart_tickets() -> Self {
        let class = |name, repeat, worth, without| Class { name, repeat, worth, without };
        Self {
            classes: vec![
                class("timetable", "idempotent", 1.0, 0.3),
                class("seat-check", "idempotent", 2.0, 0.5),
                class("book-seat", "deduplicated", 3.0, 0.0),
            ],
            window_us: 13_212_000,
            give_up_us: 4_400_000,
            preemption: "off",
            ..Self::ebene_main()
        }
    }

    /// The configuration file of a matcher.
    pub fn config(&self, listen: SocketAddr, agent: SocketAddr, vault: SocketAddr, control: SocketAddr, admin: SocketAddr) -> String {
        let list = |item: &dyn Fn(&Class) -> String| self.classes.iter().map(item).collect::<Vec<_>>().join(",");
        let classes = list(&|c| {
            format!(
                r#"{{"name":"{}","give_up_us":{},"promise_us":{},"late_value":0.0,"memory_span_us":{},"repeat":"{}","worth":{}}}"#,
                c.name, self.give_up_us, self.promise_us, self.window_us, c.repeat, c.worth
            )
        });
        let (calls, without) = (list(&|_| "true".into()), list(&|c| c.without.to_string()));
        let Self { preemption, memory_kb, kb_per_key, sockets, memory_mb, stop_ms, .. } = self;
        format!(
            r#"{{"name":"n1","listen":"{listen}","agent":"{agent}","vault":"{vault}","control":"{control}","admin":"{admin}",
"seed":"8c1f30d27a5be964","stop_ms":{stop_ms},"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"settings":{{"az":0,"clients":{{"marks_retry":false}},"counted_by":"request","dcs":["one"],"family":"server",
"goal":{{"whole":0.45,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.35}},
"limits":{{"cpu_us_per_request":0.0,"cpu_us_per_s":60000,"max_retry_after_us":1000000,"retry_after":true}},
"me":0,"over_share_worth":0.1,"prices":{{"connection":0.0,"handshake":0.01,"late_fail":0.05,"origin":0.02,"waste":0.05}},
"profiles":[{classes}],
"report":{{"fields":["queue","util","qps"],"how":"inline"}},"round_us":5000,
"rules":{{"answer_slack_us":100000,"cold_from":0.2,"cold_us":17000000,"drain_grace_us":2000000,"fall_multiple":8.0,"tip_after_us":1500000}},
"servers":12,
"specifics":{{"below":"next_hop","calls_out":0.0,"class_calls":[{calls}],"cold":false,"cores":6,"fresh_us":0,"heeded_us":1000000,"idle_us":30000000,"kb_per_key":{kb_per_key},"lingers_us":200000,"memory_kb":{memory_kb},"meters":["core_use","on_cores","heap_share","links"],"passes_deadline":true,"preemption":"{preemption}","readiness":false,"real_checks":true,"run_factor":16.0,"say":"bias","senders":4,"share_span_us":5000000,"tells_gone":false,"worth_without":[{without}]}},
"tenants":[],"tier":0,"tiers":["front","core"]}}}}
"#
        )
    }
}

/// Everything that a case gets from its script.
pub struct Case {
    pub root: PathBuf,
    pub tmp: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

impl Case {
    /// Reads `CASE_ROOT`, `CASE_RECORD`, `CASE_TMP` and `TROUBLE`, and ends the case after 115 s in any event.
    pub fn from_env() -> Self {
        let path = |name: &str| PathBuf::from(std::env::var_os(name).unwrap_or_else(|| unable(&format!("{name} is not set"))));
        let (root, tmp) = (path("CASE_ROOT"), path("CASE_TMP"));
        let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
        let record = Record::create(&path("CASE_RECORD"));
        thread::spawn(|| {
            thread::sleep(ms(112_000));
            unable("it took too long");
        });
        Self { root, tmp, record, trouble }
    }

    /// Writes a configuration file, in one step.
    pub fn write_config(&self, name: &str, text: &str) -> PathBuf {
        let path = self.tmp.join(name);
        let new = self.tmp.join(format!("{name}.part"));
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &path).unwrap();
        path
    }

    /// A folder of its own for the matcher's `TMPDIR`.
    pub fn matcher_tmp(&self) -> PathBuf {
        let path = self.tmp.join("m");
        let _ = std::fs::create_dir(&path);
        path
    }
}

/// Whether the flag is set; for threads that go on until the end of a phase.
pub fn on(flag: &Arc<AtomicBool>) -> bool {
    flag.load(Ordering::Relaxed)
}
