//! What callers, replicas and the operator saw, by the time since the soak began.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A broken promise that is planted in what is seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plant {
    /// A replica runs a request twice.
    RunsTwice,
    /// A replica runs a request that was refused as not run.
    RunsRefused,
    /// A caller gets the answer to another request.
    ForeignAnswer,
    /// A caller gets half of an answer that looks whole.
    HalfAnswer,
    /// An event of a stream is missing.
    MissingEvent,
    /// A router goes back to an older configuration.
    OlderConfiguration,
    /// A replica gets requests long after it said that it drains.
    LateDrain,
    /// Requests are repeated without end.
    ManyRepeats,
    /// A planned stop cuts a request in progress.
    CutByStop,
    /// A router ends by itself.
    EndsByItself,
}

impl Plant {
    /// Every planted fault.
    pub const ALL: [Plant; 10] = [
        Plant::RunsTwice,
        Plant::RunsRefused,
        Plant::ForeignAnswer,
        Plant::HalfAnswer,
        Plant::MissingEvent,
        Plant::OlderConfiguration,
        Plant::LateDrain,
        Plant::ManyRepeats,
        Plant::CutByStop,
        Plant::EndsByItself,
    ];

    /// Returns the promise that it breaks, as findings name it.
    pub fn promise(self) -> &'static str {
        match self {
            Plant::RunsTwice => "at most once",
            Plant::RunsRefused => "true refusals",
            Plant::ForeignAnswer | Plant::HalfAnswer => "own and whole answers",
            Plant::MissingEvent => "order of events",
            Plant::OlderConfiguration => "no older configuration",
            Plant::LateDrain => "nothing to draining replicas",
            Plant::ManyRepeats => "retry budget",
            Plant::CutByStop => "no request cut by a planned stop",
            Plant::EndsByItself => "no router ends by itself",
        }
    }
}

/// Kinds of request, one route each.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Kind {
    Read,
    Write,
    Chat,
    Gloss,
}

impl Kind {
    pub(super) const ALL: [Kind; 4] = [Kind::Read, Kind::Write, Kind::Chat, Kind::Gloss];

    pub(super) fn prefix(self) -> &'static str {
        match self {
            Kind::Read => "/read/",
            Kind::Write => "/write/",
            Kind::Chat => "/chat/",
            Kind::Gloss => "/gloss/",
        }
    }

    pub(super) fn is_stream(self) -> bool {
        matches!(self, Kind::Chat | Kind::Gloss)
    }

    /// Returns how often one request of a caller may run.
    pub(super) fn most_runs(self) -> usize {
        match self {
            Kind::Read | Kind::Gloss => 2,
            Kind::Write | Kind::Chat => 1,
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
pub(super) enum Got {
    /// An answer with a status, told apart as whole and the caller's own.
    Answer { status: u16, is_own: bool, is_whole: bool, events: Vec<u32> },
    /// The connection ended or broke without a whole head.
    Nothing,
    /// The caller left.
    Left,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) id: String,
    pub(super) kind: Kind,
    pub(super) router: usize,
    pub(super) sent_at: Duration,
    pub(super) ended_at: Duration,
    pub(super) got: Got,
}

/// One look at the route that came with a version of the configuration.
#[derive(Clone, Copy, Debug)]
pub(super) struct Look {
    pub(super) router: usize,
    /// Starts of the router's process so far.
    pub(super) start: u32,
    pub(super) version: u64,
    pub(super) is_known: bool,
    pub(super) sent_at: Duration,
    pub(super) ended_at: Duration,
}

/// A time in which something was not as usual.
#[derive(Clone, Debug)]
pub(super) struct Span {
    pub(super) from: Duration,
    pub(super) to: Option<Duration>,
    /// A planned stop of this router.
    pub(super) stops: Option<usize>,
    pub(super) is_planned: bool,
}

#[derive(Debug, Default)]
pub(super) struct Seen {
    pub(super) arrivals: Vec<Arrival>,
    pub(super) outcomes: Vec<Outcome>,
    pub(super) looks: Vec<Look>,
    pub(super) spans: Vec<Span>,
    /// Replicas that said that they drain, and when the store took that.
    pub(super) drained: Vec<(String, Duration)>,
    /// Routers whose process ended though nothing had ended it, and when that was noticed.
    pub(super) ended: Vec<(usize, Duration)>,
}

/// Numbers of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub(super) requests: usize,
    pub(super) answered: usize,
    pub(super) refused: usize,
}

/// Everything that was seen.
pub(super) struct Record {
    began: Instant,
    seen: Mutex<Seen>,
    pub(super) plant: Option<Plant>,
}

impl Record {
    pub(super) fn new(plant: Option<Plant>) -> Self {
        Self { began: Instant::now(), seen: Mutex::default(), plant }
    }

    pub(super) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub(super) fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().expect("the lock is never poisoned")
    }

    /// Notes a request that reached a replica.
    pub(super) fn arrive(&self, id: &str, upstream: &str, has_run: bool) {
        let at = self.now();
        let arrival = Arrival { id: id.to_owned(), upstream: upstream.to_owned(), at, has_run };
        let copies = match self.plant {
            Some(Plant::RunsTwice) => 2,
            Some(Plant::ManyRepeats) => 8,
            _ => 1,
        };
        let mut seen = self.seen();
        for copy in 0..copies {
            // Repeats that were turned away count for the budget, and have not run.
            let has_run = has_run && (copy == 0 || self.plant == Some(Plant::RunsTwice));
            seen.arrivals.push(Arrival { has_run, ..arrival.clone() });
        }
    }

    /// Notes what a caller got.
    pub(super) fn end(&self, outcome: Outcome) {
        if let (Some(Plant::RunsRefused), Got::Answer { status: 503, .. }) =
            (self.plant, &outcome.got)
        {
            self.arrive(&outcome.id, "planted", true);
        }
        self.seen().outcomes.push(outcome);
    }

    /// Notes that something begins; returns its number for [`Record::close`].
    pub(super) fn open(&self, stops: Option<usize>, is_planned: bool) -> usize {
        let from = self.now();
        let mut seen = self.seen();
        seen.spans.push(Span { from, to: None, stops, is_planned });
        seen.spans.len() - 1
    }

    pub(super) fn close(&self, span: usize) {
        let now = self.now();
        self.seen().spans[span].to = Some(now);
    }

    pub(super) fn counts(&self) -> Counts {
        let seen = self.seen();
        let mut counts = Counts { requests: seen.outcomes.len(), ..Counts::default() };
        for outcome in &seen.outcomes {
            match outcome.got {
                Got::Answer { status: 200, is_whole: true, .. } => counts.answered += 1,
                Got::Answer { status: 503, .. } => counts.refused += 1,
                _ => {}
            }
        }
        counts
    }
}
