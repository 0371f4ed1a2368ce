//! Settings of one router process, read once at its start.

mod check;
mod load;

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use teaselworks_policy::name::Name;

/// All settings of one router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who and where the router is.
    pub router: RouterSettings,
    /// Addresses that the router listens on.
    pub listen: ListenSettings,
    /// Links to other routers.
    pub links: LinkSettings,
    /// The platform's key-value service.
    pub platform: PlatformSettings,
    /// The platform's list of VMs.
    pub vm_list: VmListSettings,
    /// Limits on what callers send.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Liveness of routers.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// How the router stops.
    #[serde(default)]
    pub stop: StopSettings,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
    /// Threads of the process.
    #[serde(default)]
    pub runtime: RuntimeSettings,
}

/// Who and where the router is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name, unique in the fleet.
    pub name: Name,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub zone: Name,
}

/// Addresses that the router listens on; port 0 takes a free one and logs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers' HTTP requests.
    pub callers: SocketAddr,
    /// Links from other routers.
    pub links: SocketAddr,
    /// Operators' HTTP requests: status, metrics, patches.
    pub operators: SocketAddr,
    /// Address that other routers use for links, where it differs from `links`.
    #[serde(default)]
    pub links_advertised: Option<SocketAddr>,
}

/// Links to other routers.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// Secret shared by all routers, at least 16 characters.
    pub secret: String,
    /// Time to connect and prove the secret.
    #[serde(default = "default_connect_timeout_ms")]
    pub connect_timeout_ms: u64,
    /// A peer that stays silent for this long after it was asked for a sign of life gets no new
    /// requests until it says something.
    #[serde(default = "default_probe_timeout_ms")]
    pub probe_timeout_ms: u64,
    /// A link that carries nothing for this long while an answer is awaited is given up.
    #[serde(default = "default_idle_timeout_ms")]
    pub idle_timeout_ms: u64,
    /// Bytes one stream may have on its way before the receiver has taken them.
    #[serde(default = "default_stream_window_bytes")]
    pub stream_window_bytes: u32,
    /// Largest frame.
    #[serde(default = "default_frame_size_bytes")]
    pub frame_size_bytes: u32,
    /// Streams open at once on one link.
    #[serde(default = "default_streams")]
    pub streams: u32,
    /// Bytes that all streams of one link may hold before their receivers have taken them.
    #[serde(default = "default_link_memory_bytes")]
    pub memory_bytes: u32,
    /// A link without streams or control messages for this long is closed.
    #[serde(default = "default_quiet_close_ms")]
    pub quiet_close_ms: u64,
}

impl fmt::Debug for LinkSettings {
    // Leaves the secret out: settings end up in logs and panics, and whoever reads those could
    // then join the fleet as a router.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkSettings")
            .field("connect_timeout_ms", &self.connect_timeout_ms)
            .field("probe_timeout_ms", &self.probe_timeout_ms)
            .field("idle_timeout_ms", &self.idle_timeout_ms)
            .field("stream_window_bytes", &self.stream_window_bytes)
            .field("frame_size_bytes", &self.frame_size_bytes)
            .field("streams", &self.streams)
            .field("memory_bytes", &self.memory_bytes)
            .field("quiet_close_ms", &self.quiet_close_ms)
            .finish_non_exhaustive()
    }
}

/// The platform's key-value service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URLs, tried in order.
    pub endpoints: Vec<String>,
    /// Prefix of every key that the fleet uses.
    #[serde(default = "default_prefix")]
    pub prefix: String,
    /// Time for one call.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
    /// Calls a second this router may make at most, all purposes together.
    #[serde(default = "default_calls_per_s")]
    pub calls_per_s: f64,
    /// Calls a second that the whole fleet may make, divided by the routers that one sees.
    #[serde(default = "default_fleet_calls_per_s")]
    pub fleet_calls_per_s: f64,
    /// Waiting watches the whole fleet may hold; other routers learn versions from peers.
    #[serde(default = "default_fleet_watches")]
    pub fleet_watches: u32,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmListSettings {
    /// URL that answers with the list as JSON.
    pub url: String,
    /// Time between reads by a router that is by itself; a fleet reads in turns, three times in
    /// this time altogether.
    #[serde(default = "default_vm_list_poll_ms")]
    pub poll_ms: u64,
}

/// Limits on what callers send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest request body that is held whole: of a chat, or of a call that runs at most once.
    pub body_size_bytes: u64,
    /// Largest body of any other call to a plain service, which is sent on while it arrives.
    pub service_body_size_bytes: u64,
    /// Largest sum of request header sizes.
    pub header_size_bytes: u32,
    /// Time for a body that is held whole to arrive, or for each 64 KiB of one that is sent on.
    pub body_timeout_ms: u64,
    /// Deadline of a request whose caller names none.
    pub default_deadline_ms: u64,
    /// Latest deadline a caller may ask for.
    pub longest_deadline_ms: u64,
    /// Requests from callers in progress at once.
    pub requests: u32,
}

/// Liveness of routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Time between probes.
    pub probe_interval_ms: u64,
    /// Time for a probe's answer.
    pub probe_timeout_ms: u64,
    /// Time from suspicion to being taken for dead.
    pub suspicion_ms: u64,
    /// Routers asked to probe a silent one.
    pub indirect_probes: u32,
}

/// How the router stops.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Time between failing the health check and refusing new requests.
    pub notice_ms: u64,
    /// Longest wait for requests in progress.
    pub drain_ms: u64,
}

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}

/// Least severity that is logged.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// Failures and what an operator should look at.
    Warn,
    /// What an operator may want to know.
    #[default]
    Info,
    /// What a developer may want to know.
    Debug,
}

/// Log output, always to standard error: the VMs keep nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Form of the log.
    pub format: LogFormat,
    /// Least severity that is logged.
    pub level: LogLevel,
}

/// Threads of the process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuntimeSettings {
    /// Threads that carry requests, links and control; 0: one for each processor, four at most.
    pub worker_threads: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_size_bytes: 4 << 20,
            service_body_size_bytes: 64 << 20,
            header_size_bytes: 32 << 10,
            body_timeout_ms: 10_000,
            default_deadline_ms: 60_000,
            longest_deadline_ms: 600_000,
            requests: 4_096,
        }
    }
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            probe_timeout_ms: 200,
            suspicion_ms: 1_500,
            indirect_probes: 2,
        }
    }
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { notice_ms: 2_000, drain_ms: 600_000 }
    }
}

fn default_connect_timeout_ms() -> u64 {
    1_000
}

fn default_probe_timeout_ms() -> u64 {
    250
}

fn default_idle_timeout_ms() -> u64 {
    5_000
}

fn default_stream_window_bytes() -> u32 {
    64 << 10
}

fn default_frame_size_bytes() -> u32 {
    64 << 10
}

fn default_streams() -> u32 {
    8_192
}

fn default_link_memory_bytes() -> u32 {
    32 << 20
}

fn default_quiet_close_ms() -> u64 {
    300_000
}

fn default_prefix() -> String {
    "teaselworks/".into()
}

fn default_platform_timeout_ms() -> u64 {
    1_000
}

fn default_calls_per_s() -> f64 {
    20.0
}

fn default_fleet_calls_per_s() -> f64 {
    600.0
}

fn default_fleet_watches() -> u32 {
    16
}

fn default_vm_list_poll_ms() -> u64 {
    5_000
}
