//! Client of workers over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use magnolia_http::HttpClient;

use crate::http_log::require_success;
use crate::{BackingError, CommandAnswer, CommandBatch, FenceRequest, WorkerClient, WorkerReport};

/// [`WorkerClient`] over HTTP with JSON bodies.
pub struct HttpWorkerClient {
    client: HttpClient,
    call_timeout: Duration,
}

impl HttpWorkerClient {
    /// Maximum duration of a call.
    pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

    /// Creates a client.
    pub fn new(client: HttpClient) -> Self {
        Self {
            client,
            call_timeout: Self::CALL_TIMEOUT,
        }
    }

    async fn post<T: serde::Serialize + Sync>(
        &self,
        worker: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<CommandAnswer, BackingError> {
        let answer = self
            .client
            .post_json(worker, path, body, self.call_timeout)
            .await?;
        Ok(require_success(answer)?.json()?)
    }
}

impl WorkerClient for HttpWorkerClient {
    fn status<'a>(
        &'a self,
        worker: SocketAddr,
        partition: &'a str,
    ) -> BoxFuture<'a, Result<WorkerReport, BackingError>> {
        Box::pin(async move {
            let path = format!("/v1/status?partition={partition}");
            let answer = self.client.get(worker, &path, self.call_timeout).await?;
            Ok(require_success(answer)?.json()?)
        })
    }

    fn fence<'a>(
        &'a self,
        worker: SocketAddr,
        request: &'a FenceRequest,
    ) -> BoxFuture<'a, Result<CommandAnswer, BackingError>> {
        Box::pin(self.post(worker, "/v1/fence", request))
    }

    fn command<'a>(
        &'a self,
        worker: SocketAddr,
        batch: &'a CommandBatch,
    ) -> BoxFuture<'a, Result<CommandAnswer, BackingError>> {
        Box::pin(self.post(worker, "/v1/commands", batch))
    }
}
