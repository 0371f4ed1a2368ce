//! Lets a program of this crate start itself as a router, so that it needs no other binary.

use std::env;
use std::io;
use std::process::ExitCode;

use teaselworks_standin::router::Program;

/// Hidden first argument with which a program starts itself as a router.
const ROUTER_ARGUMENT: &str = "router";

/// Runs a router when this process was started as one; returns its exit code, else `None`.
///
/// ```
/// assert!(teaselworks_lab::own_program::run_as_router().is_none());
/// ```
pub fn run_as_router() -> Option<ExitCode> {
    let is_router = env::args().nth(1).as_deref() == Some(ROUTER_ARGUMENT);
    is_router.then(|| teaselworks::cli::main_with(env::args_os()))
}

/// Returns this program as one that runs a router; fails when its path is unknown.
pub fn program() -> io::Result<Program> {
    Ok(Program { path: env::current_exe()?, arguments: vec![ROUTER_ARGUMENT.into()] })
}
