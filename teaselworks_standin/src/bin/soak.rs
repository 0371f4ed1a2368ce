//! Runs a fleet under random faults and checks the promises to callers.
//!
//! Its exit code is 0 where every promise was kept.

use std::error::Error;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use teaselworks_standin::program::main_of;
use teaselworks_standin::router::Program;
use teaselworks_standin::soak::{SoakSettings, run_soak};

fn main() -> std::process::ExitCode {
    main_of(run)
}

async fn run() -> Result<(), Box<dyn Error>> {
    let option = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    let matches = Command::new("soak")
        .about("Runs a fleet under random faults and checks the promises to callers")
        .arg(option("seed", "1", "Seed of the faults").value_parser(value_parser!(u64)))
        .arg(
            option("minutes", "1", "Time for which faults are injected, in minutes")
                .value_parser(value_parser!(f64)),
        )
        .arg(option("routers", "3", "Router processes").value_parser(value_parser!(usize)))
        .arg(option("callers", "24", "Callers").value_parser(value_parser!(usize)))
        .get_matches();
    let minutes: f64 = *matches.get_one("minutes").expect("it has a default");
    let settings = SoakSettings {
        seed: *matches.get_one("seed").expect("it has a default"),
        duration: Duration::from_secs_f64(60.0 * minutes),
        routers: *matches.get_one("routers").expect("it has a default"),
        callers: *matches.get_one("callers").expect("it has a default"),
        simulated_bug: None,
    };
    let program = Program { path: std::env::current_exe()?, arguments: vec!["router".into()] };
    let report = run_soak(program, settings).await?;
    for (at, fault) in &report.faults {
        println!("{:8.3} s  {fault}", at.as_secs_f64());
    }
    print!("seed {}: {report}", settings.seed);
    if report.violations.is_empty() { Ok(()) } else { Err("a promise was broken".into()) }
}
