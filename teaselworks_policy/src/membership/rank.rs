//! Order in which routers take on a task that one of them is enough for.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Membership;

impl Membership {
    /// Returns the number of registered routers that have a higher rendezvous score for a key than this
    /// one; `None` if this one is not registered.
    ///
    /// ```
    /// use teaselworks_policy::membership::Membership;
    ///
    /// let mut membership = Membership::new("a".into(), Vec::new());
    /// assert_eq!(membership.rank(7), None);
    /// membership.put("a".into(), ([127, 0, 0, 1], 80).into());
    /// assert_eq!(membership.rank(7), Some(0));
    /// ```
    pub fn rank(&self, key: u64) -> Option<u32> {
        let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), key);
        let own_score = score(&self.own_name);
        let is_listed = self.listed().any(|(name, _)| *name == self.own_name);
        let before = self.listed().filter(|(name, _)| score(name) > own_score).count();
        is_listed.then_some(before as u32)
    }
}
