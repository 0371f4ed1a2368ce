//! The platform's list of live and leaving VMs, which lags.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poem::Response;
use poem::http::header::{ETAG, IF_NONE_MATCH};
use poem::http::{HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::http::{HttpServer, json as answer};

/// What a VM is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// Runs a router.
    Router,
    /// Runs an engine or service.
    Upstream,
}

/// State of a VM as the platform tells it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// Runs.
    Live,
    /// Will be stopped.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the router or upstream.
    pub name: String,
    /// What the VM is for.
    pub kind: VmKind,
    /// Address of a router's links.
    pub links: Option<String>,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// State.
    pub state: VmState,
}

/// What readers were answered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Readings {
    /// Answers with the whole list.
    pub whole: u64,
    /// Answers that the list is unchanged.
    pub unchanged: u64,
    /// Bytes of all bodies.
    pub size_bytes: u64,
}

#[derive(Default)]
struct State {
    lag: Duration,
    unavailable: bool,
    untagged: bool,
    readings: Readings,
    versions: VecDeque<(Instant, Vec<Vm>)>,
}

impl State {
    fn visible(&self) -> &[Vm] {
        let mut visible: &[Vm] = &[];
        for (at, vms) in &self.versions {
            if at.elapsed() >= self.lag {
                visible = vms;
            }
        }
        visible
    }
}

/// Running list of VMs.
pub struct VmList {
    state: Arc<Mutex<State>>,
    server: HttpServer,
}

impl VmList {
    /// Starts an empty list without lag.
    pub fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let server = HttpServer::start(move |request| {
            let known = request.headers().get(IF_NONE_MATCH).cloned();
            let response = respond(&mut shared.lock().expect("lock is never poisoned"), known);
            async { response }
        })?;
        Ok(Self { state, server })
    }

    /// Returns the URL of the list.
    pub fn url(&self) -> String {
        format!("{}/vms", self.server.url())
    }

    /// Changes the list; readers see the change after the lag.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Vm>)) {
        let mut state = self.state.lock().expect("lock is never poisoned");
        let mut vms = state.versions.back().map(|(_, vms)| vms.clone()).unwrap_or_default();
        change(&mut vms);
        state.versions.push_back((Instant::now(), vms));
    }

    /// Sets the time until a change is seen, also for changes already made.
    pub fn set_lag(&self, lag: Duration) {
        self.state.lock().expect("lock is never poisoned").lag = lag;
    }

    /// Makes the list answer with an error, or answer again.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.state.lock().expect("lock is never poisoned").unavailable = unavailable;
    }

    /// Makes the list leave out its tag, as a platform that knows no conditional requests.
    pub fn set_untagged(&self, untagged: bool) {
        self.state.lock().expect("lock is never poisoned").untagged = untagged;
    }

    /// Returns what readers were answered since the last call.
    pub fn take_readings(&self) -> Readings {
        std::mem::take(&mut self.state.lock().expect("lock is never poisoned").readings)
    }
}

fn respond(state: &mut State, known: Option<HeaderValue>) -> Response {
    if state.unavailable {
        return answer(503, &json!({ "error": "unavailable" }));
    }
    let body = json!({ "vms": state.visible() }).to_string();
    let tag = format!("\"{:016x}\"", xxh3_64(body.as_bytes()));
    if !state.untagged && known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        state.readings.unchanged += 1;
        return Response::builder().status(StatusCode::NOT_MODIFIED).header(ETAG, tag).finish();
    }
    state.readings.whole += 1;
    state.readings.size_bytes += body.len() as u64;
    let mut response = Response::builder().content_type("application/json");
    if !state.untagged {
        response = response.header(ETAG, tag);
    }
    response.body(body)
}
