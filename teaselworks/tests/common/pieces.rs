//! Streams that engines send in pieces and break off anywhere.

use std::ops::RangeInclusive;

use teaselworks_standin::caller::{Reply, call};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::upstream::{ReceivedRequest, Script, Step, chunk, event, stream_head};

use super::chat;

/// Numbers of the events of a whole stream.
pub const WHOLE: [u32; 5] = [1, 2, 3, 4, 5];

/// Returns the identifier of the event after which a request resumes a stream.
pub fn last_event(req: &ReceivedRequest) -> Option<u32> {
    req.head.header("last-event-id").and_then(|id| id.parse().ok())
}

/// Returns a chunked stream of these pieces, followed by `end`.
pub fn pieces<'a>(id: &str, pieces: impl IntoIterator<Item = &'a str>, end: Step) -> Script {
    let mut steps = vec![Step::Write(stream_head(id))];
    steps.extend(pieces.into_iter().map(|piece| Step::Write(chunk(piece))));
    steps.push(end);
    Script::new(steps)
}

/// Returns the text of consecutive events.
pub fn events(numbers: RangeInclusive<u32>) -> String {
    numbers.map(event).collect()
}

/// Returns a step that ends a chunked answer properly.
pub fn last_chunk() -> Step {
    Step::Write(b"0\r\n\r\n".to_vec())
}

/// Goes on with a stream after the event `last`, to its end.
pub fn rest(req: &ReceivedRequest, last: u32) -> Script {
    pieces(req.id(), [&*events(last + 1..=5)], last_chunk())
}

pub fn set_engines(
    fleet: &Fleet,
    behaviour: impl Fn(&ReceivedRequest) -> Script + Clone + Send + Sync + 'static,
) {
    for engine in &fleet.engines {
        engine.set_behaviour(behaviour.clone());
    }
}

pub async fn send(fleet: &Fleet, target: &str, id: &str) -> Reply {
    call(fleet.routers[0].callers_address(), &chat(target, id, 1)).await.unwrap()
}
