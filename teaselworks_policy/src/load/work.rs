//! Work of one attempt, counted in tokens that an engine generates.

/// Prompt tokens that count as one generated token.
///
/// Engines compute a prompt in parallel, 10 to 20 tokens in the time of one generated token.
/// Counting them in full would let one long prompt, done in a fraction of a second, fill the room
/// of a replica. The weight is kept above the true cost, because a prompt delays the answers
/// beside it.
pub const PROMPT_TOKENS_PER_TOKEN: u32 = 4;

/// Work of one attempt, estimated before it runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Prompt tokens that the engine is not believed to hold.
    pub uncached_tokens: u32,
    /// Tokens to come.
    pub output_tokens: u32,
}

impl Work {
    /// Returns the whole work in generated tokens.
    ///
    /// ```
    /// use teaselworks_policy::load::Work;
    ///
    /// assert_eq!(Work { uncached_tokens: 40, output_tokens: 12 }.tokens(), 22);
    /// ```
    pub fn tokens(self) -> u64 {
        self.left_tokens(0)
    }

    /// Returns what is left after `produced_tokens`, in generated tokens.
    ///
    /// The prompt is done with the first token. An answer that outgrew its estimate is expected
    /// to go on for an eighth of its length so far, so that it never counts for nothing.
    ///
    /// ```
    /// use teaselworks_policy::load::Work;
    ///
    /// let work = Work { uncached_tokens: 40, output_tokens: 12 };
    /// assert_eq!(work.left_tokens(0), 22);
    /// assert_eq!(work.left_tokens(2), 10);
    /// assert_eq!(work.left_tokens(80), 10);
    /// ```
    pub fn left_tokens(self, produced_tokens: u32) -> u64 {
        let prompt_tokens = if produced_tokens == 0 { self.uncached_tokens } else { 0 };
        let estimated_tokens = self.output_tokens.saturating_sub(produced_tokens);
        let to_come_tokens = estimated_tokens.max(produced_tokens / 8).max(1);
        u64::from(prompt_tokens.div_ceil(PROMPT_TOKENS_PER_TOKEN)) + u64::from(to_come_tokens)
    }
}
