//! Typed messages that an entry router and an owner exchange about one attempt.
//!
//! They are written as arrays without field names, and what has few values as its number: every
//! attempt that an owner refuses costs its opening message and the refusal between zones.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
pub use teaselworks_policy::load::LoadSample;
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::placement::{Claim, PrefixBlock};
use teaselworks_policy::verdict::{Priority, Refusal};

use crate::compact;

/// Header of a request or answer that is passed on unchanged.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Lower-case field name.
    pub name: String,
    /// Field value.
    pub value: String,
}

/// What an attempt is sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// A chat for a model engine.
    Chat(ChatTarget),
    /// A call to a plain service.
    Call(CallTarget),
}

/// The chat that an attempt asks an engine for.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct ChatTarget {
    /// Model asked for.
    pub model: Name,
    /// Adapter of the model, where one is asked for.
    pub adapter: Option<Name>,
    /// Prefixes of the messages, shortest first.
    pub prefix: Vec<PrefixBlock>,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Estimated answer length in tokens.
    pub output_tokens: u32,
    /// Whether the caller asked for a stream of events.
    pub stream: bool,
    /// Tokens that reached the caller from an earlier attempt; the engine resumes after them.
    pub resume_tokens: u32,
}

/// The call that an attempt makes to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct CallTarget {
    /// Service named in the configuration.
    pub service: Name,
    /// HTTP method.
    pub method: String,
    /// Path and query after the service's prefix, beginning with a slash.
    pub path: String,
    /// Headers passed on to the service.
    #[serde(with = "compact::headers")]
    pub headers: Vec<Header>,
    /// Idempotency key of a call that must run at most once.
    pub idempotency_key: Option<String>,
}

/// Opens an attempt at the owner of a replica.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Open {
    /// Identity of the attempt, checked on every message about it.
    #[serde(with = "compact::attempt")]
    pub attempt: AttemptId,
    /// Upstream replica asked for.
    pub replica: Name,
    /// Why the replica is asked, which decides how much load its owner allows.
    #[serde(with = "compact::claim")]
    pub claim: Claim,
    /// Mean load of the replicas whose owners refused the request before, in tokens.
    pub refused_mean_tokens: u64,
    /// Workspace that is charged.
    pub workspace: Name,
    /// Order in which the attempt waits.
    #[serde(with = "compact::priority")]
    pub priority: Priority,
    /// Time left until the caller's deadline, in milliseconds, when the message was sent.
    pub deadline_ms: u64,
    /// Version of the configuration that the entry router decided by.
    pub configuration_version: u64,
    /// What the attempt is sent to.
    pub target: Target,
}

/// Tokens that an attempt used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct TokenUse {
    /// Prompt tokens, cached ones included.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
}

/// First message of an answer.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct ReplyHead {
    /// HTTP status of the upstream.
    pub status: u16,
    /// Headers passed on to the caller.
    #[serde(with = "compact::headers")]
    pub headers: Vec<Header>,
    /// Replica that answers.
    pub replica: Name,
}

/// Part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplyData {
    /// Position of `bytes` in the answer's body, in bytes.
    pub offset_bytes: u64,
    /// Tokens generated so far, this part included; zero for a plain service.
    pub output_tokens: u64,
    /// Whether the part goes on with the next message. Such a piece is of no use by itself: its
    /// tokens are those of the whole part.
    pub more: bool,
    /// The bytes.
    pub bytes: Bytes,
}

/// Last message of an answer that arrived whole.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct ReplyFinish {
    /// Length of the whole body in bytes, checked by the receiver.
    pub size_bytes: u64,
    /// What the answer used; `None` for a plain service.
    pub tokens: Option<TokenUse>,
    /// Load of the replica after the answer.
    pub load: LoadSample,
}

/// Last message of an attempt that failed or was refused.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct ReplyRefusal {
    /// Reason, verdict and time to return.
    #[serde(with = "compact::refusal")]
    pub refusal: Refusal,
    /// What the attempt used before it failed; zero when not run.
    pub tokens: Option<TokenUse>,
    /// Load of the replica.
    pub load: LoadSample,
}

/// A message from the owner about one attempt, in order: head, data, then finish or refusal.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The upstream began to answer.
    Head(ReplyHead),
    /// Part of the answer.
    Data(ReplyData),
    /// The answer is whole.
    Finish(ReplyFinish),
    /// The attempt ended without a whole answer.
    Refusal(ReplyRefusal),
}

/// Why routers exchange a control message; each purpose has byte counters of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Purpose {
    /// Liveness of routers and load of replicas.
    Membership,
    /// Versions of the configuration.
    Configuration,
    /// Use records and budgets.
    Usage,
    /// Limits of workspaces.
    Limits,
    /// The links themselves: handshakes, credits, pings and closing.
    Link,
    /// Mean loads of pools.
    Load,
    /// Load reports of engines, which do not pass links.
    Upstream,
    /// Engines that are to take no work until their role has changed.
    Orders,
}

impl Purpose {
    /// Every purpose, in the order of the metrics.
    pub const ALL: [Purpose; 8] = [
        Purpose::Membership,
        Purpose::Configuration,
        Purpose::Usage,
        Purpose::Limits,
        Purpose::Link,
        Purpose::Load,
        Purpose::Upstream,
        Purpose::Orders,
    ];

    /// Returns the purpose's name in metrics.
    ///
    /// ```
    /// use teaselworks_wire::message::Purpose;
    ///
    /// assert_eq!(Purpose::Usage.as_str(), "usage");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Purpose::Membership => "membership",
            Purpose::Configuration => "configuration",
            Purpose::Usage => "usage",
            Purpose::Limits => "limits",
            Purpose::Link => "link",
            Purpose::Load => "load",
            Purpose::Upstream => "upstream",
            Purpose::Orders => "orders",
        }
    }
}
