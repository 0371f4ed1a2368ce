//! The record of whether any byte of a request was written to its connection.

use std::io::ErrorKind;

use futures_util::FutureExt;
use teaselworks::relay::GatedStream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Opens a connection; returns both of its ends.
async fn connect() -> (GatedStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (GatedStream::new(stream), listener.accept().await.unwrap().0)
}

/// Guards against a request that reaches its upstream although it counts as not sent, because it was
/// written after its deadline.
#[tokio::test]
async fn nothing_is_written_after_the_gate_was_closed() {
    let (mut stream, mut peer) = connect().await;
    assert!(stream.gate().close());
    assert_eq!(stream.write(b"GET").await.unwrap_err().kind(), ErrorKind::BrokenPipe);
    drop(stream);
    let mut received = Vec::new();
    peer.read_to_end(&mut received).await.unwrap();
    assert!(received.is_empty());
}

/// Guards against a request that counts as not sent after a part of it was written.
#[tokio::test]
async fn a_gate_that_was_written_through_does_not_close() {
    let (mut stream, _peer) = connect().await;
    stream.write_all(b"G").await.unwrap();
    assert!(!stream.gate().close());
    stream.write_all(b"ET").await.unwrap();
}

/// Guards against a request that counts as possibly run although its connection was reset before
/// anything was written.
#[tokio::test]
async fn a_first_write_that_fails_leaves_nothing_written() {
    let (mut stream, peer) = connect().await;
    peer.set_zero_linger().unwrap();
    drop(peer);
    assert!(stream.read(&mut [0]).await.is_err());
    assert!(stream.write(b"GET").now_or_never().is_none());
    assert!(stream.gate().close());
}

/// Writes until that is pending: the connection has failed, which is not reported.
fn write_until_failed(stream: &mut GatedStream) {
    while stream.write(b"verse").now_or_never().is_some() {}
}

/// Guards against a reset that reads as the end of an answer, since a write got its error.
#[tokio::test]
async fn a_reset_that_a_write_met_is_not_the_end() {
    let (mut stream, mut peer) = connect().await;
    stream.write_all(b"POST").await.unwrap();
    peer.write_all(b"part").await.unwrap();
    peer.set_zero_linger().unwrap();
    drop(peer);
    write_until_failed(&mut stream);
    let mut received = Vec::new();
    assert!(stream.read_to_end(&mut received).await.is_err());
    assert_eq!(received, b"part");
}

/// Guards against a whole answer that counts as broken, since its connection was reset after its end.
#[tokio::test]
async fn a_reset_after_the_end_leaves_the_end() {
    let (mut stream, mut peer) = connect().await;
    stream.write_all(b"POST").await.unwrap();
    peer.write_all(b"whole").await.unwrap();
    peer.shutdown().await.unwrap();
    peer.set_zero_linger().unwrap();
    drop(peer);
    write_until_failed(&mut stream);
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, b"whole");
}
