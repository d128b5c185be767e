//! HTTP/1.1 server and pooled client over hyper.
//!
//! The client keeps a pool of connections to each peer, bounds every call by a timeout, and
//! discards connections that are too old or make no progress. Its errors tell whether the request
//! may have reached the peer.

mod client;
mod error;
mod json;
mod pool;
mod server;
mod traffic;
mod write_guard;

pub use client::{CallLimits, HttpAnswer, HttpClient};
pub use error::HttpError;
pub use json::{ErrorBody, error_response, json_response, read_body};
pub use pool::PoolSettings;
pub use server::{HttpBody, HttpHandler, HttpRequest, HttpResponse, serve};
pub use traffic::{TrafficCount, traffic};
pub use write_guard::WriteGuard;
