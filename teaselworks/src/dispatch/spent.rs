//! Tokens that the attempts at one request used, as its entry knows them.

use teaselworks_policy::verdict::Verdict;
use teaselworks_wire::message::TokenUse;

/// Tokens used by all attempts at one request.
///
/// Owners tell what an attempt used when it ends. One whose owner was lost, or that is given up at
/// the deadline or with its caller, counts its prompt and the tokens that arrived.
#[derive(Debug, Default)]
pub struct Spent {
    prompt_tokens: u64,
    total_tokens: u64,
    resume_tokens: u64,
    told: bool,
}

impl Spent {
    /// Starts with a request's first attempt and its prompt's estimated length.
    pub fn new(prompt_tokens: u64) -> Self {
        Self { prompt_tokens, ..Self::default() }
    }

    /// Takes the owner's word on the running attempt.
    pub fn told(&mut self, tokens: TokenUse) {
        if !self.told {
            self.total_tokens += tokens.prompt_tokens + tokens.output_tokens;
            self.told = true;
        }
    }

    /// Ends the running attempt; `seen_tokens` of the whole answer had arrived.
    pub fn ended(&mut self, verdict: Verdict, seen_tokens: u64) {
        if !self.told && verdict != Verdict::NotRun {
            let generated_tokens = seen_tokens.saturating_sub(self.resume_tokens);
            self.total_tokens += self.prompt_tokens + generated_tokens;
        }
        self.told = true;
    }

    /// Starts the next attempt, which resumes after `resume_tokens`.
    pub fn next(&mut self, resume_tokens: u64) {
        self.resume_tokens = resume_tokens;
        self.told = false;
    }

    /// Returns the sum, prompts and answers together.
    pub fn total_tokens(&self) -> u64 {
        self.total_tokens
    }
}
