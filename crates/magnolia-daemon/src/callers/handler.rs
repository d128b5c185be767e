//! Dispatches requests of callers and operators to their routes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::header::{ALLOW, HeaderValue};
use magnolia_http::{
    BodyError, HttpHandler, HttpRequest, HttpResponse, error_response, read_held_body,
};
use magnolia_types::ResultCode;

use super::route::{Route, RouteError};
use super::{config_routes, job_routes, operator_routes, quick_routes, status};
use crate::context::DaemonContext;
use crate::metrics::names;

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;
/// Timeout for receiving a complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP handler for callers and operators.
pub struct CallerHandler {
    context: Arc<DaemonContext>,
}

/// A request with its complete body.
pub struct CallerRequest {
    /// Query string.
    pub query: Option<String>,
    /// Complete body.
    pub body: Bytes,
}

impl CallerHandler {
    /// Creates the handler.
    pub fn new(context: Arc<DaemonContext>) -> Self {
        Self { context }
    }

    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        let (parts, body) = request.into_parts();
        let route = match Route::new(parts.method.as_str(), parts.uri.path()) {
            Ok(route) => route,
            Err(RouteError::NotFound) => {
                let message = format!("no such path: {}", parts.uri.path());
                return error_response(ResultCode::NotFound, &message);
            }
            Err(RouteError::MethodNotAllowed(allowed)) => {
                return refuse_method(parts.method.as_str(), allowed);
            }
        };
        // The memory of the body counts until the answer is there.
        let (body, _share) = match tokio::time::timeout(
            BODY_TIMEOUT,
            read_held_body(body, &parts.extensions, MAX_BODY_BYTES),
        )
        .await
        {
            Ok(Ok(held)) => held.into_parts(),
            Ok(Err(BodyError::TooLarge)) => {
                let message = format!("the body is larger than {MAX_BODY_BYTES} bytes");
                return error_response(ResultCode::BodyTooLarge, &message);
            }
            Ok(Err(error)) => return error_response(error.into(), &error.to_string()),
            Err(_) => {
                return error_response(ResultCode::BadRequest, "the body did not arrive in time");
            }
        };
        let request = CallerRequest {
            query: parts.uri.query().map(str::to_owned),
            body,
        };
        self.run(&route, &request).await
    }

    async fn run(&self, route: &Route, request: &CallerRequest) -> HttpResponse {
        let context = &*self.context;
        let result = match route {
            Route::Requests => quick_routes::run(context, request).await,
            Route::Jobs => job_routes::submit(context, request).await,
            Route::JobList => job_routes::list(context, request).await,
            Route::Job(job) => job_routes::get(context, job).await,
            Route::JobWait(job) => job_routes::wait(context, job, request).await,
            Route::JobCancel(job) => job_routes::cancel(context, job).await,
            Route::JobExplain(job) => job_routes::explain(context, job).await,
            Route::Config => Ok(config_routes::show(context)),
            Route::ConfigCheck => config_routes::check(context, request),
            Route::ConfigPublish => config_routes::publish(context, request).await,
            Route::Status => Ok(status::show(context)),
            Route::State => Ok(operator_routes::state(context)),
            Route::Live => Ok(operator_routes::live()),
            Route::Ready => Ok(operator_routes::ready(context)),
        };
        result.unwrap_or_else(|refusal| *refusal)
    }
}

fn refuse_method(found: &str, allowed: &'static str) -> HttpResponse {
    let message = format!("{found} is not allowed here; allowed: {allowed}");
    let mut response = error_response(ResultCode::MethodNotAllowed, &message);
    response
        .headers_mut()
        .insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

impl HttpHandler for CallerHandler {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move {
            let started = self.context.clock.now();
            let response = self.answer(request).await;
            let elapsed = self.context.clock.now().saturating_sub(started);
            self.context
                .metrics
                .time_ms(names::CALLERS_CALL, elapsed.get());
            self.context
                .metrics
                .count(match response.status().as_u16() {
                    200..=299 => names::CALLERS_ANSWERED,
                    400..=499 => names::CALLERS_REFUSED,
                    _ => names::CALLERS_FAILED,
                });
            response
        })
    }
}
