//! Command-line interface: parses the arguments and runs the subcommand.

mod check;
mod command;
mod events;
mod exit;
#[cfg(feature = "experiment")]
mod experiment;
mod failure;
mod router;

use std::ffi::OsString;
use std::io::{self, Write};
use std::process;

use clap::ArgMatches;
use clap::error::ErrorKind;

pub use self::command::command;
pub use self::exit::ExitCode;
use self::failure::CommandError;

/// Runs the program with the arguments `args`; the first one is the program name.
///
/// Output goes to standard output, error messages to standard error.
pub fn main_with<A>(args: impl IntoIterator<Item = A>) -> process::ExitCode
where
    A: Into<OsString> + Clone,
{
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            let is_help =
                matches!(error.kind(), ErrorKind::DisplayHelp | ErrorKind::DisplayVersion);
            // A closed terminal leaves no place to report the error.
            let _ = error.print();
            return if is_help { ExitCode::Ok } else { ExitCode::Usage }.into();
        }
    };
    let mut out = io::stdout();
    let result = run(&matches, &mut out).and_then(|()| out.flush().map_err(CommandError::from));
    match result {
        Ok(()) => ExitCode::Ok.into(),
        // A reader such as `head` closed the pipe after it had read enough, which is no error.
        Err(CommandError::Output(error)) if error.kind() == io::ErrorKind::BrokenPipe => {
            ExitCode::Ok.into()
        }
        Err(error) => {
            let _ = writeln!(io::stderr(), "{error}");
            error.exit_code().into()
        }
    }
}

fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("router", matches)) => router::run(matches),
        Some(("check", matches)) => check::run(matches, out),
        Some(("events", matches)) => events::run(matches, out),
        #[cfg(feature = "experiment")]
        Some(("experiment", matches)) => experiment::run(matches, out),
        Some(("completions", matches)) => command::write_completions(matches, out),
        Some(("man", matches)) => command::write_man(matches, out),
        _ => unreachable!("clap accepts only the defined commands and requires one"),
    }
}
