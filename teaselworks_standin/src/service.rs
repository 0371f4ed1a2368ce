//! Plain service that counts what it executes.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use poem::{Body, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use xxhash_rust::xxh3::Xxh3;

use crate::connection::breakable;
use crate::http::{self, HttpServer, read_json, take};

/// Time between two looks whether a call is still held.
const HOLD_INTERVAL: Duration = Duration::from_millis(2);
/// Length of the parts of an answer to `/fill/{size}`.
const FILL_PART: &str = match std::str::from_utf8(&[b'.'; 16 << 10]) {
    Ok(part) => part,
    Err(_) => "",
};

/// Faults of a service, all off by default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Time from the arrival of a call to its execution; a change counts for held calls too.
    pub delay_ms: u64,
    /// Calls still to be answered 503 without being executed.
    pub fail_before: u32,
    /// Calls still to be answered 500 after they were executed.
    pub fail_after: u32,
    /// Calls still to be executed whose answer breaks off.
    pub lose_answers: u32,
    /// Whether bodies are left unread where they are.
    pub stalled_reads: bool,
}

/// One executed call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// `Idempotency-Key` header.
    pub key: Option<String>,
    /// `x-request-id` header.
    pub request_id: Option<String>,
    /// Length of the body.
    pub body_size_bytes: usize,
    /// Digest of the body.
    pub body_digest: u64,
}

#[derive(Default)]
struct State {
    faults: ServiceFaults,
    calls: Vec<ServiceCall>,
    received_bytes: u64,
    sent_bytes: u64,
    broken_bodies: u32,
}

/// A body that arrives; counted as broken unless it ended whole.
struct Arriving {
    state: Arc<Mutex<State>>,
    whole: bool,
}

impl Drop for Arriving {
    fn drop(&mut self) {
        if !self.whole {
            self.state.lock().expect("lock is never poisoned").broken_bodies += 1;
        }
    }
}

/// Running service.
pub struct Service {
    state: Arc<Mutex<State>>,
    server: HttpServer,
}

impl Service {
    /// Starts a service without faults.
    ///
    /// `POST /control/faults` sets its faults; every other path is executed and counted. `/echo`
    /// answers with the body, `/fill/{size}` with so many bytes.
    pub fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let server = HttpServer::start(move |request| respond(shared.clone(), request))?;
        Ok(Self { state, server })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the server, which can be stopped and resumed.
    pub fn server(&self) -> &HttpServer {
        &self.server
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.state.lock().expect("lock is never poisoned").faults);
    }

    /// Returns every executed call in order.
    pub fn calls(&self) -> Vec<ServiceCall> {
        self.state.lock().expect("lock is never poisoned").calls.clone()
    }

    /// Returns the bytes of bodies read so far.
    pub fn received_bytes(&self) -> u64 {
        self.state.lock().expect("lock is never poisoned").received_bytes
    }

    /// Returns the bytes of answers to `/fill` that were handed to their connections.
    pub fn sent_bytes(&self) -> u64 {
        self.state.lock().expect("lock is never poisoned").sent_bytes
    }

    /// Returns how many bodies broke off before their end.
    pub fn broken_bodies(&self) -> u32 {
        self.state.lock().expect("lock is never poisoned").broken_bodies
    }

    /// Returns how often each idempotency key was executed.
    pub fn executions_by_key(&self) -> BTreeMap<String, u32> {
        let mut executions = BTreeMap::new();
        for call in self.calls() {
            let Some(key) = call.key else { continue };
            *executions.entry(key).or_default() += 1;
        }
        executions
    }
}

async fn respond(state: Arc<Mutex<State>>, mut request: Request) -> Response {
    if request.uri().path() == "/control/faults" {
        let faults = serde_json::from_value(read_json(&mut request).await).unwrap_or_default();
        state.lock().expect("lock is never poisoned").faults = faults;
        return http::json(200, &json!({}));
    }
    let keeps = request.uri().path().starts_with("/echo");
    let body = read(&state, request.take_body(), keeps).await;
    let Some(body) = body else { return http::json(400, &json!({ "error": "body broke off" })) };
    // A call that arrived whole is executed even when its sender has gone, as a real service
    // does; in the handler's own future it would be undone by the sender's disconnect.
    let execution = tokio::spawn(execute(state, request, body));
    execution.await.expect("execution does not panic")
}

/// What is known of a body that was read.
struct ReadBody {
    size_bytes: usize,
    digest: u64,
    kept: Vec<u8>,
}

/// Reads a body to its end; `None` when it broke off.
async fn read(state: &Arc<Mutex<State>>, body: Body, keeps: bool) -> Option<ReadBody> {
    let mut arriving = Arriving { state: state.clone(), whole: false };
    let mut parts = Box::pin(body.into_bytes_stream());
    let (mut size_bytes, mut digest, mut kept) = (0, Xxh3::new(), Vec::new());
    loop {
        while state.lock().expect("lock is never poisoned").faults.stalled_reads {
            tokio::time::sleep(HOLD_INTERVAL).await;
        }
        let Some(part) = parts.next().await else { break };
        let part = part.ok()?;
        size_bytes += part.len();
        digest.update(&part);
        state.lock().expect("lock is never poisoned").received_bytes += part.len() as u64;
        if keeps {
            kept.extend_from_slice(&part);
        }
    }
    arriving.whole = true;
    Some(ReadBody { size_bytes, digest: digest.digest(), kept })
}

/// Answers with `size_bytes` bytes, made as the connection takes them.
fn fill(state: &Arc<Mutex<State>>, size_bytes: usize) -> Response {
    let state = state.clone();
    let parts = stream::iter((0..size_bytes).step_by(FILL_PART.len())).map(move |at| {
        let part = &FILL_PART[..FILL_PART.len().min(size_bytes - at)];
        state.lock().expect("lock is never poisoned").sent_bytes += part.len() as u64;
        Ok(part.to_owned())
    });
    Response::builder().body(breakable(parts))
}

async fn execute(state: Arc<Mutex<State>>, request: Request, body: ReadBody) -> Response {
    let arrived = Instant::now();
    let is_held = || {
        let delay_ms = state.lock().expect("lock is never poisoned").faults.delay_ms;
        arrived.elapsed() < Duration::from_millis(delay_ms)
    };
    while is_held() {
        tokio::time::sleep(HOLD_INTERVAL).await;
    }
    if let Some(size) = request.uri().path().strip_prefix("/fill/") {
        return fill(&state, size.parse().unwrap_or_default());
    }
    let mut state = state.lock().expect("lock is never poisoned");
    if take(&mut state.faults.fail_before) {
        return http::json(503, &json!({ "error": "not executed" }));
    }
    let call = ServiceCall {
        method: request.method().to_string(),
        path: request.uri().path_and_query().map(ToString::to_string).unwrap_or_default(),
        key: request.header("idempotency-key").map(Into::into),
        request_id: request.header("x-request-id").map(Into::into),
        body_size_bytes: body.size_bytes,
        body_digest: body.digest,
    };
    state.calls.push(call.clone());
    if take(&mut state.faults.fail_after) {
        return http::json(500, &json!({ "error": "failed after execution" }));
    }
    if take(&mut state.faults.lose_answers) {
        return http::cut();
    }
    if call.path.starts_with("/echo") {
        return Response::builder().body(body.kept);
    }
    http::json(200, &json!({ "execution": state.calls.len(), "call": call }))
}
