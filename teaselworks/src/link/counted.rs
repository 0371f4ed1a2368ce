//! Counts the bytes of a socket.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection that counts its bytes.
#[derive(Debug)]
pub(super) struct Counted<S> {
    inner: S,
    received_bytes: usize,
    sent_bytes: usize,
}

impl<S> Counted<S> {
    /// Counts from zero.
    pub(super) fn new(inner: S) -> Self {
        Self { inner, received_bytes: 0, sent_bytes: 0 }
    }

    /// Returns the bytes received so far.
    pub(super) fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// Returns the bytes sent so far.
    pub(super) fn sent_bytes(&self) -> usize {
        self.sent_bytes
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        self.received_bytes += buffer.filled().len() - before;
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(context, bytes))?;
        self.sent_bytes += written;
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
