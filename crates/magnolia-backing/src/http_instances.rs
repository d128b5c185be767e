//! Client of the instance list over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use magnolia_http::HttpClient;

use crate::http_log::require_success;
use crate::{BackingError, InstanceEntry, InstanceList};

/// [`InstanceList`] over HTTP with JSON bodies.
pub struct HttpInstanceList {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpInstanceList {
    /// Maximum duration of a call.
    pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a client of the service at `address`.
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self { client, address }
    }
}

impl InstanceList for HttpInstanceList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<InstanceEntry>, BackingError>> {
        Box::pin(async move {
            let answer = self
                .client
                .get(self.address, "/v1/instances", Self::CALL_TIMEOUT)
                .await?;
            Ok(require_success(answer)?.json()?)
        })
    }
}
