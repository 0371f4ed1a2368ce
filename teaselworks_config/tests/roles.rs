//! Roles in a configuration: who asks for which, and what cannot work.

use serde_json::{Value, json};
use teaselworks_config::configuration::Configuration;

fn parse(document: &Value) -> Result<Configuration, String> {
    Configuration::parse("c", &document.to_string()).map_err(|faults| faults.to_string())
}

fn engine(number: u16, role: &str) -> Value {
    json!({
        "kind": "engine", "serves": "ballad", "url": format!("http://10.0.0.1:{number}"),
        "region": "r", "zone": "z", "role": role,
    })
}

fn problems(document: &Value) -> Vec<String> {
    let faults = parse(document).unwrap_err();
    let text = |line: &str| line.split_once(' ').expect("a fault has a place").1.to_owned();
    faults.lines().map(text).collect()
}

#[test]
fn a_chat_asks_for_its_workspaces_role_else_for_its_models() {
    let configuration = parse(&json!({
        "models": { "ballad": { "role": "commentary" } },
        "upstreams": { "e1": engine(1, "gloss"), "e2": engine(2, "commentary") },
        "workspaces": { "school": { "roles": { "ballad": "gloss" } }, "archive": {} },
    }))
    .unwrap();
    assert_eq!(&*configuration.role_of_chats("school", "ballad"), "gloss");
    assert_eq!(&*configuration.role_of_chats("archive", "ballad"), "commentary");
    assert_eq!(&*configuration.role_of_chats("archive", "other"), "");
    assert_eq!(Configuration::decode(&configuration.encode()).unwrap(), configuration);
}

#[test]
fn a_configuration_without_roles_is_encoded_as_before() {
    let mut plain = engine(1, "");
    plain.as_object_mut().unwrap().remove("role");
    let document = json!({
        "models": { "ballad": {} }, "upstreams": { "e1": plain }, "workspaces": { "school": {} },
    });
    let encoded = String::from_utf8(parse(&document).unwrap().encode()).unwrap();
    assert!(!encoded.contains("role"), "{encoded}");
}

#[test]
fn roles_that_cannot_work_are_refused() {
    let found = problems(&json!({
        "models": { "ballad": { "role": "tags", "serving_replicas": 2 } },
        "upstreams": {
            "e1": engine(1, "gloss"), "e2": engine(2, "gloss"), "e3": engine(3, "commentary"),
            "e4": engine(4, "two words"),
            "s": {
                "kind": "service", "serves": "stock", "url": "http://10.0.0.2:1",
                "region": "r", "zone": "z", "role": "gloss",
            },
        },
        "services": { "stock": {} },
        "workspaces": { "school": { "roles": { "ballad": "verse", "other": "gloss" } } },
    }));
    assert_eq!(
        found,
        [
            "models.ballad.role: is the role of no engine of model ballad",
            "models.ballad.serving_replicas: is above 1, the engines of role commentary",
            "models.ballad.serving_replicas: is above 1, the engines of role two words",
            "upstreams.e4.role: holds ' '",
            "upstreams.s.role: is for engines only",
            "workspaces.school.roles.ballad: is the role of no engine of model ballad",
            "workspaces.school.roles.other: names no model of the configuration",
        ]
    );
    let found = problems(&json!({
        "models": { "ballad": {} }, "upstreams": { "e1": engine(1, "gloss") },
    }));
    assert_eq!(
        found,
        ["models.ballad.role: is missing, while every engine of the model has a role"]
    );
}
