//! The command line.

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
use self::failure::Failure;

/// Runs the command line `args`, whose first element is the program's name.
///
/// Output goes to standard output, failures to standard error.
pub fn main_with<A>(args: impl IntoIterator<Item = A>) -> process::ExitCode
where
    A: Into<OsString> + Clone,
{
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            let is_help =
                matches!(error.kind(), ErrorKind::DisplayHelp | ErrorKind::DisplayVersion);
            // Where the terminal is gone nobody is left to tell.
            let _ = error.print();
            return if is_help { ExitCode::Ok } else { ExitCode::Usage }.into();
        }
    };
    let mut out = io::stdout();
    let result = run(&matches, &mut out).and_then(|()| out.flush().map_err(Failure::from));
    match result {
        Ok(()) => ExitCode::Ok.into(),
        // The reader, as `head`, has read enough.
        Err(Failure::Output(error)) if error.kind() == io::ErrorKind::BrokenPipe => {
            ExitCode::Ok.into()
        }
        Err(failure) => {
            let _ = writeln!(io::stderr(), "{failure}");
            failure.exit_code().into()
        }
    }
}

fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("router", matches)) => router::run(matches),
        Some(("check", matches)) => check::run(matches, out),
        Some(("events", matches)) => events::run(matches, out),
        #[cfg(feature = "experiment")]
        Some(("experiment", matches)) => experiment::run(matches, out),
        Some(("completions", matches)) => command::write_completions(matches, out),
        Some(("man", matches)) => command::write_man(matches, out),
        _ => unreachable!("clap requires one of the commands"),
    }
}
