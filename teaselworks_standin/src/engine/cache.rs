//! Prefix cache in limited memory, with the events an engine publishes about it.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::answer::TOKEN_SIZE_BYTES;

/// Tokens of one block.
pub const BLOCK_TOKENS: u32 = 16;
const BLOCK_SIZE_BYTES: usize = BLOCK_TOKENS as usize * TOKEN_SIZE_BYTES;

/// What happened to blocks.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// Blocks are held.
    Stored,
    /// Blocks are held no more.
    Removed,
}

/// One event of the cache.
#[derive(Clone, Debug, Serialize)]
pub struct CacheEvent {
    /// Number, from 1; numbers left out are events that got lost.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Request that stored the blocks.
    pub request_id: Option<String>,
    /// Hashes of the blocks in hexadecimal.
    pub blocks: Vec<String>,
    /// When it happened.
    #[serde(skip)]
    pub at: Instant,
}

struct Block {
    parent: Option<u64>,
    used: u64,
}

/// Least recently used blocks of prefixes, each named by a hash over all text up to its end.
pub struct Cache {
    capacity_blocks: usize,
    blocks: HashMap<u64, Block>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    seq: u64,
    events: Vec<CacheEvent>,
}

impl Cache {
    /// Makes an empty cache for some blocks.
    pub fn new(capacity_blocks: usize) -> Self {
        let (blocks, by_use) = (HashMap::new(), BTreeMap::new());
        Self { capacity_blocks, blocks, by_use, uses: 0, seq: 0, events: Vec::new() }
    }

    /// Returns the hashes of the whole blocks of a text, first block first.
    pub fn chain(text: &str) -> Vec<u64> {
        let mut hash = 0;
        let mut chain = Vec::new();
        for block in text.as_bytes().chunks_exact(BLOCK_SIZE_BYTES) {
            hash = xxh3_64_with_seed(block, hash);
            chain.push(hash);
        }
        chain
    }

    /// Returns how many first blocks of a chain are held, and marks them as used.
    pub fn lookup(&mut self, chain: &[u64]) -> usize {
        let held = chain.iter().take_while(|hash| self.blocks.contains_key(hash)).count();
        self.touch(&chain[..held]);
        held
    }

    /// Marks blocks as used, the last first, so that a prefix outlives what continues it.
    fn touch(&mut self, chain: &[u64]) {
        for hash in chain.iter().rev() {
            let Some(block) = self.blocks.get_mut(hash) else { continue };
            self.uses += 1;
            self.by_use.remove(&block.used);
            block.used = self.uses;
            self.by_use.insert(self.uses, *hash);
        }
    }

    /// Holds a chain of blocks, in place of those unused for longest.
    pub fn store(&mut self, chain: &[u64], request_id: Option<&str>) {
        let mut parent = None;
        let mut stored = Vec::new();
        for hash in chain.iter().take(self.capacity_blocks) {
            if !self.blocks.contains_key(hash) {
                self.uses += 1;
                self.blocks.insert(*hash, Block { parent, used: self.uses });
                self.by_use.insert(self.uses, *hash);
                stored.push(*hash);
            }
            parent = Some(*hash);
        }
        self.touch(chain);
        self.record(CacheEventKind::Stored, request_id, &stored);
        let mut removed = Vec::new();
        while self.blocks.len() > self.capacity_blocks {
            let Some((_, hash)) = self.by_use.pop_first() else { break };
            self.blocks.remove(&hash);
            removed.push(hash);
        }
        self.record(CacheEventKind::Removed, None, &removed);
    }

    fn record(&mut self, kind: CacheEventKind, request_id: Option<&str>, blocks: &[u64]) {
        if blocks.is_empty() {
            return;
        }
        self.seq += 1;
        let blocks = blocks.iter().map(|hash| format!("{hash:016x}")).collect();
        let request_id = request_id.map(Into::into);
        self.events.push(CacheEvent {
            seq: self.seq,
            kind,
            request_id,
            blocks,
            at: Instant::now(),
        });
    }

    /// Returns the chain that ends with a block; empty when the block is not held.
    pub fn export(&self, last: u64) -> Vec<u64> {
        let mut chain = Vec::new();
        let mut next = Some(last);
        while let Some(hash) = next {
            let Some(block) = self.blocks.get(&hash) else { break };
            chain.push(hash);
            next = block.parent;
        }
        chain.reverse();
        chain
    }

    /// Returns the blocks held.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Tells whether no block is held.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the share of the memory in use.
    pub fn usage(&self) -> f64 {
        self.blocks.len() as f64 / self.capacity_blocks.max(1) as f64
    }

    /// Returns all events in order.
    pub fn events(&self) -> &[CacheEvent] {
        &self.events
    }

    /// Forgets all blocks; event numbers go on.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.by_use.clear();
    }
}
