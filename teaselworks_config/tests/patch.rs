//! Merge patches of the configuration: the same result as on the whole document, typed and
//! validated.

use std::sync::Arc;

use proptest::prelude::*;
use proptest::sample::select;
use serde_json::{Map, Value, json};
use teaselworks_config::configuration::patch::{apply, apply_document, merge};
use teaselworks_config::configuration::{Configuration, validate};
use teaselworks_config::document::Document;

/// Returns an object of some of `members`, each with one of its values.
fn object(members: Vec<(&'static str, Vec<Value>)>) -> BoxedStrategy<Value> {
    let mut parts = Vec::new();
    for (name, values) in members {
        parts.push(proptest::option::of(select(values)).prop_map(move |value| (name, value)));
    }
    parts
        .prop_map(|members| {
            let present = members.into_iter().filter_map(|(name, value)| Some((name, value?)));
            Value::Object(present.map(|(name, value)| (name.to_string(), value)).collect())
        })
        .boxed()
}

fn entry() -> BoxedStrategy<Value> {
    let digest = |digit: &str| json!([digit.repeat(64)]);
    let whole = object(vec![
        ("key_digests", vec![digest("a"), digest("b"), json!(null), json!(["short"])]),
        ("models", vec![json!(["a"]), json!(["b"]), json!([]), json!(null)]),
        ("weight", vec![json!(0), json!(2), json!(null), json!(-1), json!("2")]),
        ("limits", vec![json!({ "requests_per_s": 2.5 }), json!({ "requests_per_s": null })]),
        ("budget", vec![json!({ "tokens": 5 }), json!({ "period_ms": 60_000 }), json!(null)]),
    ]);
    prop_oneof![8 => whole, 1 => Just(json!(null)), 1 => Just(json!(3))].boxed()
}

fn patch() -> BoxedStrategy<Value> {
    let names = || select(vec!["a", "b", "c"]).prop_map(String::from);
    let workspaces = proptest::collection::btree_map(names(), entry(), 0..3)
        .prop_map(|entries| Value::Object(entries.into_iter().collect::<Map<_, _>>()));
    let model = select(vec![json!({}), json!({ "version": "2" }), json!(null)]);
    let models = proptest::collection::btree_map(names(), model, 0..3)
        .prop_map(|entries| Value::Object(entries.into_iter().collect::<Map<_, _>>()));
    let other = object(vec![
        ("policy", vec![json!({ "weight_loads": 3 }), json!(null), json!({ "bound": 1 })]),
        ("services", vec![json!(null), json!({ "s": {} }), json!([])]),
        ("workspace", vec![json!({})]),
    ]);
    let quiet =
        prop_oneof![Just(json!({})), Just(json!({ "policy": { "weight_loads": 3 } })), other];
    (workspaces, models, quiet, 0..20)
        .prop_map(|(workspaces, models, mut patch, clear)| {
            patch["workspaces"] = if clear == 0 { Value::Null } else { workspaces };
            patch["models"] = models;
            patch
        })
        .boxed()
}

proptest! {
    // Symptom: the fleet runs on something else than the document that operators patched.
    // Sequence: patches that add, change, reset and remove entries, some of them faulty.
    // Cause: patches are applied entry by entry to typed values, not to the whole document.
    #[test]
    fn a_patch_by_entries_equals_the_merge_of_the_whole_document(
        patches in proptest::collection::vec(patch(), 1..6),
    ) {
        let mut base = Configuration::default();
        for patch in patches {
            let mut document = serde_json::to_value(&base).unwrap();
            merge(&mut document, &patch);
            let whole = serde_json::from_value::<Configuration>(document);
            let expected = whole.ok().filter(|whole| validate(whole).is_empty());
            let Ok(patched) = apply(&base, &patch) else {
                prop_assert_eq!(expected, None);
                continue;
            };
            prop_assert_eq!(patched.changes.is_empty(), patched.configuration == base);
            prop_assert_eq!(Some(&patched.configuration), expected.as_ref());
            let decoded = Configuration::decode(&patched.configuration.encode()).unwrap();
            prop_assert_eq!(&decoded, &patched.configuration);
            base = patched.configuration;
        }
    }
}

#[test]
fn changes_read_as_lines_and_untouched_workspaces_are_shared() {
    let base = apply(
        &Configuration::default(),
        &json!({ "workspaces": { "choir": { "weight": 1 }, "school": { "weight": 2 } } }),
    );
    let base = base.unwrap().configuration;
    let patch = json!({
        "workspaces": { "choir": { "weight": null, "limits": { "tokens_per_s": 10 } } },
        "policy": { "bound_multiple": 1.5 },
    });
    let patched = apply(&base, &patch).unwrap();
    let lines: Vec<String> = patched.changes.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "~ policy.bound_multiple: 1.25 -> 1.5",
            "+ workspaces.choir.limits: {\"tokens_per_s\":10.0}",
            "- workspaces.choir.weight: 1",
        ]
    );
    let school = |configuration: &Configuration| configuration.workspaces["school"].clone();
    assert!(Arc::ptr_eq(&school(&base), &school(&patched.configuration)));
}

// Symptom: a patch is refused once per mistake, or accepted with one.
// Sequence: wrong types, absent members, dangling names and bad values in one patch.
// Cause: checks that stop at the first fault, or that trust what passed the types.
#[test]
fn every_fault_of_a_patch_is_named_with_its_line() {
    let text = r#"{
  "workspaces": {
    "choir": {
      "key_digests": ["abc"],
      "models": ["larg"],
      "weight": "2",
      "budget": { "tokens": 5 },
      "limits": { "requests_per_s": 0 },
    },
  },
  "upstreams": {
    "e 1": { "kind": "engine", "serves": "larg", "url": "https://10.0.0.1", "region": "r" },
  },
  "models": { "large": { "reproducible": true, "at_most_once": true } },
  "services": { "stock": { "non_idempotent": [{ "method": "post", "path_prefix": "book" }] } },
  "policy": { "bound_multiple": 1, "weight_loads": 0, "loads": 3 },
}"#;
    let document = Document::parse("p.jsonc", text).unwrap();
    let faults = apply_document(&Configuration::default(), &document).unwrap_err();
    let found: Vec<String> = faults
        .0
        .iter()
        .map(|fault| format!("{} {}: {}", fault.line, fault.field, fault.problem))
        .collect();
    assert_eq!(
        found,
        [
            "4 workspaces.choir.key_digests[0]: is not a SHA-256 digest of 64 lower-case hexadecimal digits",
            "5 workspaces.choir.models[0]: names no model of the configuration",
            "6 workspaces.choir.weight: invalid type: string \"2\", expected u32",
            "7 workspaces.choir.budget.period_ms: is missing",
            "8 workspaces.choir.limits.requests_per_s: is not above zero",
            "12 upstreams.e 1.zone: is missing",
            "12 upstreams.e 1: name holds ' '",
            "12 upstreams.e 1.serves: names no model of the configuration",
            "12 upstreams.e 1.url: is https; only http is supported",
            "14 models.large.at_most_once: contradicts reproducible",
            "15 services.stock.non_idempotent[0].method: is not an HTTP method in upper case",
            "15 services.stock.non_idempotent[0].path_prefix: does not begin with a slash",
            "16 policy.bound_multiple: is not above 1 and at most 100",
            "16 policy.weight_loads: is zero",
            "16 policy.loads: unknown field `loads`, expected one of `bound_multiple`, \
             `bound_floor_tokens`, `queue_requests`, `running_requests`, `retry_ratio`, \
             `retry_burst`, `once_retention_ms`, `weight_loads`",
        ]
    );
}

#[test]
fn a_key_of_two_workspaces_and_a_url_of_two_upstreams_are_refused() {
    let digest = "ab".repeat(32);
    let engine = |url: &str| json!({ "kind": "engine", "serves": "m", "url": url, "region": "r", "zone": "z" });
    let patch = json!({
        "models": { "m": { "serving_replicas": 3 } },
        "upstreams": { "e1": engine("http://10.0.0.1:80"), "e2": engine("http://10.0.0.1:80/") },
        "workspaces": { "a": { "key_digests": [digest] }, "b": { "key_digests": [digest] } },
    });
    let faults = apply(&Configuration::default(), &patch).unwrap_err().to_string();
    let found: Vec<&str> = faults.lines().collect();
    assert_eq!(
        found,
        [
            "workspaces.b.key_digests[0]: is also a key of workspace a",
            "models.m.serving_replicas: is above the model's 2 replicas",
            "upstreams.e2.url: is also the URL of upstream e1",
        ]
    );
}
