//! The order of the events of one answer, whatever its engines send and wherever they break off.

mod common;

use std::time::Duration;

use common::pieces::{WHOLE, events, last_chunk, last_event, pieces, rest, send, set_engines};
use common::{chat, fleet, fleet_with, wait_for_record};
use serde_json::json;
use teaselworks_standin::caller::call;
use teaselworks_standin::configuration::TestConfiguration;
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::upstream::{Script, Step, chunk, event, stream_head};

/// Time in which a piece arrives before the next one is sent.
const PAUSE: Duration = Duration::from_millis(20);

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

/// Returns whether `events` are the first of a whole stream, each once.
fn are_in_order(events: &[u32]) -> bool {
    events.iter().copied().eq(1..=events.len() as u32)
}

/// Returns how often the engines ran a request.
fn run_count(fleet: &Fleet, id: &str) -> usize {
    fleet.engines.iter().map(|engine| engine.run_count(id)).sum()
}

/// Guards against a piece that is missing, comes twice or is joined from two runs since an engine
/// stopped inside an event, wherever that was.
#[tokio::test]
async fn a_stream_cut_inside_an_event_goes_on_with_that_event() {
    let fleet = fleet(1).await;
    let third = event(3);
    for (end, first_cut) in [(Step::Reset, 0), (Step::Close, 0), (last_chunk(), 1)] {
        for cut in first_cut..third.len() {
            let (third, break_end) = (third.clone(), end.clone());
            set_engines(&fleet, move |req| match last_event(req) {
                None => {
                    let text = events(1..=2) + &third[..cut];
                    pieces(req.id(), [&*text], break_end.clone())
                }
                Some(last) => rest(req, last),
            });
            let reply = send(&fleet, "/gloss/a", &format!("cut{cut}{end:?}")).await;
            assert_eq!((reply.text(), reply.body.is_whole), (events(1..=5), true), "{cut} {end:?}");
        }
    }
}

/// Guards against a stream that looks whole though it stopped inside an event or without the last
/// chunk, or that runs twice, on a route whose streams may not be resumed.
#[tokio::test]
async fn a_stream_that_may_not_be_resumed_ends_incomplete_where_it_breaks() {
    let fleet = fleet(1).await;
    let ends = [
        ("", Step::Reset),
        ("", Step::Close),
        ("id: 3\nda", Step::Reset),
        ("id: 3\ndata: word-3\n", last_chunk()),
        ("id: 3\ndata: word-3", last_chunk()),
    ];
    for (number, (partial, end)) in ends.into_iter().enumerate() {
        for after in [None, Some("0")] {
            let end = end.clone();
            set_engines(&fleet, move |req| {
                let events = events(1..=2);
                let pieces_sent = [&*events, partial].into_iter().filter(|piece| !piece.is_empty());
                pieces(req.id(), pieces_sent, end.clone())
            });
            let id = format!("once{number}{after:?}");
            let mut request = chat("/chat/a", &id, 1);
            if let Some(after) = after {
                request = request.with_header("Last-Event-Id", after);
            }
            let reply = call(fleet.routers[0].callers_address(), &request).await.unwrap();
            assert_eq!((reply.text(), reply.body.is_whole), (events(1..=2), false), "{id}");
            assert_eq!(run_count(&fleet, &id), 1, "{id}");
        }
    }
}

/// Guards against a caller's own event identifier that is dropped, or taken as a reason to look at the
/// events, on a route whose streams may not be resumed.
#[tokio::test]
async fn a_stream_that_may_not_be_resumed_is_forwarded_as_it_is() {
    let fleet = fleet(1).await;
    set_engines(&fleet, |req| pieces(req.id(), [&*events(1..=5)], last_chunk()));
    let request = chat("/chat/a", "plain", 1).with_header("Last-Event-Id", "3");
    let reply = call(fleet.routers[0].callers_address(), &request).await.unwrap();
    assert_eq!((reply.text(), reply.body.is_whole), (events(1..=5), true));
    let received = fleet.engines.iter().flat_map(|engine| engine.received_requests());
    let received: Vec<_> = received.filter(|req| req.id() == "plain").collect();
    assert_eq!(received.len(), 1);
    assert_eq!(last_event(&received[0]), Some(3));
}

/// Guards against pieces that come twice since an engine that should go on with a stream begins it again
/// or repeats its last event.
#[tokio::test]
async fn a_run_that_does_not_go_on_after_the_last_event_is_not_joined() {
    let fleet = fleet(1).await;
    for first in [1, 2] {
        set_engines(&fleet, move |req| match last_event(req) {
            None => pieces(req.id(), [&*events(1..=2)], Step::Reset),
            Some(_) => pieces(req.id(), [&*events(first..=5)], last_chunk()),
        });
        let id = format!("again{first}");
        let reply = send(&fleet, "/gloss/a", &id).await;
        assert_eq!((reply.text(), reply.body.is_whole), (events(1..=2), false), "{first}");
        let router = &fleet.routers[0];
        let resumed = router.wait_for_events("stream_resumed", first as usize).await.unwrap();
        let resumed = resumed.iter().find(|line| line["request"] == *id).unwrap();
        assert_eq!(
            (&resumed["outcome"], &resumed["first_event"]),
            (&"not_continued".into(), &first.to_string().into())
        );
    }
}

/// Guards against pieces that come twice since an engine ignores the event after which a caller resumes
/// a stream.
#[tokio::test]
async fn a_caller_that_resumes_a_stream_gets_no_event_that_it_has() {
    let fleet = fleet(1).await;
    wait_for_record(&fleet).await;
    fleet.engines[0].set_behaviour(|req| pieces(req.id(), [&*events(1..=5)], last_chunk()));
    fleet.engines[1].set_behaviour(|req| rest(req, last_event(req).unwrap_or(0)));
    for number in 0..12 {
        let request =
            chat("/gloss/a", &format!("own{number}"), number).with_header("Last-Event-Id", "2");
        let reply = call(fleet.routers[0].callers_address(), &request).await.unwrap();
        let expected = if reply.body.is_whole { events(3..=5) } else { String::new() };
        assert_eq!(reply.text(), expected, "{number}");
    }
    let ignored = fleet.engines[0].received_requests().len();
    assert!(ignored > 0, "no request reached the engine that ignores the event");
}

/// Guards against pieces that come twice since the last event before a break has no identifier, so that no
/// engine can be told where to go on.
#[tokio::test]
async fn a_stream_that_breaks_after_an_event_without_identifier_is_not_resumed() {
    let fleet = fleet(1).await;
    let beginnings =
        ["data: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n", "id: 1\ndata: a\n\nid:\ndata: b\n\n"];
    for (number, beginning) in beginnings.into_iter().enumerate() {
        set_engines(&fleet, move |req| match last_event(req) {
            None => pieces(req.id(), [beginning], Step::Reset),
            Some(last) => rest(req, last),
        });
        let id = format!("bare{number}");
        let reply = send(&fleet, "/gloss/a", &id).await;
        assert_eq!((&*reply.text(), reply.body.is_whole), (beginning, false), "{number}");
        assert_eq!(run_count(&fleet, &id), 1, "{number}");
    }
}

/// Guards against an event without an identifier that is joined to a stream, though nothing says that it
/// comes after the last one.
#[tokio::test]
async fn a_run_whose_first_event_has_no_identifier_is_not_joined() {
    let fleet = fleet(1).await;
    set_engines(&fleet, |req| match last_event(req) {
        None => pieces(req.id(), [&*events(1..=2)], Step::Reset),
        Some(_) => pieces(req.id(), [": warm\n\ndata: word-1\n\n", &events(2..=5)], last_chunk()),
    });
    let reply = send(&fleet, "/gloss/a", "unnamed").await;
    assert_eq!((reply.text(), reply.body.is_whole), (events(1..=2), false));
}

/// Guards against an answer that is not a stream of events and is joined to one.
#[tokio::test]
async fn an_answer_that_is_no_stream_of_events_is_not_joined() {
    let fleet = fleet(1).await;
    set_engines(&fleet, |req| match last_event(req) {
        None => pieces(req.id(), [&*events(1..=2)], Step::Reset),
        Some(_) => Script::response(req, 200, "a verse\n\n"),
    });
    let reply = send(&fleet, "/gloss/a", "verse").await;
    assert_eq!((reply.text(), reply.body.is_whole), (events(1..=2), false));
}

/// Guards against events that are held back to the end, or a stream that is taken for broken, since its
/// lines end with CR LF.
#[tokio::test]
async fn a_stream_with_carriage_returns_is_forwarded_and_resumed() {
    let fleet = fleet(1).await;
    let lines = |numbers| events(numbers).replace('\n', "\r\n");
    let third = lines(3..=3);
    for target in ["/chat/a", "/gloss/a"] {
        set_engines(&fleet, move |req| pieces(req.id(), [&*lines(1..=5)], last_chunk()));
        let reply = send(&fleet, target, &format!("cr{}", target.len())).await;
        assert_eq!((reply.text(), reply.body.is_whole), (lines(1..=5), true), "{target}");
    }
    for cut in 1..third.len() {
        let third = third.clone();
        set_engines(&fleet, move |req| match last_event(req) {
            None => pieces(req.id(), [&*lines(1..=2), &third[..cut]], Step::Reset),
            Some(last) => pieces(req.id(), [&*lines(last + 1..=5)], last_chunk()),
        });
        let reply = send(&fleet, "/gloss/a", &format!("crcut{cut}")).await;
        assert_eq!((reply.text(), reply.body.is_whole), (lines(1..=5), true), "{cut}");
    }
}

/// Guards against an answer to an earlier request, or an interim one, that is taken for the head of a
/// stream or of its rest.
#[tokio::test]
async fn an_answer_to_an_earlier_request_is_not_joined() {
    let fleet = fleet(1).await;
    let interim = b"HTTP/1.1 103 Early Hints\r\nx-request-id: old\r\n\r\n".to_vec();
    let stale = [stream_head("old"), chunk(&events(3..=5)), b"0\r\n\r\n".to_vec()].concat();
    for (number, early) in [interim, stale].into_iter().enumerate() {
        let is_interim = number == 0;
        for at_rest in [false, true] {
            let early = early.clone();
            set_engines(&fleet, move |req| {
                let last = last_event(req);
                let mut script = match last {
                    None => pieces(req.id(), [&*events(1..=2)], Step::Reset),
                    Some(last) => rest(req, last),
                };
                if last.is_some() == at_rest {
                    script.steps.insert(0, Step::Write(early.clone()));
                }
                script
            });
            let id = format!("early{number}{at_rest}");
            let reply = send(&fleet, "/gloss/a", &id).await;
            assert_eq!(reply.events().first().copied().unwrap_or(1), 1, "{id}");
            assert!(are_in_order(&reply.events()), "{id}: {:?}", reply.events());
            assert_eq!(reply.body.is_whole && reply.status() == 200, is_interim, "{id}");
        }
    }
}

/// Guards against pieces that are joined from two requests with the same identifier at the same time.
#[tokio::test]
async fn two_requests_with_one_identifier_get_their_own_streams() {
    let fleet = fleet(1).await;
    set_engines(&fleet, |req| {
        let chat = req.head.header("x-prompt-prefix").unwrap_or_default().to_owned();
        let (numbers, end) = match last_event(req) {
            None => (1..=2, Step::Reset),
            Some(last) => (last + 1..=5, last_chunk()),
        };
        let text: String = numbers.map(|n| format!("id: {n}\ndata: {chat}\n\n")).collect();
        pieces(req.id(), [&*text], end)
    });
    let address = fleet.routers[0].callers_address();
    for number in 0..8 {
        let id = format!("same{number}");
        let (first, second) = (chat("/gloss/a", &id, 1), chat("/gloss/a", &id, 2));
        let (first, second) = tokio::join!(call(address, &first), call(address, &second));
        for (chat, reply) in [(1, first.unwrap()), (2, second.unwrap())] {
            assert_eq!((reply.events(), reply.body.is_whole), (WHOLE.to_vec(), true), "{id}");
            let own = format!("data: a:100,{chat}:800,");
            assert_eq!(reply.text().matches(&own).count(), WHOLE.len(), "{id}");
        }
    }
}

/// Guards against a stream that looks whole though it stopped early, since an answer without events was
/// taken for its rest.
#[tokio::test]
async fn an_empty_answer_that_is_no_stream_of_events_is_not_the_rest() {
    let fleet = fleet(1).await;
    set_engines(&fleet, |req| match last_event(req) {
        None => pieces(req.id(), [&*events(1..=2)], Step::Reset),
        Some(_) => Script::response(req, 200, ""),
    });
    let reply = send(&fleet, "/gloss/a", "empty").await;
    assert_eq!((reply.text(), reply.body.is_whole), (events(1..=2), false));
}

/// Guards against a whole stream that is taken for one that stopped inside an event since a further blank
/// line arrived by itself.
#[tokio::test]
async fn a_blank_line_at_the_end_of_a_stream_is_no_event() {
    let fleet = fleet(1).await;
    for (number, blank) in ["\n", "\r\n", "\n\n\n"].into_iter().enumerate() {
        set_engines(&fleet, move |req| {
            let mut script = pieces(req.id(), [&*events(1..=5), blank], last_chunk());
            script.steps.insert(2, Step::Pause(PAUSE));
            script
        });
        for target in ["/chat/a", "/gloss/a"] {
            let id = format!("blank{number}{}", &target[1..2]);
            let reply = send(&fleet, target, &id).await;
            let expected = events(1..=5) + blank;
            assert_eq!((reply.text(), reply.body.is_whole), (expected, true), "{id}");
            assert_eq!(run_count(&fleet, &id), 1, "{id}");
        }
    }
}

/// Guards against a stream that is cut since an engine which has just gone on with it counts as silent for
/// the time in which it prepared that.
#[tokio::test]
async fn an_engine_that_takes_long_to_go_on_is_not_abandoned_at_once() {
    let mut configuration = TestConfiguration::default();
    let route = configuration.route_mut("/gloss/");
    route["max_attempts"] = json!(3);
    route["target_latency_ms"] = json!(50);
    route["target_gap_ms"] = json!(50);
    let fleet = fleet_with(1, configuration, &json!({})).await;
    set_engines(&fleet, |req| match last_event(req) {
        None => pieces(req.id(), [&*events(1..=2)], Step::Reset),
        Some(last) => {
            let mut script = rest(req, last);
            script.steps.insert(1, Step::Pause(PAUSE));
            script.steps.insert(0, Step::Pause(20 * PAUSE));
            script
        }
    });
    let reply = send(&fleet, "/gloss/a", "slow").await;
    assert_eq!((reply.text(), reply.body.is_whole), (events(1..=5), true));
    assert_eq!(run_count(&fleet, "slow"), 2);
}
