//! Hands each received frame to the stream or control message that it belongs to.

use std::sync::Arc;

use bytes::Bytes;
use teaselworks_wire::codec;
use teaselworks_wire::frame::{Frame, StreamKey};
use teaselworks_wire::handshake::SMALLEST_LIMIT_BYTES;
use teaselworks_wire::message::Reply;
use tokio::sync::mpsc::error::TrySendError;

use super::connection::{Link, LinkEnd};
use super::flow::{part_cost, reply_cost};
use super::meters::DropCause;
use super::outbox::PurposeSizes;
use super::streams::{Side, Stream};
use crate::event;

impl Link {
    /// Handles one message of the peer; returns its control bytes.
    pub(super) fn receive(self: &Arc<Self>, message: &[u8]) -> PurposeSizes {
        let mut sizes = PurposeSizes::default();
        let mut rest = message;
        while !rest.is_empty() && !self.over.is_cancelled() {
            let before = rest.len();
            let frame = match codec::take(&mut rest) {
                Ok(frame) => frame,
                Err(error) => {
                    event::LINK_VIOLATION.log(format_args!("peer={} {error}", self.peer));
                    self.fail(LinkEnd::Violation);
                    break;
                }
            };
            sizes.add(frame.purpose(), before - rest.len());
            self.handle(frame);
        }
        sizes
    }

    fn handle(self: &Arc<Self>, frame: Frame) {
        match frame {
            Frame::Open { window_bytes, .. } if window_bytes < SMALLEST_LIMIT_BYTES => {
                self.fail(LinkEnd::Violation);
            }
            Frame::Open { key, window_bytes, open } => {
                if StreamKey::new(key.stream, &open.attempt) != key {
                    return self.drop_frame(key, DropCause::ForeignAttempt, false);
                }
                self.accept(key, window_bytes, open);
            }
            Frame::Body { key, bytes } => self.take_body(key, bytes),
            Frame::BodyEnd(key) => self.end_body(key),
            Frame::Cancel(key) => self.end_stream(key, false),
            Frame::Reply { key, reply } => self.take_reply(key, reply),
            Frame::Abort(key) => self.end_stream(key, true),
            Frame::Credit { key, bytes } => self.add_credit(key, bytes),
            Frame::Call { key, last, bytes } => self.take_call(key, last, bytes),
            Frame::Answer { key, last, bytes } => self.take_answer(key, last, bytes),
            Frame::Decline { key, unread } => self.declined(key, unread),
            Frame::Withdraw(key) => self.withdraw_call(key),
            Frame::Closing => self.peer_retired(),
        }
    }

    /// Runs `handle` on a stream; drops and counts the frame when the stream is not there or
    /// carries another attempt.
    fn with_stream<T>(
        &self,
        key: StreamKey,
        reply: bool,
        handle: impl FnOnce(&mut Stream) -> T,
    ) -> Option<T> {
        let cause = {
            let mut state = self.lock();
            match state.streams.get_mut(&key.stream) {
                Some(stream) if stream.tag == key.tag => return Some(handle(stream)),
                Some(_) => DropCause::ForeignAttempt,
                None => DropCause::UnknownStream,
            }
        };
        self.drop_frame(key, cause, reply);
        None
    }

    fn drop_frame(&self, key: StreamKey, cause: DropCause, reply: bool) {
        self.shared.meters.add_dropped(cause, reply);
        // Frames of a stream that has just been cancelled are on their way when this end forgets
        // it; only a frame of a foreign attempt shows a fault.
        if cause == DropCause::ForeignAttempt {
            event::FOREIGN_FRAME_DROPPED.log(format_args!("peer={} stream={key}", self.peer));
        }
    }

    fn take_body(&self, key: StreamKey, bytes: Bytes) {
        let taken = self.with_stream(key, false, |stream| {
            if !stream.allowance.spend(part_cost(bytes.len())) {
                return false;
            }
            let Side::Owner { body: Some(body), .. } = &stream.side else {
                return false;
            };
            // Fails when the handler has ended; the stream then ends too.
            let _ = body.send(bytes);
            true
        });
        if taken == Some(false) {
            self.fail(LinkEnd::Violation);
        }
    }

    fn end_body(&self, key: StreamKey) {
        self.with_stream(key, false, |stream| {
            if let Side::Owner { body, .. } = &mut stream.side {
                *body = None;
            }
        });
    }

    fn take_reply(&self, key: StreamKey, reply: Reply) {
        let last = matches!(reply, Reply::Finish(_) | Reply::Refusal(_));
        let taken = self.with_stream(key, true, |stream| {
            let Side::Entry { replies, .. } = &stream.side else {
                return false;
            };
            let allowed = stream.allowance.spend(reply_cost(&reply));
            allowed && !matches!(replies.try_send(reply), Err(TrySendError::Full(_)))
        });
        match taken {
            Some(true) if last => self.end_stream(key, true),
            Some(true) | None => {}
            Some(false) => self.fail(LinkEnd::Violation),
        }
    }

    /// Ends a stream that was cancelled, or of which nothing more will come.
    fn end_stream(&self, key: StreamKey, reply: bool) {
        match self.remove_stream(key) {
            Ok(stream) => stream.cut(),
            // The last reply and the cancellation may cross.
            Err(cause) => self.drop_frame(key, cause, reply),
        }
    }

    fn add_credit(&self, key: StreamKey, bytes: u32) {
        self.with_stream(key, false, |stream| stream.credit.add(bytes));
    }
}
