//! Decides when idle connections are closed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::secs;

/// Idle times after which connections may be closed, in seconds. More choices adapt more finely and cost CPU.
const TRIM_S: [f64; 6] = [0.1, 0.3, 1.0, 3.0, 10.0, 30.0];
/// Share of refusals among what is read at which a storm begins, and at which it ends. No idle connection is closed
/// in a storm.
const STORM: (f64, f64) = (0.5, 0.25);
/// Opening a connection is assumed to cost as much as keeping one idle for this long. A higher value keeps more of
/// them open.
pub(super) const CONNECT_COST_S: f64 = 5.0;
/// Use of the cores below which a kept connection is not worth more.
pub(super) const MIN_CONNECT_USE: f64 = 0.2;
/// Weight of an arrival in the gain of each idle time, and in the share of refusals.
pub(super) const TRIM_WEIGHT: f64 = 0.02;

/// Chooses the idle time after which connections are closed: the one that would have saved the most, given the gaps
/// between the tries of each caller.
///
/// Closing idle connections guards against a full connection table, which takes CPU and keeps callers out. In a
/// storm, unless cores are idle, connections stay open: the full table then turns new callers away before their
/// requests are read.
#[derive(Clone, Debug, Default)]
pub(super) struct Connections {
    /// When each caller was last seen.
    pub(super) last_seen: BTreeMap<u32, Duration>,
    gain_s: [f64; TRIM_S.len()],
    /// Shares of refusals, and of marked retries among the arrivals.
    pub(super) refused: f64,
    pub(super) retried: f64,
    /// Callers use kept connections again: a longer idle time than the shortest pays.
    pub(super) reused: bool,
    /// Most requests are refused.
    pub(super) storm: bool,
    pub(super) sent: Option<Duration>,
}

impl Connections {
    pub(super) fn on_arrival(&mut self, caller: u32, retry: bool, cost_s: f64, now: Duration) {
        self.retried += TRIM_WEIGHT * (f64::from(u8::from(retry)) - self.retried);
        let gap = self.last_seen.insert(caller, now).map(|last| now.saturating_sub(last).as_secs_f64());
        for (gain, after) in self.gain_s.iter_mut().zip(TRIM_S) {
            let reused = gap.filter(|gap| *gap <= after);
            *gain += TRIM_WEIGHT * (reused.map_or(-after, |gap| cost_s - gap) - *gain);
        }
    }

    /// Returns the idle time after which connections are closed, if it changed.
    pub(super) fn trim(&mut self, longest: Duration, idle: bool) -> Option<Duration> {
        let best = (0..TRIM_S.len()).max_by(|a, b| self.gain_s[*a].total_cmp(&self.gain_s[*b]))?;
        self.reused = best > 0;
        self.storm = !idle && self.refused > if self.storm { STORM.1 } else { STORM.0 };
        let after = if self.storm { longest } else { secs(TRIM_S[best]).min(longest) };
        let usable = !longest.is_zero() && !self.last_seen.is_empty();
        (usable && self.sent.replace(after) != Some(after)).then_some(after)
    }
}
