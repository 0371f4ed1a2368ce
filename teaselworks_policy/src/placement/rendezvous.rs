//! Rendezvous hashing: each router orders the upstreams for a key in the same way.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash of an upstream's identifier, of which [`rendezvous_score`] makes its place in
/// orders.
///
/// ```
/// use teaselworks_policy::placement::hash_upstream_id;
///
/// assert_ne!(hash_upstream_id("i-1"), hash_upstream_id("i-2"));
/// ```
pub fn hash_upstream_id(upstream_id: &str) -> u64 {
    xxh3_64(upstream_id.as_bytes())
}

/// Scores an upstream for a key; the highest score is the key's first choice.
///
/// An upstream that comes or goes moves only the keys that it has or had.
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
pub fn rendezvous_score(key: u64, upstream_hash: u64) -> u64 {
    // The finalizer of SplitMix64: each bit of the input changes half of the output.
    let mut mixed = upstream_hash ^ key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
