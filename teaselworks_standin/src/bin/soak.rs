//! Runs a fleet under random faults and checks the guarantees to callers.
//!
//! The exit code is 0 if no guarantee was violated.

use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use teaselworks_standin::program::main_or_router;
use teaselworks_standin::router::Program;
use teaselworks_standin::soak::{SoakSettings, run_soak};

fn main() -> std::process::ExitCode {
    main_or_router(run)
}

async fn run() -> Result<(), Box<dyn Error>> {
    let option = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    let matches = Command::new("soak")
        .about("Runs a fleet under random faults and checks the guarantees to callers")
        .arg(option("seed", "1", "Seed of the random faults").value_parser(value_parser!(u64)))
        .arg(
            option("minutes", "1", "Time for which faults are injected, in minutes")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            option("routers", "3", "Number of router processes").value_parser(value_parser!(usize)),
        )
        .arg(
            option("callers", "24", "Number of callers, each with one request at a time")
                .value_parser(value_parser!(usize)),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .help("Folder for the logs of the routers, which are written on a violation")
                .value_parser(value_parser!(PathBuf)),
        )
        .get_matches();
    let minutes: f64 = *matches.get_one("minutes").expect("--minutes has a default value");
    let settings = SoakSettings {
        seed: *matches.get_one("seed").expect("--seed has a default value"),
        duration: Duration::from_secs_f64(60.0 * minutes),
        routers: *matches.get_one("routers").expect("--routers has a default value"),
        callers: *matches.get_one("callers").expect("--callers has a default value"),
        simulated_bug: None,
    };
    let program = Program { path: std::env::current_exe()?, arguments: vec!["router".into()] };
    let report = run_soak(program, settings).await?;
    for (at, fault) in &report.faults {
        println!("{:8.3} s  {fault}", at.as_secs_f64());
    }
    print!("seed {}: {report}", settings.seed);
    if let Some(folder) = matches.get_one::<PathBuf>("logs") {
        for (number, log) in report.logs.iter().enumerate() {
            std::fs::create_dir_all(folder)?;
            let file = folder.join(format!("seed-{}-router-{number}.log", settings.seed));
            std::fs::write(file, log.join("\n"))?;
        }
    }
    if report.violations.is_empty() {
        Ok(())
    } else {
        Err("a guarantee was violated, see the report".into())
    }
}
