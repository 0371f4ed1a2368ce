//! Control messages: large, unanswered, declined, refused.

use std::time::Duration;

use bytes::Bytes;
use teaselworks::link::{LinkError, LinkErrorKind};
use teaselworks_standin::proxy::Proxy;
use teaselworks_wire::frame::{CallKey, Frame};
use teaselworks_wire::message::Purpose;
use tokio::time;

use crate::fixture::*;

#[tokio::test]
async fn a_large_message_is_answered_in_parts_and_every_byte_is_counted() {
    let (a, mut b) = impatient_routers(3_000).await;
    let proxy = Proxy::start(b.address).unwrap();
    let to_b = peer("b", proxy.address());
    let request = Bytes::from(vec![5; 300_000]);
    let call = a.links.call(&to_b, Purpose::Configuration, request.clone(), PATIENCE);
    let answer = async {
        let asked = b.control.recv().await.unwrap();
        assert_eq!((&asked.from[..], asked.purpose), ("a", Purpose::Configuration));
        // Long enough for pings.
        time::sleep(Duration::from_millis(1_700)).await;
        asked.answer.send(asked.bytes).unwrap();
    };
    assert_eq!(tokio::join!(call, answer).0, Ok(request));
    patiently(a.links.shutdown()).await;
    until(|| b.links.peers().is_empty()).await;
    // Handshake, message, pings, closing: nothing on the socket belonged to an attempt.
    for (counted, passed_bytes) in [
        (a.count("control_bytes", "out"), proxy.forward_bytes()),
        (b.count("control_bytes", "in"), proxy.forward_bytes()),
        (a.count("control_bytes", "in"), proxy.backward_bytes()),
        (b.count("control_bytes", "out"), proxy.backward_bytes()),
    ] {
        assert_eq!(counted as u64, passed_bytes);
    }
    assert!(a.count("control_bytes", "configuration") > 600_000);
    assert!(a.count("control_bytes", "link") > 0);
    assert_eq!(a.count("control_bytes", "usage"), 0);
}

#[tokio::test]
async fn an_unanswered_message_says_whether_the_peer_may_have_acted() {
    let (a, mut b) = routers().await;
    let to_b = peer("b", b.address);
    let call = async |size: usize, timeout: Duration| {
        a.links.call(&to_b, Purpose::Usage, vec![1; size].into(), timeout).await
    };
    let held = tokio::join!(call(1, Duration::from_millis(50)), b.control.recv());
    assert_eq!(held.0, Err(LinkError::may_have_run(LinkErrorKind::Timeout)));
    drop(held);
    let decline = async { drop(b.control.recv().await) };
    let declined = tokio::join!(call(1, PATIENCE), decline).0;
    assert_eq!(declined, Err(LinkError::may_have_run(LinkErrorKind::Declined)));
    let too_large = call(5 << 20, PATIENCE).await;
    assert_eq!(too_large, Err(LinkError::not_run(LinkErrorKind::TooLarge)));
}

#[tokio::test]
async fn control_messages_that_nobody_waits_for_take_no_memory() {
    // Symptom: memory grows with each timeout. Cause: requests or parts kept after their asker
    // left.
    let a = router("a", 1, settings()).await;
    let mut raw = RawPeer::dial(&a, "b").await;
    let brief = Duration::from_millis(50);
    let to_b = peer("b", a.address);
    let asked = a.links.call(&to_b, Purpose::Usage, Bytes::from("7"), brief).await;
    assert_eq!(asked, Err(LinkError::may_have_run(LinkErrorKind::Timeout)));
    let Frame::Call { key, .. } = raw.receive().await.remove(0) else { panic!() };
    raw.send(&[Frame::Answer { key, last: true, bytes: Bytes::from("late") }]).await;
    until(|| a.count("link_frames_dropped", "unknown_call") == 1).await;

    let part = |key| Frame::Call { key, last: false, bytes: vec![0; 16_000].into() };
    let (endless, withdrawn) = (key, CallKey { call: key.call + 1, ..key });
    for _ in 0..150 {
        raw.send(&[part(endless)]).await;
    }
    assert_eq!(raw.receive().await, [Frame::Decline { key: endless, unread: true }]);
    raw.send(&[part(withdrawn)]).await;
    // The link closes only when nothing is left of either message.
    raw.send(&[Frame::Withdraw(endless), Frame::Closing, Frame::Withdraw(withdrawn)]).await;
    raw.closed().await;
    until(|| a.count("link_ends", "closed") == 1).await;
}
