//! Validates settings that are well-formed: the range of each value, and conflicts between values.

use std::net::SocketAddr;

use super::{BoundSettings, FieldPath, Finding, ListenSettings, Settings};

/// Minimum number of file descriptors for a router to serve requests: its listeners, its connection
/// to the store, and some connections of callers and to upstreams.
const MIN_FILE_DESCRIPTORS: u32 = 64;

/// Returns a finding for every invalid value.
pub(super) fn findings(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (field, value) in [("name", &settings.router.name), ("zone", &settings.router.zone)] {
        if value.is_empty() {
            findings.push(Finding::new(FieldPath::from_keys(&["router", field]), "is empty"));
        }
    }
    check_listen(&settings.listen, &mut findings);
    check_bounds(&settings.bounds, &mut findings);
    if settings.limits.file_descriptors < MIN_FILE_DESCRIPTORS {
        let path = FieldPath::from_keys(&["limits", "file_descriptors"]);
        findings.push(Finding::new(path, format!("is below {MIN_FILE_DESCRIPTORS}")));
    }
    if settings.platform.shortest_lease_ms == 0 {
        let path = FieldPath::from_keys(&["platform", "shortest_lease_ms"]);
        findings.push(Finding::new(path, "is zero"));
    }
    findings
}

/// Reports listen addresses that occur twice; port 0 stands for any free port and never conflicts.
fn check_listen(listen: &ListenSettings, findings: &mut Vec<Finding>) {
    let path = FieldPath::from_keys(&["listen"]);
    let mut seen: Vec<(&str, SocketAddr)> = Vec::new();
    let peers = listen.peers.map(|address| ("peers", address));
    let required =
        [("callers", listen.callers), ("health", listen.health), ("metrics", listen.metrics)];
    for (field, address) in required.into_iter().chain(peers) {
        let same = seen.iter().find(|(_, other)| *other == address && address.port() != 0);
        if let Some((other, _)) = same {
            let problem = format!("is the address of {other} too");
            findings.push(
                Finding::new(path.child_key(field), problem).with_conflict(path.child_key(other)),
            );
        }
        seen.push((field, address));
    }
}

/// Reports bounds that are out of range or not finite.
fn check_bounds(bounds: &BoundSettings, findings: &mut Vec<Finding>) {
    let path = FieldPath::from_keys(&["bounds"]);
    let positive = [
        ("stop_grace_s", bounds.stop_grace_s),
        ("retry_window_s", bounds.retry_window_s),
        ("configuration_ms", bounds.configuration_ms as f64),
        ("draining_ms", bounds.draining_ms as f64),
    ];
    for (field, value) in positive {
        if !(value > 0.0 && value.is_finite()) {
            findings.push(Finding::new(path.child_key(field), "is not above zero"));
        }
    }
    for (field, value) in [("retry_ratio", bounds.retry_ratio), ("retry_slack", bounds.retry_slack)]
    {
        if !(value >= 0.0 && value.is_finite()) {
            findings.push(Finding::new(path.child_key(field), "is below zero"));
        }
    }
    if !(bounds.load_factor >= 1.0 && bounds.load_factor.is_finite()) {
        findings.push(Finding::new(path.child_key("load_factor"), "is below one"));
    }
}
