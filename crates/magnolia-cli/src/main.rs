//! Entry point of `magnoliactl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    magnolia_cli::run_main(std::env::args_os()).into()
}
