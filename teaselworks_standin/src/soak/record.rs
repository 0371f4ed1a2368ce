//! Records what callers, replicas and the fault injector observe during a soak. Every time is the
//! time since the recorder was made, at the start of the soak.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::bounds::{MAX_COLD_REQUESTS, RECOVERY_TIME};
use super::bug::Bug;
use super::content::StreamEvent;
use crate::configuration::{ARCHIVE_SERVICE, CHAT_SERVICE};

/// Kinds of requests that callers send. Each kind has a route of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum RequestKind {
    /// Idempotent request.
    Read,
    /// Request that runs at most once.
    Write,
    /// Streaming request that runs at most once.
    Chat,
    /// Streaming request that another replica can resume after its last event.
    ResumableChat,
}

impl RequestKind {
    pub(super) const ALL: [RequestKind; 4] =
        [RequestKind::Read, RequestKind::Write, RequestKind::Chat, RequestKind::ResumableChat];

    /// Returns the path prefix of its route.
    pub(super) fn prefix(self) -> &'static str {
        match self {
            RequestKind::Read => "/read/",
            RequestKind::Write => "/write/",
            RequestKind::Chat => "/chat/",
            RequestKind::ResumableChat => "/gloss/",
        }
    }

    /// Returns the service of its route, unless the route is split.
    pub(super) fn service(self) -> &'static str {
        if self.is_stream() { CHAT_SERVICE } else { ARCHIVE_SERVICE }
    }

    pub(super) fn is_stream(self) -> bool {
        matches!(self, RequestKind::Chat | RequestKind::ResumableChat)
    }

    /// Returns how many times replicas may run one request of a caller.
    pub(super) fn max_runs(self) -> usize {
        match self {
            RequestKind::Read | RequestKind::ResumableChat => 2,
            RequestKind::Write | RequestKind::Chat => 1,
        }
    }
}

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) id: String,
    pub(super) upstream: String,
    pub(super) at: Duration,
    /// Whether the replica ran the request, instead of rejecting it.
    pub(super) has_run: bool,
    /// Whether the replica rejected the request and asked for rest.
    pub(super) asks_for_rest: bool,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// A response came: whether it belongs to the request, whether its body is complete, and the
    /// events that it carried.
    Response { status: u16, is_own: bool, is_whole: bool, events: Vec<StreamEvent> },
    /// The connection was closed or failed before the head of the response was complete.
    NoResponse,
    /// The caller gave up waiting.
    Abandoned,
}

/// A stream that a request resumes.
#[derive(Clone, Debug)]
pub(super) struct Resumption {
    /// Identifier of the request whose response brought the stream's first event.
    pub(super) stream: String,
    /// First event of the stream, which tells where it began.
    pub(super) first: StreamEvent,
    /// Number of the last event that the caller got.
    pub(super) last_event: u32,
    /// Whether the request names the stream.
    pub(super) is_named: bool,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    pub(super) id: String,
    pub(super) kind: RequestKind,
    /// Key of what it asks for.
    pub(super) content: u64,
    pub(super) router: usize,
    pub(super) sent_at: Duration,
    pub(super) ended_at: Duration,
    pub(super) outcome: Outcome,
    /// The stream that the request resumes.
    pub(super) resumes: Option<Resumption>,
    /// Whether the caller left in the middle of the response, to resume it elsewhere.
    pub(super) is_interrupted: bool,
}

impl RequestRecord {
    /// Returns the identifier of the stream, which is that of its first request.
    pub(super) fn stream(&self) -> &str {
        self.resumes.as_ref().map_or(&self.id, |resumes| &resumes.stream)
    }
}

/// One request that finds out whether a router has the route that a version of the configuration
/// added.
#[derive(Clone, Copy, Debug)]
pub(super) struct VersionProbe {
    pub(super) router: usize,
    /// How many times the router's process had been restarted.
    pub(super) restart_count: u32,
    pub(super) version: u64,
    /// Whether the router had the route.
    pub(super) is_known: bool,
    pub(super) sent_at: Duration,
    pub(super) ended_at: Duration,
}

/// Time during which a fault or a planned operation was active.
#[derive(Clone, Debug)]
pub(super) struct FaultSpan {
    pub(super) from: Duration,
    /// When it ended; `None` while it is active.
    pub(super) to: Option<Duration>,
    /// The router that a planned stop ends; `None` for everything but planned stops.
    pub(super) stopped_router: Option<usize>,
    pub(super) is_planned: bool,
}

/// Time during which some routers were cut off from all replicas.
#[derive(Clone, Debug)]
pub(super) struct PartitionSpan {
    pub(super) routers: Vec<usize>,
    pub(super) from: Duration,
    pub(super) to: Duration,
    /// Index of the fault's span in [`Observations::fault_spans`].
    pub(super) span: usize,
}

/// Time during which a zone was evacuated.
#[derive(Clone, Debug)]
pub(super) struct EvacuationSpan {
    pub(super) zone: &'static str,
    /// Replicas that were in the zone when the evacuation began.
    pub(super) upstreams: Vec<String>,
    pub(super) from: Duration,
    /// When it ended; `None` while the zone is evacuated.
    pub(super) to: Option<Duration>,
}

/// Time during which most new connections reached one router.
#[derive(Clone, Copy, Debug)]
pub(super) struct FunnelSpan {
    pub(super) router: usize,
    pub(super) from: Duration,
    pub(super) to: Duration,
}

/// Time during which a replica paused in the answers to what arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct PauseSpan {
    pub(super) from: Duration,
    pub(super) to: Duration,
}

/// Time during which a replica took new requests, by its entries in the store.
#[derive(Clone, Debug)]
pub(super) struct ServingSpan {
    pub(super) upstream: String,
    pub(super) service: &'static str,
    pub(super) version: String,
    pub(super) from: Duration,
    /// When it began to leave; `None` if it has not.
    pub(super) to: Option<Duration>,
}

/// Time during which a replica was cold, as its entry said.
#[derive(Clone, Debug)]
pub(super) struct ColdSpan {
    pub(super) upstream: String,
    pub(super) from: Duration,
    pub(super) to: Duration,
}

/// Everything that was observed, in the order in which it was recorded.
#[derive(Debug, Default)]
pub(super) struct Observations {
    pub(super) arrivals: Vec<Arrival>,
    pub(super) requests: Vec<RequestRecord>,
    pub(super) version_probes: Vec<VersionProbe>,
    /// Versions of the configuration, each with the time at which it was published.
    pub(super) published: Vec<(u64, Duration)>,
    pub(super) fault_spans: Vec<FaultSpan>,
    /// Replicas that were listed as draining, and when the store took the entry.
    pub(super) draining_since: Vec<(String, Duration)>,
    /// Replicas that say they are leaving, and since when.
    pub(super) leaving_since: Vec<(String, Duration)>,
    /// Replicas that were removed, and when, which ends the requests that they run.
    pub(super) removals: Vec<(String, Duration)>,
    /// Times during which some routers were cut off from all replicas.
    pub(super) partitions: Vec<PartitionSpan>,
    /// Times during which zones were evacuated.
    pub(super) evacuations: Vec<EvacuationSpan>,
    /// Times during which most new connections reached one router.
    pub(super) funnels: Vec<FunnelSpan>,
    /// Times during which replicas paused in their answers.
    pub(super) pauses: Vec<PauseSpan>,
    /// Times at which replicas crashed on a part of a prompt.
    pub(super) crashes: Vec<Duration>,
    /// Identifiers of requests that replicas dropped since a router closed the connection.
    pub(super) dropped: Vec<String>,
    /// Times at which processes of routers were started again.
    pub(super) router_starts: Vec<Duration>,
    /// Times during which replicas took new requests.
    pub(super) serving_spans: Vec<ServingSpan>,
    /// Services of the resumable route, and since when.
    pub(super) splits: Vec<(Duration, Vec<&'static str>)>,
    /// Times during which replicas were cold.
    pub(super) cold_spans: Vec<ColdSpan>,
    /// Routers whose process exited although no fault ended it, and when that was noticed.
    pub(super) unexpected_exits: Vec<(usize, Duration)>,
}

impl Observations {
    /// Records that a replica takes no new requests from now on.
    pub(super) fn end_serving(&mut self, upstream: &str, now: Duration) {
        let mut spans = self.serving_spans.iter_mut();
        if let Some(span) = spans.find(|span| span.upstream == upstream && span.to.is_none()) {
            span.to = Some(now);
        }
    }

    /// Returns the services of a request's route by each configuration that may have been in force
    /// while the request was in progress.
    pub(super) fn targets(&self, request: &RequestRecord) -> Vec<Vec<&'static str>> {
        if request.kind != RequestKind::ResumableChat {
            return vec![vec![request.kind.service()]];
        }
        let from = request.sent_at.saturating_sub(RECOVERY_TIME);
        let replaced_at = self.splits.iter().skip(1).map(|(at, _)| *at).chain([Duration::MAX]);
        let splits = self.splits.iter().zip(replaced_at);
        let in_force = splits.filter(|((at, _), end)| *at <= request.ended_at && *end >= from);
        in_force.map(|((_, services), _)| services.clone()).collect()
    }
}

/// Faults in what callers send at the moment.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    /// Router that most new connections reach.
    pub(super) funnel: Option<usize>,
    /// Whether long streams come.
    pub(super) has_long_streams: bool,
    /// Part of prompts that crashes replicas.
    pub(super) crashing_part: Option<u64>,
    /// Kind and number of the request that crashes replicas.
    pub(super) crashing_request: Option<(RequestKind, u64)>,
    /// Whether crashes are not recorded, since they are not those of a part.
    pub(super) are_crashes_ignored: bool,
}

/// Collects the observations of a soak, and falsifies some where a bug is simulated.
pub(super) struct Recorder {
    started_at: Instant,
    observations: Mutex<Observations>,
    pub(super) simulated_bug: Option<Bug>,
    traffic: Mutex<Traffic>,
}

impl Recorder {
    pub(super) fn new(simulated_bug: Option<Bug>) -> Self {
        Self {
            started_at: Instant::now(),
            observations: Mutex::default(),
            simulated_bug,
            traffic: Mutex::default(),
        }
    }

    /// Locks the faults in what callers send.
    pub(super) fn traffic(&self) -> MutexGuard<'_, Traffic> {
        self.traffic.lock().expect("the lock of the traffic is never poisoned")
    }

    /// Returns the time since the recorder was made.
    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Locks the observations.
    pub(super) fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().expect("the lock of the observations is never poisoned")
    }

    /// Records a request that reached a replica.
    pub(super) fn record_arrival(
        &self,
        id: &str,
        upstream: &str,
        has_run: bool,
        asks_for_rest: bool,
    ) {
        let at = self.now();
        let (id, upstream) = (id.to_owned(), upstream.to_owned());
        let arrival = Arrival { id, upstream, at, has_run, asks_for_rest };
        let copies = match self.simulated_bug {
            Some(Bug::RunsTwice) => 2,
            Some(Bug::ExcessiveRetries) => 8,
            Some(Bug::ColdOverload) => MAX_COLD_REQUESTS + 1,
            _ => 1,
        };
        let mut observations = self.observations();
        for copy in 0..copies {
            // The copies of excessive retries and of a cold overload have not run, so that they do
            // not violate the limit on runs.
            let has_run = has_run && (copy == 0 || self.simulated_bug == Some(Bug::RunsTwice));
            observations.arrivals.push(Arrival { has_run, ..arrival.clone() });
        }
    }

    /// Records a caller's request after it ended.
    pub(super) fn record_request(&self, request: RequestRecord) {
        if let (Some(Bug::RunsAfterRefusal), Outcome::Response { status: 503, .. }) =
            (self.simulated_bug, &request.outcome)
        {
            self.record_arrival(&request.id, "simulated", true, false);
        }
        self.observations().requests.push(request);
    }

    /// Records that a fault or a planned operation begins. Returns the index of its span for
    /// [`Recorder::end_span`].
    pub(super) fn begin_span(&self, stopped_router: Option<usize>, is_planned: bool) -> usize {
        let from = self.now();
        let mut observations = self.observations();
        observations.fault_spans.push(FaultSpan { from, to: None, stopped_router, is_planned });
        observations.fault_spans.len() - 1
    }

    /// Records that the fault or planned operation of a span ended.
    pub(super) fn end_span(&self, span: usize) {
        let now = self.now();
        self.observations().fault_spans[span].to = Some(now);
    }
}
