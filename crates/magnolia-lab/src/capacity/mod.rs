//! Resource usage of one daemon as linear functions of what it owns, and the number of daemons that
//! the target size needs as a result.

mod fitted_line;
mod process_probe;
mod series;
mod target;

pub use fitted_line::FittedLine;
pub use process_probe::{ProcessProbe, UsageRate, UsageSample};
pub use series::{SeriesKind, run_capacity};
pub use target::{DaemonBudget, LineTable, TargetSize};
