//! Labels of the metrics of workspaces.

use std::sync::Arc;

use teaselworks::metrics::{Metrics, SharesReport};
use teaselworks_policy::shares::{ServiceStatus, WorkspaceKey, WorkspaceStatus};

/// Returns the report of a service to which these workspaces send requests.
fn report(names: &[String]) -> SharesReport {
    let row = |workspace| WorkspaceStatus { workspace, offered_slots: 2.0, admitted_fraction: 0.5 };
    let keys = names.iter().map(|name| WorkspaceKey::of(name));
    let status = ServiceStatus {
        workspaces: keys.clone().map(row).collect(),
        rest: Some(row(WorkspaceKey::REST)),
        ..ServiceStatus::default()
    };
    let names = names.iter().map(|name| Arc::from(name.as_str()));
    SharesReport {
        services: vec![("chat".into(), status)],
        workspace_names: keys.zip(names).collect(),
    }
}

/// Returns the values of the label `workspace` of a metric.
fn labels(page: &str, name: &str) -> Vec<String> {
    let lines = page.lines().filter(|line| line.starts_with(&format!("{name}{{")));
    lines
        .filter_map(|line| Some(line.split("workspace=\"").nth(1)?.split('"').next()?.into()))
        .collect()
}

/// Guards against labels that pile up while the most loaded workspaces change.
#[test]
fn workspaces_that_leave_the_list_leave_the_metrics() {
    let metrics = Metrics::new();
    for round in 0..50 {
        let names: Vec<String> =
            (0..32).map(|number| format!("team-{round}-{number:02}")).collect();
        let page = metrics.to_text(&report(&names));
        for name in
            ["teaselworks_workspace_offered_slots", "teaselworks_workspace_admitted_fraction"]
        {
            let labels = labels(&page, name);
            assert_eq!(labels.len(), 33, "{name}");
            assert_eq!(labels[0], "(rest)");
            assert_eq!(labels[1..], names, "{name}");
        }
    }
    assert!(!metrics.to_text(&SharesReport::default()).contains("workspace="));
}

/// Guards against load that is shown as `-0` where there is none.
#[test]
fn no_load_is_shown_as_zero() {
    let idle = ServiceStatus { offered_slots: -0.0, ..ServiceStatus::default() };
    let services = vec![("chat".into(), idle)];
    let page = Metrics::new().to_text(&SharesReport { services, ..SharesReport::default() });
    assert!(
        page.lines().any(|line| line == "teaselworks_offered_slots{service=\"chat\"} 0"),
        "{page}"
    );
}

/// Guards against a workspace that other routers know, and this one does not, with a label of its
/// own, and against load that is lost with it.
#[test]
fn workspaces_without_a_name_count_as_the_rest() {
    let mut report = report(&["search".to_owned(), "billing".to_owned()]);
    report.workspace_names.remove(&WorkspaceKey::of("billing"));
    let page = Metrics::new().to_text(&report);
    let rest = "teaselworks_workspace_offered_slots{service=\"chat\",workspace=\"(rest)\"} 4";
    assert!(page.lines().any(|line| line == rest), "{page}");
    assert!(!page.contains("billing"));
}
