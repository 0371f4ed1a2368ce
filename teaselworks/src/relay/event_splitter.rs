//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Largest incomplete event that is buffered until its end arrives.
const MAX_PARTIAL_EVENT_BYTES: usize = 1 << 20;

/// Buffers an incomplete event until its end arrives, and returns complete events only.
///
/// If a stream breaks off, another engine can resume it after the last complete event. That engine
/// sends the incomplete event again from its start.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<Box<str>>,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are now complete, unchanged. The result is
    /// empty if none is complete, and `None` if an incomplete event is larger than 1 MiB.
    ///
    /// ```
    /// use teaselworks::relay::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\n").unwrap(), "id: 1\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some("1"));
    /// assert_eq!(splitter.push(b"data: b\n\n").unwrap(), "id: 2\ndata: b\n\n");
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // The blank line that ends an event may be split between two calls, so that the search
        // starts one byte before the new bytes.
        let search_start = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(bytes);
        let Some(end) = memmem::rfind(&self.partial[search_start..], b"\n\n") else {
            return (self.partial.len() <= MAX_PARTIAL_EVENT_BYTES).then(Bytes::new);
        };
        let complete = self.partial.split_to(search_start + end + 2).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id.into());
        }
        Some(complete)
    }

    /// Returns the identifier of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the incomplete event, whose end will not arrive.
    pub fn discard_partial_event(&mut self) {
        self.partial.clear();
    }
}

/// Returns the identifier in the last `id:` line of complete events.
fn last_id(events: &[u8]) -> Option<&str> {
    let mut end = events.len();
    while let Some(start) = memmem::rfind(&events[..end], b"id:") {
        if start > 0 && events[start - 1] != b'\n' {
            end = start;
            continue;
        }
        let line = &events[start + 3..];
        let length = memchr::memchr(b'\n', line)?;
        return std::str::from_utf8(&line[..length]).ok().map(str::trim);
    }
    None
}
