//! Measures what one router process costs: processor time of a small request and of a relayed event,
//! memory when idle and with a thousand open streams. Run it with `--release`.

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use teaselworks_standin::caller::{Call, Connection};
use teaselworks_standin::configuration::{HOST, KEY};
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
/// Streams that are open at once for the measure of memory.
const OPEN_STREAMS: u32 = 1_000;

fn main() -> ExitCode {
    main_of(run)
}

async fn run() -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::start(Program::binary(std::env::current_exe()?), 1).await?;
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
