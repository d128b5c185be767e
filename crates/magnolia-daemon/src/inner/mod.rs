//! Answers calls of other daemons.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, Response, StatusCode};
use http_body_util::Full;
use magnolia_http::{HttpHandler, HttpRequest, HttpResponse, error_response, read_body};
use magnolia_protocol::{
    INNER_PATH, PROTOCOL_VERSION, PeerEnvelope, PeerReply, PeerRequest, PingReply, decode, encode,
};
use magnolia_types::ResultCode;

use crate::context::{DaemonContext, LifecyclePhase};
use crate::{partition, quick};

/// Largest message in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Handler of the address for other daemons.
pub struct InnerHandler {
    context: Arc<DaemonContext>,
}

impl InnerHandler {
    /// Creates the handler.
    pub fn new(context: Arc<DaemonContext>) -> Self {
        Self { context }
    }

    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        if request.method() != Method::POST || request.uri().path() != INNER_PATH {
            return error_response(ResultCode::NotFound, "no such path");
        }
        let body = match read_body(request.into_body(), MAX_MESSAGE_BYTES).await {
            Ok(body) => body,
            Err(code) => return error_response(code, "the message could not be read"),
        };
        let message = match decode::<PeerEnvelope<PeerRequest>>(&body) {
            Ok(message) if message.protocol == PROTOCOL_VERSION => message,
            Ok(_) => return error_response(ResultCode::ProtocolMismatch, "other version"),
            Err(error) => return error_response(ResultCode::ProtocolMismatch, &error.to_string()),
        };
        let sender = (message.from.clone(), message.incarnation);
        let reply = self.dispatch(message.body).await;
        let envelope = self.context.envelope(reply, Some((&sender.0, sender.1)));
        match encode(&envelope) {
            Ok(bytes) => {
                let mut response = Response::new(Full::new(Bytes::from(bytes)));
                *response.status_mut() = StatusCode::OK;
                response
            }
            Err(error) => error_response(ResultCode::Internal, &error.to_string()),
        }
    }

    async fn dispatch(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Ping => PeerReply::Pong(PingReply {
                draining: *self.context.phase.borrow() == LifecyclePhase::Draining,
                suspects: Vec::new(),
            }),
            PeerRequest::Quick(forward) => {
                PeerReply::Quick(quick::run_in_group(&self.context, &forward).await)
            }
            PeerRequest::Job {
                partition,
                operation,
            } => PeerReply::Job(partition::run_local(&self.context, &partition, operation).await),
            PeerRequest::FetchConfig => {
                PeerReply::Config(Box::new(self.context.config().as_ref().clone()))
            }
            PeerRequest::FetchClaims => PeerReply::Claims(
                self.context
                    .claims
                    .with_table(|table| table.iter().cloned().collect()),
            ),
            PeerRequest::Handover(handover) => partition::take_handover(&self.context, handover),
            PeerRequest::ReadLog { .. } => PeerReply::Refused {
                code: ResultCode::NotFound,
                message: "the request is not supported".into(),
            },
        }
    }
}

impl HttpHandler for InnerHandler {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.answer(request).await })
    }
}
