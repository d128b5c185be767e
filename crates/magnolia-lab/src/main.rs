//! Entry point of `magnolia-lab`.

use std::process::ExitCode;

fn main() -> ExitCode {
    magnolia_lab::run_main(std::env::args_os().collect())
}
