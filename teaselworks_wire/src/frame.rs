//! Frames of an established link.
//!
//! A frame is one CBOR array that begins with a number for its kind. Several frames may follow each
//! other in one WebSocket message. Parts of answers are the bulk of the traffic, so their fields
//! are written without names and their bytes as a CBOR byte string.

use std::fmt;

use bytes::Bytes;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use teaselworks_policy::name::AttemptId;
use xxhash_rust::xxh3::Xxh3;

use crate::message::{Open, Purpose, Reply, ReplyData};

/// Bytes that a frame of body or answer adds around its payload, at most.
pub const OVERHEAD_SIZE_BYTES: usize = 64;

const OPEN: u8 = 0;
const BODY: u8 = 1;
const BODY_END: u8 = 2;
const CANCEL: u8 = 3;
const HEAD: u8 = 4;
const DATA: u8 = 5;
const FINISH: u8 = 6;
const REFUSAL: u8 = 7;
const ABORT: u8 = 8;
const CREDIT: u8 = 9;
const CALL: u8 = 10;
const ANSWER: u8 = 11;
const DECLINE: u8 = 12;
const WITHDRAW: u8 = 13;
const CLOSING: u8 = 14;
const DATA_PIECE: u8 = 15;

/// Names a stream and the attempt that it carries.
///
/// A stream number alone would do were both ends free of faults. The tag shows a frame that belongs
/// to another attempt than the receiver thinks, which is then dropped and counted: a caller must
/// never get a stranger's answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StreamKey {
    /// Number of the stream on its link; odd when the dialing router opened it.
    pub stream: u32,
    /// Hash of the attempt's identifier.
    pub tag: u64,
}

impl StreamKey {
    /// Names the stream that carries `attempt`.
    ///
    /// ```
    /// use teaselworks_policy::name::AttemptId;
    /// use teaselworks_wire::frame::StreamKey;
    ///
    /// let attempt = AttemptId { router: "a".into(), incarnation: 7, sequence: 1, attempt: 0 };
    /// assert_ne!(StreamKey::new(1, &attempt).tag, StreamKey::new(1, &attempt.next()).tag);
    /// ```
    pub fn new(stream: u32, attempt: &AttemptId) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&attempt.incarnation.to_le_bytes());
        hasher.update(&attempt.sequence.to_le_bytes());
        hasher.update(&attempt.attempt.to_le_bytes());
        hasher.update(attempt.router.as_bytes());
        Self { stream, tag: hasher.digest() }
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.stream, self.tag)
    }
}

/// Names a control message on its link and says what it is for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallKey {
    /// Number of the message among those its sender asked.
    pub call: u32,
    /// Whose bytes they are.
    pub purpose: Purpose,
}

/// What one end of a link sends to the other.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Opens a stream for one attempt.
    Open {
        /// The new stream.
        key: StreamKey,
        /// Cost of answer parts that may be sent before the first credit, in bytes.
        window_bytes: u32,
        /// What is asked for.
        open: Open,
    },
    /// Part of a request body.
    Body {
        /// The stream.
        key: StreamKey,
        /// The part.
        bytes: Bytes,
    },
    /// The request body is whole.
    BodyEnd(StreamKey),
    /// The entry router gave up on the attempt.
    Cancel(StreamKey),
    /// Part of an answer.
    Reply {
        /// The stream.
        key: StreamKey,
        /// The part.
        reply: Reply,
    },
    /// The owner ended the attempt without a result.
    Abort(StreamKey),
    /// Allows more body or answer parts.
    Credit {
        /// The stream.
        key: StreamKey,
        /// Cost of further parts, in bytes.
        bytes: u32,
    },
    /// Part of a control request.
    Call {
        /// The message.
        key: CallKey,
        /// Whether this is its last part.
        last: bool,
        /// The part.
        bytes: Bytes,
    },
    /// Part of the answer to a control request.
    Answer {
        /// The message.
        key: CallKey,
        /// Whether this is its last part.
        last: bool,
        /// The part.
        bytes: Bytes,
    },
    /// A control request gets no answer.
    Decline {
        /// The message.
        key: CallKey,
        /// Whether the request was refused unread.
        unread: bool,
    },
    /// The rest of a control request will not come.
    Withdraw(CallKey),
    /// The sender opens no further streams or calls and closes when both ends are done.
    Closing,
}

impl Frame {
    /// Returns whose bytes the frame is; `None` for frames that carry an attempt.
    ///
    /// ```
    /// use teaselworks_wire::frame::Frame;
    /// use teaselworks_wire::message::Purpose;
    ///
    /// assert_eq!(Frame::Closing.purpose(), Some(Purpose::Link));
    /// ```
    pub fn purpose(&self) -> Option<Purpose> {
        match self {
            Frame::Call { key, .. } | Frame::Answer { key, .. } | Frame::Decline { key, .. } => {
                Some(key.purpose)
            }
            Frame::Withdraw(key) => Some(key.purpose),
            Frame::Credit { .. } | Frame::Closing => Some(Purpose::Link),
            Frame::Open { .. }
            | Frame::Body { .. }
            | Frame::BodyEnd(_)
            | Frame::Cancel(_)
            | Frame::Reply { .. }
            | Frame::Abort(_) => None,
        }
    }
}

impl Serialize for Frame {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Frame::Open { key, window_bytes, open } => {
                (OPEN, key.stream, key.tag, window_bytes, open).serialize(serializer)
            }
            Frame::Body { key, bytes } => (BODY, key.stream, key.tag, bytes).serialize(serializer),
            Frame::BodyEnd(key) => (BODY_END, key.stream, key.tag).serialize(serializer),
            Frame::Cancel(key) => (CANCEL, key.stream, key.tag).serialize(serializer),
            Frame::Reply { key, reply } => serialize_reply(*key, reply, serializer),
            Frame::Abort(key) => (ABORT, key.stream, key.tag).serialize(serializer),
            Frame::Credit { key, bytes } => {
                (CREDIT, key.stream, key.tag, bytes).serialize(serializer)
            }
            Frame::Call { key, last, bytes } => {
                (CALL, key.call, key.purpose, last, bytes).serialize(serializer)
            }
            Frame::Answer { key, last, bytes } => {
                (ANSWER, key.call, key.purpose, last, bytes).serialize(serializer)
            }
            Frame::Decline { key, unread } => {
                (DECLINE, key.call, key.purpose, unread).serialize(serializer)
            }
            Frame::Withdraw(key) => (WITHDRAW, key.call, key.purpose).serialize(serializer),
            Frame::Closing => (CLOSING,).serialize(serializer),
        }
    }
}

fn serialize_reply<S: Serializer>(
    key: StreamKey,
    reply: &Reply,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match reply {
        Reply::Head(head) => (HEAD, key.stream, key.tag, head).serialize(serializer),
        Reply::Data(data) => {
            let ReplyData { offset_bytes, output_tokens, more, bytes } = data;
            let kind = if *more { DATA_PIECE } else { DATA };
            (kind, key.stream, key.tag, offset_bytes, output_tokens, bytes).serialize(serializer)
        }
        Reply::Finish(finish) => (FINISH, key.stream, key.tag, finish).serialize(serializer),
        Reply::Refusal(refusal) => (REFUSAL, key.stream, key.tag, refusal).serialize(serializer),
    }
}

impl<'de> Deserialize<'de> for Frame {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(FrameVisitor)
    }
}

struct FrameVisitor;

impl<'de> Visitor<'de> for FrameVisitor {
    type Value = Frame;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array that begins with the kind of a frame")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Frame, A::Error> {
        let kind: u8 = next(&mut seq)?;
        let frame = match kind {
            OPEN => {
                let key = stream_key(&mut seq)?;
                Frame::Open { key, window_bytes: next(&mut seq)?, open: next(&mut seq)? }
            }
            BODY => Frame::Body { key: stream_key(&mut seq)?, bytes: next(&mut seq)? },
            BODY_END => Frame::BodyEnd(stream_key(&mut seq)?),
            CANCEL => Frame::Cancel(stream_key(&mut seq)?),
            HEAD => reply(&mut seq, |seq| Ok(Reply::Head(next(seq)?)))?,
            DATA => reply(&mut seq, |seq| Ok(Reply::Data(data(seq, false)?)))?,
            DATA_PIECE => reply(&mut seq, |seq| Ok(Reply::Data(data(seq, true)?)))?,
            FINISH => reply(&mut seq, |seq| Ok(Reply::Finish(next(seq)?)))?,
            REFUSAL => reply(&mut seq, |seq| Ok(Reply::Refusal(next(seq)?)))?,
            ABORT => Frame::Abort(stream_key(&mut seq)?),
            CREDIT => Frame::Credit { key: stream_key(&mut seq)?, bytes: next(&mut seq)? },
            CALL => {
                let key = call_key(&mut seq)?;
                Frame::Call { key, last: next(&mut seq)?, bytes: next(&mut seq)? }
            }
            ANSWER => {
                let key = call_key(&mut seq)?;
                Frame::Answer { key, last: next(&mut seq)?, bytes: next(&mut seq)? }
            }
            DECLINE => Frame::Decline { key: call_key(&mut seq)?, unread: next(&mut seq)? },
            WITHDRAW => Frame::Withdraw(call_key(&mut seq)?),
            CLOSING => Frame::Closing,
            unknown => return Err(Error::custom(format_args!("unknown kind of frame {unknown}"))),
        };
        Ok(frame)
    }
}

fn next<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(seq: &mut A) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| Error::custom("the frame ends early"))
}

fn stream_key<'de, A: SeqAccess<'de>>(seq: &mut A) -> Result<StreamKey, A::Error> {
    Ok(StreamKey { stream: next(seq)?, tag: next(seq)? })
}

fn call_key<'de, A: SeqAccess<'de>>(seq: &mut A) -> Result<CallKey, A::Error> {
    Ok(CallKey { call: next(seq)?, purpose: next(seq)? })
}

fn reply<'de, A: SeqAccess<'de>>(
    seq: &mut A,
    read: impl FnOnce(&mut A) -> Result<Reply, A::Error>,
) -> Result<Frame, A::Error> {
    let key = stream_key(seq)?;
    Ok(Frame::Reply { key, reply: read(seq)? })
}

fn data<'de, A: SeqAccess<'de>>(seq: &mut A, more: bool) -> Result<ReplyData, A::Error> {
    let (offset_bytes, output_tokens) = (next(seq)?, next(seq)?);
    Ok(ReplyData { offset_bytes, output_tokens, more, bytes: next(seq)? })
}
