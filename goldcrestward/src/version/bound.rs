//! Time-uniform confidence bounds on a probability.
//!
//! They come from the martingale of a Beta mixture over Bernoulli likelihoods (Robbins 1970;
//! Howard, Ramdas, McAuliffe, Sekhon, "Time-uniform, nonparametric, nonasymptotic confidence
//! sequences", 2021): the probability that the true value is ever outside them is at most the
//! stated error, however often they are evaluated.

const BISECTION_STEPS: u32 = 30;
/// Both shape parameters of the mixing Beta distribution.
const BETA_SHAPE: f64 = 0.5;

/// Lowest probability that `hits` of `count` do not exclude at error `alpha`.
pub(crate) fn lower_bound(hits: u64, count: u64, alpha: f64) -> f64 {
    if hits == 0 {
        return 0.0;
    }
    let mixture = Mixture::new(hits, count, alpha);
    bisect(0.0, hits as f64 / count as f64, |p| mixture.excludes(p))
}

/// Highest probability that `hits` of `count` do not exclude at error `alpha`.
pub(crate) fn upper_bound(hits: u64, count: u64, alpha: f64) -> f64 {
    if hits >= count {
        return 1.0;
    }
    let mixture = Mixture::new(hits, count, alpha);
    1.0 - bisect(0.0, 1.0 - hits as f64 / count as f64, |q| mixture.excludes(1.0 - q))
}

/// Wilson score interval of a probability, valid for a single evaluation; `z` is the normal quantile of its error.
pub(crate) fn wilson_interval(hits: u64, count: u64, z: f64) -> (f64, f64) {
    if count == 0 {
        return (0.0, 1.0);
    }
    let (n, p) = (count as f64, hits as f64 / count as f64);
    let centre = p + z * z / (2.0 * n);
    let spread = z * (p * (1.0 - p) / n + z * z / (4.0 * n * n)).sqrt();
    let scale = 1.0 + z * z / n;
    ((centre - spread) / scale, (centre + spread) / scale)
}

/// Probability of at least `hits` successes in `count` trials whose expected number of successes is `expected`.
pub(crate) fn binomial_tail(hits: u64, count: u64, expected: f64) -> f64 {
    let share = expected / count.max(1) as f64;
    if hits == 0 || share >= 1.0 {
        return 1.0;
    }
    if hits > count || share <= 0.0 {
        return 0.0;
    }
    let ln_factorial = |n: u64| libm::lgamma(n as f64 + 1.0);
    let ln_probability = |n: u64| {
        let ln_ways = ln_factorial(count) - ln_factorial(n) - ln_factorial(count - n);
        ln_ways + n as f64 * share.ln() + (count - n) as f64 * (-share).ln_1p()
    };
    (hits..=count).map(|n| ln_probability(n).exp()).sum::<f64>().min(1.0)
}

/// Finds the boundary between `low`, which is excluded, and `high`, which is not.
fn bisect(mut low: f64, mut high: f64, excluded: impl Fn(f64) -> bool) -> f64 {
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if excluded(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// The counts, with the log-likelihood below which a probability is excluded.
struct Mixture {
    hits: f64,
    misses: f64,
    threshold: f64,
}

impl Mixture {
    fn new(hits: u64, count: u64, alpha: f64) -> Self {
        let (hits, misses) = (hits as f64, (count - hits) as f64);
        let likelihood = ln_beta(BETA_SHAPE + hits, BETA_SHAPE + misses) - ln_beta(BETA_SHAPE, BETA_SHAPE);
        Self { hits, misses, threshold: likelihood + alpha.ln() }
    }

    /// Whether the mixture explains the counts better than `p` by more than a factor of 1 / `alpha`.
    fn excludes(&self, p: f64) -> bool {
        p <= 0.0 || p >= 1.0 || self.hits * p.ln() + self.misses * (-p).ln_1p() < self.threshold
    }
}

fn ln_beta(a: f64, b: f64) -> f64 {
    libm::lgamma(a) + libm::lgamma(b) - libm::lgamma(a + b)
}
