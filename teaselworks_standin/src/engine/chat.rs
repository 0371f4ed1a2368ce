//! Chat completions, streamed and whole.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures_util::stream;
use poem::http::HeaderValue;
use poem::{Request, Response};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc::{self, UnboundedReceiver};

use super::Shared;
use super::answer::{
    DEFAULT_OUTPUT_TOKENS, Message, count_tokens, digest, expected_answer, prompt_text, token,
};
use super::batch::{Job, Run, RunState, Step};
use super::cache::Cache;
use crate::connection::breakable;
use crate::http::{self, take};

#[derive(Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    resume_tokens: u32,
    #[serde(default)]
    stream_options: Value,
}

/// Whose answer a reader sees.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    request_id: String,
    digest: u64,
}

/// What happens to one answer on purpose.
#[derive(Default)]
struct Plan {
    fail: bool,
    break_after_tokens: Option<u32>,
    crossed: Option<(u32, Identity)>,
    late: Duration,
}

/// An answer on its way to its reader.
struct Answer {
    own: Identity,
    plan: Plan,
    model: String,
    prompt_tokens: u32,
    cached_tokens: u32,
    claims_all_cached: bool,
    resume_tokens: u32,
    output_tokens: u32,
    position: u32,
    usage: bool,
    steps: UnboundedReceiver<Step>,
    tail: VecDeque<String>,
    done: bool,
}

pub(super) async fn respond(shared: Arc<Shared>, mut request: Request) -> Response {
    let request_id = request.header("x-request-id").unwrap_or("none").to_owned();
    let body = http::read_json(&mut request).await;
    let chat: ChatRequest = match serde_json::from_value(body) {
        Ok(chat) => chat,
        Err(error) => return refuse(400, &error.to_string()),
    };
    let stream = chat.stream;
    let mut answer = match start(&shared, request_id, chat) {
        Ok(answer) => answer,
        Err(response) => return *response,
    };
    tokio::time::sleep(answer.plan.late).await;
    if answer.plan.fail {
        while answer.steps.recv().await.is_some() {}
        return refuse(500, "failed on purpose");
    }
    if !stream {
        return answer.whole().await;
    }
    let shown = answer.identity(0).request_id.clone();
    let events = stream::unfold(answer, |mut answer| async {
        let event = answer.event().await?;
        Some((event, answer))
    });
    Response::builder()
        .content_type("text/event-stream")
        .header("x-request-id", shown)
        .body(breakable(events))
}

fn refuse(status: u16, message: &str) -> Response {
    http::json(status, &json!({ "error": { "message": message, "code": status } }))
}

/// Puts a chat into the batch.
fn start(shared: &Shared, request_id: String, chat: ChatRequest) -> Result<Answer, Box<Response>> {
    let mut state = shared.lock();
    if take(&mut state.faults.refuse_chats) {
        return Err(refuse(503, "refused on purpose").into());
    }
    if !state.orders.serves(&chat.model) {
        return Err(refuse(404, "the model is not loaded").into());
    }
    let messages = chat.messages.iter();
    let prompt = prompt_text(messages.map(|message| (&*message.role, &*message.content)));
    let output_tokens = chat.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let content = expected_answer(&prompt, output_tokens);
    let whole = format!("{prompt}{}", prompt_text([("assistant", &*content)]));
    let prompt_tokens = count_tokens(&prompt);
    let (sender, steps) = mpsc::unbounded_channel();
    let job = Job {
        run: 0,
        prompt: Cache::chain(&prompt),
        whole: Cache::chain(&whole),
        output_tokens,
        sender,
        prefill_tokens: 0,
    };
    let run = Run {
        request_id: request_id.clone(),
        model: chat.model.clone(),
        role: state.orders.role(),
        priority: chat.priority,
        prompt_tokens,
        cached_tokens: 0,
        resume_tokens: chat.resume_tokens,
        output_tokens: 0,
        ran: false,
        state: RunState::Waiting,
    };
    state.batch.push(job, run);
    let own = Identity { request_id, digest: digest(&prompt) };
    let before = state.last_chat.replace(own.clone());
    let faults = &mut state.faults;
    let asked = chat.stream_options["include_usage"].as_bool();
    let plan = Plan {
        fail: take(&mut faults.fail_chats),
        break_after_tokens: take(&mut faults.break_chats).then_some(faults.break_after_tokens),
        crossed: before
            .filter(|_| take(&mut faults.cross_chats))
            .map(|before| (faults.cross_after_tokens, before)),
        late: Duration::from_millis(faults.late_ms),
    };
    Ok(Answer {
        own,
        plan,
        model: chat.model,
        prompt_tokens,
        cached_tokens: 0,
        claims_all_cached: faults.claims_all_cached,
        resume_tokens: chat.resume_tokens,
        output_tokens,
        position: chat.resume_tokens,
        usage: asked.unwrap_or(!faults.usage_on_request),
        steps,
        tail: VecDeque::new(),
        done: false,
    })
}

impl Answer {
    /// Returns whose answer the token at a position belongs to.
    fn identity(&self, position: u32) -> &Identity {
        match &self.plan.crossed {
            Some((after, other)) if position >= *after => other,
            _ => &self.own,
        }
    }

    /// Waits for the next token; `None` after the last.
    async fn next(&mut self) -> Option<io::Result<String>> {
        loop {
            if self.plan.break_after_tokens.is_some_and(|after| self.position >= after) {
                return Some(Err(io::Error::other("broken on purpose")));
            }
            match self.steps.recv().await? {
                Step::Admitted { cached_tokens } => {
                    self.cached_tokens = match self.claims_all_cached {
                        true => self.prompt_tokens,
                        false => cached_tokens,
                    };
                }
                Step::Token => {
                    let position = self.position;
                    self.position += 1;
                    return Some(Ok(token(self.identity(position).digest, position)));
                }
            }
        }
    }

    fn usage(&self) -> Value {
        let generated = self.position - self.resume_tokens;
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": generated,
            "total_tokens": self.prompt_tokens + generated,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }

    /// Returns the next event of a stream; `None` after the last.
    async fn event(&mut self) -> Option<io::Result<String>> {
        if let Some(event) = self.tail.pop_front() {
            return Some(Ok(event));
        }
        if self.done {
            return None;
        }
        match self.next().await {
            Some(Ok(text)) => {
                let role = if self.position == 1 { "\"role\":\"assistant\"," } else { "" };
                let delta = format!("{{{role}\"content\":\"{text}\"}}");
                Some(Ok(self.chunk(&delta, "null")))
            }
            Some(Err(error)) => Some(Err(error)),
            None if self.position < self.output_tokens => {
                Some(Err(io::Error::other("the engine lost the request")))
            }
            None => {
                let finish = self.chunk("{}", "\"stop\"");
                if self.usage {
                    let usage = self.usage_chunk();
                    self.tail.push_back(usage);
                }
                self.tail.push_back("data: [DONE]\n\n".into());
                self.done = true;
                Some(Ok(finish))
            }
        }
    }

    fn chunk(&self, delta: &str, finish_reason: &str) -> String {
        let id = &self.identity(self.position.saturating_sub(1)).request_id;
        let model = &self.model;
        format!(
            "data: {{\"id\":\"chatcmpl-{id}\",\"object\":\"chat.completion.chunk\",\"created\":0,\
             \"model\":\"{model}\",\"choices\":[{{\"index\":0,\"delta\":{delta},\
             \"finish_reason\":{finish_reason}}}]}}\n\n"
        )
    }

    fn usage_chunk(&self) -> String {
        let chunk = json!({
            "id": format!("chatcmpl-{}", self.identity(self.position).request_id),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [],
            "usage": self.usage(),
        });
        format!("data: {chunk}\n\n")
    }

    /// Waits for the whole answer.
    async fn whole(mut self) -> Response {
        let mut content = String::new();
        while let Some(text) = self.next().await {
            match text {
                Ok(text) => content.push_str(&text),
                Err(_) => return http::cut(),
            }
        }
        if self.position < self.output_tokens {
            return http::cut();
        }
        let message = json!({ "role": "assistant", "content": content });
        let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
        let shown = self.identity(0).request_id.clone();
        let body = json!({
            "id": format!("chatcmpl-{}", self.identity(self.position).request_id),
            "object": "chat.completion",
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": self.usage(),
        });
        let mut response = http::json(200, &body);
        response.headers_mut().insert("x-request-id", header_value(&shown));
        response
    }
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("none"))
}
