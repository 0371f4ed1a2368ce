//! Copy of the store's items, from which this router answers other routers that do not read the
//! store themselves.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::platform::{Item, ItemChange, Snapshot};

/// Number of deletions kept, so that a querying router can be sent only the changes that it lacks.
/// A router that may have missed an older deletion gets all items.
const MAX_DELETIONS: usize = 1_024;

/// Content of the store that is newer than a given revision.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StoreUpdate {
    /// Nothing is newer.
    Nothing,
    /// The changes since the revision, ordered by revision; of several writes to an item, only the
    /// last one.
    Changes(Vec<ItemChange>),
    /// All items, because a deletion after the revision may no longer be known.
    #[serde(rename = "Whole")]
    Snapshot(Snapshot),
    /// The update is larger than the querying router accepts; that router reads the store itself.
    TooLarge,
}

impl StoreUpdate {
    /// Returns the size of the keys and values of the written items.
    fn size_bytes(&self) -> usize {
        let size = |item: &Item| item.key.len() + item.value.as_ref().map_or(0, Bytes::len);
        match self {
            StoreUpdate::Nothing | StoreUpdate::TooLarge => 0,
            StoreUpdate::Snapshot(snapshot) => snapshot.items.iter().map(size).sum(),
            StoreUpdate::Changes(changes) => {
                let written = changes.iter().filter_map(ItemChange::item);
                written.map(size).sum()
            }
        }
    }
}

/// Revision and readability of the store as of the last update; a change of either wakes the
/// queries that wait for an update.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct CacheStatus {
    revision: u64,
    /// Whether this router can currently read the store.
    can_read_store: bool,
}

#[derive(Debug, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<Arc<str>, Item>,
    deletions: VecDeque<Deletion>,
    /// Deletions up to this revision may be missing from `deletions`.
    discarded_up_to: u64,
}

#[derive(Clone, Debug)]
struct Deletion {
    key: Arc<str>,
    revision: u64,
}

/// The store's items as this router last read them, from the store or through another router.
#[derive(Debug, Default)]
pub struct StoreCache {
    contents: Mutex<Contents>,
    status: watch::Sender<CacheStatus>,
}

impl StoreCache {
    /// Returns the revision of the store up to which every change has been applied.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Returns whether this router can currently read the store.
    pub fn can_read_store(&self) -> bool {
        self.status.borrow().can_read_store
    }

    /// Records whether this router can currently read the store.
    pub(super) fn set_can_read_store(&self, can_read_store: bool) {
        self.status.send_if_modified(|status| {
            std::mem::replace(&mut status.can_read_store, can_read_store) != can_read_store
        });
    }

    /// Waits until a revision newer than `known_revision` has been applied or the store cannot be
    /// read, but no longer than `timeout`.
    pub async fn wait_for_update(&self, known_revision: u64, timeout: Duration) {
        let mut status = self.status.subscribe();
        let changed =
            status.wait_for(|status| status.revision > known_revision || !status.can_read_store);
        // The channel cannot close, as `self` owns its sender. A timeout is no error: the caller
        // then responds with what is known.
        let _ = tokio::time::timeout(timeout, changed).await;
    }

    /// Returns what is newer than `known_revision`, or [`StoreUpdate::TooLarge`] if its keys and
    /// values take more than `largest_bytes`.
    ///
    /// Large updates to many routers would use up the network link of this VM, which its callers
    /// need.
    ///
    /// ```
    /// use teaselworks::discovery::{StoreCache, StoreUpdate};
    ///
    /// assert_eq!(StoreCache::default().update_after(0, None), StoreUpdate::Nothing);
    /// ```
    pub fn update_after(&self, known_revision: u64, largest_bytes: Option<usize>) -> StoreUpdate {
        let update = self.unlimited_update_after(known_revision);
        let is_too_large = largest_bytes.is_some_and(|largest| update.size_bytes() > largest);
        if is_too_large { StoreUpdate::TooLarge } else { update }
    }

    fn unlimited_update_after(&self, known_revision: u64) -> StoreUpdate {
        let contents = self.lock();
        if contents.revision <= known_revision {
            return StoreUpdate::Nothing;
        }
        if known_revision < contents.discarded_up_to {
            let items = contents.items.values().cloned().collect();
            return StoreUpdate::Snapshot(Snapshot { revision: contents.revision, items });
        }
        let written = contents.items.values().filter(|item| item.revision > known_revision);
        let mut changes: Vec<ItemChange> = written.cloned().map(ItemChange::Written).collect();
        for Deletion { key, revision } in &contents.deletions {
            if *revision > known_revision {
                changes.push(ItemChange::Deleted { key: key.clone(), revision: *revision });
            }
        }
        changes.sort_by_key(ItemChange::revision);
        StoreUpdate::Changes(changes)
    }

    /// Replaces all items with those of a snapshot.
    pub(super) fn replace(&self, snapshot: &Snapshot) {
        let mut contents = self.lock();
        contents.revision = snapshot.revision;
        contents.items =
            snapshot.items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        contents.deletions.clear();
        contents.discarded_up_to = snapshot.revision;
        self.notify_waiters(&contents);
    }

    /// Applies a change. Returns `false` if it was already known.
    ///
    /// A snapshot is read in pages and has the revision of the first one. Changes made before its
    /// last page is read can be part of it and are returned again by the next watch.
    pub(super) fn apply(&self, change: &ItemChange) -> bool {
        let mut contents = self.lock();
        let revision = change.revision();
        contents.revision = contents.revision.max(revision);
        let is_new = match change {
            ItemChange::Written(item) => contents.write(item),
            ItemChange::Deleted { key, .. } => contents.delete(key, revision),
        };
        self.notify_waiters(&contents);
        is_new
    }

    fn notify_waiters(&self, contents: &Contents) {
        let revision = contents.revision;
        self.status.send_if_modified(|status| {
            std::mem::replace(&mut status.revision, revision) != revision
        });
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().expect("store cache lock is never poisoned")
    }
}

impl Contents {
    /// Stores a written item. Returns `false` if the same or a newer revision of it is known.
    fn write(&mut self, item: &Item) -> bool {
        let known = self.items.get(&item.key).map(|known| known.revision);
        if known.is_some_and(|known| known >= item.revision) {
            return false;
        }
        self.items.insert(item.key.clone(), item.clone());
        true
    }

    /// Removes a deleted item. Returns `false` if it is not known or was written again later.
    fn delete(&mut self, key: &Arc<str>, revision: u64) -> bool {
        let known = self.items.get(key).map(|known| known.revision);
        if known.is_none_or(|known| known > revision) {
            return false;
        }
        self.items.remove(key);
        self.deletions.push_back(Deletion { key: key.clone(), revision });
        if self.deletions.len() > MAX_DELETIONS {
            let discarded = self.deletions.pop_front();
            self.discarded_up_to =
                discarded.map_or(self.discarded_up_to, |deletion| deletion.revision);
        }
        true
    }
}
