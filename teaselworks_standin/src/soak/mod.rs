//! A randomized soak: real router processes under faults that come from outside them, with the
//! promises to callers checked from what callers and replicas saw.

mod callers;
mod checks;
mod faults;
mod fleet;
mod record;

use std::error::Error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg32;

pub use self::checks::Violation;
use self::fleet::SoakFleet;
pub use self::record::Bug;
use self::record::Recorder;
use crate::router::Program;

/// Time without faults at the end, after which everything must be served again.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// What one soak does.
#[derive(Clone, Copy, Debug)]
pub struct SoakSettings {
    /// Seed of every random choice; scheduling of processes stays as it comes.
    pub seed: u64,
    /// Time for which faults are injected.
    pub duration: Duration,
    /// Number of routers.
    pub routers: usize,
    /// Number of callers, each with one request at a time.
    pub callers: usize,
    /// A broken promise that is planted, to prove that its check sees it.
    pub simulated_bug: Option<Bug>,
}

/// What a soak saw.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Requests of callers.
    pub requests: usize,
    /// Requests that were answered whole.
    pub answered: usize,
    /// Refusals that promise that the request has not run.
    pub refused: usize,
    /// Faults that were injected, in order, with the time since the start.
    pub faults: Vec<(Duration, String)>,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} requests, {} answered, {} refused, {} faults, {} findings",
            self.requests,
            self.answered,
            self.refused,
            self.faults.len(),
            self.violations.len()
        )?;
        for violation in &self.violations {
            writeln!(f, "  {violation}")?;
        }
        Ok(())
    }
}

/// Runs a soak; fails only where processes could not be started.
pub async fn run_soak(
    program: Program,
    settings: SoakSettings,
) -> Result<SoakReport, Box<dyn Error>> {
    let recorder = Arc::new(Recorder::new(settings.simulated_bug));
    let mut random = Pcg32::seed_from_u64(settings.seed);
    let mut fleet = SoakFleet::start(program, settings.routers, &recorder).await?;
    let callers = callers::start(&fleet, &recorder, settings.callers, settings.seed);
    let faults = faults::inject(&mut fleet, &recorder, settings.duration, &mut random).await?;
    let mut violations = Vec::new();
    if settings.simulated_bug.is_none() {
        // Connections are cut for it, also those of requests in progress.
        let span = recorder.begin_span(None, false);
        fleet.end_all_faults().await?;
        recorder.end_span(span);
        tokio::time::sleep(SETTLE_TIME).await;
        violations.extend(callers::check_recovery(&fleet).await);
    }
    callers.stop().await;
    violations.extend(checks::check(&recorder));
    let counts = recorder.request_counts();
    Ok(SoakReport {
        requests: counts.requests,
        answered: counts.answered,
        refused: counts.refused,
        faults,
        violations,
    })
}
