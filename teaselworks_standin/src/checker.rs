//! Checks the history of a test from outside: what ran, what was told, what was charged.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::engine::Engine;
use crate::platform::Platform;
use crate::service::Service;

/// What the sender of a call was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Told {
    /// Answered by the upstream.
    Answered,
    /// It did not run.
    NotRun,
    /// Nothing certain.
    Unknown,
}

/// One thing that was seen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Observation {
    /// A call was executed by a service.
    Executed {
        /// Idempotency key.
        key: String,
    },
    /// The sender of a call was told its outcome.
    Outcome {
        /// Idempotency key.
        key: String,
        /// What it was told.
        told: Told,
    },
    /// A patch was accepted.
    Accepted {
        /// The submitter's identifier.
        patch: String,
        /// Version that it made.
        version: u64,
    },
    /// A version was in force at a router, in the order of the looks.
    InForce {
        /// Router, the same through restarts.
        router: String,
        /// Version.
        version: u64,
    },
    /// Tokens that engines spent for a workspace.
    Worked {
        /// Workspace.
        workspace: String,
        /// Tokens, prompt and answer together.
        tokens: u64,
    },
    /// Tokens that a workspace was charged.
    Charged {
        /// Workspace.
        workspace: String,
        /// Tokens, prompt and answer together.
        tokens: u64,
    },
}

/// What was seen in one test.
#[derive(Clone, Debug, Default)]
pub struct History {
    observations: Vec<Observation>,
}

impl History {
    /// Adds what was seen.
    ///
    /// ```
    /// use teaselworks_standin::checker::{History, Observation};
    ///
    /// let mut history = History::default();
    /// for _ in 0..2 {
    ///     history.add(Observation::Executed { key: "slot-7".into() });
    /// }
    /// assert_eq!(history.violations(), ["call slot-7 was executed 2 times"]);
    /// ```
    pub fn add(&mut self, observation: Observation) {
        self.observations.push(observation);
    }

    /// Adds every patch that the key-value service ever recorded below a prefix of keys.
    pub fn add_patches(&mut self, platform: &Platform, prefix: &str) {
        for change in platform.log(&format!("{prefix}configuration/patch/")) {
            let Some(value) = change.value else { continue };
            let stored: Value = serde_json::from_slice(&value).unwrap_or_default();
            let record = &stored["record"];
            let (Some(patch), Some(version)) = (record["id"].as_str(), record["version"].as_u64())
            else {
                continue;
            };
            self.add(Observation::Accepted { patch: patch.into(), version });
        }
    }

    /// Adds every execution of the services that bears a key.
    pub fn add_services(&mut self, services: &[Service]) {
        for call in services.iter().flat_map(Service::calls) {
            let Some(key) = call.key else { continue };
            self.add(Observation::Executed { key });
        }
    }

    /// Adds the tokens that the engines spent on the requests of a workspace; `workspace` names
    /// the workspace of an engine's request id.
    pub fn add_engines(&mut self, engines: &[Engine], workspace: impl Fn(&str) -> Option<String>) {
        for run in engines.iter().flat_map(Engine::runs) {
            let Some(workspace) = workspace(&run.request_id) else { continue };
            let tokens = run.spent_tokens();
            self.add(Observation::Worked { workspace, tokens });
        }
    }

    /// Returns one line for each rule that the history breaks.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.call_violations();
        violations.extend(self.patch_violations());
        violations.extend(self.version_violations());
        violations.extend(self.charge_violations());
        violations
    }

    /// Panics with every rule that the history breaks.
    pub fn assert_valid(&self) {
        let violations = self.violations().join("\n");
        assert!(violations.is_empty(), "the history is not valid:\n{violations}");
    }

    fn call_violations(&self) -> Vec<String> {
        let mut executions: BTreeMap<&str, u32> = BTreeMap::new();
        for observation in &self.observations {
            let Observation::Executed { key } = observation else { continue };
            *executions.entry(key).or_default() += 1;
        }
        let mut violations = Vec::new();
        for (key, executions) in &executions {
            if *executions > 1 {
                violations.push(format!("call {key} was executed {executions} times"));
            }
        }
        for observation in &self.observations {
            let Observation::Outcome { key, told } = observation else { continue };
            let ran = executions.contains_key(key.as_str());
            match told {
                Told::NotRun if ran => violations.push(format!("call {key}: told not run, ran")),
                Told::Answered if !ran => {
                    violations.push(format!("call {key}: answered, did not run"));
                }
                _ => {}
            }
        }
        violations
    }

    fn patch_violations(&self) -> Vec<String> {
        let mut by_version: BTreeMap<u64, &str> = BTreeMap::new();
        let mut by_patch: BTreeMap<&str, u64> = BTreeMap::new();
        let mut violations = Vec::new();
        for observation in &self.observations {
            let Observation::Accepted { patch, version } = observation else { continue };
            let first = *by_version.entry(*version).or_insert(patch);
            if first != patch {
                violations.push(format!("version {version} was made by {first} and by {patch}"));
            }
            let made = *by_patch.entry(patch).or_insert(*version);
            if made != *version {
                violations.push(format!("patch {patch} made version {made} and {version}"));
            }
        }
        violations
    }

    fn version_violations(&self) -> Vec<String> {
        let mut last: BTreeMap<&str, u64> = BTreeMap::new();
        let mut violations = Vec::new();
        for observation in &self.observations {
            let Observation::InForce { router, version } = observation else { continue };
            let before = last.insert(router, *version).unwrap_or_default();
            if before > *version {
                violations.push(format!("{router} went back from version {before} to {version}"));
            }
        }
        violations
    }

    fn charge_violations(&self) -> Vec<String> {
        let mut sums: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for observation in &self.observations {
            match observation {
                Observation::Worked { workspace, tokens } => {
                    sums.entry(workspace).or_default().0 += tokens;
                }
                Observation::Charged { workspace, tokens } => {
                    sums.entry(workspace).or_default().1 += tokens;
                }
                _ => {}
            }
        }
        let mut violations = Vec::new();
        for (workspace, (worked, charged)) in sums {
            if worked != charged {
                violations.push(format!("{workspace} was charged {charged} tokens for {worked}"));
            }
        }
        violations
    }
}
