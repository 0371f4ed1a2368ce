//! When an owner asks engines for their own count of requests.
//!
//! The count serves to notice work that others sent. While owners change, that is a former owner,
//! and the engine is asked often. Afterwards nothing that must hold depends on it, and a page of
//! metrics may have tens of kilobytes, so that the rate follows from the bytes that it costs.

use std::collections::HashMap;
use std::time::Duration;

use super::foreign::{FADE_AFTER, REPORTS};
use crate::name::Name;

/// Bytes a second that reports of all replicas of an owner cost at most, while none changes its
/// owner; [`ReportSchedule::is_due`] tells how close to it they come.
pub const STEADY_BYTES_PER_S: u64 = 400;

/// Time between two reports of a replica while a former owner may act, and when it was doubted.
const CLOSE_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reports afterwards, as long as they show work of others that fades.
const FADING_INTERVAL: Duration = Duration::from_secs(1);

/// Least time between two reports of a replica otherwise.
pub const STEADY_INTERVAL: Duration = Duration::from_secs(60);

/// Size that an engine's page is taken for until its first report.
const ASSUMED_SIZE_BYTES: u64 = 40_000;

/// What is planned for one replica.
#[derive(Clone, Copy, Debug, Default)]
struct Plan {
    exclusive_from: Duration,
    /// Reports since the last change of the owner.
    reports: usize,
    /// Reports in a row that showed no work of others.
    quiet: usize,
    /// Reports that are still wanted closely, since the engine spoke against this owner's count.
    doubts: usize,
    next: Duration,
}

impl Plan {
    /// Tells whether the replica has just changed its owner.
    fn is_changing(&self, now: Duration) -> bool {
        now < self.exclusive_from || self.reports < REPORTS
    }

    /// Tells whether work that others put on the replica may still run there.
    fn is_fading(&self, now: Duration) -> bool {
        now < self.exclusive_from + FADE_AFTER && self.quiet < REPORTS
    }

    /// Returns the time until the next report.
    fn interval(&self, now: Duration) -> Duration {
        if self.is_changing(now) || self.doubts > 0 {
            return CLOSE_INTERVAL;
        }
        if self.is_fading(now) { FADING_INTERVAL } else { STEADY_INTERVAL }
    }
}

/// When the replicas of one owner are asked.
#[derive(Clone, Debug, Default)]
pub struct ReportSchedule {
    plans: HashMap<Name, Plan>,
    /// Largest page since the start.
    size_bytes: Option<u64>,
    /// Bytes that may be spent now; reports of a change of owner are not paid from these.
    saved_bytes: u64,
    /// Whether the fleet is split, so that engines always have work of others.
    split: bool,
    saved_at: Duration,
}

impl ReportSchedule {
    /// Tells whether to ask a replica now, and plans the next time.
    ///
    /// While a former owner may act until `exclusive_from`, and for the first [`REPORTS`] reports,
    /// that is each 0.5 s; then each second until [`FADE_AFTER`] it, or until as many in a row
    /// showed no work of others. Afterwards each report is paid from [`STEADY_BYTES_PER_S`] saved
    /// up. A replica that was [doubted](ReportSchedule::doubt) is asked [`REPORTS`] times at once;
    /// others only as long as that much stays saved for it, at most once a minute each.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::ReportSchedule;
    ///
    /// let mut schedule = ReportSchedule::default();
    /// let exclusive_from = Duration::from_secs(5);
    /// assert!(schedule.is_due(&"engine-1".into(), exclusive_from, Duration::from_secs(1)));
    /// assert!(!schedule.is_due(&"engine-1".into(), exclusive_from, Duration::from_secs(1)));
    /// ```
    pub fn is_due(&mut self, replica: &Name, exclusive_from: Duration, now: Duration) -> bool {
        self.save(now);
        let plan = self.plans.entry(replica.clone()).or_default();
        if plan.exclusive_from != exclusive_from {
            *plan = Plan { exclusive_from, ..Plan::default() };
        }
        let plan = *plan;
        let close = plan.is_changing(now) || plan.is_fading(now);
        if now < plan.next || !(close || self.pay(&plan)) {
            return false;
        }
        let mut plan = Plan { reports: plan.reports + 1, ..plan };
        plan.doubts = plan.doubts.saturating_sub(1);
        plan.next = now + plan.interval(now);
        self.plans.insert(replica.clone(), plan);
        true
    }

    /// Pays for a report from what is saved; tells whether that was enough.
    fn pay(&mut self, plan: &Plan) -> bool {
        let size_bytes = self.size_bytes.unwrap_or(ASSUMED_SIZE_BYTES);
        let doubted = plan.doubts > 0;
        let kept_bytes = if doubted { 0 } else { reserve_bytes(size_bytes) };
        // Else the first of many replicas would take all that is saved, again and again.
        // In a split each owner ends up counting its own side's work alone; a rare report of the
        // other side's would close one replica for seconds that stands no higher than the rest.
        let in_turn = self.plans.values().all(|other| plan.next <= other.next) && !self.split;
        let in_turn = doubted || in_turn;
        if !in_turn || self.saved_bytes < size_bytes + kept_bytes {
            return false;
        }
        self.saved_bytes -= size_bytes;
        true
    }

    /// Notes the size of a page that an engine sent, and whether it showed work of others.
    pub fn learn(&mut self, replica: &Name, size_bytes: u64, has_foreign: bool) {
        self.size_bytes = self.size_bytes.max(Some(size_bytes));
        let Some(plan) = self.plans.get_mut(replica) else { return };
        plan.quiet = if has_foreign { 0 } else { plan.quiet + 1 };
    }

    /// Notes whether the fleet is split.
    pub fn set_split(&mut self, split: bool) {
        self.split = split;
    }

    /// Asks a replica soon: it refused an attempt that this owner had admitted, so that others may
    /// send it work.
    pub fn doubt(&mut self, replica: &Name, now: Duration) {
        let Some(plan) = self.plans.get_mut(replica) else { return };
        plan.doubts = REPORTS;
        plan.next = plan.next.min(now + CLOSE_INTERVAL);
    }

    /// Forgets the replicas that `is_owned` does not name.
    pub fn retain(&mut self, is_owned: impl Fn(&Name) -> bool) {
        self.plans.retain(|replica, _| is_owned(replica));
    }

    /// Forgets a replica that another router owns now.
    pub fn remove(&mut self, replica: &Name) {
        self.plans.remove(replica);
    }

    fn save(&mut self, now: Duration) {
        let size_bytes = self.size_bytes.unwrap_or(ASSUMED_SIZE_BYTES);
        let elapsed = now.saturating_sub(self.saved_at);
        let earned_bytes = (elapsed.as_secs_f64() * STEADY_BYTES_PER_S as f64) as u64;
        if earned_bytes == 0 {
            return;
        }
        self.saved_at = now;
        let most_bytes = size_bytes + reserve_bytes(size_bytes);
        self.saved_bytes = (self.saved_bytes + earned_bytes).min(most_bytes);
    }
}

/// Returns what is kept for a replica that is doubted.
fn reserve_bytes(size_bytes: u64) -> u64 {
    REPORTS as u64 * size_bytes
}
