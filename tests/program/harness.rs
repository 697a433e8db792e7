//! Starts the program's binary as a process, and has what the tests need to observe it and to send it requests. The
//! simulated agent and vault come from the lab.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use hopwalk::lab::shim::{Faults, Shim};
pub use hopwalk::lab::stand_in::*;

/// Starts a simulated SCGI service: it gives each complete request to `answer`, writes what that returns and closes.
pub fn scgi_service(answer: impl Fn(&str, &[u8]) -> Vec<u8> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut len = Vec::new();
                reader.read_until(b':', &mut len).unwrap();
                let len: usize = std::str::from_utf8(&len[..len.len() - 1]).unwrap().parse().unwrap();
                let mut block = vec![0; len + 1];
                reader.read_exact(&mut block).unwrap();
                let block = String::from_utf8(block).unwrap();
                let fields: Vec<_> = block.split('\0').collect();
                assert_eq!((fields[0], &fields[2..4]), ("CONTENT_LENGTH", &["SCGI", "1"][..]));
                let mut body = vec![0; fields[1].parse().unwrap()];
                reader.read_exact(&mut body).unwrap();
                let _ = stream.write_all(&answer(&block, &body));
            });
        }
    });
    address
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Positions of the user and the system time among the fields of `/proc/PID/stat`, counted from the process state.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// The program as a process, with its configuration and the addresses where it listens.
pub struct Program {
    child: Child,
    pub http: SocketAddr,
    pub scgi: SocketAddr,
    pub admin: SocketAddr,
    log: Arc<Mutex<String>>,
    pub control: UdpSocket,
    /// Controls the injected system faults, if the program was started with a shim.
    faults: Option<Faults>,
    shim: Option<&'static Shim>,
    config: String,
    appliance: String,
    pub dir: Arc<ScratchDir>,
}

/// The parts of the configuration that a test sets.
#[derive(Default)]
pub struct Setup {
    pub agent: Option<SocketAddr>,
    /// Set instead of `agent` where the agent may not answer: the start does not wait for a link.
    pub unawaited_agent: Option<SocketAddr>,
    pub vault: Option<SocketAddr>,
    pub application: Option<SocketAddr>,
    pub below: Option<SocketAddr>,
    /// Changes to the site's settings: each a text and its replacement.
    pub site: Vec<(&'static str, &'static str)>,
    /// Further members of the appliance file.
    pub appliance: String,
    /// Descriptors that the program may hold.
    pub sockets: Option<usize>,
    /// Memory limit of the program in MB; by default none is stated.
    pub memory_mb: Option<usize>,
    /// Time from the stop signal to the kill.
    pub stop_ms: Option<u64>,
    /// The fault injection library to load into the program.
    pub shim: Option<&'static Shim>,
}

/// A temporary directory of a test, removed when it is dropped.
pub struct ScratchDir(PathBuf);

impl ScratchDir {
    pub fn new() -> Self {
        let n = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("hopwalk-test-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        Self(dir)
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for ScratchDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts the program's binary with these configuration texts in a new directory, without waiting for it to listen.
pub fn spawn_program(config: &str, appliance: &str) -> (Child, ScratchDir) {
    let dir = ScratchDir::new();
    (spawn_in(&dir, config, appliance, None).0, dir)
}

/// Like [`spawn_program`], in a directory that the process may share with processes started there earlier.
fn spawn_in(dir: &ScratchDir, config: &str, appliance: &str, shim: Option<&Shim>) -> (Child, Option<Faults>) {
    let (config_file, appliance_file) = (dir.path("config.json"), dir.path("appliance.json"));
    std::fs::write(&config_file, config).unwrap();
    std::fs::write(&appliance_file, appliance).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_hopwalk"));
    command
        .env("TMPDIR", &dir.0)
        .env("RELAY_CONFIG", config_file)
        .env("RELAY_APPLIANCE", appliance_file)
        .stderr(Stdio::piped());
    let faults = shim.map(|shim| shim.load(&mut command, &dir.path("faults")).unwrap());
    (command.spawn().unwrap(), faults)
}

impl Program {
    pub fn start(setup: Setup) -> Self {
        let control = UdpSocket::bind("127.0.0.1:0").unwrap();
        control.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut site = include_str!("../../src/lab/site.json").to_string();
        for (from, to) in setup.site {
            assert!(site.contains(from), "{from}");
            site = site.replace(from, to);
        }
        let address =
            |key: &str, at: Option<SocketAddr>| at.map_or(String::new(), |at| format!("\"{key}\":\"{at}\","));
        let config = format!(
            r#"{{"name":"n7","listen":"127.0.0.1:0","admin":"127.0.0.1:0","control":"{}",{}{}"seed":"1f","limits":{{{}"sockets":{}}},"stop_ms":{},"settings":{site}}}"#,
            control.local_addr().unwrap(),
            address("agent", setup.agent.or(setup.unawaited_agent)),
            address("vault", setup.vault),
            setup.memory_mb.map_or(String::new(), |mb| format!(r#""memory_mb":{mb},"#)),
            setup.sockets.unwrap_or(1024),
            setup.stop_ms.unwrap_or(3200),
        );
        let scgi = format!(
            r#"{{"scgi":{{{}{}"listen":"127.0.0.1:0"}}{}}}"#,
            address("application", setup.application),
            address("below", setup.below),
            setup.appliance,
        );
        let program = Self::spawn(config, scgi, Arc::new(ScratchDir::new()), control, setup.shim);
        if setup.agent.is_some() {
            program.wait_for_log("linked to the agent");
        }
        program
    }

    fn spawn(
        config: String,
        appliance: String,
        dir: Arc<ScratchDir>,
        control: UdpSocket,
        shim: Option<&'static Shim>,
    ) -> Self {
        let (mut child, faults) = spawn_in(&dir, &config, &appliance, shim);
        let log = Arc::new(Mutex::new(String::new()));
        let (lines, logged) = (BufReader::new(child.stderr.take().unwrap()), log.clone());
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                logged.lock().unwrap().push_str(&(line + "\n"));
            }
        });
        let mut program = Self {
            child,
            http: ([127, 0, 0, 1], 0).into(),
            scgi: ([127, 0, 0, 1], 0).into(),
            admin: ([127, 0, 0, 1], 0).into(),
            log,
            control,
            faults,
            shim,
            config,
            appliance,
            dir,
        };
        program.http = program.logged_address("takes HTTP on ");
        program.scgi = program.logged_address("takes SCGI on ");
        program.admin = program.logged_address("takes operators' calls on ");
        program
    }

    /// Starts a new version of this program, with the same addresses except the admin endpoint's and the agent's, and
    /// waits for the handover.
    pub fn successor(&self, from: &Agent, to: &Agent) -> Self {
        let fixed = |text: &str, at: SocketAddr| {
            text.replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{at}""#))
        };
        let config =
            fixed(&self.config, self.http).replace(&from.address.to_string(), &to.address.to_string());
        let control = self.control.try_clone().unwrap();
        let program =
            Self::spawn(config, fixed(&self.appliance, self.scgi), self.dir.clone(), control, self.shim);
        wait_for("the handover", || program.admin_status("GET", "/ready") == 200);
        program
    }

    /// Starts a new version of this program whose agent does not answer, so that it does not take over. Returns the
    /// process and its admin endpoint.
    pub fn waiting_successor(&self, from: &Agent, appliance: &str) -> (Child, SocketAddr) {
        let config =
            self.config.replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{}""#, self.http));
        let config = config.replace(&from.address.to_string(), &gone().to_string());
        let mut child = spawn_in(&self.dir, &config, appliance, None).0;
        let prefix = "takes operators' calls on ";
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let line = lines.find(|line| line.contains(prefix)).expect("the admin endpoint");
        // A process that cannot write its log would end.
        thread::spawn(move || lines.for_each(drop));
        (child, line.split_once(prefix).unwrap().1.parse().unwrap())
    }

    fn logged_address(&self, prefix: &str) -> SocketAddr {
        self.wait_for_log(prefix);
        let log = self.log();
        log.lines().find_map(|l| l.split_once(prefix)).unwrap().1.parse().unwrap()
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    pub fn wait_for_log(&self, text: &str) {
        wait_for(&format!("'{text}' in the log"), || self.log().contains(text));
    }

    /// Sends a request to the admin endpoint and returns the status of the answer.
    pub fn admin_status(&self, method: &str, path: &str) -> u16 {
        exchange(self.admin, format!("{method} {path} HTTP/1.1\r\nHost: t\r\n\r\n").as_bytes()).status
    }

    /// Controls the injected system faults.
    pub fn faults(&self) -> &Faults {
        self.faults.as_ref().expect("a program that was started with a shim")
    }

    /// Number of descriptors that the program holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Sets how many descriptors the system lets the program hold.
    pub fn limit_descriptors(&self, max: usize) {
        let pid = self.child.id().to_string();
        let set = Command::new("prlimit").args(["--pid", &pid, &format!("--nofile={max}:4096")]).status();
        assert!(set.unwrap().success());
    }

    /// Resident memory of the program, in kilobytes.
    pub fn resident_kb(&self) -> u64 {
        self.memory_kb("VmRSS:")
    }

    /// The most resident memory that the program has had, in kilobytes.
    pub fn peak_resident_kb(&self) -> u64 {
        self.memory_kb("VmHWM:")
    }

    /// Resident memory that belongs to the program alone, in kilobytes.
    pub fn anonymous_kb(&self) -> u64 {
        self.memory_kb("RssAnon:")
    }

    fn memory_kb(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix(field)).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(sent.unwrap().success());
    }

    /// Stops the process with SIGSTOP until [`Program::resume`], and waits until it has stopped.
    pub fn pause(&self) {
        self.signal("STOP");
        wait_for("the stop", || self.state() == Some('T'));
    }

    /// Lets a paused process continue.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// The letter of the process state in `/proc/PID/stat`.
    fn state(&self) -> Option<char> {
        self.stat().first()?.chars().next()
    }

    /// Processor time that the process has used, in the system's ticks of 10 ms.
    pub fn processor_ticks(&self) -> u64 {
        let stat = self.stat();
        let ticks = |at: usize| stat[at].parse::<u64>().unwrap();
        ticks(USER_TICKS_FIELD) + ticks(SYSTEM_TICKS_FIELD)
    }

    /// Fields of `/proc/PID/stat` from the process state on.
    fn stat(&self) -> Vec<String> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields = stat.rsplit_once(") ").map_or("", |(_, fields)| fields);
        fields.split(' ').map(str::to_string).collect()
    }

    /// Replaces the configuration file and has the program read it.
    pub fn reload(&self, changes: &[(String, String)]) {
        self.write_config(changes);
        self.signal("HUP");
    }

    /// Replaces the configuration file.
    pub fn write_config(&self, changes: &[(String, String)]) {
        let change = |config: String, (from, to): &(String, String)| config.replace(from, to);
        let config = changes.iter().fold(self.config.clone(), change);
        assert_ne!(config, self.config);
        std::fs::write(self.dir.path("config.json"), config).unwrap();
    }

    /// Waits for the process to end and returns its exit status.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the end of the program", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// Value of a counter, which the program logs on SIGUSR1.
    pub fn counter(&self, name: &str) -> u64 {
        let before = self.log().matches("counters: ").count();
        self.signal("USR1");
        wait_for("the counters", || self.log().matches("counters: ").count() > before);
        let log = self.log();
        let line = log.lines().rfind(|l| l.contains("counters: ")).unwrap();
        let value = line.split(' ').find_map(|w| w.strip_prefix(&format!("{name}=")));
        value.map_or(0, |n| n.parse().unwrap())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A request that a test sends to the program.
#[derive(Clone)]
pub struct Request {
    pub class: &'static str,
    pub key: Option<String>,
    /// The value of `X-Request-Start`; the current time if absent.
    pub start_ms: Option<u64>,
    pub timeout_ms: u64,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(class: &'static str, body: &[u8]) -> Self {
        Self { class, key: None, start_ms: None, timeout_ms: 1500, body: body.to_vec() }
    }

    pub fn keyed(key: &str, body: &[u8]) -> Self {
        Self { key: Some(key.to_string()), ..Self::new("lobby-confirm", body) }
    }

    fn fields(&self) -> Vec<(&'static str, String)> {
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let mut fields = vec![
            ("X-Request-Id", id),
            ("X-Request-Start", self.start_ms.unwrap_or_else(unix_ms).to_string()),
            ("X-Timeout-Ms", self.timeout_ms.to_string()),
            ("X-Memory-Kb", "40".to_string()),
            ("X-Rank", if self.key.is_some() { "0.8" } else { "0.1" }.to_string()),
        ];
        fields.extend(self.key.iter().map(|key| ("Idempotency-Key", key.clone())));
        fields
    }

    pub fn http(&self) -> Vec<u8> {
        let mut head = format!("POST /do/{} HTTP/1.1\r\nHost: t\r\n", self.class);
        for (name, value) in self.fields() {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        [head.as_bytes(), &self.body].concat()
    }

    pub fn scgi(&self) -> Vec<u8> {
        let fields = self.fields().into_iter();
        let fields: Vec<_> =
            fields.map(|(n, v)| (format!("HTTP_{}", n.to_uppercase().replace('-', "_")), v)).collect();
        let uri = format!("/do/{}", self.class);
        let mut all = vec![("REQUEST_METHOD", "POST"), ("REQUEST_URI", uri.as_str())];
        all.extend(fields.iter().map(|(n, v)| (n.as_str(), v.as_str())));
        hopwalk::net::scgi::encode_request(&all, &self.body)
    }
}

/// An answer of the program.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// Reads one answer of either frontend, to the length that it states.
pub fn read_answer(stream: &mut impl Read) -> Answer {
    let (mut bytes, mut one) = (Vec::new(), [0]);
    while !bytes.ends_with(b"\r\n\r\n") {
        // Unlike a plain read, `read_exact` continues after an interrupted system call.
        let read = stream.read_exact(&mut one);
        read.unwrap_or_else(|e| panic!("{e} after {:?}", String::from_utf8_lossy(&bytes)));
        bytes.push(one[0]);
    }
    let head = String::from_utf8(bytes).unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let len = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).unwrap().parse().unwrap();
    let mut body = vec![0; len];
    stream.read_exact(&mut body).unwrap();
    Answer { status, head, body }
}

/// Sends bytes on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> Answer {
    let mut stream = connect(address);
    stream.write_all(bytes).unwrap();
    read_answer(&mut stream)
}

/// Returns true if the peer has closed the connection and nothing is left to read.
pub fn is_closed(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0]), Ok(0))
}
