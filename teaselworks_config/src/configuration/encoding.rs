//! The configuration as bytes, and in as little memory as it can be held.

use std::collections::HashSet;
use std::fmt;
use std::io::{self, Read};
use std::sync::Arc;

use imbl::OrdMap;
use serde::de::{Deserializer, MapAccess, Visitor};
use teaselworks_policy::name::Name;

use super::chunk::{self, ChunkError, Manifest};
use super::{Configuration, Workspace, check, patch};
use crate::document::Document;
use crate::fault::Faults;
use crate::typed;

impl Configuration {
    /// Reads and validates a configuration in JSON with comments; `file` is the name in faults.
    ///
    /// Fails with every fault found.
    ///
    /// ```
    /// use teaselworks_config::configuration::Configuration;
    ///
    /// let text = "{\n  \"workspaces\": { \"choir\": { \"models\": [\"large\"] } }\n}";
    /// let faults = Configuration::parse("c.jsonc", text).unwrap_err();
    /// assert_eq!(
    ///     faults.to_string(),
    ///     "c.jsonc:2:41: workspaces.choir.models[0]: names no model of the configuration"
    /// );
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let document = Document::parse(file, text)?;
        let reading = typed::read::<Configuration>(document.value(), &patch::template());
        let mut findings = reading.findings;
        let Some(configuration) = reading.value else {
            return Err(document.place_all(findings));
        };
        let replaced: Vec<_> = findings.iter().map(|finding| finding.path.clone()).collect();
        for finding in check::findings(&configuration) {
            if finding.rests_on(&replaced) {
                continue;
            }
            findings.push(finding);
        }
        if !findings.is_empty() {
            return Err(document.place_all(findings));
        }
        Ok(configuration)
    }

    /// Encodes the configuration as JSON without members of the default value.
    ///
    /// ```
    /// use teaselworks_config::configuration::Configuration;
    ///
    /// let configuration = Configuration::default();
    /// assert_eq!(Configuration::decode(&configuration.encode()).unwrap(), configuration);
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("maps with string keys and finite numbers encode")
    }

    /// Decodes what `encode` made.
    ///
    /// Fails if the bytes are no configuration; its rules are not checked again.
    ///
    /// ```
    /// use teaselworks_config::configuration::Configuration;
    ///
    /// assert!(Configuration::decode(b"{ \"workspaces\": 3 }").is_err());
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Decodes what `encode` made and `split` split, without joining it: at full size the whole
    /// once more would be the largest thing that a router holds.
    ///
    /// Fails if the chunks are not the whole that `manifest` describes, or no configuration.
    ///
    /// ```
    /// use teaselworks_config::configuration::{Configuration, chunk};
    ///
    /// let configuration = Configuration::default();
    /// let (manifest, chunks) = chunk::split(1, &configuration.encode(), 16);
    /// assert_eq!(Configuration::decode_chunks(&manifest, &chunks).unwrap(), configuration);
    /// assert!(Configuration::decode_chunks(&manifest, &chunks[1..]).is_err());
    /// ```
    pub fn decode_chunks<C: AsRef<[u8]>>(
        manifest: &Manifest,
        chunks: &[C],
    ) -> Result<Self, DecodeError> {
        let payloads = chunk::payloads(manifest, chunks)?;
        let reader = PayloadReader { current: &[], rest: payloads.into_iter() };
        Ok(serde_json::from_reader(reader)?)
    }

    /// Makes each mention of a model or service share the string of the entry that it names, for
    /// the workspaces named.
    pub(super) fn share_names<'a>(&mut self, workspaces: impl Iterator<Item = &'a str>) {
        for name in workspaces {
            let Some(workspace) = self.workspaces.get_mut(name) else { continue };
            let Some(workspace) = Arc::get_mut(workspace) else { continue };
            share(&mut workspace.models, &self.models);
            share(&mut workspace.services, &self.services);
        }
    }
}

/// Why chunks are not a configuration.
#[derive(Debug)]
pub enum DecodeError {
    /// They do not make up the whole.
    Chunks(ChunkError),
    /// The whole is not the encoded form of a configuration.
    Format(serde_json::Error),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Chunks(error) => error.fmt(f),
            DecodeError::Format(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for DecodeError {}

impl From<ChunkError> for DecodeError {
    fn from(error: ChunkError) -> Self {
        DecodeError::Chunks(error)
    }
}

impl From<serde_json::Error> for DecodeError {
    fn from(error: serde_json::Error) -> Self {
        DecodeError::Format(error)
    }
}

/// Reads the payloads of chunks one after the other.
struct PayloadReader<'a> {
    current: &'a [u8],
    rest: std::vec::IntoIter<&'a [u8]>,
}

impl Read for PayloadReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.current.is_empty() {
            let Some(next) = self.rest.next() else { return Ok(0) };
            self.current = next;
        }
        self.current.read(buffer)
    }
}

fn share<T>(names: &mut [Name], known: &OrdMap<Name, T>) {
    for name in names {
        if let Some((known_name, _)) = known.get_key_value(name) {
            *name = known_name.clone();
        }
    }
}

/// Reads workspaces in as little memory as they can be held.
///
/// Each list is trimmed before the next entry is read, so that the entry takes the room just freed.
/// Trimmed after the last one, the gaps stay with the process: more than half of its memory at
/// 18,000 workspaces.
pub(super) fn read_workspaces<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<OrdMap<Name, Arc<Workspace>>, D::Error> {
    deserializer.deserialize_map(WorkspacesVisitor)
}

struct WorkspacesVisitor;

impl<'de> Visitor<'de> for WorkspacesVisitor {
    type Value = OrdMap<Name, Arc<Workspace>>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map of workspaces")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
        let mut known = HashSet::new();
        let mut entries = Vec::new();
        while let Some((name, mut workspace)) = access.next_entry::<Name, Workspace>()? {
            intern(&mut workspace.models, &mut known);
            intern(&mut workspace.services, &mut known);
            workspace.key_digests.shrink_to_fit();
            entries.push((name, Arc::new(workspace)));
        }
        Ok(filled(&entries))
    }
}

/// Makes a map of entries that come in the order of names.
///
/// Filled from front to back each node of the map would be split when full, and stay half empty.
/// Entries at odd places go into the gaps that those at even places left.
fn filled(entries: &[(Name, Arc<Workspace>)]) -> OrdMap<Name, Arc<Workspace>> {
    let mut workspaces = OrdMap::new();
    for first in [0, 1] {
        for (name, workspace) in entries.iter().skip(first).step_by(2) {
            workspaces.insert(name.clone(), workspace.clone());
        }
    }
    workspaces
}

fn intern(names: &mut Vec<Name>, known: &mut HashSet<Name>) {
    for name in names.iter_mut() {
        match known.get(name) {
            Some(known_name) => *name = known_name.clone(),
            None => _ = known.insert(name.clone()),
        }
    }
    names.shrink_to_fit();
}
