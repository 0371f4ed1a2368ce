//! Seals affinity tokens, so that a caller can return one but not make one.

use std::io::Cursor;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use teaselworks_policy::placement::Affinity;

/// What the fleet's secret is used for here; other uses derive other keys.
const PURPOSE: &[u8] = b"teaselworks affinity token 1";
/// Length of the seal in bytes.
const SEAL_SIZE_BYTES: usize = 16;

/// Seals and opens affinity tokens with a key that every router derives from the fleet's secret.
///
/// A token names a replica. A forged one could send a chat to the replica of another workspace's
/// choosing and skew the load; a token that does not open is ignored, and costs reuse alone.
pub struct AffinitySeal {
    key: Hmac<Sha256>,
}

impl AffinitySeal {
    /// Derives the key from the fleet's secret.
    pub fn new(secret: &str) -> Self {
        let mut derived = mac(secret.as_bytes());
        derived.update(PURPOSE);
        Self { key: mac(&derived.finalize().into_bytes()) }
    }

    /// Returns the sealed token.
    pub fn seal(&self, affinity: &Affinity) -> String {
        let mut token = Vec::new();
        ciborium::into_writer(affinity, &mut token).expect("writing to memory cannot fail");
        let seal = self.seal_of(&token);
        token.extend_from_slice(&seal[..SEAL_SIZE_BYTES]);
        URL_SAFE_NO_PAD.encode(token)
    }

    /// Opens a token; `None` for one that this fleet did not make.
    pub fn open(&self, token: &str) -> Option<Affinity> {
        let token = URL_SAFE_NO_PAD.decode(token).ok()?;
        let (content, seal) = token.split_at_checked(token.len().checked_sub(SEAL_SIZE_BYTES)?)?;
        let mut key = self.key.clone();
        key.update(content);
        key.verify_truncated_left(seal).ok()?;
        ciborium::from_reader(Cursor::new(content)).ok()
    }

    fn seal_of(&self, content: &[u8]) -> [u8; 32] {
        let mut key = self.key.clone();
        key.update(content);
        key.finalize().into_bytes().into()
    }
}

fn mac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("HMAC takes a key of any length")
}
