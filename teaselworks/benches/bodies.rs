//! Memory of entry and owner while large bodies wait for a slow service.
//!
//! `cargo bench -p teaselworks --bench bodies` sends 50 calls of 100 MB to a service that reads
//! nothing at first, and prints each router's resident memory before, meanwhile and after. Figures
//! are read from the operating system.

use std::fs;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use futures_util::{StreamExt, stream};
use reqwest::Body;
use teaselworks_standin::fleet::{Fleet, FleetPlan, SERVICE};
use teaselworks_standin::router::Program;

/// Calls at once.
const CALLS: usize = 50;
/// Length of each body.
const BODY_SIZE_BYTES: usize = 100_000_000;
/// Length of the parts that a caller sends.
const PART_SIZE_BYTES: usize = 50_000;
/// Time between two looks whether the callers still get rid of bytes.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Time enough for every call.
const DEADLINE_MS: u64 = 600_000;

async fn start() -> Fleet {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let mut plan = FleetPlan::new(program, 2, 1).with_settings(|_, settings| {
        settings.limits.service_body_size_bytes = 2 * BODY_SIZE_BYTES as u64;
        settings.limits.default_deadline_ms = DEADLINE_MS;
    });
    plan.services = 1;
    Fleet::start(plan).await.expect("the fleet starts")
}

/// Makes a body that counts the bytes its connection took.
fn body(taken_bytes: &Arc<AtomicU64>) -> Body {
    let part = Bytes::from(vec![b'.'; PART_SIZE_BYTES]);
    let taken_bytes = taken_bytes.clone();
    Body::wrap_stream(stream::iter(0..BODY_SIZE_BYTES / PART_SIZE_BYTES).map(move |_| {
        taken_bytes.fetch_add(PART_SIZE_BYTES as u64, Ordering::Relaxed);
        Ok::<_, io::Error>(part.clone())
    }))
}

/// Returns a line of the operating system's account of a router, in megabytes.
fn memory_mb(fleet: &Fleet, router: usize, line: &str) -> f64 {
    let id = fleet.routers[router].id().expect("the router runs");
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let found = status.lines().find(|found| found.starts_with(line)).unwrap_or_default();
    let kib: f64 = found.split_whitespace().nth(1).unwrap_or("0").parse().unwrap_or(0.0);
    kib * 1_024.0 / 1e6
}

fn print(fleet: &Fleet, name: &str) {
    for router in 0..fleet.routers.len() {
        let (now, most) = (memory_mb(fleet, router, "VmRSS"), memory_mb(fleet, router, "VmHWM"));
        println!("{name}: router {router} resident {now:.1} MB, at most {most:.1} MB");
    }
}

/// Waits until the callers get rid of no more bytes.
async fn settled(taken_bytes: &AtomicU64) {
    let mut last = 0;
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let now = taken_bytes.load(Ordering::Relaxed);
        if now == last && now > 0 {
            return;
        }
        last = now;
    }
}

async fn measure() {
    let fleet = start().await;
    print(&fleet, "idle");
    fleet.services[0].set_faults(|faults| faults.stalled_reads = true);
    let taken_bytes = Arc::new(AtomicU64::new(0));
    let path = format!("/services/{SERVICE}/score");
    let calls: Vec<_> = (0..CALLS)
        .map(|call| {
            let request = fleet.caller(call % 2).request("PUT", &path).body(body(&taken_bytes));
            tokio::spawn(async move { request.send().await.expect("an answer").status() })
        })
        .collect();
    settled(&taken_bytes).await;
    print(&fleet, "the service reads nothing");
    println!("{:.1} MB left the callers", taken_bytes.load(Ordering::Relaxed) as f64 / 1e6);
    let start = Instant::now();
    fleet.services[0].set_faults(|faults| faults.stalled_reads = false);
    for status in join_all(calls).await {
        assert_eq!(status.expect("a call does not panic"), 200);
    }
    print(&fleet, "all bodies arrived");
    let sent_mb = (CALLS * BODY_SIZE_BYTES) as f64 / 1e6;
    println!("{sent_mb:.0} MB in {:.1} s", start.elapsed().as_secs_f64());
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(measure());
}
