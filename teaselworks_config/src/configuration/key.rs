//! Callers' keys: kept as digests only, found by digest, compared in constant time.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use imbl::ordmap::DiffItem;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use teaselworks_policy::name::Name;

use super::Configuration;

/// Length of a digest in bytes.
const DIGEST_SIZE_BYTES: usize = 32;

/// SHA-256 digest of a caller's key; 64 lower-case hexadecimal digits as text.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; DIGEST_SIZE_BYTES]);

impl KeyDigest {
    /// Digests a key as a caller presents it.
    ///
    /// ```
    /// use teaselworks_config::configuration::key::KeyDigest;
    ///
    /// let digest = KeyDigest::of("abc").to_string();
    /// assert!(digest.starts_with("ba7816bf"));
    /// ```
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares in a time that does not depend on the digests.
    ///
    /// ```
    /// use teaselworks_config::configuration::key::KeyDigest;
    ///
    /// assert!(KeyDigest::of("abc").matches(&KeyDigest::of("abc")));
    /// ```
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    fn prefix(&self) -> u64 {
        let mut first = [0; size_of::<u64>()];
        first.copy_from_slice(&self.0[..size_of::<u64>()]);
        u64::from_be_bytes(first)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// Text that is not 64 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DigestFormatError;

impl fmt::Display for DigestFormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("is not a SHA-256 digest of 64 lower-case hexadecimal digits")
    }
}

impl std::error::Error for DigestFormatError {}

impl FromStr for KeyDigest {
    type Err = DigestFormatError;

    fn from_str(text: &str) -> Result<Self, DigestFormatError> {
        let digits = text.as_bytes();
        if digits.len() != 2 * DIGEST_SIZE_BYTES {
            return Err(DigestFormatError);
        }
        let mut bytes = [0; DIGEST_SIZE_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = nibble(pair[0])? << 4 | nibble(pair[1])?;
        }
        Ok(Self(bytes))
    }
}

fn nibble(digit: u8) -> Result<u8, DigestFormatError> {
    match digit {
        b'0'..=b'9' => Ok(digit - b'0'),
        b'a'..=b'f' => Ok(digit - b'a' + 10),
        _ => Err(DigestFormatError),
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    digest: KeyDigest,
    workspace: Name,
}

/// Finds the workspace that a key belongs to.
///
/// Entries stand in one sorted array: 48 bytes a key, without the slack of a hash table.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    entries: Arc<Vec<Entry>>,
}

impl KeyIndex {
    /// Collects the keys of all workspaces.
    ///
    /// ```
    /// use teaselworks_config::configuration::{Configuration, key::KeyIndex};
    ///
    /// assert!(KeyIndex::new(&Configuration::default()).find("abc").is_none());
    /// ```
    pub fn new(configuration: &Configuration) -> Self {
        let digests =
            configuration.workspaces.values().map(|workspace| workspace.key_digests.len());
        let mut entries = Vec::with_capacity(digests.sum());
        for (name, workspace) in &configuration.workspaces {
            for digest in &workspace.key_digests {
                entries.push(Entry { digest: *digest, workspace: name.clone() });
            }
        }
        entries.sort_unstable_by_key(|entry| entry.digest);
        Self { entries: Arc::new(entries) }
    }

    /// Returns the index of `next`, where this is the index of `base`.
    ///
    /// Both share their entries unless a key was added or removed, which few changes do: made anew
    /// at each of them, the index would be most of what a change allocates and of its processor
    /// time.
    ///
    /// ```
    /// use serde_json::json;
    /// use teaselworks_config::configuration::key::{KeyDigest, KeyIndex};
    /// use teaselworks_config::configuration::{Configuration, patch};
    ///
    /// let base = Configuration::default();
    /// let keys = [KeyDigest::of("abc").to_string()];
    /// let change = json!({ "workspaces": { "choir": { "key_digests": keys } } });
    /// let next = patch::adopt(&base, &change).unwrap();
    /// let index = KeyIndex::new(&base).following(&base, &next);
    /// assert_eq!(index.find("abc").as_deref(), Some("choir"));
    /// ```
    pub fn following(&self, base: &Configuration, next: &Configuration) -> Self {
        for difference in base.workspaces.diff(&next.workspaces) {
            let same = match difference {
                DiffItem::Update { old, new } => old.1.key_digests == new.1.key_digests,
                DiffItem::Add(_, workspace) | DiffItem::Remove(_, workspace) => {
                    workspace.key_digests.is_empty()
                }
            };
            if !same {
                return Self::new(next);
            }
        }
        self.clone()
    }

    /// Returns the workspace that holds `key`, or `None`.
    ///
    /// The search branches on the first eight bytes of digests alone. Its time tells nothing of
    /// use: a caller who learned them would still have to invert SHA-256.
    ///
    /// ```
    /// use teaselworks_config::configuration::{Configuration, Workspace};
    /// use teaselworks_config::configuration::key::{KeyDigest, KeyIndex};
    ///
    /// let workspace = Workspace { key_digests: vec![KeyDigest::of("abc")], ..Default::default() };
    /// let mut configuration = Configuration::default();
    /// configuration.workspaces.insert("choir".into(), workspace.into());
    /// let index = KeyIndex::new(&configuration);
    /// assert_eq!(index.find("abc").as_deref(), Some("choir"));
    /// assert_eq!(index.find("abd"), None);
    /// ```
    pub fn find(&self, key: &str) -> Option<Name> {
        let presented = KeyDigest::of(key);
        let prefix = presented.prefix();
        let first = self.entries.partition_point(|entry| entry.digest.prefix() < prefix);
        let mut found = None;
        for entry in &self.entries[first..] {
            if entry.digest.prefix() != prefix {
                break;
            }
            if entry.digest.matches(&presented) {
                found = Some(entry.workspace.clone());
            }
        }
        found
    }
}
