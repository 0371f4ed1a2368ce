//! What a router keeps in memory for its links to others, far beyond the sizes of the other fleets.
//!
//! The first links of a process cost more than later ones: with them, the allocator opens an arena
//! for each thread, and code is read that was not needed before. A line over few links would take
//! that for the price of a link. The engines stay as many, since each has a state of its own.

use std::time::Duration;

use teaselworks_standin::fleet::{Fleet, FleetPlan};

use super::collect::Collector;
use super::name::SlopeName;
use super::reading::process_use;
use crate::own_program;

/// Sizes of the fleet.
const ROUTERS: [usize; 4] = [8, 50, 100, 200];
/// Engines of each fleet.
const ENGINES: usize = 4;
/// Time between two readings of the list of VMs, as in the settings' default.
const VM_LIST_POLL_MS: u64 = 5_000;
/// Time for the news of the start to be passed on, and later for what opening the links left
/// behind.
const SETTLING: Duration = Duration::from_secs(10);

/// Measures one router of each fleet.
pub async fn measure(points: &mut Collector) -> Result<(), String> {
    for routers in ROUTERS {
        eprintln!("one router with a link to each of {} others", routers - 1);
        measure_size(routers, points).await?;
    }
    Ok(())
}

async fn measure_size(routers: usize, points: &mut Collector) -> Result<(), String> {
    let program = own_program::program().map_err(|error| error.to_string())?;
    let mut plan = FleetPlan::new(program, routers, ENGINES)
        .with_settings(|_, settings| settings.vm_list.poll_ms = VM_LIST_POLL_MS);
    plan.zones = (1..=7).map(|zone| format!("zone-{zone}")).collect();
    let fleet = Fleet::start(plan).await?;
    let hub = &fleet.routers[0];
    tokio::time::sleep(SETTLING).await;
    // Asks every other router, over a link to each.
    hub.get("/v1/configuration/status").await?;
    tokio::time::sleep(SETTLING).await;
    let used = process_use(hub)?;
    let links = hub.metric("teaselworks_links", &[]).await?;
    points.add(SlopeName::IdleResident, links, used.resident_bytes as f64 / 1e6);
    Ok(())
}
