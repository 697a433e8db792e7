//! Tests that hold whenever they are looked at.
//!
//! Differences of shares, one a block, are weighed by the mixture sequential probability ratio test (Robbins, 1970;
//! Johari, Koomen, Pekelis and Walsh, "Always valid inference", 2022). They put in an estimate of the variance, which
//! only holds for many observations; here it is integrated out, so that the test holds from the second block on for
//! normal observations of any variance: Lai's (1976) sequential t-test, in the closed form of Lindon, Ham, Tingley and
//! Bojinov ("Anytime-valid linear models and regression adjusted causal inference", 2022). Its inversion is the
//! confidence sequence, after Howard, Ramdas, McAuliffe and Sekhon ("Time-uniform, nonparametric, nonasymptotic
//! confidence sequences", 2021) with the normal mixture. What blocks are beside normal is measured in the tests.

use serde::{Deserialize, Serialize};
use statrs::function::gamma::ln_gamma;

/// The mixture is normal over differences in standard deviations of a block, with variance 1 / `PRIOR`: best near a
/// third of one.
const PRIOR: f64 = 10.0;
/// The least standard deviation that is believed, in shares: blocks that are all alike say nothing of how they vary.
const MIN_DEVIATION: f64 = 1e-3;
/// The Dirichlet priors of the split are worth so many subjects around the shares asked for, and believed alike: the
/// first is best for few subjects and shares that are far off, the last for shares off by one or two in a hundred.
const STRENGTHS: [f64; 3] = [10.0, 100.0, 1000.0];
/// Means of one length at least that are asked how they vary.
const MIN_MEANS: u64 = 16;
/// The greatest correlation of neighbours that is told from a mean that wanders.
const MAX_CORRELATION: f64 = 0.99;
/// So many of its standard errors the correlation of neighbours is taken higher than seen, where a wave is looked for
/// that noise may hide.
const DOUBT: f64 = 1.25;

/// Observations so far, as means of 1, 2, 4, 8 and so on that follow each other: a few figures for each, however many
/// observations there are.
///
/// Observations that hang together say less of the mean than as many independent ones. How much less is taken from the
/// level that tells least: the variance of its means, widened as for an AR(1) by the correlation of neighbours. One level
/// alone is not enough: a slow wave under much noise shows in the longer means only ("batch means", Conway, 1963).
///
/// Of few observations the longer means are too few, and the correlation that is seen is the wave's made small by noise.
/// So the longest means of which there are enough are weighed once more, as if all that neighbours share, with some
/// doubt added, were of a wave of `wave` observations: the longest that the experiment is to bear. A longer one shows in
/// the figures above once it has come and gone some times, and not before.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchMeans(Vec<Level>);

/// Means of one length: their own mean and variance (Welford, 1962), and how far one hangs together with the next (the
/// mean square successive difference of von Neumann, 1941).
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Level {
    n: u64,
    mean: f64,
    squares: f64,
    last: f64,
    /// The sum of the squared differences of neighbours.
    steps: f64,
    /// One that waits for the next, to be a mean of two at the next level.
    odd: Option<f64>,
}

impl Level {
    fn push(&mut self, x: f64) {
        if self.n > 0 {
            self.steps += (x - self.last).powi(2);
        }
        self.last = x;
        self.n += 1;
        let off = x - self.mean;
        self.mean += off / self.n as f64;
        self.squares += off * (x - self.mean);
    }

    /// The correlation of neighbours, and what a mean from the same observations hides of it (Marriott and Pope, 1954).
    fn correlation(&self) -> (f64, f64) {
        let seen = if self.squares > 0.0 { 1.0 - self.steps / (2.0 * self.squares) } else { 0.0 };
        (seen, (1.0 + 3.0 * seen.max(0.0)) / self.n as f64)
    }

    /// The variance, and by how much that of the mean is over it as if all were independent.
    fn variance(&self) -> (f64, f64) {
        let (seen, hidden) = self.correlation();
        let r = if seen > 0.0 { (seen + hidden).clamp(0.0, MAX_CORRELATION) } else { 0.0 };
        let wider = (1.0 + r) / (1.0 - r);
        (self.squares / (self.n as f64 - wider).max(1.0), wider)
    }

    fn variance_of_mean(&self) -> f64 {
        let (variance, wider) = self.variance();
        variance * wider / self.n as f64
    }

    /// The variance of the mean where a wave hides in noise, whose correlation from one of these to the next is `rho`: all
    /// that neighbours share is the wave's, and goes on in steps of `rho`.
    fn under_wave(&self, rho: f64) -> f64 {
        let (n, (seen, hidden)) = (self.n as f64, self.correlation());
        let r = (seen + hidden + DOUBT / n.sqrt()).clamp(0.0, 1.0);
        self.variance().0 * (1.0 + 2.0 * r / (1.0 - rho)) / n
    }
}

impl BatchMeans {
    /// Takes one observation in.
    pub fn push(&mut self, x: f64) {
        let mut x = x;
        for at in 0.. {
            if at == self.0.len() {
                self.0.push(Level::default());
            }
            let level = &mut self.0[at];
            level.push(x);
            match level.odd.take() {
                Some(odd) => x = (odd + x) / 2.0,
                None => return level.odd = Some(x),
            }
        }
    }

    /// The mean; 0 without observations.
    pub fn mean(&self) -> f64 {
        self.0.first().map_or(0.0, |level| level.mean)
    }

    /// The variance of an observation, and so many independent ones would know as much of the mean; none before two.
    fn known(&self, wave: f64) -> Option<(f64, f64)> {
        let first = self.0.first().filter(|level| level.n >= 2)?;
        let variance = first.variance().0.max(MIN_DEVIATION * MIN_DEVIATION);
        let (mut longest, mut rho) = (first, 1.0 - 1.0 / wave.max(1.0));
        let mut of_mean = first.variance_of_mean();
        for level in self.0.iter().skip(1).take_while(|level| level.n >= MIN_MEANS) {
            of_mean = of_mean.max(level.variance_of_mean());
            (longest, rho) = (level, rho * rho);
        }
        let of_mean = of_mean.max(longest.under_wave(rho));
        let n = if of_mean > 0.0 { variance / of_mean } else { f64::INFINITY };
        Some((variance, n.min(first.n as f64))).filter(|(_, n)| *n >= 2.0)
    }

    /// So many independent observations would know as much of the mean, where waves may last `wave` observations (1 / (1 -
    /// correlation of neighbours); 1 where they are independent); 0 where those are below 2.
    pub fn effective(&self, wave: f64) -> f64 {
        self.known(wave).map_or(0.0, |(_, n)| n)
    }

    /// The natural logarithm of the evidence against a mean of `of`, with waves of at most `wave` observations; 0 before
    /// two effective observations.
    pub fn ln_e(&self, of: f64, wave: f64) -> f64 {
        let Some((variance, n)) = self.known(wave) else { return 0.0 };
        let r = PRIOR / (PRIOR + n);
        let q = n * (self.mean() - of).powi(2) / variance / (n - 1.0);
        0.5 * r.ln() + 0.5 * n * (q.ln_1p() - (r * q).ln_1p())
    }

    /// The confidence sequence: all means that the evidence at `alpha` is not against, with waves of at most `wave`
    /// observations. At all times together it misses the true mean with a probability of at most `alpha`. Infinite while
    /// too little is known.
    pub fn interval(&self, alpha: f64, wave: f64) -> (f64, f64) {
        let half = self.known(wave).map_or(f64::INFINITY, |(variance, n)| {
            let r = PRIOR / (PRIOR + n);
            let k = ((-alpha.ln() - 0.5 * r.ln()) * 2.0 / n).exp();
            if k * r >= 1.0 {
                f64::INFINITY
            } else {
                ((n - 1.0) * (k - 1.0) / (1.0 - k * r) * variance / n).sqrt()
            }
        });
        (self.mean() - half, self.mean() + half)
    }
}

/// The natural logarithm of the evidence that subjects are not split by `shares`: the Dirichlet-multinomial test of
/// Lindon and Malek ("Anytime-valid inference for multinomial count data", 2022), its e-values at each of three strengths
/// of the prior averaged: a mean of test martingales is one. `counts` and `shares` go arm by arm. It takes subjects as
/// drawn one by one: each is to be counted once.
pub fn ln_e_split(counts: &[u64], shares: &[f64]) -> f64 {
    let each = STRENGTHS.map(|strength| ln_e_at(strength, counts, shares));
    let most = each.into_iter().fold(f64::NEG_INFINITY, f64::max);
    most + (each.into_iter().map(|ln_e| (ln_e - most).exp()).sum::<f64>() / each.len() as f64).ln()
}

fn ln_e_at(strength: f64, counts: &[u64], shares: &[f64]) -> f64 {
    let all: f64 = counts.iter().map(|n| *n as f64).sum();
    let arm = |(n, share): (&u64, &f64)| {
        let (n, prior) = (*n as f64, share * strength);
        ln_gamma(prior + n) - ln_gamma(prior) - n * share.ln()
    };
    let arms: f64 = counts.iter().zip(shares).map(arm).sum();
    arms + ln_gamma(strength) - ln_gamma(strength + all)
}
