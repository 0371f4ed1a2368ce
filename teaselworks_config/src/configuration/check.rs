//! Finds configurations that are well-formed but cannot work.

use std::collections::HashMap;

use imbl::OrdMap;
use teaselworks_policy::name::Name;

use super::roles::Roles;
use super::{
    Budget, Configuration, Model, PolicyConfiguration, Service, Upstream, UpstreamKind, Workspace,
    WorkspaceLimits,
};
use crate::fault::{FAULTS_MAX, FieldPath, Finding};
use crate::{name, url};

/// Largest weight of a workspace; with more, a turn of the queue would take too long.
const WEIGHT_MAX: u32 = 1_000;
/// Shortest period of a budget.
const BUDGET_PERIOD_MIN_MS: u64 = 1_000;
/// Shortest time that outcomes of at-most-once calls are kept: a repeat has to find them.
const ONCE_RETENTION_MIN_MS: u64 = 60_000;
/// Largest multiple of the mean that still is a bound.
const BOUND_MULTIPLE_MAX: f64 = 100.0;

/// Returns what cannot work, the first faults of very many.
pub(super) fn findings(configuration: &Configuration) -> Vec<Finding> {
    let roles = Roles::of(configuration);
    let mut check = Check { configuration, findings: Vec::new() };
    for (name, workspace) in &configuration.workspaces {
        check.workspace(name, workspace);
        check.findings.extend(roles.workspace_findings(name, workspace, configuration));
    }
    check.key_digests();
    for (name, model) in &configuration.models {
        check.model(name, model);
        check.findings.extend(roles.model_findings(name, model));
    }
    for (name, service) in &configuration.services {
        check.service(name, service);
    }
    for (name, upstream) in &configuration.upstreams {
        check.upstream(name, upstream);
    }
    check.upstream_urls();
    check.policy(&configuration.policy);
    check.findings.truncate(FAULTS_MAX);
    check.findings
}

struct Check<'a> {
    configuration: &'a Configuration,
    findings: Vec<Finding>,
}

impl Check<'_> {
    fn add(&mut self, path: FieldPath, problem: impl Into<String>) {
        self.findings.push(Finding::new(path, problem));
    }

    fn add_if(&mut self, wrong: bool, path: &FieldPath, field: &str, problem: &str) {
        if wrong {
            self.add(path.key(field), problem);
        }
    }

    fn workspace(&mut self, name: &Name, workspace: &Workspace) {
        let path = FieldPath::of(&["workspaces", name]);
        if let Some(problem) = name::problem(name) {
            self.add(path.clone(), format!("name {problem}"));
        }
        let configuration = self.configuration;
        self.references(&path.key("models"), &workspace.models, &configuration.models, "model");
        let services = &configuration.services;
        self.references(&path.key("services"), &workspace.services, services, "service");
        if workspace.weight > WEIGHT_MAX {
            self.add(path.key("weight"), format!("is above {WEIGHT_MAX}"));
        }
        self.limits(&path.key("limits"), &workspace.limits);
        if let Some(budget) = &workspace.budget {
            self.budget(&path.key("budget"), budget);
        }
    }

    fn references<T>(
        &mut self,
        path: &FieldPath,
        names: &[Name],
        known: &OrdMap<Name, T>,
        kind: &str,
    ) {
        for (index, name) in names.iter().enumerate() {
            if !known.contains_key(name) {
                let problem = format!("names no {kind} of the configuration");
                let others = FieldPath::of(&[&format!("{kind}s"), name]);
                self.findings.push(Finding::new(path.index(index), problem).with(others));
            }
            if names[..index].contains(name) {
                self.add(path.index(index), "occurs twice");
            }
        }
    }

    fn limits(&mut self, path: &FieldPath, limits: &WorkspaceLimits) {
        let rates =
            [("requests_per_s", limits.requests_per_s), ("tokens_per_s", limits.tokens_per_s)];
        for (field, rate) in rates {
            let wrong = rate.is_some_and(|rate| !(rate.is_finite() && rate > 0.0));
            self.add_if(wrong, path, field, "is not above zero");
        }
        let wrong = limits.concurrent_requests == Some(0);
        self.add_if(wrong, path, "concurrent_requests", "is zero");
    }

    fn budget(&mut self, path: &FieldPath, budget: &Budget) {
        self.add_if(budget.tokens == 0, path, "tokens", "is zero");
        if budget.period_ms < BUDGET_PERIOD_MIN_MS {
            self.add(path.key("period_ms"), format!("is below {BUDGET_PERIOD_MIN_MS}"));
        }
    }

    /// Finds keys that two workspaces hold, or one twice.
    ///
    /// A key of two workspaces would be charged to either by chance; the team charged by mistake
    /// would notice only from its use.
    fn key_digests(&mut self) {
        let configuration = self.configuration;
        let mut digests = Vec::new();
        for (name, workspace) in &configuration.workspaces {
            for (index, digest) in workspace.key_digests.iter().enumerate() {
                digests.push((*digest, name, index));
            }
        }
        digests.sort_unstable();
        for pair in digests.windows(2) {
            let [(digest, first, first_index), (next, second, index)] = pair else { continue };
            if digest != next {
                continue;
            }
            let of = |name: &Name| FieldPath::of(&["workspaces", name, "key_digests"]);
            let problem = format!("is also a key of workspace {first}");
            let finding = Finding::new(of(second).index(*index), problem);
            self.findings.push(finding.with(of(first).index(*first_index)));
        }
    }

    fn model(&mut self, name: &Name, model: &Model) {
        let path = FieldPath::of(&["models", name]);
        if let Some(problem) = name::model_problem(name) {
            self.add(path.clone(), format!("name {problem}"));
        }
        if !model.version.is_empty()
            && let Some(problem) = name::model_problem(&model.version)
        {
            self.add(path.key("version"), problem);
        }
        for (adapter, version) in &model.adapters {
            let path = path.key("adapters").key(adapter);
            if let Some(problem) = name::model_problem(adapter) {
                self.add(path.clone(), format!("name {problem}"));
            }
            if let Some(problem) = name::model_problem(version) {
                self.add(path, problem);
            }
        }
        // A broken answer would be generated again although the chat may have run.
        if model.reproducible && model.at_most_once {
            let finding = Finding::new(path.key("at_most_once"), "contradicts reproducible");
            self.findings.push(finding.with(path.key("reproducible")));
        }
        self.serving_replicas(name, model, &path);
    }

    fn serving_replicas(&mut self, name: &Name, model: &Model, path: &FieldPath) {
        let mut replicas = 0;
        for upstream in self.configuration.upstreams.values() {
            if upstream.kind == UpstreamKind::Engine && upstream.serves == *name {
                replicas += 1;
            }
        }
        // No rollout could take a replica out of service: it would wait for ever.
        if replicas > 0 && model.serving_replicas > replicas {
            let problem = format!("is above the model's {replicas} replicas");
            let finding = Finding::new(path.key("serving_replicas"), problem);
            self.findings.push(finding.with(FieldPath::of(&["upstreams"])));
        }
    }

    fn service(&mut self, name: &Name, service: &Service) {
        let path = FieldPath::of(&["services", name]);
        if let Some(problem) = name::problem(name) {
            self.add(path.clone(), format!("name {problem}"));
        }
        for (index, pattern) in service.non_idempotent.iter().enumerate() {
            let path = path.key("non_idempotent").index(index);
            let upper = pattern.method.chars().all(|letter| letter.is_ascii_uppercase());
            let wrong = pattern.method.is_empty() || !upper;
            // A pattern that matches nothing leaves its calls idempotent: they would be repeated.
            self.add_if(wrong, &path, "method", "is not an HTTP method in upper case");
            let wrong = !pattern.path_prefix.starts_with('/');
            self.add_if(wrong, &path, "path_prefix", "does not begin with a slash");
        }
    }

    fn upstream(&mut self, name: &Name, upstream: &Upstream) {
        let path = FieldPath::of(&["upstreams", name]);
        if let Some(problem) = name::problem(name) {
            self.add(path.clone(), format!("name {problem}"));
        }
        if let Some(problem) = url::problem(&upstream.url) {
            self.add(path.key("url"), problem);
        }
        for (field, value) in [("region", &upstream.region), ("zone", &upstream.zone)] {
            if let Some(problem) = name::problem(value) {
                self.add(path.key(field), problem);
            }
        }
        let configuration = self.configuration;
        let (known, section, kind) = match upstream.kind {
            UpstreamKind::Engine => {
                (configuration.models.contains_key(&upstream.serves), "models", "model")
            }
            UpstreamKind::Service => {
                (configuration.services.contains_key(&upstream.serves), "services", "service")
            }
        };
        if !known {
            let problem = format!("names no {kind} of the configuration");
            let finding = Finding::new(path.key("serves"), problem).with(path.key("kind"));
            self.findings.push(finding.with(FieldPath::of(&[section, &upstream.serves])));
        }
        let wrong = upstream.checks_fencing && upstream.kind == UpstreamKind::Service;
        self.add_if(wrong, &path, "checks_fencing", "is for engines only");
        let wrong = !upstream.role.is_empty() && upstream.kind == UpstreamKind::Service;
        self.add_if(wrong, &path, "role", "is for engines only");
        if !upstream.role.is_empty()
            && let Some(problem) = name::problem(&upstream.role)
        {
            self.add(path.key("role"), problem);
        }
    }

    /// Finds replicas with one URL.
    ///
    /// Each would be admitted to by itself, and the one process behind them would carry the sum:
    /// seen only as a replica far above the bound.
    fn upstream_urls(&mut self) {
        let configuration = self.configuration;
        let mut seen: HashMap<&str, &Name> = HashMap::new();
        for (name, upstream) in &configuration.upstreams {
            let url = upstream.url.trim_end_matches('/');
            let Some(first) = seen.insert(url, name) else { continue };
            let problem = format!("is also the URL of upstream {first}");
            let finding = Finding::new(FieldPath::of(&["upstreams", name, "url"]), problem);
            self.findings.push(finding.with(FieldPath::of(&["upstreams", first, "url"])));
        }
    }

    fn policy(&mut self, policy: &PolicyConfiguration) {
        let path = FieldPath::of(&["policy"]);
        let wrong = !(policy.bound_multiple > 1.0 && policy.bound_multiple <= BOUND_MULTIPLE_MAX);
        let problem = format!("is not above 1 and at most {BOUND_MULTIPLE_MAX}");
        self.add_if(wrong, &path, "bound_multiple", &problem);
        // With nothing running the mean is zero, and the bound would let no first request in.
        self.add_if(policy.bound_floor_tokens == 0, &path, "bound_floor_tokens", "is zero");
        self.add_if(policy.running_requests == 0, &path, "running_requests", "is zero");
        let wrong = !(0.0..=1.0).contains(&policy.retry_ratio);
        self.add_if(wrong, &path, "retry_ratio", "is not in 0 to 1");
        let problem = format!("is below {ONCE_RETENTION_MIN_MS}");
        let wrong = policy.once_retention_ms < ONCE_RETENTION_MIN_MS;
        self.add_if(wrong, &path, "once_retention_ms", &problem);
        self.add_if(policy.weight_loads == 0, &path, "weight_loads", "is zero");
    }
}
