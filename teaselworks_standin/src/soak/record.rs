//! What callers, replicas and the operator saw, by the time since the soak began.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A broken promise that is planted in what is seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Bug {
    /// A replica runs a request twice.
    RunsTwice,
    /// A replica runs a request that was refused as not run.
    RunsAfterRefusal,
    /// A caller gets the answer to another request.
    ForeignResponse,
    /// A caller gets half of an answer that looks whole.
    TruncatedResponse,
    /// An event of a stream is missing.
    MissingEvent,
    /// A router goes back to an older configuration.
    ConfigurationRollback,
    /// A replica gets requests long after it said that it drains.
    RequestsAfterDrain,
    /// Requests are repeated without end.
    ExcessiveRetries,
    /// A planned stop cuts a request in progress.
    CutByStop,
    /// A router ends by itself.
    UnexpectedExit,
}

impl Bug {
    /// Every planted fault.
    pub const ALL: [Bug; 10] = [
        Bug::RunsTwice,
        Bug::RunsAfterRefusal,
        Bug::ForeignResponse,
        Bug::TruncatedResponse,
        Bug::MissingEvent,
        Bug::ConfigurationRollback,
        Bug::RequestsAfterDrain,
        Bug::ExcessiveRetries,
        Bug::CutByStop,
        Bug::UnexpectedExit,
    ];

    /// Returns the promise that it breaks, as findings name it.
    pub fn guarantee(self) -> &'static str {
        match self {
            Bug::RunsTwice => "at most once",
            Bug::RunsAfterRefusal => "true refusals",
            Bug::ForeignResponse | Bug::TruncatedResponse => "own and whole answers",
            Bug::MissingEvent => "order of events",
            Bug::ConfigurationRollback => "no older configuration",
            Bug::RequestsAfterDrain => "nothing to draining replicas",
            Bug::ExcessiveRetries => "retry budget",
            Bug::CutByStop => "no request cut by a planned stop",
            Bug::UnexpectedExit => "no router ends by itself",
        }
    }
}

/// Kinds of request, one route each.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum RequestKind {
    Read,
    Write,
    Chat,
    ResumableChat,
}

impl RequestKind {
    pub(super) const ALL: [RequestKind; 4] =
        [RequestKind::Read, RequestKind::Write, RequestKind::Chat, RequestKind::ResumableChat];

    pub(super) fn prefix(self) -> &'static str {
        match self {
            RequestKind::Read => "/read/",
            RequestKind::Write => "/write/",
            RequestKind::Chat => "/chat/",
            RequestKind::ResumableChat => "/gloss/",
        }
    }

    pub(super) fn is_stream(self) -> bool {
        matches!(self, RequestKind::Chat | RequestKind::ResumableChat)
    }

    /// Returns how often one request of a caller may run.
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
    pub(super) has_run: bool,
}

/// What a caller got.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// An answer with a status, told apart as whole and the caller's own.
    Response { status: u16, is_own: bool, is_whole: bool, events: Vec<u32> },
    /// The connection ended or broke without a whole head.
    NoResponse,
    /// The caller left.
    Abandoned,
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
}

/// One look at the route that came with a version of the configuration.
#[derive(Clone, Copy, Debug)]
pub(super) struct VersionProbe {
    pub(super) router: usize,
    /// Starts of the router's process so far.
    pub(super) restart_count: u32,
    pub(super) version: u64,
    pub(super) is_known: bool,
    pub(super) sent_at: Duration,
    pub(super) ended_at: Duration,
}

/// A time in which something was not as usual.
#[derive(Clone, Debug)]
pub(super) struct FaultSpan {
    pub(super) from: Duration,
    pub(super) to: Option<Duration>,
    /// A planned stop of this router.
    pub(super) stopped_router: Option<usize>,
    pub(super) is_planned: bool,
}

#[derive(Debug, Default)]
pub(super) struct Observations {
    pub(super) arrivals: Vec<Arrival>,
    pub(super) requests: Vec<RequestRecord>,
    pub(super) version_probes: Vec<VersionProbe>,
    pub(super) fault_spans: Vec<FaultSpan>,
    /// Replicas that said that they drain, and when the store took that.
    pub(super) drained: Vec<(String, Duration)>,
    /// Routers whose process ended though nothing had ended it, and when that was noticed.
    pub(super) unexpected_exits: Vec<(usize, Duration)>,
}

/// Numbers of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestCounts {
    pub(super) requests: usize,
    pub(super) answered: usize,
    pub(super) refused: usize,
}

/// Everything that was seen.
pub(super) struct Recorder {
    started_at: Instant,
    observations: Mutex<Observations>,
    pub(super) simulated_bug: Option<Bug>,
}

impl Recorder {
    pub(super) fn new(simulated_bug: Option<Bug>) -> Self {
        Self { started_at: Instant::now(), observations: Mutex::default(), simulated_bug }
    }

    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub(super) fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().expect("the lock is never poisoned")
    }

    /// Notes a request that reached a replica.
    pub(super) fn record_arrival(&self, id: &str, upstream: &str, has_run: bool) {
        let at = self.now();
        let arrival = Arrival { id: id.to_owned(), upstream: upstream.to_owned(), at, has_run };
        let copies = match self.simulated_bug {
            Some(Bug::RunsTwice) => 2,
            Some(Bug::ExcessiveRetries) => 8,
            _ => 1,
        };
        let mut observations = self.observations();
        for copy in 0..copies {
            // Repeats that were turned away count for the budget, and have not run.
            let has_run = has_run && (copy == 0 || self.simulated_bug == Some(Bug::RunsTwice));
            observations.arrivals.push(Arrival { has_run, ..arrival.clone() });
        }
    }

    /// Notes what a caller got.
    pub(super) fn record_request(&self, request: RequestRecord) {
        if let (Some(Bug::RunsAfterRefusal), Outcome::Response { status: 503, .. }) =
            (self.simulated_bug, &request.outcome)
        {
            self.record_arrival(&request.id, "planted", true);
        }
        self.observations().requests.push(request);
    }

    /// Notes that something begins; returns its number for [`Record::close`].
    pub(super) fn begin_span(&self, stopped_router: Option<usize>, is_planned: bool) -> usize {
        let from = self.now();
        let mut observations = self.observations();
        observations.fault_spans.push(FaultSpan { from, to: None, stopped_router, is_planned });
        observations.fault_spans.len() - 1
    }

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
