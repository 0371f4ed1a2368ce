//! The commands, their arguments and their manual.

use std::io::Write;

use clap::{Arg, ArgGroup, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use clap_mangen::Man;

use super::arguments::{client, file, json, submission};
use super::exit::ExitCode;
use super::failure::Failure;

const NAME: &str = "teaselworks";
const SOURCE: &str = concat!("teaselworks ", env!("CARGO_PKG_VERSION"));

/// Returns the whole command line.
///
/// ```
/// let matches = teaselworks::cli::command().try_get_matches_from(["teaselworks", "events"]).unwrap();
/// assert_eq!(matches.subcommand_name(), Some("events"));
/// ```
pub fn command() -> Command {
    Command::new(NAME)
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes returning chats from many workspaces to a shared fleet of model engines")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(exit_codes())
        .subcommand(router())
        .subcommand(check())
        .subcommand(config())
        .subcommand(upstreams())
        .subcommand(workspaces())
        .subcommand(events())
        .subcommand(completions())
        .subcommand(man())
}

fn exit_codes() -> String {
    let mut text = String::from("Exit codes:");
    for code in ExitCode::ALL {
        text.push_str(&format!("\n  {}  {}", code as u8, code.meaning()));
    }
    text
}

fn router() -> Command {
    Command::new("router")
        .about("Run a router until SIGTERM or SIGINT begins a planned stop")
        .arg(file("settings", "Settings of the router").required(true))
        .after_help(
            "The settings are checked before any port opens.\n\n\
             Example:\n  \
             teaselworks router --settings router.jsonc",
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Check settings, a configuration and a patch offline")
        .arg(file("settings", "Settings of a router"))
        .arg(file("configuration", "Configuration of the fleet"))
        .arg(file(
            "patch",
            "Patch, applied to the configuration given, or to an empty one; shows the difference",
        ))
        .arg(json())
        .group(
            ArgGroup::new("files")
                .args(["settings", "configuration", "patch"])
                .required(true)
                .multiple(true),
        )
        .after_help(
            "Every fault is printed with file, line and field; the exit code is then 3.\n\n\
             Examples:\n  \
             teaselworks check --settings router.jsonc\n  \
             teaselworks check --configuration fleet.jsonc --patch more-tokens.jsonc",
        )
}

fn config() -> Command {
    Command::new("config")
        .about("Show and patch the numbered configuration of the fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(config_get())
        .subcommand(config_patch())
        .subcommand(config_republish())
        .subcommand(config_history())
        .subcommand(config_status())
}

fn config_get() -> Command {
    Command::new("get").about("Print the configuration in force").args(client()).after_help(
        "The output can be given to `check --configuration`.\n\n\
             Examples:\n  \
             teaselworks config get > fleet.jsonc\n  \
             teaselworks config get --json --operator http://10.0.1.7:8082",
    )
}

fn config_patch() -> Command {
    let expect = "Version that the patch was made for; refused if another one is in force";
    let dry_run = Arg::new("dry-run")
        .long("dry-run")
        .action(clap::ArgAction::SetTrue)
        .help("Show the difference and submit nothing");
    let patch = Arg::new("patch")
        .value_name("FILE")
        .required(true)
        .help("JSON merge patch (RFC 7396), comments allowed; `-` reads standard input");
    Command::new("patch")
        .about("Submit a patch of the configuration")
        .args(submission(expect))
        .arg(dry_run)
        .args(client())
        .arg(patch)
        .after_help(
            "Shows the difference, then submits the patch under a new id. A patch whose outcome is \
             unknown is resubmitted under the same id: it is never applied twice.\n\n\
             Examples:\n  \
             teaselworks config patch --expect 41 --reason 'festival week' more-tokens.jsonc\n  \
             teaselworks config patch --expect 41 --reason 'festival week' --dry-run more-tokens.jsonc",
        )
}

fn config_republish() -> Command {
    let expect = "Version in force at that router; refused if another one is in force there";
    let yes = Arg::new("yes")
        .long("yes")
        .action(clap::ArgAction::SetTrue)
        .help("Publish without asking; else the answer `yes` is read from standard input");
    Command::new("republish")
        .about("Publish the fleet's configuration to a platform that came back behind it")
        .args(submission(expect))
        .arg(yes)
        .args(client())
        .after_help(
            "For a platform that was restored from a backup and makes routers refuse patches as \
             `platform_behind`. Shows what will happen and asks; then the configuration in force at \
             that router becomes the next version. Refused where the platform is not behind, and \
             where another router holds a higher version: use that router's --operator. An outcome \
             that is unknown is settled under the same id.\n\n\
             Examples:\n  \
             teaselworks config republish --expect 41 --reason 'restored backup of Monday'\n  \
             teaselworks config republish --expect 41 --reason 'restored backup' --yes --json",
        )
}

fn config_history() -> Command {
    let limit = Arg::new("limit")
        .long("limit")
        .value_name("N")
        .default_value("20")
        .value_parser(value_parser!(u32).range(1..))
        .help("Number of patches, latest first");
    Command::new("history")
        .about("List accepted patches: who, when, why")
        .arg(limit)
        .args(client())
        .after_help("Examples:\n  teaselworks config history --limit 5")
}

fn config_status() -> Command {
    Command::new("status")
        .about("Show the version in force at each router")
        .args(client())
        .after_help("Examples:\n  teaselworks config status --json")
}

fn upstreams() -> Command {
    Command::new("upstreams")
        .about("List replicas of engines and services with owner, load and role")
        .args(client())
        .after_help("Examples:\n  teaselworks upstreams")
}

fn workspaces() -> Command {
    Command::new("workspaces")
        .about("List workspaces with use and budget of the period")
        .args(client())
        .args_conflicts_with_subcommands(true)
        .subcommand(
            Command::new("use")
                .about("Report use by workspace, model and adapter")
                .args(client())
                .after_help("Examples:\n  teaselworks workspaces use --json"),
        )
        .after_help("Examples:\n  teaselworks workspaces\n  teaselworks workspaces use")
}

fn events() -> Command {
    Command::new("events")
        .about("Print the catalogue of log events")
        .arg(json())
        .after_help("Examples:\n  teaselworks events --json")
}

fn completions() -> Command {
    let shell =
        Arg::new("shell").value_name("SHELL").required(true).value_parser(value_parser!(Shell));
    Command::new("completions")
        .about("Print completions for a shell")
        .arg(shell.help("Shell to complete for"))
        .after_help(
            "Examples:\n  teaselworks completions bash > /etc/bash_completion.d/teaselworks",
        )
}

fn man() -> Command {
    let page = Arg::new("page")
        .value_name("PAGE")
        .default_value(NAME)
        .help("Command with its group, as `config-patch`");
    Command::new("man").about("Print a manual page").arg(page).after_help(
        "Examples:\n  teaselworks man | man -l -\n  teaselworks man config-patch | man -l -",
    )
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
    let Some(command) = find_page(&root, page) else {
        return Err(Failure::Answer { problem: format!("There is no page {page}.") });
    };
    let man = Man::new(command).manual("Manual of teaselworks").source(SOURCE);
    Ok(man.render(&mut { out })?)
}

fn find_page(command: &Command, page: &str) -> Option<Command> {
    let name = command.get_display_name().unwrap_or(command.get_name());
    let short = name.strip_prefix(NAME).and_then(|rest| rest.strip_prefix('-'));
    if name == page || short == Some(page) {
        return Some(command.clone());
    }
    for subcommand in command.get_subcommands() {
        if let Some(found) = find_page(subcommand, page) {
            return Some(found);
        }
    }
    None
}
