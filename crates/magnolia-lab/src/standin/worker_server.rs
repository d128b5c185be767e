//! Stand-ins of workers, one address each.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use futures_util::future::{BoxFuture, try_join_all};
use magnolia_config::ConfigDocument;
use magnolia_http::{
    HttpHandler, HttpRequest, HttpResponse, error_response, json_response, read_body,
};
use magnolia_types::{Incarnation, Millis, ResultCode};

use super::{StandinError, WorkerModel, query_value, serve_forever};

/// Largest batch in bytes.
const MAX_BATCH_BYTES: usize = 4 << 20;

struct WorkerServer {
    model: Mutex<WorkerModel>,
    origin: Instant,
}

impl WorkerServer {
    fn now(&self) -> Millis {
        Millis::new(u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        let (parts, body) = request.into_parts();
        let Ok(body) = read_body(body, MAX_BATCH_BYTES).await else {
            return error_response(ResultCode::BadRequest, "the body could not be read");
        };
        let now = self.now();
        let mut model = self.model.lock().unwrap_or_else(PoisonError::into_inner);
        match (parts.method.as_str(), parts.uri.path()) {
            ("GET", "/v1/status") => {
                model.advance(now);
                let partition = query_value(parts.uri.query(), "partition").unwrap_or_default();
                json_response(200, &model.report(now, partition, None))
            }
            ("POST", "/v1/fence") => match serde_json::from_slice(&body) {
                Ok(request) => json_response(200, &model.fence(now, &request)),
                Err(error) => error_response(ResultCode::BadRequest, &error.to_string()),
            },
            ("POST", "/v1/commands") => match serde_json::from_slice(&body) {
                Ok(batch) => json_response(200, &model.command(now, &batch)),
                Err(error) => error_response(ResultCode::BadRequest, &error.to_string()),
            },
            _ => error_response(ResultCode::NotFound, "no such path"),
        }
    }
}

impl HttpHandler for WorkerServer {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.answer(request).await })
    }
}

/// Runs every worker of the inventory until the process ends.
///
/// # Errors
///
/// Fails when an address cannot be used.
pub async fn run_workers(document: &ConfigDocument) -> Result<(), StandinError> {
    let partitions = document.partitions();
    let workers = partitions
        .iter()
        .flat_map(|partition| document.workers_of(partition));
    let servers = workers.map(|(_, worker, capacity)| {
        let incarnation = Incarnation::new(rand::random());
        let model = WorkerModel::new(worker.name.clone(), incarnation, capacity);
        let server = WorkerServer {
            model: Mutex::new(model),
            origin: Instant::now(),
        };
        serve_forever(worker.address, Arc::new(server))
    });
    try_join_all(servers).await?;
    Ok(())
}
