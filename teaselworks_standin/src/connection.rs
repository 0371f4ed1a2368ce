//! HTTP connections that break where a body does, and tell when the client has gone.
//!
//! The server library polls a connection once more after it has failed. That hides two failures.
//! A body whose stream fails is ended as if it were whole, so that a client takes a cut answer for
//! a whole one. And the handler or body of a request whose client has gone runs on until it
//! writes, so that nothing that waits is cancelled. Here a failed body marks its connection, which
//! refuses to write from then on; and the end of the client's side ends handler and body.

use std::collections::HashMap;
use std::io;
use std::iter;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{LazyLock, Mutex, MutexGuard};
use std::task::{Context, Poll};

use futures_util::{Stream, StreamExt, TryStreamExt, stream};
use poem::Body;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;
use tokio_util::sync::CancellationToken;

#[derive(Default)]
struct State {
    broken: bool,
    closed: CancellationToken,
}

/// Connections by the task that serves them: the same task polls connection, handler and body.
static CONNECTIONS: LazyLock<Mutex<HashMap<task::Id, State>>> = LazyLock::new(Mutex::default);

fn connections() -> MutexGuard<'static, HashMap<task::Id, State>> {
    CONNECTIONS.lock().expect("lock is never poisoned")
}

/// Makes a body whose failure breaks the connection, and that ends when the client has gone.
pub fn breakable(body: impl Stream<Item = io::Result<String>> + Send + 'static) -> Body {
    let ended = closed();
    let gone = iter::from_fn(move || {
        ended.is_cancelled().then(|| Err(io::ErrorKind::ConnectionAborted.into()))
    });
    let parts = body
        .take_until(closed().cancelled_owned())
        .chain(stream::iter(gone).take(1))
        .inspect_err(|_| connections().entry(task::id()).or_default().broken = true);
    Body::from_bytes_stream(parts)
}

/// Returns a token that is cancelled when the client of the request being handled has gone.
pub(crate) fn closed() -> CancellationToken {
    connections().get(&task::id()).map(|state| state.closed.clone()).unwrap_or_default()
}

/// Accepts connections that can be broken.
pub(crate) struct BreakableAcceptor {
    pub address: SocketAddr,
    pub listener: TcpListener,
}

impl Acceptor for BreakableAcceptor {
    type Io = BreakableStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, remote) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let stream = BreakableStream { stream, task: None };
        Ok((stream, LocalAddr(self.address.into()), RemoteAddr(remote.into()), Scheme::HTTP))
    }
}

/// Connection that refuses to write once its body failed.
pub(crate) struct BreakableStream {
    stream: TcpStream,
    task: Option<task::Id>,
}

impl BreakableStream {
    fn writer(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        if connections().get(&task::id()).is_some_and(|state| state.broken) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(Pin::new(&mut self.stream))
    }
}

impl Drop for BreakableStream {
    fn drop(&mut self) {
        let Some(id) = self.task else { return };
        connections().remove(&id);
    }
}

impl AsyncRead for BreakableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.task.is_none() {
            // The first read comes before any request, in the task that will handle it.
            self.task = Some(task::id());
            connections().entry(task::id()).or_default();
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let ended = match &read {
            Poll::Ready(Ok(())) => buffer.filled().len() == before && buffer.remaining() > 0,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if ended {
            connections().entry(task::id()).or_default().closed.cancel();
        }
        read
    }
}

impl AsyncWrite for BreakableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.writer()?.poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.writer()?.poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer()?.poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
