//! Validates settings that are well-formed: the range of each value, and conflicts between values.

use std::net::SocketAddr;

use super::{BoundSettings, FieldPath, ListenSettings, Settings, UnlocatedFault};

/// Minimum number of file descriptors for a router to serve requests: its listeners, its connection
/// to the store, and some connections of callers and to upstreams.
const MIN_FILE_DESCRIPTORS: u32 = 64;

/// Returns a fault for every invalid value.
pub(super) fn faults(settings: &Settings) -> Vec<UnlocatedFault> {
    let mut faults = Vec::new();
    for (field, value) in [("name", &settings.router.name), ("zone", &settings.router.zone)] {
        if value.is_empty() {
            faults.push(UnlocatedFault::new(FieldPath::from_keys(&["router", field]), "is empty"));
        }
    }
    check_listen(&settings.listen, &mut faults);
    check_bounds(&settings.bounds, &mut faults);
    if settings.limits.file_descriptors < MIN_FILE_DESCRIPTORS {
        let path = FieldPath::from_keys(&["limits", "file_descriptors"]);
        faults.push(UnlocatedFault::new(path, format!("is below {MIN_FILE_DESCRIPTORS}")));
    }
    if settings.platform.shortest_lease_ms == 0 {
        let path = FieldPath::from_keys(&["platform", "shortest_lease_ms"]);
        faults.push(UnlocatedFault::new(path, "is zero"));
    }
    faults
}

/// Reports listen addresses that occur twice; port 0 stands for any free port and never conflicts.
fn check_listen(listen: &ListenSettings, faults: &mut Vec<UnlocatedFault>) {
    let path = FieldPath::from_keys(&["listen"]);
    let mut seen: Vec<(&str, SocketAddr)> = Vec::new();
    let peers = listen.peers.map(|address| ("peers", address));
    let required =
        [("callers", listen.callers), ("health", listen.health), ("metrics", listen.metrics)];
    for (field, address) in required.into_iter().chain(peers) {
        let same = seen.iter().find(|(_, other)| *other == address && address.port() != 0);
        if let Some((other, _)) = same {
            let problem = format!("is the address of {other} too");
            faults.push(
                UnlocatedFault::new(path.child_key(field), problem)
                    .with_conflict(path.child_key(other)),
            );
        }
        seen.push((field, address));
    }
}

/// Reports bounds that are out of range or not finite.
fn check_bounds(bounds: &BoundSettings, faults: &mut Vec<UnlocatedFault>) {
    let path = FieldPath::from_keys(&["bounds"]);
    let positive = [
        ("stop_grace_s", bounds.stop_grace_s),
        ("retry_window_s", bounds.retry_window_s),
        ("configuration_ms", bounds.configuration_ms as f64),
        ("draining_ms", bounds.draining_ms as f64),
        ("evacuation_ms", bounds.evacuation_ms as f64),
    ];
    for (field, value) in positive {
        if !(value > 0.0 && value.is_finite()) {
            faults.push(UnlocatedFault::new(path.child_key(field), "is not above zero"));
        }
    }
    let not_negative = [
        ("retry_ratio", bounds.retry_ratio),
        ("retry_slack", bounds.retry_slack),
        ("cold_overshoot", bounds.cold_overshoot),
        ("cold_slack", bounds.cold_slack),
    ];
    for (field, value) in not_negative {
        if !(value >= 0.0 && value.is_finite()) {
            faults.push(UnlocatedFault::new(path.child_key(field), "is below zero"));
        }
    }
    if !(bounds.load_factor >= 1.0 && bounds.load_factor.is_finite()) {
        faults.push(UnlocatedFault::new(path.child_key("load_factor"), "is below one"));
    }
}
