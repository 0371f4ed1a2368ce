//! The socket of a caller's connection, and the record of its activity: when it became idle, when
//! the caller began to send a head, and whether the last answer was sent completely.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes};
use teaselworks_policy::clock::Clock;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::net::YieldingStream;

/// Activity of one connection; decides when it times out and when it is idle.
///
/// Times are milliseconds of the monotonic clock.
#[derive(Debug)]
pub(super) struct Activity {
    /// Time at which the last request ended, or the connection was opened.
    idle_since_ms: AtomicU64,
    /// Time at which the first byte of an incomplete head arrived; 0 if there is none.
    head_since_ms: AtomicU64,
    /// 1 while a request is in progress, otherwise 0.
    active_requests: AtomicU64,
    /// The last request was read completely, and neither the caller nor the router closes the
    /// connection after it.
    is_reusable: AtomicBool,
    /// Everything that was written has been flushed to the socket.
    is_flushed: AtomicBool,
    /// The last request was sent with HTTP/1.0, which has no chunks: an answer without a length ends with
    /// the connection.
    is_close_delimited: AtomicBool,
}

impl Activity {
    /// Creates the record of a connection that was opened at `now`.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            idle_since_ms: AtomicU64::new(to_ms(now)),
            head_since_ms: AtomicU64::new(0),
            active_requests: AtomicU64::new(0),
            is_reusable: AtomicBool::new(false),
            is_flushed: AtomicBool::new(true),
            is_close_delimited: AtomicBool::new(false),
        }
    }

    /// Records that the head of a request has arrived completely. `is_reusable` is set if no body
    /// follows the head.
    pub(super) fn start_request(&self, is_reusable: bool) {
        self.head_since_ms.store(0, Ordering::Relaxed);
        self.active_requests.store(1, Ordering::Relaxed);
        self.is_reusable.store(is_reusable, Ordering::Relaxed);
    }

    /// Sets whether an answer without a length is close-delimited.
    pub(super) fn set_close_delimited(&self, is_close_delimited: bool) {
        self.is_close_delimited.store(is_close_delimited, Ordering::Relaxed);
    }

    /// Returns whether an answer without a length is close-delimited.
    pub(super) fn is_close_delimited(&self) -> bool {
        self.is_close_delimited.load(Ordering::Relaxed)
    }

    /// Sets whether the connection can be used for another request after the one in progress.
    pub(super) fn set_reusable(&self, is_reusable: bool) {
        self.is_reusable.store(is_reusable, Ordering::Relaxed);
    }

    /// Returns whether the last request was read and answered completely, so that no bytes of it
    /// are left to read or to send, and the connection can be reused.
    pub(super) fn is_between_requests(&self) -> bool {
        self.active_requests.load(Ordering::Relaxed) == 0
            && self.is_reusable.load(Ordering::Relaxed)
            && self.is_flushed.load(Ordering::Relaxed)
    }

    /// Records that the request in progress ended at `now`.
    pub(super) fn end_request(&self, now: Duration) {
        self.idle_since_ms.store(to_ms(now), Ordering::Relaxed);
        self.active_requests.store(0, Ordering::Relaxed);
    }

    /// Returns the time of the monotonic clock at which the connection times out: the earlier of
    /// the idle timeout and, while a head is incomplete, the header timeout. Returns `None` while a
    /// request is in progress.
    pub(super) fn timeout_at(
        &self,
        idle_timeout: Duration,
        header_timeout: Duration,
    ) -> Option<Duration> {
        if self.active_requests.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let idle_until =
            Duration::from_millis(self.idle_since_ms.load(Ordering::Relaxed)) + idle_timeout;
        match self.head_since_ms.load(Ordering::Relaxed) {
            0 => Some(idle_until),
            since => Some(idle_until.min(Duration::from_millis(since) + header_timeout)),
        }
    }

    /// Returns whether a part of a head has arrived, but not all of it.
    pub(super) fn has_partial_head(&self) -> bool {
        self.head_since_ms.load(Ordering::Relaxed) > 0
    }

    /// Records that bytes arrived at `now`. The first bytes after a request start the header
    /// timeout.
    fn on_read(&self, now: Duration) {
        if self.active_requests.load(Ordering::Relaxed) > 0 {
            return;
        }
        let now_ms = to_ms(now).max(1);
        let _ =
            self.head_since_ms.compare_exchange(0, now_ms, Ordering::Relaxed, Ordering::Relaxed);
    }
}

fn to_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The socket of a caller's connection. Records in `activity` when bytes arrive and whether all
/// bytes that were written have been flushed.
pub(super) struct CallerStream {
    /// Bytes that were read from the socket earlier; they are returned first.
    pub(super) unread: Bytes,
    pub(super) stream: YieldingStream,
    pub(super) activity: Arc<Activity>,
    pub(super) clock: Arc<dyn Clock>,
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.unread.is_empty() {
            let length = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread[..length]);
            self.unread.advance(length);
            self.activity.on_read(self.clock.monotonic());
            return Poll::Ready(Ok(()));
        }
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            self.activity.on_read(self.clock.monotonic());
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.activity.is_flushed.store(false, Ordering::Relaxed);
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.activity.is_flushed.store(false, Ordering::Relaxed);
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(context);
        self.activity.is_flushed.store(polled.is_ready(), Ordering::Relaxed);
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
