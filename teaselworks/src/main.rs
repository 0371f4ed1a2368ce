//! Entry point of the `teaselworks` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    teaselworks::cli::main_with(std::env::args_os())
}
