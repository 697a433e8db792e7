//! Anytime-valid sequential tests: their error rates hold however often the results are checked.
//!
//! Differences of shares, one per block, are tested by the mixture sequential probability ratio test (Robbins, 1970;
//! Johari, Koomen, Pekelis and Walsh, "Always valid inference", 2022). That test plugs in an estimate of the variance,
//! which is valid only for many observations. Here the variance is integrated out, so that the test is valid from the
//! second block on for normal observations of any variance: Lai's (1976) sequential t-test, in the closed form of
//! Lindon, Ham, Tingley and Bojinov ("Anytime-valid linear models and regression adjusted causal inference", 2022). Its
//! inversion is the confidence sequence, after Howard, Ramdas, McAuliffe and Sekhon ("Time-uniform, nonparametric,
//! nonasymptotic confidence sequences", 2021) with the normal mixture. The tests in tests/experiment measure the error
//! rates for blocks that are not normal.
//!
//! [`BatchMeans`] holds the observations of one comparison; [`ln_e_split`] tests the split of subjects.

use serde::{Deserialize, Serialize};
use statrs::function::gamma::ln_gamma;

/// The mixing distribution of the difference, in standard deviations of a block, is normal with variance 1 /
/// `MIXTURE_PRECISION`. The test is most powerful for differences near a third of a standard deviation.
const MIXTURE_PRECISION: f64 = 10.0;
/// Lower limit of the standard deviation of a share: blocks that are all equal give no estimate of their variance.
const MIN_DEVIATION: f64 = 1e-3;
/// The concentrations of the Dirichlet priors of the split, in subjects, around the configured shares. The priors have
/// equal weight. The first is best for few subjects and large deviations, the last for deviations of 1 or 2 in 100.
const PRIOR_STRENGTHS: [f64; 3] = [10.0, 100.0, 1000.0];
/// Minimum number of batch means of one size from which a variance is estimated.
const MIN_MEANS: u64 = 16;
/// Upper limit of the lag-1 autocorrelation: a higher one cannot be distinguished from a drifting mean.
const MAX_CORRELATION: f64 = 0.99;
/// The number of standard errors that are added to the estimated lag-1 autocorrelation where noise may hide an
/// autocorrelation of the assumed correlation time.
const CORRELATION_MARGIN: f64 = 1.25;

/// The observations so far as means of consecutive batches of 1, 2, 4, 8 and so on ("batch means", Conway, 1963). It
/// holds only a few statistics for each batch size.
///
/// Autocorrelated observations give less information on the mean than the same number of independent ones. The
/// effective sample size comes from the batch size with the largest estimate of the variance of the mean: the variance
/// of its batch means, increased as for an AR(1) process by their lag-1 autocorrelation. One batch size alone is not
/// enough: a slow fluctuation under strong noise shows only in longer batches.
///
/// With few observations there are too few long batches, and noise lowers the estimated autocorrelation. So the longest
/// batches of which there are enough are evaluated once more, on the assumption that the whole autocorrelation,
/// increased by a margin, stems from a process with the correlation time `correlation_time`: the longest that the
/// experiment allows for. A longer correlation time shows in the estimates above only after several fluctuations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchMeans(Vec<Level>);

/// The statistics of the means of one batch size: their mean and variance (Welford, 1962), and their lag-1
/// autocorrelation (by the mean square successive difference of von Neumann, 1941).
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Level {
    #[serde(rename = "n")]
    count: u64,
    mean: f64,
    /// The sum of the squared deviations from the mean.
    #[serde(rename = "squares")]
    squared_deviations: f64,
    #[serde(rename = "last")]
    previous: f64,
    /// The sum of the squared differences of neighbours.
    #[serde(rename = "steps")]
    squared_steps: f64,
    /// A value that waits for the next one; their mean goes to the next level.
    #[serde(rename = "odd")]
    unpaired: Option<f64>,
}

impl Level {
    fn push(&mut self, x: f64) {
        if self.count > 0 {
            self.squared_steps += (x - self.previous).powi(2);
        }
        self.previous = x;
        self.count += 1;
        let deviation = x - self.mean;
        self.mean += deviation / self.count as f64;
        self.squared_deviations += deviation * (x - self.mean);
    }

    /// The estimated lag-1 autocorrelation, and its downward bias, which comes from estimating the mean from the same
    /// observations (Marriott and Pope, 1954).
    fn correlation(&self) -> (f64, f64) {
        let estimate = if self.squared_deviations > 0.0 {
            1.0 - self.squared_steps / (2.0 * self.squared_deviations)
        } else {
            0.0
        };
        (estimate, (1.0 + 3.0 * estimate.max(0.0)) / self.count as f64)
    }

    /// The variance of one mean, and the factor by which autocorrelation increases the variance of the overall mean.
    fn variance(&self) -> (f64, f64) {
        let (estimate, bias) = self.correlation();
        let r = if estimate > 0.0 { (estimate + bias).clamp(0.0, MAX_CORRELATION) } else { 0.0 };
        let inflation = (1.0 + r) / (1.0 - r);
        (self.squared_deviations / (self.count as f64 - inflation).max(1.0), inflation)
    }

    fn variance_of_mean(&self) -> f64 {
        let (variance, inflation) = self.variance();
        variance * inflation / self.count as f64
    }

    /// The variance of the overall mean if noise hides an AR(1) process with lag-1 autocorrelation `rho` at this batch
    /// size: the whole observed autocorrelation is attributed to that process and decays by `rho` per step.
    fn variance_with_hidden_ar1(&self, rho: f64) -> f64 {
        let (n, (estimate, bias)) = (self.count as f64, self.correlation());
        let r = (estimate + bias + CORRELATION_MARGIN / n.sqrt()).clamp(0.0, 1.0);
        self.variance().0 * (1.0 + 2.0 * r / (1.0 - rho)) / n
    }
}

impl BatchMeans {
    /// Adds one observation.
    pub fn push(&mut self, x: f64) {
        let mut x = x;
        for index in 0.. {
            if index == self.0.len() {
                self.0.push(Level::default());
            }
            let level = &mut self.0[index];
            level.push(x);
            match level.unpaired.take() {
                Some(first) => x = (first + x) / 2.0,
                None => return level.unpaired = Some(x),
            }
        }
    }

    /// The mean of all observations; 0 without observations.
    pub fn mean(&self) -> f64 {
        self.0.first().map_or(0.0, |level| level.mean)
    }

    /// The variance of an observation and the effective sample size; none if either is below two.
    fn variance_and_size(&self, correlation_time: f64) -> Option<(f64, f64)> {
        let first = self.0.first().filter(|level| level.count >= 2)?;
        let variance = first.variance().0.max(MIN_DEVIATION * MIN_DEVIATION);
        let (mut longest, mut rho) = (first, 1.0 - 1.0 / correlation_time.max(1.0));
        let mut mean_variance = first.variance_of_mean();
        for level in self.0.iter().skip(1).take_while(|level| level.count >= MIN_MEANS) {
            mean_variance = mean_variance.max(level.variance_of_mean());
            (longest, rho) = (level, rho * rho);
        }
        let mean_variance = mean_variance.max(longest.variance_with_hidden_ar1(rho));
        let n = if mean_variance > 0.0 { variance / mean_variance } else { f64::INFINITY };
        Some((variance, n.min(first.count as f64))).filter(|(_, n)| *n >= 2.0)
    }

    /// The effective sample size: the number of independent observations with the same information on the mean. 0 if it
    /// is below 2. `correlation_time` is the longest assumed correlation time in observations, 1 / (1 - lag-1
    /// autocorrelation); it is 1 for independent observations.
    pub fn effective_size(&self, correlation_time: f64) -> f64 {
        self.variance_and_size(correlation_time).map_or(0.0, |(_, n)| n)
    }

    /// The natural logarithm of the e-value against the null hypothesis that the mean is `null`. 0 while the effective
    /// sample size is below 2.
    pub fn ln_e(&self, null: f64, correlation_time: f64) -> f64 {
        let Some((variance, n)) = self.variance_and_size(correlation_time) else { return 0.0 };
        let r = MIXTURE_PRECISION / (MIXTURE_PRECISION + n);
        let q = n * (self.mean() - null).powi(2) / variance / (n - 1.0);
        0.5 * r.ln() + 0.5 * n * (q.ln_1p() - (r * q).ln_1p())
    }

    /// The interval of the confidence sequence: all means that the test does not reject at `alpha`. The probability
    /// that any interval of the sequence misses the true mean is at most `alpha`. It is infinite while there are too
    /// few observations.
    pub fn interval(&self, alpha: f64, correlation_time: f64) -> (f64, f64) {
        let half = self.variance_and_size(correlation_time).map_or(f64::INFINITY, |(variance, n)| {
            let r = MIXTURE_PRECISION / (MIXTURE_PRECISION + n);
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

/// The natural logarithm of the e-value against the null hypothesis that subjects are split by `shares`: the
/// Dirichlet-multinomial test of Lindon and Malek ("Anytime-valid inference for multinomial count data", 2022). The
/// e-values of three prior strengths are averaged, since a mean of test martingales is a test martingale. `counts` and
/// `shares` have one entry per arm. The test assumes independent subjects, so each must be counted once.
pub fn ln_e_split(counts: &[u64], shares: &[f64]) -> f64 {
    let ln_e_values = PRIOR_STRENGTHS.map(|strength| ln_e_with_prior(strength, counts, shares));
    let greatest = ln_e_values.into_iter().fold(f64::NEG_INFINITY, f64::max);
    greatest
        + (ln_e_values.into_iter().map(|ln_e| (ln_e - greatest).exp()).sum::<f64>()
            / ln_e_values.len() as f64)
            .ln()
}

fn ln_e_with_prior(strength: f64, counts: &[u64], shares: &[f64]) -> f64 {
    let total: f64 = counts.iter().map(|n| *n as f64).sum();
    let arm = |(n, share): (&u64, &f64)| {
        let (n, prior) = (*n as f64, share * strength);
        ln_gamma(prior + n) - ln_gamma(prior) - n * share.ln()
    };
    let arms: f64 = counts.iter().zip(shares).map(arm).sum();
    arms + ln_gamma(strength) - ln_gamma(strength + total)
}
