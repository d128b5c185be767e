//! Dispatch of caller and operator requests.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::Method;
use magnolia_http::{HttpHandler, HttpRequest, HttpResponse, error_response, read_body};
use magnolia_types::ResultCode;

use super::{config_routes, job_routes, operator_routes, quick_routes};
use crate::context::DaemonContext;

/// Largest body of a caller in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;

/// Handler of the address for callers.
pub struct CallerHandler {
    context: Arc<DaemonContext>,
}

/// A request with its whole body.
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query string.
    pub query: Option<String>,
    /// Whole body.
    pub body: Bytes,
}

impl CallerHandler {
    /// Creates the handler.
    pub fn new(context: Arc<DaemonContext>) -> Self {
        Self { context }
    }

    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        let (parts, body) = request.into_parts();
        let body = match read_body(body, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(code) => return error_response(code, "the body could not be read"),
        };
        let request = CallerRequest {
            method: parts.method,
            path: parts.uri.path().to_owned(),
            query: parts.uri.query().map(str::to_owned),
            body,
        };
        let started = self.context.clock.now();
        let response = self.route(&request).await;
        let took = self.context.clock.now().saturating_sub(started);
        self.context.metrics.time_ms("callers.call", took.get());
        response
    }

    async fn route(&self, request: &CallerRequest) -> HttpResponse {
        let context = &self.context;
        let segments: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (request.method.as_str(), segments.as_slice()) {
            ("POST", ["v1", "requests"]) => quick_routes::run(context, request).await,
            ("POST", ["v1", "jobs"]) => job_routes::submit(context, request).await,
            ("GET", ["v1", "jobs", job]) => job_routes::get(context, job).await,
            ("GET", ["v1", "jobs", job, "wait"]) => job_routes::wait(context, job, request).await,
            ("GET", ["v1", "config"]) => config_routes::show(context),
            ("POST", ["v1", "config", "publish"]) => config_routes::publish(context, request).await,
            ("GET", ["v1", "state"]) => operator_routes::state(context),
            ("GET", ["healthz"]) => operator_routes::live(),
            ("GET", ["readyz"]) => operator_routes::ready(context),
            _ => error_response(ResultCode::NotFound, "no such path"),
        }
    }
}

impl HttpHandler for CallerHandler {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.answer(request).await })
    }
}
