//! HTTP connections that break where an answer does, and tell when the client has gone.
//!
//! The server library polls a connection once more after it has failed, which hides two failures.
//! A body whose stream fails is ended as if it were whole: the client takes a cut answer for a
//! whole one. And the handler or body of a request whose client has gone runs on: a chat that
//! waits for its turn, pauses, or is gathered into one document, is generated to its end though
//! nobody reads it. Here a failed body marks its connection, which refuses to write from then on;
//! and the end of the client's side ends handler and body.
//!
//! The library would also close idle connections, by a task for each that every read and write
//! wakes and that sets a timer anew each time: twice for every token. Here the timer runs to its
//! end, and the connection counts how often it did so in vain.

mod idle;

use std::collections::HashMap;
use std::io;
use std::iter;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt, TryStreamExt, stream};
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Body, Endpoint, IntoEndpoint, Request, Response};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task;
use tokio::time::{self, Sleep};
use tokio_util::sync::CancellationToken;

use self::idle::Idle;

/// Connections that may wait to be accepted; the system allows `net.core.somaxconn` at most.
const BACKLOG: u32 = 4_096;
/// Time for which a closing connection is still read.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes that a closing connection drops at a time.
const DISCARD_SIZE_BYTES: usize = 8 << 10;

/// What a connection, its handler and its body tell each other.
#[derive(Default)]
struct Shared {
    broken: AtomicBool,
    closed: CancellationToken,
    in_progress: AtomicUsize,
}

/// Keeps a connection from being idle while its handler runs or its body is sent.
struct InProgress(Arc<Shared>);

impl InProgress {
    fn new(connection: Arc<Shared>) -> Self {
        connection.in_progress.fetch_add(1, Ordering::Relaxed);
        Self(connection)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Open connections by the task that serves them; the task polls connection, handler and body.
static OPEN: LazyLock<Mutex<HashMap<task::Id, Arc<Shared>>>> = LazyLock::new(Mutex::default);

fn open() -> MutexGuard<'static, HashMap<task::Id, Arc<Shared>>> {
    OPEN.lock().expect("connection lock is never poisoned")
}

/// Returns the connection of the request being handled.
fn current() -> Arc<Shared> {
    open().get(&task::id()).cloned().unwrap_or_default()
}

/// Makes a body whose failure breaks the connection off before the body's end, and that ends when
/// the client has gone.
///
/// Must be called while the request is handled, on a port of [`ConnectionAcceptor`].
pub fn breakable(body: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Body {
    let connection = current();
    let closed = connection.closed.clone();
    let gone = iter::from_fn(move || closed.is_cancelled().then(client_gone));
    let in_progress = InProgress::new(connection.clone());
    let parts = body
        .take_until(connection.closed.clone().cancelled_owned())
        .chain(stream::iter(gone).take(1))
        .inspect_err(move |_| in_progress.0.broken.store(true, Ordering::Relaxed));
    Body::from_bytes_stream(parts)
}

fn client_gone() -> io::Result<Bytes> {
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// Makes an endpoint whose handler is dropped when the client has gone.
///
/// A client that only ended its own side still reads: it gets what `gone` makes.
pub fn dropped_with_client<E: IntoEndpoint>(
    endpoint: E,
    gone: impl Fn() -> Response + Send + Sync,
) -> impl Endpoint<Output = Response>
where
    E::Endpoint: 'static,
{
    DroppedWithClient { endpoint: endpoint.into_endpoint(), gone }
}

struct DroppedWithClient<E, F> {
    endpoint: E,
    gone: F,
}

impl<E, F> Endpoint for DroppedWithClient<E, F>
where
    E: Endpoint,
    F: Fn() -> Response + Send + Sync,
{
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let connection = current();
        let _in_progress = InProgress::new(connection.clone());
        tokio::select! {
            biased;
            // First: a handler that reads a body which breaks off says so best.
            response = self.endpoint.get_response(request) => Ok(response),
            // An empty answer would pass for a whole one with a client that half closed.
            () = connection.closed.cancelled() => Ok((self.gone)()),
        }
    }
}

/// Listens on an address; fails when it cannot be bound.
///
/// The library's own listener lets 128 connections wait. Callers come in bursts, and after a
/// failure all other routers dial at once: the system drops what exceeds the backlog, the peer
/// repeats a second later, and those callers see it in their first token (`ListenOverflows` of the
/// system).
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let listener = teaselworks::connection::listen("127.0.0.1:0".parse().unwrap()).unwrap();
/// assert_ne!(listener.local_addr().unwrap().port(), 0);
/// # });
/// ```
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A router that restarts would otherwise be kept from its port by its former connections.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections that break with their body and tell when the client has gone.
pub struct ConnectionAcceptor {
    address: SocketAddr,
    listener: TcpListener,
    idle_timeout: Option<Duration>,
}

impl ConnectionAcceptor {
    /// Accepts the connections of a listener; fails when the listener has no address.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        Ok(Self { address: listener.local_addr()?, listener, idle_timeout: None })
    }

    /// Closes connections on which nothing was in progress and nothing arrived for a time.
    pub fn with_idle_timeout(self, timeout: Duration) -> Self {
        Self { idle_timeout: Some(timeout), ..self }
    }

    /// Returns the address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Acceptor for ConnectionAcceptor {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, remote) = self.listener.accept().await?;
        // Tokens are small writes: held back for an earlier one's acknowledgement, each would wait
        // for tens of milliseconds.
        stream.set_nodelay(true)?;
        let idle = self.idle_timeout.map(Idle::new);
        let shared = Arc::default();
        let connection = Connection { stream, shared, task: None, linger: None, idle };
        Ok((connection, LocalAddr(self.address.into()), RemoteAddr(remote.into()), Scheme::HTTP))
    }
}

/// One connection of a [`ConnectionAcceptor`].
pub struct Connection {
    stream: TcpStream,
    shared: Arc<Shared>,
    task: Option<task::Id>,
    /// Set when the answer has been sent and the connection closes.
    linger: Option<Pin<Box<Sleep>>>,
    idle: Option<Idle>,
}

impl Connection {
    /// Returns the stream for writing; fails once a body has failed.
    fn writer(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        if self.shared.broken.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(Pin::new(&mut self.stream))
    }

    /// Polls for the time at which the connection is closed for being idle.
    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let in_progress = self.shared.in_progress.load(Ordering::Relaxed) > 0;
        match &mut self.idle {
            Some(idle) => idle.poll(in_progress, cx),
            None => Poll::Pending,
        }
    }

    /// Returns the stream for writing, and notes that it is used.
    fn busy_writer(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        if let Some(idle) = &mut self.idle {
            idle.note_write();
        }
        self.writer()
    }
}

impl Connection {
    /// Reads and drops what the client still sends, until it closes or the time is over.
    ///
    /// A connection that is closed while bytes arrive is reset, and an answer that was on its way
    /// is lost with it: a client that is refused in the middle of its upload sees a broken
    /// connection instead of the refusal.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [MaybeUninit::uninit(); DISCARD_SIZE_BYTES];
        loop {
            let over = self.linger.as_mut().is_none_or(|time| time.as_mut().poll(cx).is_ready());
            if over {
                return Poll::Ready(());
            }
            let mut buffer = ReadBuf::uninit(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.closed.cancel();
        if let Some(task) = self.task {
            open().remove(&task);
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.task.is_none() {
            // The first read comes before any request, in the task that will handle it.
            self.task = Some(task::id());
            open().insert(task::id(), self.shared.clone());
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if read.is_pending() && self.poll_idle(cx).is_ready() {
            // Looks to the server like the client's end.
            self.shared.closed.cancel();
            return Poll::Ready(Ok(()));
        }
        if let Some(idle) = &mut self.idle
            && read.is_ready()
        {
            idle.note_read(&buffer.filled()[before..]);
        }
        let ended = match &read {
            Poll::Ready(Ok(())) => buffer.filled().len() == before && buffer.remaining() > 0,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if ended {
            self.shared.closed.cancel();
        }
        read
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.busy_writer()?.poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.busy_writer()?.poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer()?.poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if self.shared.broken.load(Ordering::Relaxed) {
                return Poll::Ready(Ok(()));
            }
            self.linger = Some(Box::pin(time::sleep(LINGER)));
        }
        self.poll_discard(cx).map(Ok)
    }
}
