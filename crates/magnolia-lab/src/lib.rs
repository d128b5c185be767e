//! Stand-ins of the platform, fault-injecting proxy, load, demo and history checker.

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
