//! The encoded configuration, piece by piece, for peers that fetch the whole.

use std::time::Duration;

use bytes::Bytes;
use teaselworks_config::configuration::NumberedConfiguration;
use teaselworks_policy::store::version::Version;

use super::Store;
use super::exchange::MESSAGE_SIZE_BYTES;
use super::message::{Answer, VersionMessage};

/// Part of the encoded configuration that is kept for the pieces in it.
///
/// Each window is encoded by itself, for what the whole costs in time: a larger one takes memory, a
/// smaller one the time of more encodings for each peer that starts.
const WINDOW_SIZE_BYTES: usize = 16 * MESSAGE_SIZE_BYTES;
/// Windows kept at once: peers that start together are at different offsets.
const WINDOWS: usize = 4;
/// A window is kept for so long after its last piece.
const WINDOW_KEPT: Duration = Duration::from_secs(30);

/// Windows of the version that peers fetch.
#[derive(Default)]
pub(super) struct Windows {
    version: Option<Version>,
    size_bytes: u64,
    kept: Vec<Window>,
}

struct Window {
    start_bytes: u64,
    bytes: Bytes,
    used_at: Duration,
}

impl Windows {
    /// Returns the piece from `offset_bytes` on, and the size of the whole.
    fn piece(
        &mut self,
        version: &Version,
        numbered: &NumberedConfiguration,
        offset_bytes: u64,
        now: Duration,
    ) -> (u64, Bytes) {
        let configuration = &numbered.configuration;
        if self.version.as_ref() != Some(version) {
            let size_bytes = configuration.manifest(version.number, WINDOW_SIZE_BYTES).size_bytes;
            *self = Self { version: Some(version.clone()), size_bytes, kept: Vec::new() };
        }
        if offset_bytes >= self.size_bytes {
            return (self.size_bytes, Bytes::new());
        }
        let start_bytes = offset_bytes - offset_bytes % WINDOW_SIZE_BYTES as u64;
        let known = self.kept.iter().position(|window| window.start_bytes == start_bytes);
        let mut window = match known {
            Some(position) => self.kept.remove(position),
            None => {
                let bytes = configuration.encode_part(start_bytes, WINDOW_SIZE_BYTES);
                Window { start_bytes, bytes: bytes.into(), used_at: now }
            }
        };
        window.used_at = now;
        let start = (offset_bytes - start_bytes) as usize;
        let end = (start + MESSAGE_SIZE_BYTES).min(window.bytes.len());
        // Copied: a slice would keep its whole window alive for as long as it is being sent.
        let piece = Bytes::copy_from_slice(&window.bytes[start..end]);
        self.kept.truncate(WINDOWS - 1);
        // The last one used stands first.
        self.kept.insert(0, window);
        (self.size_bytes, piece)
    }

    fn free(&mut self, now: Duration) {
        self.kept.retain(|window| now.saturating_sub(window.used_at) <= WINDOW_KEPT);
    }
}

impl Store {
    /// Answers a peer that fetches a version piece by piece.
    pub(super) fn piece(&self, version: VersionMessage, offset_bytes: u64) -> Answer {
        let (held, numbered) = self.held.both();
        if held != Version::from(version) {
            return Answer::Gone { version: held.into() };
        }
        let now = self.clock.monotonic();
        let mut windows = self.windows.lock().expect("window lock is never poisoned");
        let (size_bytes, bytes) = windows.piece(&held, &numbered, offset_bytes, now);
        Answer::Piece { size_bytes, bytes }
    }

    /// Frees windows that nobody fetches from any more.
    pub(super) fn free_windows(&self) {
        let now = self.clock.monotonic();
        self.windows.lock().expect("window lock is never poisoned").free(now);
    }
}
