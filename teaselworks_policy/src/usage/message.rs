//! What routers tell each other about use, in a compact form.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::batch::{AttemptKey, Charge, Portion, Source};
use super::merge::MarkAnswer;
use super::names::NewNames;
use super::pack::{
    Names, Numbers, PackedBatch, PackedCharge, pack_hashed, pack_row, unpack_charges,
    unpack_hashed, unpack_rows,
};
use super::period::Period;
use super::shard::Slot;
use crate::name::Name;

/// Batches for the router that holds the copy.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(into = "PackedCopy", from = "PackedCopy")]
pub struct CopyRequest {
    /// Whose batches they are.
    pub source: Source,
    /// Number of the last batch that the receiver is believed to hold.
    pub after: u64,
    /// Number up to which batches need no longer be held.
    pub dropped_through: u64,
    /// Whether the sender took the batches over, and is not their source.
    pub adopted: bool,
    /// Whether the sender stops: the receiver takes over what it holds.
    pub closing: bool,
    /// Number of the request among the source's own.
    pub sequence: u64,
    /// Names that the receiver may not know yet.
    pub names: NewNames,
    /// Batches that follow `after`, in order.
    pub batches: Vec<PackedBatch>,
    /// What attempts in progress have used so far, where nobody else sees them, by month.
    pub progress: Vec<PackedBatch>,
}

/// Answer to a [`CopyRequest`].
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(into = "(u64, Vec<AttemptKey>, bool)", from = "(u64, Vec<AttemptKey>, bool)")]
pub struct CopyAnswer {
    /// Number of the last batch held, counting those that need no longer be held.
    pub held_through: u64,
    /// Attempts in the request that a claim charges too.
    pub contested: Vec<AttemptKey>,
    /// Whether names are missing without which the batches cannot be read.
    pub unread: bool,
}

/// Portions for slots that the receiver owns.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(into = "PackedOffer", from = "PackedOffer")]
pub struct OfferRequest {
    /// The portions; one without rows only asks.
    pub portions: Vec<Portion>,
}

/// Answer to an [`OfferRequest`].
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(into = "Vec<Option<PackedMark>>", from = "Vec<Option<PackedMark>>")]
pub struct OfferAnswer {
    /// A mark for each portion in order; `None` while the platform has not given the slot's value.
    pub marks: Vec<Option<MarkAnswer>>,
}

/// Claims of attempts whose owner was lost, for the router that holds the owner's copies.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(into = "PackedClaim", from = "PackedClaim")]
pub struct ClaimRequest {
    /// Process that owned the attempts, as membership showed it.
    pub owner: Source,
    /// Time since the owner was heard of last, in milliseconds.
    pub age_ms: u64,
    /// What the entry saw of each, and the month to charge it to.
    pub charges: Vec<(Period, Charge)>,
}

/// Answer to a [`ClaimRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// Each attempt is charged, by the owner's copy or by the claim.
    Decided,
    /// The router holds no copies of the owner.
    NotHolder,
}

/// A request about use.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Holds a copy.
    #[serde(rename = "c")]
    Copy(CopyRequest),
    /// Adds to slots.
    #[serde(rename = "o")]
    Offer(OfferRequest),
    /// Claims attempts of a lost owner.
    #[serde(rename = "l")]
    Claim(ClaimRequest),
}

impl Request {
    /// Leaves the sender's own name out, which its link tells the receiver.
    ///
    /// ```
    /// use teaselworks_policy::usage::{OfferRequest, Request};
    ///
    /// let request = Request::Offer(OfferRequest::default());
    /// let sent = request.clone().without(&"a".into());
    /// assert_eq!(sent.with(&"a".into()), request);
    /// ```
    pub fn without(mut self, sender: &Name) -> Self {
        self.replace_source(sender, &Name::default());
        self
    }

    /// Puts the sender's name where it was left out.
    pub fn with(mut self, sender: &Name) -> Self {
        self.replace_source(&Name::default(), sender);
        self
    }

    fn replace_source(&mut self, from: &Name, to: &Name) {
        let replace = |source: &mut Source| {
            if source.router == *from {
                source.router = to.clone();
            }
        };
        match self {
            Request::Copy(request) => replace(&mut request.source),
            Request::Offer(request) => {
                request.portions.iter_mut().for_each(|portion| replace(&mut portion.source));
            }
            // Its owner is never the sender.
            Request::Claim(_) => {}
        }
    }
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Answers a copy.
    #[serde(rename = "c")]
    Copy(CopyAnswer),
    /// Answers an offer.
    #[serde(rename = "o")]
    Offer(OfferAnswer),
    /// Answers claims.
    #[serde(rename = "l")]
    Claim(ClaimAnswer),
}

/// A request to be sent to another router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Router that is asked.
    pub to: Name,
    /// What it is asked.
    pub request: Request,
}

/// Router, incarnation, after, dropped through, flags, sequence, names, batches, progress.
#[derive(Clone, Serialize, Deserialize)]
struct PackedCopy(Name, u64, u64, u64, u8, u64, NewNames, Vec<PackedBatch>, Vec<PackedBatch>);

/// Flag of batches that were taken over.
const ADOPTED: u8 = 1;

/// Flag of a sender that stops.
const CLOSING: u8 = 2;

impl From<CopyRequest> for PackedCopy {
    fn from(request: CopyRequest) -> Self {
        let adopted = if request.adopted { ADOPTED } else { 0 };
        let closing = if request.closing { CLOSING } else { 0 };
        Self(
            request.source.router,
            request.source.incarnation,
            request.after,
            request.dropped_through,
            adopted | closing,
            request.sequence,
            request.names,
            request.batches,
            request.progress,
        )
    }
}

impl From<PackedCopy> for CopyRequest {
    fn from(packed: PackedCopy) -> Self {
        Self {
            source: Source { router: packed.0, incarnation: packed.1 },
            after: packed.2,
            dropped_through: packed.3,
            adopted: packed.4 & ADOPTED != 0,
            closing: packed.4 & CLOSING != 0,
            sequence: packed.5,
            names: packed.6,
            batches: packed.7,
            progress: packed.8,
        }
    }
}

impl From<CopyAnswer> for (u64, Vec<AttemptKey>, bool) {
    fn from(answer: CopyAnswer) -> Self {
        (answer.held_through, answer.contested, answer.unread)
    }
}

impl From<(u64, Vec<AttemptKey>, bool)> for CopyAnswer {
    fn from((held_through, contested, unread): (u64, Vec<AttemptKey>, bool)) -> Self {
        Self { held_through, contested, unread }
    }
}

#[derive(Clone, Serialize, Deserialize)]
struct PackedClaim(Name, u64, u64, Vec<Name>, Vec<PackedCharge>);

impl From<ClaimRequest> for PackedClaim {
    fn from(request: ClaimRequest) -> Self {
        let mut names = Names::default();
        let charges = names.pack_charges(request.charges);
        let Source { router, incarnation } = request.owner;
        Self(router, incarnation, request.age_ms, names.list, charges)
    }
}

impl From<PackedClaim> for ClaimRequest {
    fn from(PackedClaim(router, incarnation, age_ms, names, packed): PackedClaim) -> Self {
        let charges = unpack_charges(&names, packed);
        Self { owner: Source { router, incarnation }, age_ms, charges }
    }
}

/// Source by number, month, shard, after, batches, rows, hashes with the sums under each, contested
/// attempts with a row each.
#[derive(Clone, Serialize, Deserialize)]
struct PackedPortion(u32, u32, u8, u64, u64, Numbers, Bytes, Numbers, Vec<AttemptKey>, Numbers);

/// Sources, names, portions.
#[derive(Clone, Serialize, Deserialize)]
struct PackedOffer(Vec<(Name, u64)>, Vec<Name>, Vec<PackedPortion>);

impl From<OfferRequest> for PackedOffer {
    fn from(request: OfferRequest) -> Self {
        let mut names = Names::default();
        let (mut sources, mut portions) = (Vec::<Source>::new(), Vec::new());
        for portion in request.portions {
            let Portion { source, slot, after, through, rows, hashed, contested } = portion;
            let known = sources.iter().position(|known| *known == source);
            let number = known.unwrap_or(sources.len());
            if known.is_none() {
                sources.push(source);
            }
            let (mut sums, mut attempts, mut charges) = (Vec::new(), Vec::new(), Vec::new());
            for (key, sum) in rows {
                sums.extend(pack_row(&names.pack(&key), sum));
            }
            for charge in contested {
                attempts.push(charge.attempt);
                charges.extend(pack_row(&names.pack(&charge.key), charge.sum));
            }
            let (hashes, hashed) = pack_hashed(&hashed);
            portions.push(PackedPortion(
                number as u32,
                slot.period.months(),
                slot.shard,
                after,
                through.saturating_sub(after),
                Numbers::pack(&sums),
                hashes,
                hashed,
                attempts,
                Numbers::pack(&charges),
            ));
        }
        let sources = sources.into_iter().map(|source| (source.router, source.incarnation));
        Self(sources.collect(), names.list, portions)
    }
}

impl From<PackedOffer> for OfferRequest {
    fn from(PackedOffer(sources, names, packed): PackedOffer) -> Self {
        let mut portions = Vec::new();
        for portion in packed {
            let PackedPortion(source, months, shard, after, batches, rows, hashes, ..) = portion;
            let (hashed, attempts, charges) = (portion.7, portion.8, portion.9.unpack());
            let (router, incarnation) = sources.get(source as usize).cloned().unwrap_or_default();
            let charges = attempts.into_iter().zip(unpack_rows(&charges, &names));
            let charge = |(attempt, (key, sum))| Charge { attempt, key, sum, contested: true };
            portions.push(Portion {
                source: Source { router, incarnation },
                slot: Slot { period: Period::from_months(months), shard },
                after,
                through: after.saturating_add(batches),
                rows: unpack_rows(&rows.unpack(), &names).collect(),
                hashed: unpack_hashed(&hashes, &hashed.unpack()),
                contested: charges.map(charge).collect(),
            });
        }
        Self { portions }
    }
}

/// Waiting, how much less is kept, whether a row is unknown.
type PackedMark = (u64, u64, bool);

impl From<OfferAnswer> for Vec<Option<PackedMark>> {
    fn from(answer: OfferAnswer) -> Self {
        let pack =
            |mark: MarkAnswer| (mark.waiting, mark.waiting.saturating_sub(mark.kept), mark.unknown);
        answer.marks.into_iter().map(|mark| mark.map(pack)).collect()
    }
}

impl From<Vec<Option<PackedMark>>> for OfferAnswer {
    fn from(packed: Vec<Option<PackedMark>>) -> Self {
        let unpack = |(waiting, behind, unknown): PackedMark| MarkAnswer {
            waiting,
            kept: waiting.saturating_sub(behind),
            unknown,
        };
        Self { marks: packed.into_iter().map(|mark| mark.map(unpack)).collect() }
    }
}
