//! Bodies of attempts at the owner: held whole, or sent on while they arrive.

use std::io;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, stream};
use teaselworks_policy::verdict::{Refusal, RefusalReason};
use teaselworks_wire::message::{CallTarget, ReplyRefusal, Target};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::service::refuse;
use crate::dispatch::REPLAY_SIZE_BYTES;
use crate::upstream::CONTENT_LENGTH;

/// Body of an attempt that has its turn.
pub(super) enum RequestBody {
    /// All of it.
    Whole(Bytes),
    /// Sent on while it arrives.
    Arriving(Arriving),
}

/// A body that arrives from the entry.
pub(super) struct Arriving {
    /// Its parts, empty ones among them.
    pub parts: mpsc::Receiver<Bytes>,
    /// Set before the parts end, unless they end with the whole body.
    pub cut: CancellationToken,
}

impl RequestBody {
    /// Returns a body that was held whole.
    pub fn into_whole(self) -> Bytes {
        match self {
            Self::Whole(bytes) => bytes,
            Self::Arriving(_) => unreachable!("only calls to services send bodies on"),
        }
    }
}

impl Default for RequestBody {
    fn default() -> Self {
        Self::Whole(Bytes::new())
    }
}

impl Arriving {
    /// Waits for all of a body that is short or belongs to a chat; leaves any other one to arrive.
    pub async fn read(self, target: &Target, size_bytes: u64) -> Result<RequestBody, ReplyRefusal> {
        match target {
            Target::Call(call) if !is_short(call) => Ok(RequestBody::Arriving(self)),
            _ => Ok(RequestBody::Whole(self.collect(size_bytes).await?)),
        }
    }

    /// Returns the parts as they arrive; fails where the body was cut off.
    ///
    /// A body of unknown length that merely ends is taken for whole: a service would store the
    /// first half of an upload and answer that all is well.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
        stream::unfold(Some(self), |arriving| async move {
            let mut arriving = arriving?;
            loop {
                let part = tokio::select! {
                    biased;
                    () = arriving.cut.cancelled() => return Some((Err(cut_off()), None)),
                    part = arriving.parts.recv() => part,
                };
                match part {
                    Some(part) if part.is_empty() => {}
                    Some(part) => return Some((Ok(part), Some(arriving))),
                    None if arriving.cut.is_cancelled() => return Some((Err(cut_off()), None)),
                    None => return None,
                }
            }
        })
    }

    async fn collect(mut self, size_bytes: u64) -> Result<Bytes, ReplyRefusal> {
        let Some(first) = self.parts.recv().await else {
            return Ok(Bytes::new());
        };
        let mut collected = BytesMut::from(first);
        while let Some(part) = self.parts.recv().await {
            if (collected.len() + part.len()) as u64 > size_bytes {
                let detail = "The body is too large.";
                return Err(refuse(Refusal::not_run(RefusalReason::TooLarge, None, detail)));
            }
            collected.extend_from_slice(&part);
        }
        Ok(collected.freeze())
    }
}

fn cut_off() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "the caller did not send the whole body")
}

/// Tells whether a call announces a body that its entry holds whole.
fn is_short(call: &CallTarget) -> bool {
    let length = call.headers.iter().find(|header| header.name == CONTENT_LENGTH);
    let length_bytes = length.and_then(|length| length.value.parse::<usize>().ok());
    length_bytes.is_some_and(|length_bytes| length_bytes <= REPLAY_SIZE_BYTES)
}
