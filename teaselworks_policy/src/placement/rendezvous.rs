//! Rendezvous hashing: each router orders the upstreams for a key in the same way.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash of an upstream's identifier, of which [`score`] makes its place in orders.
///
/// ```
/// use teaselworks_policy::placement::identity;
///
/// assert_ne!(identity("i-1"), identity("i-2"));
/// ```
pub fn identity(upstream: &str) -> u64 {
    xxh3_64(upstream.as_bytes())
}

/// Scores an upstream for a key; the highest score is the key's first choice.
///
/// An upstream that comes or goes moves only the keys that it has or had.
///
/// ```
/// use teaselworks_policy::placement::{identity, score};
///
/// assert_eq!(score(7, identity("i-1")), score(7, identity("i-1")));
/// assert_ne!(score(7, identity("i-1")), score(7, identity("i-2")));
/// ```
pub fn score(key: u64, identity: u64) -> u64 {
    // The finalizer of SplitMix64: each bit of the input changes half of the output.
    let mut mixed = identity ^ key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
