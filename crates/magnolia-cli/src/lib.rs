//! The magnoliactl command-line tool.

mod command;
mod config_commands;
mod endpoint;
mod exit;
mod job_commands;
mod operator_commands;
mod output;
mod run;
mod work_args;

pub use command::command;
pub use exit::ExitStatus;
pub use run::run_main;
