//! The commands, their arguments and their manual.

use std::io::Write;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use clap_mangen::Man;

use super::exit::ExitCode;
use super::failure::Failure;
use crate::platform::SETTINGS_VARIABLE;

const NAME: &str = "teaselworks";
const SOURCE: &str = concat!("teaselworks ", env!("CARGO_PKG_VERSION"));

/// Returns the whole command line.
///
/// ```
/// let matches = teaselworks::cli::command().try_get_matches_from(["teaselworks", "events"]).unwrap();
/// assert_eq!(matches.subcommand_name(), Some("events"));
/// ```
pub fn command() -> Command {
    let command = Command::new(NAME)
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes returning chats from many workspaces to a shared fleet of model engines")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(exit_codes())
        .subcommand(router())
        .subcommand(check())
        .subcommand(events())
        .subcommand(completions())
        .subcommand(man());
    #[cfg(feature = "experiment")]
    let command = command.subcommand(experiment());
    command
}

fn exit_codes() -> String {
    let mut text = String::from("Exit codes:");
    for code in ExitCode::ALL {
        text.push_str(&format!("\n  {}  {}", code as u8, code.meaning()));
    }
    text
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .env(SETTINGS_VARIABLE)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings of the router, JSON with comments")
}

fn router() -> Command {
    Command::new("router")
        .about("Run a router until SIGTERM or SIGINT begins a planned stop")
        .arg(settings())
        .after_help(
            "The settings are checked before any port opens. SIGHUP reads them again.\n\n\
             Example:\n  \
             teaselworks router --settings router.jsonc",
        )
}

fn check() -> Command {
    Command::new("check").about("Check settings offline").arg(settings()).after_help(
        "Every fault is printed with file, line and field; the exit code is then 3.\n\n\
             Example:\n  \
             teaselworks check --settings router.jsonc",
    )
}

fn events() -> Command {
    let json = Arg::new("json").long("json").action(ArgAction::SetTrue);
    Command::new("events")
        .about("Print the catalogue of log events")
        .arg(json.help("Print JSON for scripts"))
        .after_help("Example:\n  teaselworks events --json")
}

#[cfg(feature = "experiment")]
fn experiment() -> Command {
    let file = Arg::new("file").value_name("FILE").required(true);
    let out = Arg::new("out").long("out").value_name("FOLDER");
    Command::new("experiment")
        .about("Play recorded loads against the decisions, in variants and with many seeds")
        .arg(file.value_parser(value_parser!(PathBuf)).help("Experiment, JSON with comments"))
        .arg(out.value_parser(value_parser!(PathBuf)).help("Folder for CSV and plots"))
        .after_help(
            "A table of means is printed.\n\n\
             Example:\n  \
             teaselworks experiment teaselworks_model/experiments/placing.jsonc --out /tmp",
        )
}

fn completions() -> Command {
    let shell =
        Arg::new("shell").value_name("SHELL").required(true).value_parser(value_parser!(Shell));
    Command::new("completions")
        .about("Print completions for a shell")
        .arg(shell.help("Shell to complete for"))
        .after_help("Example:\n  teaselworks completions bash > /etc/bash_completion.d/teaselworks")
}

fn man() -> Command {
    let page = Arg::new("page")
        .value_name("PAGE")
        .default_value(NAME)
        .help("Command, as `router`; without it the page of the whole program");
    Command::new("man")
        .about("Print a manual page")
        .arg(page)
        .after_help("Example:\n  teaselworks man router | man -l -")
}

/// Writes the completions of the shell that `matches` names.
pub(super) fn write_completions(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Failure> {
    let shell = *matches.get_one::<Shell>("shell").expect("a required argument");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command(), NAME, &mut script);
    Ok(out.write_all(&script)?)
}

/// Writes the manual page that `matches` names.
pub(super) fn write_man(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Failure> {
    let page = matches.get_one::<String>("page").expect("an argument with a default");
    let mut root = command();
    root.build();
    let found = root.get_subcommands().find(|command| command.get_name() == page).cloned();
    let command = match found {
        Some(command) => command,
        None if page == NAME => root,
        None => return Err(Failure::NoPage(page.clone())),
    };
    let man = Man::new(command).manual("Manual of teaselworks").source(SOURCE);
    Ok(man.render(&mut { out })?)
}
