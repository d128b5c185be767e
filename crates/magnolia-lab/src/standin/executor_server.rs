//! Stand-ins of executors, one address each; the answer is the body behind a fixed prefix.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use futures_util::future::{BoxFuture, try_join_all};
use http::HeaderValue;
use http_body_util::Full;
use magnolia_config::ConfigDocument;
use magnolia_http::{
    HttpHandler, HttpRequest, HttpResponse, error_response, json_response, read_body,
};
use magnolia_platform::{ExecutorStatus, HEADER_NOT_RUN, HEADER_REQUEST_ID};
use magnolia_types::{ExecutorId, ResultCode};

use super::{StandinError, serve_forever};

/// Largest request in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Time that a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(2);

struct ExecutorServer {
    executor: ExecutorId,
    slots: u32,
    max_connections: u32,
    busy: AtomicU32,
}

impl ExecutorServer {
    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        let (parts, body) = request.into_parts();
        let Ok(body) = read_body(body, MAX_REQUEST_BYTES).await else {
            return error_response(ResultCode::BadRequest, "the body could not be read");
        };
        match (parts.method.as_str(), parts.uri.path()) {
            ("GET", "/v1/status") => json_response(200, &self.status()),
            ("POST", "/v1/execute") => {
                let mut response = self.execute(&String::from_utf8_lossy(&body)).await;
                if let Some(id) = parts.headers.get(HEADER_REQUEST_ID) {
                    response.headers_mut().insert(HEADER_REQUEST_ID, id.clone());
                }
                response
            }
            _ => error_response(ResultCode::NotFound, "no such path"),
        }
    }

    fn status(&self) -> ExecutorStatus {
        ExecutorStatus {
            executor: self.executor.clone(),
            slots: self.slots,
            busy: self.busy.load(Ordering::SeqCst),
            max_connections: self.max_connections,
            connections: 0,
            leaving: false,
        }
    }

    async fn execute(&self, body: &str) -> HttpResponse {
        let busy = self.busy.fetch_add(1, Ordering::SeqCst) + 1;
        let response = if busy > self.slots {
            let mut response = error_response(ResultCode::NoBackend, "no free slot");
            response
                .headers_mut()
                .insert(HEADER_NOT_RUN, HeaderValue::from_static("1"));
            response
        } else {
            tokio::time::sleep(SERVICE_TIME).await;
            HttpResponse::new(Full::from(format!("answer to {body}")))
        };
        self.busy.fetch_sub(1, Ordering::SeqCst);
        response
    }
}

impl HttpHandler for ExecutorServer {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.answer(request).await })
    }
}

/// Runs every executor of the inventory until the process ends.
///
/// # Errors
///
/// Fails when an address cannot be used.
pub async fn run_executors(document: &ConfigDocument) -> Result<(), StandinError> {
    let servers = document.executor_blocks.iter().flat_map(|block| {
        block.executors.iter().map(|executor| {
            let server = ExecutorServer {
                executor: executor.name.clone(),
                slots: block.slots,
                max_connections: block.connections,
                busy: AtomicU32::new(0),
            };
            serve_forever(executor.address, Arc::new(server))
        })
    });
    try_join_all(servers).await?;
    Ok(())
}
