//! Measures what lasts: time from a patch to its being in force, platform calls, at-most-once calls
//! and the return of the platform, with real routers and a stand-in platform on one machine.
//!
//! The routers are processes of their own, started from this program.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, Command, value_parser};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use teaselworks_lab::{own_program, spread};
use teaselworks_standin::fleet::{Fleet, FleetPlan, SERVICE, WORKSPACE};

const PURPOSES: [&str; 4] = ["configuration", "once", "usage", "orders"];
/// Patches submitted at each size.
const PATCHES: u64 = 40;
/// Calls of each kind.
const CALLS: usize = 300;
/// Time for which idle platform calls are counted.
const IDLE: Duration = Duration::from_secs(30);
/// Pause between two looks at the version of a router.
const LOOK_INTERVAL: Duration = Duration::from_millis(1);
/// Longest wait for a version.
const PATIENCE: Duration = Duration::from_secs(30);

fn main() -> ExitCode {
    if let Some(code) = own_program::run_as_router() {
        return code;
    }
    let matches = Command::new("lasting")
        .about("Measures patches, platform calls, at-most-once calls and the platform's return")
        .arg(
            Arg::new("routers")
                .long("routers")
                .help("Sizes of the fleet")
                .value_parser(value_parser!(usize))
                .num_args(1..)
                .default_values(["1", "4", "8"]),
        )
        .arg(
            Arg::new("outage-s")
                .long("outage-s")
                .help("Length of the outage in seconds")
                .value_parser(value_parser!(u64))
                .default_value("60"),
        )
        .arg(
            Arg::new("in-process")
                .long("in-process")
                .help("Instead: how versions spread among so many configuration services in one process")
                .value_parser(value_parser!(usize))
                .num_args(1..),
        )
        .get_matches();
    if let Some(sizes) = matches.get_many::<usize>("in-process") {
        return measure_spread(sizes.copied().collect());
    }
    let sizes: Vec<usize> = matches.get_many("routers").expect("has defaults").copied().collect();
    let outage = Duration::from_secs(*matches.get_one("outage-s").expect("has a default"));
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    for routers in sizes {
        if let Err(error) = runtime.block_on(measure(routers, outage)) {
            eprintln!("{routers} routers: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Measures at each size in a runtime of its own.
fn measure_spread(sizes: Vec<usize>) -> ExitCode {
    for routers in sizes {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
        match runtime.block_on(spread::measure(routers)) {
            Ok(line) => println!("{line}"),
            Err(error) => {
                eprintln!("{routers} services: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

async fn measure(routers: usize, outage: Duration) -> Result<(), String> {
    let program = own_program::program().map_err(|error| error.to_string())?;
    let mut plan = FleetPlan::new(program, routers, 1);
    plan.services = 2;
    let fleet = Fleet::start(plan).await?;
    println!("routers: {routers}");
    idle_calls(&fleet).await?;
    patches(&fleet).await?;
    at_most_once(&fleet).await?;
    platform_return(&fleet, outage).await
}

/// Counts platform calls of a fleet that nobody asks for anything.
async fn idle_calls(fleet: &Fleet) -> Result<(), String> {
    let before = calls_by_purpose(fleet).await?;
    tokio::time::sleep(IDLE).await;
    let after = calls_by_purpose(fleet).await?;
    let mut line = String::new();
    for (purpose, (before, after)) in PURPOSES.iter().zip(before.iter().zip(&after)) {
        line.push_str(&format!(" {purpose} {:.2}", (after - before) / IDLE.as_secs_f64()));
    }
    println!("  idle calls/s of the fleet:{line}; watches {}", fleet.platform.counts().watches);
    Ok(())
}

async fn calls_by_purpose(fleet: &Fleet) -> Result<Vec<f64>, String> {
    let mut sums = vec![0.0; PURPOSES.len()];
    for router in &fleet.routers {
        for (sum, purpose) in sums.iter_mut().zip(PURPOSES) {
            let label = format!("purpose=\"{purpose}\"");
            *sum += router.metric("teaselworks_platform_calls_total", &[&label]).await?;
        }
    }
    Ok(sums)
}

/// Submits patches through the routers in turn; looks at every router until each is in force.
async fn patches(fleet: &Fleet) -> Result<(), String> {
    let mut accepted_us = histogram();
    let mut in_force_us = histogram();
    let calls = fleet.platform.counts().total();
    for expect in 1..=PATCHES {
        let router = expect as usize % fleet.routers.len();
        let patch = json!({ "workspaces": { WORKSPACE: { "weight": expect } } });
        let start = Instant::now();
        let looks: Vec<_> = (0..fleet.routers.len())
            .map(|index| {
                let url = format!("{}/v1/configuration", fleet.routers[index].operators_url());
                tokio::spawn(async move { in_force(&url, expect + 1, start).await })
            })
            .collect();
        let (status, body) = fleet.patch(router, &format!("p{expect}"), expect, &patch).await?;
        record(&mut accepted_us, start.elapsed());
        if status != 200 {
            return Err(format!("{status}: {body}"));
        }
        for look in looks {
            let time = look.await.map_err(|error| error.to_string())?;
            record(&mut in_force_us, time.ok_or("a version never came into force")?);
        }
    }
    let calls = fleet.platform.counts().total() - calls;
    println!("  patch accepted: {}", percentiles(&accepted_us));
    println!("  patch in force, over routers: {}", percentiles(&in_force_us));
    println!("  platform calls a patch, all routers: {:.1}", calls as f64 / PATCHES as f64);
    Ok(())
}

async fn in_force(url: &str, version: u64, start: Instant) -> Option<Duration> {
    let client = reqwest::Client::builder().no_proxy().build().ok()?;
    while start.elapsed() < PATIENCE {
        let answer = client.get(url).send().await.ok()?.json::<Value>().await.ok()?;
        if answer["version"].as_u64() >= Some(version) {
            return Some(start.elapsed());
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    None
}

/// Compares calls that may be repeated with calls that may not, and with repeats of these.
async fn at_most_once(fleet: &Fleet) -> Result<(), String> {
    let caller = fleet.caller(0);
    for (name, path, method, repeated) in [
        ("plain call", "stock", "GET", false),
        ("at-most-once call", "book", "POST", false),
        ("repeat of it", "book", "POST", true),
    ] {
        let mut times_us = histogram();
        let before = fleet.platform.counts().total();
        for index in 0..CALLS {
            let path = format!("/services/{SERVICE}/{path}/{index}");
            let key = format!("key-{index}");
            let start = Instant::now();
            let (status, body) = caller.call(method, &path, Some(&key), "").await?;
            record(&mut times_us, start.elapsed());
            if status != 200 {
                return Err(format!("{name}: {status}: {body}"));
            }
            // Within the share of at-most-once calls in the router's rate.
            if method == "POST" {
                tokio::time::sleep(Duration::from_millis(if repeated { 110 } else { 210 })).await;
            }
        }
        let calls = (fleet.platform.counts().total() - before) as f64 / CALLS as f64;
        println!("  {name}: {}, {calls:.2} platform calls each", percentiles(&times_us));
    }
    Ok(())
}

/// Takes the platform away under bookings, and looks how fast and with how many calls all return.
async fn platform_return(fleet: &Fleet, outage: Duration) -> Result<(), String> {
    let second = || fleet.platform.counts().reads_by_second.keys().max().copied().unwrap_or(0);
    fleet.platform.server().stop();
    let mut callers = Vec::new();
    for index in 0..fleet.routers.len() {
        let caller = fleet.caller(index);
        callers.push(tokio::spawn(async move {
            let end = Instant::now() + outage;
            let mut key = 0;
            while Instant::now() < end {
                key += 1;
                let path = format!("/services/{SERVICE}/book/o-{index}-{key}");
                let _ = caller.call("POST", &path, None, "").await;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            let back = Instant::now();
            loop {
                key += 1;
                let path = format!("/services/{SERVICE}/book/o-{index}-{key}");
                if let Ok((200, _)) = caller.call("POST", &path, None, "").await {
                    return back.elapsed();
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }));
    }
    tokio::time::sleep(outage).await;
    let last = second();
    fleet.platform.server().resume().map_err(|error| error.to_string())?;
    let mut recovery_us = histogram();
    for caller in callers {
        record(&mut recovery_us, caller.await.map_err(|error| error.to_string())?);
    }
    let counts = fleet.platform.counts();
    let mut peak = 0;
    let seconds = counts.reads_by_second.keys().chain(counts.writes_by_second.keys());
    for at in seconds.filter(|at| **at > last) {
        let reads = counts.reads_by_second.get(at).unwrap_or(&0);
        let writes = counts.writes_by_second.get(at).unwrap_or(&0);
        peak = peak.max(reads + writes);
    }
    let rate: f64 = fleet.routers.iter().map(|r| r.settings().platform.calls_per_s).sum();
    println!(
        "  after {} s without the platform: first booking {}; most calls in a second {peak}, \
         allowed {rate:.0}",
        outage.as_secs(),
        percentiles(&recovery_us)
    );
    Ok(())
}

fn histogram() -> Histogram<u64> {
    let longest_us = PATIENCE.as_micros() as u64;
    Histogram::new_with_bounds(1, longest_us, 3).expect("three digits are allowed")
}

fn record(times_us: &mut Histogram<u64>, time: Duration) {
    times_us.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}

fn percentiles(times_us: &Histogram<u64>) -> String {
    let at = |quantile| times_us.value_at_quantile(quantile) as f64 / 1e3;
    format!("p50 {:.2} ms, p99 {:.2} ms, max {:.2} ms", at(0.5), at(0.99), at(1.0))
}
