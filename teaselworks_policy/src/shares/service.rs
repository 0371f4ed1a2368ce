//! Division of one service: its offered load, totals, plan and gate.

use std::sync::Arc;
use std::time::Duration;

use super::gate::{Gate, GateKey};
use super::offered::{AdmittedLoad, OfferedLoad, Reader};
use super::pace::Pace;
use super::plan::{ClassPlan, Plan, is_overloaded, plan};
use super::{Admission, OfferedRow, OverloadChange, ServiceStatus, Totals, WorkspaceKey, status};
use crate::verdict::RefusalReason;

/// Time between plans: totals change every 250 ms, and a router that plans alone needs to follow a
/// burst within a fraction of a second.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Age of their oldest part up to which totals are used. Most parts are younger by a second; with a
/// shorter limit one lost datagram made the totals of hundreds of routers unusable.
const MAX_TOTALS_AGE: Duration = Duration::from_millis(1_750);
/// Offered load, as a part of the capacity, beyond which routers report four times a second, so that
/// their totals are recent when an overload begins.
const LOADED_SHARE: f64 = 0.5;
/// Time without requests after which the plan is made without one, so that the end of an overload
/// is noticed.
const IDLE: Duration = Duration::from_secs(1);

/// Capacity of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Capacity {
    /// Slots of the whole service.
    pub slots: f64,
    /// Number of routers that this router knows of.
    pub routers: u32,
}

/// Division of one service.
#[derive(Debug)]
pub(super) struct ServiceShares {
    pub offered: OfferedLoad,
    admitted: AdmittedLoad,
    /// Slot time of the request that was recorded last, on which `admit` decides.
    latest_slot_time: Duration,
    totals: Option<(Duration, Totals)>,
    capacity: Capacity,
    planned_at: Option<Duration>,
    plan: Option<Plan>,
    /// Whether the caller of `take_overload_change` knows the service as overloaded.
    is_known_overloaded: bool,
    gate: Gate,
    pace: Pace,
}

impl ServiceShares {
    pub fn new(now: Duration) -> Self {
        Self {
            offered: OfferedLoad::new(now),
            admitted: AdmittedLoad::default(),
            latest_slot_time: Duration::ZERO,
            totals: None,
            capacity: Capacity { slots: 0.0, routers: 1 },
            planned_at: None,
            plan: None,
            is_known_overloaded: false,
            gate: Gate::default(),
            pace: Pace::default(),
        }
    }

    pub fn set_totals(&mut self, now: Duration, totals: Totals) {
        self.offered.on_totals(now, &totals.rows);
        self.totals = Some((now, totals));
    }

    pub fn is_overloaded(&self) -> bool {
        self.plan.is_some()
    }

    /// Returns whether the offered load exceeds [`LOADED_SHARE`] of the capacity.
    pub fn is_loaded(&self, now: Duration) -> bool {
        let (slots, rows) = self.slots_and_rows(now);
        let offered: f64 = rows.iter().map(OfferedRow::offered_slots).sum();
        self.is_overloaded() || offered > LOADED_SHARE * slots
    }

    /// Returns the totals if they are recent enough to be used.
    pub fn recent_totals(&self, now: Duration) -> Option<&Totals> {
        let (received_at, totals) = self.totals.as_ref()?;
        let age = now.saturating_sub(*received_at) + totals.age;
        (age <= MAX_TOTALS_AGE && totals.routers > 0).then_some(totals)
    }

    /// Makes a new plan if the latest one is too old.
    pub fn update_plan(&mut self, now: Duration, capacity: Capacity) {
        let is_fresh = |at: Duration| now.saturating_sub(at) < PLAN_INTERVAL;
        if self.planned_at.is_some_and(is_fresh) {
            return;
        }
        self.planned_at = Some(now);
        self.capacity = capacity;
        let was_overloaded = self.is_overloaded();
        let in_progress = self.recent_totals(now).map(|totals| totals.in_progress);
        if let Some(in_progress) = in_progress.filter(|_| was_overloaded) {
            self.pace.observe(now, self.slots_and_rows(now).0, in_progress);
        }
        self.plan = self.new_plan(now);
        if let Some(plan) = &self.plan {
            self.offered.set_averaged_parts(now, |workspace| plan.averaged_part(workspace));
        } else if was_overloaded {
            self.offered.set_averaged_parts(now, |_| 1.0);
            self.gate.clear();
            self.pace.reset();
        }
    }

    /// Drops the plan, since the service is not divided at the moment.
    pub fn forget_plan(&mut self) {
        self.plan = None;
        self.planned_at = None;
        self.gate.clear();
        self.pace.reset();
    }

    /// Makes a new plan if no request has caused one for some time.
    pub fn update_idle(&mut self, now: Duration) {
        let is_idle = |at: Duration| now.saturating_sub(at) >= IDLE;
        if self.is_overloaded() && self.planned_at.is_some_and(is_idle) {
            self.update_plan(now, self.capacity);
        }
    }

    /// Returns the plan that follows from the latest load; `None` while the service is not
    /// overloaded.
    fn new_plan(&self, now: Duration) -> Option<Plan> {
        let (slots, rows) = self.slots_and_rows(now);
        let offered: f64 = rows.iter().map(OfferedRow::offered_slots).sum();
        let is_divided = slots > 0.0 && has_classes(&rows);
        let is_planned = is_divided && is_overloaded(offered, slots, self.is_overloaded());
        // The scale follows from totals; without recent ones it may be outdated.
        let scale = self.recent_totals(now).map_or(1.0, |_| self.pace.scale());
        is_planned.then(|| plan(slots * scale, &rows))
    }

    /// Returns the slots to divide and the load that is offered for them.
    ///
    /// Routers that are not in the totals keep to their own part of the slots, which is left to
    /// them.
    fn slots_and_rows(&self, now: Duration) -> (f64, Vec<OfferedRow>) {
        let routers = f64::from(self.capacity.routers.max(1));
        match self.recent_totals(now) {
            Some(totals) => {
                let counted = (f64::from(totals.routers) / routers).min(1.0);
                (self.capacity.slots * counted, totals.rows.clone())
            }
            None => (self.capacity.slots / routers, self.offered.rows(now, Reader::Alone)),
        }
    }

    /// Records a request, on which [`ServiceShares::admit`] decides next.
    pub fn on_request(
        &mut self,
        now: Duration,
        (workspace, rank): (WorkspaceKey, u8),
        slot_time: Duration,
        is_returning: bool,
    ) {
        self.latest_slot_time = slot_time;
        self.pace.on_request(now, slot_time);
        self.offered.add(now, workspace, rank, slot_time, is_returning);
    }

    /// Decides on a request by the latest plan.
    pub fn admit(
        &mut self,
        now: Duration,
        key: (WorkspaceKey, u8),
        is_returning: bool,
    ) -> Admission {
        let admission = self.planned_admission(now, key, is_returning);
        if !matches!(admission, Admission::Refused(_)) {
            self.admitted.add(now, self.latest_slot_time);
        }
        admission
    }

    fn planned_admission(
        &mut self,
        now: Duration,
        (workspace, rank): (WorkspaceKey, u8),
        is_returning: bool,
    ) -> Admission {
        let Some(plan) = &self.plan else {
            return Admission::Normal;
        };
        // A workspace that has no row of its own in the totals is counted in the shared one.
        let row = if plan.has_workspace(workspace) { workspace } else { WorkspaceKey::REST };
        let planned = plan.class(row, rank).map(|class| (row, *class));
        let (workspace, class) =
            planned.unwrap_or_else(|| (WorkspaceKey::REST, plan.class_without_load(rank)));
        let capacity_slots = plan.capacity_slots;
        let returning_per_new = plan.returning_per_new(rank);
        // With the few requests of one router, the planned fractions admit too much on average: a
        // class that has sent little by chance is admitted in full.
        let is_alone = self.recent_totals(now).is_none();
        let is_admitted = if is_alone
            && class.is_marginal
            && !self.admitted.has_room(now, self.latest_slot_time, capacity_slots)
        {
            false
        } else {
            let key = GateKey { workspace, rank, is_returning };
            if is_returning && class.is_marginal {
                self.gate.admits_returning(now, key, class.returning, returning_per_new)
            } else {
                self.gate.admits(now, key, if is_returning { class.returning } else { class.new })
            }
        };
        if !is_admitted {
            return Admission::Refused(refusal_reason(&class));
        }
        if !is_returning {
            self.gate.on_new_admitted(now, rank, returning_per_new);
        }
        let ClassPlan { is_marginal, ahead_share, .. } = class;
        Admission::Planned { is_marginal, ahead_share }
    }

    pub fn status(&self, now: Duration) -> Option<ServiceStatus> {
        let (slots, rows) = self.slots_and_rows(now);
        let (admitted_by_rank, workspaces, rest) = status::admitted(self.plan.as_ref(), &rows);
        let totals = self.totals.as_ref();
        Some(ServiceStatus {
            is_overloaded: self.is_overloaded(),
            capacity_slots: slots,
            offered_slots: rows.iter().map(OfferedRow::offered_slots).sum(),
            admitted_by_rank,
            workspaces,
            rest,
            totals_age: totals.map(|(at, totals)| now.saturating_sub(*at) + totals.age),
            totals_routers: totals.map_or(0, |(_, totals)| totals.routers),
        })
    }

    /// Returns the change if the service has become overloaded, or no longer is, since the last
    /// call.
    pub fn take_overload_change(
        &mut self,
        now: Duration,
        service: &Arc<str>,
    ) -> Option<OverloadChange> {
        let is_overloaded = self.is_overloaded();
        if is_overloaded == self.is_known_overloaded {
            return None;
        }
        self.is_known_overloaded = is_overloaded;
        let (capacity_slots, rows) = self.slots_and_rows(now);
        let offered_slots = rows.iter().map(OfferedRow::offered_slots).sum();
        let service = service.clone();
        Some(OverloadChange { service, is_overloaded, offered_slots, capacity_slots })
    }

    /// Drops the state of workspaces for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(WorkspaceKey) -> bool) {
        self.offered.retain(&is_kept);
        self.gate.retain(&is_kept);
    }
}

/// Returns whether the load has more than one class; otherwise there is nothing to divide.
fn has_classes(rows: &[OfferedRow]) -> bool {
    rows.len() > 1 || rows.iter().any(|row| row.ranks.len() > 1)
}

/// Returns why a request of a class is refused.
fn refusal_reason(class: &ClassPlan) -> RefusalReason {
    if class.new >= 1.0 {
        // Only returning callers of the class are refused.
        RefusalReason::LateCaller
    } else if class.is_beyond_share {
        RefusalReason::WorkspaceShare
    } else if class.has_more_urgent {
        RefusalReason::Rank
    } else {
        RefusalReason::Overloaded
    }
}
