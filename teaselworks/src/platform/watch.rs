//! A watch: the changes of one key as a stream of JSON lines.

use std::fmt;

use opentelemetry::metrics::UpDownCounter;
use reqwest::Response;

use super::message::{StreamAnswer, WatchAnswer};
use super::transaction::{Entry, decode_entry};
use super::transport::describe;

/// Longest line: one megabyte in base64, and room for what stands around it.
const LONGEST_LINE_BYTES: usize = 2 << 20;
/// Name of a removal; a write has none.
const DELETE: &str = "DELETE";

/// Counts a watch as long as it waits.
pub(super) struct WaitingWatch(UpDownCounter<i64>);

impl WaitingWatch {
    pub(super) fn new(watches: UpDownCounter<i64>) -> Self {
        watches.add(1, &[]);
        Self(watches)
    }
}

impl Drop for WaitingWatch {
    fn drop(&mut self) {
        self.0.add(-1, &[]);
    }
}

/// Change of the watched key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The key was written.
    Put(Entry),
    /// The key was removed.
    Delete {
        /// Key without the fleet's prefix.
        key: String,
    },
}

/// Changes that were reported together; none in the line that opens the watch.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchBatch {
    /// Revision of the service.
    pub revision: i64,
    /// Changes in the order reported, which the fleet does not rely on.
    pub changes: Vec<Change>,
}

/// Why a watch ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEnd {
    /// The platform ended it; a compacted history has to be read anew.
    Cancelled {
        /// First revision that is still there; 0 when the history is whole.
        compact_revision: i64,
    },
    /// The connection ended.
    Closed(String),
    /// A line was too long or not understood.
    Malformed(String),
}

impl fmt::Display for WatchEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchEnd::Cancelled { compact_revision } => {
                write!(f, "cancelled, compacted before revision {compact_revision}")
            }
            WatchEnd::Closed(detail) => write!(f, "closed: {detail}"),
            WatchEnd::Malformed(detail) => write!(f, "malformed: {detail}"),
        }
    }
}

/// An open watch; dropping it closes it.
pub struct Watch {
    response: Response,
    prefix: String,
    buffer: Vec<u8>,
    _waiting: WaitingWatch,
}

impl Watch {
    pub(super) fn new(response: Response, prefix: String, waiting: WaitingWatch) -> Self {
        Self { response, prefix, buffer: Vec::new(), _waiting: waiting }
    }

    /// Waits for the next line; may be dropped while it waits without losing one.
    pub async fn next(&mut self) -> Result<WatchBatch, WatchEnd> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return self.decode(&line);
            }
            if self.buffer.len() > LONGEST_LINE_BYTES {
                return Err(WatchEnd::Malformed("a line is too long".into()));
            }
            match self.response.chunk().await {
                Ok(Some(chunk)) => self.buffer.extend_from_slice(&chunk),
                Ok(None) => return Err(WatchEnd::Closed("the platform ended the stream".into())),
                Err(error) => return Err(WatchEnd::Closed(describe(&error))),
            }
        }
    }

    fn decode(&self, line: &[u8]) -> Result<WatchBatch, WatchEnd> {
        let answer: StreamAnswer<WatchAnswer> =
            serde_json::from_slice(line).map_err(|error| WatchEnd::Malformed(error.to_string()))?;
        let Some(answer) = answer.result else {
            return Err(WatchEnd::Closed("the platform reported an error".into()));
        };
        if answer.canceled {
            let compact_revision = answer.compact_revision.0;
            return Err(WatchEnd::Cancelled { compact_revision });
        }
        let mut changes = Vec::with_capacity(answer.events.len());
        for event in answer.events {
            let deleted = event.kind == DELETE;
            let entry = decode_entry(event.kv, &self.prefix);
            changes.push(if deleted {
                Change::Delete { key: entry.key }
            } else {
                Change::Put(entry)
            });
        }
        Ok(WatchBatch { revision: answer.header.revision.0, changes })
    }
}
