//! Rendezvous hashing: each router orders the upstreams for a key in the same way.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Scores an upstream for a key; the highest score is the key's first choice.
///
/// An upstream that comes or goes moves only the keys that it has or had.
///
/// ```
/// use teaselworks_policy::placement::score;
///
/// assert_eq!(score(7, "i-1"), score(7, "i-1"));
/// assert_ne!(score(7, "i-1"), score(7, "i-2"));
/// ```
pub fn score(key: u64, upstream: &str) -> u64 {
    xxh3_64_with_seed(upstream.as_bytes(), key)
}
