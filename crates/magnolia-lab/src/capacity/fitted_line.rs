//! Least-squares fit of a line.

use std::fmt;

/// A line fitted to measured points.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FittedLine {
    /// Value at zero.
    pub intercept: f64,
    /// Growth per unit.
    pub slope: f64,
    /// Largest vertical distance of a point from the line.
    pub max_residual: f64,
}

impl FittedLine {
    /// Fits a line to points; `None` unless they have at least two different x values.
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || sum_xx <= 0.0 {
            return None;
        }
        let sum_xy: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = sum_xy / sum_xx;
        let intercept = mean_y - slope * mean_x;
        let residuals = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).abs());
        Some(Self {
            intercept,
            slope,
            max_residual: residuals.fold(0.0, f64::max),
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
            self.intercept, self.slope, self.max_residual
        )
    }
}
