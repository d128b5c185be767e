//! A cell: daemons with one configuration, and the stand-ins that they use. All are processes that
//! listen on loopback addresses.

mod builder;
mod layout;
mod process;
mod running;

pub use builder::{CellBuilder, CellError, ProxyPlan};
pub use layout::{CellLayout, data_centre_name};
pub use process::{CHILD_VARIABLE, ChildProcess};
pub use running::{CellDaemon, RunningCell};
