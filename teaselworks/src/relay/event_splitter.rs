//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};
use memchr::{memchr, memmem};

/// Largest incomplete event that is buffered until its end arrives.
const MAX_PARTIAL_EVENT_BYTES: usize = 1 << 20;

/// Buffers an incomplete event until its end arrives, and returns complete events only.
///
/// If a stream breaks off, another engine can resume it after the last complete event. That engine
/// sends the incomplete event again from its start.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    first_id: Option<Box<str>>,
    last_id: Option<Box<str>>,
    last_id_before_run: Option<Box<str>>,
    event_count: u64,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are now complete, unchanged. The result is
    /// empty if none is complete, and `None` if none is complete and the incomplete event is larger
    /// than 1 MiB.
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
        let events = Events::parse(&complete);
        self.event_count += events.count;
        if let (None, Some(id)) = (&self.first_id, events.first_id) {
            self.first_id = Some(id.into());
        }
        if let Some(id) = events.last_id {
            self.last_id = Some(id.into());
        }
        Some(complete)
    }

    /// Starts a run, whose events go on after those of the one before.
    pub fn start_run(&mut self) {
        self.first_id = None;
        self.last_id_before_run.clone_from(&self.last_id);
    }

    /// Returns the identifier of the first complete event of this run that has one.
    pub fn first_id(&self) -> Option<&str> {
        self.first_id.as_deref()
    }

    /// Returns the identifier of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the identifier of the last event of the runs before.
    pub fn last_id_before_run(&self) -> Option<&str> {
        self.last_id_before_run.as_deref()
    }

    /// Returns the number of complete events of all runs.
    pub fn event_count(&self) -> u64 {
        self.event_count
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

/// What complete events say about their order.
#[derive(Debug, Default)]
struct Events<'a> {
    count: u64,
    first_id: Option<&'a str>,
    last_id: Option<&'a str>,
}

impl<'a> Events<'a> {
    /// Parses complete events. Blocks of comments only do not count as events.
    fn parse(mut bytes: &'a [u8]) -> Self {
        let mut events = Self::default();
        let mut is_in_event = false;
        while let Some(length) = memchr(b'\n', bytes) {
            let line = bytes[..length].strip_suffix(b"\r").unwrap_or(&bytes[..length]);
            bytes = &bytes[length + 1..];
            if line.is_empty() {
                is_in_event = false;
                continue;
            }
            if line[0] == b':' {
                continue;
            }
            if !is_in_event {
                is_in_event = true;
                events.count += 1;
            }
            if let Some(id) = id_of(line) {
                events.first_id = events.first_id.or(Some(id));
                events.last_id = Some(id);
            }
        }
        events
    }
}

/// Returns the identifier that a line states.
fn id_of(line: &[u8]) -> Option<&str> {
    std::str::from_utf8(line.strip_prefix(b"id:")?).ok().map(str::trim)
}
