//! Which engines may be released so that their role can be changed, and who goes on serving.

use std::time::Duration;

use super::plan::{Engine, Release, ReleaseState, Rollout, is_loading};
use crate::name::Name;

/// Longest time that an owner keeps new work from an engine after it was asked to.
///
/// Unasked, it lets work in again: a holder that is gone would leave its engines idle for ever.
pub const RELEASE_TIME: Duration = Duration::from_secs(8);

/// The engines of one model that are in one role.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Group {
    /// Engines that serve.
    pub serving: usize,
    /// Engines that load.
    pub loading: usize,
    /// Engines on the way to another role.
    pub released: usize,
    /// Engines that must go on serving.
    pub must_serve: usize,
    /// Engines that may be without work at once.
    pub spare: usize,
}

impl Rollout {
    /// Takes the role that an engine has, after what it holds; `None` when it shows none.
    pub fn observed_role(&mut self, engine: &str, role: Option<Name>) {
        if let Some(known) = self.engines.get_mut(engine) {
            known.role = role;
        }
    }

    /// Takes what became of the question to release an engine; `idle`: it has no work and gets
    /// none until the next order has ended.
    pub fn released(&mut self, engine: &str, idle: bool) {
        let Some(known) = self.engines.get_mut(engine) else {
            return;
        };
        if known.release != ReleaseState::Serving {
            known.release = if idle { ReleaseState::Idle } else { ReleaseState::Asked };
        }
    }

    /// Returns the engines whose owners are to be asked now to give them no new work.
    ///
    /// Each counts as not serving from here on, until it has the role that it is to have.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Duration;
    /// use teaselworks_policy::orders::{Goal, ModelGoal, OrderKind, RELEASE_TIME, Rollout};
    ///
    /// let mut rollout = Rollout::new(Duration::ZERO);
    /// rollout.set_goal(Goal {
    ///     models: BTreeMap::from([("ballad".into(), ModelGoal::default())]),
    ///     engines: BTreeMap::from([("engine-1".into(), "ballad".into())]),
    ///     roles: BTreeMap::from([("engine-1".into(), "gloss".into())]),
    ///     ..Goal::default()
    /// });
    /// rollout.observed(RELEASE_TIME, "engine-1", Vec::new());
    /// assert_eq!(&*rollout.releases(RELEASE_TIME)[0].role, "gloss");
    /// assert!(rollout.next_orders(RELEASE_TIME).is_empty());
    /// rollout.released("engine-1", true);
    /// assert_eq!(rollout.next_orders(RELEASE_TIME)[0].kind, OrderKind::Role);
    /// ```
    pub fn releases(&mut self, now: Duration) -> Vec<Release> {
        // An engine that the former holder released seems to serve, and would be counted on.
        if now < self.began_at + RELEASE_TIME {
            return Vec::new();
        }
        let names: Vec<Name> = self.goal.engines.keys().cloned().collect();
        let mut releases = Vec::new();
        for engine in names {
            let state = self.next_release(now, &engine);
            let Some(known) = self.engines.get_mut(&engine) else {
                continue;
            };
            known.release = state;
            // Out of sight it may have its role by now, and serve.
            let asked = known.reachable && state != ReleaseState::Serving;
            let role = self.goal.roles.get(&engine).filter(|_| asked);
            if let Some(role) = role.cloned() {
                releases.push(Release { engine, role });
            }
        }
        releases
    }

    fn next_release(&self, now: Duration, name: &Name) -> ReleaseState {
        let Some(known) = self.engines.get(name) else {
            return ReleaseState::Serving;
        };
        if !self.goal.roles.contains_key(name) {
            return ReleaseState::Serving;
        }
        if known.reachable && !self.has_other_role(name, known) {
            return ReleaseState::Serving;
        }
        if known.release != ReleaseState::Serving {
            // Each question counts anew: what an owner said of the last one has run out.
            return ReleaseState::Asked;
        }
        let can_change = known.reachable && !is_loading(known, now);
        let spared = !self.is_serving(now, name)
            || self.group(now, name).is_some_and(|group| self.may_leave(name, &group));
        if can_change && spared { ReleaseState::Asked } else { ReleaseState::Serving }
    }

    /// Tells whether a group can spare an engine.
    ///
    /// Where roles are exchanged, the last engine to spare goes round by the roles that lead back.
    /// Spent on a change that leads away, it would leave two roles that each wait for the other.
    fn may_leave(&self, name: &Name, group: &Group) -> bool {
        let spare = group.serving.saturating_sub(group.must_serve);
        let role = self.role_of(name);
        let others = self.goal.engines.iter().filter(|(other, model)| {
            Some(*model) == self.goal.engines.get(name) && self.role_of(other) == role
        });
        let waits = || others.map(|(other, _)| other).any(|other| self.leads_back(other));
        spare > 1 || spare == 1 && (self.leads_back(name) || !waits())
    }

    /// Tells whether the role that an engine is to have is one that others leave, over steps, for
    /// the engine's own.
    fn leads_back(&self, name: &Name) -> bool {
        let (Some(model), Some(wanted)) = (self.goal.engines.get(name), self.goal.roles.get(name))
        else {
            return false;
        };
        let own = self.engines.get(name).and_then(|engine| engine.role.as_ref());
        if own.is_none() || own == Some(wanted) {
            return false;
        }
        let mut reached = vec![wanted];
        let mut next = 0;
        while let Some(from) = reached.get(next).copied() {
            next += 1;
            for (other, to) in &self.goal.roles {
                let leaves = self.goal.engines.get(other) == Some(model)
                    && self.engines.get(other).is_some_and(|it| it.role.as_ref() == Some(from));
                if leaves && !reached.contains(&to) {
                    reached.push(to);
                }
            }
        }
        own.is_some_and(|own| reached.contains(&own))
    }

    /// Tells whether an engine is to have a role that it does not have.
    pub(super) fn has_other_role(&self, name: &Name, engine: &Engine) -> bool {
        self.goal.roles.get(name).is_some_and(|role| engine.role.as_ref() != Some(role))
    }

    /// Returns how the engines of an engine's model do that have its role.
    pub(super) fn group(&self, now: Duration, name: &Name) -> Option<Group> {
        let model = self.goal.engines.get(name)?;
        let goal = self.goal.models.get(model)?;
        let role = self.role_of(name);
        let mut group = Group::default();
        let (mut engines, mut wanted) = (0, 0);
        for (other, served) in &self.goal.engines {
            if served != model {
                continue;
            }
            wanted += usize::from(self.goal.roles.get(other) == role);
            if self.role_of(other) != role {
                continue;
            }
            engines += 1;
            group.loading += usize::from(self.counts_as_loading(now, other));
            group.serving += usize::from(self.is_serving(now, other));
            let released =
                self.engines.get(other).is_some_and(|it| it.release != ReleaseState::Serving);
            group.released += usize::from(released);
        }
        // A role that fewer engines are to have needs no more than those.
        let must_serve = goal.serving_replicas as usize;
        let has_roles = self
            .goal
            .engines
            .iter()
            .any(|(other, served)| served == model && self.goal.roles.contains_key(other));
        group.must_serve = if has_roles { must_serve.min(wanted) } else { must_serve };
        group.spare = engines.max(wanted).saturating_sub(group.must_serve);
        Some(group)
    }

    /// Returns the role that an engine serves in; one out of sight counts where it is to be.
    fn role_of(&self, name: &Name) -> Option<&Name> {
        let wanted = self.goal.roles.get(name)?;
        match self.engines.get(name) {
            Some(engine) if engine.reachable => engine.role.as_ref(),
            _ => Some(wanted),
        }
    }

    pub(super) fn is_serving(&self, now: Duration, name: &Name) -> bool {
        let (Some(engine), Some(model)) = (self.engines.get(name), self.goal.engines.get(name))
        else {
            return false;
        };
        if !engine.reachable || is_loading(engine, now) || engine.release != ReleaseState::Serving {
            return false;
        }
        // An engine without the role that it is to have, and without another, serves no chat.
        if self.goal.roles.contains_key(name) && engine.role.is_none() {
            return false;
        }
        let any_version = self.goal.models.get(model).is_some_and(|goal| goal.version.is_empty());
        any_version
            || engine
                .weights
                .iter()
                .any(|held| held.ready && held.adapter.is_none() && held.model == *model)
    }
}
