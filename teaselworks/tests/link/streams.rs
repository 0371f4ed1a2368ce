//! Attempts on links without faults: whole, side by side, cancelled, bounded.

use bytes::Bytes;
use teaselworks::link::{LinkError, LinkErrorKind};
use teaselworks_policy::verdict::{RefusalReason, Verdict};
use teaselworks_wire::message::{Header, Purpose, Reply, ReplyHead};
use tokio::sync::mpsc;

use crate::fixture::*;

#[tokio::test]
async fn carries_an_attempt_whole_both_ways() {
    let (a, mut b) = routers().await;
    let (body, body_parts) = mpsc::channel(1);
    let mut exchange = a.links.open(&peer("b", b.address), open(1), body_parts).await.unwrap();
    let mut incoming = b.take().await;
    assert_eq!(incoming.open, open(1));
    let question = Bytes::from(vec![7; 100_000]);
    // Small parts first: the last one then finds less than its cost left of the window, and what
    // was taken is too little for a credit.
    let mut rest = question.clone();
    let sending = tokio::spawn(async move {
        body.send(rest.split_to(1_000)).await?;
        body.send(rest.split_to(1_000)).await?;
        body.send(rest).await
    });
    let mut received = Vec::new();
    while let Some(part) = patiently(incoming.body.recv()).await {
        received.extend_from_slice(&part);
    }
    sending.await.unwrap().unwrap();
    assert_eq!(question, received);
    assert!(!incoming.cancelled.is_cancelled());
    let answering = tokio::spawn(async move {
        incoming.replies.send(data(0, 3, vec![1; 50_000])).await.unwrap();
        incoming.replies.send(data(50_000, 4, vec![2; 10])).await.unwrap();
        incoming.replies.send(finish(50_010)).await.unwrap();
        patiently(incoming.replies.closed()).await;
        // Use would be counted as that of a cancelled attempt.
        assert!(!incoming.cancelled.is_cancelled());
    });
    // Tokens count only with the last piece of the part that completes them.
    let mut size_bytes = 0;
    while let Some(Reply::Data(data)) = patiently(exchange.replies.recv()).await {
        assert_eq!(data.offset_bytes, size_bytes);
        size_bytes += data.bytes.len() as u64;
        let tokens = [(50_010, 4), (50_000, 3)].into_iter().find(|(size, _)| *size == size_bytes);
        assert_eq!(data.output_tokens, tokens.map_or(0, |(_, tokens)| tokens));
    }
    assert_eq!(size_bytes, 50_010);
    answering.await.unwrap();
    assert_eq!(a.links.peers(), ["b".into()]);
    until(|| a.count("link_streams", "teaselworks") + b.count("link_streams", "teaselworks") == 0)
        .await;
}

#[tokio::test]
async fn a_slow_caller_stalls_neither_other_streams_nor_control_messages() {
    // Symptom: every answer from an owner stops. Sequence: one caller reads nothing, its answer
    // fills the link. Cause: parts of all streams in one queue, or a reading task that waits.
    let (a, mut b) = routers().await;
    let to_b = peer("b", b.address);
    const ANSWER: usize = 400_000;
    let mut exchanges = Vec::new();
    for sequence in 0..4 {
        exchanges.push(a.open_to(&to_b, sequence).await);
        let incoming = b.take().await;
        tokio::spawn(async move {
            for offset in (0..ANSWER).step_by(1_000) {
                incoming.replies.send(data(offset as u64, 0, vec![9; 1_000])).await.unwrap();
            }
            incoming.replies.send(finish(ANSWER as u64)).await.unwrap();
        });
    }
    // A body whose handler reads nothing is a slow receiver too.
    let (body, body_parts) = mpsc::channel(1);
    let _unread = a.links.open(&to_b, open(9), body_parts).await.unwrap();
    let _stalled = b.take().await;
    tokio::spawn(async move { while body.send(vec![1; 1_000].into()).await.is_ok() {} });

    let mut slow = exchanges.split_off(1);
    assert_eq!(read_all(&mut exchanges[0]).await, (vec![9; ANSWER], true));
    let answering = tokio::spawn(async move {
        let request = b.control.recv().await.unwrap();
        request.answer.send(request.bytes).unwrap();
        b
    });
    let answer = a.links.call(&to_b, Purpose::Usage, Bytes::from("7"), PATIENCE).await;
    assert_eq!(answer, Ok(Bytes::from("7")));
    for exchange in &mut slow {
        assert_eq!(read_all(exchange).await, (vec![9; ANSWER], true));
    }
    drop(answering.await);
}

#[tokio::test]
async fn a_dropped_exchange_cancels_the_attempt_at_the_owner() {
    let (a, mut b) = routers().await;
    let (body, body_parts) = mpsc::channel(1);
    let exchange = a.links.open(&peer("b", b.address), open(1), body_parts).await.unwrap();
    let mut incoming = b.take().await;
    body.send(Bytes::from("the first half")).await.unwrap();
    assert!(patiently(incoming.body.recv()).await.is_some());
    drop(exchange);
    // The body must not look whole: its receiver would send half a request upstream.
    assert_eq!(patiently(incoming.body.recv()).await, None);
    assert!(incoming.cancelled.is_cancelled());
    patiently(incoming.replies.closed()).await;
    patiently(body.closed()).await;
}

#[tokio::test]
async fn an_owner_that_gives_up_silently_leaves_no_finish() {
    let (a, mut b) = routers().await;
    let mut exchange = a.open_to(&peer("b", b.address), 1).await;
    let incoming = b.take().await;
    incoming.replies.send(data(0, 1, "half")).await.unwrap();
    drop(incoming);
    assert_eq!(read_all(&mut exchange).await, (b"half".to_vec(), false));
}

#[tokio::test]
async fn streams_beyond_the_limit_are_refused_as_not_run() {
    let (a, mut b) = routers().await;
    let to_b = peer("b", b.address);
    let mut exchanges = Vec::new();
    for sequence in 0..settings().streams {
        exchanges.push(a.open_to(&to_b, sequence.into()).await);
    }
    let full = Err(LinkError::not_run(LinkErrorKind::Full));
    assert_eq!(a.links.open(&to_b, open(99), no_body()).await.map(|_| ()), full);
    exchanges.pop();
    // The place is free at once at the entry; the owner frees its own when the cancel arrives.
    let again = a.open_to(&to_b, 100).await;
    for _ in 0..=settings().streams {
        b.take().await;
    }
    drop(again);
    let mut too_large = open(101);
    too_large.replica = "x".repeat(20_000).into();
    let refused = a.links.open(&to_b, too_large, no_body()).await.map(|_| ());
    assert_eq!(refused, Err(LinkError::not_run(LinkErrorKind::TooLarge)));
}

#[tokio::test]
async fn two_routers_that_dial_at_once_reach_each_other() {
    let (mut a, mut b) = routers().await;
    let (to_a, to_b) = (peer("a", a.address), peer("b", b.address));
    for sequence in 0..9 {
        let (mut to_b, mut to_a) =
            tokio::join!(a.open_to(&to_b, sequence), b.open_to(&to_a, sequence));
        for (exchange, owner) in [(&mut to_b, &mut b), (&mut to_a, &mut a)] {
            owner.take().await.replies.send(finish(0)).await.unwrap();
            assert_eq!(read_all(exchange).await, (vec![], true));
        }
    }
    for router in [&a, &b] {
        assert!((1..=2).contains(&router.count("links", "teaselworks")));
    }
}

#[tokio::test]
async fn headers_beyond_the_largest_frame_fail_their_own_attempt_alone() {
    // Symptom: every answer between two routers is cut. Sequence: one upstream answers with very
    // large headers. Cause: a frame that cannot be sent taken for a fault of the link.
    let (a, mut b) = routers().await;
    let to_b = peer("b", b.address);
    let mut other = a.open_to(&to_b, 1).await;
    let other_incoming = b.take().await;
    let mut exchange = a.open_to(&to_b, 2).await;
    let incoming = b.take().await;
    let headers = vec![Header { name: "x".into(), value: "y".repeat(20_000) }];
    let head = ReplyHead { status: 200, headers, replica: "stock-1".into() };
    incoming.replies.send(Reply::Head(head)).await.unwrap();
    let Some(Reply::Refusal(refusal)) = patiently(exchange.replies.recv()).await else { panic!() };
    assert_eq!(refusal.refusal.reason, RefusalReason::UpstreamFailed);
    assert_eq!(refusal.refusal.verdict, Verdict::Ran);
    patiently(incoming.cancelled.cancelled()).await;
    other_incoming.replies.send(finish(0)).await.unwrap();
    assert_eq!(read_all(&mut other).await, (vec![], true));
}
