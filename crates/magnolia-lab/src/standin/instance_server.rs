//! Stand-in of the instance list; `PUT /v1/instances` replaces the list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use futures_util::future::BoxFuture;
use magnolia_http::{
    HttpHandler, HttpRequest, HttpResponse, error_response, json_response, read_body,
};
use magnolia_platform::InstanceEntry;
use magnolia_types::ResultCode;

use super::{StandinError, serve_forever};

/// Largest list in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

#[derive(Default)]
struct InstanceServer {
    entries: Mutex<Vec<InstanceEntry>>,
}

impl InstanceServer {
    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        let (parts, body) = request.into_parts();
        match (parts.method.as_str(), parts.uri.path()) {
            ("GET", "/v1/instances") => {
                let entries = self
                    .entries
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clone();
                json_response(200, &entries)
            }
            ("PUT", "/v1/instances") => {
                let Ok(body) = read_body(body, MAX_LIST_BYTES).await else {
                    return error_response(ResultCode::BadRequest, "the body could not be read");
                };
                match serde_json::from_slice(&body) {
                    Ok(entries) => {
                        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
                        json_response(200, &serde_json::json!({}))
                    }
                    Err(error) => error_response(ResultCode::BadRequest, &error.to_string()),
                }
            }
            _ => error_response(ResultCode::NotFound, "no such path"),
        }
    }
}

impl HttpHandler for InstanceServer {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.answer(request).await })
    }
}

/// Runs the instance list until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be used.
pub async fn run_instances(address: SocketAddr) -> Result<(), StandinError> {
    serve_forever(address, Arc::new(InstanceServer::default())).await
}
