//! Answers whose head is none in the protocol, and ones whose head is only rare.

mod common;

use std::time::Duration;

use common::{chat, fleet, program, request};
use teaselworks::platform::{Store, registration_key, registration_value};
use teaselworks_standin::caller::{Call, Reply, call};
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::links::Partition;
use teaselworks_standin::upstream::{Script, Step, Upstream, chunk, event};

/// Statuses that promise that a request was not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// A request of each kind of route; the first two are for plain services.
const TARGETS: [&str; 4] = ["/read/a", "/write/a", "/chat/a", "/gloss/a"];
/// Body of a whole answer in chunks.
const CHUNKS: &str = "7\r\na verse\r\n0\r\n\r\n";
/// Field name with every character that is allowed in one and not a letter.
const TOKEN: &str = "x!#$%&'*+-.^_`|~0123456789";

/// A status line and the lines after the ones that each answer has, with the body.
type Answer = (String, String, &'static str);

/// Returns answers of which no part may look like an answer.
fn invalid_answers() -> Vec<Answer> {
    let length = "content-length: 7\r\n";
    let statuses = ["000", "020", "099", "101", "600", "999", "1000", "20", "2x0", "-20"];
    let mut answers: Vec<Answer> = statuses
        .map(|status| (format!("HTTP/1.1 {status} Text"), length.to_owned(), "a verse"))
        .into();
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 000 Text";
    answers.push((interim.to_owned(), length.to_owned(), "a verse"));
    let names =
        [" ", "\t", "\0", "\x01", "\x08", "\x0b", "\x0c", "\r", "\x1f", "\x7f", "(", "\u{e9}"];
    for byte in names {
        answers.push((status_line(200), format!("x{byte}y: 1\r\n{length}"), "a verse"));
    }
    let fields = [
        ": 1\r\ncontent-length: 7\r\n",
        " x-y: 1\r\ncontent-length: 7\r\n",
        "x-y : 1\r\ncontent-length: 7\r\n",
        "content-length : 7\r\n",
        "content-length: +7\r\n",
        "content-length: -7\r\n",
        "content-length: \r\n",
        "content-length: 7\r\ncontent-length: 6\r\n",
        "content-length: 7, 6\r\n",
        "content-length: 99999999999999999999\r\n",
        "x-y: a\x01b\r\ncontent-length: 7\r\n",
    ];
    answers.extend(fields.map(|fields| (status_line(200), fields.to_owned(), "a verse")));
    let codings = [
        "gzip",
        "chunked, gzip",
        "gzip, chunked",
        "xchunked",
        "chunkedx",
        "chunked, chunked",
        "chunked;q=1",
        "identity",
        "",
        "chunked\r\ntransfer-encoding: gzip",
        "gzip\r\ntransfer-encoding: chunked",
    ];
    for status in [200, 500] {
        for coding in codings {
            let fields = format!("transfer-encoding: {coding}\r\n");
            answers.push((status_line(status), fields, CHUNKS));
        }
    }
    answers.push(("HTTP/1.0 200 Text".to_owned(), "transfer-encoding: chunked\r\n".into(), CHUNKS));
    let chunks =
        ["+7\r\na verse\r\n0\r\n\r\n", "x\r\na verse\r\n0\r\n\r\n", "\r\na verse\r\n0\r\n\r\n"];
    let chunked = "transfer-encoding: chunked\r\n";
    answers.extend(chunks.map(|chunks| (status_line(200), chunked.to_owned(), chunks)));
    let trailer = "7\r\na verse\r\n0\r\nx\x01y: 1\r\n\r\n";
    answers.push((status_line(200), chunked.to_owned(), trailer));
    answers
}

fn status_line(status: u16) -> String {
    format!("HTTP/1.1 {status} Text")
}

/// Returns valid answers with their statuses; the body of each is `a verse`, or empty for 204.
fn rare_answers() -> Vec<(u16, Answer)> {
    let length = "content-length: 7\r\n";
    let mut answers: Vec<(u16, Answer)> = [200, 201, 226, 299, 400, 418, 499, 500, 504, 599]
        .map(|status| (status, (status_line(status), length.to_owned(), "a verse")))
        .into();
    answers.push((204, (status_line(204), String::new(), "")));
    answers.push((200, ("HTTP/1.1 200 ".to_owned(), length.to_owned(), "a verse")));
    answers.push((200, ("HTTP/1.0 200 OK".to_owned(), length.to_owned(), "a verse")));
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK";
    answers.push((200, (interim.to_owned(), length.to_owned(), "a verse")));
    for coding in ["chunked", "Chunked", "CHUNKED", " chunked\t"] {
        let fields = format!("transfer-encoding:{coding}\r\n");
        answers.push((200, (status_line(200), fields, CHUNKS)));
    }
    let extended = "7;x=\"y\"\r\na verse\r\n0\r\nx-trailer: 1\r\n\r\n";
    answers.push((200, (status_line(200), "transfer-encoding: chunked\r\n".to_owned(), extended)));
    answers
}

/// Returns the script that sends an answer, and then closes the connection as one without a length needs.
fn script(id: &str, (status_line, fields, body): &Answer) -> Script {
    let lines = format!(
        "{status_line}\r\nx-request-id: {id}\r\nx-server-stamp: stamp-{id}\r\n{TOKEN}: 1\r\n\
         {fields}\r\n{body}"
    );
    // Characters up to U+00FF stand for bytes.
    let bytes = lines.chars().map(|character| character as u8).collect();
    Script::new(vec![Step::Write(bytes), Step::Pause(Duration::from_millis(1)), Step::Close])
}

fn build_call(target: &str, id: &str) -> Call {
    match target {
        "/read/a" => request("GET", target, id),
        "/write/a" => request("POST", target, id),
        _ => chat(target, id, 1),
    }
}

fn replicas(fleet: &Fleet) -> impl Iterator<Item = &Upstream> {
    fleet.archives.iter().chain(&fleet.engines)
}

/// Makes all replicas answer like `answer`, but for requests whose identifier begins with `before`.
fn set_answer(fleet: &Fleet, answer: &Answer) {
    for archive in &fleet.archives {
        let answer = answer.clone();
        archive.set_behaviour(move |req| match req.id().starts_with("before") {
            true => Script::response(req, 200, "a verse"),
            false => script(req.id(), &answer),
        });
    }
    for engine in &fleet.engines {
        let answer = answer.clone();
        engine.set_behaviour(move |req| match req.id().starts_with("before") {
            true => Script::stream(req, 1..3, Duration::ZERO, true),
            false => script(req.id(), &answer),
        });
    }
}

async fn send(fleet: &Fleet, target: &str, id: &str) -> Reply {
    let address = fleet.routers[0].callers_address();
    let _ = call(address, &build_call(target, &format!("before-{id}"))).await;
    call(address, &build_call(target, id)).await.unwrap()
}

fn count_runs(fleet: &Fleet, id: &str) -> usize {
    replicas(fleet).map(|replica| replica.run_count(id)).sum()
}

/// Returns whether a reply cannot be taken for a whole answer: an error of the router, or a stream that
/// was cut after its head was sent.
fn is_no_answer(reply: &Reply, target: &str, runs: usize) -> bool {
    let is_stream = ["/chat/a", "/gloss/a"].contains(&target);
    let is_cut = is_stream && reply.status() == 200 && !reply.body.is_whole;
    is_cut || reply.status() == 502 || runs == 0 && reply.status() == 503
}

/// Sends a request of each kind for each invalid answer, and returns what is wrong with the replies.
async fn play_invalid(fleet: &Fleet, name: &str) -> Vec<String> {
    let mut faults = Vec::new();
    let mut ran = 0;
    let answers = invalid_answers();
    for (number, answer) in answers.iter().enumerate() {
        set_answer(fleet, answer);
        for target in TARGETS {
            let id = format!("{name}-{number}-{}", &target[1..2]);
            let reply = send(fleet, target, &id).await;
            let runs = count_runs(fleet, &id);
            ran += usize::from(runs > 0);
            let is_right = is_no_answer(&reply, target, runs);
            let is_repeated = ["/write/a", "/chat/a"].contains(&target) && runs > 1;
            let is_called_unrun = runs > 0 && NOT_RUN_STATUSES.contains(&reply.status());
            if !is_right || is_repeated || is_called_unrun {
                faults.push(format!("{target} {answer:?}: ran {runs}: {reply:?}"));
            }
        }
    }
    assert!(ran >= answers.len() * TARGETS.len() / 2, "{ran} reached a replica");
    faults
}

/// Leaves the first router without links, so that it forwards requests to another one.
async fn forward(fleet: &mut Fleet) {
    fleet.links[0].partition(Partition::Resetting);
    wait_until("forwarded", async || {
        for target in ["/write/a", "/chat/a"] {
            send(fleet, target, "detour").await;
        }
        fleet.routers[0].events("detour_taken").len() >= 4
    })
    .await
    .unwrap();
}

fn assert_right(faults: &[String]) {
    assert!(faults.is_empty(), "{}:\n{}", faults.len(), faults.join("\n"));
}

/// Guards against an answer with an invalid head that reaches the caller, or whose body does as it came
/// on the wire.
#[tokio::test]
async fn an_answer_with_an_invalid_head_is_no_answer() {
    let fleet = fleet(1).await;
    assert_right(&play_invalid(&fleet, "invalid").await);
    let logged = fleet.routers[0].wait_for_events("answer_invalid", 1).await.unwrap();
    assert_eq!(logged[0]["cause"], "status 101 is not that of a final response");
}

/// Guards against the same for an answer that another router forwards.
#[tokio::test]
async fn a_forwarded_answer_with_an_invalid_head_is_no_answer() {
    let mut fleet = Fleet::start_with_links(program(), 2).await.unwrap();
    forward(&mut fleet).await;
    assert_right(&play_invalid(&fleet, "forwarded").await);
}

/// Guards against the same for an answer that another router makes.
#[tokio::test]
async fn an_answer_of_another_router_with_an_invalid_head_is_no_answer() {
    let mut fleet = Fleet::start_with_links(program(), 1).await.unwrap();
    let peer = Upstream::start("peer", |_| Script::new(vec![Step::Reset])).unwrap();
    fleet.links[0].partition(Partition::Resetting);
    fleet.store.put(&registration_key("peer"), &registration_value(peer.address()));
    for target in TARGETS {
        wait_until("the other router took the request", async || {
            send(&fleet, target, "detour").await.status() == 502
        })
        .await
        .unwrap();
    }
    let mut faults = Vec::new();
    let mut ran = 0;
    let answers = invalid_answers();
    for (number, answer) in answers.iter().enumerate() {
        let peer_answer = answer.clone();
        peer.set_behaviour(move |req| match req.head.header("sec-websocket-key") {
            Some(_) => Script::new(vec![Step::Reset]),
            None => script(req.id(), &peer_answer),
        });
        for target in TARGETS {
            let id = format!("peer-{number}-{}", &target[1..2]);
            let address = fleet.routers[0].callers_address();
            let reply = call(address, &build_call(target, &id)).await.unwrap();
            let runs = peer.run_count(&id);
            ran += usize::from(runs > 0);
            let is_right = is_no_answer(&reply, target, runs);
            if !is_right || runs > 1 {
                faults.push(format!("{target} {answer:?}: ran {runs}: {reply:?}"));
            }
        }
    }
    assert!(ran >= answers.len() * TARGETS.len() / 2, "{ran} reached the router");
    assert_right(&faults);
}

/// Guards against a stream that goes on with what follows an invalid head.
#[tokio::test]
async fn a_stream_is_not_resumed_by_an_answer_with_an_invalid_head() {
    let fleet = fleet(1).await;
    for (number, (status_line, fields, _)) in invalid_answers().into_iter().enumerate() {
        let fields = format!("content-type: text/event-stream\r\n{fields}");
        // Ends as whole if the head counts, whatever its framing.
        let body = "id: 3\ndata: word-3\n\n";
        let resuming = (status_line, fields, body);
        for engine in &fleet.engines {
            let resuming = resuming.clone();
            engine.set_behaviour(move |req| {
                if req.id().starts_with("before") {
                    return Script::stream(req, 1..3, Duration::ZERO, true);
                }
                if req.head.header("last-event-id").is_some() {
                    return script(req.id(), &resuming);
                }
                let mut begun = Script::stream(req, 1..3, Duration::ZERO, false);
                begun.steps.push(Step::Close);
                begun
            });
        }
        let reply = send(&fleet, "/gloss/a", &format!("resumed-{number}")).await;
        let is_cut = reply.status() >= 500 || !reply.body.is_whole;
        assert!(is_cut, "{resuming:?}: {reply:?}");
        assert!(reply.events().len() <= 2, "{resuming:?}: {reply:?}");
    }
}

/// Guards against a valid answer that is refused since its status, a field name or its framing is rare.
#[tokio::test]
async fn an_answer_with_a_rare_head_is_whole() {
    let mut fleet = Fleet::start_with_links(program(), 2).await.unwrap();
    for name in ["direct", "forwarded"] {
        for (number, (status, answer)) in rare_answers().into_iter().enumerate() {
            set_answer(&fleet, &answer);
            for target in ["/read/a", "/write/a"] {
                let id = format!("{name}-{number}-{}", &target[1..2]);
                let reply = send(&fleet, target, &id).await;
                let body = if status == 204 { "" } else { "a verse" };
                assert_eq!((reply.status(), reply.text().as_str()), (status, body), "{answer:?}");
                assert!(reply.body.is_whole, "{answer:?}");
                assert_eq!(reply.head.header(TOKEN), Some("1"), "{answer:?}");
            }
        }
        if name == "direct" {
            forward(&mut fleet).await;
        }
    }
}

/// Guards against a response of the store with an invalid head that counts as a write that was done, or
/// as all that the store has.
#[tokio::test]
async fn a_response_of_the_store_with_an_invalid_head_counts_as_failed() {
    let answers = invalid_answers();
    let (read_body, write_body) = ("{\"items\":[],\"at\":1}", "{}");
    for (status_line, fields, _) in answers {
        let store = Upstream::start("store", {
            let (status_line, fields) = (status_line.clone(), fields.clone());
            move |req| {
                let body = if req.target().0 == "GET" { read_body } else { write_body };
                let size_bytes = body.len();
                let fields = fields.replace(": 7", &format!(": {size_bytes}"));
                script(req.id(), &(status_line.clone(), fields, body))
            }
        })
        .unwrap();
        let read = Store::new(store.address()).snapshot().await;
        assert!(read.is_err(), "{status_line} {fields}: {read:?}");
        let written = Store::new(store.address()).put_if("key", b"{}", 0).await;
        assert!(written.is_err(), "{status_line} {fields}: {written:?}");
    }
}

/// Guards against a chunked stream whose framing is taken for its content.
#[tokio::test]
async fn a_stream_with_an_unknown_coding_is_no_stream() {
    let fleet = fleet(1).await;
    let events: String = (1..4).map(event).collect();
    let body = format!("{}0\r\n\r\n", String::from_utf8(chunk(&events)).unwrap());
    for engine in &fleet.engines {
        let body = body.clone();
        engine.set_behaviour(move |req| {
            let fields = "content-type: text/event-stream\r\ntransfer-encoding: xchunked\r\n";
            let mut script = script(req.id(), &(status_line(200), fields.to_owned(), ""));
            script.steps.insert(1, Step::Write(body.clone().into_bytes()));
            script
        });
    }
    for target in ["/chat/a", "/gloss/a"] {
        let reply = send(&fleet, target, &format!("coded{}", target.len())).await;
        assert_eq!(reply.status(), 502, "{reply:?}");
    }
}
