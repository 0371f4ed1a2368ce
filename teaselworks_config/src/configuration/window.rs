//! Parts of an encoded configuration without the whole: at full size the whole once more would be
//! the largest thing that a router holds.

use std::io::{self, BufWriter, Write};

use sha2::{Digest, Sha256};

use super::Configuration;
use super::chunk::{self, Manifest};

/// Bytes handed to the digest at once.
const DIGESTED_AT_ONCE_BYTES: usize = 16 << 10;

impl Configuration {
    /// Returns the part of the encoded form from `offset_bytes` on, of at most `size_bytes`.
    ///
    /// What lies before is encoded too and let go, so a part costs time as a whole does, but only
    /// its own memory.
    ///
    /// ```
    /// use teaselworks_config::configuration::Configuration;
    ///
    /// let configuration = Configuration::default();
    /// assert_eq!(configuration.encode_part(2, 5), configuration.encode()[2..7]);
    /// ```
    pub fn encode_part(&self, offset_bytes: u64, size_bytes: usize) -> Vec<u8> {
        let mut window = Window { skip_bytes: offset_bytes, size_bytes, part: Vec::new() };
        // Fails only when the window is full, which ends the work early.
        let _ = serde_json::to_writer(&mut window, self);
        window.part
    }

    /// Describes the encoded form, split into chunks of `size_bytes` payload.
    ///
    /// ```
    /// use teaselworks_config::configuration::{Configuration, chunk};
    ///
    /// let configuration = Configuration::default();
    /// let (manifest, chunks) = chunk::split(1, &configuration.encode(), 16);
    /// assert_eq!(configuration.manifest(1, 16), manifest);
    /// assert_eq!(configuration.chunk(&manifest, 1, 16), chunks[1]);
    /// ```
    ///
    /// # Panics
    ///
    /// If `size_bytes` is zero.
    pub fn manifest(&self, version: u64, size_bytes: usize) -> Manifest {
        let mut whole = BufWriter::with_capacity(DIGESTED_AT_ONCE_BYTES, Counted::default());
        serde_json::to_writer(&mut whole, self).expect("a digest takes everything");
        let whole = whole.into_inner().expect("a digest takes everything");
        chunk::manifest(version, whole.size_bytes, size_bytes, &whole.hasher.finalize())
    }

    /// Returns one encoded chunk of those that `manifest` describes, split at `size_bytes`.
    pub fn chunk(&self, manifest: &Manifest, index: u32, size_bytes: usize) -> Vec<u8> {
        let payload = self.encode_part(u64::from(index) * size_bytes as u64, size_bytes);
        chunk::encode(manifest, index, &payload)
    }
}

/// Keeps a window of what is written, and refuses what comes after it.
struct Window {
    skip_bytes: u64,
    size_bytes: usize,
    part: Vec<u8>,
}

impl Write for Window {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.part.len() == self.size_bytes {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let skipped = usize::try_from(self.skip_bytes).unwrap_or(usize::MAX).min(bytes.len());
        self.skip_bytes -= skipped as u64;
        let kept = (bytes.len() - skipped).min(self.size_bytes - self.part.len());
        if self.part.is_empty() && kept > 0 {
            // In one step: grown by doubling, it would take up to twice the room.
            self.part.reserve_exact(self.size_bytes);
        }
        self.part.extend_from_slice(&bytes[skipped..skipped + kept]);
        Ok(skipped + kept)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Counts and digests what is written.
#[derive(Debug, Default)]
struct Counted {
    size_bytes: u64,
    hasher: Sha256,
}

impl Write for Counted {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.size_bytes += bytes.len() as u64;
        self.hasher.update(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
