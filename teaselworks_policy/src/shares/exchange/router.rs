//! The exchange of one router with all others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::aggregator::{Aggregator, Sum};
use super::message::{ExchangeKind, ExchangeMessage, ReportedLoad, service_key};
use super::part::Part;
use super::reporter::Reporter;
use super::table;
use super::timing::TICK;
use super::topology::Topology;
use crate::membership::Membership;
use crate::shares::Totals;

/// Time without a tick after which the process counts as having been frozen: messages that waited in
/// its socket meanwhile are of unknown age.
const MAX_TICK_GAP: Duration = Duration::from_millis(750);
/// Time after a freeze in which such messages are still read. A full socket buffer holds some 250.
const DRAIN_TIME: Duration = Duration::from_millis(100);
/// Maximum number of services for which messages are kept.
const MAX_SERVICES: usize = 256;
/// Time after which a service is forgotten about which nothing was sent or received.
const SERVICE_RETENTION: Duration = Duration::from_secs(10);

/// Exchange of offered load, as one router takes part in it.
///
/// ```
/// use std::time::Duration;
/// use teaselworks_policy::membership::Membership;
/// use teaselworks_policy::shares::{Exchange, ReportedLoad};
///
/// let mut membership = Membership::new("a".into(), Vec::new());
/// membership.put("a".into(), ([127, 0, 0, 1], 80).into());
/// let mut exchange = Exchange::new(7);
/// let load = ReportedLoad { in_progress: 3.0, ..ReportedLoad::default() };
/// let messages = exchange.on_tick(Duration::ZERO, &membership, &[("chat".into(), load)]);
/// assert!(messages.is_empty(), "the only router is its own aggregator");
/// assert_eq!(exchange.totals(Duration::ZERO, "chat").unwrap().in_progress, 3.0);
/// ```
#[derive(Debug)]
pub struct Exchange {
    process: u64,
    sequence: u64,
    topology: Topology,
    ticked_at: Option<Duration>,
    /// Clock reading since which messages are received: the start, or the end of a freeze.
    listening_since: Duration,
    drained_at: Duration,
    services: BTreeMap<u64, Service>,
}

#[derive(Debug, Default)]
struct Service {
    reporter: Reporter,
    aggregator: Aggregator,
    used_at: Duration,
}

impl Exchange {
    /// Time between two calls of [`Exchange::on_tick`].
    pub const TICK: Duration = TICK;

    /// Creates the exchange of a process that chose the random number `process`.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            sequence: 0,
            topology: Topology::default(),
            ticked_at: None,
            listening_since: Duration::ZERO,
            drained_at: Duration::ZERO,
            services: BTreeMap::new(),
        }
    }

    /// Returns the messages that are due; `own` is the load of each service at this router. To be
    /// called every 250 ms.
    pub fn on_tick(
        &mut self,
        now: Duration,
        membership: &Membership,
        own: &[(Arc<str>, ReportedLoad)],
    ) -> Vec<(SocketAddr, ExchangeMessage)> {
        match self.ticked_at {
            None => self.listening_since = now,
            Some(ticked_at) if now.saturating_sub(ticked_at) > MAX_TICK_GAP => {
                self.listening_since = now;
                self.drained_at = now + DRAIN_TIME;
                self.services.values_mut().for_each(|service| service.aggregator.clear());
            }
            Some(_) => {}
        }
        self.ticked_at = Some(now);
        self.topology.update(membership);
        self.services.values_mut().for_each(|service| service.aggregator.expire(now));
        let mut messages = Vec::new();
        for (name, load) in own {
            self.report(now, service_key(name), load, &mut messages);
        }
        self.send_groups(now, &mut messages);
        self.services.retain(|_, service| now.saturating_sub(service.used_at) < SERVICE_RETENTION);
        messages
    }

    /// Takes a message of another router; returns the answer.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: ExchangeMessage,
    ) -> Vec<(SocketAddr, ExchangeMessage)> {
        let is_frozen =
            self.ticked_at.is_none_or(|ticked_at| now.saturating_sub(ticked_at) > MAX_TICK_GAP);
        let is_own = self.topology.own_address() == Some(from);
        if is_own || is_frozen || now < self.drained_at {
            return Vec::new();
        }
        let ExchangeMessage { process, sequence, service: key, load, kind } = message;
        if !self.services.contains_key(&key) && self.services.len() >= MAX_SERVICES {
            return Vec::new();
        }
        if matches!(kind, ExchangeKind::Fleet { .. }) && !self.services.contains_key(&key) {
            return Vec::new();
        }
        let topology = &self.topology;
        let service = self.services.entry(key).or_default();
        // Other routers' answers do not keep a service alive that this one does not report.
        if !matches!(kind, ExchangeKind::Fleet { .. }) {
            service.used_at = now;
        }
        let part = |is_frequent: bool, age: Duration, routers: u32, load: ReportedLoad| Part {
            process,
            sequence,
            received_at: now,
            is_frequent,
            as_of: now.saturating_sub(age),
            routers,
            load,
        };
        match kind {
            ExchangeKind::Offered { is_frequent } => {
                let part = part(is_frequent, Duration::ZERO, 1, load);
                if !service.aggregator.on_report(from, part, topology) {
                    return Vec::new();
                }
                let sum = service.aggregator.fleet(now, topology);
                let kind = ExchangeKind::Fleet {
                    answers: (process, sequence),
                    routers: sum.routers,
                    age: now.saturating_sub(sum.as_of),
                };
                let load = fit(&sum.load);
                vec![(from, self.message(key, load, kind))]
            }
            ExchangeKind::Group { is_frequent, routers, age } => {
                let part = part(is_frequent, age, routers, load);
                service.aggregator.on_group(from, part, topology);
                Vec::new()
            }
            ExchangeKind::Fleet { answers: (process, sequence), routers, age } => {
                if process == self.process {
                    let sum = Sum { load, routers, as_of: now };
                    let listed = topology.listed_count();
                    service.reporter.on_answer(now, from, sequence, age, sum, listed);
                }
                Vec::new()
            }
        }
    }

    /// Returns the latest totals of a service; `None` if there are none or they are more than 5 s
    /// old.
    pub fn totals(&self, now: Duration, service: &str) -> Option<Totals> {
        self.services.get(&service_key(service))?.reporter.totals(now)
    }

    /// Reports this router's load of a service, if that is due.
    fn report(
        &mut self,
        now: Duration,
        key: u64,
        load: &ReportedLoad,
        messages: &mut Vec<(SocketAddr, ExchangeMessage)>,
    ) {
        let Some(aggregators) = self.topology.own_aggregators() else { return };
        let service = self.services.entry(key).or_default();
        service.used_at = now;
        let Some(is_frequent) = service.reporter.due(now, load.is_overloaded) else { return };
        let receivers = service.reporter.receivers(now, aggregators);
        let load = fit(load);
        for receiver in receivers {
            let kind = ExchangeKind::Offered { is_frequent };
            let message = self.message(key, load.clone(), kind);
            let service = self.services.entry(key).or_default();
            service.reporter.on_sent(now, message.sequence, receiver);
            if self.topology.own_address() != Some(receiver) {
                messages.push((receiver, message));
                continue;
            }
            let ExchangeMessage { process, sequence, load, .. } = message;
            let (received_at, as_of, routers) = (now, now, 1);
            let part = Part { process, sequence, received_at, is_frequent, as_of, routers, load };
            service.aggregator.on_report(receiver, part, &self.topology);
            let sum = service.aggregator.fleet(now, &self.topology).clone();
            let (age, listed) = (now.saturating_sub(sum.as_of), self.topology.listed_count());
            service.reporter.on_answer(now, receiver, sequence, age, sum, listed);
        }
    }

    /// Sends the totals of the routers that report to this one, where they are due.
    fn send_groups(&mut self, now: Duration, messages: &mut Vec<(SocketAddr, ExchangeMessage)>) {
        let mut due = Vec::new();
        for (key, service) in &mut self.services {
            let group = service.aggregator.due_group(now, self.listening_since, &self.topology);
            due.extend(group.map(|group| (*key, group)));
        }
        for (key, (sum, is_frequent, receivers)) in due {
            let age = now.saturating_sub(sum.as_of);
            let kind = ExchangeKind::Group { is_frequent, routers: sum.routers, age };
            let message = self.message(key, fit(&sum.load), kind);
            messages.extend(receivers.into_iter().map(|receiver| (receiver, message.clone())));
        }
    }

    fn message(&mut self, service: u64, load: ReportedLoad, kind: ExchangeKind) -> ExchangeMessage {
        self.sequence += 1;
        ExchangeMessage { process: self.process, sequence: self.sequence, service, load, kind }
    }
}

/// Returns the load with as many rows as a message carries.
fn fit(load: &ReportedLoad) -> ReportedLoad {
    ReportedLoad { rows: table::fit(&load.rows), ..*load }
}
