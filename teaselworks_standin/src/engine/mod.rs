//! Model engine with the interface of the open inference servers.

pub mod answer;
pub mod batch;
pub mod cache;
mod chat;
mod metrics;
pub mod order;

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use poem::{Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use self::batch::{Batch, Run, Totals};
use self::cache::Cache;
use self::order::{LoadedModel, Order, Orders, ReceivedOrder};
use crate::http::{self, HttpServer};

/// Properties of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Time of one step.
    pub step: Duration,
    /// Requests that run at once.
    pub places: usize,
    /// Prompt tokens that one step can take in, for each request.
    pub prefill_tokens_per_step: u32,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time to load weights.
    pub load_time: Duration,
    /// Time to change the role, in which the engine shows none.
    pub role_time: Duration,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(3),
            places: 64,
            prefill_tokens_per_step: 2_048,
            cache_blocks: 65_536,
            checks_fencing: true,
            load_time: Duration::from_millis(50),
            role_time: Duration::from_millis(50),
        }
    }
}

/// Faults of an engine, all off by default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// No step runs; connections stay open.
    pub stalled: bool,
    /// Chats still to be refused with 503 before they run.
    pub refuse_chats: u32,
    /// Chats still to be answered 500 after they ran.
    pub fail_chats: u32,
    /// Answers still to be broken off after `break_after_tokens`.
    pub break_chats: u32,
    /// Tokens that a broken answer brings.
    pub break_after_tokens: u32,
    /// Answers that from `cross_after_tokens` on still show the chat before them.
    pub cross_chats: u32,
    /// Own tokens of a crossed answer; with 0 its header shows the other chat too.
    pub cross_after_tokens: u32,
    /// Time that each answer's first byte is held back.
    pub late_ms: u64,
    /// Usage is left out of streams unless `stream_options.include_usage` asks for it.
    pub usage_on_request: bool,
    /// Usage claims that the whole prompt was found in the cache.
    pub claims_all_cached: bool,
    /// Load reports stay as they are.
    pub frozen_report: bool,
    /// Age of load reports.
    pub report_lag_ms: u64,
    /// Age that cache events have when they are published.
    pub event_lag_ms: u64,
    /// Every so many cache events one is lost; 0: none.
    pub lose_every_event: u64,
}

struct State {
    batch: Batch,
    cache: Cache,
    orders: Orders,
    faults: EngineFaults,
    options: EngineOptions,
    reports: VecDeque<(Instant, Totals, f64)>,
    last_chat: Option<chat::Identity>,
}

struct Shared(Mutex<State>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("lock is never poisoned")
    }
}

/// Running engine.
pub struct Engine {
    shared: Arc<Shared>,
    server: HttpServer,
}

impl Engine {
    /// Starts an engine without weights: it answers for every model until it is told to load one.
    ///
    /// `GET` and `POST /control/faults` read and set the faults, `GET /control/runs` tells what
    /// was run.
    pub fn start(options: EngineOptions) -> io::Result<Self> {
        let state = State {
            batch: Batch::default(),
            cache: Cache::new(options.cache_blocks),
            orders: Orders::default(),
            faults: EngineFaults::default(),
            options,
            reports: VecDeque::new(),
            last_chat: None,
        };
        let shared = Arc::new(Shared(Mutex::new(state)));
        let handler = shared.clone();
        let server = HttpServer::start(move |request| respond(handler.clone(), request))?;
        let stepping = Arc::downgrade(&shared);
        tokio::spawn(async move {
            let mut next = Instant::now();
            while let Some(shared) = stepping.upgrade() {
                let step = shared.lock().step();
                drop(shared);
                // Timers wake up to a millisecond late; steps stay in time by their own schedule.
                next = (next + step).max(Instant::now());
                tokio::time::sleep_until(next.into()).await;
            }
        });
        Ok(Self { shared, server })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the server.
    pub fn server(&self) -> &HttpServer {
        &self.server
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Returns the faults, counters among them as far as they were used up.
    pub fn faults(&self) -> EngineFaults {
        self.shared.lock().faults.clone()
    }

    /// Changes the properties; the size of the cache stays.
    pub fn set_options(&self, change: impl FnOnce(&mut EngineOptions)) {
        change(&mut self.shared.lock().options);
    }

    /// Drops every connection, request and cached block, and refuses connections.
    pub fn crash(&self) {
        self.server.stop();
        let mut state = self.shared.lock();
        state.batch.clear();
        state.cache.clear();
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) -> io::Result<()> {
        self.server.resume()
    }

    /// Returns what is known of every request, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().batch.runs.clone()
    }

    /// Returns how often each request id entered the batch.
    pub fn runs_by_id(&self) -> BTreeMap<String, u32> {
        self.shared.lock().batch.runs_by_id.clone().into_iter().collect()
    }

    /// Returns the sums over all requests.
    pub fn totals(&self) -> Totals {
        self.shared.lock().batch.totals
    }

    /// Returns every order received, in order.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.shared.lock().orders.received.clone()
    }

    /// Returns the weights held.
    pub fn models(&self) -> Vec<LoadedModel> {
        self.shared.lock().orders.models()
    }

    /// Returns the role in force; empty: none, or it changes.
    pub fn role(&self) -> String {
        self.shared.lock().orders.role()
    }

    /// Returns how often it was asked what it holds.
    pub fn looks(&self) -> u32 {
        self.shared.lock().orders.looks
    }

    /// Returns how often the role was changed.
    pub fn role_changes(&self) -> u32 {
        self.shared.lock().orders.role_changes
    }

    /// Gives an order from outside, as if it had come by HTTP; tells whether it was accepted.
    pub fn order(&self, order: Order) -> bool {
        self.shared.lock().receive(order)
    }
}

impl State {
    /// Runs one step; returns the time until the next.
    fn step(&mut self) -> Duration {
        let Self { batch, cache, options, .. } = self;
        match self.faults.stalled {
            true => batch.drop_cancelled(),
            false => batch.step(cache, options.places, options.prefill_tokens_per_step),
        }
        if !self.faults.frozen_report {
            let lag = Duration::from_millis(self.faults.report_lag_ms);
            metrics::push(&mut self.reports, self.batch.totals, self.cache.usage(), lag);
        }
        self.options.step
    }

    fn receive(&mut self, order: Order) -> bool {
        let EngineOptions { checks_fencing, load_time, role_time, .. } = self.options;
        let (changes, requests) = (self.orders.role_changes, self.batch.requests());
        let accepted = self.orders.receive(order, checks_fencing, load_time, role_time, requests);
        if self.orders.role_changes > changes {
            // The worst that is allowed: what is under way is lost.
            self.batch.clear();
        }
        accepted
    }

    fn published_events(&self, after: u64) -> Value {
        let lag = Duration::from_millis(self.faults.event_lag_ms);
        let every = self.faults.lose_every_event;
        let events = self.cache.events().iter().filter(|event| event.seq > after);
        let events = events.filter(|event| event.at.elapsed() >= lag);
        let events: Vec<_> =
            events.filter(|event| every == 0 || !event.seq.is_multiple_of(every)).collect();
        json!({ "events": events })
    }
}

async fn respond(shared: Arc<Shared>, mut request: Request) -> Response {
    let method = request.method().as_str().to_owned();
    let path = request.uri().path().to_owned();
    match (method.as_str(), path.as_str()) {
        ("POST", "/v1/chat/completions") => chat::respond(shared, request).await,
        ("GET", "/metrics") => metrics::respond(&shared.lock()),
        ("GET", "/models" | "/v1/models") => {
            let mut state = shared.lock();
            state.orders.looks += 1;
            models(&state)
        }
        ("GET", "/cache_events") => {
            let query = request.uri().query().unwrap_or_default();
            let after = query.strip_prefix("after=").and_then(|after| after.parse().ok());
            http::json(200, &shared.lock().published_events(after.unwrap_or_default()))
        }
        ("POST", "/orders") => {
            let body = http::read_json(&mut request).await;
            receive_order(&mut shared.lock(), body)
        }
        ("GET", "/control/runs") => http::json(200, &json!(shared.lock().batch.runs)),
        (_, "/control/faults") => {
            let body = http::read_json(&mut request).await;
            let mut state = shared.lock();
            if let Ok(faults) = serde_json::from_value(body) {
                state.faults = faults;
            }
            http::json(200, &json!(state.faults))
        }
        _ => match path.strip_prefix("/cache/") {
            Some(last) => {
                let body = http::read_json(&mut request).await;
                move_cache(&mut shared.lock(), &method, last, body)
            }
            None => http::json(404, &json!({ "error": { "message": "Not Found" } })),
        },
    }
}

fn models(state: &State) -> Response {
    let orders = &state.orders;
    let body = json!({
        "models": orders.models(),
        "role": orders.role(),
        "highest_fencing": orders.highest_fencing,
    });
    http::json(200, &body)
}

fn receive_order(state: &mut State, body: Value) -> Response {
    let Ok(order) = serde_json::from_value(body) else {
        return http::json(400, &json!({ "error": { "message": "not an order" } }));
    };
    if state.receive(order) {
        return models(state);
    }
    let highest = state.orders.highest_fencing;
    let error = json!({ "message": "old fencing number", "highest_fencing": highest });
    http::json(409, &json!({ "error": error }))
}

fn move_cache(state: &mut State, method: &str, last: &str, body: Value) -> Response {
    if method == "GET" {
        let chain = u64::from_str_radix(last, 16).map(|last| state.cache.export(last));
        let chain = chain.unwrap_or_default();
        let status = if chain.is_empty() { 404 } else { 200 };
        let blocks: Vec<_> = chain.iter().map(|hash| format!("{hash:016x}")).collect();
        return http::json(status, &json!({ "blocks": blocks }));
    }
    let mut chain = Vec::new();
    for block in body["blocks"].as_array().into_iter().flatten() {
        let hash = block.as_str().and_then(|hash| u64::from_str_radix(hash, 16).ok());
        let Some(hash) = hash else { return http::json(400, &json!({})) };
        chain.push(hash);
    }
    state.cache.store(&chain, None);
    http::json(200, &json!({ "blocks": chain.len() }))
}
