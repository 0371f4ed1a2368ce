//! Messages about the offered load of services, as datagrams carry them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaselworks_policy::shares::{
    ExchangeKind, ExchangeMessage, OfferedRow, RankLoad, ReportedLoad, WorkspaceKey,
};

/// Steps in which load is stated, in a slot.
const STEPS_PER_SLOT: f64 = 1e3;
/// Largest load that is accepted, in thousandths of a slot: a million slots.
const MAX_STEPS: u32 = 1_000_000_000;
/// Largest number of rows that is accepted: more do not fit into a datagram.
const MAX_ROWS: usize = 400;
/// Largest number of ranks in a row that is accepted.
const MAX_RANKS: usize = 16;
/// Largest number of routers that is accepted.
const MAX_ROUTERS: u32 = 100_000;
/// Largest age that is accepted; routers state far smaller ones.
const MAX_AGE_MS: u32 = 60_000;

/// A row: key of the workspace, average load, and rank, new and returning load of each rank. Load is
/// in thousandths of a slot.
pub type LoadRow = (u32, u32, Vec<(u8, u32, u32)>);

/// A message about the offered load of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// Random number of the sending process.
    #[serde(rename = "p")]
    process: u64,
    /// Sequence number.
    #[serde(rename = "q")]
    sequence: u64,
    /// Hash of the service's name.
    #[serde(rename = "s")]
    service: u64,
    #[serde(rename = "r")]
    rows: Vec<LoadRow>,
    /// Requests in progress, in thousandths.
    #[serde(rename = "n")]
    in_progress: u32,
    #[serde(rename = "o")]
    is_overloaded: bool,
    #[serde(rename = "k")]
    kind: LoadKind,
}

/// What the load of a [`LoadMessage`] is.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
enum LoadKind {
    /// That of the sender, and whether it is sent at the higher rate.
    #[serde(rename = "o")]
    Offered(bool),
    /// That of a group: whether it is sent at the higher rate, number of routers, age in milliseconds.
    #[serde(rename = "g")]
    Group(bool, u32, u32),
    /// That of the fleet: process and sequence number of the message that is answered, number of
    /// routers, age in milliseconds.
    #[serde(rename = "f")]
    Fleet(u64, u64, u32, u32),
}

impl LoadMessage {
    /// Packs a message.
    ///
    /// ```
    /// use teaselworks::datagram::LoadMessage;
    /// use teaselworks_policy::shares::{ExchangeKind, ExchangeMessage, ReportedLoad};
    ///
    /// let kind = ExchangeKind::Offered { is_frequent: true };
    /// let load = ReportedLoad { in_progress: 2.0, ..ReportedLoad::default() };
    /// let message = ExchangeMessage { process: 1, sequence: 2, service: 3, load, kind };
    /// assert_eq!(LoadMessage::pack(&message).unpack(), message);
    /// ```
    pub fn pack(message: &ExchangeMessage) -> Self {
        let row = |row: &OfferedRow| {
            let ranks =
                row.ranks.iter().map(|load| (load.rank, steps(load.new), steps(load.returning)));
            (row.workspace.0, steps(row.usual), ranks.collect())
        };
        let kind = match message.kind {
            ExchangeKind::Offered { is_frequent } => LoadKind::Offered(is_frequent),
            ExchangeKind::Group { is_frequent, routers, age } => {
                LoadKind::Group(is_frequent, routers, age_ms(age))
            }
            ExchangeKind::Fleet { answers: (process, sequence), routers, age } => {
                LoadKind::Fleet(process, sequence, routers, age_ms(age))
            }
        };
        Self {
            process: message.process,
            sequence: message.sequence,
            service: message.service,
            rows: message.load.rows.iter().map(row).collect(),
            in_progress: steps(message.load.in_progress),
            is_overloaded: message.load.is_overloaded,
            kind,
        }
    }

    /// Returns the message that this one carries.
    pub fn unpack(self) -> ExchangeMessage {
        let row = |(workspace, usual, ranks): LoadRow| {
            let load = |(rank, new, returning)| RankLoad {
                rank,
                new: slots(new),
                returning: slots(returning),
            };
            OfferedRow {
                workspace: WorkspaceKey(workspace),
                usual: slots(usual),
                ranks: ranks.into_iter().map(load).collect(),
            }
        };
        let age = |age_ms: u32| Duration::from_millis(age_ms.into());
        let kind = match self.kind {
            LoadKind::Offered(is_frequent) => ExchangeKind::Offered { is_frequent },
            LoadKind::Group(is_frequent, routers, age_ms) => {
                ExchangeKind::Group { is_frequent, routers, age: age(age_ms) }
            }
            LoadKind::Fleet(process, sequence, routers, age_ms) => {
                ExchangeKind::Fleet { answers: (process, sequence), routers, age: age(age_ms) }
            }
        };
        let load = ReportedLoad {
            rows: self.rows.into_iter().map(row).collect(),
            in_progress: slots(self.in_progress),
            is_overloaded: self.is_overloaded,
        };
        let Self { process, sequence, service, .. } = self;
        ExchangeMessage { process, sequence, service, load, kind }
    }

    /// Returns whether all numbers are within the bounds that routers keep.
    pub(super) fn is_plausible(&self) -> bool {
        let (routers, age_ms) = match self.kind {
            LoadKind::Offered(_) => (1, 0),
            LoadKind::Group(_, routers, age_ms) | LoadKind::Fleet(_, _, routers, age_ms) => {
                (routers, age_ms)
            }
        };
        let is_row_plausible = |(_, usual, ranks): &LoadRow| {
            let is_small =
                |(_, new, returning): &(u8, u32, u32)| (*new).max(*returning) <= MAX_STEPS;
            *usual <= MAX_STEPS && ranks.len() <= MAX_RANKS && ranks.iter().all(is_small)
        };
        routers <= MAX_ROUTERS
            && age_ms <= MAX_AGE_MS
            && self.in_progress <= MAX_STEPS
            && self.rows.len() <= MAX_ROWS
            && self.rows.iter().all(is_row_plausible)
    }
}

fn steps(slots: f64) -> u32 {
    // A negative number or NaN becomes 0.
    ((slots * STEPS_PER_SLOT).round() as u32).min(MAX_STEPS)
}

fn slots(steps: u32) -> f64 {
    f64::from(steps) / STEPS_PER_SLOT
}

fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).map_or(MAX_AGE_MS, |age_ms| age_ms.min(MAX_AGE_MS))
}
