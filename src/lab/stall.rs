//! A probe of the machine: a thread on each processor of this process sleeps and looks how much later than asked it runs
//! again. On a machine that is short of processor time, or whose host takes it away, one processor may keep a thread for
//! seconds while others run; no process answers in time there. What the probe sees goes to the history as `stall`.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use nix::sched::{sched_getaffinity, sched_setaffinity, CpuSet};
use nix::unistd::Pid;

use super::history::{Event, Recorder};

/// How long a probe sleeps.
const NAP: Duration = Duration::from_millis(10);
/// A processor that keeps a thread this long is told of; half the site's slack.
pub const LEAST: Duration = Duration::from_millis(50);

/// A processor that ran a probe `woke` after it went to sleep at `slept`: for how long it kept it, if that is long.
fn kept(slept: Instant, woke: Instant) -> Option<Duration> {
    Some(woke.saturating_duration_since(slept).saturating_sub(NAP)).filter(|late| *late >= LEAST)
}

/// Starts the probes; they end a moment after `running` is lowered.
pub fn watch(history: &Recorder, running: &Arc<AtomicBool>) {
    let Ok(allowed) = sched_getaffinity(Pid::from_raw(0)) else { return };
    for cpu in (0..CpuSet::count()).filter(|cpu| allowed.is_set(*cpu).unwrap_or(false)) {
        let (history, running) = (history.clone(), running.clone());
        thread::spawn(move || {
            let mut own = CpuSet::new();
            if own.set(cpu).and_then(|()| sched_setaffinity(Pid::from_raw(0), &own)).is_err() {
                return;
            }
            while running.load(Ordering::Relaxed) {
                let slept = Instant::now();
                thread::sleep(NAP);
                if let Some(late) = kept(slept, Instant::now()) {
                    history.record(Event::Stall { cpu: cpu as u64, ms: late.as_millis() as u64 });
                }
            }
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_long_stay_is_told() {
        let slept = Instant::now();
        assert_eq!(kept(slept, slept + NAP + LEAST - Duration::from_millis(1)), None);
        assert_eq!(kept(slept, slept + NAP + LEAST), Some(LEAST));
        assert_eq!(kept(slept, slept), None);
    }
}
