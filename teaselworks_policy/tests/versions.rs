//! Which software versions begin streams, and where a stream of unknown origin must have begun.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::configuration::{Configuration, Kind, Route, Routes, Target};
use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::origin_memory::RecordedOrigins;
use teaselworks_policy::placement::PlacementRequest;
use teaselworks_policy::retry::BudgetSettings;
use teaselworks_policy::shares::{Admission, SharesSettings};
use teaselworks_policy::upstream::{Change, ColdSettings, Upstream};

const SERVICE: &str = "chat";
const MAX_STALENESS: Duration = Duration::from_secs(2);
/// Time for which a version must be known before it begins streams.
const SETTLING: Duration = Duration::from_secs(4);
/// Age of the list of upstreams up to which it tells where a stream began.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);
const START: Duration = Duration::from_secs(1_000);

fn fleet() -> Fleet {
    let cold = ColdSettings { overshoot: 1.0, slack: 0.0 };
    let budget = BudgetSettings { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    let settings = FleetSettings {
        load_factor: 2.0,
        cold,
        budget,
        shares: SharesSettings::default(),
        max_staleness: MAX_STALENESS,
    };
    let mut fleet = Fleet::new(settings, Membership::new("a".into(), Vec::new()), 1);
    fleet.origin_memory.on_first_start();
    let route = Route::example(Kind::Stream, "/gloss/");
    let target = Target { service: SERVICE.into(), weight: 1 };
    let routes = Routes::new([Route { targets: vec![target], ..route }]);
    fleet.set_configuration(Duration::ZERO, Configuration { routes, ..Configuration::default() });
    fleet.on_list_confirmed(START);
    fleet.on_recorded_origins(1, Some(RecordedOrigins::default()));
    fleet
}

fn list(fleet: &mut Fleet, now: Duration, id: &str, version: &str) {
    let upstream = Upstream { version: version.into(), ..Upstream::example(id, SERVICE) };
    fleet.apply(now, &Change::Serving(upstream));
    fleet.on_list_confirmed(now);
}

/// Returns the version at which a new stream begins.
fn begin(fleet: &mut Fleet, now: Duration) -> Arc<str> {
    let second = Duration::from_secs(1);
    let request = PlacementRequest {
        prompt: None,
        zone: "a",
        tried: &[],
        version: None,
        begins_stream: true,
        remaining: second,
        max_retry_after: second,
        has_started: false,
        is_late: false,
        class: None,
        admission: Admission::Normal,
    };
    let placement = fleet.place(now, SERVICE, &request).unwrap();
    placement.upstream.version.clone()
}

fn sole_version(fleet: &mut Fleet, now: Duration) -> Option<Arc<str>> {
    fleet.sole_origin(now, "host", "/gloss/x").map(|origin| origin.version)
}

/// Guards against streams of a version that a router whose list is current may not know: none begins
/// before that router's list is too old to tell where streams began.
#[test]
fn a_version_begins_no_streams_while_another_router_may_not_know_it() {
    let (mut ahead, mut behind) = (fleet(), fleet());
    for fleet in [&mut ahead, &mut behind] {
        list(fleet, START, "i-1", "v1");
    }
    let released_at = START + Duration::from_secs(60);
    for second in 0..=60 {
        behind.on_list_confirmed(START + Duration::from_secs(second));
    }
    list(&mut ahead, released_at, "i-2", "v2");
    let mut has_begun = false;
    for tick in 0..1_000 {
        let now = released_at + Duration::from_millis(10) * tick;
        has_begun |= &*begin(&mut ahead, now) == "v2";
        let is_taken_for_v1 = sole_version(&mut behind, now).is_some();
        assert!(!(has_begun && is_taken_for_v1), "{:?} after the release", now - released_at);
    }
    assert!(has_begun);
    assert!(SETTLING > MAX_LIST_AGE);
}

/// Guards against a service that begins no streams because its only version is new.
#[test]
fn the_only_version_begins_streams_at_once() {
    let mut fleet = fleet();
    list(&mut fleet, START, "i-1", "v1");
    assert_eq!(&*begin(&mut fleet, START), "v1");
    assert_eq!(sole_version(&mut fleet, START).as_deref(), Some("v1"));
}

/// Guards against a service that begins no streams because the replicas of the earlier version leave
/// before the new one is settled.
#[test]
fn a_new_version_begins_streams_when_no_other_takes_requests() {
    let mut fleet = fleet();
    list(&mut fleet, START, "i-1", "v1");
    let released_at = START + SETTLING;
    list(&mut fleet, released_at, "i-2", "v2");
    assert_eq!(&*begin(&mut fleet, released_at), "v1");
    fleet.apply(released_at, &Change::Draining("i-1".into()));
    let later = released_at + Duration::from_millis(200);
    assert_eq!(&*begin(&mut fleet, later), "v2");
}

/// Guards against a router that has just started and takes a version that has just joined for an old
/// one.
#[test]
fn a_router_that_has_just_started_begins_streams_at_the_version_of_most_replicas() {
    let mut fleet = fleet();
    for (id, version) in [("i-1", "v1"), ("i-2", "v2"), ("i-3", "v1")] {
        list(&mut fleet, START, id, version);
    }
    for tick in 0..39 {
        assert_eq!(&*begin(&mut fleet, START + Duration::from_millis(100) * tick), "v1");
    }
}

/// Guards against a stream that is taken for one of the new version although the earlier one was
/// there a moment ago and began it.
#[test]
fn a_version_that_is_gone_may_have_begun_streams_for_a_minute() {
    let mut fleet = fleet();
    list(&mut fleet, START, "i-1", "v1");
    list(&mut fleet, START, "i-2", "v2");
    let gone_at = START + Duration::from_secs(60);
    fleet.apply(gone_at, &Change::Gone("i-1".into()));
    for second in 0..60 {
        let now = gone_at + Duration::from_secs(second);
        fleet.on_list_confirmed(now);
        assert_eq!(sole_version(&mut fleet, now), None, "{second} s");
    }
    let later = gone_at + Duration::from_secs(61);
    fleet.on_list_confirmed(later);
    assert_eq!(sole_version(&mut fleet, later).as_deref(), Some("v2"));
}

/// Guards against a router that has lost the store and guesses by an outdated list.
#[test]
fn an_outdated_list_tells_no_origin() {
    let mut fleet = fleet();
    list(&mut fleet, START, "i-1", "v1");
    assert!(sole_version(&mut fleet, START + MAX_LIST_AGE).is_some());
    assert_eq!(sole_version(&mut fleet, START + MAX_LIST_AGE + Duration::from_millis(1)), None);
}
