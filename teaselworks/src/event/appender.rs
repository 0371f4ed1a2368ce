//! Writes log lines to standard output from a thread of its own.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

/// Lines that wait for their reader; bounds the memory they take.
const QUEUE_LINES: usize = 4_096;
/// Time for which lines are collected, so that a busy router writes tens of times a second and not
/// once for each line.
const COLLECTING_TIME: Duration = Duration::from_millis(50);

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Appender that drops lines rather than wait.
///
/// A reader of standard output that stands still must not stop requests.
#[derive(Debug)]
pub(super) struct QueueAppender {
    layout: Box<dyn Layout>,
    lines: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl QueueAppender {
    /// Starts the thread.
    pub(super) fn start(layout: impl Into<Box<dyn Layout>>, dropped: Arc<AtomicU64>) -> Self {
        let (lines, receiver) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&receiver));
        Self { layout: layout.into(), lines, dropped }
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if self.lines.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (done, wait) = sync_channel(1);
        if self.lines.try_send(Message::Flush(done)).is_ok() {
            // Nobody reads the log any more where this fails.
            let _ = wait.recv_timeout(COLLECTING_TIME * 4);
        }
        Ok(())
    }
}

#[expect(clippy::disallowed_methods, reason = "the thread does nothing else")]
fn write_lines(messages: &Receiver<Message>) {
    let mut out = std::io::stdout();
    while let Ok(first) = messages.recv() {
        let mut text = Vec::new();
        let mut waiting = Vec::new();
        take(first, &mut text, &mut waiting);
        while let Ok(message) = messages.try_recv() {
            take(message, &mut text, &mut waiting);
        }
        // Where standard output is closed there is nobody to tell.
        let _ = out.write_all(&text).and_then(|()| out.flush());
        let is_flushing = !waiting.is_empty();
        for done in waiting {
            let _ = done.send(());
        }
        if !is_flushing {
            std::thread::sleep(COLLECTING_TIME);
        }
    }
}

fn take(message: Message, text: &mut Vec<u8>, waiting: &mut Vec<SyncSender<()>>) {
    match message {
        Message::Line(line) => text.extend_from_slice(&line),
        Message::Flush(done) => waiting.push(done),
    }
}
