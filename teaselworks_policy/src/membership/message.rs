//! What routers send each other about membership; every request has one answer.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::record::Update;
use super::upstreams::UpstreamMark;
use crate::name::Name;

/// Most updates that ride on one message, so that its size is bounded.
pub const MAX_UPDATES: usize = 8;

/// A router that can be called.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Contact {
    /// Name.
    pub router: Name,
    /// Where it listens for links.
    pub address: SocketAddr,
}

/// What a message asks or answers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks for an `Ack`.
    #[serde(rename = "p")]
    Probe,
    /// Asks the receiver to probe another router and to pass on its `Ack`.
    #[serde(rename = "r")]
    Relay(Contact),
    /// Asks for `Records` of every group of routers whose digest differs from these.
    #[serde(rename = "s")]
    Sync(Vec<u32>),
    /// Carries updates only; asks for an `Ack`.
    #[serde(rename = "u")]
    Push,
    /// Answers; tells whether the sender of the request was known.
    #[serde(rename = "a")]
    Ack(bool),
    /// Answers a `Relay` whose target did not answer.
    #[serde(rename = "n")]
    Unreached,
    /// Answers a `Sync` with the digests of the answering router; the updates are the records.
    #[serde(rename = "d")]
    Records(Vec<u32>),
}

/// A message between two routers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "PackedMessage", into = "PackedMessage")]
pub struct Message {
    /// What it asks or answers.
    pub kind: MessageKind,
    /// The sender's statement about itself, without details.
    pub sender: Update,
    /// Digest of the sender's whole view.
    pub digest: u32,
    /// News about routers.
    pub updates: Vec<Update>,
    /// News about upstreams.
    pub upstreams: Vec<UpstreamMark>,
}

type PackedMessage = (MessageKind, Update, u32, Vec<Update>, Vec<UpstreamMark>);

impl From<Message> for PackedMessage {
    fn from(message: Message) -> Self {
        (message.kind, message.sender, message.digest, message.updates, message.upstreams)
    }
}

impl From<PackedMessage> for Message {
    fn from((kind, sender, digest, updates, upstreams): PackedMessage) -> Self {
        Self { kind, sender, digest, updates, upstreams }
    }
}
