//! How long the runs of a class take, learned from those that ended and from callers' hints.

use std::time::Duration;

use super::LEARN_WEIGHT;
use crate::interface::Class;

/// First guess of a run's length, as a part of the wanted time, until runs were seen.
const GUESS_SHARE: f64 = 0.25;
/// How far a hint may move the expected length. More trusts rough hints.
const HINT_RANGE: (f64, f64) = (0.3, 3.0);

/// What is learned about the runs of a class, and about the age at which its tries are turned away.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunLength {
    pub(super) mean_s: f64,
    hint_s: f64,
    pub(super) refused_s: f64,
}

impl RunLength {
    pub(super) fn guess(class: &Class) -> Self {
        Self { mean_s: class.target_latency.as_secs_f64() * GUESS_SHARE, hint_s: 0.0, refused_s: 0.0 }
    }

    pub(super) fn learn(&mut self, took: Duration, hint: Option<Duration>) {
        self.mean_s += LEARN_WEIGHT * (took.as_secs_f64() - self.mean_s);
        let Some(hint) = hint.map(|h| h.as_secs_f64()) else { return };
        let weight = if self.hint_s == 0.0 { 1.0 } else { LEARN_WEIGHT };
        self.hint_s += weight * (hint - self.hint_s);
    }

    pub(super) fn expect(&self, hint: Option<Duration>) -> f64 {
        let ratio = hint.filter(|_| self.hint_s > 0.0).map(|h| h.as_secs_f64() / self.hint_s);
        self.mean_s * ratio.map_or(1.0, |ratio| ratio.clamp(HINT_RANGE.0, HINT_RANGE.1))
    }
}
