//! Bounds on a probability that hold at all times at once.
//!
//! They come from the martingale of a Beta mixture over Bernoulli likelihoods (Robbins 1970;
//! Howard, Ramdas, McAuliffe, Sekhon, "Time-uniform, nonparametric, nonasymptotic confidence
//! sequences", 2021): the true probability is outside them at any time with at most the
//! stated probability, however often one looks.

/// Steps of the bisection.
const STEPS: u32 = 40;
/// Both parameters of the mixing Beta distribution.
const PRIOR: f64 = 0.5;

/// Lowest probability that `hits` of `count` do not exclude at error `alpha`.
pub(crate) fn lower(hits: u64, count: u64, alpha: f64) -> f64 {
    if hits == 0 {
        return 0.0;
    }
    let mean = hits as f64 / count as f64;
    bisect(0.0, mean, |p| excess(p, hits, count) > -alpha.ln())
}

/// Highest probability that `hits` of `count` do not exclude at error `alpha`.
pub(crate) fn upper(hits: u64, count: u64, alpha: f64) -> f64 {
    if hits >= count {
        return 1.0;
    }
    let mean = hits as f64 / count as f64;
    1.0 - bisect(0.0, 1.0 - mean, |q| excess(1.0 - q, hits, count) > -alpha.ln())
}

/// The point between `low`, which is excluded, and `high`, which is not, where that changes.
fn bisect(mut low: f64, mut high: f64, excluded: impl Fn(f64) -> bool) -> f64 {
    for _ in 0..STEPS {
        let middle = f64::midpoint(low, high);
        if excluded(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Logarithm of the mixture's likelihood over that of probability `p`.
fn excess(p: f64, hits: u64, count: u64) -> f64 {
    if p <= 0.0 || p >= 1.0 {
        return f64::INFINITY;
    }
    let (hits, misses) = (hits as f64, (count - hits) as f64);
    ln_beta(PRIOR + hits, PRIOR + misses) - ln_beta(PRIOR, PRIOR) - hits * p.ln() - misses * (-p).ln_1p()
}

fn ln_beta(a: f64, b: f64) -> f64 {
    libm::lgamma(a) + libm::lgamma(b) - libm::lgamma(a + b)
}
