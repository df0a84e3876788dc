//! Linear regression over measurements, with prediction intervals for extrapolation.

/// Two-sided 95% quantiles of Student's t for 1 to 10 degrees of freedom.
const T95: [f64; 10] = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23];
/// Number of points below which a fit is marked as weak.
const MIN_POINTS: usize = 4;

/// A line `intercept + slope * x`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    pub intercept: f64,
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Whether fewer than four points were measured.
    pub weak: bool,
    /// Standard deviation of the residuals.
    residual_deviation: f64,
    mean_x: f64,
    /// Sum of the squared deviations of x from its mean.
    sum_xx: f64,
    count: usize,
}

impl LinearFit {
    /// Fits a line to `points`, pairs of x and y.
    pub fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len();
        let n = count.max(1) as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let sum_xx = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
        let sum_xy = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let residual_sum_of_squares = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum::<f64>();
        let residual_deviation = if count > 2 { (residual_sum_of_squares / (n - 2.0)).sqrt() } else { 0.0 };
        let slope_error = if sum_xx > 0.0 { residual_deviation / sum_xx.sqrt() } else { 0.0 };
        Self { intercept, slope, slope_error, weak: count < MIN_POINTS, residual_deviation, mean_x, sum_xx, count }
    }

    /// The value at `x` and half the width of its 95% prediction interval. The latter is NaN if
    /// there are too few points.
    pub fn at(&self, x: f64) -> (f64, f64) {
        let value = self.intercept + self.slope * x;
        if self.count < 3 || self.sum_xx <= 0.0 {
            return (value, f64::NAN);
        }
        let t = T95.get(self.count - 3).copied().unwrap_or(2.0);
        let n = self.count as f64;
        let half_width = t * self.residual_deviation * (1.0 + 1.0 / n + (x - self.mean_x).powi(2) / self.sum_xx).sqrt();
        (value, half_width)
    }
}
