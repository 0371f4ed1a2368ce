//! Exchanges with other routers which load each service is offered.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use teaselworks_policy::fleet::Fleet;
use teaselworks_policy::shares::{Exchange, ExchangeKind, ExchangeMessage, ReportedLoad, Totals};
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;

use super::Shared;
use crate::datagram::{LoadMessage, Message};
use crate::metrics::DatagramDirection;

/// The exchange of a router; before it starts, messages of others are ignored.
#[derive(Debug, Default)]
pub(super) struct LoadExchange {
    exchange: Mutex<Option<Exchange>>,
    /// Notified when totals arrived.
    received: Notify,
}

impl LoadExchange {
    fn lock(&self) -> MutexGuard<'_, Option<Exchange>> {
        self.exchange.lock().expect("exchange lock is never poisoned")
    }
}

impl Shared {
    /// Exchanges offered load with other routers until the process ends.
    ///
    /// `process` is a random number. `own_load` returns the load of each service at this router;
    /// `set_totals` gets the totals of a service each time they may have changed.
    pub async fn exchange_load(
        &self,
        process: u64,
        own_load: impl Fn(&mut Fleet, Duration) -> Vec<(Arc<str>, ReportedLoad)>,
        set_totals: impl Fn(&mut Fleet, Duration, &Arc<str>, Totals),
    ) {
        *self.load_exchange.lock() = Some(Exchange::new(process));
        let mut interval = tokio::time::interval(Exchange::TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut services: Vec<Arc<str>> = Vec::new();
        loop {
            tokio::select! {
                _ = interval.tick() => services = self.report_load(&own_load),
                () = self.load_exchange.received.notified() => {}
            }
            let now = self.now();
            for service in &services {
                let totals = self
                    .load_exchange
                    .lock()
                    .as_ref()
                    .and_then(|exchange| exchange.totals(now, service));
                self.metrics.set_load_totals(service, totals.as_ref());
                if let Some(totals) = totals {
                    set_totals(&mut self.fleet(), now, service, totals);
                }
            }
        }
    }

    /// Sends the messages that are due; returns the services of this router.
    fn report_load(
        &self,
        own_load: &impl Fn(&mut Fleet, Duration) -> Vec<(Arc<str>, ReportedLoad)>,
    ) -> Vec<Arc<str>> {
        let now = self.now();
        let (loads, messages) = {
            let mut fleet = self.fleet();
            let loads = own_load(&mut fleet, now);
            let mut exchange = self.load_exchange.lock();
            let messages =
                exchange.as_mut().map(|exchange| exchange.on_tick(now, &fleet.membership, &loads));
            (loads, messages.unwrap_or_default())
        };
        self.send_load(messages);
        loads.into_iter().map(|(service, _)| service).collect()
    }

    /// Handles a message of another router about the load of a service.
    pub(super) fn on_load_message(&self, message: LoadMessage, sender: SocketAddr) {
        let now = self.now();
        let message = message.unpack();
        let kind = message.kind;
        let answers = {
            let mut exchange = self.load_exchange.lock();
            let Some(exchange) = exchange.as_mut() else { return };
            self.metrics.add_load_datagram(kind, DatagramDirection::Received);
            exchange.on_message(now, sender, message)
        };
        self.send_load(answers);
        if matches!(kind, ExchangeKind::Fleet { .. }) {
            self.load_exchange.received.notify_one();
        }
    }

    fn send_load(&self, messages: Vec<(SocketAddr, ExchangeMessage)>) {
        for (address, message) in messages {
            self.metrics.add_load_datagram(message.kind, DatagramDirection::Sent);
            self.datagrams.send(&Message::Load(LoadMessage::pack(&message)), &[address]);
        }
    }
}
