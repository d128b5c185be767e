//! The interface of callers and operators: HTTP with JSON.

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
