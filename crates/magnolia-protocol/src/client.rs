//! Calls to other daemons.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use magnolia_http::{HttpClient, HttpError};

use crate::codec::{decode, encode};
use crate::{INNER_PATH, PROTOCOL_VERSION, PeerEnvelope, PeerReply, PeerRequest};

/// Why a peer gave no reply.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PeerError {
    /// The call failed on the way; the inner error tells whether it can have taken effect.
    #[error(transparent)]
    Transport(#[from] HttpError),
    /// The peer refused the message, for example because it speaks another version.
    #[error("peer refused the message: {0}")]
    Protocol(String),
}

impl PeerError {
    /// Tells whether the message certainly had no effect.
    pub fn is_not_sent(&self) -> bool {
        match self {
            Self::Transport(error) => error.is_not_sent(),
            Self::Protocol(_) => true,
        }
    }

    /// Tells whether no process listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Transport(HttpError::Refused))
    }
}

/// Client of other daemons.
#[derive(Clone)]
pub struct PeerClient {
    client: HttpClient,
}

impl PeerClient {
    /// Creates a client.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Sends a message and waits for the reply.
    ///
    /// # Errors
    ///
    /// Fails when no whole reply of this version comes in time.
    pub async fn call(
        &self,
        peer: SocketAddr,
        message: &PeerEnvelope<PeerRequest>,
        limit: Duration,
    ) -> Result<PeerEnvelope<PeerReply>, PeerError> {
        let body = encode(message).map_err(|error| PeerError::Protocol(error.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(INNER_PATH)
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| PeerError::Protocol(error.to_string()))?;
        let answer = self.client.call(peer, request, limit).await?;
        if answer.status.is_client_error() {
            return Err(PeerError::Protocol(format!("status {}", answer.status)));
        }
        if !answer.status.is_success() {
            // A failure of the peer itself may come after the message took effect.
            return Err(HttpError::Lost(format!("status {}", answer.status)).into());
        }
        let reply: PeerEnvelope<PeerReply> =
            decode(&answer.body).map_err(|error| HttpError::Malformed(error.to_string()))?;
        if reply.protocol != PROTOCOL_VERSION {
            return Err(HttpError::Malformed(format!("version {}", reply.protocol)).into());
        }
        Ok(reply)
    }
}
