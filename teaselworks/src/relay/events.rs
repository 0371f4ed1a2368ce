//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Largest part of an event that is held until its end arrives.
const EVENT_SIZE_MAX_BYTES: usize = 1 << 20;

/// Holds back the part of an event whose end has not arrived.
///
/// Another engine that goes on after the last whole event sends the broken one again.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    last_id: Option<Box<str>>,
}

impl EventSplitter {
    /// Takes what arrived and returns the events that are whole, as they were sent; `None` where an
    /// event is too large to be held.
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
        // The end of an event may lie across two arrivals.
        let searched = self.held.len().saturating_sub(1);
        self.held.extend_from_slice(bytes);
        let Some(end) = memmem::rfind(&self.held[searched..], b"\n\n") else {
            return (self.held.len() <= EVENT_SIZE_MAX_BYTES).then(Bytes::new);
        };
        let whole = self.held.split_to(searched + end + 2).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id.into());
        }
        Some(whole)
    }

    /// Returns the identifier of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Tells whether a part of an event is held.
    pub fn holds_part(&self) -> bool {
        !self.held.is_empty()
    }

    /// Drops the part of an event that is held, since its end will not arrive.
    pub fn drop_part(&mut self) {
        self.held.clear();
    }
}

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
