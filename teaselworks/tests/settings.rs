//! Settings files: the one that the platform fills in, and faulty ones.

mod common;

use std::fs;
use std::process::Command;

use common::program;
use serde_json::{Value, json};
use teaselworks::settings::Settings;

const TEMPLATE: &str = include_str!("../../deploy/router.settings.jsonc");

/// Fills in a template as the platform does: values, values as JSON, and sections.
fn render(template: &str, context: &Value, item: &Value) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        text.push_str(&rest[..start]);
        let end = start + rest[start..].find("}}").expect("a placeholder ends");
        let name = &rest[start + 2..end];
        rest = &rest[end + 2..];
        let Some(section) = name.strip_prefix('#') else {
            text.push_str(&shown(name, context, item));
            continue;
        };
        let closing = format!("{{{{/{section}}}}}");
        let length = rest.find(&closing).expect("a section ends");
        let inner = &rest[..length];
        rest = &rest[length + closing.len()..];
        match look_up(section, context, item) {
            Value::Array(items) => {
                items.iter().for_each(|item| text.push_str(&render(inner, context, item)));
            }
            Value::Null | Value::Bool(false) => {}
            value => text.push_str(&render(inner, context, &value)),
        }
    }
    text + rest
}

fn look_up(name: &str, context: &Value, item: &Value) -> Value {
    if name == "." {
        return item.clone();
    }
    let pointer = format!("/{}", name.replace('.', "/"));
    context.pointer(&pointer).cloned().unwrap_or(Value::Null)
}

fn shown(name: &str, context: &Value, item: &Value) -> String {
    let (name, as_json) = match name.strip_suffix("|json") {
        Some(name) => (name, true),
        None => (name, false),
    };
    match look_up(name, context, item) {
        Value::Null => String::new(),
        Value::String(text) if !as_json => text,
        value => value.to_string(),
    }
}

fn fields() -> Value {
    json!({
        "node_name": "frontend-a-1", "zone": "a", "ip": "10.1.0.40",
        "listen": {
            "frontend": "10.1.0.40:8227", "readiness": "10.1.0.40:8220",
            "control_plane": "10.1.0.40:8229"
        },
        "internal_ports": [7340, 7355],
        "seeds": ["10.1.0.40:8229", "10.2.0.29:8229"],
        "limits": { "file_descriptors": 4200 },
        "bounds": {
            "grace_s": 9, "config_apply_ms": 2000, "drain_ms": 1800, "retry_budget_ratio": 0.25,
            "retry_budget_slack": 54, "budget_window_s": 10, "capacity_factor": 3
        },
        "platform": { "address": "10.200.1.7:8223", "min_ttl_ms": 1500 }
    })
}

#[test]
fn the_deployed_template_gives_valid_settings() {
    let settings = Settings::parse("t", &render(TEMPLATE, &fields(), &Value::Null)).unwrap();
    assert_eq!(&*settings.router.name, "frontend-a-1");
    assert_eq!(settings.listen.metrics.to_string(), "10.1.0.40:7340");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.bounds.stop_grace_s, 9.0);
    assert_eq!(settings.bounds.draining_ms, 1_800);
    assert_eq!(settings.bounds.load_factor, 3.0);
    assert_eq!(settings.platform.shortest_lease_ms, 1_500);
}

/// Guards against a template that writes a field without a value where a bound is not set.
#[test]
fn the_deployed_template_needs_no_bounds() {
    let mut fields = fields();
    fields["bounds"] = json!({});
    fields["seeds"] = json!([]);
    fields["limits"] = json!({});
    fields["listen"]["control_plane"] = Value::Null;
    fields["platform"]["min_ttl_ms"] = Value::Null;
    let settings = Settings::parse("t", &render(TEMPLATE, &fields, &Value::Null)).unwrap();
    assert_eq!(settings.listen.peers, None);
    assert_eq!(settings.bounds.retry_ratio, 0.2);
}

/// Guards against a syntax error as the only word on a template that nobody filled in.
#[test]
fn a_template_that_was_not_filled_in_is_told_as_such() {
    let faults = Settings::parse("router.settings.jsonc", TEMPLATE).unwrap_err();
    let told = faults.to_string();
    assert!(told.starts_with("router.settings.jsonc:5:13: "), "{told}");
    assert!(told.contains("template that was not filled in: placeholder `{{node_name|json}}`"));
    assert_eq!(faults.0.len(), 1);
}

#[test]
fn every_fault_is_told_with_its_line_and_field() {
    let text = render(TEMPLATE, &fields(), &Value::Null)
        .replace("\"stop_grace_s\": 9", "\"stop_grace_s\": 0")
        .replace("10.200.1.7:8223", "somewhere")
        .replace("\"format\": \"json\"", "\"format\": \"xml\", \"colour\": 1");
    let faults = Settings::parse("router.jsonc", &text).unwrap_err();
    let fields: Vec<&str> = faults.0.iter().map(|fault| fault.field.as_str()).collect();
    assert!(faults.0.iter().all(|fault| fault.line > 1), "{faults}");
    for expected in ["bounds.stop_grace_s", "platform.address", "log.format", "log.colour"] {
        assert!(fields.contains(&expected), "{expected} is missing from {fields:?}");
    }
}

#[test]
fn two_ports_cannot_share_an_address() {
    let text = render(TEMPLATE, &fields(), &Value::Null).replace(":8220", ":8227");
    let faults = Settings::parse("t", &text).unwrap_err();
    assert!(faults.to_string().contains("listen.health: is the address of callers too"));
}

/// Guards against a router that runs with other settings than its file says.
#[test]
fn the_program_refuses_faulty_settings_before_it_listens() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("router.jsonc");
    fs::write(&file, "{ \"router\": { \"name\": \"a\" } }").unwrap();
    for command in ["router", "check"] {
        let output =
            Command::new(program().path).args([command, "--settings"]).arg(&file).output().unwrap();
        assert_eq!(output.status.code(), Some(3));
        let told = String::from_utf8(output.stderr).unwrap();
        assert!(told.contains("router.jsonc:1:") && told.contains("router.zone: is missing"));
        assert!(output.stdout.is_empty());
    }
}

#[test]
fn the_command_line_tells_what_it_knows() {
    let run = |arguments: &[&str]| {
        Command::new(program().path)
            .args(arguments)
            .env_remove("TEASELWORKS_BOOT")
            .output()
            .unwrap()
    };
    assert_eq!(run(&["no-such-command"]).status.code(), Some(2));
    assert_eq!(run(&["router"]).status.code(), Some(2));
    assert_eq!(run(&["man", "no-such-page"]).status.code(), Some(2));
    for arguments in [&["man"][..], &["man", "router"], &["completions", "bash"], &["--help"]] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(0), "{arguments:?}");
        assert!(!output.stdout.is_empty());
    }
    let catalogue = run(&["events", "--json"]).stdout;
    let catalogue: Vec<Value> = serde_json::from_slice(&catalogue).unwrap();
    assert_eq!(catalogue.len(), teaselworks::event::ALL.len());
}
