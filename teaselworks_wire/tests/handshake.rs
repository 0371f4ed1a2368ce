//! The handshake succeeds between routers that share a secret, and no altered message passes.

use proptest::prelude::*;
use teaselworks_wire::handshake::{
    self, Challenge, HandshakeError, Hello, Limits, Message, Party, Secret, VERSIONS, VersionRange,
};

const LIMITS: Limits = Limits { frame_size_bytes: 65_536, window_bytes: 2_048, streams: 8 };

fn secret() -> Secret {
    Secret::new("a secret for the tests")
}

fn party(router: &str, nonce: u8) -> Party {
    Party { router: router.into(), incarnation: 5, nonce: [nonce; 32], limits: LIMITS }
}

fn hello() -> Hello {
    Hello { versions: VERSIONS, dialer: party("a", 1), acceptor: "b".into() }
}

/// Runs a handshake in which `alter` may change each message on its way.
fn run(alter: &mut dyn FnMut(Message) -> Message) -> Result<(), HandshakeError> {
    let ours = hello();
    let Message::Hello(hello) = alter(Message::Hello(ours.clone())) else { unreachable!() };
    let sent = handshake::challenge(&secret(), party("b", 2), &hello)?;
    let Message::Challenge(received) = alter(Message::Challenge(sent.clone())) else {
        unreachable!()
    };
    let proof = handshake::respond(&secret(), &ours, &received)?;
    let Message::Proof(proof) = alter(Message::Proof(proof)) else { unreachable!() };
    handshake::verify(&secret(), &hello, &sent, &proof)
}

#[test]
fn routers_with_one_secret_agree() {
    assert_eq!(run(&mut |message| message), Ok(()));
}

proptest! {
    /// Changes one byte of one encoded message; what still decodes to something else must fail.
    #[test]
    fn a_changed_message_is_refused(
        which in 0..3_usize,
        at in any::<prop::sample::Index>(),
        flip in 1..=255_u8,
    ) {
        let (mut number, mut changed) = (0, false);
        let result = run(&mut |message| {
            number += 1;
            if number - 1 != which {
                return message;
            }
            let mut bytes = handshake::encode(&message).unwrap();
            let at = at.index(bytes.len());
            bytes[at] ^= flip;
            let same_kind = |other: &Message| {
                std::mem::discriminant(other) == std::mem::discriminant(&message)
            };
            let damaged = handshake::decode(&bytes).ok().filter(same_kind);
            changed = damaged.as_ref().is_some_and(|damaged| *damaged != message);
            damaged.unwrap_or(message)
        });
        prop_assert_eq!(result.is_err(), changed);
    }

    #[test]
    fn garbage_is_refused_without_a_panic(input in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = handshake::decode(&input);
    }
}

#[test]
fn a_wrong_secret_is_refused_by_either_end() {
    let (wrong, hello) = (Secret::new("another secret, not ours"), hello());
    let challenge = handshake::challenge(&wrong, party("b", 2), &hello).unwrap();
    let refused = Err(HandshakeError::WrongSecret);
    assert_eq!(handshake::respond(&secret(), &hello, &challenge), refused.clone());
    let proof = handshake::respond(&wrong, &hello, &challenge).unwrap();
    let ours = handshake::challenge(&secret(), party("b", 2), &hello).unwrap();
    assert_eq!(handshake::verify(&secret(), &hello, &ours, &proof).map(|()| proof), refused);
}

#[test]
fn a_proof_sent_back_to_its_maker_is_refused() {
    // Symptom: a stranger opens a link. Sequence: it answers a challenge with the challenge's own
    // proof, or proves itself with one from another link. Cause: proofs that name neither their
    // maker's role nor the nonces.
    let hello = hello();
    let challenge = handshake::challenge(&secret(), party("b", 2), &hello).unwrap();
    let refused = Err(HandshakeError::WrongSecret);
    assert_eq!(handshake::verify(&secret(), &hello, &challenge, &challenge.proof), refused);
    let proof = handshake::respond(&secret(), &hello, &challenge).unwrap();
    let fresh = handshake::challenge(&secret(), party("b", 3), &hello).unwrap();
    assert_eq!(handshake::verify(&secret(), &hello, &fresh, &proof), refused);
}

#[test]
fn routers_that_cannot_work_together_are_told_why() {
    let challenge = |hello: &Hello| handshake::challenge(&secret(), party("b", 2), hello);
    let newer = VersionRange { oldest: VERSIONS.newest + 1, newest: VERSIONS.newest + 2 };
    let hello = hello();
    let other = Hello { versions: newer, ..hello.clone() };
    assert_eq!(challenge(&other), Err(HandshakeError::NoCommonVersion));
    let other = Hello { acceptor: "c".into(), ..hello.clone() };
    assert_eq!(challenge(&other), Err(HandshakeError::WrongRouter));
    let mut other = hello.clone();
    other.dialer.limits.streams = 0;
    assert_eq!(challenge(&other), Err(HandshakeError::UnusableLimits));
    // An acceptor that knows the secret but is another router, as after an address was reused.
    let named_b = Hello { acceptor: "c".into(), ..hello.clone() };
    let Challenge { acceptor, proof, .. } =
        handshake::challenge(&secret(), party("c", 2), &named_b).unwrap();
    let reused = Challenge { version: VERSIONS.newest, acceptor, proof };
    let refused = handshake::respond(&secret(), &hello, &reused);
    assert_eq!(refused, Err(HandshakeError::WrongSecret));
}
