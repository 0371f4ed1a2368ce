//! A caller that tells whether an answer is whole and its own.

use std::fmt;
use std::time::{Duration, Instant};

use reqwest::header::HeaderMap;
use reqwest::{Client, Response};
use serde_json::{Value, json};

use crate::engine::answer::{expected_answer, prompt_text};

/// One chat that a caller sends.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Model, or `model:adapter`.
    pub model: String,
    /// Messages: role and text.
    pub messages: Vec<(String, String)>,
    /// Answer length in tokens.
    pub output_tokens: u32,
    /// Whether a stream of events is asked for.
    pub stream: bool,
    /// Further headers.
    pub headers: Vec<(String, String)>,
}

impl Chat {
    /// Makes a streamed chat of one message.
    ///
    /// ```
    /// use teaselworks_standin::caller::Chat;
    ///
    /// let chat = Chat::new("ballad", "Which verse is older?", 8);
    /// let returning = chat.next(&chat.expected(), "And the tune?");
    /// assert_eq!(returning.messages.len(), 3);
    /// ```
    pub fn new(model: &str, text: &str, output_tokens: u32) -> Self {
        let messages = vec![("user".into(), text.into())];
        Self { model: model.into(), messages, output_tokens, stream: true, headers: Vec::new() }
    }

    /// Asks for one JSON document in place of a stream.
    pub fn whole(mut self) -> Self {
        self.stream = false;
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Returns the same chat when it returns with its answer and one more message.
    pub fn next(&self, answer: &str, text: &str) -> Self {
        let mut chat = self.clone();
        chat.messages.push(("assistant".into(), answer.into()));
        chat.messages.push(("user".into(), text.into()));
        chat
    }

    /// Returns the text that an engine sees.
    pub fn prompt(&self) -> String {
        prompt_text(self.messages.iter().map(|(role, text)| (role.as_str(), text.as_str())))
    }

    /// Returns the one right answer.
    pub fn expected(&self) -> String {
        expected_answer(&self.prompt(), self.output_tokens)
    }

    /// Returns the body.
    pub fn body(&self) -> Value {
        let messages = self.messages.iter();
        let messages: Vec<_> =
            messages.map(|(role, text)| json!({ "role": role, "content": text })).collect();
        let mut body = json!({
            "model": self.model,
            "messages": messages,
            "max_tokens": self.output_tokens,
            "stream": self.stream,
        });
        if self.stream {
            body["stream_options"] = json!({ "include_usage": true });
        }
        body
    }
}

/// An answer with all its marks of an end.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// Text.
    pub text: String,
    /// `usage` as JSON.
    pub usage: Value,
    /// Headers.
    pub headers: HeaderMap,
    /// Time to the first token; of a whole document, to its end.
    pub first_token: Duration,
    /// Longest pause of a stream after its first token; zero of a whole document.
    pub longest_pause: Duration,
    /// Time to the end.
    pub total: Duration,
}

impl WholeAnswer {
    /// Returns the prompt tokens found in a cache.
    pub fn cached_tokens(&self) -> u64 {
        self.usage["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap_or_default()
    }

    /// Returns a header's value; empty where there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// A refusal in its typed form.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Reason; empty where the answer names none.
    pub reason: String,
    /// Verdict; empty where the answer names none.
    pub verdict: String,
    /// `Retry-After` in seconds.
    pub retry_after_s: Option<u64>,
    /// Request id.
    pub request_id: String,
    /// Whole body.
    pub body: String,
}

/// What became of a chat.
#[derive(Clone, Debug)]
pub enum ChatOutcome {
    /// Answered.
    Whole(Box<WholeAnswer>),
    /// Refused before its answer began.
    Refused(RefusedAnswer),
    /// Broken off after its answer began, with the error event where there was one.
    Broken {
        /// Text before.
        text: String,
        /// Data of the error event, else what the connection showed.
        error: String,
    },
    /// No answer began.
    Unanswered(String),
}

impl fmt::Display for ChatOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChatOutcome::Whole(answer) => write!(f, "whole: {}", answer.text),
            ChatOutcome::Refused(refused) => write!(f, "refused: {}", refused.body),
            ChatOutcome::Broken { text, error } => write!(f, "broken: {text:?}: {error}"),
            ChatOutcome::Unanswered(error) => write!(f, "unanswered: {error}"),
        }
    }
}

impl ChatOutcome {
    /// Returns the answer when it is whole and the chat's own; fails with what it is instead.
    pub fn checked(self, chat: &Chat) -> Result<WholeAnswer, String> {
        match self {
            ChatOutcome::Whole(answer) if answer.text == chat.expected() => Ok(*answer),
            ChatOutcome::Whole(answer) => {
                Err(format!("expected {:?}, got {:?}", chat.expected(), answer.text))
            }
            other => Err(other.to_string()),
        }
    }

    /// Returns the refusal; fails with what it is instead.
    pub fn refused(self) -> Result<RefusedAnswer, String> {
        match self {
            ChatOutcome::Refused(refused) => Ok(refused),
            other => Err(other.to_string()),
        }
    }
}

/// A caller with a key, at one router.
#[derive(Clone, Debug)]
pub struct Caller {
    url: String,
    key: String,
    http: Client,
}

impl Caller {
    /// Makes a caller that keeps its connections.
    pub fn new(url: &str, key: &str) -> Self {
        let http = Client::builder().no_proxy().tcp_nodelay(true).build();
        let http = http.expect("a client without TLS needs nothing that can fail");
        Self { url: url.into(), key: key.into(), http }
    }

    /// Returns a request with the caller's key.
    pub fn request(&self, method: &str, path: &str) -> reqwest::RequestBuilder {
        let method = method.parse().expect("tests use valid methods");
        self.http.request(method, format!("{}{path}", self.url)).bearer_auth(&self.key)
    }

    /// Sends a chat, and reads its answer to the end.
    pub async fn chat(&self, chat: &Chat) -> ChatOutcome {
        let start = Instant::now();
        match self.open(chat).await {
            Err(error) => ChatOutcome::Unanswered(error.to_string()),
            Ok(response) if !response.status().is_success() => refused(response).await,
            Ok(response) if chat.stream => read_stream(response, start).await,
            Ok(response) => read_whole(response, start).await,
        }
    }

    /// Sends a chat and returns when its answer begins; dropping the response cancels the chat.
    pub async fn open(&self, chat: &Chat) -> reqwest::Result<Response> {
        let mut request = self.request("POST", "/v1/chat/completions");
        request = request.header("content-type", "application/json");
        for (name, value) in &chat.headers {
            request = request.header(name, value);
        }
        request.body(chat.body().to_string()).send().await
    }

    /// Calls a plain service; returns status and body, fails when there is no whole answer.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<(u16, String), String> {
        let mut request = self.request(method, path);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let sent = request.body(body.to_owned()).send().await;
        let response = sent.map_err(|error| error.to_string())?;
        let status = response.status().as_u16();
        let text = response.text().await.map_err(|error| error.to_string())?;
        Ok((status, text))
    }
}

async fn refused(response: Response) -> ChatOutcome {
    let text = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (retry_after, request_id) = (text("retry-after"), text("x-request-id"));
    let status = response.status().as_u16();
    let body = response.text().await.unwrap_or_default();
    let json: Value = serde_json::from_str(&body).unwrap_or_default();
    let field = |name: &str| json["error"][name].as_str().unwrap_or_default().to_owned();
    ChatOutcome::Refused(RefusedAnswer {
        status,
        reason: field("code"),
        verdict: field("verdict"),
        retry_after_s: retry_after.parse().ok(),
        request_id,
        body,
    })
}

async fn read_whole(response: Response, start: Instant) -> ChatOutcome {
    let headers = response.headers().clone();
    let body = match response.bytes().await {
        Ok(body) => body,
        Err(error) => return broken(String::new(), &error),
    };
    let json: Value = match serde_json::from_slice(&body) {
        Ok(json) => json,
        Err(error) => return broken(String::from_utf8_lossy(&body).into(), &error),
    };
    let text = json["choices"][0]["message"]["content"].as_str().unwrap_or_default();
    let (usage, total) = (json["usage"].clone(), start.elapsed());
    let (text, longest_pause) = (text.into(), Duration::ZERO);
    let answer = WholeAnswer { text, usage, headers, first_token: total, longest_pause, total };
    ChatOutcome::Whole(Box::new(answer))
}

fn broken(text: String, error: &dyn fmt::Display) -> ChatOutcome {
    ChatOutcome::Broken { text, error: error.to_string() }
}

async fn read_stream(mut response: Response, start: Instant) -> ChatOutcome {
    let headers = response.headers().clone();
    let mut stream = StreamReader::default();
    let (mut first_token, mut last_part) = (None, start);
    let mut longest_pause = Duration::ZERO;
    loop {
        match response.chunk().await {
            Ok(Some(bytes)) => stream.push(&bytes),
            Ok(None) => break,
            Err(error) => return broken(stream.text, &stream.error.unwrap_or(error.to_string())),
        }
        if first_token.is_some() {
            longest_pause = longest_pause.max(last_part.elapsed());
        } else if !stream.text.is_empty() {
            first_token = Some(start.elapsed());
        }
        last_part = Instant::now();
    }
    let StreamReader { text, usage, done, finished, error, .. } = stream;
    if !done || !finished || error.is_some() {
        return broken(text, &error.unwrap_or("the stream has no mark of its end".into()));
    }
    let total = start.elapsed();
    let first_token = first_token.unwrap_or(total);
    let answer = WholeAnswer { text, usage, headers, first_token, longest_pause, total };
    ChatOutcome::Whole(Box::new(answer))
}

#[derive(Default)]
struct StreamReader {
    buffer: Vec<u8>,
    text: String,
    usage: Value,
    finished: bool,
    done: bool,
    error: Option<String>,
}

impl StreamReader {
    fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.windows(2).position(|window| window == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            self.take(&String::from_utf8_lossy(&event));
        }
    }

    fn take(&mut self, event: &str) {
        let is_error = event.lines().any(|line| line == "event: error");
        for line in event.lines() {
            let Some(data) = line.strip_prefix("data:").map(str::trim) else { continue };
            if is_error {
                self.error = Some(data.into());
                continue;
            }
            if data == "[DONE]" {
                self.done = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(data).unwrap_or_default();
            if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
                self.text.push_str(text);
            }
            self.finished |= !chunk["choices"][0]["finish_reason"].is_null();
            if !chunk["usage"].is_null() {
                self.usage = chunk["usage"].clone();
            }
        }
    }
}
