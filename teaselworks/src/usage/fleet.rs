//! The fleet as the counting of use needs it, worked out once for each view.

use std::sync::{Arc, Mutex};

use teaselworks_policy::membership::{RouterState, View, owner_of, peer_elsewhere};
use teaselworks_policy::name::Name;
use teaselworks_policy::usage::{Fleet, Period, SHARDS, Slot, Source};

use super::parts::{FleetSource, WatchedSource};
use super::witness::Watched;

/// Returns the fleet that `view` shows to the router `own`.
pub fn fleet_of(own: Name, view: Arc<dyn Fn() -> Arc<View> + Send + Sync>) -> FleetSource {
    let last: Mutex<Option<(Arc<View>, Fleet)>> = Mutex::default();
    Arc::new(move || {
        let view = view();
        let mut last = last.lock().expect("fleet lock is never poisoned");
        match &*last {
            Some((seen, fleet)) if Arc::ptr_eq(seen, &view) => fleet.clone(),
            _ => {
                let fleet = work_out(&own, &view);
                *last = Some((view, fleet.clone()));
                fleet
            }
        }
    })
}

/// Returns owners and the holders of their copies as `view` shows them.
pub fn watched_in(view: Arc<dyn Fn() -> Arc<View> + Send + Sync>) -> WatchedSource {
    Arc::new(move |router| {
        let view = view();
        let owner = view.router(router).filter(|owner| owner.state != RouterState::Dead)?;
        let holder = peer_elsewhere(&view, router, owner)?.name.clone();
        let owner = Source { router: router.clone(), incarnation: owner.incarnation };
        Some(Watched { owner, holder })
    })
}

fn work_out(own: &Name, view: &View) -> Fleet {
    let itself = view.router(own);
    let partner = itself.and_then(|itself| peer_elsewhere(view, own, itself));
    let mut owners = Vec::new();
    for shard in 0..SHARDS {
        let slot = Slot { period: Period::default(), shard };
        let owner = owner_of(view, &slot.owner_name(), None);
        owners.push(owner.map(|owner| owner.name.clone()));
    }
    let live = view.routers().iter().filter(|router| router.state != RouterState::Dead);
    Fleet {
        partner: partner.map(|partner| partner.name.clone()),
        owners,
        live: live.map(|router| (router.name.clone(), router.incarnation)).collect(),
    }
}
