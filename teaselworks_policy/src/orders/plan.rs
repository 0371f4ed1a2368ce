//! Compares what engines hold with what they are to hold, and picks the next orders.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ORDER_TIMEOUT;
use crate::name::Name;

/// Longest time that an engine out of sight is taken to be loading.
pub const LONGEST_LOAD: Duration = Duration::from_secs(600);

/// What the engines are to hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Goal {
    /// Loads that may run at once in the fleet.
    pub weight_loads: u32,
    /// Models by name.
    pub models: BTreeMap<Name, ModelGoal>,
    /// Model of each engine, by the engine's name.
    pub engines: BTreeMap<Name, Name>,
    /// Role of each engine that is to have one, by the engine's name.
    pub roles: BTreeMap<Name, Name>,
}

/// What the engines of one model are to hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelGoal {
    /// Version of the model; empty: whatever the engines hold.
    pub version: Name,
    /// Adapters and the version of each.
    pub adapters: BTreeMap<Name, Name>,
    /// Engines that must go on serving, in each role by itself.
    pub serving_replicas: u32,
}

/// Weights that an engine holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Weights {
    /// Model.
    pub model: Name,
    /// Adapter of the model; `None`: the model itself.
    pub adapter: Option<Name>,
    /// Version.
    pub version: Name,
    /// Whether they can be used.
    pub ready: bool,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Load weights.
    Load,
    /// Drop weights.
    Unload,
    /// Take another role.
    Role,
}

/// An order to one engine; carried out twice it does what it does once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Engine.
    pub engine: Name,
    /// What is asked for.
    pub kind: OrderKind,
    /// Model; empty for a role.
    pub model: Name,
    /// Adapter of the model; `None`: the model itself.
    pub adapter: Option<Name>,
    /// Version; empty for a role.
    pub version: Name,
    /// Role, where that is what the order changes.
    pub role: Option<Name>,
}

/// An engine that is to be released: to get no new work, so that its role can be changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Release {
    /// Engine.
    pub engine: Name,
    /// Role that it is to have.
    pub role: Name,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine took it.
    Taken,
    /// The engine refused it, or surely never got it.
    NotTaken,
    /// The engine may carry it out, now or later.
    Unknown,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    pub(super) weights: Vec<Weights>,
    pub(super) reachable: bool,
    /// Until when the engine counts as loading although it does not say so.
    doubt_until: Option<Duration>,
    /// Until when an observation does not end the doubt: an order may still be on its way.
    unsettled_until: Duration,
    /// Role in force as last seen; `None`: none, or unknown.
    pub(super) role: Option<Name>,
    /// How far the engine is on the way to another role.
    pub(super) release: ReleaseState,
    /// Number of the engine's last load order, so that one that fails does not starve the others.
    last_load: u64,
}

/// How far an engine is on the way to another role.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum ReleaseState {
    /// It serves.
    #[default]
    Serving,
    /// It is to get no new work, and may have old.
    Asked,
    /// It has no work and gets none.
    Idle,
}

/// Follows the engines and picks orders, within the limits of the goal.
#[derive(Clone, Debug)]
pub struct Rollout {
    pub(super) began_at: Duration,
    pub(super) goal: Goal,
    pub(super) engines: BTreeMap<Name, Engine>,
    loads: u64,
}

impl Rollout {
    /// Begins without knowing what any engine does.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Duration;
    /// use teaselworks_policy::orders::{Goal, ModelGoal, Rollout};
    ///
    /// let model = ModelGoal { version: "2".into(), ..ModelGoal::default() };
    /// let mut rollout = Rollout::new(Duration::ZERO);
    /// rollout.set_goal(Goal {
    ///     weight_loads: 1,
    ///     models: BTreeMap::from([("ballad".into(), model)]),
    ///     engines: BTreeMap::from([("engine-1".into(), "ballad".into())]),
    ///     ..Goal::default()
    /// });
    /// assert!(rollout.next_orders(Duration::ZERO).is_empty());
    /// rollout.observed(Duration::ZERO, "engine-1", Vec::new());
    /// assert_eq!(&*rollout.next_orders(Duration::ZERO)[0].version, "2");
    /// ```
    pub fn new(began_at: Duration) -> Self {
        Self { began_at, goal: Goal::default(), engines: BTreeMap::new(), loads: 0 }
    }

    /// Takes what is wanted from now on.
    pub fn set_goal(&mut self, goal: Goal) {
        self.engines.retain(|name, _| goal.engines.contains_key(name));
        self.goal = goal;
    }

    /// Takes what an engine answered to a question asked after its last order had ended.
    pub fn observed(&mut self, now: Duration, engine: &str, weights: Vec<Weights>) {
        let known = self.engines.entry(engine.into()).or_default();
        // An order without an answer may still be on its way: it counts as loading until it shows
        // or must have arrived. Forgotten at once, its slot would go to a second load.
        if now >= known.unsettled_until || weights.iter().any(|held| !held.ready) {
            known.doubt_until = None;
        }
        known.weights = weights;
        known.reachable = true;
    }

    /// Takes note that an engine did not answer.
    pub fn unreachable(&mut self, now: Duration, engine: &str) {
        let Some(known) = self.engines.get_mut(engine) else {
            return;
        };
        // Out of sight a load goes on: the weight store still feels it.
        if known.reachable && is_loading(known, now) {
            known.doubt_until = Some(now + LONGEST_LOAD);
        }
        known.reachable = false;
        known.weights.clear();
        if known.release == ReleaseState::Idle {
            known.release = ReleaseState::Asked;
        }
    }

    /// Takes the end of an order.
    pub fn ended(&mut self, now: Duration, engine: &str, outcome: OrderOutcome) {
        if let Some(known) = self.engines.get_mut(engine) {
            match outcome {
                OrderOutcome::Taken => known.unsettled_until = now,
                OrderOutcome::Unknown => known.unsettled_until = now + ORDER_TIMEOUT,
                OrderOutcome::NotTaken => known.doubt_until = None,
            }
        }
    }

    /// Returns the orders to send now, at most one for each engine.
    ///
    /// Each counts as loading from here on, until it has ended and the engine was observed.
    pub fn next_orders(&mut self, now: Duration) -> Vec<Order> {
        let mut waiting: Vec<(u64, Name)> =
            self.engines.iter().map(|(name, engine)| (engine.last_load, name.clone())).collect();
        waiting.sort();
        let mut orders = Vec::new();
        for (_, name) in waiting {
            let Some(order) = self.order_for(now, &name) else {
                continue;
            };
            if order.kind == OrderKind::Load {
                if !self.may_load(now, &name) {
                    continue;
                }
                self.loads += 1;
                let loads = self.loads;
                if let Some(engine) = self.engines.get_mut(&name) {
                    engine.last_load = loads;
                    engine.doubt_until = Some(now + LONGEST_LOAD);
                }
            }
            orders.push(order);
        }
        orders
    }

    /// Returns the number of engines that hold what they are to hold, and of all engines.
    pub fn progress(&self) -> (usize, usize) {
        let done = |name: &Name| {
            let engine = self.engines.get(name);
            engine.is_some_and(|engine| {
                let ready = engine.weights.iter().all(|held| held.ready);
                let held = ready && self.difference(name, engine).is_none();
                engine.reachable && held && !self.has_other_role(name, engine)
            })
        };
        let done = self.goal.engines.keys().filter(|name| done(name)).count();
        (done, self.goal.engines.len())
    }

    /// Returns the loads that run or may run.
    pub fn loading(&self, now: Duration) -> usize {
        self.goal.engines.keys().filter(|name| self.counts_as_loading(now, name)).count()
    }

    fn order_for(&self, now: Duration, name: &Name) -> Option<Order> {
        let engine = self.engines.get(name)?;
        if !engine.reachable || is_loading(engine, now) {
            return None;
        }
        match engine.release {
            ReleaseState::Serving => self.difference(name, engine),
            ReleaseState::Asked => None,
            ReleaseState::Idle => self.role_order(name),
        }
    }

    fn role_order(&self, name: &Name) -> Option<Order> {
        Some(Order {
            engine: name.clone(),
            kind: OrderKind::Role,
            model: Name::default(),
            adapter: None,
            version: Name::default(),
            role: Some(self.goal.roles.get(name)?.clone()),
        })
    }

    /// Returns the first thing in which an engine differs from the goal: the model before its
    /// adapters, and what is to go last.
    fn difference(&self, name: &Name, engine: &Engine) -> Option<Order> {
        let model = self.goal.engines.get(name)?;
        let goal = self.goal.models.get(model)?;
        let order = |kind, model: &Name, adapter: Option<&Name>, version: &Name| Order {
            engine: name.clone(),
            kind,
            model: model.clone(),
            adapter: adapter.cloned(),
            version: version.clone(),
            role: None,
        };
        let holds = |adapter: Option<&Name>, version: &Name| {
            engine.weights.iter().any(|held| {
                held.model == *model && held.adapter.as_ref() == adapter && held.version == *version
            })
        };
        if goal.version.is_empty() {
            return None;
        }
        if !holds(None, &goal.version) {
            return Some(order(OrderKind::Load, model, None, &goal.version));
        }
        for (adapter, version) in &goal.adapters {
            if !holds(Some(adapter), version) {
                return Some(order(OrderKind::Load, model, Some(adapter), version));
            }
        }
        let is_wanted = |held: &Weights| {
            held.model == *model
                && held.adapter.as_ref().is_none_or(|name| goal.adapters.contains_key(name))
        };
        let held = engine.weights.iter().find(|held| !is_wanted(held))?;
        Some(order(OrderKind::Unload, &held.model, held.adapter.as_ref(), &held.version))
    }

    fn may_load(&self, now: Duration, name: &Name) -> bool {
        if self.loading(now) >= self.goal.weight_loads as usize {
            return false;
        }
        let Some(group) = self.group(now, name) else {
            return false;
        };
        if self.is_serving(now, name) {
            let away = group.loading + group.released;
            return group.serving > group.must_serve && away < group.spare;
        }
        // A replica that serves nothing takes nothing away, so one may always load.
        group.loading < group.spare.max(1)
    }
    /// An engine that this holder never saw may be loading by an order of the former one.
    pub(super) fn counts_as_loading(&self, now: Duration, name: &Name) -> bool {
        match self.engines.get(name) {
            Some(engine) => is_loading(engine, now),
            None => now < self.began_at + LONGEST_LOAD,
        }
    }
}

pub(super) fn is_loading(engine: &Engine, now: Duration) -> bool {
    let in_doubt = engine.doubt_until.is_some_and(|until| now < until);
    in_doubt || engine.weights.iter().any(|held| !held.ready)
}
