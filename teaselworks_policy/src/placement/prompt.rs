//! Describes a prompt as a sequence of parts, of which the first ones may be shared with other
//! requests.

/// Part of a prompt. The same part has the same identifier in every prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifier of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Prompt of a request to a model engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Parts in order. Other requests may share all but the last one, which belongs to this request
    /// or its chat alone.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt in tokens.
    pub input_tokens: u32,
    /// Maximum length of the answer in tokens.
    pub output_tokens: u32,
    /// Length of the answer in tokens that the caller expects, if stated. Often far off.
    pub output_hint: Option<u32>,
}

impl Prompt {
    /// Returns the parts that other requests may share: all but the last one.
    ///
    /// ```
    /// use teaselworks_policy::placement::{Prompt, PromptPart};
    ///
    /// let parts = [1, 2, 3].map(|id| PromptPart { id, tokens: 10 }).to_vec();
    /// let prompt = Prompt { parts, input_tokens: 30, output_tokens: 5, output_hint: None };
    /// assert_eq!(prompt.shared_parts().len(), 2);
    /// ```
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the key that routes requests with the same shared parts to the same replica: the
    /// identifier of the last part that other requests may share, or of the only part. Returns
    /// `None` for a prompt without parts.
    ///
    /// ```
    /// use teaselworks_policy::placement::{Prompt, PromptPart};
    ///
    /// let parts = [1, 2, 3].map(|id| PromptPart { id, tokens: 10 }).to_vec();
    /// let prompt = Prompt { parts, input_tokens: 30, output_tokens: 5, output_hint: None };
    /// assert_eq!(prompt.affinity_key(), Some(2));
    /// ```
    pub fn affinity_key(&self) -> Option<u64> {
        let last_shared = self.parts.len().saturating_sub(2);
        self.parts.get(last_shared).map(|part| part.id)
    }
}
