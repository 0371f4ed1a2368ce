//! Parts of answers that are larger than a message.

use teaselworks_wire::frame::Frame;
use teaselworks_wire::message::{Reply, ReplyData};

use crate::fixture::*;

/// What a part may hold at most, and a little more.
const TOO_LARGE_BYTES: usize = 5 << 20;

fn piece(offset_bytes: u64, output_tokens: u64, text: &'static str) -> Reply {
    let bytes = text.into();
    Reply::Data(ReplyData { offset_bytes, output_tokens, more: true, bytes })
}

/// Returns what an entry takes from an owner that sends these parts and is lost.
async fn taken(parts: impl IntoIterator<Item = Reply>) -> Vec<(u64, Vec<u8>)> {
    let a = router("a", 1, settings()).await;
    let mut raw = RawPeer::dial(&a, "b").await;
    let mut exchange = a.open_to(&peer("b", a.address), 1).await;
    let Frame::Open { key, .. } = raw.receive().await.remove(0) else { panic!() };
    let frames: Vec<_> = parts.into_iter().map(|reply| Frame::Reply { key, reply }).collect();
    raw.send(&frames).await;
    drop(raw);
    let mut taken = Vec::new();
    while let Some(reply) = patiently(exchange.replies.recv()).await {
        let Reply::Data(data) = reply else { panic!("{reply:?}") };
        assert!(!data.more);
        taken.push((data.offset_bytes, data.bytes.to_vec()));
    }
    taken
}

// Symptom: a resumed answer holds half an event before the rest: `data: {"choidata: {"choices...`.
// Sequence: an owner hands over several events at once, which take several messages; it is lost
// after the first of them; the answer goes on elsewhere after its last token.
// Cause: pieces are passed to the caller as they come, and the last token is that before them.
#[tokio::test]
async fn a_part_that_counts_tokens_comes_whole_or_not_at_all() {
    let whole = (0, b"data: 1\n".to_vec());
    let first = [data(0, 1, "data: 1\n"), piece(8, 3, "data: 2\nda")];
    assert_eq!(taken(first.clone()).await, vec![whole.clone()]);
    let joined = (8, b"data: 2\ndata: 3\n".to_vec());
    let all = first.into_iter().chain([piece(18, 3, "ta: "), data(22, 3, "3\n")]);
    assert_eq!(taken(all).await, [whole, joined]);
}

// Symptom: an answer misses its middle. Sequence: a piece of a part is lost or comes twice.
// Cause: pieces are joined without a look at where they belong.
#[tokio::test]
async fn pieces_that_do_not_follow_are_not_joined() {
    let gap = [piece(0, 2, "data: 1\nda"), data(12, 2, ": 2\n")];
    assert_eq!(taken(gap).await, [(12, b": 2\n".to_vec())]);
}

// Symptom: an answer that is resumed fails each time: its count of tokens went back.
// Sequence: an engine hands over the rest of an answer at once, in a part that takes several
// messages. Cause: pieces count the tokens sent before, which a resumed stream does not know.
#[tokio::test]
async fn the_first_part_of_a_resumed_answer_may_be_large() {
    let (a, mut b) = routers().await;
    let mut exchange = a.open_to(&peer("b", b.address), 1).await;
    let incoming = b.take().await;
    let part = data(0, 1_005, vec![7; 50_000]);
    incoming.replies.send(part.clone()).await.unwrap();
    assert_eq!(patiently(exchange.replies.recv()).await, Some(part));
}

// Symptom: a router's memory fills. Sequence: a peer sends a part that never becomes whole.
// Cause: pieces are kept without a bound.
#[tokio::test]
async fn a_part_beyond_all_bounds_loses_its_answer() {
    let (a, mut b) = routers().await;
    let mut exchange = a.open_to(&peer("b", b.address), 1).await;
    let incoming = b.take().await;
    let sending = tokio::spawn(async move {
        let _ = incoming.replies.send(data(0, 1, vec![7; TOO_LARGE_BYTES])).await;
        patiently(incoming.cancelled.cancelled()).await;
    });
    assert_eq!(patiently(exchange.replies.recv()).await, None);
    drop(exchange);
    sending.await.unwrap();
}
