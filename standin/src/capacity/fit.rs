//! A straight line through measurements, and what it says beyond them.

/// Two-sided 95% quantiles of Student's t for 1 to 10 degrees of freedom.
const T95: [f64; 10] = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23];
/// Sizes below which a slope is weak.
const SIZES: usize = 4;

/// A line `base + slope * x`, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at 0.
    pub base: f64,
    /// Change for each unit.
    pub slope: f64,
    /// Standard error of the slope.
    pub error: f64,
    /// Whether fewer than four sizes were measured.
    pub weak: bool,
    residual: f64,
    mean: f64,
    spread: f64,
    count: usize,
}

impl Fit {
    /// The line through `points`.
    pub fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len();
        let n = count.max(1) as f64;
        let mean = points.iter().map(|p| p.0).sum::<f64>() / n;
        let middle = points.iter().map(|p| p.1).sum::<f64>() / n;
        let spread = points.iter().map(|p| (p.0 - mean).powi(2)).sum::<f64>();
        let common = points.iter().map(|p| (p.0 - mean) * (p.1 - middle)).sum::<f64>();
        let slope = if spread > 0.0 { common / spread } else { 0.0 };
        let base = middle - slope * mean;
        let squares = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2)).sum::<f64>();
        let residual = if count > 2 { (squares / (n - 2.0)).sqrt() } else { 0.0 };
        let error = if spread > 0.0 { residual / spread.sqrt() } else { 0.0 };
        Self { base, slope, error, weak: count < SIZES, residual, mean, spread, count }
    }

    /// The value at `x` with half the width of its 95% interval for one more measurement.
    pub fn at(&self, x: f64) -> (f64, f64) {
        let value = self.base + self.slope * x;
        if self.count < 3 || self.spread <= 0.0 {
            return (value, f64::NAN);
        }
        let t = T95.get(self.count - 3).copied().unwrap_or(2.0);
        let n = self.count as f64;
        let half = t * self.residual * (1.0 + 1.0 / n + (x - self.mean).powi(2) / self.spread).sqrt();
        (value, half)
    }
}
