//! What requests cost in control bytes and platform calls, by their rate, over many workspaces.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use teaselworks_standin::caller::{Caller, Chat};
use teaselworks_standin::engine::EngineOptions;
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL};
use teaselworks_wire::message::Purpose;

use super::by_workspaces::{added, key};
use super::collect::Collector;
use super::name::SlopeName;
use super::reading::Reading;
use crate::own_program;

const ROUTERS: usize = 8;
/// Requests a second at each router.
const RATES: [u32; 4] = [3, 6, 12, 24];
/// Workspaces that send them in turn.
const WORKSPACES: usize = 512;
/// Limit of each workspace: above what it sends at the highest rate, with base shares below that,
/// so that routers ask its owner.
const REQUESTS_PER_S: f64 = 0.6;
const OUTPUT_TOKENS: u32 = 4;
/// Time of each rate.
const LOADED: Duration = Duration::from_secs(8);
/// Time until the use of the last request is with the platform.
const FLUSHED: Duration = Duration::from_secs(14);
/// Time of the idle measurement.
const IDLE: Duration = Duration::from_secs(16);
const SETTLING: Duration = Duration::from_secs(8);

/// Measures every rate, with limits and without.
pub async fn measure(points: &mut Collector) -> Result<(), String> {
    measure_limited(points).await?;
    measure_unlimited(points).await
}

async fn measure_limited(points: &mut Collector) -> Result<(), String> {
    let fleet = start(Some(REQUESTS_PER_S)).await?;
    let before = Reading::start(&fleet).await?;
    tokio::time::sleep(IDLE).await;
    let idle = Reading::end(&fleet).await?.since(&before);
    for rate in RATES {
        eprintln!("{rate} requests a second");
        let before = Reading::start(&fleet).await?;
        send(&fleet, rate).await?;
        let loaded = Reading::end(&fleet).await?.since(&before);
        tokio::time::sleep(FLUSHED).await;
        let span = Reading::end(&fleet).await?.since(&before);
        let bytes = span.control_bytes_beyond(&idle);
        let router_seconds = LOADED.as_secs_f64() * ROUTERS as f64;
        let size = f64::from(rate);
        let (usage, limits) = (bytes.of(Purpose::Usage), bytes.of(Purpose::Limits));
        points.add(SlopeName::RateUsageBytes, size, usage / router_seconds);
        points.add(SlopeName::RateLimitsBytes, size, limits / router_seconds);
        let others = bytes.total() - usage - limits;
        points.add(SlopeName::RateOtherBytes, size, others / router_seconds);
        points.add(SlopeName::RatePlatformCalls, size, loaded.platform_calls_per_s());
        let processor_ms = span.processor_ms_beyond(&idle) / router_seconds;
        points.add(SlopeName::RateProcessor, size, processor_ms);
        let asks = loaded.limit_asks / loaded.requests;
        points.add(SlopeName::RateAsks, size, asks);
    }
    Ok(())
}

/// Measures the processor time without limits; what it is less is the time of asking for them.
async fn measure_unlimited(points: &mut Collector) -> Result<(), String> {
    let fleet = start(None).await?;
    let before = Reading::start(&fleet).await?;
    tokio::time::sleep(IDLE).await;
    let idle = Reading::end(&fleet).await?.since(&before);
    for rate in RATES {
        eprintln!("{rate} requests a second without limits");
        let before = Reading::start(&fleet).await?;
        send(&fleet, rate).await?;
        tokio::time::sleep(FLUSHED).await;
        let span = Reading::end(&fleet).await?.since(&before);
        let router_seconds = LOADED.as_secs_f64() * ROUTERS as f64;
        let processor_ms = span.processor_ms_beyond(&idle) / router_seconds;
        points.add(SlopeName::RateUnlimitedProcessor, f64::from(rate), processor_ms);
    }
    Ok(())
}

async fn start(requests_per_s: Option<f64>) -> Result<Fleet, String> {
    let program = own_program::program().map_err(|error| error.to_string())?;
    let mut plan = FleetPlan::new(program, ROUTERS, ROUTERS)
        .with_settings(|_, settings| settings.vm_list.poll_ms = 5_000);
    plan.engine = EngineOptions { step: Duration::from_millis(10), ..plan.engine };
    let fleet = Fleet::start(plan).await?;
    let (status, body) =
        fleet.patch(0, "workspaces", 1, &added(0..WORKSPACES, requests_per_s)).await?;
    if status != 200 {
        return Err(format!("{status}: {body}"));
    }
    tokio::time::sleep(SETTLING).await;
    Ok(fleet)
}

/// Sends chats at a rate to every router; fails when an answer is not whole.
async fn send(fleet: &Fleet, rate: u32) -> Result<(), String> {
    let start = Instant::now();
    let mut chats = Vec::new();
    let total = (rate * LOADED.as_secs() as u32) as usize;
    for number in 0..total {
        let due = Duration::from_secs(1) * number as u32 / rate;
        tokio::time::sleep(due.saturating_sub(start.elapsed())).await;
        for router in 0..ROUTERS {
            let workspace = (number * ROUTERS + router) * 7 % WORKSPACES;
            let caller = fleet.caller_with(router, &key(workspace));
            chats.push(tokio::spawn(hold_chat(caller, rate, number, router)));
        }
    }
    for chat in join_all(chats).await {
        chat.map_err(|error| error.to_string())??;
    }
    Ok(())
}

async fn hold_chat(caller: Caller, rate: u32, number: usize, router: usize) -> Result<(), String> {
    let text = format!("Rate {rate}, chat {number} at router {router}: which verse is older?");
    let chat = Chat::new(MODEL, &text, OUTPUT_TOKENS);
    caller.chat(&chat).await.checked(&chat).map(|_| ())
}
