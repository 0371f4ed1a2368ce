//! Answers that stop in the middle of their head.

mod common;

use std::time::Duration;

use common::{chat, fleet, program, request};
use futures_util::StreamExt;
use futures_util::stream;
use teaselworks::platform::Store;
use teaselworks_standin::caller::{Call, Reply, call};
use teaselworks_standin::configuration::TestConfiguration;
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::links::Partition;
use teaselworks_standin::proxy::Proxy;
use teaselworks_standin::store::Store as StandinStore;
use teaselworks_standin::upstream::{
    ReceivedRequest, Script, Step, chunk, event, raw_response, stream_head,
};

/// Number of requests at a time.
const CONCURRENT_REQUESTS: usize = 8;
/// Pause between two segments of a head.
const SEGMENT_PAUSE: Duration = Duration::from_millis(2);
/// Length that no response of the store in this test exceeds.
const MAX_RESPONSE_BYTES: u64 = 16 << 10;
/// Length that each response to a write exceeds.
const MIN_WRITE_RESPONSE_BYTES: u64 = 60;
/// Last event before a stream breaks off.
const BREAK_AFTER: u32 = 2;

/// What arrives before a head that is cut.
#[derive(Clone, Copy)]
enum Before {
    /// Nothing.
    Nothing,
    /// The answer to an earlier request.
    EarlierAnswer,
    /// The end of the body of an earlier answer.
    EarlierBody,
    /// The last lines of an earlier head.
    EarlierHead,
}

impl Before {
    const ALL: [Before; 4] =
        [Before::Nothing, Before::EarlierAnswer, Before::EarlierBody, Before::EarlierHead];

    fn bytes(self) -> Vec<u8> {
        match self {
            Before::Nothing => Vec::new(),
            Before::EarlierAnswer => raw_response("earlier", 200, "an earlier verse"),
            Before::EarlierBody => b"of an earlier verse\r\n\r\n".to_vec(),
            Before::EarlierHead => b"x-server-stamp: stamp\r\ncontent-length: 0\r\n\r\n".to_vec(),
        }
    }
}

/// Returns the length of the head that an answer begins with.
fn head_length(answer: &[u8]) -> usize {
    answer.windows(4).position(|window| window == b"\r\n\r\n").unwrap() + 4
}

/// Writes what precedes the head of an answer and, in segments, its first `length` bytes; then ends the
/// connection.
fn cut_head(answer: &[u8], length: usize, before: Before, ending: Step) -> Script {
    let mut steps = vec![Step::Write(before.bytes())];
    for segment in answer[..length].chunks(length.div_ceil(3)) {
        steps.push(Step::Pause(SEGMENT_PAUSE));
        steps.push(Step::Write(segment.to_vec()));
    }
    steps.push(ending);
    steps.retain(|step| !matches!(step, Step::Write(bytes) if bytes.is_empty()));
    Script::new(steps)
}

/// Returns the length of the head, what precedes it and the ending that the identifier of a request names:
/// `cut-LENGTH-BEFORE-ENDING`.
fn cut_of(req: &ReceivedRequest) -> Option<(usize, Before, Step)> {
    let fields: Vec<usize> =
        req.id().strip_prefix("cut-")?.split('-').filter_map(|field| field.parse().ok()).collect();
    let ending = if fields[2] == 0 { Step::Close } else { Step::Reset };
    Some((fields[0], Before::ALL[fields[1]], ending))
}

/// Cuts the heads of all answers as the identifiers of the requests say; answers others.
fn cut_all_heads(fleet: &Fleet) {
    for archive in &fleet.archives {
        archive.set_behaviour(|req| {
            let answer = raw_response(req.id(), 200, "a verse");
            match cut_of(req) {
                Some((length, before, ending)) => cut_head(&answer, length, before, ending),
                None => Script::response(req, 200, "a verse"),
            }
        });
    }
    for engine in &fleet.engines {
        engine.set_behaviour(|req| {
            let (length, before, ending) = cut_of(req).unwrap();
            let head = stream_head(req.id());
            if req.head.header("last-event-id").is_some() {
                return cut_head(&head, length, before, ending);
            }
            let events = (1..=BREAK_AFTER).map(|number| Step::Write(chunk(&event(number))));
            let steps = [Step::Write(head)].into_iter().chain(events).chain([Step::Close]);
            Script::new(steps.collect())
        });
    }
}

/// Returns a request for each byte at which a head of `length` bytes is cut, each with what precedes it
/// and how the connection ends. A request that is answered precedes each, so that connections are kept.
fn all_cuts(length: usize, build: impl Fn(&str) -> Call) -> Vec<(Call, Call)> {
    let mut calls = Vec::new();
    for length in 1..length {
        for before in 0..Before::ALL.len() {
            for ending in 0..2 {
                let id = format!("cut-{length}-{before}-{ending}");
                calls.push((request("GET", "/read/a", &format!("sound-{id}")), build(&id)));
            }
        }
    }
    calls
}

/// Sends the requests to the first router, each after a sound one, and returns the replies to those whose
/// heads are cut.
async fn send_all(fleet: &Fleet, calls: Vec<(Call, Call)>) -> Vec<Reply> {
    let address = fleet.routers[0].callers_address();
    let sent = calls.into_iter().map(async |(sound, cut)| {
        let _ = call(address, &sound).await;
        call(address, &cut).await.unwrap()
    });
    stream::iter(sent).buffered(CONCURRENT_REQUESTS).collect().await
}

/// Returns how many requests whose head is cut reached a replica.
fn count_cut(fleet: &Fleet) -> usize {
    let replicas = fleet.archives.iter().chain(&fleet.engines);
    let received = replicas.flat_map(|replica| replica.received_requests());
    received.filter(|req| req.id().starts_with("cut-")).count()
}

/// Cuts the heads of the answers to a request that must not run twice at each byte, and checks that the
/// caller gets a failure. Most of the requests have to reach a replica.
async fn check_cut_answers(fleet: &Fleet) {
    let length = head_length(&raw_response("cut-000-0-0", 200, "a verse"));
    let calls = all_cuts(length, |id| request("POST", "/write/a", id));
    let count = calls.len();
    for reply in send_all(fleet, calls).await {
        assert!(reply.status() >= 500, "{reply:?}");
    }
    assert!(count_cut(fleet) >= count / 2, "{} of {count}", count_cut(fleet));
}

/// Guards against an answer that ends inside its head and reaches the caller as a whole one, on a new
/// connection or one with rests of an earlier answer, in one segment or several.
#[tokio::test]
async fn an_answer_cut_in_its_head_is_no_answer() {
    let fleet = fleet(1).await;
    cut_all_heads(&fleet);
    check_cut_answers(&fleet).await;
}

/// Guards against the same for an answer that another router forwards.
#[tokio::test]
async fn a_forwarded_answer_cut_in_its_head_is_no_answer() {
    let mut fleet = Fleet::start_with_links(program(), 2).await.unwrap();
    fleet.links[0].partition(Partition::Resetting);
    wait_until("forwarded", async || {
        let sent = request("POST", "/write/a", "detour");
        let _ = call(fleet.routers[0].callers_address(), &sent).await;
        !fleet.routers[0].events("detour_taken").is_empty()
    })
    .await
    .unwrap();
    cut_all_heads(&fleet);
    check_cut_answers(&fleet).await;
}

/// Guards against a stream that ends as whole since the answer that resumes it ends inside its head.
#[tokio::test]
async fn a_stream_resumed_by_an_answer_cut_in_its_head_is_incomplete() {
    let fleet = fleet(1).await;
    cut_all_heads(&fleet);
    let length = head_length(&stream_head("cut-000-0-0"));
    let calls = all_cuts(length, |id| chat("/gloss/a", id, id.len() as u64));
    for reply in send_all(&fleet, calls).await {
        assert!(reply.status() >= 500 || !reply.body.is_whole, "{reply:?}");
        assert!(reply.events().len() <= BREAK_AFTER as usize, "{reply:?}");
    }
}

/// Guards against a response of the store that ends before it is whole and is taken for all that the store
/// has, or for a write that it has done.
#[tokio::test]
async fn a_cut_response_of_the_store_counts_as_failed() {
    let store = StandinStore::start().unwrap();
    store.put_json("op/config", &TestConfiguration::default().value);
    let proxy = Proxy::start(store.address()).unwrap();
    let cut_after = |bytes| {
        proxy.set_faults(|faults| faults.backward.cut_after_bytes = Some(bytes));
        Store::new(proxy.address())
    };
    let mut length = 1;
    while let Err(error) = cut_after(length).snapshot().await {
        assert!(length < MAX_RESPONSE_BYTES, "{error}");
        length += 1;
    }
    // The whole response fits now, and the last byte was needed.
    let whole = Store::new(store.address()).snapshot().await.unwrap();
    assert_eq!(cut_after(length).snapshot().await.unwrap().items, whole.items);
    for length in 1..=MIN_WRITE_RESPONSE_BYTES {
        let key = format!("cut-{length}");
        let written = cut_after(length).put_if(&key, b"{}", 0).await;
        assert!(written.is_err(), "cut after {length} bytes");
    }
}
