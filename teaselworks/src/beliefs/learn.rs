//! Turns items of the store into beliefs, and logs each that changes.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use teaselworks_policy::configuration::Configuration;
use teaselworks_policy::upstream::{Change, ListEntry, Registry, SharedObservations};

use super::{News, StoreCache};
use crate::event;
use crate::platform::{Belief, Item, ItemChange, Snapshot, Subject, decode, subject};
use crate::relay::Shared;

/// Where news came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another router.
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

/// Applies news to what the router believes.
pub struct Learner {
    shared: Arc<Shared>,
    cache: Arc<StoreCache>,
    registry: Mutex<Registry>,
}

impl Learner {
    /// Makes a learner that knows nothing yet.
    pub fn new(shared: Arc<Shared>, cache: Arc<StoreCache>) -> Self {
        Self { shared, cache, registry: Mutex::default() }
    }

    /// Returns the revision up to which every change is known.
    pub fn revision(&self) -> u64 {
        self.cache.revision()
    }

    /// Returns the time by the steady clock.
    pub fn now(&self) -> Duration {
        self.shared.now()
    }

    /// Returns the router that reads the store for this one, if another does.
    pub fn reader(&self) -> Option<SocketAddr> {
        self.shared.fleet().membership.reader()
    }

    /// Returns the pause after a call to a store that does not answer, at most `longest`.
    pub fn retry_pause(&self, longest: Duration) -> Duration {
        self.shared.fleet().membership.retry_pause(longest)
    }

    /// Returns what this router itself heard of upstreams after a time.
    pub fn own_observations_after(&self, after: Duration) -> SharedObservations {
        self.shared.fleet().observations_after(self.shared.now(), after, true)
    }

    /// Takes what other routers heard of upstreams.
    pub fn apply_observations(&self, observations: &SharedObservations) {
        self.shared.apply_observations(observations);
    }

    /// Notes that the store cannot be read.
    pub fn on_lost(&self) {
        self.cache.set_current(false);
        self.registry().on_lost(self.shared.now());
    }

    /// Notes that other routers can read the store.
    pub fn on_read_elsewhere(&self) {
        self.registry().on_read_elsewhere();
    }

    /// Notes that the store can be read, for the first time or again.
    pub fn on_regained(&self) {
        self.cache.set_current(true);
        self.registry().on_regained(self.shared.now());
    }

    /// Applies everything that was read at once.
    pub fn on_snapshot(&self, snapshot: &Snapshot, source: Source) {
        self.cache.replace(snapshot);
        let now = self.shared.now();
        let mut upstreams = Vec::new();
        let mut routers = Vec::new();
        for item in &snapshot.items {
            match self.decode(item) {
                Ok(Belief::Configuration(configuration)) => {
                    self.on_configuration(*configuration, item.revision, source);
                }
                Ok(Belief::Upstream(upstream)) => upstreams.push(ListEntry::Upstream(upstream)),
                Ok(Belief::Router(name, address)) => routers.push((name, address)),
                Ok(Belief::Other) => {}
                Err(Subject::Upstream(id)) => upstreams.push(ListEntry::Unreadable(id.into())),
                Err(Subject::Router(_) | Subject::Configuration | Subject::Other) => {}
            }
        }
        let changes = self.registry().replace(now, upstreams);
        self.on_upstreams(&changes, snapshot.revision, source);
        let lost = self.shared.fleet().membership.replace(now, routers);
        for name in lost {
            event::PEER_LOST.log(&[event::text("router", &name)]);
        }
    }

    /// Applies what another router knows; false where it is nothing new.
    pub fn on_news(&self, news: &News, source: Source) -> bool {
        let known = self.revision();
        match news {
            News::Nothing | News::TooLarge => return false,
            News::Changes(changes) => self.on_changes(changes, source),
            News::Whole(snapshot) if snapshot.revision <= known => return false,
            News::Whole(snapshot) => self.on_snapshot(snapshot, source),
        }
        event::PEER_ANSWERED.log(&[
            event::text("source", &source),
            event::number("revision", self.revision()),
            event::number("known", known),
        ]);
        true
    }

    /// Applies changes in order.
    pub fn on_changes(&self, changes: &[ItemChange], source: Source) {
        for change in changes {
            if !self.cache.apply(change) {
                continue;
            }
            match change {
                ItemChange::Written(item) => self.on_written(item, source),
                ItemChange::Deleted { key, revision } => self.on_deleted(key, *revision, source),
            }
        }
    }

    /// Drops what has been missing for too long.
    pub fn expire(&self) {
        if !self.registry().has_missing_entries() {
            return;
        }
        let changes = self.registry().expire(self.shared.now());
        self.on_upstreams(&changes, self.cache.revision(), Source::Store);
    }

    fn on_written(&self, item: &Item, source: Source) {
        match self.decode(item) {
            Ok(Belief::Configuration(configuration)) => {
                self.on_configuration(*configuration, item.revision, source);
            }
            Ok(Belief::Upstream(upstream)) => {
                let change = self.registry().put(upstream);
                self.on_upstreams(change.as_slice(), item.revision, source);
            }
            Ok(Belief::Router(name, address)) => {
                let is_new = self.shared.fleet().membership.put(name.clone(), address);
                if is_new {
                    let fields = [event::text("router", &name), event::text("address", &address)];
                    event::PEER_LISTED.log(&fields);
                }
            }
            Err(Subject::Upstream(id)) => {
                let change = self.registry().suspend(id);
                self.on_upstreams(change.as_slice(), item.revision, source);
            }
            Err(Subject::Router(name)) => self.on_router_lost(name),
            Ok(Belief::Other) | Err(Subject::Configuration | Subject::Other) => {}
        }
    }

    fn on_deleted(&self, key: &str, revision: u64, source: Source) {
        let now = self.shared.now();
        match subject(key) {
            Subject::Upstream(id) => {
                let change = self.registry().remove(now, id);
                self.on_upstreams(change.as_slice(), revision, source);
            }
            Subject::Router(name) => self.on_router_lost(name),
            Subject::Configuration | Subject::Other => {}
        }
    }

    fn on_router_lost(&self, name: &str) {
        let now = self.shared.now();
        if self.shared.fleet().membership.remove(now, name) {
            event::PEER_LOST.log(&[event::text("router", &name)]);
        }
    }

    fn on_configuration(&self, configuration: Configuration, revision: u64, source: Source) {
        let version = configuration.version;
        let routes = configuration.routes.len() as u64;
        let in_force =
            self.shared.fleet().configuration().map(|configuration| configuration.version);
        let is_newer = self.shared.set_configuration(configuration);
        if !is_newer && in_force == Some(version) {
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

    fn on_upstreams(&self, changes: &[Change], revision: u64, source: Source) {
        for change in changes {
            self.shared.fleet().apply(change);
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

    /// Decodes an item; where it cannot be understood, returns what its key is about.
    fn decode<'a>(&self, item: &'a Item) -> Result<Belief, Subject<'a>> {
        decode(item).map_err(|error| {
            event::VALUE_UNREADABLE.log(&[
                event::text("key", &item.key),
                event::number("revision", item.revision),
                event::text("cause", &error),
            ]);
            subject(&item.key)
        })
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().expect("the lock is never poisoned")
    }
}
