//! Where streams can have begun lately, by the routes in force and the versions listed meanwhile.
//!
//! A stream whose origin no router tells goes on only where every router must have begun it alike. Only a
//! router that has known routes and lists for as long as streams last can conclude that, or one that has
//! read a record of those times: a process that started a moment ago remembers nothing.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::configuration::{Kind, Route, Routes};
use crate::stream_origin::RETENTION;

/// Time after which a record drops what nothing shows any more. It is longer than [`RETENTION`] by more
/// than the lists of two routers differ, so that none adds again what another one dropped.
const RECORD_RETENTION: Duration = Duration::from_secs(75);
/// Maximum number of routes that are remembered after they were replaced.
const MAX_REPLACED_ROUTES: usize = 256;

/// Where streams can have begun lately, as the store keeps it for routers that start or were out of
/// touch.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecordedOrigins {
    /// Fingerprints of the stream routes in force, see [`route_fingerprint`].
    pub routes: BTreeSet<u64>,
    /// Listed software versions of each service with stream routes.
    pub versions: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
}

impl RecordedOrigins {
    /// Adds what another record has.
    pub fn extend(&mut self, other: &RecordedOrigins) {
        self.routes.extend(&other.routes);
        for (service, versions) in &other.versions {
            self.versions.entry(service.clone()).or_default().extend(versions.iter().cloned());
        }
    }

    /// Drops what another record does not have.
    fn retain(&mut self, other: &RecordedOrigins) {
        self.routes.retain(|fingerprint| other.routes.contains(fingerprint));
        self.versions.retain(|service, versions| {
            let kept = other.versions.get(service);
            versions.retain(|version| kept.is_some_and(|kept| kept.contains(version)));
            !versions.is_empty()
        });
    }
}

/// Returns a hash of where the stream routes of a table send requests; weights do not matter.
///
/// ```
/// use teaselworks_policy::configuration::{Kind, Route, Routes};
/// use teaselworks_policy::origin_memory::route_fingerprint;
///
/// let table = |kinds: &[Kind]| {
///     Routes::new(kinds.iter().zip(["/a/", "/b/"]).map(|(kind, at)| Route::example(*kind, at)))
/// };
/// let streams = route_fingerprint(&table(&[Kind::Stream]));
/// assert_eq!(streams, route_fingerprint(&table(&[Kind::Stream, Kind::Idempotent])));
/// assert_ne!(streams, route_fingerprint(&table(&[Kind::Stream, Kind::Stream])));
/// ```
pub fn route_fingerprint(routes: &Routes) -> u64 {
    let mut streams: Vec<(&str, &str, BTreeSet<&str>)> = stream_routes(routes)
        .map(|route| (&*route.host, &*route.prefix, target_services(route).collect()))
        .collect();
    streams.sort_unstable();
    let mut hasher = Xxh3::new();
    let mut add = |text: &str| {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    };
    for (host, prefix, services) in streams {
        [host, prefix].into_iter().for_each(&mut add);
        services.into_iter().for_each(&mut add);
        add("");
    }
    hasher.digest()
}

fn stream_routes(routes: &Routes) -> impl Iterator<Item = &Arc<Route>> {
    routes.iter().filter(|route| route.kind == Kind::Stream)
}

fn target_services(route: &Route) -> impl Iterator<Item = &str> {
    let targets = route.targets.iter().filter(|target| target.weight > 0);
    targets.map(|target| &*target.service)
}

/// What this router remembers, and since when.
#[derive(Clone, Debug, Default)]
pub struct OriginMemory {
    /// Fingerprint of the stream routes in force.
    fingerprint: Option<u64>,
    /// Fingerprints of earlier ones, with the clock reading at which they were replaced.
    replaced_fingerprints: VecDeque<(Duration, u64)>,
    /// Stream routes that are no longer in force as they were.
    replaced_routes: VecDeque<(Duration, Arc<Route>)>,
    /// Clock reading since which no route, and no version of a list, can have gone unnoticed.
    complete_since: Option<Duration>,
    /// Clock reading at which this router first read the list.
    started_at: Option<Duration>,
    first_start: FirstStart,
    /// Whether the list had a gap since this router first read it.
    has_gap: bool,
    /// The record in the store, as last read.
    recorded: Option<RecordedOrigins>,
    /// Revision at which the record was written; 0 if there is none.
    recorded_revision: u64,
}

/// Whether no stream can have begun before this router started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum FirstStart {
    /// The fleet has run before, or may have.
    #[default]
    No,
    /// The settings say that the whole fleet starts for the first time.
    Claimed,
    /// Routers that started together have written the first record.
    Confirmed,
}

impl OriginMemory {
    /// Records that the whole fleet starts for the first time, which a record in the store disproves.
    pub fn on_first_start(&mut self) {
        self.first_start = FirstStart::Claimed;
    }

    /// Records that the store lists no router. If this is the first list that this router reads and the
    /// store has no record either, no other router has begun a stream: a fleet writes the record when it
    /// first starts.
    pub fn on_no_routers_listed(&mut self) {
        if self.started_at.is_none() && self.recorded.is_none() {
            self.first_start = FirstStart::Claimed;
        }
    }

    /// Records that the store lists an earlier process of this router.
    pub fn on_earlier_process(&mut self) {
        self.first_start = FirstStart::No;
    }

    /// Records that the list is known to be complete at `at` after a gap.
    pub fn on_gap(&mut self, at: Duration) {
        self.has_gap |= self.complete_since.is_some();
        self.started_at.get_or_insert(at);
        self.complete_since = Some(at);
    }

    /// Records what the store has, and the revision at which it was written; `None` if it has no record.
    pub fn on_recorded(&mut self, revision: u64, recorded: Option<RecordedOrigins>) {
        if recorded.is_some() && self.first_start == FirstStart::Claimed {
            // Routers that start together write the record once they have read the list.
            let has_read_list = self.started_at.is_some();
            self.first_start = if has_read_list { FirstStart::Confirmed } else { FirstStart::No };
        }
        self.recorded_revision = if recorded.is_some() { revision } else { 0 };
        self.recorded = recorded;
    }

    /// Returns the revision at which the record in the store was written; 0 if there is none.
    pub fn recorded_revision(&self) -> u64 {
        self.recorded_revision
    }

    /// Returns the time for which this router has been told of all streams that began, as far as messages
    /// arrive.
    pub fn streams_known_for(&self, now: Duration) -> Duration {
        if self.first_start == FirstStart::Confirmed {
            return RETENTION;
        }
        self.started_at.map_or(Duration::ZERO, |since| now.saturating_sub(since).min(RETENTION))
    }

    /// Returns the time for which this router has known routes and lists without a gap; `None` before it
    /// has read them.
    pub fn complete_for(&self, now: Duration) -> Option<Duration> {
        self.complete_since.map(|since| now.saturating_sub(since))
    }

    /// Returns the record in the store, as last read.
    pub fn recorded(&self) -> Option<&RecordedOrigins> {
        self.recorded.as_ref()
    }

    /// Records that a route table takes the place of another one.
    pub fn on_routes(&mut self, now: Duration, before: Option<&Routes>, routes: &Routes) {
        let fingerprint = route_fingerprint(routes);
        let replaced = self.fingerprint.replace(fingerprint).filter(|old| *old != fingerprint);
        let (Some(replaced), Some(before)) = (replaced, before) else { return };
        self.discard_old(now);
        self.replaced_fingerprints.push_back((now, replaced));
        let key = |route: &Arc<Route>| {
            let services: BTreeSet<String> = target_services(route).map(str::to_owned).collect();
            (route.host.clone(), route.prefix.clone(), services)
        };
        let kept: BTreeSet<_> = stream_routes(routes).map(key).collect();
        for route in stream_routes(before).filter(|route| !kept.contains(&key(route))) {
            self.replaced_routes.push_back((now, route.clone()));
        }
        if self.replaced_routes.len() > MAX_REPLACED_ROUTES {
            let excess = self.replaced_routes.len() - MAX_REPLACED_ROUTES;
            self.replaced_routes.drain(..excess);
            self.on_gap(now);
        }
    }

    /// Returns the only service to which the routes in force, or those of the last minute, send a stream
    /// with this host and path; `None` if streams may last longer than that.
    pub fn sole_service(
        &self,
        now: Duration,
        routes: &Routes,
        host: &str,
        path: &str,
    ) -> Option<Arc<str>> {
        let replaced = self.replaced_routes.iter();
        let replaced =
            replaced.filter(|(at, _)| now.saturating_sub(*at) < RETENTION).map(|(_, route)| route);
        // A route with a shorter prefix had the request before the one with a longer prefix was added.
        let matching: Vec<&Arc<Route>> = stream_routes(routes)
            .chain(replaced)
            .filter(|route| *route.host == *host && path.starts_with(&*route.prefix))
            .collect();
        if matching.iter().any(|route| route.timeout > RETENTION) {
            return None;
        }
        let mut services = matching
            .iter()
            .flat_map(|route| route.targets.iter().filter(|target| target.weight > 0))
            .map(|target| &target.service);
        let sole = services.next()?;
        services.all(|service| service == sole).then(|| sole.clone())
    }

    /// Returns whether streams of a service can have begun at no other version than `version`, which is
    /// the only one that this router has known lately.
    pub fn is_sole(&self, now: Duration, service: &str, version: &str) -> bool {
        if self.is_complete(now, RETENTION) {
            return true;
        }
        let Some(recorded) = &self.recorded else { return false };
        let has_other_routes = recorded.routes.iter().any(|known| Some(*known) != self.fingerprint);
        let versions = recorded.versions.get(service);
        !has_other_routes
            && !recorded.routes.is_empty()
            && versions.is_some_and(|versions| versions.iter().all(|known| **known == *version))
    }

    /// Returns the record that the store should have and has not. `versions` returns the versions of a
    /// service that were listed within a time.
    pub fn missing_record(
        &self,
        now: Duration,
        services: &BTreeSet<Arc<str>>,
        versions: impl Fn(&str, Duration) -> BTreeSet<Arc<str>>,
    ) -> Option<RecordedOrigins> {
        let mut record = self.remembered(now, RETENTION, services, &versions)?;
        match &self.recorded {
            Some(recorded) => {
                let mut kept = recorded.clone();
                if self.is_complete(now, RECORD_RETENTION) {
                    kept.retain(&self.remembered(now, RECORD_RETENTION, services, &versions)?);
                }
                record.extend(&kept);
            }
            None => {
                let is_first_start = self.first_start == FirstStart::Claimed && !self.has_gap;
                if !is_first_start && !self.is_complete(now, RETENTION) {
                    return None;
                }
            }
        }
        (self.recorded.as_ref() != Some(&record)).then_some(record)
    }

    fn remembered(
        &self,
        now: Duration,
        within: Duration,
        services: &BTreeSet<Arc<str>>,
        versions: impl Fn(&str, Duration) -> BTreeSet<Arc<str>>,
    ) -> Option<RecordedOrigins> {
        let replaced = self.replaced_fingerprints.iter();
        let replaced = replaced.filter(|(at, _)| now.saturating_sub(*at) < within);
        let routes = replaced.map(|(_, fingerprint)| *fingerprint).chain([self.fingerprint?]);
        let versions = services
            .iter()
            .map(|service| (service.clone(), versions(service, within)))
            .filter(|(_, versions)| !versions.is_empty());
        Some(RecordedOrigins { routes: routes.collect(), versions: versions.collect() })
    }

    /// Returns whether this router knows where streams began within a time.
    fn is_complete(&self, now: Duration, within: Duration) -> bool {
        let is_long = |since: Duration| now.saturating_sub(since) >= within;
        let is_first_start = self.first_start == FirstStart::Confirmed && !self.has_gap;
        self.complete_since.is_some_and(|since| is_first_start || is_long(since))
    }

    fn discard_old(&mut self, now: Duration) {
        let is_old = |at: Duration| now.saturating_sub(at) >= RECORD_RETENTION;
        self.replaced_fingerprints.retain(|(at, _)| !is_old(*at));
        self.replaced_routes.retain(|(at, _)| !is_old(*at));
    }
}
