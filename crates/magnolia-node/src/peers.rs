//! HTTP client for messages to other daemons.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::Full;
use magnolia_http::{CallLimits, HttpClient, HttpError, HttpResponse, PoolSettings};

use crate::peer_messages::{PeerReply, PeerRequest};

/// Media type of messages between daemons.
const MESSAGE_TYPE: header::HeaderValue = header::HeaderValue::from_static("application/msgpack");
/// Time without received data on a connection after which further requests use neither it nor the
/// older connections to the peer: several round trips. The request that waits keeps its timeout.
const PROGRESS_DEADLINE: Duration = Duration::from_millis(300);
/// Longest time to open a connection: several round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Client of other daemons.
#[derive(Clone)]
pub(crate) struct PeerClient {
    http: HttpClient,
}

impl PeerClient {
    pub(crate) fn new() -> Self {
        let settings = PoolSettings::new()
            .with_connect_timeout(CONNECT_TIMEOUT)
            .with_progress_deadline(PROGRESS_DEADLINE);
        Self {
            http: HttpClient::new(settings),
        }
    }

    /// Sends a request and waits for the reply, at most for `timeout`. `silence` is the time that the
    /// peer may need before it sends the first data, in addition to the progress deadline.
    pub(crate) async fn call(
        &self,
        peer: SocketAddr,
        message: &PeerRequest,
        timeout: Duration,
        silence: Duration,
    ) -> Result<PeerReply, HttpError> {
        let limits = CallLimits {
            timeout,
            silence,
            stall: None,
        };
        self.call_within(peer, message, limits).await
    }

    /// Sends a request and waits for the reply within `limits`.
    pub(crate) async fn call_within(
        &self,
        peer: SocketAddr,
        message: &PeerRequest,
        limits: CallLimits,
    ) -> Result<PeerReply, HttpError> {
        let not_sent = |error: &dyn std::fmt::Display| HttpError::NotConnected(error.to_string());
        let body = rmp_serde::to_vec(message).map_err(|error| not_sent(&error))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri("/")
            .header(header::CONTENT_TYPE, MESSAGE_TYPE)
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| not_sent(&error))?;
        let answer = self.http.call(peer, request, limits).await?;
        rmp_serde::from_slice(&answer.body).map_err(|error| HttpError::Malformed(error.to_string()))
    }
}

/// Encodes a reply as an HTTP response.
pub(crate) fn reply_response(reply: &PeerReply) -> HttpResponse {
    let body = rmp_serde::to_vec(reply).unwrap_or_else(|error| {
        log::error!(error:% = error; "can't encode the reply to a daemon");
        Vec::new()
    });
    let mut response = Response::new(Full::new(Bytes::from(body)));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, MESSAGE_TYPE);
    response
}
