//! Client of executors over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, Request};
use http_body_util::Full;
use magnolia_http::{HttpAnswer, HttpClient, HttpError};

use crate::executor::{HEADER_DEADLINE_MS, HEADER_NOT_RUN, HEADER_REQUEST_ID};
use crate::http_log::require_success;
use crate::{BackingError, ExecuteAnswer, ExecuteCall, ExecutorClient, ExecutorStatus};

/// [`ExecutorClient`] over HTTP.
pub struct HttpExecutorClient {
    client: HttpClient,
}

impl HttpExecutorClient {
    /// Maximum duration of a status call.
    pub const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

    /// Creates a client.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

impl ExecutorClient for HttpExecutorClient {
    fn status(&self, executor: SocketAddr) -> BoxFuture<'_, Result<ExecutorStatus, BackingError>> {
        Box::pin(async move {
            let answer = self
                .client
                .get(executor, "/v1/status", Self::STATUS_TIMEOUT)
                .await?;
            Ok(require_success(answer)?.json()?)
        })
    }

    fn execute<'a>(
        &'a self,
        executor: SocketAddr,
        call: &'a ExecuteCall,
    ) -> BoxFuture<'a, Result<ExecuteAnswer, BackingError>> {
        Box::pin(async move {
            let request = execute_request(call)?;
            let limit = Duration::from(call.remaining);
            let answer = self.client.call(executor, request, limit).await?;
            execute_answer(call, &answer)
        })
    }
}

fn execute_request(call: &ExecuteCall) -> Result<Request<Full<Bytes>>, HttpError> {
    Request::builder()
        .method(Method::POST)
        .uri("/v1/execute")
        .header(HEADER_REQUEST_ID, call.request.as_str())
        .header(HEADER_DEADLINE_MS, call.remaining.get())
        .body(Full::new(Bytes::copy_from_slice(call.body.as_bytes())))
        .map_err(|error| HttpError::NotConnected(error.to_string()))
}

fn execute_answer(call: &ExecuteCall, answer: &HttpAnswer) -> Result<ExecuteAnswer, BackingError> {
    let answered_id = answer
        .headers
        .get(HEADER_REQUEST_ID)
        .map(http::HeaderValue::as_bytes);
    if answered_id != Some(call.request.as_str().as_bytes()) {
        return Err(HttpError::Malformed("answer to another request".into()).into());
    }
    let text = std::str::from_utf8(&answer.body)
        .map_err(|error| HttpError::Malformed(error.to_string()))?;
    let text: Arc<str> = Arc::from(text);
    Ok(if answer.status.is_success() {
        ExecuteAnswer::Answered(text)
    } else if answer.headers.contains_key(HEADER_NOT_RUN) {
        ExecuteAnswer::NotRun(text)
    } else {
        ExecuteAnswer::Failed(text)
    })
}
