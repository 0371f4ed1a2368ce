//! Free loopback ports.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Free loopback port that nobody else is given while this value lives.
///
/// A port that is only looked up may go to another process before it is bound, and then a test
/// talks to a stranger. A bound socket that never listens keeps the port: connections to it are
/// refused, and only a listener that names the port can share it.
#[derive(Debug)]
pub struct PortGuard {
    socket: TcpSocket,
}

impl PortGuard {
    /// Takes a free port.
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

    /// Returns the address that is kept.
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("a bound socket has an address")
    }

    /// Listens on the port.
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address())?;
        socket.listen(BACKLOG)
    }
}
