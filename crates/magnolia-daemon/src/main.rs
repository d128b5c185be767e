//! Entry point of `magnoliad`.

use std::process::ExitCode;

fn main() -> ExitCode {
    magnolia_daemon::run_main(std::env::args_os()).into()
}
