//! Builds the service of limits and lets it reach the other routers.

use std::sync::Arc;

use teaselworks_wire::message::Purpose;

use super::control::ControlTable;
use super::fleet::FleetView;
use super::serve::peer_call;
use super::services::{Base, LINKS, METRICS};
use crate::kernel::{Registry, ServiceError};
use crate::limits::{LIMITS, LimitsParts, LimitsService};
use crate::link::ControlRequest;
use crate::store::STORE;

/// Registers and starts the service of limits.
pub fn register(
    registry: &Registry,
    base: &Base,
    fleet: &FleetView,
    control: &ControlTable,
) -> Result<(), ServiceError> {
    let store = registry.find(&STORE)?;
    let service = LimitsService::new(LimitsParts {
        router: base.settings.router.name.clone(),
        view: fleet.source(),
        configuration: Arc::new(move || store.current()),
        call: peer_call(fleet, registry.find(&LINKS)?, Purpose::Limits),
        clock: base.clock.clone(),
        metrics: registry.find(&METRICS)?,
        seed: base.seed,
    });
    registry.register(&LIMITS, service.clone())?;
    service.start(&base.shutdown);
    let handler = move |request: ControlRequest| {
        // A message without an answer is declined, and the asker may be gone.
        if let Some(answer) = service.handle(&request.bytes) {
            let _ = request.answer.send(answer);
        }
    };
    control.set(Purpose::Limits, Box::new(handler));
    Ok(())
}
