//! Plays troubles to a fleet that forwards streams, and tests that the check reports each way in which
//! a stream can go wrong.

use std::time::Duration;

use teaselworks_standin::router::Program;
use teaselworks_standin::stream_fleet::{
    Content, Event, StreamRecord, StreamRoute, StreamSettings, Trouble, Try, Way, Writer,
    run_streams,
};

/// Troubles that overlap: each lasts longer than the time until the next one.
const TROUBLES: [Trouble; 10] = [
    Trouble::SplitRoute,
    Trouble::ResetCallers,
    Trouble::MoveRoute,
    Trouble::ResetCallers,
    Trouble::CrashEngines,
    Trouble::KillSixth,
    Trouble::ResetCallers,
    Trouble::ReleaseAll,
    Trouble::KillSixth,
    Trouble::ResetCallers,
];

/// Guards against streams that callers take up at another router and that go on at another service or
/// software version.
#[tokio::test]
async fn resumed_streams_are_not_joined_from_two_services_or_versions() {
    let program =
        Program { path: env!("CARGO_BIN_EXE_streams").into(), arguments: vec!["router".into()] };
    let settings = StreamSettings {
        seed: 1,
        routers: 7,
        engines: 12,
        streams_per_s: 20.0,
        duration: Duration::from_secs(15),
        troubles: TROUBLES.to_vec(),
        trouble_interval: Duration::from_millis(1_200),
    };
    let report = run_streams(&program, &settings).await.expect("the run could be played");
    assert!(report.wrong_streams().is_empty(), "{report}");
    // A fleet that refuses every resumption joins nothing.
    assert!(report.streams.iter().any(StreamRecord::went_on), "{report}");
    let complete = report.streams.iter().filter(|stream| stream.is_complete()).count();
    assert!(complete * 2 > report.streams.len(), "{report}");
}

/// Returns an event of a run that has the same number as its engine's.
fn event(number: u32, run: u64, service: &str, version: &str) -> Event {
    let writer = Writer {
        stream: "s1".into(),
        run,
        engine: format!("i-{run}"),
        service: service.into(),
        version: version.into(),
    };
    Event { number, writer }
}

/// Returns the record of a stream of four events whose first try broke off, and whose second try ended
/// as complete.
fn record(route: StreamRoute, first: Vec<Event>, second: Vec<Event>) -> StreamRecord {
    let one = |events: Vec<Event>, last_event: u32, is_whole: bool| Try {
        request: format!("s1-{last_event}"),
        router: 0,
        sent_s: 0.0,
        ended_s: 1.0,
        status: 200,
        last_event,
        events,
        is_whole,
        rest_bytes: 0,
        is_left: false,
    };
    let last_event = first.last().map_or(0, |event| event.number);
    let tries = vec![one(first, 0, false), one(second, last_event, true)];
    let content = Content { stream: "s1".into(), route, event_count: 4, prompt: 0 };
    StreamRecord { content, tries }
}

/// Guards against a check that takes a wrong stream for the one that was requested.
#[test]
fn each_way_of_a_wrong_stream_is_reported() {
    let route = StreamRoute::EventBrief;
    let events = |numbers: &[u32], run: u64| -> Vec<Event> {
        numbers.iter().map(|number| event(*number, run, "a", "v1")).collect()
    };
    let sound = record(route, events(&[1, 2], 1), events(&[3, 4], 2));
    assert_eq!(sound.ways(), []);
    let versions = vec![event(3, 2, "a", "v2"), event(4, 2, "a", "v2")];
    assert_eq!(record(route, events(&[1, 2], 1), versions).ways(), [Way::TwoVersions]);
    let services = vec![event(3, 2, "b", "v1"), event(4, 2, "b", "v1")];
    assert_eq!(record(route, events(&[1, 2], 1), services).ways(), [Way::TwoServices]);
    let runs = record(StreamRoute::FanAnswer, events(&[1, 2], 1), events(&[3, 4], 2));
    assert_eq!(runs.ways(), [Way::TwoRuns]);
    let cases: [(&[u32], Way); 4] = [
        (&[4], Way::Missing),
        (&[2, 3, 4], Way::Repeated),
        (&[1, 2, 3, 4], Way::WentBack),
        (&[3], Way::EndedEarly),
    ];
    for (numbers, way) in cases {
        assert_eq!(record(route, events(&[1, 2], 1), events(numbers, 2)).ways(), [way]);
    }
    let late_start = record(route, events(&[2], 1), events(&[3, 4], 1));
    assert_eq!(late_start.ways(), [Way::Missing]);
    let too_long = record(route, events(&[1, 2], 1), events(&[3, 4, 5], 2));
    assert_eq!(too_long.ways(), [Way::EndedWrong]);
    let mut with_rest = sound.clone();
    with_rest.tries[1].rest_bytes = 7;
    assert_eq!(with_rest.ways(), [Way::EndedWrong]);
    let mut foreign = sound;
    foreign.tries[1].events[0].writer.stream = "s2".into();
    assert_eq!(foreign.ways(), [Way::Foreign]);
}
