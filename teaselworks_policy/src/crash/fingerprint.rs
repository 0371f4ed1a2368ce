//! Fingerprints by which routers recognize a request that a caller sends again.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// What a replica computes the answer to a request from. Identifier, deadline and the event after which
/// a stream is resumed differ between the attempts of a caller and are left out.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Name of the caller's workspace; empty for none.
    pub workspace: &'a str,
    /// Host that the request names.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Model that the request names; empty for none.
    pub model: &'a str,
    /// Description of the prompt as the request has it, valid or not; empty for none.
    pub prompt: &'a str,
    /// Hash of the body, as [`body_hash`] returns it.
    pub body_hash: u64,
}

/// Returns the hash of a body, or of the beginning of one that is too long to be buffered.
pub fn body_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

impl RequestContent<'_> {
    /// Returns a hash of the content, which all routers compute alike.
    ///
    /// ```
    /// use teaselworks_policy::crash::{RequestContent, body_hash};
    ///
    /// let content = RequestContent {
    ///     workspace: "choir",
    ///     host: "archive.example",
    ///     method: "GET",
    ///     target: "/read/7",
    ///     model: "",
    ///     prompt: "",
    ///     body_hash: body_hash(b""),
    /// };
    /// let other = RequestContent { target: "/read/8", ..content };
    /// assert_eq!(content.fingerprint(), content.fingerprint());
    /// assert_ne!(content.fingerprint(), other.fingerprint());
    /// ```
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for text in [self.workspace, self.host, self.method, self.target, self.model, self.prompt] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(&self.body_hash.to_le_bytes());
        hasher.digest()
    }
}
