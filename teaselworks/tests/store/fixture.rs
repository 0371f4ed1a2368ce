//! Stores of several routers that reach each other by a call.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};

use serde_json::{Value, json};
use teaselworks::metrics::Metrics;
use teaselworks::platform::Platform;
use teaselworks::store::{PatchRequest, Peer, Peers, Store};
use teaselworks_config::settings::PlatformSettings;
use teaselworks_policy::clock::SystemClock;
use teaselworks_policy::name::Name;
use teaselworks_standin::platform::Platform as Service;

pub fn settings(service: &Service) -> PlatformSettings {
    PlatformSettings {
        endpoints: vec![service.url()],
        prefix: "t/".into(),
        timeout_ms: 300,
        calls_per_s: 1_000.0,
        fleet_calls_per_s: 1_000.0,
        fleet_watches: 4,
    }
}

pub type Routers = Arc<Mutex<BTreeMap<Name, Weak<Store>>>>;

/// Stores of routers that reach each other by a call.
#[derive(Default)]
pub struct Fleet {
    pub routers: Routers,
    /// While set, no router sees another.
    pub blind: Arc<AtomicBool>,
    /// While set, no router sees another, nor knows whether there is one.
    pub searching: Arc<AtomicBool>,
    /// Size of the largest message to each router so far.
    pub largest_bytes: Arc<Mutex<BTreeMap<Name, usize>>>,
}

impl Fleet {
    /// Returns the size of the largest message to a router so far.
    pub fn largest_bytes(&self, router: &str) -> usize {
        self.largest_bytes.lock().unwrap().get(router).copied().unwrap_or_default()
    }

    pub fn router(&self, name: &str, settings: &PlatformSettings) -> Arc<Store> {
        let own = Peer { name: name.into(), zone: "dvorana-a".into() };
        let (listed, called) = (self.routers.clone(), self.routers.clone());
        let own_name = own.name.clone();
        let (blind, searching) = (self.blind.clone(), self.searching.clone());
        let found = self.searching.clone();
        let list = move || {
            if blind.load(Ordering::Relaxed) || searching.load(Ordering::Relaxed) {
                return Vec::new();
            }
            let routers = listed.lock().unwrap();
            let others = routers.keys().filter(|name| **name != own_name);
            others.map(|name| Peer { name: name.clone(), zone: "dvorana-a".into() }).collect()
        };
        let largest_bytes = self.largest_bytes.clone();
        let call = move |name: Name, message: bytes::Bytes, _| {
            let mut largest = largest_bytes.lock().unwrap();
            let largest_bytes = largest.entry(name.clone()).or_default();
            *largest_bytes = message.len().max(*largest_bytes);
            drop(largest);
            let peer = called.lock().unwrap().get(&name).and_then(Weak::upgrade);
            Box::pin(async move { peer.map(|peer| peer.handle(&message)) })
                as futures_util::future::BoxFuture<'static, _>
        };
        let clock = Arc::new(SystemClock::new());
        let platform = Platform::new(settings, clock.clone(), &Metrics::new(), 1);
        let peers =
            Peers::new(own.clone(), list, call).found_when(move || !found.load(Ordering::Relaxed));
        let store = Arc::new(Store::new(settings, Arc::new(platform), peers, clock, 1));
        self.routers.lock().unwrap().insert(own.name, Arc::downgrade(&store));
        store
    }
}

pub fn request(id: &str, expect: u64, patch: Value) -> PatchRequest {
    let (author, reason) = ("operator".into(), "a test".into());
    PatchRequest { id: id.into(), expect, author, reason, patch: patch.into() }
}

pub fn weight(id: &str, expect: u64, weight: u64) -> PatchRequest {
    request(id, expect, json!({ "workspaces": { "choir": { "weight": weight } } }))
}
