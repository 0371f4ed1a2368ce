//! The numbered configuration of the fleet: workspaces, models, upstreams and policy.

mod check;
pub mod chunk;
mod difference;
mod encoding;
pub mod history;
pub mod key;
pub mod patch;
mod roles;
mod window;

use std::collections::BTreeMap;
use std::sync::Arc;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use teaselworks_policy::name::Name;
use teaselworks_policy::verdict::Priority;

pub use self::encoding::DecodeError;
use self::key::KeyDigest;
use crate::fault::{Fault, Finding};

/// Everything that operators decide for the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Configuration {
    /// Teams that send requests, by name. As there may be very many, two versions share what they
    /// have in common: entries, and the nodes of the map that hold only such entries.
    #[serde(deserialize_with = "encoding::read_workspaces")]
    pub workspaces: OrdMap<Name, Arc<Workspace>>,
    /// Models that engines serve, by name.
    pub models: OrdMap<Name, Model>,
    /// Replicas of engines and services, by name.
    pub upstreams: OrdMap<Name, Upstream>,
    /// Plain services, by name.
    pub services: OrdMap<Name, Service>,
    /// Limits that hold for the whole fleet.
    pub policy: PolicyConfiguration,
}

/// Returns everything in `configuration` that cannot work; empty: nothing.
///
/// ```
/// use teaselworks_config::configuration::{Configuration, validate};
///
/// let mut configuration = Configuration::default();
/// configuration.policy.bound_multiple = 0.5;
/// assert_eq!(validate(&configuration)[0].field, "policy.bound_multiple");
/// ```
pub fn validate(configuration: &Configuration) -> Vec<Fault> {
    check::findings(configuration).into_iter().map(Finding::unplaced).collect()
}

impl Configuration {
    /// Returns the role that a workspace's chats with a model ask for; empty: none.
    ///
    /// ```
    /// use teaselworks_config::configuration::{Configuration, Model};
    ///
    /// let mut configuration = Configuration::default();
    /// let model = Model { role: "commentary".into(), ..Model::default() };
    /// configuration.models.insert("ballad".into(), model);
    /// assert_eq!(&*configuration.role_of_chats("archive", "ballad"), "commentary");
    /// ```
    pub fn role_of_chats(&self, workspace: &str, model: &str) -> Name {
        let own = self.workspaces.get(workspace).and_then(|known| known.roles.get(model));
        let role = own.or_else(|| self.models.get(model).map(|known| &known.role));
        role.cloned().unwrap_or_default()
    }
}

/// Keeps members of the default value out of the encoded form, which is far smaller without them.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A configuration and its number.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NumberedConfiguration {
    /// Number of the configuration; 0 before the first patch.
    pub version: u64,
    /// What is in force.
    pub configuration: Configuration,
}

/// A team that sends requests and is charged for them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Workspace {
    /// SHA-256 digests of the workspace's keys, in lower-case hexadecimal.
    #[serde(skip_serializing_if = "is_default")]
    pub key_digests: Vec<KeyDigest>,
    /// Models the workspace may use; empty: all.
    #[serde(skip_serializing_if = "is_default")]
    pub models: Vec<Name>,
    /// Services the workspace may use; empty: all.
    #[serde(skip_serializing_if = "is_default")]
    pub services: Vec<Name>,
    /// Role that the workspace's chats ask for, by model; other models' own roles hold.
    #[serde(skip_serializing_if = "is_default")]
    pub roles: BTreeMap<Name, Name>,
    /// Priority of a request that names none, and the highest it may name.
    #[serde(skip_serializing_if = "is_default")]
    pub priority: Priority,
    /// Share of an engine's queue relative to other workspaces of the priority; 0 stands for 1.
    #[serde(skip_serializing_if = "is_default")]
    pub weight: u32,
    /// Limits on the workspace's rates, for the whole fleet.
    #[serde(skip_serializing_if = "is_default")]
    pub limits: WorkspaceLimits,
    /// Tokens the workspace may use in a period; `None`: no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub budget: Option<Budget>,
}

/// Limits on a workspace's rates; `None`: no limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkspaceLimits {
    /// Requests a second.
    #[serde(skip_serializing_if = "is_default")]
    pub requests_per_s: Option<f64>,
    /// Tokens a second, prompt and answer together.
    #[serde(skip_serializing_if = "is_default")]
    pub tokens_per_s: Option<f64>,
    /// Requests in progress at once.
    #[serde(skip_serializing_if = "is_default")]
    pub concurrent_requests: Option<u32>,
}

/// Tokens that a workspace may use in a period.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Tokens, prompt and answer together.
    pub tokens: u64,
    /// Length of the period; periods begin at multiples of it since 1970.
    pub period_ms: u64,
}

/// A model that engines serve.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// Version that engines are to load; empty: whatever they hold.
    #[serde(skip_serializing_if = "is_default")]
    pub version: Name,
    /// Adapters of the model and the version of each.
    #[serde(skip_serializing_if = "is_default")]
    pub adapters: BTreeMap<Name, Name>,
    /// Whether an answer can be reproduced, so that a broken one may be generated again.
    #[serde(skip_serializing_if = "is_default")]
    pub reproducible: bool,
    /// Whether engines go on with a broken answer after a given number of its tokens.
    #[serde(skip_serializing_if = "is_default")]
    pub resumes: bool,
    /// Whether a chat has side effects and must run at most once.
    #[serde(skip_serializing_if = "is_default")]
    pub at_most_once: bool,
    /// Replicas that must go on serving while a version is rolled out.
    #[serde(skip_serializing_if = "is_default")]
    pub serving_replicas: u32,
    /// Role that chats ask for whose workspace names none; empty: engines without a role.
    #[serde(skip_serializing_if = "is_default")]
    pub role: Name,
}

/// What kind of upstream a replica is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// One replica of an engine or service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Engine or service.
    pub kind: UpstreamKind,
    /// Model that an engine serves, or service that a service replica belongs to.
    pub serves: Name,
    /// Base URL.
    pub url: String,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub zone: Name,
    /// Whether the upstream gets no new work.
    #[serde(default, skip_serializing_if = "is_default")]
    pub leaving: bool,
    /// Whether an engine refuses orders that carry an old fencing number.
    #[serde(default, skip_serializing_if = "is_default")]
    pub checks_fencing: bool,
    /// Whether an engine's events do not end their id with the request's `x-request-id`; answers
    /// that an engine crossed between two chats can then be told only while their id changes.
    #[serde(default, skip_serializing_if = "is_default")]
    pub anonymous_events: bool,
    /// Role that an engine is to have; empty: whatever it has, for chats that ask for none.
    #[serde(default, skip_serializing_if = "is_default")]
    pub role: Name,
}

/// A plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// Calls that may not be repeated; matched in order, all others are idempotent.
    #[serde(skip_serializing_if = "is_default")]
    pub non_idempotent: Vec<CallPattern>,
}

/// Matches calls of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallPattern {
    /// HTTP method in upper case.
    pub method: String,
    /// Prefix of the path after the service's own.
    pub path_prefix: String,
}

/// Limits that hold for the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicyConfiguration {
    /// Largest load of a replica as a multiple of the mean.
    pub bound_multiple: f64,
    /// Load that a replica may always carry whatever the mean, in tokens.
    pub bound_floor_tokens: u64,
    /// Requests that may wait at one replica, each priority by itself.
    pub queue_requests: u32,
    /// Requests that may run at one engine at once.
    pub running_requests: u32,
    /// Retries allowed as a share of requests.
    pub retry_ratio: f64,
    /// Retries allowed to a workspace at once before the ratio counts.
    pub retry_burst: u32,
    /// How long outcomes of at-most-once calls are kept.
    pub once_retention_ms: u64,
    /// Weight downloads that may run at once.
    pub weight_loads: u32,
}

impl Default for PolicyConfiguration {
    fn default() -> Self {
        Self {
            bound_multiple: 1.25,
            bound_floor_tokens: 8_192,
            queue_requests: 64,
            running_requests: 32,
            retry_ratio: 0.1,
            retry_burst: 10,
            once_retention_ms: 86_400_000,
            weight_loads: 2,
        }
    }
}
