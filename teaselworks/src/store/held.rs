//! The configuration in force at this router, and the newest patches that led to it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use teaselworks_config::configuration::{Configuration, NumberedConfiguration, patch};
use teaselworks_policy::store::version::{PatchStep, Relation, Version, patch_step, relation};
use tokio::sync::watch;

use super::record::StoredPatch;
use crate::event;

/// Newest patches kept for peers that lag.
const KEPT_PATCHES: usize = 64;
/// Size of all kept patches together.
const KEPT_SIZE_BYTES: usize = 256 << 10;

/// Why patches could not be put in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdoptError {
    /// Patches before the first one are missing.
    Gap,
    /// They follow from another configuration.
    Foreign,
    /// One cannot be read or applied.
    Unreadable,
}

struct KeptPatch {
    version: Version,
    raw: Bytes,
}

struct State {
    version: Version,
    kept: VecDeque<KeptPatch>,
}

/// The configuration in force; its number only grows.
pub struct Held {
    state: Mutex<State>,
    current: watch::Sender<Arc<NumberedConfiguration>>,
    is_staged: bool,
}

impl Held {
    /// Starts with number 0: nothing in force.
    pub fn new() -> Self {
        let state = State { version: Version::none(), kept: VecDeque::new() };
        let current = watch::Sender::new(Arc::new(NumberedConfiguration::default()));
        Self { state: Mutex::new(state), current, is_staged: false }
    }

    /// Starts a place to gather a configuration in, of which nothing is in force.
    pub fn staged() -> Self {
        Self { is_staged: true, ..Self::new() }
    }

    /// Returns what is in force.
    pub fn current(&self) -> Arc<NumberedConfiguration> {
        self.current.borrow().clone()
    }

    /// Returns a receiver that sees each change.
    pub fn subscribe(&self) -> watch::Receiver<Arc<NumberedConfiguration>> {
        self.current.subscribe()
    }

    /// Returns the identity of what is in force.
    pub fn version(&self) -> Version {
        self.lock().version.clone()
    }

    /// Returns both, of one moment.
    pub fn both(&self) -> (Version, Arc<NumberedConfiguration>) {
        let state = self.lock();
        (state.version.clone(), self.current())
    }

    /// Returns the kept patches that lead on from `after`, up to `size_bytes`; `None` when some are
    /// no longer kept or `after` is of another lineage.
    pub fn patches_after(&self, after: &Version, size_bytes: usize) -> Option<Vec<Bytes>> {
        let state = self.lock();
        let mut patches = Vec::new();
        let mut sum_bytes = 0;
        let mut found = *after == state.version;
        let mut parent = after.lineage.clone();
        for kept in &state.kept {
            if kept.version.number <= after.number {
                continue;
            }
            if patches.is_empty() && !follows(kept, after.number, &parent) {
                return None;
            }
            found = true;
            sum_bytes += kept.raw.len();
            if sum_bytes > size_bytes && !patches.is_empty() {
                break;
            }
            parent = kept.version.lineage.clone();
            patches.push(kept.raw.clone());
        }
        found.then_some(patches)
    }

    /// Returns every kept patch newer than `number`, oldest first.
    pub fn kept_after(&self, number: u64) -> Vec<Bytes> {
        let state = self.lock();
        let newer = state.kept.iter().filter(|kept| kept.version.number > number);
        newer.map(|kept| kept.raw.clone()).collect()
    }

    /// Puts patches in force that follow from what is; those contained in it are skipped.
    ///
    /// Returns the number in force afterwards. Patches before the failing one stay in force.
    pub fn adopt_patches(&self, raw_patches: &[Bytes]) -> Result<u64, AdoptError> {
        let mut state = self.lock();
        let mut numbered = self.current();
        let mut outcome = Ok(());
        for raw in raw_patches {
            let applied =
                read(raw).and_then(|patch| apply(&mut state, &numbered.configuration, &patch, raw));
            match applied {
                Ok(None) => continue,
                Ok(Some(next)) => numbered = Arc::new(next),
                Err(error) => {
                    outcome = Err(error);
                    break;
                }
            }
        }
        // Sent while the state is locked: two threads that sent in the other order than they
        // locked would leave the older number in force.
        self.send(&state, numbered);
        outcome.map(|()| state.version.number)
    }

    /// Puts a patch in force that this router has committed; `raw` is its encoded form.
    ///
    /// Read from `raw` again it would stand in memory twice, as values that take several times its
    /// size: the allocator would keep room for both.
    pub fn adopt_own(&self, patch: &StoredPatch, raw: &Bytes) -> Result<u64, AdoptError> {
        let mut state = self.lock();
        let numbered = self.current();
        if let Some(next) = apply(&mut state, &numbered.configuration, patch, raw)? {
            self.send(&state, Arc::new(next));
        }
        Ok(state.version.number)
    }

    /// Puts a whole configuration in force when its number is higher; returns the number in force.
    pub fn adopt_whole(&self, version: Version, configuration: Configuration) -> u64 {
        let mut state = self.lock();
        if relation(&state.version, &version) == Relation::Newer {
            let number = version.number;
            state.version = version;
            state.kept.clear();
            self.send(&state, Arc::new(NumberedConfiguration { version: number, configuration }));
        }
        state.version.number
    }

    /// Puts in force what was gathered apart, when its number is higher.
    pub fn adopt_staged(&self, staged: Held) {
        let numbered = staged.current();
        let gathered = staged.state.into_inner().expect("configuration lock is never poisoned");
        let mut state = self.lock();
        if relation(&state.version, &gathered.version) == Relation::Newer {
            *state = gathered;
            self.send(&state, numbered);
        }
    }

    fn send(&self, state: &State, numbered: Arc<NumberedConfiguration>) {
        let changed = self.current.send_if_modified(|current| {
            let newer = numbered.version > current.version;
            if newer {
                *current = numbered.clone();
            }
            newer
        });
        if changed && !self.is_staged {
            let lineage = &state.version.lineage;
            event::CONFIGURATION_IN_FORCE
                .log(format_args!("version={} lineage={lineage}", numbered.version));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("configuration lock is never poisoned")
    }
}

fn follows(kept: &KeptPatch, after: u64, parent: &str) -> bool {
    let Ok(stored) = serde_json::from_slice::<StoredPatch>(&kept.raw) else { return false };
    kept.version.number == after + 1 && *stored.parent == *parent
}

fn read(raw: &Bytes) -> Result<StoredPatch, AdoptError> {
    serde_json::from_slice(raw).map_err(|error| unreadable(&error.to_string()))
}

fn apply(
    state: &mut State,
    base: &Configuration,
    stored: &StoredPatch,
    raw: &Bytes,
) -> Result<Option<NumberedConfiguration>, AdoptError> {
    let number = stored.record.version;
    match patch_step(&state.version, number, &stored.parent) {
        PatchStep::Skip => return Ok(None),
        PatchStep::Gap => return Err(AdoptError::Gap),
        PatchStep::Foreign => return Err(AdoptError::Foreign),
        PatchStep::Apply => {}
    }
    let configuration = patch::adopt(base, &stored.record.patch)
        .map_err(|faults| unreadable(&faults.to_string()))?;
    state.version = Version { number, lineage: stored.lineage.clone() };
    state.kept.push_back(KeptPatch { version: state.version.clone(), raw: raw.clone() });
    let mut sum_bytes: usize = state.kept.iter().map(|kept| kept.raw.len()).sum();
    while state.kept.len() > KEPT_PATCHES || sum_bytes > KEPT_SIZE_BYTES {
        let Some(oldest) = state.kept.pop_front() else { break };
        sum_bytes -= oldest.raw.len();
    }
    Ok(Some(NumberedConfiguration { version: number, configuration }))
}

fn unreadable(detail: &str) -> AdoptError {
    event::CONFIGURATION_UNREADABLE.log(format_args!("{detail}"));
    AdoptError::Unreadable
}
