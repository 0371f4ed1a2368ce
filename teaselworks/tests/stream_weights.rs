//! Streams that are resumed at engines with other weights, or through another router.

mod common;

use std::time::Duration;

use common::pieces::{WHOLE, events, last_chunk, last_event, pieces, rest, send, set_engines};
use common::{chat, fleet, program};
use futures_util::future::join_all;
use serde_json::json;
use teaselworks_standin::caller::Connection;
use teaselworks_standin::configuration::{CHAT_SERVICE, TestConfiguration};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::links::Partition;
use teaselworks_standin::upstream::{ReceivedRequest, Script, Step, Upstream, event};

/// Returns a stream of an engine whose weights have this version.
fn weighted(req: &ReceivedRequest, version: u32, script: Script) -> Script {
    let expected = req.head.header("x-expect-version");
    if expected.is_some_and(|expected| expected != version.to_string()) {
        return Script::misdirected(req, "");
    }
    script.with_header(&format!("x-weight-versions: {version}"))
}

/// Guards against pieces of two weight versions that are joined without the line that says so, since an
/// engine with other weights goes on with a stream.
#[tokio::test]
async fn a_stream_goes_on_only_with_the_weights_that_wrote_it() {
    let fleet = fleet(1).await;
    // Version that begins, version of the last event before the break, version that would go on.
    let cases = [(1, 1, 1), (1, 1, 2), (1, 2, 2), (1, 2, 1)];
    for (number, (first, last, next)) in cases.into_iter().enumerate() {
        set_engines(&fleet, move |req| match last_event(req) {
            None => {
                let change = match last {
                    last if last == first => event(2),
                    last => format!("x-weight-versions: {last}\n{}", event(2)),
                };
                weighted(req, first, pieces(req.id(), [&*event(1), &change], Step::Reset))
            }
            Some(after) => weighted(req, next, rest(req, after)),
        });
        let reply = send(&fleet, "/gloss/a", &format!("weights{number}")).await;
        let expected = if last == next { WHOLE.to_vec() } else { vec![1, 2] };
        assert_eq!((reply.events(), reply.body.is_whole), (expected, last == next), "{number}");
    }
}

/// Guards against an engine that counts as failed since its weights are not those that began a stream.
#[tokio::test]
async fn an_engine_with_other_weights_is_not_ejected() {
    let fleet = fleet(1).await;
    set_engines(&fleet, |req| match last_event(req) {
        None => weighted(req, 1, pieces(req.id(), [&*events(1..=2)], Step::Reset)),
        Some(after) => weighted(req, 2, rest(req, after)),
    });
    for number in 0..2 {
        let reply = send(&fleet, "/gloss/a", &format!("other{number}")).await;
        assert_eq!((reply.events(), reply.body.is_whole), (vec![1, 2], false), "{number}");
    }
    let router = &fleet.routers[0];
    let resumed = router.wait_for_events("stream_resumed", 4).await.unwrap();
    let ejected = router.events("upstream_ejected");
    let moved: Vec<_> = resumed.iter().filter(|line| line["cause"] == "moved").collect();
    assert_eq!(moved.len(), 2, "{resumed:?}");
    for line in moved {
        let is_ejected = ejected.iter().any(|other| other["upstream"] == line["to_upstream"]);
        assert!(!is_ejected, "{ejected:?}");
    }
}

/// Guards against pieces of two weight versions that are joined since an engine goes on with other weights
/// than it was told to, and against a stream that stops since its engines name no version.
#[tokio::test]
async fn a_run_that_states_other_weights_is_not_joined() {
    let fleet = fleet(1).await;
    let cases = [(Some(1), Some(2), false), (None, Some(2), true), (Some(1), None, true)];
    for (number, (first, next, is_joined)) in cases.into_iter().enumerate() {
        set_engines(&fleet, move |req| {
            let (version, script) = match last_event(req) {
                None => (first, pieces(req.id(), [&*events(1..=2)], Step::Reset)),
                Some(after) => (next, rest(req, after)),
            };
            match version {
                Some(version) => script.with_header(&format!("x-weight-versions: {version}")),
                None => script,
            }
        });
        let reply = send(&fleet, "/gloss/a", &format!("states{number}")).await;
        let expected = if is_joined { WHOLE.to_vec() } else { vec![1, 2] };
        assert_eq!((reply.events(), reply.body.is_whole), (expected, is_joined), "{number}");
    }
}

/// Guards against pieces that come twice, or that other weights wrote, since another router forwards the
/// rest of a stream.
#[tokio::test]
async fn the_rest_of_a_stream_that_another_router_forwards_is_checked_too() {
    const STREAMS: usize = 12;
    let mut configuration = TestConfiguration::default();
    configuration.route_mut("/gloss/")["max_attempts"] = json!(2);
    let started = Fleet::start_linked(program(), 2, configuration, &json!({})).await;
    let mut fleet = started.unwrap();
    // As many engines as it takes failed connections to find out that the link is lost.
    for number in 3..=4 {
        let engine = Upstream::start(&format!("engine-{number}"), Script::rejected).unwrap();
        fleet.add_links(engine.address()).unwrap();
        fleet.put_entry(&engine, CHAT_SERVICE, "ready");
        fleet.engines.push(engine);
    }
    fleet.routers[1].wait_for_events("upstream_serving", 6).await.unwrap();
    fleet.routers[0].wait_for_events("upstream_serving", 6).await.unwrap();
    set_engines(&fleet, |req| match last_event(req) {
        None => weighted(req, 1, pieces(req.id(), [&*events(1..=2)], Step::Silence)),
        Some(_) if req.id().ends_with('1') => {
            weighted(req, 1, pieces(req.id(), [&*events(1..=5)], last_chunk()))
        }
        Some(after) if req.id().ends_with('2') => weighted(req, 2, rest(req, after)),
        Some(after) => weighted(req, 1, rest(req, after)),
    });
    let address = fleet.routers[0].callers_address();
    let begun = (0..STREAMS).map(async |number| {
        let id = format!("s{number}-{}", number % 3);
        let mut caller = Connection::open(address).await.unwrap();
        caller.send(&chat("/gloss/a", &id, number as u64)).await.unwrap();
        (id, caller)
    });
    let mut callers = join_all(begun).await;
    fleet.routers[0].wait_for_events("request_placed", STREAMS).await.unwrap();
    // Time for the events before the silence.
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.links[0].partition(Partition::Resetting);
    let replies = callers.iter_mut().map(async |(id, caller)| {
        let reply = caller.read_reply().await.unwrap().unwrap();
        (id.clone(), reply)
    });
    let replies = join_all(replies).await;
    for (id, reply) in &replies {
        let expected = if reply.body.is_whole { WHOLE.to_vec() } else { vec![1, 2] };
        assert_eq!(reply.events(), expected, "{id}");
        assert!(id.ends_with('0') || !reply.body.is_whole, "{id}");
    }
    let received = fleet.engines.iter().flat_map(|engine| engine.received_requests());
    let resumed: Vec<_> = received.filter(|req| last_event(req).is_some()).collect();
    assert!(!resumed.is_empty(), "no stream was resumed");
    for req in resumed {
        assert_eq!(req.head.header("x-expect-version"), Some("1"), "{}", req.id());
    }
    let forwarded = fleet.routers[0].wait_for_events("detour_taken", 1).await.unwrap();
    assert!(forwarded.iter().any(|line| line["service"] == CHAT_SERVICE));
}
