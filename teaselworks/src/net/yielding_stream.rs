//! A TCP connection that lets other tasks run while its peer sends much.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that are read without a break.
const MAX_UNBROKEN_BYTES: usize = 64 << 10;

/// A TCP connection whose reads are pending once after each [`MAX_UNBROKEN_BYTES`].
///
/// The HTTP library decodes as long as reads succeed. A peer that sends faster than it decodes would
/// hold the thread for the whole budget of reads that tokio gives a task, many megabytes.
#[derive(Debug)]
pub struct YieldingStream {
    stream: TcpStream,
    /// Number of bytes read since a read was pending.
    unbroken_bytes: usize,
}

impl YieldingStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, unbroken_bytes: 0 }
    }

    /// Returns the stream.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for YieldingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unbroken_bytes >= MAX_UNBROKEN_BYTES {
            self.unbroken_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.unbroken_bytes += buffer.filled().len() - filled_before;
        if polled.is_pending() {
            self.unbroken_bytes = 0;
        }
        polled
    }
}

impl AsyncWrite for YieldingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
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
