//! The route table, which matches requests by host and then by the longest prefix of the path.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::Route;

/// The route table: routes by host, those with longer prefixes first.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    names: HashSet<Arc<str>>,
    /// Shortest target latency of the routes to each service.
    target_latencies: HashMap<Arc<str>, Duration>,
}

impl Routes {
    /// Creates the table.
    ///
    /// ```
    /// use teaselworks_policy::configuration::{Kind, Route, Routes};
    ///
    /// let prefixes = ["/a/", "/a/b/"];
    /// let routes = Routes::new(prefixes.map(|prefix| Route::example(Kind::Stream, prefix)));
    /// assert_eq!(&*routes.find("host", "/a/b/c").unwrap().prefix, "/a/b/");
    /// assert_eq!(&*routes.find("host", "/a/c").unwrap().prefix, "/a/");
    /// assert!(routes.find("other", "/a/c").is_none());
    /// ```
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        let mut names = HashSet::new();
        let mut target_latencies: HashMap<Arc<str>, Duration> = HashMap::new();
        for route in routes {
            names.insert(route.name.clone());
            for target in &route.targets {
                let target_latency = route.target_latency;
                let shortest =
                    target_latencies.entry(target.service.clone()).or_insert(target_latency);
                // A target latency of zero means that the route has none.
                if shortest.is_zero() || (!target_latency.is_zero() && target_latency < *shortest) {
                    *shortest = target_latency;
                }
            }
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by(|a, b| {
                b.prefix.len().cmp(&a.prefix.len()).then_with(|| a.prefix.cmp(&b.prefix))
            });
        }
        target_latencies.retain(|_, target_latency| !target_latency.is_zero());
        Self { hosts, names, target_latencies }
    }

    /// Finds the route of a request; `path` must not include the query string.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the shortest target latency of the routes to a service; `None` if none of them
    /// has one.
    pub fn shortest_target_latency(&self, service: &str) -> Option<Duration> {
        self.target_latencies.get(service).copied()
    }

    /// Returns all routes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns whether the table has a route of the given name.
    pub fn contains_route(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
