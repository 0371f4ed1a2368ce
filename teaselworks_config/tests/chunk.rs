//! Chunks of a configuration make up exactly the whole that was split, or are refused.

use proptest::prelude::*;
use teaselworks_config::configuration::chunk::{ChunkError, join, split};
use teaselworks_config::configuration::{Configuration, DecodeError};

proptest! {
    #[test]
    fn what_was_split_joins_to_the_same(whole: Vec<u8>, size_bytes in 1usize..64) {
        let (manifest, chunks) = split(3, &whole, size_bytes);
        prop_assert_eq!(join(&manifest, &chunks), Ok(whole));
    }

    // Symptom: a router serves workspaces of one version with the models of another.
    // Sequence: a writer dies between chunks, or two writers interleave, or bytes change on the
    // way; a reader joins what is there.
    // Cause: each chunk is whole in itself, and the mixture may even be well-formed.
    #[test]
    fn no_mixture_is_ever_joined(
        old in proptest::collection::vec(any::<u8>(), 20..60),
        new in proptest::collection::vec(any::<u8>(), 20..60),
        same_version: bool,
        harm in 0..4,
        index in 0usize..5,
    ) {
        let (manifest, chunks) = split(5, &old, 4);
        let (_, newer) = split(if same_version { 5 } else { 6 }, &new, 4);
        let mut read = chunks.clone();
        match harm {
            0 => read[index] = newer[index].clone(),
            1 => _ = read.remove(index),
            2 => read.swap(index, 0),
            _ => *read[index].last_mut().expect("a payload") ^= 1,
        }
        let decoded = Configuration::decode_chunks(&manifest, &read);
        let is_whole = read == chunks;
        prop_assert_eq!(matches!(decoded, Err(DecodeError::Chunks(_))), !is_whole);
        match join(&manifest, &read) {
            Ok(whole) => prop_assert_eq!((read, whole), (chunks, old)),
            Err(_) => prop_assert_ne!(read, chunks),
        }
    }
}

#[test]
fn a_half_written_whole_is_refused() {
    let (manifest, chunks) = split(5, &[7; 100], 16);
    assert_eq!(join(&manifest, &chunks[..6]), Err(ChunkError::Missing { index: 6 }));
    assert_eq!(join::<Vec<u8>>(&manifest, &[]), Err(ChunkError::Missing { index: 0 }));
}
