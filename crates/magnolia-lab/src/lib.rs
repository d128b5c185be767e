//! Stand-ins for the platform, a fault-injecting proxy, load generators and a history checker.

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
