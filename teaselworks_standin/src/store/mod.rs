//! The platform's store, in memory, with faults.

mod state;

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use self::state::State;
use crate::port::PortGuard;

/// Items on one page of a range.
const PAGE_ITEMS: usize = 50;
/// Pause between looks for leases that have ended.
const LEASE_LOOK: Duration = Duration::from_millis(20);

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// As it should.
    #[default]
    Serving,
    /// 503 to every call.
    Unavailable,
    /// Not at all.
    Silent,
}

struct Shared {
    state: Mutex<State>,
    revision: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    calls: Mutex<Vec<String>>,
}

/// A running store.
pub struct Store {
    guard: PortGuard,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> io::Result<Self> {
        let guard = PortGuard::reserve()?;
        let listener = guard.listen()?;
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            revision: watch::Sender::new(0),
            mode: watch::Sender::new(Mode::Serving),
            calls: Mutex::default(),
        });
        let stop = CancellationToken::new();
        let (accepting, stopped) = (shared.clone(), stop.clone());
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = stopped.cancelled() => return,
                };
                let Ok((stream, _)) = accepted else { continue };
                let shared = accepting.clone();
                let service = service_fn(move |request| answer(shared.clone(), request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                let stopped = stopped.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        _ = connection => {}
                        () = stopped.cancelled() => {}
                    }
                });
            }
        });
        let (expiring, stopped) = (shared.clone(), stop.clone());
        tokio::spawn(async move {
            while !stopped.is_cancelled() {
                tokio::time::sleep(LEASE_LOOK).await;
                expiring.change(State::expire);
            }
        });
        Ok(Self { guard, shared, stop })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.guard.address()
    }

    /// Changes how calls are answered, those that wait too.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.mode.send_replace(mode);
    }

    /// Writes a key as the operator and the replicas do; returns the revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        self.shared.change(|state| state.put(key, value, 0));
        self.revision()
    }

    /// Writes a key whose value is handed on as it is, base64 text or not.
    pub fn put_raw(&self, key: &str, value: Value) -> u64 {
        self.shared.change(|state| state.put_raw(key, value, 0));
        self.revision()
    }

    /// Writes a key with a JSON value.
    pub fn put_json(&self, key: &str, value: &Value) -> u64 {
        self.put(key, value.to_string().as_bytes())
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.shared.change(|state| state.remove(key));
    }

    /// Forgets the history, so that watches that stand behind learn that it is gone.
    pub fn compact(&self) {
        self.shared.lock().compact();
    }

    /// Returns the revision.
    pub fn revision(&self) -> u64 {
        self.shared.lock().revision()
    }

    /// Returns the keys that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.shared.lock().keys(prefix)
    }

    /// Returns the calls so far, by method and path.
    pub fn calls(&self) -> Vec<String> {
        self.shared.calls.lock().expect("locks are never poisoned").clone()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("locks are never poisoned")
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state);
        let revision = state.revision();
        drop(state);
        self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        result
    }
}

type Answer = Response<Full<Bytes>>;

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Answer, Infallible> {
    let call = format!("{} {}", request.method(), request.uri());
    shared.calls.lock().expect("locks are never poisoned").push(call);
    let mut mode = shared.mode.subscribe();
    let begun = *mode.borrow_and_update();
    let answered = async {
        match begun {
            Mode::Serving => handle(&shared, request).await,
            Mode::Unavailable => json_answer(503, &json!({})),
            Mode::Silent => std::future::pending().await,
        }
    };
    tokio::select! {
        answer = answered => Ok(answer),
        _ = mode.changed() => {
            let changed = *mode.borrow();
            if changed == Mode::Silent {
                std::future::pending::<()>().await;
            }
            Ok(json_answer(503, &json!({})))
        }
    }
}

async fn handle(shared: &Shared, request: Request<Incoming>) -> Answer {
    let query = Query::of(request.uri().query().unwrap_or_default());
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if let Some(id) = path.strip_prefix("/kv-keep/") {
        let ttl_ms = shared.lock().renew(id.parse().unwrap_or_default());
        return ttl_ms.map_or_else(not_found, |ttl| json_answer(200, &json!({ "ttl_ms": ttl })));
    }
    if let Some(id) = path.strip_prefix("/kv-lease-end/") {
        shared.change(|state| state.end(id.parse().unwrap_or_default()));
        return json_answer(200, &json!({}));
    }
    match (method, path.as_str()) {
        (Method::GET, "/kv-range") => {
            let range = shared.lock().range(query.get("prefix"), query.get("after"), PAGE_ITEMS);
            json_answer(200, &range)
        }
        (Method::GET, "/kv-watch") => watch_changes(shared, &query).await,
        (Method::POST, "/kv-lease") => {
            let ttl_ms = body["ttl_ms"].as_u64().unwrap_or_default();
            let lease = shared.lock().lease(ttl_ms);
            json_answer(200, &json!({ "lease": lease, "ttl_ms": ttl_ms }))
        }
        (Method::POST, "/kv-txn") => shared
            .change(|state| state.transact(&body))
            .map_or_else(not_found, |revision| json_answer(200, &json!({ "revision": revision }))),
        _ => not_found(),
    }
}

async fn watch_changes(shared: &Shared, query: &Query) -> Answer {
    let after = query.number("after");
    let wait = Duration::from_millis(query.number("wait_ms"));
    let mut revision = shared.revision.subscribe();
    let end = tokio::time::Instant::now() + wait;
    loop {
        revision.borrow_and_update();
        let events = shared.lock().events(query.get("prefix"), after);
        let at = shared.lock().revision();
        match events {
            None => return json_answer(410, &json!({})),
            Some(events) if !events.is_empty() => {
                return json_answer(200, &json!({ "events": events, "at": at }));
            }
            Some(_) => {}
        }
        if tokio::time::timeout_at(end, revision.changed()).await.is_err() {
            return json_answer(200, &json!({ "events": [], "at": at }));
        }
    }
}

fn not_found() -> Answer {
    json_answer(404, &json!({}))
}

fn json_answer(status: u16, body: &Value) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(body.to_string())));
    *answer.status_mut() = StatusCode::from_u16(status).expect("stand-ins use valid statuses");
    answer
}

struct Query(Vec<(String, String)>);

impl Query {
    fn of(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Self(pairs.map(|(name, value)| (name.into(), value.replace("%2F", "/"))).collect())
    }

    fn get(&self, name: &str) -> &str {
        self.0.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }

    fn number(&self, name: &str) -> u64 {
        self.get(name).parse().unwrap_or_default()
    }
}
