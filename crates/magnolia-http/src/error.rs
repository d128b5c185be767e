//! Errors of a call, which tell whether the request may have reached the peer.

/// Why a call returned no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The connection was refused: no process listens on the port, or a device on the path rejects
    /// connections to a process that runs.
    #[error("connection refused")]
    Refused,
    /// The request was not sent: it could not be built, no connection was available in time, or
    /// the connection failed before any of the request was written.
    #[error("connection failed: {0}")]
    NotConnected(String),
    /// The request may have reached the peer, but no complete answer arrived.
    #[error("no answer: {0}")]
    Lost(String),
    /// The answer is larger than the limit.
    #[error("answer larger than {limit} bytes")]
    TooLarge {
        /// Maximum size of an answer in bytes.
        limit: usize,
    },
    /// The answer could not be parsed or does not belong to the request.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl HttpError {
    /// Tells whether it is certain that the request did not reach the peer.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Refused | Self::NotConnected(_))
    }
}
