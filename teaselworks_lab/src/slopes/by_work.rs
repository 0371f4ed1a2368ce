//! What entry and owner cost by themselves: for each open stream, token and owned replica.
//!
//! All replicas stand in one zone, and one of the two routers does: it owns every replica, and the
//! other one takes every request.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use teaselworks_standin::caller::{Caller, Chat};
use teaselworks_standin::engine::{Engine, EngineOptions};
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL};

use super::collect::Collector;
use super::name::SlopeName;
use super::process::ProcessUse;
use super::reading::{Reading, process_use};
use crate::own_program;

/// Streams open at once.
const STREAMS: [usize; 4] = [100, 400, 700, 1_000];
/// Tokens of an answer, and how often all streams ask for one.
const TOKENS: [(u32, usize); 4] = [(16, 12), (64, 6), (128, 3), (256, 2)];
/// Streams that ask at the same time where tokens are measured.
const ASKING: usize = 64;
/// Replicas that one router owns.
const REPLICAS: [usize; 4] = [2, 16, 32, 64];
/// Replicas that the holder of orders looks at.
const ORDERED: [usize; 3] = [16, 48, 96];
/// Weight loads at once, so many that a rollout ends before it is measured.
const ORDERED_LOADS: usize = 100;
/// Time for a rollout to end, and time measured afterwards.
const ROLLOUT: Duration = Duration::from_secs(20);
const ORDERS: Duration = Duration::from_secs(15);
/// Chats sent for each replica, so that each gets some.
const CHATS_A_REPLICA: usize = 12;
/// Time for a process to come to rest.
const SETTLING: Duration = Duration::from_secs(2);
/// Router that takes the requests.
const ENTRY: usize = 0;
/// Router that owns the replicas.
const OWNER: usize = 1;

/// Measures streams, tokens and replicas.
pub async fn measure(points: &mut Collector) -> Result<(), String> {
    measure_streams(points).await?;
    measure_tokens(points).await?;
    measure_replicas(points).await?;
    measure_orders(points).await
}

async fn start(engines: usize, step: Duration) -> Result<Fleet, String> {
    start_with(engines, step, None).await
}

/// Starts a fleet whose engines are to hold a version of the model; `None`: no orders are given.
async fn start_with(
    engines: usize,
    step: Duration,
    version: Option<&'static str>,
) -> Result<Fleet, String> {
    let program = own_program::program().map_err(|error| error.to_string())?;
    let mut plan = FleetPlan::new(program, 2, engines)
        .with_settings(|_, settings| settings.vm_list.poll_ms = 5_000)
        .with_configuration(move |value| {
            if let Some(version) = version {
                value["models"][MODEL]["version"] = version.into();
            }
            value["policy"] = json!({
                "running_requests": 2_000, "queue_requests": 2_000,
                "bound_floor_tokens": 10_000_000, "weight_loads": ORDERED_LOADS,
            });
            for upstream in value["upstreams"].as_object_mut().into_iter().flatten() {
                upstream.1["zone"] = "zone-b".into();
            }
        });
    plan.engine = EngineOptions { places: 2_000, step, ..plan.engine };
    Fleet::start(plan).await
}

async fn measure_streams(points: &mut Collector) -> Result<(), String> {
    let fleet = start(2, Duration::from_millis(400)).await?;
    let caller = fleet.caller(ENTRY);
    let mut open = Vec::new();
    for streams in STREAMS {
        eprintln!("{streams} streams");
        let begin = open.len();
        let chats = (begin..streams).map(|stream| {
            let chat = Chat::new(MODEL, &format!("Stream {stream}: which verse?"), 2_000);
            let caller = caller.clone();
            async move { caller.open(&chat).await }
        });
        for response in join_all(chats).await {
            open.push(response.map_err(|error| error.to_string())?);
        }
        tokio::time::sleep(SETTLING).await;
        let resident = |router: usize| process_use(&fleet.routers[router]);
        let megabytes = |used: ProcessUse| used.resident_bytes as f64 / 1e6;
        points.add(SlopeName::EntryStreamResident, streams as f64, megabytes(resident(ENTRY)?));
        points.add(SlopeName::OwnerStreamResident, streams as f64, megabytes(resident(OWNER)?));
    }
    Ok(())
}

async fn measure_tokens(points: &mut Collector) -> Result<(), String> {
    let fleet = start(2, Duration::from_millis(20)).await?;
    let caller = fleet.caller(ENTRY);
    hold_chats(&caller, TOKENS[0].0, 1).await?;
    for (tokens, rounds) in TOKENS {
        eprintln!("{tokens} tokens");
        let before = [process_use(&fleet.routers[ENTRY])?, process_use(&fleet.routers[OWNER])?];
        hold_chats(&caller, tokens, rounds).await?;
        let after = [process_use(&fleet.routers[ENTRY])?, process_use(&fleet.routers[OWNER])?];
        let each_ms = |role: usize| {
            let used = after[role].processor.saturating_sub(before[role].processor);
            used.as_secs_f64() * 1e3 / (ASKING * rounds) as f64
        };
        points.add(SlopeName::EntryProcessor, f64::from(tokens), each_ms(ENTRY));
        points.add(SlopeName::OwnerProcessor, f64::from(tokens), each_ms(OWNER));
    }
    Ok(())
}

/// Holds chats one after another on many streams; fails when an answer is not whole.
async fn hold_chats(caller: &Caller, tokens: u32, rounds: usize) -> Result<(), String> {
    let streams = (0..ASKING).map(|stream| {
        let caller = caller.clone();
        tokio::spawn(async move {
            for round in 0..rounds {
                let text = format!("Stream {stream}, round {round} of {tokens}: which verse?");
                let chat = Chat::new(MODEL, &text, tokens);
                caller.chat(&chat).await.checked(&chat)?;
            }
            Ok::<(), String>(())
        })
    });
    for stream in join_all(streams).await {
        stream.map_err(|error| error.to_string())??;
    }
    Ok(())
}

async fn measure_replicas(points: &mut Collector) -> Result<(), String> {
    for replicas in REPLICAS {
        eprintln!("{replicas} replicas");
        let fleet = start(replicas, Duration::from_millis(20)).await?;
        let caller = fleet.caller(ENTRY);
        for number in 0..replicas * CHATS_A_REPLICA {
            let chat = Chat::new(MODEL, &format!("Chat {number}: which verse?"), 1);
            caller.chat(&chat).await.checked(&chat)?;
        }
        let used = fleet.engines.iter().filter(|engine| engine.totals().finished > 0).count();
        tokio::time::sleep(SETTLING).await;
        let resident = process_use(&fleet.routers[OWNER])?.resident_bytes as f64 / 1e6;
        points.add(SlopeName::ReplicasResident, used as f64, resident);
    }
    Ok(())
}

/// Measures the holder of orders while every engine is as it should be.
async fn measure_orders(points: &mut Collector) -> Result<(), String> {
    for replicas in ORDERED {
        eprintln!("{replicas} replicas under orders");
        let fleet = start_with(replicas, Duration::from_millis(20), Some("2")).await?;
        tokio::time::sleep(ROLLOUT).await;
        let holds = |engine: &Engine| engine.models().iter().any(|model| model.version == "2");
        if !fleet.engines.iter().all(holds) {
            return Err("the rollout did not end".into());
        }
        let before = Reading::start(&fleet).await?;
        tokio::time::sleep(ORDERS).await;
        let span = Reading::end(&fleet).await?.since(&before);
        let size = replicas as f64;
        let processor_ms = span.processor_ms_per_s() * fleet.routers.len() as f64;
        points.add(SlopeName::OrdersProcessor, size, processor_ms);
        points.add(SlopeName::OrdersPlatformCalls, size, span.platform_calls_per_s());
    }
    Ok(())
}
