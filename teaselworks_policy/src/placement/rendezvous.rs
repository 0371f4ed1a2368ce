//! Rendezvous hashing: every router ranks the upstreams for a key in the same order.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash of an upstream's identifier, from which [`rendezvous_score`] computes scores.
///
/// ```
/// use teaselworks_policy::placement::hash_upstream_id;
///
/// assert_ne!(hash_upstream_id("i-1"), hash_upstream_id("i-2"));
/// ```
pub fn hash_upstream_id(upstream_id: &str) -> u64 {
    xxh3_64(upstream_id.as_bytes())
}

/// Returns the score of an upstream for a key. The upstream with the highest score is the first in
/// the key's order.
///
/// Adding or removing an upstream moves only the keys for which it becomes, or was, the first.
///
/// ```
/// use teaselworks_policy::placement::{hash_upstream_id, rendezvous_score};
///
/// assert_eq!(
///     rendezvous_score(7, hash_upstream_id("i-1")),
///     rendezvous_score(7, hash_upstream_id("i-1")),
/// );
/// assert_ne!(
///     rendezvous_score(7, hash_upstream_id("i-1")),
///     rendezvous_score(7, hash_upstream_id("i-2")),
/// );
/// ```
pub fn rendezvous_score(key: u64, id_hash: u64) -> u64 {
    // Finalizer of SplitMix64: flipping one input bit flips each output bit with a probability of
    // about one half.
    let mut mixed = id_hash ^ key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
