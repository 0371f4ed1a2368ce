//! What the platform writes, well-formed or not.

use std::time::{Duration, SystemTime};

use proptest::prelude::*;
use serde_json::{Value, json};
use teaselworks::discovery::StoreUpdate;
use teaselworks::peers::message::{self, PackedObservations, PeerQuery, PeerResponse};
use teaselworks::platform::{Belief, Item, ItemChange, decode};
use teaselworks_policy::configuration::{Configuration, Kind};
use teaselworks_policy::upstream::{SharedLoad, SharedObservations, Upstream};

fn item(key: &str, value: &[u8]) -> Item {
    Item { key: key.into(), value: Some(value.to_vec().into()), revision: 1 }
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

/// Guards against a second run on a route of a kind that this router does not know.
#[test]
fn an_unknown_kind_is_carried_at_most_once() {
    let configuration = configuration(&json!({
        "version": 1,
        "routes": [{ "name": "r", "host": "h", "prefix": "/", "kind": "new", "timeout_ms": 1, "service": "a" }]
    }));
    assert!(!configuration.routes.find("h", "/x").unwrap().may_repeat());
    assert!(!configuration.workspaces.is_required());
}

fn entry() -> Value {
    json!({
        "service": "a", "address": "10.0.0.1:80", "zone": "z", "version": "v1", "slots": 4,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 7, "born": 1_700_000_000_123_u64
    })
}

fn with(field: &str, value: Value) -> Value {
    let mut entry = entry();
    entry[field] = value;
    entry
}

fn names_a_replica(value: &Value) -> bool {
    decode(&item("servers/i-7", value.to_string().as_bytes())).is_ok()
}

#[test]
fn an_entry_names_a_replica_and_when_it_started() {
    let ready = upstream(&entry());
    assert_eq!((&*ready.id, ready.is_draining), ("i-7", false));
    let started = SystemTime::UNIX_EPOCH + Duration::from_millis(1_700_000_000_123);
    assert_eq!(ready.started, Some(started));
    assert!(upstream(&with("state", json!("draining"))).is_draining);
    let mut earlier = entry();
    earlier.as_object_mut().unwrap().remove("born");
    assert_eq!(upstream(&earlier).started, None);
}

/// Guards against requests to what an entry of another writer seems to name.
#[test]
fn an_entry_that_lacks_a_field_or_has_another_type_names_no_replica() {
    let others = [json!(null), json!({}), json!([1]), json!(true), json!("text"), json!(-1.5e300)];
    for field in entry().as_object().unwrap().keys() {
        let mut entry = entry();
        let known = entry.as_object_mut().unwrap().remove(field).unwrap();
        assert!(field == "born" || !names_a_replica(&entry), "without {field}");
        for other in &others {
            let is_same_type = known.is_string() && other.is_string() && field != "address";
            let is_number = field != "born" && known.is_number() && other.is_number();
            if !(is_number || is_same_type && field != "state") {
                assert!(!names_a_replica(&with(field, other.clone())), "{field}: {other}");
            }
        }
    }
    for born in [json!(1.5), json!("1700000000123"), json!(-1)] {
        assert!(!names_a_replica(&with("born", born)));
    }
    for state in ["of a later version", "Ready", ""] {
        assert!(!names_a_replica(&with("state", json!(state))));
    }
}

/// Guards against a value of another writer that fills the log.
#[test]
fn a_fault_is_told_in_a_short_line() {
    let long = with("state", json!("x".repeat(100_000)));
    let error = decode(&item("servers/i-7", long.to_string().as_bytes())).unwrap_err();
    assert!(error.to_string().len() < 400);
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 6, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::hash_map("[a-z_]{1,12}", inner, 0..6)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

proptest! {
    /// Guards against a message of another router, cut or garbled, that ends the router.
    #[test]
    fn no_message_ends_the_router(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = message::decode::<PeerResponse>(&bytes);
        let _ = message::decode::<PeerQuery>(&bytes);
    }

    /// Guards against a message that is cut and taken for whole.
    #[test]
    fn a_message_that_is_cut_is_refused(
        value in prop::collection::vec(any::<u8>(), 0..80),
        cut in any::<prop::sample::Index>(),
    ) {
        let changes = vec![ItemChange::Written(item("servers/i-1", &value))];
        let load = SharedLoad { incarnation: 7, total: 3, age: Duration::from_millis(9) };
        let observations = PackedObservations::pack(&SharedObservations { loads: vec![load], ..SharedObservations::default() });
        let answer = PeerResponse { reads_store: true, update: StoreUpdate::Changes(changes), observations };
        let bytes = message::encode(&answer).unwrap();
        prop_assert_eq!(message::decode::<PeerResponse>(&bytes).unwrap().update, answer.update);
        prop_assert!(message::decode::<PeerResponse>(&bytes[..cut.index(bytes.len())]).is_err());
    }

    /// Guards against a field of another writer that ends the router, or names a replica that its
    /// entry does not.
    #[test]
    fn no_field_ends_the_router(
        field in prop::sample::select(vec![
            "service", "address", "zone", "version", "slots", "state", "cold_remaining_ms",
            "sequence", "born", "stage", "models", "version", "routes", "tenants", "limits",
        ]),
        value in any_json(),
    ) {
        if let Ok(Belief::Upstream(upstream)) =
            decode(&item("servers/i-7", with(field, value.clone()).to_string().as_bytes()))
        {
            prop_assert_eq!(&*upstream.id, "i-7");
        }
        let configuration = json!({ "version": 1, field: value });
        let _ = decode(&item("op/config", configuration.to_string().as_bytes()));
    }

    /// Guards against a router that ends on a value that somebody wrote.
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
