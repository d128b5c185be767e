//! Failures of a call and what they say about the request.

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The peer refused the connection: no process listens there.
    #[error("connection refused")]
    Refused,
    /// No connection could be opened in time; the request was not sent.
    #[error("connection failed: {0}")]
    NotConnected(String),
    /// The request may have reached the peer, but no whole answer came.
    #[error("no answer: {0}")]
    Lost(String),
    /// The answer is larger than the limit.
    #[error("answer larger than {limit} bytes")]
    TooLarge {
        /// Largest answer in bytes.
        limit: usize,
    },
    /// The answer is not of the expected form.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl HttpError {
    /// Tells whether the request certainly did not reach the peer.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Refused | Self::NotConnected(_))
    }
}
