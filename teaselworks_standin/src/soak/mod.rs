//! A randomized soak test: runs real router processes, injects faults from outside them, and checks
//! the guarantees to callers against what callers and replicas observed.

mod bounds;
mod broken_answers;
mod bug;
mod callers;
mod checks;
mod content;
mod crash_checks;
mod fault;
mod faults;
mod fleet;
mod link_checks;
mod pause_checks;
mod record;
mod replica;
mod stream_checks;
mod violation;
mod zone_checks;

use std::error::Error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg32;

pub use self::bug::Bug;
use self::fleet::SoakFleet;
use self::record::{Outcome, Recorder};
pub use self::violation::Violation;
use crate::router::Program;

/// Time without faults at the end of a soak, after which routers must serve every request again.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Settings of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakSettings {
    /// Seed of every random choice. It does not determine how processes and tasks are scheduled, so
    /// two runs with one seed can differ.
    pub seed: u64,
    /// Time for which faults are injected.
    pub duration: Duration,
    /// Number of routers.
    pub routers: usize,
    /// Number of callers, each with one request at a time.
    pub callers: usize,
    /// A bug that is simulated, to test that the check of the guarantee it violates reports it.
    pub simulated_bug: Option<Bug>,
}

/// Result of a soak.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Number of requests that callers sent.
    pub requests: usize,
    /// Number of requests that got a complete response of status 200.
    pub answered: usize,
    /// Number of requests refused with status 503, which states that the request has not run.
    pub refused: usize,
    /// Faults that were injected, in order, with the time since the injection began.
    pub faults: Vec<(Duration, String)>,
    /// Guarantees that were violated.
    pub violations: Vec<Violation>,
    /// Log lines of each router, if a guarantee was violated.
    pub logs: Vec<Vec<String>>,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} requests, {} answered, {} refused, {} faults, {} violations",
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

/// Runs a soak and returns its report, which lists violated guarantees.
///
/// # Errors
///
/// Fails if the fleet cannot be started or a fault cannot be injected or ended.
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
        // Ending all faults cuts connections, also those of requests in progress, and therefore
        // counts as an unplanned fault itself.
        let span = recorder.begin_span(None, false);
        fleet.end_all_faults().await?;
        recorder.end_span(span);
        tokio::time::sleep(SETTLE_TIME).await;
        violations.extend(callers::check_recovery(&fleet).await);
    }
    callers.stop().await;
    let upstreams = fleet.replicas.iter().map(|replica| &replica.upstream);
    recorder.observations().dropped = upstreams.flat_map(|u| u.aborted_requests()).collect();
    violations.extend(checks::check(&recorder));
    let routers = fleet.routers.iter().filter(|_| !violations.is_empty());
    let logs = routers.map(|router| router.process.log()).collect();
    let observations = recorder.observations();
    let outcomes = || observations.requests.iter().map(|request| &request.outcome);
    let is_answered =
        |outcome: &&_| matches!(outcome, Outcome::Response { status: 200, is_whole: true, .. });
    let is_refused = |outcome: &&_| matches!(outcome, Outcome::Response { status: 503, .. });
    Ok(SoakReport {
        requests: outcomes().count(),
        answered: outcomes().filter(is_answered).count(),
        refused: outcomes().filter(is_refused).count(),
        faults,
        violations,
        logs,
    })
}
