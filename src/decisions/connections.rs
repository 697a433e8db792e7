//! When idle connections are closed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::secs;

/// Idle times after which connections may be closed, in seconds. More choices adapt finer and cost CPU.
const TRIM_S: [f64; 6] = [0.1, 0.3, 1.0, 3.0, 10.0, 30.0];
/// Part turned away of what is read from which no connection is closed, until it falls to the other.
const STORM: (f64, f64) = (0.5, 0.25);
/// A new connection is taken to cost as much as keeping one idle for so long. More keeps more of them open.
pub(super) const CONNECT_COST_S: f64 = 5.0;
/// Use of the cores below which it is worth no more.
pub(super) const CONNECT_USE_LEAST: f64 = 0.2;
/// Weight of an arrival in what these idle times would have gained, and in the part turned away.
pub(super) const TRIM_WEIGHT: f64 = 0.02;

/// When idle connections are closed, by the gaps between tries: what each choice would have saved. Against a
/// full table, which takes cores and keeps callers out; in a storm, unless cores idle, it turns away unread.
#[derive(Debug, Default)]
pub(super) struct Connections {
    pub(super) seen: BTreeMap<u32, Duration>,
    gain_s: [f64; TRIM_S.len()],
    pub(super) refused: f64,
    pub(super) retried: f64,
    pub(super) reused: bool,
    pub(super) storm: bool,
    pub(super) told: Option<Duration>,
}

impl Connections {
    pub(super) fn arrival(&mut self, caller: u32, retry: bool, cost_s: f64, now: Duration) {
        self.retried += TRIM_WEIGHT * (f64::from(u8::from(retry)) - self.retried);
        let gap = self.seen.insert(caller, now).map(|last| now.saturating_sub(last).as_secs_f64());
        for (gain, after) in self.gain_s.iter_mut().zip(TRIM_S) {
            let reused = gap.filter(|gap| *gap <= after);
            *gain += TRIM_WEIGHT * (reused.map_or(-after, |gap| cost_s - gap) - *gain);
        }
    }

    /// The idle time to close connections after, where it changed.
    pub(super) fn trim(&mut self, longest: Duration, idle: bool) -> Option<Duration> {
        let best = (0..TRIM_S.len()).max_by(|a, b| self.gain_s[*a].total_cmp(&self.gain_s[*b]))?;
        self.reused = best > 0;
        self.storm = !idle && self.refused > if self.storm { STORM.1 } else { STORM.0 };
        let after = if self.storm { longest } else { secs(TRIM_S[best]).min(longest) };
        let usable = !longest.is_zero() && !self.seen.is_empty();
        (usable && self.told.replace(after) != Some(after)).then_some(after)
    }
}
