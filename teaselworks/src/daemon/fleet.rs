//! Builds the membership service and lets the other services see the fleet through it.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_config::configuration::Configuration;
use teaselworks_policy::membership::{Duty, Identity, ListedState, Place, Standing, View};
use teaselworks_policy::name::Name;
use teaselworks_wire::message::Purpose;

use super::control::ControlTable;
use super::services::{Base, LINKS, METRICS, PLACEMENT};
use crate::dispatch::{Dispatcher, Placement};
use crate::kernel::{Registry, ServiceError, ShutdownPhase};
use crate::link::Peer;
use crate::membership::{MEMBERSHIP, MembershipParts, MembershipService, PeerAnswer};

/// Time between looks for upstreams that the platform's list shows as leaving.
const LEAVING_INTERVAL: Duration = Duration::from_millis(500);

/// Functions through which requests see the fleet.
#[derive(Clone)]
pub struct FleetView {
    service: Arc<MembershipService>,
}

impl FleetView {
    /// Returns the fleet as this router sees it.
    pub fn view(&self) -> Arc<View> {
        self.service.view()
    }

    /// Returns a function that gives the fleet as this router sees it.
    pub fn source(&self) -> Arc<dyn Fn() -> Arc<View> + Send + Sync> {
        let service = self.service.clone();
        Arc::new(move || service.view())
    }

    /// Takes note whether a peer could be reached.
    pub fn report(&self, router: &Name, answered: bool) {
        self.service.report(router, answered);
    }

    /// Tells what this router may do for a replica now.
    pub fn duty(&self, replica: &str) -> Duty {
        self.service.duty(replica)
    }

    /// Tells whether the other routers count on this one.
    pub fn is_confirmed(&self) -> bool {
        self.service.standing() == Standing::Confirmed
    }

    /// Tells whether this router knows the others, or that there are none.
    pub fn is_found(&self) -> bool {
        self.service.has_found_fleet()
    }

    /// Returns the number of routers that can be reached, this one among them.
    pub fn live_routers(&self) -> usize {
        let view = self.view();
        let live = view.routers().iter().filter(|router| router.state.is_reachable());
        live.count().max(1)
    }

    /// Tells whether the platform's list shows an upstream as leaving.
    pub fn is_leaving(&self, upstream: &str) -> bool {
        self.service.upstream_state(upstream) == ListedState::Leaving
    }

    /// Takes the replicas of a configuration, whose owners are followed from now on.
    pub fn apply(&self, configuration: &Configuration) {
        let replicas = configuration.upstreams.iter().map(|(name, upstream)| {
            let place = Place { region: upstream.region.clone(), zone: upstream.zone.clone() };
            (name.clone(), Some(place))
        });
        self.service.set_replicas(replicas);
    }
}

/// Registers and starts the membership service.
pub fn register(
    registry: &Registry,
    base: &Base,
    control: &ControlTable,
) -> Result<FleetView, ServiceError> {
    let links = registry.find(&LINKS)?;
    let listen = &base.settings.listen;
    let call = move |contact: teaselworks_policy::membership::Contact, message, timeout| {
        let links = links.clone();
        let answer: PeerAnswer = Box::pin(async move {
            let peer = Peer { router: contact.router, address: contact.address };
            links.call(&peer, Purpose::Membership, message, timeout).await.ok()
        });
        answer
    };
    let parts = MembershipParts {
        identity: Identity {
            name: base.settings.router.name.clone(),
            incarnation: base.incarnation,
            address: listen.links_advertised.unwrap_or(listen.links),
            place: base.place(),
        },
        settings: base.settings.membership.clone(),
        vm_list: base.settings.vm_list.clone(),
        seed: base.seed,
        call: Arc::new(call),
    };
    let metrics = registry.find(&METRICS)?;
    let service = MembershipService::new(parts, base.clock.clone(), &metrics);
    registry.register(&MEMBERSHIP, service.clone())?;
    let handler = service.clone();
    control.set(
        Purpose::Membership,
        Box::new(move |request| handler.handle(&request.from, &request.bytes, request.answer)),
    );
    service.start(base.shutdown.clone());
    Ok(FleetView { service })
}

/// Marks upstreams as leaving as soon as the platform's list shows it, and keeps them marked.
pub fn follow_leaving(
    registry: &Registry,
    base: &Base,
    fleet: &FleetView,
    dispatcher: Arc<Dispatcher>,
) -> Result<(), ServiceError> {
    let placement = registry.find(&PLACEMENT)?;
    let (fleet, shutdown) = (fleet.clone(), base.shutdown.clone());
    tokio::spawn(async move {
        loop {
            mark_leaving(&placement, &fleet, &dispatcher);
            tokio::select! {
                () = shutdown.reached(ShutdownPhase::Stopped) => return,
                () = tokio::time::sleep(LEAVING_INTERVAL) => {}
            }
        }
    });
    Ok(())
}

fn mark_leaving(placement: &Placement, fleet: &FleetView, dispatcher: &Dispatcher) {
    for name in dispatcher.routing().numbered.configuration.upstreams.keys() {
        if fleet.is_leaving(name) {
            placement.set_leaving(name);
        }
    }
}
