//! What a router costs as the fleet grows: idle, with a light load, and for each change of the
//! configuration.

use std::time::{Duration, Instant};

use serde_json::json;
use teaselworks_standin::caller::Chat;
use teaselworks_standin::engine::EngineOptions;
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL, WORKSPACE};
use teaselworks_wire::message::Purpose;

use super::changes::Changes;
use super::collect::Collector;
use super::name::SlopeName;
use super::reading::{Reading, Span};
use crate::own_program;

/// Sizes of the fleet.
const ROUTERS: [usize; 6] = [2, 4, 8, 16, 32, 48];
/// Time for news of the start to be passed on before an idle fleet is measured.
const SETTLING: Duration = Duration::from_secs(8);
/// Time of the idle measurement: two rounds of engines' load reports.
const IDLE: Duration = Duration::from_secs(30);
/// Time of the light load.
const LOADED: Duration = Duration::from_secs(8);
/// Time until the use of the last chat is with the platform.
const FLUSHED: Duration = Duration::from_secs(14);
/// Time between two chats at one router.
const CHAT_INTERVAL: Duration = Duration::from_millis(500);
/// Tokens of each answer.
const OUTPUT_TOKENS: u32 = 16;
/// Changes of the configuration.
const CHANGES: usize = 24;
/// Routers that hold a watch, as follows from the settings' default.
const WATCHERS: f64 = 8.0;
/// Time between two readings of the list of VMs, as in the settings' default.
const VM_LIST_POLL_MS: u64 = 5_000;

/// Control bytes that an idle fleet sends, by purpose.
const IDLE_BYTES: [(SlopeName, Purpose); 6] = [
    (SlopeName::LinkBytes, Purpose::Link),
    (SlopeName::MembershipBytes, Purpose::Membership),
    (SlopeName::ConfigurationBytes, Purpose::Configuration),
    (SlopeName::UsageBytes, Purpose::Usage),
    (SlopeName::LoadBytes, Purpose::Load),
    (SlopeName::UpstreamBytes, Purpose::Upstream),
];

/// Measures every size of the fleet.
pub async fn measure(points: &mut Collector) -> Result<(), String> {
    for routers in ROUTERS {
        eprintln!("{routers} routers");
        measure_size(routers, points).await?;
    }
    Ok(())
}

async fn measure_size(routers: usize, points: &mut Collector) -> Result<(), String> {
    let fleet = start(routers).await?;
    open_links(&fleet).await?;
    tokio::time::sleep(SETTLING).await;
    let idle = measure_idle(&fleet, points).await?;
    measure_load(&fleet, &idle, points).await?;
    measure_changes(&fleet, &idle, points).await
}

async fn start(routers: usize) -> Result<Fleet, String> {
    let program = own_program::program().map_err(|error| error.to_string())?;
    let mut plan = FleetPlan::new(program, routers, routers)
        .with_settings(|_, settings| settings.vm_list.poll_ms = VM_LIST_POLL_MS);
    plan.zones = (1..=7).map(|zone| format!("zone-{zone}")).collect();
    plan.engine = EngineOptions { step: Duration::from_millis(20), ..plan.engine };
    Fleet::start(plan).await
}

/// Opens the link between every two routers: a status asks each of the others. In a large fleet
/// the probes do so within minutes, and before links fall quiet.
async fn open_links(fleet: &Fleet) -> Result<(), String> {
    for router in &fleet.routers {
        router.get("/v1/configuration/status").await?;
    }
    Ok(())
}

async fn measure_idle(fleet: &Fleet, points: &mut Collector) -> Result<Span, String> {
    let before = Reading::start(fleet).await?;
    tokio::time::sleep(IDLE).await;
    let after = Reading::end(fleet).await?;
    let span = after.since(&before);
    let bytes = span.control_bytes_per_s();
    let routers = fleet.routers.len() as f64;
    for (name, purpose) in IDLE_BYTES {
        points.add(name, routers, bytes.of(purpose));
    }
    points.add(SlopeName::IdleProcessor, routers, span.processor_ms_per_s());
    let handshake_bytes = before.link_bytes() / before.link_ends();
    points.add(SlopeName::HandshakeBytes, after.links(), handshake_bytes);
    let list = reqwest::get(fleet.vm_list.url()).await.map_err(|error| error.to_string())?;
    let list = list.bytes().await.map_err(|error| error.to_string())?;
    points.add(SlopeName::VmListSize, routers, list.len() as f64);
    points.add(SlopeName::PlatformCalls, routers, span.platform_calls_per_s());
    points.add(SlopeName::PlatformWatches, routers, after.watches());
    Ok(span)
}

async fn measure_load(fleet: &Fleet, idle: &Span, points: &mut Collector) -> Result<(), String> {
    let before = Reading::start(fleet).await?;
    let mut tasks = Vec::new();
    for router in 0..fleet.routers.len() {
        let callers = [fleet.caller(router), fleet.caller((router + 1) % fleet.routers.len())];
        tasks.push(tokio::spawn(async move {
            let start = Instant::now();
            for round in 0.. {
                let begin = Instant::now();
                if begin - start >= LOADED {
                    break;
                }
                let text =
                    format!("Router {router}, round {round}: which verse is older, and why?");
                let chat = Chat::new(MODEL, &text, OUTPUT_TOKENS);
                callers[round % 2].chat(&chat).await.checked(&chat)?;
                tokio::time::sleep(CHAT_INTERVAL.saturating_sub(begin.elapsed())).await;
            }
            Ok::<(), String>(())
        }));
    }
    for task in tasks {
        task.await.map_err(|error| error.to_string())??;
    }
    tokio::time::sleep(FLUSHED).await;
    let span = Reading::end(fleet).await?.since(&before);
    let routers = fleet.routers.len() as f64;
    let bytes = span.control_bytes_beyond(idle).total() / span.requests;
    points.add(SlopeName::RequestControlBytes, routers, bytes);
    points.add(SlopeName::RequestPlatformCalls, routers, span.platform_calls_per_s());
    let processor_ms = span.processor_ms_beyond(idle) / span.requests;
    points.add(SlopeName::RequestProcessor, routers, processor_ms);
    Ok(())
}

async fn measure_changes(fleet: &Fleet, idle: &Span, points: &mut Collector) -> Result<(), String> {
    let before = Reading::start(fleet).await?;
    let patch = |number: usize| json!({ "workspaces": { WORKSPACE: { "weight": number + 1 } } });
    let changes = Changes::submit(fleet, fleet.routers.len(), 1, CHANGES, patch).await?;
    let after = Reading::end(fleet).await?;
    let span = after.since(&before);
    let routers = fleet.routers.len() as f64;
    let share = CHANGES as f64 * routers;
    let bytes = span.control_bytes_beyond(idle).of(Purpose::Configuration) / share;
    let followers = (routers - WATCHERS).max(0.0) / routers;
    points.add(SlopeName::ChangeBytes, followers, bytes);
    let calls = span.platform_calls_beyond(idle) / CHANGES as f64;
    points.add(SlopeName::ChangePlatformCalls, routers, calls);
    points.add(SlopeName::ChangeProcessor, routers, span.processor_ms_beyond(idle) / share);
    points.add(SlopeName::ChangeMedian, routers, changes.in_force_ms(0.5));
    points.add(SlopeName::ChangeLate, routers, changes.in_force_ms(0.99));
    Ok(())
}
