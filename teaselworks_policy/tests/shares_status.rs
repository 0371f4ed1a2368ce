//! What operators see of the division of a service with many workspaces.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::shares::{
    OfferedRow, RankLoad, ServiceStatus, Shares, SharesSettings, Totals, WorkspaceKey,
};

/// Workspaces that are listed separately.
const MAX_LISTED: usize = 32;

/// Returns the status of a service of 100 slots with these rows in its totals. A request lets the
/// service be planned.
fn status(rows: Vec<OfferedRow>) -> ServiceStatus {
    use teaselworks_policy::demand::Demand;
    use teaselworks_policy::shares::Class;
    let now = Duration::from_secs(10);
    let service: Arc<str> = "chat".into();
    let class = Class { rank: 0, workspace: None };
    let demand = Demand { slot_time: Duration::from_millis(1) };
    let mut shares = Shares::new(SharesSettings { by_priority: true, workspace_shares: true });
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
/// missing from them, and against a rest that takes the place of a workspace.
#[test]
fn workspaces_beyond_the_most_loaded_are_one_row() {
    for count in [1, 31, 32, 33, 300] {
        let rows: Vec<OfferedRow> =
            (0..=count).map(|key| row(key, 1.0 + f64::from(key % 50))).collect();
        let status = status(rows);
        let keys: Vec<u32> = status.workspaces.iter().map(|row| row.workspace.0).collect();
        let listed = keys.len() - 1;
        assert_eq!(listed, MAX_LISTED.min(count as usize), "{count}");
        assert_eq!(keys.iter().position(|key| *key == 0), Some(listed), "{count}");
        let loads: Vec<f64> = status.workspaces.iter().map(|row| row.offered_slots).collect();
        assert!(loads[..listed].is_sorted_by(|a, b| a >= b), "{count}: {loads:?}");
        let sum: f64 = loads.iter().sum();
        assert!((sum - status.offered_slots).abs() < 1e-6, "{count}: {sum}");
        let admitted =
            status.workspaces.iter().map(|row| row.offered_slots * row.admitted_fraction);
        let admitted: f64 = admitted.sum();
        assert!((admitted - status.offered_slots.min(100.0)).abs() < 1e-6, "{count}: {admitted}");
    }
}
