//! Records what callers, replicas and the fault injector observe during a soak. Every time is the
//! time since the recorder was made, at the start of the soak.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::bounds::MAX_COLD_REQUESTS;
use crate::configuration::{ARCHIVE_SERVICE, CHAT_SERVICE};

/// A bug that a soak simulates, to test that the check of the guarantee it violates reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Bug {
    /// A replica runs a request twice.
    RunsTwice,
    /// A replica runs a request whose refusal states that it has not run.
    RunsAfterRefusal,
    /// A caller gets the response to another request.
    ForeignResponse,
    /// A caller gets half of a response that is framed as complete.
    TruncatedResponse,
    /// An event of a stream is missing.
    MissingEvent,
    /// A router goes back to an older configuration.
    ConfigurationRollback,
    /// A replica gets requests long after it was listed as draining.
    RequestsAfterDrain,
    /// Requests are retried without limit.
    ExcessiveRetries,
    /// Each router uses the retry budget of the whole fleet.
    BudgetOfEachRouter,
    /// A planned stop cuts a request in progress.
    CutByStop,
    /// A router process exits although no fault ended it.
    UnexpectedExit,
    /// A router that reaches no replica refuses its callers.
    RefusalsByCutRouter,
    /// A replica that asked a router for rest gets its requests all the same.
    RequestsInRest,
    /// A replica gets requests from a router that was notified that it is leaving.
    RequestsWhileLeaving,
    /// Replicas of an evacuated zone get requests.
    RequestsAfterEvacuation,
    /// A cold replica gets as many requests as any other.
    ColdOverload,
    /// A stream contains events of two software versions.
    JoinedVersions,
    /// Streams that callers take up again stop.
    StreamsStop,
    /// A part of prompts goes on crashing replicas.
    CrashesGoOn,
    /// A request goes on crashing replicas.
    RequestsGoOn,
    /// A stream without framing that lacks its last event looks complete.
    UnframedStreamTruncated,
    /// A router that most callers reach refuses most of them.
    RefusalsInFunnel,
}

impl Bug {
    /// Every bug that can be simulated.
    pub const ALL: [Bug; 22] = [
        Bug::RunsTwice,
        Bug::RunsAfterRefusal,
        Bug::ForeignResponse,
        Bug::TruncatedResponse,
        Bug::MissingEvent,
        Bug::ConfigurationRollback,
        Bug::RequestsAfterDrain,
        Bug::ExcessiveRetries,
        Bug::BudgetOfEachRouter,
        Bug::CutByStop,
        Bug::UnexpectedExit,
        Bug::RefusalsByCutRouter,
        Bug::RequestsInRest,
        Bug::RequestsWhileLeaving,
        Bug::RequestsAfterEvacuation,
        Bug::ColdOverload,
        Bug::JoinedVersions,
        Bug::StreamsStop,
        Bug::CrashesGoOn,
        Bug::RequestsGoOn,
        Bug::UnframedStreamTruncated,
        Bug::RefusalsInFunnel,
    ];

    /// Returns the guarantee that it violates, as [`Violation::guarantee`] names it.
    ///
    /// [`Violation::guarantee`]: super::Violation::guarantee
    pub fn guarantee(self) -> &'static str {
        match self {
            Bug::RunsTwice => "at most once",
            Bug::RunsAfterRefusal => "refused requests do not run",
            Bug::ForeignResponse | Bug::TruncatedResponse => "complete and matching responses",
            Bug::MissingEvent | Bug::UnframedStreamTruncated => "complete event streams in order",
            Bug::ConfigurationRollback => "no configuration rollback",
            Bug::RequestsAfterDrain => "no new requests to draining replicas",
            Bug::ExcessiveRetries | Bug::BudgetOfEachRouter => "retry budget",
            Bug::CutByStop => "no request cut by a planned stop",
            Bug::UnexpectedExit => "no unexpected exit of a router",
            Bug::RefusalsByCutRouter => "callers of cut routers are served",
            Bug::RequestsInRest => "no requests to resting replicas",
            Bug::RequestsWhileLeaving => "no requests to replicas known to leave",
            Bug::RequestsAfterEvacuation => "no requests to evacuated zones",
            Bug::ColdOverload => "cold replicas are not overloaded",
            Bug::JoinedVersions => "streams keep to one version",
            Bug::StreamsStop => "resumed streams go on",
            Bug::RefusalsInFunnel => "a router that most callers reach serves them",
            Bug::CrashesGoOn => "parts that crash replicas are blocked",
            Bug::RequestsGoOn => "requests that crash replicas are refused",
        }
    }
}

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

    /// Returns the service of its route.
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
    /// numbers and software versions of the events that it carried.
    Response {
        status: u16,
        is_own: bool,
        is_whole: bool,
        events: Vec<u32>,
        versions: BTreeSet<String>,
    },
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
    /// Number of the last event that the caller got.
    pub(super) last_event: u32,
    /// Software version that began the stream.
    pub(super) version: String,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    pub(super) id: String,
    pub(super) kind: RequestKind,
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
    /// Times at which replicas crashed on a part of a prompt.
    pub(super) crashes: Vec<Duration>,
    /// Identifiers of requests that replicas dropped since a router closed the connection.
    pub(super) dropped: Vec<String>,
    /// Times at which processes of routers were started again.
    pub(super) router_starts: Vec<Duration>,
    /// Times during which replicas were cold.
    pub(super) cold_spans: Vec<ColdSpan>,
    /// Routers whose process exited although no fault ended it, and when that was noticed.
    pub(super) unexpected_exits: Vec<(usize, Duration)>,
}

/// Numbers of the callers' requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestCounts {
    pub(super) requests: usize,
    pub(super) answered: usize,
    pub(super) refused: usize,
}

/// Collects the observations of a soak, and falsifies some where a bug is simulated.
pub(super) struct Recorder {
    started_at: Instant,
    observations: Mutex<Observations>,
    pub(super) simulated_bug: Option<Bug>,
    /// Router that most new connections reach at the moment, counted from 1; 0 if there is none.
    funnel: AtomicUsize,
    /// Part of prompts that crashes replicas at the moment, 0 if there is none.
    crashing_part: AtomicU64,
    /// Kind and number of the request that crashes replicas at the moment.
    crashing_request: Mutex<Option<(RequestKind, u64)>>,
    /// Whether crashes are recorded as those of a part.
    are_crashes_counted: AtomicBool,
}

impl Recorder {
    pub(super) fn new(simulated_bug: Option<Bug>) -> Self {
        Self {
            started_at: Instant::now(),
            observations: Mutex::default(),
            simulated_bug,
            funnel: AtomicUsize::new(0),
            crashing_part: AtomicU64::new(0),
            crashing_request: Mutex::default(),
            are_crashes_counted: AtomicBool::new(true),
        }
    }

    /// Returns the router that most new connections reach at the moment.
    pub(super) fn funnel(&self) -> Option<usize> {
        self.funnel.load(Ordering::Relaxed).checked_sub(1)
    }

    /// Sets the router that most new connections reach from now on.
    pub(super) fn set_funnel(&self, router: Option<usize>) {
        self.funnel.store(router.map_or(0, |router| router + 1), Ordering::Relaxed);
    }

    /// Returns the part of prompts that crashes replicas at the moment.
    pub(super) fn crashing_part(&self) -> Option<u64> {
        Some(self.crashing_part.load(Ordering::Relaxed)).filter(|part| *part != 0)
    }

    /// Sets the part of prompts that crashes replicas from now on.
    pub(super) fn set_crashing_part(&self, part: Option<u64>) {
        self.crashing_part.store(part.unwrap_or(0), Ordering::Relaxed);
    }

    /// Returns the kind and the number of the request that crashes replicas at the moment.
    pub(super) fn crashing_request(&self) -> Option<(RequestKind, u64)> {
        *self.crashing_request.lock().expect("the lock of the request is never poisoned")
    }

    /// Sets the request that crashes replicas from now on. Its crashes are not those of a part.
    pub(super) fn set_crashing_request(&self, request: Option<(RequestKind, u64)>) {
        *self.crashing_request.lock().expect("the lock of the request is never poisoned") = request;
        if request.is_some() {
            self.set_crashes_counted(false);
        }
    }

    /// Returns whether crashes are recorded as those of a part.
    pub(super) fn are_crashes_counted(&self) -> bool {
        self.are_crashes_counted.load(Ordering::Relaxed)
    }

    /// Sets whether crashes are recorded as those of a part.
    pub(super) fn set_crashes_counted(&self, are_counted: bool) {
        self.are_crashes_counted.store(are_counted, Ordering::Relaxed);
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

    pub(super) fn request_counts(&self) -> RequestCounts {
        let observations = self.observations();
        let mut counts =
            RequestCounts { requests: observations.requests.len(), ..RequestCounts::default() };
        for request in &observations.requests {
            match request.outcome {
                Outcome::Response { status: 200, is_whole: true, .. } => counts.answered += 1,
                Outcome::Response { status: 503, .. } => counts.refused += 1,
                _ => {}
            }
        }
        counts
    }
}
