//! The platform's key-value service in the published JSON form of the etcd v3 interface.

mod message;
mod store;
mod watch_stream;

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures_util::stream;
use poem::{Request, Response};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

use self::message::{Bytes, Event, LeaseRequest, PutRequest, RangeRequest, RequestOp, TxnRequest};
use self::store::{Store, StoreError};
use crate::connection::breakable;
use crate::http::{self, HttpServer, take};

/// Time between looks for ended leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);
const INVALID_ARGUMENT: u8 = 3;
const RESOURCE_EXHAUSTED: u8 = 8;
const UNAVAILABLE: u8 = 14;

/// How the answer to a write that took effect gets lost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostAnswer {
    /// The connection breaks.
    #[default]
    Cut,
    /// Nothing comes until the caller gives up.
    Silence,
    /// An error that does not tell whether the write took effect.
    Error,
}

/// Faults of the service, all off by default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every call is answered with an error and has no effect.
    pub unavailable: bool,
    /// Time from a call to its effect; a caller that gives up does not stop the effect.
    pub delay_before_ms: u64,
    /// Time from a call's effect to its answer.
    pub delay_ms: u64,
    /// Writes still to take effect without an answer.
    pub lose_answers: u32,
    /// Only writes of keys with this prefix lose their answer.
    pub lose_prefix: String,
    /// How answers get lost.
    pub lost_answer: LostAnswer,
    /// Writes still to be refused, without effect, in a form that does not tell so.
    pub lose_requests: u32,
    /// Events that watches still leave out.
    pub drop_events: u32,
    /// Events that watches still report twice.
    pub repeat_events: u32,
    /// Events after which watches still report the key's older event once more.
    pub stale_events: u32,
    /// Plain reads answer with the content of this revision.
    pub stale_reads_revision: Option<i64>,
    /// Writes allowed in a second; more are refused.
    pub writes_per_s: Option<u64>,
    /// Reads allowed in a second; more are refused.
    pub reads_per_s: Option<u64>,
}

/// One change of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Revision that made it.
    pub revision: i64,
    /// Key.
    pub key: String,
    /// New value; `None` for a removal.
    pub value: Option<Vec<u8>>,
}

/// Calls counted by the service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls by path, such as `kv/range`.
    pub by_path: BTreeMap<String, u64>,
    /// Reads in each second since the start.
    pub reads_by_second: BTreeMap<u64, u64>,
    /// Writes, leases among them, in each second since the start.
    pub writes_by_second: BTreeMap<u64, u64>,
    /// Watches that wait now.
    pub watches: u64,
    /// Most watches that waited at once.
    pub peak_watches: u64,
}

impl CallCounts {
    /// Returns the number of calls.
    pub fn total(&self) -> u64 {
        self.by_path.values().sum()
    }

    /// Returns the most calls of one second.
    pub fn peak_per_s(&self) -> u64 {
        let seconds = self.reads_by_second.keys().chain(self.writes_by_second.keys());
        let sums = seconds.map(|second| {
            self.reads_by_second.get(second).unwrap_or(&0)
                + self.writes_by_second.get(second).unwrap_or(&0)
        });
        sums.max().unwrap_or_default()
    }
}

struct State {
    store: Store,
    faults: PlatformFaults,
    counts: CallCounts,
    started: Instant,
}

struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is never poisoned")
    }
}

/// Running key-value service.
pub struct Platform {
    shared: Arc<Shared>,
    server: HttpServer,
}

impl Platform {
    /// Starts an empty service.
    ///
    /// `GET` and `POST /control/faults` read and set the faults, `GET /control/calls` tells the
    /// counts, `GET /control/dump` the content, `POST /control/expire` ends the lease `ID`.
    pub fn start() -> io::Result<Self> {
        let state = State {
            store: Store::default(),
            faults: PlatformFaults::default(),
            counts: CallCounts::default(),
            started: Instant::now(),
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: watch::Sender::new(()) });
        let handler = shared.clone();
        let server = HttpServer::start(move |request| respond(handler.clone(), request))?;
        let expiring = Arc::downgrade(&shared);
        tokio::spawn(async move {
            while let Some(shared) = expiring.upgrade() {
                if shared.lock().store.expire() {
                    shared.changed.send_replace(());
                }
                drop(shared);
                tokio::time::sleep(EXPIRY_INTERVAL).await;
            }
        });
        Ok(Self { shared, server })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the server, which can be stopped and resumed; the content outlasts both.
    pub fn server(&self) -> &HttpServer {
        &self.server
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.shared.lock().faults);
        self.shared.changed.send_replace(());
    }

    /// Returns the faults, counters among them as far as they were used up.
    pub fn faults(&self) -> PlatformFaults {
        self.shared.lock().faults.clone()
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> CallCounts {
        self.shared.lock().counts.clone()
    }

    /// Returns the content by key, keys as text.
    pub fn dump(&self) -> BTreeMap<String, Vec<u8>> {
        let entries = self.shared.lock().store.entries();
        entries.into_iter().map(|entry| (text(&entry.key.0), entry.value.0)).collect()
    }

    /// Returns every change of the keys with a prefix, in order, also those that a rewind undid.
    pub fn log(&self, prefix: &str) -> Vec<Change> {
        let state = self.shared.lock();
        let events = state.store.log().iter();
        let matching = events.filter(|event| event.kv.key.0.starts_with(prefix.as_bytes()));
        matching.map(change).collect()
    }

    /// Returns the newest revision.
    pub fn revision(&self) -> i64 {
        self.shared.lock().store.revision()
    }

    /// Returns the numbers of the leases that have not ended.
    pub fn leases(&self) -> Vec<i64> {
        self.shared.lock().store.leases()
    }

    /// Ends a lease now, whatever its holder thinks; tells whether there was one.
    pub fn expire_lease(&self, id: i64) -> bool {
        let ended = self.shared.lock().store.revoke(id).is_ok();
        self.shared.changed.send_replace(());
        ended
    }

    /// Goes back to the content of an older revision, as a service restored from a backup.
    pub fn rewind(&self, revision: i64) {
        self.shared.lock().store.rewind(revision);
        self.shared.changed.send_replace(());
    }

    /// Writes an entry from outside, uncounted and without faults.
    pub fn put(&self, key: &str, value: &[u8]) {
        let (key, value) = (Bytes(key.into()), Bytes(value.into()));
        let request = PutRequest { key, value, ..PutRequest::default() };
        self.shared.lock().store.put(request).expect("entries from outside are valid");
        self.shared.changed.send_replace(());
    }
}

fn change(event: &Event) -> Change {
    Change {
        revision: event.kv.mod_revision.0,
        key: text(&event.kv.key.0),
        value: event.kind.is_none().then(|| event.kv.value.0.clone()),
    }
}

fn text(key: &[u8]) -> String {
    String::from_utf8_lossy(key).into_owned()
}

fn refuse(error: &StoreError) -> Response {
    let status = match error.code {
        5 => 404,
        RESOURCE_EXHAUSTED => 429,
        UNAVAILABLE => 503,
        _ => 400,
    };
    let body = json!({ "error": error.message, "code": error.code, "message": error.message });
    http::json(status, &body)
}

fn unavailable() -> StoreError {
    StoreError { code: UNAVAILABLE, message: "etcdserver: request timed out" }
}

async fn respond(shared: Arc<Shared>, mut request: Request) -> Response {
    let path = request.uri().path().to_owned();
    let body = http::read_json(&mut request).await;
    if let Some(path) = path.strip_prefix("/control/") {
        return control(&shared, path, body);
    }
    let path = path.strip_prefix("/v3/").unwrap_or(&path).to_owned();
    if let Err(error) = admit(&mut shared.lock(), &path) {
        return refuse(&error);
    }
    if path == "watch" {
        return match parse(body) {
            Ok(watch) => watch_stream::respond(shared, watch),
            Err(error) => refuse(&error),
        };
    }
    // A write on its way takes effect even when its sender has given up on it; in the handler's
    // own future the sender's disconnect would undo it.
    let call = tokio::spawn(call(shared, path, body));
    call.await.expect("a call does not panic")
}

/// Counts a call and refuses it while the service is unavailable or its rate is spent.
fn admit(state: &mut State, path: &str) -> Result<(), StoreError> {
    *state.counts.by_path.entry(path.to_owned()).or_default() += 1;
    let second = state.started.elapsed().as_secs();
    let reads = matches!(path, "kv/range" | "watch");
    let (by_second, most) = if reads {
        (&mut state.counts.reads_by_second, state.faults.reads_per_s)
    } else {
        (&mut state.counts.writes_by_second, state.faults.writes_per_s)
    };
    let calls = by_second.entry(second).or_default();
    *calls += 1;
    if state.faults.unavailable {
        return Err(unavailable());
    }
    if most.is_some_and(|most| *calls > most) {
        let message = "etcdserver: too many requests";
        return Err(StoreError { code: RESOURCE_EXHAUSTED, message });
    }
    Ok(())
}

async fn call(shared: Arc<Shared>, path: String, body: Value) -> Response {
    let delay_before_ms = shared.lock().faults.delay_before_ms;
    tokio::time::sleep(Duration::from_millis(delay_before_ms)).await;
    let (outcome, lost) = take_effect(&mut shared.lock(), &path, body);
    shared.changed.send_replace(());
    let delay_ms = shared.lock().faults.delay_ms;
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    match (lost, outcome) {
        (Some(LostAnswer::Cut), _) => http::cut(),
        (Some(LostAnswer::Silence), _) => std::future::pending().await,
        (Some(LostAnswer::Error), _) => refuse(&unavailable()),
        (None, Ok(body)) if path == "lease/keepalive" => one_line(&json!({ "result": body })),
        (None, Ok(body)) => http::json(200, &body),
        (None, Err(error)) => refuse(&error),
    }
}

/// Runs a call; tells its outcome and whether that gets lost.
fn take_effect(
    state: &mut State,
    path: &str,
    body: Value,
) -> (Result<Value, StoreError>, Option<LostAnswer>) {
    let key = written_key(path, &body);
    let faults = &mut state.faults;
    let how = faults.lost_answer;
    let matched = key.is_some_and(|key| key.starts_with(faults.lose_prefix.as_bytes()));
    if matched && take(&mut faults.lose_requests) {
        return (Err(unavailable()), Some(how));
    }
    let outcome = execute(state, path, body);
    let lost = matched && outcome.is_ok() && take(&mut state.faults.lose_answers);
    (outcome, lost.then_some(how))
}

fn one_line(body: &Value) -> Response {
    let line = stream::iter([Ok::<_, io::Error>(format!("{body}\n"))]);
    Response::builder().content_type("application/json").body(breakable(line))
}

/// Returns the first key that a call would write; empty for a lease, `None` for a read.
fn written_key(path: &str, body: &Value) -> Option<Vec<u8>> {
    let key = |value: &Value| parse::<RangeRequest>(value.clone()).map(|range| range.key.0).ok();
    match path {
        "kv/put" | "kv/deleterange" => key(body),
        "lease/grant" | "lease/revoke" => Some(Vec::new()),
        "kv/txn" => {
            let txn: TxnRequest = parse(body.clone()).ok()?;
            txn.success.iter().find_map(|step| match step {
                RequestOp::Put(put) => Some(put.key.0.clone()),
                RequestOp::DeleteRange(delete) => Some(delete.key.0.clone()),
                RequestOp::Range(_) => None,
            })
        }
        _ => None,
    }
}

fn parse<T: DeserializeOwned>(body: Value) -> Result<T, StoreError> {
    let message = "the request could not be understood";
    serde_json::from_value(body).map_err(|_| StoreError { code: INVALID_ARGUMENT, message })
}

fn to_json(body: impl Serialize) -> Value {
    serde_json::to_value(body).expect("answers are valid JSON")
}

fn execute(state: &mut State, path: &str, body: Value) -> Result<Value, StoreError> {
    let store = &mut state.store;
    store.expire();
    Ok(match path {
        "kv/range" => {
            let mut range: RangeRequest = parse(body)?;
            if let Some(revision) = state.faults.stale_reads_revision {
                range.revision.0 = revision.min(store.revision());
            }
            store.range(&range)?
        }
        "kv/put" => store.put(parse(body)?)?,
        "kv/deleterange" => store.delete_range(&parse(body)?),
        "kv/txn" => store.txn(parse(body)?)?,
        "lease/grant" => store.grant(parse(body)?)?,
        "lease/keepalive" => store.keep_alive(parse::<LeaseRequest>(body)?.id.0),
        "lease/revoke" | "kv/lease/revoke" => store.revoke(parse::<LeaseRequest>(body)?.id.0)?,
        _ => return Err(StoreError { code: 5, message: "Not Found" }),
    })
}

fn control(shared: &Shared, path: &str, body: Value) -> Response {
    let mut state = shared.lock();
    match path {
        "faults" => {
            if let Ok(faults) = serde_json::from_value(body) {
                state.faults = faults;
            }
            http::json(200, &to_json(&state.faults))
        }
        "calls" => http::json(200, &to_json(&state.counts)),
        "dump" => http::json(200, &to_json(state.store.entries())),
        "expire" => {
            let request: LeaseRequest = serde_json::from_value(body).unwrap_or_default();
            let ended = state.store.revoke(request.id.0).is_ok();
            shared.changed.send_replace(());
            http::json(200, &json!({ "ended": ended }))
        }
        _ => http::json(404, &json!({})),
    }
}
