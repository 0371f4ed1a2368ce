//! Applies items of the store to the router's state and logs each change.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use teaselworks_policy::configuration::Configuration;
use teaselworks_policy::origin_memory::RecordedOrigins;
use teaselworks_policy::upstream::{
    Change, EvacuatedZones, EvacuationChange, ListEntry, Registry, SharedObservations,
};

use super::{StoreCache, StoreUpdate};
use crate::event;
use crate::platform::{Item, ItemChange, ItemValue, KeyKind, Snapshot, classify_key, decode_item};
use crate::relay::Shared;

/// Where an update came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another router, by its address.
    Peer(SocketAddr),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Store => f.write_str("store"),
            Source::Peer(address) => write!(f, "router {address}"),
        }
    }
}

/// Applies updates to the cache of the store, the configuration in force, the list of upstreams and
/// the list of routers.
pub struct StateUpdater {
    shared: Arc<Shared>,
    cache: Arc<StoreCache>,
    registry: Mutex<Registry>,
}

impl StateUpdater {
    /// Creates an updater for state to which nothing has been applied yet.
    pub fn new(shared: Arc<Shared>, cache: Arc<StoreCache>) -> Self {
        Self { shared, cache, registry: Mutex::default() }
    }

    /// Returns the revision of the store up to which every change has been applied.
    pub fn revision(&self) -> u64 {
        self.cache.revision()
    }

    /// Returns the time of the router's monotonic clock.
    pub fn now(&self) -> Duration {
        self.shared.now()
    }

    /// Returns the address of the router that reads the store for this one, or `None` if this
    /// router reads the store itself.
    pub fn reader_address(&self) -> Option<SocketAddr> {
        self.shared.fleet().membership.reader()
    }

    /// Returns how long to wait before the next call to a store that does not answer, at most
    /// `longest` but at least the pause of a small fleet.
    pub fn retry_pause(&self, longest: Duration) -> Duration {
        self.shared.fleet().membership.retry_pause(longest)
    }

    /// Returns this router's own observations of upstreams that are newer than `after`.
    pub fn own_observations_after(&self, after: Duration) -> SharedObservations {
        self.shared.fleet().observations_after(self.shared.now(), after, true)
    }

    /// Applies observations of upstreams by other routers.
    pub fn apply_observations(&self, observations: &SharedObservations) {
        self.shared.apply_observations(observations);
    }

    /// Records that the list of upstreams was complete at the clock reading `at`.
    pub fn on_list_confirmed(&self, at: Duration) {
        self.shared.fleet().on_list_confirmed(at);
    }

    /// Records that another router's list of upstreams, which this one applied, was complete at the
    /// time `age` before it responded to a query that was sent at `sent_at`.
    pub fn on_confirmed_by_peer(&self, sent_at: Duration, age: Option<Duration>) {
        if let Some(at) = age.and_then(|age| sent_at.checked_sub(age)) {
            self.on_list_confirmed(at);
        }
    }

    /// Records that this router cannot read the store.
    pub fn on_lost(&self) {
        self.cache.set_can_read_store(false);
        self.registry().on_lost(self.shared.now());
    }

    /// Records that another router can read the store. There is no outage of the store then, so
    /// upstreams whose entries disappear get no re-registration period.
    pub fn on_read_elsewhere(&self) {
        self.registry().on_read_elsewhere();
    }

    /// Records that this router can read the store, for the first time or again.
    pub fn on_regained(&self) {
        self.cache.set_can_read_store(true);
        self.registry().on_regained(self.shared.now());
    }

    /// Replaces the state with all items of a snapshot.
    pub fn apply_snapshot(&self, snapshot: &Snapshot, source: Source) {
        let routers_before = self.shared.fleet().membership.live_count();
        self.cache.replace(snapshot);
        let now = self.shared.now();
        let mut upstreams = Vec::new();
        let mut routers = Vec::new();
        let mut evacuated_zones = Vec::new();
        let mut blocked_parts = Vec::new();
        let mut recorded_origins = (snapshot.revision, None);
        for item in &snapshot.items {
            match self.decode(item) {
                Ok(ItemValue::Configuration(configuration)) => {
                    self.apply_configuration(*configuration, item.revision, source);
                }
                Ok(ItemValue::Evacuation(zone)) => evacuated_zones.push(zone),
                Ok(ItemValue::BlockedPart(part)) => blocked_parts.push(part),
                Ok(ItemValue::EndedRequest(fingerprint, ends)) => {
                    self.shared.on_listed_ends(fingerprint, &ends);
                }
                Ok(ItemValue::RecordedOrigins(recorded)) => {
                    recorded_origins = (item.revision, Some(recorded));
                }
                Ok(ItemValue::Upstream(upstream)) => upstreams.push(ListEntry::Upstream(upstream)),
                Ok(ItemValue::Router(name, address)) => routers.push((name, address)),
                Ok(ItemValue::Other) => {}
                Err(KeyKind::Upstream(id)) => upstreams.push(ListEntry::Unreadable(id.into())),
                Err(_) => {}
            }
        }
        self.update_evacuations(snapshot.revision, source, |zones| {
            zones.replace(now, &evacuated_zones)
        });
        self.shared.replace_listed_parts(&blocked_parts);
        let (revision, recorded) = recorded_origins;
        self.apply_recorded_origins(recorded, revision, source);
        self.shared.fleet().on_listed_routers(&routers);
        if source == Source::Store && routers.is_empty() {
            self.shared.fleet().on_no_routers_listed();
        }
        let changes = self.registry().replace(now, upstreams);
        self.apply_upstream_changes(&changes, snapshot.revision, source);
        let lost = self.shared.fleet().membership.replace(now, routers);
        for name in lost {
            event::PEER_LOST.log(&[event::text("router", &name)]);
        }
        self.count_routers(routers_before, source);
    }

    /// Applies an update from another router. Returns `false` if it contains nothing new.
    pub fn apply_update(&self, update: &StoreUpdate, source: Source) -> bool {
        let known = self.revision();
        match update {
            StoreUpdate::Nothing | StoreUpdate::TooLarge => return false,
            StoreUpdate::Changes(changes) => self.apply_changes(changes, source),
            StoreUpdate::Snapshot(snapshot) if snapshot.revision <= known => return false,
            StoreUpdate::Snapshot(snapshot) => self.apply_snapshot(snapshot, source),
        }
        event::PEER_ANSWERED.log(&[
            event::text("source", &source),
            event::number("revision", self.revision()),
            event::number("known", known),
        ]);
        true
    }

    /// Applies changes in order and skips those already known.
    pub fn apply_changes(&self, changes: &[ItemChange], source: Source) {
        let routers_before = self.shared.fleet().membership.live_count();
        for change in changes {
            if !self.cache.apply(change) {
                continue;
            }
            match change {
                ItemChange::Written(item) => self.apply_written(item, source),
                ItemChange::Deleted { key, revision } => self.apply_deleted(key, *revision, source),
            }
        }
        self.count_routers(routers_before, source);
    }

    /// Removes upstreams whose entries are still missing at the end of the re-registration period
    /// that follows an outage of the store.
    pub fn expire(&self) {
        if !self.registry().has_missing_entries() {
            return;
        }
        let changes = self.registry().expire(self.shared.now());
        self.apply_upstream_changes(&changes, self.cache.revision(), Source::Store);
    }

    fn apply_written(&self, item: &Item, source: Source) {
        match self.decode(item) {
            Ok(ItemValue::Configuration(configuration)) => {
                self.apply_configuration(*configuration, item.revision, source);
            }
            Ok(ItemValue::Evacuation(zone)) => {
                let now = self.shared.now();
                self.update_evacuations(item.revision, source, |zones| zones.begin(now, &zone));
            }
            Ok(ItemValue::BlockedPart(part)) => self.shared.on_listed_part(part, true),
            Ok(ItemValue::EndedRequest(fingerprint, ends)) => {
                self.shared.on_listed_ends(fingerprint, &ends);
            }
            Ok(ItemValue::RecordedOrigins(recorded)) => {
                self.apply_recorded_origins(Some(recorded), item.revision, source);
            }
            Ok(ItemValue::Upstream(upstream)) => {
                let change = self.registry().put(upstream);
                self.apply_upstream_changes(change.as_slice(), item.revision, source);
            }
            Ok(ItemValue::Router(name, address)) => {
                let is_new = self.shared.fleet().membership.put(name.clone(), address);
                if is_new {
                    let fields = [event::text("router", &name), event::text("address", &address)];
                    event::PEER_LISTED.log(&fields);
                }
            }
            Err(KeyKind::Upstream(id)) => {
                let change = self.registry().suspend(id);
                self.apply_upstream_changes(change.as_slice(), item.revision, source);
            }
            Err(KeyKind::Router(name)) => self.remove_router(name),
            Ok(ItemValue::Other) | Err(_) => {}
        }
    }

    fn apply_deleted(&self, key: &str, revision: u64, source: Source) {
        let now = self.shared.now();
        match classify_key(key) {
            KeyKind::Upstream(id) => {
                let change = self.registry().remove(now, id);
                self.apply_upstream_changes(change.as_slice(), revision, source);
            }
            KeyKind::Router(name) => self.remove_router(name),
            KeyKind::Evacuation(zone) => {
                self.update_evacuations(revision, source, |zones| zones.end(now, zone));
            }
            KeyKind::BlockedPart(part) => self.shared.on_listed_part(part, false),
            KeyKind::EndedRequest(fingerprint) => self.shared.on_unlisted_ends(fingerprint),
            KeyKind::RecordedOrigins => self.apply_recorded_origins(None, revision, source),
            KeyKind::Configuration | KeyKind::Other => {}
        }
    }

    fn apply_recorded_origins(
        &self,
        recorded: Option<RecordedOrigins>,
        revision: u64,
        source: Source,
    ) {
        let mut fleet = self.shared.fleet();
        if fleet.origin_memory.recorded() == recorded.as_ref() {
            fleet.on_recorded_origins(revision, recorded);
            return;
        }
        fleet.on_recorded_origins(revision, recorded.clone());
        drop(fleet);
        let recorded = recorded.unwrap_or_default();
        let versions: Vec<String> = recorded
            .versions
            .iter()
            .flat_map(|(service, versions)| versions.iter().map(move |v| format!("{service}={v}")))
            .collect();
        event::ORIGINS_RECORDED.log(&[
            event::text("versions", &versions.join(",")),
            event::number("routes", recorded.routes.len() as u64),
            event::number("revision", revision),
            event::text("source", &source),
        ]);
    }

    fn update_evacuations<C: IntoIterator<Item = EvacuationChange>>(
        &self,
        revision: u64,
        source: Source,
        update: impl FnOnce(&mut EvacuatedZones) -> C,
    ) {
        let changes = self.shared.fleet().update_evacuations(update);
        for change in changes {
            let revision = event::number("revision", revision);
            let source = event::text("source", &source);
            match change {
                EvacuationChange::Began(zone) => {
                    self.shared.metrics.add_evacuated_zones(1);
                    event::ZONE_EVACUATED.log(&[event::text("zone", &zone), revision, source]);
                }
                EvacuationChange::Ended { zone, lasted } => {
                    self.shared.metrics.add_evacuated_zones(-1);
                    let lasted_ms = event::number("lasted_ms", lasted.as_millis() as u64);
                    event::ZONE_RETURNED.log(&[
                        event::text("zone", &zone),
                        lasted_ms,
                        revision,
                        source,
                    ]);
                }
            }
        }
    }

    /// Records the number of registered routers if it differs from the one before an update.
    fn count_routers(&self, before: u32, source: Source) {
        let routers = self.shared.fleet().membership.live_count();
        if routers == before {
            return;
        }
        self.shared.metrics.set_routers(routers);
        event::ROUTERS_COUNTED.log(&[
            event::number("routers", routers.into()),
            event::number("before", before.into()),
            event::number("revision", self.revision()),
            event::text("source", &source),
        ]);
    }

    fn remove_router(&self, name: &str) {
        let now = self.shared.now();
        if self.shared.fleet().membership.remove(now, name) {
            event::PEER_LOST.log(&[event::text("router", &name)]);
        }
    }

    fn apply_configuration(&self, configuration: Configuration, revision: u64, source: Source) {
        let version = configuration.version;
        let routes = configuration.routes.len() as u64;
        let in_force =
            self.shared.fleet().configuration().map(|configuration| configuration.version);
        let is_newer = self.shared.set_configuration(configuration);
        if !is_newer && in_force == Some(version) {
            // The version in force was read again, which is not worth a log line.
            return;
        }
        let event =
            if is_newer { event::CONFIGURATION_IN_FORCE } else { event::CONFIGURATION_STALE };
        event.log(&[
            event::number("version", version),
            event::number("revision", revision),
            event::number("routes", routes),
            event::text("source", &source),
        ]);
    }

    fn apply_upstream_changes(&self, changes: &[Change], revision: u64, source: Source) {
        for change in changes {
            self.shared.fleet().apply(self.shared.now(), change);
            let (event, id) = match change {
                Change::Serving(upstream) => (event::UPSTREAM_SERVING, &upstream.id),
                Change::Restarted(upstream) => (event::UPSTREAM_RESTARTED, &upstream.id),
                Change::Stale(id) => (event::UPSTREAM_STALE, id),
                Change::Suspended(id) => (event::UPSTREAM_SUSPENDED, id),
                Change::Draining(id) => (event::UPSTREAM_DRAINING, id),
                Change::Missing(id) => (event::UPSTREAM_MISSING, id),
                Change::Gone(id) => (event::UPSTREAM_GONE, id),
            };
            match change {
                Change::Gone(_) | Change::Draining(_) => self.shared.connections.close_idle(id),
                Change::Restarted(upstream) => {
                    self.shared.connections.close_other_incarnations(&upstream.incarnation());
                }
                _ => {}
            }
            event.log(&[
                event::text("upstream", id),
                event::number("revision", revision),
                event::text("source", &source),
            ]);
        }
    }

    /// Decodes an item. If its value cannot be decoded, logs that and returns what its key names.
    fn decode<'a>(&self, item: &'a Item) -> Result<ItemValue, KeyKind<'a>> {
        decode_item(item).map_err(|error| {
            event::VALUE_UNREADABLE.log(&[
                event::text("key", &item.key),
                event::number("revision", item.revision),
                event::text("cause", &error),
            ]);
            classify_key(&item.key)
        })
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().expect("upstream registry lock is never poisoned")
    }
}
