//! What one daemon costs, as slopes over what it owns, and what the target size then needs.

mod fitted_line;
mod process_probe;
mod series;
mod target;

pub use fitted_line::FittedLine;
pub use process_probe::{ProcessProbe, UsageRate, UsageSample};
pub use series::{SeriesKind, run_capacity};
pub use target::{DaemonBudget, SlopeTable, TargetSize};
