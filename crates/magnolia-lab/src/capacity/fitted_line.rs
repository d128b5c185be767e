//! Least-squares lines.

use std::fmt;

/// A line through measured points.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FittedLine {
    /// Value at zero.
    pub intercept: f64,
    /// Growth for each unit.
    pub slope: f64,
    /// Largest distance of a point from the line.
    pub worst_residual: f64,
}

impl FittedLine {
    /// Fits a line to points with at least two distinct positions; `None` otherwise.
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let shared: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = shared / spread;
        let intercept = mean_y - slope * mean_x;
        let residuals = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).abs());
        Some(Self {
            intercept,
            slope,
            worst_residual: residuals.fold(0.0, f64::max),
        })
    }

    /// Returns the value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

impl fmt::Display for FittedLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.4} + {:.6} x, residual up to {:.4}",
            self.intercept, self.slope, self.worst_residual
        )
    }
}
