//! Engine, service, list of VMs and proxy do what tests rely on.

use std::time::Duration;

use serde_json::{Value, json};
use teaselworks_standin::engine::answer::{expected_answer, prompt_text};
use teaselworks_standin::engine::batch::RunState;
use teaselworks_standin::engine::order::{Order, OrderKind};
use teaselworks_standin::engine::{Engine, EngineOptions};
use teaselworks_standin::proxy::Proxy;
use teaselworks_standin::service::Service;
use teaselworks_standin::vm_list::{Vm, VmKind, VmList, VmState};

fn engine() -> Engine {
    let step = Duration::from_millis(1);
    Engine::start(EngineOptions { step, ..EngineOptions::default() }).unwrap()
}

async fn until(mut condition: impl FnMut() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the condition did not come to hold");
}

fn request(url: &str, id: &str, body: &Value) -> reqwest::RequestBuilder {
    let url = format!("{url}/v1/chat/completions");
    reqwest::Client::new().post(url).header("x-request-id", id).body(body.to_string())
}

fn chat(text: &str, tokens: u32, stream: bool) -> Value {
    json!({ "model": "m", "messages": [{ "role": "user", "content": text }], "stream": stream,
        "max_tokens": tokens })
}

fn events(text: &str) -> (String, Vec<Value>, bool) {
    let data: Vec<_> =
        text.split("\n\n").filter_map(|event| event.strip_prefix("data: ")).collect();
    let done = data.last() == Some(&"[DONE]");
    let chunks: Vec<Value> =
        data.iter().filter_map(|data| serde_json::from_str(data).ok()).collect();
    let pieces = chunks.iter().filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str());
    (pieces.collect(), chunks.clone(), done)
}

#[tokio::test]
async fn a_returning_chat_hits_the_cache_and_a_resumed_one_goes_on() {
    let engine = engine();
    let text = "a long song ".repeat(40);
    let expected = expected_answer(&prompt_text([("user", &*text)]), 8);
    let response = request(&engine.url(), "r.0", &chat(&text, 8, true)).send().await.unwrap();
    assert_eq!(response.headers()["x-request-id"], "r.0");
    let (answer, chunks, done) = events(&response.text().await.unwrap());
    assert_eq!((answer, done), (expected.clone(), true));
    assert_eq!(chunks[0]["id"], "chatcmpl-r.0");
    assert_eq!(chunks.last().unwrap()["usage"]["prompt_tokens_details"]["cached_tokens"], 0);
    let mut again = chat(&text, 8, true);
    again["resume_tokens"] = json!(3);
    let resumed = request(&engine.url(), "r.1", &again).send().await.unwrap().text().await.unwrap();
    let (rest, chunks, _) = events(&resumed);
    assert!(expected.ends_with(&rest) && rest.split_whitespace().count() == 5);
    assert_eq!(chunks.last().unwrap()["usage"]["completion_tokens"], 5);
    assert_eq!(chunks.last().unwrap()["usage"]["prompt_tokens_details"]["cached_tokens"], 112);
    let whole = request(&engine.url(), "r.2", &chat(&text, 8, false)).send().await.unwrap();
    let whole: Value = whole.json().await.unwrap();
    assert_eq!(whole["choices"][0]["message"]["content"], expected);
    assert_eq!(engine.runs_by_id().into_values().sum::<u32>(), 3);
}

/// Symptom: an answer is cut, shows a stranger's text, or nobody reads it any more. Sequence: the
/// engine breaks a stream, crosses two chats, crashes, or its caller disconnects. Cause: the fault
/// set in each step.
#[tokio::test]
async fn engine_faults_are_seen_by_a_client_and_counted() {
    let engine = engine();
    engine.set_faults(|faults| (faults.break_chats, faults.break_after_tokens) = (1, 3));
    let broken = request(&engine.url(), "b", &chat("x", 8, true)).send().await.unwrap();
    assert!(broken.text().await.is_err());
    engine.set_faults(|faults| (faults.cross_chats, faults.cross_after_tokens) = (1, 2));
    let crossed = request(&engine.url(), "c", &chat("y", 8, true)).send().await.unwrap();
    assert_eq!(crossed.headers()["x-request-id"], "c");
    let (_, chunks, _) = events(&crossed.text().await.unwrap());
    assert_eq!((&chunks[1]["id"], &chunks[2]["id"]), (&json!("chatcmpl-c"), &json!("chatcmpl-b")));
    engine.set_faults(|faults| faults.refuse_chats = 1);
    let refused = request(&engine.url(), "n", &chat("z", 8, true)).send().await.unwrap();
    assert_eq!(refused.status(), 503);
    assert!(!engine.runs_by_id().contains_key("n"), "a refused chat does not run");
    let mut left = request(&engine.url(), "d", &chat("w", 100_000, true)).send().await.unwrap();
    left.chunk().await.unwrap();
    drop(left);
    until(|| engine.runs().last().unwrap().state == RunState::Cancelled).await;
    let waiting = request(&engine.url(), "w", &chat("w", 100_000, false)).send();
    let waiting = tokio::spawn(waiting);
    until(|| engine.runs().last().unwrap().state == RunState::Running).await;
    waiting.abort();
    until(|| engine.runs().last().unwrap().state == RunState::Cancelled).await;
    let lost = request(&engine.url(), "e", &chat("v", 100_000, true)).send().await.unwrap();
    engine.crash();
    assert!(lost.text().await.is_err());
    assert!(request(&engine.url(), "f", &chat("u", 1, true)).send().await.is_err());
    engine.restart().unwrap();
    assert!(request(&engine.url(), "f", &chat("u", 1, true)).send().await.is_ok());
}

#[tokio::test]
async fn reports_orders_and_cache_events_show_lag_fencing_and_gaps() {
    let engine = engine();
    let get = async |path: &str| {
        reqwest::get(format!("{}{path}", engine.url())).await.unwrap().text().await.unwrap()
    };
    engine.set_faults(|faults| {
        (faults.report_lag_ms, faults.lose_every_event) = (600_000, 2);
    });
    for index in 0..4 {
        let body = chat(&format!("{index} ").repeat(64), 4, false);
        request(&engine.url(), &index.to_string(), &body).send().await.unwrap();
    }
    assert!(
        get("/metrics").await.contains("vllm:generation_tokens_total{model_name=\"standin\"} 0\n")
    );
    engine.set_faults(|faults| faults.report_lag_ms = 0);
    until(|| engine.totals().finished == 4).await;
    let events: Value = serde_json::from_str(&get("/cache_events?after=1").await).unwrap();
    let numbers: Vec<_> =
        events["events"].as_array().unwrap().iter().map(|e| e["seq"].clone()).collect();
    assert!(numbers.contains(&json!(3)) && !numbers.contains(&json!(2)));
    let order = |fencing| Order {
        kind: OrderKind::Load,
        model: "m".into(),
        adapter: None,
        version: "1".into(),
        role: None,
        fencing,
    };
    assert!(engine.order(order(5)) && !engine.order(order(4)));
    until(|| engine.models()[0].ready).await;
    let unknown = json!({ "model": "other", "messages": [] });
    assert_eq!(request(&engine.url(), "o", &unknown).send().await.unwrap().status(), 404);
    engine.set_options(|options| options.checks_fencing = false);
    assert!(engine.order(order(3)), "an engine that ignores the number obeys");
}

#[tokio::test]
async fn a_service_counts_executions_and_the_list_of_vms_lags() {
    let service = Service::start().unwrap();
    service.set_faults(|faults| (faults.fail_before, faults.lose_answers) = (1, 1));
    let book = || {
        let url = format!("{}/book", service.url());
        reqwest::Client::new().post(url).header("idempotency-key", "k").body("slot").send()
    };
    assert_eq!(book().await.unwrap().status(), 503);
    assert!(service.calls().is_empty());
    assert!(book().await.is_err(), "no answer, not even an empty one");
    assert_eq!(service.executions_by_key()["k"], 1);
    let list = VmList::start().unwrap();
    list.set_lag(Duration::from_secs(600));
    list.update(|vms| {
        vms.push(Vm {
            name: "a".into(),
            kind: VmKind::Router,
            links: None,
            zone: "z".into(),
            region: "r".into(),
            state: VmState::Live,
        });
    });
    let read = async || reqwest::get(list.url()).await.unwrap().json::<Value>().await.unwrap();
    assert_eq!(read().await, json!({ "vms": [] }));
    list.set_lag(Duration::ZERO);
    assert_eq!(read().await["vms"][0]["state"], "live");
}

#[tokio::test]
async fn a_proxy_refuses_freezes_and_cuts() {
    let engine = engine();
    let proxy = Proxy::start(engine.server().address()).unwrap();
    let url = format!("http://{}", proxy.address());
    let send = |id: &str, tokens| request(&url, id, &chat("x", tokens, true)).send();
    assert!(send("a", 4).await.unwrap().text().await.is_ok());
    proxy.set_faults(|faults| faults.backward.frozen = true);
    let frozen = tokio::spawn(send("b", 4));
    until(|| engine.totals().finished == 2).await;
    assert!(!frozen.is_finished(), "the request went through, the answer waits");
    proxy.set_faults(|faults| faults.refuse = true);
    until_refused(&proxy).await;
    proxy.set_frozen(false);
    assert!(frozen.await.unwrap().unwrap().text().await.is_ok());
    proxy.set_faults(|faults| faults.refuse = false);
    let long = loop {
        if let Ok(long) = send("c", 100_000).await {
            break long;
        }
    };
    proxy.cut();
    assert!(long.text().await.is_err());
    assert!(proxy.backward_bytes() > proxy.forward_bytes());
    let passed = proxy.backward_bytes();
    proxy.set_faults(|faults| faults.backward.cut_after_bytes = Some(700));
    assert!(send("d", 100_000).await.unwrap().text().await.is_err());
    assert_eq!(proxy.backward_bytes() - passed, 700);
    // At one byte a second the answer is on its way for longer than any test.
    proxy.set_faults(|faults| {
        (faults.backward.cut_after_bytes, faults.backward.bytes_per_s) = (None, Some(1));
    });
    let throttled = tokio::spawn(send("e", 4));
    until(|| engine.runs().last().unwrap().request_id == "e").await;
    assert!(!throttled.is_finished());
}

async fn until_refused(proxy: &Proxy) {
    while tokio::net::TcpStream::connect(proxy.address()).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn an_engine_serves_by_priority_and_moves_its_cache() {
    let engine = engine();
    engine.set_options(|options| options.places = 1);
    engine.set_faults(|faults| faults.stalled = true);
    let mut sent = Vec::new();
    for (id, priority) in [("low", 2), ("high", 0), ("normal", 1)] {
        let mut body = chat(&id.repeat(64), 2, false);
        body["priority"] = json!(priority);
        sent.push(tokio::spawn(request(&engine.url(), id, &body).send()));
        until(|| engine.runs().iter().any(|run| run.request_id == id)).await;
    }
    engine.set_faults(|faults| faults.stalled = false);
    for sent in sent {
        sent.await.unwrap().unwrap();
    }
    let get = async |url: String| reqwest::get(url).await.unwrap().json::<Value>().await.unwrap();
    let events = get(format!("{}/cache_events", engine.url())).await;
    let order: Vec<_> =
        events["events"].as_array().unwrap().iter().map(|e| &e["request_id"]).collect();
    let first = |id: &str| order.iter().position(|other| **other == json!(id)).unwrap();
    assert!(first("high") < first("normal") && first("normal") < first("low"));
    let last = events["events"][0]["blocks"].as_array().unwrap().last().unwrap().as_str().unwrap();
    let exported = get(format!("{}/cache/{last}", engine.url())).await;
    let other = Engine::start(EngineOptions::default()).unwrap();
    let import = format!("{}/cache/{last}", other.url());
    reqwest::Client::new().post(&import).json(&exported).send().await.unwrap();
    assert_eq!(get(import).await, exported);
}
