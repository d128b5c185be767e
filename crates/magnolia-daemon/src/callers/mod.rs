//! The interface of callers and operators: HTTP with JSON.

mod config_routes;
mod handler;
mod job_routes;
mod operator_routes;
mod quick_routes;
mod request;

pub use handler::CallerHandler;
