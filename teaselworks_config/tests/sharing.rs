//! Versions of a configuration share what they have in common, and nothing that they have not.

use std::sync::Arc;

use proptest::prelude::*;
use serde_json::{Map, Value, json};
use teaselworks_config::configuration::chunk::split;
use teaselworks_config::configuration::key::{KeyDigest, KeyIndex};
use teaselworks_config::configuration::{Configuration, patch};

const WORKSPACES: usize = 300;

fn name(number: usize) -> String {
    format!("workspace-{number:03}")
}

fn key(number: usize, turn: usize) -> String {
    format!("key-{number}-{turn}")
}

fn base() -> Configuration {
    let mut workspaces = Map::new();
    for number in 0..WORKSPACES {
        let digest = KeyDigest::of(&key(number, 0)).to_string();
        workspaces.insert(name(number), json!({ "key_digests": [digest], "weight": 1 }));
    }
    let patch = json!({ "workspaces": workspaces });
    patch::adopt(&Configuration::default(), &patch).unwrap()
}

/// What a patch does to one workspace.
#[derive(Clone, Copy, Debug)]
enum Step {
    Weigh,
    ChangeKey,
    Remove,
}

fn steps() -> impl Strategy<Value = Vec<(usize, Step)>> {
    let step = prop_oneof![Just(Step::Weigh), Just(Step::ChangeKey), Just(Step::Remove)];
    proptest::collection::vec((0..WORKSPACES + 20, step), 1..30)
}

fn change(turn: usize, number: usize, step: Step) -> Value {
    let workspace = match step {
        Step::Weigh => json!({ "weight": turn + 2 }),
        Step::ChangeKey => {
            json!({ "key_digests": [KeyDigest::of(&key(number, turn)).to_string()] })
        }
        Step::Remove => Value::Null,
    };
    json!({ "workspaces": { name(number): workspace } })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // Symptom: a caller with a removed key is let in, or one with a new key is refused; or a
    // router's memory grows by a whole configuration with each change.
    // Sequence: patches change weights and keys, remove workspaces and add them again.
    // Cause: an index of keys that is shared between versions whose keys differ, or versions that
    // copy what they could share.
    #[test]
    fn versions_share_all_but_what_a_patch_names(steps in steps()) {
        let first = base();
        let (mut held, mut index) = (first.clone(), KeyIndex::new(&first));
        for (turn, (number, step)) in steps.iter().enumerate() {
            let next = patch::adopt(&held, &change(turn, *number, *step)).unwrap();
            for (other, workspace) in &next.workspaces {
                if **other != *name(*number) {
                    prop_assert!(Arc::ptr_eq(workspace, &held.workspaces[other]));
                }
            }
            index = index.following(&held, &next);
            held = next;
        }
        prop_assert_eq!(&first, &base());
        let anew = KeyIndex::new(&held);
        for number in 0..WORKSPACES + 20 {
            for turn in 0..=steps.len() {
                let key = key(number, turn);
                prop_assert_eq!(index.find(&key), anew.find(&key));
            }
        }
        prop_assert_eq!(Configuration::decode(&held.encode()).unwrap(), held);
    }

    #[test]
    fn parts_make_up_the_encoded_form(size_bytes in 1usize..5_000, offset_bytes in 0u64..30_000) {
        let configuration = base();
        let whole = configuration.encode();
        let start = (offset_bytes as usize).min(whole.len());
        let end = (start + size_bytes).min(whole.len());
        prop_assert_eq!(configuration.encode_part(offset_bytes, size_bytes), &whole[start..end]);
        let (manifest, chunks) = split(4, &whole, size_bytes);
        prop_assert_eq!(&configuration.manifest(4, size_bytes), &manifest);
        let index = offset_bytes as u32 % manifest.chunks;
        prop_assert_eq!(configuration.chunk(&manifest, index, size_bytes), chunks[index as usize].clone());
    }
}
