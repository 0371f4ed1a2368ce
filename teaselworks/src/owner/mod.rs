//! The owner's part: admits attempts to its replicas, queues them and sends them to upstreams.

mod answer;
mod body;
mod call;
mod chat;
mod leaving;
mod mean;
mod replica;
mod report;
mod role;
mod service;
mod slot;
mod stage;

pub use mean::PoolMean;
pub use role::{ReleaseAnswer, ReleaseMessage};
pub use service::{Owner, OwnerParts};
