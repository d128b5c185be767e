//! HTTP client of the instance list.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use magnolia_http::HttpClient;

use crate::http_log::success;
use crate::{BackingError, InstanceEntry, InstanceList};

/// Instance list over HTTP/JSON.
pub struct HttpInstanceList {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpInstanceList {
    /// Longest time of one call.
    pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a client of the list at `address`.
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
            Ok(success(answer)?.json()?)
        })
    }
}
