//! Plays troubles to a fleet of real router processes that forward streams, and checks over all tries
//! of each caller that it got the events of the stream that it requested.

mod callers;
mod check;
mod content;
mod engine;
mod fleet;
mod log;
mod report;
mod trouble;

use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use self::callers::Callers;
pub use self::check::{StreamRecord, Try, Way};
pub use self::content::{Content, Event, StreamRoute, Writer};
use self::fleet::StreamFleet;
use self::log::TroubleLog;
pub use self::report::StreamReport;
pub use self::trouble::Trouble;
use self::trouble::Troubles;
use crate::router::Program;

/// Time before the first trouble.
const LEAD_TIME: Duration = Duration::from_millis(2_500);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct StreamSettings {
    /// Seed of every random choice. It does not determine how processes and tasks are scheduled.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Number of engines of both services.
    pub engines: usize,
    /// Mean number of streams that begin in a second.
    pub streams_per_s: f64,
    /// Time for which streams begin.
    pub duration: Duration,
    /// Troubles in the order in which they begin.
    pub troubles: Vec<Trouble>,
    /// Mean time between the beginnings of two troubles, which overlap if they last longer.
    pub trouble_interval: Duration,
}

/// Plays a run and returns its report.
///
/// # Errors
///
/// Fails if the fleet cannot be started or a trouble cannot be played.
pub async fn run_streams(
    program: &Program,
    settings: &StreamSettings,
) -> Result<StreamReport, Box<dyn Error>> {
    let fleet = Arc::new(StreamFleet::start(program, settings.routers, settings.engines).await?);
    let routers = 0..settings.routers;
    let addresses = routers.map(|number| fleet.router(number).process.callers_address()).collect();
    let callers = Arc::new(Callers::new(addresses));
    let started_at = Instant::now();
    let log = TroubleLog::default();
    let troubles = Arc::new(Troubles {
        fleet: fleet.clone(),
        resets: callers.resets.clone(),
        log: log.clone(),
        started_at,
    });
    let mut random = Pcg32::seed_from_u64(settings.seed);
    let mut playing = tokio::task::JoinSet::new();
    let mut begin = LEAD_TIME;
    for (number, trouble) in settings.troubles.iter().copied().enumerate() {
        let (troubles, seed) = (troubles.clone(), random.random());
        playing.spawn(async move {
            tokio::time::sleep(begin).await;
            troubles.play(trouble, number, seed).await
        });
        begin += settings.trouble_interval.mul_f64(random.random_range(0.5..1.5));
    }
    let streams = callers.run(settings.streams_per_s, settings.duration, random.random()).await;
    while let Some(result) = playing.join_next().await {
        result?.map_err(|error| error.to_string())?;
    }
    let logs = (0..settings.routers).map(|number| fleet.router(number).process.log()).collect();
    Ok(StreamReport { streams, troubles: log.lines(), logs })
}
