//! Exit codes of the command.

use std::process::ExitCode;

use magnolia_types::{Ran, ResultCode};

/// Result of a command; documented in `magnoliactl --help` and docs/OPERATIONS.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success,
    /// The call was refused, and nothing ran.
    Refused,
    /// The command line or a file is not usable.
    Usage,
    /// No endpoint could be reached, and nothing was sent.
    Unreachable,
    /// The call may have taken effect.
    Unknown,
    /// The work ran and failed, or the job ended in another state than done.
    WorkFailed,
    /// The wait ended before the job did.
    StillRunning,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub const fn number(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::Unknown => 4,
            Self::WorkFailed => 5,
            Self::StillRunning => 6,
        }
    }
}

impl From<ResultCode> for ExitStatus {
    fn from(code: ResultCode) -> Self {
        match (code, code.ran()) {
            (ResultCode::Ok, _) => Self::Success,
            (_, Ran::No) => Self::Refused,
            (_, Ran::Unknown) => Self::Unknown,
            (_, Ran::Yes) => Self::WorkFailed,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.number())
    }
}
