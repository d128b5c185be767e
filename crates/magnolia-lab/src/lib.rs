//! Test lab of the scheduler.
//!
//! The lab starts a cell: daemons, and stand-ins for the services of the platform and for the back
//! ends, which are workers and executors. It sends load, injects faults with a proxy or at the
//! stand-ins, records every event in histories, and checks the histories afterwards. It also
//! measures the effects of failures and the resource usage of daemons.

pub mod capacity;
pub mod cell;
pub mod checker;
mod command;
pub mod history;
pub mod load;
pub mod proxy;
pub mod scenario;
pub mod standin;

pub use command::run_main;
