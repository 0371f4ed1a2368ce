//! Compares the chosen placement with others under seeded workloads.

use std::process::ExitCode;
use std::thread;

use clap::{Arg, ArgMatches, Command, value_parser};
use teaselworks_lab::experiment::design::{DESIGNS, Design};
use teaselworks_lab::experiment::fleet::Fleet;
use teaselworks_lab::experiment::report::{COLUMNS, Measured};
use teaselworks_lab::experiment::state_kb;
use teaselworks_lab::experiment::workload::{Request, Scale, Workload, generate};

/// Designs that run at once.
const THREADS: usize = 4;

/// Most routers of a size at which every design runs.
const LARGE_ROUTERS: usize = 50;

/// Parts of the letter's size, so that slopes show.
const PARTS: [f64; 4] = [0.125, 0.25, 0.5, 1.0];

fn main() -> ExitCode {
    let matches = command().get_matches();
    let deployment = text(&matches, "deployment");
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or_default();
    let parts: &[f64] = if text(&matches, "size") == "letter" { &PARTS } else { &[0.0] };
    let csv = text(&matches, "format") == "csv";
    print_row(COLUMNS, csv);
    let scale = |part: &f64| match part {
        0.0 => Scale::today(deployment),
        part => Scale::letter(deployment, *part),
    };
    let scales: Vec<Scale> = parts.iter().filter_map(scale).collect();
    let Some(whole) = scales.last() else { return ExitCode::FAILURE };
    // Measured once, before anything is freed whose pages the values could fill.
    let whole_state_kb = format!("{:.0}", state_kb(whole));
    for scale in &scales {
        let large = scale.routers > LARGE_ROUTERS;
        let designs = DESIGNS.into_iter().filter(|design| !large || runs_large(design));
        // Slopes need no disturbance; it is shown at the whole size.
        let part = scale.routers < whole.routers;
        let workloads = if part { &Workload::ALL[..1] } else { &Workload::ALL[..] };
        let state_kb = if part { "" } else { &whole_state_kb };
        let rows = compare(scale, &designs.collect::<Vec<_>>(), workloads, seed);
        for row in rows {
            print_row(&format!("{row},{},{},{state_kb}", scale.routers, scale.engines), csv);
        }
    }
    ExitCode::SUCCESS
}

fn command() -> Command {
    let arg = |name: &'static str| Arg::new(name).long(name);
    Command::new("experiment")
        .about("Compares the chosen placement with others under seeded workloads")
        .arg(arg("size").value_parser(["today", "letter"]).default_value("today"))
        .arg(arg("deployment").value_parser(["archive", "khaima"]).default_value("archive"))
        .arg(arg("seed").value_parser(value_parser!(u64)).default_value("1"))
        .arg(arg("format").value_parser(["table", "csv"]).default_value("table"))
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

/// Tells whether a design runs at the letter's size, where costs are measured.
fn runs_large(design: &Design) -> bool {
    matches!(design.name, "pooled_cache" | "rendezvous" | "chosen" | "chosen_less_merge")
}

fn compare(
    scale: &Scale,
    designs: &[Design],
    workloads: &[(Workload, &str)],
    seed: u64,
) -> Vec<String> {
    let (mut rows, mut steady) = (Vec::new(), Vec::new());
    for (workload, name) in workloads {
        let requests = generate(scale, *workload, seed);
        let results = run_all(scale, designs, *workload, &requests, seed);
        if steady.is_empty() {
            steady = results.clone();
        }
        for (number, design) in designs.iter().enumerate() {
            rows.push(results[number].row(design.name, name, &results[0], &steady[number]));
        }
    }
    rows
}

fn run_all(
    scale: &Scale,
    designs: &[Design],
    workload: Workload,
    requests: &[Request],
    seed: u64,
) -> Vec<Measured> {
    let run = |design: Design| Fleet::new(scale, design, workload, requests, seed).run();
    let mut results = Vec::new();
    for some in designs.chunks(THREADS) {
        results.extend(thread::scope(|scope| {
            let threads: Vec<_> = some.iter().map(|design| scope.spawn(|| run(*design))).collect();
            threads
                .into_iter()
                .map(|thread| thread.join().expect("no run panics"))
                .collect::<Vec<_>>()
        }));
    }
    results
}

fn print_row(row: &str, csv: bool) {
    if csv {
        println!("{row}");
        return;
    }
    let mut line = String::new();
    for (column, value) in row.split(',').enumerate() {
        let width = if column == 0 { 22 } else { 8 };
        line.push_str(&format!("{:width$} ", &value[..value.len().min(width)]));
    }
    println!("{}", line.trim_end());
}
