//! The store's items as this router last read them, for routers that cannot read them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};

use crate::platform::{Item, ItemChange, Snapshot};

/// Items as of a revision of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeldItems {
    /// Revision up to which every change is known.
    pub revision: u64,
    /// Items.
    pub items: Vec<Item>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<Arc<str>, Item>,
}

/// Items that this router holds.
#[derive(Debug, Default)]
pub struct Held {
    state: Mutex<State>,
    is_current: AtomicBool,
}

impl Held {
    /// Returns the revision up to which every change is known.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Tells whether this router can read the store at the moment.
    pub fn is_current(&self) -> bool {
        self.is_current.load(Ordering::Relaxed)
    }

    /// Notes whether this router can read the store.
    pub(super) fn set_current(&self, is_current: bool) {
        self.is_current.store(is_current, Ordering::Relaxed);
    }

    /// Returns the items, where they are newer than a revision.
    ///
    /// ```
    /// use teaselworks::beliefs::Held;
    ///
    /// assert!(Held::default().newer_than(0).is_none());
    /// ```
    pub fn newer_than(&self, revision: u64) -> Option<HeldItems> {
        let state = self.lock();
        if state.revision <= revision {
            return None;
        }
        Some(HeldItems { revision: state.revision, items: state.items.values().cloned().collect() })
    }

    /// Replaces everything.
    pub(super) fn replace(&self, snapshot: &Snapshot) {
        let mut state = self.lock();
        state.revision = snapshot.revision;
        state.items = snapshot.items.iter().map(|item| (item.key.clone(), item.clone())).collect();
    }

    /// Applies a change; false where it was known already.
    ///
    /// Changes between the first and the last page of a snapshot come once more by the watch.
    pub(super) fn apply(&self, change: &ItemChange) -> bool {
        let mut state = self.lock();
        let revision = match change {
            ItemChange::Written(item) => item.revision,
            ItemChange::Deleted { revision, .. } => *revision,
        };
        state.revision = state.revision.max(revision);
        match change {
            ItemChange::Written(item) => {
                let known = state.items.get(&item.key).map(|known| known.revision);
                if known.is_some_and(|known| known >= revision) {
                    return false;
                }
                state.items.insert(item.key.clone(), item.clone());
            }
            ItemChange::Deleted { key, .. } => {
                let known = state.items.get(key).map(|known| known.revision);
                if known.is_none_or(|known| known > revision) {
                    return false;
                }
                state.items.remove(key);
            }
        }
        true
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("the lock is never poisoned")
    }
}
