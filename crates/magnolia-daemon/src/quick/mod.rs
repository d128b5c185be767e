//! Quick requests: admission, routing to the owner of an executor group, execution.

mod group;
mod router;

pub use group::{GroupRegistry, run_in_group, start_group, stop_group};
pub use router::run_request;
