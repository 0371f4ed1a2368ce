//! Splits an encoded configuration into values that the platform accepts, and joins them again.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Payload of a chunk: a platform value holds a megabyte, also after base64 encoding.
pub const CHUNK_SIZE_BYTES: usize = 512 << 10;

/// Describes a whole that was split; kept apart from the chunks and written after them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Number of the configuration.
    pub version: u64,
    /// Number of chunks.
    pub chunks: u32,
    /// Length of the whole in bytes.
    pub size_bytes: u64,
    /// SHA-256 digest of the whole in lower-case hexadecimal.
    pub digest: String,
}

/// First line of an encoded chunk; the payload follows it unchanged.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChunkHead {
    version: u64,
    index: u32,
    digest: String,
}

/// Why chunks do not make up the whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkError {
    /// A chunk cannot be decoded.
    Malformed {
        /// Position among the chunks given.
        position: usize,
    },
    /// A chunk belongs to another version, or to another whole of the same version.
    Foreign {
        /// Position among the chunks given.
        position: usize,
    },
    /// A chunk is absent, or another stands in its place.
    Missing {
        /// Number of the chunk.
        index: u32,
    },
    /// The chunks fit together but not the digest.
    Digest,
}

impl fmt::Display for ChunkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChunkError::Malformed { position } => write!(f, "chunk {position} is malformed"),
            ChunkError::Foreign { position } => {
                write!(f, "chunk {position} belongs to another configuration")
            }
            ChunkError::Missing { index } => write!(f, "chunk {index} is missing"),
            ChunkError::Digest => f.write_str("the digest of the whole does not match"),
        }
    }
}

impl std::error::Error for ChunkError {}

/// Splits `whole` into encoded chunks of at most `size_bytes` payload each; at least one.
///
/// ```
/// use teaselworks_config::configuration::chunk::{join, split};
///
/// let (manifest, chunks) = split(7, b"a whole configuration", 8);
/// assert_eq!(chunks.len(), 3);
/// assert_eq!(join(&manifest, &chunks).unwrap(), b"a whole configuration");
/// ```
///
/// # Panics
///
/// If `size_bytes` is zero.
pub fn split(version: u64, whole: &[u8], size_bytes: usize) -> (Manifest, Vec<Vec<u8>>) {
    let digest = Sha256::digest(whole);
    let manifest = manifest(version, whole.len() as u64, size_bytes, &digest);
    let mut payloads: Vec<&[u8]> = whole.chunks(size_bytes).collect();
    if payloads.is_empty() {
        payloads.push(&[]);
    }
    let mut chunks = Vec::with_capacity(payloads.len());
    for (index, payload) in (0..).zip(payloads) {
        chunks.push(encode(&manifest, index, payload));
    }
    (manifest, chunks)
}

/// Describes a whole of `whole_bytes` that is split into chunks of `size_bytes` payload.
pub(super) fn manifest(
    version: u64,
    whole_bytes: u64,
    size_bytes: usize,
    digest: &[u8],
) -> Manifest {
    let chunks = whole_bytes.div_ceil(size_bytes as u64).max(1);
    let chunks = u32::try_from(chunks).expect("fewer chunks than a u32 counts");
    Manifest { version, chunks, size_bytes: whole_bytes, digest: hexadecimal(digest) }
}

/// Encodes one chunk.
pub(super) fn encode(manifest: &Manifest, index: u32, payload: &[u8]) -> Vec<u8> {
    let head = ChunkHead { version: manifest.version, index, digest: manifest.digest.clone() };
    let mut chunk = serde_json::to_vec(&head).expect("a head of plain fields encodes");
    chunk.reserve_exact(1 + payload.len());
    chunk.push(b'\n');
    chunk.extend_from_slice(payload);
    chunk
}

/// Joins encoded chunks, in order, to the whole that `manifest` describes.
///
/// Fails unless every chunk is there, whole and of this version: a writer may have stopped between
/// two chunks, and two writers may have written the same keys in turn. Read without this check,
/// such a mixture can still be valid JSON, and would be put in force with workspaces of one version
/// and models of another.
///
/// ```
/// use teaselworks_config::configuration::chunk::{ChunkError, join, split};
///
/// let (manifest, chunks) = split(7, b"0123456789", 4);
/// let (_, newer) = split(8, b"abcdefghij", 4);
/// let mixed = [chunks[0].clone(), newer[1].clone(), chunks[2].clone()];
/// assert_eq!(join(&manifest, &mixed), Err(ChunkError::Foreign { position: 1 }));
/// ```
pub fn join<C: AsRef<[u8]>>(manifest: &Manifest, chunks: &[C]) -> Result<Vec<u8>, ChunkError> {
    Ok(payloads(manifest, chunks)?.concat())
}

/// Returns the checked parts of the whole in order, as `join` would join them.
pub(super) fn payloads<'a, C: AsRef<[u8]>>(
    manifest: &Manifest,
    chunks: &'a [C],
) -> Result<Vec<&'a [u8]>, ChunkError> {
    let mut payloads = Vec::with_capacity(chunks.len());
    let mut hasher = Sha256::new();
    let mut size_bytes = 0;
    for (position, chunk) in chunks.iter().enumerate() {
        let (head, payload) = decode(chunk.as_ref()).ok_or(ChunkError::Malformed { position })?;
        if head.version != manifest.version || head.digest != manifest.digest {
            return Err(ChunkError::Foreign { position });
        }
        if head.index as usize != position {
            return Err(ChunkError::Missing { index: position as u32 });
        }
        hasher.update(payload);
        size_bytes += payload.len() as u64;
        payloads.push(payload);
    }
    if chunks.len() < manifest.chunks as usize {
        return Err(ChunkError::Missing { index: chunks.len() as u32 });
    }
    if size_bytes != manifest.size_bytes || hexadecimal(&hasher.finalize()) != manifest.digest {
        return Err(ChunkError::Digest);
    }
    Ok(payloads)
}

fn decode(chunk: &[u8]) -> Option<(ChunkHead, &[u8])> {
    let newline = chunk.iter().position(|byte| *byte == b'\n')?;
    let head = serde_json::from_slice(&chunk[..newline]).ok()?;
    Some((head, &chunk[newline + 1..]))
}

fn hexadecimal(digest: &[u8]) -> String {
    let mut text = String::new();
    for byte in digest {
        text.push_str(&format!("{byte:02x}"));
    }
    text
}
