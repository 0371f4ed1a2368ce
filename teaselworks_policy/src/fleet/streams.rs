//! Where streams can have begun, by routes and lists.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Fleet;
use crate::configuration::{Configuration, Kind};
use crate::origin_memory::RecordedOrigins;
use crate::stream_origin::StreamOrigin;

impl Fleet {
    /// Returns where a stream with this host and path must have begun, whichever router it began at: the
    /// only service of its routes and the only version that was listed lately. Returns `None` if there
    /// are several, or if this router cannot know that there are not.
    pub fn sole_origin(&mut self, now: Duration, host: &str, path: &str) -> Option<StreamOrigin> {
        let max_age = self.settings.max_list_age();
        self.list_age(now).filter(|age| *age <= max_age)?;
        let routes = &self.configuration.as_ref()?.routes;
        let service = self.origin_memory.sole_service(now, routes, host, path)?;
        let pool = self.pools.get_mut(&service)?;
        pool.update_versions(now, self.settings.version_settling());
        let version = pool.sole_version(now)?;
        let is_sole = self.origin_memory.is_sole(now, &service, &version);
        is_sole.then_some(StreamOrigin { service, version })
    }

    /// Records that a configuration takes the place of the active one.
    pub(super) fn remember_routes(&mut self, now: Duration, next: &Configuration) {
        let active = self.configuration.as_ref().map(|configuration| &configuration.routes);
        self.origin_memory.on_routes(now, active, &next.routes);
    }

    /// Records the routers that a complete list names.
    pub fn on_listed_routers(&mut self, routers: &[(Arc<str>, SocketAddr)]) {
        let own_name = self.membership.own_name();
        let is_listed = routers.iter().any(|(name, _)| name == own_name);
        if is_listed && !self.membership.has_registered() {
            self.origin_memory.on_earlier_process();
        }
    }

    /// Records that the store lists no router, and whatever record of where streams can have begun came with
    /// that list.
    pub fn on_no_routers_listed(&mut self) {
        if !self.membership.has_registered() {
            self.origin_memory.on_no_routers_listed();
        }
    }

    /// Records what the store has of where streams can have begun; `None` if it has nothing.
    pub fn on_recorded_origins(&mut self, revision: u64, recorded: Option<RecordedOrigins>) {
        for (service, pool) in &mut self.pools {
            let versions = recorded.as_ref().and_then(|recorded| recorded.versions.get(service));
            pool.set_recorded_versions(versions);
        }
        self.origin_memory.on_recorded(revision, recorded);
    }

    /// Returns the record of where streams can have begun that the store should have and has not; `None`
    /// if it has that, or if the list may not be current.
    pub fn missing_origin_record(&mut self, now: Duration) -> Option<RecordedOrigins> {
        let max_age = self.settings.max_list_age();
        self.list_age(now).filter(|age| *age <= max_age)?;
        let routes = &self.configuration.as_ref()?.routes;
        let streams = routes.iter().filter(|route| route.kind == Kind::Stream);
        let services: BTreeSet<Arc<str>> = streams
            .flat_map(|route| route.targets.iter().map(|target| target.service.clone()))
            .collect();
        let settling = self.settings.version_settling();
        for service in &services {
            if let Some(pool) = self.pools.get_mut(service) {
                pool.update_versions(now, settling);
            }
        }
        let versions = |service: &str, within: Duration| {
            self.pools.get(service).map_or_else(BTreeSet::new, |pool| pool.versions(now, within))
        };
        self.origin_memory.missing_record(now, &services, versions)
    }
}
