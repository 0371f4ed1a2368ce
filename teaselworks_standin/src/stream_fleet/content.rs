//! The streams that callers request, and the events that engines answer with.

use std::collections::BTreeMap;

use crate::caller::Call;
use crate::configuration::{API_KEY, HOST};

/// Route of a stream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StreamRoute {
    /// Long streams that may be resumed.
    EventBrief,
    /// Long streams that run at most once.
    FanAnswer,
    /// Short streams that may be resumed.
    TicketTag,
}

impl StreamRoute {
    /// Every route.
    pub const ALL: [StreamRoute; 3] =
        [StreamRoute::EventBrief, StreamRoute::FanAnswer, StreamRoute::TicketTag];

    /// Path prefix of the route.
    pub fn prefix(self) -> &'static str {
        match self {
            StreamRoute::EventBrief => "/event-brief/",
            StreamRoute::FanAnswer => "/fan-answer/",
            StreamRoute::TicketTag => "/ticket-tag/",
        }
    }

    /// Whether its streams may be resumed.
    pub fn is_resumable(self) -> bool {
        self != StreamRoute::FanAnswer
    }

    /// Replicas on which one try of a caller may run.
    pub(super) fn max_attempts(self) -> u32 {
        if self.is_resumable() { 2 } else { 1 }
    }

    /// Smallest and largest number of events of a stream.
    pub(super) fn event_counts(self) -> (u32, u32) {
        match self {
            StreamRoute::EventBrief => (16, 48),
            StreamRoute::FanAnswer => (12, 36),
            StreamRoute::TicketTag => (1, 3),
        }
    }

    /// Number of different parts with which prompts begin.
    fn shared_parts(self) -> u32 {
        if self == StreamRoute::EventBrief { 3 } else { 80 }
    }

    /// Time that callers wait for a stream, in milliseconds.
    pub(super) fn deadline_ms(self) -> u64 {
        match self {
            StreamRoute::EventBrief => 10_000,
            StreamRoute::FanAnswer => 8_000,
            StreamRoute::TicketTag => 2_500,
        }
    }
}

/// What a caller requests. All its tries send the same content.
#[derive(Clone, Debug)]
pub struct Content {
    /// Name of the stream, unique in a run.
    pub stream: String,
    /// Route that it takes.
    pub route: StreamRoute,
    /// Number of its events.
    pub event_count: u32,
    /// Number that its prompt shares with other streams.
    pub prompt: u32,
}

impl Content {
    /// Builds one try, which goes on after `last_event` if that is not zero.
    pub(super) fn call(&self, request: &str, deadline_ms: u64, last_event: u32) -> Call {
        let shared = self.prompt % self.route.shared_parts();
        let prompt = format!("{:x}:512,{:x}:800", 16 + shared, 4_096 + self.prompt);
        let call = Call::new("POST", HOST, &format!("{}2f", self.route.prefix()), request)
            .with_api_key(API_KEY)
            .with_header("X-Model", "m")
            .with_header("X-Token-Usage", &format!("1312,{}", 12 * self.event_count))
            .with_header("X-Prompt-Prefix", &prompt)
            .with_header("X-Deadline-Ms", &deadline_ms.to_string())
            .with_body(&format!("{} {}", self.stream, self.event_count));
        if last_event == 0 {
            return call;
        }
        call.with_header("Last-Event-Id", &last_event.to_string())
    }
}

/// The engine that wrote an event, and for which request it did.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Writer {
    /// Stream that the engine's request named.
    pub stream: String,
    /// Number of the run, unique for each request that an engine accepted.
    pub run: u64,
    /// Engine.
    pub engine: String,
    /// Service of the engine.
    pub service: String,
    /// Version of the engine's software.
    pub version: String,
}

/// An event as a caller received it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its identifier.
    pub number: u32,
    /// Who wrote it.
    pub writer: Writer,
}

/// Returns the text of an event.
pub(super) fn event_text(number: u32, writer: &Writer) -> String {
    let Writer { stream, run, engine, service, version } = writer;
    format!(
        "id: {number}\ndata: stream={stream} run={run} engine={engine} service={service} \
         version={version}\n\n"
    )
}

/// Splits a body into its complete events and the length of what follows them. An event that cannot
/// be parsed has the number zero.
pub(super) fn parse_events(text: &str) -> (Vec<Event>, usize) {
    let end = text.rfind("\n\n").map_or(0, |end| end + 2);
    let events = text[..end].split("\n\n").filter(|event| !event.is_empty()).map(parse_event);
    (events.collect(), text.len() - end)
}

fn parse_event(text: &str) -> Event {
    let mut event = Event { number: 0, writer: Writer::default() };
    for line in text.lines() {
        if let Some(number) = line.strip_prefix("id: ") {
            event.number = number.parse().unwrap_or(0);
        }
        let Some(data) = line.strip_prefix("data: ") else { continue };
        let fields: BTreeMap<&str, &str> =
            data.split(' ').filter_map(|field| field.split_once('=')).collect();
        let field = |name: &str| fields.get(name).copied().unwrap_or_default().to_owned();
        event.writer = Writer {
            stream: field("stream"),
            run: field("run").parse().unwrap_or(0),
            engine: field("engine"),
            service: field("service"),
            version: field("version"),
        };
    }
    event
}
