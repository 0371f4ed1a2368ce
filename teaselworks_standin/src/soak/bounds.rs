//! Bounds that the fleet of a soak keeps and the checks compare with.

use std::time::Duration;

/// Retry budget in the routers' settings: retries allowed for each request of the window.
pub(super) const RETRY_RATIO: f64 = 0.1;
/// Retry budget in the routers' settings: retries allowed in the window besides the ratio.
pub(super) const RETRY_SLACK: u32 = 24;
/// Retry budget in the routers' settings: length of the window.
pub(super) const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Time after which a draining replica gets no new requests.
pub(super) const DRAINING_BOUND: Duration = Duration::from_secs(2);
/// Time after which replicas of an evacuated zone get no new requests.
pub(super) const EVACUATION_BOUND: Duration = Duration::from_secs(2);
/// Time for which a replica is cold.
pub(super) const COLD_TIME: Duration = Duration::from_secs(2);
/// Requests per second that a cold replica bears.
pub(super) const COLD_REQUESTS_PER_S: u32 = 6;
/// Number of requests within a second that may reach a cold replica: one and a half times what it
/// bears, and three.
pub(super) const MAX_COLD_REQUESTS: usize = 12;
/// Time for which a router that was signalled to stop may finish its requests.
pub(super) const STOP_GRACE: Duration = Duration::from_secs(8);
/// Time after the beginning of a stop up to which a router may take what it possibly cuts, as long as the
/// replica is still at work in the last sixth of the grace period.
pub(super) const UNCERTAIN_TIME: Duration = Duration::from_secs(3);
/// Time for which a router does not run that handles the signal to stop late.
pub(super) const SIGNAL_DELAY: Duration = Duration::from_millis(300);
/// Time after which a new configuration is in force at every router.
pub(super) const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);
/// Time that a long stream takes.
pub(super) const LONG_STREAM_TIME: Duration = Duration::from_secs(5);
/// Maximum number of output tokens that requests for long streams state.
pub(super) const LONG_STREAM_TOKENS: u32 = 400;
/// Pause of a replica in an answer, longer than the silence timeout of every route.
pub(super) const PAUSE: Duration = Duration::from_millis(1_600);
/// Rest that a replica requests.
pub(super) const REST: Duration = Duration::from_secs(2);
/// Time after the end of a fault from which guarantees with a time bound hold again.
pub(super) const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time that a request may take to pass through the proxies.
pub(super) const PROXY_LATENCY: Duration = Duration::from_millis(200);
/// Beginning of the identifiers of the tries of a request that crashes replicas; the number of the
/// request and a hyphen follow.
pub(super) const REPEATED_PREFIX: &str = "repeated-";
/// Beginning of the identifiers of requests with a part that crashes replicas.
pub(super) const CRASHING_PREFIX: &str = "crashing-";
