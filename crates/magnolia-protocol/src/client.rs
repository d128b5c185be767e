//! Client for calls to other daemons.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use magnolia_http::{HttpClient, HttpError};

use crate::codec::{decode, encode};
use crate::{INNER_PATH, PROTOCOL_VERSION, PeerEnvelope, PeerReply, PeerRequest};

/// A call to a peer failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PeerError {
    /// The call failed in transport. The inner error tells whether it may have taken effect.
    #[error(transparent)]
    Transport(#[from] HttpError),
    /// The message could not be encoded, or the peer refused it, for example because it uses
    /// another protocol version.
    #[error("peer refused the message: {0}")]
    Protocol(String),
}

impl PeerError {
    /// Returns whether the call certainly had no effect: the message did not reach the peer, or the
    /// peer refused it.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Transport(error) => error.is_not_sent(),
            Self::Protocol(_) => true,
        }
    }

    /// Returns whether the connection was refused, because no process listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Transport(HttpError::Refused))
    }
}

/// Client for the internal endpoint of other daemons.
#[derive(Clone)]
pub struct PeerClient {
    client: HttpClient,
}

impl PeerClient {
    /// Creates a client that sends its calls through `client`.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Sends a message and waits up to `timeout` for the reply.
    ///
    /// # Errors
    ///
    /// Fails when no complete reply of this protocol version is received in time.
    pub async fn call(
        &self,
        peer: SocketAddr,
        message: &PeerEnvelope<PeerRequest>,
        timeout: Duration,
    ) -> Result<PeerEnvelope<PeerReply>, PeerError> {
        let body = encode(message).map_err(|error| PeerError::Protocol(error.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(INNER_PATH)
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| PeerError::Protocol(error.to_string()))?;
        let response = self.client.call(peer, request, timeout).await?;
        if response.status.is_client_error() {
            return Err(PeerError::Protocol(format!("status {}", response.status)));
        }
        if !response.status.is_success() {
            // The peer may have failed after the message had taken effect.
            return Err(HttpError::Lost(format!("status {}", response.status)).into());
        }
        let reply: PeerEnvelope<PeerReply> =
            decode(&response.body).map_err(|error| HttpError::Malformed(error.to_string()))?;
        if reply.protocol != PROTOCOL_VERSION {
            return Err(HttpError::Malformed(format!("version {}", reply.protocol)).into());
        }
        Ok(reply)
    }
}
