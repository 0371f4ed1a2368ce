//! The key-value service answers as the published interface says, and shows its faults.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use teaselworks_standin::platform::{LostAnswer, Platform};

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

async fn post(platform: &Platform, path: &str, body: &Value) -> Result<(u16, Value), String> {
    let url = format!("{}/v3/{path}", platform.url());
    let request = reqwest::Client::new().post(url).timeout(Duration::from_secs(2));
    let response = request.body(body.to_string()).send().await.map_err(|e| e.to_string())?;
    let status = response.status().as_u16();
    let bytes = response.bytes().await.map_err(|error| error.to_string())?;
    Ok((status, serde_json::from_slice(&bytes).map_err(|error| error.to_string())?))
}

fn create(key: &str, value: &str) -> Value {
    json!({
        "compare": [{ "key": b64(key), "target": "VERSION", "result": "EQUAL", "version": "0" }],
        "success": [{ "request_put": { "key": b64(key), "value": b64(value) } }],
        "failure": [{ "request_range": { "key": b64(key) } }],
    })
}

#[tokio::test]
async fn answers_have_the_published_form() {
    let platform = Platform::start().unwrap();
    let (_, first) = post(&platform, "kv/txn", &create("a", "1")).await.unwrap();
    let put = json!({ "response_put": { "header": { "revision": "1" } } });
    assert_eq!(
        first,
        json!({ "header": { "revision": "1" }, "succeeded": true,
        "responses": [put] })
    );
    let (_, second) = post(&platform, "kv/txn", &create("a", "2")).await.unwrap();
    assert!(second.get("succeeded").is_none(), "a default is left out: {second}");
    let kv = json!({ "key": b64("a"), "value": b64("1"), "version": "1",
        "create_revision": "1", "mod_revision": "1" });
    assert_eq!(second["responses"][0]["response_range"]["kvs"], json!([kv]));
    let large = json!({ "key": b64("b"), "value": b64(&"x".repeat(1_000_001)) });
    let (status, refused) = post(&platform, "kv/put", &large).await.unwrap();
    assert_eq!((status, &refused["code"]), (400, &json!(3)));
    let put = json!({ "key": b64("b"), "value": b64("2"), "lease": 77 });
    assert_eq!(post(&platform, "kv/put", &put).await.unwrap().0, 404);
}

/// Reads a watch until it has reported so many more values.
async fn values(response: &mut reqwest::Response, count: usize) -> Vec<String> {
    let (mut values, mut text) = (Vec::new(), String::new());
    while values.len() < count {
        text.push_str(std::str::from_utf8(&response.chunk().await.unwrap().unwrap()).unwrap());
        while let Some((line, rest)) = text.clone().split_once('\n') {
            let line: Value = serde_json::from_str(line).unwrap();
            for event in line["result"]["events"].as_array().into_iter().flatten() {
                values.push(event["kv"]["value"].as_str().unwrap().to_owned());
            }
            text = rest.into();
        }
    }
    values
}

#[tokio::test]
async fn a_watch_reports_from_a_revision_on_and_can_be_faulty() {
    let platform = Platform::start().unwrap();
    for value in ["1", "2"] {
        platform.put("w/a", value.as_bytes());
    }
    let (key, end) = (b64("w/"), b64("w0"));
    let create = json!({ "create_request": { "key": key, "range_end": end, "start_revision": 2 } });
    let url = format!("{}/v3/watch", platform.url());
    let mut watch = reqwest::Client::new().post(url).json(&create).send().await.unwrap();
    assert_eq!(values(&mut watch, 1).await, [b64("2")]);
    platform.set_faults(|faults| faults.drop_events = 1);
    platform.put("w/a", b"lost");
    while platform.faults().drop_events > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    platform.set_faults(|faults| (faults.repeat_events, faults.stale_events) = (1, 1));
    platform.put("other", b"x");
    platform.put("w/a", b"3");
    assert_eq!(values(&mut watch, 3).await, [b64("3"), b64("3"), b64("lost")]);
    assert_eq!(platform.counts().watches, 1);
    drop(watch);
    while platform.counts().watches > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Symptom: a writer takes its write for failed, and it stands. Sequence: the write takes effect,
/// its answer breaks off, is replaced by an error or never comes. Cause: the answer's way back.
#[tokio::test]
async fn a_lost_answer_leaves_the_write_in_effect() {
    let platform = Platform::start().unwrap();
    for (index, how) in
        [LostAnswer::Cut, LostAnswer::Silence, LostAnswer::Error].into_iter().enumerate()
    {
        platform.set_faults(|faults| {
            (faults.lose_answers, faults.lose_prefix, faults.lost_answer) = (1, "a/".into(), how);
        });
        assert_eq!(post(&platform, "kv/txn", &create("b", "0")).await.unwrap().0, 200);
        let key = format!("a/{index}");
        let answer = post(&platform, "kv/txn", &create(&key, "1")).await;
        assert!(answer.is_err() || answer.unwrap().0 == 503, "{how:?}");
        assert_eq!(platform.dump()[&key], b"1", "{how:?}");
    }
    // The same seen from outside, and the write did not take effect.
    platform.set_faults(|faults| faults.lose_requests = 1);
    assert_eq!(post(&platform, "kv/txn", &create("a/lost", "1")).await.unwrap().0, 503);
    assert!(!platform.dump().contains_key("a/lost"));
}

#[tokio::test]
async fn a_lease_takes_its_entries_along_and_a_rewind_goes_back() {
    let platform = Platform::start().unwrap();
    let (_, lease) = post(&platform, "lease/grant", &json!({ "TTL": "60" })).await.unwrap();
    let put = json!({ "key": b64("l"), "value": b64("1"), "lease": lease["ID"] });
    post(&platform, "kv/put", &put).await.unwrap();
    let (_, alive) =
        post(&platform, "lease/keepalive", &json!({ "ID": lease["ID"] })).await.unwrap();
    assert_eq!(alive["result"]["TTL"], "60");
    assert!(platform.expire_lease(lease["ID"].as_str().unwrap().parse().unwrap()));
    assert!(platform.dump().is_empty());
    let (_, ended) =
        post(&platform, "lease/keepalive", &json!({ "ID": lease["ID"] })).await.unwrap();
    assert!(ended["result"].get("TTL").is_none());
    platform.put("c", b"old");
    let revision = platform.revision();
    platform.put("c", b"new");
    platform.set_faults(|faults| faults.stale_reads_revision = Some(revision));
    let (_, stale) = post(&platform, "kv/range", &json!({ "key": b64("c") })).await.unwrap();
    assert_eq!(stale["kvs"][0]["value"], b64("old"));
    platform.rewind(revision);
    assert_eq!(platform.dump()["c"], b"old");
    assert_eq!(platform.log("c").len(), 2);
}

/// Symptom: a write takes effect long after its sender gave up, or a lease ends under its holder.
/// Sequence: the service is slow, the sender's time passes, the write lands; nobody keeps the
/// lease alive. Cause: the service's own clock.
#[tokio::test]
async fn slowness_rates_and_time_have_their_effect() {
    let platform = Platform::start().unwrap();
    platform.set_faults(|faults| faults.delay_before_ms = 300);
    let url = format!("{}/v3/kv/put", platform.url());
    let put = json!({ "key": b64("late"), "value": b64("1") });
    let sender = reqwest::Client::new().post(url).json(&put).timeout(Duration::from_millis(50));
    assert!(sender.send().await.unwrap_err().is_timeout());
    while platform.dump().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    platform.set_faults(|faults| (faults.delay_before_ms, faults.writes_per_s) = (0, Some(0)));
    let refused = post(&platform, "kv/put", &put).await.unwrap();
    assert_eq!((refused.0, &refused.1["code"]), (429, &json!(8)));
    assert_eq!(post(&platform, "kv/range", &put).await.unwrap().0, 200);
    platform.set_faults(|faults| faults.writes_per_s = None);
    post(&platform, "lease/grant", &json!({ "TTL": "1", "ID": "9" })).await.unwrap();
    while !platform.leases().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let counts = platform.counts();
    assert_eq!((counts.by_path["kv/put"], counts.by_path["lease/grant"]), (2, 1));
}
