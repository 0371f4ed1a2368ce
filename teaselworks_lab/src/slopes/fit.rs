//! Straight line through measured points by least squares.

use serde::{Deserialize, Serialize};

/// Least rise from the smallest to the largest size that counts as one, as a share of the
/// value in the middle: below it a slope is flat for every purpose of planning.
const LEAST_RISE: f64 = 0.1;

/// Straight line through measured points, and how well it fits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Value at size zero.
    pub intercept: f64,
    /// Rise for each unit of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Standard deviation of the points from the line.
    pub residual: f64,
    /// Number of points.
    pub points: usize,
    /// Mean of the sizes.
    pub mean_size: f64,
    /// Sum of the squares of the sizes' distances from their mean.
    pub spread: f64,
}

impl Fit {
    /// Fits a line to points of size and value, at least three of different sizes.
    ///
    /// ```
    /// use teaselworks_lab::slopes::Fit;
    ///
    /// let fit = Fit::of(&[(2.0, 5.0), (4.0, 9.0), (8.0, 17.0)]);
    /// assert!((fit.slope - 2.0).abs() < 1e-9);
    /// assert!((fit.at(100.0) - 201.0).abs() < 1e-9);
    /// ```
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        let product = |(size, value): &(f64, f64)| (size - mean_size) * (value - mean_value);
        let slope = points.iter().map(product).sum::<f64>() / spread;
        let intercept = mean_value - slope * mean_size;
        let off = |(size, value): &(f64, f64)| (value - intercept - slope * size).powi(2);
        let residual = (points.iter().map(off).sum::<f64>() / (count - 2.0).max(1.0)).sqrt();
        let slope_error = residual / spread.sqrt();
        let points = points.len();
        Self { intercept, slope, slope_error, residual, points, mean_size, spread }
    }

    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Returns the standard error of the line at a size; it grows with the distance from the
    /// measured ones.
    pub fn error_at(&self, size: f64) -> f64 {
        let distance = (size - self.mean_size).powi(2) / self.spread;
        self.residual * (1.0 / self.points as f64 + distance).sqrt()
    }

    /// Tells whether the line rises between two sizes: by more than two standard errors, and by
    /// more than a tenth of its value in the middle.
    ///
    /// ```
    /// use teaselworks_lab::slopes::Fit;
    ///
    /// assert!(!Fit::of(&[(2.0, 5.0), (4.0, 5.2), (8.0, 5.1)]).rises(2.0, 8.0));
    /// assert!(Fit::of(&[(2.0, 5.0), (4.0, 9.0), (8.0, 17.0)]).rises(2.0, 8.0));
    /// ```
    pub fn rises(&self, from: f64, to: f64) -> bool {
        let rise = self.slope * (to - from);
        let middle = self.at((from + to) / 2.0).abs();
        self.slope > 2.0 * self.slope_error && rise > LEAST_RISE * middle
    }
}
