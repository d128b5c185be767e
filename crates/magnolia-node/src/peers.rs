//! Calls to other daemons.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::Full;
use magnolia_http::{CallLimits, HttpClient, HttpError, HttpResponse, PoolSettings};

use crate::inner::{InnerCall, InnerReply};

/// Media type of messages between daemons.
const MESSAGE_TYPE: header::HeaderValue = header::HeaderValue::from_static("application/msgpack");
/// Time without a byte after which a connection to a daemon is replaced; several round trips.
const PROGRESS_DEADLINE: Duration = Duration::from_millis(300);
/// Time to open a connection to a daemon; several round trips.
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

    /// Sends a message and waits for the reply; `silence` is time that the peer needs on purpose.
    pub(crate) async fn call(
        &self,
        peer: SocketAddr,
        call: &InnerCall,
        limit: Duration,
        silence: Duration,
    ) -> Result<InnerReply, HttpError> {
        let not_sent = |error: &dyn std::fmt::Display| HttpError::NotConnected(error.to_string());
        let body = rmp_serde::to_vec(call).map_err(|error| not_sent(&error))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri("/")
            .header(header::CONTENT_TYPE, MESSAGE_TYPE)
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| not_sent(&error))?;
        let limits = CallLimits { limit, silence };
        let answer = self.http.call(peer, request, limits).await?;
        rmp_serde::from_slice(&answer.body).map_err(|error| HttpError::Malformed(error.to_string()))
    }
}

/// Makes the response that carries a reply.
pub(crate) fn reply_response(reply: &InnerReply) -> HttpResponse {
    let body = rmp_serde::to_vec(reply).unwrap_or_else(|error| {
        log::error!(error:% = error; "reply to a daemon can't be encoded");
        Vec::new()
    });
    let mut response = Response::new(Full::new(Bytes::from(body)));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, MESSAGE_TYPE);
    response
}
