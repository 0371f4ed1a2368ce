//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};
use memchr::{memchr, memmem};

use crate::platform::headers;

/// Largest incomplete event that is buffered until its end arrives.
const MAX_PARTIAL_EVENT_BYTES: usize = 1 << 20;

/// Why received bytes are not forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SplitError {
    /// The incomplete event is larger than 1 MiB.
    TooLarge,
    /// The first event of a run does not come after the one that it should go on after.
    NotContinued,
}

/// Buffers an incomplete event until its end arrives, and returns complete events only.
///
/// If a stream breaks off, another engine can resume it after the last complete event. That engine
/// sends the incomplete event again from its start.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Identifier of the event that the run goes on after; `None` if it begins the stream.
    after: Option<Box<str>>,
    has_run_begun: bool,
    first_id: Option<Box<str>>,
    last_id: Option<Box<str>>,
    event_count: u64,
    weight_version: Option<Box<str>>,
}

impl EventSplitter {
    /// Creates the splitter of a stream that goes on after the event `after`, if there is one.
    pub fn resuming(after: Option<&str>) -> Self {
        Self { after: after.map(Box::from), ..Self::default() }
    }

    /// Adds received bytes and returns the events that are now complete, unchanged. The result is
    /// empty if none is complete.
    ///
    /// ```
    /// use teaselworks::relay::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\n").unwrap(), "id: 1\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some("1"));
    /// assert_eq!(splitter.push(b"data: b\n\n").unwrap(), "id: 2\ndata: b\n\n");
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, SplitError> {
        // The blank line that ends an event may be split between two calls, so that the search
        // starts two bytes before the new bytes.
        let search_start = self.partial.len().saturating_sub(2);
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.partial[search_start..]) else {
            if self.has_only_line_ends() {
                return Ok(self.partial.split().freeze());
            }
            if self.partial.len() > MAX_PARTIAL_EVENT_BYTES {
                return Err(SplitError::TooLarge);
            }
            return Ok(Bytes::new());
        };
        let complete = self.partial.split_to(search_start + end).freeze();
        let events = Events::parse(&complete);
        if events.count > 0 && !self.has_run_begun {
            self.has_run_begun = true;
            self.first_id = events.first_id.map(Box::from);
            if self.after.as_deref().is_some_and(|after| !comes_after(events.first_id, after)) {
                return Err(SplitError::NotContinued);
            }
        }
        self.event_count += events.count;
        if events.count > 0 {
            self.last_id = events.last_id.map(Box::from);
        }
        if let Some(version) = events.weight_version {
            self.weight_version = Some(version.into());
        }
        Ok(complete)
    }

    /// Returns whether only further blank lines after an event are buffered.
    fn has_only_line_ends(&self) -> bool {
        self.partial.iter().all(|byte| matches!(byte, b'\r' | b'\n'))
    }

    /// Starts another run, which goes on after the last event of the ones before.
    pub fn start_run(&mut self) {
        self.partial.clear();
        self.has_run_begun = false;
        self.first_id = None;
        if self.event_count > 0 {
            self.after.clone_from(&self.last_id);
        }
    }

    /// Returns whether the run has brought an event.
    pub fn has_run_begun(&self) -> bool {
        self.has_run_begun
    }

    /// Returns the identifier of the event that the run goes on after.
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Returns the identifier of the run's first event.
    pub fn first_id(&self) -> Option<&str> {
        self.first_id.as_deref()
    }

    /// Returns the identifier of the last complete event; `None` if it has none.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the version of the weights to which the stream last changed, if it did.
    pub fn weight_version(&self) -> Option<&str> {
        self.weight_version.as_deref()
    }

    /// Returns the number of complete events of all runs.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns whether another run can be told where to go on: nothing has been returned yet, or the
    /// last event has an identifier.
    pub fn can_resume(&self) -> bool {
        self.event_count == 0 || self.last_id.is_some()
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

/// Returns the end of the last blank line. Lines end with LF or CR LF.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let after_lf = memmem::rfind(bytes, b"\n\n").map(|start| start + 2);
    let after_cr_lf = memmem::rfind(bytes, b"\n\r\n").map(|start| start + 3);
    after_lf.max(after_cr_lf)
}

/// What complete events say about their order.
#[derive(Debug, Default)]
struct Events<'a> {
    count: u64,
    /// Identifier of the first event.
    first_id: Option<&'a str>,
    /// Identifier of the last event.
    last_id: Option<&'a str>,
    /// Version of the weights to which they last change.
    weight_version: Option<&'a str>,
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
                events.last_id = None;
                events.weight_version =
                    headers::weight_version_of_line(line).or(events.weight_version);
            }
            if let Some(id) = id_of(line) {
                events.last_id = Some(id);
                if events.count == 1 {
                    events.first_id = Some(id);
                }
            }
        }
        events
    }
}

/// Returns the identifier that a line states.
fn id_of(line: &[u8]) -> Option<&str> {
    let id = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?.trim();
    (!id.is_empty()).then_some(id)
}

/// Returns whether an event with this identifier comes after the event `after`. Identifiers that are
/// not numbers have no order, and only have to differ.
fn comes_after(id: Option<&str>, after: &str) -> bool {
    let Some(id) = id else { return false };
    match (id.parse::<u64>(), after.parse::<u64>()) {
        (Ok(id), Ok(after)) => id > after,
        _ => id != after,
    }
}
