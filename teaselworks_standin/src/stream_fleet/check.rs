//! Checks what callers received in each stream, over all their tries.

use std::fmt;

use super::content::{Content, Event};

/// A way in which a stream is not the one that was requested.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Way {
    /// Events of two software versions.
    TwoVersions,
    /// Events of two services.
    TwoServices,
    /// Events of two runs, in a stream that may not be resumed.
    TwoRuns,
    /// An event is missing before one that arrived.
    Missing,
    /// An event came again right after itself.
    Repeated,
    /// The number went back.
    WentBack,
    /// The stream ended as complete before its last event.
    EndedEarly,
    /// The stream ended as complete with part of an event, or went beyond its last event.
    EndedWrong,
    /// An event of another stream.
    Foreign,
}

impl fmt::Display for Way {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Way::TwoVersions => "two versions",
            Way::TwoServices => "two services",
            Way::TwoRuns => "two runs",
            Way::Missing => "missing",
            Way::Repeated => "repeated",
            Way::WentBack => "went back",
            Way::EndedEarly => "ended early",
            Way::EndedWrong => "ended wrong",
            Way::Foreign => "foreign",
        })
    }
}

/// One try of a caller.
#[derive(Clone, Debug)]
pub struct Try {
    /// Identifier of the request.
    pub request: String,
    /// Number of the router.
    pub router: usize,
    /// Seconds since the start of the run at which it was sent.
    pub sent_s: f64,
    /// Seconds since the start of the run at which it ended.
    pub ended_s: f64,
    /// Status, or 0 if there was no response.
    pub status: u16,
    /// Event after which it was to go on; 0 at the start of the stream.
    pub last_event: u32,
    /// Events that arrived completely.
    pub events: Vec<Event>,
    /// Whether the response ended as its framing declares.
    pub is_whole: bool,
    /// Length of what arrived after the last complete event.
    pub rest_bytes: usize,
    /// Whether the caller left before the end.
    pub is_left: bool,
}

/// A stream with all its tries.
#[derive(Clone, Debug)]
pub struct StreamRecord {
    /// What was requested.
    pub content: Content,
    /// The caller's tries, in order.
    pub tries: Vec<Try>,
}

impl StreamRecord {
    /// Returns whether a try brought events and broke off.
    pub fn is_broken(&self) -> bool {
        self.tries.iter().any(|one| one.status == 200 && !one.is_whole && !one.events.is_empty())
    }

    /// Returns whether the caller asked for the rest of the stream.
    pub fn is_resumed(&self) -> bool {
        self.tries.iter().any(|one| one.last_event > 0)
    }

    /// Returns whether a try that asked for the rest brought events.
    pub fn went_on(&self) -> bool {
        self.tries.iter().any(|one| one.last_event > 0 && !one.events.is_empty())
    }

    /// Returns whether the last try ended as complete.
    pub fn is_complete(&self) -> bool {
        self.tries.last().is_some_and(|one| one.status == 200 && one.is_whole)
    }

    /// Returns each way in which the stream is wrong, once.
    pub fn ways(&self) -> Vec<Way> {
        let mut ways = Vec::new();
        let answers = || self.tries.iter().filter(|one| one.status == 200);
        let events: Vec<&Event> = answers().flat_map(|one| &one.events).collect();
        for pair in events.windows(2) {
            let (earlier, later) = (pair[0], pair[1]);
            if earlier.writer.version != later.writer.version {
                ways.push(Way::TwoVersions);
            }
            if earlier.writer.service != later.writer.service {
                ways.push(Way::TwoServices);
            }
            if earlier.writer.run != later.writer.run && !self.content.route.is_resumable() {
                ways.push(Way::TwoRuns);
            }
            match later.number {
                number if number == earlier.number => ways.push(Way::Repeated),
                number if number < earlier.number => ways.push(Way::WentBack),
                number if number > earlier.number + 1 => ways.push(Way::Missing),
                _ => {}
            }
        }
        if events.first().is_some_and(|first| first.number != 1) {
            ways.push(Way::Missing);
        }
        if events.iter().any(|event| event.writer.stream != self.content.stream) {
            ways.push(Way::Foreign);
        }
        if self.is_complete() {
            let last = events.last().map_or(0, |event| event.number);
            if last < self.content.event_count {
                ways.push(Way::EndedEarly);
            }
            let rest_bytes = self.tries.last().map_or(0, |one| one.rest_bytes);
            if last > self.content.event_count || rest_bytes > 0 {
                ways.push(Way::EndedWrong);
            }
        }
        ways.sort();
        ways.dedup();
        ways
    }
}
