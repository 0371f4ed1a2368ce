//! The route table: host, then the longest prefix of the path.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::Route;

/// Routes by host, those with longer prefixes first.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    names: HashSet<Arc<str>>,
    targets: HashMap<Arc<str>, Duration>,
}

impl Routes {
    /// Makes the table.
    ///
    /// ```
    /// use teaselworks_policy::configuration::{Kind, Route, Routes};
    ///
    /// let routes = Routes::new(["/a/", "/a/b/"].map(|prefix| Route::example(Kind::Stream, prefix)));
    /// assert_eq!(&*routes.find("host", "/a/b/c").unwrap().prefix, "/a/b/");
    /// assert_eq!(&*routes.find("host", "/a/c").unwrap().prefix, "/a/");
    /// assert!(routes.find("other", "/a/c").is_none());
    /// ```
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        let mut names = HashSet::new();
        let mut targets: HashMap<Arc<str>, Duration> = HashMap::new();
        for route in routes {
            names.insert(route.name.clone());
            for target in &route.targets {
                let aim = route.target_latency;
                let shortest = targets.entry(target.service.clone()).or_insert(aim);
                // A route that states no aim bounds nothing.
                if shortest.is_zero() || (!aim.is_zero() && aim < *shortest) {
                    *shortest = aim;
                }
            }
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by(|a, b| {
                b.prefix.len().cmp(&a.prefix.len()).then_with(|| a.prefix.cmp(&b.prefix))
            });
        }
        targets.retain(|_, aim| !aim.is_zero());
        Self { hosts, names, targets }
    }

    /// Finds the route of a request; `path` is without its query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the shortest time to an answer that callers of a service aim at, where any states one.
    pub fn shortest_target(&self, service: &str) -> Option<Duration> {
        self.targets.get(service).copied()
    }

    /// Tells whether a route has a name.
    pub fn has(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Tells whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
