//! Messages that open a link: version choice and mutual proof of the shared secret.
//!
//! The dialer sends [`Hello`], the acceptor answers [`Challenge`] with its proof, the dialer sends
//! its own proof, the acceptor welcomes it. A proof is HMAC-SHA256 over the role of its maker, the
//! version chosen and everything both sides said, so that neither a changed message nor a proof
//! sent back to its maker is accepted.

use std::fmt;

use bytes::Bytes;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use teaselworks_policy::name::Name;

use crate::codec::{self, CodecError};

/// Versions of the protocol that this program speaks, oldest and newest.
///
/// 1 wrote messages about attempts with the names of their fields, 2 writes them as arrays. Only
/// 2 is spoken: nothing that speaks 1 was released.
pub const VERSIONS: VersionRange = VersionRange { oldest: 3, newest: 3 };

/// Largest handshake message.
pub const MESSAGE_SIZE_BYTES: usize = 4_096;

/// Smallest frame limit and stream window that a link can work with.
pub const SMALLEST_LIMIT_BYTES: u32 = 1_024;

/// Length of a nonce.
pub const NONCE_SIZE_BYTES: usize = 32;

/// Context of the proofs, so that the secret may serve other uses too.
const PROOF_LABEL: &str = "teaselworks link";

/// Versions of the protocol that a router speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VersionRange {
    /// Oldest version.
    pub oldest: u16,
    /// Newest version.
    pub newest: u16,
}

impl VersionRange {
    /// Returns the newest version that both speak.
    ///
    /// ```
    /// use teaselworks_wire::handshake::VersionRange;
    ///
    /// let ours = VersionRange { oldest: 2, newest: 4 };
    /// assert_eq!(ours.choose(VersionRange { oldest: 1, newest: 3 }), Some(3));
    /// assert_eq!(ours.choose(VersionRange { oldest: 5, newest: 6 }), None);
    /// ```
    pub fn choose(self, other: VersionRange) -> Option<u16> {
        let newest = self.newest.min(other.newest);
        (newest >= self.oldest.max(other.oldest)).then_some(newest)
    }
}

/// What a router takes from its peer on one link.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest frame.
    pub frame_size_bytes: u32,
    /// Cost of body parts that may be sent on a new stream before the first credit, in bytes.
    pub window_bytes: u32,
    /// Streams that the peer may have open at once.
    pub streams: u32,
}

impl Limits {
    /// Tells whether a link can work under these limits.
    ///
    /// ```
    /// use teaselworks_wire::handshake::Limits;
    ///
    /// let limits = Limits { frame_size_bytes: 65_536, window_bytes: 2_048, streams: 10 };
    /// assert!(limits.are_usable());
    /// assert!(!Limits { streams: 0, ..limits }.are_usable());
    /// ```
    pub fn are_usable(&self) -> bool {
        self.frame_size_bytes >= SMALLEST_LIMIT_BYTES
            && self.window_bytes >= SMALLEST_LIMIT_BYTES
            && self.streams > 0
    }
}

/// One end of a link as it presents itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Party {
    /// Name of the router.
    pub router: Name,
    /// Incarnation of the router.
    pub incarnation: u64,
    /// Unpredictable bytes, fresh for each link.
    pub nonce: [u8; NONCE_SIZE_BYTES],
    /// What it takes.
    pub limits: Limits,
}

/// First message, from the dialer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Versions that the dialer speaks.
    pub versions: VersionRange,
    /// The dialer.
    pub dialer: Party,
    /// Router that the dialer means to reach.
    pub acceptor: Name,
}

/// Second message, from the acceptor.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Challenge {
    /// Version chosen.
    pub version: u16,
    /// The acceptor.
    pub acceptor: Party,
    /// The acceptor's proof.
    pub proof: Bytes,
}

/// Why a handshake failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum HandshakeError {
    /// The peer does not know the secret.
    WrongSecret,
    /// The two speak no common version.
    NoCommonVersion,
    /// Another router answers at the address.
    WrongRouter,
    /// The peer's limits are too small to work with.
    UnusableLimits,
    /// A message was missing, malformed or out of order.
    Malformed,
}

impl HandshakeError {
    /// Every cause, in the order of the metrics.
    pub const ALL: [HandshakeError; 5] = [
        HandshakeError::WrongSecret,
        HandshakeError::NoCommonVersion,
        HandshakeError::WrongRouter,
        HandshakeError::UnusableLimits,
        HandshakeError::Malformed,
    ];

    /// Returns the name in metrics and logs.
    ///
    /// ```
    /// use teaselworks_wire::handshake::HandshakeError;
    ///
    /// assert_eq!(HandshakeError::WrongSecret.as_str(), "wrong_secret");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            HandshakeError::WrongSecret => "wrong_secret",
            HandshakeError::NoCommonVersion => "no_common_version",
            HandshakeError::WrongRouter => "wrong_router",
            HandshakeError::UnusableLimits => "unusable_limits",
            HandshakeError::Malformed => "malformed",
        }
    }
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for HandshakeError {}

impl From<CodecError> for HandshakeError {
    fn from(_: CodecError) -> Self {
        HandshakeError::Malformed
    }
}

/// Any message of the handshake.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First, from the dialer.
    Hello(Hello),
    /// Second, from the acceptor.
    Challenge(Challenge),
    /// Third, from the dialer: its proof.
    Proof(Bytes),
    /// Fourth, from the acceptor: the link is open.
    Welcome,
    /// Ends the handshake, from either.
    Refuse(HandshakeError),
}

/// Encodes a handshake message; fails when it exceeds [`MESSAGE_SIZE_BYTES`].
///
/// ```
/// use teaselworks_wire::handshake::{self, Message};
///
/// let bytes = handshake::encode(&Message::Welcome).unwrap();
/// assert_eq!(handshake::decode(&bytes).unwrap(), Message::Welcome);
/// ```
pub fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    let mut buffer = Vec::new();
    codec::append_item(&mut buffer, message, MESSAGE_SIZE_BYTES)?;
    Ok(buffer)
}

/// Decodes a handshake message; fails on anything else, trailing bytes included.
pub fn decode(input: &[u8]) -> Result<Message, CodecError> {
    if input.len() > MESSAGE_SIZE_BYTES {
        let limit_bytes = MESSAGE_SIZE_BYTES;
        return Err(CodecError::TooLarge { size_bytes: input.len(), limit_bytes });
    }
    codec::decode(input)
}

/// Secret shared by all routers.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Takes the secret's text.
    ///
    /// ```
    /// use teaselworks_wire::handshake::Secret;
    ///
    /// let secret = Secret::new("a secret of the fleet");
    /// assert_eq!(format!("{secret:?}"), "Secret(..)");
    /// ```
    pub fn new(secret: &str) -> Self {
        Self(secret.as_bytes().to_vec())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

#[derive(Clone, Copy, Serialize)]
enum Role {
    Dialer,
    Acceptor,
}

/// Answers a [`Hello`]; fails when the two cannot work together.
///
/// ```
/// use teaselworks_wire::handshake::{self, Hello, Limits, Party, Secret, VERSIONS};
///
/// let limits = Limits { frame_size_bytes: 65_536, window_bytes: 2_048, streams: 10 };
/// let party = |router: &str, nonce| {
///     Party { router: router.into(), incarnation: 1, nonce: [nonce; 32], limits }
/// };
/// let secret = Secret::new("a secret of the fleet");
/// let hello = Hello { versions: VERSIONS, dialer: party("a", 1), acceptor: "b".into() };
/// let challenge = handshake::challenge(&secret, party("b", 2), &hello).unwrap();
/// let proof = handshake::respond(&secret, &hello, &challenge).unwrap();
/// assert!(handshake::verify(&secret, &hello, &challenge, &proof).is_ok());
/// assert!(handshake::verify(&secret, &hello, &challenge, b"guessed").is_err());
/// ```
pub fn challenge(
    secret: &Secret,
    acceptor: Party,
    hello: &Hello,
) -> Result<Challenge, HandshakeError> {
    let version = VERSIONS.choose(hello.versions).ok_or(HandshakeError::NoCommonVersion)?;
    if hello.acceptor != acceptor.router {
        return Err(HandshakeError::WrongRouter);
    }
    if !hello.dialer.limits.are_usable() {
        return Err(HandshakeError::UnusableLimits);
    }
    let proof = prove(secret, Role::Acceptor, version, hello, &acceptor)?;
    Ok(Challenge { version, acceptor, proof })
}

/// Checks a [`Challenge`] and returns the dialer's proof; fails when the acceptor is not the router
/// meant, does not know the secret or cannot work with the dialer.
pub fn respond(
    secret: &Secret,
    hello: &Hello,
    challenge: &Challenge,
) -> Result<Bytes, HandshakeError> {
    let Challenge { version, acceptor, proof } = challenge;
    let expected = prove(secret, Role::Acceptor, *version, hello, acceptor)?;
    if !same(&expected, proof) {
        return Err(HandshakeError::WrongSecret);
    }
    if hello.acceptor != acceptor.router {
        return Err(HandshakeError::WrongRouter);
    }
    if hello.versions.choose(VersionRange { oldest: *version, newest: *version }).is_none() {
        return Err(HandshakeError::NoCommonVersion);
    }
    if !acceptor.limits.are_usable() {
        return Err(HandshakeError::UnusableLimits);
    }
    prove(secret, Role::Dialer, *version, hello, acceptor)
}

/// Checks the dialer's proof; fails when the dialer does not know the secret.
pub fn verify(
    secret: &Secret,
    hello: &Hello,
    challenge: &Challenge,
    proof: &[u8],
) -> Result<(), HandshakeError> {
    let Challenge { version, acceptor, .. } = challenge;
    let expected = prove(secret, Role::Dialer, *version, hello, acceptor)?;
    if same(&expected, proof) { Ok(()) } else { Err(HandshakeError::WrongSecret) }
}

fn prove(
    secret: &Secret,
    role: Role,
    version: u16,
    hello: &Hello,
    acceptor: &Party,
) -> Result<Bytes, HandshakeError> {
    let mut transcript = Vec::new();
    let said = (PROOF_LABEL, role, version, hello, acceptor);
    codec::append_item(&mut transcript, &said, 2 * MESSAGE_SIZE_BYTES)?;
    // HMAC takes a key of any length; an error here cannot occur.
    let mut mac =
        Hmac::<Sha256>::new_from_slice(&secret.0).map_err(|_| HandshakeError::Malformed)?;
    mac.update(&transcript);
    Ok(Bytes::copy_from_slice(&mac.finalize().into_bytes()))
}

/// Compares in constant time: an early exit would tell a prober how many bytes were right.
fn same(expected: &[u8], actual: &[u8]) -> bool {
    expected.ct_eq(actual).into()
}
