//! A route: which requests it matches, the services they go to, and how they may be retried.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Silence timeout as a multiple of the larger of target latency and target gap. Callers close a
/// silent stream only some time after that.
const SILENCE_TIMEOUT_FACTOR: u32 = 3;
/// Shortest time after which callers leave a stream of which nothing arrives.
const MIN_STREAM_PATIENCE: Duration = Duration::from_secs(2);
/// The same time as a multiple of the target latency.
const PATIENCE_LATENCY_FACTOR: u32 = 4;
/// The same time as a multiple of the target gap.
const PATIENCE_GAP_FACTOR: u32 = 8;

/// How the requests of a route are answered and whether they may be executed more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Ordinary answers, not streams. A request may be executed any number of times.
    Idempotent,
    /// Ordinary answers, not streams. A request is executed at most once per attempt of the caller.
    AtMostOnce,
    /// Answers are streams of server-sent events. A request is executed at most once, unless the
    /// route is resumable.
    Stream,
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// A route of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name, which identifies the route in logs and statistics.
    pub name: Arc<str>,
    /// Host that requests must name.
    pub host: Arc<str>,
    /// Prefix that the path must have; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How requests are answered and whether they may be executed more than once.
    pub kind: Kind,
    /// Maximum time from the arrival of a request to the end of its answer.
    pub timeout: Duration,
    /// Target for the time to the answer or, for a stream, to the first event. Zero means none.
    pub target_latency: Duration,
    /// Target for the longest pause between events of a stream.
    pub target_gap: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that the requests are distributed over.
    pub targets: Vec<Target>,
    /// Maximum number of replicas that may execute one attempt of the caller.
    pub max_attempts: u32,
    /// Requests need no API key.
    pub is_anonymous: bool,
    /// Requests describe a prompt, whose parts engines keep in a cache for later requests.
    pub has_prompts: bool,
    /// A stream that broke off may be resumed at another replica after the last event received.
    pub is_resumable: bool,
}

impl Route {
    /// Returns whether a request may be executed again although it may have been executed already.
    /// That is so for idempotent routes and for resumable streams.
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

    /// Returns the time without data from a replica after which an idempotent request is sent to
    /// another one.
    ///
    /// A replica that has become unreachable, or that lost the answer, would otherwise stay silent
    /// until the deadline.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::configuration::{Kind, Route};
    ///
    /// let route = Route::example(Kind::Stream, "/a/");
    /// assert_eq!(route.silence_timeout(), Duration::from_millis(1_200));
    /// ```
    pub fn silence_timeout(&self) -> Duration {
        self.target_latency.max(self.target_gap) * SILENCE_TIMEOUT_FACTOR
    }

    /// Returns the time after which callers leave a stream of which nothing arrives; `None` if the
    /// answers are no streams.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::configuration::{Kind, Route};
    ///
    /// let route = Route::example(Kind::Stream, "/a/");
    /// assert_eq!(route.stream_patience(), Some(Duration::from_millis(3_200)));
    /// assert_eq!(Route::example(Kind::Idempotent, "/a/").stream_patience(), None);
    /// ```
    pub fn stream_patience(&self) -> Option<Duration> {
        let by_latency = self.target_latency * PATIENCE_LATENCY_FACTOR;
        let by_gap = self.target_gap * PATIENCE_GAP_FACTOR;
        let patience = by_latency.max(by_gap).max(MIN_STREAM_PATIENCE);
        (self.kind == Kind::Stream).then_some(patience)
    }

    /// Returns whether requests of the route go to a service.
    ///
    /// ```
    /// use teaselworks_policy::configuration::{Kind, Route};
    ///
    /// assert!(Route::example(Kind::Stream, "/a/").has_target("service"));
    /// ```
    pub fn has_target(&self, service: &str) -> bool {
        self.targets.iter().any(|target| *target.service == *service && target.weight > 0)
    }

    /// Picks the service for a request, in proportion to the weights of the targets; `None` where
    /// all weights are zero.
    ///
    /// The choice depends on the request's identifier alone, so that every attempt of the same
    /// request goes to the same service.
    ///
    /// ```
    /// use teaselworks_policy::configuration::{Kind, Route};
    ///
    /// let route = Route::example(Kind::Stream, "/a/");
    /// assert_eq!(&*route.service_for("9c41").unwrap(), "service");
    /// ```
    pub fn service_for(&self, request_id: &str) -> Option<Arc<str>> {
        let total_weight: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total_weight == 0 {
            return None;
        }
        let mut point = xxh3_64(request_id.as_bytes()) % total_weight;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(target.service.clone());
            }
            point -= weight;
        }
        None
    }

    /// Creates a route to the service `service`, for examples and tests.
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
