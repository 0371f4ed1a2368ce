//! What is said about one router; merging is the same in every order.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::view::{Place, RouterState};
use crate::name::Name;

const LIVENESS_MASK: u8 = 0b11;
const LEAVING_BIT: u8 = 0b100;
const JOINING_BIT: u8 = 0b1000;
const FLAPS_SHIFT: u32 = 4;

/// Largest number of losses that a record counts.
pub const MAX_FLAPS: u8 = 15;

/// How sure the fleet is that a router runs; a later one prevails in the same revision.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Liveness {
    /// Runs.
    Alive,
    /// Missed its probes.
    Suspect,
    /// Taken for lost.
    Dead,
}

/// What is said about one router.
///
/// Only the router itself raises `revision`, to deny suspicion or loss; anyone may raise
/// `liveness` within a revision. Leaving is never taken back within an incarnation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Record {
    /// Wall clock at the router's start in milliseconds.
    pub incarnation: u64,
    /// Number of the router's own statements within the incarnation.
    pub revision: u32,
    /// Whether it owns nothing yet, by its own word.
    pub joining: bool,
    /// How sure the fleet is that it runs.
    pub liveness: Liveness,
    /// Whether it stops on purpose.
    pub leaving: bool,
    /// Recent losses, by its own count.
    pub flaps: u8,
}

impl Record {
    /// Makes the record of a router that starts.
    pub fn starting(incarnation: u64) -> Self {
        Self {
            incarnation,
            revision: 0,
            joining: true,
            liveness: Liveness::Alive,
            leaving: false,
            flaps: 0,
        }
    }

    /// Merges two records of one router: the least that is at least both.
    ///
    /// Messages arrive late, twice and in any order. Were the result to depend on that, routers
    /// would disagree for good; as it does not, equal sets of messages make equal views.
    ///
    /// ```
    /// use teaselworks_policy::membership::Record;
    ///
    /// let leaving = Record { leaving: true, ..Record::starting(1) };
    /// let denied = Record { revision: 1, ..Record::starting(1) };
    /// assert!(leaving.merge(denied).leaving);
    /// assert_eq!(leaving.merge(denied), denied.merge(leaving));
    /// ```
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        if self.incarnation != other.incarnation {
            return if self.incarnation > other.incarnation { self } else { other };
        }
        let leaving = self.leaving || other.leaving;
        if self.revision != other.revision {
            let latest = if self.revision > other.revision { self } else { other };
            return Self { leaving, ..latest };
        }
        Self {
            joining: self.joining && other.joining,
            liveness: self.liveness.max(other.liveness),
            leaving,
            flaps: self.flaps.max(other.flaps),
            ..self
        }
    }

    /// Returns the state that a view shows.
    pub fn state(self) -> RouterState {
        match self.liveness {
            Liveness::Dead => RouterState::Dead,
            _ if self.leaving => RouterState::Leaving,
            // A suspect owns; one that did not before must not begin to by being suspected.
            _ if self.joining => RouterState::Joining,
            Liveness::Alive => RouterState::Alive,
            Liveness::Suspect => RouterState::Suspect,
        }
    }

    /// Packs all but the numbers into a byte.
    fn bits(self) -> u8 {
        let leaving = if self.leaving { LEAVING_BIT } else { 0 };
        let joining = if self.joining { JOINING_BIT } else { 0 };
        self.liveness as u8 | leaving | joining | self.flaps.min(MAX_FLAPS) << FLAPS_SHIFT
    }

    fn from_parts(incarnation: u64, revision: u32, bits: u8) -> Self {
        let liveness = match bits & LIVENESS_MASK {
            0 => Liveness::Alive,
            1 => Liveness::Suspect,
            _ => Liveness::Dead,
        };
        let leaving = bits & LEAVING_BIT != 0;
        let joining = bits & JOINING_BIT != 0;
        Self { incarnation, revision, joining, liveness, leaving, flaps: bits >> FLAPS_SHIFT }
    }
}

/// Where a router is and how it is reached.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Details {
    /// Where other routers reach it.
    pub address: SocketAddr,
    /// Region and availability zone.
    pub place: Place,
}

/// News about one router; encoded as a short tuple, since every control byte counts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "PackedUpdate", into = "PackedUpdate")]
pub struct Update {
    /// The router it is about.
    pub router: Name,
    /// What is said.
    pub record: Record,
    /// Where it is; left out where receivers know it already.
    pub details: Option<Details>,
}

type PackedUpdate = (Name, u64, u32, u8, Option<(SocketAddr, Name, Name)>);

impl From<Update> for PackedUpdate {
    fn from(update: Update) -> Self {
        let record = update.record;
        let details =
            update.details.map(|known| (known.address, known.place.region, known.place.zone));
        (update.router, record.incarnation, record.revision, record.bits(), details)
    }
}

impl From<PackedUpdate> for Update {
    fn from((router, incarnation, revision, bits, details): PackedUpdate) -> Self {
        let details = details
            .map(|(address, region, zone)| Details { address, place: Place { region, zone } });
        Self { router, record: Record::from_parts(incarnation, revision, bits), details }
    }
}
