//! Errors of the benchmarks.

/// Reason why a benchmark did not complete.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// The arguments are not valid; the message includes the usage.
    #[error("{0}")]
    Usage(#[from] clap::Error),
    /// A generated name or document is not valid.
    #[error("generated work is not valid: {0}")]
    Work(String),
    /// In a simulation, the scheduler started a task that it must not start.
    #[error("the scheduler violated a rule: {0}")]
    Violation(String),
    /// The memory usage of the process cannot be read.
    #[error("the memory usage of the process cannot be read: {0}")]
    Memory(std::io::Error),
    /// The report cannot be written as JSON.
    #[error("the report cannot be written: {0}")]
    Report(#[from] serde_json::Error),
}

impl From<magnolia_types::ParseIdError> for BenchError {
    fn from(error: magnolia_types::ParseIdError) -> Self {
        Self::Work(error.to_string())
    }
}

impl From<magnolia_config::CheckErrors> for BenchError {
    fn from(error: magnolia_config::CheckErrors) -> Self {
        Self::Work(error.to_string())
    }
}
