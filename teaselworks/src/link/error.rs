//! Why an attempt or a control message could not be passed to a peer.

use std::fmt;
use std::io::ErrorKind;

use teaselworks_policy::verdict::{Refusal, RefusalReason, Verdict};
use teaselworks_wire::handshake::HandshakeError;

/// Time after which a caller may try again when a peer was unreachable.
const RETRY_AFTER_MS: u64 = 1_000;

/// What went wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkErrorKind {
    /// No connection could be made.
    Connect(ErrorKind),
    /// The time to connect and prove the secret ran out.
    ConnectTimeout,
    /// The peer and this router could not agree to talk.
    Handshake(HandshakeError),
    /// The link carries as many streams or control messages as it may.
    Full,
    /// The message exceeds the peer's largest frame.
    TooLarge,
    /// This router is stopping its links.
    Stopping,
    /// The peer left a ping unanswered and may be lost.
    Doubted,
    /// The link broke.
    Lost,
    /// The peer gave no answer in time.
    Timeout,
    /// The peer refused the control message unread.
    Refused,
    /// The peer took the control message but gave no answer.
    Declined,
}

/// Why an attempt or a control message was not answered, and whether the peer may have acted on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkError {
    /// What went wrong.
    pub kind: LinkErrorKind,
    /// Whether the peer may have acted.
    pub verdict: Verdict,
}

impl LinkError {
    /// Makes an error of a message that did not leave this router.
    ///
    /// ```
    /// use teaselworks::link::{LinkError, LinkErrorKind};
    /// use teaselworks_policy::verdict::Verdict;
    ///
    /// assert_eq!(LinkError::not_run(LinkErrorKind::Full).verdict, Verdict::NotRun);
    /// ```
    pub fn not_run(kind: LinkErrorKind) -> Self {
        Self { kind, verdict: Verdict::NotRun }
    }

    /// Makes an error of a message that may have reached the peer.
    pub fn may_have_run(kind: LinkErrorKind) -> Self {
        Self { kind, verdict: Verdict::MayHaveRun }
    }
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            LinkErrorKind::Connect(cause) => write!(f, "no connection: {cause}"),
            LinkErrorKind::ConnectTimeout => f.write_str("no connection in time"),
            LinkErrorKind::Handshake(cause) => write!(f, "handshake failed: {cause}"),
            LinkErrorKind::Full => f.write_str("the link is full"),
            LinkErrorKind::TooLarge => f.write_str("the message exceeds the largest frame"),
            LinkErrorKind::Stopping => f.write_str("the links are stopping"),
            LinkErrorKind::Doubted => f.write_str("the peer gives no sign of life"),
            LinkErrorKind::Lost => f.write_str("the link broke"),
            LinkErrorKind::Timeout => f.write_str("no answer in time"),
            LinkErrorKind::Refused => f.write_str("the peer refused the message"),
            LinkErrorKind::Declined => f.write_str("the peer gave no answer"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<LinkError> for Refusal {
    fn from(error: LinkError) -> Self {
        let reason = match error.kind {
            LinkErrorKind::TooLarge => RefusalReason::TooLarge,
            LinkErrorKind::Stopping => RefusalReason::Stopping,
            LinkErrorKind::Full => RefusalReason::Overloaded,
            _ => RefusalReason::OwnerUnreachable,
        };
        let retry_after_ms = (reason != RefusalReason::TooLarge).then_some(RETRY_AFTER_MS);
        Refusal { reason, verdict: error.verdict, retry_after_ms, detail: format!("{error}.") }
    }
}
