//! Submits configuration changes and reads from the routers' logs when each was in force.

use std::time::Duration;

use hdrhistogram::Histogram;
use jiff::Timestamp;
use serde_json::Value;
use teaselworks_standin::fleet::Fleet;

/// Time between two changes.
const INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait until the last change is in force everywhere.
const PATIENCE: Duration = Duration::from_secs(30);
/// Longest time that is told apart.
const LONGEST_US: u64 = 120_000_000;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Event that a router logs when a configuration comes into force.
const IN_FORCE: &str = "configuration_in_force: version=";

/// Times from submission to in force, over all changes and routers.
#[derive(Debug)]
pub struct Changes {
    in_force_us: Histogram<u64>,
}

impl Changes {
    /// Submits changes to the first `committers` routers in turn, the first one against the number
    /// `held`; waits until the last is in force on every router, and fails when that takes too
    /// long.
    ///
    /// A router that skips a number, because it learned a later one first, counts with the time of
    /// the later one.
    pub async fn submit(
        fleet: &Fleet,
        committers: usize,
        held: u64,
        count: usize,
        patch: impl Fn(usize) -> Value,
    ) -> Result<Self, String> {
        let mut submitted = Vec::new();
        for number in 0..count {
            let router = number % committers;
            let expect = held + number as u64;
            let id = format!("change-{expect}");
            submitted.push(Timestamp::now());
            let (status, body) = fleet.patch(router, &id, expect, &patch(number)).await?;
            if status != 200 {
                return Err(format!("change {expect}: {status}: {body}"));
            }
            tokio::time::sleep(INTERVAL).await;
        }
        until_in_force(fleet, held + count as u64).await?;
        let bounds = Histogram::new_with_bounds(1, LONGEST_US, 3);
        let mut in_force_us = bounds.map_err(|error| error.to_string())?;
        for router in &fleet.routers {
            let log = in_force(&router.log());
            for (number, at) in submitted.iter().enumerate() {
                let version = held + number as u64 + 1;
                let first =
                    log.iter().filter(|(held, _)| *held >= version).map(|(_, at)| *at).min();
                let elapsed = first.ok_or("a change was never in force")?.duration_since(*at);
                in_force_us.saturating_record(elapsed.as_micros().max(0) as u64);
            }
        }
        Ok(Self { in_force_us })
    }

    /// Returns the time within which a share of all changes was in force, in milliseconds.
    pub fn in_force_ms(&self, share: f64) -> f64 {
        self.in_force_us.value_at_quantile(share) as f64 / 1e3
    }
}

/// Waits until a number is in force on every router; fails when it never is.
pub async fn until_in_force(fleet: &Fleet, version: u64) -> Result<(), String> {
    let start = std::time::Instant::now();
    while start.elapsed() < PATIENCE {
        let reached = |log: Vec<String>| in_force(&log).iter().any(|(held, _)| *held >= version);
        if fleet.routers.iter().all(|router| reached(router.log())) {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(format!("number {version} is not in force everywhere"))
}

/// Returns the numbers that a log shows coming into force, and when.
fn in_force(log: &[String]) -> Vec<(u64, Timestamp)> {
    let mut found = Vec::new();
    for line in log {
        let Some((head, tail)) = line.split_once(IN_FORCE) else { continue };
        let version = tail.split(' ').next().and_then(|text| text.parse().ok());
        let at = head.split(' ').next().and_then(|text| text.parse().ok());
        if let (Some(version), Some(at)) = (version, at) {
            found.push((version, at));
        }
    }
    found
}
