//! Reads from the platform what is newer than the configuration in force.

use std::fmt;

use bytes::Bytes;
use teaselworks_config::configuration::Configuration;
use teaselworks_policy::store::version::{Relation, relation};

use super::Store;
use super::held::Held;
use super::record::{HEAD_KEY, Head, SnapshotReference, chunk_key, patch_key};
use crate::event;
use crate::platform::{CallPurpose, Entry, Operation, PlatformError, Transaction};

/// Patches read by one call.
const PATCH_PAGE: u32 = 16;
/// Tries before a head that keeps changing, or lacks its records, is given up on.
const LOAD_TRIES: u32 = 3;

/// Why the configuration could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadError {
    /// The platform did not answer.
    Platform(PlatformError),
    /// The records do not fit together or cannot be read.
    Unreadable(String),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadError::Platform(error) => error.fmt(f),
            LoadError::Unreadable(detail) => write!(f, "unreadable: {detail}"),
        }
    }
}

impl From<PlatformError> for LoadError {
    fn from(error: PlatformError) -> Self {
        LoadError::Platform(error)
    }
}

/// The head and the revision at which it was written; an absent head is version 0 at revision 0.
#[derive(Clone, Debug)]
pub(super) struct SeenHead {
    pub head: Head,
    pub revision: i64,
}

impl SeenHead {
    pub(super) fn from_entry(entry: Option<&Entry>) -> Result<Self, LoadError> {
        let Some(entry) = entry else {
            let head = Head { version: 0, lineage: "".into(), snapshot: None };
            return Ok(Self { head, revision: 0 });
        };
        let head = serde_json::from_slice(&entry.value)
            .map_err(|error| LoadError::Unreadable(format!("head: {error}")))?;
        Ok(Self { head, revision: entry.mod_revision })
    }
}

impl Store {
    /// Reads the head as the platform has agreed on it.
    ///
    /// By a transaction, which the service answers only after agreement; a plain read may come from
    /// a replica that lags, and a starting router would put an old configuration in force.
    pub(super) async fn read_head(&self) -> Result<SeenHead, LoadError> {
        let get = Operation::Get { key: HEAD_KEY.into() };
        let transaction = Transaction { success: vec![get], ..Transaction::default() };
        let outcome = self.platform.transact(CallPurpose::Configuration, &transaction).await?;
        SeenHead::from_entry(outcome.entry(0))
    }

    /// Reads the head and puts in force what it names when that is newer.
    pub(super) async fn load(&self) -> Result<SeenHead, LoadError> {
        self.load_into(&self.held).await
    }

    /// Reads the head and loads what it names when that is newer than what `held` holds.
    pub(super) async fn load_into(&self, held: &Held) -> Result<SeenHead, LoadError> {
        let mut last_error = LoadError::Unreadable("the head keeps changing".into());
        for _ in 0..LOAD_TRIES {
            let seen = self.read_head().await?;
            match self.load_head(held, &seen.head).await {
                Ok(()) => return Ok(seen),
                Err(error @ LoadError::Platform(_)) => return Err(error),
                Err(error) => last_error = error,
            }
        }
        event::CONFIGURATION_UNREADABLE.log(format_args!("{last_error}"));
        Err(last_error)
    }

    /// Loads what a head names when that is newer than what `held` holds.
    pub(super) async fn load_head(&self, held: &Held, head: &Head) -> Result<(), LoadError> {
        let version = held.version();
        match relation(&version, &head.version()) {
            Relation::Same => {
                self.platform_stands_well();
                return Ok(());
            }
            Relation::Older => {
                self.note_behind(&version, head);
                return Ok(());
            }
            Relation::Diverged => {
                self.note_diverged(&version, head);
                return Ok(());
            }
            Relation::Newer => {}
        }
        let snapshot = head.snapshot.as_ref();
        let too_far = snapshot.is_some_and(|snapshot| snapshot.manifest.version > version.number);
        // From nothing, page after page would be in force, each older than what was at this
        // router before it restarted.
        if !too_far && version.number > 0 {
            match self.load_patches(held, head).await {
                Ok(()) => return Ok(()),
                Err(PatchesError::Load(error)) => return Err(error),
                Err(PatchesError::DoNotFollow) => self.note_diverged(&version, head),
            }
        }
        self.load_whole(held, head).await
    }

    async fn load_patches(&self, held: &Held, head: &Head) -> Result<(), PatchesError> {
        loop {
            let number = held.version().number;
            if number >= head.version {
                break;
            }
            let patches = self.read_patches(number, head.version).await?;
            if patches.is_empty() {
                return Err(PatchesError::DoNotFollow);
            }
            let adopted = held.adopt_patches(&patches).map_err(|_| PatchesError::DoNotFollow)?;
            if adopted == number {
                return Err(PatchesError::DoNotFollow);
            }
        }
        self.platform_stands_well();
        Ok(())
    }

    /// Reads a page of the patches after `number`, up to `last`.
    async fn read_patches(&self, number: u64, last: u64) -> Result<Vec<Bytes>, LoadError> {
        let (start, end) = (patch_key(number + 1), patch_key(last + 1));
        let range = self.platform.range(CallPurpose::Configuration, &start, &end, PATCH_PAGE);
        Ok(range.await?.entries.into_iter().map(|entry| Bytes::from(entry.value)).collect())
    }

    /// Loads a snapshot and the patches after it, and puts only the end result in force: the
    /// snapshot alone may be older than what is.
    async fn load_whole(&self, held: &Held, head: &Head) -> Result<(), LoadError> {
        let whole = Held::staged();
        if let Some(snapshot) = &head.snapshot {
            let configuration = self.read_snapshot(snapshot).await?;
            whole.adopt_whole(snapshot.version(), configuration);
        }
        loop {
            let number = whole.version().number;
            if number >= head.version {
                break;
            }
            let patches = self.read_patches(number, head.version).await?;
            match whole.adopt_patches(&patches) {
                Ok(adopted) if adopted > number => {}
                _ => return Err(LoadError::Unreadable(format!("no patch after {number}"))),
            }
        }
        held.adopt_staged(whole);
        Ok(())
    }

    async fn read_snapshot(
        &self,
        snapshot: &SnapshotReference,
    ) -> Result<Configuration, LoadError> {
        let mut chunks = Vec::new();
        for index in 0..snapshot.manifest.chunks {
            let key = chunk_key(&snapshot.id, index);
            let Some(entry) = self.platform.get(CallPurpose::Configuration, &key).await? else {
                return Err(LoadError::Unreadable(format!("{key} is missing")));
            };
            chunks.push(entry.value);
        }
        Configuration::decode_chunks(&snapshot.manifest, &chunks)
            .map_err(|error| LoadError::Unreadable(error.to_string()))
    }
}

enum PatchesError {
    Load(LoadError),
    DoNotFollow,
}

impl From<LoadError> for PatchesError {
    fn from(error: LoadError) -> Self {
        PatchesError::Load(error)
    }
}
