//! Control messages of a link: a small request and its answer, each in one or more parts.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use teaselworks_wire::frame::{CallKey, Frame};
use teaselworks_wire::message::Purpose;
use tokio::sync::oneshot;

use super::ControlRequest;
use super::connection::{Link, LinkEnd};
use super::error::{LinkError, LinkErrorKind};
use super::meters::DropCause;

/// Largest control message.
const MESSAGE_SIZE_BYTES: usize = 2 << 20;

/// Parts of unfinished requests and answers that one link may hold.
const PARTIAL_SIZE_BYTES: usize = 4 << 20;

/// Control messages that each end may have under way.
const CALLS: usize = 1_024;

/// Control messages under way on one link.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next_call: u32,
    asked: HashMap<u32, Asked>,
    partial: HashMap<u32, Partial>,
    partial_bytes: usize,
    answering: usize,
}

/// A request that this end made.
#[derive(Debug)]
struct Asked {
    answer: oneshot::Sender<Result<Bytes, LinkError>>,
    received: BytesMut,
}

/// A request of which the peer has sent a part.
#[derive(Debug, Default)]
struct Partial {
    received: BytesMut,
    refused: bool,
}

impl Calls {
    /// Tells whether no control message is under way.
    pub(super) fn is_empty(&self) -> bool {
        self.asked.is_empty() && self.partial.is_empty() && self.answering == 0
    }

    /// Tells whether the peer owes an answer.
    pub(super) fn is_owed(&self) -> bool {
        !self.asked.is_empty()
    }

    /// Lets go of everything after the link's end; whoever waits learns it from the dropped sender.
    pub(super) fn cut(self) {
        drop(self.asked);
    }

    /// Adds a part to a message; returns the whole after the last one, `None` before, and fails
    /// when the message or all unfinished ones grow too large.
    fn append(
        &mut self,
        received: &mut BytesMut,
        last: bool,
        bytes: Bytes,
    ) -> Result<Option<Bytes>, TooLarge> {
        if last && received.is_empty() {
            return Ok(Some(bytes));
        }
        let size_bytes = received.len() + bytes.len();
        if size_bytes > MESSAGE_SIZE_BYTES || self.partial_bytes + bytes.len() > PARTIAL_SIZE_BYTES
        {
            self.partial_bytes -= received.len();
            received.clear();
            return Err(TooLarge);
        }
        received.extend_from_slice(&bytes);
        self.partial_bytes += bytes.len();
        if !last {
            return Ok(None);
        }
        self.partial_bytes -= size_bytes;
        Ok(Some(std::mem::take(received).freeze()))
    }
}

struct TooLarge;

/// Forgets a request when nobody waits for its answer any more.
struct CallGuard<'a> {
    link: &'a Link,
    key: CallKey,
    sent: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.link.lock();
        if let Some(asked) = state.calls.asked.remove(&self.key.call) {
            state.calls.partial_bytes -= asked.received.len();
        }
        if !self.sent {
            self.link.send(&Frame::Withdraw(self.key));
        }
        self.link.settle(state);
    }
}

impl Link {
    /// Asks the peer and waits for its answer.
    pub(super) async fn call(
        self: &Arc<Self>,
        purpose: Purpose,
        request: Bytes,
    ) -> Result<Bytes, LinkError> {
        if request.len() > MESSAGE_SIZE_BYTES {
            return Err(LinkError::not_run(LinkErrorKind::TooLarge));
        }
        let (answer, answered) = oneshot::channel();
        let key = self.insert_call(purpose, answer)?;
        let mut guard = CallGuard { link: self, key, sent: false };
        self.send_parts(request, |last, bytes| Frame::Call { key, last, bytes }).await;
        guard.sent = true;
        answered.await.unwrap_or(Err(LinkError::may_have_run(LinkErrorKind::Lost)))
    }

    fn insert_call(
        self: &Arc<Self>,
        purpose: Purpose,
        answer: oneshot::Sender<Result<Bytes, LinkError>>,
    ) -> Result<CallKey, LinkError> {
        let mut state = self.lock();
        if !state.is_usable() {
            return Err(LinkError::not_run(LinkErrorKind::Lost));
        }
        if state.calls.asked.len() >= CALLS {
            return Err(LinkError::not_run(LinkErrorKind::Full));
        }
        let call = state.calls.next_call;
        state.calls.next_call = call.wrapping_add(1);
        state.calls.asked.insert(call, Asked { answer, received: BytesMut::new() });
        self.watch(&mut state);
        state.liveness.ask();
        Ok(CallKey { call, purpose })
    }

    async fn send_parts(&self, mut message: Bytes, frame: impl Fn(bool, Bytes) -> Frame) {
        let largest = self.outbox.part_size_bytes();
        loop {
            self.outbox.space().await;
            let part = message.split_to(message.len().min(largest));
            let last = message.is_empty();
            self.send(&frame(last, part));
            if last {
                return;
            }
        }
    }

    /// Takes a part of a request from the peer.
    pub(super) fn take_call(self: &Arc<Self>, key: CallKey, last: bool, bytes: Bytes) {
        let Some(request) = self.append_call(key, last, bytes) else {
            return;
        };
        let Some(handlers) = self.shared.handlers.get() else {
            return self.end_call(&Frame::Decline { key, unread: true });
        };
        let (answer, answered) = oneshot::channel();
        tokio::spawn(answer_call(self.clone(), key, answered));
        let from = self.peer.clone();
        (handlers.control)(ControlRequest { purpose: key.purpose, from, bytes: request, answer });
    }

    /// Returns the request when it is whole and may be answered.
    fn append_call(self: &Arc<Self>, key: CallKey, last: bool, bytes: Bytes) -> Option<Bytes> {
        let mut state = self.lock();
        self.watch(&mut state);
        let calls = &mut state.calls;
        let mut partial = calls.partial.remove(&key.call).unwrap_or_default();
        if calls.partial.len() >= CALLS {
            self.fail(LinkEnd::Violation);
            return None;
        }
        let whole = if partial.refused {
            Ok(None)
        } else if last && calls.answering >= CALLS {
            calls.partial_bytes -= partial.received.len();
            Err(TooLarge)
        } else {
            calls.append(&mut partial.received, last, bytes)
        };
        if whole.is_err() {
            partial.refused = true;
            self.send(&Frame::Decline { key, unread: true });
        }
        if !last {
            calls.partial.insert(key.call, partial);
        }
        let request = whole.ok().flatten()?;
        calls.answering += 1;
        Some(request)
    }

    /// Drops a request that the peer withdrew before its last part.
    pub(super) fn withdraw_call(&self, key: CallKey) {
        let mut state = self.lock();
        if let Some(partial) = state.calls.partial.remove(&key.call) {
            state.calls.partial_bytes -= partial.received.len();
        }
        self.settle(state);
    }

    fn end_call(&self, frame: &Frame) {
        self.send(frame);
        self.call_ended();
    }

    fn call_ended(&self) {
        let mut state = self.lock();
        // Zero after the link's end, when all calls were cut.
        state.calls.answering = state.calls.answering.saturating_sub(1);
        self.settle(state);
    }

    /// Takes a part of an answer from the peer.
    pub(super) fn take_answer(&self, key: CallKey, last: bool, bytes: Bytes) {
        let mut state = self.lock();
        let calls = &mut state.calls;
        let Some(mut asked) = calls.asked.remove(&key.call) else {
            return self.shared.meters.add_dropped(DropCause::UnknownCall, false);
        };
        let result = match calls.append(&mut asked.received, last, bytes) {
            Ok(Some(answer)) => Ok(answer),
            Ok(None) => {
                calls.asked.insert(key.call, asked);
                return;
            }
            Err(TooLarge) => Err(LinkError::may_have_run(LinkErrorKind::TooLarge)),
        };
        self.settle(state);
        // Fails when the asker has just gone.
        let _ = asked.answer.send(result);
    }

    /// Handles the peer's word that a request gets no answer.
    pub(super) fn declined(&self, key: CallKey, unread: bool) {
        let mut state = self.lock();
        let Some(asked) = state.calls.asked.remove(&key.call) else {
            return self.shared.meters.add_dropped(DropCause::UnknownCall, false);
        };
        state.calls.partial_bytes -= asked.received.len();
        self.settle(state);
        let error = if unread {
            LinkError::not_run(LinkErrorKind::Refused)
        } else {
            LinkError::may_have_run(LinkErrorKind::Declined)
        };
        let _ = asked.answer.send(Err(error));
    }
}

async fn answer_call(link: Arc<Link>, key: CallKey, answered: oneshot::Receiver<Bytes>) {
    let answer = link.over.run_until_cancelled(answered).await;
    match answer {
        Some(Ok(answer)) if answer.len() <= MESSAGE_SIZE_BYTES => {
            link.send_parts(answer, |last, bytes| Frame::Answer { key, last, bytes }).await;
            link.call_ended();
        }
        Some(_) => link.end_call(&Frame::Decline { key, unread: false }),
        None => link.call_ended(),
    }
}
