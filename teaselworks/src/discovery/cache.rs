//! The store's items as this router last read them, for routers that do not read them themselves.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::platform::{Item, ItemChange, Snapshot};

/// Deletions that are remembered. A router that asks after more of them is given everything.
const DELETIONS: usize = 1_024;

/// What is newer than a revision of the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StoreUpdate {
    /// Nothing.
    Nothing,
    /// These changes, in order.
    Changes(Vec<ItemChange>),
    /// Everything, since not every change is known any more.
    Whole(Snapshot),
    /// More than the router that asked wants to get; it reads the store itself.
    TooLarge,
}

impl StoreUpdate {
    fn size_bytes(&self) -> usize {
        let size = |item: &Item| item.key.len() + item.value.as_ref().map_or(0, Bytes::len);
        match self {
            StoreUpdate::Nothing | StoreUpdate::TooLarge => 0,
            StoreUpdate::Whole(snapshot) => snapshot.items.iter().map(size).sum(),
            StoreUpdate::Changes(changes) => {
                let written = changes.iter().filter_map(ItemChange::item);
                written.map(size).sum()
            }
        }
    }
}

/// What the holder knows, for those who wait for news.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Standing {
    revision: u64,
    is_current: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<Arc<str>, Item>,
    deletions: VecDeque<Deletion>,
    /// Deletions up to this revision may be forgotten.
    forgotten: u64,
}

#[derive(Clone, Debug)]
struct Deletion {
    key: Arc<str>,
    revision: u64,
}

/// Items that this router holds.
#[derive(Debug, Default)]
pub struct StoreCache {
    state: Mutex<State>,
    standing: watch::Sender<Standing>,
}

impl StoreCache {
    /// Returns the revision up to which every change is known.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Tells whether this router can read the store at the moment.
    pub fn is_current(&self) -> bool {
        self.standing.borrow().is_current
    }

    /// Notes whether this router can read the store.
    pub(super) fn set_current(&self, is_current: bool) {
        self.standing.send_if_modified(|standing| {
            std::mem::replace(&mut standing.is_current, is_current) != is_current
        });
    }

    /// Waits until something newer than a revision is known, the store cannot be read, or a time
    /// has passed.
    pub async fn wait(&self, known: u64, time: Duration) {
        let mut standing = self.standing.subscribe();
        let changed =
            standing.wait_for(|standing| standing.revision > known || !standing.is_current);
        // The sender lives in `self`; a timeout is an answer, too.
        let _ = tokio::time::timeout(time, changed).await;
    }

    /// Returns what is newer than a revision, where it is not larger than a size.
    ///
    /// Large news would take the link of this VM from its callers.
    ///
    /// ```
    /// use teaselworks::discovery::{StoreCache, StoreUpdate};
    ///
    /// assert_eq!(StoreCache::default().news_after(0, None), StoreUpdate::Nothing);
    /// ```
    pub fn news_after(&self, known: u64, largest_bytes: Option<usize>) -> StoreUpdate {
        let news = self.all_after(known);
        let is_too_large = largest_bytes.is_some_and(|largest| news.size_bytes() > largest);
        if is_too_large { StoreUpdate::TooLarge } else { news }
    }

    fn all_after(&self, known: u64) -> StoreUpdate {
        let state = self.lock();
        if state.revision <= known {
            return StoreUpdate::Nothing;
        }
        if known < state.forgotten {
            let items = state.items.values().cloned().collect();
            return StoreUpdate::Whole(Snapshot { revision: state.revision, items });
        }
        let written = state.items.values().filter(|item| item.revision > known);
        let mut changes: Vec<ItemChange> = written.cloned().map(ItemChange::Written).collect();
        for Deletion { key, revision } in &state.deletions {
            if *revision > known {
                changes.push(ItemChange::Deleted { key: key.clone(), revision: *revision });
            }
        }
        changes.sort_by_key(ItemChange::revision);
        StoreUpdate::Changes(changes)
    }

    /// Replaces everything.
    pub(super) fn replace(&self, snapshot: &Snapshot) {
        let mut state = self.lock();
        state.revision = snapshot.revision;
        state.items = snapshot.items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        state.deletions.clear();
        state.forgotten = snapshot.revision;
        self.tell(&state);
    }

    /// Applies a change; false where it was known already.
    ///
    /// Changes between the first and the last page of a snapshot come once more by the watch.
    pub(super) fn apply(&self, change: &ItemChange) -> bool {
        let mut state = self.lock();
        let revision = change.revision();
        state.revision = state.revision.max(revision);
        let is_new = match change {
            ItemChange::Written(item) => state.write(item),
            ItemChange::Deleted { key, .. } => state.delete(key, revision),
        };
        self.tell(&state);
        is_new
    }

    fn tell(&self, state: &State) {
        let revision = state.revision;
        self.standing.send_if_modified(|standing| {
            std::mem::replace(&mut standing.revision, revision) != revision
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is never poisoned")
    }
}

impl State {
    fn write(&mut self, item: &Item) -> bool {
        let known = self.items.get(&item.key).map(|known| known.revision);
        if known.is_some_and(|known| known >= item.revision) {
            return false;
        }
        self.items.insert(item.key.clone(), item.clone());
        true
    }

    fn delete(&mut self, key: &Arc<str>, revision: u64) -> bool {
        let known = self.items.get(key).map(|known| known.revision);
        if known.is_none_or(|known| known > revision) {
            return false;
        }
        self.items.remove(key);
        self.deletions.push_back(Deletion { key: key.clone(), revision });
        if self.deletions.len() > DELETIONS {
            let forgotten = self.deletions.pop_front();
            self.forgotten = forgotten.map_or(self.forgotten, |deletion| deletion.revision);
        }
        true
    }
}
