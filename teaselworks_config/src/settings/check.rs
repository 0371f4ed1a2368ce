//! Finds settings that are well-formed but cannot work, alone or together.

use std::net::SocketAddr;

use super::{
    LinkSettings, ListenSettings, MembershipSettings, PlatformSettings, RuntimeSettings, Settings,
};
use crate::fault::{FieldPath, Finding};
use crate::{name, url};

/// Shortest secret of links, in characters.
const SECRET_LENGTH_MIN: usize = 16;
/// Smallest frame between routers that still holds any message head.
const FRAME_SIZE_MIN_BYTES: u32 = 4 << 10;
/// Largest frame between routers.
const FRAME_SIZE_MAX_BYTES: u32 = 16 << 20;
/// Smallest limit on request headers that ordinary HTTP clients keep.
const HEADER_SIZE_MIN_BYTES: u32 = 1 << 10;

/// Most threads of a router; each holds memory of its own.
const WORKER_THREADS_MAX: u32 = 64;

/// Returns everything that cannot work.
pub(super) fn findings(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_router(settings, &mut findings);
    check_listen(&settings.listen, &mut findings);
    check_links(&settings.links, &mut findings);
    check_platform(&settings.platform, &mut findings);
    check_vm_list(settings, &mut findings);
    check_limits(settings, &mut findings);
    check_membership(&settings.membership, &mut findings);
    check_runtime(&settings.runtime, &mut findings);
    findings
}

fn check_runtime(runtime: &RuntimeSettings, findings: &mut Vec<Finding>) {
    if runtime.worker_threads > WORKER_THREADS_MAX {
        let path = FieldPath::of(&["runtime", "worker_threads"]);
        findings.push(Finding::new(path, format!("is above {WORKER_THREADS_MAX}")));
    }
}

fn check_router(settings: &Settings, findings: &mut Vec<Finding>) {
    let router = &settings.router;
    for (field, value) in
        [("name", &router.name), ("region", &router.region), ("zone", &router.zone)]
    {
        if let Some(problem) = name::problem(value) {
            findings.push(Finding::new(FieldPath::of(&["router", field]), problem));
        }
    }
}

fn check_listen(listen: &ListenSettings, findings: &mut Vec<Finding>) {
    let path = FieldPath::of(&["listen"]);
    let addresses =
        [("callers", listen.callers), ("links", listen.links), ("operators", listen.operators)];
    for (position, (field, address)) in addresses.iter().enumerate() {
        for (earlier_field, earlier) in &addresses[..position] {
            if !collide(*address, *earlier) {
                continue;
            }
            findings.push(
                Finding::new(path.key(field), format!("is the same address as {earlier_field}"))
                    .with(path.key(earlier_field)),
            );
        }
    }
    let advertised = path.key("links_advertised");
    match listen.links_advertised {
        // Other routers would be told to connect to "any address", reach themselves, and see a
        // fleet of one.
        None if listen.links.ip().is_unspecified() => {
            findings.push(
                Finding::new(advertised, "is missing, and links listens on every address")
                    .with(path.key("links")),
            );
        }
        Some(address) if address.ip().is_unspecified() || address.port() == 0 => {
            findings.push(Finding::new(advertised, "is no address that others can connect to"));
        }
        _ => {}
    }
}

fn collide(one: SocketAddr, other: SocketAddr) -> bool {
    let same_ip =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && same_ip
}

fn check_links(links: &LinkSettings, findings: &mut Vec<Finding>) {
    let path = FieldPath::of(&["links"]);
    if links.secret.chars().count() < SECRET_LENGTH_MIN {
        let problem = format!("has fewer than {SECRET_LENGTH_MIN} characters");
        findings.push(Finding::new(path.key("secret"), problem));
    }
    require_positive(&path.key("connect_timeout_ms"), links.connect_timeout_ms, findings);
    require_positive(&path.key("probe_timeout_ms"), links.probe_timeout_ms, findings);
    require_positive(&path.key("idle_timeout_ms"), links.idle_timeout_ms, findings);
    require_positive(&path.key("streams"), links.streams.into(), findings);
    require_positive(&path.key("quiet_close_ms"), links.quiet_close_ms, findings);
    let window = path.key("stream_window_bytes");
    // One stream could use up the link's memory within its window, and stall all others.
    if links.memory_bytes < links.stream_window_bytes {
        let problem =
            format!("is below stream_window_bytes, which is {}", links.stream_window_bytes);
        findings.push(Finding::new(path.key("memory_bytes"), problem).with(window.clone()));
    }
    let frame_size = path.key("frame_size_bytes");
    if !(FRAME_SIZE_MIN_BYTES..=FRAME_SIZE_MAX_BYTES).contains(&links.frame_size_bytes) {
        let problem = format!("is not in {FRAME_SIZE_MIN_BYTES} to {FRAME_SIZE_MAX_BYTES}");
        findings.push(Finding::new(frame_size.clone(), problem));
    }
    // A frame larger than the window could never be sent: the stream would wait for ever.
    if links.frame_size_bytes > links.stream_window_bytes {
        let problem =
            format!("is above stream_window_bytes, which is {}", links.stream_window_bytes);
        findings.push(Finding::new(frame_size, problem).with(window));
    }
}

fn check_platform(platform: &PlatformSettings, findings: &mut Vec<Finding>) {
    let path = FieldPath::of(&["platform"]);
    let endpoints = path.key("endpoints");
    if platform.endpoints.is_empty() {
        findings.push(Finding::new(endpoints.clone(), "is empty"));
    }
    for (index, endpoint) in platform.endpoints.iter().enumerate() {
        if let Some(problem) = url::problem(endpoint) {
            findings.push(Finding::new(endpoints.index(index), problem));
        }
    }
    if platform.prefix.is_empty() {
        findings.push(Finding::new(path.key("prefix"), "is empty"));
    }
    require_positive(&path.key("timeout_ms"), platform.timeout_ms, findings);
    require_positive(&path.key("fleet_watches"), platform.fleet_watches.into(), findings);
    let rates =
        [("calls_per_s", platform.calls_per_s), ("fleet_calls_per_s", platform.fleet_calls_per_s)];
    for (field, rate) in rates {
        if !(rate.is_finite() && rate > 0.0) {
            findings.push(Finding::new(path.key(field), "is not above zero"));
        }
    }
}

fn check_vm_list(settings: &Settings, findings: &mut Vec<Finding>) {
    let path = FieldPath::of(&["vm_list"]);
    if let Some(problem) = url::problem(&settings.vm_list.url) {
        findings.push(Finding::new(path.key("url"), problem));
    }
    require_positive(&path.key("poll_ms"), settings.vm_list.poll_ms, findings);
}

fn check_limits(settings: &Settings, findings: &mut Vec<Finding>) {
    let limits = &settings.limits;
    let path = FieldPath::of(&["limits"]);
    require_positive(&path.key("body_size_bytes"), limits.body_size_bytes, findings);
    let service_body = path.key("service_body_size_bytes");
    require_positive(&service_body, limits.service_body_size_bytes, findings);
    require_positive(&path.key("body_timeout_ms"), limits.body_timeout_ms, findings);
    require_positive(&path.key("default_deadline_ms"), limits.default_deadline_ms, findings);
    require_positive(&path.key("requests"), limits.requests.into(), findings);
    if limits.header_size_bytes < HEADER_SIZE_MIN_BYTES {
        let problem = format!("is below {HEADER_SIZE_MIN_BYTES}");
        findings.push(Finding::new(path.key("header_size_bytes"), problem));
    }
    let longest = path.key("longest_deadline_ms");
    if limits.default_deadline_ms > limits.longest_deadline_ms {
        let problem =
            format!("is above longest_deadline_ms, which is {}", limits.longest_deadline_ms);
        findings.push(Finding::new(path.key("default_deadline_ms"), problem).with(longest.clone()));
    }
    let drain = FieldPath::of(&["stop", "drain_ms"]);
    // A request that may run longer than the drain would be cut by a planned stop.
    if settings.stop.drain_ms < limits.longest_deadline_ms {
        let problem = format!(
            "is below limits.longest_deadline_ms, which is {}: a planned stop would cut requests",
            limits.longest_deadline_ms
        );
        findings.push(Finding::new(drain, problem).with(longest));
    }
}

fn check_membership(membership: &MembershipSettings, findings: &mut Vec<Finding>) {
    let path = FieldPath::of(&["membership"]);
    let interval = path.key("probe_interval_ms");
    require_positive(&interval, membership.probe_interval_ms, findings);
    require_positive(&path.key("probe_timeout_ms"), membership.probe_timeout_ms, findings);
    if membership.probe_timeout_ms >= membership.probe_interval_ms {
        let problem =
            format!("is not below probe_interval_ms, which is {}", membership.probe_interval_ms);
        let finding = Finding::new(path.key("probe_timeout_ms"), problem);
        findings.push(finding.with(interval.clone()));
    }
    // A live router hears of the suspicion with the next probes; with less time than one interval
    // it would be taken for dead before it can answer.
    if membership.suspicion_ms < membership.probe_interval_ms {
        let problem =
            format!("is below probe_interval_ms, which is {}", membership.probe_interval_ms);
        findings.push(Finding::new(path.key("suspicion_ms"), problem).with(interval));
    }
}

fn require_positive(path: &FieldPath, value: u64, findings: &mut Vec<Finding>) {
    if value == 0 {
        findings.push(Finding::new(path.clone(), "is zero"));
    }
}
