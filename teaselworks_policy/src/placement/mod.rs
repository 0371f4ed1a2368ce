//! Chooses the replicas that may serve a chat, the likeliest holder of its context first.

pub mod affinity;
pub mod candidates;
pub mod holdings;
pub mod prefix;
pub mod replicas;
pub mod search;

pub use affinity::Affinity;
pub use candidates::{PlacementRequest, rank};
pub use holdings::{Belief, Holdings};
pub use prefix::{ChatKey, PrefixBlock, prefix_blocks, prefix_chain, reuse_tokens};
pub use replicas::{Phase, Replica, ReplicaIndex, ReplicaTable};
pub use search::{Ask, Claim, Search};
