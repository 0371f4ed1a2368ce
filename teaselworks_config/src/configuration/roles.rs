//! Finds roles that no engine is to have, and chats that would find no engine.

use std::collections::BTreeMap;

use teaselworks_policy::name::Name;

use super::{Configuration, Model, UpstreamKind, Workspace};
use crate::fault::{FieldPath, Finding};

/// Engines of each model by the role that they are to have; the empty role is none.
pub(super) struct Roles<'a> {
    engines: BTreeMap<&'a Name, BTreeMap<&'a Name, u32>>,
}

impl<'a> Roles<'a> {
    /// Counts the engines of a configuration.
    pub fn of(configuration: &'a Configuration) -> Self {
        let mut engines: BTreeMap<_, BTreeMap<_, u32>> = BTreeMap::new();
        for upstream in configuration.upstreams.values() {
            if upstream.kind == UpstreamKind::Engine {
                let roles = engines.entry(&upstream.serves).or_default();
                *roles.entry(&upstream.role).or_default() += 1;
            }
        }
        Self { engines }
    }

    /// Returns what is wrong with the roles of a model.
    ///
    /// Chats of a role that no engine is to have would all be refused.
    pub fn model_findings(&self, name: &Name, model: &Model) -> Vec<Finding> {
        let path = FieldPath::of(&["models", name]);
        let mut findings = Vec::new();
        if !model.role.is_empty() {
            findings.extend(self.unknown(name, &model.role, path.key("role")));
        }
        let Some(roles) = self.engines.get(name) else {
            return findings;
        };
        let has_plain = roles.keys().any(|role| role.is_empty());
        if model.role.is_empty() && !has_plain {
            let problem = "is missing, while every engine of the model has a role";
            findings.push(on_upstreams(path.key("role"), problem.into()));
        }
        for (role, engines) in roles {
            // Its engines would never be told to load or to change: a rollout would wait for ever.
            if !role.is_empty() && model.serving_replicas > *engines {
                let problem = format!("is above {engines}, the engines of role {role}");
                findings.push(on_upstreams(path.key("serving_replicas"), problem));
            }
        }
        findings
    }

    /// Returns what is wrong with the roles of a workspace.
    pub fn workspace_findings(
        &self,
        name: &Name,
        workspace: &Workspace,
        configuration: &Configuration,
    ) -> Vec<Finding> {
        let path = FieldPath::of(&["workspaces", name, "roles"]);
        let mut findings = Vec::new();
        for (model, role) in &workspace.roles {
            let path = path.key(model);
            if !configuration.models.contains_key(model) {
                let problem = "names no model of the configuration";
                let finding = Finding::new(path, problem);
                findings.push(finding.with(FieldPath::of(&["models", model])));
                continue;
            }
            findings.extend(self.unknown(model, role, path));
        }
        findings
    }

    fn unknown(&self, model: &Name, role: &Name, path: FieldPath) -> Option<Finding> {
        let known = self.engines.get(model).is_some_and(|roles| roles.contains_key(role));
        if known {
            return None;
        }
        let problem = match role.is_empty() {
            true => format!("is empty, while every engine of model {model} has a role"),
            false => format!("is the role of no engine of model {model}"),
        };
        Some(on_upstreams(path, problem))
    }
}

/// Makes a finding that rests on the upstreams too.
fn on_upstreams(path: FieldPath, problem: String) -> Finding {
    Finding::new(path, problem).with(FieldPath::of(&["upstreams"]))
}
