//! Errors of calls to backing services.

use magnolia_http::HttpError;

/// Why a call to a backing service failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BackingError {
    /// The call got no valid answer. The inner error tells whether the request may have reached the
    /// service, and so may have taken effect.
    #[error(transparent)]
    Transport(#[from] HttpError),
    /// The service answered with a status other than success, which means that the call had no
    /// effect.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// Start of the body of the answer.
        message: String,
    },
}

impl BackingError {
    const MAX_MESSAGE_CHARS: usize = 200;

    /// Creates a [`Refused`](Self::Refused) error from the status and the body of an answer.
    pub fn new_refused(status: u16, body: &[u8]) -> Self {
        let text = String::from_utf8_lossy(body);
        let message = text.chars().take(Self::MAX_MESSAGE_CHARS).collect();
        Self::Refused { status, message }
    }

    /// Tells whether it is certain that the call had no effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Transport(error) => error.is_not_sent(),
            Self::Refused { .. } => true,
        }
    }
}
