//! HTTP/1.1 server and pooled client over hyper.
//!
//! The client keeps a pool of connections to each peer, bounds every call by a timeout, and
//! discards connections that are too old or make no progress. Its errors tell whether the request
//! may have reached the peer.

mod client;
mod client_guard;
mod client_stream;
mod error;
mod json;
mod memory_budget;
mod pool;
mod request_body;
mod server;
mod traffic;
mod write_guard;

pub use client::{CallLimits, HttpAnswer, HttpClient};
pub use client_guard::{ClientGuard, ClientHandle, ConnectionLimits, GuardCounts};
pub use error::HttpError;
pub use json::{ErrorBody, error_response, json_response, read_body};
pub use memory_budget::{MemoryBudget, MemoryShare};
pub use pool::PoolSettings;
pub use request_body::{BodyError, HeldBody, read_held_body};
pub use server::{
    HttpBody, HttpHandler, HttpRequest, HttpResponse, ServerSettings, serve, serve_with,
};
pub use traffic::{TrafficCount, traffic};
pub use write_guard::WriteGuard;
