//! The answer to one request as its caller sees it.

use bytes::Bytes;
use teaselworks_policy::verdict::Refusal;
use teaselworks_wire::message::ReplyHead;
use tokio::sync::mpsc;

/// Part of an answer, in order: a head, data, then the end or a refusal; or only a refusal.
#[derive(Debug)]
pub enum AnswerPart {
    /// Status and headers.
    Head(ReplyHead),
    /// Part of the body.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// The request was given up on.
    Refusal(Refusal),
}

/// An answer in progress; dropping it cancels the request.
#[derive(Debug)]
pub struct Answer {
    /// The parts as they come.
    pub parts: mpsc::Receiver<AnswerPart>,
    /// Whether the body is a stream of events, in which an error can be told.
    pub events: bool,
}
