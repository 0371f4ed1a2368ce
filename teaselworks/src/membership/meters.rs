//! Instruments and log lines of membership.

use std::collections::BTreeMap;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};
use teaselworks_policy::membership::{RouterState, Standing, View};
use teaselworks_policy::name::Name;

use super::list::Reading;
use crate::event;
use crate::metrics::Metrics;

const STATES: [RouterState; 5] = [
    RouterState::Joining,
    RouterState::Alive,
    RouterState::Suspect,
    RouterState::Leaving,
    RouterState::Dead,
];

/// What the service shows of its view.
#[derive(Debug)]
pub(super) struct Meters {
    routers: Gauge<u64>,
    confirmed: Gauge<u64>,
    losses: Counter<u64>,
    list_readings: Counter<u64>,
    list_bytes: Counter<u64>,
    shown: BTreeMap<Name, RouterState>,
    was_confirmed: Option<bool>,
    list_failed: bool,
}

impl Meters {
    pub(super) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let losses = meter
            .u64_counter("teaselworks_losses_denied")
            .with_description("Times that the fleet took this router for lost while it ran.")
            .build();
        losses.add(0, &[]);
        Self {
            routers: meter
                .u64_gauge("teaselworks_routers")
                .with_description("Routers in this router's view, by state.")
                .build(),
            confirmed: meter
                .u64_gauge("teaselworks_owner_confirmed")
                .with_description("1 while this router may act as an owner, else 0.")
                .build(),
            losses,
            list_readings: meter
                .u64_counter("teaselworks_vm_list_readings")
                .with_description("Readings of the platform's list of VMs, by outcome.")
                .build(),
            list_bytes: meter
                .u64_counter("teaselworks_vm_list_bytes")
                .with_description("Bytes of the platform's list of VMs that were read.")
                .build(),
            shown: BTreeMap::new(),
            was_confirmed: None,
            list_failed: false,
        }
    }

    pub(super) fn show_view(&mut self, view: &View) {
        for state in STATES {
            let count = view.routers().iter().filter(|router| router.state == state).count();
            self.routers.record(count as u64, &[KeyValue::new("state", state.as_str())]);
        }
        for router in view.routers() {
            let before = self.shown.insert(router.name.clone(), router.state);
            if before == Some(router.state) {
                continue;
            }
            event::ROUTER_STATE_CHANGED.log(format_args!(
                "router={} incarnation={} state={} before={}",
                router.name,
                router.incarnation,
                router.state,
                before.map_or("unknown", RouterState::as_str),
            ));
        }
        self.shown.retain(|router, _| view.router(router).is_some());
    }

    pub(super) fn show_standing(&mut self, standing: Standing) {
        let confirmed = standing == Standing::Confirmed;
        if self.was_confirmed == Some(confirmed) {
            return;
        }
        self.was_confirmed = Some(confirmed);
        self.confirmed.record(u64::from(confirmed), &[]);
        if confirmed {
            event::OWNERSHIP_CONFIRMED.log(format_args!("this router may act as an owner"));
        } else {
            event::OWNERSHIP_UNCONFIRMED.log(format_args!("no other router counts on this one"));
        }
    }

    pub(super) fn show_denial(&self, flaps: u8) {
        self.losses.add(1, &[]);
        event::LOSS_DENIED.log(format_args!("flaps={flaps}"));
    }

    pub(super) fn show_list(&mut self, outcome: &Result<Reading, String>) {
        let (label, size_bytes) = match outcome {
            Ok(Reading { size_bytes: 0, .. }) => ("unchanged", 0),
            Ok(reading) => ("whole", reading.size_bytes),
            Err(_) => ("failed", 0),
        };
        self.list_readings.add(1, &[KeyValue::new("outcome", label)]);
        self.list_bytes.add(size_bytes, &[]);
        match outcome {
            Err(cause) if !self.list_failed => {
                event::VM_LIST_UNREADABLE.log(format_args!("{cause}"));
            }
            Ok(_) if self.list_failed => event::VM_LIST_READ.log(format_args!("read again")),
            _ => {}
        }
        self.list_failed = outcome.is_err();
    }
}
