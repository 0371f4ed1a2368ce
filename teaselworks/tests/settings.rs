//! Tests of settings files: the deployed template as the platform fills it in, and invalid files.

mod common;

use std::fs;
use std::process::Command;

use common::program;
use serde_json::{Value, json};
use teaselworks::settings::Settings;

const TEMPLATE: &str = include_str!("../../deploy/router.settings.jsonc");

/// Fills in a template as the platform does.
///
/// `{{name}}` is replaced by the value of that name and `{{name|json}}` by the value as JSON;
/// `{{.}}` stands for `item`. The section `{{#name}}...{{/name}}` is repeated for each element of
/// an array, and left out if the value is absent or false.
fn render(template: &str, context: &Value, item: &Value) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        text.push_str(&rest[..start]);
        let end =
            start + rest[start..].find("}}").expect("the template has a placeholder without `}}`");
        let name = &rest[start + 2..end];
        rest = &rest[end + 2..];
        let Some(section) = name.strip_prefix('#') else {
            text.push_str(&render_value(name, context, item));
            continue;
        };
        let closing = format!("{{{{/{section}}}}}");
        let length = rest.find(&closing).expect("the template has a section without an end tag");
        let section_body = &rest[..length];
        rest = &rest[length + closing.len()..];
        match look_up(section, context, item) {
            Value::Array(items) => {
                items.iter().for_each(|item| text.push_str(&render(section_body, context, item)));
            }
            Value::Null | Value::Bool(false) => {}
            value => text.push_str(&render(section_body, context, &value)),
        }
    }
    text + rest
}

/// Returns the value at a dotted path of `context`, or `item` for the path ".".
fn look_up(name: &str, context: &Value, item: &Value) -> Value {
    if name == "." {
        return item.clone();
    }
    let pointer = format!("/{}", name.replace('.', "/"));
    context.pointer(&pointer).cloned().unwrap_or(Value::Null)
}

/// Returns the text that replaces a placeholder; absent values give an empty text.
fn render_value(name: &str, context: &Value, item: &Value) -> String {
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

/// Returns the values that the platform provides, with every optional one set.
fn platform_values() -> Value {
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

/// Guards against a deployed template that yields invalid settings, or puts a value of the platform
/// into the wrong field.
#[test]
fn the_deployed_template_gives_valid_settings() {
    let settings =
        Settings::parse("t", &render(TEMPLATE, &platform_values(), &Value::Null)).unwrap();
    assert_eq!(&*settings.router.name, "frontend-a-1");
    assert_eq!(settings.listen.metrics.to_string(), "10.1.0.40:7340");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.bounds.stop_grace_s, 9.0);
    assert_eq!(settings.bounds.draining_ms, 1_800);
    assert_eq!(settings.bounds.load_factor, 3.0);
    assert_eq!(settings.platform.shortest_lease_ms, 1_500);
    assert!(settings.admission.by_priority && settings.admission.workspace_shares);
}

/// Guards against a template that writes a field without a value when the deployment does not set
/// an optional value, such as a bound: the router must then use its default.
#[test]
fn the_deployed_template_is_valid_without_optional_values() {
    let mut values = platform_values();
    values["bounds"] = json!({});
    values["seeds"] = json!([]);
    values["limits"] = json!({});
    values["listen"]["control_plane"] = Value::Null;
    values["platform"]["min_ttl_ms"] = Value::Null;
    let settings = Settings::parse("t", &render(TEMPLATE, &values, &Value::Null)).unwrap();
    assert_eq!(settings.listen.peers, None);
    assert_eq!(settings.bounds.retry_ratio, 0.2);
}

/// Guards against an unhelpful syntax error when a router is started with the template that was not
/// filled in: the fault must name the first placeholder.
#[test]
fn an_unfilled_template_is_reported_as_such() {
    let faults = Settings::parse("router.settings.jsonc", TEMPLATE).unwrap_err();
    let message = faults.to_string();
    assert!(message.starts_with("router.settings.jsonc:5:13: "), "{message}");
    assert!(message.contains("template that was not filled in: placeholder `{{node_name|json}}`"));
    assert_eq!(faults.0.len(), 1);
}

/// Guards against a report that stops at the first fault, or does not name the line and the field
/// of each fault.
#[test]
fn every_fault_is_reported_with_its_line_and_field() {
    let text = render(TEMPLATE, &platform_values(), &Value::Null)
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

/// Guards against services that are divided although the settings do not request it, and against a
/// misspelt or mistyped switch that is taken for one that is off.
#[test]
fn admission_is_off_by_default_and_its_faults_are_located() {
    let with_admission = |section: &str| {
        let text = render(TEMPLATE, &platform_values(), &Value::Null);
        let start = text.find("  \"admission\"").unwrap();
        let end = start + text[start..].find("},\n").unwrap() + 3;
        Settings::parse("router.jsonc", &(text[..start].to_owned() + section + &text[end..]))
    };
    let absent = with_admission("").unwrap().admission;
    assert!(!absent.by_priority && !absent.workspace_shares);
    let partial = with_admission("\"admission\": { \"workspace_shares\": true },\n").unwrap();
    assert!(!partial.admission.by_priority && partial.admission.workspace_shares);

    let faulty = "\"admission\": {\n  \"by_priority\": 1,\n  \"workspace_shares\": \"true\",\n  \
                  \"workspace_share\": true,\n},\n";
    let first_line = render(TEMPLATE, &platform_values(), &Value::Null)
        .lines()
        .position(|line| line.contains("\"admission\""))
        .unwrap()
        + 1;
    let message = with_admission(faulty).unwrap_err().to_string();
    let expected = [
        (1, "admission.by_priority: invalid type: integer `1`, expected a boolean"),
        (2, "admission.workspace_shares: invalid type: string \"true\", expected a boolean"),
        (3, "admission.workspace_share: "),
    ];
    for (offset, fault) in expected {
        let line = format!("router.jsonc:{}:", first_line + offset);
        let is_reported = |text: &str| text.starts_with(&line) && text.contains(fault);
        assert!(message.lines().any(is_reported), "{line} {fault} is missing from {message}");
    }
}

/// Guards against settings with the same address for two listeners, of which the second could not
/// be bound at the start.
#[test]
fn two_listeners_cannot_share_an_address() {
    let text = render(TEMPLATE, &platform_values(), &Value::Null).replace(":8220", ":8227");
    let faults = Settings::parse("t", &text).unwrap_err();
    assert!(faults.to_string().contains("listen.health: is the address of callers too"));
}

/// Guards against a router that starts with invalid settings and substitutes values that the file
/// does not contain.
#[test]
fn the_program_rejects_invalid_settings_before_it_listens() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("router.jsonc");
    fs::write(&file, "{ \"router\": { \"name\": \"a\" } }").unwrap();
    for command in ["router", "check"] {
        let output =
            Command::new(program().path).args([command, "--settings"]).arg(&file).output().unwrap();
        assert_eq!(output.status.code(), Some(3));
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(message.contains("router.jsonc:1:") && message.contains("router.zone: is missing"));
        assert!(output.stdout.is_empty());
    }
}

/// Guards against wrong exit codes for invalid command lines, and against help, manual, completions
/// or catalogue without output.
#[test]
fn commands_print_their_output_and_return_exit_codes() {
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
