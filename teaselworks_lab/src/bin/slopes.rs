//! Measures the slopes that docs/CAPACITY.md is worked out from.
//!
//! `cargo run --release --bin slopes` prints them and writes a plot and a data file. The routers
//! are processes of their own: this program starts itself with a hidden first argument.

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

use clap::{Arg, ArgMatches, Command, value_parser};
use teaselworks_lab::own_program;
use teaselworks_lab::slopes::{self, Part, Recording, Subject};
use tokio::runtime::Runtime;

const COMMAND: &str = "cargo run --release --bin slopes";

fn main() -> ExitCode {
    if let Some(code) = own_program::run_as_router().or_else(slopes::run_as_meter) {
        return code;
    }
    match run(&command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("The slopes could not be measured: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let path = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).default_value(default).value_parser(value_parser!(PathBuf)).help(help)
    };
    Command::new("slopes")
        .about("Measures how the cost of a router grows with the fleet and its work")
        .arg(path("plot", "docs/results/slopes.svg", "Plot to write"))
        .arg(path("data", "docs/results/slopes.json", "Data file to write"))
        .arg(
            Arg::new("only")
                .long("only")
                .value_parser(Part::ALL.map(Part::as_str))
                .help("Measures one part and keeps the others as the data file has them"),
        )
}

fn run(matches: &ArgMatches) -> Result<(), Box<dyn std::error::Error>> {
    let plot: &PathBuf = matches.get_one("plot").expect("it has a default");
    let data: &PathBuf = matches.get_one("data").expect("it has a default");
    let only: Option<&String> = matches.get_one("only");
    let command = match only {
        Some(part) => format!("{COMMAND} -- --only {part}"),
        None => COMMAND.to_owned(),
    };
    let chosen = |part: &Part| only.is_none_or(|only| *only == part.as_str());
    let parts: Vec<Part> = Part::ALL.into_iter().filter(chosen).collect();
    let slopes = Runtime::new()?.block_on(slopes::measure(&parts, &command))?;
    let mut recording = if only.is_some() { Recording::read(data)? } else { Recording::default() };
    recording.processors = thread::available_parallelism()?.get();
    recording.replace(slopes);
    recording.write(data)?;
    slopes::draw(&recording, plot)?;
    print(&recording);
    Ok(())
}

fn print(recording: &Recording) {
    let (least, most) = recording.load_range();
    let processors = recording.processors;
    println!("Load average {least:.1} to {most:.1} on {processors} processors\n");
    println!("Router processes\n{}", slopes::table(recording, Subject::Processes));
    println!("Decisions alone\n{}", slopes::table(recording, Subject::Decisions));
    for line in slopes::risen(recording) {
        println!("{line}");
    }
}
