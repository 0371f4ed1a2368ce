//! Messages between a router and a workspace's owner about allowances that are lent.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::name::Name;
use crate::verdict::RefusalReason;

/// Time after which an allowance that was lent and not used is void.
pub const LOAN_VALIDITY: Duration = Duration::from_secs(1);
/// Time after which an answer of an owner is given up, and would not be taken any more.
pub const CALL_VALIDITY: Duration = Duration::from_secs(5);

/// A router's request for allowance from a workspace's owner.
///
/// Near its limits there is about one for each request of a workspace, so that it is written
/// without field names, as are its answer and the settlement.
#[derive(Clone, Debug, Eq, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Ask {
    /// Workspace whose limits are asked for.
    pub workspace: Name,
    /// Requests that the router expects to use soon, at least 1.
    pub requests: u32,
    /// Tokens of all those requests together.
    pub tokens: u64,
    /// Whether a slot of the concurrency limit is needed for one request.
    pub slot: bool,
    /// Time after which the slot is free again though nobody returned it, in milliseconds: the
    /// time left until the request's deadline.
    pub slot_lease_ms: u64,
    /// What the router would hold for a while, where it asks often.
    pub wish: Option<LeaseWish>,
}

/// What a router wants to hold of a workspace's limits for a while, as it uses them at present.
#[derive(Clone, Debug, Eq, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct LeaseWish {
    /// Lease that is to be renewed.
    pub number: Option<u64>,
    /// Counts the wishes of a router, so that a late one changes nothing.
    pub round: u32,
    /// Requests a second.
    pub requests_per_s: u32,
    /// Tokens a second.
    pub tokens_per_s: u64,
    /// Slots, those in use included.
    pub slots: u32,
    /// Slots that are in use, or may be before the answer arrives.
    pub held_slots: u32,
    /// Longest time left until the deadline of a request that is to use a slot.
    pub longest_ms: u64,
}

/// Part of a workspace's limits that a router holds for a while and need not ask for.
///
/// It is a rate and not an amount: what it saves up is at most what an amount lent at once would
/// be, however long the lease is.
#[derive(Clone, Debug, Eq, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Lease {
    /// Number by which it is renewed and ended.
    pub number: u64,
    /// Round of the wish that this answers.
    pub round: u32,
    /// Requests a minute.
    pub requests_per_min: u32,
    /// Tokens a second.
    pub tokens_per_s: u64,
    /// Slots, those in use included.
    pub slots: u32,
    /// Time from the question on for which it holds.
    pub valid_ms: u64,
    /// Longest time left until the deadline of a request that may use a slot.
    pub longest_ms: u64,
    /// Whether the rates are all that the owner has for this router.
    pub rates_closed: bool,
    /// Whether the slots are.
    pub slots_closed: bool,
}

impl Lease {
    /// Returns the requests a second.
    pub fn requests_per_s(&self) -> f64 {
        f64::from(self.requests_per_min) / 60.0
    }
}

/// What the owner is told when a lease is not used any more; sent once for each change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct LeaseEnd {
    /// Workspace whose limits were leased.
    pub workspace: Name,
    /// Lease that ended.
    pub number: u64,
    /// Last round of wishes for it: an end that comes after a later one is none.
    pub round: u32,
    /// Slots that requests still use.
    pub held_slots: u32,
}

/// The owner's answer to an [`Ask`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "GrantParts", into = "GrantParts")]
pub enum Grant {
    /// Allowance that the router may use within [`LOAN_VALIDITY`].
    Lent {
        /// Requests.
        requests: u32,
        /// Tokens.
        tokens: u64,
        /// Slot of the concurrency limit, for one request.
        slot: Option<u64>,
        /// Whether little is left, so that open shares end for a while.
        scarce: bool,
    },
    /// A lease, and allowance as by `Lent` for the request that was asked for.
    Leased {
        /// Requests, 0 or 1.
        requests: u32,
        /// Tokens.
        tokens: u64,
        /// What the router holds for a while.
        lease: Lease,
    },
    /// Nothing is left; the router does not ask again for a while.
    Denied {
        /// `RequestRate`, `TokenRate` or `Concurrency`.
        reason: RefusalReason,
        /// Time for which not to ask, in milliseconds.
        wait_ms: u64,
    },
}

/// What the owner is told when a request that used a loan ends; sent once, never again.
#[derive(Clone, Debug, Eq, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Settlement {
    /// Workspace whose limits were used.
    pub workspace: Name,
    /// Slot that is free again.
    pub slot: Option<u64>,
    /// Tokens used beyond the estimate; negative when it was too high.
    pub extra_tokens: i64,
}

/// A grant as it is written: reason of a denial, requests or wait, tokens, slot, scarce, lease.
type GrantParts = (Option<RefusalReason>, u64, u64, Option<u64>, bool, Option<Lease>);

impl From<GrantParts> for Grant {
    fn from((reason, first, tokens, slot, scarce, lease): GrantParts) -> Self {
        if let Some(reason) = reason {
            return Grant::Denied { reason, wait_ms: first };
        }
        let requests = u32::try_from(first).unwrap_or(u32::MAX);
        match lease {
            Some(lease) => Grant::Leased { requests, tokens, lease },
            None => Grant::Lent { requests, tokens, slot, scarce },
        }
    }
}

impl From<Grant> for GrantParts {
    fn from(grant: Grant) -> Self {
        match grant {
            Grant::Lent { requests, tokens, slot, scarce } => {
                (None, requests.into(), tokens, slot, scarce, None)
            }
            Grant::Leased { requests, tokens, lease } => {
                (None, requests.into(), tokens, None, true, Some(lease))
            }
            Grant::Denied { reason, wait_ms } => (Some(reason), wait_ms, 0, None, true, None),
        }
    }
}
