//! Measures what one router process costs: processor time of a small request and of a relayed event,
//! memory when idle, with many workspaces and replicas, and with a thousand open streams. Run it with
//! `--release`.

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use serde_json::json;
use teaselworks_standin::caller::{Call, Connection};
use teaselworks_standin::configuration::{CHAT, HOST, KEY, entry};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::program::main_of;
use teaselworks_standin::router::Program;
use teaselworks_standin::upstream::{Script, Step};

/// Small requests measured.
const REQUESTS: u32 = 4_000;
/// Streams measured, and events of each.
const STREAMS: u32 = 40;
const EVENTS: u32 = 1_000;
/// Pause between events: shorter, and several would be passed on at once.
const GAP: Duration = Duration::from_millis(1);
/// Workspaces, each with two keys, and replicas for the measure of what is held of the store.
const WORKSPACES: usize = 18_000;
const REPLICAS: usize = 800;
/// Streams that are open at once for the measure of memory.
const OPEN_STREAMS: u32 = 1_000;

fn main() -> ExitCode {
    main_of(run)
}

async fn run() -> Result<(), Box<dyn Error>> {
    let program = Program::binary(std::env::current_exe()?);
    measure_state(&program).await?;
    let fleet = Fleet::start(program, 1).await?;
    let router = &fleet.routers[0];
    let process = router.id().ok_or("the router does not run")?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    println!("memory idle: {:.1} MB", memory_mb(process)?);

    let mut connection = Connection::open(router.callers()).await?;
    let before = processor_time(process)?;
    for number in 0..REQUESTS {
        let reply = connection.call(&request("GET", "/read/a", &format!("r{number}"))).await?;
        if reply.is_none_or(|reply| reply.status() != 200) {
            return Err("a small request was not answered".into());
        }
    }
    show("small request", processor_time(process)?.saturating_sub(before), REQUESTS);

    for engine in &fleet.engines {
        engine.set_behaviour(|seen| Script::stream(seen, 1..EVENTS + 1, GAP, true));
    }
    let before = processor_time(process)?;
    for number in 0..STREAMS {
        let reply = connection.call(&chat(&format!("a{number}"))).await?;
        if reply.is_none_or(|reply| reply.events().len() != EVENTS as usize) {
            return Err("a stream was not answered whole".into());
        }
    }
    let events = STREAMS * EVENTS;
    show("relayed event", processor_time(process)?.saturating_sub(before), events);

    for engine in &fleet.engines {
        engine.set_behaviour(|seen| {
            Script::stream(seen, 1..2, Duration::ZERO, false).then(Step::Silence)
        });
    }
    let mut open = Vec::new();
    for number in 0..OPEN_STREAMS {
        let Ok(mut connection) = Connection::open(router.callers()).await else { break };
        connection.send(&chat(&format!("b{number:x}"))).await?;
        let head = tokio::time::timeout(Duration::from_millis(500), connection.head()).await;
        if !matches!(head, Ok(Ok(Some(_)))) {
            break;
        }
        open.push(connection);
    }
    println!("memory with {} open streams: {:.1} MB", open.len(), memory_mb(process)?);
    Ok(())
}

/// Measures the memory of what a router holds of the store.
async fn measure_state(program: &Program) -> Result<(), Box<dyn Error>> {
    for (workspaces, replicas) in [(0, 0), (WORKSPACES / 3, 0), (WORKSPACES, 0), (0, REPLICAS)] {
        let mut fleet = Fleet::start(program.clone(), 1).await?;
        for number in 0..replicas {
            let address = ([127, 0, 0, 1], 9).into();
            let entry = entry(&fleet.engines[0], address, CHAT, "ready");
            fleet.store.put_json(&format!("servers/more-{number}"), &entry);
        }
        let tenants = fleet.plan.value["tenants"].as_array_mut().ok_or("no list of workspaces")?;
        for number in 0..workspaces {
            let keys = [format!("key-{number:016x}-1"), format!("key-{number:016x}-2")];
            tenants.push(json!({ "name": format!("workspace-{number}"), "api_keys": keys }));
        }
        fleet.plan.next_version();
        fleet.publish();
        fleet.routers[0].logged("configuration_in_force", 2).await?;
        fleet.routers[0].logged("upstream_serving", 4 + replicas).await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let process = fleet.routers[0].id().ok_or("the router does not run")?;
        let memory_mb = memory_mb(process)?;
        println!("memory with {workspaces} workspaces, {replicas} replicas: {memory_mb:.1} MB");
    }
    Ok(())
}

fn request(method: &str, target: &str, id: &str) -> Call {
    Call::new(method, HOST, target, id).key(KEY).with("X-Deadline-Ms", "60000")
}

fn chat(id: &str) -> Call {
    request("POST", "/chat/a", id)
        .with("X-Token-Usage", "1000,1000")
        .with("X-Prompt-Prefix", &format!("a:100,{id}:800,{id}1:100"))
        .body("Which verse is older?")
}

fn show(what: &str, time: Duration, count: u32) {
    println!("processor time of a {what}: {:.1} us", time.as_secs_f64() * 1e6 / f64::from(count));
}

/// Returns the processor time of a process, in user and kernel mode.
fn processor_time(process: u32) -> Result<Duration, Box<dyn Error>> {
    let schedule = std::fs::read_to_string(format!("/proc/{process}/schedstat"))?;
    let nanoseconds = schedule.split_whitespace().next().ok_or("no time of the process")?;
    Ok(Duration::from_nanos(nanoseconds.parse()?))
}

/// Returns the resident memory of a process.
fn memory_mb(process: u32) -> Result<f64, Box<dyn Error>> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).ok_or("no memory")?;
    let kilobytes: f64 = line.split_whitespace().nth(1).ok_or("no memory")?.parse()?;
    Ok(kilobytes / 1024.0)
}
