//! Orders to load and unload models, adapters and versions, and to change role.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// What an order asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load weights.
    Load,
    /// Drop weights.
    Unload,
    /// Change the engine's role.
    Role,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// What is asked for.
    pub kind: OrderKind,
    /// Model; empty for a role.
    #[serde(default)]
    pub model: String,
    /// Adapter of the model.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Version.
    #[serde(default)]
    pub version: String,
    /// Role, where the role is changed.
    #[serde(default)]
    pub role: Option<String>,
    /// Fencing number.
    #[serde(default)]
    pub fencing: u64,
}

/// An order and what became of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedOrder {
    /// The order.
    pub order: Order,
    /// Whether it was carried out.
    pub accepted: bool,
    /// Highest fencing number before it.
    pub highest_fencing: u64,
    /// Requests running and waiting when it came.
    pub requests: usize,
    /// When it came.
    pub at: Instant,
}

/// Weights held by an engine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model.
    pub model: String,
    /// Adapter of the model.
    pub adapter: Option<String>,
    /// Version.
    pub version: String,
    /// Whether the weights have arrived.
    pub ready: bool,
}

#[derive(Default)]
pub(super) struct Orders {
    pub received: Vec<ReceivedOrder>,
    pub highest_fencing: u64,
    /// Times that the role was changed.
    pub role_changes: u32,
    /// Times that it was asked what it holds.
    pub looks: u32,
    role: String,
    role_ready_at: Option<Instant>,
    weights: Vec<(LoadedModel, Instant)>,
}

impl Orders {
    /// Carries an order out; tells whether it was accepted.
    pub fn receive(
        &mut self,
        order: Order,
        checks_fencing: bool,
        load_time: Duration,
        role_time: Duration,
        requests: usize,
    ) -> bool {
        let accepted = !checks_fencing || order.fencing >= self.highest_fencing;
        let at = Instant::now();
        let highest_fencing = self.highest_fencing;
        if accepted {
            self.highest_fencing = highest_fencing.max(order.fencing);
            match order.kind {
                OrderKind::Role => self.change_role(&order, at + role_time),
                OrderKind::Load | OrderKind::Unload => self.carry_out(&order, at + load_time),
            }
        }
        self.received.push(ReceivedOrder { order, accepted, highest_fencing, requests, at });
        accepted
    }

    fn change_role(&mut self, order: &Order, ready_at: Instant) {
        let role = order.role.clone().unwrap_or_default();
        if role != self.role {
            self.role = role;
            self.role_ready_at = Some(ready_at);
            self.role_changes += 1;
        }
    }

    /// Returns the role in force; empty: none, or it changes.
    pub fn role(&self) -> String {
        let is_ready = self.role_ready_at.is_none_or(|at| at <= Instant::now());
        if is_ready { self.role.clone() } else { String::new() }
    }

    fn carry_out(&mut self, order: &Order, ready_at: Instant) {
        let is_same =
            |held: &LoadedModel| held.model == order.model && held.adapter == order.adapter;
        match order.kind {
            OrderKind::Role => {}
            OrderKind::Unload => self.weights.retain(|(held, _)| !is_same(held)),
            OrderKind::Load => {
                let held = self
                    .weights
                    .iter()
                    .any(|(held, _)| is_same(held) && held.version == order.version);
                if held {
                    return;
                }
                self.weights.retain(|(held, _)| !is_same(held));
                let model = LoadedModel {
                    model: order.model.clone(),
                    adapter: order.adapter.clone(),
                    version: order.version.clone(),
                    ready: false,
                };
                self.weights.push((model, ready_at));
            }
        }
    }

    /// Returns the weights held.
    pub fn models(&self) -> Vec<LoadedModel> {
        let now = Instant::now();
        let weights = self.weights.iter();
        weights.map(|(model, at)| LoadedModel { ready: *at <= now, ..model.clone() }).collect()
    }

    /// Tells whether a model, or an adapter by `model:adapter`, can be used; without any weights
    /// every model can.
    pub fn serves(&self, name: &str) -> bool {
        let models = self.models();
        models.is_empty()
            || models.iter().filter(|model| model.ready).any(|held| match &held.adapter {
                None => held.model == name,
                Some(adapter) => adapter == name || format!("{}:{adapter}", held.model) == name,
            })
    }
}
