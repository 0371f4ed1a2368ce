//! Sums of the load that other routers report for one service.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::message::ReportedLoad;
use super::part::{Part, Parts};
use super::table;
use super::timing;
use super::topology::Topology;

/// Time for which the sum of all groups is reused, so that its cost does not grow with the square of
/// the size of a group. It adds to the age of the totals.
const SUM_LIFETIME: Duration = Duration::from_millis(25);

/// Longest age of a group's total: the lifetime of reports at the slow rate, and the interval between
/// two totals.
const MAX_GROUP_AGE: Duration = Duration::from_millis(3_500);

/// Load of several routers.
#[derive(Clone, Debug)]
pub(super) struct Sum {
    pub(super) load: ReportedLoad,
    pub(super) routers: u32,
    /// Clock reading at which the oldest part was measured.
    pub(super) as_of: Duration,
}

/// What this router has received about one service as an aggregator.
#[derive(Debug, Default)]
pub(super) struct Aggregator {
    reports: Parts,
    groups: Parts,
    group_sent_at: Option<Duration>,
    fleet: Option<(Duration, Sum)>,
}

impl Aggregator {
    /// Counts a router's report; returns false if it is not newer than the one before.
    pub(super) fn on_report(&mut self, from: SocketAddr, part: Part, topology: &Topology) -> bool {
        self.reports.accept(from, part, topology)
    }

    /// Counts the total of another aggregator's group.
    pub(super) fn on_group(&mut self, from: SocketAddr, part: Part, topology: &Topology) {
        // One part that is far too old would make the totals of all routers unusable.
        if part.received_at.saturating_sub(part.as_of) > MAX_GROUP_AGE {
            return;
        }
        self.groups.accept(from, part, topology);
    }

    /// Forgets everything, since messages that were received are of unknown age.
    pub(super) fn clear(&mut self) {
        self.reports.clear();
        self.groups.clear();
        self.group_sent_at = None;
        self.fleet = None;
    }

    /// Drops messages whose lifetime is over.
    pub(super) fn expire(&mut self, now: Duration) {
        self.reports.expire(now);
        self.groups.expire(now);
        self.fleet = None;
    }

    /// Returns the total of the routers that report to this one, and the addresses to send it to, if
    /// that is due; `listening_since` is the time from which this process received reports.
    ///
    /// It also goes to the group's own backup aggregator, whose totals are then whole when it takes
    /// over, and to senders of other totals: these may be aggregators by a newer list.
    pub(super) fn due_group(
        &mut self,
        now: Duration,
        listening_since: Duration,
        topology: &Topology,
    ) -> Option<(Sum, bool, BTreeSet<SocketAddr>)> {
        // One last, empty total tells the others that the routers now report elsewhere; they would
        // count them twice until its lifetime ends.
        let is_last = self.reports.is_empty() && self.group_sent_at.is_some();
        if self.reports.is_empty() && !is_last {
            return None;
        }
        let is_frequent = self.reports.iter(topology).any(|part| part.is_frequent);
        // The total of a process that has not heard all of its group yet would replace the whole one
        // of the process before.
        let is_settled = now.saturating_sub(listening_since) > timing::interval(is_frequent);
        let is_due = timing::is_due(now, self.group_sent_at, is_frequent);
        let must_wait = !is_settled || !is_due;
        if must_wait && !is_last {
            return None;
        }
        self.group_sent_at = (!is_last).then_some(now);
        let sum = add_up(now, self.reports.iter(topology), topology);
        let mut receivers = topology.all_aggregators();
        receivers.extend(self.groups.senders());
        if let Some(own_address) = topology.own_address() {
            receivers.remove(&own_address);
        }
        Some((sum, is_frequent, receivers))
    }

    /// Returns the total of all groups.
    pub(super) fn fleet(&mut self, now: Duration, topology: &Topology) -> &Sum {
        let is_current =
            |(computed_at, _): &(Duration, Sum)| now.saturating_sub(*computed_at) < SUM_LIFETIME;
        if !self.fleet.as_ref().is_some_and(is_current) {
            self.reports.expire(now);
            self.groups.expire(now);
            let parts = self.reports.iter(topology).chain(self.groups.iter(topology));
            self.fleet = Some((now, add_up(now, parts, topology)));
        }
        &self.fleet.as_ref().expect("the sum was just computed").1
    }
}

/// Adds up parts, as long as they contain at most twice as many routers as are listed: a router that
/// changes its aggregator is counted at both for a while.
fn add_up<'a>(now: Duration, parts: impl Iterator<Item = &'a Part>, topology: &Topology) -> Sum {
    let max_routers = u32::try_from(topology.listed_count() * 2).unwrap_or(u32::MAX);
    let mut sum = Sum { load: ReportedLoad::default(), routers: 0, as_of: now };
    let mut rows = Vec::new();
    for part in parts {
        let routers = sum.routers.saturating_add(part.routers);
        // A part without routers only ends the one before; its age does not matter.
        if part.routers == 0 || routers > max_routers {
            continue;
        }
        sum.routers = routers;
        sum.as_of = sum.as_of.min(part.as_of);
        sum.load.in_progress += part.load.in_progress;
        sum.load.is_overloaded |= part.load.is_overloaded;
        rows.extend(&part.load.rows);
    }
    sum.load.rows = table::merge(rows.into_iter());
    sum
}
