//! Handles calls of other daemons.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, Response, StatusCode};
use http_body_util::Full;
use magnolia_http::{HttpHandler, HttpRequest, HttpResponse, error_response, read_held_body};
use magnolia_protocol::{
    Handover, INNER_PATH, PROTOCOL_VERSION, PeerEnvelope, PeerReply, PeerRequest, decode, encode,
};
use magnolia_types::{DaemonId, LogOffset, Millis, ResultCode};
use serde_bytes::ByteBuf;

use crate::context::{DaemonContext, LifecyclePhase};
use crate::probing::ping_reply;
use crate::{partition, quick};

/// Maximum size of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Maximum number of log records read for a peer in one call.
const MAX_LOG_RECORDS: usize = 256;

/// HTTP handler for other daemons.
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
        let (parts, body) = request.into_parts();
        let (body, _share) = match read_held_body(body, &parts.extensions, MAX_MESSAGE_BYTES).await
        {
            Ok(held) => held.into_parts(),
            Err(error) => return error_response(error.into(), &error.to_string()),
        };
        let message = match decode::<PeerEnvelope<PeerRequest>>(&body) {
            Ok(message) if message.protocol == PROTOCOL_VERSION => message,
            Ok(_) => return error_response(ResultCode::ProtocolMismatch, "other version"),
            Err(error) => return error_response(ResultCode::ProtocolMismatch, &error.to_string()),
        };
        if let Some(address) = self.context.address_of(&message.from) {
            self.context.record_envelope(&message, address);
        }
        let (sender, incarnation) = (message.from, message.incarnation);
        let reply = self.dispatch(&sender, message.body).await;
        let envelope = self
            .context
            .envelope(reply, Some((&sender, Some(incarnation))));
        match encode(&envelope) {
            Ok(bytes) => {
                let mut response = Response::new(Full::new(Bytes::from(bytes)));
                *response.status_mut() = StatusCode::OK;
                response
            }
            Err(error) => error_response(ResultCode::Internal, &error.to_string()),
        }
    }

    async fn dispatch(&self, sender: &DaemonId, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Ping => PeerReply::Pong(ping_reply(&self.context)),
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
            PeerRequest::FetchClaims => self.known_claims(),
            PeerRequest::TellClaims(claims) => {
                self.context.claims.merge(&claims);
                self.known_claims()
            }
            PeerRequest::Handover(handover) => self.take_handover(sender, handover),
            PeerRequest::ReadLog { stream, from, max } => self.read_log(&stream, from, max).await,
        }
    }

    fn known_claims(&self) -> PeerReply {
        let claims = &self.context.claims;
        PeerReply::Claims(claims.with_table(|table| table.iter().cloned().collect()))
    }

    /// Accepts a unit from an owner that has stopped serving it. The claimer then claims it without
    /// delay.
    fn take_handover(&self, sender: &DaemonId, handover: Handover) -> PeerReply {
        if *self.context.phase.borrow() != LifecyclePhase::Ready {
            return refused(ResultCode::Draining, "this daemon takes no units");
        }
        let (unit, epoch) = (handover.unit.clone(), handover.epoch);
        if unit.partition().is_some() {
            let reply = partition::accept_handover(&self.context, handover);
            if reply != PeerReply::HandoverTaken {
                return reply;
            }
        }
        // Only a draining daemon hands units over, so it is no candidate for them any more.
        self.context
            .members
            .with_tracker(|tracker| tracker.record_draining(sender, true));
        self.context.claims.record_release(&unit, epoch);
        PeerReply::HandoverTaken
    }

    /// Reads the log for a peer.
    async fn read_log(&self, stream: &str, from: LogOffset, max: u32) -> PeerReply {
        let max = usize::try_from(max)
            .unwrap_or(usize::MAX)
            .min(MAX_LOG_RECORDS);
        let page = self.context.log.read(stream, from, Millis::new(0), max);
        match page.await {
            Ok(page) => PeerReply::Log {
                first: page.first,
                next: page.next,
                records: page
                    .records
                    .into_iter()
                    .map(|record| (record.offset, ByteBuf::from(record.data.to_vec())))
                    .collect(),
            },
            Err(error) => refused(ResultCode::LogUnavailable, &error.to_string()),
        }
    }
}

fn refused(code: ResultCode, message: &str) -> PeerReply {
    PeerReply::Refused {
        code,
        message: message.into(),
    }
}

impl HttpHandler for InnerHandler {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.answer(request).await })
    }
}
