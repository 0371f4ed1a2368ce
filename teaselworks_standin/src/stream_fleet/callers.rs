//! Callers that request streams and go on with those that break off.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::check::{StreamRecord, Try};
use super::content::{Content, StreamRoute, parse_events};
use crate::caller::{Connection, Reply};

/// Tries of a stream: the first one and one retry.
const MAX_TRIES: usize = 2;
/// Attempts to find a router that accepts connections.
const CONNECT_ATTEMPTS: usize = 20;
/// Time after its deadline for which a caller waits.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Longest time for which a kept connection is idle before it is used again: four fifths of the
/// `idle_timeout_ms` of the configuration.
const MAX_IDLE: Duration = Duration::from_millis(4_000);
/// Connections that are kept for each router.
const MAX_KEPT_CONNECTIONS: usize = 4;
/// Different prompts.
const PROMPTS: u32 = 618;

/// What all callers share.
pub(super) struct Callers {
    pub(super) started_at: Instant,
    /// Addresses of the routers for callers.
    pub(super) routers: Vec<SocketAddr>,
    /// Counts the times at which half of the callers lose their connections.
    pub(super) resets: watch::Sender<u64>,
    /// Connections that are idle, by router, each with the time since which it is.
    kept: Mutex<HashMap<usize, Vec<(Instant, Connection)>>>,
    records: Mutex<Vec<StreamRecord>>,
}

impl Callers {
    pub(super) fn new(routers: Vec<SocketAddr>) -> Self {
        Self {
            started_at: Instant::now(),
            routers,
            resets: watch::Sender::new(0),
            kept: Mutex::default(),
            records: Mutex::default(),
        }
    }

    /// Requests streams at a mean rate for a time, waits until the last one has ended, and returns
    /// all of them.
    pub(super) async fn run(
        self: Arc<Self>,
        streams_per_s: f64,
        duration: Duration,
        seed: u64,
    ) -> Vec<StreamRecord> {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut streams = JoinSet::new();
        let mut number = 0;
        while self.started_at.elapsed() < duration {
            let pause_s = -random.random_range(f64::MIN_POSITIVE..1.0).ln() / streams_per_s;
            tokio::time::sleep(Duration::from_secs_f64(pause_s)).await;
            number += 1;
            let route = match random.random_range(0..10) {
                0..4 => StreamRoute::EventBrief,
                4..7 => StreamRoute::FanAnswer,
                _ => StreamRoute::TicketTag,
            };
            let (fewest, most) = route.event_counts();
            let content = Content {
                stream: format!("s{number}"),
                route,
                event_count: random.random_range(fewest..=most),
                prompt: random.random_range(0..PROMPTS),
            };
            streams.spawn(self.clone().request_stream(content, random.random()));
            while streams.try_join_next().is_some() {}
        }
        while streams.join_next().await.is_some() {}
        std::mem::take(&mut *self.records.lock().expect("locks are never poisoned"))
    }

    /// Requests a stream, and once more what is missing of it.
    async fn request_stream(self: Arc<Self>, content: Content, seed: u64) {
        let mut random = Pcg32::seed_from_u64(seed);
        let deadline = Instant::now() + Duration::from_millis(content.route.deadline_ms());
        let mut record = StreamRecord { content, tries: Vec::new() };
        let mut last_event = 0;
        while record.tries.len() < MAX_TRIES {
            let previous = record.tries.last().map(|one| one.router);
            let Some((one, pause)) =
                self.try_once(&record, last_event, previous, deadline, &mut random).await
            else {
                break;
            };
            last_event = one.events.last().map_or(last_event, |event| event.number);
            let is_refused = matches!(one.status, 408 | 421 | 429 | 503);
            let is_finished = one.status == 200 && one.is_whole;
            let may_retry = is_refused || record.content.route.is_resumable();
            record.tries.push(one);
            if is_finished || !may_retry || Instant::now() + pause > deadline {
                break;
            }
            tokio::time::sleep(pause).await;
        }
        self.records.lock().expect("locks are never poisoned").push(record);
    }

    /// Sends one try and reads its response. Returns it with the pause before the next one; `None`
    /// if no router accepts a connection.
    async fn try_once(
        &self,
        record: &StreamRecord,
        last_event: u32,
        previous: Option<usize>,
        deadline: Instant,
        random: &mut Pcg32,
    ) -> Option<(Try, Duration)> {
        let keeps = random.random_bool(0.5);
        let may_reuse = keeps && previous.is_none();
        let (router, mut connection) = self.connect(previous, may_reuse, random).await?;
        let request = format!("{}-{}", record.content.stream, record.tries.len() + 1);
        let remaining = deadline.saturating_duration_since(Instant::now());
        let call = record.content.call(&request, remaining.as_millis() as u64, last_event);
        let sent_s = self.started_at.elapsed().as_secs_f64();
        let mut resets = self.resets.subscribe();
        let is_reset = random.random_bool(0.5);
        let mut reply = Reply::default();
        let mut is_left = false;
        let receive = receive(&mut connection, &call, &mut reply);
        tokio::select! {
            () = receive => {}
            () = tokio::time::sleep(remaining + DEADLINE_GRACE) => is_left = true,
            () = async {
                // The sender outlives the callers.
                let _ = resets.changed().await;
                if !is_reset {
                    std::future::pending::<()>().await;
                }
            } => {}
        }
        if keeps && reply.body.is_whole {
            self.keep(router, connection);
        }
        let retry_after = reply.head.header("retry-after").and_then(|text| text.parse().ok());
        let retry_after = retry_after.map_or(RETRY_PAUSE, Duration::from_secs_f64);
        let pause = retry_after.min(remaining / 3).max(RETRY_PAUSE);
        let (events, rest_bytes) = parse_events(&reply.text());
        let is_answer = reply.status() == 200;
        let one = Try {
            request,
            router,
            sent_s,
            ended_s: self.started_at.elapsed().as_secs_f64(),
            status: reply.status(),
            last_event,
            events: if is_answer { events } else { Vec::new() },
            is_whole: reply.body.is_whole,
            rest_bytes: if is_answer { rest_bytes } else { 0 },
            is_left,
        };
        Some((one, pause))
    }

    /// Opens a connection to a router other than the previous one, or takes a kept one.
    async fn connect(
        &self,
        previous: Option<usize>,
        may_reuse: bool,
        random: &mut Pcg32,
    ) -> Option<(usize, Connection)> {
        for _ in 0..CONNECT_ATTEMPTS {
            let router = random.random_range(0..self.routers.len());
            if previous == Some(router) && self.routers.len() > 1 {
                continue;
            }
            if may_reuse
                && let Some((idle_since, connection)) =
                    self.kept().get_mut(&router).and_then(Vec::pop)
                && idle_since.elapsed() < MAX_IDLE
            {
                return Some((router, connection));
            }
            if let Ok(connection) = Connection::open(self.routers[router]).await {
                return Some((router, connection));
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        None
    }

    fn keep(&self, router: usize, connection: Connection) {
        let mut kept = self.kept();
        let connections = kept.entry(router).or_default();
        if connections.len() < MAX_KEPT_CONNECTIONS {
            connections.push((Instant::now(), connection));
        }
    }

    fn kept(&self) -> MutexGuard<'_, HashMap<usize, Vec<(Instant, Connection)>>> {
        self.kept.lock().expect("locks are never poisoned")
    }
}

/// Sends a call and reads the response into `reply`, which has what arrived if this is cancelled.
async fn receive(connection: &mut Connection, call: &crate::caller::Call, reply: &mut Reply) {
    if connection.send(call).await.is_err() {
        return;
    }
    let Ok(Some(head)) = connection.read_head().await else { return };
    reply.head = head;
    reply.body.is_whole =
        connection.read_body_into(&reply.head, &mut reply.body.bytes).await.unwrap_or(false);
}
