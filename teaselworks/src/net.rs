//! TCP connections that notice a peer that went silent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::event;

/// Longest time to open a connection; less than the time after which the first packet is sent again,
/// as another upstream is reached sooner.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which sent bytes may stay unacknowledged: two losses in a row are borne.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Silence after which an idle connection is probed, and the time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Probes without an answer that end a connection.
const PROBES: u32 = 2;
/// Pause after a connection could not be accepted: descriptors are free again when others close.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that may wait to be accepted; a burst beyond it would lose seconds.
const BACKLOG: u32 = 1_024;

/// Opens a connection within [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    connect_within(address, CONNECT_TIMEOUT).await
}

/// Opens a connection; fails with [`io::ErrorKind::TimedOut`] where that takes longer than `longest`.
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
pub async fn connect_within(address: SocketAddr, longest: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(longest, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    watch_peer(&stream)?;
    Ok(stream)
}

/// Makes a connection end when its peer neither acknowledges nor answers probes.
///
/// A VM that lost power or is cut off sends no reset.
pub fn watch_peer(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Accepts the next connection; failures are logged and waited out.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        let accepted = listener.accept().await;
        match accepted.and_then(|(stream, _)| watch_peer(&stream).map(|()| stream)) {
            Ok(stream) => return stream,
            Err(error) => {
                event::ACCEPT_FAILED.log(&[event::text("cause", &error)]);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Listens on an address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
