//! Measures what one router process costs: the CPU time of a small request and of a relayed event,
//! and the memory when idle, with many workspaces or replicas, and with a thousand open streams.
//! Run it with `--release`, because debug builds cost more.

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use serde_json::json;
use teaselworks_standin::caller::{Call, Connection};
use teaselworks_standin::configuration::{API_KEY, CHAT_SERVICE, HOST, upstream_entry};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::program::main_or_router;
use teaselworks_standin::router::Program;
use teaselworks_standin::upstream::{Script, Step};

/// Small requests over which the CPU time is averaged.
const REQUESTS: u32 = 4_000;
/// Streams over whose events the CPU time is averaged.
const STREAMS: u32 = 40;
/// Events of each of these streams.
const EVENTS: u32 = 1_000;
/// Pause between two events of a stream. With a shorter pause the router would relay several events
/// at once.
const EVENT_INTERVAL: Duration = Duration::from_millis(1);
/// Largest number of workspaces, each with two API keys, with which the memory of a router is
/// measured; it is measured with none and with a third of them too.
const WORKSPACES: usize = 18_000;
/// Number of replicas added to those of the fleet while the memory of a router is measured.
const REPLICAS: usize = 800;
/// Streams that are open at once while the memory of a router is measured.
const OPEN_STREAMS: u32 = 1_000;

fn main() -> ExitCode {
    main_or_router(run)
}

async fn run() -> Result<(), Box<dyn Error>> {
    let program = Program::binary(std::env::current_exe()?);
    measure_store_memory(&program).await?;
    let fleet = Fleet::start(program, 1).await?;
    let router = &fleet.routers[0];
    let process_id = router.process_id().ok_or("router-0 is not running")?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    println!("memory idle: {:.1} MiB", memory_mib(process_id)?);

    let mut connection = Connection::open(router.callers_address()).await?;
    let before = cpu_time(process_id)?;
    for number in 0..REQUESTS {
        let reply =
            connection.call(&build_request("GET", "/read/a", &format!("r{number}"))).await?;
        if reply.is_none_or(|reply| reply.status() != 200) {
            return Err("a small request got no response with status 200".into());
        }
    }
    print_cpu_time("small request", cpu_time(process_id)?.saturating_sub(before), REQUESTS);

    for engine in &fleet.engines {
        engine.set_behaviour(|req| Script::stream(req, 1..EVENTS + 1, EVENT_INTERVAL, true));
    }
    let before = cpu_time(process_id)?;
    for number in 0..STREAMS {
        let reply = connection.call(&chat_request(&format!("a{number}"))).await?;
        if reply.is_none_or(|reply| reply.events().len() != EVENTS as usize) {
            return Err("a stream did not have all its events".into());
        }
    }
    let events = STREAMS * EVENTS;
    print_cpu_time("relayed event", cpu_time(process_id)?.saturating_sub(before), events);

    for engine in &fleet.engines {
        engine.set_behaviour(|req| {
            Script::stream(req, 1..2, Duration::ZERO, false).then(Step::Silence)
        });
    }
    let mut open = Vec::new();
    for number in 0..OPEN_STREAMS {
        let Ok(mut connection) = Connection::open(router.callers_address()).await else { break };
        connection.send(&chat_request(&format!("b{number:x}"))).await?;
        let head = tokio::time::timeout(Duration::from_millis(500), connection.read_head()).await;
        if !matches!(head, Ok(Ok(Some(_)))) {
            break;
        }
        open.push(connection);
    }
    println!("memory with {} open streams: {:.1} MiB", open.len(), memory_mib(process_id)?);
    Ok(())
}

/// Measures the memory of a router with different numbers of workspaces and replicas in the store.
async fn measure_store_memory(program: &Program) -> Result<(), Box<dyn Error>> {
    for (workspaces, replicas) in [(0, 0), (WORKSPACES / 3, 0), (WORKSPACES, 0), (0, REPLICAS)] {
        let mut fleet = Fleet::start(program.clone(), 1).await?;
        for number in 0..replicas {
            // No replica runs behind these entries.
            let address = ([127, 0, 0, 1], 9).into();
            let entry = upstream_entry(&fleet.engines[0], address, CHAT_SERVICE, "ready");
            fleet.store.put_json(&format!("servers/more-{number}"), &entry);
        }
        let tenants = fleet.configuration.value["tenants"]
            .as_array_mut()
            .ok_or("the configuration has no list `tenants`")?;
        for number in 0..workspaces {
            let keys = [format!("key-{number:016x}-1"), format!("key-{number:016x}-2")];
            tenants.push(json!({ "name": format!("workspace-{number}"), "api_keys": keys }));
        }
        fleet.configuration.next_version();
        fleet.publish_configuration();
        // The configuration with which the fleet started and the one just published.
        fleet.routers[0].wait_for_events("configuration_in_force", 2).await?;
        // The fleet starts with four replicas, two of each service.
        fleet.routers[0].wait_for_events("upstream_serving", 4 + replicas).await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let process_id = fleet.routers[0].process_id().ok_or("router-0 is not running")?;
        let memory_mib = memory_mib(process_id)?;
        println!("memory with {workspaces} workspaces, {replicas} replicas: {memory_mib:.1} MiB");
    }
    Ok(())
}

/// Builds a request with a deadline of one minute.
fn build_request(method: &str, target: &str, id: &str) -> Call {
    Call::new(method, HOST, target, id).with_api_key(API_KEY).with_header("X-Deadline-Ms", "60000")
}

/// Builds a streaming request of a chat. Its prompt shares one part with all other chats and has
/// two parts of its own.
fn chat_request(id: &str) -> Call {
    build_request("POST", "/chat/a", id)
        .with_header("X-Token-Usage", "1000,1000")
        .with_header("X-Prompt-Prefix", &format!("a:100,{id}:800,{id}1:100"))
        .with_body("Which verse is older?")
}

/// Prints the average CPU time of `count` operations that took `time` together.
fn print_cpu_time(operation: &str, time: Duration, count: u32) {
    println!("CPU time of a {operation}: {:.1} us", time.as_secs_f64() * 1e6 / f64::from(count));
}

/// Returns the CPU time that the main thread of a process has used, in user and kernel mode. Other
/// threads, such as the one that writes the router's log, are not included.
fn cpu_time(process_id: u32) -> Result<Duration, Box<dyn Error>> {
    let schedstat = std::fs::read_to_string(format!("/proc/{process_id}/schedstat"))?;
    let nanoseconds =
        schedstat.split_whitespace().next().ok_or("the schedstat file of the router is empty")?;
    Ok(Duration::from_nanos(nanoseconds.parse()?))
}

/// Returns the resident memory of a process in MiB.
fn memory_mib(process_id: u32) -> Result<f64, Box<dyn Error>> {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status"))?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .ok_or("the status file of the router has no VmRSS")?;
    let kilobytes: f64 =
        line.split_whitespace().nth(1).ok_or("VmRSS of the router has no value")?.parse()?;
    Ok(kilobytes / 1024.0)
}
