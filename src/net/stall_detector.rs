//! Notices that the process has stood still, such as by SIGSTOP or on a machine without processor time. No I/O.
//!
//! A signal that is sent meanwhile is read only afterwards. What counts from its sending then counts from the beginning
//! of the stall, the earliest time at which it may have been sent.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Between two heartbeats that are further apart than this, the process stood still.
const MIN_STALL: Duration = Duration::from_millis(200);
/// A signal that was sent during a stall is read within this time of its end.
const READ_DELAY: Duration = Duration::from_millis(200);

/// A time in which the process stood still.
#[derive(Clone, Copy, Debug)]
struct Stall {
    began: Duration,
    ended: Duration,
}

#[derive(Debug)]
struct State {
    last_heartbeat: Duration,
    last_stall: Option<Stall>,
}

/// Detects stalls by heartbeats.
#[derive(Debug)]
pub(super) struct StallDetector(Mutex<State>);

impl StallDetector {
    /// The process runs at `now`.
    pub(super) fn new(now: Duration) -> Self {
        Self(Mutex::new(State { last_heartbeat: now, last_stall: None }))
    }

    /// Records that the process runs at `now`. Must be called regularly.
    pub(super) fn heartbeat(&self, now: Duration) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let began = std::mem::replace(&mut state.last_heartbeat, now);
        if now.saturating_sub(began) >= MIN_STALL {
            state.last_stall = Some(Stall { began, ended: now });
        }
    }

    /// The earliest time at which a signal may have been sent that is read at `now`.
    pub(super) fn earliest_sending(&self, now: Duration) -> Duration {
        self.heartbeat(now);
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let recent = state.last_stall.filter(|stall| now.saturating_sub(stall.ended) <= READ_DELAY);
        recent.map_or(now, |stall| stall.began)
    }
}

#[cfg(test)]
mod tests;
