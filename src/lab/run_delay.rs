//! How long the system kept a matcher's threads waiting for a processor, by its own books (`/proc/PID/task/*/schedstat`):
//! on a machine that is short of processor time no matcher answers in time. A probe that sleeps does not see this, as the
//! system runs who has slept at once, and lets those wait that work.

use std::collections::HashMap;
use std::fs;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::history::{Event, Recorder};

/// Time between two looks.
const PERIOD: Duration = Duration::from_millis(25);
/// Threads of a process that waited less than this between two looks, all together, are not told of.
const LEAST: Duration = Duration::from_millis(2);

/// The process of a matcher, which changes as it is started again; 0 before the first start.
pub type ProcessId = Arc<AtomicU32>;

/// How long each thread of a process has waited for a processor since it began, in nanoseconds.
fn waits_of(process: u32) -> HashMap<String, u64> {
    let Ok(tasks) = fs::read_dir(format!("/proc/{process}/task")) else { return HashMap::new() };
    let wait = |task: fs::DirEntry| {
        let books = fs::read_to_string(task.path().join("schedstat")).ok()?;
        let waited = parse(&books)?;
        Some((task.file_name().into_string().ok()?, waited))
    };
    tasks.flatten().filter_map(wait).collect()
}

/// The second of the three numbers of a thread's books: nanoseconds that it waited.
pub fn parse(books: &str) -> Option<u64> {
    books.split_whitespace().nth(1)?.parse().ok()
}

/// Watches the processes of matchers, by their names; ends a moment after `running` is lowered.
pub fn watch(history: &Recorder, matchers: Vec<(String, ProcessId)>, running: &Arc<AtomicBool>) {
    let (history, running) = (history.clone(), running.clone());
    thread::spawn(move || {
        let mut before: HashMap<String, HashMap<String, u64>> = HashMap::new();
        let mut from_ms = history.now_ms();
        while running.load(Ordering::Relaxed) {
            thread::sleep(PERIOD);
            for (name, process) in &matchers {
                let now = waits_of(process.load(Ordering::Relaxed));
                let last = before.entry(name.clone()).or_default();
                // A thread that is new has waited since it began.
                let waited =
                    |(task, ns): (&String, &u64)| ns.saturating_sub(last.get(task).copied().unwrap_or(0));
                let waited = Duration::from_nanos(now.iter().map(waited).sum());
                *last = now;
                if waited >= LEAST {
                    let (of, ms) = (name.clone(), waited.as_millis() as u64);
                    history.record(Event::RunDelay { of, from_ms, ms });
                }
            }
            from_ms = history.now_ms();
        }
    });
}
