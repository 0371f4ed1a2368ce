//! Deterministic answers, so that a reader can tell a whole answer of its own from any other.

use serde::Deserialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of text that count as one token of a prompt.
pub const TOKEN_SIZE_BYTES: usize = 4;
/// Tokens of an answer whose request names no number.
pub const DEFAULT_OUTPUT_TOKENS: u32 = 16;

const WORDS: [&str; 32] = [
    "alder", "barley", "cedar", "dew", "elm", "fern", "gorse", "heather", "iris", "juniper",
    "kelp", "larch", "moss", "nettle", "oak", "pine", "quince", "rowan", "sorrel", "thyme", "ulex",
    "vetch", "willow", "yarrow", "zinnia", "ash", "birch", "clover", "daisy", "flax", "hazel",
    "ivy",
];

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// Returns the text that an engine sees for some messages.
///
/// ```
/// use teaselworks_standin::engine::answer::prompt_text;
///
/// assert_eq!(prompt_text([("user", "Hello.")]), "user: Hello.\n");
/// ```
pub fn prompt_text<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut text = String::new();
    for (role, content) in messages {
        text.extend([role, ": ", content, "\n"]);
    }
    text
}

/// Returns the token at a position, from 0, of the answer to a prompt.
///
/// ```
/// use teaselworks_standin::engine::answer::{digest, token};
///
/// assert_eq!(token(digest("user: Hello.\n"), 0).len(), 8);
/// ```
pub fn token(digest: u64, position: u32) -> String {
    if position == 0 {
        return format!("{:08x}", digest >> 32);
    }
    let hash = xxh3_64_with_seed(&position.to_le_bytes(), digest);
    let index = usize::try_from(hash % WORDS.len() as u64).expect("an index is small");
    format!(" {}", WORDS[index])
}

/// Returns the digest of a prompt that its answer is made from.
///
/// ```
/// use teaselworks_standin::engine::answer::digest;
///
/// assert_ne!(digest("user: a\n"), digest("user: b\n"));
/// ```
pub fn digest(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns the whole answer to a prompt, `tokens` tokens long.
///
/// ```
/// use teaselworks_standin::engine::answer::expected_answer;
///
/// let whole = expected_answer("user: Hello.\n", 5);
/// assert!(whole.starts_with(&expected_answer("user: Hello.\n", 4)));
/// ```
pub fn expected_answer(prompt: &str, tokens: u32) -> String {
    let digest = digest(prompt);
    (0..tokens).map(|position| token(digest, position)).collect()
}

/// Returns the tokens of a text.
///
/// ```
/// use teaselworks_standin::engine::answer::count_tokens;
///
/// assert_eq!(count_tokens("hello"), 2);
/// ```
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN_SIZE_BYTES)).unwrap_or(u32::MAX)
}
