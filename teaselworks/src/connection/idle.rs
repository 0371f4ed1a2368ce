//! Tells when a connection has been idle for long.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::time::{self, Sleep};

/// Parts of the idle timeout; a connection is idle after one more quiet part than these.
const IDLE_PARTS: u32 = 4;
/// First bytes of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI ";
/// Idle timeouts for which an HTTP/2 connection may be quiet. Its requests run in tasks of their
/// own and are not seen here; a shorter time would cut an answer whose first token takes long.
const HTTP2_IDLE_TIMEOUTS: u32 = 48;

/// Tells when a connection has been quiet for long.
pub(super) struct Idle {
    part: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    quiet_parts: u32,
    quiet_parts_max: u32,
    is_begun: bool,
}

impl Idle {
    /// Starts with a connection.
    pub(super) fn new(timeout: Duration) -> Self {
        let quiet_parts_max = IDLE_PARTS + 1;
        let part = timeout / IDLE_PARTS;
        Self { part, timer: None, quiet_parts: 0, quiet_parts_max, is_begun: false }
    }

    /// Notes what arrived.
    pub(super) fn note_read(&mut self, bytes: &[u8]) {
        self.quiet_parts = 0;
        if !self.is_begun && bytes.starts_with(HTTP2_PREFACE) {
            self.quiet_parts_max *= HTTP2_IDLE_TIMEOUTS;
        }
        self.is_begun = true;
    }

    /// Notes that something was written.
    pub(super) fn note_write(&mut self) {
        self.quiet_parts = 0;
    }

    /// Polls for the end of the time in which nothing was in progress.
    ///
    /// The timer runs all the time, since nobody polls when the last request ends. The first part
    /// may have begun before the connection fell quiet, so one more is waited for.
    pub(super) fn poll(&mut self, in_progress: bool, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let part = self.part;
            let timer = self.timer.get_or_insert_with(|| Box::pin(time::sleep(part)));
            ready!(timer.as_mut().poll(cx));
            self.timer = None;
            self.quiet_parts += 1;
            if in_progress {
                self.quiet_parts = 0;
            }
            if self.quiet_parts >= self.quiet_parts_max {
                return Poll::Ready(());
            }
        }
    }
}
