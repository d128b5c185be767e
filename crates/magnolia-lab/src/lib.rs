//! Stand-ins of the platform, fault-injecting proxy, load, demo and history checker.

pub mod cell;
mod command;
pub mod standin;

pub use command::run_main;
