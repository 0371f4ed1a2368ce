//! The teaselworks binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    teaselworks::cli::main_with(std::env::args_os())
}
