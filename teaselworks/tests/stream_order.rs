//! The order of the events of one answer, whatever its engines send and wherever they break off.

mod common;

use common::{chat, fleet};
use teaselworks_standin::caller::{Reply, call};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::upstream::{ReceivedRequest, Script, Step, chunk, event, stream_head};

/// Numbers of the events of a whole stream.
const WHOLE: [u32; 5] = [1, 2, 3, 4, 5];

/// Returns the identifier of the event after which a request resumes a stream.
fn last_event(req: &ReceivedRequest) -> Option<u32> {
    req.head.header("last-event-id").and_then(|id| id.parse().ok())
}

/// Returns a chunked stream of these pieces, followed by `end`.
fn pieces<'a>(id: &str, pieces: impl IntoIterator<Item = &'a str>, end: Step) -> Script {
    let mut steps = vec![Step::Write(stream_head(id))];
    steps.extend(pieces.into_iter().map(|piece| Step::Write(chunk(piece))));
    steps.push(end);
    Script::new(steps)
}

/// Returns the text of consecutive events.
fn events(numbers: std::ops::RangeInclusive<u32>) -> String {
    numbers.map(event).collect()
}

/// Returns a step that ends a chunked answer properly.
fn last_chunk() -> Step {
    Step::Write(b"0\r\n\r\n".to_vec())
}

/// Goes on with a stream after the event `last`, to its end.
fn rest(req: &ReceivedRequest, last: u32) -> Script {
    pieces(req.id(), [&*events(last + 1..=5)], last_chunk())
}

fn set_engines(
    fleet: &Fleet,
    behaviour: impl Fn(&ReceivedRequest) -> Script + Clone + Send + Sync + 'static,
) {
    for engine in &fleet.engines {
        engine.set_behaviour(behaviour.clone());
    }
}

async fn send(fleet: &Fleet, target: &str, id: &str) -> Reply {
    call(fleet.routers[0].callers_address(), &chat(target, id, 1)).await.unwrap()
}

/// Guards against joined streams whose runs, and who decided on them, the log does not name.
#[tokio::test]
async fn the_log_leads_from_a_joined_stream_to_its_runs() {
    let fleet = fleet(1).await;
    set_engines(&fleet, |req| match last_event(req) {
        None => pieces(req.id(), [&*events(1..=2), "id: 3\nda"], Step::Reset),
        Some(last) => rest(req, last),
    });
    let reply = send(&fleet, "/gloss/a", "joined").await;
    assert_eq!((reply.events(), reply.body.is_whole), (WHOLE.to_vec(), true));
    let router = &fleet.routers[0];
    let resumed = &router.wait_for_events("stream_resumed", 1).await.unwrap()[0];
    assert_eq!(resumed["request"], "joined");
    assert_eq!(resumed["failure"], "broken");
    assert_eq!(resumed["outcome"], "continued");
    assert_eq!(resumed["after_event"], "2");
    assert_eq!(resumed["first_event"], "3");
    assert_ne!(resumed["from_upstream"], resumed["to_upstream"]);
    assert_eq!(resumed["from_version"], resumed["to_version"]);
    let ended = &router.wait_for_events("stream_ended", 1).await.unwrap()[0];
    assert_eq!(ended["fingerprint"], resumed["fingerprint"]);
    assert_eq!(ended["upstream"], resumed["to_upstream"]);
    assert_eq!((&ended["events"], &ended["runs"]), (&5.into(), &2.into()));
    assert_eq!((&ended["first_event"], &ended["last_event"]), (&"1".into(), &"5".into()));
    assert_eq!(ended["ending"], "whole");
    let metrics = router.metrics().await.unwrap();
    let count = |name: &str, labels: &[&str]| {
        let mut lines = metrics.lines().filter(|line| line.starts_with(name));
        let line = lines.find(|line| labels.iter().all(|label| line.contains(label)));
        line.and_then(|line| line.rsplit(' ').next()).unwrap_or_default().to_owned()
    };
    assert_eq!(count("teaselworks_streams_total", &["ending=\"whole\"", "runs=\"2\""]), "1");
    let outcome = ["outcome=\"continued\""];
    assert_eq!(count("teaselworks_stream_resumptions_total", &outcome), "1");
}
