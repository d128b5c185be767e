//! A cell of daemons and stand-ins as processes on loopback.

mod builder;
mod layout;
mod process;
mod running;

pub use builder::{CellBuilder, CellError, ProxyPlan};
pub use layout::{CellLayout, centre_name};
pub use process::{CHILD_VARIABLE, ChildProcess};
pub use running::{CellDaemon, RunningCell};
