//! Hashes of message prefixes, and the key that keeps a chat at one replica.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest chain; of a longer one the shortest prefixes and the longest ones are kept.
pub const CHAIN_LENGTH: usize = 64;

/// Shortest prefixes that are kept of a chain that is too long.
const CHAIN_HEAD: usize = 4;

/// Bytes of text taken for one token where no tokenizer is at hand.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens that a message costs besides its text.
const MESSAGE_TOKENS: u32 = 4;

const CONVERSATION_SEED: u64 = 0x5bd1_e995_9d1b_58d3;
const CHAIN_SEED: u64 = 0x27d4_eb2f_1656_67c5;

/// One prefix of a chat's messages.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, u32)", into = "(u64, u32)")]
pub struct PrefixBlock {
    /// Hash of workspace, model and every message of the prefix.
    pub hash: u64,
    /// Estimated length of the prefix in tokens.
    pub tokens: u32,
}

impl From<(u64, u32)> for PrefixBlock {
    fn from((hash, tokens): (u64, u32)) -> Self {
        Self { hash, tokens }
    }
}

impl From<PrefixBlock> for (u64, u32) {
    fn from(block: PrefixBlock) -> Self {
        (block.hash, block.tokens)
    }
}

/// Key by which a chat is placed: the same for each of its turns, whichever router it reaches.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ChatKey(pub u64);

impl ChatKey {
    /// Makes the key of a conversation that the caller names.
    ///
    /// ```
    /// use teaselworks_policy::placement::ChatKey;
    ///
    /// assert_ne!(ChatKey::of_conversation("choir", "7"), ChatKey::of_conversation("school", "7"));
    /// ```
    pub fn of_conversation(workspace: &str, conversation: &str) -> Self {
        let seed = xxh3_64_with_seed(workspace.as_bytes(), CONVERSATION_SEED);
        Self(xxh3_64_with_seed(conversation.as_bytes(), seed))
    }

    /// Makes the key of a chat without a name from its chain as `prefix_chain` gives it.
    ///
    /// The second hash covers the system messages and the message that opens the chat. Every turn
    /// shares it, and it differs between chats under one system prompt.
    ///
    /// ```
    /// use teaselworks_policy::placement::{ChatKey, prefix_chain};
    ///
    /// let first = [("system", "Gloss."), ("user", "Lepa Vida")];
    /// let later = [first[0], first[1], ("assistant", "A ballad."), ("user", "Whose?")];
    /// let first = prefix_chain("school", "m", first.into_iter());
    /// let later = prefix_chain("school", "m", later.into_iter());
    /// assert_eq!(ChatKey::of_chain("school", &first), ChatKey::of_chain("school", &later));
    /// ```
    pub fn of_chain(workspace: &str, chain: &[u64]) -> Self {
        let opening = chain.get(1).or(chain.first()).copied().unwrap_or_default();
        Self(xxh3_64_with_seed(workspace.as_bytes(), opening))
    }
}

/// Hashes each prefix of a chat's messages, shortest first; see [`prefix_blocks`].
///
/// ```
/// use teaselworks_policy::placement::prefix_chain;
///
/// let chain = prefix_chain("choir", "m", [("user", "a"), ("assistant", "b")].into_iter());
/// assert_eq!(chain.len(), 3);
/// ```
pub fn prefix_chain<'a>(
    workspace: &str,
    model: &str,
    messages: impl Iterator<Item = (&'a str, &'a str)>,
) -> Vec<u64> {
    prefix_blocks(workspace, model, messages).into_iter().map(|block| block.hash).collect()
}

/// Hashes and measures each prefix of a chat's messages, shortest first.
///
/// The first block covers the leading system messages, also when there are none, so that the
/// second always ends with the message that opens the chat. Chains of different workspaces never
/// match: what an engine holds for one workspace says nothing to another.
///
/// ```
/// use teaselworks_policy::placement::prefix_blocks;
///
/// let blocks = prefix_blocks("choir", "m", [("user", "four words of text")].into_iter());
/// assert_eq!(blocks[0].tokens, 0);
/// assert_eq!(blocks[1].tokens, 9);
/// ```
pub fn prefix_blocks<'a>(
    workspace: &str,
    model: &str,
    messages: impl Iterator<Item = (&'a str, &'a str)>,
) -> Vec<PrefixBlock> {
    let seed = xxh3_64_with_seed(workspace.as_bytes(), CHAIN_SEED);
    let mut last = PrefixBlock { hash: xxh3_64_with_seed(model.as_bytes(), seed), tokens: 0 };
    let mut blocks = Vec::new();
    let mut opened = false;
    for (role, content) in messages {
        if !opened && !is_system(role) {
            opened = true;
            blocks.push(last);
        }
        last = extend(last, role, content);
        if opened {
            blocks.push(last);
        }
    }
    if !opened {
        blocks.push(last);
    }
    shorten(&mut blocks);
    blocks
}

/// Returns the tokens of a prompt that a replica which holds the chat need not compute: all but
/// the last message, and zero for the turn that opens a chat.
///
/// ```
/// use teaselworks_policy::placement::{prefix_blocks, reuse_tokens};
///
/// let turn = [("user", "Lepa Vida"), ("assistant", "A ballad."), ("user", "Whose?")];
/// let first = prefix_blocks("school", "m", turn[..1].iter().copied());
/// let later = prefix_blocks("school", "m", turn.into_iter());
/// assert_eq!(reuse_tokens(&first), 0);
/// assert_eq!(reuse_tokens(&later), later[2].tokens);
/// ```
pub fn reuse_tokens(chain: &[PrefixBlock]) -> u32 {
    match chain {
        [_, _, .., before, _] => before.tokens,
        [_, opening, _] => opening.tokens,
        _ => 0,
    }
}

fn is_system(role: &str) -> bool {
    matches!(role, "system" | "developer")
}

fn extend(prefix: PrefixBlock, role: &str, content: &str) -> PrefixBlock {
    // The role is hashed before the content with the chain between them, so that no text can
    // move from one field to the other and still give the same hash.
    let hash = xxh3_64_with_seed(role.as_bytes(), prefix.hash);
    let hash = xxh3_64_with_seed(content.as_bytes(), hash);
    let tokens = u32::try_from(content.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
    let tokens = prefix.tokens.saturating_add(tokens).saturating_add(MESSAGE_TOKENS);
    PrefixBlock { hash, tokens }
}

fn shorten(blocks: &mut Vec<PrefixBlock>) {
    if blocks.len() <= CHAIN_LENGTH {
        return;
    }
    let longest = blocks.len() - (CHAIN_LENGTH - CHAIN_HEAD);
    blocks.drain(CHAIN_HEAD..longest);
}
