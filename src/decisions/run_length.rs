//! How long the runs of a class take, learned from runs that completed and from the hints of callers.

use std::time::Duration;

use super::LEARN_WEIGHT;
use crate::interface::Class;

/// Initial estimate of the run length, as a part of the target latency.
const GUESS_SHARE: f64 = 0.25;
/// Bounds of the factor by which a hint changes the expected length. Wider bounds trust rough hints more.
const HINT_RANGE: (f64, f64) = (0.3, 3.0);

/// What is learned about the runs of a class, and about the age at which its tries are refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunLength {
    pub(super) mean_s: f64,
    mean_hint_s: f64,
    pub(super) refused_age_s: f64,
}

impl RunLength {
    pub(super) fn guess(class: &Class) -> Self {
        Self {
            mean_s: class.target_latency.as_secs_f64() * GUESS_SHARE,
            mean_hint_s: 0.0,
            refused_age_s: 0.0,
        }
    }

    pub(super) fn learn(&mut self, took: Duration, hint: Option<Duration>) {
        self.mean_s += LEARN_WEIGHT * (took.as_secs_f64() - self.mean_s);
        let Some(hint) = hint.map(|h| h.as_secs_f64()) else { return };
        let weight = if self.mean_hint_s == 0.0 { 1.0 } else { LEARN_WEIGHT };
        self.mean_hint_s += weight * (hint - self.mean_hint_s);
    }

    /// The expected length of a run in seconds: the mean, scaled by how its hint compares with the mean hint.
    pub(super) fn expected_s(&self, hint: Option<Duration>) -> f64 {
        let ratio = hint.filter(|_| self.mean_hint_s > 0.0).map(|h| h.as_secs_f64() / self.mean_hint_s);
        self.mean_s * ratio.map_or(1.0, |ratio| ratio.clamp(HINT_RANGE.0, HINT_RANGE.1))
    }
}
