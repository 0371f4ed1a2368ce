//! Names that the two ends of a course number alike, so that each crosses the link once.

use serde::{Deserialize, Serialize};

use super::pack::{Names, PackedKey};
use super::record::UseKey;
use crate::name::Name;

/// Names at which a dictionary is begun anew, so that it stays below a megabyte at either end.
const DICTIONARY_NAMES: usize = 8_192;

/// Names that a message adds to a dictionary.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(into = "(u64, u64, Vec<Name>)", from = "(u64, u64, Vec<Name>)")]
pub struct NewNames {
    /// Number of the dictionary among the sender's.
    pub edition: u64,
    /// Names that the receiver is believed to have of it.
    pub after: u64,
    /// The names that follow.
    pub list: Vec<Name>,
}

impl From<NewNames> for (u64, u64, Vec<Name>) {
    fn from(names: NewNames) -> Self {
        (names.edition, names.after, names.list)
    }
}

impl From<(u64, u64, Vec<Name>)> for NewNames {
    fn from((edition, after, list): (u64, u64, Vec<Name>)) -> Self {
        Self { edition, after, list }
    }
}

/// Numbers names for one receiver.
///
/// Within an edition names are only added, so that messages that come late or twice tell nothing
/// that a later one contradicts.
#[derive(Clone, Debug)]
pub(super) struct Dictionary {
    names: Names,
    edition: u64,
    known: usize,
}

impl Default for Dictionary {
    fn default() -> Self {
        Self { names: Names::default(), edition: 1, known: 0 }
    }
}

impl Dictionary {
    /// Begins a new edition.
    pub(super) fn restart(&mut self) {
        *self = Self { edition: self.edition + 1, ..Self::default() };
    }

    /// Begins a new edition where this one is full.
    pub(super) fn make_room(&mut self) {
        if self.names.list.len() >= DICTIONARY_NAMES {
            self.restart();
        }
    }

    pub(super) fn pack(&mut self, key: &UseKey) -> PackedKey {
        self.names.pack(key)
    }

    /// Returns what the receiver is not known to have.
    pub(super) fn news(&self) -> NewNames {
        let list = self.names.list[self.known..].to_vec();
        NewNames { edition: self.edition, after: self.known as u64, list }
    }

    /// Takes note that the receiver read a message with `news`, or could not read it.
    pub(super) fn answered(&mut self, news: &NewNames, unread: bool) {
        if news.edition != self.edition {
            return;
        }
        if unread {
            self.restart();
            return;
        }
        self.known = self.known.max(news.after as usize + news.list.len());
    }
}

/// Names as one sender numbers them.
#[derive(Clone, Debug, Default)]
pub(super) struct Learnt {
    edition: u64,
    list: Vec<Name>,
}

impl Learnt {
    /// Adds names; returns all that the message's numbers may stand for, or `None` when it cannot
    /// be read: its sender believes that this router knows more than it does, or it is older than
    /// the edition.
    ///
    /// What goes wrong with numbers of another edition: a workspace pays for another one's
    /// attempts, which only the two see.
    pub(super) fn learn(&mut self, news: &NewNames) -> Option<&[Name]> {
        if news.edition > self.edition && news.after == 0 {
            *self = Self { edition: news.edition, list: Vec::new() };
        }
        let known = self.list.len().checked_sub(news.after as usize)?;
        if news.edition != self.edition {
            return None;
        }
        self.list.extend(news.list.iter().skip(known).cloned());
        Some(&self.list)
    }
}
