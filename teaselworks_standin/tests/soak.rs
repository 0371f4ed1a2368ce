//! A short soak, and proof that each of its checks sees the promise that it guards broken.

use std::time::Duration;

use futures_util::future::join_all;
use teaselworks_standin::router::Program;
use teaselworks_standin::soak::{Plant, SoakReport, SoakSettings, soak};

/// Seeds on which a promise was once found broken, each with its cause.
const FORMER_FINDINGS: [u64; 1] = [
    // A router that was told of changed settings while it started had not caught the signal yet.
    136,
];

async fn play(seed: u64, seconds: u64, plant: Option<Plant>) -> SoakReport {
    let arguments = vec!["router".into()];
    let program = Program { path: env!("CARGO_BIN_EXE_soak").into(), arguments };
    let length = Duration::from_secs(seconds);
    let settings = SoakSettings { seed, length, routers: 3, callers: 16, plant };
    soak(program, settings).await.unwrap_or_else(|error| panic!("seed {seed}: {error}"))
}

/// Guards against promises that hold only while nothing fails, or one thing at a time.
#[tokio::test]
async fn promises_hold_under_random_faults() {
    let seeds: Vec<u64> = [7].into_iter().chain(FORMER_FINDINGS).collect();
    let plays = seeds.iter().map(|seed| play(*seed, 25, None));
    for (seed, report) in seeds.iter().zip(join_all(plays).await) {
        assert!(report.findings.is_empty(), "seed {seed}: {report}\n{:#?}", report.faults);
        assert!(report.answered * 2 > report.requests, "seed {seed}: {report}");
    }
}

/// Guards against checks that see nothing.
#[tokio::test]
async fn every_planted_fault_is_found() {
    let plays = Plant::ALL.map(|plant| play(1, 7, Some(plant)));
    for (plant, report) in Plant::ALL.into_iter().zip(join_all(plays).await) {
        let found = report.findings.iter().any(|finding| finding.promise == plant.promise());
        assert!(found, "{plant:?}: {report}");
    }
}
