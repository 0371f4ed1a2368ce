//! Records whether any byte of a request was written to its connection, and ends writing.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::net::YieldingStream;

/// Nothing was written yet.
const UNWRITTEN: u8 = 0;
/// Bytes were written, or are being written now.
const WRITTEN: u8 = 1;
/// Nothing was written, and nothing will be.
const CLOSED: u8 = 2;

/// State of writing to one connection.
///
/// The HTTP library reports that a request was not sent only if it has not begun to encode it. An
/// encoded request may still be unwritten when its connection fails or its deadline passes.
#[derive(Debug, Default)]
pub struct WriteGate(AtomicU8);

impl WriteGate {
    /// Ends writing if nothing was written yet. Returns whether that is so: then no byte reaches the
    /// peer.
    pub fn close(&self) -> bool {
        let closed =
            self.0.compare_exchange(UNWRITTEN, CLOSED, Ordering::AcqRel, Ordering::Acquire);
        closed != Err(WRITTEN)
    }

    /// Returns whether bytes were written.
    fn is_written(&self) -> bool {
        self.0.load(Ordering::Acquire) == WRITTEN
    }
}

/// A TCP connection that records in its gate whether anything was written to it.
///
/// A failed write is not reported: it stays pending, and reading goes on. An upstream that rejects a
/// request before it has read the whole body closes its connection, and the HTTP library would give
/// the connection up on the failed write without reading the rejection. Once that is read, reading
/// fails, too, unless the upstream had ended its side of the connection before the write failed.
pub struct GatedStream {
    stream: YieldingStream,
    gate: Arc<WriteGate>,
    /// Why a write failed, if one did.
    write_failure: Option<io::ErrorKind>,
}

impl GatedStream {
    /// Puts a stream behind a gate of its own, which counts only what is written from now on.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream: YieldingStream::new(stream), gate: Arc::default(), write_failure: None }
    }

    /// Returns the gate.
    pub fn gate(&self) -> Arc<WriteGate> {
        self.gate.clone()
    }

    /// Returns the stream.
    pub fn into_inner(self) -> TcpStream {
        self.stream.into_inner()
    }

    /// Returns the error that a read would have reported in place of the end of the connection.
    ///
    /// The kernel reports the error of a connection once. If a write got it, reads end as if the peer
    /// had closed the connection properly. A write to a connection that the peer did close properly
    /// fails with a broken pipe, also if a reset followed.
    fn hidden_error(&self) -> Option<io::ErrorKind> {
        self.write_failure.filter(|kind| *kind != io::ErrorKind::BrokenPipe)
    }

    /// Writes unless the gate is closed. A first write that the kernel accepts no byte of leaves the
    /// gate as it was.
    fn poll_gated(
        &mut self,
        context: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut YieldingStream>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if self.write_failure.is_some() {
            return Poll::Pending;
        }
        let state = &self.gate.0;
        let entered =
            state.compare_exchange(UNWRITTEN, WRITTEN, Ordering::AcqRel, Ordering::Acquire);
        if entered == Err(CLOSED) {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let polled = write(Pin::new(&mut self.stream), context);
        if entered.is_ok() && !matches!(polled, Poll::Ready(Ok(1..))) {
            state.store(UNWRITTEN, Ordering::Release);
        }
        if let Poll::Ready(Err(error)) = &polled {
            self.write_failure = Some(error.kind());
            // What has arrived may have been announced before the write failed.
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        polled
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let is_end = matches!(polled, Poll::Ready(Ok(())))
            && buffer.filled().len() == filled_before
            && buffer.remaining() > 0;
        match self.hidden_error() {
            Some(kind) if is_end => Poll::Ready(Err(kind.into())),
            _ => polled,
        }
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_gated(context, |stream, context| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_gated(context, |stream, context| stream.poll_write_vectored(context, bytes))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Tells whether an attempt has written anything to the connection that it uses now, if it has one.
#[derive(Clone, Debug, Default)]
pub(super) struct SendRecord(Arc<Mutex<Option<Arc<WriteGate>>>>);

impl SendRecord {
    /// Records the connection that the attempt uses from now on. Nothing was written to an earlier
    /// one.
    pub(super) fn set_connection(&self, gate: Arc<WriteGate>) {
        *self.lock() = Some(gate);
    }

    /// Ends writing if nothing was written yet, and returns whether that is so. The attempt must not
    /// open another connection after that.
    pub(super) fn close(&self) -> bool {
        self.lock().as_ref().is_none_or(|gate| gate.close())
    }

    /// Returns whether bytes were written.
    pub(super) fn is_written(&self) -> bool {
        self.lock().as_ref().is_some_and(|gate| gate.is_written())
    }

    fn lock(&self) -> MutexGuard<'_, Option<Arc<WriteGate>>> {
        self.0.lock().expect("send record lock is never poisoned")
    }
}
