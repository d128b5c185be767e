//! Failures of a platform call.

use magnolia_http::HttpError;

/// Why a platform call has no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BackingError {
    /// The call failed on the way; the inner error tells whether it can have taken effect.
    #[error(transparent)]
    Transport(#[from] HttpError),
    /// The service refused the call, which had no effect.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Start of the answer.
        message: String,
    },
}

impl BackingError {
    const MAX_MESSAGE_CHARS: usize = 200;

    /// Makes a refusal from a status and the body of the answer.
    pub fn new_refused(status: u16, body: &[u8]) -> Self {
        let text = String::from_utf8_lossy(body);
        let message = text.chars().take(Self::MAX_MESSAGE_CHARS).collect();
        Self::Refused { status, message }
    }

    /// Tells whether the call certainly had no effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Transport(error) => error.is_not_sent(),
            Self::Refused { .. } => true,
        }
    }
}
