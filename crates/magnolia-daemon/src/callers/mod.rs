//! The HTTP interface for callers and operators, with JSON bodies.

mod checks;
mod config_routes;
mod handler;
mod job_routes;
mod key_routing;
mod operator_routes;
mod quick_routes;
mod request;
mod route;
mod status;

pub use handler::CallerHandler;
