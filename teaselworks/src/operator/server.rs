//! Routes of the operators' port.

use std::sync::Arc;

use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler};
use teaselworks_config::settings::RouterSettings;
use teaselworks_policy::membership::{Place, owner_of};

use super::status::{RouterStatus, Status, UpstreamStatus};
use crate::caller::health;
use crate::daemon::FleetView;
use crate::dispatch::Dispatcher;
use crate::kernel::{Shutdown, ShutdownPhase};
use crate::metrics::Metrics;
use crate::owner::Owner;

/// Services that the operators' port shows.
pub struct OperatorParts {
    /// Who and where the router is.
    pub router: RouterSettings,
    /// Incarnation of the router.
    pub incarnation: u64,
    /// The fleet as this router sees it.
    pub fleet: FleetView,
    /// Requests of callers.
    pub dispatcher: Arc<Dispatcher>,
    /// Own replicas.
    pub owner: Arc<Owner>,
    /// Instruments.
    pub metrics: Arc<Metrics>,
    /// Phase of a planned stop.
    pub shutdown: Shutdown,
}

/// Returns the routes of the operators' port, to which services add theirs.
pub fn routes(parts: Arc<OperatorParts>) -> Route {
    Route::new()
        .at("/health", get(health_check.data(parts.clone())))
        .at("/ready", get(ready.data(parts.clone())))
        .at("/metrics", get(metrics.data(parts.clone())))
        .at("/status", get(status.data(parts.clone())))
        .at("/v1/upstreams", get(upstreams.data(parts)))
}

#[handler]
fn health_check(parts: Data<&Arc<OperatorParts>>) -> Response {
    health(&parts.shutdown)
}

/// Answers 200 once requests can be served: a configuration is in force, and the other routers
/// count on this one.
#[handler]
fn ready(parts: Data<&Arc<OperatorParts>>) -> Response {
    let configured = parts.dispatcher.routing().numbered.version > 0;
    let confirmed = parts.fleet.is_confirmed();
    let (code, text) = match (configured, confirmed) {
        (true, true) => (StatusCode::OK, "ready\n"),
        (false, _) => (StatusCode::SERVICE_UNAVAILABLE, "no configuration in force\n"),
        (true, false) => {
            (StatusCode::SERVICE_UNAVAILABLE, "the other routers do not count on this one yet\n")
        }
    };
    Response::builder().status(code).body(text)
}

#[handler]
fn metrics(parts: Data<&Arc<OperatorParts>>) -> Response {
    let text = parts.metrics.to_text();
    Response::builder().content_type("text/plain; version=0.0.4").body(text)
}

#[handler]
fn status(parts: Data<&Arc<OperatorParts>>) -> Response {
    let mut routers = Vec::new();
    for router in parts.fleet.view().routers() {
        routers.push(RouterStatus {
            name: router.name.clone(),
            zone: router.place.zone.clone(),
            state: router.state.as_str(),
        });
    }
    let status = Status {
        router: parts.router.name.clone(),
        incarnation: parts.incarnation,
        region: parts.router.region.clone(),
        zone: parts.router.zone.clone(),
        phase: phase(parts.shutdown.phase()),
        configuration_version: parts.dispatcher.routing().numbered.version,
        owned_attempts: parts.owner.attempts(),
        routers,
    };
    Json(status).into_response()
}

#[handler]
async fn upstreams(parts: Data<&Arc<OperatorParts>>) -> Response {
    let mut roles = parts.owner.roles_in_force().await;
    let view = parts.fleet.view();
    let routing = parts.dispatcher.routing();
    let placement = parts.dispatcher.placement();
    let mut rows = Vec::new();
    for (name, upstream) in &routing.numbered.configuration.upstreams {
        let place = Place { region: upstream.region.clone(), zone: upstream.zone.clone() };
        let load_tokens = placement.load_tokens(name);
        let mean_tokens = placement.mean_tokens(&placement.pool_of(name, upstream));
        rows.push(UpstreamStatus {
            name: name.clone(),
            serves: upstream.serves.clone(),
            zone: upstream.zone.clone(),
            owner: owner_of(&view, name, Some(&place)).map(|owner| owner.name.clone()),
            load_tokens,
            skew: (mean_tokens > 0.0).then(|| load_tokens as f64 / mean_tokens),
            role: Some(upstream.role.clone()).filter(|role| !role.is_empty()),
            role_in_force: roles.remove(name),
            leaving: upstream.leaving || parts.fleet.is_leaving(name),
        });
    }
    Json(rows).into_response()
}

fn phase(phase: ShutdownPhase) -> &'static str {
    match phase {
        ShutdownPhase::Running => "running",
        ShutdownPhase::Notice => "notice",
        ShutdownPhase::Draining => "draining",
        ShutdownPhase::Stopped => "stopped",
    }
}
