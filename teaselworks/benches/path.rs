//! What entry and owner add to the stand-in engine and service, by latency, processor and memory.
//!
//! `cargo bench -p teaselworks --bench path` prints a table. Every figure of a router is read from
//! the operating system for its process.

use std::fs;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use teaselworks_standin::caller::{Caller, Chat, ChatOutcome};
use teaselworks_standin::engine::EngineOptions;
use teaselworks_standin::fleet::{Fleet, FleetPlan, KEY, MODEL, SERVICE};
use teaselworks_standin::router::Program;

/// Streams at once.
const STREAMS: [usize; 3] = [1, 100, 1_000];
/// Tokens of each answer.
const TOKENS: u32 = 200;
/// Chats that each stream holds, one after another.
const ROUNDS: usize = 3;
/// Calls of a service, one after another.
const CALLS: usize = 2_000;
/// Processor ticks in a second, as Linux reports them.
const TICKS_PER_S: f64 = 100.0;

/// Latencies of one run, in microseconds.
struct Latencies {
    /// Of the chats that all begin at one moment, each on a connection of its own.
    burst_first_token: Histogram<u64>,
    /// Of the chats after them, on the same connections.
    first_token: Histogram<u64>,
    inter_token: Histogram<u64>,
    tokens: u64,
    elapsed: Duration,
}

/// Latencies of one chat.
struct Sample {
    first_token: Duration,
    total: Duration,
}

/// Processor time and resident memory of all routers together.
struct Usage {
    cpu_s: f64,
    resident_bytes: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

async fn run_streams(callers: &[Caller], streams: usize) -> Latencies {
    let start = Instant::now();
    let tasks = (0..streams).map(|stream| {
        let caller = callers[stream % callers.len()].clone();
        tokio::spawn(async move { hold_chats(caller, stream).await })
    });
    let mut all = Latencies {
        burst_first_token: histogram(),
        first_token: histogram(),
        inter_token: histogram(),
        tokens: 0,
        elapsed: Duration::ZERO,
    };
    for samples in join_all(tasks).await {
        for (round, sample) in samples.expect("a stream does not panic").into_iter().enumerate() {
            let between = (sample.total - sample.first_token) / (TOKENS - 1);
            let first_token = match round {
                0 => &mut all.burst_first_token,
                _ => &mut all.first_token,
            };
            first_token.saturating_record(sample.first_token.as_micros() as u64);
            all.inter_token.saturating_record(between.as_micros() as u64);
            all.tokens += u64::from(TOKENS);
        }
    }
    all.elapsed = start.elapsed();
    all
}

async fn hold_chats(caller: Caller, stream: usize) -> Vec<Sample> {
    let mut samples = Vec::new();
    for round in 0..ROUNDS {
        let chat = Chat::new(MODEL, &format!("Stream {stream}, round {round}."), TOKENS);
        match caller.chat(&chat).await {
            ChatOutcome::Whole(answer) => {
                let sample = Sample { first_token: answer.first_token, total: answer.total };
                samples.push(sample);
            }
            other => panic!("{other}"),
        }
    }
    samples
}

async fn run_calls(caller: &Caller, path: &str) -> Histogram<u64> {
    let mut latencies = histogram();
    for _ in 0..CALLS {
        let start = Instant::now();
        let (status, body) = caller.call("GET", path, None, "").await.expect("an answer");
        assert_eq!(status, 200, "{body}");
        latencies.saturating_record(start.elapsed().as_micros() as u64);
    }
    latencies
}

fn usage(fleet: &Fleet) -> Usage {
    let mut usage = Usage { cpu_s: 0.0, resident_bytes: 0 };
    for router in &fleet.routers {
        let id = router.id().expect("the router runs");
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
        let ticks: f64 = fields[12..14].iter().map(|f| f.parse::<f64>().unwrap_or(0.0)).sum();
        usage.cpu_s += ticks / TICKS_PER_S;
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
        let kib: u64 = resident.split_whitespace().nth(1).unwrap_or("0").parse().unwrap_or(0);
        usage.resident_bytes += kib * 1_024;
    }
    usage
}

fn print_latency(name: &str, direct: &Histogram<u64>, routed: &Histogram<u64>) {
    let ms = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1e3
    };
    let (direct_p50, direct_p99) = (ms(direct, 0.5), ms(direct, 0.99));
    let (routed_p50, routed_p99) = (ms(routed, 0.5), ms(routed, 0.99));
    println!(
        "{name:<27} direct p50 {direct_p50:8.3} p99 {direct_p99:8.3} | routed p50 {routed_p50:8.3} \
         p99 {routed_p99:8.3} | added p50 {:7.3} p99 {:7.3} ms",
        routed_p50 - direct_p50,
        routed_p99 - direct_p99,
    );
}

async fn start() -> Fleet {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let mut plan = FleetPlan::new(program, 2, 2).with_configuration(|value| {
        value["policy"] = serde_json::json!({
            "running_requests": 2_000, "queue_requests": 2_000, "bound_floor_tokens": 10_000_000,
        });
    });
    plan.services = 1;
    plan.engine = EngineOptions { places: 2_000, step: Duration::from_millis(2), ..plan.engine };
    Fleet::start(plan).await.expect("the fleet starts")
}

async fn measure() {
    let fleet = start().await;
    let engines: Vec<Caller> =
        fleet.engines.iter().map(|engine| Caller::new(&engine.url(), KEY)).collect();
    let routers: Vec<Caller> = (0..2).map(|router| fleet.caller(router)).collect();
    println!("idle: resident {:.1} MB a router", usage(&fleet).resident_bytes as f64 / 2e6);
    let service = format!("http://{}", fleet.services[0].server().address());
    let direct = run_calls(&Caller::new(&service, KEY), "/stock").await;
    let routed = run_calls(&routers[0], &format!("/services/{SERVICE}/stock")).await;
    print_latency("service call", &direct, &routed);
    for streams in STREAMS {
        let direct = run_streams(&engines, streams).await;
        let before = usage(&fleet);
        let routed = run_streams(&routers, streams).await;
        let after = usage(&fleet);
        let name = format!("{streams} streams, at once");
        print_latency(&name, &direct.burst_first_token, &routed.burst_first_token);
        let name = format!("{streams} streams, first token");
        print_latency(&name, &direct.first_token, &routed.first_token);
        let name = format!("{streams} streams, inter token");
        print_latency(&name, &direct.inter_token, &routed.inter_token);
        let cpu_s = after.cpu_s - before.cpu_s;
        println!(
            "{streams} streams: {} tokens in {:.2} s, routers' processor {cpu_s:.2} s, {:.0} tokens \
             a core-second, resident {:.1} MB a router",
            routed.tokens,
            routed.elapsed.as_secs_f64(),
            routed.tokens as f64 / cpu_s.max(1.0 / TICKS_PER_S),
            after.resident_bytes as f64 / 2e6,
        );
    }
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(measure());
}
