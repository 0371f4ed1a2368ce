//! What an entry router saw of attempts at other routers, until their owners have surely copied it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::batch::{AttemptKey, Charge, Source};
use super::fleet::Fleet;
use super::message::{Call, ClaimRequest, Request};
use super::pace::FIRST_RETRY;
use super::period::Period;
use crate::name::Name;

/// How long what was seen is kept: longer than it takes to learn that an owner is lost, shorter
/// than owners and holders of copies remember the attempt.
const SIGHTING_AGE: Duration = Duration::from_secs(25);

/// Sightings kept at most; the oldest go first. Minutes at full load.
const SIGHTINGS: usize = 8_192;

/// Claims in one message.
const CLAIMS: usize = 256;

/// What an entry saw of an attempt at another router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sighting {
    /// Router that owns the replica and charges the attempt, as long as it lives, with its
    /// incarnation as membership showed it.
    pub owner: Source,
    /// Router that holds the owner's copies.
    pub holder: Name,
    /// Month to charge to.
    pub period: Period,
    /// Tokens seen.
    pub charge: Charge,
    /// Monotonic clock at the last reply, which shows that the owner lived.
    pub heard_at: Duration,
    /// Monotonic clock when the attempt ended or was lost.
    pub since: Duration,
}

/// Sightings of one router.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    sightings: VecDeque<Sighting>,
    asked: BTreeMap<Source, Duration>,
    dropped: Vec<AttemptKey>,
}

impl Witness {
    /// Keeps a sighting.
    pub fn add(&mut self, sighting: Sighting) {
        if self.sightings.len() >= SIGHTINGS {
            self.sightings.pop_front();
        }
        self.sightings.push_back(sighting);
    }

    /// Tells whether an attempt was seen lately.
    pub fn holds(&self, attempt: AttemptKey) -> bool {
        self.sightings.iter().any(|sighting| sighting.charge.attempt == attempt)
    }

    /// Returns claims of attempts whose owner was lost; each waits for the holder's word.
    pub fn calls(&mut self, fleet: &Fleet, now: Duration) -> Vec<Call> {
        self.forget_old(fleet, now);
        let mut by_owner: BTreeMap<(Source, Name), ClaimRequest> = BTreeMap::new();
        for sighting in &self.sightings {
            let Sighting { owner, holder, .. } = sighting;
            let waits = self.asked.get(owner).is_some_and(|at| now < *at + FIRST_RETRY);
            if waits || !fleet.is_lost(owner) {
                continue;
            }
            let fresh =
                || ClaimRequest { owner: owner.clone(), age_ms: u64::MAX, charges: Vec::new() };
            let key = (owner.clone(), holder.clone());
            let request = by_owner.entry(key).or_insert_with(fresh);
            if request.charges.len() < CLAIMS {
                request.charges.push((sighting.period, sighting.charge.clone()));
                let age = now.saturating_sub(sighting.heard_at).as_millis() as u64;
                request.age_ms = request.age_ms.min(age);
            }
        }
        let mut calls = Vec::new();
        for ((owner, holder), request) in by_owner {
            self.asked.insert(owner, now);
            calls.push(Call { to: holder, request: Request::Claim(request) });
        }
        calls
    }

    /// Drops claims that the holder has decided.
    pub fn decided(&mut self, request: &ClaimRequest) {
        self.asked.remove(&request.owner);
        let is_decided = |sighting: &Sighting| {
            sighting.owner == request.owner
                && request
                    .charges
                    .iter()
                    .any(|(_, charge)| charge.attempt == sighting.charge.attempt)
        };
        self.sightings.retain(|sighting| !is_decided(sighting));
    }

    /// Returns the attempts of lost owners that no holder decided on in time, once.
    pub fn take_dropped(&mut self) -> Vec<AttemptKey> {
        std::mem::take(&mut self.dropped)
    }

    fn forget_old(&mut self, fleet: &Fleet, now: Duration) {
        while let Some(sighting) = self.sightings.front() {
            if now < sighting.since + SIGHTING_AGE {
                break;
            }
            // Without the holder's word the attempt may be in a copy; charging it unasked could
            // charge it twice.
            if fleet.is_lost(&sighting.owner) {
                self.dropped.push(sighting.charge.attempt);
            }
            self.sightings.pop_front();
        }
        self.asked.retain(|_, at| now < *at + SIGHTING_AGE);
    }
}
