//! Broken, frozen and quiet connections, restarted and stopping routers.

use std::time::Duration;

use teaselworks::link::LinkErrorKind;
use teaselworks_config::settings::LinkSettings;
use teaselworks_policy::verdict::Verdict;
use teaselworks_standin::proxy::Proxy;
use teaselworks_wire::handshake::HandshakeError;
use tokio::net::TcpListener;
use tokio::time;

use crate::fixture::*;

#[tokio::test]
async fn a_wrong_secret_is_refused_and_nothing_runs() {
    // Symptom: a stranger's process opens attempts. Cause: its secret was not checked.
    let a = router("a", 1, settings()).await;
    let stranger = LinkSettings { secret: "another secret, not ours".into(), ..settings() };
    let mut b = router("b", 1, stranger).await;
    let error = a.links.open(&peer("b", b.address), open(1), no_body()).await.unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(error.kind, LinkErrorKind::Handshake(HandshakeError::WrongSecret));
    assert!(b.took_nothing());
    until(|| a.count("link_handshake_failures", "wrong_secret") == 1).await;
    until(|| b.count("link_handshake_failures", "wrong_secret") == 1).await;
}

#[tokio::test]
async fn an_unreachable_or_silent_peer_means_not_run() {
    let hasty = LinkSettings { connect_timeout_ms: 50, ..settings() };
    let a = router("a", 1, hasty).await;
    // Takes connections into its backlog and says nothing.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = silent.local_addr().unwrap();
    let silent_peer = peer("b", address);
    let opens = (0..20).map(|n| a.links.open(&silent_peer, open(n), no_body()));
    for error in futures_util::future::join_all(opens).await {
        let error = error.unwrap_err();
        assert_eq!((error.kind, error.verdict), (LinkErrorKind::ConnectTimeout, Verdict::NotRun));
    }
    drop(silent);
    let error = a.links.open(&peer("b", address), open(1), no_body()).await.unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun);
    assert!(matches!(error.kind, LinkErrorKind::Connect(_)));
}

#[tokio::test]
async fn a_cut_link_ends_answers_without_a_finish_and_is_replaced() {
    // Symptom: a truncated answer passes for whole, or an engine works on for nobody. Sequence: the
    // connection is cut in the middle of an answer. Cause: an end that looks like a finish.
    let (a, mut b) = routers().await;
    let proxy = Proxy::start(b.address).unwrap();
    let to_b = peer("b", proxy.address());
    let mut exchange = a.open_to(&to_b, 1).await;
    let mut incoming = b.take().await;
    incoming.replies.send(data(0, 1, "half")).await.unwrap();
    assert!(patiently(exchange.replies.recv()).await.is_some());
    proxy.cut();
    assert_eq!(read_all(&mut exchange).await, (vec![], false));
    patiently(incoming.cancelled.cancelled()).await;
    assert_eq!(patiently(incoming.body.recv()).await, None);
    until(|| a.count("link_ends", "broken") == 1 && b.count("link_ends", "broken") == 1).await;
    let mut exchange = a.open_to(&to_b, 2).await;
    b.take().await.replies.send(finish(0)).await.unwrap();
    assert_eq!(read_all(&mut exchange).await, (vec![], true));
}

#[tokio::test]
async fn a_half_open_link_is_given_up_by_both_ends() {
    // Symptom: callers hang until their deadlines. Sequence: the network between two VMs drops
    // everything while an answer is awaited. Cause: TCP itself reports that after many minutes.
    let (a, mut b) = impatient_routers(600).await;
    let proxy = Proxy::start(b.address).unwrap();
    let mut exchange = a.open_to(&peer("b", proxy.address()), 1).await;
    let incoming = b.take().await;
    proxy.set_frozen(true);
    assert_eq!(read_all(&mut exchange).await, (vec![], false));
    patiently(incoming.cancelled.cancelled()).await;
    assert_eq!(a.count("link_ends", "silent"), 1);
    until(|| b.count("link_ends", "silent") == 1).await;
}

#[tokio::test]
async fn a_healthy_link_survives_a_long_wait_and_a_quiet_one_sends_nothing() {
    const IDLE_TIMEOUT_MS: u64 = 1_800;
    let (a, mut b) = impatient_routers(IDLE_TIMEOUT_MS).await;
    let proxy = Proxy::start(b.address).unwrap();
    let mut exchange = a.open_to(&peer("b", proxy.address()), 1).await;
    let incoming = b.take().await;
    let idle_timeout = Duration::from_millis(IDLE_TIMEOUT_MS);
    // An engine may think for longer than the timeout; pings show that its owner lives.
    time::sleep(2 * idle_timeout).await;
    incoming.replies.send(finish(0)).await.unwrap();
    assert_eq!(read_all(&mut exchange).await, (vec![], true));
    // Several hundred quiet links must not eat the budget for control bytes.
    let passed_bytes = || (proxy.forward_bytes(), proxy.backward_bytes());
    time::sleep(idle_timeout).await;
    let before = passed_bytes();
    time::sleep(idle_timeout).await;
    assert_eq!(passed_bytes(), before);
    assert_eq!(proxy.connections(), 1);
}

#[tokio::test]
async fn a_quiet_link_is_closed_and_opened_again_when_needed() {
    let brief = LinkSettings { quiet_close_ms: 400, idle_timeout_ms: 1_000, ..settings() };
    let (a, mut b) = (router("a", 1, brief.clone()).await, router("b", 1, brief).await);
    for sequence in 1..3 {
        let mut exchange = a.open_to(&peer("b", b.address), sequence).await;
        b.take().await.replies.send(finish(0)).await.unwrap();
        assert_eq!(read_all(&mut exchange).await, (vec![], true));
        until(|| a.links.peers().is_empty() && b.links.peers().is_empty()).await;
        assert_eq!(a.count("link_ends", "closed"), sequence as i64);
    }
}

#[tokio::test]
async fn a_restarted_peer_replaces_its_old_link() {
    // Symptom: attempts vanish into a process that is gone. Sequence: a VM is replaced under its
    // name while the old one's connection seems open. Cause: links known by name alone.
    let (a, mut old) = routers().await;
    let mut cut = a.open_to(&peer("b", old.address), 1).await;
    let in_progress = old.take().await;
    let mut new = router("b", 2, settings()).await;
    let mut to_a = new.open_to(&peer("a", a.address), 2).await;
    let mut to_new = a.open_to(&peer("b", old.address), 3).await;
    new.take().await.replies.send(finish(0)).await.unwrap();
    assert_eq!(read_all(&mut to_new).await, (vec![], true));
    assert!(old.took_nothing());
    // What the old process still has in progress may end.
    in_progress.replies.send(finish(0)).await.unwrap();
    assert_eq!(read_all(&mut cut).await, (vec![], true));
    until(|| old.links.peers().is_empty()).await;
    drop((a, new));
    assert!(to_a.replies.try_recv().is_err());
}

#[tokio::test]
async fn a_peer_with_a_new_address_is_dialed_there() {
    // Symptom: as above, until the timeout. Sequence: the replaced VM has not dialed this router.
    let (a, mut old) = routers().await;
    let in_progress = a.open_to(&peer("b", old.address), 1).await;
    old.take().await;
    let mut new = router("b", 2, settings()).await;
    for (sequence, router) in [(2, &mut new), (3, &mut old)] {
        let mut exchange = a.open_to(&peer("b", router.address), sequence).await;
        router.take().await.replies.send(finish(0)).await.unwrap();
        assert_eq!(read_all(&mut exchange).await, (vec![], true));
    }
    drop(in_progress);
}

#[tokio::test]
async fn a_stopping_router_finishes_its_streams_and_opens_none() {
    let (a, mut b) = routers().await;
    let to_b = peer("b", b.address);
    let mut exchange = a.open_to(&to_b, 1).await;
    let incoming = b.take().await;
    let stopping = tokio::spawn({
        let links = b.links.clone();
        async move { links.shutdown().await }
    });
    // Until the peer's word arrives, attempts still reach the stopping router and are served.
    let refused = async {
        loop {
            let refused = a.links.open(&to_b, open(2), no_body()).await;
            if let Err(error) = refused {
                return error;
            }
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert_eq!(patiently(refused).await.verdict, Verdict::NotRun);
    incoming.replies.send(data(0, 1, "whole")).await.unwrap();
    incoming.replies.send(finish(5)).await.unwrap();
    assert_eq!(read_all(&mut exchange).await, (b"whole".to_vec(), true));
    while !b.took_nothing() {}
    patiently(stopping).await.unwrap();
    let error = b.links.open(&peer("a", a.address), open(3), no_body()).await.unwrap_err();
    assert_eq!((error.kind, error.verdict), (LinkErrorKind::Stopping, Verdict::NotRun));
}

#[tokio::test]
async fn a_silent_peer_is_doubted_until_it_says_something() {
    // Symptom: chats wait out their deadlines at an owner that says nothing. Sequence: an attempt
    // is sent to a peer that stands still for a while. Cause: only the end of the link tells of it.
    let hasty = LinkSettings { probe_timeout_ms: 60, ..settings() };
    let (a, mut b) = (router("a", 1, hasty.clone()).await, router("b", 1, hasty).await);
    let proxy = Proxy::start(b.address).unwrap();
    let to_b = peer("b", proxy.address());
    let mut exchange = a.open_to(&to_b, 1).await;
    let incoming = b.take().await;
    proxy.set_frozen(true);
    assert_eq!(patiently(exchange.recv_unless_doubted()).await, None);
    let error = a.links.open(&to_b, open(2), no_body()).await.unwrap_err();
    assert_eq!((error.kind, error.verdict), (LinkErrorKind::Doubted, Verdict::NotRun));
    let doubted =
        |line: &str| line.starts_with("teaselworks_link_doubts_total") && !line.ends_with(" 0");
    assert!(a.metrics.to_text().lines().any(doubted));
    // Whoever may not ask elsewhere still gets the answer.
    proxy.set_frozen(false);
    incoming.replies.send(finish(0)).await.unwrap();
    assert_eq!(read_all(&mut exchange).await, (vec![], true));
    patiently(async {
        while a.links.open(&to_b, open(3), no_body()).await.is_err() {
            time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    assert_eq!(a.count("link_ends", "silent") + b.count("link_ends", "silent"), 0);
}

#[tokio::test]
async fn a_link_that_died_unnoticed_is_replaced_before_it_is_given_up() {
    // Symptom: a peer is out of reach for the time after which links are given up. Sequence: its
    // only link carries nothing any more; new connections work. Cause: the dead link is taken for
    // usable.
    let hasty = LinkSettings { probe_timeout_ms: 60, idle_timeout_ms: 60_000, ..settings() };
    let (a, mut b) = (router("a", 1, hasty.clone()).await, router("b", 1, hasty).await);
    let proxy = Proxy::start(b.address).unwrap();
    let to_b = peer("b", proxy.address());
    let mut lost = a.open_to(&to_b, 1).await;
    b.take().await;
    proxy.stall();
    assert_eq!(patiently(lost.recv_unless_doubted()).await, None);
    let mut exchange = patiently(async {
        loop {
            if let Ok(exchange) = a.links.open(&to_b, open(2), no_body()).await {
                return exchange;
            }
            time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    b.take().await.replies.send(finish(0)).await.unwrap();
    assert_eq!(read_all(&mut exchange).await, (vec![], true));
    assert_eq!(proxy.connections(), 2);
}

#[tokio::test]
async fn a_slow_peer_keeps_its_link() {
    // Symptom: answers are cut by the dozen when the fleet is busy. Sequence: everything from a
    // peer arrives later than the time after which it is doubted. Cause: slow is taken for lost.
    const PARTS: u64 = 20;
    let hasty = LinkSettings { probe_timeout_ms: 60, idle_timeout_ms: 1_500, ..settings() };
    let (a, mut b) = (router("a", 1, hasty.clone()).await, router("b", 1, hasty).await);
    let proxy = Proxy::start(b.address).unwrap();
    let mut exchange = a.open_to(&peer("b", proxy.address()), 1).await;
    let incoming = b.take().await;
    proxy.set_faults(|faults| faults.backward.delay = Duration::from_millis(300));
    let sender = tokio::spawn(async move {
        for part in 0..PARTS {
            incoming.replies.send(data(part, part + 1, "x")).await.unwrap();
            time::sleep(Duration::from_millis(150)).await;
        }
        incoming.replies.send(finish(PARTS)).await.unwrap();
    });
    assert_eq!(read_all(&mut exchange).await, (vec![b'x'; PARTS as usize], true));
    patiently(sender).await.unwrap();
    assert_eq!(a.count("link_ends", "silent") + b.count("link_ends", "silent"), 0);
}
