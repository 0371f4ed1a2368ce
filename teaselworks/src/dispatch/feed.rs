//! Hands a request's body to an attempt: all at once, or while it arrives from the caller.

use std::fmt;
use std::future;
use std::sync::{Mutex, MutexGuard};

use bytes::Bytes;
use teaselworks_policy::verdict::Refusal;
use tokio::sync::mpsc;

use crate::caller::BodySource;

/// Beginning of a body that is kept until the rest is asked for. Up to then, and for all of a body
/// that ends within it, another attempt can be made.
pub const REPLAY_SIZE_BYTES: usize = 64 << 10;

/// Body of a call to a plain service.
#[derive(Debug)]
pub enum CallBody {
    /// All of it.
    Whole(Bytes),
    /// Sent on while it arrives.
    Streamed(StreamedBody),
}

/// A body of which only the beginning has arrived.
pub struct StreamedBody {
    unsent: Mutex<Option<Unsent>>,
}

struct Unsent {
    first: Bytes,
    rest: BodySource,
}

impl CallBody {
    /// Returns the body where all of it is here.
    pub fn as_whole(&self) -> Option<&[u8]> {
        match self {
            Self::Whole(bytes) => Some(bytes),
            Self::Streamed(_) => None,
        }
    }

    /// Returns the length in bytes, of an arriving body as it was announced.
    pub fn length_bytes(&self, announced_bytes: Option<u64>) -> Option<u64> {
        match self {
            Self::Whole(bytes) => Some(bytes.len() as u64),
            Self::Streamed(_) => announced_bytes,
        }
    }

    /// Tells whether the body can be sent from its start.
    pub(super) fn is_replayable(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Streamed(body) => body.unsent().is_some(),
        }
    }

    /// Returns what feeds the body to an attempt, and its way to there.
    pub(super) fn feed(&self) -> (Feed<'_>, mpsc::Receiver<Bytes>) {
        match self {
            Self::Whole(bytes) => Feed::whole(bytes.clone()),
            Self::Streamed(body) => Feed::streamed(body),
        }
    }
}

impl StreamedBody {
    /// Makes a body that begins with `first`.
    pub fn new(first: Bytes, rest: BodySource) -> Self {
        Self { unsent: Mutex::new(Some(Unsent { first, rest })) }
    }

    fn unsent(&self) -> MutexGuard<'_, Option<Unsent>> {
        self.unsent.lock().expect("body lock is never poisoned")
    }
}

impl fmt::Debug for StreamedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamedBody").finish_non_exhaustive()
    }
}

/// What is handed over next.
enum Next {
    /// The kept beginning.
    First,
    /// An empty part. It is taken only when all of the beginning is on its way, which the owner's
    /// first window is too small for: the owner has admitted the attempt and reached the service.
    /// Reading from the caller before that would use up a body that another attempt needs.
    Marker,
    /// Whatever arrives.
    Rest,
}

/// Hands a body to one attempt.
pub struct Feed<'a> {
    /// Dropped at the body's end, which the attempt takes for the end of a whole body.
    sender: Option<mpsc::Sender<Bytes>>,
    next: Next,
    unsent: Option<Unsent>,
    body: Option<&'a StreamedBody>,
}

impl<'a> Feed<'a> {
    /// Hands over a whole body at once.
    pub(super) fn whole(bytes: Bytes) -> (Self, mpsc::Receiver<Bytes>) {
        let (sender, receiver) = mpsc::channel(1);
        // The channel has room for the one part, so this cannot fail.
        let _ = sender.try_send(bytes);
        (Self { sender: None, next: Next::Rest, unsent: None, body: None }, receiver)
    }

    fn streamed(body: &'a StreamedBody) -> (Self, mpsc::Receiver<Bytes>) {
        let (sender, receiver) = mpsc::channel(1);
        let unsent = body.unsent().take();
        (Self { sender: Some(sender), next: Next::First, unsent, body: Some(body) }, receiver)
    }

    /// Hands the body over as the attempt takes it; ends only when the body is refused. Nothing is
    /// lost when the future is dropped.
    pub(super) async fn run(&mut self) -> Refusal {
        loop {
            if let Some(refusal) = self.step().await {
                return refusal;
            }
        }
    }

    /// Tells whether the body can be handed to another attempt from its start.
    pub(super) fn is_replayable(&self) -> bool {
        self.unsent.is_none() || self.body.is_some()
    }

    async fn step(&mut self) -> Option<Refusal> {
        let (Some(sender), Some(unsent)) = (&self.sender, &mut self.unsent) else {
            return future::pending().await;
        };
        let Ok(permit) = sender.reserve().await else {
            // The attempt wants no more; its replies tell why.
            return future::pending().await;
        };
        match self.next {
            Next::First => {
                permit.send(unsent.first.clone());
                self.next = Next::Marker;
                return None;
            }
            Next::Marker => {
                permit.send(Bytes::new());
                self.next = Next::Rest;
                return None;
            }
            Next::Rest => {}
        }
        match unsent.rest.next().await {
            Some(Ok(part)) => {
                self.body = None;
                unsent.first = Bytes::new();
                permit.send(part);
                None
            }
            Some(Err(refusal)) => {
                self.body = None;
                Some(refusal)
            }
            None => {
                self.body = None;
                drop(permit);
                self.sender = None;
                None
            }
        }
    }
}

impl Drop for Feed<'_> {
    fn drop(&mut self) {
        // Not used up: the next attempt begins anew.
        if let (Some(body), Some(unsent)) = (self.body, self.unsent.take()) {
            *body.unsent() = Some(unsent);
        }
    }
}
