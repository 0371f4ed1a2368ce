//! A short soak, and proof that each of its checks sees the promise that it guards broken.

use std::time::Duration;

use futures_util::future::join_all;
use teaselworks_standin::router::Program;
use teaselworks_standin::soak::{Bug, SoakReport, SoakSettings, run_soak};

/// Seeds on which a promise was once found broken, each with its cause.
const REGRESSION_SEEDS: [u64; 1] = [
    // A router that was told of changed settings while it started had not caught the signal yet.
    136,
];

async fn run_short_soak(seed: u64, duration_s: u64, simulated_bug: Option<Bug>) -> SoakReport {
    let arguments = vec!["router".into()];
    let program = Program { path: env!("CARGO_BIN_EXE_soak").into(), arguments };
    let duration = Duration::from_secs(duration_s);
    let settings = SoakSettings { seed, duration, routers: 3, callers: 16, simulated_bug };
    run_soak(program, settings).await.unwrap_or_else(|error| panic!("soak of seed {seed}: {error}"))
}

/// Guards against promises that hold only while nothing fails, or one thing at a time.
#[tokio::test]
async fn guarantees_hold_under_random_faults() {
    let seeds: Vec<u64> = [7].into_iter().chain(REGRESSION_SEEDS).collect();
    let soaks = seeds.iter().map(|seed| run_short_soak(*seed, 25, None));
    for (seed, report) in seeds.iter().zip(join_all(soaks).await) {
        assert!(report.violations.is_empty(), "seed {seed}: {report}\n{:#?}", report.faults);
        assert!(report.answered * 2 > report.requests, "seed {seed}: {report}");
    }
}

/// Guards against checks that see nothing.
#[tokio::test]
async fn every_simulated_bug_is_reported() {
    let soaks = Bug::ALL.map(|bug| run_short_soak(1, 7, Some(bug)));
    for (bug, report) in Bug::ALL.into_iter().zip(join_all(soaks).await) {
        let is_reported =
            report.violations.iter().any(|violation| violation.guarantee == bug.guarantee());
        assert!(is_reported, "{bug:?}: {report}");
    }
}
