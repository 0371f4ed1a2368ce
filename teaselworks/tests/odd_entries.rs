//! Entries in the store that another writer left and that no router can use.

use std::time::Duration;

use serde_json::{Value, json};
use teaselworks::platform::{ItemChange, Store, WatchResult};
use teaselworks_standin::upstream::{ReceivedRequest, Script, Step, Upstream, raw_response};

/// Levels of the values that are nested.
const LEVELS: usize = 200_000;

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
