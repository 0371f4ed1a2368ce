//! Command-line definition, shell completions and manual pages.

use std::io::Write;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use clap_mangen::Man;

use super::exit::ExitCode;
use super::failure::CommandError;
use crate::platform::SETTINGS_VARIABLE;

const PROGRAM_NAME: &str = "teaselworks";
/// Program name and version for the footer of the manual pages.
const MAN_SOURCE: &str = concat!("teaselworks ", env!("CARGO_PKG_VERSION"));

/// Returns the definition of the command line with all subcommands.
///
/// ```
/// let matches = teaselworks::cli::command().try_get_matches_from(["teaselworks", "events"]).unwrap();
/// assert_eq!(matches.subcommand_name(), Some("events"));
/// ```
pub fn command() -> Command {
    let command = Command::new(PROGRAM_NAME)
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes returning chats from many workspaces to a shared fleet of model engines")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(exit_codes_help())
        .subcommand(router_command())
        .subcommand(check_command())
        .subcommand(events_command())
        .subcommand(completions_command())
        .subcommand(man_command());
    #[cfg(feature = "experiment")]
    let command = command.subcommand(experiment_command());
    command
}

/// Returns the help text that lists the exit codes.
fn exit_codes_help() -> String {
    let mut text = String::from("Exit codes:");
    for code in ExitCode::ALL {
        text.push_str(&format!("\n  {}  {}", code as u8, code.meaning()));
    }
    text
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .env(SETTINGS_VARIABLE)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings of the router, JSON with comments")
}

fn router_command() -> Command {
    Command::new("router")
        .about("Run a router until SIGTERM or SIGINT begins a planned stop")
        .arg(settings_arg())
        .after_help(
            "The settings are checked before any port opens. SIGHUP reloads them.\n\n\
             Example:\n  \
             teaselworks router --settings router.jsonc",
        )
}

fn check_command() -> Command {
    Command::new("check").about("Check settings offline").arg(settings_arg()).after_help(
        "Every fault is printed with file, line and field; the exit code is then 3.\n\n\
             Example:\n  \
             teaselworks check --settings router.jsonc",
    )
}

fn events_command() -> Command {
    let json = Arg::new("json").long("json").action(ArgAction::SetTrue);
    Command::new("events")
        .about("Print the catalogue of log events")
        .arg(json.help("Print JSON for scripts"))
        .after_help("Example:\n  teaselworks events --json")
}

#[cfg(feature = "experiment")]
fn experiment_command() -> Command {
    let file = Arg::new("file").value_name("FILE").required(true);
    let out = Arg::new("out").long("out").value_name("FOLDER");
    Command::new("experiment")
        .about(
            "Replay recorded loads against the routing decisions, with several variants and seeds",
        )
        .arg(
            file.value_parser(value_parser!(PathBuf))
                .help("Experiment definition, JSON with comments"),
        )
        .arg(out.value_parser(value_parser!(PathBuf)).help("Folder for the CSV file and the plots"))
        .after_help(
            "A table of means is printed.\n\n\
             Example:\n  \
             teaselworks experiment teaselworks_model/experiments/placing.jsonc --out /tmp",
        )
}

fn completions_command() -> Command {
    let shell =
        Arg::new("shell").value_name("SHELL").required(true).value_parser(value_parser!(Shell));
    Command::new("completions")
        .about("Print completions for a shell")
        .arg(shell.help("Shell to print completions for"))
        .after_help("Example:\n  teaselworks completions bash > /etc/bash_completion.d/teaselworks")
}

fn man_command() -> Command {
    let page = Arg::new("page")
        .value_name("PAGE")
        .default_value(PROGRAM_NAME)
        .help("Command to describe, for instance `router`; the program by default");
    Command::new("man")
        .about("Print a manual page")
        .arg(page)
        .after_help("Example:\n  teaselworks man router | man -l -")
}

/// Writes the completion script for the shell given in `matches`.
pub(super) fn write_completions(
    matches: &ArgMatches,
    out: &mut dyn Write,
) -> Result<(), CommandError> {
    let shell = *matches.get_one::<Shell>("shell").expect("clap requires `shell`");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command(), PROGRAM_NAME, &mut script);
    Ok(out.write_all(&script)?)
}

/// Writes the manual page given in `matches`.
pub(super) fn write_man(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), CommandError> {
    let page = matches.get_one::<String>("page").expect("`page` has a default");
    let mut root = command();
    root.build();
    let subcommand = root.get_subcommands().find(|command| command.get_name() == page).cloned();
    let command = match subcommand {
        Some(command) => command,
        None if page == PROGRAM_NAME => root,
        None => return Err(CommandError::UnknownPage(page.clone())),
    };
    let man = Man::new(command).manual("teaselworks manual").source(MAN_SOURCE);
    Ok(man.render(&mut { out })?)
}
