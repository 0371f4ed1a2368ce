//! Metrics of admission by service, rank and workspace.
//!
//! The counters have labels that the operator's configuration alone determines, and no more sets of
//! them than any other instrument. The gauges of the division of services are created for each page
//! anew from the state at that time, so that services and workspaces that have left it leave no
//! label behind.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use prometheus::proto::MetricFamily;
use prometheus::{GaugeVec, Opts, Registry};
use teaselworks_policy::shares::{ServiceStatus, WorkspaceKey, WorkspaceStatus};
use teaselworks_policy::verdict::RefusalReason;

use super::{Metrics, counter};

/// Label of the workspaces that are not listed by name, and of requests without a workspace.
const REST: &str = "(rest)";

/// Counters of admitted and refused requests.
#[derive(Debug)]
pub(super) struct AdmissionCounters {
    admitted: Counter<u64>,
    refused: Counter<u64>,
}

impl AdmissionCounters {
    pub(super) fn new(meter: &Meter) -> Self {
        Self {
            admitted: counter(
                meter,
                "teaselworks_admitted_requests",
                "Requests of callers that were sent to an upstream, by service and rank.",
            ),
            refused: counter(
                meter,
                "teaselworks_refused_requests",
                "Requests of callers that were refused or given up, by service, rank and reason.",
            ),
        }
    }
}

impl Metrics {
    /// Counts a request of a caller that is sent to an upstream for the first time.
    pub fn add_admitted_request(&self, service: &Arc<str>, rank: u8) {
        self.admission.admitted.add(1, &class_labels(service, rank));
    }

    /// Counts a request of a caller that is refused, or given up after attempts.
    pub fn add_refused_request(&self, service: &Arc<str>, rank: u8, reason: RefusalReason) {
        let [service, rank] = class_labels(service, rank);
        let labels = [service, rank, KeyValue::new("reason", reason.as_str())];
        self.admission.refused.add(1, &labels);
    }
}

fn class_labels(service: &Arc<str>, rank: u8) -> [KeyValue; 2] {
    [KeyValue::new("service", service.clone()), KeyValue::new("rank", i64::from(rank))]
}

/// State of the services that are divided when overloaded, for the metrics page.
#[derive(Clone, Debug, Default)]
pub struct SharesReport {
    /// Services with their state.
    pub services: Vec<(Arc<str>, ServiceStatus)>,
    /// Names of the workspaces in the states. Those without a name count as part of the rest.
    pub workspace_names: HashMap<WorkspaceKey, Arc<str>>,
}

impl SharesReport {
    /// Returns the gauges of all services.
    pub(super) fn metric_families(&self) -> Vec<MetricFamily> {
        let gauges = ServiceGauges::new();
        for (service, status) in &self.services {
            gauges.set(service, status);
            for (workspace, row) in self.by_name(status) {
                gauges.set_workspace(service, workspace, &row);
            }
        }
        gauges.into_families()
    }

    /// Returns the rows by the label of their workspace.
    fn by_name(&self, status: &ServiceStatus) -> BTreeMap<&str, WorkspaceStatus> {
        let mut by_name: BTreeMap<&str, WorkspaceStatus> = BTreeMap::new();
        for row in status.workspaces.iter().chain(&status.rest) {
            let name = self.workspace_names.get(&row.workspace).map_or(REST, |name| name);
            let sum = by_name.get(name).map_or(*row, |known| known.plus(row));
            by_name.insert(name, sum);
        }
        by_name
    }
}

/// Gauges of the division of services.
struct ServiceGauges {
    is_overloaded: GaugeVec,
    offered_slots: GaugeVec,
    capacity_slots: GaugeVec,
    admitted_fraction: GaugeVec,
    workspace_offered_slots: GaugeVec,
    workspace_admitted_fraction: GaugeVec,
}

impl ServiceGauges {
    fn new() -> Self {
        Self {
            is_overloaded: gauge(
                "teaselworks_service_overloaded",
                "Whether the slots of a service are divided since it is overloaded.",
                &["service"],
            ),
            offered_slots: gauge(
                "teaselworks_offered_slots",
                "Load that a service is offered, in slots.",
                &["service"],
            ),
            capacity_slots: gauge(
                "teaselworks_capacity_slots",
                "Slots of a service for the routers whose load is counted.",
                &["service"],
            ),
            admitted_fraction: gauge(
                "teaselworks_admitted_fraction",
                "Admitted fraction of the offered load, by service and rank.",
                &["service", "rank"],
            ),
            workspace_offered_slots: gauge(
                "teaselworks_workspace_offered_slots",
                "Load that a service is offered by its most loaded workspaces, in slots.",
                &["service", "workspace"],
            ),
            workspace_admitted_fraction: gauge(
                "teaselworks_workspace_admitted_fraction",
                "Admitted fraction of the load of the most loaded workspaces.",
                &["service", "workspace"],
            ),
        }
    }

    fn set(&self, service: &str, status: &ServiceStatus) {
        let is_overloaded = f64::from(u8::from(status.is_overloaded));
        self.is_overloaded.with_label_values(&[service]).set(is_overloaded);
        self.offered_slots.with_label_values(&[service]).set(unsigned_zero(status.offered_slots));
        self.capacity_slots.with_label_values(&[service]).set(status.capacity_slots);
        for (rank, fraction) in &status.admitted_by_rank {
            let labels = [service, &rank.to_string()];
            self.admitted_fraction.with_label_values(&labels).set(*fraction);
        }
    }

    fn set_workspace(&self, service: &str, workspace: &str, row: &WorkspaceStatus) {
        let labels = [service, workspace];
        self.workspace_offered_slots
            .with_label_values(&labels)
            .set(unsigned_zero(row.offered_slots));
        self.workspace_admitted_fraction.with_label_values(&labels).set(row.admitted_fraction);
    }

    /// Returns the gauges that have a value, sorted by name and labels.
    fn into_families(self) -> Vec<MetricFamily> {
        let registry = Registry::new();
        for gauge in [
            self.is_overloaded,
            self.offered_slots,
            self.capacity_slots,
            self.admitted_fraction,
            self.workspace_offered_slots,
            self.workspace_admitted_fraction,
        ] {
            registry.register(Box::new(gauge)).expect("the names of the gauges differ");
        }
        registry.gather()
    }
}

/// Returns zero for -0.0, which is the sum of no numbers, and other values as they are.
fn unsigned_zero(sum: f64) -> f64 {
    sum + 0.0
}

fn gauge(name: &str, description: &str, labels: &[&str]) -> GaugeVec {
    GaugeVec::new(Opts::new(name, description), labels).expect("name and labels are valid")
}
