//! Log appender that writes lines to standard output from a background thread.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

use crate::kernel;

/// Maximum size of the lines waiting to be written; further lines are dropped.
const MAX_QUEUED_BYTES: usize = 1 << 20;
/// Time between writes, in which lines are collected into one batch: a busy router then writes tens
/// of times per second instead of once per line.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time that an exiting process waits for the reader of standard output.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Appender that drops lines instead of blocking when its queue is full.
///
/// Requests must not wait for a reader of standard output that has stalled.
#[derive(Debug)]
pub(super) struct QueueAppender {
    layout: Box<dyn Layout>,
    queue: Arc<Queue>,
    dropped: Arc<AtomicU64>,
}

impl QueueAppender {
    /// Creates the appender and starts its thread; `dropped` counts the dropped lines.
    pub(super) fn start(layout: impl Into<Box<dyn Layout>>, dropped: Arc<AtomicU64>) -> Self {
        let queue = Arc::new(Queue::default());
        let writer_queue = queue.clone();
        std::thread::spawn(move || {
            kernel::block_signals();
            writer_queue.run_writer();
        });
        Self { layout: layout.into(), queue, dropped }
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if !self.queue.push(&line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        self.queue.flush();
        Ok(())
    }
}

/// Queue of formatted lines for the thread.
#[derive(Debug, Default)]
struct Queue {
    state: Mutex<QueueState>,
    text_added: Condvar,
    flush_requested: Condvar,
    batch_written: Condvar,
}

#[derive(Debug, Default)]
struct QueueState {
    /// Lines that are waiting to be written.
    text: Vec<u8>,
    /// Whether the thread is writing lines that it has taken from `text`.
    is_writing: bool,
    /// Whether the process is exiting, so that lines are written without collecting a batch.
    is_flushing: bool,
}

impl Queue {
    /// Appends a line; returns false if the queue has no room for it.
    fn push(&self, line: &[u8]) -> bool {
        let mut state = self.lock();
        if state.text.len() + line.len() > MAX_QUEUED_BYTES {
            return false;
        }
        if state.text.is_empty() {
            self.text_added.notify_one();
        }
        state.text.extend_from_slice(line);
        true
    }

    /// Waits until every line is written, but at most [`FLUSH_TIMEOUT`].
    fn flush(&self) {
        let mut state = self.lock();
        state.is_flushing = true;
        self.flush_requested.notify_one();
        let is_busy = |state: &mut QueueState| state.is_writing || !state.text.is_empty();
        // The reader of standard output has stalled if the timeout expires; the lines are lost.
        drop(self.batch_written.wait_timeout_while(state, FLUSH_TIMEOUT, is_busy));
    }

    /// Writes lines to standard output in batches, forever.
    fn run_writer(&self) {
        let mut out = std::io::stdout();
        loop {
            let batch = self.take_batch();
            // A closed standard output leaves no place to report the error.
            let _ = out.write_all(&batch).and_then(|()| out.flush());
            self.wait_for_more();
        }
    }

    /// Waits for lines and takes them from the queue.
    fn take_batch(&self) -> Vec<u8> {
        let state = self.lock();
        let waited = self.text_added.wait_while(state, |state| state.text.is_empty());
        let mut state = waited.expect("log queue lock is never poisoned");
        state.is_writing = true;
        std::mem::take(&mut state.text)
    }

    /// Waits one batch interval for more lines, or not at all if the process is exiting.
    fn wait_for_more(&self) {
        let mut state = self.lock();
        state.is_writing = false;
        self.batch_written.notify_all();
        let is_running = |state: &mut QueueState| !state.is_flushing;
        drop(self.flush_requested.wait_timeout_while(state, BATCH_INTERVAL, is_running));
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().expect("log queue lock is never poisoned")
    }
}
