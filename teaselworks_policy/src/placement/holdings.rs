//! Estimate of the message prefixes that one engine holds, kept by the owner of the replica.

use std::time::Duration;

use super::prefix::PrefixBlock;

/// Prefixes of one set; the least recently used of a set makes room for a new one.
const WAYS: usize = 8;
/// Step in which the last use of a prefix is kept. Steps begin anew after three days: a chat that
/// returns then is priced as if it were held, for one turn.
const USE_STEP: Duration = Duration::from_secs(4);
/// How far beyond the age of a prefix the time for which the engine keeps things is aimed.
const BEYOND: f64 = 1.25;
/// Time for which an engine is taken to keep what it holds, until its figures show otherwise.
const LONGEST_KEPT: Duration = Duration::from_secs(24 * 60 * 60);

/// A late report from an engine's cache; reports may be lost, repeated or reordered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEvent {
    /// The engine stored a prefix.
    Stored {
        /// Hash of the prefix.
        hash: u64,
    },
    /// The engine dropped a prefix.
    Removed {
        /// Hash of the prefix.
        hash: u64,
    },
    /// The engine dropped everything, or an unknown number of events was lost.
    Cleared,
}

/// What an owner believes of a chat at its replica.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Belief {
    /// The engine holds the chat up to the answer of its last turn.
    Held,
    /// The engine holds an earlier turn, or the owner is too new to know.
    Perhaps,
    /// The engine holds nothing of the chat.
    No,
}

/// Prefixes that an engine is believed to hold.
///
/// The estimate prices work and tells a chat from whose prefix it knows nothing to look elsewhere.
/// Where it is wrong, a request costs more or less than was counted until the engine's own
/// figures correct it, or a context is computed anew. Verdicts and answers do not depend on it; the
/// bound counts work at its price, wrong by a quarter of a prompt at most until the first token.
///
/// It is a set-associative table of 32-bit fingerprints and times of use, 6 bytes a prefix, so that
/// the owner of several replicas stays small; a wrong match has a chance of 8 in 2^32.
#[derive(Clone, Debug)]
pub struct Holdings {
    sets: Vec<[u32; WAYS]>,
    /// When each prefix was used last, in steps of `USE_STEP`.
    used: Vec<[u16; WAYS]>,
    /// Time for which the engine keeps what is not used, as its figures showed.
    kept: Duration,
    /// Whether the engine ever told that it found something; many never do.
    reports: bool,
    doubt_until: Duration,
}

impl Holdings {
    /// Makes an empty estimate with room for about `capacity` prefixes.
    ///
    /// ```
    /// use teaselworks_policy::placement::Holdings;
    ///
    /// assert_eq!(Holdings::new(100).held_tokens(&[]), 0);
    /// ```
    pub fn new(capacity: usize) -> Self {
        let sets = vec![[0; WAYS]; capacity.div_ceil(WAYS).max(1)];
        let used = vec![[0; WAYS]; sets.len()];
        Self { sets, used, kept: LONGEST_KEPT, reports: false, doubt_until: Duration::ZERO }
    }

    /// Returns the tokens of `chain` that are believed held; zero for none.
    ///
    /// A match with an earlier turn's whole prompt covers the answer to it too, which is the next
    /// message of the chain. The last message is new, so that it is never counted as held.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use teaselworks_policy::placement::{Holdings, PrefixBlock};
    ///
    /// let block = |hash, tokens| PrefixBlock { hash, tokens };
    /// let first = [block(1, 40), block(2, 90)];
    /// let next = [first[0], first[1], block(3, 150), block(4, 170)];
    /// let mut holdings = Holdings::new(100);
    /// holdings.store(&first, Duration::ZERO);
    /// assert_eq!(holdings.held_tokens(&next), 150);
    /// ```
    pub fn held_tokens(&self, chain: &[PrefixBlock]) -> u32 {
        covered_tokens(chain, chain.iter().rposition(|block| self.contains(block.hash)))
    }

    /// Tells what is believed of a chat, beyond the beginning that chats share.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::placement::{Belief, Holdings, PrefixBlock};
    ///
    /// let block = |hash, tokens| PrefixBlock { hash, tokens };
    /// let first = [block(1, 900), block(2, 930)];
    /// let next = [first[0], first[1], block(3, 990), block(4, 1_010)];
    /// let mut holdings = Holdings::new(100);
    /// holdings.store(&first[..1], Duration::ZERO);
    /// assert_eq!(holdings.belief(&next, Duration::ZERO), Belief::No);
    /// holdings.store(&first, Duration::ZERO);
    /// assert_eq!(holdings.belief(&next, Duration::ZERO), Belief::Held);
    /// ```
    pub fn belief(&self, chain: &[PrefixBlock], now: Duration) -> Belief {
        let longest = chain.iter().rposition(|block| self.contains(block.hash));
        match longest {
            Some(longest) if longest > 0 && longest + 3 >= chain.len() => Belief::Held,
            Some(longest) if longest > 0 => Belief::Perhaps,
            _ if now < self.doubt_until => Belief::Perhaps,
            _ => Belief::No,
        }
    }

    /// Takes it that until `until` the engine may hold what this owner has not heard of, because
    /// another owner sent it work.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::placement::{Belief, Holdings};
    ///
    /// let mut holdings = Holdings::new(100);
    /// holdings.doubt(Duration::from_secs(600));
    /// assert_eq!(holdings.belief(&[], Duration::ZERO), Belief::Perhaps);
    /// ```
    pub fn doubt(&mut self, until: Duration) {
        self.doubt_until = self.doubt_until.max(until);
    }

    /// Returns the tokens of `chain` that the engine is expected to find, by which work is priced.
    ///
    /// What was not used for longer than the engine keeps things is counted as gone. Only prices
    /// heed it: a chat whose context is gone is computed best where its next turn will look for it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use teaselworks_policy::placement::{Holdings, PrefixBlock};
    ///
    /// let block = |hash, tokens| PrefixBlock { hash, tokens };
    /// let chain = [block(1, 40), block(2, 90)];
    /// let mut holdings = Holdings::new(100);
    /// holdings.store(&chain, Duration::ZERO);
    /// assert_eq!(holdings.expected_tokens(&chain, Duration::from_secs(60)), 90);
    /// ```
    pub fn expected_tokens(&self, chain: &[PrefixBlock], now: Duration) -> u32 {
        let is_kept =
            |block: &PrefixBlock| self.age(block, now).is_some_and(|age| age <= self.kept);
        covered_tokens(chain, chain.iter().rposition(is_kept))
    }

    /// Learns how long the engine keeps what is not used from its figures about a prompt: how
    /// many of the `prompt_tokens` it found in its cache. To be called before `store`.
    ///
    /// What goes wrong without it: an engine whose memory is short drops contexts, their chats are
    /// priced as if held, and the engine carries more than the bound for seconds (`skew` shows
    /// it). One figure moves the time half of the way, on a scale of ratios, and only where it
    /// contradicts the time: a lie or a restart of the engine is forgotten as chats return.
    /// Shares are compared, since the router's estimate of tokens is not the engine's.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use teaselworks_policy::placement::{Holdings, PrefixBlock};
    ///
    /// let block = |hash, tokens| PrefixBlock { hash, tokens };
    /// let chain = [block(1, 40), block(2, 90)];
    /// let mut holdings = Holdings::new(100);
    /// holdings.store(&chain, Duration::ZERO);
    /// for second in 0..20 {
    ///     holdings.learn(&chain, 40, 90, Duration::from_secs(60 + second));
    /// }
    /// assert_eq!(holdings.expected_tokens(&chain, Duration::from_secs(120)), 0);
    /// ```
    pub fn learn(
        &mut self,
        chain: &[PrefixBlock],
        cached_tokens: u64,
        prompt_tokens: u64,
        now: Duration,
    ) {
        self.reports |= cached_tokens > 0;
        let [shared, own @ .., whole] = chain else { return };
        let own = own.iter().chain([whole]).rev();
        let mut held = own.filter_map(|block| Some((block, self.age(block, now)?)));
        let Some((longest, age)) = held.next().filter(|_| self.reports) else { return };
        // The figures are an engine's word and may be of any size.
        let least_tokens = u64::from(shared.tokens.midpoint(longest.tokens));
        let found = cached_tokens.saturating_mul(whole.tokens.into())
            >= least_tokens.saturating_mul(prompt_tokens);
        if found == (age > self.kept) {
            // Aimed beyond the age: halves of the way to it would never pass it.
            let beyond = if found { BEYOND } else { 1.0 / BEYOND };
            let aim_s = age.max(USE_STEP).as_secs_f64() * beyond;
            self.kept = Duration::from_secs_f64((self.kept.as_secs_f64() * aim_s).sqrt());
        }
    }

    /// Returns the time since a prefix was used; `None` for one that is not believed held.
    fn age(&self, block: &PrefixBlock, now: Duration) -> Option<Duration> {
        let used = self.used[self.set_of(block.hash)][self.way_of(block.hash)?];
        Some(USE_STEP * u32::from(use_step(now).wrapping_sub(used)))
    }

    /// Notes that the engine computed `chain`.
    ///
    /// Its shared beginning and its whole are kept: those between were the whole of earlier turns.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use teaselworks_policy::placement::{Holdings, PrefixBlock};
    ///
    /// let chain = [PrefixBlock { hash: 1, tokens: 40 }, PrefixBlock { hash: 2, tokens: 90 }];
    /// let mut holdings = Holdings::new(100);
    /// holdings.store(&chain, Duration::ZERO);
    /// assert_eq!(holdings.held_tokens(&chain), 90);
    /// ```
    pub fn store(&mut self, chain: &[PrefixBlock], now: Duration) {
        let ends = [chain.last(), chain.first()];
        for block in ends.into_iter().flatten() {
            self.apply(CacheEvent::Stored { hash: block.hash }, now);
        }
    }

    /// Corrects the estimate by a report of the engine that arrives at `now`.
    ///
    /// Routers read no such reports, as they were not found worth their cost; see
    /// `docs/design/engine-cache.md`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use teaselworks_policy::placement::holdings::{CacheEvent, Holdings};
    /// use teaselworks_policy::placement::PrefixBlock;
    ///
    /// let chain = [PrefixBlock { hash: 1, tokens: 40 }];
    /// let mut holdings = Holdings::new(100);
    /// holdings.store(&chain, Duration::ZERO);
    /// holdings.apply(CacheEvent::Removed { hash: 1 }, Duration::ZERO);
    /// assert_eq!(holdings.held_tokens(&chain), 0);
    /// ```
    pub fn apply(&mut self, event: CacheEvent, now: Duration) {
        match event {
            CacheEvent::Stored { hash } => {
                let found = self.way_of(hash);
                let set = self.set_of(hash);
                let ways = &mut self.sets[set];
                ways[..=found.unwrap_or(WAYS - 1)].rotate_right(1);
                ways[0] = fingerprint(hash);
                let used = &mut self.used[set];
                used[..=found.unwrap_or(WAYS - 1)].rotate_right(1);
                used[0] = use_step(now);
            }
            CacheEvent::Removed { hash } => {
                let Some(way) = self.way_of(hash) else { return };
                let set = self.set_of(hash);
                self.sets[set][way..].rotate_left(1);
                self.sets[set][WAYS - 1] = 0;
                self.used[set][way..].rotate_left(1);
            }
            CacheEvent::Cleared => self.sets.fill([0; WAYS]),
        }
    }

    /// Tells whether a prefix is believed held.
    pub fn contains(&self, hash: u64) -> bool {
        self.way_of(hash).is_some()
    }

    fn set_of(&self, hash: u64) -> usize {
        ((u128::from(hash) * self.sets.len() as u128) >> 64) as usize
    }

    fn way_of(&self, hash: u64) -> Option<usize> {
        let wanted = fingerprint(hash);
        self.sets[self.set_of(hash)].iter().position(|way| *way == wanted)
    }
}

/// Returns the tokens that a match with a prefix covers.
fn covered_tokens(chain: &[PrefixBlock], longest: Option<usize>) -> u32 {
    let Some(longest) = longest else { return 0 };
    let answered = if longest == 0 { 0 } else { longest + 1 };
    let covered = answered.min(chain.len().saturating_sub(2)).max(longest);
    chain[covered].tokens
}

fn use_step(now: Duration) -> u16 {
    (now.as_secs() / USE_STEP.as_secs()) as u16
}

/// Returns the low half of a hash, never the zero that marks an empty place.
fn fingerprint(hash: u64) -> u32 {
    (hash as u32).max(1)
}
