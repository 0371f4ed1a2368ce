//! Callers and checks for responses without end.

use std::net::SocketAddr;
use std::time::Duration;

use teaselworks_standin::caller::Call;
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::router::Router;
use teaselworks_standin::upstream::Upstream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time within which a request has its final answer: the timeout of the default routes, several
/// times the deadline of the requests here.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest end of a response that is kept.
const TAIL_BYTES: usize = 16;
/// Longest head of a response that a router may send.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// What a caller saw that discards the body.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// Status code; 0 if the connection was closed before the end of the head.
    pub status: u16,
    /// Whether the body had its whole length or its last chunk.
    pub is_whole: bool,
}

/// Sends a request on a new connection and reads the response to its end without keeping it.
pub async fn call_and_discard(address: SocketAddr, call: &Call) -> Outcome {
    let exchange = exchange(address, call);
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.expect("the request has a final answer")
}

async fn exchange(address: SocketAddr, call: &Call) -> Outcome {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&call.bytes()).await.unwrap();
    let mut buffer = vec![0; 64 << 10];
    let mut head = Vec::new();
    let body_start = loop {
        if let Some(end) = head.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end + 4;
        }
        assert!(head.len() < MAX_HEAD_BYTES, "the head goes on");
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return Outcome::default(),
            Ok(length) => head.extend_from_slice(&buffer[..length]),
        }
    };
    let text = String::from_utf8_lossy(&head[..body_start]).to_ascii_lowercase();
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let length = text.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: Option<usize> = length.and_then(|length| length.parse().ok());
    let mut tail = head.split_off(body_start);
    let mut received = tail.len();
    loop {
        let is_whole = length.map_or(tail.ends_with(b"0\r\n\r\n"), |length| received >= length);
        if is_whole {
            return Outcome { status, is_whole };
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return Outcome { status, is_whole },
            Ok(read) => {
                received += read;
                tail.extend_from_slice(&buffer[..read]);
                tail.drain(..tail.len().saturating_sub(TAIL_BYTES));
            }
        }
    }
}

/// Returns the largest resident memory that a router has had, in KB, as `VmHWM` states it.
pub fn peak_memory_kb(router: &Router) -> u64 {
    let process = router.process_id().expect("the router runs");
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Waits until every connection on which a replica of the fleet writes without end is closed.
/// Returns how many there were.
pub async fn wait_until_closed(fleet: &Fleet) -> usize {
    wait_for_closing(fleet.engines.iter().chain(&fleet.archives)).await
}

/// Waits until every connection on which one of the servers writes without end is closed. Returns
/// how many there were.
pub async fn wait_for_closing<'a>(servers: impl Iterator<Item = &'a Upstream> + Clone) -> usize {
    let responses = || servers.clone().flat_map(Upstream::endless_responses);
    wait_until("endless responses are closed", async || {
        responses().all(|response| response.is_closed)
    })
    .await
    .unwrap_or_else(|error| panic!("{error}: {:?}", responses().collect::<Vec<_>>()));
    responses().count()
}
