//! The command line: the daemon, offline checks, and a client of the operators' port.

mod arguments;
mod check;
mod command;
mod configuration;
mod exit;
mod failure;
mod message;
mod operator;
mod print;
mod republish;
mod router;
mod submit;

use std::ffi::OsString;
use std::io::{self, Write};
use std::process;

use clap::ArgMatches;
use clap::error::ErrorKind;
use tokio::runtime;

use self::arguments::Client;
pub use self::command::command;
pub use self::exit::ExitCode;
use self::failure::Failure;
use self::operator::Operator;
use crate::event;

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
    // Not locked: a router writes from other threads for as long as it runs.
    let mut out = io::stdout();
    let result = run(&matches, &mut out).and_then(|()| out.flush().map_err(Failure::from));
    match result {
        Ok(()) => ExitCode::Ok.into(),
        // The reader, as `head`, has read enough.
        Err(Failure::Output(error)) if error.kind() == io::ErrorKind::BrokenPipe => {
            ExitCode::Ok.into()
        }
        Err(failure) => {
            if is_json(&matches) {
                let _ = print::json(&failure.to_json(), &mut out);
            }
            let _ = writeln!(io::stderr(), "{failure}");
            failure.exit_code().into()
        }
    }
}

/// Tells whether the innermost command was given `--json`.
fn is_json(matches: &ArgMatches) -> bool {
    match matches.subcommand() {
        Some((_, inner)) => is_json(inner),
        None => matches!(matches.try_get_one::<bool>("json"), Ok(Some(true))),
    }
}

fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("router", matches)) => router::run(matches),
        Some(("check", matches)) => check::run(matches, out),
        Some(("config", matches)) => run_config(matches, out),
        Some(("upstreams", matches)) => {
            list(matches, "/v1/upstreams", print::UPSTREAM_COLUMNS, out)
        }
        Some(("workspaces", matches)) => match matches.subcommand() {
            Some(("use", matches)) => list(matches, "/v1/workspaces/use", print::USE_COLUMNS, out),
            _ => list(matches, "/v1/workspaces", print::WORKSPACE_COLUMNS, out),
        },
        Some(("events", matches)) => events(matches, out),
        Some(("completions", matches)) => command::write_completions(matches, out),
        Some(("man", matches)) => command::write_man(matches, out),
        _ => unreachable!("clap requires one of the commands"),
    }
}

fn run_config(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("get", matches)) => {
            on_operator(matches, |operator, client| configuration::get(operator, client, out))
        }
        Some(("history", matches)) => on_operator(matches, |operator, client| {
            configuration::history(operator, client, matches, out)
        }),
        Some(("status", matches)) => {
            list(matches, "/v1/configuration/status", print::STATUS_COLUMNS, out)
        }
        Some(("patch", matches)) => {
            on_operator(matches, |operator, client| submit::run(operator, client, matches, out))
        }
        Some(("republish", matches)) => {
            on_operator(matches, |operator, client| republish::run(operator, client, matches, out))
        }
        _ => unreachable!("clap requires one of the commands"),
    }
}

fn list(
    matches: &ArgMatches,
    path: &str,
    columns: &[&str],
    out: &mut dyn Write,
) -> Result<(), Failure> {
    on_operator(matches, |operator, client| {
        let answer = operator.get(path)?;
        if client.json {
            return print::json(&answer, out);
        }
        print::table(print::rows(&answer)?, columns, out)
    })
}

fn on_operator(
    matches: &ArgMatches,
    work: impl FnOnce(&Operator, &Client) -> Result<(), Failure>,
) -> Result<(), Failure> {
    let client = Client::from_matches(matches);
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    work(&Operator::new(&client, runtime)?, &client)
}

fn events(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Failure> {
    let mut rows = Vec::new();
    for event in event::ALL {
        rows.push(serde_json::json!({
            "event": event.number,
            "level": event.level.as_str().to_lowercase(),
            "name": event.name,
            "meaning": event.meaning,
        }));
    }
    if matches.get_flag("json") {
        return print::json(&rows, out);
    }
    print::table(&rows, print::EVENT_COLUMNS, out)
}
