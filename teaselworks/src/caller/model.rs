//! The list of models that a workspace may use.

use poem::Response;
use serde::Serialize;

use super::server::Admitted;
use crate::caller::chat::may_use;

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// Lists the workspace's models and their adapters (`model:adapter`).
pub fn list(admitted: &Admitted) -> Response {
    let workspace = admitted.workspace_configuration();
    let mut data = Vec::new();
    for (name, model) in &admitted.configuration().models {
        if !may_use(&workspace.models, name) {
            continue;
        }
        data.push(entry(name.to_string()));
        for adapter in model.adapters.keys() {
            data.push(entry(format!("{name}:{adapter}")));
        }
    }
    let body = serde_json::to_string(&ModelList { object: "list", data })
        .expect("a model list has only text");
    Response::builder().content_type("application/json").body(body)
}

fn entry(id: String) -> ModelEntry {
    ModelEntry { id, object: "model", owned_by: "teaselworks" }
}
