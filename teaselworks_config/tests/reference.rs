//! docs/CONFIGURATION.md lists every field of settings and configuration with its default.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use teaselworks_config::configuration::{
    Budget, CallPattern, Configuration, Model, PolicyConfiguration, Service, Upstream, Workspace,
    WorkspaceLimits,
};
use teaselworks_config::settings::Settings;

/// Returns the tables of the page by heading: the default by field.
fn tables() -> BTreeMap<String, BTreeMap<String, String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/CONFIGURATION.md");
    let mut tables: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
    let mut heading = String::new();
    for line in fs::read_to_string(path).unwrap().lines() {
        if let Some(title) = line.strip_prefix("### ") {
            heading = title.replace('`', "");
        }
        let Some(row) = line.strip_prefix("| `") else { continue };
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let field = cells[0].trim_end_matches('`').to_string();
        let default = cells.get(2).unwrap_or(&"").to_string();
        let repeated = tables.entry(heading.clone()).or_default().insert(field, default);
        assert_eq!(repeated, None, "{line}");
    }
    tables
}

/// Returns the fields of a type, as its own error about an unknown one lists them.
fn fields<T: DeserializeOwned + std::fmt::Debug>() -> Vec<String> {
    let error = serde_json::from_value::<T>(json!({ "?": 0 })).unwrap_err().to_string();
    let (_, expected) = error.split_once("expected ").unwrap();
    expected.split('`').skip(1).step_by(2).map(String::from).collect()
}

fn assert_same<T: DeserializeOwned + std::fmt::Debug>(
    tables: &BTreeMap<String, BTreeMap<String, String>>,
    heading: &str,
) {
    let mut expected = fields::<T>();
    expected.sort();
    let table = tables.get(heading).unwrap_or_else(|| panic!("no table {heading}"));
    assert_eq!(table.keys().cloned().collect::<Vec<_>>(), expected, "{heading}");
}

#[test]
fn every_setting_is_listed_with_its_default() {
    let required = json!({
        "router": { "name": "r", "region": "r", "zone": "z" },
        "listen": { "callers": "127.0.0.1:0", "links": "127.0.0.1:0", "operators": "127.0.0.1:0" },
        "links": { "secret": "sixteen characters" },
        "platform": { "endpoints": ["http://127.0.0.1:1"] },
        "vm_list": { "url": "http://127.0.0.1:1" },
    });
    let settings = Settings::parse("", &required.to_string()).unwrap();
    let tables = tables();
    for (section, members) in serde_json::to_value(&settings).unwrap().as_object().unwrap() {
        let table = tables.get(section).unwrap_or_else(|| panic!("no table {section}"));
        let members = members.as_object().unwrap();
        let (listed, present): (Vec<_>, Vec<_>) =
            (table.keys().collect(), members.keys().collect());
        assert_eq!(listed, present, "{section}");
        for (field, default) in members {
            let is_required = required[section].get(field).is_some();
            let expected = match default {
                _ if is_required => "required".into(),
                Value::Null => "none".into(),
                value => format!("`{value}`"),
            };
            assert_eq!(table[field], expected, "{section}.{field}");
        }
    }
}

#[test]
fn every_field_of_the_configuration_is_listed() {
    let tables = tables();
    assert_same::<Configuration>(&tables, "Configuration");
    assert_same::<Workspace>(&tables, "workspaces");
    assert_same::<WorkspaceLimits>(&tables, "workspaces limits");
    assert_same::<Budget>(&tables, "workspaces budget");
    assert_same::<Model>(&tables, "models");
    assert_same::<Upstream>(&tables, "upstreams");
    assert_same::<Service>(&tables, "services");
    assert_same::<CallPattern>(&tables, "services non_idempotent");
    assert_same::<PolicyConfiguration>(&tables, "policy");
    let policy = serde_json::to_value(PolicyConfiguration::default()).unwrap();
    for (field, default) in policy.as_object().unwrap() {
        assert_eq!(tables["policy"][field], format!("`{default}`"), "policy.{field}");
    }
}
