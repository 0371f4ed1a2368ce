//! What the platform writes, well-formed or not.

use proptest::prelude::*;
use serde_json::json;
use teaselworks::platform::{Belief, Item, decode};
use teaselworks_policy::configuration::{Configuration, Kind};
use teaselworks_policy::upstream::Upstream;

fn item(key: &str, value: &[u8]) -> Item {
    Item { key: key.into(), value: value.to_vec().into(), revision: 1 }
}

fn configuration(value: &serde_json::Value) -> Configuration {
    match decode(&item("op/config", value.to_string().as_bytes())).unwrap() {
        Belief::Configuration(configuration) => *configuration,
        belief => panic!("{belief:?}"),
    }
}

fn upstream(value: &serde_json::Value) -> Upstream {
    match decode(&item("servers/i-7", value.to_string().as_bytes())).unwrap() {
        Belief::Upstream(upstream) => upstream,
        belief => panic!("{belief:?}"),
    }
}

#[test]
fn a_configuration_is_read_with_splits_and_unknown_fields() {
    let configuration = configuration(&json!({
        "version": 7,
        "later": { "field": true },
        "routes": [{
            "name": "r", "host": "h", "prefix": "/p/", "kind": "streaming", "timeout_ms": 1500.5,
            "target_latency_ms": 400, "priority": 2, "max_attempts": 0, "sticky": true,
            "resumable": true,
            "traffic_split": [{ "service": "a", "weight": 90 }, { "service": "b", "weight": 10 }]
        }],
        "services": [{ "name": "a", "connection_limit": 300, "engine": { "slots": 48, "kv_capacity": 7e5, "moves": true } }, { "name": "b" }],
        "tenants": [{ "name": "choir", "api_keys": ["k1", "k2"], "priority": 1 }]
    }));
    assert_eq!(configuration.version, 7);
    let route = configuration.routes.find("h", "/p/x").unwrap();
    assert_eq!((route.kind, route.max_attempts), (Kind::Stream, 1));
    assert_eq!(route.timeout.as_micros(), 1_500_500);
    let to_b =
        (0..1_000).filter(|id| &*route.service_for(&format!("{id}")).unwrap() == "b").count();
    assert!((50..200).contains(&to_b), "{to_b}");
    assert_eq!(configuration.workspaces.find("k2").unwrap().priority, Some(1));
    assert!(configuration.services["a"].copies_prompts);
    assert!(!configuration.services["b"].copies_prompts);
}

/// Symptom: what must run once runs twice. Sequence: a later platform has a kind of route that this
/// router does not know. Cause: an unknown kind is taken for the most lenient one.
#[test]
fn an_unknown_kind_is_carried_at_most_once() {
    let configuration = configuration(&json!({
        "version": 1,
        "routes": [{ "name": "r", "host": "h", "prefix": "/", "kind": "new", "timeout_ms": 1, "service": "a" }]
    }));
    assert!(!configuration.routes.find("h", "/x").unwrap().may_repeat());
    assert!(!configuration.workspaces.is_required());
}

#[test]
fn only_a_replica_that_says_it_is_ready_takes_requests() {
    let value = |state: &str| json!({ "service": "a", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": state });
    assert!(!upstream(&value("ready")).is_draining);
    assert!(upstream(&value("draining")).is_draining);
    assert!(upstream(&value("of a later version")).is_draining);
    assert_eq!(&*upstream(&value("ready")).id, "i-7");
}

proptest! {
    /// Symptom: a router ends on a value that somebody wrote.
    #[test]
    fn no_value_ends_the_router(
        key in prop::sample::select(vec!["op/config", "servers/i-1", "routers/a", "else"]),
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let _ = decode(&item(key, &bytes));
    }

    #[test]
    fn no_json_ends_the_router(
        version in any::<f64>(),
        timeout in any::<f64>(),
        priority in any::<f64>(),
        text in ".{0,12}",
    ) {
        let value = json!({
            "version": version,
            "routes": [{
                "name": text, "host": text, "prefix": text, "kind": text, "timeout_ms": timeout,
                "priority": priority, "max_attempts": priority, "service": text
            }],
            "tenants": [{ "name": text, "api_keys": [text], "priority": priority }]
        });
        let _ = decode(&item("op/config", value.to_string().as_bytes()));
        let upstream = json!({ "service": text, "address": text, "zone": text, "slots": version, "state": text });
        let _ = decode(&item("servers/i-1", upstream.to_string().as_bytes()));
    }
}
