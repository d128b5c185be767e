//! What makes a benchmark fail.

/// Why a benchmark did not run to its end.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// The arguments are wrong; the text is the usage.
    #[error("{0}")]
    Usage(#[from] clap::Error),
    /// A generated name or document is not valid.
    #[error("generated work is not valid: {0}")]
    Work(String),
    /// A play broke a rule of the scheduler.
    #[error("a play broke a rule: {0}")]
    Violation(String),
    /// Memory of the process cannot be read.
    #[error("memory of the process cannot be read: {0}")]
    Memory(std::io::Error),
    /// The report cannot be written.
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
