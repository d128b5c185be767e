//! Pending.
use crate::{BenchError, BenchReport, BenchScope};
pub fn run(_: &BenchScope) -> Result<BenchReport, BenchError> {
    Ok(BenchReport::new("waiting"))
}
