//! What streams contain. It depends on what a request asks for and not on its identifier, so that a
//! request which resumes a stream gets the rest of it.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use super::bug::Bug;
use super::record::RequestKind;
use crate::caller::Call;

/// Time between two events of a stream, and of a slow stream.
pub(super) const EVENT_INTERVAL: Duration = Duration::from_millis(15);
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(150);
/// One stream in this many is slow.
const SLOW_ONE_IN: u64 = 16;
/// Streams whose number of events is a multiple of this end with their connection.
const UNFRAMED_ONE_IN: u32 = 4;

/// Returns the key of what a request asks for.
pub(super) fn content_key(target: &str, body: &[u8], prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (target, body, prompt).hash(&mut hasher);
    hasher.finish()
}

/// Returns the key of what a caller's request asks for.
pub(super) fn call_content(call: &Call) -> u64 {
    let prompt = call.headers.iter().find(|(name, _)| name == "X-Prompt-Prefix");
    content_key(&call.target, call.body.as_bytes(), prompt.map_or("", |(_, value)| value))
}

/// Returns the number of events in the stream that answers a request: from 3 to 14.
pub(super) fn event_count(content: u64) -> u32 {
    3 + (content % 12) as u32
}

/// Returns whether a stream has neither a length nor chunks.
pub(super) fn is_unframed(content: u64) -> bool {
    event_count(content).is_multiple_of(UNFRAMED_ONE_IN)
}

/// Returns the time between two events of the stream that answers a request.
pub(super) fn event_interval(content: u64) -> Duration {
    let is_slow = (content / 12).is_multiple_of(SLOW_ONE_IN);
    if is_slow { SLOW_EVENT_INTERVAL } else { EVENT_INTERVAL }
}

/// An event of a stream, which names the run of a replica that wrote it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct StreamEvent {
    pub(super) number: u32,
    /// Key of what the request asked for.
    pub(super) content: u64,
    /// Identifier of the request as it reached the replica.
    pub(super) request: String,
    /// The run, by a name that no other run of the soak has.
    pub(super) run: String,
    pub(super) service: String,
    /// Software version of the replica.
    pub(super) version: String,
}

impl StreamEvent {
    /// Returns the event as it is sent.
    pub(super) fn text(&self) -> String {
        let Self { number, content, request, run, service, version } = self;
        format!("id: {number}\ndata: {content:x}-{number} {request} {run} {service} {version}\n\n")
    }

    /// Parses an event without the empty line at its end.
    fn parse(text: &str) -> Option<Self> {
        let (id, data) = text.strip_prefix("id: ")?.split_once("\ndata: ")?;
        let fields: Vec<&str> = data.split(' ').collect();
        let [word, request, run, service, version] = fields.try_into().ok()?;
        let (content, number) = word.split_once('-')?;
        let content = u64::from_str_radix(content, 16).ok()?;
        let [request, run, service, version] = [request, run, service, version].map(str::to_owned);
        let number = number.parse().ok().filter(|_| number == id)?;
        Some(Self { number, content, request, run, service, version })
    }
}

/// Returns the complete events in the body of a stream. One that is malformed has the number 0.
pub(super) fn parse_events(text: &str) -> Vec<StreamEvent> {
    let end = text.rfind("\n\n").unwrap_or(0);
    let blocks = text[..end].split("\n\n").filter(|block| !block.is_empty());
    let malformed = |block: &str| StreamEvent { request: block.into(), ..StreamEvent::default() };
    blocks.map(|block| StreamEvent::parse(block).unwrap_or_else(|| malformed(block))).collect()
}

/// Falsifies the events that a caller got, where a bug is simulated.
pub(super) fn falsify_events(
    bug: Option<Bug>,
    kind: RequestKind,
    is_resumed: bool,
    events: &mut Vec<StreamEvent>,
) {
    let Some(last) = events.last_mut() else { return };
    match bug {
        Some(Bug::ResumptionSkipsEvent) if is_resumed => {
            events.remove(0);
        }
        Some(Bug::RepeatedEvent) => {
            let last = last.clone();
            events.push(last);
        }
        Some(Bug::ForeignEvent) => last.content ^= 1,
        Some(Bug::JoinedRuns) if kind == RequestKind::Chat => last.run = "simulated".into(),
        Some(Bug::JoinedServices) if is_resumed => last.service = "simulated".into(),
        Some(Bug::JoinedVersions) if is_resumed => last.version = "simulated".into(),
        Some(bug @ (Bug::UnframedStreamTruncated | Bug::FramedStreamTruncated))
            if is_unframed(last.content) == (bug == Bug::UnframedStreamTruncated) =>
        {
            events.pop();
        }
        _ => {}
    }
}
