//! Runs short soaks, and tests that each check reports the violations of its guarantee.

use std::time::Duration;

use futures_util::future::join_all;
use teaselworks_standin::router::Program;
use teaselworks_standin::soak::{Bug, SoakReport, SoakSettings, run_soak};

/// Seeds of soaks that once reported a violation, each with its cause.
const REGRESSION_SEEDS: [u64; 5] = [
    // A router got SIGHUP while it started, before it had installed its handler for the signal.
    136,
    // Replicas became cold twice by equal entries, and the second one was taken for the first.
    513, 514,
    // Sound requests were refused with the one that crashed the replicas which ran both.
    904,
    // A sound part was blocked by reports of crashes that a refused request had explained.
    969,
];

/// Number of soaks with a simulated bug at a time. With more, callers may send too few requests for a bug
/// to show.
const CONCURRENT_BUGS: usize = 6;

async fn run_short_soak(seed: u64, duration_s: u64, simulated_bug: Option<Bug>) -> SoakReport {
    let arguments = vec!["router".into()];
    let program = Program { path: env!("CARGO_BIN_EXE_soak").into(), arguments };
    let duration = Duration::from_secs(duration_s);
    let settings = SoakSettings { seed, duration, routers: 3, callers: 16, simulated_bug };
    run_soak(program, settings).await.unwrap_or_else(|error| panic!("soak of seed {seed}: {error}"))
}

/// Guards against guarantees that hold only while nothing fails, or while faults occur one at a
/// time: the faults of a soak overlap. It also fails if half of the requests or more get no
/// complete response, because a router that refuses everything violates no guarantee.
#[tokio::test]
async fn guarantees_hold_under_random_faults() {
    let seeds: Vec<u64> = [7].into_iter().chain(REGRESSION_SEEDS).collect();
    let soaks = seeds.iter().map(|seed| run_short_soak(*seed, 90, None));
    for (seed, report) in seeds.iter().zip(join_all(soaks).await) {
        assert!(report.violations.is_empty(), "seed {seed}: {report}\n{:#?}", report.faults);
        assert!(report.answered * 2 > report.requests, "seed {seed}: {report}");
    }
}

/// Guards against checks that report nothing: each soak simulates one bug, and the check of the
/// guarantee that the bug violates must report it.
#[tokio::test]
async fn every_simulated_bug_is_reported() {
    let mut unreported = Vec::new();
    for bugs in Bug::ALL.chunks(CONCURRENT_BUGS) {
        let soaks = bugs.iter().map(|bug| run_short_soak(1, 12, Some(*bug)));
        for (bug, report) in bugs.iter().zip(join_all(soaks).await) {
            let is_reported =
                report.violations.iter().any(|violation| violation.guarantee == bug.guarantee());
            if !is_reported {
                unreported.push(format!("{bug:?}: {report}\n{:#?}", report.faults));
            }
        }
    }
    assert!(unreported.is_empty(), "{}", unreported.join("\n"));
}
