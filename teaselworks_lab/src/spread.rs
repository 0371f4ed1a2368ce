//! How a version spreads among many configuration services in one process.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;
use teaselworks::kernel::Shutdown;
use teaselworks::metrics::Metrics;
use teaselworks::platform::Platform;
use teaselworks::store::{PatchRequest, Peer, Peers, Store};
use teaselworks_config::settings::PlatformSettings;
use teaselworks_policy::clock::SystemClock;
use teaselworks_policy::name::Name;
use teaselworks_standin::platform::Platform as Service;

/// Way of a message from router to router.
const ONE_WAY: Duration = Duration::from_micros(500);
/// Patches submitted, one each second.
const PATCHES: u64 = 30;
const PATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the bytes of an idle fleet are counted.
const IDLE: Duration = Duration::from_secs(20);
/// Longest time recorded.
const LONGEST_US: u64 = 60_000_000;

type Stores = Arc<OnceLock<BTreeMap<Name, Arc<Store>>>>;

/// Starts `routers` services among one stand-in platform, submits patches, and tells in one line
/// how long each took to reach every service, and the control bytes of a service.
pub async fn measure(routers: usize) -> Result<String, String> {
    let service = Service::start().map_err(|error| error.to_string())?;
    let names: Vec<Name> = (0..routers).map(|index| format!("router-{index}").into()).collect();
    let stores: Stores = Arc::default();
    let bytes = Arc::new(AtomicU64::new(0));
    let mut map = BTreeMap::new();
    for (index, name) in names.iter().enumerate() {
        let peers = peers(name, &names, &stores, &bytes);
        map.insert(name.clone(), Arc::new(store(&service, peers, index as u64)));
    }
    let stores = stores.get_or_init(|| map);
    let shutdown = Shutdown::new();
    for store in stores.values() {
        store.start(&shutdown);
    }
    submit(stores, &names[0], 0).await?;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let idle_bytes = bytes.load(Ordering::Relaxed);
    tokio::time::sleep(IDLE).await;
    let idle_bytes = bytes.load(Ordering::Relaxed) - idle_bytes;

    let mut in_force_us =
        Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).map_err(|error| error.to_string())?;
    let busy_bytes = bytes.load(Ordering::Relaxed);
    for expect in 1..=PATCHES {
        let start = Instant::now();
        let waits: Vec<_> =
            stores.values().map(|store| in_force(store, expect + 1, start)).collect();
        submit(stores, &names[expect as usize % routers], expect).await?;
        for wait in waits {
            let time = wait.await.map_err(|error| error.to_string())?;
            in_force_us.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        }
        tokio::time::sleep(PATCH_INTERVAL.saturating_sub(start.elapsed())).await;
    }
    let patch_bytes = bytes.load(Ordering::Relaxed) - busy_bytes;
    let idle = idle_bytes as f64 / routers as f64 / IDLE.as_secs_f64();
    let each = patch_bytes as f64 / routers as f64 / PATCHES as f64 - idle;
    let at = |quantile| in_force_us.value_at_quantile(quantile) as f64 / 1e3;
    let watches = service.counts().watches;
    Ok(format!(
        "services {routers}: in force p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms; a service sends and \
         receives {idle:.0} bytes/s idle, {each:.0} bytes a patch; watches {watches}",
        at(0.5),
        at(0.99),
        at(1.0)
    ))
}

fn store(service: &Service, peers: Peers, seed: u64) -> Store {
    let settings = PlatformSettings {
        endpoints: vec![service.url()],
        prefix: "teaselworks/".into(),
        timeout_ms: 1_000,
        calls_per_s: 20.0,
        fleet_calls_per_s: 600.0,
        fleet_watches: 16,
    };
    let clock = Arc::new(SystemClock::new());
    let platform = Platform::new(&settings, clock.clone(), &Metrics::new(), seed);
    Store::new(&settings, Arc::new(platform), peers, clock, seed)
}

/// Lets a service reach all others; counts the bytes of messages and answers at both ends.
fn peers(own: &Name, names: &[Name], stores: &Stores, bytes: &Arc<AtomicU64>) -> Peers {
    let peer = |name: &Name| Peer { name: name.clone(), zone: "zone".into() };
    let others: Vec<Peer> = names.iter().filter(|name| *name != own).map(peer).collect();
    let (stores, bytes) = (stores.clone(), bytes.clone());
    Peers::new(
        peer(own),
        move || others.clone(),
        move |name, message, _| {
            let (stores, bytes) = (stores.clone(), bytes.clone());
            Box::pin(async move {
                tokio::time::sleep(ONE_WAY).await;
                let answer = stores.get()?.get(&name)?.handle(&message);
                bytes.fetch_add(2 * (message.len() + answer.len()) as u64, Ordering::Relaxed);
                tokio::time::sleep(ONE_WAY).await;
                Some(answer)
            })
        },
    )
}

async fn submit(stores: &BTreeMap<Name, Arc<Store>>, at: &Name, expect: u64) -> Result<(), String> {
    let request = PatchRequest {
        id: format!("patch-{expect}"),
        expect,
        author: "operator".into(),
        reason: "a measurement".into(),
        patch: json!({ "workspaces": { "choir": { "weight": expect + 1 } } }).into(),
    };
    stores[at].submit(&request).await.map(|_| ()).map_err(|error| error.to_string())
}

fn in_force(store: &Arc<Store>, number: u64, start: Instant) -> tokio::task::JoinHandle<Duration> {
    let mut current = store.subscribe();
    tokio::spawn(async move {
        // The sender lives as long as the store, which outlives the measurement.
        let _ = current.wait_for(|numbered| numbered.version >= number).await;
        start.elapsed()
    })
}
