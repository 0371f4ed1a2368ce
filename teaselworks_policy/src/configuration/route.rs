//! One route: which requests it takes, where they go and how they may be repeated.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Multiple of what callers aim at beyond which silence is not awaited; they leave a silent stream
/// some time after that.
const SILENCE_FACTOR: u32 = 3;

/// What a route carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Whole answers, executed as often as needed.
    Idempotent,
    /// Whole answers, executed at most once for each attempt of the caller.
    AtMostOnce,
    /// Server-sent events; at most once, unless the route is resumable.
    Stream,
}

/// A service that a share of a route's requests goes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// One route of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that requests name.
    pub host: Arc<str>,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What the route carries.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting for the end of the answer.
    pub timeout: Duration,
    /// Time to the answer, or to the first event, that callers aim at.
    pub target_latency: Duration,
    /// Longest pause between events that callers aim at.
    pub target_gap: Duration,
    /// Rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Where requests go.
    pub targets: Vec<Target>,
    /// Most replicas on which one attempt of the caller may run.
    pub max_attempts: u32,
    /// Requests need no key.
    pub is_anonymous: bool,
    /// Requests describe a prompt whose parts engines keep for later requests.
    pub has_prompts: bool,
    /// A broken stream may be resumed at another replica after its last event.
    pub is_resumable: bool,
}

impl Route {
    /// Tells whether a request may run a second time after it may have run.
    ///
    /// ```
    /// use teaselworks_policy::configuration::{Kind, Route};
    ///
    /// let route = Route::example(Kind::AtMostOnce, "/a/");
    /// assert!(!route.is_idempotent());
    /// ```
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::AtMostOnce => false,
            Kind::Stream => self.is_resumable,
        }
    }

    /// Returns the silence after which a request that may run again is asked elsewhere.
    ///
    /// A replica that went dark or lost the answer says nothing until the deadline.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::configuration::{Kind, Route};
    ///
    /// let route = Route::example(Kind::Stream, "/a/");
    /// assert_eq!(route.silence_timeout(), Duration::from_millis(1_200));
    /// ```
    pub fn silence_timeout(&self) -> Duration {
        self.target_latency.max(self.target_gap) * SILENCE_FACTOR
    }

    /// Picks the service for a request: the same for each look at the same identifier.
    ///
    /// ```
    /// use teaselworks_policy::configuration::{Kind, Route};
    ///
    /// let route = Route::example(Kind::Stream, "/a/");
    /// assert_eq!(&*route.service_for("9c41").unwrap(), "service");
    /// ```
    pub fn service_for(&self, request_id: &str) -> Option<Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = xxh3_64(request_id.as_bytes()) % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(target.service.clone());
            }
            point -= weight;
        }
        None
    }

    /// Makes a route to the service `service`, for examples and tests.
    ///
    /// ```
    /// use teaselworks_policy::configuration::{Kind, Route};
    ///
    /// assert_eq!(&*Route::example(Kind::Stream, "/a/").host, "host");
    /// ```
    pub fn example(kind: Kind, prefix: &str) -> Self {
        Self {
            name: prefix.into(),
            host: "host".into(),
            prefix: prefix.into(),
            kind,
            timeout: Duration::from_secs(3),
            target_latency: Duration::from_millis(300),
            target_gap: Duration::from_millis(400),
            priority: 0,
            targets: vec![Target { service: "service".into(), weight: 1 }],
            max_attempts: 1,
            is_anonymous: false,
            has_prompts: false,
            is_resumable: false,
        }
    }
}
