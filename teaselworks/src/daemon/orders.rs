//! Builds and starts the service that gives orders to engines.

use std::io::Cursor;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use teaselworks_policy::membership::{Place, owner_of};
use teaselworks_policy::orders::Release;
use teaselworks_wire::message::Purpose;

use super::control::ControlTable;

use super::fleet::FleetView;
use super::serve::peer_call;
use super::services::{Base, LINKS, METRICS, OWNER};
use crate::kernel::{Registry, ServiceError};
use crate::link::ControlRequest;
use crate::orders::{ORDERS, OrdersParts, OrdersService, ReleaseCall};
use crate::owner::{ReleaseAnswer, ReleaseMessage};
use crate::platform::PLATFORM;
use crate::store::STORE;

/// What the router that tries to hold the orders is picked by: one in the fleet, not all.
const ORDERS_OWNED: &str = "orders";

/// Time for an owner's answer.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Registers and starts the service of orders, and lets owners follow the roles of engines.
pub fn register(
    registry: &Registry,
    base: &Base,
    fleet: &FleetView,
    control: &ControlTable,
) -> Result<(), ServiceError> {
    let owner = registry.find(&OWNER)?;
    owner.start_roles(base.shutdown.clone());
    control.set(
        Purpose::Orders,
        Box::new(move |request: ControlRequest| {
            if let Some(answer) = owner.answer_release(&request.bytes) {
                // The asker may be gone, which is for it to notice.
                let _ = request.answer.send(answer);
            }
        }),
    );
    let release = release_call(registry, base, fleet)?;
    let store = registry.find(&STORE)?;
    let (fleet, router) = (fleet.clone(), base.settings.router.name.clone());
    let is_elected = move || {
        let view = fleet.view();
        let owner = owner_of(&view, ORDERS_OWNED, None);
        fleet.is_confirmed() && owner.is_some_and(|owner| owner.name == router)
    };
    let service = OrdersService::new(OrdersParts {
        router: base.settings.router.name.clone(),
        incarnation: base.incarnation,
        is_elected: Arc::new(is_elected),
        configuration: Arc::new(move || store.current()),
        release,
        platform: registry.find(&PLATFORM)?,
        clock: base.clock.clone(),
        metrics: registry.find(&METRICS)?,
    });
    registry.register(&ORDERS, service.clone())?;
    service.start(&base.shutdown);
    Ok(())
}

/// Lets the holder of the orders ask whichever router owns an engine.
fn release_call(
    registry: &Registry,
    base: &Base,
    fleet: &FleetView,
) -> Result<ReleaseCall, ServiceError> {
    let store = registry.find(&STORE)?;
    let owner = registry.find(&OWNER)?;
    let call = peer_call(fleet, registry.find(&LINKS)?, Purpose::Orders);
    let (fleet, router) = (fleet.clone(), base.settings.router.name.clone());
    Ok(Arc::new(move |release: Release| {
        let upstream = store.current().configuration.upstreams.get(&release.engine).cloned();
        let place = upstream.map(|upstream| Place { region: upstream.region, zone: upstream.zone });
        let asked = owner_of(&fleet.view(), &release.engine, place.as_ref())
            .map(|owner| owner.name.clone());
        let (owner, call, router) = (owner.clone(), call.clone(), router.clone());
        Box::pin(async move {
            let asked = asked?;
            if asked == router {
                return owner.release(&release);
            }
            let answer = call(asked, release_message(release), RELEASE_TIMEOUT).await?;
            let answer: ReleaseAnswer = ciborium::from_reader(Cursor::new(&answer[..])).ok()?;
            answer.attempts
        })
    }))
}

fn release_message(release: Release) -> Bytes {
    let message = ReleaseMessage { engine: release.engine, role: release.role };
    let mut bytes = Vec::new();
    ciborium::into_writer(&message, &mut bytes).expect("writing to memory cannot fail");
    bytes.into()
}
