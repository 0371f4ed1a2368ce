//! What operators see of overloaded services: log lines when an overload begins and ends, and the
//! state of all services for the metrics page.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::shares::{ServiceStatus, WorkspaceKey};

use crate::event::{self, Event, Field};
use crate::metrics::SharesReport;
use crate::relay::Shared;

/// Logs when services become overloaded and when that ends, one line each.
#[derive(Debug, Default)]
pub(super) struct OverloadLog {
    overloaded: HashMap<Arc<str>, Overload>,
}

/// An overload of a service.
#[derive(Debug)]
struct Overload {
    began_at: Duration,
    /// Lowest admitted fraction by rank.
    lowest_admitted: BTreeMap<u8, f64>,
}

impl Overload {
    fn new(now: Duration) -> Self {
        Self { began_at: now, lowest_admitted: BTreeMap::new() }
    }

    fn observe(&mut self, status: &ServiceStatus) {
        for (rank, fraction) in &status.admitted_by_rank {
            let lowest = self.lowest_admitted.entry(*rank).or_insert(1.0);
            *lowest = lowest.min(*fraction);
        }
    }
}

impl OverloadLog {
    /// Logs the changes since the last call.
    ///
    /// A service that is no longer divided, since the configuration or the settings have changed,
    /// counts as one that is no longer overloaded.
    pub(super) fn update(&mut self, shared: &Shared) {
        let now = shared.now();
        let mut fleet = shared.fleet();
        let changes = fleet.take_overload_changes(now);
        let begun: Vec<Arc<str>> = changes
            .into_iter()
            .filter(|change| change.is_overloaded && !self.overloaded.contains_key(&change.service))
            .map(|change| change.service)
            .collect();
        for service in &begun {
            self.overloaded.insert(service.clone(), Overload::new(now));
        }
        let mut statuses = HashMap::new();
        for service in self.overloaded.keys() {
            let status = fleet.shares_status(now, service).unwrap_or_default();
            statuses.insert(service.clone(), status);
        }
        drop(fleet);
        for service in &begun {
            log(event::SERVICE_OVERLOADED, service, &statuses[service], &[]);
        }
        self.overloaded.retain(|service, overload| {
            let status = &statuses[service];
            if status.is_overloaded {
                overload.observe(status);
            } else {
                log_end(service, status, overload, now);
            }
            status.is_overloaded
        });
    }
}

fn log_end(service: &str, status: &ServiceStatus, overload: &Overload, now: Duration) {
    let lasted = now.saturating_sub(overload.began_at);
    let lowest = by_rank(overload.lowest_admitted.iter().map(|(rank, lowest)| (*rank, *lowest)));
    let fields = [
        event::text("lowest_admitted", &lowest),
        event::number("lasted_ms", lasted.as_millis() as u64),
    ];
    log(event::SERVICE_RECOVERED, service, status, &fields);
}

fn log(event: Event, service: &str, status: &ServiceStatus, more: &[Field<'_>]) {
    let totals_age_ms = status.totals_age.map_or(-1, |age| age.as_millis() as i64);
    let admitted = by_rank(status.admitted_by_rank.iter().copied());
    // The sum of no load is -0.0.
    let offered_slots = format_args!("{:.1}", status.offered_slots + 0.0);
    let capacity_slots = format_args!("{:.1}", status.capacity_slots);
    let mut fields = vec![
        event::text("service", &service),
        event::text("offered_slots", &offered_slots),
        event::text("capacity_slots", &capacity_slots),
        event::text("totals_age_ms", &totals_age_ms),
        event::number("totals_routers", status.totals_routers.into()),
        event::text("admitted", &admitted),
    ];
    fields.extend_from_slice(more);
    event.log(&fields);
}

/// Returns fractions by rank as text, for instance `0:1.000,1:0.250`.
fn by_rank(fractions: impl Iterator<Item = (u8, f64)>) -> String {
    let fractions: Vec<String> =
        fractions.map(|(rank, fraction)| format!("{rank}:{fraction:.3}")).collect();
    fractions.join(",")
}

/// Returns the state of all services that are divided when overloaded.
pub(super) fn shares_report(shared: &Shared) -> SharesReport {
    let now = shared.now();
    let (configuration, services) = {
        let fleet = shared.fleet();
        let Some(configuration) = fleet.configuration() else { return SharesReport::default() };
        let status = |service: &Arc<str>| {
            fleet.shares_status(now, service).map(|status| (service.clone(), status))
        };
        let services: Vec<_> = configuration.services.keys().filter_map(status).collect();
        (configuration, services)
    };
    let rows = services.iter().flat_map(|(_, status)| &status.workspaces);
    let mut listed: HashSet<WorkspaceKey> = rows.map(|row| row.workspace).collect();
    listed.remove(&WorkspaceKey::REST);
    let mut workspace_names = HashMap::new();
    if !listed.is_empty() {
        let keys = configuration.workspaces.names().map(|name| (WorkspaceKey::of(name), name));
        let named = keys.filter(|(key, _)| listed.contains(key));
        workspace_names.extend(named.map(|(key, name)| (key, name.clone())));
    }
    SharesReport { services, workspace_names }
}
