//! Reads from the configuration what engines are to hold, and in which role.

use std::collections::BTreeMap;

use teaselworks_config::configuration::{Configuration, Upstream, UpstreamKind};
use teaselworks_policy::name::Name;
use teaselworks_policy::orders::{Goal, ModelGoal};

/// What engines are to hold, and where they are.
#[derive(Debug, Default)]
pub struct Wanted {
    /// Goal of the rollout.
    pub goal: Goal,
    /// Base URL of each engine with a goal, by name.
    pub urls: BTreeMap<Name, String>,
}

/// Tells whether engines are to hold a version, or to have a role.
pub fn is_wanted(configuration: &Configuration) -> bool {
    let has_version = configuration.models.values().any(|model| !model.version.is_empty());
    has_version || configuration.upstreams.values().any(has_role)
}

fn has_role(upstream: &Upstream) -> bool {
    upstream.kind == UpstreamKind::Engine && !upstream.role.is_empty()
}

/// Returns what engines are to hold; those of a model without a version hold what they hold.
pub fn wanted(configuration: &Configuration) -> Wanted {
    let mut wanted = Wanted::default();
    wanted.goal.weight_loads = configuration.policy.weight_loads;
    for (name, model) in &configuration.models {
        let mut upstreams = configuration.upstreams.values();
        let has_roles = upstreams.any(|upstream| upstream.serves == *name && has_role(upstream));
        if model.version.is_empty() && !has_roles {
            continue;
        }
        let goal = ModelGoal {
            version: model.version.clone(),
            adapters: model.adapters.clone(),
            serving_replicas: model.serving_replicas,
        };
        wanted.goal.models.insert(name.clone(), goal);
    }
    for (name, upstream) in &configuration.upstreams {
        let is_engine = upstream.kind == UpstreamKind::Engine;
        // One that leaves takes no work, so weights for it would be loaded for nothing.
        if !is_engine || upstream.leaving || !wanted.goal.models.contains_key(&upstream.serves) {
            continue;
        }
        wanted.goal.engines.insert(name.clone(), upstream.serves.clone());
        if has_role(upstream) {
            wanted.goal.roles.insert(name.clone(), upstream.role.clone());
        }
        wanted.urls.insert(name.clone(), upstream.url.clone());
    }
    wanted
}
