//! What a router costs as the configuration grows: memory, a start, and each change.

use std::ops::Range;
use std::time::{Duration, Instant};

use serde_json::{Map, Value, json};
use teaselworks_config::configuration::key::KeyDigest;
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL, READY_TIMEOUT, WORKSPACE};

use super::changes::{Changes, until_in_force};
use super::collect::Collector;
use super::name::SlopeName;
use super::process::ProcessUse;
use super::reading::process_use;
use crate::own_program;

/// Workspaces of the configuration.
const WORKSPACES: [usize; 4] = [1, 6_000, 12_000, 18_000];
/// Workspaces added by one patch; its size has a limit.
const ADDED_AT_ONCE: usize = 1_000;
/// Limit of each workspace.
const REQUESTS_PER_S: f64 = 20.0;
/// Changes at each size.
const CHANGES: usize = 12;
/// Time for a router that started to come to rest.
const SETTLING: Duration = Duration::from_secs(3);
/// Time of the idle measurement.
const IDLE: Duration = Duration::from_secs(3);
/// Router that commits every change.
const COMMITTER: usize = 0;
/// Router that is started anew at each size, and follows.
const STARTED: usize = 1;

struct Growing {
    fleet: Fleet,
    version: u64,
    workspaces: usize,
}

/// Measures every size of the configuration.
pub async fn measure(points: &mut Collector) -> Result<(), String> {
    let program = own_program::program().map_err(|error| error.to_string())?;
    let plan = FleetPlan::new(program, 2, 1).with_settings(|_, settings| {
        settings.vm_list.poll_ms = 5_000;
        settings.platform.calls_per_s = 50.0;
    });
    let fleet = Fleet::start(plan).await?;
    let mut growing = Growing { fleet, version: 1, workspaces: 0 };
    for workspaces in WORKSPACES {
        eprintln!("{workspaces} workspaces");
        growing.grow(workspaces).await?;
        growing.measure_start(points).await?;
        growing.measure_changes(points).await?;
    }
    Ok(())
}

impl Growing {
    async fn grow(&mut self, workspaces: usize) -> Result<(), String> {
        while self.workspaces < workspaces {
            let next = (self.workspaces + ADDED_AT_ONCE).min(workspaces);
            let patch = added(self.workspaces..next, Some(REQUESTS_PER_S));
            let id = format!("workspaces-{next}");
            let (status, body) = self.fleet.patch(COMMITTER, &id, self.version, &patch).await?;
            if status != 200 {
                return Err(format!("{next} workspaces: {status}: {body}"));
            }
            self.version += 1;
            self.workspaces = next;
        }
        until_in_force(&self.fleet, self.version).await
    }

    async fn measure_start(&mut self, points: &mut Collector) -> Result<(), String> {
        let size = self.workspaces as f64;
        let start = Instant::now();
        let router = &mut self.fleet.routers[STARTED];
        router.restart().map_err(|error| error.to_string())?;
        router.until_ok("/ready", READY_TIMEOUT).await?;
        points.add(SlopeName::StartTime, size, start.elapsed().as_secs_f64() * 1e3);
        tokio::time::sleep(SETTLING).await;
        let used = process_use(&self.fleet.routers[STARTED])?;
        points.add(SlopeName::WorkspacesResident, size, used.resident_bytes as f64 / 1e6);
        points.add(SlopeName::StartPeak, size, used.peak_bytes as f64 / 1e6);
        Ok(())
    }

    async fn measure_changes(&mut self, points: &mut Collector) -> Result<(), String> {
        let size = self.workspaces as f64;
        let before = process_use(&self.fleet.routers[STARTED])?;
        tokio::time::sleep(IDLE).await;
        let rested = process_use(&self.fleet.routers[STARTED])?;
        let begin = Instant::now();
        let weight =
            |number: usize| json!({ "workspaces": { WORKSPACE: { "weight": number + 1 } } });
        let changes = Changes::submit(&self.fleet, 1, self.version, CHANGES, weight).await?;
        self.version += CHANGES as u64;
        let idle_ms = processor_ms(&before, &rested) / IDLE.as_secs_f64();
        let after = process_use(&self.fleet.routers[STARTED])?;
        let all_ms = processor_ms(&rested, &after) - idle_ms * begin.elapsed().as_secs_f64();
        points.add(SlopeName::WorkspacesChangeProcessor, size, all_ms / CHANGES as f64);
        points.add(SlopeName::WorkspacesChangeLate, size, changes.in_force_ms(0.99));
        points.add(SlopeName::ChangedResident, size, after.resident_bytes as f64 / 1e6);
        let committer = process_use(&self.fleet.routers[COMMITTER])?;
        points.add(SlopeName::CommitterResident, size, committer.resident_bytes as f64 / 1e6);
        Ok(())
    }
}

fn processor_ms(before: &ProcessUse, after: &ProcessUse) -> f64 {
    after.processor.saturating_sub(before.processor).as_secs_f64() * 1e3
}

/// Returns the key of a workspace that [`added`] adds.
pub fn key(number: usize) -> String {
    format!("key-of-workspace-{number}")
}

/// Returns a patch that adds workspaces with all members that one usually has; `None`: without
/// limits.
pub fn added(numbers: Range<usize>, requests_per_s: Option<f64>) -> Value {
    let limits = requests_per_s.map(|requests_per_s| {
        json!({
            "requests_per_s": requests_per_s,
            "tokens_per_s": 5_000.0,
            "concurrent_requests": 64,
        })
    });
    let mut workspaces = Map::new();
    for number in numbers {
        let workspace = json!({
            "key_digests": [KeyDigest::of(&key(number)).to_string()],
            "models": [MODEL],
            "weight": 1 + number % 7,
            "limits": limits,
            "budget": { "tokens": 100_000_000, "period_ms": 2_592_000_000_u64 },
        });
        workspaces.insert(format!("workspace-{number:05}"), workspace);
    }
    json!({ "workspaces": workspaces })
}
