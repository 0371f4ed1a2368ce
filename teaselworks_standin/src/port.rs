//! Reserves free loopback ports, so that no other process can take them during a test.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum number of connections that wait to be accepted by a listener.
const BACKLOG: u32 = 1_024;

/// A free loopback port that the operating system assigns to no other socket while this value
/// exists.
///
/// If a test only looked up a free port, another process could bind it first, and the test would
/// connect to that process. This type keeps a socket that is bound to the port and never listens:
/// connections to the port are refused, and only a listener that explicitly binds the port with
/// `SO_REUSEADDR` can share it.
#[derive(Debug)]
pub struct PortGuard {
    socket: TcpSocket,
}

impl PortGuard {
    /// Reserves a free port.
    ///
    /// ```
    /// use teaselworks_standin::port::PortGuard;
    ///
    /// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    /// # let _entered = runtime.enter();
    /// let guard = PortGuard::reserve().unwrap();
    /// assert_ne!(guard.address().port(), 0);
    /// ```
    pub fn reserve() -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Self { socket })
    }

    /// Returns the loopback address with the reserved port.
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("a bound socket has an address")
    }

    /// Listens on the reserved port. Fails while another socket listens on it.
    pub fn listen(&self) -> io::Result<TcpListener> {
        self.listen_with_backlog(BACKLOG)
    }

    /// Listens on the reserved port without accepting connections. Fails while another socket
    /// listens on it.
    ///
    /// The listen queue has room for one connection. Once it is filled, the packets that open
    /// further connections are dropped, as by a VM that has no power.
    pub fn listen_without_room(&self) -> io::Result<TcpListener> {
        self.listen_with_backlog(0)
    }

    fn listen_with_backlog(&self, backlog: u32) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address())?;
        socket.listen(backlog)
    }
}

/// Sets whether dropping a connection resets it, instead of ending it after what was written.
pub(crate) fn reset_when_dropped(stream: &TcpStream, is_reset: bool) {
    let linger = is_reset.then_some(Duration::ZERO);
    // A connection that has failed already needs no option.
    #[expect(deprecated, reason = "a linger of zero does not block")]
    let _ = stream.set_linger(linger);
}
