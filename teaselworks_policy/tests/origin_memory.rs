//! What routers conclude of streams whose origin nobody tells, and the record that they keep for routers
//! that start.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::configuration::{Configuration, Kind, Route, Routes, Target};
use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::origin_memory::{RecordedOrigins, route_fingerprint};
use teaselworks_policy::retry::BudgetSettings;
use teaselworks_policy::shares::SharesSettings;
use teaselworks_policy::upstream::{Change, ColdSettings, Upstream};

const START: Duration = Duration::from_secs(1_000);
const SECOND: Duration = Duration::from_secs(1);
/// Time for which a router must know routes and lists to conclude where streams began.
const MEMORY: Duration = Duration::from_secs(60);
/// Time after which a record drops what nothing shows any more.
const RECORD_RETENTION: Duration = Duration::from_secs(75);

/// Returns a router that has just started, without knowing anything.
fn fleet() -> Fleet {
    let settings = FleetSettings {
        load_factor: 2.0,
        cold: ColdSettings { overshoot: 1.0, slack: 0.0 },
        budget: BudgetSettings { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) },
        shares: SharesSettings::default(),
        max_staleness: Duration::from_secs(2),
    };
    Fleet::new(settings, Membership::new("a".into(), Vec::new()), 1)
}

/// Returns stream routes, each with its prefix and the services that it is split between.
fn routes(streams: &[(&str, &[&str])]) -> Routes {
    Routes::new(streams.iter().map(|(prefix, services)| {
        let target = |service: &&str| Target { service: (*service).into(), weight: 1 };
        let targets = services.iter().map(target).collect();
        Route { targets, ..Route::example(Kind::Stream, prefix) }
    }))
}

fn configure(fleet: &mut Fleet, now: Duration, version: u64, streams: &[(&str, &[&str])]) {
    let routes = routes(streams);
    fleet.set_configuration(now, Configuration { version, routes, ..Configuration::default() });
}

fn list(fleet: &mut Fleet, now: Duration, id: &str, version: &str) {
    let upstream = Upstream { version: version.into(), ..Upstream::example(id, "chat") };
    fleet.apply(now, &Change::Serving(upstream));
}

/// Confirms the list each second from `from` to `to`.
fn confirm(fleet: &mut Fleet, from: Duration, to: Duration) {
    for second in 0..=(to - from).as_secs() {
        fleet.on_list_confirmed(from + SECOND * second as u32);
    }
}

fn record(versions: &[&str], streams: &[(&str, &[&str])]) -> RecordedOrigins {
    let versions: BTreeSet<Arc<str>> = versions.iter().map(|version| (*version).into()).collect();
    RecordedOrigins {
        routes: [route_fingerprint(&routes(streams))].into(),
        versions: [("chat".into(), versions)].into(),
    }
}

/// Returns a router that has read the store: one route, one version, and `recorded`.
fn started(recorded: Option<RecordedOrigins>) -> Fleet {
    let mut fleet = fleet();
    configure(&mut fleet, START, 1, &[("/gloss/", &["chat"])]);
    fleet.on_recorded_origins(1, recorded);
    list(&mut fleet, START, "i-1", "v1");
    fleet.on_list_confirmed(START);
    fleet
}

fn tells(fleet: &mut Fleet, now: Duration) -> bool {
    fleet.sole_origin(now, "host", "/gloss/x").is_some()
}

/// Guards against a router that takes what it has seen since its start for all that there was.
#[test]
fn a_router_without_memory_or_record_tells_no_origin_for_a_minute() {
    let mut fleet = started(None);
    confirm(&mut fleet, START, START + MEMORY);
    assert!(!tells(&mut fleet, START + MEMORY - SECOND));
    assert!(tells(&mut fleet, START + MEMORY));
}

/// Guards against refusals after a restart where the record shows that there is nothing to join, and
/// against joined streams where it shows more than the list does.
#[test]
fn a_router_that_has_just_started_goes_by_the_record() {
    let streams: &[(&str, &[&str])] = &[("/gloss/", &["chat"])];
    assert!(tells(&mut started(Some(record(&["v1"], streams))), START));
    assert!(!tells(&mut started(Some(record(&["v0", "v1"], streams))), START));
    assert!(!tells(&mut started(Some(record(&["v0"], streams))), START));
    let moved: &[(&str, &[&str])] = &[("/gloss/", &["other"])];
    assert!(!tells(&mut started(Some(record(&["v1"], moved))), START));
    assert!(!tells(&mut started(Some(RecordedOrigins::default())), START), "an unreadable record");
}

/// Guards against a first start that is taken for a restart, and a restart that is taken for the first.
#[test]
fn a_first_start_needs_no_record_and_is_disproved_by_one() {
    for (recorded, expected) in [(None, true), (Some(RecordedOrigins::default()), false)] {
        let mut fleet = fleet();
        fleet.origin_memory.on_first_start();
        configure(&mut fleet, START, 1, &[("/gloss/", &["chat"])]);
        fleet.on_recorded_origins(1, recorded);
        list(&mut fleet, START, "i-1", "v1");
        fleet.on_list_confirmed(START);
        assert!(!tells(&mut fleet, START), "the first record is not written yet");
        fleet.on_recorded_origins(2, Some(RecordedOrigins::default()));
        assert_eq!(tells(&mut fleet, START), expected);
    }
}

/// Guards against refusals in a fleet that starts on an empty store without being told so, and against a
/// router that takes a store with a record, or a later list, for that of a first start.
#[test]
fn an_empty_store_is_a_first_start() {
    let first_record = Some(RecordedOrigins::default());
    for (recorded, has_read_list, expected) in
        [(None, false, true), (None, true, false), (first_record.clone(), false, false)]
    {
        let mut fleet = fleet();
        configure(&mut fleet, START, 1, &[("/gloss/", &["chat"])]);
        fleet.on_recorded_origins(1, recorded);
        if has_read_list {
            fleet.on_list_confirmed(START);
        }
        fleet.on_no_routers_listed();
        list(&mut fleet, START, "i-1", "v1");
        fleet.on_list_confirmed(START);
        fleet.on_recorded_origins(2, first_record.clone());
        assert_eq!(tells(&mut fleet, START), expected);
    }
}

/// Guards against a router whose list had lapsed and that did not see a version come and go.
#[test]
fn a_gap_in_the_list_ends_what_a_router_remembers() {
    let mut fleet = started(None);
    confirm(&mut fleet, START, START + MEMORY);
    assert!(tells(&mut fleet, START + MEMORY));
    let back_at = START + MEMORY + SECOND * 10;
    fleet.on_list_confirmed(back_at);
    assert!(!tells(&mut fleet, back_at));
    fleet.on_recorded_origins(1, Some(record(&["v1"], &[("/gloss/", &["chat"])])));
    assert!(tells(&mut fleet, back_at));
    fleet.on_recorded_origins(1, Some(record(&["v1", "v2"], &[("/gloss/", &["chat"])])));
    assert!(!tells(&mut fleet, back_at));
}

/// Guards against a stream that goes on at the other service of its route, or at the service to which the
/// route was moved.
#[test]
fn a_route_that_is_or_was_split_tells_no_origin() {
    let mut fleet = started(None);
    let later = START + MEMORY;
    confirm(&mut fleet, START, later);
    configure(&mut fleet, later, 2, &[("/gloss/", &["chat", "other"])]);
    assert!(!tells(&mut fleet, later), "split");
    configure(&mut fleet, later, 3, &[("/gloss/", &["chat"])]);
    assert!(!tells(&mut fleet, later), "split before");
    confirm(&mut fleet, later, later + MEMORY);
    assert!(tells(&mut fleet, later + MEMORY));
    let added_at = later + MEMORY;
    configure(&mut fleet, added_at, 4, &[("/gloss/", &["other"]), ("/gloss/x", &["chat"])]);
    assert!(!tells(&mut fleet, added_at), "a route with a longer prefix was added");
}

/// Guards against a record that lacks a version at which streams begin, and one that forgets a version
/// whose streams are resumed.
#[test]
fn the_record_has_all_versions_for_as_long_as_streams_are_resumed() {
    let streams: &[(&str, &[&str])] = &[("/gloss/", &["chat"])];
    let mut fleet = started(Some(record(&["v1"], streams)));
    assert_eq!(fleet.missing_origin_record(START), None);
    list(&mut fleet, START, "i-2", "v2");
    let both = record(&["v1", "v2"], streams);
    assert_eq!(fleet.missing_origin_record(START), Some(both.clone()));
    fleet.on_recorded_origins(1, Some(both));
    fleet.apply(START, &Change::Gone("i-1".into()));
    confirm(&mut fleet, START, START + RECORD_RETENTION);
    assert_eq!(fleet.missing_origin_record(START + RECORD_RETENTION - SECOND), None);
    let left = fleet.missing_origin_record(START + RECORD_RETENTION);
    assert_eq!(left, Some(record(&["v2"], streams)));
}

/// Guards against a router without memory that takes from the record what only others know, or begins one
/// that has not all.
#[test]
fn a_router_without_memory_only_adds_to_the_record() {
    let streams: &[(&str, &[&str])] = &[("/gloss/", &["chat"])];
    let mut fleet = started(Some(record(&["v0"], streams)));
    assert_eq!(fleet.missing_origin_record(START), Some(record(&["v0", "v1"], streams)));
    let mut fleet = started(None);
    assert_eq!(fleet.missing_origin_record(START), None);
    confirm(&mut fleet, START, START + MEMORY);
    assert_eq!(fleet.missing_origin_record(START + MEMORY), Some(record(&["v1"], streams)));
}

/// Guards against a memory of routes that grows without bound, and one that forgets in silence.
#[test]
fn many_replaced_routes_end_what_a_router_remembers() {
    let mut fleet = started(None);
    confirm(&mut fleet, START, START + MEMORY);
    let names: Vec<String> = (0..600).map(|number| format!("/r{number}/")).collect();
    let mut many: Vec<(&str, &[&str])> =
        names.iter().map(|name| (name.as_str(), ["chat"].as_slice())).collect();
    many.push(("/gloss/", &["chat"]));
    configure(&mut fleet, START + MEMORY, 2, &many);
    assert!(tells(&mut fleet, START + MEMORY));
    configure(&mut fleet, START + MEMORY, 3, &[("/gloss/", &["chat"])]);
    assert!(!tells(&mut fleet, START + MEMORY));
}
