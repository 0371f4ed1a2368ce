//! The owner's admission bound: no replica carries more than a set multiple of the mean load.
//!
//! # What holds
//!
//! Let `c` be the set multiple, `m` the true mean load over the replicas of the pool, `M` the
//! owner's estimate of it, and `w` the work of the attempt that is admitted. Loads are counted as
//! [`Work`]. Right after an admission the load of a replica with one owner is at most the largest
//! of
//!
//! - `c (1 - MEAN_MARGIN) M`, which is at most `c m` while the estimate is no more than
//!   [`MEAN_MARGIN`] too high;
//! - `M + w`, for an attempt that every candidate refused ([`Claim::Last`]); its caller gives as
//!   `M` the mean of the loads that they told, where that is higher. Some replica is always at or
//!   below the mean, so that such an attempt finds a place. This is the least that any router can
//!   promise while one request is more than `c - 1` of the mean;
//! - [`BoundPolicy::floor_tokens`], below which a load harms nobody; or `w` on an idle replica.
//!
//! A load only falls until the next admission, but that an answer which outgrew its estimate
//! counts for an eighth of its length. The mean may fall faster, when others finish or an empty
//! replica joins: one joining `n` lowers it to `n / (n + 1)`. Then the ratio exceeds `c` with
//! nothing admitted, and nothing is admitted there until it no longer does.
//!
//! # While ownership moves
//!
//! Routers disagree about the owner for as long as their views differ, and a former owner may act
//! until the time that [`OwnershipClock`](crate::membership::OwnershipClock) states. Until then a
//! new owner takes the load that the engine reports for its own and, until the first report comes,
//! keeps to a reduced multiple `h`, [`HANDOVER_MULTIPLE`]. In that time:
//!
//! - with the engine's reports, each owner counts the other's work by the report, and fills half
//!   of the room that the last report left. What both admit between two reports adds up to `c m`.
//!   A former owner that does not know of the other, since it lost too few routers to take the
//!   fleet for split, still fills all of it: then the load is at most half of the room above `c m`,
//!   and what reports say too late;
//! - with frozen reports, at most `(c + h) m`;
//! - on an almost idle fleet, where the floor counts for more, at most one and a half times the
//!   floor: the new owner keeps to half of it. Without that it would admit a single attempt at a
//!   time for seconds after each change of owner, while engines stand idle.
//!
//! # While the fleet is split
//!
//! If `k` routers go on owning a replica, and each estimates the mean from what its own side
//! counts, the bounds of the sides add up to `c` times the sum of the sides' means, which is `c m`
//! again, and `k w` where a claim is the last. That needs no reports, so that it holds however
//! long a split lasts. Right after the cut it does not: one side still runs all of the work. So
//! both sides begin with the reported work of the other, as in a handover, and count less and less
//! of it, see [`foreign`](super::foreign). With a part `f` of it, the sides keep
//! `a + f b <= c (A + f B)` and `b + f a <= c (B + f A)`, where capitals are means; the sum is
//! `a + b <= c (A + B)` whatever `f` is. Only routers that count apart but hear the same mean, with
//! frozen reports, add up to `k c m`.

use std::collections::HashMap;
use std::time::Duration;

use super::foreign::Foreign;
use super::work::Work;
use crate::name::AttemptId;
use crate::placement::Claim;

/// Share of the room between mean and bound that work without a context to reuse may fill; the
/// rest is kept for chats that return to the context that they left.
pub const FRESH_SHARE: f64 = 0.8;

/// Error of the mean, upwards, that the bound allows for.
pub const MEAN_MARGIN: f64 = 0.04;

/// Owners that may admit to one replica at once, while it changes hands or the fleet is split in
/// two; each keeps to its part of the floor and of the room that a report leaves.
const SHARING_OWNERS: u64 = 2;

/// Largest load as a multiple of the mean while a former owner may still admit and the engine has
/// not reported.
pub const HANDOVER_MULTIPLE: f64 = 0.5;

/// Limits on the load of one replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundPolicy {
    /// Largest load as a multiple of the mean.
    pub multiple: f64,
    /// Load that is always allowed, in tokens.
    pub floor_tokens: u64,
}

impl BoundPolicy {
    /// Returns the load, as a multiple of the mean, up to which an attempt with the claim is
    /// admitted.
    ///
    /// ```
    /// use teaselworks_policy::load::BoundPolicy;
    /// use teaselworks_policy::placement::Claim;
    ///
    /// let policy = BoundPolicy { multiple: 1.25, floor_tokens: 0 };
    /// assert_eq!(policy.multiple_for(Claim::Holder), 1.2);
    /// assert!(policy.multiple_for(Claim::Fresh) < 1.2);
    /// ```
    pub fn multiple_for(&self, claim: Claim) -> f64 {
        let multiple = self.multiple * (1.0 - MEAN_MARGIN);
        match claim {
            Claim::Fresh => multiple - (1.0 - FRESH_SHARE) * (multiple - 1.0).max(0.0),
            Claim::Holder | Claim::IfHeld | Claim::Last => multiple,
        }
    }
}

impl Default for BoundPolicy {
    fn default() -> Self {
        Self { multiple: 1.25, floor_tokens: 2_048 }
    }
}

/// Answer of an owner to an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The attempt is counted and may be sent to the replica.
    Admit {
        /// Load with the attempt, in tokens.
        load_tokens: u64,
    },
    /// The attempt would exceed the bound; nothing was counted or sent.
    Refuse {
        /// Load without the attempt, in tokens.
        load_tokens: u64,
        /// Load that is allowed, in tokens.
        bound_tokens: u64,
    },
    /// The attempt is counted already; it must not be sent a second time.
    Duplicate,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    work: Work,
    produced_tokens: u32,
}

impl Running {
    fn left_tokens(&self) -> u64 {
        self.work.left_tokens(self.produced_tokens)
    }
}

/// Load of one replica, kept by its owner.
#[derive(Clone, Debug, Default)]
pub struct ReplicaLoad {
    running: HashMap<AttemptId, Running>,
    own_tokens: u64,
    foreign: Foreign,
    /// Load right after the last report, where another owner has work here or may still admit.
    shared_from_tokens: Option<u64>,
}

impl ReplicaLoad {
    /// Starts with a replica that another router owned until now and may admit to until `until`.
    ///
    /// Until a report comes the load is bounded by [`HANDOVER_MULTIPLE`], and `inherited_tokens`,
    /// by the engine's own report or else the mean, count as load.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::ReplicaLoad;
    ///
    /// let load = ReplicaLoad::taken_over(Duration::from_secs(5), 500);
    /// assert_eq!(load.load_tokens(), 500);
    /// ```
    pub fn taken_over(until: Duration, inherited_tokens: u64) -> Self {
        let mut load = Self::default();
        load.take_over(until, inherited_tokens);
        load
    }

    /// Takes the replica back from an owner that had it in between; attempts of this owner that
    /// are still in progress stay counted.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::ReplicaLoad;
    ///
    /// let mut load = ReplicaLoad::default();
    /// load.take_over(Duration::from_secs(60), 300);
    /// assert_eq!(load.load_tokens(), 300);
    /// ```
    pub fn take_over(&mut self, until: Duration, inherited_tokens: u64) {
        self.foreign = Foreign::inherited(inherited_tokens, until);
        self.shared_from_tokens = None;
    }

    /// Goes on as the owner, while another router may take itself for it from now on: the fleet
    /// is split, and the far side has named an owner of its own.
    ///
    /// What goes wrong without it: this owner would fill all of the room for seconds, until the
    /// engine's reports show the other's work, and the replica stands at 1.3 of the mean. It counts
    /// what it runs itself, so that it need not keep to [`HANDOVER_MULTIPLE`] until a report comes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::ReplicaLoad;
    ///
    /// let mut load = ReplicaLoad::default();
    /// load.share(Duration::from_secs(65));
    /// load.report(Duration::from_secs(60), 2);
    /// assert_eq!(load.load_tokens(), 512);
    /// ```
    pub fn share(&mut self, until: Duration) {
        self.foreign = Foreign::inherited(self.foreign.tokens(), until);
        self.shared_from_tokens = Some(self.load_tokens());
    }

    /// Admits an attempt where the bound allows it; a replica without load takes any one attempt.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::{Admission, BoundPolicy, ReplicaLoad, Work};
    /// use teaselworks_policy::name::AttemptId;
    /// use teaselworks_policy::placement::Claim;
    ///
    /// let policy = BoundPolicy { multiple: 1.25, floor_tokens: 10 };
    /// let work = Work { uncached_tokens: 240, output_tokens: 40 };
    /// let first = AttemptId { router: "a".into(), incarnation: 1, sequence: 1, attempt: 0 };
    /// let second = AttemptId { sequence: 2, ..first.clone() };
    /// let mut load = ReplicaLoad::default();
    /// let now = Duration::ZERO;
    /// let admission = load.try_admit(now, &first, work, Claim::Holder, 100.0, &policy);
    /// assert_eq!(admission, Admission::Admit { load_tokens: 100 });
    /// let admission = load.try_admit(now, &second, work, Claim::Holder, 100.0, &policy);
    /// assert_eq!(admission, Admission::Refuse { load_tokens: 100, bound_tokens: 120 });
    /// ```
    pub fn try_admit(
        &mut self,
        now: Duration,
        id: &AttemptId,
        work: Work,
        claim: Claim,
        mean_tokens: f64,
        policy: &BoundPolicy,
    ) -> Admission {
        if self.running.contains_key(id) {
            return Admission::Duplicate;
        }
        self.settle(now);
        let load_tokens = self.load_tokens();
        let bound_tokens = self.bound_tokens(now, claim, mean_tokens, policy);
        let with_tokens = load_tokens + work.tokens();
        let handover = self.foreign.is_handover(now);
        let low = claim == Claim::Last && !handover && load_tokens as f64 <= mean_tokens;
        if load_tokens > 0 && with_tokens > bound_tokens && !low {
            return Admission::Refuse { load_tokens, bound_tokens };
        }
        self.own_tokens += work.tokens();
        self.running.insert(id.clone(), Running { work, produced_tokens: 0 });
        Admission::Admit { load_tokens: with_tokens }
    }

    /// Notes the tokens generated so far; an unknown, late or repeated report changes nothing.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::{BoundPolicy, ReplicaLoad, Work};
    /// use teaselworks_policy::name::AttemptId;
    /// use teaselworks_policy::placement::Claim;
    ///
    /// let id = AttemptId { router: "a".into(), incarnation: 1, sequence: 1, attempt: 0 };
    /// let mut load = ReplicaLoad::default();
    /// let work = Work { uncached_tokens: 60, output_tokens: 40 };
    /// load.try_admit(Duration::ZERO, &id, work, Claim::Fresh, 0.0, &BoundPolicy::default());
    /// load.progress(&id, 10);
    /// assert_eq!(load.load_tokens(), 30);
    /// ```
    pub fn progress(&mut self, id: &AttemptId, produced_tokens: u32) {
        let Some(running) = self.running.get_mut(id) else { return };
        let before_tokens = running.left_tokens();
        running.produced_tokens = running.produced_tokens.max(produced_tokens);
        self.own_tokens = self.own_tokens - before_tokens + running.left_tokens();
    }

    /// Ends an attempt, however it ended; tells whether it was counted.
    ///
    /// ```
    /// use teaselworks_policy::load::ReplicaLoad;
    /// use teaselworks_policy::name::AttemptId;
    ///
    /// let id = AttemptId { router: "a".into(), incarnation: 1, sequence: 1, attempt: 0 };
    /// assert!(!ReplicaLoad::default().finish(&id));
    /// ```
    pub fn finish(&mut self, id: &AttemptId) -> bool {
        let Some(running) = self.running.remove(id) else { return false };
        self.own_tokens -= running.left_tokens();
        true
    }

    /// Takes the engine's own report of the requests that run and wait there.
    ///
    /// What it counts beyond the attempts of this owner was sent by another one, which this owner
    /// does not know of. Frozen or missing reports cost this correction, never a refusal that the
    /// owner's own count asks for.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::ReplicaLoad;
    ///
    /// let mut load = ReplicaLoad::default();
    /// for second in 0..3 {
    ///     load.report(Duration::from_secs(second), 2);
    /// }
    /// assert_eq!(load.load_tokens(), 512);
    /// ```
    pub fn report(&mut self, now: Duration, requests: u32) {
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let request_tokens = self.own_tokens.checked_div(running.into());
        self.foreign.report(now, requests.saturating_sub(running), request_tokens);
        let shared = self.foreign.tokens() > 0 || self.foreign.is_handover(now);
        self.shared_from_tokens = shared.then(|| self.load_tokens());
    }

    /// Tells whether the last report showed work of another owner.
    ///
    /// ```
    /// use teaselworks_policy::load::ReplicaLoad;
    ///
    /// assert!(!ReplicaLoad::default().has_foreign());
    /// ```
    pub fn has_foreign(&self) -> bool {
        self.foreign.is_reported()
    }

    /// Returns the load in tokens.
    pub fn load_tokens(&self) -> u64 {
        self.own_tokens + self.foreign.tokens()
    }

    /// Returns the number of attempts in progress.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn settle(&mut self, now: Duration) {
        if !self.foreign.settle(now) {
            self.shared_from_tokens = None;
        }
    }

    fn bound_tokens(
        &self,
        now: Duration,
        claim: Claim,
        mean_tokens: f64,
        policy: &BoundPolicy,
    ) -> u64 {
        let multiple = policy.multiple_for(claim);
        let bound_tokens = ((multiple * mean_tokens) as u64).max(policy.floor_tokens);
        if let Some(from_tokens) = self.shared_from_tokens {
            // Two owners that both fill the room that a report left overshoot by as much again
            // until the next; seen as seconds above the bound while the fleet is split.
            let room_tokens = bound_tokens.saturating_sub(from_tokens);
            return bound_tokens.min(from_tokens + room_tokens / SHARING_OWNERS);
        }
        if self.foreign.is_handover(now) {
            let reduced_tokens = (multiple.min(HANDOVER_MULTIPLE) * mean_tokens) as u64;
            return reduced_tokens.max(policy.floor_tokens / SHARING_OWNERS);
        }
        bound_tokens
    }
}
