//! The parts of a prompt, of which earlier ones are shared with other requests.

/// A part of a prompt; the same part of other prompts has the same identifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifier.
    pub id: u64,
    /// Length.
    pub tokens: u32,
}

/// What a request says about its prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Parts in order; the last belongs to the request or its chat alone.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt.
    pub input_tokens: u32,
    /// Longest answer.
    pub output_tokens: u32,
}

impl Prompt {
    /// Returns the key by which requests with the same shared parts come together: the last part
    /// that others may share, or the only part.
    ///
    /// ```
    /// use teaselworks_policy::placement::{Prompt, PromptPart};
    ///
    /// let parts = [1, 2, 3].map(|id| PromptPart { id, tokens: 10 }).to_vec();
    /// let prompt = Prompt { parts, input_tokens: 30, output_tokens: 5 };
    /// assert_eq!(prompt.affinity_key(), Some(2));
    /// ```
    pub fn affinity_key(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared).map(|part| part.id)
    }
}
