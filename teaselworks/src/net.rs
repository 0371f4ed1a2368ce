//! TCP listeners, TCP connections that detect an unreachable peer, and what a valid response is.

pub mod response_head;
mod yielding_stream;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

pub use self::yielding_stream::YieldingStream;
use crate::event;

/// Longest time to open a connection. It is shorter than the time after which TCP sends the first
/// packet again, because connecting to another upstream takes less time than that.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which sent bytes may stay unacknowledged before the connection is closed; it
/// tolerates the loss of two packets in a row.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first keepalive probe of a connection, and the time between probes. The
/// user timeout ends a connection when a probe is due and an earlier one was not answered, so that
/// two must fit into it.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection is closed on systems where the
/// user timeout does not apply to them.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// Delay after a connection could not be accepted: file descriptors become free again when other
/// connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of connections that wait to be accepted. Connections of a larger burst would be
/// delayed by seconds.
const LISTEN_BACKLOG: u32 = 1_024;

/// Opens a connection within [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    connect_within(address, CONNECT_TIMEOUT).await
}

/// Opens a connection; fails with [`io::ErrorKind::TimedOut`] if that takes longer than `timeout`.
///
/// ```
/// use std::time::Duration;
/// use teaselworks::net;
///
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// # runtime.block_on(async {
/// let listener = net::listen(([127, 0, 0, 1], 0).into()).unwrap();
/// let address = listener.local_addr().unwrap();
/// assert!(net::connect_within(address, Duration::from_secs(9)).await.is_ok());
/// # });
/// ```
pub async fn connect_within(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    enable_dead_peer_detection(&stream)?;
    Ok(stream)
}

/// Sets the options of a connection that close it when its peer neither acknowledges data nor
/// answers keepalive probes, and that send small packets without delay.
///
/// A VM that has lost its power or its network sends no reset, so the connection would otherwise
/// stay open.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Accepts the next connection. A failure is logged, and accepting is tried again after a short
/// delay.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        let accepted = listener.accept().await;
        match accepted.and_then(|(stream, _)| enable_dead_peer_detection(&stream).map(|()| stream))
        {
            Ok(stream) => return stream,
            Err(error) => {
                event::ACCEPT_FAILED.log(&[event::text("cause", &error)]);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Closes a listener and returns the connections that wait to be accepted, which it would reset.
pub fn accept_waiting(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let Ok(listener) = listener.into_std() else { return streams };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        streams.extend(stream.and_then(|s| enable_dead_peer_detection(&s).map(|()| s)));
    }
    streams
}

/// Listens for TCP connections on an address, which may still be in use by closed connections of an
/// earlier process.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
