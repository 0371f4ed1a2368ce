//! Requests under which replicas ended, recognized by their fingerprints.
//!
//! Replicas that end while they run a request count against it until one answers it completely. The
//! routers exchange their records: the set of the replicas' incarnations only grows until an answer,
//! so that the order of messages does not matter.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::answered::AnsweredRequests;

/// Number of replicas that may end under one request before it is refused.
pub const MAX_ENDED_REPLICAS: usize = 3;
/// Number of ended replicas from which a request is announced to all routers.
pub const ANNOUNCED_ENDS: usize = 2;
/// Time after the last end for which a request is remembered, and refused if it has reached the limit.
pub const REQUEST_MEMORY: Duration = Duration::from_secs(300);
/// Time after the last end for which a request is refused that was answered before: the cause is more
/// likely elsewhere, and its next answer refutes the ends.
const ANSWERED_BLOCK_TIME: Duration = Duration::from_secs(10);
/// Time that other routers have to acknowledge an end. Without an acknowledgement the limit counts as
/// reached, since their records may contain further ends.
pub const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_millis(30);
/// Shortest time in which a replica starts again under the same incarnation. The times in reports differ
/// by less between routers.
const RESTART_TIME: Duration = Duration::from_millis(100);
/// Retry-after time while no other router acknowledges an end.
const UNACKNOWLEDGED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after its start during which a router lists single ends in the store: the routers that would
/// remember them may be as new.
const STARTUP_TIME: Duration = Duration::from_secs(15);
/// Maximum number of requests that are remembered.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of ends that are remembered for a request.
const MAX_ENDS: usize = 6;

/// The end of a replica that ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaEnd {
    /// Hash of the replica's incarnation.
    pub incarnation: u64,
    /// Clock reading at which the request was sent.
    pub sent_at: Duration,
    /// Clock reading at which the replica broke it off.
    pub ended_at: Duration,
    /// Whether the answer had begun, so that the replica certainly ran then.
    pub has_begun: bool,
}

impl ReplicaEnd {
    /// Returns whether two reports may be of the same end. The store may still list the incarnation of
    /// before a restart; one that answers has restarted.
    fn is_same(&self, other: &ReplicaEnd) -> bool {
        let is_later = |end: &ReplicaEnd, earlier: &ReplicaEnd| {
            end.has_begun && end.sent_at > earlier.ended_at + RESTART_TIME
        };
        let is_distinct = is_later(self, other) || is_later(other, self);
        self.incarnation == other.incarnation && !is_distinct
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BlockedRequest {
    /// Number of replicas on record that ended under it.
    pub ended: usize,
    /// Time after which the request may be sent again.
    pub retry_after: Duration,
    /// Whether the limit is reached by the ends on record. Otherwise no other router has acknowledged an
    /// end, and their records may contain more.
    pub is_confirmed: bool,
}

/// Record of one request.
#[derive(Clone, Debug, Default)]
struct Record {
    /// Ends in the order in which they were added.
    ends: Vec<ReplicaEnd>,
    /// Clock reading of the last change.
    updated_at: Duration,
    /// Whether the request was answered before.
    was_answered: bool,
    /// Clock reading of an end at this router that no other one has acknowledged.
    unacknowledged_since: Option<Duration>,
    /// Number of ends that this router has announced to all others.
    announced: usize,
    /// Number of ends that the store lists.
    listed: usize,
    /// Whether this router observed one of the ends.
    is_own: bool,
}

impl Record {
    /// Returns the number of ends that count.
    ///
    /// Several replicas may run equal requests and end together for another reason. Of a request that
    /// was answered before, only ends of which each followed the one before count.
    fn count(&self) -> usize {
        if !self.was_answered {
            return self.ends.len();
        }
        let mut ends = self.ends.clone();
        ends.sort_unstable_by_key(|end| end.ended_at);
        let mut last_at = Duration::ZERO;
        let mut count = 0;
        for end in ends {
            if end.sent_at < last_at {
                continue;
            }
            count += 1;
            last_at = end.ended_at;
        }
        count
    }

    /// Returns whether as many replicas as may have ended.
    fn has_reached_limit(&self) -> bool {
        self.count() >= MAX_ENDED_REPLICAS
    }

    /// Adds an end unless it is on record. Of too many ends, the newest are kept.
    fn add(&mut self, now: Duration, end: &ReplicaEnd) -> bool {
        if self.ends.iter().any(|known| known.is_same(end)) {
            return false;
        }
        if self.ends.len() >= MAX_ENDS {
            let oldest = (0..self.ends.len()).min_by_key(|index| self.ends[*index].ended_at);
            match oldest.filter(|oldest| self.ends[*oldest].ended_at < end.ended_at) {
                Some(oldest) => self.ends.remove(oldest),
                None => return false,
            };
        }
        self.ends.push(*end);
        self.updated_at = now;
        true
    }
}

/// One router's record of the requests under which replicas ended.
#[derive(Debug, Default)]
pub struct RequestLedger {
    records: HashMap<u64, Record>,
    answered: AnsweredRequests,
}

impl RequestLedger {
    /// Records that a replica ended while it ran a request of this router. `has_peers` is
    /// whether there are other routers, whose records may contain further ends.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::crash::{ReplicaEnd, RequestLedger};
    ///
    /// let mut ledger = RequestLedger::default();
    /// let now = Duration::from_secs(9);
    /// for incarnation in 1..=3 {
    ///     assert!(ledger.blocked(now, 7).is_none());
    ///     let end = ReplicaEnd { incarnation, sent_at: now, ended_at: now, has_begun: true };
    ///     ledger.on_ended(now, 7, end, false);
    /// }
    /// assert!(ledger.blocked(now, 7).is_some());
    /// ```
    pub fn on_ended(&mut self, now: Duration, fingerprint: u64, end: ReplicaEnd, has_peers: bool) {
        self.merge(now, fingerprint, &[end]);
        let Some(record) = self.records.get_mut(&fingerprint) else { return };
        record.is_own = true;
        if has_peers {
            record.unacknowledged_since.get_or_insert(now);
        }
    }

    /// Records that a request was answered before replicas ended under it, by the record of another
    /// router or the store.
    pub fn set_answered_before(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.was_answered = true;
        }
    }

    /// Returns whether a request was answered before replicas ended under it.
    pub fn was_answered(&self, fingerprint: u64) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| record.was_answered)
    }

    /// Returns whether a request was answered before, by its record or this router's memory of answers.
    pub fn is_answered(&self, fingerprint: u64) -> bool {
        self.was_answered(fingerprint) || self.answered.find(fingerprint).is_some()
    }

    /// Returns when the last answered attempt of a request was sent, if that refutes any of these ends.
    pub fn find_refutation(&self, fingerprint: u64, ends: &[ReplicaEnd]) -> Option<Duration> {
        let answered_at = self.answered.find(fingerprint)?;
        ends.iter().any(|end| end.ended_at <= answered_at).then_some(answered_at)
    }

    /// Adds ends from the record of another router or the store. Returns whether any was new.
    pub fn merge(&mut self, now: Duration, fingerprint: u64, ends: &[ReplicaEnd]) -> bool {
        let answered_at = self.answered.find(fingerprint);
        let is_refuted = |end: &ReplicaEnd| answered_at.is_some_and(|at| end.ended_at <= at);
        let mut is_changed = false;
        for end in ends {
            if is_refuted(end) || !self.make_room(now, fingerprint) {
                continue;
            }
            let record = self.records.entry(fingerprint).or_default();
            record.was_answered |= answered_at.is_some();
            is_changed |= record.add(now, end);
        }
        is_changed
    }

    /// Records that another router has acknowledged the ends of a request and sent its own record.
    pub fn on_acknowledged(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.unacknowledged_since = None;
        }
    }

    /// Records that an attempt which was sent at `sent_at` was answered completely, here or at another
    /// router: no earlier end was caused by the request. Returns whether any was on record.
    pub fn on_answered(&mut self, now: Duration, fingerprint: u64, sent_at: Duration) -> bool {
        self.answered.insert(now, fingerprint, sent_at);
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        let known = record.ends.len();
        record.ends.retain(|end| end.ended_at > sent_at);
        let is_refuted = record.ends.len() < known;
        if record.ends.is_empty() {
            self.records.remove(&fingerprint);
        }
        is_refuted
    }

    /// Returns whether and why a request is to be refused.
    pub fn blocked(&self, now: Duration, fingerprint: u64) -> Option<BlockedRequest> {
        let record = self.records.get(&fingerprint)?;
        let ended = record.ends.len();
        if record.has_reached_limit() {
            let time = if record.was_answered { ANSWERED_BLOCK_TIME } else { REQUEST_MEMORY };
            let retry_after = (record.updated_at + time).saturating_sub(now);
            let is_over = retry_after.is_zero();
            return (!is_over).then_some(BlockedRequest { ended, retry_after, is_confirmed: true });
        }
        let is_unacknowledged = record
            .unacknowledged_since
            .is_some_and(|since| now.saturating_sub(since) >= ACKNOWLEDGEMENT_TIME);
        let retry_after = UNACKNOWLEDGED_RETRY_AFTER;
        is_unacknowledged.then_some(BlockedRequest { ended, retry_after, is_confirmed: false })
    }

    /// Returns whether as many replicas as may have ended under a request.
    pub fn has_reached_limit(&self, fingerprint: u64) -> bool {
        self.records.get(&fingerprint).is_some_and(Record::has_reached_limit)
    }

    /// Returns the number of requests for which the limit is reached.
    pub fn blocked_count(&self) -> usize {
        self.records.values().filter(|record| record.has_reached_limit()).count()
    }

    /// Returns whether another router has yet to acknowledge an end of a request.
    pub fn is_unacknowledged(&self, fingerprint: u64) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.unacknowledged_since.is_some())
    }

    /// Returns the requests with ends that no other router has acknowledged.
    pub fn unacknowledged(&self) -> Vec<u64> {
        let waiting = self.records.iter().filter(|(_, r)| r.unacknowledged_since.is_some());
        waiting.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Returns the ends of a request.
    pub fn ends(&self, fingerprint: u64) -> &[ReplicaEnd] {
        self.records.get(&fingerprint).map_or(&[], |record| &record.ends)
    }

    /// Returns whether a request is to be announced to all routers now, and records that it is.
    pub fn take_announcement(&mut self, fingerprint: u64) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        let ends = record.ends.len();
        let is_due = ends >= ANNOUNCED_ENDS && ends > record.announced;
        if is_due {
            record.announced = ends;
        }
        is_due
    }

    /// Returns the requests whose ends are announced to all routers.
    pub fn announced(&self) -> Vec<u64> {
        let known = self.records.iter().filter(|(_, r)| r.ends.len() >= ANNOUNCED_ENDS);
        known.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Returns whether the store is to list the ends of a request that it does not list yet; `age` is
    /// the time since this router started.
    pub fn needs_listing(&self, fingerprint: u64, age: Duration) -> bool {
        let min_ends = if age < STARTUP_TIME { 1 } else { ANNOUNCED_ENDS };
        let record = self.records.get(&fingerprint);
        record.is_some_and(|r| r.ends.len() >= min_ends && r.ends.len() > r.listed)
    }

    /// Records that the store lists ends of a request. The times are not listed, so that the ends
    /// count as having come one after the other until now. Returns whether any was new.
    ///
    /// A listing may be older than an answer: one of a request that this router had answered changes
    /// nothing, since the ends that count come from other routers.
    pub fn on_listed(&mut self, now: Duration, fingerprint: u64, incarnations: &[u64]) -> bool {
        if self.answered.find(fingerprint).is_some() {
            return false;
        }
        let end = |incarnation: &u64| ReplicaEnd {
            incarnation: *incarnation,
            sent_at: now,
            ended_at: now,
            has_begun: false,
        };
        let ends: Vec<ReplicaEnd> = incarnations.iter().map(end).collect();
        let is_changed = self.merge(now, fingerprint, &ends);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.listed = record.listed.max(incarnations.len());
        }
        is_changed
    }

    /// Records that the store no longer lists a request, whose lease may have lapsed. Returns whether
    /// this router is to list it again, since it observed one of the ends.
    pub fn on_unlisted(&mut self, fingerprint: u64) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        record.listed = 0;
        record.is_own
    }

    /// Returns whether the store lists a request.
    pub fn is_listed(&self, fingerprint: u64) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| record.listed > 0)
    }

    /// Takes ends that have another cause from the requests that are not refused for them, or were
    /// answered before: many callers may send these, so that each replica runs them.
    pub fn explain(&mut self, incarnations: &HashSet<u64>) {
        self.records.retain(|_, record| {
            if record.was_answered || !record.has_reached_limit() {
                record.ends.retain(|end| !incarnations.contains(&end.incarnation));
            }
            !record.ends.is_empty()
        });
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets requests whose last end is long ago. One that was refused keeps as many ends as allow
    /// a single further one.
    pub fn expire(&mut self, now: Duration) {
        self.records.retain(|_, record| {
            if now.saturating_sub(record.updated_at) < REQUEST_MEMORY {
                return true;
            }
            let was_refused = record.ends.len() >= MAX_ENDED_REPLICAS;
            record.ends.truncate(MAX_ENDED_REPLICAS - 1);
            record.updated_at = now;
            was_refused
        });
    }

    /// Returns whether a request can be remembered. Drops the oldest half of those with the fewest ends
    /// if there are too many.
    fn make_room(&mut self, now: Duration, fingerprint: u64) -> bool {
        if self.records.len() < MAX_REQUESTS || self.records.contains_key(&fingerprint) {
            return true;
        }
        self.expire(now);
        let mut ages: Vec<Duration> = self
            .records
            .values()
            .filter(|record| record.ends.len() < ANNOUNCED_ENDS)
            .map(|record| record.updated_at)
            .collect();
        if ages.is_empty() {
            return self.records.len() < MAX_REQUESTS;
        }
        let middle = ages.len() / 2;
        let oldest = *ages.select_nth_unstable(middle).1;
        self.records.retain(|_, r| r.ends.len() >= ANNOUNCED_ENDS || r.updated_at > oldest);
        self.records.len() < MAX_REQUESTS
    }
}
