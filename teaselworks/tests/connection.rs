//! A port shows a cut answer as cut, and gives up on requests whose client has gone.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use poem::endpoint::make_sync;
use poem::http::StatusCode;
use poem::{Endpoint, EndpointExt, Response, Server, get};
use teaselworks::connection::{ConnectionAcceptor, breakable, dropped_with_client};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;

fn gone() -> Response {
    Response::builder().status(StatusCode::BAD_REQUEST).body("half closed")
}

async fn serve(endpoint: impl Endpoint + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let acceptor = ConnectionAcceptor::new(listener).unwrap();
    let address = acceptor.address();
    tokio::spawn(Server::new_with_acceptor(acceptor).run(dropped_with_client(endpoint, gone)));
    address
}

// Symptom: a caller takes the first half of an answer for all of it.
// Sequence: the answer's first bytes are sent, then its source fails.
// Cause: the server library writes the end of a chunked body after the body has failed.
#[tokio::test]
async fn a_body_that_fails_has_no_end() {
    let endpoint = make_sync(|_| {
        let parts = [Ok("first half".into()), Err(io::Error::other("the source failed"))];
        Response::builder().body(breakable(stream::iter(parts)))
    });
    let mut client = TcpStream::connect(serve(endpoint).await).await.unwrap();
    client.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
    let mut answer = Vec::new();
    let _ = client.read_to_end(&mut answer).await;
    let answer = String::from_utf8(answer).unwrap();
    assert!(!answer.ends_with("0\r\n\r\n"), "the answer looks whole: {answer}");
}

struct Released(Arc<Semaphore>);

impl Drop for Released {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}

// Symptom: an engine generates an answer that nobody will read.
// Sequence: a request waits for its turn; its client closes the connection.
// Cause: the server library goes on with a handler that has not answered yet.
#[tokio::test]
async fn a_handler_ends_with_its_client() {
    let (started, ended) = (Arc::new(Semaphore::new(0)), Arc::new(Semaphore::new(0)));
    let (starts, ends) = (started.clone(), ended.clone());
    let endpoint = poem::endpoint::make(move |_| {
        let (starts, released) = (starts.clone(), Released(ends.clone()));
        async move {
            let _released = released;
            starts.add_permits(1);
            std::future::pending::<String>().await
        }
    });
    let mut client = TcpStream::connect(serve(get(endpoint).boxed()).await).await.unwrap();
    client.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
    started.acquire().await.unwrap().forget();
    drop(client);
    ended.acquire().await.unwrap().forget();
}

// Symptom: an engine generates an answer that nobody reads any more.
// Sequence: an answer has begun and pauses; its client closes the connection.
// Cause: the server library notices the client only when it writes the next part.
#[tokio::test]
async fn a_body_ends_with_its_client() {
    let ended = Arc::new(Semaphore::new(0));
    let ends = ended.clone();
    let endpoint = make_sync(move |_| {
        let released = Released(ends.clone());
        let parts = stream::unfold((released, false), |(released, begun)| async move {
            if begun {
                std::future::pending::<()>().await;
            }
            Some((Ok("first half".into()), (released, true)))
        });
        Response::builder().body(breakable(parts))
    });
    let mut client = TcpStream::connect(serve(endpoint).await).await.unwrap();
    client.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"first half\r\n") {
        client.read_buf(&mut answer).await.unwrap();
    }
    drop(client);
    ended.acquire().await.unwrap().forget();
}

// Symptom: a caller that half closed its connection takes an empty 200 for its answer.
// Sequence: a request is sent whole and waits; its client ends its own side and reads on.
// Cause: the handler is dropped as if the client had gone, and something must be answered.
#[tokio::test]
async fn a_half_closed_client_gets_no_empty_success() {
    let endpoint = poem::endpoint::make(|_| std::future::pending::<String>());
    let mut client = TcpStream::connect(serve(get(endpoint).boxed()).await).await.unwrap();
    client.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
    client.shutdown().await.unwrap();
    let mut answer = String::new();
    client.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer:?}");
}

/// Idle timeout of the tests.
const IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait for a connection to be closed.
const PATIENCE: Duration = Duration::from_secs(30);

async fn serve_until_idle(endpoint: impl Endpoint + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let acceptor = ConnectionAcceptor::new(listener).unwrap().with_idle_timeout(IDLE_TIMEOUT);
    let address = acceptor.address();
    tokio::spawn(Server::new_with_acceptor(acceptor).run(dropped_with_client(endpoint, gone)));
    address
}

// Symptom: a router runs out of sockets. Sequence: clients keep connections that they no longer
// use, after a request, before any, and in the middle of one's head. Cause: nobody closes them.
#[tokio::test]
async fn an_idle_connection_is_closed() {
    let endpoint = make_sync(|_| {
        let parts = stream::iter(["who", "le"].map(|part| Ok(part.into())));
        Response::builder().content_type("text/plain").body(breakable(parts))
    });
    let address = serve_until_idle(endpoint).await;
    for sent in ["GET / HTTP/1.1\r\nhost: x\r\n\r\n", "", "GET / HT"] {
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(sent.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let closed = time::timeout(PATIENCE, client.read_to_end(&mut answer)).await;
        closed.expect("the connection is closed").unwrap();
        let text = String::from_utf8_lossy(&answer);
        assert_eq!(text.contains("\r\nle\r\n"), sent.ends_with("\r\n\r\n"), "{text}");
    }
}

// Symptom: a caller loses an answer whose engine thinks for long. Sequence: the handler waits for
// longer than the idle timeout, then the body does, then the client sends its next request.
// Cause: a timeout that takes a connection for idle on which merely nothing is sent.
#[tokio::test]
async fn a_quiet_answer_is_not_idle() {
    let endpoint = poem::endpoint::make(|_| async {
        time::sleep(IDLE_TIMEOUT * 4).await;
        let parts = stream::iter([0, 1]).then(|part| async move {
            time::sleep(IDLE_TIMEOUT * 4 * part).await;
            Ok(format!("part {part}").into())
        });
        Ok::<_, poem::Error>(Response::builder().body(breakable(parts)))
    });
    let mut client = TcpStream::connect(serve_until_idle(endpoint).await).await.unwrap();
    for _ in 0..2 {
        client.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
        let mut answer = Vec::new();
        while !answer.ends_with(b"0\r\n\r\n") {
            assert_ne!(client.read_buf(&mut answer).await.unwrap(), 0, "{answer:?}");
        }
        assert!(String::from_utf8(answer).unwrap().contains("part 1"));
    }
    let closed = time::timeout(PATIENCE, client.read_to_end(&mut Vec::new())).await;
    closed.expect("the connection is closed").unwrap();
}

// Symptom: a client on a slow line gets the beginning of a large document. Sequence: it takes
// longer than the idle timeout to read what fills the sockets' buffers. Cause: as above, with a
// body that was handed over at once, so that nothing seems to be in progress.
#[tokio::test]
async fn a_client_that_reads_slowly_is_not_idle() {
    const DOCUMENT_SIZE_BYTES: usize = 32 << 20;
    let endpoint = make_sync(|_| Response::builder().body(vec![b'x'; DOCUMENT_SIZE_BYTES]));
    let mut client = TcpStream::connect(serve_until_idle(endpoint).await).await.unwrap();
    client.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
    time::sleep(IDLE_TIMEOUT * 8).await;
    let mut answer = Vec::new();
    let closed = time::timeout(PATIENCE, client.read_to_end(&mut answer)).await;
    closed.expect("the connection is closed").unwrap();
    assert!(answer.len() > DOCUMENT_SIZE_BYTES, "{}", answer.len());
}
