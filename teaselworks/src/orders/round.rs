//! One round: looks at the engines, then sends the orders that are due.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use teaselworks_policy::name::Name;
use teaselworks_policy::once::window::Reading;
use teaselworks_policy::orders::{
    ORDER_TIMEOUT, Order, OrderKind, OrderOutcome, Release, ReleaseTerm, Rollout, Weights,
};

use super::goal::Wanted;
use super::service::OrdersService;
use crate::event;
use crate::upstream::{HeldModels, OrderAnswer, OrderMessage, OrderMessageKind};

/// Engines asked, or ordered, at once.
const CALLS_AT_ONCE: usize = 32;
/// Longest time that a look at one engine is given.
const LOOK_TIMEOUT: Duration = Duration::from_secs(1);

impl OrdersService {
    /// Runs a round as the holder numbered `fencing`; tells whether the next look may show more to
    /// do.
    ///
    /// Every look begins after the last round's orders ended, so that what it shows is what came of
    /// them.
    pub(super) async fn round(
        self: &Arc<Self>,
        fencing: u64,
        rollout: &mut Rollout,
        wanted: &Wanted,
    ) -> bool {
        rollout.set_goal(wanted.goal.clone());
        self.look(rollout, wanted).await;
        let terms = self.release(fencing, rollout, wanted).await;
        let orders = rollout.next_orders(self.now());
        let gives_orders = !orders.is_empty();
        self.send(fencing, rollout, wanted, orders, &terms).await;
        let (done, all) = rollout.progress();
        self.meters.show_progress(done, rollout.loading(self.now()), all);
        gives_orders || rollout.is_active(self.now())
    }

    async fn look(&self, rollout: &mut Rollout, wanted: &Wanted) {
        let mut looks = Vec::new();
        for (engine, url) in &wanted.urls {
            let (client, engine, url) = (self.client.clone(), engine.clone(), url.clone());
            looks.push(async move { (engine, client.held(&url, LOOK_TIMEOUT).await) });
        }
        let mut looks = stream::iter(looks).buffer_unordered(CALLS_AT_ONCE);
        while let Some((engine, held)) = looks.next().await {
            match held {
                Some(held) => {
                    let role = held.role();
                    rollout.observed(self.now(), &engine, weights(held));
                    rollout.observed_role(&engine, role);
                }
                None => rollout.unreachable(self.now(), &engine),
            }
        }
    }

    /// Has engines released whose role is to change; returns for how long each idle one stays so.
    async fn release(
        self: &Arc<Self>,
        fencing: u64,
        rollout: &mut Rollout,
        wanted: &Wanted,
    ) -> BTreeMap<Name, ReleaseTerm> {
        let mut asked = Vec::new();
        for release in rollout.releases(self.now()) {
            let Some(url) = wanted.urls.get(&release.engine).cloned() else {
                continue;
            };
            let service = self.clone();
            asked.push(async move {
                let term = service.release_one(fencing, &url, &release).await;
                (release, term)
            });
        }
        let mut asked = stream::iter(asked).buffer_unordered(CALLS_AT_ONCE);
        let mut terms = BTreeMap::new();
        while let Some((Release { engine, .. }, term)) = asked.next().await {
            rollout.released(&engine, term.is_some());
            if let Some(term) = term {
                terms.insert(engine, term);
            }
        }
        terms
    }

    /// Asks an engine's owner for its release; returns its term once the engine has no work.
    ///
    /// The owner counts its own attempts alone. A former owner's may still run, and a change of
    /// role might cut them; the engine's own count, taken after the owner's promise, shows them.
    async fn release_one(&self, fencing: u64, url: &str, release: &Release) -> Option<ReleaseTerm> {
        let asked_at: Reading = self.reading();
        if self.fencing() != Some(fencing) {
            return None;
        }
        let attempts = (self.parts.release)(release.clone()).await?;
        if attempts > 0 || self.client.requests(url, LOOK_TIMEOUT).await? > 0 {
            return None;
        }
        Some(ReleaseTerm::new(asked_at))
    }

    async fn send(
        self: &Arc<Self>,
        fencing: u64,
        rollout: &mut Rollout,
        wanted: &Wanted,
        orders: Vec<Order>,
        terms: &BTreeMap<Name, ReleaseTerm>,
    ) {
        let mut calls = Vec::new();
        for order in orders {
            let Some(url) = wanted.urls.get(&order.engine) else {
                continue;
            };
            let (service, url) = (self.clone(), url.clone());
            let term = terms.get(&order.engine).copied();
            calls.push(async move {
                let answer = service.send_one(fencing, &url, &order, term).await;
                (order, answer)
            });
        }
        let mut answers = stream::iter(calls).buffer_unordered(CALLS_AT_ONCE);
        while let Some((order, answer)) = answers.next().await {
            self.meters.add_order(&answer);
            rollout.ended(self.now(), &order.engine, outcome(&answer));
            log(&order, fencing, &answer);
        }
    }

    async fn send_one(
        self: &Arc<Self>,
        fencing: u64,
        url: &str,
        order: &Order,
        term: Option<ReleaseTerm>,
    ) -> OrderAnswer {
        let service = self.clone();
        let may_send = Arc::new(move || {
            // After the term the owner lets work in again, which the order would cut.
            let released = term.is_none_or(|term| term.may_send(&service.reading()));
            released && service.fencing() == Some(fencing)
        });
        self.client.order(url, &message(order, fencing), ORDER_TIMEOUT, may_send).await
    }
}

fn message(order: &Order, fencing: u64) -> OrderMessage {
    OrderMessage {
        kind: match order.kind {
            OrderKind::Load => OrderMessageKind::Load,
            OrderKind::Unload => OrderMessageKind::Unload,
            OrderKind::Role => OrderMessageKind::Role,
        },
        model: order.model.to_string(),
        adapter: order.adapter.as_ref().map(ToString::to_string),
        version: order.version.to_string(),
        role: order.role.as_ref().map(ToString::to_string),
        fencing,
    }
}

fn weights(held: HeldModels) -> Vec<Weights> {
    let models = held.models.into_iter().map(|held| Weights {
        model: held.model.into(),
        adapter: held.adapter.map(Name::from),
        version: held.version.into(),
        ready: held.ready,
    });
    models.collect()
}

fn outcome(answer: &OrderAnswer) -> OrderOutcome {
    match answer {
        OrderAnswer::Taken => OrderOutcome::Taken,
        OrderAnswer::Refused(_) | OrderAnswer::NotSent(_) => OrderOutcome::NotTaken,
        OrderAnswer::Unknown(_) => OrderOutcome::Unknown,
    }
}

fn log(order: &Order, fencing: u64, answer: &OrderAnswer) {
    let Order { engine, kind, model, adapter, version, role } = order;
    let role = role.as_deref().unwrap_or_default();
    let adapter = adapter.as_deref().unwrap_or_default();
    let (event, detail) = match answer {
        OrderAnswer::Taken => (event::ORDER_SENT, ""),
        OrderAnswer::Refused(detail) => (event::ORDER_REFUSED, detail.as_str()),
        OrderAnswer::NotSent(detail) | OrderAnswer::Unknown(detail) => {
            (event::ORDER_UNKNOWN, detail.as_str())
        }
    };
    event.log(format_args!(
        "engine={engine} order={kind:?} model={model} adapter={adapter} version={version} \
         role={role} fencing={fencing} {detail}"
    ));
}
