//! Reports of this router's load at one service, and the totals that it gets for them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::aggregator::Sum;
use super::timing;
use super::topology::Aggregators;
use crate::shares::Totals;

/// Number of reports without an answer after which the other aggregator gets them.
const MAX_UNANSWERED: u32 = 3;
/// Time after which a router that reports to the backup aggregator tries the aggregator again.
const AGGREGATOR_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Time after totals that show an overload for which reports are sent at the higher rate.
const OVERLOAD_MEMORY: Duration = Duration::from_secs(2);
/// Age from which totals are no longer reported at all.
const MAX_TOTALS_AGE: Duration = Duration::from_secs(5);
/// Number of reports whose answers are still accepted: those of a frozen aggregator come late, and
/// tell by the report that they answer how old they are.
const REMEMBERED_REPORTS: usize = 32;
/// Smallest part of the listed routers, in hundredths, that totals contain to be used. Totals of an
/// aggregator that was cut off or has just started would make a full service look empty. One group
/// of four or one router of seven may be missing less than this.
const MIN_COVERAGE: u64 = 80;

/// A report that was sent.
#[derive(Debug)]
struct SentReport {
    sequence: u64,
    sent_at: Duration,
    receiver: SocketAddr,
}

/// State of the reports of one service.
#[derive(Debug, Default)]
pub(super) struct Reporter {
    aggregators: Option<Aggregators>,
    uses_backup: bool,
    unanswered: u32,
    /// Clock reading at which the aggregator was last tried while the backup is used.
    tried_at: Duration,
    reported_at: Option<Duration>,
    overload_seen_at: Option<Duration>,
    sent: VecDeque<SentReport>,
    /// Sequence number of the latest report that was answered.
    answered: u64,
    totals: Option<Sum>,
}

impl Reporter {
    /// Returns whether a report is due and if so, whether at the higher rate.
    pub(super) fn due(&mut self, now: Duration, is_overloaded: bool) -> Option<bool> {
        let is_frequent = is_overloaded
            || self.overload_seen_at.is_some_and(|at| now.saturating_sub(at) < OVERLOAD_MEMORY);
        let is_due = timing::is_due(now, self.reported_at, is_frequent);
        is_due.then(|| {
            self.reported_at = Some(now);
            is_frequent
        })
    }

    /// Returns the routers to send the next report to.
    ///
    /// While the backup aggregator is used, every two seconds one report goes to both: if the
    /// aggregator is still down, no totals are missed.
    pub(super) fn receivers(&mut self, now: Duration, aggregators: Aggregators) -> Vec<SocketAddr> {
        if self.aggregators != Some(aggregators) {
            self.aggregators = Some(aggregators);
            self.uses_backup = false;
            self.unanswered = 0;
        }
        let (aggregator, Some(backup)) = aggregators else { return vec![aggregators.0] };
        if self.unanswered >= MAX_UNANSWERED {
            self.unanswered = 0;
            self.uses_backup = !self.uses_backup;
            self.tried_at = now;
        }
        if !self.uses_backup {
            return vec![aggregator];
        }
        if now.saturating_sub(self.tried_at) < AGGREGATOR_RETRY_INTERVAL {
            return vec![backup];
        }
        self.tried_at = now;
        vec![backup, aggregator]
    }

    /// Records that a report was sent.
    pub(super) fn on_sent(&mut self, now: Duration, sequence: u64, receiver: SocketAddr) {
        if self.is_current(receiver) {
            self.unanswered += 1;
        }
        if self.sent.len() >= REMEMBERED_REPORTS {
            self.sent.pop_front();
        }
        self.sent.push_back(SentReport { sequence, sent_at: now, receiver });
    }

    /// Takes the totals that answer a report, with their age when they were sent.
    ///
    /// The time since the report was sent is added to the age, which therefore is right also if the
    /// aggregator was frozen in between or the network held the messages up.
    pub(super) fn on_answer(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sequence: u64,
        age: Duration,
        mut sum: Sum,
        listed: usize,
    ) {
        let is_answered =
            |report: &&SentReport| report.sequence == sequence && report.receiver == from;
        let Some(report) = self.sent.iter().find(is_answered) else { return };
        if sequence <= self.answered {
            return;
        }
        self.answered = sequence;
        sum.as_of = report.sent_at.saturating_sub(age);
        if self.is_current(from) {
            self.unanswered = 0;
        } else if self.aggregators.is_some_and(|(aggregator, _)| aggregator == from) {
            self.uses_backup = false;
            self.unanswered = 0;
        }
        if sum.load.is_overloaded {
            self.overload_seen_at = Some(now);
        }
        if u64::from(sum.routers) * 100 >= listed as u64 * MIN_COVERAGE {
            self.totals = Some(sum);
        }
    }

    /// Returns the latest totals.
    pub(super) fn totals(&self, now: Duration) -> Option<Totals> {
        let Sum { load, routers, as_of } = self.totals.as_ref()?;
        let age = now.saturating_sub(*as_of);
        (age < MAX_TOTALS_AGE).then(|| Totals {
            rows: load.rows.clone(),
            in_progress: load.in_progress,
            routers: *routers,
            age,
        })
    }

    fn is_current(&self, receiver: SocketAddr) -> bool {
        self.aggregators.is_some_and(|(aggregator, backup)| {
            receiver == if self.uses_backup { backup.unwrap_or(aggregator) } else { aggregator }
        })
    }
}
