//! Encoding of frames as a sequence of CBOR items.

use std::fmt;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::frame::Frame;

/// Space that decoding one item may use for text before it allocates.
const SCRATCH_SIZE_BYTES: usize = 256;

/// Why bytes could not be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CodecError {
    /// The frame is larger than the receiver takes.
    TooLarge {
        /// Size of the encoded frame.
        size_bytes: usize,
        /// Largest size allowed.
        limit_bytes: usize,
    },
    /// The bytes are no frame.
    Malformed(String),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::TooLarge { size_bytes, limit_bytes } => {
                write!(f, "a frame of {size_bytes} bytes exceeds {limit_bytes}")
            }
            CodecError::Malformed(detail) => write!(f, "malformed frame: {detail}"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Appends a frame to `buffer` and returns its size in bytes; leaves the buffer as it was when the
/// frame exceeds `limit_bytes`.
///
/// ```
/// use teaselworks_wire::codec;
/// use teaselworks_wire::frame::Frame;
///
/// let mut buffer = Vec::new();
/// let size_bytes = codec::append(&mut buffer, &Frame::Closing, 1_024).unwrap();
/// assert_eq!(size_bytes, buffer.len());
/// ```
pub fn append(
    buffer: &mut Vec<u8>,
    frame: &Frame,
    limit_bytes: usize,
) -> Result<usize, CodecError> {
    append_item(buffer, frame, limit_bytes)
}

/// Takes the first frame off `input`; fails on bytes that are no frame.
///
/// ```
/// use teaselworks_wire::codec;
/// use teaselworks_wire::frame::Frame;
///
/// let mut buffer = Vec::new();
/// codec::append(&mut buffer, &Frame::Closing, 1_024).unwrap();
/// let mut input = buffer.as_slice();
/// assert_eq!(codec::take(&mut input).unwrap(), Frame::Closing);
/// assert!(input.is_empty());
/// ```
pub fn take(input: &mut &[u8]) -> Result<Frame, CodecError> {
    take_item(input)
}

/// Encodes one typed message, such as a control request.
///
/// ```
/// use teaselworks_wire::codec;
///
/// let bytes = codec::encode(&("version", 7_u64)).unwrap();
/// assert_eq!(codec::decode::<(String, u64)>(&bytes).unwrap(), ("version".to_owned(), 7));
/// ```
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, CodecError> {
    let mut buffer = Vec::new();
    append_item(&mut buffer, message, usize::MAX)?;
    Ok(buffer.into())
}

/// Decodes one typed message; fails on anything else, trailing bytes included.
pub fn decode<T: DeserializeOwned>(mut input: &[u8]) -> Result<T, CodecError> {
    let message = take_item(&mut input)?;
    if !input.is_empty() {
        return Err(CodecError::Malformed("bytes after the message".into()));
    }
    Ok(message)
}

pub(crate) fn append_item<T: Serialize>(
    buffer: &mut Vec<u8>,
    item: &T,
    limit_bytes: usize,
) -> Result<usize, CodecError> {
    let start = buffer.len();
    if let Err(error) = ciborium::into_writer(item, &mut *buffer) {
        buffer.truncate(start);
        return Err(CodecError::Malformed(error.to_string()));
    }
    let size_bytes = buffer.len() - start;
    if size_bytes > limit_bytes {
        buffer.truncate(start);
        return Err(CodecError::TooLarge { size_bytes, limit_bytes });
    }
    Ok(size_bytes)
}

pub(crate) fn take_item<T: DeserializeOwned>(input: &mut &[u8]) -> Result<T, CodecError> {
    let mut scratch = [0; SCRATCH_SIZE_BYTES];
    ciborium::de::from_reader_with_buffer(&mut *input, &mut scratch)
        .map_err(|error| CodecError::Malformed(error.to_string()))
}
