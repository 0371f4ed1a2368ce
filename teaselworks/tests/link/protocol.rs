//! What a faulty peer that knows the secret can do: nothing to other attempts or to the memory.

use teaselworks::link::LinkErrorKind;
use teaselworks_policy::verdict::{RefusalReason, Verdict};
use teaselworks_wire::frame::{Frame, StreamKey};
use teaselworks_wire::handshake::HandshakeError;
use teaselworks_wire::message::Reply;
use tokio::sync::mpsc;

use crate::fixture::*;

#[tokio::test]
async fn crossed_and_late_frames_are_dropped_and_counted() {
    // Symptom: a caller gets a stranger's answer. Sequence: a frame of an abandoned or other
    // attempt arrives on a stream that now carries this one. Cause: streams known by number alone.
    let a = router("a", 1, settings()).await;
    let mut raw = RawPeer::dial(&a, "b").await;
    let mut exchange = a.open_to(&peer("b", a.address), 1).await;
    let Frame::Open { key, .. } = raw.receive().await.remove(0) else { panic!() };
    assert_eq!(key, StreamKey::new(key.stream, &open(1).attempt));
    let foreign = StreamKey::new(key.stream, &open(2).attempt);
    let unknown = StreamKey { stream: key.stream + 2, ..key };
    let to = |key, reply| Frame::Reply { key, reply };
    raw.send(&[
        to(foreign, data(0, 1, "a stranger's")),
        to(foreign, finish(12)),
        to(unknown, data(0, 1, "nobody's")),
        Frame::Abort(foreign),
        Frame::Credit { key: unknown, bytes: 9 },
        Frame::BodyEnd(foreign),
        Frame::Cancel(foreign),
        to(key, data(0, 1, "mine")),
        to(key, finish(4)),
        to(key, data(0, 1, "late")),
    ])
    .await;
    assert_eq!(read_all(&mut exchange).await, (b"mine".to_vec(), true));
    until(|| a.count("stale_replies", "teaselworks") == 7).await;
    assert_eq!(a.count("stale_replies", "crossed"), 5);
    assert_eq!(a.count("stale_replies", "late"), 2);
    assert_eq!(a.count("link_frames_dropped", "foreign_attempt"), 5);
    assert_eq!(a.count("link_frames_dropped", "unknown_stream"), 3);
    assert_eq!(a.count("links", "teaselworks"), 1);
}

#[tokio::test]
async fn a_flood_of_streams_is_refused_as_not_run() {
    let mut a = router("a", 1, settings()).await;
    let mut raw = RawPeer::dial(&a, "b").await;
    let limit = settings().streams;
    let keys = (0..limit + 9).map(|n| StreamKey::new(2 * n + 1, &open(n.into()).attempt));
    let opens: Vec<_> = keys
        .enumerate()
        .map(|(n, key)| Frame::Open { key, window_bytes: 1_024, open: open(n as u64) })
        .collect();
    raw.send(&opens).await;
    let mut refused = 0;
    while refused < 9 {
        for frame in raw.receive().await {
            let Frame::Reply { reply: Reply::Refusal(refusal), .. } = frame else { panic!() };
            assert_eq!(refusal.refusal.reason, RefusalReason::Overloaded);
            assert_eq!(refusal.refusal.verdict, Verdict::NotRun);
            refused += 1;
        }
    }
    let mut taken = Vec::new();
    for _ in 0..limit {
        taken.push(a.take().await);
    }
    assert!(a.took_nothing());
}

#[tokio::test]
async fn windows_of_all_streams_stay_under_the_memory_limit() {
    let a = router("a", 1, settings()).await;
    let mut raw = RawPeer::dial(&a, "b").await;
    let (mut exchanges, mut windows) = (Vec::new(), Vec::new());
    for sequence in 0..settings().streams {
        exchanges.push(a.open_to(&peer("b", a.address), sequence.into()).await);
    }
    while windows.len() < exchanges.len() {
        for frame in raw.receive().await {
            if let Frame::Open { window_bytes, .. } = frame {
                windows.push(window_bytes);
            }
        }
    }
    assert_eq!(windows.iter().max(), Some(&settings().stream_window_bytes));
    assert!(windows.iter().all(|window_bytes| *window_bytes >= 2 << 10));
    assert!(windows.iter().sum::<u32>() <= settings().memory_bytes);
}

#[tokio::test]
async fn a_second_link_of_a_peer_takes_what_is_new() {
    // Symptom: attempts wait out the timeout on a dead connection. Sequence: the peer lost the link
    // and dials again, while this end still believes in the old one. Cause: the first link kept.
    let a = router("a", 1, settings()).await;
    let mut old = RawPeer::dial(&a, "b").await;
    let mut new = RawPeer::dial(&a, "b").await;
    until(|| a.count("links", "teaselworks") == 2).await;
    let mut exchange = a.open_to(&peer("b", a.address), 1).await;
    assert!(matches!(new.receive().await[0], Frame::Open { .. }));
    // Once the new one breaks too, the old one is no better: a retry must not wait on it.
    drop(new);
    assert_eq!(read_all(&mut exchange).await, (vec![], false));
    let retry = a.links.open(&peer("b", a.address), open(2), no_body()).await;
    assert_eq!(retry.unwrap_err().kind, LinkErrorKind::Handshake(HandshakeError::WrongRouter));
    assert_eq!(old.receive().await, [Frame::Closing]);
    old.send(&[Frame::Closing]).await;
    old.closed().await;
}

#[tokio::test]
async fn a_peer_that_breaks_the_protocol_loses_the_link() {
    let a = router("a", 1, settings()).await;
    let key = StreamKey::new(1, &open(1).attempt);
    let ours = StreamKey::new(2, &open(1).attempt);
    let first = Frame::Open { key, window_bytes: 1_024, open: open(1) };
    let part = |size| Frame::Body { key, bytes: vec![0; size].into() };
    let faults = [
        // Opens the same stream twice, or one that is this end's to open.
        vec![first.clone(), first.clone()],
        vec![Frame::Open { key: ours, window_bytes: 1_024, open: open(1) }],
        // No window, so that the answer could never be sent.
        vec![Frame::Open { key, window_bytes: 0, open: open(1) }],
        // More body than the window allows, or body after its end.
        vec![first.clone(), part(9_000), part(9_000), part(9_000)],
        vec![first.clone(), Frame::BodyEnd(key), part(1)],
    ];
    for (number, frames) in faults.iter().enumerate() {
        let mut raw = RawPeer::dial(&a, "b").await;
        for frame in frames {
            raw.send(std::slice::from_ref(frame)).await;
        }
        raw.closed().await;
        until(|| a.count("link_ends", "violation") == number as i64 + 1).await;
    }
    for (number, bytes) in [b"no frame".to_vec(), vec![0x82; 17_000]].into_iter().enumerate() {
        let mut raw = RawPeer::dial(&a, "b").await;
        raw.send_bytes(bytes).await;
        raw.closed().await;
        until(|| a.count("link_ends", "violation") == (faults.len() + number + 1) as i64).await;
    }
}

#[tokio::test]
async fn a_peer_that_reads_nothing_holds_up_only_the_senders_of_parts() {
    // Symptom: memory grows without end. Sequence: a peer grants credit and reads nothing. Cause: a
    // queue to the socket that takes whatever the streams have.
    let a = router("a", 1, settings()).await;
    let mut raw = RawPeer::dial(&a, "b").await;
    let (body, body_parts) = mpsc::channel(1);
    let _exchange = a.links.open(&peer("b", a.address), open(1), body_parts).await.unwrap();
    let Frame::Open { key, .. } = raw.receive().await.remove(0) else { panic!() };
    raw.send(&[Frame::Credit { key, bytes: u32::MAX }]).await;
    let mut sent_bytes = 0;
    let mut stalled = false;
    while !stalled {
        let part = vec![0; 16 << 10];
        let sending = body.send(part.into());
        stalled = tokio::time::timeout(std::time::Duration::from_millis(500), sending)
            .await
            .map(|sent| sent.unwrap())
            .is_err();
        sent_bytes += 16 << 10;
        // Socket buffers of both ends and the queue hold a few megabytes.
        assert!(sent_bytes < 64 << 20);
    }
}
