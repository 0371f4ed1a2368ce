//! What operators see of the division of a service with many workspaces.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::demand::Demand;
use teaselworks_policy::shares::{
    Class, OfferedRow, RankLoad, ServiceStatus, Shares, SharesSettings, Totals, WorkspaceKey, plan,
};

/// Workspaces that are listed separately.
const MAX_LISTED: usize = 32;

/// Returns the status of a service of 100 slots with these rows in its totals. A request lets the
/// service be planned.
fn status(rows: Vec<OfferedRow>) -> ServiceStatus {
    let now = Duration::from_secs(10);
    let service: Arc<str> = "chat".into();
    let class = Class { rank: 0, workspace: None };
    let demand = Demand { slot_time: Duration::from_millis(1) };
    let mut shares =
        Shares::new(SharesSettings { by_priority: true, workspace_shares: true, min_routers: 0 });
    let totals = Totals { rows, in_progress: 0.0, routers: 4, age: Duration::from_millis(300) };
    shares.set_totals(now, &service, totals);
    shares.on_request(now, &service, &class, demand, false);
    shares.admit(now, &service, &class, false, 100.0, 4);
    shares.status(now, &service).unwrap()
}

fn row(key: u32, slots: f64) -> OfferedRow {
    let ranks = vec![RankLoad { rank: 0, new: slots, returning: 0.0 }];
    OfferedRow { workspace: WorkspaceKey(key), usual: slots, ranks }
}

/// Guards against metrics with a label for each of hundreds of workspaces, against load that is
/// missing from them.
#[test]
fn workspaces_beyond_the_most_loaded_are_one_row() {
    for count in [1, 31, 32, 33, 300] {
        let keys = 0..count as u32;
        let rows: Vec<OfferedRow> = keys.map(|key| row(key, 1.0 + f64::from(key % 50))).collect();
        let status = status(rows);
        assert_eq!(status.workspaces.len(), MAX_LISTED.min(count), "{count}");
        assert_eq!(status.rest.is_some(), count > MAX_LISTED, "{count}");
        let rows = status.workspaces.iter().chain(&status.rest);
        let loads: Vec<f64> = rows.clone().map(|row| row.offered_slots).collect();
        let listed = &loads[..status.workspaces.len()];
        assert!(listed.is_sorted_by(|a, b| a >= b), "{count}: {listed:?}");
        let sum: f64 = loads.iter().sum();
        assert!((sum - status.offered_slots).abs() < 1e-6, "{count}: {sum}");
        let admitted: f64 = rows.map(|row| row.offered_slots * row.admitted_fraction).sum();
        assert!((admitted - status.offered_slots.min(100.0)).abs() < 1e-6, "{count}: {admitted}");
    }
}

/// Guards against refusals of a workspace far beyond its share that name another reason only because
/// the last slots are not enough for all load within shares.
#[test]
fn what_is_refused_beyond_a_share_is_called_so() {
    // Shares: 105 slots and 60 slots. Within them 130 slots are offered.
    let mut greedy = row(2, 600.0);
    greedy.usual = 40.0;
    let plan = plan(100.0, &[row(1, 70.0), greedy]);
    let class = |key| plan.class(WorkspaceKey(key), 0).unwrap();
    assert!(class(1).new < 1.0 && !class(1).is_beyond_share, "{:?}", class(1));
    assert!(class(2).new < 0.1 && class(2).is_beyond_share, "{:?}", class(2));
}
