//! Chats as callers send them: `POST /v1/chat/completions`.

use std::sync::Arc;

use poem::Body;
use poem::http::HeaderMap;
use serde::Deserialize;
use serde_json::{Map, Value};
use teaselworks_policy::name::Name;
use teaselworks_policy::placement::{PrefixBlock, prefix_blocks};
use teaselworks_policy::verdict::{Refusal, RefusalReason};

use super::server::{Admitted, Callers};
use super::{body, header};
use crate::dispatch::{Answer, ChatWork, Entry, Work};

/// Bytes of text that stand for one token in estimates.
const BYTES_PER_TOKEN: usize = 4;
/// Answer length assumed when the caller names none, in tokens.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The fields of a chat that routing reads; the rest passes through.
#[derive(Deserialize)]
struct ChatFields {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    messages: Vec<ChatMessage>,
}

#[derive(Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    #[serde(default)]
    content: Value,
}

/// Reads a chat and hands it to the dispatcher; refuses what cannot be understood.
pub async fn start(
    callers: &Arc<Callers>,
    admitted: Admitted,
    headers: &HeaderMap,
    body: Body,
) -> Result<Answer, Refusal> {
    let workspace = admitted.workspace_configuration();
    let time = header::deadline(headers, callers.limits())?;
    let priority = header::priority(headers, workspace.priority)?;
    let conversation = header::conversation(headers)?.map(str::to_owned);
    let idempotency_key = header::idempotency_key(headers)?.map(str::to_owned);
    let affinity = header::affinity(headers).map(str::to_owned);
    let bytes = body::read(body, callers.limits()).await?;
    let document: Map<String, Value> = serde_json::from_slice(&bytes)
        .map_err(|error| header::malformed(format!("The body is not a JSON object: {error}.")))?;
    // Read a second time instead of copied: prompts may be long.
    let fields: ChatFields = serde_json::from_slice(&bytes)
        .map_err(|error| header::malformed(format!("The chat is not valid: {error}.")))?;
    let (model, adapter) = target(&admitted, &fields.model)?;
    let output_tokens = output_tokens(&fields);
    let prompt = prompt(fields.messages);
    let work = ChatWork {
        prefix: prefix(&admitted.workspace, &fields.model, &prompt),
        prompt_tokens: prompt_tokens(&prompt),
        output_tokens,
        document,
        model,
        adapter,
        stream: fields.stream,
        include_usage: fields.stream_options.include_usage,
        conversation,
        idempotency_key,
        affinity,
    };
    let entry = Entry::new(admitted, priority, time, Work::Chat(work));
    Ok(callers.dispatcher().start(entry))
}

/// Tells whether a workspace's list allows a model or service; an empty list allows all.
pub fn may_use(allowed: &[Name], name: &str) -> bool {
    allowed.is_empty() || allowed.iter().any(|allowed| &**allowed == name)
}

fn target(admitted: &Admitted, asked: &str) -> Result<(Name, Option<Name>), Refusal> {
    let (model, adapter) = match asked.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (asked, None),
    };
    let unknown = || {
        let detail = format!("The workspace has no model {asked}.");
        Refusal::not_run(RefusalReason::UnknownTarget, None, detail)
    };
    let (name, known) = admitted.configuration().models.get_key_value(model).ok_or_else(unknown)?;
    if !may_use(&admitted.workspace_configuration().models, model) {
        return Err(unknown());
    }
    let Some(adapter) = adapter else {
        return Ok((name.clone(), None));
    };
    let (adapter, _) = known.adapters.get_key_value(adapter).ok_or_else(unknown)?;
    Ok((name.clone(), Some(adapter.clone())))
}

/// One message as placement sees it.
struct PromptPart {
    role: String,
    content: String,
}

fn prompt(messages: Vec<ChatMessage>) -> Vec<PromptPart> {
    let mut parts = Vec::with_capacity(messages.len());
    for ChatMessage { role, content } in messages {
        let content = match content {
            Value::String(text) => text,
            other => other.to_string(),
        };
        parts.push(PromptPart { role, content });
    }
    parts
}

fn prefix(workspace: &str, model: &str, prompt: &[PromptPart]) -> Vec<PrefixBlock> {
    let messages = prompt.iter().map(|part| (part.role.as_str(), part.content.as_str()));
    prefix_blocks(workspace, model, messages)
}

fn prompt_tokens(prompt: &[PromptPart]) -> u32 {
    let size_bytes: usize = prompt.iter().map(|part| part.role.len() + part.content.len()).sum();
    u32::try_from(size_bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

fn output_tokens(fields: &ChatFields) -> u32 {
    fields.max_completion_tokens.or(fields.max_tokens).unwrap_or(DEFAULT_OUTPUT_TOKENS)
}
