//! Fake engine: a queue, a batch that shares the processor, and a bounded set of prefixes.

use std::collections::{HashMap, VecDeque};

use teaselworks_policy::load::Work;
use teaselworks_policy::placement::PrefixBlock;

/// Length of a tick in milliseconds.
pub(super) const TICK_MS: u64 = 40;
/// Tokens of prefixes that an engine holds.
pub(super) const CACHE_TOKENS: u64 = 1_000_000;

/// Sequences that run at once; more wait.
const BATCH: usize = 256;
/// Time of a step, and what each sequence adds to it, in milliseconds: 40 ms at 125 sequences.
const STEP_MS: f64 = 30.0;
const SEQUENCE_MS: f64 = 0.08;
/// Time to compute one prompt token, in milliseconds.
const PROMPT_TOKEN_MS: f64 = 0.02;
/// Time that a generated token takes of a full engine, in milliseconds.
const TOKEN_MS: f64 = 0.32;
/// Largest share of a tick that prompts take.
const PROMPT_SHARE: f64 = 0.5;

/// One request at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sequence {
    /// Request, by index, and number of the attempt at it.
    pub(super) request: u32,
    pub(super) attempt: u32,
    /// Router that sent it here.
    pub(super) owner: usize,
    /// Work, counted with what the engine really held.
    pub(super) work: Work,
    pub(super) produced: f64,
    pub(super) answer_tokens: u32,
    /// Time of the engine that the prompt still takes.
    pub(super) prompt_ms: f64,
}

impl Sequence {
    /// Returns the load as an owner that knew all would count it, in tokens.
    pub(super) fn counted_tokens(&self) -> u64 {
        self.work.left_tokens(self.produced as u32)
    }

    /// Returns the time of the engine that is really left, in milliseconds.
    pub(super) fn left_ms(&self) -> f64 {
        self.prompt_ms + (f64::from(self.answer_tokens) - self.produced) * TOKEN_MS
    }
}

/// Fake engine.
#[derive(Debug)]
pub(super) struct Engine {
    /// Sequences in order of arrival; the first `BATCH` of them run.
    pub(super) sequences: Vec<Sequence>,
    pub(super) cache: Cache,
}

impl Engine {
    pub(super) fn new(cache_tokens: u64) -> Self {
        Self { sequences: Vec::new(), cache: Cache::new(cache_tokens) }
    }

    pub(super) fn push(&mut self, mut sequence: Sequence) {
        sequence.prompt_ms = f64::from(sequence.work.uncached_tokens) * PROMPT_TOKEN_MS;
        self.sequences.push(sequence);
    }

    /// Runs for one tick; returns the sequences that ended.
    pub(super) fn tick(&mut self) -> Vec<Sequence> {
        let running = self.sequences.len().min(BATCH);
        let mut prompt_ms = TICK_MS as f64 * PROMPT_SHARE;
        let mut decoding = 0;
        for sequence in &mut self.sequences[..running] {
            let spent_ms = sequence.prompt_ms.min(prompt_ms);
            sequence.prompt_ms -= spent_ms;
            prompt_ms -= spent_ms;
            decoding += usize::from(sequence.prompt_ms <= 0.0);
        }
        let decode_ms = TICK_MS as f64 * (1.0 - PROMPT_SHARE) + prompt_ms;
        let steps = decode_ms / (STEP_MS + SEQUENCE_MS * decoding as f64);
        for sequence in &mut self.sequences[..running] {
            if sequence.prompt_ms <= 0.0 {
                sequence.produced += steps;
            }
        }
        let ends = |sequence: &mut Sequence| sequence.produced >= f64::from(sequence.answer_tokens);
        self.sequences.extract_if(.., ends).collect()
    }

    /// Returns the load as an owner that knew all would count it, in tokens.
    pub(super) fn counted_tokens(&self) -> u64 {
        self.sequences.iter().map(Sequence::counted_tokens).sum()
    }
}

/// Prefixes in limited memory, least recently used dropped first.
#[derive(Debug)]
pub(super) struct Cache {
    room_tokens: u64,
    tokens: u64,
    /// Last use and own tokens of each prefix.
    held: HashMap<u64, (u64, u32)>,
    by_use: VecDeque<(u64, u64)>,
    uses: u64,
}

impl Cache {
    pub(super) fn new(room_tokens: u64) -> Self {
        Self { room_tokens, tokens: 0, held: HashMap::new(), by_use: VecDeque::new(), uses: 0 }
    }

    /// Tells whether a prefix is held.
    pub(super) fn contains(&self, hash: u64) -> bool {
        self.held.contains_key(&hash)
    }

    /// Returns the tokens of the longest prefix of `chain` that is held.
    pub(super) fn held_tokens(&self, chain: &[PrefixBlock]) -> u32 {
        let held = chain.iter().rev().find(|block| self.held.contains_key(&block.hash));
        held.map_or(0, |block| block.tokens)
    }

    /// Holds every prefix of `chain`; returns the hashes that were dropped for it.
    pub(super) fn store(&mut self, chain: &[PrefixBlock]) -> Vec<u64> {
        for (index, block) in chain.iter().enumerate().rev() {
            let before = if index == 0 { 0 } else { chain[index - 1].tokens };
            self.uses += 1;
            let own_tokens = block.tokens - before;
            if self.held.insert(block.hash, (self.uses, own_tokens)).is_none() {
                self.tokens += u64::from(own_tokens);
            }
            self.by_use.push_back((self.uses, block.hash));
        }
        let mut dropped = Vec::new();
        while self.tokens > self.room_tokens {
            let Some((used, hash)) = self.by_use.pop_front() else { break };
            if self.held.get(&hash).is_none_or(|(last, _)| *last != used) {
                continue;
            }
            let (_, own_tokens) = self.held.remove(&hash).unwrap_or_default();
            self.tokens -= u64::from(own_tokens);
            dropped.push(hash);
        }
        dropped
    }
}
