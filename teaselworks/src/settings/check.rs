//! Finds settings that are well-formed but cannot work, alone or together.

use std::net::SocketAddr;

use super::{BoundSettings, FieldPath, Finding, ListenSettings, Settings};

/// Fewest descriptors with which a router can serve: its listeners, the store and some connections.
const FILE_DESCRIPTORS_MIN: u32 = 64;

/// Returns everything that cannot work.
pub(super) fn findings(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (field, value) in [("name", &settings.router.name), ("zone", &settings.router.zone)] {
        if value.is_empty() {
            findings.push(Finding::new(FieldPath::of(&["router", field]), "is empty"));
        }
    }
    check_listen(&settings.listen, &mut findings);
    check_bounds(&settings.bounds, &mut findings);
    if settings.limits.file_descriptors < FILE_DESCRIPTORS_MIN {
        let path = FieldPath::of(&["limits", "file_descriptors"]);
        findings.push(Finding::new(path, format!("is below {FILE_DESCRIPTORS_MIN}")));
    }
    if settings.platform.shortest_lease_ms == 0 {
        let path = FieldPath::of(&["platform", "shortest_lease_ms"]);
        findings.push(Finding::new(path, "is zero"));
    }
    findings
}

fn check_listen(listen: &ListenSettings, findings: &mut Vec<Finding>) {
    let path = FieldPath::of(&["listen"]);
    let mut seen: Vec<(&str, SocketAddr)> = Vec::new();
    let peers = listen.peers.map(|address| ("peers", address));
    let others =
        [("callers", listen.callers), ("health", listen.health), ("metrics", listen.metrics)];
    for (field, address) in others.into_iter().chain(peers) {
        let same = seen.iter().find(|(_, other)| *other == address && address.port() != 0);
        if let Some((other, _)) = same {
            let problem = format!("is the address of {other} too");
            findings.push(Finding::new(path.key(field), problem).with(path.key(other)));
        }
        seen.push((field, address));
    }
}

fn check_bounds(bounds: &BoundSettings, findings: &mut Vec<Finding>) {
    let path = FieldPath::of(&["bounds"]);
    let positive = [
        ("stop_grace_s", bounds.stop_grace_s),
        ("retry_window_s", bounds.retry_window_s),
        ("configuration_ms", bounds.configuration_ms as f64),
        ("draining_ms", bounds.draining_ms as f64),
    ];
    for (field, value) in positive {
        if !(value > 0.0 && value.is_finite()) {
            findings.push(Finding::new(path.key(field), "is not above zero"));
        }
    }
    for (field, value) in [("retry_ratio", bounds.retry_ratio), ("retry_slack", bounds.retry_slack)]
    {
        if !(value >= 0.0 && value.is_finite()) {
            findings.push(Finding::new(path.key(field), "is below zero"));
        }
    }
    if !(bounds.load_factor >= 1.0 && bounds.load_factor.is_finite()) {
        findings.push(Finding::new(path.key("load_factor"), "is below one"));
    }
}
