//! The numbered configuration: read from the platform and from peers, changed by patches.

mod commit;
mod exchange;
mod follow;
mod held;
mod history;
mod load;
mod message;
mod peers;
mod piece;
mod record;
mod refusal;
mod republish;
mod request;
mod routes;
mod snapshot;
mod submit;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use teaselworks_config::configuration::NumberedConfiguration;
use teaselworks_config::settings::PlatformSettings;
use teaselworks_policy::clock::Clock;
use teaselworks_policy::name::Name;
use teaselworks_policy::store::version::Version;
use tokio::sync::{Notify, mpsc, watch};

pub use exchange::RouterStatus;
pub use load::LoadError;
pub use peers::{Peer, Peers};
pub use refusal::PatchError;
pub use republish::{RepublishPlan, RepublishRequest};
pub use request::PatchRequest;
pub use routes::routes;

use self::held::Held;
use self::piece::Windows;
use self::record::Head;
use crate::event;
use crate::kernel::ServiceName;
use crate::platform::Platform;

/// Name of the configuration service among the services.
pub const STORE: ServiceName<Store> = ServiceName::new("store");

/// Part of the fleet's watches that is used while all routers see each other, as a divisor.
const WATCH_RESERVE: usize = 2;

/// Peers that are ahead and wait to be fetched from.
const WANTED_LENGTH: usize = 16;

/// The configuration service of one router.
pub struct Store {
    platform: Arc<Platform>,
    clock: Arc<dyn Clock>,
    peers: Peers,
    watcher_count: usize,
    held: Held,
    heard_at: Mutex<Duration>,
    random: Mutex<Pcg64>,
    /// Held by the one submission that is carried out, and by a start until it has loaded.
    committing: Arc<tokio::sync::Mutex<()>>,
    snapshot_due: Notify,
    wanted: mpsc::Sender<Name>,
    pulling: Mutex<Option<mpsc::Receiver<Name>>>,
    windows: Mutex<Windows>,
    behind: AtomicBool,
    diverged: AtomicBool,
}

impl Store {
    /// Makes a store with nothing in force.
    pub fn new(
        settings: &PlatformSettings,
        platform: Arc<Platform>,
        peers: Peers,
        clock: Arc<dyn Clock>,
        seed: u64,
    ) -> Self {
        let (wanted, pulling) = mpsc::channel(WANTED_LENGTH);
        Self {
            platform,
            peers,
            watcher_count: (settings.fleet_watches as usize / WATCH_RESERVE).max(1),
            held: Held::new(),
            heard_at: Mutex::new(clock.monotonic()),
            clock,
            random: Mutex::new(Pcg64::seed_from_u64(seed)),
            committing: Arc::default(),
            snapshot_due: Notify::new(),
            wanted,
            pulling: Mutex::new(Some(pulling)),
            windows: Mutex::default(),
            behind: AtomicBool::new(false),
            diverged: AtomicBool::new(false),
        }
    }

    /// Returns the configuration in force; number 0 until one was loaded.
    pub fn current(&self) -> Arc<NumberedConfiguration> {
        self.held.current()
    }

    /// Returns a receiver that sees each configuration that comes into force.
    pub fn subscribe(&self) -> watch::Receiver<Arc<NumberedConfiguration>> {
        self.held.subscribe()
    }

    /// Returns number and lineage of the configuration in force.
    pub fn version(&self) -> Version {
        self.held.version()
    }

    /// Reads the platform once and puts in force what is newer there.
    pub async fn refresh(&self) -> Result<(), LoadError> {
        self.load().await.map(|_| ())
    }

    fn with_random<T>(&self, draw: impl FnOnce(&mut Pcg64) -> T) -> T {
        draw(&mut self.random.lock().expect("random lock is never poisoned"))
    }

    /// Returns when a peer was last heard of.
    fn heard_at(&self) -> Duration {
        *self.heard_at.lock().expect("time lock is never poisoned")
    }

    fn note_heard(&self) {
        let now = self.clock.monotonic();
        *self.heard_at.lock().expect("time lock is never poisoned") = now;
    }

    fn platform_stands_well(&self) {
        self.behind.store(false, Ordering::Relaxed);
        self.diverged.store(false, Ordering::Relaxed);
    }

    /// Reports an older head, once until the platform stands well again.
    fn note_behind(&self, held: &Version, head: &Head) {
        if !self.behind.swap(true, Ordering::Relaxed) {
            let held = held.number;
            event::PLATFORM_BEHIND.log(format_args!("platform={} in_force={held}", head.version));
        }
    }

    /// Reports a head of another lineage, once until the platform stands well again.
    fn note_diverged(&self, held: &Version, head: &Head) {
        if !self.diverged.swap(true, Ordering::Relaxed) {
            event::CONFIGURATION_DIVERGED.log(format_args!(
                "platform={} lineage={} in_force={} lineage={}",
                head.version, head.lineage, held.number, held.lineage
            ));
        }
    }
}
