//! JSON merge patches (RFC 7396) of the configuration, and what they change.

use imbl::OrdMap;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};
use teaselworks_policy::name::Name;

pub use super::difference::{Change, differences};
use super::{Configuration, check};
use crate::document::Document;
use crate::fault::{Faults, FieldPath, Finding};
use crate::typed::{self, ANY_NAME};

/// A configuration after a patch.
#[derive(Clone, Debug, PartialEq)]
pub struct Patched {
    /// The whole result; entries that the patch leaves alone are shared with the base.
    pub configuration: Configuration,
    /// What differs from the base, in the order of paths; empty: nothing.
    pub changes: Vec<Change>,
}

/// Applies the merge patch `patch` to `base` and validates the whole result.
///
/// Fails with every fault of the result, whether the patch or the base put it there.
///
/// ```
/// use serde_json::json;
/// use teaselworks_config::configuration::{Configuration, patch};
///
/// let base = Configuration::default();
/// let patched = patch::apply(&base, &json!({ "workspaces": { "choir": { "weight": 2 } } })).unwrap();
/// assert_eq!(patched.changes[0].to_string(), "+ workspaces.choir: {\"weight\":2}");
///
/// let faults = patch::apply(&base, &json!({ "workspace": {} })).unwrap_err();
/// assert_eq!(faults.0[0].field, "workspace");
/// ```
pub fn apply(base: &Configuration, patch: &Value) -> Result<Patched, Faults> {
    patched(base, patch, Differences::Listed)
        .map_err(|findings| Faults(findings.into_iter().map(Finding::unplaced).collect()))
}

/// Tells whether `apply` would succeed, without the differences: a patch of a thousand entries
/// lists each of them twice, as values that take several times the room of the entries.
///
/// Fails as `apply` does.
///
/// ```
/// use serde_json::json;
/// use teaselworks_config::configuration::{Configuration, patch};
///
/// assert!(patch::check(&Configuration::default(), &json!({ "workspace": {} })).is_err());
/// ```
pub fn check(base: &Configuration, patch: &Value) -> Result<(), Faults> {
    match patched(base, patch, Differences::Left) {
        Ok(_) => Ok(()),
        Err(findings) => Err(Faults(findings.into_iter().map(Finding::unplaced).collect())),
    }
}

/// Applies a merge patch read from a file; faults name its lines.
///
/// Fails as `apply` does.
///
/// ```
/// use teaselworks_config::configuration::{Configuration, patch};
/// use teaselworks_config::document::Document;
///
/// let document = Document::parse("p.jsonc", "{\n \"policy\": { \"retry_ratio\": 2 } }").unwrap();
/// let faults = patch::apply_document(&Configuration::default(), &document).unwrap_err();
/// assert_eq!(faults.to_string(), "p.jsonc:2:14: policy.retry_ratio: is not in 0 to 1");
/// ```
pub fn apply_document(base: &Configuration, document: &Document<'_>) -> Result<Patched, Faults> {
    patched(base, &document.value(), Differences::Listed)
        .map_err(|findings| document.place_all(findings))
}

/// Applies a merge patch that was accepted already, without the rules that `apply` checks.
///
/// Another release may have accepted it by rules that this one has made stricter. Refused here, the
/// router would stay behind the fleet for good. Fails only if the result is no configuration.
///
/// ```
/// use serde_json::json;
/// use teaselworks_config::configuration::{Configuration, patch};
///
/// let accepted = json!({ "workspaces": { "choir": { "models": ["gone"] } } });
/// assert!(patch::apply(&Configuration::default(), &accepted).is_err());
/// assert!(patch::adopt(&Configuration::default(), &accepted).is_ok());
/// ```
pub fn adopt(base: &Configuration, patch: &Value) -> Result<Configuration, Faults> {
    let (mut result, work) = change(base, patch, Differences::Left);
    if !work.findings.is_empty() {
        return Err(Faults(work.findings.into_iter().map(Finding::unplaced).collect()));
    }
    result.share_names(named_workspaces(patch));
    Ok(result)
}

/// Merges `patch` into `target` as RFC 7396 says.
///
/// ```
/// use serde_json::json;
/// use teaselworks_config::configuration::patch::merge;
///
/// let mut target = json!({ "a": 1, "b": 2 });
/// merge(&mut target, &json!({ "a": null, "c": 3 }));
/// assert_eq!(target, json!({ "b": 2, "c": 3 }));
/// ```
pub fn merge(target: &mut Value, patch: &Value) {
    let Value::Object(changes) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    let Value::Object(members) = target else { return };
    for (name, change) in changes {
        if change.is_null() {
            members.remove(name);
            continue;
        }
        merge(members.entry(name).or_insert(Value::Null), change);
    }
}

/// Work on one patch: entries it names pass through JSON one by one.
///
/// The whole configuration as JSON values would take several times the memory of the typed one,
/// at full size more than a router may spend.
struct Patching {
    template: Value,
    findings: Vec<Finding>,
    differences: Differences,
    changes: Vec<Change>,
}

/// Whether the differences of a patch are listed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Differences {
    Listed,
    Left,
}

fn patched(
    base: &Configuration,
    patch: &Value,
    differences: Differences,
) -> Result<Patched, Vec<Finding>> {
    let (mut result, mut work) = change(base, patch, differences);
    let replaced: Vec<_> = work.findings.iter().map(|finding| finding.path.clone()).collect();
    for finding in check::findings(&result) {
        if finding.rests_on(&replaced) {
            continue;
        }
        work.findings.push(finding);
    }
    if !work.findings.is_empty() {
        return Err(work.findings);
    }
    result.share_names(named_workspaces(patch));
    Ok(Patched { configuration: result, changes: work.changes })
}

/// Returns the workspaces that a patch names.
fn named_workspaces(patch: &Value) -> impl Iterator<Item = &str> {
    let workspaces = patch.get("workspaces").and_then(Value::as_object);
    workspaces.into_iter().flat_map(Map::keys).map(String::as_str)
}

/// Applies a patch as far as the types allow.
fn change(
    base: &Configuration,
    patch: &Value,
    differences: Differences,
) -> (Configuration, Patching) {
    let mut result = base.clone();
    let mut work =
        Patching { template: template(), findings: Vec::new(), differences, changes: Vec::new() };
    let Value::Object(sections) = patch else {
        work.findings.push(Finding::new(FieldPath::default(), "a patch must be an object"));
        return (result, work);
    };
    for (section, change) in sections {
        match section.as_str() {
            "models" => work.patch_entries(&mut result.models, section, change),
            "policy" => work.patch_policy(&mut result, change),
            "services" => work.patch_entries(&mut result.services, section, change),
            "upstreams" => work.patch_entries(&mut result.upstreams, section, change),
            "workspaces" => work.patch_entries(&mut result.workspaces, section, change),
            _ => work.findings.push(Finding::new(
                FieldPath::of(&[section]),
                "is not one of models, policy, services, upstreams, workspaces",
            )),
        }
    }
    (result, work)
}

impl Patching {
    fn patch_entries<T: Clone + Serialize + DeserializeOwned>(
        &mut self,
        entries: &mut OrdMap<Name, T>,
        section: &str,
        patch: &Value,
    ) {
        let removal;
        let patch = match patch {
            Value::Object(members) => members,
            // The merge removes the whole section, which leaves its default: no entries.
            Value::Null => {
                removal = entries.keys().map(|name| (name.to_string(), Value::Null)).collect();
                &removal
            }
            _ => {
                self.findings.push(Finding::new(FieldPath::of(&[section]), "must be an object"));
                return;
            }
        };
        let template = self.template[section][ANY_NAME].clone();
        for (name, change) in patch {
            let path = FieldPath::of(&[section, name]);
            let before = entries.get(name.as_str()).map(to_json);
            if change.is_null() {
                entries.remove(name.as_str());
                self.list(&path, before, || None);
                continue;
            }
            if let Some(entry) = self.patch_value(&path, before, change, &template) {
                entries.insert(name.as_str().into(), entry);
            }
        }
    }

    fn patch_policy(&mut self, configuration: &mut Configuration, patch: &Value) {
        let path = FieldPath::of(&["policy"]);
        let before = to_json(&configuration.policy);
        let reset = json!({});
        // The merge removes the whole section, which leaves its defaults.
        let (base, change) =
            if patch.is_null() { (reset.clone(), &reset) } else { (before.clone(), patch) };
        let mut merged = base;
        merge(&mut merged, change);
        let reading = typed::read(merged, &reset);
        self.note(&path, reading.findings);
        let Some(policy) = reading.value else { return };
        configuration.policy = policy;
        self.list(&path, Some(before), || Some(to_json(&configuration.policy)));
    }

    fn patch_value<T: Serialize + DeserializeOwned>(
        &mut self,
        path: &FieldPath,
        before: Option<Value>,
        change: &Value,
        template: &Value,
    ) -> Option<T> {
        let listed = self.differences == Differences::Listed;
        let kept = if listed { before.clone() } else { None };
        let mut merged = before.unwrap_or(Value::Null);
        merge(&mut merged, change);
        let reading = typed::read::<T>(merged, template);
        self.note(path, reading.findings);
        let value = reading.value?;
        self.list(path, kept, || Some(to_json(&value)));
        Some(value)
    }

    fn list(
        &mut self,
        path: &FieldPath,
        before: Option<Value>,
        after: impl FnOnce() -> Option<Value>,
    ) {
        if self.differences == Differences::Listed {
            self.changes.extend(differences(&path.to_string(), before, after()));
        }
    }

    fn note(&mut self, path: &FieldPath, findings: Vec<Finding>) {
        for mut finding in findings {
            let mut steps = path.steps.clone();
            steps.append(&mut finding.path.steps);
            self.findings.push(Finding { path: FieldPath { steps }, ..finding });
        }
    }
}

fn to_json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("maps with string keys and finite numbers encode")
}

/// Returns valid values of every required field, to put in place of those at fault.
pub(super) fn template() -> Value {
    let digest = "0".repeat(64);
    let workspace = json!({
        "key_digests": [digest],
        "models": [""],
        "services": [""],
        "budget": { "tokens": 1, "period_ms": 60_000 },
    });
    let upstream = json!({
        "kind": "engine",
        "serves": "model",
        "url": "http://127.0.0.1:1",
        "region": "region",
        "zone": "zone",
    });
    let service = json!({ "non_idempotent": [{ "method": "POST", "path_prefix": "/" }] });
    json!({
        "workspaces": { ANY_NAME: workspace },
        "models": { ANY_NAME: {} },
        "upstreams": { ANY_NAME: upstream },
        "services": { ANY_NAME: service },
    })
}
