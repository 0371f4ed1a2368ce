//! Puts a whole chat completion together from an engine's events.

use std::collections::BTreeMap;

use serde_json::{Map, Value};
use teaselworks_wire::message::TokenUse;

/// A chat completion being put together.
#[derive(Debug, Default)]
pub struct WholeChat {
    base: Map<String, Value>,
    choices: BTreeMap<u64, Map<String, Value>>,
}

impl WholeChat {
    /// Takes whole events; what is no JSON data is passed over, as the owner has checked it.
    pub fn push(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            let Some(data) = line.strip_prefix(b"data:") else {
                continue;
            };
            let Ok(Value::Object(chunk)) = serde_json::from_slice(data.trim_ascii()) else {
                continue;
            };
            self.take(chunk);
        }
    }

    /// Returns the completion as JSON.
    pub fn finish(mut self, tokens: Option<TokenUse>) -> Vec<u8> {
        let choices = self.choices.into_iter().map(|(index, mut choice)| {
            choice.insert("index".into(), index.into());
            Value::Object(choice)
        });
        self.base.insert("object".into(), "chat.completion".into());
        self.base.insert("choices".into(), Value::Array(choices.collect()));
        if let Some(tokens) = tokens {
            self.base.insert("usage".into(), usage(tokens));
        }
        serde_json::to_vec(&self.base).expect("a JSON document can be written")
    }

    fn take(&mut self, mut chunk: Map<String, Value>) {
        if let Some(Value::Array(choices)) = chunk.remove("choices") {
            for choice in choices {
                if let Value::Object(choice) = choice {
                    self.take_choice(choice);
                }
            }
        }
        if self.base.is_empty() {
            chunk.remove("usage");
            self.base = chunk;
        }
    }

    fn take_choice(&mut self, mut choice: Map<String, Value>) {
        let index = choice.remove("index").and_then(|index| index.as_u64()).unwrap_or_default();
        let delta = choice.remove("delta");
        let whole = self.choices.entry(index).or_default();
        if let Some(delta) = delta {
            let message = whole.entry("message").or_insert_with(|| Value::Object(Map::new()));
            merge(message, delta);
        }
        for (key, value) in choice {
            if !value.is_null() || !whole.contains_key(&key) {
                whole.insert(key, value);
            }
        }
    }
}

/// Merges a delta: texts are joined, objects and lists merged by key or `index`.
fn merge(whole: &mut Value, delta: Value) {
    match (whole, delta) {
        (Value::Object(whole), Value::Object(delta)) => {
            for (key, value) in delta {
                merge_field(whole, key, value);
            }
        }
        (Value::Array(whole), Value::Array(delta)) => {
            for item in delta {
                merge_item(whole, item);
            }
        }
        (Value::String(whole), Value::String(delta)) => whole.push_str(&delta),
        (_, Value::Null) => {}
        (whole, delta) => *whole = delta,
    }
}

/// Merges one field; a role, id or type repeated by a resumed stream is not joined to itself.
fn merge_field(whole: &mut Map<String, Value>, key: String, value: Value) {
    let is_label = matches!(key.as_str(), "role" | "id" | "type" | "index");
    match whole.get_mut(&key) {
        Some(known) if !is_label => merge(known, value),
        _ => {
            whole.insert(key, value);
        }
    }
}

fn merge_item(whole: &mut Vec<Value>, item: Value) {
    let index = item.get("index").cloned();
    let known =
        whole.iter_mut().find(|known| index.is_some() && known.get("index") == index.as_ref());
    match known {
        Some(known) => merge(known, item),
        None => whole.push(item),
    }
}

/// Returns the use in the shape that chat clients expect.
pub fn usage(tokens: TokenUse) -> Value {
    serde_json::json!({
        "prompt_tokens": tokens.prompt_tokens,
        "completion_tokens": tokens.output_tokens,
        "total_tokens": tokens.prompt_tokens + tokens.output_tokens,
        "prompt_tokens_details": { "cached_tokens": tokens.cached_tokens },
    })
}
