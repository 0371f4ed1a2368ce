//! Streamed answers through one link: tokens a second of one core, and the latency a link adds.
//!
//! `cargo bench -p teaselworks --bench link`. Throughput runs both ends of the link on one thread,
//! so that a token's whole processor time counts; latency runs each end on a thread of its own,
//! at the pace at which engines generate.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, Throughput};
use hdrhistogram::Histogram;
use teaselworks::exchange::{self, Exchange, Incoming};
use teaselworks::link::{ControlRequest, LinkHandlers, LinkIdentity, Links, Peer};
use teaselworks::metrics::Metrics;
use teaselworks_config::settings::LinkSettings;
use teaselworks_policy::name::AttemptId;
use teaselworks_wire::message::{CallTarget, Open, Reply, ReplyData, ReplyFinish, Target};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tokio::time::{self, MissedTickBehavior};

/// Streams at once.
const STREAMS: [u64; 3] = [1, 100, 1_000];
/// Streams at once when latency is measured; the last ones make 100,000 tokens a second.
const PACED_STREAMS: [u64; 4] = [1, 100, 1_000, 4_000];
/// Size of a streamed chunk with one token.
const CHUNK_SIZE_BYTES: usize = 200;
/// Tokens of all streams in one measurement of throughput.
const TOKENS: u64 = 200_000;
/// Time between the tokens of one stream when latency is measured.
const TOKEN_INTERVAL: Duration = Duration::from_millis(40);
/// Tokens of each stream when latency is measured.
const PACED_TOKENS: u64 = 75;

/// Links whose memory is measured.
const LINKS: usize = 400;
/// Tokens of the one answer on each of them.
const BODY_TOKENS: u64 = 1_000;
/// Streams whose memory is measured.
const STREAMS_HELD: u64 = 1_000;
/// Processor ticks in a second, as Linux reports them.
const TICKS_PER_S: f64 = 100.0;

/// Makes the answer to an attempt.
type Answer = Arc<dyn Fn(Incoming) + Send + Sync>;

fn links(router: &str) -> Arc<Links> {
    let settings = serde_json::json!({ "secret": "a secret for the bench" });
    let settings: LinkSettings = serde_json::from_value(settings).expect("settings are valid");
    let identity = LinkIdentity { router: router.into(), incarnation: 1 };
    Links::new(identity, settings, Arc::new(Metrics::new()))
}

async fn owner(answer: Answer) -> (Arc<Links>, SocketAddr) {
    let owner = links("owner");
    let control = Arc::new(|request: ControlRequest| drop(request.answer.send(request.bytes)));
    let handlers = LinkHandlers { incoming: answer, control };
    let address = "127.0.0.1:0".parse().expect("an address");
    let address = owner.listen(address, handlers).await.expect("a free port");
    (owner, address)
}

async fn open(entry: &Arc<Links>, address: SocketAddr, sequence: u64) -> Exchange {
    let peer = Peer { router: "owner".into(), address };
    let body = mpsc::channel(1).1;
    entry.open(&peer, attempt(sequence), body).await.expect("the owner is there")
}

fn attempt(sequence: u64) -> Open {
    let target = CallTarget {
        service: "stock".into(),
        method: "POST".into(),
        path: "/".into(),
        headers: Vec::new(),
        idempotency_key: None,
    };
    Open {
        attempt: AttemptId { router: "entry".into(), incarnation: 1, sequence, attempt: 0 },
        replica: "stock-1".into(),
        claim: Default::default(),
        refused_mean_tokens: 0,
        workspace: "choir".into(),
        priority: Default::default(),
        deadline_ms: 60_000,
        configuration_version: 1,
        target: Target::Call(target),
    }
}

async fn send(incoming: &Incoming, number: u64, bytes: Bytes) -> bool {
    let offset_bytes = number * bytes.len() as u64;
    let data = ReplyData { offset_bytes, output_tokens: number + 1, more: false, bytes };
    incoming.replies.send(Reply::Data(data)).await.is_ok()
}

async fn finish(incoming: &Incoming, tokens: u64) {
    let size_bytes = tokens * CHUNK_SIZE_BYTES as u64;
    let finish = ReplyFinish { size_bytes, tokens: None, load: Default::default() };
    let _ = incoming.replies.send(Reply::Finish(finish)).await;
}

/// Answers with so many tokens as fast as the link takes them.
fn eager(tokens: u64) -> Answer {
    Arc::new(move |incoming| {
        tokio::spawn(async move {
            let chunk = Bytes::from(vec![b'x'; CHUNK_SIZE_BYTES]);
            for number in 0..tokens {
                if !send(&incoming, number, chunk.clone()).await {
                    return;
                }
            }
            finish(&incoming, tokens).await;
        });
    })
}

/// Answers at the pace of an engine; each chunk begins with the time at which it was sent.
fn paced(start: Instant) -> Answer {
    Arc::new(move |incoming| {
        tokio::spawn(async move {
            // Streams begin spread over the interval, as chats do.
            let spread = incoming.open.attempt.sequence * 7_919 % 40_000;
            time::sleep(Duration::from_micros(spread)).await;
            let mut ticks = time::interval(TOKEN_INTERVAL);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            for number in 0..PACED_TOKENS {
                ticks.tick().await;
                let mut chunk = vec![b'x'; CHUNK_SIZE_BYTES];
                chunk[..8].copy_from_slice(&(start.elapsed().as_nanos() as u64).to_le_bytes());
                if !send(&incoming, number, chunk.into()).await {
                    return;
                }
            }
            finish(&incoming, PACED_TOKENS).await;
        });
    })
}

async fn drain(mut exchange: Exchange, mut take: impl FnMut(&ReplyData)) {
    while let Some(reply) = exchange.replies.recv().await {
        match reply {
            Reply::Data(data) => take(&data),
            Reply::Finish(_) => return,
            other => panic!("{other:?}"),
        }
    }
    panic!("the answer broke off");
}

/// Runs `streams` answers of `TOKENS` in sum and returns the time they took.
async fn stream_eagerly(streams: u64) -> Duration {
    let (owner, address) = owner(eager(TOKENS / streams)).await;
    let entry = links("entry");
    drain(open(&entry, address, u64::MAX).await, |_| {}).await;
    let start = Instant::now();
    let mut tasks = Vec::new();
    for sequence in 0..streams {
        let exchange = open(&entry, address, sequence).await;
        tasks.push(tokio::spawn(drain(exchange, |_| {})));
    }
    for task in tasks {
        task.await.expect("the answer is whole");
    }
    let elapsed = start.elapsed();
    entry.shutdown().await;
    owner.shutdown().await;
    elapsed
}

fn throughput(criterion: &mut Criterion) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let mut group = criterion.benchmark_group("link_tokens_one_core");
    group.throughput(Throughput::Elements(TOKENS)).sample_size(10);
    for streams in STREAMS {
        group.bench_function(BenchmarkId::from_parameter(streams), |bencher| {
            bencher.iter_custom(|iterations| {
                (0..iterations).map(|_| runtime.block_on(stream_eagerly(streams))).sum()
            });
        });
    }
    group.finish();
}

/// Takes the paced answers of all streams and prints what they took.
async fn stream_paced(through: &str, exchanges: Vec<Exchange>, start: Instant) {
    let processor_before_s = processor_s();
    let streams = exchanges.len();
    let tasks = exchanges.into_iter().map(|exchange| {
        tokio::spawn(async move {
            let mut nanos = Vec::with_capacity(PACED_TOKENS as usize);
            let take = |data: &ReplyData| {
                let sent = u64::from_le_bytes(data.bytes[..8].try_into().expect("eight bytes"));
                nanos.push((start.elapsed().as_nanos() as u64).saturating_sub(sent));
            };
            drain(exchange, take).await;
            nanos
        })
    });
    let mut histogram = Histogram::<u64>::new(3).expect("a histogram");
    for task in tasks.collect::<Vec<_>>() {
        for nanos in task.await.expect("the answer is whole") {
            histogram.record(nanos).expect("a latency in range");
        }
    }
    let us = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{through}, {streams} streams: p50 {:.0} us, p99 {:.0} us, {} tokens, {:.2} us of \
         processor a token with both ends and the pacing",
        us(0.5),
        us(0.99),
        histogram.len(),
        (processor_s() - processor_before_s) * 1e6 / histogram.len() as f64
    );
}

/// Returns the processor time of this process in seconds.
fn processor_s() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("Linux tells about its processes");
    // The name in parentheses may hold spaces; user and system time are the 12th and 13th after it.
    let fields = stat.rsplit(')').next().expect("a name").split_whitespace();
    let ticks = fields.skip(11).take(2).map(|ticks| ticks.parse::<f64>().expect("a number"));
    ticks.sum::<f64>() / TICKS_PER_S
}

fn one_thread() -> Runtime {
    Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("a runtime")
}

/// Measures paced answers without a link, which the figures with one are to be compared to.
fn latency_without_link(streams: u64) {
    let (owner_runtime, entry_runtime) = (one_thread(), one_thread());
    let start = Instant::now();
    let answer = paced(start);
    let run = entry_runtime.spawn(async move {
        let pairs = (0..streams).map(|n| exchange::pair(attempt(n), mpsc::channel(1).1));
        let exchanges = pairs.map(|(exchange, incoming)| {
            let _owner = owner_runtime.enter();
            answer(incoming);
            exchange
        });
        stream_paced("no link", exchanges.collect(), start).await;
        owner_runtime.shutdown_background();
    });
    entry_runtime.block_on(run).expect("the run ends");
}

fn latency(streams: u64) {
    let (owner_runtime, entry_runtime) = (one_thread(), one_thread());
    let start = Instant::now();
    let (_owner, address) = owner_runtime.block_on(owner(paced(start)));
    let run = entry_runtime.spawn(async move {
        let entry = links("entry");
        let mut exchanges = Vec::new();
        for sequence in 0..streams {
            exchanges.push(open(&entry, address, sequence).await);
        }
        stream_paced("a link", exchanges, start).await;
        entry.shutdown().await;
    });
    entry_runtime.block_on(run).expect("the run ends");
}

/// Measures what a link that was used and is quiet again keeps in memory at each end.
fn memory() {
    let runtime = one_thread();
    let (hub, address) = runtime.block_on(owner(eager(BODY_TOKENS)));
    let before_bytes = resident_bytes();
    let entries: Vec<_> = (0..LINKS).map(|number| links(&format!("entry-{number}"))).collect();
    let identities_bytes = resident_bytes() - before_bytes;
    runtime.block_on(async {
        for entry in &entries {
            drain(open(entry, address, 1).await, |_| {}).await;
        }
    });
    let link_bytes = resident_bytes() - before_bytes - identities_bytes;
    println!(
        "{LINKS} links: {:.1} KB of resident memory an end after {} KB went through each",
        link_bytes as f64 / 1e3 / (2 * LINKS) as f64,
        BODY_TOKENS * CHUNK_SIZE_BYTES as u64 / 1_000
    );
    let before_bytes = resident_bytes();
    let held: Vec<_> = (2..STREAMS_HELD + 2)
        .map(|sequence| runtime.block_on(open(&entries[0], address, sequence)))
        .collect();
    let opened_bytes = resident_bytes() - before_bytes;
    thread::sleep(Duration::from_secs(2));
    let stalled_bytes = resident_bytes() - before_bytes;
    println!(
        "{STREAMS_HELD} streams of one link, both ends: {:.1} KB of resident memory each, {:.1} KB \
         once their answers wait for callers who do not read",
        opened_bytes as f64 / 1e3 / STREAMS_HELD as f64,
        stalled_bytes as f64 / 1e3 / STREAMS_HELD as f64
    );
    drop((hub, held));
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("Linux tells about its processes");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a size");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).expect("a number") << 10
}

fn main() {
    let mut criterion = Criterion::default().without_plots().configure_from_args();
    throughput(&mut criterion);
    for streams in PACED_STREAMS {
        latency_without_link(streams);
        latency(streams);
    }
    memory();
    criterion.final_summary();
}
