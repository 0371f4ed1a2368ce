//! HTTP server on a loopback port that it keeps, also while it is down.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::stream;
use poem::http::StatusCode;
use poem::{Endpoint, Request, Response, Server};
use serde_json::Value;
use tokio::net::{TcpListener, TcpSocket};
use tokio_util::sync::CancellationToken;

use crate::connection::{self, BreakableAcceptor, breakable};

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
    /// use teaselworks_standin::http::PortGuard;
    ///
    /// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    /// # let _entered = runtime.enter();
    /// let guard = PortGuard::take().unwrap();
    /// assert_ne!(guard.address().port(), 0);
    /// ```
    pub fn take() -> io::Result<Self> {
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

struct Handler<F>(F);

impl<F, R> Endpoint for Handler<F>
where
    F: Fn(Request) -> R + Send + Sync,
    R: Future<Output = Response> + Send,
{
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let closed = connection::closed();
        tokio::select! {
            response = (self.0)(request) => Ok(response),
            () = closed.cancelled() => Ok(cut()),
        }
    }
}

type Start = Box<dyn Fn(TcpListener, CancellationToken) + Send + Sync>;

/// HTTP server that can be taken down and brought back on its port.
pub struct HttpServer {
    guard: PortGuard,
    start: Start,
    running: Mutex<Option<CancellationToken>>,
}

impl HttpServer {
    /// Starts a server that answers each request by `handle`.
    pub fn start<F, R>(handle: F) -> io::Result<Self>
    where
        F: Fn(Request) -> R + Send + Sync + 'static,
        R: Future<Output = Response> + Send + 'static,
    {
        let handle = Arc::new(handle);
        let guard = PortGuard::take()?;
        let address = guard.address();
        let start = move |listener, stop: CancellationToken| {
            let handle = handle.clone();
            let endpoint = Handler(move |request| handle(request));
            let acceptor = BreakableAcceptor { address, listener };
            tokio::spawn(async move {
                let server = Server::new_with_acceptor(acceptor);
                let stopped = stop.cancelled();
                server.run_with_graceful_shutdown(endpoint, stopped, Some(Duration::ZERO)).await
            });
        };
        let server = Self { guard, start: Box::new(start), running: Mutex::default() };
        server.resume()?;
        Ok(server)
    }

    /// Returns the address, the same through every stop.
    pub fn address(&self) -> SocketAddr {
        self.guard.address()
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Drops every connection and refuses new ones.
    pub fn stop(&self) {
        if let Some(running) = self.running.lock().expect("lock is never poisoned").take() {
            running.cancel();
        }
    }

    /// Accepts connections again; does nothing when the server runs.
    pub fn resume(&self) -> io::Result<()> {
        let mut running = self.running.lock().expect("lock is never poisoned");
        if running.is_some() {
            return Ok(());
        }
        let stop = CancellationToken::new();
        (self.start)(self.guard.listen()?, stop.clone());
        *running = Some(stop);
        Ok(())
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Makes an answer with a JSON body.
pub fn json(status: u16, body: &Value) -> Response {
    let status = StatusCode::from_u16(status).expect("stand-ins use valid statuses");
    Response::builder().status(status).content_type("application/json").body(body.to_string())
}

/// Makes an answer whose connection breaks before its body is whole.
pub fn cut() -> Response {
    let broken = stream::iter([Err(io::Error::other("cut on purpose"))]);
    Response::builder().body(breakable(broken))
}

/// Reads the whole body as JSON; `Null` when it is none.
pub async fn read_json(request: &mut Request) -> Value {
    let bytes = request.take_body().into_vec().await.unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or(Value::Null)
}

/// Uses up one of the faults still to come; tells whether there was one.
pub(crate) fn take(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}
