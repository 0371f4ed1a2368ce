//! Plays troubles to a fleet that forwards streams and checks the events that callers got.
//!
//! The exit code is 0 if no stream went wrong.

use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use teaselworks_standin::program::main_or_router;
use teaselworks_standin::router::Program;
use teaselworks_standin::stream_fleet::{StreamSettings, Trouble, run_streams};

fn main() -> std::process::ExitCode {
    main_or_router(run)
}

fn command() -> Command {
    let option = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    let names: Vec<String> = Trouble::ALL.iter().map(Trouble::to_string).collect();
    Command::new("streams")
        .about("Plays troubles to a fleet that forwards streams and checks the events")
        .arg(option("seed", "1", "Seed of the random choices").value_parser(value_parser!(u64)))
        .arg(
            option("routers", "31", "Number of router processes")
                .value_parser(value_parser!(usize)),
        )
        .arg(option("engines", "140", "Number of engines").value_parser(value_parser!(usize)))
        .arg(
            option("rate", "80", "Mean number of streams that begin in a second")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            option("seconds", "14", "Time for which streams begin, in seconds")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            option("interval", "3", "Mean time between the beginnings of troubles, in seconds")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            Arg::new("trouble")
                .long("trouble")
                .value_delimiter(',')
                .value_parser(|name: &str| name.parse::<Trouble>())
                .help(format!("Troubles in order, of: {}", names.join(", "))),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .help("Folder for the logs of the routers")
                .value_parser(value_parser!(PathBuf)),
        )
}

async fn run() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let seconds = |name: &str| {
        Duration::from_secs_f64(*matches.get_one(name).expect("the option has a default value"))
    };
    let settings = StreamSettings {
        seed: *matches.get_one("seed").expect("--seed has a default value"),
        routers: *matches.get_one("routers").expect("--routers has a default value"),
        engines: *matches.get_one("engines").expect("--engines has a default value"),
        streams_per_s: *matches.get_one("rate").expect("--rate has a default value"),
        duration: seconds("seconds"),
        troubles: matches.get_many("trouble").into_iter().flatten().copied().collect(),
        trouble_interval: seconds("interval"),
    };
    let program = Program { path: std::env::current_exe()?, arguments: vec!["router".into()] };
    let report = run_streams(&program, &settings).await?;
    print!("{report}");
    if let Some(folder) = matches.get_one::<PathBuf>("logs") {
        std::fs::create_dir_all(folder)?;
        for (number, log) in report.logs.iter().enumerate() {
            let file = folder.join(format!("seed-{}-router-{number}.log", settings.seed));
            std::fs::write(file, log.join("\n"))?;
        }
    }
    if report.wrong_streams().is_empty() {
        Ok(())
    } else {
        Err("streams went wrong, see the report".into())
    }
}
