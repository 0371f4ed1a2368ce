//! Entries in the store that another writer left and that no router can use.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::endless::peak_memory_kb;
use common::{fleet, program, request};
use serde_json::{Value, json};
use teaselworks::platform::{ItemChange, Store, WatchResult};
use teaselworks_standin::caller::call;
use teaselworks_standin::configuration::{ARCHIVE_SERVICE, CHAT_SERVICE};
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::router::Router;
use teaselworks_standin::store::Mode;
use teaselworks_standin::upstream::{ReceivedRequest, Script, Step, Upstream, raw_response};

/// Levels of the values that are nested.
const LEVELS: usize = 200_000;
/// Size of the largest value that the store takes.
const LARGEST_VALUE_BYTES: usize = 1 << 20;
/// Number of such values that are written at once.
const LARGE_VALUES: usize = 16;
/// Largest memory that a router may use to read them: two responses of the store, each in a buffer that
/// doubles when it grows.
const MAX_MEMORY_KB: u64 = 2 * 2 * (16 << 10);

/// Returns values that no replica, router or operator writes.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |open: &str, close: &str| open.repeat(LEVELS) + "1" + &close.repeat(LEVELS);
    let deep = nested("[", "]");
    let mut texts = vec![
        deep.clone(),
        nested("{\"\":", "}"),
        "[".repeat(LEVELS),
        entry_with("service", &deep),
        entry_with("unknown", &deep),
        entry_with("address", "\"127.0.0.1:65536\""),
        entry_with("address", "\"127.0.0.1:99999999999\""),
        entry_with("address", "\"127.0.0.1:-1\""),
        entry_with("address", "\"127.0.0.1:0\""),
        String::new(),
        "null".to_owned(),
        "\"\\ud800\"".to_owned(),
        "x".repeat(300_000),
    ];
    let numbers = [
        "1e999",
        "-1e999",
        "1e308",
        "-1",
        "4294967295",
        "4294966800",
        "18446744073709551616",
        "0.5",
    ];
    for field in ["slots", "cold_remaining_ms", "sequence", "born"] {
        texts.extend(numbers.map(|number| entry_with(field, number)));
    }
    let mut values: Vec<Vec<u8>> = texts.into_iter().map(String::into_bytes).collect();
    values.push(b"\xff\xfe\x00".to_vec());
    // Arrays, tags, arrays without a length, and lengths beyond any memory, in CBOR.
    for start in [0x81, 0xc1, 0x9f] {
        values.push(vec![start; LEVELS]);
    }
    for start in [0x5b, 0x7b, 0x9b, 0xbb] {
        values.push([vec![start], vec![0xff; 8], vec![0; 16]].concat());
    }
    values.push([b"\xa1\x65peers".to_vec(), vec![0x81; LEVELS]].concat());
    values
}

/// Returns the entry of a replica that does not listen, with another value, as JSON, of one field.
fn entry_with(field: &str, value: &str) -> String {
    let mut fields = vec![
        ("service", format!("\"{ARCHIVE_SERVICE}\"")),
        ("address", "\"127.0.0.1:1\"".to_owned()),
        ("zone", "\"a\"".to_owned()),
        ("version", "\"v1\"".to_owned()),
        ("slots", "8".to_owned()),
        ("state", "\"ready\"".to_owned()),
        ("cold_remaining_ms", "0".to_owned()),
        ("sequence", "4".to_owned()),
    ];
    fields.retain(|(name, _)| *name != field);
    fields.push((field, value.to_owned()));
    let fields: Vec<String> =
        fields.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
    format!("{{{}}}", fields.join(","))
}

/// Returns keys of each kind that routers read, with identifiers that no writer of that kind uses.
fn odd_keys() -> Vec<String> {
    let long = "x".repeat(180);
    let ids = ["", "/", "a/b", "\u{0}", "\r\nx: y", "\"", "%zz", "+1", "-1", "ä 🦔", &long];
    let prefixes =
        ["servers/", "routers/", "op/evacuate/", "blocked-parts/", "ended-requests/", ""];
    let mut keys: Vec<String> = Vec::new();
    for prefix in prefixes {
        keys.extend(ids.map(|id| format!("{prefix}{id}")));
    }
    keys.push("stream-origins".to_owned());
    keys
}

/// Adds a replica and waits until each router has it, and is served by the replicas of before.
async fn assert_followed(fleet: &Fleet, id: &str) -> Upstream {
    let respond = |req: &ReceivedRequest| Script::response(req, 200, "a verse");
    let replica = Upstream::start(id, respond).unwrap();
    fleet.put_entry(&replica, ARCHIVE_SERVICE, "ready");
    for router in &fleet.routers {
        let what = format!("{id} is followed");
        wait_until(&what, async || {
            let serving = router.events("upstream_serving");
            serving.iter().any(|event| event["upstream"] == id)
        })
        .await
        .unwrap();
        let what = format!("requests are answered after {id}");
        wait_until(&what, async || {
            let sent = request("GET", "/read/a", id);
            call(router.callers_address(), &sent).await.is_ok_and(|reply| reply.status() == 200)
        })
        .await
        .unwrap();
    }
    replica
}

/// Waits until a router is ready that starts on what the store holds now.
async fn start_router(fleet: &mut Fleet, name: &str) {
    let seeds: Vec<SocketAddr> = fleet.routers.iter().map(Router::peers_address).collect();
    let router = Router::start(program(), name, fleet.store.address(), &seeds, &json!({})).unwrap();
    router.wait_until_ready().await.unwrap();
    fleet.routers.push(router);
}

/// Guards against routers that end, or no longer follow the store, because of entries of another
/// writer, whether these come while the routers run or before they start.
#[tokio::test]
async fn odd_entries_do_not_stop_routers() {
    let mut fleet = fleet(2).await;
    let (values, keys) = (odd_values(), odd_keys());
    let mut written = Vec::new();
    for (number, value) in values.iter().enumerate() {
        for prefix in ["servers/", "routers/", "ended-requests/f", "other/"] {
            written.push(format!("{prefix}{number}"));
            fleet.store.put(written.last().unwrap(), value);
        }
    }
    for (number, key) in keys.iter().enumerate() {
        written.push(key.clone());
        fleet.store.put(key, &values[number % values.len()]);
    }
    let _during = assert_followed(&fleet, "during").await;
    start_router(&mut fleet, "late").await;
    let _after_start = assert_followed(&fleet, "after-start").await;
    for key in &written {
        fleet.store.remove(key);
    }
    let _after_removal = assert_followed(&fleet, "after-removal").await;
    for router in &fleet.routers {
        assert_eq!(router.events("router_started").len(), 1);
    }
}

/// Guards against a replica that is lost for good because another writer replaced its entry for a
/// while.
#[tokio::test]
async fn replicas_whose_entries_were_replaced_come_back() {
    let fleet = fleet(2).await;
    for value in odd_values() {
        fleet.store.put("servers/engine-1", &value);
        fleet.store.put("servers/service-1", &value);
    }
    let suspended = |router: &Router| router.events("upstream_suspended").len();
    wait_until("the last values are read", async || {
        fleet.routers.iter().all(|router| suspended(router) >= 2)
    })
    .await
    .unwrap();
    fleet.put_entry(&fleet.engines[0], CHAT_SERVICE, "ready");
    fleet.put_entry(&fleet.archives[0], ARCHIVE_SERVICE, "ready");
    for (number, router) in fleet.routers.iter().enumerate() {
        let id = format!("again-{number}");
        wait_until("the replica is used again", async || {
            call(router.callers_address(), &request("GET", "/read/a", &id)).await.unwrap();
            fleet.archives[0].run_count(&id) > 0
        })
        .await
        .unwrap();
    }
}

/// Guards against routers that no longer follow the store, or use ever more memory, because more was
/// written at once than they read in one response.
#[tokio::test]
async fn large_values_written_at_once_do_not_stop_routers() {
    let mut fleet = fleet(1).await;
    fleet.store.set_mode(Mode::Unavailable);
    fleet.routers[0].wait_for_events("store_lost", 1).await.unwrap();
    let value = vec![b'x'; LARGEST_VALUE_BYTES];
    for number in 0..LARGE_VALUES {
        fleet.store.put(&format!("servers/large-{number}"), &value);
    }
    fleet.store.set_mode(Mode::Serving);
    let _during = assert_followed(&fleet, "during").await;
    start_router(&mut fleet, "late").await;
    let _after_start = assert_followed(&fleet, "after-start").await;
    for router in &fleet.routers {
        let peak_kb = peak_memory_kb(router);
        assert!(peak_kb < MAX_MEMORY_KB, "{peak_kb} KB");
    }
}

/// Guards against an item that makes a router refuse the whole response of the store: a key that is not
/// Unicode text, or a value that is not text, is nested too deeply or is a number beyond any type.
#[tokio::test]
async fn an_undecodable_item_hides_no_other_item() {
    let deep = "[".repeat(LEVELS) + &"]".repeat(LEVELS);
    let odd = [
        r#"{"key":"servers/\ud800","value":"e30=","revision":1}"#.to_owned(),
        r#"{"key":"servers/a","value":"\udc00","revision":2}"#.to_owned(),
        r#"{"key":"servers/b","value":1e999,"revision":3}"#.to_owned(),
        format!(r#"{{"key":"servers/c","value":{deep},"revision":4}}"#),
        r#"{"key":7,"value":null,"revision":5}"#.to_owned(),
    ];
    for item in odd {
        let items = format!(r#"[{item},{{"key":"servers/good","value":"e30=","revision":9}}]"#);
        let store = Upstream::start("store", move |req: &ReceivedRequest| {
            let name = if req.target().1.starts_with("/kv-watch") { "events" } else { "items" };
            let body = format!(r#"{{"{name}":{items},"has_more":false,"at":9}}"#);
            Script::new(vec![Step::Write(raw_response("", 200, &body))])
        })
        .unwrap();
        let mut client = Store::new(store.address());
        let snapshot = client.snapshot().await.unwrap();
        let good = snapshot.items.iter().find(|item| &*item.key == "servers/good").unwrap();
        assert_eq!((good.value.as_deref(), snapshot.items.len()), (Some(&b"{}"[..]), 2));
        let WatchResult::Changes(changes) = client.watch(0, Duration::ZERO).await.unwrap() else {
            panic!("the store has all changes");
        };
        let revisions: Vec<u64> = changes.iter().map(ItemChange::revision).collect();
        assert_eq!((revisions.len(), revisions[1]), (2, 9));
    }
}

/// Guards against a router that reads the same page of the store without end, since it has no key after
/// which the next page begins.
#[tokio::test]
async fn pages_without_a_decodable_key_end_with_an_error() {
    let page = json!({ "items": [{ "key": 7, "value": "e30=", "revision": 1 }], "has_more": true, "at": 1 });
    let store = Upstream::start("store", move |_: &ReceivedRequest| {
        Script::new(vec![Step::Write(raw_response("", 200, &Value::to_string(&page)))])
    })
    .unwrap();
    let mut client = Store::new(store.address());
    let read = tokio::time::timeout(Duration::from_secs(5), client.snapshot()).await;
    assert!(read.expect("the read ends").is_err());
}
