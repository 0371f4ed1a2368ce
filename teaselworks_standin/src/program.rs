//! Entry point of programs that start their own executable as routers, so that one build of one
//! executable is enough.

use std::error::Error;
use std::process::ExitCode;

/// Runs the program as a router if its first argument is `router`, otherwise runs `run` to its end.
/// An error is printed to standard error.
pub fn main_or_router<F>(run: impl FnOnce() -> F) -> ExitCode
where
    F: Future<Output = Result<(), Box<dyn Error>>>,
{
    if std::env::args().nth(1).as_deref() == Some("router") {
        return teaselworks::cli::main_with(std::env::args_os());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run()),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("failed: {error}");
            ExitCode::FAILURE
        }
    }
}
