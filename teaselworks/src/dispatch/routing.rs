//! Tables made from a configuration when it comes into force.

use std::sync::Arc;

use teaselworks_config::configuration::key::KeyIndex;
use teaselworks_config::configuration::{NumberedConfiguration, Upstream, UpstreamKind};
use teaselworks_policy::membership::Place;
use teaselworks_policy::name::Name;

/// A configuration and what is looked up in it for each request.
#[derive(Debug)]
pub struct Routing {
    /// The configuration and its number.
    pub numbered: Arc<NumberedConfiguration>,
    /// Workspaces by key.
    pub keys: KeyIndex,
}

impl Routing {
    /// Makes the tables of a configuration.
    pub fn new(numbered: Arc<NumberedConfiguration>) -> Self {
        let keys = KeyIndex::new(&numbered.configuration);
        Self { numbered, keys }
    }

    /// Makes the tables of a configuration that comes after this one.
    pub fn following(&self, numbered: Arc<NumberedConfiguration>) -> Self {
        let keys = self.keys.following(&self.numbered.configuration, &numbered.configuration);
        Self { numbered, keys }
    }

    /// Returns where a replica runs.
    pub fn place_of(&self, replica: &str) -> Option<Place> {
        let upstream = self.numbered.configuration.upstreams.get(replica)?;
        Some(Place { region: upstream.region.clone(), zone: upstream.zone.clone() })
    }
}

/// Returns the pool name of a service, which cannot be the name of a model.
pub fn serves_of_service(service: &str) -> Name {
    format!("service/{service}").into()
}

/// Returns the pool of the engines of a model that are in a role; without one, that of the engines
/// without a role. A space is part of no name.
pub fn serves_of_role(model: &Name, role: &str) -> Name {
    match role.is_empty() {
        true => model.clone(),
        false => format!("{model} {role}").into(),
    }
}

/// Returns the pool of all engines of a model that have a role, whichever.
pub fn serves_of_any_role(model: &str) -> Name {
    format!("{model} *").into()
}

/// Returns the pool that an upstream is to belong to.
pub fn serves_of(upstream: &Upstream) -> Name {
    match upstream.kind {
        UpstreamKind::Engine => serves_of_role(&upstream.serves, &upstream.role),
        UpstreamKind::Service => serves_of_service(&upstream.serves),
    }
}
