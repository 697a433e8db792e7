//! The lab's history: one JSON line for every send and answer of a caller, every run below, every fault and
//! every start and end of a process. Lines are written by `tracing-subscriber`'s JSON layer on a thread of their
//! own behind a bounded queue, so that no caller's coroutine waits on a file.
//!
//! Schema (all lines): `t_ms` (milliseconds since the lab began, one monotonic clock) and `event`, then
//! - `send`: `id`, `to` (matcher), `class`, `key` (empty when none), `due_ms` (the caller's deadline, `t_ms` scale);
//! - `answer`: `id`, `status` (HTTP status of the final answer); where the net noted them, `handed_ms` (the net handed
//!   the request's last bytes to the matcher) and `came_ms` (the net had read the answer's last bytes from it);
//! - `gone`: `id`, `why` (the connection ended or the caller stopped waiting, with no answer);
//! - `run`: `id`, `key`, `by` (the agent that started it), `handle`;
//! - `changed`: `by` (the agent that was told so, or the vault), `handle`, `what` (it begins with the kind: `class` or `body`: a
//!   launch is not that of its request; `reply`: a run got the reply to another call; `reply_again`, `reply_late`: a run that
//!   waits for nothing got a second reply to a call, or one to a call that it skipped; `again`: what must run once was launched
//!   twice; `call_again`: a call of what must run once was made again after it ran);
//! - `not_taken`: `id`, `why` (the request never reached the matcher: its connection was refused, or crossed a close of the
//!   matcher's within the time in which gateways send it again; where it is sent again, that is a try with an id of its own);
//! - `brought`: `id`, `at_ms` (the load tool, or its net, wrote the request's last bytes to the matcher only then: 20 ms or
//!   more after it noted it as sent); `not_handed_on`: `id` (the net wrote none of it, or not all);
//! - `run_delay`: `of` (matcher), `from_ms`, `ms` (from then up to `t_ms` its threads together waited so long for a processor);
//! - `echo`: `ms` (the load tool took so long to ask and hear a stand-in of its own, up to `t_ms`);
//! - `process`: `name`, `what` (`spawn`, `start` once callers reach it, `stop` at the notice to leave, `stop_kill` at the
//!   platform's kill after it, any other `kill`, `pause`, `continue`, `exit`, and the names of further signals);
//! - `fault`: `kind`, `target`, `phase` (`start` or `end`); between members of a fleet the target names the ways, as
//!   `m1>m4` with a blank between two, and `kind` is `datagrams`, or `datagrams_cut` when nothing passes; either end lifts both;
//! - `view`: `of` (matcher), `seen` (who it sees in its fleet, as `name:incarnation=state` with a blank between two; when
//!   that changed, looked at every 50 ms), `counts` (what its part in the fleet counted, as `name=number`);
//! - `stall`: `cpu`, `ms` (a thread on that processor ran so much later than it asked to, up to `t_ms`);
//! - `call`: `service`, `id` (the handle of the run, which is the id of the try that began it), `key` (empty when none),
//!   `turn` and `version` (0 for the configuration's own vault), `taken` (0: refused as stale), `t_us` (microseconds since
//!   the lab began, when its line was read);
//! - `order`: `at` (matcher), `what` (the operators' call), `status`, `told` (what came back);
//! - `switched`: `of` (matcher), `turn`, `version`, `leased` (0: it may not act on it yet), `t_us` (when it switched,
//!   by its own log);
//! - `dropped`: `count` (lines that did not fit the queue; a history with any is incomplete).

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tinyjson::JsonValue;
use tracing::info;

use super::error::{HistoryError, LineError};

/// What happens to a process that is killed at the stop that it was told of.
pub const STOP_KILL: &str = "stop_kill";
/// The kind of a fault that lets nothing pass between members of a fleet.
pub const PEERS_CUT: &str = "datagrams_cut";

/// Lines that may wait for the writer; past it they are counted as dropped.
pub const QUEUE: usize = 1 << 18;

/// When a request and its answer passed the fault net, at the matcher's side of it, in milliseconds since the lab
/// began. What lies before `handed_ms` and after `came_ms` is the lab's own time, and not the matcher's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Passed {
    /// The request's last bytes were about to be handed to the matcher.
    pub handed_ms: u64,
    /// The answer's last bytes were read from the matcher.
    pub came_ms: u64,
}

/// One line of the history, as the lab records it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller sent a request.
    Send { id: String, to: String, class: String, key: String, due_ms: u64 },
    /// A caller got its final answer; `passed` where it came through the net.
    Answer { id: String, status: u16, passed: Option<Passed> },
    /// A caller got no answer.
    Gone { id: String, why: String },
    /// A request never reached its matcher.
    NotTaken { id: String, why: String },
    /// The load tool, or its net, brought the last bytes of a request only at `at_ms`.
    Brought { id: String, at_ms: u64 },
    /// The net handed nothing whole of a request on.
    NotHandedOn { id: String },
    /// Since `from_ms`, the threads of a matcher together waited `ms` for a processor.
    RunDelay { of: String, from_ms: u64, ms: u64 },
    /// The load tool took `ms` up to now to ask a stand-in of its own and to hear the answer.
    Echo { ms: u64 },
    /// An agent began a run.
    Run { id: String, key: String, by: String, handle: String },
    /// An agent was told what it must not be told: something came changed, or came again.
    Changed { by: String, handle: String, what: String },
    /// Something happened to a process.
    Process { name: String, what: String },
    /// A fault began or ended.
    Fault { kind: String, target: String, phase: String },
    /// A matcher sees its fleet otherwise than before.
    View { of: String, seen: String, counts: String },
    /// The machine kept a thread on processor `cpu` for `ms` up to now.
    Stall { cpu: u64, ms: u64 },
    /// A service below was asked under a version of the route table.
    Call { service: String, id: String, key: String, turn: u64, version: u64, taken: bool, t_us: u64 },
    /// An operator ordered something, and was told this.
    Order { at: String, what: String, status: u16, told: String },
    /// A matcher went over to a version.
    Switched { of: String, turn: u64, version: u64, leased: bool, t_us: u64 },
    /// Lines the queue had no room for.
    Dropped { count: u64 },
}

/// A line with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub t_ms: u64,
    pub event: Event,
}

/// Takes events from any thread or coroutine, never blocking it.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    began_unix: SystemTime,
    queue: SyncSender<Option<Record>>,
    dropped: Arc<AtomicU64>,
    writer: Arc<Mutex<Option<std::thread::JoinHandle<()>>>>,
}

impl Recorder {
    /// Writes to `path`, which is made anew.
    pub fn create(path: &Path) -> Result<Self, HistoryError> {
        let at = || path.to_path_buf();
        let file = File::create(path).map_err(|source| HistoryError::File { path: at(), source })?;
        let (queue, lines) = sync_channel(QUEUE);
        let writer = std::thread::Builder::new()
            .name("lab-history".into())
            .spawn(move || write_all(file, lines))
            .map_err(|source| HistoryError::Writer { source })?;
        let writer = Arc::new(Mutex::new(Some(writer)));
        let (began, began_unix) = (Instant::now(), SystemTime::now());
        Ok(Self { began, began_unix, queue, dropped: Arc::default(), writer })
    }

    /// Milliseconds since the lab began.
    pub fn now_ms(&self) -> u64 {
        self.ms(Instant::now())
    }

    /// A moment in milliseconds since the lab began.
    pub fn ms(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.began).as_millis() as u64
    }

    /// Microseconds since the lab began.
    pub fn now_us(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    /// A moment on the system's clock, since the Unix epoch, in microseconds since the lab began.
    pub fn at_unix(&self, at: Duration) -> u64 {
        (UNIX_EPOCH + at).duration_since(self.began_unix).map_or(0, |since| since.as_micros() as u64)
    }

    pub fn record(&self, event: Event) {
        let record = Record { t_ms: self.now_ms(), event };
        if let Err(TrySendError::Full(_)) = self.queue.try_send(Some(record)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes what is queued and the count of dropped lines, and waits for the file. Clones that stand-ins
    /// still hold may go on recording; what they say after this is not written.
    pub fn finish(self) {
        let count = self.dropped.load(Ordering::Relaxed);
        if count > 0 {
            let _ = self.queue.send(Some(Record { t_ms: self.now_ms(), event: Event::Dropped { count } }));
        }
        let writer = self.writer.lock().map(|mut w| w.take()).unwrap_or(None);
        let _ = self.queue.send(None);
        if let Some(writer) = writer {
            let _ = writer.join();
        }
    }
}

fn write_all(file: File, lines: Receiver<Option<Record>>) {
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .without_time()
        .with_target(false)
        .with_level(false)
        .with_writer(Mutex::new(file))
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        for Record { t_ms, event } in lines.iter().map_while(|line| line) {
            emit(t_ms, event);
        }
    });
}

fn emit(t_ms: u64, event: Event) {
    match event {
        Event::Send { id, to, class, key, due_ms } => {
            info!(t_ms, event = "send", id, to, class, key, due_ms)
        }
        Event::Answer { id, status, passed: Some(Passed { handed_ms, came_ms }) } => {
            info!(t_ms, event = "answer", id, status, handed_ms, came_ms)
        }
        Event::Answer { id, status, passed: None } => info!(t_ms, event = "answer", id, status),
        Event::Gone { id, why } => info!(t_ms, event = "gone", id, why),
        Event::NotTaken { id, why } => info!(t_ms, event = "not_taken", id, why),
        Event::Echo { ms } => info!(t_ms, event = "echo", ms),
        Event::RunDelay { of, from_ms, ms } => info!(t_ms, event = "run_delay", of, from_ms, ms),
        Event::Brought { id, at_ms } => info!(t_ms, event = "brought", id, at_ms),
        Event::NotHandedOn { id } => info!(t_ms, event = "not_handed_on", id),
        Event::Run { id, key, by, handle } => info!(t_ms, event = "run", id, key, by, handle),
        Event::Changed { by, handle, what } => info!(t_ms, event = "changed", by, handle, what),
        Event::Process { name, what } => info!(t_ms, event = "process", name, what),
        Event::Fault { kind, target, phase } => info!(t_ms, event = "fault", kind, target, phase),
        Event::View { of, seen, counts } => info!(t_ms, event = "view", of, seen, counts),
        Event::Stall { cpu, ms } => info!(t_ms, event = "stall", cpu, ms),
        Event::Call { service, id, key, turn, version, taken, t_us } => {
            let taken = u64::from(taken);
            info!(t_ms, event = "call", service, id, key, turn, version, taken, t_us)
        }
        Event::Order { at, what, status, told } => info!(t_ms, event = "order", at, what, status, told),
        Event::Switched { of, turn, version, leased, t_us } => {
            let leased = u64::from(leased);
            info!(t_ms, event = "switched", of, turn, version, leased, t_us)
        }
        Event::Dropped { count } => info!(t_ms, event = "dropped", count),
    }
}

/// Reads one line. A line that is no record of this schema is an error naming what is wrong.
pub fn parse_line(line: &str) -> Result<Record, LineError> {
    let json = crate::json::parse(line)?;
    let fields: &HashMap<String, JsonValue> = json.get().ok_or(LineError::NoObject)?;
    let text = |key: &'static str| -> Result<String, LineError> {
        match fields.get(key) {
            Some(JsonValue::String(s)) => Ok(s.clone()),
            _ => Err(LineError::NoText { key }),
        }
    };
    let number = |key: &'static str| -> Result<u64, LineError> {
        match fields.get(key) {
            Some(JsonValue::Number(n)) if *n >= 0.0 && n.fract() == 0.0 && *n < 9e15 => Ok(*n as u64),
            _ => Err(LineError::NoNumber { key }),
        }
    };
    let status = || u16::try_from(number("status")?).map_err(|_| LineError::Status);
    let t_ms = number("t_ms")?;
    let event = match text("event")?.as_str() {
        "send" => Event::Send {
            id: text("id")?,
            to: text("to")?,
            class: text("class")?,
            key: text("key")?,
            due_ms: number("due_ms")?,
        },
        "answer" => {
            let noted = fields.contains_key("handed_ms") || fields.contains_key("came_ms");
            let passed = || {
                Ok::<_, LineError>(Passed { handed_ms: number("handed_ms")?, came_ms: number("came_ms")? })
            };
            Event::Answer { id: text("id")?, status: status()?, passed: noted.then(passed).transpose()? }
        }
        "gone" => Event::Gone { id: text("id")?, why: text("why")? },
        "not_taken" => Event::NotTaken { id: text("id")?, why: text("why")? },
        "echo" => Event::Echo { ms: number("ms")? },
        "run_delay" => Event::RunDelay { of: text("of")?, from_ms: number("from_ms")?, ms: number("ms")? },
        "brought" => Event::Brought { id: text("id")?, at_ms: number("at_ms")? },
        "not_handed_on" => Event::NotHandedOn { id: text("id")? },
        "run" => Event::Run { id: text("id")?, key: text("key")?, by: text("by")?, handle: text("handle")? },
        "changed" => Event::Changed { by: text("by")?, handle: text("handle")?, what: text("what")? },
        "process" => Event::Process { name: text("name")?, what: text("what")? },
        "fault" => Event::Fault { kind: text("kind")?, target: text("target")?, phase: text("phase")? },
        "view" => Event::View { of: text("of")?, seen: text("seen")?, counts: text("counts")? },
        "stall" => Event::Stall { cpu: number("cpu")?, ms: number("ms")? },
        "call" => Event::Call {
            service: text("service")?,
            id: text("id")?,
            key: text("key")?,
            turn: number("turn")?,
            version: number("version")?,
            taken: number("taken")? > 0,
            t_us: number("t_us")?,
        },
        "order" => {
            Event::Order { at: text("at")?, what: text("what")?, status: status()?, told: text("told")? }
        }
        "switched" => Event::Switched {
            of: text("of")?,
            turn: number("turn")?,
            version: number("version")?,
            leased: number("leased")? > 0,
            t_us: number("t_us")?,
        },
        "dropped" => Event::Dropped { count: number("count")? },
        other => return Err(LineError::Event { event: other.into() }),
    };
    Ok(Record { t_ms, event })
}

/// Lines of a file that were no records: their numbers and what is wrong with them.
pub type Bad = Vec<(usize, LineError)>;

/// Reads a history file: its records, and the lines that were none.
pub fn read(path: &Path) -> Result<(Vec<Record>, Bad), HistoryError> {
    let at = || path.to_path_buf();
    let file = File::open(path).map_err(|source| HistoryError::File { path: at(), source })?;
    let (mut records, mut bad) = (Vec::new(), Vec::new());
    for (n, line) in BufReader::new(file).lines().enumerate() {
        let line = line.map_err(|source| HistoryError::Line { path: at(), line: n + 1, source })?;
        if line.trim().is_empty() {
            continue;
        }
        match parse_line(&line) {
            Ok(record) => records.push(record),
            Err(e) => bad.push((n + 1, e)),
        }
    }
    Ok((records, bad))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_written_reads_back_the_same() {
        let dir = std::env::temp_dir().join(format!("hopwalk-history-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let path = dir.join("h.jsonl");
        let recorder = Recorder::create(&path).unwrap();
        let events = vec![
            Event::Send {
                id: "a\"1".into(),
                to: "m1".into(),
                class: "c".into(),
                key: String::new(),
                due_ms: 9,
            },
            Event::Answer { id: "a\"1".into(), status: 503, passed: None },
            Event::Answer { id: "b".into(), status: 200, passed: Some(Passed { handed_ms: 3, came_ms: 8 }) },
            Event::Run { id: "a".into(), key: "k".into(), by: "agent-m1".into(), handle: "h".into() },
            Event::Changed { by: "agent-m1".into(), handle: "h".into(), what: "reply".into() },
            Event::Process { name: "m1".into(), what: "kill".into() },
            Event::Stall { cpu: 3, ms: 250 },
            Event::NotTaken { id: "c".into(), why: "refused".into() },
            Event::Echo { ms: 60 },
            Event::RunDelay { of: "m1".into(), from_ms: 5, ms: 30 },
            Event::Brought { id: "c".into(), at_ms: 70 },
            Event::NotHandedOn { id: "c".into() },
            Event::Fault { kind: "cut".into(), target: "m1-vault".into(), phase: "start".into() },
            Event::Call {
                service: "b".into(),
                id: "a".into(),
                key: "k".into(),
                turn: 2,
                version: 1,
                taken: false,
                t_us: 12_345,
            },
            Event::Order { at: "m1".into(), what: "abort".into(), status: 409, told: "{\"a\":1}".into() },
            Event::Switched { of: "m1".into(), turn: 2, version: 1, leased: true, t_us: 9 },
        ];
        events.iter().cloned().for_each(|e| recorder.record(e));
        recorder.finish();
        let (records, bad) = read(&path).unwrap();
        assert!(bad.is_empty(), "{bad:?}");
        assert_eq!(records.into_iter().map(|r| r.event).collect::<Vec<_>>(), events);
        std::fs::remove_dir_all(dir).unwrap();
    }

    #[test]
    fn a_foreign_line_is_named_not_taken() {
        assert!(parse_line(r#"{"t_ms":1,"event":"sned"}"#).unwrap_err().to_string().contains("sned"));
        assert!(parse_line(r#"{"t_ms":-1,"event":"dropped","count":1}"#)
            .unwrap_err()
            .to_string()
            .contains("t_ms"));
        assert!(parse_line(r#"{"t_ms":1,"event":"answer","id":"x","status":70000}"#).is_err());
        assert!(parse_line(r#"{"t_ms":1,"event":"answer","id":"x","status":200,"came_ms":3}"#).is_err());
        assert!(parse_line("[[[").is_err());
    }
}
