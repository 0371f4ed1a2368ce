//! What one router knows, as JSON for operators.

use serde::Serialize;
use teaselworks_policy::name::Name;

/// What one router knows of itself and the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the router.
    pub router: Name,
    /// Incarnation: wall clock at its start in milliseconds.
    pub incarnation: u64,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub zone: Name,
    /// Phase of a planned stop.
    pub phase: &'static str,
    /// Number of the configuration in force.
    pub configuration_version: u64,
    /// Attempts running and waiting at replicas that this router owns.
    pub owned_attempts: usize,
    /// The fleet as this router sees it.
    pub routers: Vec<RouterStatus>,
}

/// A router as another one sees it.
#[derive(Clone, Debug, Serialize)]
pub struct RouterStatus {
    /// Name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// State of its liveness.
    pub state: &'static str,
}

/// A replica as this router sees it.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamStatus {
    /// Name.
    pub name: Name,
    /// Model or service.
    pub serves: Name,
    /// Availability zone.
    pub zone: Name,
    /// Router that owns it.
    pub owner: Option<Name>,
    /// Load as last heard, in tokens.
    pub load_tokens: u64,
    /// Load as a multiple of its pool's mean; `None` when no mean is known.
    pub skew: Option<f64>,
    /// Role that it is to have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<Name>,
    /// Role in force as the engine shows it now; `None` while it changes or cannot be asked.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role_in_force: Option<Name>,
    /// Whether it gets no new work.
    pub leaving: bool,
}
