//! A matcher of a lab: a process of this program, with its configuration, its log and its signals.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use super::history::{Event, Recorder, STOP_KILL};
use super::routes::LabError;
use super::run_delay::ProcessId;
use super::shim::{Dial, Faults as SystemFaults, Shim};

/// What matchers log: of the replicated log's own words only what this program says of them.
const LOG: &str = "info,openraft=off";

/// What a matcher of a lab logs, unless `LAB_MATCHER_LOG` says otherwise.
pub(super) fn logs() -> String {
    std::env::var("LAB_MATCHER_LOG").unwrap_or_else(|_| LOG.into())
}

/// Log lines of a matcher kept for an error.
const LOG_KEPT: usize = 64;
/// How long a matcher may take to start, and to end after SIGTERM.
const START: Duration = Duration::from_secs(15);
const STOP: Duration = Duration::from_secs(8);
/// A notice that went out this much later than planned puts its kill off by as much.
const KILL_TOLERANCE: Duration = Duration::from_millis(100);

/// A matcher logs this where it withheld something that a rule forbids.
const VIOLATION: &str = "violation: ";

/// Takes a line of a matcher's log.
pub(super) type Heard = Arc<dyn Fn(&str) + Send + Sync>;

pub(super) struct Matcher {
    pub name: String,
    pub config: String,
    pub folder: PathBuf,
    /// The temporary folder, where it is not its own: that of a process which hands over to this one.
    pub beside: Option<PathBuf>,
    /// Is told of each line of the log.
    pub heard: Option<Heard>,
    pub child: Option<Child>,
    /// The process that was started last.
    pub process: ProcessId,
    pub starts: u32,
    pub log: Arc<Mutex<VecDeque<String>>>,
    pub http: SocketAddr,
    /// The part of the appliance's file.
    pub appliance: String,
    /// The operators' door of its newest process.
    pub door: Arc<Mutex<Option<SocketAddr>>>,
    pub paused: bool,
    /// When its newest process was told to leave.
    pub told_to_stop: Option<Instant>,
    /// What it logs.
    pub logs: String,
    /// A library of faults of the system that its processes are started with.
    pub shim: Option<Shim>,
    /// What steers it; a process that is started again finds it as it was.
    pub faults: Option<SystemFaults>,
}

impl Matcher {
    /// The folder of its newest process.
    pub fn dir(&self) -> PathBuf {
        self.folder.join(format!("{}-{}", self.name, self.starts))
    }

    /// Starts a process and waits until it serves.
    pub fn start(&mut self, program: &Path, history: &Recorder) -> Result<(), LabError> {
        let listening = self.spawn(program, history)?;
        match listening.recv_timeout(START) {
            Ok(at) => {
                self.http = at;
                Ok(())
            }
            Err(_) => Err(self.wrong(format!("did not start: {}", self.last_log()))),
        }
    }

    /// Starts a process; where it takes callers comes once it does, and has its agent.
    pub fn spawn(
        &mut self,
        program: &Path,
        history: &Recorder,
    ) -> Result<mpsc::Receiver<SocketAddr>, LabError> {
        self.starts += 1;
        self.told_to_stop = None;
        // A folder of its own for each start: a new process must not take the handover socket for a version
        // that runs beside it.
        let dir = self.dir();
        let file = |source| LabError::File { path: dir.clone(), source };
        std::fs::create_dir_all(&dir).map_err(file)?;
        let (config, appliance) = (dir.join("config.json"), dir.join("appliance.json"));
        std::fs::write(&config, &self.config)
            .and_then(|_| std::fs::write(&appliance, &self.appliance))
            .map_err(file)?;
        // Started with no word, as the platform's `run` line starts it; older versions know no other.
        let mut command = Command::new(program);
        command
            .env("TMPDIR", self.beside.as_ref().unwrap_or(&dir))
            .env("RELAY_CONFIG", &config)
            .env("RELAY_APPLIANCE", &appliance)
            .env("RELAY_LOG", &self.logs)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        if let Some(shim) = &self.shim {
            let steering = self.folder.join(format!("{}-faults", self.name));
            self.faults = Some(shim.load(&mut command, &steering).map_err(file)?);
        }
        let mut child =
            command.spawn().map_err(|source| LabError::Program { path: program.to_path_buf(), source })?;
        let (found, listening) = mpsc::channel();
        let (log, stderr, door) = (self.log.clone(), child.stderr.take(), self.door.clone());
        let heard = self.heard.clone();
        let (name, recorder) = (self.name.clone(), history.clone());
        let mut kept = std::fs::File::create(dir.join("log.txt")).ok();
        thread::spawn(move || {
            let Some(stderr) = stderr else { return };
            let mut linked = false;
            let mut http = None;
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if let Some((_, at)) = line.split_once("takes HTTP on ") {
                    http = at.trim().parse::<SocketAddr>().ok();
                }
                if let Some((_, at)) = line.split_once("takes operators' calls on ") {
                    *door.lock().unwrap() = at.trim().parse().ok();
                }
                heard.iter().for_each(|heard| heard(&line));
                if line.contains(VIOLATION) {
                    let (by, handle) = (name.clone(), "-".to_string());
                    recorder.record(Event::Changed { by, handle, what: format!("violation {line}") });
                }
                linked |= line.contains("linked to the agent");
                if let (Some(at), true) = (http, linked) {
                    let _ = found.send(at);
                    linked = false;
                }
                if let Some(file) = kept.as_mut() {
                    use std::io::Write;
                    let _ = writeln!(file, "{line}");
                }
                let mut log = log.lock().unwrap();
                if log.len() == LOG_KEPT {
                    log.pop_front();
                }
                log.push_back(line);
            }
        });
        history.record(Event::Process { name: self.name.clone(), what: "spawn".into() });
        self.process.store(child.id(), Ordering::Relaxed);
        self.child = Some(child);
        Ok(listening)
    }

    fn wrong(&self, told: String) -> LabError {
        LabError::Process { name: self.name.clone(), told }
    }

    fn last_log(&self) -> String {
        self.log.lock().unwrap().iter().rev().take(3).cloned().collect::<Vec<_>>().join(" / ")
    }

    /// Turns dials of the system under it.
    pub(super) fn turn(&self, dials: &[(Dial, i64)]) -> Result<(), LabError> {
        let Some(faults) = &self.faults else { return Err(self.wrong("runs without a shim".into())) };
        for (dial, value) in dials {
            let file = |source| LabError::File { path: self.folder.clone(), source };
            faults.set(*dial, *value).map_err(file)?;
        }
        Ok(())
    }

    pub fn signal(&mut self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Sends SIGTERM: the drain begins.
    pub fn stop(&mut self, history: &Recorder) {
        if self.child.is_some() {
            self.signal(Signal::SIGTERM);
            history.record(Event::Process { name: self.name.clone(), what: "stop".into() });
        }
    }

    /// Sends one of a series of signals around the stop; the first SIGTERM is noted as the notice.
    pub fn signal_at_stop(&mut self, signal: Signal, history: &Recorder) {
        if self.child.is_none() {
            return;
        }
        self.signal(signal);
        let notice = signal == Signal::SIGTERM && self.told_to_stop.is_none();
        if notice {
            self.told_to_stop = Some(Instant::now());
        }
        let what = if notice { "stop" } else { signal.as_str() };
        history.record(Event::Process { name: self.name.clone(), what: what.into() });
    }

    /// Ends the process as the platform does, so long after the notice: with SIGKILL, unless it has ended well by itself.
    /// One that was started since, and was told later or not at all, goes on.
    pub fn kill_at_stop(&mut self, after: Duration, history: &Recorder) -> Option<LabError> {
        let told = self.told_to_stop?;
        let left = after.saturating_sub(told.elapsed());
        if left > KILL_TOLERANCE {
            return None;
        }
        thread::sleep(left);
        let mut child = self.child.take()?;
        if let Ok(Some(status)) = child.try_wait() {
            history.record(Event::Process { name: self.name.clone(), what: "exit".into() });
            return (!status.success()).then(|| self.wrong(format!("ended with {status}")));
        }
        // Before the kill: whoever hears of the end of a connection finds the reason in the history.
        history.record(Event::Process { name: self.name.clone(), what: STOP_KILL.into() });
        let _ = child.kill();
        let _ = child.wait();
        None
    }

    /// Waits for the exit after [`Matcher::stop`]; a process that does not end is killed, and that is said.
    pub fn wait(&mut self, history: &Recorder, since: Instant) -> Option<LabError> {
        let mut child = self.child.take()?;
        loop {
            match child.try_wait() {
                Ok(Some(status)) => {
                    history.record(Event::Process { name: self.name.clone(), what: "exit".into() });
                    return (!status.success()).then(|| self.wrong(format!("ended with {status}")));
                }
                Ok(None) if since.elapsed() < STOP => thread::sleep(Duration::from_millis(10)),
                _ => {
                    let _ = child.kill();
                    history.record(Event::Process { name: self.name.clone(), what: "kill".into() });
                    return Some(self.wrong(format!("did not end in {STOP:?} after SIGTERM")));
                }
            }
        }
    }
}

impl Drop for Matcher {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
