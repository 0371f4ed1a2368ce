//! In-memory HTTP server with the API of the platform's key-value store, and faults that tests can
//! switch on.

mod addresses;
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
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

pub use self::addresses::AddressMap;
use self::state::State;
use crate::port::PortGuard;

/// Maximum number of items on one page of a `/kv-range` response.
const PAGE_ITEMS: usize = 50;
/// Interval between checks for expired leases.
const LEASE_EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Handles every call.
    #[default]
    Serving,
    /// Responds to every call with 503.
    Unavailable,
    /// Accepts calls and never responds.
    Silent,
}

/// State shared by the tasks that serve calls and expire leases.
struct Shared {
    state: Mutex<State>,
    /// Current revision; a change wakes the watches that wait for events.
    revision: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    /// Method and URI of every call.
    calls: Mutex<Vec<String>>,
}

/// A running store, which stops when it is dropped.
pub struct Store {
    guard: PortGuard,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

impl Store {
    /// Starts an empty store on a free loopback port.
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
        tokio::spawn(accept(listener, shared.clone(), AddressMap::default(), stop.clone()));
        let (expiring, stopped) = (shared.clone(), stop.clone());
        tokio::spawn(async move {
            while !stopped.is_cancelled() {
                tokio::time::sleep(LEASE_EXPIRY_INTERVAL).await;
                expiring.change(State::expire_leases);
            }
        });
        Ok(Self { guard, shared, stop })
    }

    /// Serves the same items on another port, with the addresses of replicas replaced as the
    /// returned map says.
    pub fn start_view(&self) -> io::Result<StoreView> {
        let guard = PortGuard::reserve()?;
        let addresses = AddressMap::default();
        let stop = self.stop.child_token();
        tokio::spawn(accept(guard.listen()?, self.shared.clone(), addresses.clone(), stop.clone()));
        Ok(StoreView { guard, addresses, stop })
    }

    /// Returns the address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.guard.address()
    }

    /// Changes how the store responds to new calls. A call that is in progress gets no response in
    /// [`Mode::Silent`] and a 503 in the other modes.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.mode.send_replace(mode);
    }

    /// Sets a key without a lease, its value encoded in base64 as the operator and the replicas
    /// write it. Returns the new revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        self.shared.change(|state| state.put(key, value, 0));
        self.revision()
    }

    /// Sets a key to a value that clients get unchanged, even when it is not base64 text. Returns
    /// the new revision.
    pub fn put_raw(&self, key: &str, value: Value) -> u64 {
        self.shared.change(|state| state.put_raw(key, value, 0));
        self.revision()
    }

    /// Sets a key to the text of a JSON value. Returns the new revision.
    pub fn put_json(&self, key: &str, value: &Value) -> u64 {
        self.put(key, value.to_string().as_bytes())
    }

    /// Removes a key; does nothing if the key does not exist.
    pub fn remove(&self, key: &str) {
        self.shared.change(|state| state.remove(key));
    }

    /// Discards the history, so that a watch that starts before the current revision gets a 410.
    pub fn compact(&self) {
        self.shared.lock().compact();
    }

    /// Ends all leases and removes their keys, as an outage may.
    pub fn end_leases(&self) {
        self.shared.change(State::end_leases);
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.shared.lock().revision()
    }

    /// Returns the keys that start with `prefix`, in order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.shared.lock().keys(prefix)
    }

    /// Returns all calls received so far, each as method and URI.
    pub fn calls(&self) -> Vec<String> {
        self.shared.calls.lock().expect("locks are never poisoned").clone()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// A port of a store that lists replicas at other addresses; closed when it is dropped.
pub struct StoreView {
    guard: PortGuard,
    /// Addresses under which this port lists replicas, by their addresses in the store.
    pub addresses: AddressMap,
    stop: CancellationToken,
}

impl StoreView {
    /// Returns the address on which the view listens.
    pub fn address(&self) -> SocketAddr {
        self.guard.address()
    }
}

impl Drop for StoreView {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Serves connections until `stop` is cancelled.
async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    addresses: AddressMap,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let (shared, addresses, stop) = (shared.clone(), addresses.clone(), stop.clone());
        let service =
            service_fn(move |request| respond(shared.clone(), addresses.clone(), request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            tokio::select! {
                _ = connection => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("locks are never poisoned")
    }

    /// Applies a change to the state and wakes the waiting watches if the revision is new.
    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state);
        let revision = state.revision();
        drop(state);
        self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        result
    }
}

type StoreResponse = Response<Full<Bytes>>;

/// Records a call and responds to it as [`Store::set_mode`] describes.
async fn respond(
    shared: Arc<Shared>,
    addresses: AddressMap,
    request: Request<Incoming>,
) -> Result<StoreResponse, Infallible> {
    let call = format!("{} {}", request.method(), request.uri());
    shared.calls.lock().expect("locks are never poisoned").push(call);
    let mut mode = shared.mode.subscribe();
    let initial_mode = *mode.borrow_and_update();
    let respond_in_mode = async {
        match initial_mode {
            Mode::Serving => handle_call(&shared, &addresses, request).await,
            Mode::Unavailable => json_response(503, &json!({})),
            Mode::Silent => std::future::pending().await,
        }
    };
    tokio::select! {
        response = respond_in_mode => Ok(response),
        _ = mode.changed() => {
            let new_mode = *mode.borrow();
            if new_mode == Mode::Silent {
                std::future::pending::<()>().await;
            }
            Ok(json_response(503, &json!({})))
        }
    }
}

/// Handles a call in [`Mode::Serving`].
async fn handle_call(
    shared: &Shared,
    addresses: &AddressMap,
    request: Request<Incoming>,
) -> StoreResponse {
    let query = Query::parse(request.uri().query().unwrap_or_default());
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if let Some(id) = path.strip_prefix("/kv-keep/") {
        let ttl_ms = shared.lock().renew_lease(id.parse().unwrap_or_default());
        return ttl_ms.map_or_else(not_found, |ttl| json_response(200, &json!({ "ttl_ms": ttl })));
    }
    if let Some(id) = path.strip_prefix("/kv-lease-end/") {
        shared.change(|state| state.end_lease(id.parse().unwrap_or_default()));
        return json_response(200, &json!({}));
    }
    match (method, path.as_str()) {
        (Method::GET, "/kv-range") => {
            let mut range =
                shared.lock().range(query.get("prefix"), query.get("after"), PAGE_ITEMS);
            addresses.replace_in(&mut range["items"]);
            json_response(200, &range)
        }
        (Method::GET, "/kv-watch") => watch_changes(shared, addresses, &query).await,
        (Method::POST, "/kv-lease") => {
            let ttl_ms = body["ttl_ms"].as_u64().unwrap_or_default();
            let lease = shared.lock().grant_lease(ttl_ms);
            json_response(200, &json!({ "lease": lease, "ttl_ms": ttl_ms }))
        }
        (Method::POST, "/kv-txn") => shared
            .change(|state| state.transact(&body))
            .map_or_else(not_found, |rev| json_response(200, &json!({ "revision": rev }))),
        _ => not_found(),
    }
}

/// Responds to a watch as soon as there are events, without events after `wait_ms`, or with 410 if
/// the history no longer contains all of them.
async fn watch_changes(shared: &Shared, addresses: &AddressMap, query: &Query) -> StoreResponse {
    let after = query.get_u64("after");
    let wait = Duration::from_millis(query.get_u64("wait_ms"));
    let mut revision = shared.revision.subscribe();
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        revision.borrow_and_update();
        let events = shared.lock().events_after(query.get("prefix"), after);
        let at = shared.lock().revision();
        match events {
            None => return json_response(410, &json!({})),
            Some(events) if !events.is_empty() => {
                let mut events = Value::from(events);
                addresses.replace_in(&mut events);
                return json_response(200, &json!({ "events": events, "at": at }));
            }
            Some(_) => {}
        }
        if tokio::time::timeout_at(deadline, revision.changed()).await.is_err() {
            return json_response(200, &json!({ "events": [], "at": at }));
        }
    }
}

fn not_found() -> StoreResponse {
    json_response(404, &json!({}))
}

fn json_response(status: u16, body: &Value) -> StoreResponse {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() =
        StatusCode::from_u16(status).expect("the status is between 100 and 999");
    response
}

/// Parameters of a query string, in which only `%2F` is percent-decoded.
struct Query(Vec<(String, String)>);

impl Query {
    fn parse(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Self(pairs.map(|(name, value)| (name.into(), percent_decode(value))).collect())
    }

    /// Returns a parameter, or an empty string if it is missing.
    fn get(&self, name: &str) -> &str {
        self.0.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }

    /// Returns a numeric parameter, or 0 if it is missing or not a number.
    fn get_u64(&self, name: &str) -> u64 {
        self.get(name).parse().unwrap_or_default()
    }
}

/// Decodes a value of a query.
fn percent_decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (code, rest) = part.split_at_checked(2).unwrap_or((part, ""));
        bytes.push(u8::from_str_radix(code, 16).unwrap_or_default());
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
