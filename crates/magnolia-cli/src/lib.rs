//! The command-line tool `magnoliactl`, with which operators and callers use a cell.

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
